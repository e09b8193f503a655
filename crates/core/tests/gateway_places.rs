//! Placement at engines in simulated fleets: its traffic, and homes that freeze, are killed or
//! exist twice.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::{Fleet, Sent};
use instances::{address, engine};
use oriolemux_core::gateway::catalogue::{CatalogueSource, EngineLimits, Service};
use oriolemux_core::gateway::placement::{HOME_TIMEOUT, PlacementStatus};
use oriolemux_core::gateway::request::{
    PaceDemand, PlacementDecision, PlacementKind, PlacementRequest, QueuedRequest, service_hash,
};
use oriolemux_core::gateway::{Demand, Gateway};
use oriolemux_core::{EndpointKey, Time};
use rstest::rstest;
use std::collections::BTreeMap;

const SEEDS: usize = 3;

const ENGINES: usize = 12;

const ENGINE: EngineLimits = EngineLimits {
    slots: 24,
    kv_cache_tokens: 20_000,
    standby_copies: true,
};

/// Tokens of one generation: six of them fill an engine.
const TOKENS: u32 = 3_000;

/// Duration of a generation.
const RUNS: Duration = Duration::from_secs(2);

const STEP: Duration = Duration::from_millis(1);

/// A placement request that is open at one instance.
struct OpenRequest {
    instance: usize,
    id: u64,
    since: Time,
}

/// A running generation.
struct Running {
    instance: usize,
    at: EndpointKey,
    ends: Time,
}

/// A fleet with engines, and the requests that it places.
struct Scene {
    fleet: Fleet,
    open: Vec<OpenRequest>,
    running: Vec<Running>,
    requests: u64,
    /// The longest time that a request waited for its placement.
    longest: Duration,
    /// The most tokens of generations at one engine.
    fullest: u32,
    /// Requests that were placed without a home.
    without_home: usize,
}

fn catalogue() -> CatalogueSource {
    CatalogueSource {
        version: 1,
        services: vec![Service {
            name: "model".to_owned(),
            engine: Some(ENGINE),
            cold: None,
        }],
        ..CatalogueSource::default()
    }
}

impl Scene {
    /// Returns a settled fleet that knows the engines.
    fn new(size: usize) -> Self {
        let mut fleet = Fleet::start(size, SEEDS, 3);
        let joined = fleet.until_all_count(size, Duration::from_secs(20));
        assert!(joined.is_some(), "{:?}", fleet.counts());
        for number in 0..ENGINES {
            fleet.publish(&engine(&format!("e-{number}")));
        }
        for core in fleet.nodes.iter_mut().filter_map(|it| it.core.as_mut()) {
            core.publish_catalogue(catalogue()).expect("no findings");
        }
        Scene {
            fleet,
            open: Vec::new(),
            running: Vec::new(),
            requests: 0,
            longest: Duration::ZERO,
            fullest: 0,
            without_home: 0,
        }
    }

    fn core(&mut self, index: usize) -> &mut Gateway {
        self.fleet.nodes[index]
            .core
            .as_mut()
            .expect("the instance runs")
    }

    /// Returns the home of the engines, as one instance knows it.
    fn home(&mut self, instance: usize) -> usize {
        let homes = self.core(instance).homes(service_hash("model"));
        let size = self.fleet.nodes.len();
        (0..size)
            .find(|&it| Some(address(it as u16 + 1)) == homes[0])
            .expect("there is a home")
    }

    fn request(&mut self, instance: usize) {
        self.requests += 1;
        let (id, now) = (self.requests, self.fleet.now);
        let waiter = QueuedRequest {
            id,
            service: service_hash("model"),
            priority: 1,
            arrived: now,
            target: Duration::from_millis(1_800),
            tokens: TOKENS,
            prompt: 2_000,
            ..QueuedRequest::default()
        };
        let request = PlacementRequest {
            queued: waiter,
            kind: PlacementKind::Queued,
            exclude: Vec::new(),
        };
        self.core(instance).request_placement(now, request);
        self.fleet.schedule_tick(instance);
        self.open.push(OpenRequest {
            instance,
            id,
            since: now,
        });
    }

    /// Advances by one millisecond; instances act on the decisions that they have received.
    fn step(&mut self) {
        self.fleet.run(STEP);
        for request in core::mem::take(&mut self.open) {
            if let Some(still_open) = self.advance(request) {
                self.open.push(still_open);
            }
        }
        let now = self.fleet.now;
        let (over, running) = core::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(|it| it.ends <= now);
        self.running = running;
        for it in over {
            if let Some(core) = &mut self.fleet.nodes[it.instance].core {
                core.usage.end(it.at, TOKENS, 0);
                self.fleet.schedule_tick(it.instance);
            }
        }
        self.note_fullest();
    }

