//! Keeps the catalogue in force at one instance.
//!
//! A few *watchers* in each data centre watch the platform's index. A new index becomes a
//! *candidate*. At a watcher it comes into force once it and all of its shards are verified. The
//! watchers then announce it to the other instances, which pull it from them and verify only the
//! shards that they hold. So no instance uses a revision of which any part would be rejected, and
//! only a few instances read the platform (`docs/design/catalogue.md`).
//!
//! | module | purpose |
//! | --- | --- |
//! | `candidate` | candidate revisions and when they come into force |
//! | `platform` | reads and watches the index, within the read budget |
//! | `pull` | pulls the index from peers |
//! | `fetch` | fetches shards from keepers or the platform |
//! | `serve` | serves the index and shards to peers |
//! | `store` | caches of shards |
//! | `roles` | which instances watch, and which keep each shard |
//! | `pieces`, `delta` | transfer of values between peers |

mod budget;
mod candidate;
mod delta;
mod fetch;
mod message;
mod pieces;
mod platform;
mod pull;
mod roles;
mod serve;
mod status;
mod store;

pub use delta::{apply, diff};
pub use message::{CatalogueMessage, Edit, PIECE_BYTES, Piece, ShardId};
pub use roles::{KEEPERS, Roles, Source};
pub use status::{Rejection, RejectionCause, SyncCounters, SyncStatus};

use super::{Catalogue, Digest, Workspace};
use crate::ids::InstanceKey;
use crate::note::Note;
use crate::time::Time;
use crate::value::{PeerId, ValueName};
use budget::ReadBudget;
pub use candidate::ACCEPT_LIMIT;
use candidate::Candidates;
use core::time::Duration;
use fetch::Fetches;
use platform::IndexCalls;
use pull::Pulls;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use status::Rejected;
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use store::{RawStore, ShardStore};

/// Configuration of [`CatalogueSync`]. Both limits are in bytes.
#[derive(Clone, Copy, Debug)]
pub struct SyncConfig {
    /// Seed of all jitter.
    pub seed: u64,
    /// Memory limit for shards in use.
    pub shard_memory: usize,
    /// Memory limit for shards kept for peers.
    pub kept_memory: usize,
}

impl SyncConfig {
    /// Returns the default limits.
    pub fn new(seed: u64) -> Self {
        SyncConfig {
            seed,
            shard_memory: 12 << 20,
            kept_memory: 4 << 20,
        }
    }
}

/// A change that other parts of the instance may have to handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncChange {
    /// A revision came into force.
    InForce {
        /// The revision.
        revision: u64,
    },
    /// A requested shard is available.
    ShardReady(u32),
    /// A requested shard is unavailable for now.
    ShardFailed(u32),
}

/// An action that the state machine requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncAction {
    /// Read a value once.
    Read(ValueName),
    /// Watch the index for a platform revision above this one. One response ends the watch.
    WatchIndex {
        /// The last platform revision seen.
        above: u64,
    },
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: InstanceKey,
        /// The message.
        message: CatalogueMessage,
    },
    /// Emit a numbered event.
    Note(Note),
    /// Report a change to other parts of the instance.
    Changed(SyncChange),
}

/// The result of the lookup of a bearer key.
#[derive(Debug)]
pub enum Lookup<'a> {
    /// The workspace that holds the key.
    Found(&'a Workspace),
    /// No workspace holds the key.
    Unknown,
    /// The shard that decides is not in memory. Fetch it with [`CatalogueSync::want_shard`].
    Missing(u32),
    /// The last fetch of the shard failed, and it is not fetched again yet.
    Unavailable(u32),
    /// No catalogue is in force.
    NoCatalogue,
}

/// An index with the bytes that are served to peers.
#[derive(Clone, Debug)]
struct Held {
    catalogue: Arc<Catalogue>,
    bytes: Arc<[u8]>,
}

/// The bytes of an index that was in force before.
#[derive(Clone, Debug)]
struct Former {
    digest: Digest,
    bytes: Arc<[u8]>,
}

/// Keeps the catalogue in force.
///
/// Invariants: the revision in force never decreases; the revisions of candidates are higher; no
/// candidate's digest is in `rejected`.
///
/// After every method call, the caller reads [`CatalogueSync::next_wake`] and calls
/// [`CatalogueSync::tick`] at that time.
#[derive(Debug)]
pub struct CatalogueSync {
    rng: SmallRng,
    roles: Roles,
    in_force: Option<Held>,
    /// Indexes that were in force before, oldest first.
    history: VecDeque<Former>,
    candidates: Candidates,
    rejected: Rejected,
    /// Shards known to be valid, of the catalogue in force and the candidate.
    verified: BTreeSet<ShardId>,
    store: ShardStore,
    kept: RawStore,
    calls: IndexCalls,
    budget: ReadBudget,
    pulls: Pulls,
    fetches: Fetches,
    counters: SyncCounters,
}

