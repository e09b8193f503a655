//! Submits a request to the node and returns the response of its relay.

use super::auth::key_digest;
use super::connections::OpenRequest;
use super::errors::{ErrorResponse, REQUEST_HEADER};
use super::port::NodeGone;
use super::routes::CallerCx;
use crate::endpoints::{EndpointProtocol, WorkBody};
use crate::relay::caller::{Caller, Piece, Reply, ResponseFormat};
use crate::relay::chunk::ChunkWriter;
use crate::relay::{KeptBytes, Relay};
use bytes::Bytes;
use core::str::FromStr;
use core::time::Duration;
use futures_util::stream;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue};
use oriolemux_core::event::{RequestArrival, Work};
use oriolemux_core::fingerprint::{Fingerprint, Identity};
use oriolemux_core::ids::stable_hash;
use oriolemux_core::outcome::RequestOutcome;
use oriolemux_core::{Reason, RequestId};
use oriolemux_gateway::bodies::KeptBody;
use poem::{Body, Response};
use std::io;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// The caller's key for a request that must not run twice.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The ticket that the caller obtained for this request.
const TICKET: &str = "oriolemux-ticket";
/// Number of prompt tokens, counted by the caller.
const PROMPT_TOKENS: &str = "oriolemux-prompt-tokens";
/// The longest time that the caller is willing to wait, in milliseconds.
const MAX_WAIT_MS: &str = "oriolemux-patience-ms";

/// The longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 256;

/// The parsed headers of a request.
#[derive(Clone, Debug)]
pub struct Headers {
    /// SHA-256 of the caller's bearer key.
    pub key_digest: [u8; 32],
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// The ticket that the caller obtained earlier, if it sent one.
    pub ticket: Option<RequestId>,
    /// Number of prompt tokens, if the caller declared it.
    pub prompt_tokens: Option<u32>,
    /// The longest time that the caller is willing to wait, if it set one.
    pub max_wait: Option<Duration>,
}

impl Headers {
    /// Parses the headers of the request `id`.
    ///
    /// # Errors
    ///
    /// Fails with the response for the caller if the bearer key is missing or a header has an
    /// invalid value.
    pub fn read(id: RequestId, headers: &HeaderMap) -> Result<Self, ErrorResponse> {
        let key_digest =
            key_digest(headers).ok_or_else(|| ErrorResponse::not_submitted(id, Reason::BadKey))?;
        let max_wait = parse(id, headers, MAX_WAIT_MS, Reason::BadRequest)?;
        Ok(Headers {
            key_digest,
            idempotency_key: read_idempotency_key(id, headers)?,
            ticket: parse(id, headers, TICKET, Reason::BadTicket)?,
            prompt_tokens: parse(id, headers, PROMPT_TOKENS, Reason::BadRequest)?,
            max_wait: max_wait.map(Duration::from_millis),
        })
    }

    /// Sets the outcome of a refusal to "unknown" if the request has a ticket or an idempotency
    /// key. Used for requests that were not fully read, or not accepted because of the state of
    /// this process.
    ///
    /// The request may be a duplicate of one that ran and whose response was lost. On "not run"
    /// the caller would conclude that neither of them ran.
    pub fn qualify_outcome(&self, error: ErrorResponse) -> ErrorResponse {
        match self.ticket.is_some() || self.idempotency_key.is_some() {
            true => error.with_unknown_outcome(),
            false => error,
        }
    }
}

fn read_idempotency_key(
    id: RequestId,
    headers: &HeaderMap,
) -> Result<Option<String>, ErrorResponse> {
    let key: Option<String> = parse(id, headers, IDEMPOTENCY_KEY, Reason::BadRequest)?;
    match key {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY => {
            Err(wrong_header(id, IDEMPOTENCY_KEY, Reason::BadRequest))
        }
        key => Ok(key),
    }
}

/// Parses a header. An invalid value is an error and not ignored, because a caller that sent a key
/// or a ticket relies on it.
fn parse<T: FromStr>(
    id: RequestId,
    headers: &HeaderMap,
    name: &'static str,
    reason: Reason,
) -> Result<Option<T>, ErrorResponse> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let value = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    value
        .map(Some)
        .ok_or_else(|| wrong_header(id, name, reason))
}

fn wrong_header(id: RequestId, name: &str, reason: Reason) -> ErrorResponse {
    ErrorResponse::not_submitted(id, reason)
        .with_detail(format!("the header `{name}` is not valid"))
}

