//! The platform's configuration service, which can only be read and watched.
//!
//! What is assumed about it stands in `docs/INTERFACES.md` and behind the trait
//! [`Platform`]. When to call, how often, and what to make of an answer is
//! decided in the core; here is one call and its bounds: every wait ends, and
//! no answer takes more memory than a value may have.

mod http;

pub use http::{PlatformClient, PlatformLimits, SetUpError};

use crate::callers::port::{NodeGone, NodePort};
use crate::metrics::Counter;
use core::future::Future;
use oriolemux_core::Event;
use oriolemux_core::event::ValueName;

/// What the service answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The value.
    Value {
        /// The service's own revision of it.
        revision: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// There is nothing above the revision that was given.
    Unchanged,
}

/// Why a call failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum PlatformError {
    /// the call was not answered within {0:?}
    Timeout(core::time::Duration),
    /// the connection failed: {0}
    Connection(#[source] reqwest::Error),
    /// the service answered with status {0}
    Status(u16),
    /// the answer does not say which revision it is
    NoRevision,
}

/// The service as the node task uses it.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads a value.
    fn read(&self, name: &ValueName) -> impl Future<Output = Result<Answer, PlatformError>> + Send;

    /// Waits for a value above a revision of the service, as long as the
    /// service holds the call.
    fn watch(
        &self,
        name: &ValueName,
        above: u64,
    ) -> impl Future<Output = Result<Answer, PlatformError>> + Send;
}

/// Makes one call and tells the node what came of it.
///
/// There is no retry here: a failure is an event too, and the core decides when
/// to try again, within the budget of its calls.
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
    let answer = match above {
        Some(above) => platform.watch(&name, above).await,
        None => platform.read(&name).await,
    };
    if let Err(error) = &answer {
        log::debug!("the platform's `{name}`: {error}");
    }
    port.event(event(name, answer)).await
}

fn event(name: ValueName, answer: Result<Answer, PlatformError>) -> Event {
    match answer {
        Ok(Answer::Value { revision, bytes }) => Event::Value {
            name,
            revision,
            bytes,
        },
        Ok(Answer::Unchanged) => Event::ValueUnchanged { name },
        Err(_) => Event::ValueFailed { name },
    }
}
