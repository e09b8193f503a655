//! When a generation leaves its engine, and which events its caller gets.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::gateway::relocation::{
    COPY_SETTLES, Delivery, GoOnFrom, LEAVE_AFTER, LEAVE_EARLY, MAX_MOVES, REFRESH_AFTER,
    Relocation, SILENCE, Step, View,
};
use proptest::prelude::*;
use rstest::rstest;

const START: Time = Time::from_secs(10);

/// A generation whose first event came at [`START`].
fn begun(has_standing: bool) -> Relocation {
    let mut one = Relocation::new();
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
fn nothing_is_done_while_the_engine_stays() {
    let one = begun(true);

    assert_eq!(
        one.next(START, &View::default()),
        Step::Wait(START + SILENCE)
    );
    assert_eq!(one.next(START + SILENCE, &View::default()), Step::GiveUp);
}

#[test]
fn before_its_first_event_a_generation_waits() {
    let one = Relocation::new();

    assert_eq!(
        one.next(START + SILENCE, &leaving(LEAVE_AFTER)),
        Step::Wait(Time::NEVER)
    );
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

    assert_eq!(step, Step::Wait(START + SILENCE));
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
    fn histories_keep_the_invariants(history in prop::collection::vec(happening(), 1..200)) {
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
            };
            match one.next(now, &view) {
                Step::CopyAhead => {
                    prop_assert!(!under_way, "two copies ahead at once");
                    one.ahead_begun(now);
                    under_way = true;
                }
                Step::Leave => {
                    prop_assert!(notice.is_some());
                    prop_assert!(one.go_on_from(now, standing_takes_work).is_some());
                    one.moved(now);
                    one.set_standing(true);
                    notice = None;
                    standing_takes_work = true;
                    under_way = false;
                }
                Step::GiveUp => break,
                Step::Wait(until) => prop_assert!(until > now),
            }
            prop_assert!(one.moves() <= MAX_MOVES);
            prop_assert_eq!(one.last_event(), Some(held));
            prop_assert_eq!(one.events(), held);
        }
    }
}
