//! Crash records that are late: which crashes of a prompt part instances take for separate events, in
//! virtual time, with hops of any duration between instances whose clocks differ.

#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use oriolemux_core::fingerprint::{Fingerprint, PromptPartId};
use oriolemux_core::gateway::gossip::Body;
use oriolemux_core::suspects::{
    CrashRecord, Ledger, REFUSAL_DURATION, RunLeaseReport, SEPARATE_AFTER, Standing,
};
use oriolemux_core::{EndpointKey, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;

const START: Time = Time::from_secs(100);

/// Crashes from which on a part is refused.
const MAX_CRASHES: usize = 3;

/// Instances of a random fleet, and to how many others each sends a record that is new to it.
const SIZE: usize = 8;
const FAN_OUT: usize = 3;

/// Fleets that are played.
const SEEDS: u64 = 300;

/// Messages after which a fleet that still sends some is taken for one that never ends.
const MAX_MESSAGES: usize = 20_000;

/// How late an instance may see a crash itself, since it tries a connection first.
const MAX_SEEN_LATE_MS: u64 = 150;

fn part() -> Fingerprint {
    Fingerprint::of_prompt_part(1, "model", PromptPartId(1))
}

fn engine(number: usize) -> EndpointKey {
    EndpointKey::of(&format!("e-{number}"))
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An instance whose clock is ahead of others.
struct Instance {
    ledger: Ledger,
    ahead: Duration,
}

impl Instance {
    /// Returns an instance whose clock is ahead by an amount that depends on its number.
    fn new(number: usize) -> Instance {
        Instance {
            ledger: Ledger::default(),
            ahead: ms(37_000) * u32::try_from(number).expect("a small number"),
        }
    }

    fn see(&mut self, now: Time, endpoint: usize) -> bool {
        let now = now + self.ahead;
        self.ledger.record_crash(now, part(), engine(endpoint))
    }

    fn record(&self, now: Time) -> Option<CrashRecord> {
        self.ledger.record(now + self.ahead, part())
    }

    fn receive(&mut self, now: Time, record: &CrashRecord) -> bool {
        self.ledger.on_record(now + self.ahead, record)
    }

    fn standing(&self, now: Time) -> Standing {
        self.ledger.standing(now + self.ahead, part())
    }
}

/// Guards against a part that is refused after one event: each instance saw some of the crashes, and
/// their records pass one instance after the other, in both directions.
#[rstest]
fn crashes_of_one_event_refuse_no_part(
    #[values(
        vec![vec![0, 1, 2], vec![], vec![], vec![]],
        vec![vec![0], vec![1, 2], vec![], vec![]],
        vec![vec![0], vec![], vec![], vec![1, 2]],
        vec![vec![0], vec![1], vec![2], vec![]],
        vec![vec![0], vec![1], vec![2], vec![3]],
        vec![vec![0, 1], vec![1, 2], vec![], vec![0, 2]],
        vec![vec![0, 1, 2, 3, 4], vec![], vec![5, 6], vec![7]]
    )]
    seen: Vec<Vec<usize>>,
    #[values(1, 2, 3)] hops: usize,
    #[values(10, 300, 600, 3_000)] hop_ms: u64,
) {
    let mut fleet: Vec<Instance> = (0..seen.len()).map(Instance::new).collect();
    let mut now = START;
    for (instance, endpoints) in fleet.iter_mut().zip(&seen) {
        for &endpoint in endpoints {
            instance.see(now, endpoint);
            now += ms(10);
        }
    }

    for round in 0..6 {
        let sent: Vec<Option<CrashRecord>> = fleet.iter().map(|it| it.record(now)).collect();
        now += ms(hop_ms);
        for (from, record) in sent.iter().enumerate() {
            let Some(record) = record else { continue };
            for to in [from + hops, from + fleet.len() - hops] {
                let to = to % seen.len();
                fleet[to].receive(now, record);
                let standing = fleet[to].standing(now);
                assert_eq!(standing, Standing::Suspect, "{to} in round {round}");
            }
        }
    }
}

/// Guards against a part that is refused after one event, because an instance that saw a crash late
/// learns later that another one had seen the same crash at once.
#[test]
fn one_crash_that_two_instances_saw_is_no_separate_event() {
    let mut late = Instance::new(0);
    let mut early = Instance::new(1);
    for endpoint in 0..3 {
        early.see(START, endpoint);
    }
    let now = START + SEPARATE_AFTER * 2;
    late.see(now, 0);

    late.receive(now, &early.record(now).expect("a record"));

    assert_eq!(late.standing(now), Standing::Suspect);
}

