//! Rate limits that endpoints report: what a whole fleet sends them.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::Fleet;
use oriolemux_core::gateway::catalogue::{CatalogueSource, Service};
use oriolemux_core::gateway::rate_limits::{RateLimits, ResponseLimit};
use oriolemux_core::gateway::request::{PaceDemand, PlacementError};
use oriolemux_core::gateway::{Demand, EndpointRecord, Gateway};
use oriolemux_core::{EndpointKey, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;

const SEEDS: usize = 3;
const SERVICE: &str = "desk";
const LIMITED: &str = "d-need";

/// The limit that the endpoint reports, in requests per second.
const RATE: f64 = 3.3;

/// Calls per second of the whole fleet.
const CALLS: f64 = 200.0;

/// Response time of all endpoints.
const RESPONSE_TIME: Duration = Duration::from_millis(15);

/// The overshoot that an operator tolerates: a factor and a number of requests per window.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(4);

/// How long after an instance learned of the limit its requests are counted.
const KNOWN_FOR: Duration = Duration::from_millis(500);

fn record(name: &str) -> EndpointRecord {
    EndpointRecord {
        service: SERVICE.to_owned(),
        ..instances::engine(name)
    }
}

fn catalogue() -> CatalogueSource {
    CatalogueSource {
        version: 1,
        services: vec![Service {
            name: SERVICE.to_owned(),
            engine: None,
            cold: None,
        }],
        ..CatalogueSource::default()
    }
}

fn demand() -> Demand<'static> {
    Demand {
        service: SERVICE,
        engine: None,
        tokens: 0,
        exclude: &[],
        pace: PaceDemand::default(),
    }
}

/// A fleet in front of endpoints, some of which report a limit.
struct Scenario {
    fleet: Fleet,
    rng: SmallRng,
    names: Vec<&'static str>,
    /// The limits that endpoints report.
    limits: BTreeMap<EndpointKey, f64>,
    /// Pending responses: when they arrive, the instance, the endpoint, and when the call was sent.
    responses: Vec<(Time, usize, EndpointKey, Time)>,
    /// When the current incarnation of an instance first received a limit.
    limit_known_since: BTreeMap<usize, Time>,
    /// Counted calls: those of instances that know the limit.
    counted: Vec<(Time, EndpointKey)>,
    sent: BTreeMap<EndpointKey, usize>,
    refused: usize,
}

