//! The one moment in which a request leaves the process.

use oriolemux::callers::port::Clock;
use oriolemux::endpoints::send_guard::{Expired, SendGuard};
use oriolemux_core::Time;

/// Symptom: a request is received "not run" and runs. Sequence: the wait for an
/// endpoint's connection ends; at that moment the connection stands and asks
/// for the body. Cause: the guard was read and not closed, so that the body
/// left after "not run" was said.
#[test]
fn cancelled_body_is_never_sent() {
    let guard = SendGuard::new(Clock::start(), Time::NEVER);

    let left = guard.give_up();

    assert!(!left);
    assert_eq!(guard.hand_over(), Err(Expired));
    assert!(!guard.give_up());
}

#[test]
fn handed_over_body_stays_handed_over() {
    let guard = SendGuard::new(Clock::start(), Time::NEVER);

    guard.hand_over().expect("in time");

    assert!(guard.give_up());
    assert!(!guard.expired());
}
