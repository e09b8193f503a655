//! Watches over the one moment in which a request leaves this process.
//!
//! What goes wrong without it: a process decides to send, is paused, wakes when
//! the home has long given the work to another process, and sends all the same;
//! an unrepeatable call then runs twice. And the other way: an HTTP client
//! fails, and nobody can say whether it had begun to send, so that either a
//! false "not run" is told or a needless "unknown". The body is therefore a
//! stream of one piece. The HTTP client asks for that piece only once a
//! connection stands, and at that moment the guard reads the clock and marks
//! the body as handed over. An unmarked body never left this process, and a
//! request without its body is not run by any endpoint (`docs/INTERFACES.md`).

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

/// Knows whether a body was handed to a connection.
#[derive(Clone, Debug)]
pub struct SendGuard {
    state: Arc<AtomicU8>,
    clock: Clock,
    send_before: Time,
}

impl SendGuard {
    /// Watches over a body that must not be sent after `send_before`.
    pub fn new(clock: Clock, send_before: Time) -> Self {
        SendGuard {
            state: Arc::new(AtomicU8::new(WAITING)),
            clock,
            send_before,
        }
    }

    /// Wraps `bytes`, which must not be empty: an HTTP client never asks for
    /// an empty body, so the guard would not see it leave.
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
    /// Fails if it is too late or the send was given up; the body then never
    /// leaves.
    pub fn hand_over(&self) -> Result<(), Expired> {
        let in_time = self.clock.now() <= self.send_before;
        let next = if in_time { HANDED_OVER } else { EXPIRED };
        match self.transition(next) {
            HANDED_OVER => Ok(()),
            _ => Err(Expired),
        }
    }

    /// Gives the send up, unless the body was handed over; returns whether it
    /// may have left this process.
    ///
    /// What goes wrong if the state is only read: a connection that stands a
    /// moment later asks for the body, which leaves although "not run" was said.
    pub fn give_up(&self) -> bool {
        self.transition(GIVEN_UP) == HANDED_OVER
    }

    /// Moves on from waiting, once; returns the state that holds from then on.
    fn transition(&self, next: u8) -> u8 {
        let (acquire, release) = (Ordering::Acquire, Ordering::AcqRel);
        let swapped = self.state.compare_exchange(WAITING, next, release, acquire);
        swapped.map_or_else(|current| current, |_| next)
    }

    /// Returns whether it was too late when the connection stood.
    pub fn expired(&self) -> bool {
        self.state.load(Ordering::Acquire) == EXPIRED
    }
}
