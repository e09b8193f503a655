//! What instances tell each other about limits.

use super::{Allowance, LimitKey};
use serde::{Deserialize, Serialize};

/// A message about limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitsMessage {
    /// To the home of a limit.
    Request(LeaseRequest),
    /// From the home of a limit.
    Lease(LimitLease),
}

/// What an instance holds of a limit and wants of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Which limit.
    pub key: LimitKey,
    /// What the catalogue in force at the sender allows.
    pub allowance: Allowance,
    /// Grows with each ask of one life.
    pub seq: u32,
    /// Places that the sender regards as its own until it asks again or its
    /// lease ends, whatever it is answered: those in use, and those of its
    /// lease that it does not give back with this ask.
    pub held_slots: u32,
    /// Places that the sender would use; 0 gives the lease back.
    pub wanted_slots: u32,
    /// Tokens that the sender would use soon.
    pub tokens_wanted: u64,
    /// Tokens that the sender does not need any more.
    pub tokens_returned: u64,
    /// Tokens that were spent beyond what was leased.
    pub tokens_owed: u64,
}

/// What the home leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitLease {
    /// Which limit.
    pub key: LimitKey,
    /// The ask that it answers, or the last one if the home takes back some
    /// of the lease unasked.
    pub seq: u32,
    /// Places in all. If that is less than the receiver holds, it admits
    /// nobody until enough have ended.
    pub slots: u32,
    /// Tokens in addition to those leased before.
    pub tokens: u64,
    /// How long the lease lasts, from when the ask was sent.
    pub ttl_ms: u32,
    /// When there will be tokens again, if fewer were leased than wanted; else 0.
    pub tokens_wait_ms: u32,
    /// A wish that was not met is worth repeating after so long.
    pub retry_after_ms: u32,
    /// The home takes back some unasked; nothing else is changed by it.
    pub is_revocation: bool,
}
