//! Which instances are homes by their capacity, and what a home keeps as sums.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use bincode::config::standard;
use core::time::Duration;
use fleet::Fleet;
use instances::{address, alive, config, datagram, engine};
use oriolemux_core::gateway::catalogue::{CatalogueSource, EngineLimits, Service};
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::gateway::engines::Engines;
use oriolemux_core::gateway::fallback::EnginePart;
use oriolemux_core::gateway::gossip::GossipItems;
use oriolemux_core::gateway::home::{Home, PlacementReport, REPORT_TTL};
use oriolemux_core::gateway::members::{CapacityClass, MemberUpdate, Status};
use oriolemux_core::gateway::pace;
use oriolemux_core::gateway::placement::PlacementStatus;
use oriolemux_core::gateway::rate_limits::RateLimits;
use oriolemux_core::gateway::request::{
    PaceDemand, PlacementDecision, PlacementKind, PlacementRequest, QueuedRequest, service_hash,
};
use oriolemux_core::gateway::usage::{PeerUsage, Usage};
use oriolemux_core::gateway::{Body, Demand, Gateway, GatewayConfig};
use oriolemux_core::ids::address_hash;
use oriolemux_core::{EndpointKey, Incarnation, Time, rendezvous};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

const MODEL: &str = "model";

const NOW: Time = Time::from_secs(100);

const ENGINE: EngineLimits = EngineLimits {
    slots: 24,
    kv_cache_tokens: 20_000,
    standby_copies: true,
};

/// The capacity of most instances, in percent of a core.
const SMALL: u32 = 12;

/// The capacity of a few instances, in percent of a core.
const LARGE: u32 = 50;

/// Returns instance 1, which knows others of these capacities in percent; 0 is unknown.
fn instance_among(own: u32, others: &[u32]) -> Gateway {
    let mut one = Gateway::new(
        NOW,
        GatewayConfig {
            capacity: CapacityClass::of_percent(own),
            ..config(1, &[])
        },
    );
    for (number, &percent) in (2..).zip(others) {
        let hello = datagram(number, 0, 0, Body::Gossip(GossipItems::default()));
        let from = MemberUpdate {
            capacity: CapacityClass::of_percent(percent),
            ..alive(number)
        };
        let hello = oriolemux_core::gateway::Datagram { from, ..hello };
        one.on_datagram(NOW, hello).expect("it is of the fleet");
    }
    one
}

fn catalogue() -> CatalogueSource {
    CatalogueSource {
        version: 1,
        services: vec![Service {
            name: MODEL.to_owned(),
            engine: Some(ENGINE),
            cold: None,
        }],
        ..CatalogueSource::default()
    }
}

/// Returns the order of instances 1 to `count` for a key by the hash alone.
fn by_hash(key: u64, count: u16) -> Vec<SocketAddrV4> {
    let mut all: Vec<SocketAddrV4> = (1..=count).map(address).collect();
    all.sort_by_key(|it| core::cmp::Reverse(rendezvous::score(key, address_hash(*it))));
    all
}

/// Guards against another choice of homes where all instances are alike.
#[rstest]
#[case::unknown(0)]
#[case::known(SMALL)]
fn equal_instances_are_ranked_by_the_hash_alone(#[case] percent: u32) {
    let one = instance_among(percent, &[percent; 40]);

    for key in 0..200 {
        let expected = by_hash(key, 41);

        let homes = one.homes(key);

        assert_eq!(homes, [Some(expected[0]), Some(expected[1])]);
    }
}

/// Guards against a home that is short of processor time while other instances have four times as
/// much: decisions take longer than instances wait for them.
#[rstest]
#[case::two_are_large(SMALL, &[SMALL, LARGE, SMALL, 0, LARGE], &[3, 6])]
#[case::this_one_is_large(LARGE, &[SMALL, SMALL, LARGE, SMALL], &[1, 4])]
#[case::others_are_unknown(0, &[0, 0, SMALL, 0, SMALL], &[4, 6])]
fn homes_are_of_the_highest_class(
    #[case] own: u32,
    #[case] others: &[u32],
    #[case] expected: &[u16],
) {
    let one = instance_among(own, others);

    for key in 0..50 {
        let homes: BTreeSet<SocketAddrV4> = one.homes(key).into_iter().flatten().collect();

        let expected: BTreeSet<SocketAddrV4> = expected.iter().copied().map(address).collect();
        assert_eq!(homes, expected);
    }
}

