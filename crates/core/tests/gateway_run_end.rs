//! What shows that the run of a generation has ended at an engine that it leaves.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::gateway::relocation::{
    EngineView, LEAVING_SILENCE_TIMEOUT, RESUMABLE_SILENCE_TIMEOUT, Relocation, STANDBY_READY_AFTER,
};
use oriolemux_core::gateway::run_end::{
    Evidence, LeaveReason, RunStop, STOP_LEAD, STOP_TIMEOUT, StopAnswer, StopStep,
    UNANSWERED_TIMEOUT,
};
use proptest::prelude::*;
use rstest::rstest;

const START: Time = Time::from_secs(10);

/// The gap that callers tolerate: longer than any bound of ours.
const TOLERATED: Duration = Duration::from_millis(7_200);

const ANSWERS: [StopAnswer; 9] = [
    StopAnswer::Stopped,
    StopAnswer::StoppedWithoutRoom,
    StopAnswer::NotRunning,
    StopAnswer::Replaced,
    StopAnswer::Busy,
    StopAnswer::Refused,
    StopAnswer::Unreadable,
    StopAnswer::Unanswered,
    StopAnswer::Unreached,
];

const REASONS: [LeaveReason; 5] = [
    LeaveReason::EngineLeaves,
    LeaveReason::ConnectionBroken,
    LeaveReason::Silent,
    LeaveReason::ResumeFailed,
    LeaveReason::CallerLeft,
];

fn answered(reason: LeaveReason, answer: StopAnswer) -> RunStop {
    let mut stop = RunStop::new(START, reason, START + TOLERATED);
    stop.on_answer(START, answer);
    stop
}

#[rstest]
#[case::stopped(StopAnswer::Stopped, Evidence::Ended)]
#[case::no_room(StopAnswer::StoppedWithoutRoom, Evidence::Ended)]
#[case::not_running(StopAnswer::NotRunning, Evidence::Ended)]
#[case::replaced(StopAnswer::Replaced, Evidence::Ended)]
#[case::busy(StopAnswer::Busy, Evidence::MayRun)]
#[case::refused(StopAnswer::Refused, Evidence::MayRun)]
#[case::unreadable(StopAnswer::Unreadable, Evidence::MayRun)]
#[case::unanswered(StopAnswer::Unanswered, Evidence::Sent)]
#[case::unreached(StopAnswer::Unreached, Evidence::Unreached)]
fn an_answer_shows_no_more_than_it_says(#[case] answer: StopAnswer, #[case] shows: Evidence) {
    assert_eq!(answer.evidence(), shows);
}

/// Guards against callers that wait for an engine that has crashed.
#[test]
fn an_engine_that_is_not_reached_delays_no_generation() {
    for reason in REASONS {
        let stop = answered(reason, StopAnswer::Unreached);

        assert_eq!(stop.next(START), StopStep::ResumeAndFollowUp, "{reason}");
    }
}

/// Guards against a generation that resumes beside a run that its engine refuses to stop.
#[rstest]
#[case::refused(StopAnswer::Refused)]
#[case::busy(StopAnswer::Busy)]
#[case::unreadable(StopAnswer::Unreadable)]
fn an_engine_that_does_not_stop_a_run_keeps_its_generation(#[case] answer: StopAnswer) {
    for reason in REASONS {
        let stop = answered(reason, answer);

        let ends = match reason {
            LeaveReason::Silent => STOP_TIMEOUT,
            _ => TOLERATED,
        };
        let before = stop.next(START + (ends - Duration::from_millis(1)));
        assert_ne!(before, StopStep::GiveUp, "{reason}");
        assert_eq!(stop.next(START + ends), StopStep::GiveUp, "{reason}");
    }
}

