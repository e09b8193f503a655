//! What operators are shown, and what was rejected.

use super::CatalogueSync;
use super::candidate::Candidate;
use crate::catalogue::Digest;
use crate::findings::Findings;
use crate::time::Time;
use core::time::Duration;
use std::collections::VecDeque;

/// Rejected indexes that are remembered, so that they are neither fetched nor
/// reported again and again.
const REMEMBERED: usize = 16;

/// What happened since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncCounters {
    /// Calls of the platform: reads and watches.
    pub platform_calls: u64,
    /// Indexes taken over from a peer, whole or as changes.
    pub index_pulls: u64,
    /// Shards fetched from peers.
    pub shards_from_peers: u64,
    /// Shards read from the platform.
    pub shards_from_platform: u64,
    /// Shards whose bytes had another digest than the index lists, because the
    /// publisher was between two writes or the service was stale.
    pub digest_mismatches: u64,
    /// Indexes with a lower revision than the one in force.
    pub stale: u64,
    /// Indexes that were rejected.
    pub rejected: u64,
    /// Shards that were asked for and could not be had in time.
    pub shards_unavailable: u64,
    /// Reads that waited for the budget.
    pub reads_deferred: u64,
}

/// Why an index was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// It or one of its shards is not valid.
    Findings(Findings),
    /// Its revision belongs to another index that is in force.
    RevisionReused,
}

impl RejectionCause {
    /// Returns how many findings there are.
    pub(super) fn findings(&self) -> u32 {
        match self {
            RejectionCause::Findings(findings) => findings.len() as u32,
            RejectionCause::RevisionReused => 1,
        }
    }
}

/// An index that was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The revision that it states; 0 if none can be read.
    pub revision: u64,
    /// The digest of its bytes.
    pub digest: Digest,
    /// Why.
    pub cause: RejectionCause,
}

/// The rejected indexes; only the last one keeps its findings.
#[derive(Debug, Default)]
pub(super) struct Rejected {
    digests: VecDeque<Digest>,
    last: Option<Rejection>,
}

impl Rejected {
    pub fn contains(&self, digest: Digest) -> bool {
        self.digests.contains(&digest)
    }

    pub fn insert(&mut self, rejection: Rejection) {
        if self.digests.len() == REMEMBERED {
            self.digests.pop_front();
        }
        self.digests.push_back(rejection.digest);
        self.last = Some(rejection);
    }
}

/// What operators are shown.
#[derive(Clone, Debug, PartialEq)]
pub struct SyncStatus {
    /// The revision in force; 0 for none.
    pub revision: u64,
    /// The digest of its index.
    pub digest: Option<Digest>,
    /// The revision that is being verified.
    pub candidate: Option<u64>,
    /// Its shards that are not verified yet.
    pub pending_shards: u32,
    /// For how long it has been verified.
    pub pending_for: Duration,
    /// The last rejection.
    pub rejection: Option<Rejection>,
    /// Whether this instance watches the platform.
    pub watcher: bool,
    /// Bytes of shards in use.
    pub shard_memory: usize,
    /// Bytes of shards kept for peers.
    pub kept_memory: usize,
    /// What happened so far.
    pub counters: SyncCounters,
}

impl CatalogueSync {
    /// Returns the last rejection, whether or not a good revision came after it.
    pub fn rejection(&self) -> Option<&Rejection> {
        self.rejected.last.as_ref()
    }

    /// Returns what operators are shown.
    pub fn status(&self, now: Time) -> SyncStatus {
        let candidate = self.candidates.iter().max_by_key(|it| it.revision());
        SyncStatus {
            revision: self.revision(),
            digest: self.catalogue().map(|catalogue| catalogue.digest()),
            candidate: candidate.map(Candidate::revision),
            pending_shards: candidate.map_or(0, |it| it.pending.len() as u32),
            pending_for: candidate.map_or(Duration::ZERO, |it| now.since(it.since)),
            rejection: self.rejected.last.clone(),
            watcher: self.roles.is_watcher(),
            shard_memory: self.store.memory(),
            kept_memory: self.kept.memory(),
            counters: self.counters,
        }
    }
}