/// Guards against a part that is refused after one event, because a success before it arrives late and
/// is taken for the first crash.
#[test]
fn a_success_that_is_told_late_is_no_crash() {
    let mut one = Instance::new(0);
    one.see(START, 0);
    let mut two = Instance::new(1);
    two.receive(START, &one.record(START).expect("a record"));
    two.ledger.clear(START + two.ahead, part());
    let early = two.record(START).expect("a record");
    let now = START + SEPARATE_AFTER * 2;
    one.receive(now, &two.record(now).expect("a record"));
    for endpoint in 1..4 {
        one.see(now, endpoint);
    }

    one.receive(
        now,
        &CrashRecord {
            age_ms: 1_000,
            ..early
        },
    );

    assert_eq!(one.standing(now), Standing::Suspect);
}

/// Guards against a part that goes on crashing endpoints because each crash is seen by another
/// instance, and the record of the first one reaches it only after that.
#[rstest]
#[case::on_time(10)]
#[case::late(300)]
#[case::later_than_the_next_crash(900)]
fn separate_crashes_of_several_instances_refuse_a_part(#[case] transit_ms: u64) {
    let interval = ms(transit_ms) + SEPARATE_AFTER;
    let mut fleet: Vec<Instance> = (0..3).map(Instance::new).collect();
    let mut sent = Vec::new();
    for (number, instance) in fleet.iter_mut().enumerate() {
        let now = START + interval * u32::try_from(number).expect("a small number");
        instance.see(now, number);
        sent.push((now, instance.record(now).expect("a record")));
    }

    // The records arrive after all crashes, the newest first.
    let now = START + interval * 3;
    for (at, record) in sent.iter().rev() {
        for instance in &mut fleet {
            // It arrived in time, and is handled now.
            instance.receive(*at + ms(transit_ms), record);
        }
    }
    let told: Vec<CrashRecord> = fleet.iter().filter_map(|it| it.record(now)).collect();
    for instance in &mut fleet {
        for record in &told {
            instance.receive(now, record);
        }
        assert_eq!(instance.standing(now), Standing::Refused);
    }
}

/// Guards against records that instances send each other without end, since each that was in transit
/// for long looks like a later crash.
#[rstest]
fn a_full_record_is_not_renewed_by_its_transit(#[values(1, 3, 60)] hop_s: u64) {
    let mut fleet: Vec<Instance> = (0..3).map(Instance::new).collect();
    for endpoint in 0..8 {
        fleet[0].see(START, endpoint);
    }
    let later = START + REFUSAL_DURATION;
    assert!(fleet[0].see(later, 9));

    let mut now = later;
    let mut changes = 0;
    for hop in 0..12 {
        let record = fleet[hop % 3].record(now).expect("a record");
        now += Duration::from_secs(hop_s);
        changes += usize::from(fleet[(hop + 1) % 3].receive(now, &record));
    }

    assert_eq!(changes, 2);
    for instance in &fleet {
        assert_eq!(instance.standing(later), Standing::Refused);
    }
}

/// Guards against a record whose age does not cover the time for which it waited to be sent.
#[test]
fn a_record_that_waits_to_be_sent_keeps_its_age() {
    let mut one = instances::gateway(1);
    let crashes = (0..200_u64).map(|number| CrashRecord {
        fingerprint: Fingerprint::of_prompt_part(1, "model", PromptPartId(number.into())),
        round: 0,
        crashed: vec![engine(1)],
        age_ms: 0,
    });
    let report = RunLeaseReport {
        records: crashes.collect(),
        ..RunLeaseReport::default()
    };
    let received = instances::datagram(2, 0, 0, Body::RunLeaseReport(report));
    one.on_datagram(START, received).expect("a valid datagram");

    let mut sent = 0;
    for tick in 0..200 {
        let now = START + ms(50) * tick;
        for (_, body) in one.tick(now).send {
            let datagram = one.datagram(now, body);
            let (Body::Probe { gossip, .. } | Body::Gossip(gossip)) = datagram.body else {
                continue;
            };
            for record in gossip.crash_records {
                sent += 1;
                assert_eq!(
                    Duration::from_millis(record.age_ms.into()),
                    now.since(START)
                );
            }
        }
    }

    assert!(sent > 20, "{sent}");
}

/// What happens in a random fleet.
enum Event {
    /// The part crashes an endpoint, which an instance sees.
    Crash { instance: usize, endpoint: usize },
    /// A record arrives.
    Arrival { to: usize, record: CrashRecord },
}

/// Instances that send each other crash records, over hops of random duration.
struct Fleet {
    now: Time,
    instances: Vec<Instance>,
    events: BTreeMap<(Time, usize), Event>,
    rng: SmallRng,
    max_hop: Duration,
    messages: usize,
}