/// Guards against callers of a hanging engine that wait as long as those of one that answers.
#[rstest]
#[case::broken(
    LeaveReason::ConnectionBroken,
    UNANSWERED_TIMEOUT,
    StopStep::ResumeAndFollowUp
)]
#[case::silent(LeaveReason::Silent, STOP_LEAD, StopStep::ResumeAndFollowUp)]
#[case::leaves(LeaveReason::EngineLeaves, TOLERATED, StopStep::GiveUp)]
fn an_engine_that_answers_nothing_is_waited_for_as_long_as_it_seemed_alive(
    #[case] reason: LeaveReason,
    #[case] limit: Duration,
    #[case] step: StopStep,
) {
    let stop = answered(reason, StopAnswer::Unanswered);

    assert_ne!(stop.next(START + limit / 2), step);
    assert_eq!(stop.next(START + limit), step);
}

/// Guards against a late answer to an earlier order that hides the end of the run.
#[test]
fn the_end_of_a_run_is_final() {
    let mut stop = answered(LeaveReason::ConnectionBroken, StopAnswer::NotRunning);

    stop.on_answer(START, StopAnswer::Refused);

    assert_eq!(stop.next(START + STOP_TIMEOUT), StopStep::Resume);
}

/// Guards against orders to a crashed engine without a bound: at most one a second and a few at the
/// beginning, none after the request's deadline.
#[test]
fn repeated_orders_are_bounded() {
    let deadline = START + Duration::from_secs(39);
    let mut stop = answered(LeaveReason::ConnectionBroken, StopAnswer::Unreached);
    let mut orders = Vec::new();

    while let Some(at) = stop.follow_up_at(deadline) {
        orders.push(at);
        stop.on_answer(at, StopAnswer::Unreached);
    }

    assert!(orders.len() <= 39 + 4, "{}", orders.len());
    assert!(orders.iter().all(|it| *it < deadline));
    assert!(orders[0] <= START + Duration::from_millis(400));
}

/// Guards against an engine that is flooded with orders while it refuses them.
#[test]
fn refused_orders_are_repeated_more_and_more_slowly() {
    let mut stop = RunStop::new(START, LeaveReason::EngineLeaves, START + TOLERATED);
    let mut now = START;
    let mut orders = Vec::new();

    while stop.next(now) != StopStep::GiveUp {
        match stop.next(now) {
            StopStep::Wait(until) => now = until,
            _ => {
                orders.push(now);
                stop.on_answer(now, StopAnswer::Refused);
            }
        }
    }

    assert_eq!(now, START + TOLERATED);
    assert!(orders.len() <= 34, "{}", orders.len());
    let pauses: Vec<_> = orders.windows(2).map(|it| it[1].since(it[0])).collect();
    assert!(pauses.is_sorted(), "{pauses:?}");
}

/// Guards against an answer of an engine that still sent events which is taken for one after its
/// connection broke: it would be waited for as one that is alive.
#[test]
fn answers_before_the_connection_broke_do_not_show_that_the_engine_is_reached() {
    let refused = answered(LeaveReason::EngineLeaves, StopAnswer::Refused);
    let ended = answered(LeaveReason::EngineLeaves, StopAnswer::Stopped);
    let broken = LeaveReason::ConnectionBroken;

    let mut refused = refused.continued(START, broken, START + TOLERATED);
    let ended = ended.continued(START, broken, START + TOLERATED);

    assert_eq!(ended.next(START), StopStep::Resume);
    assert_eq!(refused.next(START), StopStep::Order);
    refused.on_answer(START, StopAnswer::Unanswered);
    let step = refused.next(START + UNANSWERED_TIMEOUT);
    assert_eq!(step, StopStep::ResumeAndFollowUp);
}

/// Guards against a generation that resumes beside its run because an engine that leaves, and left an
/// order unanswered, falls silent and leaves another one unanswered.
#[rstest]
#[case::silent(LeaveReason::Silent)]
#[case::broken(LeaveReason::ConnectionBroken)]
fn an_engine_that_works_without_answers_is_reached(#[case] why: LeaveReason) {
    let stop = answered(LeaveReason::EngineLeaves, StopAnswer::Unanswered);

    let mut stop = stop.continued(START, why, START + TOLERATED);
    stop.on_answer(START, StopAnswer::Unanswered);

    assert_eq!(stop.next(START + TOLERATED), StopStep::GiveUp);
    stop.on_answer(START, StopAnswer::Unreached);
    assert_eq!(stop.next(START), StopStep::ResumeAndFollowUp);
}

