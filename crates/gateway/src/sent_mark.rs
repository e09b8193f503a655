//! Whether an attempt may have reached an endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// Whether the current attempt of a request was sent, so that it may run. Clones share the mark: the
/// task that sends a request is not always the one that answers its caller.
#[derive(Clone, Debug, Default)]
pub struct SentMark(Arc<AtomicU8>);

/// Nothing of the current attempt was sent.
const UNSENT: u8 = 0;

/// The current attempt may have been sent.
const SENT: u8 = 1;

/// The caller was told that the request does not run, so it must not be sent any more.
const WITHDRAWN: u8 = 2;

impl SentMark {
    /// Marks the current attempt as sent; returns false if it must not be sent.
    pub fn set(&self) -> bool {
        self.replace(UNSENT, SENT) != WITHDRAWN
    }

    /// Clears the mark after an attempt whose outcome is recorded.
    pub fn clear(&self) {
        self.replace(SENT, UNSENT);
    }

    /// Prevents the request from being sent; returns false if it may have been sent before.
    pub fn withdraw(&self) -> bool {
        self.replace(UNSENT, WITHDRAWN) != SENT
    }

    /// Replaces the mark `from` by `to`; returns the mark before.
    fn replace(&self, from: u8, to: u8) -> u8 {
        let order = Ordering::Relaxed;
        let replaced = self.0.compare_exchange(from, to, order, order);
        replaced.unwrap_or_else(|other| other)
    }
}
