//! Connections of callers: idle and head timeouts, and closing.

use super::{FlushedBody, handle};
use crate::cx::{Cx, OpenKind};
use crate::meters::ByReason;
use crate::ports::{EngineCalls, Wire};
use core::convert::Infallible;
use core::pin::Pin;
use core::task::{Context, Poll};
use http::{HeaderValue, header};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oriolemux_core::gateway::catalogue::CallerLimits;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: core::time::Duration = core::time::Duration::from_millis(20);

/// Accepts connections until the task is aborted, which drops the listener.
pub async fn serve<W: Wire, E: EngineCalls>(
    cx: Arc<Cx<W>>,
    engines: E,
    listener: TcpListener,
    tasks: TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if !cx.state().admit_connection() {
                    // The caller may send its request elsewhere: nothing of it was read.
                    ByReason::Shed.add("overload");
                    continue;
                }
                tasks.spawn(serve_connection(Arc::clone(&cx), engines.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a caller connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<W: Wire, E: EngineCalls>(cx: Arc<Cx<W>>, engines: E, stream: TcpStream) {
    let Some(_open) = cx.open_connection() else {
        ByReason::Shed.add("limit");
        log::warn!("caller connection closed: connection limit reached");
        return;
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a caller connection: {error}");
    }
    let activity = Arc::new(Activity::new());
    let limits = cx
        .state()
        .catalogue()
        .map(|it| it.limits())
        .unwrap_or_default();
    let io = TokioIo::new(WatchedStream {
        stream,
        activity: Arc::clone(&activity),
    });
    let service = service_fn(|req| {
        let response = handle(Arc::clone(&cx), engines.clone(), req);
        let (activity, cx) = (Arc::clone(&activity), Arc::clone(&cx));
        async move {
            let open = cx.count(OpenKind::Request);
            activity.begin_request();
            let mut response = response.await;
            activity.end_request();
            // A caller that connects again may reach another instance.
            if cx.stopping.is_cancelled() || cx.state().own_delay.is_shedding() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            drop(open);
            Ok::<_, Infallible>(response.map(FlushedBody::new))
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = core::pin::pin!(builder.serve_connection(io, service));
    let mut closing = false;
    loop {
        let check = activity.next_check(limits);
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!("caller connection failed: {error}");
                }
                return;
            }
            () = cx.closing.cancelled(), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = tokio::time::sleep_until(check.into()) => match activity.verdict(limits) {
                Verdict::Keep => {}
                Verdict::Idle => connection.as_mut().graceful_shutdown(),
                Verdict::SlowHead => return,
            }
        }
    }
}

/// The minimum time between two checks of a connection, whatever its timeouts are.
const MIN_CHECK_INTERVAL: core::time::Duration = core::time::Duration::from_millis(10);

/// The minimum buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// What a connection is doing.
#[derive(Debug)]
struct Activity {
    state: Mutex<ActivityState>,
}

#[derive(Clone, Copy, Debug)]
struct ActivityState {
    /// Whether a request is being processed.
    busy: bool,
    /// When the head of the last response was ready, data was last written, or the connection was
    /// accepted.
    idle_since: Instant,
    /// When the first byte of an incomplete request head arrived.
    head_since: Option<Instant>,
}

enum Verdict {
    Keep,
    Idle,
    SlowHead,
}

impl Activity {
    fn new() -> Self {
        Activity {
            state: Mutex::new(ActivityState {
                busy: false,
                idle_since: Instant::now(),
                head_since: None,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, ActivityState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn on_bytes(&self) {
        let mut state = self.state();
        if !state.busy && state.head_since.is_none() {
            state.head_since = Some(Instant::now());
        }
    }

    fn on_written(&self) {
        self.state().idle_since = Instant::now();
    }

    fn begin_request(&self) {
        let mut state = self.state();
        state.busy = true;
        state.head_since = None;
    }

    fn end_request(&self) {
        let mut state = self.state();
        state.busy = false;
        state.idle_since = Instant::now();
    }

    /// Returns when the connection is checked next. The first byte of a head wakes nobody, so a
    /// stalled head is noticed at most half a timeout late.
    fn next_check(&self, limits: CallerLimits) -> Instant {
        let state = *self.state();
        let now = Instant::now();
        let bound = match (state.busy, state.head_since) {
            (true, _) => now + limits.idle_timeout,
            (false, Some(since)) => since + limits.head_timeout,
            (false, None) => state.idle_since + limits.idle_timeout,
        };
        bound
            .min(now + limits.head_timeout / 2)
            .max(now + MIN_CHECK_INTERVAL)
    }

    fn verdict(&self, limits: CallerLimits) -> Verdict {
        let state = *self.state();
        match (state.busy, state.head_since) {
            (true, _) => Verdict::Keep,
            (false, Some(since)) if since.elapsed() >= limits.head_timeout => Verdict::SlowHead,
            (false, None) if state.idle_since.elapsed() >= limits.idle_timeout => Verdict::Idle,
            _ => Verdict::Keep,
        }
    }
}

/// A caller's stream that records reads and writes.
struct WatchedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.on_bytes();
        }
        read
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(_)) = written {
            self.activity.on_written();
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
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
        if let Poll::Ready(Ok(_)) = written {
            self.activity.on_written();
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
