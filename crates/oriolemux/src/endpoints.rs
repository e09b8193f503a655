//! The protocol towards endpoints: model engines and plain services.
//!
//! Everything that oriolemux assumes about an endpoint is behind one small trait,
//! [`EndpointProtocol`], and listed in `docs/INTERFACES.md`, so that another protocol is a small
//! change. [`HttpProtocol`] is the implementation in use.
//!
//! The protocol makes no decisions. In particular it never sends a request twice: a second send is
//! a retry, and only the node knows whether the work may run again (`docs/design/delivery.md`).

pub mod http;
pub mod polls;
pub mod send_guard;
pub mod wire;

pub use http::{HttpProtocol, HttpSettings};
pub use polls::Polls;

use ::http::HeaderValue;
use bytes::Bytes;
use core::future::Future;
use core::time::Duration;
use oriolemux_core::event::{Dispatch, EndpointTarget, LoadReport, OrderKind, OrderResult};
use oriolemux_core::outcome::Refusal;
use oriolemux_core::{AttemptId, Reason, Time};

/// A caller's work, kept until the request ends because a retry sends it again.
#[derive(Clone, Debug)]
pub enum WorkBody {
    /// A generation.
    Completion(CompletionBody),
    /// A call of a plain service.
    Call(CallBody),
}

/// The parts of a completion request that are passed on to the engine unchanged.
#[derive(Clone, Debug)]
pub struct CompletionBody {
    /// The prompt.
    pub prompt: String,
    /// Sampling parameters, passed on as the caller wrote them.
    pub sampling: serde_json::Map<String, serde_json::Value>,
}

/// The content type and body of a call of a plain service.
#[derive(Clone, Debug)]
pub struct CallBody {
    /// The caller's content type, if it sent one.
    pub content_type: Option<HeaderValue>,
    /// The caller's bytes.
    pub bytes: Bytes,
}

/// Why an exchange with an endpoint failed.
///
/// The variants distinguish what [`oriolemux_core::delivery::Delivery`] needs to know to decide
/// whether the work may have run.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum EndpointFailure {
    /// no connection stood, so that not one byte of the body left
    NotConnected,
    /// the time for the send had passed, so that not one byte of the body left
    TooLate,
    /// the endpoint refused definitely: {0:?}
    Refused(Refusal),
    /// the exchange failed and says nothing about whether the work ran: {0}
    Broken(Reason),
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct EndpointResponse<B> {
    /// The body, still to be read.
    pub body: B,
    /// The attempt that the head of the response names, if it names one.
    pub attempt: Option<String>,
    /// The content type, if there is one.
    pub content_type: Option<HeaderValue>,
}

/// Where a broken stream is to be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// The generation.
    pub attempt: AttemptId,
    /// The index of the last token received; `None` if none was.
    pub last_index: Option<u32>,
}

/// A batch of an engine's cache events.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Deserialize)]
pub struct CacheBatch {
    /// The sequence number for the next request.
    pub next: u64,
    /// Whether events were lost since the last batch.
    pub gap: bool,
    /// Block hashes now held.
    pub stored: Vec<u64>,
    /// Block hashes no longer held.
    pub evicted: Vec<u64>,
}

/// The body of a response, read in chunks.
///
/// Dropping it ends the exchange and closes the connection.
pub trait ResponseBody: Send + 'static {
    /// Waits for the next chunk; `None` is the end of the body by its framing.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::ConnectionLost`] if the connection broke.
    fn chunk(&mut self) -> impl Future<Output = Result<Option<Bytes>, EndpointFailure>> + Send;

    /// Returns the next chunk if it has already arrived, and `None` otherwise.
    fn ready_chunk(&mut self) -> Option<Result<Option<Bytes>, EndpointFailure>>;
}

/// The protocol for requests to endpoints.
pub trait EndpointProtocol: Clone + Send + Sync + 'static {
    /// The body of a response.
    type Body: ResponseBody;

    /// Sends an attempt once and waits for the head of the response.
    ///
    /// The clock is read right before the send; after [`Dispatch::send_before`] nothing is sent.
    ///
    /// # Errors
    ///
    /// Fails with what is known about whether the work ran.
    fn start(
        &self,
        dispatch: &Dispatch,
        work: &WorkBody,
    ) -> impl Future<Output = Result<EndpointResponse<Self::Body>, EndpointFailure>> + Send;

    /// Requests the rest of a generation whose stream broke.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::GenerationLost`] if the endpoint no longer holds it.
    fn resume(
        &self,
        endpoint: &EndpointTarget,
        point: ResumePoint,
        limit: Duration,
    ) -> impl Future<Output = Result<EndpointResponse<Self::Body>, EndpointFailure>> + Send;

    /// Cancels a generation, which frees its memory.
    ///
    /// Returns whether the endpoint confirmed it. Without confirmation the generation ends after
    /// the endpoint's own grace period for broken connections.
    fn cancel(
        &self,
        endpoint: &EndpointTarget,
        attempt: AttemptId,
    ) -> impl Future<Output = bool> + Send;

    /// Requests the load report.
    ///
    /// # Errors
    ///
    /// Fails if no valid report arrived in time.
    fn load(
        &self,
        endpoint: &EndpointTarget,
    ) -> impl Future<Output = Result<LoadReport, EndpointFailure>> + Send;

    /// Requests the cache events after the sequence number `after`.
    ///
    /// # Errors
    ///
    /// Fails if no valid batch arrived in time.
    fn cache_events(
        &self,
        endpoint: &EndpointTarget,
        after: u64,
    ) -> impl Future<Output = Result<CacheBatch, EndpointFailure>> + Send;

    /// Sends an order.
    ///
    /// The clock is read when the connection is established; after `send_before` nothing is sent.
    fn order(
        &self,
        endpoint: &EndpointTarget,
        fencing: u64,
        kind: &OrderKind,
        send_before: Time,
    ) -> impl Future<Output = OrderResult> + Send;

    /// Returns whether the endpoint's process is known to have ended: nothing listens at its
    /// address.
    fn has_ended(&self, endpoint: &EndpointTarget) -> impl Future<Output = bool> + Send;

    /// Discards all idle connections. Called when the response on some connection belonged to
    /// another attempt.
    fn discard_idle_connections(&self);
}
