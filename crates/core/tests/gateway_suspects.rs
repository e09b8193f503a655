//! Requests that crash endpoints, in simulated fleets over links with delay and loss.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::Fleet;
use instances::{address, engine};
use oriolemux_core::fingerprint::{Fingerprint, Identity};
use oriolemux_core::gateway::endpoints::Removal;
use oriolemux_core::gateway::gossip::GossipItems;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::gateway::{Body, EndpointRecord, Gateway};
use oriolemux_core::suspects::{
    Admission, CrashRecord, MAX_SUSPECTS, REFUSAL_DURATION, RunLeaseAnswer, RunLeaseReport,
    SuspectRun,
};
use oriolemux_core::{EndpointKey, Time};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeSet;

const SEEDS: usize = 3;

const STEP: Duration = Duration::from_millis(1);

/// How long an engine runs the request before it crashes.
const CRASHES_AFTER: Duration = Duration::from_millis(700);

/// How long a caller waits for its request to be sent.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum bytes per second of control traffic of one instance, at the fleet size of the design.
const CONTROL_BYTES: u64 = 4_096;

fn fingerprint(body: &str) -> Fingerprint {
    Fingerprint::of(&Identity {
        deployment: 1,
        workspace: Some("north-desk"),
        host: "desk.example",
        method: "POST",
        path: "/plan/1",
        body: body.as_bytes(),
    })
}

/// An attempt to run the request, at one instance.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    instance: usize,
    run: SuspectRun,
    arrived_at: Time,
    /// The engine that runs it, and since when.
    runs: Option<(EndpointKey, Time)>,
}

/// A fleet that receives one request again and again, which crashes each engine that runs it.
struct Scene {
    fleet: Fleet,
    attempts: Vec<Attempt>,
    /// Engines to which the request was sent.
    sent: u32,
    crashed: BTreeSet<EndpointKey>,
    refused: usize,
    gave_up: usize,
    /// The most attempts that ran at one time.
    most: usize,
}

impl Scene {
    fn new(size: usize, seed: u64) -> Scene {
        let mut fleet = Fleet::start(size, SEEDS, seed);
        let joined = fleet.until_all_count(size, Duration::from_secs(20));
        assert!(joined.is_some(), "{:?}", fleet.counts());
        fleet.run(Duration::from_secs(1));
        Scene {
            fleet,
            attempts: Vec::new(),
            sent: 0,
            crashed: BTreeSet::new(),
            refused: 0,
            gave_up: 0,
            most: 0,
        }
    }

    fn core(&mut self, index: usize) -> Option<&mut Gateway> {
        self.fleet.nodes[index].core.as_mut()
    }

    /// Sends the request to one instance.
    fn send_request(&mut self, instance: usize) {
        let arrived_at = self.fleet.now;
        if let Some(core) = self.core(instance) {
            let run = core.begin_run(fingerprint("fatal"));
            self.attempts.push(Attempt {
                instance,
                run,
                arrived_at,
                runs: None,
            });
        }
    }

    fn step(&mut self) {
        self.fleet.run(STEP);
        for attempt in core::mem::take(&mut self.attempts) {
            if let Some(attempt) = self.advance(attempt) {
                self.attempts.push(attempt);
            }
        }
        let running = self.attempts.iter().filter(|it| it.runs.is_some()).count();
        self.most = self.most.max(running);
    }

    /// Advances an attempt as the gateway does.
    fn advance(&mut self, attempt: Attempt) -> Option<Attempt> {
        let now = self.fleet.now;
        if self.fleet.nodes[attempt.instance].frozen {
            return Some(attempt);
        }
        self.core(attempt.instance)?;
        match attempt.runs {
            Some((at, since)) if now.since(since) >= CRASHES_AFTER => {
                self.crash(attempt, at);
                None
            }
            Some(_) => self.advance_running(attempt),
            None => self.advance_waiting(attempt),
        }
    }