impl Scenario {
    fn new(size: usize, names: &[&'static str]) -> Scenario {
        let mut fleet = Fleet::start(size, SEEDS, 5);
        let joined = fleet.until_all_count(size, Duration::from_secs(20));
        assert!(joined.is_some(), "{:?}", fleet.counts());
        fleet.run(Duration::from_secs(3));
        let mut scenario = Scenario {
            fleet,
            rng: SmallRng::seed_from_u64(9),
            names: names.to_vec(),
            limits: BTreeMap::new(),
            responses: Vec::new(),
            limit_known_since: BTreeMap::new(),
            counted: Vec::new(),
            sent: BTreeMap::new(),
            refused: 0,
        };
        for index in 0..size {
            scenario.publish_all(index);
        }
        scenario
    }

    fn publish_all(&mut self, index: usize) {
        let now = self.fleet.now;
        let records: Vec<EndpointRecord> = self.names.iter().map(|it| record(it)).collect();
        let core = self.core(index);
        for record in records {
            core.publish_endpoint(now, record);
        }
        core.publish_catalogue(catalogue()).expect("no findings");
    }

    fn core(&mut self, index: usize) -> &mut Gateway {
        self.fleet.nodes[index].core.as_mut().expect("it is there")
    }

    fn restart(&mut self, index: usize) {
        self.fleet.kill(index);
        self.fleet.start_one(index);
        self.limit_known_since.remove(&index);
        self.responses.retain(|it| it.1 != index);
        self.publish_all(index);
    }

    /// Advances time while calls arrive.
    fn advance_with_calls(&mut self, time: Duration) {
        let ends = self.fleet.now + time;
        while self.fleet.now < ends {
            self.fleet.run(Duration::from_millis(1));
            if self.rng.random_bool(CALLS / 1_000.0) {
                self.call();
            }
            self.deliver_responses();
        }
    }

    fn call(&mut self) {
        let size = self.fleet.nodes.len();
        let (index, now) = (self.rng.random_range(0..size), self.fleet.now);
        let Ok(place) = self.core(index).place(now, &demand()) else {
            self.refused += 1;
            return;
        };
        *self.sent.entry(place.key).or_default() += 1;
        let limit_known_since = self.limit_known_since.get(&index);
        if limit_known_since.is_some_and(|at| now.since(*at) >= KNOWN_FOR) {
            self.counted.push((now, place.key));
        }
        self.responses
            .push((now + RESPONSE_TIME, index, place.key, now));
    }

    fn deliver_responses(&mut self) {
        let now = self.fleet.now;
        let arrived = self.responses.iter().filter(|it| it.0 <= now);
        let arrived: Vec<_> = arrived.copied().collect();
        self.responses.retain(|it| it.0 > now);
        for (_, index, key, sent) in arrived {
            let limit = self.limits.get(&key).copied();
            let reported = limit.map_or(ResponseLimit::None, ResponseLimit::PerSecond);
            if limit.is_some() {
                self.limit_known_since.entry(index).or_insert(now);
            }
            let change = self.core(index).observe_limit(now, key, sent, reported);
            if change.is_some() {
                self.fleet.schedule_tick(index);
            }
        }
    }

    /// Returns the most counted calls that an endpoint got within any window.
    fn max_in_one_window(&self, name: &str) -> usize {
        let key = EndpointKey::of(name);
        let counted = self.counted.iter().filter(|it| it.1 == key);
        let times: Vec<Time> = counted.map(|it| it.0).collect();
        let within = |at: &Time| {
            let later = times.iter().filter(|it| *it >= at);
            later.take_while(|it| it.since(*at) <= WINDOW).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }

    fn sent_to(&self, name: &str) -> usize {
        let sent = self.sent.get(&EndpointKey::of(name));
        sent.copied().unwrap_or(0)
    }
}

fn bound(rate: f64) -> usize {
    (rate * OVERSHOOT * WINDOW.as_secs_f64() + SLACK) as usize
}

fn all_connected(_: usize, _: usize) -> bool {
    true
}

fn two_sides(from: usize, to: usize) -> bool {
    from % 2 == to % 2
}

fn all_isolated(_: usize, _: usize) -> bool {
    false
}

/// Guards against instances that each use the whole limit of an endpoint.
#[rstest]
#[case::few(6, all_connected)]
#[case::few_partitioned(6, two_sides)]
#[case::few_isolated(6, all_isolated)]
#[case::some(64, all_connected)]
#[case::some_partitioned(64, two_sides)]
#[case::some_isolated(64, all_isolated)]
#[case::planned(390, all_connected)]
#[case::planned_partitioned(390, two_sides)]
fn a_reported_limit_holds_for_the_whole_fleet(
    #[case] size: usize,
    #[case] passes: fn(usize, usize) -> bool,
) {
    let mut scenario = Scenario::new(size, &[LIMITED, "d-other"]);
    scenario.fleet.passes = passes;
    scenario.advance_with_calls(Duration::from_secs(2));
    scenario.limits.insert(EndpointKey::of(LIMITED), RATE);

    scenario.advance_with_calls(Duration::from_secs(15));

    let most = scenario.max_in_one_window(LIMITED);
    assert!(most <= bound(RATE), "{most} of {}", bound(RATE));
    assert_eq!(scenario.refused, 0, "the other endpoint takes the rest");
}

/// Guards against restarted instances that do not know the limit, or use all of it because they are
/// cut off from the others.
#[rstest]
#[case::few(6, all_connected)]
#[case::few_partitioned(6, two_sides)]
#[case::few_isolated(6, all_isolated)]
#[case::some(64, all_connected)]
#[case::some_partitioned(64, two_sides)]
#[case::some_isolated(64, all_isolated)]
fn a_reported_limit_holds_while_instances_restart(
    #[case] size: usize,
    #[case] passes: fn(usize, usize) -> bool,
) {
    let mut scenario = Scenario::new(size, &[LIMITED, "d-other"]);
    scenario.limits.insert(EndpointKey::of(LIMITED), RATE);
    scenario.advance_with_calls(Duration::from_secs(3));
    scenario.fleet.passes = passes;

    for _ in 0..4 {
        for index in (0..size).step_by(3) {
            scenario.restart(index);
        }
        scenario.advance_with_calls(Duration::from_secs(2));
    }
    scenario.advance_with_calls(Duration::from_secs(8));

    let most = scenario.max_in_one_window(LIMITED);
    assert!(most <= bound(RATE), "{most} of {}", bound(RATE));
}

/// Guards against a limit below one request per second that becomes zero, so that the endpoint can
/// never report its end.
#[rstest]
#[case::below_one(0.3)]
#[case::zero(0.0)]
fn some_requests_reach_an_endpoint_with_the_lowest_limit(#[case] rate: f64) {
    let mut scenario = Scenario::new(6, &[LIMITED, "d-other"]);
    scenario.limits.insert(EndpointKey::of(LIMITED), rate);
    scenario.advance_with_calls(Duration::from_secs(5));
    let before = scenario.sent_to(LIMITED);

    scenario.advance_with_calls(Duration::from_secs(25));

    let after = scenario.sent_to(LIMITED);
    assert!(after > before, "{after} of {before}");
    assert!(scenario.max_in_one_window(LIMITED) <= bound(rate));
}

/// Guards against a limit that some instances enforce for good, because they send too few requests
/// to learn of its end.
#[rstest]
#[case::few(6)]
#[case::some(64)]
#[case::planned(390)]
fn the_end_of_a_limit_reaches_the_whole_fleet(#[case] size: usize) {
    let mut scenario = Scenario::new(size, &[LIMITED, "d-other"]);
    let key = EndpointKey::of(LIMITED);
    scenario.limits.insert(key, RATE);
    scenario.advance_with_calls(Duration::from_secs(4));
    let all_know = |scenario: &Scenario, limit: Option<f64>| {
        let cores = scenario
            .fleet
            .nodes
            .iter()
            .filter_map(|it| it.core.as_ref());
        cores.filter(|it| it.limits.of(key) == limit).count()
    };
    assert_eq!(all_know(&scenario, Some(RATE)), size, "all received it");

    scenario.limits.clear();
    scenario.advance_with_calls(Duration::from_secs(4));

    assert_eq!(all_know(&scenario, None), size);
}

/// Guards against a limit that outlives the process that reported it.
#[test]
fn a_new_incarnation_of_an_endpoint_has_no_limit() {
    let mut one = instances::gateway(1);
    let (now, key) = (Time::from_secs(10), EndpointKey::of(LIMITED));
    one.publish_endpoint(now, record(LIMITED));
    one.observe_limit(now, key, now, ResponseLimit::PerSecond(RATE));

    let later = EndpointRecord {
        started_unix_ms: Some(5),
        ..record(LIMITED)
    };
    let new_key = later.key();
    one.publish_endpoint(now, later);

    assert_eq!(one.limits.of(new_key), None);
}

/// Guards against callers that wait until they time out for a service whose endpoints have all
/// reached their limit.
#[test]
fn callers_are_refused_at_once_where_all_endpoints_are_at_their_limit() {
    let names = ["d-1", "d-2", "d-3"];
    let mut scenario = Scenario::new(6, &names);
    for name in names {
        scenario.limits.insert(EndpointKey::of(name), RATE);
    }
    scenario.advance_with_calls(Duration::from_secs(3));
    let now = scenario.fleet.now;

    let mut refused = None;
    for _ in 0..20 {
        refused = refused.or(scenario.core(0).place(now, &demand()).err());
    }

    assert_eq!(refused, Some(PlacementError::RateLimited));
    for name in names {
        assert!(
            scenario.sent_to(name) >= 3,
            "{name}: {}",
            scenario.sent_to(name)
        );
    }
}

/// Guards against reordered responses: a response to a request from before the limit was reported
/// does not end it.
#[rstest]
#[case::sent_before(Duration::from_millis(900), Some(RATE))]
#[case::sent_after(Duration::from_millis(1_100), None)]
fn a_response_without_a_limit_ends_it_only_if_its_request_was_sent_later(
    #[case] sent: Duration,
    #[case] expected: Option<f64>,
) {
    let mut limits = RateLimits::default();
    let (start, key) = (Time::from_secs(1), EndpointKey::of(LIMITED));
    let named = start + Duration::from_secs(1);
    limits.observe_limit(named, key, start, ResponseLimit::PerSecond(RATE));

    let late = start + Duration::from_secs(2);
    limits.observe_limit(late, key, start + sent, ResponseLimit::None);

    assert_eq!(limits.of(key), expected);
}

/// Guards against an older report of a peer that restores a limit which has ended.
#[test]
fn the_newer_report_of_a_limit_wins() {
    let mut limits = RateLimits::default();
    let (now, key) = (Time::from_secs(10), EndpointKey::of(LIMITED));
    limits.observe_limit(now, key, now, ResponseLimit::PerSecond(RATE));
    let report = limits.report(now, key).expect("it is known");
    let ended = now + Duration::from_secs(2);
    limits.observe_limit(
        ended,
        key,
        now + Duration::from_secs(1),
        ResponseLimit::None,
    );

    let later = ended + Duration::from_millis(10);
    let stale = oriolemux_core::gateway::rate_limits::LimitReport {
        age_ms: 2_010,
        ..report
    };

    assert_eq!(limits.on_report(later, stale), None);
    assert_eq!(limits.of(key), None);
}

/// Guards against values that cannot be used as a rate.
#[rstest]
#[case::unreadable(ResponseLimit::Unreadable, None)]
#[case::zero(ResponseLimit::PerSecond(0.0), Some(0.1))]
#[case::usual(ResponseLimit::PerSecond(2.5), Some(2.5))]
#[case::beyond_use(ResponseLimit::PerSecond(1e12), Some(1e6))]
fn each_reported_value_is_handled(
    #[case] limit_known_since: ResponseLimit,
    #[case] expected: Option<f64>,
) {
    let mut limits = RateLimits::default();
    let (now, key) = (Time::from_secs(10), EndpointKey::of(LIMITED));

    limits.observe_limit(now, key, now, limit_known_since);

    assert_eq!(limits.of(key), expected);
}
