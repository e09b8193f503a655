//! What a home decides while more is requested than its engines can hold.
//!
//! The load is arithmetic: requests arrive at instances, instances report to a home every 10 ms,
//! and a granted request keeps its KV cache until its prefill and output are done.

#[path = "fixtures/overload.rs"]
mod overload;

use core::time::Duration;
use overload::{Kind, Play};

const SHORT: Kind = Kind {
    workspace: 1,
    priority: 1,
    tokens: 1_200,
    output: 40,
    target: Duration::from_millis(1_800),
};

const LONG: Kind = Kind {
    workspace: 1,
    priority: 1,
    tokens: 3_600,
    output: 400,
    target: Duration::from_millis(1_800),
};

const URGENT: Kind = Kind {
    priority: 0,
    target: Duration::from_millis(900),
    ..SHORT
};

/// Guards against overload that hits all callers: long generations at 2.5 times the rate that the
/// engines bear made short answers late, although these need little of the capacity.
#[test]
fn short_answers_are_in_time_while_long_generations_overload_the_engines() {
    let mut play = Play::new(12);

    // The engines bear some 14 long generations per second.
    play.run(Duration::from_secs(8), &[(SHORT, 8.0), (LONG, 35.0)]);

    let (short, long) = (play.outcome(SHORT), play.outcome(LONG));
    assert!(short.in_time_share() > 0.95, "{short:?}, {long:?}");
    assert!(long.in_time_share() > 0.30, "{short:?}, {long:?}");
}

/// Guards against urgent requests that are refused after their whole target, because less urgent
/// long generations hold all memory for seconds.
#[test]
fn urgent_requests_are_in_time_under_overload() {
    let mut play = Play::new(12);

    play.run(Duration::from_secs(8), &[(URGENT, 12.0), (LONG, 35.0)]);

    let (urgent, long) = (play.outcome(URGENT), play.outcome(LONG));
    assert!(urgent.in_time_share() > 0.97, "{urgent:?}, {long:?}");
    assert!(long.in_time_share() > 0.25, "{urgent:?}, {long:?}");
}

/// Guards against refusals and delays while there is room: without overload, each request is
/// placed at the first decision.
#[test]
fn nothing_waits_while_there_is_room() {
    let mut play = Play::new(12);

    play.run(Duration::from_secs(4), &[(SHORT, 8.0), (LONG, 5.0)]);

    for kind in [SHORT, LONG] {
        let outcome = play.outcome(kind);
        assert_eq!(outcome.in_time, outcome.arrived, "{outcome:?}");
        assert_eq!(outcome.longest_wait, Duration::ZERO, "{outcome:?}");
    }
}