/// Guards against a service that has no second home because only one instance has the highest
/// class.
#[test]
fn the_second_home_is_of_the_next_class_if_one_instance_is_of_the_highest() {
    let one = instance_among(SMALL, &[0, LARGE, SMALL, 0]);

    for key in 0..50 {
        let [home, next] = one.homes(key);

        assert_eq!(home, Some(address(3)));
        assert!(next == Some(address(1)) || next == Some(address(4)));
    }
}

/// Guards against a service without a home when all instances of the highest class stop.
#[test]
fn homes_are_of_the_next_class_when_the_highest_is_gone() {
    let mut one = instance_among(SMALL, &[LARGE, SMALL, LARGE]);
    for number in [2, 4] {
        let update = MemberUpdate {
            status: Status::Stopping,
            capacity: CapacityClass::of_percent(LARGE),
            ..alive(number)
        };
        let stops = GossipItems {
            members: vec![update],
            ..GossipItems::default()
        };
        one.on_datagram(NOW, datagram(3, 0, 0, Body::Gossip(stops)))
            .expect("it is of the fleet");
    }

    let homes: BTreeSet<Option<SocketAddrV4>> = one.homes(7).into_iter().collect();

    assert_eq!(homes, BTreeSet::from([Some(address(1)), Some(address(3))]));
}

/// Guards against a member's state that grows with its capacity: each datagram carries one, and the
/// control traffic of a large fleet is close to its bound.
#[test]
fn status_and_capacity_take_one_byte() {
    for status in [
        Status::Alive,
        Status::Stopping,
        Status::Suspect,
        Status::Gone,
    ] {
        for percent in [0, 1, SMALL, LARGE, 100, 6_400, u32::MAX] {
            let update = MemberUpdate {
                status,
                capacity: CapacityClass::of_percent(percent),
                ..alive(9)
            };

            let bytes = bincode::serde::encode_to_vec(update, standard()).expect("encodable");
            let decoded = bincode::serde::decode_from_slice::<MemberUpdate, _>(&bytes, standard());

            // Address 4, port 3, incarnation 1, refutations 1, status and capacity 1.
            assert_eq!(bytes.len(), 10);
            assert_eq!(decoded.expect("decodable").0, update);
        }
    }
}

fn request(id: u64, tokens: u32, kind: PlacementKind) -> PlacementRequest {
    PlacementRequest {
        queued: QueuedRequest {
            id,
            service: service_hash(MODEL),
            priority: 1,
            arrived: NOW,
            target: Duration::from_millis(1_800),
            tokens,
            prompt: 900,
            ..QueuedRequest::default()
        },
        kind,
        exclude: Vec::new(),
    }
}

fn report(number: u64, requests: &[PlacementRequest]) -> PlacementReport {
    PlacementReport {
        service: service_hash(MODEL),
        number,
        data_centre: "north".to_owned(),
        decides: true,
        used: Vec::new(),
        failing: Vec::new(),
        ejected: Vec::new(),
        known: 1,
        requests: requests.iter().map(|it| it.to_message(NOW)).collect(),
        pace: Vec::new(),
        no_room: Vec::new(),
    }
}