    fn advance(&mut self, request: OpenRequest) -> Option<OpenRequest> {
        let now = self.fleet.now;
        let core = self.fleet.nodes[request.instance].core.as_mut()?;
        let place = match core.verdict(now, request.id) {
            PlacementStatus::Decided(PlacementDecision::Granted(key)) => Some(key),
            PlacementStatus::TimedOut => {
                core.on_home_timeout(now, service_hash("model"), request.id);
                let demand = Demand {
                    service: "model",
                    engine: Some(ENGINE),
                    tokens: TOKENS,
                    exclude: &[],
                    pace: PaceDemand::default(),
                };
                let place = core
                    .place_without_home(now, &demand, PlacementKind::Queued)
                    .ok();
                self.without_home += usize::from(place.is_some());
                place.map(|it| it.key)
            }
            _ => None,
        };
        let Some(at) = place else {
            return Some(request);
        };
        core.usage.begin(at, TOKENS, 0);
        core.withdraw_placement(request.id);
        self.fleet.schedule_tick(request.instance);
        self.longest = self.longest.max(now.since(request.since));
        self.running.push(Running {
            instance: request.instance,
            at,
            ends: now + RUNS,
        });
        None
    }

    fn note_fullest(&mut self) {
        let mut used: BTreeMap<EndpointKey, u32> = BTreeMap::new();
        for it in &self.running {
            *used.entry(it.at).or_default() += TOKENS;
        }
        let fullest = used.values().copied().max().unwrap_or(0);
        self.fullest = self.fullest.max(fullest);
    }

    /// Sends a request every `each_ms` milliseconds, at one instance after the other except
    /// `except`.
    fn play(&mut self, time: Duration, each_ms: u64, except: Option<usize>) {
        let steps = time.as_millis() as u64;
        let size = self.fleet.nodes.len();
        let mut instance = 0;
        for step in 0..steps {
            if step.is_multiple_of(each_ms) {
                instance = (instance + 7) % size;
                if Some(instance) != except {
                    self.request(instance);
                }
            }
            self.step();
        }
    }

    /// Prints the traffic per instance and second by purpose (`-- --nocapture`).
    fn print_sent(&self, time: Duration) {
        let size = self.fleet.nodes.len();
        let seconds = size as f64 * time.as_secs_f64();
        let mut sum: BTreeMap<&str, Sent> = BTreeMap::new();
        for (purpose, sent) in self.fleet.nodes.iter().flat_map(|it| &it.by_purpose) {
            let sum = sum.entry(purpose).or_default();
            sum.datagrams += sent.datagrams;
            sum.bytes += sent.bytes;
        }
        for (purpose, sent) in sum {
            let (bytes, count) = (sent.bytes as f64, sent.datagrams as f64);
            println!(
                "{size} instances, {purpose}: {:.0} bytes/s in {:.1} datagrams/s",
                bytes / seconds,
                count / seconds
            );
        }
        let most = self.fleet.nodes.iter().map(|it| it.sent.bytes).max();
        let most = most.unwrap_or(0) as f64 / time.as_secs_f64();
        println!("{size} instances, the busiest: {most:.0} bytes/s");
    }

    fn sent_for_places(&self) -> Sent {
        let mut sum = Sent::default();
        for node in &self.fleet.nodes {
            for purpose in ["placement_reports", "placement_answers"] {
                let sent = node.by_purpose.get(purpose).copied().unwrap_or_default();
                sum.datagrams += sent.datagrams;
                sum.bytes += sent.bytes;
            }
        }
        sum
    }
}

/// Guards against traffic per request that grows with the fleet, as when each placement, first
/// event and end is sent to every instance. Control traffic may take 4 KB per second of an
/// instance, at 3.6 requests per second.
#[rstest]
#[case::few(6)]
#[case::some(30)]
#[case::large(195)]
#[case::planned(390)]
#[case::fleet(585)]
fn traffic_per_request_does_not_grow_with_the_fleet(#[case] size: usize) {
    let mut scene = Scene::new(size);
    scene.fleet.reset_sent();

    scene.play(Duration::from_secs(4), 50, None);

    scene.print_sent(Duration::from_secs(4));
    let sent = scene.sent_for_places();
    let (bytes, datagrams) = (sent.bytes / scene.requests, sent.datagrams / scene.requests);
    assert!(bytes <= 4_096, "{bytes} bytes in {datagrams} datagrams");
    assert!(datagrams <= 30, "{bytes} bytes in {datagrams} datagrams");
}

