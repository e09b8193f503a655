//! What a caller's connection is doing, and the responses that are not written to it yet.

use super::connection::ConnectionEnd;
use super::request_framing::RequestReader;
use crate::connections::Connection;
use crate::link::{MAX_READ_BYTES, poll_read_part};
use crate::log_event;
use crate::meters::{ByReason, millis};
use bytes::Bytes;
use core::pin::Pin;
use core::task::{Context, Poll, Waker, ready};
use core::time::Duration;
use http_body::{Body, Frame, SizeHint};
use oriolemux_core::gateway::catalogue::CallerLimits;
use oriolemux_core::gateway::connection_bounds::MIN_UNREAD;
use oriolemux_core::gateway::response_memory::SMALL_RESPONSE_BYTES;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// The minimum time between two checks of a connection, whatever its timeouts are.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What a connection is doing.
#[derive(Debug)]
pub(crate) struct Activity {
    state: Mutex<ActivityState>,
    /// Notified when the connection should yield to others.
    evicted: Notify,
    /// Cancelled when the request whose body is incomplete is given up for that.
    body_evicted: CancellationToken,
}

#[derive(Debug)]
struct ActivityState {
    /// When the last response was fully written, data was last written, or the connection was accepted.
    idle_since: Instant,
    /// When the first byte of an incomplete request head arrived, or the response before it was fully
    /// written, whichever was later.
    head_since: Option<Instant>,
    /// What has arrived, one request after the other.
    reader: RequestReader,
    /// Wakes the HTTP server when a next request may pass to it.
    waker: Option<Waker>,
    /// The requests whose responses are not fully written, in their order. There are several if the
    /// caller pipelines requests and reads slowly.
    unwritten: Vec<UnwrittenResponse>,
    /// The number of requests so far.
    requests: u64,
    /// Whether the connection is reset, since its end would complete a response that is not whole.
    must_reset: bool,
    /// When bytes were last read.
    read_at: Instant,
    /// Since when the caller has accepted no data that is to be written.
    blocked_since: Option<Instant>,
    /// Whether the connection only waits for its caller to read the end.
    is_lingering: bool,
    /// Whether it was evicted and its task has not run since.
    is_evicting: bool,
    /// Whether it closes with the next response.
    closes: bool,
}

/// A response that is not fully written to the connection.
#[derive(Debug)]
struct UnwrittenResponse {
    request: u64,
    attempt: Option<String>,
    began: Instant,
    /// When the head was ready.
    head_ready: Option<Instant>,
    /// The bytes of its body, if it is buffered.
    bytes: Option<u64>,
    /// Whether only the end of the connection ends the body.
    is_unframed: bool,
    /// Whether the HTTP server has taken the last byte of the body. It may still buffer some.
    is_body_taken: bool,
}

pub(super) enum Verdict {
    Keep,
    Idle,
    SlowHead,
    NotRead,
}

/// What a connection does that should yield to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Yield {
    /// It ends at once: nothing of a request would be lost that is not refused so far.
    Now,
    /// It ends with the response to the current request.
    AfterResponse,
}

