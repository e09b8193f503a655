//! The pieces in which an answer arrives.

use crate::endpoints::{AnswerBody, EndpointFailure};
use bytes::Bytes;
use core::pin::Pin;
use core::task::Poll;
use core::time::Duration;
use oriolemux_core::Reason;
use tokio::time::{Instant, Sleep, timeout};

/// How long the few bytes after the end mark are waited for, so that the
/// connection can be used again.
const DRAIN_LIMIT: Duration = Duration::from_millis(50);

/// Finds out when an endpoint has been silent for too long.
///
/// The timer is moved only when it fires, because moving it at every token
/// costs more than reading the clock.
pub(super) struct StallTimer {
    limit: Duration,
    heard: Instant,
    sleep: Pin<Box<Sleep>>,
}

impl StallTimer {
    pub fn new(limit: Duration) -> Self {
        let heard = Instant::now();
        StallTimer {
            limit,
            heard,
            sleep: Box::pin(tokio::time::sleep_until(heard + limit)),
        }
    }

    pub fn heard_now(&mut self) {
        self.heard = Instant::now();
    }

    async fn silent(&mut self) {
        loop {
            self.sleep.as_mut().await;
            let due = self.heard + self.limit;
            if Instant::now() >= due {
                return;
            }
            self.sleep.as_mut().reset(due);
        }
    }
}

/// Waits for the next piece of an answer, up to the stall limit.
pub(super) async fn next_chunk<B: AnswerBody>(
    body: &mut B,
    stall: &mut StallTimer,
) -> Result<Option<Bytes>, EndpointFailure> {
    let chunk = tokio::select! {
        biased;
        chunk = body.chunk() => chunk,
        () = stall.silent() => Err(EndpointFailure::Broken(Reason::Stalled)),
    };
    stall.heard_now();
    chunk
}

/// Returns the next piece of an answer if it has arrived.
///
/// The HTTP client hands on one piece, however small, and reads the next one
/// only when it is asked for it. So it is asked, and its task gets one turn.
/// Without that turn a burst of a hundred tokens would leave in a hundred
/// writes, and a write costs more than all the rest.
pub(super) async fn chunk_at_hand<B: AnswerBody>(
    body: &mut B,
) -> Option<Result<Option<Bytes>, EndpointFailure>> {
    if let Some(chunk) = body.ready_chunk() {
        return Some(chunk);
    }
    let mut had_turn = false;
    core::future::poll_fn(|cx| {
        if core::mem::replace(&mut had_turn, true) {
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
pub(super) async fn drain<B: AnswerBody>(mut body: B) {
    let rest = async { while let Ok(Some(_)) = body.chunk().await {} };
    let _ = timeout(DRAIN_LIMIT, rest).await;
}