/// Guards against one decision over all requests for each datagram of a burst, with which a home
/// answers later than instances wait.
#[test]
fn reports_that_arrive_together_are_decided_once() {
    let mut home = instance_among(SMALL, &[SMALL; 64]);
    home.publish_catalogue(catalogue()).expect("no findings");
    for number in 0..12 {
        home.publish_endpoint(NOW, engine(&format!("e-{number}")));
    }
    for number in 2..=65_u16 {
        let waits = request(number.into(), 2_000, PlacementKind::Queued);
        let report = Body::PlacementReport(report(1, &[waits]));
        let received = home.on_datagram(NOW, datagram(number, 0, 0, report));
        let received = received.expect("it is of the fleet");
        assert_eq!(received.send, Vec::new(), "nothing is decided yet");
    }

    let first = home.decide_pending(NOW);
    let second = home.decide_pending(NOW);

    let answers = first.send.iter().filter_map(|(_, body)| match body {
        Body::PlacementAnswer(answer) => Some(answer),
        _ => None,
    });
    let decisions: Vec<PlacementDecision> = answers
        .flat_map(|it| it.decisions.iter().map(|(_, decision)| *decision))
        .collect();
    assert_eq!(decisions.len(), 64, "each request is answered once");
    assert!(
        decisions
            .iter()
            .all(|it| matches!(it, PlacementDecision::Granted(_)))
    );
    assert_eq!(second, Default::default());
}

const INSTANCES: u16 = 5;

const ENGINES: usize = 4;

fn key(number: usize) -> EndpointKey {
    EndpointKey::of(&format!("e-{number}"))
}

