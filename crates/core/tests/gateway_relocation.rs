//! When a generation leaves its engine, and which events its caller gets.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::gateway::relocation::{
    COPY_SETTLES, Delivery, GoOnFrom, LEAVE_AFTER, LEAVE_EARLY, MAX_MOVES, REFRESH_AFTER,
    RESUMABLE_SILENCE, Relocation, SILENCE, Step, View, silence_limit,
};
use proptest::prelude::*;
use rstest::rstest;

const START: Time = Time::from_secs(10);

/// How long an engine that stays may be silent, in these tests.
const LIMIT: Duration = Duration::from_secs(4);

/// A generation whose first event came at [`START`].
fn begun(has_standing: bool) -> Relocation {
    let mut one = Relocation::new(LIMIT);
    one.set_standing(has_standing);
    one.on_bytes(START);
    assert_eq!(one.on_event(START, Some(1)), Delivery::Pass);
    one
}

fn leaving(leaves_for: Duration) -> View {
    View {
        leaves_for: Some(leaves_for),
        standing_takes_work: true,
        target_is_quiet: true,
        may_go_on_anew: false,
        is_budget_spent: false,
    }
}

/// An engine that stays, and a generation that any engine may go on with.
fn resumable() -> View {
    View {
        may_go_on_anew: true,
        ..View::default()
    }
}

#[rstest]
#[case::next(2, Delivery::Pass)]
#[case::same(1, Delivery::Again)]
#[case::skipped(3, Delivery::Gap)]
fn events_are_passed_on_once_and_without_a_gap(#[case] number: u64, #[case] expected: Delivery) {
    assert_eq!(begun(false).on_event(START, Some(number)), expected);
}

#[test]
fn a_silent_engine_is_given_up_once_there_is_a_copy() {
    let one = begun(true);
    let stays = View {
        standing_takes_work: true,
        ..View::default()
    };
    let gone = View {
        leaves_for: Some(Duration::ZERO),
        ..stays
    };
    let settled = START + COPY_SETTLES;

    assert_eq!(one.next(START, &stays), Step::Wait(START + LIMIT));
    assert_eq!(one.next(START + LIMIT, &stays), Step::GiveUp);
    assert_ne!(one.next(START + SILENCE, &gone), Step::GiveUp);
    assert_eq!(one.next(settled, &gone), Step::GiveUp);
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
        silence_limit(millis(target_ms), millis(gap_ms)),
        millis(limit_ms)
    );
}

/// Symptom: a stream is cut 1.4 s after its first event, while its engine is at work
/// on it. Sequence: the engine preempts the generation and reads it in again, which
/// takes longer than usual; no copy of it stands anywhere. Cause: silence alone ended
/// the stream.
#[rstest]
#[case::no_copy(false, true)]
#[case::engine_of_the_copy_leaves(true, false)]
fn silence_alone_ends_no_stream(#[case] has_standing: bool, #[case] standing_takes_work: bool) {
    let one = begun(has_standing);
    let view = View {
        standing_takes_work,
        ..View::default()
    };

    let step = one.next(START + Duration::from_secs(9), &view);

    assert_eq!(step, Step::Wait(Time::NEVER));
}

#[test]
fn before_its_first_event_a_generation_waits() {
    let one = Relocation::new(LIMIT);

    assert_eq!(
        one.next(START + SILENCE, &leaving(LEAVE_AFTER)),
        Step::Wait(Time::NEVER)
    );
}

/// Symptom: a short note stands still until its caller leaves. Sequence: its engine hangs
/// after an event; there is no copy, since short generations have none. Cause: nothing
/// went on without a copy, although any engine may go on with such a note.
#[test]
fn a_resumable_generation_needs_no_copy_to_leave_a_silent_engine() {
    let one = begun(false);

    let silent = START + RESUMABLE_SILENCE;

    assert_eq!(one.next(START, &resumable()), Step::Wait(silent));
    assert_eq!(one.next(silent, &resumable()), Step::GoOnAnew);
    assert_eq!(
        one.next(silent, &View::default()),
        Step::Wait(Time::NEVER),
        "one that is not resumable waits"
    );
}

/// What is silent and cannot go on anywhere is not looked at again and again.
#[test]
fn an_engine_with_room_is_not_looked_for_at_every_moment() {
    let mut one = begun(false);
    let silent = START + RESUMABLE_SILENCE;
    one.anew_impossible(silent);

    let step = one.next(silent, &resumable());

    assert!(
        matches!(step, Step::Wait(until) if until > silent),
        "{step:?}"
    );
}

/// Symptom: a caller that comes back gets events twice. Sequence: its connection broke
/// after event 7; it names that event. Cause: what the caller holds was not known.
#[test]
fn a_caller_that_comes_back_gets_what_it_lacks() {
    let mut one = Relocation::new(LIMIT).after(Some(7));

    assert_eq!(one.on_event(START, Some(7)), Delivery::Again);
    assert_eq!(one.on_event(START, Some(9)), Delivery::Gap);
    assert_eq!(one.on_event(START, Some(8)), Delivery::Pass);
    assert_eq!(one.events(), 1);
}

