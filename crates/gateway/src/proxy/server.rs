//! Serves requests that peers pass to this instance as their proxy.

use super::message::{
    DeclineReason, ExchangeError, MAX_MESSAGE_BYTES, MAX_OFFER_BYTES, MessageReader, Offer,
    OfferReply, ProxiedRequest, ProxyReply, SMALL_FRAME_BUDGET, VERSION, encode, send_all,
    to_message,
};
use crate::connections::SimpleConnection;
use crate::cx::{Cx, OpenKind};
use crate::front::handle_proxied;
use crate::log_event;
use crate::ports::{EngineCalls, Wire};
use crate::response::{Reason, ResponseBody};
use bytes::Bytes;
use core::time::Duration;
use h2::server::{Builder, SendResponse};
use h2::{Reason as StreamReason, RecvStream, SendStream};
use http::{Request, Response};
use http_body_util::BodyExt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// The first bytes of an HTTP/2 connection.
pub const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Requests of peers that are served at once. Beyond that the callers of this instance would be
/// worse off than those of others.
const MAX_PROXIED: usize = 256;

/// Bytes of one request that may be unread.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes of all requests of a connection that may be unread.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// How long a peer that accepted an offer's answer may take to send the request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a peer may take to confirm that it has read the response.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves the requests of one connection of a peer. Each request is a task of `tasks`, which a
/// planned stop waits for. `used` says whether any of them is being served.
pub async fn serve<W: Wire, E: EngineCalls>(
    cx: Arc<Cx<W>>,
    engines: E,
    io: impl AsyncRead + AsyncWrite + Unpin,
    from: SocketAddr,
    tasks: TaskTracker,
    used: &Arc<SimpleConnection>,
) {
    let mut builder = Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .data_frame_budget(SMALL_FRAME_BUDGET)
        .max_pending_accept_reset_streams(MAX_PROXIED)
        .max_concurrent_streams(MAX_PROXIED as u32);
    let mut connection = match builder.handshake::<_, Bytes>(io).await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!("connection of the peer {from} failed: {error}");
            return;
        }
    };
    while let Some(accepted) = connection.accept().await {
        match accepted {
            Ok((request, respond)) => {
                let (cx, engines) = (Arc::clone(&cx), engines.clone());
                let served = used.begin_request();
                tasks.spawn(async move {
                    let _served = served;
                    if let Err(error) = serve_exchange(&cx, engines, request, respond, from).await {
                        log::debug!("exchange with the peer {from} failed: {error}");
                    }
                });
            }
            Err(error) => {
                log::debug!("connection of the peer {from} failed: {error}");
                return;
            }
        }
    }
}

async fn serve_exchange<W: Wire, E: EngineCalls>(
    cx: &Arc<Cx<W>>,
    engines: E,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    from: SocketAddr,
) -> Result<(), ExchangeError> {
    let mut rx = MessageReader::new(request.into_body());
    let offer: Offer = match timeout(REQUEST_TIMEOUT, rx.message(MAX_OFFER_BYTES)).await {
        Ok(offer) => offer?,
        Err(_) => return Err(ExchangeError::Ended),
    };
    let open = cx.count(OpenKind::Proxied);
    let reply = answer(cx, &offer);
    let mut tx = respond.send_response(Response::new(()), false)?;
    send_all(&mut tx, encode(&reply)?).await?;
    if reply.declined.is_some() {
        tx.send_data(Bytes::new(), true)?;
        return Ok(());
    }
    let request = match timeout(REQUEST_TIMEOUT, receive(cx, &mut rx)).await {
        Ok(request) => request?,
        Err(_) => return Err(ExchangeError::Ended),
    };
    let Some(request) = request else {
        send_all(&mut tx, encode(&ProxyReply::NotServed)?).await?;
        tx.send_data(Bytes::new(), true)?;
        log_served(cx, from, "no_room");
        return Ok(());
    };
    let response = tokio::select! {
        response = handle_proxied(Arc::clone(cx), engines, request) => response,
        () = rx.closed() => {
            log_served(cx, from, "caller_left");
            return Ok(());
        }
    };
    let sent = send_response(&mut tx, &mut rx, response).await;
    drop(open);
    match sent {
        Ok(how) => log_served(cx, from, how),
        Err(error) => {
            log_served(cx, from, "broken");
            return Err(error);
        }
    }
    // Bytes may still be on their way; the peer ends its side when it has read all.
    let _ = timeout(CONFIRM_TIMEOUT, rx.closed()).await;
    Ok(())
}

