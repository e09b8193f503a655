//! Requests that end endpoints, in fleets of real cores over links with delay and loss.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::Fleet;
use instances::{address, engine};
use oriolemux_core::fingerprint::{Fingerprint, Identity};
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

/// How long an engine works on the request before it ends with it.
const ENDS_AFTER: Duration = Duration::from_millis(700);

/// How long a caller waits for its request to be sent.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Bytes a second that control may take of an instance at the size that is designed for.
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

/// A copy of the request, at an instance.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    instance: usize,
    turn: SuspectRun,
    came: Time,
    /// Where it runs, since when.
    runs: Option<(EndpointKey, Time)>,
}

/// A fleet that is sent one request again and again, which ends each engine that begins it.
struct Scene {
    fleet: Fleet,
    attempts: Vec<Attempt>,
    /// Engines that were given the request.
    sent: u32,
    ended: BTreeSet<EndpointKey>,
    refused: usize,
    gave_up: usize,
    /// The most copies that ran at one time.
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
            ended: BTreeSet::new(),
            refused: 0,
            gave_up: 0,
            most: 0,
        }
    }

    fn core(&mut self, index: usize) -> Option<&mut Gateway> {
        self.fleet.nodes[index].core.as_mut()
    }

    /// Sends the request to one instance.
    fn come(&mut self, instance: usize) {
        let came = self.fleet.now;
        if let Some(core) = self.core(instance) {
            let turn = core.begin_run(fingerprint("fatal"));
            self.attempts.push(Attempt {
                instance,
                turn,
                came,
                runs: None,
            });
        }
    }

    fn step(&mut self) {
        self.fleet.run(STEP);
        for attempt in core::mem::take(&mut self.attempts) {
            if let Some(attempt) = self.look(attempt) {
                self.attempts.push(attempt);
            }
        }
        let running = self.attempts.iter().filter(|it| it.runs.is_some()).count();
        self.most = self.most.max(running);
    }

    /// Does for an attempt what the shell does.
    fn look(&mut self, attempt: Attempt) -> Option<Attempt> {
        let now = self.fleet.now;
        if self.fleet.nodes[attempt.instance].frozen {
            return Some(attempt);
        }
        self.core(attempt.instance)?;
        match attempt.runs {
            Some((at, since)) if now.since(since) >= ENDS_AFTER => {
                self.end(attempt, at);
                None
            }
            Some(_) => self.go_on_running(attempt),
            None => self.go_on_waiting(attempt),
        }
    }

    /// The engine ends, and its instance finds nobody at its address.
    fn end(&mut self, attempt: Attempt, at: EndpointKey) {
        let now = self.fleet.now;
        self.ended.insert(at);
        let place = Placement {
            key: at,
            name: String::new(),
            address: address(1),
        };
        if let Some(core) = self.core(attempt.instance) {
            core.on_endpoint_crash(now, attempt.turn.fingerprint, &place);
            core.end_run(attempt.turn);
        }
        self.fleet.hurry(attempt.instance);
    }

    /// A copy that is refused while it runs is cancelled.
    fn go_on_running(&mut self, attempt: Attempt) -> Option<Attempt> {
        let now = self.fleet.now;
        let core = self.core(attempt.instance)?;
        if !core.is_refused(now, attempt.turn.fingerprint) {
            return Some(attempt);
        }
        core.end_run(attempt.turn);
        self.refused += 1;
        None
    }

    fn go_on_waiting(&mut self, attempt: Attempt) -> Option<Attempt> {
        let now = self.fleet.now;
        let core = self.core(attempt.instance)?;
        match core.admit_run(now, attempt.turn) {
            Admission::Go => {
                self.sent += 1;
                let at = EndpointKey::of(&format!("e-{}", self.sent));
                let runs = Some((at, now));
                Some(Attempt { runs, ..attempt })
            }
            Admission::Refused => {
                core.end_run(attempt.turn);
                self.refused += 1;
                None
            }
            Admission::Wait if now.since(attempt.came) < PATIENCE => {
                self.fleet.hurry(attempt.instance);
                Some(attempt)
            }
            Admission::Wait | Admission::NoHome => {
                core.end_run(attempt.turn);
                self.gave_up += 1;
                None
            }
        }
    }

    /// Lets the request come each so many milliseconds, at one instance after the other.
    fn play(&mut self, time: Duration, each_ms: u64) {
        let size = self.fleet.nodes.len();
        for ms in 0..time.as_millis() as u64 {
            if ms.is_multiple_of(each_ms) {
                let turn = (ms / each_ms) as usize;
                self.come(turn * 7 % size);
            }
            self.step();
        }
    }

    fn home(&mut self, asked: usize) -> usize {
        let key = fingerprint("fatal").rank_key();
        let homes = self.core(asked).expect("it is there").homes(key);
        let size = self.fleet.nodes.len();
        (0..size)
            .find(|&it| Some(address(it as u16 + 1)) == homes[0])
            .expect("there is a home")
    }
}