/// One step of a home's life.
#[derive(Clone, Debug)]
enum Event {
    /// An instance reports.
    Report {
        instance: u16,
        restarts: bool,
        used: Vec<(usize, u32)>,
        failing: Vec<usize>,
        requests: Vec<(u64, u32, bool)>,
    },
    /// Time passes.
    Wait(u64),
    /// The home decides about all requests.
    Decide,
    /// An engine announces that it leaves.
    Leave(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let used = prop::collection::vec((0..ENGINES, 1..9_000_u32), 0..3);
    let failing = prop::collection::vec(0..ENGINES, 0..2);
    let requests = prop::collection::vec((1..6_u64, 100..6_000_u32, any::<bool>()), 0..4);
    let report = (
        1..=INSTANCES,
        prop::bool::weighted(0.1),
        used,
        failing,
        requests,
    )
        .prop_map(
            |(instance, restarts, used, failing, requests)| Event::Report {
                instance,
                restarts,
                used,
                failing,
                requests,
            },
        );
    prop_oneof![
        6 => report,
        2 => (1..600_u64).prop_map(Event::Wait),
        4 => Just(Event::Decide),
        1 => (0..ENGINES).prop_map(Event::Leave),
    ]
}

/// The last report of an instance and what it was granted since, as the test counts them.
#[derive(Clone, Default)]
struct Counted {
    incarnation: u64,
    received_at: Time,
    used: Vec<(EndpointKey, Usage)>,
    failing: Vec<EndpointKey>,
    requests: BTreeMap<u64, (u32, bool)>,
    granted: BTreeMap<u64, (EndpointKey, Usage)>,
}

/// A home, and the same reports counted anew for each comparison.
struct Recount {
    now: Time,
    home: Home,
    endpoints: EndpointTable,
    reports: u64,
    counted: BTreeMap<u16, Counted>,
}

impl Recount {
    fn new() -> Self {
        let mut endpoints = EndpointTable::default();
        for number in 0..ENGINES {
            endpoints.apply_record(Time::ZERO, engine(&format!("e-{number}")));
        }
        Recount {
            now: NOW,
            home: Home::default(),
            endpoints,
            reports: 0,
            counted: BTreeMap::new(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Report {
                instance,
                restarts,
                used,
                failing,
                requests,
            } => self.report(*instance, *restarts, used, failing, requests),
            Event::Wait(ms) => {
                self.now += Duration::from_millis(*ms);
                self.home.tick(self.now);
                let now = self.now;
                self.counted
                    .retain(|_, it| now.since(it.received_at) < REPORT_TTL);
            }
            Event::Decide => self.decide(),
            Event::Leave(number) => {
                self.endpoints.mark_leaving(self.now, key(*number));
            }
        }
    }

    fn report(
        &mut self,
        instance: u16,
        restarts: bool,
        used: &[(usize, u32)],
        failing: &[usize],
        requests: &[(u64, u32, bool)],
    ) {
        self.reports += 1;
        let mut counted = self.counted.remove(&instance).unwrap_or_default();
        if restarts {
            counted.incarnation += 1;
            counted.granted.clear();
        }
        counted.received_at = self.now;
        let usage = |tokens| Usage {
            running: 1,
            pending_prefill: tokens / 3,
            tokens,
            copy_tokens: tokens / 2,
        };
        counted.used = used.iter().map(|it| (key(it.0), usage(it.1))).collect();
        counted.failing = failing.iter().map(|it| key(*it)).collect();
        counted.requests = requests.iter().map(|it| (it.0, (it.1, it.2))).collect();
        counted
            .granted
            .retain(|id, _| counted.requests.contains_key(id));
        let open = counted.requests.iter().map(|(id, (tokens, copies))| {
            let copy = PlacementKind::Copy {
                source: key(0),
                kind: oriolemux_core::gateway::request::CopyKind::PreCopy,
            };
            let kind = if *copies { copy } else { PlacementKind::Queued };
            request(*id, *tokens, kind)
        });
        let open: Vec<PlacementRequest> = open.collect();
        let report = PlacementReport {
            used: counted.used.clone(),
            failing: counted.failing.clone(),
            ..report(self.reports, &open)
        };
        let incarnation = Incarnation(counted.incarnation);
        self.counted.insert(instance, counted);
        self.home
            .on_report(self.now, address(instance), incarnation, report);
    }

    fn decide(&mut self) {
        let engines = Engines {
            service: MODEL,
            limits: ENGINE,
            endpoints: &self.endpoints,
            cold: None,
            named: &RateLimits::default(),
            known: 1,
            live: 1,
            pace: &pace::UNKNOWN,
        };
        let answers = self.home.decide(self.now, engines);
        for counted in self.counted.values_mut() {
            counted
                .granted
                .retain(|_, (engine, _)| self.endpoints.is_usable(*engine));
        }
        for (to, answer) in answers {
            let from = (1..=INSTANCES).find(|it| address(*it) == to);
            let counted = from.and_then(|it| self.counted.get_mut(&it));
            let counted = counted.expect("only instances that reported are answered");
            for (id, decision) in answer.decisions {
                match decision {
                    PlacementDecision::Granted(engine) => {
                        let used = reserved(counted.requests[&id]);
                        counted.granted.entry(id).or_insert((engine, used));
                    }
                    PlacementDecision::Denied(_) => {
                        counted.requests.remove(&id);
                    }
                    _ => {}
                }
            }
        }
    }

    fn recount(&self, except: Option<u16>) -> PeerUsage {
        let mut all = PeerUsage::default();
        for (_, it) in self.counted.iter().filter(|(it, _)| Some(**it) != except) {
            it.used.iter().for_each(|(key, used)| all.add(*key, *used));
            all.failing.extend(&it.failing);
            let granted = it.granted.values();
            granted.for_each(|(key, used)| all.add(*key, *used));
        }
        all
    }
}

/// Returns what a home reserves for a request.
fn reserved((tokens, is_copy): (u32, bool)) -> Usage {
    match is_copy {
        true => Usage {
            copy_tokens: tokens,
            ..Usage::default()
        },
        false => Usage {
            running: 1,
            pending_prefill: 900,
            tokens,
            copy_tokens: 0,
        },
    }
}

proptest! {
    /// Guards against sums that drift from what instances report, so that engines count as full or
    /// free for as long as the home runs.
    #[test]
    fn sums_equal_a_full_recount(events in prop::collection::vec(event(), 1..60)) {
        let mut scene = Recount::new();

        for event in &events {
            scene.apply(event);

            prop_assert_eq!(scene.home.others(scene.now, None), scene.recount(None));
            for instance in 1..=INSTANCES {
                let except = Some(address(instance));
                let others = scene.home.others(scene.now, except);
                prop_assert_eq!(others, scene.recount(Some(instance)));
            }
        }
    }
}

const SEEDS: usize = 3;

/// Engines of the simulated fleets; six generations fill one.
const FLEET_ENGINES: usize = 60;

/// Tokens of one generation in simulated fleets.
const TOKENS: u32 = 3_000;

/// Duration of a generation in simulated fleets. All engines together end 180 a second.
const RUNS: Duration = Duration::from_secs(2);

/// Requests per second that take half of the engines.
const USUAL_RATE: u64 = 90;

/// Requests per second of a burst, which is more than the engines serve.
const BURST_RATE: u64 = 225;

/// Maximum bytes per second of control traffic of one instance, at the fleet size of the design.
const CONTROL_BYTES: u64 = 4_096;

/// The fleet size of the design.
const PLANNED_SIZE: usize = 390;

/// One of fifteen instances is large.
fn few_are_large(index: usize) -> CapacityClass {
    CapacityClass::of_percent(if is_large(index) { LARGE } else { SMALL })
}

fn is_large(index: usize) -> bool {
    index % 15 == 7
}

/// A placement request that is open at one instance.
struct Open {
    instance: usize,
    id: u64,
    since: Time,
}

/// A running generation.
struct Running {
    instance: usize,
    engine: EndpointKey,
    ends: Time,
}

/// A fleet that places generations.
struct Scene {
    fleet: Fleet,
    open: Vec<Open>,
    running: Vec<Running>,
    requests: u64,
    /// The longest time that a request waited for its placement.
    longest: Duration,
    /// The most tokens of generations at one engine.
    fullest: u32,
    by_home: usize,
    without_home: usize,
}

impl Scene {
    /// Returns a settled fleet under its usual load.
    fn new(size: usize, capacity_of: fn(usize) -> CapacityClass) -> Self {
        let mut fleet = Fleet::start_unequal(size, SEEDS, 4, capacity_of);
        let joined = fleet.until_all_count(size, Duration::from_secs(20));
        assert!(joined.is_some(), "{:?}", fleet.counts());
        for number in 0..FLEET_ENGINES {
            fleet.publish(&engine(&format!("e-{number}")));
        }
        for core in fleet.nodes.iter_mut().filter_map(|it| it.core.as_mut()) {
            core.publish_catalogue(catalogue()).expect("no findings");
        }
        let mut scene = Scene {
            fleet,
            open: Vec::new(),
            running: Vec::new(),
            requests: 0,
            longest: Duration::ZERO,
            fullest: 0,
            by_home: 0,
            without_home: 0,
        };
        scene.play(RUNS, USUAL_RATE);
        scene.reset();
        scene
    }

