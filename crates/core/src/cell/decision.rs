//! What a cell decides, with the record that explains it.

use crate::ids::{EndpointKey, RequestId};
use crate::reason::Reason;
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// The most alternatives that a record names.
pub const MAX_ALTERNATIVES: usize = 3;

/// A decision about one request.
#[derive(Clone, Debug, PartialEq)]
pub enum CellDecision {
    /// The request may run at `endpoint` now.
    Grant {
        /// The request.
        id: RequestId,
        /// Where.
        endpoint: EndpointKey,
        /// The engine's priority; 0 is the most urgent.
        priority: u8,
        /// What was predicted and what was free.
        record: GrantRecord,
    },
    /// The request is refused; it ran nowhere under this cell.
    Refuse {
        /// The request.
        id: RequestId,
        /// Why.
        reason: Reason,
        /// When it is worth coming back, spread so that retries do not arrive together.
        retry_after: Duration,
        /// How long it would have waited, as far as known.
        predicted_wait: Duration,
        /// What was predicted and what was free.
        record: GrantRecord,
    },
}

impl CellDecision {
    /// Returns the request that was decided on.
    pub fn id(&self) -> RequestId {
        match self {
            CellDecision::Grant { id, .. } | CellDecision::Refuse { id, .. } => *id,
        }
    }
}

/// Why an endpoint was not the one granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum NotChosen {
    /// It is leaving.
    Leaving,
    /// It was ejected on evidence.
    Ejected,
    /// It is fresh or recovered and has its share for now.
    RampingUp,
    /// It does not hold what the request needs.
    NotLoaded,
    /// An attempt of this request failed there.
    Excluded,
    /// Its memory or slots do not suffice.
    NoRoom,
    /// Its room is held for an overdue request.
    Held,
    /// It was eligible, but another fits better.
    Outranked,
}

/// An endpoint that lost, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Alternative {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Why it lost.
    pub reason: NotChosen,
    /// Tokens of KV memory (or calls, for a service) that were free there.
    pub free: u32,
}

/// Why a decision was taken, for `oriolemux explain`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// Tokens that the answer was predicted to have, on average.
    pub predicted_tokens: u32,
    /// Tokens that nine answers in ten like it stay under.
    pub predicted_p90: u32,
    /// How long the request had waited, in milliseconds.
    pub waited_ms: u32,
    /// Tokens of KV memory (or calls, for a service) that were free at the endpoint granted.
    pub free: u32,
    /// Tokens of KV memory (or calls) that the request was counted with.
    pub needed: u32,
    /// Requests that were queued in the cell.
    pub queued: u32,
    /// Leading blocks of the prompt that the endpoint is believed to hold.
    pub prefix_blocks: u32,
    /// Alternatives that lost, at most [`MAX_ALTERNATIVES`].
    pub alternatives: Vec<Alternative>,
}
