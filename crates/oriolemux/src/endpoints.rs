//! The endpoints' side: what is assumed about model engines and plain services.
//!
//! Everything that oriolemux assumes about an endpoint stands behind one small
//! trait, [`EndpointProtocol`], and is listed in `docs/INTERFACES.md`, so that
//! a different answer is a small change. [`HttpProtocol`] is the one that ships.
//!
//! The protocol never decides anything. In particular it never tries twice: a
//! second send is a retry, and retries belong to the node, which knows whether
//! the work may run again (`docs/design/delivery.md`).

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

/// A caller's work, kept until the request is over because a retry sends it again.
#[derive(Clone, Debug)]
pub enum WorkBody {
    /// A generation.
    Completion(CompletionBody),
    /// A call of a plain service.
    Call(CallBody),
}

/// What of a completion request goes to the engine as it is.
#[derive(Clone, Debug)]
pub struct CompletionBody {
    /// The prompt.
    pub prompt: String,
    /// Sampling parameters, passed on as the caller wrote them.
    pub sampling: serde_json::Map<String, serde_json::Value>,
}

/// What a plain service is called with.
#[derive(Clone, Debug)]
pub struct CallBody {
    /// The caller's content type, if it sent one.
    pub content_type: Option<HeaderValue>,
    /// The caller's bytes.
    pub bytes: Bytes,
}

/// Why an exchange with an endpoint did not begin or did not go on.
///
/// The variants tell apart what [`oriolemux_core::delivery::Delivery`] needs to
/// know to say whether the work may have run.
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

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct EndpointResponse<B> {
    /// The body, still to be read.
    pub body: B,
    /// The attempt that the endpoint says it answers, if its head says so.
    pub attempt: Option<String>,
    /// The answer's content type, if it has one.
    pub content_type: Option<HeaderValue>,
}

/// Where a broken stream goes on.
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
    /// The number to ask after next time.
    pub next: u64,
    /// Whether events were lost since the last batch.
    pub gap: bool,
    /// Block hashes now held.
    pub stored: Vec<u64>,
    /// Block hashes no longer held.
    pub evicted: Vec<u64>,
}

/// The body of an answer, read piece by piece.
///
/// Dropping it ends the exchange and closes the connection.
pub trait ResponseBody: Send + 'static {
    /// Waits for the next piece; `None` is the end that the framing promised.
    ///
    /// # Errors
    ///
    /// Fails with [`Reason::ConnectionLost`] if the connection broke.
    fn chunk(&mut self) -> impl Future<Output = Result<Option<Bytes>, EndpointFailure>> + Send;

    /// Returns the next piece if it is already here; `None` if it is not.
    fn ready_chunk(&mut self) -> Option<Result<Option<Bytes>, EndpointFailure>>;
}

/// How endpoints are spoken to.
pub trait EndpointProtocol: Clone + Send + Sync + 'static {
    /// The body of an answer.
    type Body: ResponseBody;

    /// Sends an attempt once and waits for the head of the answer.
    ///
    /// The clock is read right before the send; after
    /// [`Dispatch::send_before`] nothing is sent.
    ///
    /// # Errors
    ///
    /// Fails with what is known about whether the work ran.
    fn start(
        &self,
        dispatch: &Dispatch,
        work: &WorkBody,
    ) -> impl Future<Output = Result<EndpointResponse<Self::Body>, EndpointFailure>> + Send;

    /// Asks for the rest of a generation whose stream broke.
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

    /// Ends a generation and frees its memory.
    ///
    /// Returns whether the endpoint confirmed it; an unconfirmed one ends by
    /// the endpoint's own grace for broken connections.
    fn cancel(
        &self,
        endpoint: &EndpointTarget,
        attempt: AttemptId,
    ) -> impl Future<Output = bool> + Send;

    /// Asks for the load.
    ///
    /// # Errors
    ///
    /// Fails if no valid report came in time.
    fn load(
        &self,
        endpoint: &EndpointTarget,
    ) -> impl Future<Output = Result<LoadReport, EndpointFailure>> + Send;

    /// Asks for the cache events after the number `after`.
    ///
    /// # Errors
    ///
    /// Fails if no valid batch came in time.
    fn cache_events(
        &self,
        endpoint: &EndpointTarget,
        after: u64,
    ) -> impl Future<Output = Result<CacheBatch, EndpointFailure>> + Send;

    /// Gives an order.
    ///
    /// The clock is read when the connection stands; after `send_before`
    /// nothing is sent.
    fn order(
        &self,
        endpoint: &EndpointTarget,
        fencing: u64,
        kind: &OrderKind,
        send_before: Time,
    ) -> impl Future<Output = OrderResult> + Send;

    /// Returns whether the endpoint's process is known to have ended: nobody is at its address.
    fn has_ended(&self, endpoint: &EndpointTarget) -> impl Future<Output = bool> + Send;

    /// An answer on some connection belonged to another attempt: no idle
    /// connection is used again.
    fn discard_idle_connections(&self);
}