    fn reset(&mut self) {
        self.longest = Duration::ZERO;
        self.fullest = 0;
        self.by_home = 0;
        self.without_home = 0;
        self.fleet.reset_sent();
    }

    /// Returns the indices of the home and of the next in rank, as a running instance knows them.
    fn homes(&self) -> Vec<usize> {
        let nodes = self.fleet.nodes.iter().filter(|it| !it.frozen);
        let core = nodes.filter_map(|it| it.core.as_ref()).next();
        let homes = core.expect("one runs").homes(service_hash(MODEL));
        let index = |it: SocketAddrV4| {
            let size = self.fleet.nodes.len();
            (0..size).find(|&index| address(index as u16 + 1) == it)
        };
        homes.into_iter().flatten().filter_map(index).collect()
    }

    /// Lets callers send `rate` requests per second for `time`, at one instance after the other.
    fn play(&mut self, time: Duration, rate: u64) {
        let size = self.fleet.nodes.len();
        for ms in 0..time.as_millis() as u64 {
            let (before, after) = (ms * rate / 1_000, (ms + 1) * rate / 1_000);
            for _ in before..after {
                self.request(self.requests as usize * 7 % size);
            }
            self.step();
        }
    }

    fn request(&mut self, instance: usize) {
        self.requests += 1;
        let (id, now) = (self.requests, self.fleet.now);
        let node = &mut self.fleet.nodes[instance];
        let Some(core) = node.core.as_mut().filter(|_| !node.frozen) else {
            return;
        };
        let request = request(id, TOKENS, PlacementKind::Queued);
        let queued = QueuedRequest {
            arrived: now,
            ..request.queued
        };
        core.request_placement(now, PlacementRequest { queued, ..request });
        self.fleet.schedule_tick(instance);
        self.open.push(Open {
            instance,
            id,
            since: now,
        });
    }

