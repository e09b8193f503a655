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
const LIMIT: Duration = Duration::from_secs(4);

/// A generation whose first event arrived at [`START`].
fn begun(has_standing: bool) -> Relocation {
    let mut one = Relocation::new(LIMIT);
    one.set_standby(has_standing);
    one.on_bytes(START);
    assert_eq!(one.on_event(START, Some(1)), EventDelivery::Forward);
    one
}

fn leaving(leaves_for: Duration) -> EngineView {
    EngineView {
        leaving_for: Some(leaves_for),
        standby_is_usable: true,
        target_is_quiet: true,
        may_recompute: false,
        is_budget_spent: false,
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
fn events_are_passed_on_once_and_without_a_gap(
    #[case] number: u64,
    #[case] expected: EventDelivery,
) {
    assert_eq!(begun(false).on_event(START, Some(number)), expected);
}

#[test]
fn a_silent_engine_is_given_up_once_there_is_a_copy() {
    let one = begun(true);
    let stays = EngineView {
        standby_is_usable: true,
        ..EngineView::default()
    };
    let gone = EngineView {
        leaving_for: Some(Duration::ZERO),
        ..stays
    };
    let settled = START + STANDBY_READY_AFTER;

    assert_eq!(one.next(START, &stays), Step::Wait(START + LIMIT));
    assert_eq!(one.next(START + LIMIT, &stays), Step::FailOver);
    assert_ne!(
        one.next(START + LEAVING_SILENCE_TIMEOUT, &gone),
        Step::FailOver
    );
    assert_eq!(one.next(settled, &gone), Step::FailOver);
}

#[rstest]
#[case::plan(1_800, 180, 4_320)]
#[case::short_target(100, 0, 1_200)]
#[case::long_pause(100, 1_000, 4_800)]
fn silence_is_borne_for_a_share_of_what_callers_bear(
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
fn silence_alone_ends_no_stream(#[case] has_standing: bool, #[case] standing_takes_work: bool) {
    let one = begun(has_standing);
    let view = EngineView {
        standby_is_usable: standing_takes_work,
        ..EngineView::default()
    };

    let step = one.next(START + Duration::from_secs(9), &view);

    assert_eq!(step, Step::Wait(Time::NEVER));
}

#[test]
fn before_its_first_event_a_generation_waits() {
    let one = Relocation::new(LIMIT);

    assert_eq!(
        one.next(START + LEAVING_SILENCE_TIMEOUT, &leaving(RELOCATE_AFTER)),
        Step::Wait(Time::NEVER)
    );
}

/// Guards against a short resumable generation that stalls until its caller leaves: its engine
/// hangs after an event, and short generations have no copy. It must resume without one.
#[test]
fn a_resumable_generation_needs_no_copy_to_leave_a_silent_engine() {
    let one = begun(false);

    let silent = START + RESUMABLE_SILENCE_TIMEOUT;

    assert_eq!(one.next(START, &resumable()), Step::Wait(silent));
    assert_eq!(one.next(silent, &resumable()), Step::Recompute);
    assert_eq!(
        one.next(silent, &EngineView::default()),
        Step::Wait(Time::NEVER),
        "one that is not resumable waits"
    );
}

/// A silent generation that cannot resume anywhere does not search for an engine continuously.
#[test]
fn an_engine_with_room_is_not_looked_for_at_every_moment() {
    let mut one = begun(false);
    let silent = START + RESUMABLE_SILENCE_TIMEOUT;
    one.recompute_refused(silent);

    let step = one.next(silent, &resumable());

    assert!(
        matches!(step, Step::Wait(until) if until > silent),
        "{step:?}"
    );
}

/// Guards against duplicate events for a reconnected caller, which reports the last event that it
/// has.
#[test]
fn a_caller_that_comes_back_gets_what_it_lacks() {
    let mut one = Relocation::new(LIMIT).after(Some(7));

    assert_eq!(one.on_event(START, Some(7)), EventDelivery::Duplicate);
    assert_eq!(one.on_event(START, Some(9)), EventDelivery::Gap);
    assert_eq!(one.on_event(START, Some(8)), EventDelivery::Forward);
    assert_eq!(one.events(), 1);
}

/// Guards against a stream that ends shortly after its relocation: the second engine leaves as
/// well, and the new standby copy is assumed to exist because of the age of the generation, not of
/// the copy.
#[test]
fn a_standing_copy_settles_anew_at_each_engine() {
    let mut one = begun(true);
    let moved = START + Duration::from_secs(9);
    assert_eq!(one.resume_from(moved, true), Some(ResumeFrom::Standby));

    one.on_relocated(moved);
    one.set_standby(true);
    one.on_event(moved, Some(2));

    assert_eq!(
        one.resume_from(moved + Duration::from_millis(940), true),
        None
    );
    assert_eq!(
        one.resume_from(moved + STANDBY_READY_AFTER, true),
        Some(ResumeFrom::Standby)
    );
}

/// Guards against a second run of a generation that must run at most once: its engine crashes some
/// milliseconds after the first event, and the engine for its standby copy has received nothing
/// yet. That engine fails if it is asked to resume, and the attempt counts as a run.
#[test]
fn a_copy_of_which_nothing_can_have_arrived_is_not_asked_for() {
    let young = begun(true);

    assert!(!young.standby_may_exist(START + Duration::from_millis(50)));
    assert!(young.standby_may_exist(START + STANDBY_READY_AFTER));
    assert!(!Relocation::new(LIMIT).standby_may_exist(START + STANDBY_READY_AFTER));
}

#[test]
fn a_young_generation_is_copied_ahead_at_the_notice() {
    let one = begun(true);

    assert_eq!(one.next(START, &leaving(Duration::ZERO)), Step::PreCopy);
}

#[test]
fn a_generation_is_copied_ahead_if_the_engine_of_its_copy_leaves_too() {
    let mut one = begun(true);
    let now = START + STANDBY_READY_AFTER;
    one.on_bytes(now);
    let both_leave = EngineView {
        standby_is_usable: false,
        ..leaving(Duration::ZERO)
    };

    assert!(matches!(
        one.next(now, &leaving(Duration::ZERO)),
        Step::Wait(_)
    ));
    assert_eq!(one.next(now, &both_leave), Step::PreCopy);
}

/// Guards against a generation that leaves a running engine without a copy to resume from.
#[test]
fn a_generation_without_a_copy_stays() {
    let mut one = begun(false);
    one.pre_copy_started(START);

    let step = one.next(START, &leaving(RELOCATE_AFTER * 2));

    assert_eq!(step, Step::Wait(Time::NEVER));
}

#[rstest]
#[case::early(Duration::ZERO, true, false)]
#[case::quiet(RELOCATE_AFTER - EARLY_RELOCATION, true, true)]
#[case::busy(RELOCATE_AFTER - EARLY_RELOCATION, false, false)]
#[case::late(RELOCATE_AFTER, false, true)]
fn a_generation_leaves_when_its_target_is_quiet_or_time_is_up(
    #[case] leaves_for: Duration,
    #[case] target_is_quiet: bool,
    #[case] leaves: bool,
) {
    let mut one = begun(false);
    one.pre_copy_started(START);
    one.pre_copy_ended(START, true);
    let view = EngineView {
        target_is_quiet,
        ..leaving(leaves_for)
    };

    assert_eq!(one.next(START, &view) == Step::Relocate, leaves);
}

/// Guards against a generation that closes its stream before its engine ends, and has no retry left
/// to resume.
#[test]
fn a_generation_stays_while_it_may_not_be_sent_elsewhere() {
    let mut one = begun(false);
    one.pre_copy_started(START);
    one.pre_copy_ended(START, true);
    let view = EngineView {
        is_budget_spent: true,
        ..leaving(RELOCATE_AFTER)
    };

    let step = one.next(START, &view);

    assert!(
        matches!(step, Step::Wait(until) if until > START),
        "{step:?}"
    );
}

#[test]
fn a_copy_ahead_is_brought_up_to_date_and_outlives_a_failure_to_do_so() {
    let mut one = begun(false);
    one.pre_copy_started(START);
    one.pre_copy_ended(START, true);
    let later = START + REFRESH_AFTER;
    let early = leaving(Duration::ZERO);

    assert_eq!(one.next(later, &early), Step::PreCopy);
    one.pre_copy_started(later);
    assert!(one.pre_copy_ended(later, false));
    assert_eq!(one.resume_from(later, false), Some(ResumeFrom::PreCopy));
}

/// Guards against a stream that ends at a planned departure while its engine still works on it. The
/// generation must not leave for its standby copy, with a pre-copy in progress or without room for
/// one, since that copy is only assumed to exist. When the engine stops, it ends the stream itself,
/// and the standby copy is tried then.
#[rstest]
#[case::under_way(true)]
#[case::failed(false)]
fn nothing_leaves_a_live_engine_for_a_standing_copy(#[case] under_way: bool) {
    let mut one = begun(true);
    one.pre_copy_started(START);
    let now = START + STANDBY_READY_AFTER;
    one.on_bytes(now);
    if !under_way {
        one.pre_copy_ended(now, false);
    }

    for leaves_for in [RELOCATE_AFTER, RELOCATE_AFTER * 2] {
        let step = one.next(now, &leaving(leaves_for));
        assert!(
            matches!(step, Step::Wait(_) | Step::PreCopy),
            "{leaves_for:?}: {step:?}"
        );
    }
    one.pre_copy_ended(now, true);
    assert_eq!(one.next(now, &leaving(RELOCATE_AFTER)), Step::Relocate);
}

/// Guards against a stream that ends at a planned departure of four seconds: no engine has room for
/// the pre-copy or the standby copy at first, and all tries are used up within 0.7 s, before room
/// becomes free.
#[test]
fn copies_ahead_are_tried_for_as_long_as_an_engine_leaves() {
    let mut one = begun(false);
    let mut now = START;
    let ends = START + Duration::from_secs(4);
    let mut last_try = START;
    while now < ends {
        one.on_bytes(now);
        match one.next(now, &leaving(now.since(START))) {
            Step::PreCopy => {
                last_try = now;
                one.pre_copy_started(now);
                one.pre_copy_ended(now, false);
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
fn a_generation_leaves_for_no_copy_that_is_being_written() {
    let mut one = begun(false);
    one.pre_copy_started(START);
    one.pre_copy_ended(START, true);
    let now = START + REFRESH_AFTER;
    one.on_bytes(now);
    assert_eq!(one.next(now, &leaving(Duration::ZERO)), Step::PreCopy);
    one.pre_copy_started(now);

    let meanwhile = one.next(now, &leaving(RELOCATE_AFTER));
    one.pre_copy_ended(now, true);
    let then = one.next(now, &leaving(RELOCATE_AFTER));

    assert!(matches!(meanwhile, Step::Wait(_)), "{meanwhile:?}");
    assert_eq!(then, Step::Relocate);
}

/// A pre-copy is not refreshed shortly before it is used.
#[test]
fn a_copy_ahead_is_not_brought_up_to_date_just_before_it_is_used() {
    let mut one = begun(false);
    one.pre_copy_started(START);
    one.pre_copy_ended(START, true);
    let now = START + REFRESH_AFTER;
    one.on_bytes(now);
    let busy = EngineView {
        target_is_quiet: false,
        ..leaving(RELOCATE_AFTER - Duration::from_millis(1))
    };

    let step = one.next(now, &busy);

    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}

#[derive(Clone, Debug)]
enum Happening {
    Pass(u64),
    Bytes,
    Event(u64),
    AheadEnds(bool),
    Notice,
    StandingGone,
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        (1_u64..400).prop_map(Happening::Pass),
        Just(Happening::Bytes),
        (0_u64..4).prop_map(Happening::Event),
        any::<bool>().prop_map(Happening::AheadEnds),
        Just(Happening::Notice),
        Just(Happening::StandingGone),
    ]
}

proptest! {
    /// Under any history: forwarded events have consecutive numbers, a generation leaves only with
    /// a copy, and the number of relocations is bounded.
    #[test]
    fn histories_keep_the_invariants(
        history in prop::collection::vec(happening(), 1..200),
        may_go_on_anew in any::<bool>(),
    ) {
        let mut one = begun(true);
        let mut now = START;
        let mut notice: Option<Time> = None;
        let mut standing_takes_work = true;
        let mut under_way = false;
        let mut held = 1;
        for happening in history {
            match happening {
                Happening::Pass(millis) => now += Duration::from_millis(millis),
                Happening::Bytes => one.on_bytes(now),
                Happening::Event(offset) => {
                    let number = (held + offset).saturating_sub(1);
                    match one.on_event(now, Some(number)) {
                        EventDelivery::Forward => {
                            prop_assert_eq!(number, held + 1);
                            held = number;
                        }
                        EventDelivery::Duplicate => prop_assert!(number <= held),
                        EventDelivery::Gap => prop_assert!(number > held + 1),
                    }
                }
                Happening::AheadEnds(complete) if under_way => {
                    under_way = false;
                    let is_there = one.pre_copy_ended(now, complete);
                    prop_assert!(is_there || !complete);
                }
                Happening::AheadEnds(_) => {}
                Happening::Notice => {
                    notice.get_or_insert(now);
                }
                Happening::StandingGone => standing_takes_work = false,
            }
            let view = EngineView {
                leaving_for: notice.map(|since| now.since(since)),
                standby_is_usable: standing_takes_work,
                target_is_quiet: held % 2 == 0,
                may_recompute: may_go_on_anew,
                is_budget_spent: held % 3 == 0,
            };
            match one.next(now, &view) {
                Step::PreCopy => {
                    prop_assert!(!under_way, "two copies ahead at once");
                    one.pre_copy_started(now);
                    under_way = true;
                }
                Step::Relocate => {
                    prop_assert!(notice.is_some());
                    prop_assert!(!view.is_budget_spent, "left without a repeat to spend");
                    let from = one.resume_from(now, standing_takes_work);
                    prop_assert_eq!(from, Some(ResumeFrom::PreCopy));
                    prop_assert!(!under_way, "left for a copy that is being written");
                    one.on_relocated(now);
                    one.set_standby(true);
                    notice = None;
                    standing_takes_work = true;
                    under_way = false;
                }
                Step::Recompute => {
                    prop_assert!(may_go_on_anew, "read anew though that is another generation");
                    prop_assert_eq!(one.resume_from(now, standing_takes_work), None);
                    one.on_relocated(now);
                    under_way = false;
                }
                Step::FailOver => {
                    prop_assert!(one.resume_from(now, standing_takes_work).is_some());
                    break;
                }
                Step::Wait(until) => prop_assert!(until > now),
            }
            prop_assert!(may_go_on_anew || one.relocations() <= MAX_RELOCATIONS);
            prop_assert_eq!(one.last_event(), Some(held));
            prop_assert_eq!(one.events(), held);
        }
    }
}
