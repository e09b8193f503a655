//! The open end of an engine's answer, and how it begins and pauses.

use crate::job::UsageGuard;
use crate::link::Link;
use crate::ports::{BufferedResponse, Wire};
use crate::response::Reason;
use http::{HeaderMap, StatusCode};
use hyper::body::Incoming;
use oriolemux_core::gateway::state::Placement;
use std::time::Instant;

/// The open connection that events come on.
pub(super) struct Upstream {
    pub(super) link: Link,
    pub(super) body: Incoming,
}

/// Why the relay stopped to read from an engine.
pub(super) enum StopReason<W: Wire> {
    /// The stream came to its end.
    End,
    /// The caller left.
    CallerGone,
    /// The engine leaves and it is time to go.
    Relocate,
    /// The engine is silent, and this one can read the generation anew.
    Recompute(Placement, UsageGuard<W>),
    /// The connection broke.
    Broken,
    /// The engine fell silent or sent what is no stream.
    EngineFailed,
    /// Time is over.
    Timeout,
    /// An event is missing.
    Gap,
}

/// How a request to an engine began.
pub(super) enum AttemptStart {
    /// Events come.
    Stream {
        upstream: Upstream,
        status: StatusCode,
        headers: HeaderMap,
    },
    /// A final answer without events.
    FinalResponse(BufferedResponse),
    /// The engine did not run it.
    NotRun {
        /// Whether it reached the engine.
        reached_engine: bool,
    },
    /// It failed.
    Failed(Reason),
}

/// Waits until `at`; for good if there is no such time.
pub(super) async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => core::future::pending().await,
    }
}
