//! Endpoints that are leaving: what takes that back, what forgets it, and who learns of it.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::Fleet;
use oriolemux_core::gateway::endpoints::Removal;
use oriolemux_core::gateway::state::SendKind;
use oriolemux_core::gateway::{Body, EndpointRecord, EndpointState, Gateway};
use oriolemux_core::{EndpointKey, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const NOW: Time = Time::from_secs(10);

/// How long after an endpoint began to leave a request may still reach it.
const BOUND: Duration = Duration::from_secs(2);

/// The part of that bound which opening a connection and sending a request may take.
const SENDING: Duration = Duration::from_millis(500);

/// Steps of a random history, and how many seeds are played.
const STEPS: usize = 400;
const SEEDS: u64 = 50;

/// How an instance learns that the engine `e-1` is leaving.
#[derive(Clone, Copy, Debug)]
enum Notice {
    Response,
    Record,
    Removal,
}

fn notify(one: &mut Gateway, now: Time, notice: Notice) {
    let record = instances::engine("e-1");
    match notice {
        Notice::Response => drop(one.endpoints.mark_leaving(now, record.key())),
        Notice::Record => drop(one.publish_endpoint(
            now,
            EndpointRecord {
                leaving: true,
                ..record
            },
        )),
        Notice::Removal => drop(one.endpoint_vanished(now, "e-1", Removal::Stated)),
    }
}

/// Returns an instance that knows the engine `e-1` and believes that the store is settled.
fn instance() -> Gateway {
    let mut one = instances::gateway(1);
    one.reader.on_answer(NOW);
    one.publish_endpoint(NOW, instances::engine("e-1"));
    one
}

/// Guards against a generation that resumes from a copy at an engine that has been leaving for
/// longer than a request may reach it.
#[rstest]
#[case::response(Notice::Response)]
#[case::record(Notice::Record)]
#[case::removal(Notice::Removal)]
fn nothing_resumes_at_an_engine_that_has_been_leaving(#[case] notice: Notice) {
    let mut one = instance();
    let engine = EndpointKey::of("e-1");
    notify(&mut one, NOW, notice);

    let late = NOW + (BOUND - SENDING);
    let is_admitted = one.admit_send(late, engine, late, SendKind::FromCopy);

    assert!(!is_admitted);
}

/// Guards against an endpoint that is used again because its mark was forgotten: it lives on after
/// its record was removed, and an older copy of that record comes back.
#[rstest]
#[case::after_a_minute(Duration::from_secs(90))]
#[case::after_half_an_hour(Duration::from_secs(1_800))]
fn a_mark_outlives_the_record_of_an_endpoint(#[case] away: Duration) {
    let mut one = instance();
    notify(&mut one, NOW, Notice::Response);
    notify(&mut one, NOW, Notice::Removal);
    let back = NOW + away;
    let mut now = NOW;
    while now < back {
        now += Duration::from_secs(1);
        one.tick(now);
    }

    one.publish_endpoint(now, instances::engine("e-1"));

    assert!(!one.is_usable(EndpointKey::of("e-1")));
}

/// Guards against marks that fill the memory of an instance, and against the loss of the newest
/// ones for that reason.
#[test]
fn marks_are_bounded_and_the_oldest_go_first() {
    let mut one = instance();
    let keys = |number: u32| EndpointKey::of(&format!("gone-{number}"));
    for number in 0..20_000_u32 {
        let now = NOW + Duration::from_millis(number.into());
        one.endpoints.mark_leaving(now, keys(number));
    }

    let now = NOW + Duration::from_secs(21);
    one.tick(now);

    assert!(one.endpoints.known_leaving() <= 8_192);
    one.publish_endpoint(now, instances::engine("gone-19999"));
    assert!(!one.is_usable(keys(19_999)));
}

/// Guards against an instance that never learns what an endpoint announced to another one, because
/// it was frozen while the gossip about it spread and the record still says ready.
#[rstest]
#[case::shorter_than_a_probe_period(Duration::from_millis(900))]
#[case::counted_as_gone(Duration::from_secs(8))]
fn an_instance_that_was_frozen_learns_who_is_leaving(
    #[case] frozen_for: Duration,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = Fleet::start(6, 2, seed);
    fleet.run(Duration::from_secs(4));
    fleet.publish(&instances::engine("e-1"));
    let engine = EndpointKey::of("e-1");

    fleet.nodes[5].frozen = true;
    fleet.observe_leaving(1, engine);
    fleet.run(frozen_for);
    fleet.nodes[5].frozen = false;
    fleet.run(Duration::from_secs(3));

    let usable_at = |it: &fleet::Node| it.core.as_ref().is_some_and(|it| it.is_usable(engine));
    assert_eq!(fleet.nodes.iter().filter(|it| usable_at(it)).count(), 0);
}

/// Guards against an instance that is started while others know that an endpoint is leaving, and
/// reads a record that still says ready.
#[rstest]
fn an_instance_that_starts_learns_who_is_leaving(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = Fleet::start(6, 2, seed);
    fleet.run(Duration::from_secs(4));
    fleet.publish(&instances::engine("e-1"));
    let engine = EndpointKey::of("e-1");
    fleet.observe_leaving(1, engine);
    fleet.run(Duration::from_secs(70));

    fleet.kill(5);
    fleet.run(Duration::from_millis(300));
    fleet.start_one(5);
    fleet.run(Duration::from_millis(100));
    fleet.publish(&instances::engine("e-1"));
    fleet.run(Duration::from_secs(3));

    let core = fleet.nodes[5].core.as_ref().expect("it runs");
    assert!(!core.is_usable(engine));
}

/// A process of the random history, and since when the instance knows that it is leaving.
struct Process {
    record: EndpointRecord,
    known_leaving: Option<Time>,
}

/// Guards against any order of records, removals, unreadable records and announcements after which
/// something is sent to an endpoint that this instance knew to be leaving.
#[test]
fn no_history_of_records_brings_a_leaving_endpoint_back() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut one = instance();
        let mut now = NOW;
        let mut processes: Vec<Process> = Vec::new();
        for step in 0..STEPS {
            now += Duration::from_millis(rng.random_range(5..1_500));
            one.tick(now);
            play_step(&mut rng, &mut one, now, &mut processes);
            for process in &processes {
                let Some(since) = process.known_leaving else {
                    continue;
                };
                let key = process.record.key();
                let (late, chosen) = (now.since(since) > BOUND - SENDING, now);
                let start = one.admit_send(now, key, chosen, SendKind::Start);
                let resumed = late && one.admit_send(now, key, chosen, SendKind::FromCopy);
                assert!(!start && !resumed, "seed {seed}, step {step}, {key}");
            }
        }
    }
}