/// Symptom: eleven engines end, each with all that runs there. Sequence: a request that ends its engine comes
/// each 400 ms, at another instance each time, while former copies still wait at their engines.
/// Cause: no instance knew what the request had done elsewhere, or that it ran there now.
#[rstest]
#[case::small(6, 0.0)]
#[case::small_with_loss(6, 0.02)]
#[case::large(195, 0.02)]
#[case::planned(390, 0.02)]
fn three_engines_end_whatever_the_size(#[case] size: usize, #[case] loss: f64) {
    let mut scene = Scene::new(size, 5);
    scene.fleet.loss = loss;
    scene.come(0);
    for _ in 0..800 {
        scene.step();
    }

    scene.play(Duration::from_secs(12), 400);

    assert_eq!(scene.ended.len(), 3);
    assert_eq!(scene.most, 1, "one at a time");
    assert!(scene.refused > 20, "{} are refused", scene.refused);
}

/// The same while the home of the request is frozen, and when it wakes.
#[rstest]
#[case::frozen(true)]
#[case::killed(false)]
fn a_home_that_is_away_lets_no_fourth_engine_end(#[case] freezes: bool) {
    let mut scene = Scene::new(30, 6);
    scene.come(0);
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

    assert_eq!(scene.ended.len(), 3);
    assert!(scene.refused > 10, "{} are refused", scene.refused);
}

/// Symptom: a fourth engine ends. Sequence: three ended; an instance starts again, and the
/// request comes there. Cause: what an instance knows goes with its process.
#[test]
fn an_instance_that_starts_again_learns_who_is_refused() {
    let mut scene = Scene::new(30, 7);
    scene.play(Duration::from_secs(6), 400);
    assert_eq!(scene.ended.len(), 3);
    scene.fleet.kill(4);
    scene.fleet.run(Duration::from_millis(500));
    scene.fleet.start_one(4);

    scene.fleet.run(Duration::from_millis(500));

    let now = scene.fleet.now;
    let core = scene.core(4).expect("it is there");
    assert!(core.is_refused(now, fingerprint("fatal")));
}

/// The same of a part of the fleet that was cut off while the engines ended.
#[test]
fn two_parts_that_lost_each_other_agree_on_who_is_refused() {
    let mut scene = Scene::new(30, 8);
    scene.fleet.passes = |from, to| (from < 10) == (to < 10);
    let now = scene.fleet.now;
    for number in 0..3 {
        let place = Placement {
            key: EndpointKey::of(&format!("e-{number}")),
            name: String::new(),
            address: address(1),
        };
        let core = scene.core(0).expect("it is there");
        core.on_endpoint_crash(now, fingerprint("fatal"), &place);
    }
    scene.fleet.run(Duration::from_secs(5));
    let now = scene.fleet.now;
    let core = scene.core(20).expect("it is there");
    assert!(
        !core.is_refused(now, fingerprint("fatal")),
        "it was cut off"
    );

    scene.fleet.passes = |_, _| true;
    scene.fleet.run(Duration::from_secs(10));

    let now = scene.fleet.now;
    let knows = |it: &&Gateway| it.is_refused(now, fingerprint("fatal"));
    let cores = scene.fleet.nodes.iter().filter_map(|it| it.core.as_ref());
    assert_eq!(cores.filter(knows).count(), 30);
}