/// Symptom: a stream is cut 0.94 s after it came to its second engine. Sequence: it
/// leaves its first engine when it is 9 s old; the second one leaves 0.2 s later.
/// Cause: the new standing copy was believed because the generation was old enough.
#[test]
fn a_standing_copy_settles_anew_at_each_engine() {
    let mut one = begun(true);
    let moved = START + Duration::from_secs(9);
    assert_eq!(one.go_on_from(moved, true), Some(GoOnFrom::Standing));

    one.moved(moved);
    one.set_standing(true);
    one.on_event(moved, Some(2));

    assert_eq!(
        one.go_on_from(moved + Duration::from_millis(940), true),
        None
    );
    assert_eq!(
        one.go_on_from(moved + COPY_SETTLES, true),
        Some(GoOnFrom::Standing)
    );
}

/// Symptom: a generation that may run once runs twice. Sequence: its engine dies some
/// milliseconds after the first event; the engine that is to keep its copy has nothing of
/// it yet, fails by itself, and counts as having run it. Cause: it was asked nevertheless.
#[test]
fn a_copy_of_which_nothing_can_have_arrived_is_not_asked_for() {
    let young = begun(true);

    assert!(!young.standing_may_exist(START + Duration::from_millis(50)));
    assert!(young.standing_may_exist(START + COPY_SETTLES));
    assert!(!Relocation::new(LIMIT).standing_may_exist(START + COPY_SETTLES));
}

#[test]
fn a_young_generation_is_copied_ahead_at_the_notice() {
    let one = begun(true);

    assert_eq!(one.next(START, &leaving(Duration::ZERO)), Step::CopyAhead);
}

#[test]
fn a_generation_is_copied_ahead_if_the_engine_of_its_copy_leaves_too() {
    let mut one = begun(true);
    let now = START + COPY_SETTLES;
    one.on_bytes(now);
    let both_leave = View {
        standing_takes_work: false,
        ..leaving(Duration::ZERO)
    };

    assert!(matches!(
        one.next(now, &leaving(Duration::ZERO)),
        Step::Wait(_)
    ));
    assert_eq!(one.next(now, &both_leave), Step::CopyAhead);
}

/// Symptom: streams are broken off at the time to leave. Cause: a generation left with
/// nothing to go on from, where staying would have cost nothing.
#[test]
fn a_generation_without_a_copy_stays() {
    let mut one = begun(false);
    one.ahead_begun(START);

    let step = one.next(START, &leaving(LEAVE_AFTER * 2));

    assert_eq!(step, Step::Wait(Time::NEVER));
}

#[rstest]
#[case::early(Duration::ZERO, true, false)]
#[case::quiet(LEAVE_AFTER - LEAVE_EARLY, true, true)]
#[case::busy(LEAVE_AFTER - LEAVE_EARLY, false, false)]
#[case::late(LEAVE_AFTER, false, true)]
fn a_generation_leaves_when_its_target_is_quiet_or_time_is_up(
    #[case] leaves_for: Duration,
    #[case] target_is_quiet: bool,
    #[case] leaves: bool,
) {
    let mut one = begun(false);
    one.ahead_begun(START);
    one.ahead_ended(START, true);
    let view = View {
        target_is_quiet,
        ..leaving(leaves_for)
    };

    assert_eq!(one.next(START, &view) == Step::Leave, leaves);
}

