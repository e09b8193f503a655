//! The pieces in which an answer arrives.

use crate::endpoints::{EndpointFailure, ResponseBody};
use bytes::Bytes;
use core::pin::Pin;
use core::task::Poll;
use core::time::Duration;
use oriolemux_core::Reason;
use tokio::time::{Instant, Sleep, timeout};

/// How long the few bytes after the end mark are waited for, so that the
/// connection can be used again.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Finds out when an endpoint has been silent for too long.
///
/// The timer is moved only when it fires, because moving it at every token
/// costs more than reading the clock.
pub(super) struct StallTimer {
    limit: Duration,
    last_activity: Instant,
    sleep: Pin<Box<Sleep>>,
}

impl StallTimer {
    pub fn new(limit: Duration) -> Self {
        let last_activity = Instant::now();
        StallTimer {
            limit,
            last_activity,
            sleep: Box::pin(tokio::time::sleep_until(last_activity + limit)),
        }
    }

    pub fn record_activity(&mut self) {
        self.last_activity = Instant::now();
    }

    async fn stalled(&mut self) {
        loop {
            self.sleep.as_mut().await;
            let due = self.last_activity + self.limit;
            if Instant::now() >= due {
                return;
            }
            self.sleep.as_mut().reset(due);
        }
    }
}

/// Waits for the next piece of an answer, up to the stall limit.
pub(super) async fn next_chunk<B: ResponseBody>(
    body: &mut B,
    stall: &mut StallTimer,
) -> Result<Option<Bytes>, EndpointFailure> {
    let chunk = tokio::select! {
        biased;
        chunk = body.chunk() => chunk,
        () = stall.stalled() => Err(EndpointFailure::Broken(Reason::Stalled)),
    };
    stall.record_activity();
    chunk
}

/// Returns the next piece of an answer if it has arrived.
///
/// The HTTP client hands on one piece, however small, and reads the next one
/// only when it is asked for it. So it is asked, and its task gets one turn.
/// Without that turn a burst of a hundred tokens would leave in a hundred
/// writes, and a write costs more than all the rest.
pub(super) async fn next_ready_chunk<B: ResponseBody>(
    body: &mut B,
) -> Option<Result<Option<Bytes>, EndpointFailure>> {
    if let Some(chunk) = body.ready_chunk() {
        return Some(chunk);
    }
    let mut has_yielded = false;
    core::future::poll_fn(|cx| {
        if core::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        // Not tokio's own yield, which looks at all sockets first.
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
    body.ready_chunk()
}

/// Reads what follows the end mark. An unread rest would make the client close
/// the connection instead of keeping it for the next request.
pub(super) async fn drain<B: ResponseBody>(mut body: B) {
    let rest = async { while let Ok(Some(_)) = body.chunk().await {} };
    let _ = timeout(DRAIN_TIMEOUT, rest).await;
}