impl Activity {
    pub(super) fn new() -> Self {
        Activity {
            state: Mutex::new(ActivityState {
                idle_since: Instant::now(),
                head_since: None,
                reader: RequestReader::new(),
                waker: None,
                unwritten: Vec::new(),
                requests: 0,
                must_reset: false,
                read_at: Instant::now(),
                blocked_since: None,
                is_lingering: false,
                is_evicting: false,
                closes: false,
            }),
            evicted: Notify::new(),
            body_evicted: CancellationToken::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, ActivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes kept bytes to the HTTP server; `None` if there are none, so that more may be read.
    fn poll_kept(&self, cx: &Context<'_>, buf: &mut ReadBuf<'_>) -> Option<Poll<()>> {
        let mut state = self.state();
        // Until the response is taken, the HTTP server reads only to notice that its caller leaves.
        if state.unwritten.iter().all(|it| it.is_body_taken) {
            state.reader.begin_next_head();
        }
        if !state.reader.keeps_bytes() {
            return None;
        }
        let limit = buf.remaining();
        let passed = state.reader.pass_kept(limit, |bytes| buf.put_slice(bytes));
        Some(state.passed(cx, passed))
    }

    /// Passes the bytes that were read into `buf` behind its first `before` bytes to the HTTP server,
    /// except for those of a next request.
    fn poll_bytes(&self, cx: &Context<'_>, buf: &mut ReadBuf<'_>, before: usize) -> Poll<()> {
        let mut state = self.state();
        state.read_at = Instant::now();
        let passed = state.reader.on_bytes(&buf.filled()[before..]);
        buf.set_filled(before + passed);
        state.passed(cx, passed)
    }

    /// Records the result of a write to the socket.
    fn on_write<T>(&self, written: &Poll<io::Result<T>>) {
        let now = Instant::now();
        let mut state = self.state();
        match written {
            Poll::Pending => {
                state.blocked_since.get_or_insert(now);
            }
            Poll::Ready(Ok(_)) => {
                state.blocked_since = None;
                state.idle_since = now;
            }
            Poll::Ready(Err(_)) => {}
        }
    }

    /// Waits until the connection should yield to others.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Waits until the request whose body is incomplete is given up, because its connection yields.
    pub(super) async fn body_evicted(&self) {
        self.body_evicted.cancelled().await;
    }

    /// Returns what the connection does to yield. An incomplete body is given up.
    pub(super) fn on_evicted(&self) -> Yield {
        let mut state = self.state();
        state.is_evicting = false;
        if state.is_in_body() {
            self.body_evicted.cancel();
        }
        match state.waits_since() {
            Some(_) if !state.is_in_body() => Yield::Now,
            _ => {
                state.closes = true;
                Yield::AfterResponse
            }
        }
    }

    /// Returns whether the connection closes with the next response.
    pub(super) fn closes(&self) -> bool {
        self.state().closes
    }

    /// Records that the connection only waits for its caller to read the end.
    pub(super) fn begin_lingering(&self) {
        self.state().is_lingering = true;
    }

    /// Records that the HTTP server has written all that it buffered.
    fn on_flushed(&self) {
        let mut state = self.state();
        let was_busy = state.is_busy();
        state.unwritten.retain(|it| !it.is_body_taken);
        if was_busy && !state.is_busy() {
            let now = Instant::now();
            state.idle_since = now;
            // The caller could not know before that its next head is waited for.
            state.head_since = state.reader.has_next_request().then_some(now);
        }
    }

    /// Records a request whose head was read, with the length of its body; `None` if that comes in
    /// chunks. Returns its number.
    pub(super) fn begin_request(&self, attempt: Option<String>, body: Option<u64>) -> u64 {
        let mut state = self.state();
        state.head_since = None;
        state.reader.begin_request(body);
        state.wake();
        state.requests += 1;
        let request = state.requests;
        state.unwritten.push(UnwrittenResponse {
            request,
            attempt,
            began: Instant::now(),
            head_ready: None,
            bytes: None,
            is_unframed: false,
            is_body_taken: false,
        });
        request
    }

    /// Records that the head of the response is ready, and the length of a buffered body.
    pub(super) fn on_response_head(&self, request: u64, bytes: Option<u64>) {
        let now = Instant::now();
        let mut state = self.state();
        if let Some(response) = state.unwritten_of(request) {
            response.head_ready = Some(now);
            response.bytes = bytes;
        }
    }

    /// Records that only the end of the connection ends the body of a response.
    pub(super) fn on_unframed(&self, request: u64) {
        if let Some(response) = self.state().unwritten_of(request) {
            response.is_unframed = true;
        }
    }

    fn on_body_taken(&self, request: u64) {
        let mut state = self.state();
        if let Some(response) = state.unwritten_of(request) {
            response.is_body_taken = true;
        }
        state.wake();
    }

    /// Returns whether bytes of a request have arrived that has not begun.
    pub(super) fn has_next_request(&self) -> bool {
        self.state().reader.has_next_request()
    }

    /// Returns whether a response is still to begin.
    pub(super) fn will_respond(&self) -> bool {
        let state = self.state();
        state.reader.has_next_request() || state.unwritten.iter().any(|it| it.head_ready.is_none())
    }

    /// From the first call on, requests of which nothing has arrived do not count as next ones, so that
    /// a caller that pipelines without end does not keep its connection open.
    pub(super) fn limit_requests(&self) {
        self.state().reader.limit_requests();
    }

    /// Passes on all bytes to whoever reads.
    pub(super) fn pass_all(&self) {
        self.state().reader.pass_all();
    }

    /// Returns whether the connection is reset when it ends.
    pub(super) fn must_reset(&self) -> bool {
        self.state().must_reset
    }

    /// Returns when the connection is checked next. The first byte of a head wakes nobody, so a
    /// stalled head is noticed at most half a timeout late.
    pub(super) fn next_check(&self, limits: CallerLimits, write: Duration) -> Instant {
        let state = self.state();
        let now = Instant::now();
        let write_bound = state
            .blocked_since
            .map_or(now + write, |since| since + write);
        let bound = match (state.is_busy(), state.head_since) {
            (true, _) => now + limits.idle_timeout,
            (false, Some(since)) => since + limits.head_timeout,
            (false, None) => state.idle_since + limits.idle_timeout,
        };
        bound
            .min(write_bound)
            .min(now + limits.head_timeout / 2)
            .max(now + MIN_CHECK_INTERVAL)
    }

    pub(super) fn verdict(&self, limits: CallerLimits, write: Duration) -> Verdict {
        let state = self.state();
        if state.blocked_since.is_some_and(|it| it.elapsed() >= write) {
            return Verdict::NotRead;
        }
        match (state.is_busy(), state.head_since) {
            (true, _) => Verdict::Keep,
            (false, Some(since)) if since.elapsed() >= limits.head_timeout => Verdict::SlowHead,
            (false, None) if state.idle_since.elapsed() >= limits.idle_timeout => Verdict::Idle,
            _ => Verdict::Keep,
        }
    }
}

impl Connection for Activity {
    fn waiting(&self, now: Instant) -> Option<Duration> {
        let state = self.state();
        if state.is_evicting {
            return None;
        }
        if state.is_lingering {
            return Some(Duration::MAX);
        }
        let since = state.waits_since()?;
        Some(now.saturating_duration_since(since))
    }

    fn evict(&self) {
        self.state().is_evicting = true;
        self.evicted.notify_one();
    }

    fn unread_response(&self, now: Instant) -> Option<(Duration, usize)> {
        let state = self.state();
        let since = state.blocked_since.filter(|_| !state.is_evicting)?;
        let bytes = state.unwritten.iter().filter_map(|it| it.bytes).max()?;
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let is_large = bytes > SMALL_RESPONSE_BYTES;
        is_large.then(|| (now.saturating_duration_since(since), bytes))
    }
}

impl ActivityState {
    /// Returns since when the connection has waited for its caller; `None` while a request is served.
    fn waits_since(&self) -> Option<Instant> {
        if let Some(since) = self.blocked_since {
            return (since.elapsed() >= MIN_UNREAD).then_some(since);
        }
        if !self.is_busy() {
            return Some(self.head_since.unwrap_or(self.idle_since));
        }
        self.is_in_body().then_some(self.read_at)
    }

    /// Returns whether the body of a request that has begun is incomplete.
    fn is_in_body(&self) -> bool {
        let has_response = self.unwritten.iter().any(|it| it.head_ready.is_some());
        self.is_busy() && !has_response && self.reader.is_in_body()
    }

    /// Returns whether a response is not fully written.
    fn is_busy(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Records that bytes were passed to the HTTP server. It waits if there were none.
    fn passed(&mut self, cx: &Context<'_>, bytes: usize) -> Poll<()> {
        if bytes == 0 {
            self.waker = Some(cx.waker().clone());
            return Poll::Pending;
        }
        if !self.is_busy() && self.head_since.is_none() && self.reader.is_in_head() {
            self.head_since = Some(Instant::now());
        }
        Poll::Ready(())
    }

    fn wake(&mut self) {
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn unwritten_of(&mut self, request: u64) -> Option<&mut UnwrittenResponse> {
        self.unwritten.iter_mut().find(|it| it.request == request)
    }
}

/// Logs and counts the responses that a connection leaves unwritten when it ends.
///
/// It must be dropped before the connection, because dropping the connection drops the bodies.
pub(super) struct EndReport {
    activity: Arc<Activity>,
    end: ConnectionEnd,
}

impl EndReport {
    /// Returns the report of a connection that is dropped unless [`EndReport::set`] says more.
    pub(super) fn new(activity: Arc<Activity>) -> Self {
        EndReport {
            activity,
            end: ConnectionEnd::Dropped,
        }
    }

    /// Sets how the connection ends.
    pub(super) fn set(&mut self, end: ConnectionEnd) {
        self.end = end;
    }
}

impl Drop for EndReport {
    fn drop(&mut self) {
        let mut state = self.activity.state();
        // What a caller does not read would stay with the system otherwise.
        let is_unread = matches!(self.end, ConnectionEnd::NotRead | ConnectionEnd::Evicted);
        state.must_reset = state.unwritten.iter().any(|it| it.is_unframed || is_unread);
        for response in state.unwritten.drain(..) {
            log_unwritten(&response, self.end);
        }
    }
}

fn log_unwritten(response: &UnwrittenResponse, end: ConnectionEnd) {
    let how = end.label();
    let attempt = response.attempt.as_deref().unwrap_or("-");
    let has_head = response.head_ready.is_some();
    let streamed_ms = response.head_ready.map_or(0, |it| millis(it.elapsed()));
    let ms = millis(response.began.elapsed());
    ByReason::UnwrittenResponses.add(how);
    match end.is_by_instance() {
        true => log_event!(
            ResponseCut,
            attempt = attempt,
            how = how,
            has_head = has_head,
            streamed_ms = streamed_ms,
            ms = ms
        ),
        false => log_event!(
            ResponseAbandoned,
            attempt = attempt,
            how = how,
            has_head = has_head,
            streamed_ms = streamed_ms,
            ms = ms
        ),
    }
}

/// The body of a response, which records when the HTTP server has taken its last byte.
pub(super) struct TrackedBody<B> {
    body: B,
    activity: Arc<Activity>,
    request: u64,
    is_broken: bool,
}

impl<B> TrackedBody<B> {
    pub(super) fn new(body: B, activity: Arc<Activity>, request: u64) -> Self {
        TrackedBody {
            body,
            activity,
            request,
            is_broken: false,
        }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for TrackedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(Some(Err(_))) = frame {
            self.is_broken = true;
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        // The server drops a body as soon as it needs nothing more of it, which for a stated length
        // or a response without a body is before the end of the stream is seen.
        if !self.is_broken {
            self.activity.on_body_taken(self.request);
        }
    }
}

/// A caller's stream that records reads and writes, and passes on one request at a time.
pub(super) struct WatchedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl WatchedStream {
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        WatchedStream { stream, activity }
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if self.activity.must_reset()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::debug!("cannot reset a caller connection: {error}");
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(passed) = self.activity.poll_kept(cx, buf) {
            return passed.map(Ok);
        }
        let before = buf.filled().len();
        ready!(poll_read_part(
            Pin::new(&mut self.stream),
            cx,
            buf,
            MAX_READ_BYTES
        ))?;
        // The end of the connection is passed on at once.
        if buf.filled().len() == before {
            return Poll::Ready(Ok(()));
        }
        self.activity.poll_bytes(cx, buf, before).map(Ok)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.activity.on_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if let Poll::Ready(Ok(())) = flushed {
            self.activity.on_flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.activity.on_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
