//! Limits of workspaces and entries over all instances, leased in shares.
//!
//! A limit of the catalogue holds for the fleet as a whole, and nothing may be
//! written to shared state. So each limit has a home ([`LimitHome`]) that hands
//! out *leases*: so many concurrent requests and so many tokens, to the
//! instances that use them ([`Leases`]), in small shares that follow demand
//! and expire. A request is admitted against the leases of its own instance,
//! without a message as long as they suffice.
//!
//! While there is one home, the leases never add up to more than the limit.
//! When homes differ or cannot be reached, `docs/design/limits.md` says what
//! holds instead: at most twice the limit between two homes for as long as the
//! older leases last, and an equal part for every instance without a home.

mod bucket;
mod claim;
mod fair;
mod home;
mod leases;
mod message;
mod queue;
mod share;

pub use bucket::TokenBucket;
pub use claim::Claim;
pub use fair::FairLevel;
pub use home::LimitHome;
pub use leases::{LeaseCounts, Leases};
pub use message::{LeaseRequest, LimitLease, LimitsMessage};

use crate::ids::{EntryKey, InstanceKey, WorkspaceKey, stable_hash};
use crate::membership::Membership;
use crate::reason::Reason;
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// How long a lease lasts. Long enough that renewals cost little at the size to
/// design for, short enough that what a dead instance held comes back soon.
pub const LEASE_TTL: Duration = Duration::from_secs(20);

/// What a limit is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LimitKey {
    /// A workspace's limits.
    Workspace(WorkspaceKey),
    /// An entry's limits.
    Entry(EntryKey),
}

impl LimitKey {
    /// Returns the key by which the home is ranked.
    pub fn rank_key(self) -> u64 {
        match self {
            LimitKey::Workspace(key) => stable_hash(&[b"limits", b"ws", &key.0.to_le_bytes()]),
            LimitKey::Entry(key) => stable_hash(&[b"limits", b"entry", &key.0.to_le_bytes()]),
        }
    }

    /// Returns the reason to give when no concurrent request is left.
    pub const fn concurrency_reason(self) -> Reason {
        match self {
            LimitKey::Workspace(_) => Reason::WorkspaceConcurrency,
            LimitKey::Entry(_) => Reason::EntryConcurrency,
        }
    }
}

/// What the catalogue allows over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Requests at once.
    pub concurrent: u32,
    /// Tokens of prompt and output in a minute; 0 for no such limit.
    pub tokens_per_minute: u64,
    /// The catalogue revision that says so; of two the higher one counts.
    pub revision: u64,
}

/// Where the homes of limits are.
pub trait LimitFleet {
    /// Returns the home of a limit, if there is any usable instance.
    fn home_of_limit(&self, key: LimitKey) -> Option<InstanceKey>;

    /// Returns how many instances share a limit that has no home; at least 1.
    fn sharing_instances(&self) -> u32;
}

impl LimitFleet for Membership {
    fn home_of_limit(&self, key: LimitKey) -> Option<InstanceKey> {
        self.home_of_key(key.rank_key())
    }

    fn sharing_instances(&self) -> u32 {
        self.listed_count()
    }
}

/// What limits ask of the node.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitsAction {
    /// Tell a peer, or this process itself, something.
    Send {
        /// Whom.
        to: InstanceKey,
        /// What.
        message: LimitsMessage,
    },
    /// A request holds its place in all limits and may go on.
    Admit {
        /// Which request.
        request: u64,
    },
    /// A request is refused; it holds nothing.
    Refuse {
        /// Which request.
        request: u64,
        /// Which limit is reached.
        reason: Reason,
        /// When it is worth coming back.
        retry_after: Duration,
    },
}