/// Changes something about one of a few endpoint names. A process is replaced by a new incarnation
/// only after it was known to be leaving.
fn play_step(rng: &mut SmallRng, one: &mut Gateway, now: Time, processes: &mut Vec<Process>) {
    let name = format!("e-{}", rng.random_range(2..6));
    let known = processes.iter().rposition(|it| it.record.name == name);
    let is_replaced = known.is_some_and(|it| {
        let since = processes[it].known_leaving;
        since.is_some_and(|since| now.since(since) > Duration::from_secs(20))
    });
    let Some(index) = known.filter(|_| !is_replaced || rng.random_bool(0.7)) else {
        let record = EndpointRecord {
            started_unix_ms: Some(now.as_micros()),
            ..instances::engine(&name)
        };
        one.publish_endpoint(now, record.clone());
        processes.push(Process {
            record,
            known_leaving: None,
        });
        return;
    };
    let record = processes[index].record.clone();
    let before = one.endpoints.get(record.key()).map(|it| it.state);
    match rng.random_range(0..6) {
        0 => drop(one.publish_endpoint(now, record.clone())),
        1 => drop(one.publish_endpoint(
            now,
            EndpointRecord {
                leaving: true,
                ..record.clone()
            },
        )),
        2 => drop(one.endpoints.remove_record(now, &name, rng.random())),
        3 => one.endpoints.mark_unreadable(&name),
        4 => drop(one.endpoints.mark_leaving(now, record.key())),
        _ => {}
    }
    let is_leaving = |it: Option<EndpointState>| matches!(it, Some(EndpointState::Leaving { .. }));
    let after = one.endpoints.get(record.key()).map(|it| it.state);
    if is_leaving(after) && !is_leaving(before) {
        processes[index].known_leaving.get_or_insert(now);
    }
}

/// Returns how many messages about leaving endpoints the instance `to` sends when it gets a probe of
/// the instance `from`.
fn sent_about_leaving(fleet: &mut Fleet, from: usize, to: usize) -> usize {
    let now = fleet.now;
    let sender = fleet.nodes[from].core.as_mut().expect("it runs");
    let probe = sender.datagram(now, Body::probe(1, 0, None));
    let receiver = fleet.nodes[to].core.as_mut().expect("it runs");
    let outcome = receiver.on_datagram(now, probe).expect("a valid probe");
    let bodies = outcome.send.iter().map(|(_, body)| body);
    bodies
        .filter(|it| matches!(it, Body::Gossip(gossip) if !gossip.leaving.is_empty()))
        .count()
}

/// Guards against traffic that goes on for as long as endpoints are leaving and their records say
/// ready, and against more than a few messages to an instance that does not know.
#[rstest]
#[case::few(6)]
#[case::planned_size(390)]
fn only_instances_that_differ_are_told_who_is_leaving(#[case] size: usize) {
    let mut fleet = Fleet::start(size, 3, 1);
    fleet.run(Duration::from_secs(4));
    for number in 0..30 {
        let record = instances::engine(&format!("e-{number}"));
        fleet.publish(&record);
        fleet.observe_leaving(1, record.key());
    }
    fleet.run(Duration::from_secs(4));

    let agreeing = (1..size).map(|it| sent_about_leaving(&mut fleet, it, 0));
    let to_agreeing: usize = agreeing.sum();
    fleet.kill(2);
    fleet.start_one(2);
    let to_differing = sent_about_leaving(&mut fleet, 2, 0);

    assert_eq!((to_agreeing, to_differing), (0, 2));
}