/// How often the bytes of a request are kept while it is decoded.
const DECODED_COPIES: usize = 2;

/// Receives the request of an exchange; `None` if there is no room for it.
async fn receive<W: Wire>(
    cx: &Cx<W>,
    rx: &mut MessageReader,
) -> Result<Option<ProxiedRequest>, ExchangeError> {
    let length = rx.message_length(MAX_MESSAGE_BYTES).await?;
    let room = cx.bodies.open();
    if room.reserve(DECODED_COPIES * length).is_err() {
        // Its peer waits until all is read, and must not take this for a lost request.
        rx.skip_message(length).await?;
        return Ok(None);
    }
    rx.reserve(length);
    let mut request: ProxiedRequest = rx.message(MAX_MESSAGE_BYTES).await?;
    request.body = room.keep(request.body);
    Ok(Some(request))
}

/// Answers an offer. Whatever was declined has not run.
fn answer<W: Wire>(cx: &Cx<W>, offer: &Offer) -> OfferReply {
    let now = cx.now();
    let state = cx.state();
    let catalogue = state.servable().map(|it| it.version());
    let is_partitioned = state
        .reachability
        .partitioned()
        .any(|it| oriolemux_core::gateway::request::service_hash(it) == offer.service);
    let declined = if offer.version != VERSION {
        Some(DeclineReason::Version)
    } else if offer.deployment != state.deployment() {
        Some(DeclineReason::Deployment)
    } else if state.is_stopping() {
        Some(DeclineReason::Stopping)
    } else if catalogue.is_none_or(|it| it < offer.catalogue) {
        Some(DeclineReason::Outdated)
    } else if is_partitioned {
        Some(DeclineReason::Partitioned)
    } else if cx.open_count(OpenKind::Proxied) > MAX_PROXIED {
        Some(DeclineReason::Busy)
    } else {
        None
    };
    OfferReply {
        suggested: declined.and_then(|_| state.proxies.suggest(now, offer.service)),
        declined,
        data_centre: state.data_centre().to_owned(),
    }
}

/// Returns whether a response says that no endpoint was reached, so that the request has not run
/// and another peer can serve it.
fn is_not_served(response: &Response<ResponseBody>) -> bool {
    let reason = response.extensions().get::<Reason>();
    matches!(
        reason,
        Some(Reason::NoConnection | Reason::NoCatalogue | Reason::Stopping)
    )
}

/// Sends a response and its body; returns how that ended.
async fn send_response(
    tx: &mut SendStream<Bytes>,
    rx: &mut MessageReader,
    response: Response<ResponseBody>,
) -> Result<&'static str, ExchangeError> {
    if is_not_served(&response) {
        send_all(tx, encode(&ProxyReply::NotServed)?).await?;
        tx.send_data(Bytes::new(), true)?;
        return Ok("not_served");
    }
    if response.extensions().get() == Some(&Reason::StopDeadline) {
        // The peer, which does not stop, decides whether the request may run again.
        tx.send_reset(StreamReason::INTERNAL_ERROR);
        return Ok("broken_off");
    }
    let (parts, mut body) = response.into_parts();
    let head = ProxyReply::Response {
        status: parts.status.as_u16(),
        headers: to_message(&parts.headers),
    };
    send_all(tx, encode(&head)?).await?;
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = rx.closed() => return Ok("caller_left"),
        };
        match frame {
            None => break,
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                tokio::select! {
                    sent = send_all(tx, data) => sent?,
                    () = rx.closed() => return Ok("caller_left"),
                }
            }
            Some(Err(_)) => {
                // A response that breaks off must not look complete.
                tx.send_reset(StreamReason::INTERNAL_ERROR);
                return Ok("broken_off");
            }
        }
    }
    tx.send_data(Bytes::new(), true)?;
    Ok("answered")
}

fn log_served<W: Wire>(cx: &Cx<W>, from: SocketAddr, how: &'static str) {
    log_event!(
        ServedForPeer,
        peer:% = from,
        how = how,
        at_once = cx.open_count(OpenKind::Proxied)
    );
}