#[test]
fn orders_are_repeated_until_the_run_has_ended() {
    let deadline = START + Duration::from_secs(39);
    let mut stop = answered(LeaveReason::CallerLeft, StopAnswer::Refused);
    assert!(stop.follow_up_at(deadline).is_some());

    stop.on_answer(START, StopAnswer::Stopped);

    assert_eq!(stop.follow_up_at(deadline), None);
}

/// Guards against a silent engine that is ordered to stop a generation only once it is abandoned, so
/// that callers wait for the answer too.
#[rstest]
#[case::standby(true, EngineView { standby_is_usable: true, leaving_for: Some(Duration::ZERO), ..EngineView::default() },
    LEAVING_SILENCE_TIMEOUT)]
#[case::resumable(false, EngineView { may_recompute: true, ..EngineView::default() }, RESUMABLE_SILENCE_TIMEOUT)]
fn a_silent_engine_is_ordered_to_stop_before_it_is_abandoned(
    #[case] has_standby: bool,
    #[case] view: EngineView,
    #[case] silence: Duration,
) {
    let mut generation = Relocation::new(Duration::from_secs(4));
    generation.set_standby(has_standby);
    generation.on_event(START, Some(1));
    let last = START + STANDBY_READY_AFTER;
    generation.on_bytes(last);

    let order_at = generation.stop_order_at(last, &view);

    assert_eq!(order_at, (last + silence).before(STOP_LEAD));
}

/// Guards against an order to an engine of which no generation would leave: silence alone ends no run.
#[test]
fn a_silent_engine_without_an_alternative_gets_no_order() {
    let mut generation = Relocation::new(Duration::from_secs(4));
    generation.on_event(START, Some(1));

    assert_eq!(
        generation.stop_order_at(START, &EngineView::default()),
        None
    );
}

proptest! {
    /// A generation resumes only with the proof of an end, or while its engine is not reached, and
    /// whatever the engine answers the wait is bounded.
    #[test]
    fn no_history_of_answers_resumes_a_generation_beside_its_run(
        reason in prop::sample::select(REASONS.to_vec()),
        answers in prop::collection::vec((prop::sample::select(ANSWERS.to_vec()), 0_u64..400), 1..40),
    ) {
        let mut stop = RunStop::new(START, reason, START + TOLERATED);
        let mut now = START;
        let mut seen = Vec::new();
        let mut answers = answers.into_iter().cycle();
        let outcome = loop {
            match stop.next(now) {
                StopStep::Order => {
                    let (answer, took) = answers.next().expect("a cycle");
                    now += Duration::from_millis(took);
                    seen.push(answer.evidence());
                    stop.on_answer(now, answer);
                }
                StopStep::Wait(until) => {
                    prop_assert!(until > now);
                    now = until;
                }
                over => break over,
            }
        };

        let has_ended = seen.contains(&Evidence::Ended);
        let is_alive = reason == LeaveReason::EngineLeaves || seen.contains(&Evidence::MayRun);
        match outcome {
            StopStep::Resume => prop_assert!(has_ended),
            StopStep::ResumeAndFollowUp => {
                let unreached = seen.last() == Some(&Evidence::Unreached);
                prop_assert!(unreached || !is_alive);
            }
            _ => prop_assert!(is_alive && !has_ended),
        }
        // The last order may take its own time.
        let ends = match reason {
            LeaveReason::Silent => STOP_TIMEOUT,
            _ => TOLERATED,
        };
        prop_assert!(now <= START + ends + Duration::from_millis(440));
    }
}
