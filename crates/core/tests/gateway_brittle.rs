//! Endpoints that terminate if they have to reject too many requests: what a fleet sends them.

#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use instances::{datagram, engine, gateway};
use oriolemux_core::gateway::brittle::{
    BrittleEndpoints, BrittleReport, FleetPosition, MAX_TOLERATED,
};
use oriolemux_core::gateway::usage::{ReportedLoad, Slowdown};
use oriolemux_core::gateway::{Body, Gateway};
use oriolemux_core::{EndpointKey, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::VecDeque;

const ENDPOINT: EndpointKey = EndpointKey(7);

const START: Time = Time::from_secs(100);

const SECOND: Duration = Duration::from_secs(1);

/// One way between an instance and the endpoint.
const DELAY: Duration = Duration::from_millis(1);

/// How long a call runs.
const RUN: Duration = Duration::from_millis(50);

/// How long a call waits for a free slot.
const TARGET: Duration = Duration::from_secs(1);

/// How long calls arrive.
const TIME: Duration = Duration::from_secs(10);

/// What an instance observes or an endpoint receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Arrival,
    RunEnds,
    Accepted,
    Rejected,
}

/// A load on one brittle endpoint.
#[derive(Clone, Copy, Debug)]
struct Load {
    instances: u32,
    /// Rejections per second that the endpoint tolerates.
    tolerated: u32,
    /// Calls that the endpoint runs at once.
    capacity: u32,
    /// Slots in the endpoint's record.
    slots: u32,
    /// Calls per second of the whole fleet.
    calls: f64,
}

/// The endpoint, and the instances in front of it.
struct Fleet {
    load: Load,
    instances: Vec<(BrittleEndpoints, u32)>,
    /// Events that are due, with their instance.
    due: Vec<(Time, usize, Event)>,
    running: u32,
    served: usize,
    rejections: Vec<Time>,
}

impl Fleet {
    /// Runs a load whose instances all know the endpoint's statement.
    fn run(load: Load) -> Fleet {
        let mut known = BrittleEndpoints::default();
        known.observe(START, ENDPOINT, load.tolerated);
        let instances = (0..load.instances).map(|rank| {
            let mut known = known.clone();
            known.set_positions(|_| FleetPosition {
                known: Some(load.instances),
                rank,
            });
            (known, 0)
        });
        let mut fleet = Fleet {
            load,
            instances: instances.collect(),
            due: Vec::new(),
            running: 0,
            served: 0,
            rejections: Vec::new(),
        };
        let mut rng = SmallRng::seed_from_u64(3);
        // Calls that wait for a free slot.
        let mut held = VecDeque::new();
        let mut now = START;
        while now < START + TIME {
            now += DELAY;
            fleet.deliver(now);
            if rng.random_bool(load.calls * DELAY.as_secs_f64()) {
                held.push_back((now, rng.random_range(0..load.instances as usize)));
            }
            held.retain(|(arrived, index)| {
                now.since(*arrived) < TARGET && !fleet.send(now, *index)
            });
        }
        fleet
    }

    /// Sends a call of an instance, if it may be sent; returns whether it was.
    fn send(&mut self, now: Time, index: usize) -> bool {
        let slots = self.load.slots;
        let (brittle, running) = &mut self.instances[index];
        let may_send = brittle.may_send(now, ENDPOINT, slots, *running);
        if may_send {
            brittle.on_send(now, ENDPOINT, slots, *running);
            *running += 1;
            self.due.push((now + DELAY, index, Event::Arrival));
        }
        may_send
    }

    fn deliver(&mut self, now: Time) {
        let due = self.due.extract_if(.., |it| it.0 <= now);
        let due: Vec<_> = due.collect();
        for (_, index, event) in due {
            let slots = self.load.slots;
            let load = ReportedLoad {
                running: self.running,
                waiting: 0,
                slots: self.load.capacity,
                slowdown: Slowdown::USUAL,
            };
            let (brittle, running) = &mut self.instances[index];
            match event {
                Event::Arrival if self.running < self.load.capacity => {
                    self.running += 1;
                    self.due.push((now + RUN, index, Event::RunEnds));
                }
                Event::Arrival => {
                    self.rejections.push(now);
                    self.due.push((now + DELAY, index, Event::Rejected));
                }
                Event::RunEnds => {
                    self.running -= 1;
                    self.served += 1;
                    self.due.push((now + DELAY, index, Event::Accepted));
                }
                Event::Accepted => {
                    brittle.on_load(now, ENDPOINT, load, *running);
                    brittle.on_accepted(now, ENDPOINT, slots, *running);
                    *running -= 1;
                }
                Event::Rejected => {
                    brittle.on_load(now, ENDPOINT, load, *running);
                    brittle.on_rejected(now, ENDPOINT, slots, *running);
                    *running -= 1;
                }
            }
        }
    }

    /// Returns the largest number of rejections within a second that ends after `from`.
    fn worst_second(&self, from: Time) -> usize {
        let ends = self.rejections.iter().filter(|it| **it >= from);
        let within = |end: Time| {
            let all = self.rejections.iter();
            all.filter(|it| **it <= end && end.since(**it) < SECOND)
                .count()
        };
        ends.map(|end| within(*end)).max().unwrap_or(0)
    }
}

