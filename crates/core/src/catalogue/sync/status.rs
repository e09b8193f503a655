//! The status for operators, and the rejected indexes.

use super::CatalogueSync;
use super::candidate::Candidate;
use crate::catalogue::Digest;
use crate::findings::Findings;
use crate::time::Time;
use core::time::Duration;
use std::collections::VecDeque;

/// Maximum number of rejected indexes to remember, so that they are neither fetched nor reported
/// repeatedly.
const MAX_REJECTED: usize = 16;

/// Maximum number of characters of the finding that is logged with a rejection.
const MAX_FIRST_CHARS: usize = 300;

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncCounters {
    /// Calls to the platform: reads and watches.
    pub platform_calls: u64,
    /// Indexes received from a peer, in full or as a delta.
    pub index_pulls: u64,
    /// Shards fetched from peers.
    pub shards_from_peers: u64,
    /// Shards read from the platform.
    pub shards_from_platform: u64,
    /// Shards whose digest differed from the one in the index, because the publisher was between
    /// two writes or the platform returned a stale value.
    pub digest_mismatches: u64,
    /// Indexes with a lower revision than the one in force.
    pub stale: u64,
    /// Indexes that were rejected.
    pub rejected: u64,
    /// Requested shards that could not be obtained in time.
    pub shards_unavailable: u64,
    /// Reads that waited for the budget.
    pub reads_deferred: u64,
}

/// Why an index was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The index or one of its shards is not valid.
    Findings(Findings),
    /// Another index with the same revision is in force.
    RevisionReused,
}

impl RejectionCause {
    /// Returns the number of findings.
    pub(super) fn findings(&self) -> u32 {
        match self {
            RejectionCause::Findings(findings) => findings.len() as u32,
            RejectionCause::RevisionReused => 1,
        }
    }

    /// Returns the first finding, with its place, as text of bounded length.
    pub(super) fn first(&self) -> String {
        match self {
            RejectionCause::Findings(findings) => {
                let text = findings.to_string();
                let first = text.lines().next().unwrap_or_default();
                first.chars().take(MAX_FIRST_CHARS).collect()
            }
            RejectionCause::RevisionReused => {
                "another catalogue of this revision is in force".to_owned()
            }
        }
    }
}

/// An index that was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The revision that it states, or 0 if none can be read.
    pub revision: u64,
    /// The digest of its bytes.
    pub digest: Digest,
    /// Why it was rejected.
    pub cause: RejectionCause,
}

/// The rejected indexes. Only the findings of the last one are kept.
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
        if self.digests.len() == MAX_REJECTED {
            self.digests.pop_front();
        }
        self.digests.push_back(rejection.digest);
        self.last = Some(rejection);
    }
}

/// The state of the catalogue at this instance, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct SyncStatus {
    /// The revision in force, or 0 if there is none.
    pub revision: u64,
    /// The digest of its index.
    pub digest: Option<Digest>,
    /// The revision that is being verified.
    pub candidate: Option<u64>,
    /// The number of its shards that are not verified yet.
    pub pending_shards: u32,
    /// How long its verification has been running.
    pub pending_for: Duration,
    /// The last rejection.
    pub rejection: Option<Rejection>,
    /// Whether this instance watches the platform.
    pub watcher: bool,
    /// Bytes of shards in use.
    pub shard_memory: usize,
    /// Bytes of shards kept for peers.
    pub kept_memory: usize,
    /// Counters since the start of the process.
    pub counters: SyncCounters,
}

impl CatalogueSync {
    /// Returns the last rejection, even if a valid revision came into force after it.
    pub fn rejection(&self) -> Option<&Rejection> {
        self.rejected.last.as_ref()
    }

    /// Returns the status for operators.
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
