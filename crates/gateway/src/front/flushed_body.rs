//! A response body whose failure does not take back what was produced before it.

use bytes::Bytes;
use core::pin::Pin;
use core::task::{Context, Poll, ready};
use http_body::{Body, Frame, SizeHint};

/// A body that fails one poll later than the body that it wraps.
///
/// The HTTP server flushes its buffer when a body is pending, and drops it when one fails. Without
/// this, the caller of a stream that is aborted right after its head sees a connection that closes
/// without a response, and one of a stream that is aborted right after an event does not get the event.
#[derive(Debug)]
pub struct FlushedBody<B: Body> {
    body: B,
    failure: Option<B::Error>,
}

impl<B: Body> FlushedBody<B> {
    /// Wraps `body`.
    pub fn new(body: B) -> Self {
        FlushedBody {
            body,
            failure: None,
        }
    }
}

impl<B> Body for FlushedBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        if let Some(failure) = self.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
            Some(Err(failure)) => {
                self.failure = Some(failure);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            frame => Poll::Ready(frame),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.failure.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
