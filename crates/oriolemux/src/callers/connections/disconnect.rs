//! The signal that a caller left.

use core::task::{Context, Poll};
use futures_util::task::AtomicWaker;
use std::sync::atomic::{AtomicBool, Ordering};

/// Tells one waiting task that its caller left; it stays told.
///
/// A relay looks at this at every token, so it costs one load and one
/// registration, where a general notification would take a lock and a place in
/// a list each time.
#[derive(Debug, Default)]
pub struct DisconnectSignal {
    left: AtomicBool,
    waker: AtomicWaker,
}

impl DisconnectSignal {
    /// Tells that the caller left.
    pub fn signal(&self) {
        self.left.store(true, Ordering::Release);
        self.waker.wake();
    }

    /// Returns whether the caller left.
    pub fn is_signalled(&self) -> bool {
        self.left.load(Ordering::Acquire)
    }

    /// Waits until the caller leaves. Only one task may wait at a time.
    pub async fn wait(&self) {
        core::future::poll_fn(|cx| self.poll_wait(cx)).await;
    }

    fn poll_wait(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_signalled() {
            return Poll::Ready(());
        }
        self.waker.register(cx.waker());
        // The signal may have come between the look and the registration.
        if self.is_signalled() {
            return Poll::Ready(());
        }
        Poll::Pending
    }
}
