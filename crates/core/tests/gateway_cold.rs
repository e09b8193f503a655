//! Rate limits of cold endpoints: what a whole fleet sends them.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::Fleet;
use oriolemux_core::gateway::catalogue::{CatalogueSource, EngineLimits, Service};
use oriolemux_core::gateway::cold::ColdLimits;
use oriolemux_core::gateway::placement::PlacementStatus;
use oriolemux_core::gateway::request::{
    CopyKind, PaceDemand, PlacementDecision, PlacementError, PlacementKind, PlacementRequest,
    QueuedRequest, service_hash,
};
use oriolemux_core::gateway::{Cordon, Demand, EndpointRecord, Gateway};
use oriolemux_core::{EndpointKey, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEEDS: usize = 3;

/// Engines with enough capacity for the tests, so that only the rate limit restricts requests.
const ENGINE: EngineLimits = EngineLimits {
    slots: 10_000,
    kv_cache_tokens: 10_000_000,
    standby_copies: true,
};

const COLD: ColdLimits = ColdLimits {
    per_second: 31.0,
    duration: Duration::from_secs(1),
};

/// The overshoot that an operator tolerates, as a factor and a number of requests.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Longer than any test runs.
const FOREVER: Duration = Duration::from_secs(100);

fn record(name: &str, service: &str, cold: Duration) -> EndpointRecord {
    EndpointRecord {
        service: service.to_owned(),
        cold_for: cold,
        ..instances::engine(name)
    }
}

fn catalogue() -> CatalogueSource {
    CatalogueSource {
        version: 1,
        services: vec![
            Service {
                name: "model".to_owned(),
                engine: Some(ENGINE),
                cold: Some(COLD),
            },
            Service {
                name: "desk".to_owned(),
                engine: None,
                cold: Some(COLD),
            },
        ],
        ..CatalogueSource::default()
    }
}

/// A settled fleet in front of endpoints, and the requests that it sent.
struct Scenario {
    fleet: Fleet,
    rng: SmallRng,
    requested: u64,
    pending: Vec<(usize, u64)>,
    sent: Vec<(Time, EndpointKey)>,
}

impl Scenario {
    fn new(size: usize, endpoints: &[EndpointRecord]) -> Scenario {
        let mut fleet = Fleet::start(size, SEEDS, 5);
        let joined = fleet.until_all_count(size, Duration::from_secs(20));
        assert!(joined.is_some(), "{:?}", fleet.counts());
        fleet.run(Duration::from_secs(3));
        let mut scenario = Scenario {
            fleet,
            rng: SmallRng::seed_from_u64(9),
            requested: 0,
            pending: Vec::new(),
            sent: Vec::new(),
        };
        for index in 0..size {
            scenario.publish_all(index, endpoints);
        }
        scenario
    }

    fn publish_all(&mut self, index: usize, endpoints: &[EndpointRecord]) {
        let now = self.fleet.now;
        let core = self.core(index);
        for endpoint in endpoints {
            core.publish_endpoint(now, endpoint.clone());
        }
        core.publish_catalogue(catalogue()).expect("no findings");
    }

    fn core(&mut self, index: usize) -> &mut Gateway {
        self.fleet.nodes[index].core.as_mut().expect("it is there")
    }

    /// Returns a random running instance.
    fn random_index(&mut self) -> usize {
        let size = self.fleet.nodes.len();
        loop {
            let index = self.rng.random_range(0..size);
            if self.fleet.nodes[index].core.is_some() {
                return index;
            }
        }
    }

    /// Advances time while calls and generations arrive at these rates per second.
    fn advance_with_load(&mut self, time: Duration, calls: f64, generations: f64) {
        let ends = self.fleet.now + time;
        while self.fleet.now < ends {
            self.fleet.run(Duration::from_millis(1));
            if self.rng.random_bool(calls / 1_000.0) {
                self.call();
            }
            if self.rng.random_bool(generations / 1_000.0) {
                self.request_generation();
            }
            self.poll_requests();
        }
    }

    fn call(&mut self) {
        let (index, now) = (self.random_index(), self.fleet.now);
        let demand = Demand {
            service: "desk",
            engine: None,
            tokens: 0,
            exclude: &[],
            pace: PaceDemand::default(),
        };
        if let Ok(place) = self.core(index).place(now, &demand) {
            self.sent.push((now, place.key));
        }
    }

    fn request_generation(&mut self) {
        self.requested += 1;
        let (id, now, index) = (self.requested, self.fleet.now, self.random_index());
        let queued = QueuedRequest {
            id,
            service: service_hash("model"),
            priority: 1,
            arrived: now,
            target: Duration::from_secs(2),
            tokens: 10,
            prompt: 1,
            ..QueuedRequest::default()
        };
        let request = PlacementRequest {
            queued,
            kind: PlacementKind::Queued,
            exclude: Vec::new(),
        };
        self.core(index).request_placement(now, request);
        self.fleet.schedule_tick(index);
        self.pending.push((index, id));
    }

    fn poll_requests(&mut self) {
        let now = self.fleet.now;
        let mut unresolved = Vec::new();
        for (index, id) in core::mem::take(&mut self.pending) {
            let Some(core) = self.fleet.nodes[index].core.as_mut() else {
                continue;
            };
            let demand = Demand {
                service: "model",
                engine: Some(ENGINE),
                tokens: 10,
                exclude: &[],
                pace: PaceDemand::default(),
            };
            let place = match core.verdict(now, id) {
                PlacementStatus::Decided(PlacementDecision::Granted(key)) => Some(key),
                PlacementStatus::TimedOut => {
                    core.on_home_timeout(now, service_hash("model"), id);
                    let placed = core.place_without_home(now, &demand, PlacementKind::Queued);
                    placed.ok().map(|it| it.key)
                }
                _ => None,
            };
            match place {
                Some(key) => {
                    core.usage.begin(key, 10, 0);
                    core.withdraw_placement(id);
                    self.sent.push((now, key));
                    self.fleet.schedule_tick(index);
                }
                None => unresolved.push((index, id)),
            }
        }
        self.pending = unresolved;
    }

    /// Returns the most requests that an endpoint got within one second.
    fn max_in_one_second(&self, name: &str) -> usize {
        let key = EndpointKey::of(name);
        let sent = self.sent.iter().filter(|it| it.1 == key);
        let times: Vec<Time> = sent.map(|it| it.0).collect();
        let within = |at: &Time| {
            let later = times.iter().filter(|it| *it >= at);
            later
                .take_while(|it| it.since(*at) <= Duration::from_secs(1))
                .count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }
}

fn bound() -> usize {
    (COLD.per_second * OVERSHOOT + SLACK) as usize
}

/// Guards against a cold endpoint that crashes because each instance uses the whole limit. Warm
/// endpoints take the remaining requests.
#[rstest]
#[case::few(6)]
#[case::some(64)]
#[case::planned(390)]
fn a_cold_endpoint_gets_no_more_than_its_limit(#[case] size: usize) {
    let endpoints = [
        record("e-cold", "model", FOREVER),
        record("e-warm", "model", Duration::ZERO),
        record("d-cold", "desk", FOREVER),
        record("d-warm", "desk", Duration::ZERO),
    ];
    let mut scenario = Scenario::new(size, &endpoints);

    scenario.advance_with_load(Duration::from_secs(3), 400.0, 300.0);

    let (engine, desk) = (
        scenario.max_in_one_second("e-cold"),
        scenario.max_in_one_second("d-cold"),
    );
    assert!((1..=bound()).contains(&engine), "{engine}");
    // Each instance makes too few calls for the warm endpoint to look busy.
    assert!(desk <= bound(), "{desk}");
    assert!(
        scenario.pending.len() < 20,
        "{} wait",
        scenario.pending.len()
    );
}

/// Guards against a limit that each side of a partition uses in full, with an instance that has
/// just started and knows only one side.
#[rstest]
#[case::few(6)]
#[case::some(64)]
#[case::planned(390)]
fn both_sides_of_a_partition_keep_the_limit_together(#[case] size: usize) {
    let endpoints = [
        record("e-cold", "model", FOREVER),
        record("d-cold", "desk", FOREVER),
    ];
    let mut scenario = Scenario::new(size, &endpoints);
    scenario.fleet.passes = |from, to| from % 2 == to % 2;
    scenario.advance_with_load(Duration::from_secs(4), 0.0, 0.0);
    scenario.fleet.kill(1);
    scenario.fleet.start_one(1);
    scenario.publish_all(1, &endpoints);

    scenario.advance_with_load(Duration::from_secs(4), 600.0, 400.0);

    for name in ["e-cold", "d-cold"] {
        let most = scenario.max_in_one_second(name);
        assert!((1..=bound()).contains(&most), "{name}: {most}");
    }
}

/// Guards against instances that use more than their share right after all of them started.
#[test]
fn a_fleet_that_starts_all_at_once_keeps_the_limit() {
    let endpoints = [
        record("e-cold", "model", FOREVER),
        record("d-cold", "desk", FOREVER),
    ];
    let mut scenario = Scenario::new(64, &endpoints);
    for index in 0..64 {
        scenario.fleet.kill(index);
        scenario.fleet.start_one(index);
        scenario.publish_all(index, &endpoints);
    }

    scenario.advance_with_load(Duration::from_secs(5), 600.0, 400.0);

    for name in ["e-cold", "d-cold"] {
        let most = scenario.max_in_one_second(name);
        assert!(most <= bound(), "{name}: {most}");
    }
}

/// Guards against a service that becomes unusable because its last endpoint is cold.
#[test]
fn the_last_endpoint_is_used_even_if_it_is_cold() {
    let endpoints = [
        record("e-cold", "model", FOREVER),
        record("d-cold", "desk", FOREVER),
    ];
    let mut scenario = Scenario::new(6, &endpoints);

    scenario.advance_with_load(Duration::from_secs(4), 200.0, 100.0);

    let of = |name| {
        let key = EndpointKey::of(name);
        scenario.sent.iter().filter(|it| it.1 == key).count()
    };
    assert!(of("e-cold") >= 4 * 10, "{}", of("e-cold"));
    assert!(of("d-cold") >= 4 * 20, "{}", of("d-cold"));
}

fn one_with(endpoints: &[EndpointRecord]) -> Gateway {
    let mut one = instances::gateway(1);
    let now = Time::from_secs(1);
    for endpoint in endpoints {
        one.publish_endpoint(now, endpoint.clone());
    }
    one.publish_catalogue(catalogue()).expect("no findings");
    one
}

fn cordon(revision: u64, is_closed: bool) -> Cordon {
    Cordon {
        data_centre: "north".to_owned(),
        revision: instances::rev(revision),
        is_closed,
    }
}

/// Guards against full load on endpoints that became cold while their data centre was closed.
#[test]
fn endpoints_of_a_reopened_data_centre_count_as_cold() {
    let mut one = one_with(&[record("d-1", "desk", Duration::ZERO)]);
    let (closed, open) = (Time::from_secs(5), Time::from_secs(9));
    let key = EndpointKey::of("d-1");
    let is_cold = |one: &Gateway, at: Time| one.endpoints.is_cold(at, key, &COLD);

    one.publish_cordon(closed, cordon(7, true));
    one.publish_cordon(open, cordon(8, false));

    assert!(!is_cold(&one, open + COLD.after_uncordon()));
    assert!(is_cold(&one, open + COLD.duration));
    let reported_at = open + Duration::from_millis(100);
    one.endpoints.observe_cold(reported_at, key, Duration::ZERO);
    assert!(!is_cold(&one, reported_at), "its own report is newer");
}

/// Guards against an endpoint that reports that it is cold again and is ignored.
#[test]
fn an_endpoint_may_become_cold_again() {
    let mut one = one_with(&[record("d-1", "desk", Duration::ZERO)]);
    let key = EndpointKey::of("d-1");
    let now = Time::from_secs(50);
    assert!(!one.endpoints.is_cold(now, key, &COLD));

    one.endpoints.observe_cold(now, key, Duration::from_secs(2));

    assert!(
        one.endpoints
            .is_cold(now + Duration::from_secs(1), key, &COLD)
    );
    assert!(
        !one.endpoints
            .is_cold(now + Duration::from_secs(2), key, &COLD)
    );
}

/// Guards against copies at an engine that may not be asked to resume from them.
#[rstest]
#[case(CopyKind::Standby)]
#[case(CopyKind::PreCopy)]
fn no_copy_is_placed_at_a_cold_engine(#[case] kind: CopyKind) {
    let mut one = one_with(&[
        record("e-source", "model", Duration::ZERO),
        record("e-cold", "model", FOREVER),
    ]);
    let now = Time::from_secs(20);
    let demand = Demand {
        service: "model",
        engine: Some(ENGINE),
        tokens: 10,
        exclude: &[],
        pace: PaceDemand::default(),
    };
    let source = EndpointKey::of("e-source");

    let place = one.place_without_home(now, &demand, PlacementKind::Copy { source, kind });

    assert_eq!(place, Err(PlacementError::Full));
}
