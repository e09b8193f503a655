//! Keeps the catalogue in force at one node.
//!
//! A few *watchers* of each data centre watch the platform's index. A new index
//! becomes a *candidate*. At a watcher it comes into force once it and all of
//! its shards are verified; the watchers then tell the rest, which take it over
//! from them and need to verify only what they hold. So no instance uses a
//! revision of which any part would be rejected, and the platform is read by
//! few (`docs/design/catalogue.md`).
//!
//! | module | its job |
//! | --- | --- |
//! | `candidate` | what may come into force, and when |
//! | `platform` | reads and watches the index, within a budget |
//! | `pull` | takes the index over from peers |
//! | `fetch` | gets shards from keepers or the platform |
//! | `serve` | gives the index and shards to peers that ask |
//! | `store` | what is held of the shards |
//! | `roles` | who watches, who keeps which shard |
//! | `pieces`, `delta` | values on their way between peers |

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

/// How the node holds the catalogue. Both limits are in bytes.
#[derive(Clone, Copy, Debug)]
pub struct SyncConfig {
    /// Seed of all jitter.
    pub seed: u64,
    /// Memory for shards in use.
    pub shard_memory: usize,
    /// Memory for shards kept for peers.
    pub kept_memory: usize,
}

impl SyncConfig {
    /// Returns the usual limits.
    pub fn new(seed: u64) -> Self {
        SyncConfig {
            seed,
            shard_memory: 12 << 20,
            kept_memory: 4 << 20,
        }
    }
}

/// What other parts of the node may have to react to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncChange {
    /// A revision came into force.
    InForce {
        /// Which.
        revision: u64,
    },
    /// A shard that was asked for is here.
    ShardReady(u32),
    /// A shard that was asked for cannot be had for now.
    ShardFailed(u32),
}

/// What the machine asks of the node.
#[derive(Clone, Debug, PartialEq)]
pub enum SyncAction {
    /// Read a value once.
    Read(ValueName),
    /// Watch the index for a platform revision above this; answered once.
    WatchIndex {
        /// The platform's revision that was seen last.
        above: u64,
    },
    /// Tell a peer something.
    Send {
        /// Whom.
        to: InstanceKey,
        /// What.
        message: CatalogueMessage,
    },
    /// Tell operators.
    Note(Note),
    /// Something changed that other parts may react to.
    Changed(SyncChange),
}

/// What is known of the holder of a bearer key.
#[derive(Debug)]
pub enum Lookup<'a> {
    /// The workspace that holds it.
    Found(&'a Workspace),
    /// No workspace holds it.
    Unknown,
    /// The shard that says so is not here. Ask for it with [`CatalogueSync::want_shard`].
    Missing(u32),
    /// The shard could not be had lately; it is not asked for again yet.
    Unavailable(u32),
    /// No catalogue is in force.
    NoCatalogue,
}

/// An index with its bytes, as it is served to peers.
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
/// Invariants: the revision in force never falls; the revisions of candidates
/// are above it; no candidate's digest is in `rejected`.
///
/// After every method the caller asks [`CatalogueSync::next_wake`] and calls
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
    /// Creates the state of a process that knows nothing yet.
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

    /// Returns the catalogue in force. A request keeps it, and is so judged by
    /// one revision from start to end.
    pub fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.in_force.as_ref().map(|held| &held.catalogue)
    }

    /// Returns the revision in force; 0 for none.
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

    /// Starts with nothing. Reads begin once the roles are known, or after a
    /// while without them.
    pub fn start(&mut self, now: Time) {
        self.begin_calls(now);
    }

    /// Membership changed.
    pub fn set_roles(&mut self, now: Time, roles: Roles, out: &mut Vec<SyncAction>) {
        if roles == self.roles {
            return;
        }
        let first = self.roles.all.is_empty();
        self.roles = roles;
        self.budget.set_watcher(now, self.roles.is_watcher());
        self.reschedule_calls(now, first);
        if first {
            self.ask_first(now, out);
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

    /// Does whatever is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        self.tick_calls(now, out);
        self.tick_pulls(now, out);
        self.tick_fetches(now, out);
        self.tick_candidates(now, out);
    }

    /// A peer message arrived.
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
            CatalogueMessage::IndexWanted { have } => self.answer_index(from, have, out),
            CatalogueMessage::IndexMore { digest, offset } => {
                self.answer_index_piece(from, digest, offset, out);
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
                self.answer_shard(now, from, id, offset, out);
            }
            CatalogueMessage::ShardPiece { id, piece } => {
                self.on_shard_piece(now, from, id, &piece, out);
            }
            CatalogueMessage::ShardAbsent { id } => self.on_shard_absent(now, from, id, out),
        }
    }

    fn jitter(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random_range(0.0..1.0))
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
