//! The client of the platform's configuration service, which can only be read and watched.
//!
//! Everything that is assumed about the service is behind the trait [`Platform`] and listed in
//! `docs/INTERFACES.md`. The core decides when and how often to call, and how to use a response.
//! This module makes single calls within limits: every wait has a timeout, and no response uses
//! more memory than a value may have.

mod http;

pub use http::{PlatformClient, PlatformLimits, SetUpError};

use crate::callers::port::{NodeGone, NodePort};
use crate::metrics::Counter;
use core::future::Future;
use oriolemux_core::Event;
use oriolemux_core::event::ValueName;
use oriolemux_gateway::link::head::InvalidHead;

/// A response of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueResponse {
    /// The value.
    Value {
        /// The service's own revision of it.
        revision: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// There is no revision above the given one.
    Unchanged,
}

/// Why a call failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// the call was not answered within {0:?}
    Timeout(core::time::Duration),
    /// the connection failed: {0}
    Connection(#[source] reqwest::Error),
    /// the head of the answer is invalid: {0}
    InvalidHead(#[from] InvalidHead),
    /// the service answered with status {0}
    Status(u16),
    /// the answer does not say which revision it is
    NoRevision,
}

/// The operations of the service.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads a value.
    fn read(
        &self,
        name: &ValueName,
    ) -> impl Future<Output = Result<ValueResponse, PlatformError>> + Send;

    /// Waits for a value with a revision above `above`, for as long as the service holds the call.
    fn watch(
        &self,
        name: &ValueName,
        above: u64,
    ) -> impl Future<Output = Result<ValueResponse, PlatformError>> + Send;
}

/// Makes one call and sends the result to the node.
///
/// Calls are not retried here: a failure is an event too, and the core decides when to retry,
/// within the budget of its calls.
///
/// # Errors
///
/// Fails if the node task has ended.
pub async fn call(
    platform: &impl Platform,
    name: ValueName,
    above: Option<u64>,
    port: &NodePort,
) -> Result<(), NodeGone> {
    Counter::PlatformCalls.add(1);
    let response = match above {
        Some(above) => platform.watch(&name, above).await,
        None => platform.read(&name).await,
    };
    if let Err(error) = &response {
        log::debug!("the platform's `{name}`: {error}");
    }
    port.event(event(name, response)).await
}

fn event(name: ValueName, response: Result<ValueResponse, PlatformError>) -> Event {
    match response {
        Ok(ValueResponse::Value { revision, bytes }) => Event::Value {
            name,
            revision,
            bytes,
        },
        Ok(ValueResponse::Unchanged) => Event::ValueUnchanged { name },
        Err(_) => Event::ValueFailed { name },
    }
}