    /// The engine crashes, and its instance finds that nothing listens at its address.
    fn crash(&mut self, attempt: Attempt, at: EndpointKey) {
        let now = self.fleet.now;
        self.crashed.insert(at);
        let place = Placement {
            key: at,
            name: String::new(),
            address: address(1),
        };
        if let Some(core) = self.core(attempt.instance) {
            core.on_endpoint_crash(now, attempt.run.fingerprint, &place);
            core.end_run(attempt.run);
        }
        self.fleet.schedule_tick(attempt.instance);
    }

    /// An attempt that is refused while it runs is cancelled.
    fn advance_running(&mut self, attempt: Attempt) -> Option<Attempt> {
        let now = self.fleet.now;
        let core = self.core(attempt.instance)?;
        if !core.is_refused(now, attempt.run.fingerprint) {
            return Some(attempt);
        }
        core.end_run(attempt.run);
        self.refused += 1;
        None
    }

    fn advance_waiting(&mut self, attempt: Attempt) -> Option<Attempt> {
        let now = self.fleet.now;
        let core = self.core(attempt.instance)?;
        match core.admit_run(now, attempt.run) {
            Admission::Go => {
                self.sent += 1;
                let at = EndpointKey::of(&format!("e-{}", self.sent));
                let runs = Some((at, now));
                Some(Attempt { runs, ..attempt })
            }
            Admission::Refused => {
                core.end_run(attempt.run);
                self.refused += 1;
                None
            }
            Admission::Wait if now.since(attempt.arrived_at) < CALLER_TIMEOUT => {
                self.fleet.schedule_tick(attempt.instance);
                Some(attempt)
            }
            Admission::Wait | Admission::NoHome => {
                core.end_run(attempt.run);
                self.gave_up += 1;
                None
            }
        }
    }

    /// Sends the request every `each_ms` milliseconds, at one instance after the other.
    fn play(&mut self, time: Duration, each_ms: u64) {
        let size = self.fleet.nodes.len();
        for ms in 0..time.as_millis() as u64 {
            if ms.is_multiple_of(each_ms) {
                let count = (ms / each_ms) as usize;
                self.send_request(count * 7 % size);
            }
            self.step();
        }
    }

    fn home(&mut self, asked: usize) -> usize {
        let key = fingerprint("fatal").rank_key();
        let homes = self.core(asked).expect("the instance runs").homes(key);
        let size = self.fleet.nodes.len();
        (0..size)
            .find(|&it| Some(address(it as u16 + 1)) == homes[0])
            .expect("there is a home")
    }
}

/// Guards against eleven engine crashes, each with everything that runs there: a request that
/// crashes its engine is sent every 400 ms, at another instance each time, while earlier attempts
/// still wait at their engines. No instance knew what the request had done elsewhere, or that it
/// was running there.
#[rstest]
#[case::small(6, 0.0)]
#[case::small_with_loss(6, 0.02)]
#[case::large(195, 0.02)]
#[case::planned(390, 0.02)]
fn three_engines_crash_whatever_the_fleet_size(#[case] size: usize, #[case] loss: f64) {
    let mut scene = Scene::new(size, 5);
    scene.fleet.loss = loss;
    scene.send_request(0);
    for _ in 0..800 {
        scene.step();
    }

    scene.play(Duration::from_secs(12), 400);

    assert_eq!(scene.crashed.len(), 3);
    assert_eq!(scene.most, 1, "one at a time");
    assert!(scene.refused > 20, "{} were refused", scene.refused);
}

