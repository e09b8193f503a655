//! Tests that each refusal and retry reason has a counter that is exported from the start.
//!
//! The file has only one test, because a process has only one recorder.

use oriolemux::events::emit;
use oriolemux::metrics;
use oriolemux_core::ids::{Incarnation, InstanceKey, RequestId};
use oriolemux_core::note::Note;
use oriolemux_core::reason::Reason;

fn request() -> RequestId {
    RequestId {
        instance: InstanceKey::of("arima-1"),
        incarnation: Incarnation(1),
        seq: 1,
    }
}

#[test]
fn reasons_are_shown_at_zero_and_counted() {
    metrics::install().expect("a recorder");
    let before = metrics::render();

    emit(&Note::Refused {
        request: request(),
        reason: Reason::QueueFull,
    });
    emit(&Note::Retried {
        request: request(),
        reason: Reason::Stalled,
    });
    emit(&Note::Discarded {
        reason: Reason::WrongAttempt,
    });
    emit(&Note::PlatformDown);
    let after = metrics::render();

    for line in [
        "oriolemux_refusals_total{reason=\"queue_full\"} ",
        "oriolemux_retries_total{reason=\"stalled\"} ",
        "oriolemux_discards_total{reason=\"wrong_attempt\"} ",
        "oriolemux_events_total{event=\"platform_down\"} ",
    ] {
        assert!(
            before.contains(&format!("{line}0\n")),
            "{line}0 not in {before}"
        );
        assert!(
            after.contains(&format!("{line}1\n")),
            "{line}1 not in {after}"
        );
    }
    assert!(before.contains("# HELP oriolemux_queued_requests Requests that wait"));
}
