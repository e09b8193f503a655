//! Passes a request to a proxy and its response back to the caller.

use super::links::DialError;
use super::message::{
    ExchangeError, MAX_OFFER_BYTES, MAX_REPLY_BYTES, MessageReader, Offer, OfferReply,
    ProxiedRequest, ProxyReply, VERSION, encode, encode_within, response_head, send_all,
    to_message,
};
use crate::attempts::Attempts;
use crate::buffered::{self, KeptResponses, MAX_RESPONSE_BYTES};
use crate::cx::{OpenGuard, OpenKind};
use crate::job::Job;
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::ports::Wire;
use crate::response::{ResponseBody, StreamAborted};
use bytes::Bytes;
use core::pin::Pin;
use core::task::{Context, Poll, ready};
use core::time::Duration;
use h2::SendStream;
use http::{Method, Request, Response, Uri, header};
use http_body::Frame;
use http_body_util::BodyExt;
use oriolemux_core::gateway::request::service_hash;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;
use tokio::time::timeout;

/// How long a peer may take to accept or decline a request. Nothing of the request has been sent
/// until then, and another peer is asked.
const OFFER_TIMEOUT: Duration = Duration::from_millis(200);

/// Peers to which a request is offered.
const MAX_OFFERS: usize = 4;

/// The URI of the HTTP/2 request that opens an exchange.
const EXCHANGE_URI: &str = "http://peer.invalid/v1/proxy";

/// Bytes of a message besides headers and the body.
const HEAD_BYTES: usize = 1024;

/// Bytes of the lengths of a header's name and value.
const HEADER_OVERHEAD_BYTES: usize = 8;

/// The purpose under which sent requests are counted.
const REQUEST_PURPOSE: &str = "proxied_request";

/// How passing a request to proxies ended.
pub enum ProxyOutcome {
    /// The response of the proxy.
    Response(Response<ResponseBody>),
    /// No peer can serve it, and it has not run.
    NotServed,
    /// The connection to the proxy failed, and the request may have run.
    Lost,
    /// The deadline of the request passed, and it may have run.
    Timeout,
}

impl ProxyOutcome {
    fn label(&self) -> &'static str {
        match self {
            ProxyOutcome::Response(_) => "answered",
            ProxyOutcome::NotServed => "not_served",
            ProxyOutcome::Lost => "lost",
            ProxyOutcome::Timeout => "timeout",
        }
    }
}

/// A peer that accepted a request.
struct Exchange {
    tx: SendStream<Bytes>,
    rx: MessageReader,
}

/// Offers a request to peers and passes it to the first that accepts it.
pub async fn pass_on<W: Wire>(job: &Job<W>, attempts: &Attempts) -> ProxyOutcome {
    // It is kept a second time until the proxy has read it.
    let room = job.cx.bodies.open();
    if room.reserve(message_bytes(job)).is_err() {
        ByReason::Proxied.add("no_room");
        return ProxyOutcome::NotServed;
    }
    // The request runs at the proxy, where it requests its own lease if it is a suspect.
    job.run.release();
    let service = service_hash(&job.service().name);
    let mut tried = Vec::new();
    let mut suggested = None;
    let mut has_handed_over = false;
    while tried.len() < MAX_OFFERS && !job.remaining().is_zero() {
        let now = job.cx.now();
        let next = suggested.take().filter(|it| !tried.contains(it));
        let next = next.or_else(|| {
            let mut state = job.cx.state();
            state.choose_proxy(now, &job.service().name, &tried)
        });
        let Some(peer) = next else {
            break;
        };
        tried.push(peer);
        let offered = offer(job, peer, service).await;
        let exchange = match offered {
            Ok((exchange, reply)) => {
                let mut state = job.cx.state();
                state.proxies.on_data_centre(peer, &reply.data_centre);
                match reply.declined {
                    None => exchange,
                    Some(why) => {
                        let now = job.cx.now();
                        state.proxies.on_unavailable(now, service, peer);
                        drop(state);
                        log_declined(job, peer, &why.to_string());
                        let own = job.cx.state().address();
                        suggested = reply.suggested.filter(|it| *it != own);
                        continue;
                    }
                }
            }
            Err(why) => {
                job.cx.proxy_links.close(peer);
                let now = job.cx.now();
                job.cx.state().proxies.on_unavailable(now, service, peer);
                log_declined(job, peer, why.label());
                log::debug!("offering a request to {peer} failed: {why}");
                continue;
            }
        };
        let earns_retry = !has_handed_over && {
            let now = job.cx.now();
            let service = &job.service().name;
            job.cx.state().budget.hand_over_request(now, service)
        };
        has_handed_over |= earns_retry;
        let sending = send(job, attempts, exchange, earns_retry);
        let outcome = match timeout(job.remaining(), sending).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) => {
                log::debug!("exchange with the proxy {peer} failed: {error}");
                ProxyOutcome::Lost
            }
            Err(_) => ProxyOutcome::Timeout,
        };
        log_outcome(job, peer, &outcome);
        let now = job.cx.now();
        match outcome {
            ProxyOutcome::NotServed => {
                job.sent.clear();
                job.cx.state().proxies.on_unavailable(now, service, peer);
            }
            ProxyOutcome::Response(_) => {
                job.cx.state().proxies.on_served(now, service, peer);
                return outcome;
            }
            ProxyOutcome::Lost | ProxyOutcome::Timeout => {
                job.cx.proxy_links.close(peer);
                job.cx.state().proxies.on_unavailable(now, service, peer);
                return outcome;
            }
        }
    }
    ProxyOutcome::NotServed
}

