//! One authenticated connection: an HTTP/2 stream that carries frames in both directions.

use super::codec::FrameDecoder;
use super::queue::Queue;
use super::{PeerEvent, PeersConfig};
use crate::metrics::Counter;
use bytes::Bytes;
use core::future::{pending, poll_fn};
use core::time::Duration;
use h2::{Ping, PingPong, RecvStream, SendStream};
use http::{Method, Request, Response, Uri};
use oriolemux_core::event::PeerId;
use std::sync::Mutex;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

/// Bytes that a peer may send before this side has processed them.
const WINDOW_BYTES: u32 = 256 * 1024;

/// The overhead beyond their bytes that queued small DATA frames may have. The default is half of
/// the window, which a peer that sends many small messages would use up while the node is busy;
/// the link would then end although nothing is wrong.
const SMALL_FRAME_BUDGET: usize = 8 * 1024 * 1024;

/// How long the peer may continue to send after this side has ended its stream.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the connection is still polled in order to send the end of the stream.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// The URI of the request that opens the single stream of a link.
const LINK_URI: &str = "http://peer.invalid/v1/link";

/// Why a link ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// One side closed it in order.
    Closed,
    /// It broke.
    Broken(LinkFailure),
}

/// Why a link broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum LinkFailure {
    /// the connection was lost
    Lost,
    /// the peer read or acknowledged nothing within the silence timeout
    Silent,
    /// the peer sent an invalid frame
    Malformed,
    /// the stream ended within a frame
    Truncated,
}

/// What the reading and writing sides of a link share.
pub(super) struct LinkContext<'a> {
    pub cfg: &'a PeersConfig,
    pub peer: PeerId,
    pub queue: &'a Queue,
    pub events: &'a mpsc::Sender<PeerEvent>,
    /// Cancelled to send the queued frames and close the link in order.
    pub drain: &'a CancellationToken,
    /// Cancelled when another connection takes over the queue.
    pub retired: &'a CancellationToken,
    pub traffic: Traffic,
}

/// When a link last had traffic.
#[derive(Debug)]
pub(super) struct Traffic {
    last: Mutex<Instant>,
    resumed: Notify,
}

impl Traffic {
    pub fn new() -> Self {
        Traffic {
            last: Mutex::new(Instant::now()),
            resumed: Notify::new(),
        }
    }

    fn record(&self) {
        let mut last = self.last.lock().unwrap_or_else(|it| it.into_inner());
        *last = Instant::now();
        self.resumed.notify_one();
    }

    fn idle(&self) -> Duration {
        let last = self.last.lock().unwrap_or_else(|it| it.into_inner());
        last.elapsed()
    }
}

/// Runs the dialling side of a link until it ends.
pub(super) async fn run_dialled(io: TcpStream, cx: &LinkContext<'_>) -> LinkEnd {
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .data_frame_budget(SMALL_FRAME_BUDGET)
        .max_concurrent_streams(1)
        .enable_push(false);
    let Ok((requests, mut connection)) = builder.handshake::<_, Bytes>(io).await else {
        return LinkEnd::Broken(LinkFailure::Lost);
    };
    let ping = connection.ping_pong();
    let driver = async move {
        let _ = connection.await;
    };
    drive(driver, cx, async move {
        let mut requests = requests.ready().await.ok()?;
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static(LINK_URI);
        let (response, send) = requests.send_request(request, false).ok()?;
        let recv = response.await.ok()?.into_body();
        Some((send, recv, ping?))
    })
    .await
}

/// Runs the accepting side of a link until it ends.
pub(super) async fn run_accepted(io: TcpStream, cx: &LinkContext<'_>) -> LinkEnd {
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .initial_connection_window_size(WINDOW_BYTES)
        .data_frame_budget(SMALL_FRAME_BUDGET)
        .max_concurrent_streams(1);
    let opened = timeout(cx.cfg.connect_timeout, async {
        let mut connection = builder.handshake::<_, Bytes>(io).await.ok()?;
        let ping = connection.ping_pong()?;
        let (request, mut respond) = connection.accept().await?.ok()?;
        let send = respond.send_response(Response::new(()), false).ok()?;
        Some((connection, (send, request.into_body(), ping)))
    });
    let Ok(Some((mut connection, streams))) = opened.await else {
        return LinkEnd::Broken(LinkFailure::Lost);
    };
    let driver = async move { while let Some(Ok(_)) = connection.accept().await {} };
    drive(driver, cx, async move { Some(streams) }).await
}

type Streams = (SendStream<Bytes>, RecvStream, PingPong);