    /// Advances by one millisecond; instances act on the decisions that they have received.
    fn step(&mut self) {
        self.fleet.run(Duration::from_millis(1));
        for request in core::mem::take(&mut self.open) {
            if let Some(still_open) = self.advance(request) {
                self.open.push(still_open);
            }
        }
        let now = self.fleet.now;
        let (over, running): (Vec<Running>, Vec<Running>) =
            self.running.drain(..).partition(|it| it.ends <= now);
        self.running = running;
        for it in over {
            if let Some(core) = &mut self.fleet.nodes[it.instance].core {
                core.usage.end(it.engine, TOKENS, 0);
                self.fleet.schedule_tick(it.instance);
            }
        }
        let mut used: BTreeMap<EndpointKey, u32> = BTreeMap::new();
        for it in &self.running {
            *used.entry(it.engine).or_default() += TOKENS;
        }
        let fullest = used.into_values().max().unwrap_or(0);
        self.fullest = self.fullest.max(fullest);
    }

    fn advance(&mut self, request: Open) -> Option<Open> {
        let now = self.fleet.now;
        let node = &mut self.fleet.nodes[request.instance];
        if node.frozen {
            return Some(request);
        }
        let core = node.core.as_mut()?;
        let engine = match core.verdict(now, request.id) {
            PlacementStatus::Decided(PlacementDecision::Granted(engine)) => {
                self.by_home += 1;
                Some(engine)
            }
            PlacementStatus::TimedOut => {
                core.on_home_timeout(now, service_hash(MODEL), request.id);
                let demand = Demand {
                    service: MODEL,
                    engine: Some(ENGINE),
                    tokens: TOKENS,
                    exclude: &[],
                    pace: PaceDemand::default(),
                };
                let placed = core.place_without_home(now, &demand, PlacementKind::Queued);
                self.without_home += usize::from(placed.is_ok());
                placed.ok().map(|it| it.key)
            }
            _ => None,
        };
        let Some(engine) = engine else {
            return Some(request);
        };
        core.usage.begin(engine, TOKENS, 0);
        core.withdraw_placement(request.id);
        self.fleet.schedule_tick(request.instance);
        self.longest = self.longest.max(now.since(request.since));
        self.running.push(Running {
            instance: request.instance,
            engine,
            ends: now + RUNS,
        });
        None
    }

