//! The operators' listener: health, readiness, metrics, status, explain, drain.
//!
//! It has an address and a key of its own, so that callers cannot use it. `/healthz` and `/readyz`
//! need no key, because the load balancer has none, and they reveal nothing else. See
//! `docs/OPERATIONS.md`.

mod accept;
mod auth;
mod gauges;
mod port;
mod routes;
mod server;

pub use port::{OperatorPort, OperatorQuery, QueryError};
pub use server::{OperatorServer, bind};
