//! The guard of the moment in which a body is handed to the HTTP client.

use oriolemux::callers::port::Clock;
use oriolemux::endpoints::send_guard::{Expired, SendGuard};
use oriolemux_core::Time;

/// Guards against a request that is reported as "not run" and runs. The wait for an endpoint's
/// connection times out, and at that moment the connection is established and polls the body. If
/// the guard were only read and not closed, the body would be sent after the report.
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
