//! Connections of callers: idle and head timeouts, and closing.

use super::activity::{Activity, EndReport, TrackedBody, Verdict, WatchedStream, Yield};
use super::{FlushedBody, handle};
use crate::connections::OpenConnection;
use crate::cx::{Cx, OpenKind};
use crate::meters::ByReason;
use crate::ports::{EngineCalls, Wire};
use core::convert::Infallible;
use core::pin::Pin;
use core::time::Duration;
use http::{HeaderValue, Request, Version, header};
use http_body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use hyper_util::rt::TokioIo;
use oriolemux_core::gateway::catalogue::CallerLimits;
use socket2::SockRef;
use std::error::Error;
use std::io;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the task is aborted, which drops the listener.
pub async fn serve<W: Wire, E: EngineCalls>(
    cx: Arc<Cx<W>>,
    engines: E,
    listener: TcpListener,
    tasks: TaskTracker,
) {
    let bounds = cx.limits.connections;
    // Accepted connections inherit it. What is not read would be held without a bound of ours otherwise.
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(bounds.receive_buffer) {
        log::warn!("cannot bound the receive buffers of callers: {error}");
    }
    let connections = Arc::clone(&cx.callers);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if !cx.state().admit_connection() {
                    // The caller may send its request elsewhere: nothing of it was read.
                    ByReason::Shed.add("overload");
                    continue;
                }
                let activity = Arc::new(Activity::new());
                let Some(open) = connections.open(Arc::clone(&activity)) else {
                    ByReason::Shed.add("limit");
                    continue;
                };
                let accepted = AcceptedStream {
                    stream,
                    activity,
                    _open: open,
                };
                tasks.spawn(serve_connection(Arc::clone(&cx), engines.clone(), accepted));
                if connections.is_full() {
                    // Evicted connections end before others are accepted.
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                log::warn!("cannot accept a caller connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// How many bytes of a caller are dropped before its connection is closed: several times the usual
/// limit of a body, so that a caller that sends a body that is too large receives its refusal.
const MAX_DROPPED_BYTES: usize = 1024 * 1024;

/// For how long a connection lingers once a planned stop closes idle connections. The process waits
/// for it, and callers that keep a connection until they use it again would delay each stop.
const STOP_LINGER_TIMEOUT: Duration = Duration::from_millis(250);

/// A connection of a caller that was accepted.
struct AcceptedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    _open: OpenConnection<Activity>,
}

async fn serve_connection<W: Wire, E: EngineCalls>(
    cx: Arc<Cx<W>>,
    engines: E,
    accepted: AcceptedStream,
) {
    let AcceptedStream {
        stream,
        activity,
        _open,
    } = accepted;
    let _counted = cx.count(OpenKind::Connection);
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a caller connection: {error}");
    }
    // The buffer keeps the size that it has when the connection is accepted; timeouts are those of the
    // catalogue in force.
    let max_head_bytes = caller_limits(&cx).max_head_bytes;
    let io = TokioIo::new(WatchedStream::new(stream, Arc::clone(&activity)));
    let service = service_fn(|req: Request<Incoming>| {
        let head = cx.wire.caller_head(req.headers());
        let body_length = req.body().size_hint().exact();
        let request = activity.begin_request(head.attempt.clone(), body_length);
        let has_chunks = req.version() != Version::HTTP_10;
        let (activity, cx) = (Arc::clone(&activity), Arc::clone(&cx));
        let (evicted, engines) = (Arc::clone(&activity), engines.clone());
        let response = handle(Arc::clone(&cx), engines, head, req, async move {
            evicted.body_evicted().await;
        });
        async move {
            let open = cx.count(OpenKind::Request);
            let mut response = response.await;
            let bytes = response.body().size_hint().exact();
            activity.on_response_head(request, bytes);
            if !has_chunks && bytes.is_none() {
                activity.on_unframed(request);
            }
            // A caller that connects again may reach another instance. A request that was read behind
            // this one would be dropped, so the close is announced with the last response.
            let should_close = cx.stopping.is_cancelled()
                || activity.closes()
                || cx.state().own_delay.is_shedding();
            if should_close && !activity.has_next_request() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            if cx.closing.is_cancelled() {
                activity.limit_requests();
            }
            drop(open);
            Ok::<_, Infallible>(
                response.map(|body| TrackedBody::new(FlushedBody::new(body), activity, request)),
            )
        }
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = builder.serve_connection(io, service);
    let mut report = EndReport::new(Arc::clone(&activity));
    let end = serve_requests(&cx, &activity, &mut connection).await;
    report.set(end);
    drop(report);
    let stream = connection.into_parts().io.into_inner();
    if end.lingers() && !activity.must_reset() {
        activity.pass_all();
        activity.begin_lingering();
        tokio::select! {
            () = linger(&cx, stream) => {}
            () = activity.evicted() => {}
        }
    }
}

/// Serves the requests of a connection until it ends; returns how it ends.
async fn serve_requests<W, S, B>(
    cx: &Cx<W>,
    activity: &Activity,
    connection: &mut http1::Connection<TokioIo<WatchedStream>, S>,
) -> ConnectionEnd
where
    W: Wire,
    S: HttpService<Incoming, ResBody = B>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut connection = Pin::new(connection);
    let mut closing = false;
    loop {
        let mut limits = caller_limits(cx);
        if closing {
            limits.head_timeout = limits.head_timeout.min(STOP_LINGER_TIMEOUT);
            limits.idle_timeout = limits.idle_timeout.min(STOP_LINGER_TIMEOUT);
        }
        let write = cx.limits.write;
        let check = activity.next_check(limits, write);
        tokio::select! {
            // After a pause of this process a response and the end of a planned stop are ready together.
            biased;
            ended = connection.as_mut() => {
                if let Err(error) = &ended {
                    log::debug!("caller connection failed: {error}");
                }
                return ended.map_or_else(ConnectionEnd::of, |()| ConnectionEnd::Closed);
            }
            () = cx.aborting.cancelled() => return ConnectionEnd::StopDeadline,
            () = cx.closing.cancelled(), if !closing => {
                closing = true;
                // The HTTP server drops what was read behind the current request. The response to the
                // last request announces the close.
                if !activity.will_respond() {
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = activity.evicted() => match activity.on_evicted() {
                Yield::Now => return ConnectionEnd::Evicted,
                Yield::AfterResponse => {}
            },
            () = tokio::time::sleep_until(check.into()) => match activity.verdict(limits, write) {
                Verdict::Keep => {}
                Verdict::NotRead => return ConnectionEnd::NotRead,
                Verdict::Idle => connection.as_mut().graceful_shutdown(),
                Verdict::SlowHead => return ConnectionEnd::SlowHead,
            }
        }
    }
}

/// Closes a connection after its caller has received what was written to it.
///
/// A connection that is closed while bytes of the caller are unread, or to which the caller still
/// sends, is reset by the system, which drops the part of the response that is not delivered. So the
/// caller's bytes are read and dropped until it has closed its side.
async fn linger<W: Wire>(cx: &Cx<W>, mut stream: WatchedStream) {
    // Fails only on a connection that has ended.
    let _ = stream.shutdown().await;
    let limit = caller_limits(cx).head_timeout;
    tokio::select! {
        // What has arrived is read in any case.
        biased;
        () = drop_bytes(&mut stream) => {}
        () = tokio::time::sleep(limit) => {}
        () = async {
            cx.closing.cancelled().await;
            tokio::time::sleep(STOP_LINGER_TIMEOUT).await;
        } => {}
        () = cx.aborting.cancelled() => {}
    }
}

/// Reads until the end of a connection, or until too much has arrived.
async fn drop_bytes(stream: &mut WatchedStream) {
    // On the heap, since each connection would have room for it otherwise.
    let mut buf = vec![0; 4 * 1024];
    let mut dropped = 0;
    while dropped < MAX_DROPPED_BYTES {
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(length) => dropped += length,
        }
    }
}

fn caller_limits<W: Wire>(cx: &Cx<W>) -> CallerLimits {
    let state = cx.state();
    state.catalogue().map(|it| it.limits()).unwrap_or_default()
}

/// The minimum buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// How a caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// The caller closed or reset it.
    CallerLeft,
    /// The network did not deliver what was written to it.
    TimedOut,
    /// The body of a response failed, so that the response does not look complete.
    BodyFailed,
    /// The HTTP server gave it up.
    Failed,
    /// The HTTP server closed it.
    Closed,
    /// A request head did not arrive in time.
    SlowHead,
    /// The caller has accepted no data for too long.
    NotRead,
    /// It has yielded to other connections.
    Evicted,
    /// It was still in use at the end of a planned stop.
    StopDeadline,
    /// Its task was dropped, because the process ends at once.
    Dropped,
}

impl ConnectionEnd {
    fn of(error: hyper::Error) -> Self {
        if error.is_user() {
            return ConnectionEnd::BodyFailed;
        }
        if error.is_incomplete_message() {
            return ConnectionEnd::CallerLeft;
        }
        let source = error.source().and_then(|it| it.downcast_ref::<io::Error>());
        match source.map(io::Error::kind) {
            Some(
                io::ErrorKind::BrokenPipe
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::ConnectionReset
                | io::ErrorKind::NotConnected
                | io::ErrorKind::UnexpectedEof,
            ) => ConnectionEnd::CallerLeft,
            Some(
                io::ErrorKind::TimedOut
                | io::ErrorKind::HostUnreachable
                | io::ErrorKind::NetworkUnreachable,
            ) => ConnectionEnd::TimedOut,
            _ => ConnectionEnd::Failed,
        }
    }

    /// Returns the value that log lines and counters carry.
    pub(super) const fn label(self) -> &'static str {
        match self {
            ConnectionEnd::CallerLeft => "caller_left",
            ConnectionEnd::TimedOut => "timed_out",
            ConnectionEnd::BodyFailed => "body_failed",
            ConnectionEnd::Failed => "failed",
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::SlowHead => "slow_head",
            ConnectionEnd::NotRead => "not_read",
            ConnectionEnd::Evicted => "evicted",
            ConnectionEnd::StopDeadline => "stop_deadline",
            ConnectionEnd::Dropped => "dropped",
        }
    }

    /// Returns whether this instance ended the connection.
    pub(super) const fn is_by_instance(self) -> bool {
        !matches!(self, ConnectionEnd::CallerLeft | ConnectionEnd::TimedOut)
    }

    /// Returns whether the caller is given time to read what was written.
    const fn lingers(self) -> bool {
        self.is_by_instance() && !matches!(self, ConnectionEnd::NotRead | ConnectionEnd::Evicted)
    }
}
