//! The signal that a caller disconnected.

use core::task::{Context, Poll};
use futures_util::task::AtomicWaker;
use std::sync::atomic::{AtomicBool, Ordering};

/// Notifies one waiting task that its caller disconnected. Once set, the signal stays set.
///
/// A relay polls this at every token, so it costs one load and one waker registration, where
/// [`tokio::sync::Notify`] would take a lock and a place in a list each time.
#[derive(Debug, Default)]
pub struct DisconnectSignal {
    left: AtomicBool,
    waker: AtomicWaker,
}

impl DisconnectSignal {
    /// Sets the signal.
    pub fn signal(&self) {
        self.left.store(true, Ordering::Release);
        self.waker.wake();
    }

    /// Returns whether the caller has disconnected.
    pub fn is_signalled(&self) -> bool {
        self.left.load(Ordering::Acquire)
    }

    /// Waits until the caller disconnects. Only one task may wait at a time.
    pub async fn wait(&self) {
        core::future::poll_fn(|cx| self.poll_wait(cx)).await;
    }

    fn poll_wait(&self, cx: &mut Context<'_>) -> Poll<()> {
        if self.is_signalled() {
            return Poll::Ready(());
        }
        self.waker.register(cx.waker());
        // The signal may have been set between the check and the registration.
        if self.is_signalled() {
            return Poll::Ready(());
        }
        Poll::Pending
    }
}
