//! An instance that gets more work than it can do: what it sheds, and what it concludes meanwhile.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::Fleet;
use oriolemux_core::gateway::own_delay::{OwnDelay, SheddingChange, TIMER_INTERVAL};
use oriolemux_core::{EndpointKey, Time};
use rstest::rstest;

const START: Time = Time::from_secs(10);

const LOCAL: &str = "north";
const REMOTE: &str = "south";

/// The time of a connection within the data centre, and of one to another.
const LOCAL_CONNECT: Duration = Duration::from_millis(3);
const REMOTE_CONNECT: Duration = Duration::from_millis(90);

fn endpoint(number: usize) -> EndpointKey {
    EndpointKey::of(&format!("i-{number}"))
}

/// Fires the timer in time until `ends`; returns the changes with their times.
fn run_timers(
    own_delay: &mut OwnDelay,
    starts: Time,
    ends: Time,
    mut each: impl FnMut(&mut OwnDelay, Time),
) -> Vec<(Time, SheddingChange)> {
    let mut changes = Vec::new();
    let mut now = starts;
    while now < ends {
        each(own_delay, now);
        changes.extend(own_delay.on_timer(now).map(|it| (now, it)));
        now += TIMER_INTERVAL;
    }
    changes
}

/// Returns an instance that has run in time until [`START`] and knows how long connections take.
fn settled() -> OwnDelay {
    let mut own_delay = OwnDelay::default();
    let begin = Time::from_secs(5);
    let changes = run_timers(&mut own_delay, begin, START, |own_delay, now| {
        for number in 0..2 {
            own_delay.on_connect_time(now, endpoint(number), LOCAL, LOCAL_CONNECT);
            own_delay.on_connect_time(now, endpoint(number + 2), REMOTE, REMOTE_CONNECT);
        }
    });
    assert_eq!(changes, []);
    own_delay
}

fn admitted(own_delay: &mut OwnDelay, connections: usize) -> usize {
    (0..connections)
        .filter(|_| own_delay.admit_connection())
        .count()
}

/// Guards against endpoints, homes and peers that are taken for failed because this process did not
/// run.
#[rstest]
#[case::short(Duration::from_millis(400))]
#[case::of_a_second(Duration::from_secs(1))]
#[case::long(Duration::from_secs(3))]
fn a_timeout_that_passes_during_a_pause_is_no_evidence(#[case] pause: Duration) {
    let mut own_delay = settled();
    let began = START;
    let wakes = START + pause;

    assert!(!own_delay.is_evidence(wakes, began), "before the timer");
    assert_eq!(
        own_delay.on_timer(wakes),
        None,
        "one late timer sheds nothing"
    );
    assert!(!own_delay.is_evidence(wakes, began), "after the timer");

    let later = wakes + Duration::from_secs(1);
    run_timers(&mut own_delay, wakes + TIMER_INTERVAL, later, |_, _| {});
    assert!(own_delay.is_evidence(later, wakes + TIMER_INTERVAL));
}

/// Guards against real failures that are never noticed.
#[test]
fn a_timeout_of_a_process_that_runs_in_time_is_evidence() {
    let mut own_delay = settled();
    let ends = START + Duration::from_millis(250);

    run_timers(&mut own_delay, START, ends, |_, _| {});

    assert!(own_delay.is_evidence(ends, START));
}

/// Guards against callers that are turned away because some endpoints, or only one, answer late.
#[rstest]
#[case::one_slow_endpoint(&[(0, 200), (0, 200), (0, 200), (0, 200)])]
#[case::one_fast_endpoint(&[(0, 200), (1, 3), (0, 200), (0, 200)])]
#[case::few_connections(&[(0, 200), (1, 200)])]
fn slow_endpoints_are_no_own_delay(#[case] connects: &[(usize, u64)]) {
    let mut own_delay = settled();
    let ends = START + Duration::from_secs(2);

    let changes = run_timers(&mut own_delay, START, ends, |own_delay, now| {
        if now.since(START).as_millis() % 500 != 0 {
            return;
        }
        for &(number, millis) in connects {
            let time = Duration::from_millis(millis);
            own_delay.on_connect_time(now, endpoint(number), LOCAL, time);
        }
    });

    assert_eq!(changes, []);
}

/// Guards against an instance that sheds connections because all its requests go to a data centre
/// that is farther away.
#[test]
fn a_longer_path_is_no_own_delay() {
    let mut own_delay = settled();
    let ends = START + Duration::from_secs(2);

    let changes = run_timers(&mut own_delay, START, ends, |own_delay, now| {
        for number in 2..6 {
            own_delay.on_connect_time(now, endpoint(number), REMOTE, REMOTE_CONNECT);
        }
    });

    assert_eq!(changes, []);
}

