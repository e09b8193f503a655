//! Messages about limits between instances.

use super::{Allowance, LimitKey};
use serde::{Deserialize, Serialize};

/// A message about limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitsMessage {
    /// Sent to the home of a limit.
    Request(LeaseRequest),
    /// Sent by the home of a limit.
    Lease(LimitLease),
}

/// What an instance holds of a limit and what it wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The limit.
    pub key: LimitKey,
    /// The values in the catalogue in force at the sender.
    pub allowance: Allowance,
    /// Increases with each request of one incarnation.
    pub seq: u32,
    /// Slots that the sender considers its own until its next request or the end of its lease,
    /// whatever the answer: those in use, and leased ones that it does not return with this
    /// request.
    pub held_slots: u32,
    /// Slots that the sender would use; 0 returns the lease.
    pub wanted_slots: u32,
    /// Tokens that the sender expects to use soon.
    pub tokens_wanted: u64,
    /// Leased tokens that the sender no longer needs.
    pub tokens_returned: u64,
    /// Tokens spent in excess of those leased.
    pub tokens_owed: u64,
}

/// A lease granted by the home, or a revocation of part of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitLease {
    /// The limit.
    pub key: LimitKey,
    /// The request that this answers. For a revocation, the last request of the receiver.
    pub seq: u32,
    /// Total number of leased slots. If it is below the number in use, the receiver admits no
    /// request until enough of them have ended.
    pub slots: u32,
    /// Tokens in addition to those leased before.
    pub tokens: u64,
    /// Time to live of the lease, from when the request was sent.
    pub ttl_ms: u32,
    /// Time until tokens are available if none were granted, else 0.
    pub tokens_wait_ms: u32,
    /// Minimum time before an unmet request should be retried.
    pub retry_after_ms: u32,
    /// Whether the home revokes slots without a request. Only `slots` is applied then.
    pub is_revocation: bool,
}
