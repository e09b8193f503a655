//! The open response of an engine: how it starts and why reading it stops.

use crate::job::UsageGuard;
use crate::link::Link;
use crate::ports::{BufferedResponse, Wire};
use crate::response::Reason;
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use oriolemux_core::gateway::state::Placement;
use std::time::Instant;

/// An open connection that delivers events.
pub(super) struct Upstream {
    pub(super) link: Link,
    pub(super) body: Incoming,
    /// Whether the response states its length or comes in chunks, so that its end is not just that of
    /// the connection.
    pub(super) is_delimited: bool,
}

/// Why the relay stopped reading from an engine.
pub(super) enum StopReason<W: Wire> {
    /// The stream ended.
    End,
    /// The caller disconnected.
    CallerGone,
    /// The engine leaves, and it is time to relocate.
    Relocate,
    /// The engine leaves, and was ordered to stop the generation and has.
    Stopped,
    /// The engine is silent, and the given engine can recompute the generation.
    Recompute(Placement, UsageGuard<W>),
    /// The connection broke.
    Broken,
    /// The engine fell silent.
    Silent,
    /// The engine sent data that is not an event stream.
    EngineFailed,
    /// The deadline of the request passed.
    Timeout,
    /// An event is missing.
    Gap,
}

/// How a request to an engine started.
pub(super) enum AttemptStart {
    /// The engine streams events.
    Stream {
        upstream: Upstream,
        status: StatusCode,
        headers: HeaderMap,
    },
    /// A final response without events.
    FinalResponse(BufferedResponse),
    /// The engine did not run the request.
    NotRun {
        /// Whether it reached the engine.
        reached_engine: bool,
    },
    /// The attempt failed and may have run.
    Failed(Reason),
}

/// Waits until `at`; never returns if there is no such time.
pub(super) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => core::future::pending().await,
    }
}
