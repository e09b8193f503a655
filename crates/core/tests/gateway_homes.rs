//! Which instances are homes by their capacity, and what a home keeps as sums.

#[path = "fixtures/gateway.rs"]
mod instances;

use bincode::config::standard;
use core::time::Duration;
use instances::{address, alive, config, datagram, engine};
use oriolemux_core::gateway::catalogue::{CatalogueSource, EngineLimits, Service};
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::gateway::engines::Engines;
use oriolemux_core::gateway::gossip::GossipItems;
use oriolemux_core::gateway::home::{Home, PlacementReport, REPORT_TTL};
use oriolemux_core::gateway::members::{CapacityClass, MemberUpdate, Status};
use oriolemux_core::gateway::pace;
use oriolemux_core::gateway::rate_limits::RateLimits;
use oriolemux_core::gateway::request::{
    PlacementDecision, PlacementKind, PlacementRequest, QueuedRequest, service_hash,
};
use oriolemux_core::gateway::usage::{PeerUsage, Usage};
use oriolemux_core::gateway::{Body, Gateway, GatewayConfig};
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
    home.publish_catalogue(CatalogueSource {
        version: 1,
        services: vec![Service {
            name: MODEL.to_owned(),
            engine: Some(ENGINE),
            cold: None,
        }],
        ..CatalogueSource::default()
    })
    .expect("no findings");
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
