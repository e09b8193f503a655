//! When a generation leaves its engine, and which events its caller gets.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::gateway::relocation::{
    EARLY_RELOCATION, EngineView, EventDelivery, LEAVING_SILENCE_TIMEOUT, MAX_RELOCATIONS,
    REFRESH_AFTER, RELOCATE_AFTER, RESUMABLE_SILENCE_TIMEOUT, Relocation, ResumeFrom,
    STANDBY_READY_AFTER, Step, silence_timeout,
};
use proptest::prelude::*;
use rstest::rstest;

const START: Time = Time::from_secs(10);

/// How long an engine that is not leaving may be silent, in these tests.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);

/// A generation whose first event arrived at [`START`].
fn started(has_standby: bool) -> Relocation {
    let mut generation = Relocation::new(SILENCE_TIMEOUT);
    generation.set_standby(has_standby);
    generation.on_bytes(START);
    assert_eq!(generation.on_event(START, Some(1)), EventDelivery::Forward);
    generation
}

fn leaving(leaving_for: Duration) -> EngineView {
    EngineView {
        leaving_for: Some(leaving_for),
        standby_is_usable: true,
        target_is_quiet: true,
        may_recompute: false,
        is_budget_spent: false,
        remaining: None,
    }
}

/// An engine that is not leaving, and a generation that any engine can resume.
fn resumable() -> EngineView {
    EngineView {
        may_recompute: true,
        ..EngineView::default()
    }
}

#[rstest]
#[case::next(2, EventDelivery::Forward)]
#[case::same(1, EventDelivery::Duplicate)]
#[case::skipped(3, EventDelivery::Gap)]
fn events_are_forwarded_once_and_without_a_gap(
    #[case] number: u64,
    #[case] expected: EventDelivery,
) {
    assert_eq!(started(false).on_event(START, Some(number)), expected);
}

#[test]
fn a_silent_engine_is_abandoned_once_there_is_a_copy() {
    let generation = started(true);
    let stays = EngineView {
        standby_is_usable: true,
        ..EngineView::default()
    };
    let gone = EngineView {
        leaving_for: Some(Duration::ZERO),
        ..stays
    };
    let settled = START + STANDBY_READY_AFTER;

    assert_eq!(
        generation.next(START, &stays),
        Step::Wait(START + SILENCE_TIMEOUT)
    );
    assert_eq!(
        generation.next(START + SILENCE_TIMEOUT, &stays),
        Step::FailOver
    );
    assert_ne!(
        generation.next(START + LEAVING_SILENCE_TIMEOUT, &gone),
        Step::FailOver
    );
    assert_eq!(generation.next(settled, &gone), Step::FailOver);
}

#[rstest]
#[case::plan(1_800, 180, 4_320)]
#[case::short_target(100, 0, 1_200)]
#[case::long_pause(100, 1_000, 4_800)]
fn silence_is_tolerated_for_a_share_of_what_callers_tolerate(
    #[case] target_ms: u64,
    #[case] gap_ms: u64,
    #[case] limit_ms: u64,
) {
    let millis = Duration::from_millis;

    assert_eq!(
        silence_timeout(millis(target_ms), millis(gap_ms)),
        millis(limit_ms)
    );
}

/// Guards against a stream that ends while its engine still works on it: the engine preempts the
/// generation and prefills it again, which takes longer than usual, and no copy of it exists.
/// Silence alone must not end a stream.
#[rstest]
#[case::no_copy(false, true)]
#[case::engine_of_the_copy_leaves(true, false)]
fn silence_alone_does_not_end_a_stream(#[case] has_standby: bool, #[case] standby_is_usable: bool) {
    let generation = started(has_standby);
    let view = EngineView {
        standby_is_usable,
        ..EngineView::default()
    };

    let step = generation.next(START + Duration::from_secs(9), &view);

    assert_eq!(step, Step::Wait(Time::NEVER));
}