async fn drive(
    driver: impl Future<Output = ()>,
    cx: &LinkContext<'_>,
    open: impl Future<Output = Option<Streams>>,
) -> LinkEnd {
    let mut driver = core::pin::pin!(driver);
    let opened = tokio::select! {
        opened = timeout(cx.cfg.connect_timeout, open) => opened,
        () = &mut driver => return LinkEnd::Broken(LinkFailure::Lost),
    };
    let Ok(Some((mut send, mut recv, mut ping))) = opened else {
        return LinkEnd::Broken(LinkFailure::Lost);
    };
    let end = tokio::select! {
        end = read(&mut recv, cx) => end,
        cause = write(&mut send, cx) => cause,
        cause = watch_heartbeats(&mut ping, cx) => LinkEnd::Broken(cause),
        () = &mut driver => LinkEnd::Broken(LinkFailure::Lost),
    };
    if end == LinkEnd::Closed {
        // Without the end of this side's stream the peer would receive a reset and treat a link
        // that was closed in order as broken.
        let _ = send.send_data(Bytes::new(), true);
        let _ = timeout(LINGER_TIMEOUT, driver).await;
    }
    end
}

async fn read(recv: &mut RecvStream, cx: &LinkContext<'_>) -> LinkEnd {
    let mut decoder = FrameDecoder::new(cx.cfg.max_frame);
    while let Some(chunk) = recv.data().await {
        let Ok(chunk) = chunk else {
            return LinkEnd::Broken(LinkFailure::Lost);
        };
        Counter::PeerBytesReceived.add(chunk.len() as u64);
        cx.traffic.record();
        decoder.push(&chunk);
        loop {
            match decoder.next_envelope() {
                Ok(Some(envelope)) => {
                    let event = PeerEvent::Envelope(cx.peer, envelope);
                    if cx.events.send(event).await.is_err() {
                        return LinkEnd::Closed;
                    }
                }
                Ok(None) => break,
                Err(_) => return LinkEnd::Broken(LinkFailure::Malformed),
            }
        }
        // Capacity is released only after the node has accepted the messages, so that a busy node
        // applies backpressure to its peers instead of using more memory.
        let _ = recv.flow_control().release_capacity(chunk.len());
    }
    match decoder.is_between_frames() {
        true => LinkEnd::Closed,
        false => LinkEnd::Broken(LinkFailure::Truncated),
    }
}

async fn write(send: &mut SendStream<Bytes>, cx: &LinkContext<'_>) -> LinkEnd {
    loop {
        let batch = tokio::select! {
            biased;
            () = cx.retired.cancelled() => break,
            batch = cx.queue.batch() => batch,
            () = cx.drain.cancelled() => break,
        };
        let size = batch.len() as u64;
        cx.traffic.record();
        match timeout(cx.cfg.silence_timeout, write_all(send, batch)).await {
            Ok(Some(())) => Counter::PeerBytesSent.add(size),
            Ok(None) => return LinkEnd::Broken(LinkFailure::Lost),
            Err(_) => return LinkEnd::Broken(LinkFailure::Silent),
        }
    }
    let _ = send.send_data(Bytes::new(), true);
    sleep(DRAIN_TIMEOUT).await;
    LinkEnd::Closed
}

async fn write_all(send: &mut SendStream<Bytes>, mut batch: Bytes) -> Option<()> {
    while !batch.is_empty() {
        send.reserve_capacity(batch.len());
        let capacity = match send.capacity() {
            0 => poll_fn(|cx| send.poll_capacity(cx)).await?.ok()?,
            some => some,
        };
        let part = batch.split_to(capacity.min(batch.len()));
        send.send_data(part, false).ok()?;
    }
    Some(())
}

/// Ends the link when the peer does not acknowledge heartbeats while there is traffic.
///
/// With a frozen peer, or a path that drops all packets, the connection stays open for many
/// minutes; the only sign is a missing acknowledgement. Idle links carry no heartbeats, because in
/// a fleet of the intended size most links are idle.
async fn watch_heartbeats(ping: &mut PingPong, cx: &LinkContext<'_>) -> LinkFailure {
    loop {
        if cx.traffic.idle() > cx.cfg.silence_timeout {
            cx.traffic.resumed.notified().await;
            continue;
        }
        match timeout(cx.cfg.silence_timeout, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) => sleep(cx.cfg.heartbeat).await,
            Ok(Err(_)) => return LinkFailure::Lost,
            Err(_) => return LinkFailure::Silent,
        }
    }
}

/// Closes a dialled link in order once it is not wanted and idle.
pub(super) async fn close_when_idle(cx: &LinkContext<'_>, is_wanted: impl Fn() -> bool) {
    loop {
        sleep(cx.cfg.idle_timeout / 4).await;
        if !is_wanted() && cx.traffic.idle() >= cx.cfg.idle_timeout {
            cx.drain.cancel();
            pending::<()>().await;
        }
    }
}