/// After a while without a new end one copy is let through alone, and refuted or confirmed.
#[test]
fn one_copy_is_tried_when_nothing_ended_for_long() {
    let mut scene = Scene::new(6, 9);
    scene.play(Duration::from_secs(6), 400);
    assert_eq!(scene.ended.len(), 3);
    scene.attempts.clear();
    scene.most = 0;
    scene.fleet.run(REFUSAL_DURATION);

    scene.play(Duration::from_secs(6), 200);

    assert_eq!(scene.ended.len(), 4);
    assert_eq!(scene.most, 1, "one at a time");
}

/// Symptom: callers of one popular request are refused for good. Sequence: it is at three
/// engines when these lose their power, and runs well elsewhere in between. Cause: an end was
/// taken for proof.
#[test]
fn a_request_that_ran_well_is_free_everywhere() {
    let mut scene = Scene::new(30, 10);
    let popular = fingerprint("popular");
    let place = |number: u32| Placement {
        key: EndpointKey::of(&format!("e-{number}")),
        name: String::new(),
        address: address(1),
    };
    for number in 0..2 {
        let now = scene.fleet.now;
        let core = scene.core(number).expect("it is there");
        core.on_endpoint_crash(now, popular, &place(number as u32));
        scene.fleet.hurry(number);
    }
    scene.fleet.run(Duration::from_millis(300));

    let now = scene.fleet.now;
    scene
        .core(7)
        .expect("it is there")
        .on_run_succeeded(now, popular);
    scene.fleet.hurry(7);
    scene.fleet.run(Duration::from_millis(300));
    let now = scene.fleet.now;
    let core = scene.core(3).expect("it is there");
    core.on_endpoint_crash(now, popular, &place(9));
    scene.fleet.hurry(3);
    scene.fleet.run(Duration::from_millis(300));

    let now = scene.fleet.now;
    for node in &scene.fleet.nodes {
        let core = node.core.as_ref().expect("it is there");
        assert_eq!(core.crash_count(popular), 1);
        assert!(!core.is_refused(now, popular));
    }
}