/// Guards against an instance that sheds connections for good after the path to endpoints became
/// longer.
#[test]
fn a_path_that_has_become_longer_is_accepted() {
    let mut own_delay = settled();
    let ends = START + Duration::from_secs(120);

    let changes = run_timers(&mut own_delay, START, ends, |own_delay, now| {
        for number in 0..4 {
            own_delay.on_connect_time(now, endpoint(number), LOCAL, REMOTE_CONNECT);
        }
    });

    let last = changes.last().map(|(_, change)| *change);
    assert_eq!(last, Some(SheddingChange::Ends), "{changes:?}");
}

/// What delays an instance: its processor or its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bottleneck {
    Processor,
    Link,
}

/// A server that works on one thing at a time: what it is asked for waits behind all that was asked
/// for before.
struct Queue {
    /// How long one request takes.
    work: Duration,
    free_at: Time,
}

impl Queue {
    /// Takes on a request; returns when it is done.
    fn push(&mut self, now: Time) -> Time {
        self.free_at = self.free_at.max(now) + self.work;
        self.free_at
    }

    fn wait(&self, now: Time) -> Duration {
        self.free_at.since(now)
    }
}

/// What became of the requests of callers.
#[derive(Debug, Default)]
struct Outcome {
    read: usize,
    /// Those of them that were served within [`CALLER_TIMEOUT`].
    served: usize,
    shed: usize,
}

const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Plays `time` in which callers send `per_second` requests to an instance that can serve 80.
fn play(
    own_delay: &mut OwnDelay,
    queue: &mut Queue,
    bottleneck: Bottleneck,
    starts: Time,
    (time, per_second): (Duration, u32),
) -> Outcome {
    let mut outcome = Outcome::default();
    let interval = Duration::from_secs(1) / per_second;
    let (mut timer_due, mut now) = (starts, starts);
    // A timer that is due waits behind all work before it.
    let mut fires_at = None;
    while now < starts + time {
        if now >= timer_due && fires_at.is_none() {
            fires_at = Some(match bottleneck {
                Bottleneck::Processor => queue.free_at.max(timer_due),
                Bottleneck::Link => timer_due,
            });
        }
        if fires_at.is_some_and(|at| now >= at) {
            own_delay.on_timer(now);
            fires_at = None;
            timer_due = now + TIMER_INTERVAL;
        }
        if own_delay.admit_connection() {
            outcome.read += 1;
            let connect = queue.wait(now) + LOCAL_CONNECT;
            own_delay.on_connect_time(now, endpoint(outcome.read % 3), LOCAL, connect);
            let done = queue.push(now);
            outcome.served += usize::from(done.since(now) <= CALLER_TIMEOUT);
        } else {
            outcome.shed += 1;
        }
        now += interval;
    }
    outcome
}

/// Guards against an instance that reads all requests of a crowd and serves few of them in time.
#[rstest]
#[case::of_its_processor(Bottleneck::Processor)]
#[case::of_its_link(Bottleneck::Link)]
fn an_overloaded_instance_serves_what_it_reads(#[case] bottleneck: Bottleneck) {
    let mut own_delay = settled();
    let mut queue = Queue {
        work: Duration::from_micros(12_500),
        free_at: START,
    };

    let crowd = (Duration::from_secs(10), 240);
    let during = play(&mut own_delay, &mut queue, bottleneck, START, crowd);

    assert!(during.served * 10 >= during.read * 9, "{during:?}");
    // It takes on at least half of what it could do: 800.
    assert!(during.served >= 400, "{during:?}");

    let after_crowd = START + Duration::from_secs(12);
    let usual = (Duration::from_secs(2), 40);
    play(
        &mut own_delay,
        &mut queue,
        bottleneck,
        START + crowd.0,
        usual,
    );
    let after = play(&mut own_delay, &mut queue, bottleneck, after_crowd, usual);

    assert_eq!((after.shed, after.served), (0, after.read), "{after:?}");
}

/// Guards against an instance that says it is ready and takes no connection at all.
#[test]
fn some_connections_are_admitted_however_late_the_instance_is() {
    let mut own_delay = settled();
    let mut now = START;
    for _ in 0..100 {
        now += Duration::from_secs(1);
        own_delay.on_timer(now);
    }

    assert!((1..=10).contains(&admitted(&mut own_delay, 100)));
}

/// Guards against peers that are counted as gone because this instance handles their answers late.
#[test]
fn an_overloaded_instance_counts_no_peer_as_gone() {
    let mut fleet = Fleet::start(24, 3, 7);
    assert!(fleet.until_all_count(24, Duration::from_secs(5)).is_some());
    let before = fleet.nodes[0].peers_counted_gone;

    fleet.loss = 0.1;
    fleet.nodes[0].lag = Duration::from_millis(1_500);
    for _ in 0..60 {
        fleet.run(TIMER_INTERVAL * 3);
        let now = fleet.now;
        let late = fleet.nodes[0].core.as_mut().expect("it runs");
        late.own_delay.on_timer(now);
    }

    assert_eq!(fleet.nodes[0].peers_counted_gone, before);
}