/// The same while the home of the request is frozen or killed, and when it resumes.
#[rstest]
#[case::frozen(true)]
#[case::killed(false)]
fn an_unresponsive_home_causes_no_fourth_crash(#[case] freezes: bool) {
    let mut scene = Scene::new(30, 6);
    scene.send_request(0);
    for _ in 0..800 {
        scene.step();
    }
    let home = scene.home(0);
    match freezes {
        true => scene.fleet.nodes[home].frozen = true,
        false => scene.fleet.kill(home),
    }

    scene.play(Duration::from_secs(8), 300);
    if freezes {
        scene.fleet.nodes[home].frozen = false;
    }
    scene.play(Duration::from_secs(4), 300);

    assert_eq!(scene.crashed.len(), 3);
    assert!(scene.refused > 10, "{} were refused", scene.refused);
}

/// Guards against a fourth crash after a restart: what an instance knows ends with its process, so
/// it must learn from its peers that the request is refused.
#[test]
fn a_restarted_instance_learns_which_requests_are_refused() {
    let mut scene = Scene::new(30, 7);
    scene.play(Duration::from_secs(6), 400);
    assert_eq!(scene.crashed.len(), 3);
    scene.fleet.kill(4);
    scene.fleet.run(Duration::from_millis(500));
    scene.fleet.start_one(4);

    scene.fleet.run(Duration::from_millis(500));

    let now = scene.fleet.now;
    let core = scene.core(4).expect("the instance runs");
    assert!(core.is_refused(now, fingerprint("fatal")));
}

/// The same for one side of a partition while the engines crashed on the other.
#[test]
fn partitioned_sides_agree_on_refused_requests() {
    let mut scene = Scene::new(30, 8);
    scene.fleet.passes = |from, to| (from < 10) == (to < 10);
    let now = scene.fleet.now;
    for number in 0..3 {
        let place = Placement {
            key: EndpointKey::of(&format!("e-{number}")),
            name: String::new(),
            address: address(1),
        };
        let core = scene.core(0).expect("the instance runs");
        core.on_endpoint_crash(now, fingerprint("fatal"), &place);
    }
    scene.fleet.run(Duration::from_secs(5));
    let now = scene.fleet.now;
    let core = scene.core(20).expect("the instance runs");
    assert!(
        !core.is_refused(now, fingerprint("fatal")),
        "it was partitioned"
    );

    scene.fleet.passes = |_, _| true;
    scene.fleet.run(Duration::from_secs(10));

    let now = scene.fleet.now;
    let knows = |it: &&Gateway| it.is_refused(now, fingerprint("fatal"));
    let cores = scene.fleet.nodes.iter().filter_map(|it| it.core.as_ref());
    assert_eq!(cores.filter(knows).count(), 30);
}

/// After a while without a crash one attempt is admitted, alone, and its result decides.
#[test]
fn one_attempt_is_admitted_after_the_refusal_expires() {
    let mut scene = Scene::new(6, 9);
    scene.play(Duration::from_secs(6), 400);
    assert_eq!(scene.crashed.len(), 3);
    scene.attempts.clear();
    scene.most = 0;
    scene.fleet.run(REFUSAL_DURATION);

    scene.play(Duration::from_secs(6), 200);

    assert_eq!(scene.crashed.len(), 4);
    assert_eq!(scene.most, 1, "one at a time");
}

/// Guards against refusing a popular request for good: it runs at three engines when they lose
/// power, and succeeds elsewhere in between. A crash alone is no proof.
#[test]
fn a_successful_request_is_cleared_everywhere() {
    let mut scene = Scene::new(30, 10);
    let popular = fingerprint("popular");
    let place = |number: u32| Placement {
        key: EndpointKey::of(&format!("e-{number}")),
        name: String::new(),
        address: address(1),
    };
    for number in 0..2 {
        let now = scene.fleet.now;
        let core = scene.core(number).expect("the instance runs");
        core.on_endpoint_crash(now, popular, &place(number as u32));
        scene.fleet.schedule_tick(number);
    }
    scene.fleet.run(Duration::from_millis(300));

    let now = scene.fleet.now;
    scene
        .core(7)
        .expect("the instance runs")
        .on_run_succeeded(now, popular);
    scene.fleet.schedule_tick(7);
    scene.fleet.run(Duration::from_millis(300));
    let now = scene.fleet.now;
    let core = scene.core(3).expect("the instance runs");
    core.on_endpoint_crash(now, popular, &place(9));
    scene.fleet.schedule_tick(3);
    scene.fleet.run(Duration::from_millis(300));

    let now = scene.fleet.now;
    for node in &scene.fleet.nodes {
        let core = node.core.as_ref().expect("the instance runs");
        assert_eq!(core.crash_count(popular), 1);
        assert!(!core.is_refused(now, popular));
    }
}