/// Guards against a generation that closes its stream before its engine ends, and may not go on.
#[test]
fn a_generation_stays_while_it_may_not_be_sent_elsewhere() {
    let mut one = begun(false);
    one.ahead_begun(START);
    one.ahead_ended(START, true);
    let view = View {
        is_budget_spent: true,
        ..leaving(LEAVE_AFTER)
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
    one.ahead_begun(START);
    one.ahead_ended(START, true);
    let later = START + REFRESH_AFTER;
    let early = leaving(Duration::ZERO);

    assert_eq!(one.next(later, &early), Step::CopyAhead);
    one.ahead_begun(later);
    assert!(one.ahead_ended(later, false));
    assert_eq!(one.go_on_from(later, false), Some(GoOnFrom::Ahead));
}

/// Symptom: a stream is cut at a planned departure, while its engine is at work on it.
/// Sequence: the generation leaves for its standing copy, with a copy ahead under way or
/// without room for one, and the engine of the standing copy has none. Cause: what is
/// only believed went before an engine that was still there. An engine that goes ends
/// the stream by itself, and the standing copy is asked for then.
#[rstest]
#[case::under_way(true)]
#[case::failed(false)]
fn nothing_leaves_a_live_engine_for_a_standing_copy(#[case] under_way: bool) {
    let mut one = begun(true);
    one.ahead_begun(START);
    let now = START + COPY_SETTLES;
    one.on_bytes(now);
    if !under_way {
        one.ahead_ended(now, false);
    }

    for leaves_for in [LEAVE_AFTER, LEAVE_AFTER * 2] {
        let step = one.next(now, &leaving(leaves_for));
        assert!(
            matches!(step, Step::Wait(_) | Step::CopyAhead),
            "{leaves_for:?}: {step:?}"
        );
    }
    one.ahead_ended(now, true);
    assert_eq!(one.next(now, &leaving(LEAVE_AFTER)), Step::Leave);
}

/// Symptom: a stream is cut at a planned departure of four seconds. Sequence: no engine has
/// room for its copy in the first second after the notice; it has later, when nobody asks
/// any more; the engine of its standing copy had no room for that either. Cause: the tries
/// were spent in a row, within 0.7 s.
#[test]
fn copies_ahead_are_tried_for_as_long_as_an_engine_leaves() {
    let mut one = begun(false);
    let mut now = START;
    let ends = START + Duration::from_secs(4);
    let mut last_try = START;
    while now < ends {
        one.on_bytes(now);
        match one.next(now, &leaving(now.since(START))) {
            Step::CopyAhead => {
                last_try = now;
                one.ahead_begun(now);
                one.ahead_ended(now, false);
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

/// Symptom: a stream is cut at a planned departure, although its copy ahead was complete
/// 0.3 s before. Sequence: bringing the copy up to date begins; some milliseconds later
/// the generation leaves for it, and the engine that keeps it refuses. Cause: a copy that
/// is being written counted as one to go on from.
#[test]
fn a_generation_leaves_for_no_copy_that_is_being_written() {
    let mut one = begun(false);
    one.ahead_begun(START);
    one.ahead_ended(START, true);
    let now = START + REFRESH_AFTER;
    one.on_bytes(now);
    assert_eq!(one.next(now, &leaving(Duration::ZERO)), Step::CopyAhead);
    one.ahead_begun(now);

    let meanwhile = one.next(now, &leaving(LEAVE_AFTER));
    one.ahead_ended(now, true);
    let then = one.next(now, &leaving(LEAVE_AFTER));

    assert!(matches!(meanwhile, Step::Wait(_)), "{meanwhile:?}");
    assert_eq!(then, Step::Leave);
}

/// A copy ahead that is about to be used is not written again.
#[test]
fn a_copy_ahead_is_not_brought_up_to_date_just_before_it_is_used() {
    let mut one = begun(false);
    one.ahead_begun(START);
    one.ahead_ended(START, true);
    let now = START + REFRESH_AFTER;
    one.on_bytes(now);
    let busy = View {
        target_is_quiet: false,
        ..leaving(LEAVE_AFTER - Duration::from_millis(1))
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
    /// Under any history: what is passed on has numbers that follow each other, a
    /// generation leaves only with a copy, and its moves are bounded.
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
                        Delivery::Pass => {
                            prop_assert_eq!(number, held + 1);
                            held = number;
                        }
                        Delivery::Again => prop_assert!(number <= held),
                        Delivery::Gap => prop_assert!(number > held + 1),
                    }
                }
                Happening::AheadEnds(complete) if under_way => {
                    under_way = false;
                    let is_there = one.ahead_ended(now, complete);
                    prop_assert!(is_there || !complete);
                }
                Happening::AheadEnds(_) => {}
                Happening::Notice => {
                    notice.get_or_insert(now);
                }
                Happening::StandingGone => standing_takes_work = false,
            }
            let view = View {
                leaves_for: notice.map(|since| now.since(since)),
                standing_takes_work,
                target_is_quiet: held % 2 == 0,
                may_go_on_anew,
                is_budget_spent: held % 3 == 0,
            };
            match one.next(now, &view) {
                Step::CopyAhead => {
                    prop_assert!(!under_way, "two copies ahead at once");
                    one.ahead_begun(now);
                    under_way = true;
                }
                Step::Leave => {
                    prop_assert!(notice.is_some());
                    prop_assert!(!view.is_budget_spent, "left without a repeat to spend");
                    let from = one.go_on_from(now, standing_takes_work);
                    prop_assert_eq!(from, Some(GoOnFrom::Ahead));
                    prop_assert!(!under_way, "left for a copy that is being written");
                    one.moved(now);
                    one.set_standing(true);
                    notice = None;
                    standing_takes_work = true;
                    under_way = false;
                }
                Step::GoOnAnew => {
                    prop_assert!(may_go_on_anew, "read anew though that is another generation");
                    prop_assert_eq!(one.go_on_from(now, standing_takes_work), None);
                    one.moved(now);
                    under_way = false;
                }
                Step::GiveUp => {
                    prop_assert!(one.go_on_from(now, standing_takes_work).is_some());
                    break;
                }
                Step::Wait(until) => prop_assert!(until > now),
            }
            prop_assert!(may_go_on_anew || one.moves() <= MAX_MOVES);
            prop_assert_eq!(one.last_event(), Some(held));
            prop_assert_eq!(one.events(), held);
        }
    }
}
