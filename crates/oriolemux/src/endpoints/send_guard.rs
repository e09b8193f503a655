//! Guards the moment in which the body of a request is handed to the HTTP client.
//!
//! It prevents two faults:
//!
//! - A process decides to send and is paused. It continues after the home (the instance that
//!   decides for the request, chosen by rendezvous hashing) has given the work to another process,
//!   and sends it nevertheless. A call that is not idempotent would run twice.
//! - The HTTP client fails, and it is not known whether it had begun to send. The caller would
//!   receive a false "not run" or a needless "unknown".
//!
//! The body is therefore a stream of one chunk. The HTTP client polls it only once a connection is
//! established. At that moment the guard reads the clock and marks the body as handed over. A body
//! without the mark was never sent, and no endpoint runs a request without its body
//! (`docs/INTERFACES.md`).

use crate::callers::port::Clock;
use bytes::Bytes;
use futures_util::stream;
use oriolemux_core::Time;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const WAITING: u8 = 0;
const HANDED_OVER: u8 = 1;
const EXPIRED: u8 = 2;
const GIVEN_UP: u8 = 3;

/// The body may no longer be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
/// the time in which this may be sent has passed
pub struct Expired;

/// Records whether a body was handed over to a connection.
#[derive(Clone, Debug)]
pub struct SendGuard {
    state: Arc<AtomicU8>,
    clock: Clock,
    send_before: Time,
}

impl SendGuard {
    /// Creates the guard of a body that must not be sent after `send_before`.
    pub fn new(clock: Clock, send_before: Time) -> Self {
        SendGuard {
            state: Arc::new(AtomicU8::new(WAITING)),
            clock,
            send_before,
        }
    }

    /// Wraps `bytes`, which must not be empty: an HTTP client never polls an empty body, so the
    /// guard would not see it being sent.
    pub fn body(&self, bytes: Bytes) -> reqwest::Body {
        debug_assert!(!bytes.is_empty());
        let guard = self.clone();
        reqwest::Body::wrap_stream(stream::once(async move {
            guard.hand_over()?;
            Ok::<Bytes, Expired>(bytes)
        }))
    }

    /// Reads the clock and marks the body as handed over.
    ///
    /// # Errors
    ///
    /// Fails if the deadline has passed or the send was given up. The body is never sent then.
    pub fn hand_over(&self) -> Result<(), Expired> {
        let in_time = self.clock.now() <= self.send_before;
        let next = if in_time { HANDED_OVER } else { EXPIRED };
        match self.transition(next) {
            HANDED_OVER => Ok(()),
            _ => Err(Expired),
        }
    }

    /// Gives up the send, unless the body was handed over; returns whether it may have been sent.
    ///
    /// Reading the state alone would not suffice: a connection that is established a moment later
    /// would poll the body, and it would be sent although "not run" was reported.
    pub fn give_up(&self) -> bool {
        self.transition(GIVEN_UP) == HANDED_OVER
    }

    /// Changes the state from `WAITING` to `next`, at most once; returns the resulting state.
    fn transition(&self, next: u8) -> u8 {
        let (acquire, release) = (Ordering::Acquire, Ordering::AcqRel);
        let swapped = self.state.compare_exchange(WAITING, next, release, acquire);
        swapped.map_or_else(|current| current, |_| next)
    }

    /// Returns whether the deadline had passed when the connection was established.
    pub fn expired(&self) -> bool {
        self.state.load(Ordering::Acquire) == EXPIRED
    }
}