/// The traffic caused by suspects does not grow with the fleet, also when many engines end at once
/// with many requests.
#[rstest]
#[case::few(6)]
#[case::large(195)]
#[case::planned(390)]
fn traffic_for_suspects_does_not_grow_with_the_fleet(#[case] size: usize) {
    let mut scene = Scene::new(size, 11);
    let now = scene.fleet.now;
    for number in 0..200 {
        let index = number % size;
        let place = Placement {
            key: EndpointKey::of(&format!("e-{}", number / 8)),
            name: String::new(),
            address: address(1),
        };
        let core = scene.core(index).expect("the instance runs");
        core.on_endpoint_crash(now, fingerprint(&format!("r-{number}")), &place);
        scene.fleet.schedule_tick(index);
    }
    scene.fleet.reset_sent();

    let time = Duration::from_secs(20);
    scene.fleet.run(time);

    let busiest = scene.fleet.nodes.iter().max_by_key(|it| it.sent.bytes);
    let busiest = busiest.expect("some instances");
    let a_second = busiest.sent.bytes / time.as_secs();
    println!(
        "{size} instances: {a_second} bytes a second at the busiest, {:?}",
        busiest.by_purpose
    );
    assert!(a_second <= CONTROL_BYTES, "{a_second} bytes a second");
}

/// Guards against a fourth crash while many engines end for another reason: crash records of
/// hundreds of requests are queued, the third crash of one request waits behind them, and the next
/// attempt is granted its lease before. The run lease messages must carry the records themselves.
#[test]
fn the_next_lease_holder_knows_of_the_third_crash() {
    let mut scene = Scene::new(30, 12);
    let now = scene.fleet.now;
    for number in 0..600 {
        let index = number % 30;
        let place = Placement {
            key: EndpointKey::of(&format!("gone-{}", number / 8)),
            name: String::new(),
            address: address(1),
        };
        let core = scene.core(index).expect("the instance runs");
        core.on_endpoint_crash(now, fingerprint(&format!("r-{number}")), &place);
        scene.fleet.schedule_tick(index);
    }
    scene.send_request(0);
    for _ in 0..800 {
        scene.step();
    }

    scene.play(Duration::from_secs(10), 150);

    assert_eq!(scene.crashed.len(), 3);
    assert!(scene.refused > 40, "{} were refused", scene.refused);
}

/// Returns an instance whose connection to an endpoint was lost, without knowing whether the
/// endpoint crashed.
fn with_lost_connection() -> (Gateway, EndpointKey) {
    let mut gateway = instances::gateway(1);
    let record = engine("e-1");
    gateway.publish_endpoint(Time::from_secs(1), record.clone());
    let key = record.key();
    let place = gateway.place_at(key).expect("it takes work");
    gateway.on_connection_lost(Time::from_secs(2), fingerprint("fatal"), &place);
    assert_eq!(gateway.crash_count(fingerprint("fatal")), 0);
    (gateway, key)
}

#[test]
fn a_removed_endpoint_record_counts_as_a_crash() {
    let (mut gateway, _) = with_lost_connection();

    gateway.endpoint_vanished(Time::from_secs(5), "e-1", Removal::Stated);

    assert_eq!(gateway.crash_count(fingerprint("fatal")), 1);
}

