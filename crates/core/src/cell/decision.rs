//! Decisions of a cell and the records that explain them.

use crate::ids::{EndpointKey, RequestId};
use crate::reason::Reason;
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// Maximum number of alternatives in a record.
pub const MAX_ALTERNATIVES: usize = 3;

/// A decision about one request.
#[derive(Clone, Debug, PartialEq)]
pub enum CellDecision {
    /// The request may run at `endpoint` now.
    Grant {
        /// The request.
        id: RequestId,
        /// The endpoint.
        endpoint: EndpointKey,
        /// The engine's priority; 0 is the most urgent.
        priority: u8,
        /// The figures behind the decision.
        record: GrantRecord,
    },
    /// The request is refused; it ran nowhere under this cell.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why it is refused.
        reason: Reason,
        /// Suggested delay before a retry, with jitter so that retries do not arrive together.
        retry_after: Duration,
        /// Predicted wait, as far as it is known.
        predicted_wait: Duration,
        /// The figures behind the decision.
        record: GrantRecord,
    },
}

impl CellDecision {
    /// Returns the id of the request.
    pub fn id(&self) -> RequestId {
        match self {
            CellDecision::Grant { id, .. } | CellDecision::Refuse { id, .. } => *id,
        }
    }
}

/// Why an endpoint was not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NotChosen {
    /// It is leaving.
    Leaving,
    /// It was ejected because of failed attempts.
    Ejected,
    /// It is new or recently recovered, and its current share of the capacity is in use.
    RampingUp,
    /// It has not loaded the model, version or adapter that the request needs.
    NotLoaded,
    /// An attempt of this request failed there.
    Excluded,
    /// Its memory or slots are not sufficient.
    NoRoom,
    /// Its room is held for an overdue request.
    Held,
    /// It was eligible, but another endpoint scored higher.
    Outranked,
}

/// An endpoint that was not chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alternative {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Why it was not chosen.
    pub reason: NotChosen,
    /// Tokens of KV cache (or calls, for a service) that were free there.
    pub free: u32,
}

/// The figures behind a decision, shown by `oriolemux explain`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// Mean of the predicted output length, in tokens.
    pub predicted_tokens: u32,
    /// 90th percentile of the predicted output length, in tokens.
    pub predicted_p90: u32,
    /// How long the request had waited, in milliseconds.
    pub waited_ms: u32,
    /// Tokens of KV cache (or calls, for a service) that were free at the granted endpoint.
    pub free: u32,
    /// Tokens of KV cache (or calls) reserved for the request.
    pub needed: u32,
    /// Requests that were queued in the cell.
    pub queued: u32,
    /// Leading blocks of the prompt that the endpoint's cache is believed to contain.
    pub prefix_blocks: u32,
    /// Endpoints that were not chosen, at most [`MAX_ALTERNATIVES`].
    pub alternatives: Vec<Alternative>,
}