/// A home knows all its grants: no engine is overcommitted, however many instances send requests at
/// once, and requests that find no room are queued.
#[test]
fn no_engine_is_overcommitted() {
    let mut scene = Scene::new(12);

    scene.play(Duration::from_secs(4), 20, None);

    assert_eq!(scene.without_home, 0);
    assert!(scene.fullest <= ENGINE.kv_cache_tokens, "{}", scene.fullest);
}

/// Guards against requests that wait for as long as their home does not answer: it freezes, is
/// killed or is partitioned from the instance, and it takes seconds until it is considered gone.
#[rstest]
#[case::frozen(true)]
#[case::killed(false)]
fn no_request_waits_for_an_unresponsive_home(#[case] frozen: bool) {
    let mut scene = Scene::new(12);
    scene.play(Duration::from_secs(2), 50, None);
    let home = scene.home(0);
    if frozen {
        scene.fleet.nodes[home].frozen = true;
    } else {
        scene.fleet.kill(home);
    }
    scene.longest = Duration::ZERO;

    scene.play(Duration::from_secs(6), 50, Some(home));

    let bound = HOME_TIMEOUT + Duration::from_millis(10);
    assert!(scene.longest <= bound, "{:?}", scene.longest);
    assert!(scene.fullest <= ENGINE.kv_cache_tokens, "{}", scene.fullest);
}

/// A home that was frozen still has its old view when it resumes. Instances ask the next in rank
/// until it is live again, and reports replace its view.
#[test]
fn a_resumed_home_uses_new_reports() {
    let mut scene = Scene::new(12);
    scene.play(Duration::from_secs(2), 50, None);
    let home = scene.home(0);
    scene.fleet.nodes[home].frozen = true;
    scene.play(Duration::from_secs(5), 50, Some(home));

    scene.fleet.nodes[home].frozen = false;
    scene.play(Duration::from_secs(5), 50, Some(home));

    assert_eq!(scene.home(0), home, "it is the home again");
    assert!(scene.fullest <= ENGINE.kv_cache_tokens, "{}", scene.fullest);
}

/// Two homes at once: some instances cannot reach the first and ask the next in rank. Both receive
/// all reports, so that they grant the same room only while a report is on its way.
#[test]
fn two_homes_barely_overcommit_engines() {
    let mut scene = Scene::new(12);
    scene.play(Duration::from_secs(1), 50, None);
    // Instances with even and odd numbers among the first six cannot reach each other, whichever of
    // them is the home.
    scene.fleet.passes = |from, to| from % 2 == to % 2 || from > 5 || to > 5;

    scene.play(Duration::from_secs(8), 25, None);

    let bound = ENGINE.kv_cache_tokens + 2 * TOKENS;
    assert!(scene.fullest <= bound, "{}", scene.fullest);
    assert!(
        scene.longest <= Duration::from_millis(400),
        "{:?}",
        scene.longest
    );
}

/// Guards against requests at the home itself that wait 50 ms longer than others: room is freed by
/// the report of another instance and granted to the home's own request, but only answers of other
/// homes woke waiting requests.
#[test]
fn a_home_wakes_its_own_requests() {
    let mut scene = Scene::new(6);
    let home = scene.home(0);
    let other = (home + 1) % 6;
    for number in 0..ENGINES {
        let key = EndpointKey::of(&format!("e-{number}"));
        scene.core(other).usage.begin(key, 19_000, 0);
    }
    scene.fleet.schedule_tick(other);
    (0..10).for_each(|_| scene.step());
    scene.request(home);
    (0..20).for_each(|_| scene.step());
    assert_eq!(scene.open.len(), 1, "there is no room");
    scene.fleet.nodes[home].decisions_received = 0;

    let key = EndpointKey::of("e-0");
    scene.core(other).usage.end(key, 19_000, 0);
    scene.fleet.schedule_tick(other);
    (0..6).for_each(|_| scene.step());

    assert!(scene.open.is_empty(), "it is placed");
    assert!(scene.fleet.nodes[home].decisions_received > 0);
}