impl Fleet {
    fn new(seed: u64, max_hop: Duration) -> Fleet {
        Fleet {
            now: START,
            instances: (0..SIZE).map(Instance::new).collect(),
            events: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            max_hop,
            messages: 0,
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        let number = self.messages;
        self.messages += 1;
        assert!(number < MAX_MESSAGES, "records are sent without end");
        self.events.insert((at, number), event);
    }

    /// Sends the record of an instance to the next ones in the ring, so that all are reached, and to
    /// random others.
    fn send(&mut self, from: usize) {
        let Some(record) = self.instances[from].record(self.now) else {
            return;
        };
        for copy in 0..FAN_OUT {
            let to = match copy {
                0 => (from + 1) % SIZE,
                _ => self.rng.random_range(0..SIZE),
            };
            let hop = self.max_hop.mul_f64(self.rng.random());
            let record = record.clone();
            self.schedule(self.now + hop, Event::Arrival { to, record });
        }
    }

    /// Handles the next event; returns the instance that handled it.
    fn step(&mut self) -> Option<usize> {
        let ((at, _), event) = self.events.pop_first()?;
        self.now = at;
        let (instance, is_news) = match event {
            Event::Crash { instance, endpoint } => {
                let is_news = self.instances[instance].see(at, endpoint);
                (instance, is_news)
            }
            Event::Arrival { to, record } => (to, self.instances[to].receive(at, &record)),
        };
        if is_news {
            self.send(instance);
        }
        Some(instance)
    }

    fn standing(&self, instance: usize) -> Standing {
        self.instances[instance].standing(self.now)
    }
}

/// Guards against a part that is refused after one event, whatever the order and the delay in which
/// instances learn of its crashes, and against records that are sent without end.
#[rstest]
fn one_event_refuses_no_part_in_a_random_fleet(#[values(60, 600, 1_500, 3_000)] max_hop_ms: u64) {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, ms(max_hop_ms));
        for endpoint in 0..fleet.rng.random_range(MAX_CRASHES..12) {
            for _ in 0..fleet.rng.random_range(1..3) {
                let instance = fleet.rng.random_range(0..SIZE);
                let at = START + ms(fleet.rng.random_range(0..MAX_SEEN_LATE_MS));
                fleet.schedule(at, Event::Crash { instance, endpoint });
            }
        }

        while let Some(instance) = fleet.step() {
            let standing = fleet.standing(instance);
            assert_ne!(standing, Standing::Refused, "seed {seed}");
        }

        for instance in &fleet.instances {
            let crashes = instance.ledger.crash_count(part());
            assert!(crashes >= MAX_CRASHES, "seed {seed}: {crashes}");
        }
    }
}

/// Returns how many endpoints a part crashes until all instances refuse it, one endpoint at each
/// `interval` at a random instance that does not refuse it yet, and how many of these crashes
/// happened later than `tolerated` after the fifth one.
fn crashes_until_refused(
    seed: u64,
    max_hop: Duration,
    interval: Duration,
    tolerated: Duration,
) -> (usize, usize) {
    let mut fleet = Fleet::new(seed, max_hop);
    let (mut crashes, mut beyond) = (0, 0);
    let mut fifth_at = None;
    let mut at = START;
    loop {
        while fleet
            .events
            .first_key_value()
            .is_some_and(|((it, _), _)| *it <= at)
        {
            fleet.step();
        }
        fleet.now = at;
        let admitting: Vec<usize> = (0..SIZE)
            .filter(|it| fleet.standing(*it) != Standing::Refused)
            .collect();
        if admitting.is_empty() || crashes == MAX_MESSAGES {
            return (crashes, beyond);
        }
        let instance = admitting[fleet.rng.random_range(0..admitting.len())];
        let endpoint = crashes;
        fleet.schedule(at, Event::Crash { instance, endpoint });
        crashes += 1;
        beyond += usize::from(fifth_at.is_some_and(|fifth| at.since(fifth) >= tolerated));
        if crashes == 5 {
            fifth_at = Some(at);
        }
        at += interval;
    }
}

/// Guards against a part that goes on crashing endpoints, without a lease, because its crashes are seen
/// by different instances to which the records of the others are late.
#[rstest]
fn separate_crashes_refuse_a_part_in_a_random_fleet(
    #[values(20, 60, 300, 600)] max_hop_ms: u64,
    #[values(120, 600, 1_000)] interval_ms: u64,
) {
    let (mut total, mut most, mut most_beyond) = (0, 0, 0);
    for seed in 0..SEEDS {
        let (crashes, beyond) = crashes_until_refused(
            seed,
            ms(max_hop_ms),
            ms(interval_ms),
            Duration::from_secs(2),
        );
        total += crashes;
        most = most.max(crashes);
        most_beyond = most_beyond.max(beyond);
    }
    println!(
        "hops {max_hop_ms} ms, interval {interval_ms} ms: {:.2} crashes, at most {most}, \
         late {most_beyond}",
        total as f64 / SEEDS as f64
    );

    assert!(most_beyond <= 3, "{most_beyond}");
}