/// What an instance sends because of suspects does not grow with the fleet, also when many
/// engines end at once with many requests.
#[rstest]
#[case::few(6)]
#[case::large(195)]
#[case::planned(390)]
fn what_suspects_cost_does_not_grow_with_the_fleet(#[case] size: usize) {
    let mut scene = Scene::new(size, 11);
    let now = scene.fleet.now;
    for number in 0..200 {
        let index = number % size;
        let place = Placement {
            key: EndpointKey::of(&format!("e-{}", number / 8)),
            name: String::new(),
            address: address(1),
        };
        let core = scene.core(index).expect("it is there");
        core.on_endpoint_crash(now, fingerprint(&format!("r-{number}")), &place);
        scene.fleet.hurry(index);
    }
    scene.fleet.forget_sent();

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

/// Symptom: a fourth engine ends while many others end for another reason. Sequence: hundreds of
/// requests are told of that were at engines that ended; the third end of one request waits
/// behind them, and the next copy has its turn before. Cause: who ended the turn and who was
/// given it knew of the ends by the usual news only.
#[test]
fn the_next_in_turn_knows_of_the_third_end() {
    let mut scene = Scene::new(30, 12);
    let now = scene.fleet.now;
    for number in 0..600 {
        let index = number % 30;
        let place = Placement {
            key: EndpointKey::of(&format!("gone-{}", number / 8)),
            name: String::new(),
            address: address(1),
        };
        let core = scene.core(index).expect("it is there");
        core.on_endpoint_crash(now, fingerprint(&format!("r-{number}")), &place);
        scene.fleet.hurry(index);
    }
    scene.come(0);
    for _ in 0..800 {
        scene.step();
    }

    scene.play(Duration::from_secs(10), 150);

    assert_eq!(scene.ended.len(), 3);
    assert!(scene.refused > 40, "{} are refused", scene.refused);
}

/// An instance whose connection to an endpoint ended, without knowing whether the endpoint did.
fn undecided() -> (Gateway, EndpointKey) {
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
fn an_endpoint_whose_entry_vanishes_had_ended() {
    let (mut gateway, _) = undecided();

    gateway.endpoint_vanished(Time::from_secs(5), "e-1");

    assert_eq!(gateway.crash_count(fingerprint("fatal")), 1);
}

#[test]
fn an_endpoint_that_started_again_had_ended() {
    let (mut gateway, _) = undecided();

    gateway.publish_endpoint(
        Time::from_secs(4),
        EndpointRecord {
            started_unix_ms: Some(7),
            ..engine("e-1")
        },
    );

    assert_eq!(gateway.crash_count(fingerprint("fatal")), 1);
}

/// Symptom: a sound request counts as one that ended its endpoint. Sequence: its connection is
/// lost with a link; much later the endpoint is replaced as planned. Cause: what could not be told was kept for good.
#[test]
fn what_is_not_decided_soon_blames_nobody() {
    let (mut gateway, _) = undecided();
    gateway.tick(Time::from_secs(13));

    gateway.endpoint_vanished(Time::from_secs(14), "e-1");

    assert_eq!(gateway.crash_count(fingerprint("fatal")), 0);
}

fn told() -> impl Strategy<Value = Body> {
    let turns = proptest::collection::vec((0u8..4, any::<u64>()), 0..300);
    let turns = turns.prop_map(|turns| {
        let turn = |(body, run): (u8, u64)| SuspectRun {
            fingerprint: fingerprint(&body.to_string()),
            run,
        };
        turns.into_iter().map(turn).collect::<Vec<_>>()
    });
    let blame = (any::<u16>(), any::<u32>(), 0u64..20, any::<u32>());
    let blames = proptest::collection::vec(blame, 0..300).prop_map(|blames| {
        let blame = |(body, round, ended, age_ms): (u16, u32, u64, u32)| CrashRecord {
            fingerprint: fingerprint(&body.to_string()),
            round,
            crashed: (0..ended).map(EndpointKey).collect(),
            age_ms,
        };
        blames.into_iter().map(blame).collect::<Vec<_>>()
    });
    (turns, blames, 0u8..4).prop_map(|(turns, blames, kind)| match kind {
        0 => Body::Suspects(blames),
        1 => Body::RunLeaseReport(RunLeaseReport {
            acquire: turns.clone(),
            renew: turns.clone(),
            release: turns,
            records: blames,
        }),
        2 => Body::RunLeaseAnswer(RunLeaseAnswer {
            granted: turns.clone(),
            waiting: turns,
            records: blames,
        }),
        _ => Body::Gossip(GossipItems {
            crash_records: blames,
            ..GossipItems::default()
        }),
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    /// Whatever is told, no instance ends by it, and what it keeps and tells on stays bounded: a
    /// message that ends the process which reads it would be told on to the next.
    #[test]
    fn nothing_that_is_told_ends_an_instance(bodies in proptest::collection::vec(told(), 1..12)) {
        let mut gateway = instances::gateway(1);
        for (number, body) in bodies.into_iter().enumerate() {
            let now = Time::from_millis(1_000 + 50 * number as u64);
            let datagram = instances::datagram(2, 0, 0, body);
            let heard = gateway.on_datagram(now, datagram).expect("it is of the fleet");
            let ticked = gateway.tick(now);
            for (_, body) in heard.send.into_iter().chain(ticked.send) {
                if let Body::Gossip(items) = &body {
                    prop_assert!(items.crash_records.len() <= 8);
                }
            }
        }
        let (suspects, _) = gateway.suspects.ledger.count(Time::from_secs(3));
        prop_assert!(suspects <= MAX_SUSPECTS);
    }
}

/// What ends as it said it would is nobody's fault.
#[test]
fn an_endpoint_that_was_leaving_blames_nobody() {
    let (mut gateway, key) = undecided();
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