    fn print(&self, what: &str) {
        println!(
            "{what}: {} by homes, {} without, {} open, longest {:?}, fullest {}",
            self.by_home,
            self.without_home,
            self.open.len(),
            self.longest,
            self.fullest
        );
    }
}

/// Guards against a burst in which instances place requests without a home, or whose control
/// traffic grows with the fleet.
#[rstest]
#[case::ninety(90)]
#[case::planned(PLANNED_SIZE)]
fn a_burst_is_decided_by_a_large_home(#[case] size: usize) {
    let mut scene = Scene::new(size, few_are_large);

    scene.play(Duration::from_secs(2), BURST_RATE);
    scene.play(Duration::from_secs(2), USUAL_RATE);

    scene.print("burst");
    let homes = scene.homes();
    assert!(homes.iter().all(|it| is_large(*it)), "{homes:?}");
    assert_eq!(scene.without_home, 0);
    assert!(scene.fullest <= ENGINE.kv_cache_tokens, "{}", scene.fullest);
    let nodes = scene.fleet.nodes.iter().enumerate();
    let seconds = 4;
    let a_second = |it: u64| it / seconds;
    let others = nodes.clone().filter(|(index, _)| !homes.contains(index));
    let busiest = others.map(|(_, it)| it.sent.bytes).max().unwrap_or(0);
    let sum: u64 = nodes.clone().map(|(_, it)| it.sent.bytes).sum();
    let homes = homes
        .iter()
        .map(|it| a_second(scene.fleet.nodes[*it].sent.bytes));
    println!(
        "{size} instances: {} bytes per second on average, {} at the busiest that is no home, \
         homes {:?}",
        a_second(sum) / size as u64,
        a_second(busiest),
        homes.collect::<Vec<u64>>()
    );
    assert!(a_second(busiest) <= CONTROL_BYTES);
    // The answers of a home grow with the requests and not with the fleet, so that a small fleet has
    // fewer instances among which they are counted.
    assert!(size < PLANNED_SIZE || a_second(sum) / size as u64 <= CONTROL_BYTES);
}

/// Returns how many tokens an instance may take of an engine with this usage.
fn share(part: EnginePart, used: Usage) -> u32 {
    let mut taken = Usage::default();
    while part.allows(ENGINE, used.plus(taken), taken, 1) {
        taken.tokens += 1;
    }
    taken.tokens
}

/// Guards against shares that together exceed what an engine has, or an instance to which no engine
/// belongs, whatever the sizes of the fleet and of the service.
#[rstest]
#[case::one_engine(7, 1)]
#[case::fewer_engines(90, 60)]
#[case::as_many_engines(12, 12)]
#[case::more_engines(6, 62)]
#[case::planned(PLANNED_SIZE, 62)]
fn shares_of_an_engine_add_up_to_less_than_its_room(
    #[case] instances: usize,
    #[case] count: usize,
) {
    for tokens in [1_000, 9_000, 15_000, 19_000] {
        let used = used_by_others(tokens);
        let room = ENGINE.kv_cache_tokens - tokens;
        for engine in 0..count {
            let parts =
                (0..instances).filter_map(|it| EnginePart::of(it, instances, engine, count));

            let shares: Vec<u32> = parts.map(|it| share(it, used)).collect();

            assert!(!shares.is_empty(), "engine {engine} belongs to nobody");
            assert!(shares.iter().sum::<u32>() <= room, "{shares:?}");
            assert!(shares[0] > 0, "the first may take some");
        }
    }
    let owns_any = |instance: usize| {
        let mut parts = (0..count).map(|it| EnginePart::of(instance, instances, it, count));
        parts.any(|it| it.is_some())
    };
    assert!((0..instances).all(owns_any));
}

fn used_by_others(tokens: u32) -> Usage {
    Usage {
        running: 1,
        tokens,
        ..Usage::default()
    }
}

/// Guards against an instance that is alone and refuses what its engines have room for, and against
/// a bound before any home has said what others run.
#[rstest]
#[case::alone(&[], true)]
#[case::without_a_view(&[SMALL; 9], false)]
fn an_instance_that_is_alone_or_knows_nothing_is_not_bounded(
    #[case] others: &[u32],
    #[case] has_view: bool,
) {
    let mut one = instance_among(SMALL, others);
    one.publish_catalogue(catalogue()).expect("no findings");
    one.publish_endpoint(NOW, engine("e-1"));
    if has_view {
        one.request_placement(NOW, request(1, TOKENS, PlacementKind::Queued));
        one.tick(NOW);
        one.withdraw_placement(1);
    }
    let demand = Demand {
        service: MODEL,
        engine: Some(ENGINE),
        tokens: TOKENS,
        exclude: &[],
        pace: PaceDemand::default(),
    };

    let placed = (0..6).filter(|_| {
        let placed = one.place_without_home(NOW, &demand, PlacementKind::Queued);
        placed.is_ok_and(|it| {
            one.usage.begin(it.key, TOKENS, 0);
            true
        })
    });

    assert_eq!(placed.count(), 6);
}

/// What happens to the home of a service.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Killed,
    Frozen,
    /// Each datagram takes it longer than instances wait for an answer.
    Slow,
}

/// Guards against engines that are overfilled, and requests that wait, while the home of a service
/// does not answer in a burst. The next in rank does not know the last grants of the home, and
/// instances place a few requests without either: one generation too many may be at an engine.
#[rstest]
#[case::killed(Fate::Killed)]
#[case::frozen(Fate::Frozen)]
#[case::slow(Fate::Slow)]
fn a_home_that_fails_in_a_burst_barely_overfills_engines(#[case] fate: Fate) {
    let mut scene = Scene::new(90, few_are_large);
    scene.play(Duration::from_millis(300), BURST_RATE);
    let home = scene.homes()[0];
    match fate {
        Fate::Killed => scene.fleet.kill(home),
        Fate::Frozen => scene.fleet.nodes[home].frozen = true,
        Fate::Slow => scene.fleet.nodes[home].lag = Duration::from_millis(60),
    }

    scene.play(Duration::from_secs(1), BURST_RATE);
    scene.play(Duration::from_secs(5), USUAL_RATE);

    scene.print("the home fails");
    let bound = ENGINE.kv_cache_tokens + TOKENS;
    assert!(scene.fullest <= bound, "{}", scene.fullest);
    assert!(scene.by_home > 500, "{} by homes", scene.by_home);
    let waiting = scene.open.iter().filter(|it| it.instance != home).count();
    assert!(waiting < 10, "{waiting} requests still wait");
}

/// Guards against overfilled engines when no instance can reach any home for a second. When the
/// homes are back, reports of the instances that request nothing have expired, and the home grants
/// a little more than there is until they are renewed.
#[rstest]
#[case::usual_load(USUAL_RATE)]
#[case::burst(BURST_RATE)]
fn ninety_instances_without_a_home_overfill_no_engine(#[case] rate: u64) {
    let mut scene = Scene::new(90, few_are_large);
    scene.play(Duration::from_millis(500), rate);
    scene.fleet.passes = |_, _| false;

    scene.play(Duration::from_secs(1), rate);
    scene.print("no home");
    assert!(scene.without_home > 0, "nothing was placed");
    assert!(scene.fullest <= ENGINE.kv_cache_tokens, "{}", scene.fullest);
    scene.fleet.passes = |_, _| true;
    scene.play(Duration::from_secs(4), USUAL_RATE);

    scene.print("homes are back");
    let bound = ENGINE.kv_cache_tokens + 2 * TOKENS;
    assert!(scene.fullest <= bound, "{}", scene.fullest);
    assert!(scene.open.len() < 20, "{} requests wait", scene.open.len());
}

/// Guards against a service without a home when all instances of the highest class end at once.
#[test]
fn instances_of_the_next_class_decide_when_the_highest_is_gone() {
    let mut scene = Scene::new(90, few_are_large);
    for index in (0..90).filter(|it| is_large(*it)) {
        scene.fleet.kill(index);
    }

    scene.play(Duration::from_secs(6), USUAL_RATE);

    scene.print("all large instances are gone");
    assert!(scene.homes().iter().all(|it| !is_large(*it)));
    assert!(scene.fullest <= ENGINE.kv_cache_tokens, "{}", scene.fullest);
    scene.reset();
    scene.play(Duration::from_secs(1), USUAL_RATE);
    assert_eq!(scene.without_home, 0);
}

/// The home of the service in a fleet of ninety.
const FIRST_HOME: usize = 52;

/// Guards against overfilled engines while two homes decide: a third of the instances cannot reach
/// the first and asks the next in rank. Both know all other reports.
#[test]
fn two_homes_in_a_burst_barely_overfill_engines() {
    let mut scene = Scene::new(90, few_are_large);
    assert_eq!(scene.homes()[0], FIRST_HOME, "the links to it are cut");
    scene.fleet.passes = |from, to| from % 3 != 0 || to != FIRST_HOME;

    scene.play(Duration::from_secs(1), BURST_RATE);
    scene.play(Duration::from_secs(4), USUAL_RATE);

    scene.print("two homes");
    let bound = ENGINE.kv_cache_tokens + 2 * TOKENS;
    assert!(scene.fullest <= bound, "{}", scene.fullest);
}