/// Why a peer did not answer an offer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum OfferError {
    /// no answer within {0:?}
    Silent(Duration),
    /// {0}
    Dial(#[from] DialError),
    /// {0}
    Exchange(#[from] ExchangeError),
}

impl OfferError {
    const fn label(&self) -> &'static str {
        match self {
            OfferError::Silent(_) => "silent",
            OfferError::Dial(_) => "no_connection",
            OfferError::Exchange(_) => "broken",
        }
    }
}

async fn offer<W: Wire>(
    job: &Job<W>,
    peer: SocketAddrV4,
    service: u64,
) -> Result<(Exchange, OfferReply), OfferError> {
    let offer = Offer {
        version: VERSION,
        deployment: job.cx.state().deployment(),
        service,
        catalogue: job.catalogue.version(),
    };
    let exchange = async {
        let mut requests = job.cx.proxy_links.open(peer).await?;
        let mut req = Request::new(());
        *req.method_mut() = Method::POST;
        *req.uri_mut() = Uri::from_static(EXCHANGE_URI);
        let opened = requests.send_request(req, false);
        let (response, mut tx) = opened.map_err(ExchangeError::from)?;
        send_all(&mut tx, encode(&offer)?).await?;
        let response = response.await.map_err(ExchangeError::from)?;
        let mut rx = MessageReader::new(response.into_body());
        let reply: OfferReply = rx.message(MAX_OFFER_BYTES).await?;
        Ok((Exchange { tx, rx }, reply))
    };
    let limit = OFFER_TIMEOUT.min(job.remaining());
    timeout(limit, exchange)
        .await
        .map_err(|_| OfferError::Silent(limit))?
}

/// Returns about how many bytes the message with the request has.
fn message_bytes<W: Wire>(job: &Job<W>) -> usize {
    let headers = job.headers.iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_OVERHEAD_BYTES)
        .sum();
    job.body.len() + headers + HEAD_BYTES
}

/// Sends the request to the peer that accepted it and waits for the head of the response.
async fn send<W: Wire>(
    job: &Job<W>,
    attempts: &Attempts,
    exchange: Exchange,
    earns_retry: bool,
) -> Result<ProxyOutcome, ExchangeError> {
    let Exchange { mut tx, mut rx } = exchange;
    let micros = |it: Duration| u64::try_from(it.as_micros()).unwrap_or(u64::MAX);
    let request = ProxiedRequest {
        method: job.method.as_str().to_owned(),
        uri: job.uri.to_string(),
        headers: to_message(&job.headers),
        body: job.body.clone(),
        elapsed_us: micros(job.arrived.elapsed()),
        remaining_us: micros(job.remaining()),
        earns_retry,
        runs: attempts.runs(),
        refused: attempts.refusals_of_reached(),
        tried: attempts.reached(),
    };
    let request = encode_within(&request, message_bytes(job))?;
    job.cx.record_sent(REQUEST_PURPOSE, request.len());
    if !job.sent.set() {
        return Ok(ProxyOutcome::NotServed);
    }
    send_all(&mut tx, request).await?;
    let (status, mut headers) = match rx.message(MAX_REPLY_BYTES).await? {
        ProxyReply::NotServed => return Ok(ProxyOutcome::NotServed),
        ProxyReply::Response { status, headers } => response_head(status, &headers)?,
    };
    if job.method != Method::HEAD {
        // The exchange delimits the body.
        headers.remove(header::CONTENT_LENGTH);
    }
    let body = ProxiedBody {
        rx,
        tx,
        _open: job.cx.count(OpenKind::Generation),
    };
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(ProxyOutcome::Response(response))
}

/// The body of a response that a proxy sends. Dropping it cancels the request at the proxy.
struct ProxiedBody<W: Wire> {
    rx: MessageReader,
    tx: SendStream<Bytes>,
    _open: OpenGuard<W>,
}

impl<W: Wire> http_body::Body for ProxiedBody<W> {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        match ready!(self.rx.poll_bytes(cx)) {
            Some(Ok(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Err(error)) => {
                log::debug!("response of a proxy broke off: {error}");
                Poll::Ready(Some(Err(StreamAborted)))
            }
            None => {
                // Tells the proxy that the response was read to its end. It fails only if the
                // connection has ended meanwhile.
                let _ = self.tx.send_data(Bytes::new(), true);
                Poll::Ready(None)
            }
        }
    }
}

fn log_declined<W: Wire>(job: &Job<W>, peer: SocketAddrV4, why: &str) {
    ByReason::Proxied.add(why);
    log_event!(
        ProxyDeclined,
        attempt = job.name(),
        entry = job.entry().name.as_str(),
        peer:% = peer,
        why = why
    );
}

fn log_outcome<W: Wire>(job: &Job<W>, peer: SocketAddrV4, outcome: &ProxyOutcome) {
    ByReason::Proxied.add(outcome.label());
    let status = match outcome {
        ProxyOutcome::Response(response) => response.status().as_u16(),
        _ => 0,
    };
    log_event!(
        Proxied,
        attempt = job.name(),
        entry = job.entry().name.as_str(),
        peer:% = peer,
        how = outcome.label(),
        status = status,
        ms = millis(job.arrived.elapsed())
    );
}

/// Returns the whole response of a call, so that a caller never receives a part of it; `None` if it
/// breaks off, is larger than an endpoint's may be, or `ends` passes.
pub async fn whole(
    responses: &Arc<KeptResponses>,
    response: Response<ResponseBody>,
    ends: Instant,
) -> Option<Response<ResponseBody>> {
    let (parts, body) = response.into_parts();
    let body = buffered::collect(responses, body, MAX_RESPONSE_BYTES);
    let body = tokio::time::timeout_at(ends.into(), body).await;
    let body = body.ok()?.ok()?;
    Some(Response::from_parts(
        parts,
        crate::response::full_body(body),
    ))
}