/// A parsed request that is ready for the node.
#[derive(Debug)]
pub struct Submission {
    /// The request.
    pub id: RequestId,
    /// Its parsed headers.
    pub headers: Headers,
    /// The entry's name, as the caller wrote it.
    pub entry: String,
    /// What the node needs to know about the work.
    pub work: Work,
    /// The unparsed body. Together with the entry it distinguishes a duplicate request from a
    /// reused key: without the entry, a call of one service could receive the outcome of a call of
    /// another.
    pub body_bytes: Vec<u8>,
    /// Counts the body as long as the request runs.
    pub counted: KeptBody,
    /// What is sent to the endpoint.
    pub body: WorkBody,
    /// The format of the response.
    pub format: ResponseFormat,
    /// The remote address of the caller's connection.
    pub remote: Option<SocketAddr>,
}

impl Submission {
    /// Returns the fingerprint by which duplicates are recognised. The caller is identified by the
    /// digest of its key, because its workspace is not known yet.
    fn fingerprint(&self) -> Fingerprint {
        let key: String = self
            .headers
            .key_digest
            .iter()
            .map(|it| format!("{it:02x}"))
            .collect();
        Fingerprint::of(&Identity {
            deployment: 0,
            workspace: Some(&key),
            host: "",
            method: "POST",
            path: &self.entry,
            body: &self.body_bytes,
        })
    }

    fn arrival(&self) -> RequestArrival {
        RequestArrival {
            id: self.id,
            key_digest: self.headers.key_digest,
            entry: self.entry.clone(),
            work: self.work.clone(),
            idempotency_key: self.headers.idempotency_key.clone(),
            ticket: self.headers.ticket,
            body_hash: stable_hash(&[self.entry.as_bytes(), &self.body_bytes]),
            fingerprint: self.fingerprint(),
            patience: self.headers.max_wait,
        }
    }
}

/// Runs a request and returns its response. The body of a stream continues after this returns.
pub async fn submit<E: EndpointProtocol>(cx: &CallerCx<E>, submission: Submission) -> Response {
    let id = submission.id;
    let arrival = Box::new(submission.arrival());
    let outcome = RequestOutcome::of_arrival(&arrival);
    let orders = match cx.port.submit(arrival).await {
        Ok(orders) => orders,
        Err(NodeGone) => {
            let error = ErrorResponse::not_submitted(id, Reason::Stopping);
            return submission.headers.qualify_outcome(error).into_response();
        }
    };
    let (head, reply) = oneshot::channel();
    let chunks = ChunkWriter::new(id, &submission.entry);
    let connection = cx.connections.state(submission.remote.as_ref());
    let open_request = connection.open_request();
    let caller = Caller::new(
        submission.format,
        chunks,
        head,
        &open_request,
        cx.write_timeout,
    );
    let port = cx.port.clone();
    let protocol = cx.protocol.clone();
    let kept = KeptBytes {
        request: submission.counted,
        tokens: cx.buffers.open(),
    };
    let relay = Relay::new(
        id,
        outcome,
        protocol,
        port,
        submission.body,
        orders,
        caller,
        kept,
    );
    tokio::spawn(relay.run());
    match reply.await {
        Ok(reply) => into_response(id, reply, open_request),
        Err(_) => relay_panicked(id),
    }
}

/// Returns the response for a relay that ended without one, which only happens if it panics.
/// Whether the request ran is not known then.
fn relay_panicked(id: RequestId) -> Response {
    let verdict = oriolemux_core::Verdict::unknown(Reason::Internal);
    ErrorResponse::from_verdict(id, &verdict).into_response()
}

fn into_response(id: RequestId, reply: Reply, open_request: OpenRequest) -> Response {
    let builder = Response::builder().header(REQUEST_HEADER, id.to_string());
    match reply {
        Reply::Stream(pieces) => builder
            .header(CONTENT_TYPE, "text/event-stream")
            .header(CACHE_CONTROL, "no-cache")
            .body(stream_body(pieces, open_request)),
        Reply::Full { content_type, body } => {
            let octets = HeaderValue::from_static("application/octet-stream");
            builder
                .header(CONTENT_TYPE, content_type.unwrap_or(octets))
                .body(body)
        }
        Reply::Error(error) => error.into_response(),
    }
}

/// Streams `pieces` as the body of a response.
///
/// If the relay panics, the body ends with an error, so that the server breaks the connection.
/// Without the error the stream would look complete to a lenient client.
fn stream_body(mut pieces: mpsc::Receiver<Piece>, open_request: OpenRequest) -> Body {
    let mut ended = false;
    Body::from_bytes_stream(stream::poll_fn(move |cx| {
        // Moved in, so that the relay is notified when the server drops the body.
        let _listening = &open_request;
        if ended {
            return core::task::Poll::Ready(None);
        }
        pieces.poll_recv(cx).map(|piece| match piece {
            Some(Piece::Part(bytes)) => Some(Ok::<Bytes, io::Error>(bytes)),
            Some(Piece::Last(bytes)) => {
                ended = true;
                Some(Ok(bytes))
            }
            None => {
                ended = true;
                Some(Err(io::Error::other("the relay ended early")))
            }
        })
    }))
}
