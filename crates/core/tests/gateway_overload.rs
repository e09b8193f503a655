//! What a home decides while more is requested than its engines can hold.
//!
//! The load is arithmetic: requests arrive at instances, instances report to a home every 10 ms,
//! and a granted request keeps its KV cache until its prefill and output are done.

#[path = "fixtures/overload.rs"]
mod overload;

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::gateway::request::QueuedRequest;
use oriolemux_core::gateway::shares::WorkspaceGrants;
use overload::{Kind, Play};
use rstest::rstest;

/// A period after which engines are as full as the load makes them.
const WARM_UP: Duration = Duration::from_secs(6);

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

/// An answer that needs as much memory as a long generation, for a shorter time.
const BRIEF: Kind = Kind {
    tokens: 3_600,
    output: 40,
    ..SHORT
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

    // The engines bear some 13 long generations per second.
    play.warm_up(WARM_UP, &[(LONG, 12.0)]);
    play.run(Duration::from_secs(8), &[(BRIEF, 20.0), (LONG, 35.0)]);

    let (brief, long) = (play.outcome(BRIEF), play.outcome(LONG));
    assert!(brief.in_time_share() > 0.95, "{brief:?}, {long:?}");
    assert!(long.in_time_share() > 0.20, "{brief:?}, {long:?}");
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

/// Returns long generations of a workspace.
fn of_workspace(workspace: u32) -> Kind {
    Kind { workspace, ..LONG }
}

/// Plays two usual workspaces at two thirds of their share each, beside a third one at a rate, and
/// returns the served shares of the usual ones. The home is lost after `home_lost_after`.
fn served_beside(rate: f64, home_lost_after: Option<Duration>) -> [f64; 2] {
    let mut play = Play::new(12);
    let load = [2, 3].map(|it| (of_workspace(it), 3.0));
    let load = [&load[..], &[(of_workspace(9), rate)]].concat();
    let total = Duration::from_secs(60);
    let before = home_lost_after.unwrap_or(total);
    play.warm_up(WARM_UP, &load);
    play.run_through(before, &load);
    if home_lost_after.is_some() {
        play.home = Default::default();
    }
    play.run(total - before, &load);
    [2, 3].map(|it| play.outcome(of_workspace(it)).in_time_share())
}

/// Guards against a workspace that takes the capacity of all others: it sends ten times its share,
/// and its newest requests would precede theirs.
#[rstest]
#[case::one_home(None)]
#[case::the_home_is_lost(Some(Duration::from_secs(8)))]
fn a_workspace_that_sends_ten_times_its_share_delays_only_itself(
    #[case] home_lost_after: Option<Duration>,
) {
    let usual = served_beside(3.0, home_lost_after);

    let beside_flood = served_beside(44.0, home_lost_after);

    for (usual, beside_flood) in usual.into_iter().zip(beside_flood) {
        assert!(
            beside_flood > usual - 0.05,
            "{usual} fell to {beside_flood}"
        );
    }
}

/// Guards against idle engines: a share that a workspace does not use was kept for it.
#[test]
fn unused_shares_go_to_others() {
    let served = |load: &[_]| {
        let mut play = Play::new(12);
        play.warm_up(WARM_UP, load);
        play.run(Duration::from_secs(16), load);
        let outcomes = load.iter().map(|(kind, _)| play.outcome(*kind).in_time);
        outcomes.sum::<u32>()
    };

    let alone = served(&[(of_workspace(9), 40.0)]);
    let beside_idle = served(&[(of_workspace(9), 39.0), (of_workspace(2), 1.0)]);

    assert!(
        f64::from(beside_idle) > 0.95 * f64::from(alone),
        "{beside_idle} of {alone}"
    );
}

/// Guards against a home that grows with each workspace it ever served: one is removed while its
/// requests are queued.
#[test]
fn a_removed_workspace_is_no_longer_tracked() {
    let mut grants = WorkspaceGrants::default();
    let start = Time::from_secs(100);
    for workspace in 1..=500 {
        let request = QueuedRequest {
            tokens: 3_600,
            output: 400,
            workspace,
            ..QueuedRequest::default()
        };
        grants.record(start, &request);
    }

    grants.tick(start + Duration::from_secs(60));

    assert!(grants.is_empty());
}
