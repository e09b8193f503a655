//! How a generation leaves an engine, by what the engine did with orders to stop runs.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::gateway::run_end::StopAnswer;
use oriolemux_core::gateway::stop_conduct::{CARRIED_OUT_TTL, OrderedOn, StopConduct, WayOut};
use oriolemux_core::ids::EndpointKey;
use rstest::rstest;

const NOW: Time = Time::from_secs(10);

fn engine() -> EndpointKey {
    EndpointKey::of("e-1")
}

fn after(answer: StopAnswer, ordered_on: OrderedOn) -> StopConduct {
    let mut conduct = StopConduct::default();
    conduct.on_answer(NOW, engine(), answer, ordered_on);
    conduct
}

/// Guards against a connection that is closed before an order which the engine does not carry out.
#[rstest]
#[case::refuses(StopAnswer::Refused, OrderedOn::OpenStream, WayOut::OrderFirst)]
#[case::busy(StopAnswer::Busy, OrderedOn::ClosedStream, WayOut::OrderFirst)]
#[case::unreadable(StopAnswer::Unreadable, OrderedOn::OpenStream, WayOut::OrderFirst)]
#[case::mute(StopAnswer::Unanswered, OrderedOn::OpenStream, WayOut::OrderFirst)]
#[case::keeps(StopAnswer::Stopped, OrderedOn::ClosedStream, WayOut::OrderFirst)]
#[case::keeps_without_room(
    StopAnswer::StoppedWithoutRoom,
    OrderedOn::ClosedStream,
    WayOut::OrderFirst
)]
#[case::drops(StopAnswer::NotRunning, OrderedOn::ClosedStream, WayOut::CloseFirst)]
#[case::answers(StopAnswer::NotRunning, OrderedOn::OpenStream, WayOut::CloseFirst)]
#[case::stops(StopAnswer::Stopped, OrderedOn::OpenStream, WayOut::CloseFirst)]
#[case::unreached(StopAnswer::Unreached, OrderedOn::OpenStream, WayOut::Ask)]
fn the_last_answer_decides(
    #[case] answer: StopAnswer,
    #[case] ordered_on: OrderedOn,
    #[case] way: WayOut,
) {
    assert_eq!(after(answer, ordered_on).way_out(NOW, engine()), way);
}

/// Guards against a connection that is closed because the engine carried out an order long ago.
#[test]
fn an_order_that_was_carried_out_shows_nothing_later() {
    let conduct = after(StopAnswer::NotRunning, OrderedOn::ClosedStream);

    assert_eq!(
        conduct.way_out(NOW + CARRIED_OUT_TTL, engine()),
        WayOut::Ask
    );
}

/// Guards against an engine that keeps requests and is taken for one that drops them.
#[test]
fn an_engine_that_kept_a_request_keeps_others() {
    let mut conduct = after(StopAnswer::Stopped, OrderedOn::ClosedStream);

    conduct.on_answer(NOW, engine(), StopAnswer::NotRunning, OrderedOn::OpenStream);

    assert_eq!(conduct.way_out(NOW, engine()), WayOut::OrderFirst);
}

/// Guards against each generation of an engine asking it the same, and against one that waits for an answer
/// for good.
#[test]
fn one_generation_asks_for_all() {
    let mut conduct = StopConduct::default();
    assert_eq!(conduct.way_out(NOW, engine()), WayOut::Ask);

    conduct.on_asked(NOW, engine());

    assert_eq!(conduct.way_out(NOW, engine()), WayOut::AwaitAnswer);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(conduct.way_out(later, engine()), WayOut::Ask);
}

/// Guards against an engine that refuses connections and is asked without a pause for as long as it leaves.
#[test]
fn an_engine_that_is_not_reached_is_asked_again_later() {
    let mut conduct = StopConduct::default();
    conduct.on_asked(NOW, engine());

    let (unreached, ordered_on) = (StopAnswer::Unreached, OrderedOn::OpenStream);
    conduct.on_answer(NOW, engine(), unreached, ordered_on);

    assert_eq!(conduct.way_out(NOW, engine()), WayOut::AwaitAnswer);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(conduct.way_out(later, engine()), WayOut::Ask);
}

/// Guards against what is known of engines growing with all engines that ever were.
#[test]
fn what_is_known_of_engines_that_are_gone_is_dropped() {
    let mut conduct = after(StopAnswer::Refused, OrderedOn::OpenStream);

    conduct.retain(|_| false);

    assert!(conduct.is_empty());
}