impl CatalogueSync {
    /// Creates the initial state, without a catalogue.
    pub fn new(cfg: SyncConfig) -> Self {
        CatalogueSync {
            rng: SmallRng::seed_from_u64(cfg.seed),
            roles: Roles::default(),
            in_force: None,
            history: VecDeque::new(),
            candidates: Candidates::default(),
            rejected: Rejected::default(),
            verified: BTreeSet::new(),
            store: ShardStore::new(cfg.shard_memory),
            kept: RawStore::new(cfg.kept_memory),
            calls: IndexCalls::default(),
            budget: ReadBudget::default(),
            pulls: Pulls::default(),
            fetches: Fetches::default(),
            counters: SyncCounters::default(),
        }
    }

    /// Returns the catalogue in force. A request keeps this reference, so that one revision applies
    /// from its start to its end.
    pub fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.in_force.as_ref().map(|held| &held.catalogue)
    }

    /// Returns the revision in force, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.catalogue().map_or(0, |catalogue| catalogue.revision())
    }

    /// Finds the workspace that holds the bearer key with this digest.
    pub fn lookup(&mut self, now: Time, key_digest: &[u8; 32]) -> Lookup<'_> {
        let Some(held) = &self.in_force else {
            return Lookup::NoCatalogue;
        };
        let id = shard_id(&held.catalogue, held.catalogue.shard_of(key_digest));
        let Some(shard) = self.store.touch(now, id) else {
            return match self.fetches.is_refused(now, id.number) {
                true => Lookup::Unavailable(id.number),
                false => Lookup::Missing(id.number),
            };
        };
        match shard.workspace_by_digest(key_digest) {
            Some(workspace) => Lookup::Found(workspace),
            None => Lookup::Unknown,
        }
    }

    /// Starts the sync. Reads begin once the roles are known, or after a grace period without them.
    pub fn start(&mut self, now: Time) {
        self.begin_calls(now);
    }

    /// Applies the roles that follow from a change of membership.
    pub fn set_roles(&mut self, now: Time, roles: Roles, out: &mut Vec<SyncAction>) {
        if roles == self.roles {
            return;
        }
        let first = self.roles.all.is_empty();
        self.roles = roles;
        self.budget.set_watcher(now, self.roles.is_watcher());
        self.reschedule_calls(now, first);
        if first {
            self.start_initial_pulls(now, out);
        }
    }

    /// Returns when [`CatalogueSync::tick`] is due.
    pub fn next_wake(&self) -> Time {
        let parts = [
            self.candidates.next_wake(),
            self.calls.next_wake(),
            self.pulls.next_wake(),
            self.fetches.next_wake(),
        ];
        parts.into_iter().min().unwrap_or(Time::NEVER)
    }

    /// Runs all actions that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        self.tick_calls(now, out);
        self.tick_pulls(now, out);
        self.tick_fetches(now, out);
        self.tick_candidates(now, out);
    }

    /// Handles a message from a peer.
    pub fn message(
        &mut self,
        now: Time,
        from: PeerId,
        message: CatalogueMessage,
        out: &mut Vec<SyncAction>,
    ) {
        let from = from.instance;
        match message {
            CatalogueMessage::InForce { revision, digest } => {
                self.on_in_force(now, from, revision, digest, out);
            }
            CatalogueMessage::IndexWanted { have } => self.on_index_wanted(from, have, out),
            CatalogueMessage::IndexMore { digest, offset } => {
                self.send_index_piece(from, digest, offset, out);
            }
            CatalogueMessage::IndexPiece { digest, piece } => {
                self.on_index_piece(now, from, digest, &piece, out);
            }
            CatalogueMessage::IndexDelta {
                from: base,
                to,
                edits,
            } => {
                self.on_index_delta(now, from, base, to, &edits, out);
            }
            CatalogueMessage::IndexAbsent => self.on_index_absent(now, from, out),
            CatalogueMessage::ShardWanted { id, offset } => {
                self.on_shard_wanted(now, from, id, offset, out);
            }
            CatalogueMessage::ShardPiece { id, piece } => {
                self.on_shard_piece(now, from, id, &piece, out);
            }
            CatalogueMessage::ShardAbsent { id } => self.on_shard_absent(now, from, id, out),
        }
    }

    fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random_range(0.0..1.0))
    }
}

/// Returns the id of shard `number` of a catalogue, which must have it.
fn shard_id(catalogue: &Catalogue, number: u32) -> ShardId {
    ShardId {
        number,
        count: catalogue.shard_count(),
        digest: catalogue.shards()[number as usize],
    }
}

/// Returns the id of shard `number`, or an id that no shard has if there is none.
fn shard_id_or_other(catalogue: &Catalogue, number: u32) -> ShardId {
    let digest = catalogue.shards().get(number as usize).copied();
    ShardId {
        number,
        count: digest.map_or(0, |_| catalogue.shard_count()),
        digest: digest.unwrap_or(Digest([0; 32])),
    }
}
