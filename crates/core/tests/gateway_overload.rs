//! What a home decides while more is requested than its engines can hold.
//!
//! The load is arithmetic: requests arrive at instances, instances report to a home every 10 ms,
//! and a granted request keeps its KV cache until its prefill and output are done.

#[path = "fixtures/overload.rs"]
mod overload;

use core::time::Duration;
use oriolemux_core::gateway::forecast::Forecast;
use oriolemux_core::gateway::home::Home;
use oriolemux_core::gateway::placement::{PlacementStatus, PlacementTable};
use oriolemux_core::gateway::request::{
    PlacementDecision, PlacementKind, PlacementRequest, QueuedRequest,
};
use oriolemux_core::gateway::shares::WorkspaceGrants;
use oriolemux_core::{EndpointKey, Time};
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
    let urgent = Kind {
        tokens: 2_400,
        ..URGENT
    };
    let mut play = Play::new(12);

    play.warm_up(WARM_UP, &[(urgent, 16.0), (LONG, 35.0)]);
    play.run(Duration::from_secs(20), &[(urgent, 16.0), (LONG, 35.0)]);

    let (urgent, long) = (play.outcome(urgent), play.outcome(LONG));
    assert!(urgent.in_time_share() > 0.97, "{urgent:?}, {long:?}");
    // By priority alone, they wait for up to 0.5 s until a generation ends.
    let waited = urgent.longest_wait;
    assert!(waited < Duration::from_millis(100), "{urgent:?}, {long:?}");
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

/// Plays a burst of 6 s at 2.5 times the rate that the engines bear, whose callers return once, and
/// returns what became of it.
fn burst(rejects_by_forecast: bool) -> overload::Outcome {
    let mut play = Play::new(12);
    play.callers_return = true;
    play.home.rejects_by_forecast = rejects_by_forecast;
    play.warm_up(WARM_UP, &[(LONG, 10.0)]);
    play.run_through(Duration::from_secs(6), &[(LONG, 33.0)]);
    play.run(Duration::from_secs(10), &[(LONG, 8.0)]);
    play.outcome(LONG)
}

/// Guards against rejections that leave engines idle, so that fewer callers are served in time than
/// by waiting, and against requests that wait for their whole target although none can be served.
#[test]
fn rejection_by_forecast_serves_as_many_callers_as_waiting() {
    let (waiting, rejecting) = (burst(false), burst(true));

    let served = |it: &overload::Outcome| f64::from(it.in_time + it.returned_in_time);
    assert!(
        served(&rejecting) > 0.95 * served(&waiting),
        "{waiting:?}, {rejecting:?}"
    );
    assert_eq!(waiting.rejected, 0, "{waiting:?}");
    assert!(
        rejecting.rejected > 0 && rejecting.expired == 0,
        "{rejecting:?}"
    );
}

/// Returns a home whose engines are full, with a setting, after this time of steady overload.
fn overloaded(time: Duration, rejects_by_forecast: bool) -> Play {
    let mut play = Play::new(12);
    play.home.rejects_by_forecast = rejects_by_forecast;
    play.warm_up(time, &[(LONG, 60.0)]);
    play
}

/// Guards against rejections by a home that does not know the rate at which room becomes available:
/// it was just started, or took over from one that died with promised places outstanding.
#[rstest]
#[case::of_a_new_home(900, 0)]
#[case::of_a_home_that_took_over(900, 1)]
#[case::after_observation(1_600, 6_000)]
fn nothing_is_rejected_before_the_rate_is_known(#[case] observed_ms: u64, #[case] before_ms: u64) {
    let mut play = overloaded(Duration::from_millis(before_ms.max(6_000)), true);
    if before_ms < 6_000 {
        play.home = Default::default();
        play.home.rejects_by_forecast = true;
    }

    play.run_through(Duration::from_millis(observed_ms), &[(LONG, 60.0)]);

    let rejected = play.outcome(LONG).rejected;
    assert_eq!(rejected > 0, before_ms >= 6_000, "{rejected}");
    assert_eq!(play.home.forecast().promised() > 0, before_ms >= 6_000);
}

/// Guards against rejections while an engine has room that is only kept for urgent requests or held
/// for a large one; the play asserts this for each rejection.
#[test]
fn nothing_is_rejected_while_an_engine_has_room() {
    let mut play = Play::new(3);
    play.home.rejects_by_forecast = true;
    let large = Kind {
        tokens: 9_000,
        ..LONG
    };

    play.run(
        Duration::from_secs(12),
        &[(URGENT, 6.0), (LONG, 9.0), (large, 1.0)],
    );

    assert!(play.outcome(LONG).rejected > 0, "rejections are possible");
}

/// Guards against requests that are rejected although the setting is off.
#[test]
fn nothing_is_rejected_by_default() {
    let mut play = overloaded(Duration::from_secs(6), Home::default().rejects_by_forecast);

    play.run_through(Duration::from_secs(2), &[(LONG, 60.0)]);

    assert_eq!(play.outcome(LONG).rejected, 0);
}

/// Returns a forecast that observed 10,000 tokens per second for two seconds, and the time.
fn observed() -> (Forecast, Time) {
    let mut forecast = Forecast::default();
    let mut now = Time::from_secs(100);
    for step in 0..=20 {
        forecast.observe(now, f64::from(step) * 1_000.0);
        now += Duration::from_millis(100);
    }
    (forecast, now)
}

fn requests(count: u64) -> Vec<QueuedRequest> {
    let request = |id| QueuedRequest {
        id,
        tokens: 5_000,
        ..QueuedRequest::default()
    };
    (0..count).map(request).collect()
}

/// Guards against callers that all return at the moment that each of them was told: promised places
/// count as taken, once for each request although its report is repeated.
#[test]
fn promised_places_delay_later_predictions() {
    let (mut forecast, now) = observed();
    let caller = (overload::instances::address(1), 7);
    let waits = |forecast: &Forecast| {
        let predicted = forecast.predict(now, requests(2).iter());
        predicted
            .iter()
            .map(|it| it.wait.as_millis())
            .collect::<Vec<_>>()
    };
    assert_eq!(waits(&forecast), [500, 1_000]);

    for _ in 0..2 {
        forecast.promise(now + Duration::from_millis(700), 5_000, caller);
    }

    assert_eq!(waits(&forecast), [500, 1_500]);
}

/// Guards against capacity that stays reserved for callers that gave up: a promise lapses.
#[test]
fn a_promise_lapses() {
    let (mut forecast, now) = observed();
    forecast.promise(now, 5_000, (overload::instances::address(1), 7));

    forecast.observe(now + Duration::from_millis(1_100), 0.0);

    assert_eq!(forecast.promised(), 0);
}

/// Guards against a request that two homes decide differently: one rejects it while the other has
/// granted it. What arrives first holds.
#[test]
fn a_rejection_does_not_revoke_a_grant() {
    let mut table = PlacementTable::default();
    let now = Time::from_secs(100);
    let request = PlacementRequest {
        queued: requests(1)[0],
        kind: PlacementKind::Queued,
        exclude: Vec::new(),
    };
    let granted = PlacementDecision::Granted(EndpointKey::of("e-1"));
    table.insert(now, request);
    table.on_decision(now, 0, granted);

    table.on_decision(
        now,
        0,
        PlacementDecision::Rejected {
            retry_after_ms: 900,
        },
    );

    assert_eq!(table.status(now, 0), PlacementStatus::Decided(granted));
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