#[test]
fn before_its_first_event_a_generation_waits() {
    let generation = Relocation::new(SILENCE_TIMEOUT);

    assert_eq!(
        generation.next(START + LEAVING_SILENCE_TIMEOUT, &leaving(RELOCATE_AFTER)),
        Step::Wait(Time::NEVER)
    );
}

/// Guards against a short resumable generation that stalls until its caller leaves: its engine
/// hangs after an event, and short generations have no copy. It must resume without one.
#[test]
fn a_resumable_generation_needs_no_copy_to_leave_a_silent_engine() {
    let generation = started(false);

    let silent = START + RESUMABLE_SILENCE_TIMEOUT;

    assert_eq!(generation.next(START, &resumable()), Step::Wait(silent));
    assert_eq!(generation.next(silent, &resumable()), Step::Recompute);
    assert_eq!(
        generation.next(silent, &EngineView::default()),
        Step::Wait(Time::NEVER),
        "a generation that is not resumable waits"
    );
}

/// A silent generation that cannot resume anywhere does not search for an engine continuously.
#[test]
fn the_search_for_an_engine_to_recompute_is_paced() {
    let mut generation = started(false);
    let silent = START + RESUMABLE_SILENCE_TIMEOUT;
    generation.recompute_refused(silent);

    let step = generation.next(silent, &resumable());

    assert!(
        matches!(step, Step::Wait(until) if until > silent),
        "{step:?}"
    );
}

/// Guards against duplicate events for a reconnected caller, which reports the last event that it
/// has.
#[test]
fn a_reconnected_caller_gets_only_missing_events() {
    let mut generation = Relocation::new(SILENCE_TIMEOUT).after(Some(7));

    assert_eq!(
        generation.on_event(START, Some(7)),
        EventDelivery::Duplicate
    );
    assert_eq!(generation.on_event(START, Some(9)), EventDelivery::Gap);
    assert_eq!(generation.on_event(START, Some(8)), EventDelivery::Forward);
    assert_eq!(generation.events(), 1);
}

/// Guards against a stream that ends shortly after its relocation: the second engine leaves as
/// well, and the new standby copy is assumed to exist because of the age of the generation, not of
/// the copy.
#[test]
fn a_standby_copy_takes_time_at_each_engine() {
    let mut generation = started(true);
    let moved = START + Duration::from_secs(9);
    assert_eq!(
        generation.resume_from(moved, true),
        Some(ResumeFrom::Standby)
    );

    generation.on_relocated(moved);
    generation.set_standby(true);
    generation.on_event(moved, Some(2));

    assert_eq!(
        generation.resume_from(moved + Duration::from_millis(940), true),
        None
    );
    assert_eq!(
        generation.resume_from(moved + STANDBY_READY_AFTER, true),
        Some(ResumeFrom::Standby)
    );
}

/// Guards against a second run of a generation that must run at most once: its engine crashes some
/// milliseconds after the first event, and the engine for its standby copy has received nothing
/// yet. That engine fails if it is asked to resume, and the attempt counts as a run.
#[test]
fn a_standby_copy_that_cannot_have_arrived_is_not_used() {
    let young = started(true);

    assert!(!young.standby_may_exist(START + Duration::from_millis(50)));
    assert!(young.standby_may_exist(START + STANDBY_READY_AFTER));
    assert!(!Relocation::new(SILENCE_TIMEOUT).standby_may_exist(START + STANDBY_READY_AFTER));
}

#[test]
fn a_young_generation_is_pre_copied_at_the_notice() {
    let generation = started(true);

    assert_eq!(
        generation.next(START, &leaving(Duration::ZERO)),
        Step::PreCopy
    );
}