/// Guards against endpoints that terminate because instances together cause more rejections than
/// are tolerated, and against capacity that is left unused while callers are refused.
#[rstest]
fn rejections_stay_within_what_is_tolerated(
    #[values(1, 2, 3, 7)] instances: u32,
    #[values(0, 1, 3, 10)] tolerated: u32,
    #[values(7, 24)] capacity: u32,
    #[values(75.0, 900.0)] calls: f64,
) {
    let load = Load {
        instances,
        tolerated,
        capacity,
        slots: capacity,
        calls,
    };

    let fleet = Fleet::run(load);

    let worst = fleet.worst_second(START);
    assert!(
        worst <= tolerated as usize,
        "{worst} rejections in a second"
    );
    let possible = (f64::from(capacity) / RUN.as_secs_f64()).min(calls) * TIME.as_secs_f64();
    let served = fleet.served as f64 / possible;
    assert!(served > 0.75, "{served} of what is possible is served");
}

/// Guards against an endpoint whose record states more slots than it has: after the first
/// rejections the instances know better.
#[rstest]
fn rejections_lower_the_part_of_the_slots(
    #[values(2, 3)] instances: u32,
    #[values(75.0, 300.0)] calls: f64,
) {
    let load = Load {
        instances,
        tolerated: 3,
        capacity: 2,
        slots: 24,
        calls,
    };

    let fleet = Fleet::run(load);

    let worst = fleet.worst_second(START + SECOND * 4);
    assert!(worst <= 3, "{worst} rejections in a second");
    assert!(fleet.served > 200, "{}", fleet.served);
}

/// Returns what an instance knows that is one of `known` and has no share of the rejections.
fn without_share(known: Option<u32>) -> BrittleEndpoints {
    let mut brittle = BrittleEndpoints::default();
    brittle.observe(START, ENDPOINT, 3);
    brittle.set_positions(|_| FleetPosition { known, rank: 60 });
    brittle
}

/// Guards against many instances that each have one rejection per second, and against instances
/// that never use an endpoint again: one without a share waits until its turn.
#[rstest]
#[case::large_fleet(Some(90), Duration::from_secs(30))]
#[case::unknown_fleet(None, Duration::from_secs(42))]
fn an_instance_without_a_share_waits_after_a_rejection(
    #[case] known: Option<u32>,
    #[case] hold: Duration,
) {
    let mut brittle = without_share(known);
    let may_send = |brittle: &BrittleEndpoints, now: Time| brittle.may_send(now, ENDPOINT, 24, 0);
    let before = may_send(&brittle, START);

    brittle.on_rejected(START, ENDPOINT, 24, 1);

    assert!(before);
    assert!(!may_send(&brittle, START + (hold - SECOND)));
    assert!(may_send(&brittle, START + hold + SECOND));
}

/// Guards against an instance that sends many requests at once to an endpoint of which it knows
/// nothing but that it is brittle.
#[test]
fn an_instance_that_may_know_only_part_of_the_fleet_sends_one_request_at_a_time() {
    let brittle = without_share(None);

    assert!(brittle.may_send(START, ENDPOINT, 24, 0));
    assert!(!brittle.may_send(START, ENDPOINT, 24, 1));
}

/// Guards against a limit for endpoints that stated none, and against a huge value that has an
/// effect.
#[rstest]
#[case::unknown(None)]
#[case::huge(Some(MAX_TOLERATED))]
#[case::largest(Some(u32::MAX))]
fn other_endpoints_have_no_limit(#[case] tolerated: Option<u32>) {
    let mut brittle = BrittleEndpoints::default();

    let change = tolerated.and_then(|it| brittle.observe(START, ENDPOINT, it));
    brittle.on_rejected(START, ENDPOINT, 24, 1);

    assert_eq!(change, None);
    assert!(brittle.is_empty());
    assert!(brittle.may_send(START, ENDPOINT, 24, 1_000));
}

/// Guards against an older report that replaces a newer statement, and against instances that pass
/// the same news on for ever.
#[test]
fn the_newest_statement_holds_and_is_news_once() {
    let mut brittle = BrittleEndpoints::default();
    let report = |tolerated, age_ms| BrittleReport {
        endpoint: ENDPOINT,
        tolerated,
        age_ms,
    };

    let first = brittle.on_report(START, report(3, 100)).is_some();
    let same = brittle.on_report(START, report(3, 50)).is_some();
    let older = brittle.on_report(START, report(9, 500)).is_some();
    let newer = brittle.on_report(START, report(5, 0)).is_some();

    assert_eq!([first, same, older, newer], [true, false, false, true]);
    assert_eq!(brittle.of(ENDPOINT), Some(5));
    brittle.tick(START, |_| false);
    assert!(brittle.is_empty());
}

/// Returns an instance that knows one endpoint, and the endpoint.
fn instance(number: u16) -> (Gateway, EndpointKey) {
    let mut instance = gateway(number);
    instance.publish_endpoint(START, engine("e-1"));
    (instance, engine("e-1").key())
}

/// Guards against an instance that sends many requests to a brittle endpoint because it had no
/// response of it yet, although a peer had.
#[test]
fn a_statement_is_passed_on_with_the_next_message() {
    let (mut first, endpoint) = instance(1);
    let (mut second, _) = instance(2);

    first.observe_brittle(START, endpoint, 3);
    let message = first.datagram(START, Body::probe(1, 0, None));
    let received = second.on_datagram(START, datagram(1, 0, 0, message.body));

    assert_eq!(received.expect("it is read").brittle.len(), 1);
    assert_eq!(second.brittle.of(endpoint), Some(3));
    assert!(second.observe_brittle(START, endpoint, 3).is_none());
}
