//! Reads the chunks of a response body.

use crate::endpoints::{EndpointFailure, ResponseBody};
use bytes::Bytes;
use core::pin::Pin;
use core::task::Poll;
use core::time::Duration;
use oriolemux_core::Reason;
use tokio::time::{Instant, Sleep, timeout};

/// How long to wait for the few bytes after the end mark, so that the connection can be reused.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Detects an endpoint that has sent nothing for too long.
///
/// The timer is reset only when it fires, because resetting it at every token costs more than
/// reading the clock.
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

/// Waits for the next chunk of a response, up to the stall limit.
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

/// Returns the next chunk of a response if it has arrived.
///
/// The HTTP client returns one chunk, however small, and reads the next one only when polled. So
/// it is polled, and this task yields once to let the client's task run. Without the yield, a
/// burst of a hundred tokens would be sent in a hundred writes, and a write costs more than all
/// the rest.
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
        // Not tokio's own yield, which polls all sockets first.
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
    body.ready_chunk()
}

/// Reads what follows the end mark. With unread bytes the client would close the connection
/// instead of keeping it for the next request.
pub(super) async fn drain<B: ResponseBody>(mut body: B) {
    let rest = async { while let Ok(Some(_)) = body.chunk().await {} };
    let _ = timeout(DRAIN_TIMEOUT, rest).await;
}