#[test]
fn a_generation_is_pre_copied_if_the_engine_of_its_standby_copy_leaves_too() {
    let mut generation = started(true);
    let now = START + STANDBY_READY_AFTER;
    generation.on_bytes(now);
    let both_leave = EngineView {
        standby_is_usable: false,
        ..leaving(Duration::ZERO)
    };

    assert!(matches!(
        generation.next(now, &leaving(Duration::ZERO)),
        Step::Wait(_)
    ));
    assert_eq!(generation.next(now, &both_leave), Step::PreCopy);
}

/// Guards against a generation that leaves a running engine without a copy to resume from.
#[test]
fn a_generation_without_a_copy_does_not_leave() {
    let mut generation = started(false);
    generation.pre_copy_started(START);

    let step = generation.next(START, &leaving(RELOCATE_AFTER * 2));

    assert_eq!(step, Step::Wait(Time::NEVER));
}

#[rstest]
#[case::early(Duration::ZERO, true, false)]
#[case::quiet(RELOCATE_AFTER - EARLY_RELOCATION, true, true)]
#[case::busy(RELOCATE_AFTER - EARLY_RELOCATION, false, false)]
#[case::late(RELOCATE_AFTER, false, true)]
fn a_generation_leaves_when_its_target_is_quiet_or_time_is_up(
    #[case] leaving_for: Duration,
    #[case] target_is_quiet: bool,
    #[case] leaves: bool,
) {
    let mut generation = started(false);
    generation.pre_copy_started(START);
    generation.pre_copy_ended(START, true);
    let view = EngineView {
        target_is_quiet,
        ..leaving(leaving_for)
    };

    assert_eq!(generation.next(START, &view) == Step::Relocate, leaves);
}

/// Guards against a generation that closes its stream before its engine ends, and has no retry left
/// to resume.
#[test]
fn a_generation_without_a_retry_does_not_leave() {
    let mut generation = started(false);
    generation.pre_copy_started(START);
    generation.pre_copy_ended(START, true);
    let view = EngineView {
        is_budget_spent: true,
        ..leaving(RELOCATE_AFTER)
    };

    let step = generation.next(START, &view);

    assert!(
        matches!(step, Step::Wait(until) if until > START),
        "{step:?}"
    );
}

#[test]
fn a_pre_copy_is_refreshed_and_survives_a_failed_refresh() {
    let mut generation = started(false);
    generation.pre_copy_started(START);
    generation.pre_copy_ended(START, true);
    let later = START + REFRESH_AFTER;
    let early = leaving(Duration::ZERO);

    assert_eq!(generation.next(later, &early), Step::PreCopy);
    generation.pre_copy_started(later);
    assert!(generation.pre_copy_ended(later, false));
    assert_eq!(
        generation.resume_from(later, false),
        Some(ResumeFrom::PreCopy)
    );
}

/// Guards against a stream that ends at a planned departure while its engine still works on it. The
/// generation must not leave for its standby copy, with a pre-copy in progress or without room for
/// one, since that copy is only assumed to exist. When the engine stops, it ends the stream itself,
/// and the standby copy is tried then.
#[rstest]
#[case::in_progress(true)]
#[case::failed(false)]
fn no_generation_leaves_a_running_engine_for_a_standby_copy(#[case] in_progress: bool) {
    let mut generation = started(true);
    generation.pre_copy_started(START);
    let now = START + STANDBY_READY_AFTER;
    generation.on_bytes(now);
    if !in_progress {
        generation.pre_copy_ended(now, false);
    }

    for leaving_for in [RELOCATE_AFTER, RELOCATE_AFTER * 2] {
        let step = generation.next(now, &leaving(leaving_for));
        assert!(
            matches!(step, Step::Wait(_) | Step::PreCopy),
            "{leaving_for:?}: {step:?}"
        );
    }
    generation.pre_copy_ended(now, true);
    assert_eq!(
        generation.next(now, &leaving(RELOCATE_AFTER)),
        Step::Relocate
    );
}

