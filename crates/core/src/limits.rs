//! Fleet-wide limits of workspaces and entries, enforced through leases.
//!
//! A limit in the catalogue applies to the fleet as a whole, and instances share no writable state.
//! Each limit therefore has a home ([`LimitHome`]), the instance that decides for it, chosen by
//! rendezvous hashing. The home grants *leases* of concurrency slots and tokens to the instances
//! that use the limit ([`Leases`]). Leases are small, follow demand and expire. An instance admits
//! requests against its own leases and sends no message while they suffice.
//!
//! With a single home, the leases never add up to more than the limit. If instances disagree about
//! the home or cannot reach it, `docs/design/limits.md` gives the bounds: at most twice the limit
//! with two homes, for as long as the older leases last, and an equal share of the limit for each
//! instance without a home.

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

/// Time to live of a lease. It is long enough that renewals cost little at the design fleet size,
/// and short enough that the slots of a dead instance become free soon.
pub const LEASE_TTL: Duration = Duration::from_secs(20);

/// Identifies a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LimitKey {
    /// The limits of a workspace.
    Workspace(WorkspaceKey),
    /// The limits of an entry.
    Entry(EntryKey),
}

impl LimitKey {
    /// Returns the key that ranks the instances to select the home.
    pub fn rank_key(self) -> u64 {
        match self {
            LimitKey::Workspace(key) => stable_hash(&[b"limits", b"ws", &key.0.to_le_bytes()]),
            LimitKey::Entry(key) => stable_hash(&[b"limits", b"entry", &key.0.to_le_bytes()]),
        }
    }

    /// Returns the refusal reason for a limit that has no free slot.
    pub const fn concurrency_reason(self) -> Reason {
        match self {
            LimitKey::Workspace(_) => Reason::WorkspaceConcurrency,
            LimitKey::Entry(_) => Reason::EntryConcurrency,
        }
    }
}

/// The fleet-wide values of a limit in the catalogue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Maximum number of concurrent requests.
    pub concurrent: u32,
    /// Prompt and output tokens per minute; 0 for no token limit.
    pub tokens_per_minute: u64,
    /// The catalogue revision of these values; the higher revision takes precedence.
    pub revision: u64,
}

/// Provides the homes of limits.
pub trait LimitFleet {
    /// Returns the home of a limit, or `None` if no instance is usable.
    fn home_of_limit(&self, key: LimitKey) -> Option<InstanceKey>;

    /// Returns how many instances share a limit whose home is unreachable; at least 1.
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

/// Effects that limits request from the node.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitsAction {
    /// Send a message to a peer or to this process itself.
    Send {
        /// The receiver.
        to: InstanceKey,
        /// The message.
        message: LimitsMessage,
    },
    /// A request holds a slot of each of its limits and may proceed.
    Admit {
        /// The request.
        request: u64,
    },
    /// A request is refused and holds no slot.
    Refuse {
        /// The request.
        request: u64,
        /// The limit that was reached.
        reason: Reason,
        /// When the caller should retry.
        retry_after: Duration,
    },
}