#[test]
fn a_restarted_endpoint_counts_as_a_crash() {
    let (mut gateway, _) = with_lost_connection();

    gateway.publish_endpoint(
        Time::from_secs(4),
        EndpointRecord {
            started_unix_ms: Some(7),
            ..engine("e-1")
        },
    );

    assert_eq!(gateway.crash_count(fingerprint("fatal")), 1);
}

/// Guards against a harmless request that counts as having crashed its endpoint: its connection is
/// lost with a link, and much later the endpoint is replaced as planned.
#[test]
fn an_old_lost_connection_is_no_evidence() {
    let (mut gateway, _) = with_lost_connection();
    gateway.tick(Time::from_secs(13));

    gateway.endpoint_vanished(Time::from_secs(14), "e-1", Removal::Stated);

    assert_eq!(gateway.crash_count(fingerprint("fatal")), 0);
}

fn any_body() -> impl Strategy<Value = Body> {
    let runs = proptest::collection::vec((0u8..4, any::<u64>()), 0..300);
    let runs = runs.prop_map(|runs| {
        let to_run = |(body, run): (u8, u64)| SuspectRun {
            fingerprint: fingerprint(&body.to_string()),
            run,
        };
        runs.into_iter().map(to_run).collect::<Vec<_>>()
    });
    let record = (any::<u16>(), any::<u32>(), 0u64..20, any::<u32>());
    let records = proptest::collection::vec(record, 0..300).prop_map(|records| {
        let to_record = |(body, round, ended, age_ms): (u16, u32, u64, u32)| CrashRecord {
            fingerprint: fingerprint(&body.to_string()),
            round,
            crashed: (0..ended).map(EndpointKey).collect(),
            age_ms,
        };
        records.into_iter().map(to_record).collect::<Vec<_>>()
    });
    (runs, records, 0u8..4).prop_map(|(runs, records, kind)| match kind {
        0 => Body::Suspects(records),
        1 => Body::RunLeaseReport(RunLeaseReport {
            acquire: runs.clone(),
            renew: runs.clone(),
            release: runs,
            records,
        }),
        2 => Body::RunLeaseAnswer(RunLeaseAnswer {
            granted: runs.clone(),
            waiting: runs,
            records,
        }),
        _ => Body::Gossip(GossipItems {
            crash_records: records,
            ..GossipItems::default()
        }),
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// No message crashes the instance that receives it, and what the instance keeps and gossips
    /// stays bounded: a message that crashed its receiver would be gossiped to the next instance.
    #[test]
    fn no_message_crashes_an_instance(bodies in proptest::collection::vec(any_body(), 1..12)) {
        let mut gateway = instances::gateway(1);
        for (number, body) in bodies.into_iter().enumerate() {
            let now = Time::from_millis(1_000 + 50 * number as u64);
            let datagram = instances::datagram(2, 0, 0, body);
            let outcome = gateway.on_datagram(now, datagram).expect("it is of the fleet");
            let tick = gateway.tick(now);
            for (_, body) in outcome.send.into_iter().chain(tick.send) {
                if let Body::Gossip(items) = &body {
                    prop_assert!(items.crash_records.len() <= 8);
                }
            }
        }
        let (suspects, _) = gateway.suspects.ledger.count(Time::from_secs(3));
        prop_assert!(suspects <= MAX_SUSPECTS);
    }
}

/// An endpoint that ends as announced is no evidence against a request.
#[test]
fn a_leaving_endpoint_is_no_evidence() {
    let (mut gateway, key) = with_lost_connection();
    let place = gateway.place_at(key).expect("it takes work");
    gateway.publish_endpoint(
        Time::from_secs(4),
        EndpointRecord {
            leaving: true,
            ..engine("e-1")
        },
    );

    gateway.on_endpoint_crash(Time::from_secs(5), fingerprint("other"), &place);

    assert_eq!(gateway.crash_count(fingerprint("other")), 0);
}