/// Guards against a stream that ends at a planned departure of four seconds: no engine has room for
/// the pre-copy or the standby copy at first, and all tries are used up within 0.7 s, before room
/// becomes free.
#[test]
fn pre_copies_are_tried_as_long_as_an_engine_is_leaving() {
    let mut generation = started(false);
    let mut now = START;
    let ends = START + Duration::from_secs(4);
    let mut last_try = START;
    while now < ends {
        generation.on_bytes(now);
        match generation.next(now, &leaving(now.since(START))) {
            Step::PreCopy => {
                last_try = now;
                generation.pre_copy_started(now);
                generation.pre_copy_ended(now, false);
            }
            Step::Wait(until) => now = until.min(ends),
            other => panic!("{other:?}"),
        }
    }

    assert!(
        ends.since(last_try) <= Duration::from_millis(600),
        "the last try was {:?} before the end",
        ends.since(last_try)
    );
}

/// Guards against a stream that ends at a planned departure although its pre-copy was complete: the
/// generation leaves for it during a refresh, and the engine that holds the copy refuses.
#[test]
fn a_generation_does_not_leave_for_a_copy_that_is_being_refreshed() {
    let mut generation = started(false);
    generation.pre_copy_started(START);
    generation.pre_copy_ended(START, true);
    let now = START + REFRESH_AFTER;
    generation.on_bytes(now);
    assert_eq!(
        generation.next(now, &leaving(Duration::ZERO)),
        Step::PreCopy
    );
    generation.pre_copy_started(now);

    let meanwhile = generation.next(now, &leaving(RELOCATE_AFTER));
    generation.pre_copy_ended(now, true);
    let then = generation.next(now, &leaving(RELOCATE_AFTER));

    assert!(matches!(meanwhile, Step::Wait(_)), "{meanwhile:?}");
    assert_eq!(then, Step::Relocate);
}

/// A pre-copy is not refreshed shortly before it is used.
#[test]
fn a_pre_copy_is_not_refreshed_just_before_it_is_used() {
    let mut generation = started(false);
    generation.pre_copy_started(START);
    generation.pre_copy_ended(START, true);
    let now = START + REFRESH_AFTER;
    generation.on_bytes(now);
    let busy = EngineView {
        target_is_quiet: false,
        ..leaving(RELOCATE_AFTER - Duration::from_millis(1))
    };

    let step = generation.next(now, &busy);

    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}

#[derive(Clone, Debug)]
enum Input {
    Pass(u64),
    Bytes,
    Event(u64),
    PreCopyEnds(bool),
    PreCopyPlaced(bool),
    Notice,
    StandbyGone,
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        (1_u64..400).prop_map(Input::Pass),
        Just(Input::Bytes),
        (0_u64..4).prop_map(Input::Event),
        any::<bool>().prop_map(Input::PreCopyEnds),
        any::<bool>().prop_map(Input::PreCopyPlaced),
        Just(Input::Notice),
        Just(Input::StandbyGone),
    ]
}

proptest! {
    /// Under any history: forwarded events have consecutive numbers, a generation leaves only with
    /// a copy, and the number of relocations is bounded.
    #[test]
    fn histories_keep_the_invariants(
        history in prop::collection::vec(input(), 1..200),
        may_recompute in any::<bool>(),
        remaining_ms in prop::option::of(0_u64..3_000),
    ) {
        let mut generation = started(true);
        let mut now = START;
        let mut notice: Option<Time> = None;
        let mut standby_is_usable = true;
        let mut in_progress = false;
        let mut is_requested = false;
        let mut held = 1;
        for input in history {
            match input {
                Input::Pass(millis) => now += Duration::from_millis(millis),
                Input::Bytes => generation.on_bytes(now),
                Input::Event(offset) => {
                    let number = (held + offset).saturating_sub(1);
                    match generation.on_event(now, Some(number)) {
                        EventDelivery::Forward => {
                            prop_assert_eq!(number, held + 1);
                            held = number;
                        }
                        EventDelivery::Duplicate => prop_assert!(number <= held),
                        EventDelivery::Gap => prop_assert!(number > held + 1),
                    }
                }
                Input::PreCopyEnds(complete) if in_progress => {
                    in_progress = false;
                    let is_there = generation.pre_copy_ended(now, complete);
                    prop_assert!(is_there || !complete);
                }
                Input::PreCopyEnds(_) => {}
                Input::PreCopyPlaced(is_placed) if is_requested => {
                    is_requested = false;
                    in_progress = is_placed;
                    let leaving_for = now.since(notice.expect("only after the notice"));
                    match is_placed {
                        true => generation.pre_copy_started(now),
                        false => generation.pre_copy_refused(now, leaving_for),
                    }
                }
                Input::PreCopyPlaced(_) => {}
                Input::Notice => {
                    notice.get_or_insert(now);
                }
                Input::StandbyGone => standby_is_usable = false,
            }
            let view = EngineView {
                leaving_for: notice.map(|since| now.since(since)),
                standby_is_usable,
                target_is_quiet: held % 2 == 0,
                may_recompute,
                is_budget_spent: held % 3 == 0,
                remaining: remaining_ms.map(Duration::from_millis),
            };
            match generation.next(now, &view) {
                Step::PreCopy => {
                    prop_assert!(!in_progress, "two pre-copies at once");
                    prop_assert!(!is_requested, "two requests at once");
                    generation.pre_copy_requested();
                    is_requested = true;
                }
                Step::Relocate => {
                    prop_assert!(notice.is_some());
                    prop_assert!(!view.is_budget_spent, "left without a retry to spend");
                    let from = generation.resume_from(now, standby_is_usable);
                    prop_assert_eq!(from, Some(ResumeFrom::PreCopy));
                    prop_assert!(!in_progress, "left for a copy that is being written");
                    generation.on_relocated(now);
                    generation.set_standby(true);
                    notice = None;
                    standby_is_usable = true;
                    in_progress = false;
                    is_requested = false;
                }
                Step::Recompute => {
                    prop_assert!(may_recompute, "recomputed although it is not resumable");
                    prop_assert_eq!(generation.resume_from(now, standby_is_usable), None);
                    generation.on_relocated(now);
                    in_progress = false;
                    is_requested = false;
                }
                Step::FailOver => {
                    prop_assert!(generation.resume_from(now, standby_is_usable).is_some());
                    break;
                }
                Step::Wait(until) => prop_assert!(until > now),
            }
            prop_assert!(may_recompute || generation.relocations() <= MAX_RELOCATIONS);
            prop_assert_eq!(generation.last_event(), Some(held));
            prop_assert_eq!(generation.events(), held);
        }
    }
}

/// Guards against copies that take the room of generations that are lost without one: a generation
/// that ends before it would leave its engine is copied as well. The copy is still made if the
/// generation lasts longer than expected.
#[test]
fn a_generation_that_is_about_to_end_is_copied_only_if_it_does_not() {
    let generation = started(false);
    let about_to_end = |leaving_for: u64| EngineView {
        remaining: Some(Duration::from_millis(400)),
        ..leaving(Duration::from_millis(leaving_for))
    };

    let at_notice = generation.next(START, &about_to_end(0));
    let later = START + Duration::from_millis(700);
    let still_running = generation.next(later, &about_to_end(700));

    assert_eq!(at_notice, Step::Wait(later));
    assert_eq!(still_running, Step::PreCopy);
}

/// Guards against a second request for a place while the first one waits.
#[test]
fn a_pre_copy_that_waits_for_a_place_is_requested_once() {
    let mut generation = started(false);
    let view = leaving(Duration::from_millis(100));
    assert_eq!(generation.next(START, &view), Step::PreCopy);

    generation.pre_copy_requested();

    assert!(matches!(generation.next(START, &view), Step::Wait(_)));
}
