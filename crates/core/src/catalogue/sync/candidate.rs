//! Candidate revisions and the conditions under which they come into force.
//!
//! There are at most two candidates. One is *proposed* by the platform and requires the
//! verification of all its shards at this instance. The other is *adopted* from a peer where it is
//! in force, and requires only the shards in use here. They are independent: a proposal whose
//! shards are not published yet must not delay the revision that the rest of the fleet already
//! uses.

use super::message::{CatalogueMessage, ShardId};
use super::status::{Rejection, RejectionCause};
use super::{CatalogueSync, Former, Held, SyncAction, SyncChange, shard_id, shard_id_or_other};
use crate::catalogue::{Catalogue, Digest, parse_index, stated_revision};
use crate::findings::Findings;
use crate::note::Note;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Maximum wait of an adopted revision for the shards in use here. Shards that are still missing
/// after it are fetched on demand.
pub const ACCEPT_LIMIT: Duration = Duration::from_secs(3);

/// Time after which a proposal that waits for its shards is reported. The publisher may have failed
/// between two writes, and nothing else would show it.
pub const WAITING_LIMIT: Duration = Duration::from_secs(10);

/// Maximum total size of the earlier indexes that are kept to compute deltas for peers.
const HISTORY_BYTES: usize = 256 * 1024;

/// The source of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The platform; possibly no instance has verified the revision yet.
    Platform,
    /// A peer that has the revision in force, so that the peer or an instance before it has
    /// verified it.
    Peer,
}

/// A revision that is not in force yet.
#[derive(Debug)]
pub(super) struct Candidate {
    pub held: Held,
    /// Shards that must be verified before it comes into force.
    pub pending: BTreeSet<u32>,
    /// When it became a candidate.
    pub since: Time,
    /// Whether its wait was reported to operators.
    reported: bool,
}

impl Candidate {
    pub fn revision(&self) -> u64 {
        self.held.catalogue.revision()
    }

    fn digest(&self) -> Digest {
        self.held.catalogue.digest()
    }

    pub fn lists(&self, id: ShardId) -> bool {
        shard_id_or_other(&self.held.catalogue, id.number) == id
    }
}

/// The candidates.
#[derive(Debug, Default)]
pub(super) struct Candidates {
    proposed: Option<Candidate>,
    adopted: Option<Candidate>,
}

impl Candidates {
    pub fn next_wake(&self) -> Time {
        let adopted = self.adopted.as_ref();
        let accept = adopted.map_or(Time::NEVER, |it| it.since + ACCEPT_LIMIT);
        let unreported = self.proposed.as_ref().filter(|it| !it.reported);
        let report = unreported.map_or(Time::NEVER, |it| it.since + WAITING_LIMIT);
        accept.min(report)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Candidate> {
        self.adopted.iter().chain(&self.proposed)
    }

    fn iter_mut(&mut self) -> impl Iterator<Item = &mut Candidate> {
        self.adopted.iter_mut().chain(&mut self.proposed)
    }

    /// Returns whether a candidate lists the shard.
    pub fn list(&self, id: ShardId) -> bool {
        self.iter().any(|candidate| candidate.lists(id))
    }

    /// Returns the adopted revision, or 0 if there is none.
    pub fn adopted_revision(&self) -> u64 {
        self.adopted.as_ref().map_or(0, Candidate::revision)
    }

    /// Returns whether a candidate with `revision` replaces the present one of the same origin.
    ///
    /// The publisher may correct a proposal without a new revision as long as it is not in force at
    /// any instance.
    fn is_replaced_by(&self, origin: Origin, revision: u64) -> bool {
        match origin {
            Origin::Platform => {
                let proposed = self.proposed.as_ref();
                proposed.is_none_or(|it| it.revision() <= revision)
                    && self.adopted_revision() < revision
            }
            Origin::Peer => self.adopted_revision() < revision,
        }
    }

    fn take_ready(&mut self, now: Time, may_propose: bool) -> Option<Candidate> {
        let verified = |it: &mut Candidate| may_propose && it.pending.is_empty();
        let adopted = self
            .adopted
            .take_if(|it| it.pending.is_empty() || it.since + ACCEPT_LIMIT <= now);
        adopted.or_else(|| self.proposed.take_if(verified))
    }

    fn drop_up_to(&mut self, revision: u64) {
        self.adopted.take_if(|it| it.revision() <= revision);
        self.proposed.take_if(|it| it.revision() <= revision);
    }
}

impl CatalogueSync {
    /// Handles an index received from the platform or a peer.
    pub(super) fn consider(
        &mut self,
        now: Time,
        bytes: &[u8],
        origin: Origin,
        out: &mut Vec<SyncAction>,
    ) {
        let digest = Digest::of(bytes);
        if self.catalogue().is_some_and(|it| it.digest() == digest) {
            return;
        }
        if self.is_candidate(digest) {
            return match origin {
                Origin::Platform => {}
                Origin::Peer => self.adopt_proposed(now, digest, out),
            };
        }
        if self.rejected.contains(digest) {
            return;
        }
        match parse_index(bytes) {
            Ok(catalogue) => self.consider_valid(now, catalogue, bytes, origin, out),
            Err(findings) => {
                let rejection = Rejection {
                    revision: stated_revision(bytes),
                    digest,
                    cause: RejectionCause::Findings(findings),
                };
                self.reject(rejection, out);
            }
        }
    }

    pub(super) fn is_candidate(&self, digest: Digest) -> bool {
        self.candidates.iter().any(|it| it.digest() == digest)
    }

    fn consider_valid(
        &mut self,
        now: Time,
        catalogue: Catalogue,
        bytes: &[u8],
        origin: Origin,
        out: &mut Vec<SyncAction>,
    ) {
        let revision = catalogue.revision();
        if revision < self.revision() {
            self.counters.stale += 1;
            out.push(SyncAction::Note(Note::CatalogueStale { revision }));
            return;
        }
        if revision == self.revision() {
            // Two indexes have the same revision. The first one stays, or the catalogue would
            // change without a change of its revision.
            let rejection = Rejection {
                revision,
                digest: catalogue.digest(),
                cause: RejectionCause::RevisionReused,
            };
            return self.reject(rejection, out);
        }
        if self.candidates.is_replaced_by(origin, revision) {
            let held = Held {
                catalogue: Arc::new(catalogue),
                bytes: bytes.into(),
            };
            self.set_candidate(now, held, origin, out);
        }
    }

    fn set_candidate(&mut self, now: Time, held: Held, origin: Origin, out: &mut Vec<SyncAction>) {
        let pending = self.missing_shards(now, &held.catalogue, origin);
        let catalogue = held.catalogue.clone();
        let candidate = Candidate {
            held,
            pending: pending.clone(),
            since: now,
            reported: false,
        };
        match origin {
            Origin::Platform => self.candidates.proposed = Some(candidate),
            Origin::Peer => self.candidates.adopted = Some(candidate),
        }
        self.prune_fetches();
        let recent: BTreeSet<u32> = self.store.recent(now).collect();
        for number in pending {
            let id = shard_id(&catalogue, number);
            if !self.candidates.list(id) {
                // A shard that this instance already holds has caused its rejection.
                break;
            }
            self.fetch_for_candidate(now, id, recent.contains(&number), out);
        }
        self.advance_fetches(now, out);
        self.try_accept(now, out);
    }

    /// Returns the shards that must be verified before a catalogue from this source may come into
    /// force.
    fn missing_shards(&self, now: Time, catalogue: &Catalogue, origin: Origin) -> BTreeSet<u32> {
        let count = catalogue.shard_count();
        let is_verified = |number: &u32| self.verified.contains(&shard_id(catalogue, *number));
        let is_held = |number: &u32| self.store.contains(shard_id(catalogue, *number));
        match origin {
            Origin::Platform => (0..count).filter(|it| !is_verified(it)).collect(),
            Origin::Peer => {
                let recent = self.store.recent(now).filter(|it| *it < count);
                recent.filter(|it| !is_held(it)).collect()
            }
        }
    }

    /// Turns the proposed revision into the adopted one, because a peer has it in force.
    pub(super) fn adopt_proposed(&mut self, now: Time, digest: Digest, out: &mut Vec<SyncAction>) {
        let proposed = &mut self.candidates.proposed;
        if let Some(candidate) = proposed.take_if(|it| it.digest() == digest) {
            self.set_candidate(now, candidate.held, Origin::Peer, out);
        }
    }

    /// Handles the verification of a shard.
    pub(super) fn settle_pending(&mut self, id: ShardId) {
        for candidate in self.candidates.iter_mut() {
            if candidate.lists(id) {
                candidate.pending.remove(&id.number);
            }
        }
    }

    pub(super) fn tick_candidates(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        self.try_accept(now, out);
        let Some(waiting) = &mut self.candidates.proposed else {
            return;
        };
        if !waiting.reported && waiting.since + WAITING_LIMIT <= now {
            waiting.reported = true;
            out.push(SyncAction::Note(Note::CatalogueWaiting {
                revision: waiting.revision(),
                shards: waiting.pending.len() as u32,
            }));
        }
    }

    pub(super) fn try_accept(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        // Otherwise a new instance could start with a revision from a stale platform that is older
        // than the one of the process that it replaces.
        let may_propose = !self.pulls.in_initial_pulls();
        while let Some(candidate) = self.candidates.take_ready(now, may_propose) {
            if candidate.revision() > self.revision() {
                self.put_in_force(now, candidate.held, out);
            }
        }
    }

    fn put_in_force(&mut self, now: Time, held: Held, out: &mut Vec<SyncAction>) {
        let catalogue = held.catalogue.clone();
        if let Some(before) = self.in_force.replace(held) {
            self.remember(before);
        }
        let revision = catalogue.revision();
        self.candidates.drop_up_to(revision);
        self.forget_unlisted();
        self.settle_pulls();
        out.push(SyncAction::Note(Note::CatalogueAccepted { revision }));
        out.push(SyncAction::Changed(SyncChange::InForce { revision }));
        let digest = catalogue.digest();
        for to in self.roles.announce_to() {
            let message = CatalogueMessage::InForce { revision, digest };
            out.push(SyncAction::Send { to, message });
        }
        self.advance_fetches(now, out);
    }

    /// Drops all state of shards that neither the catalogue in force nor a candidate lists.
    fn forget_unlisted(&mut self) {
        let in_force = self.catalogue().cloned();
        let candidates = &self.candidates;
        let is_listed = |id: ShardId| {
            let in_force = in_force.as_ref();
            in_force.is_some_and(|it| shard_id_or_other(it, id.number) == id) || candidates.list(id)
        };
        self.store.retain(is_listed);
        self.verified.retain(|id| is_listed(*id));
        self.prune_fetches();
    }

    fn remember(&mut self, before: Held) {
        self.history.push_back(Former {
            digest: before.catalogue.digest(),
            bytes: before.bytes,
        });
        let mut bytes: usize = self.history.iter().map(|former| former.bytes.len()).sum();
        while bytes > HISTORY_BYTES {
            let oldest = self.history.pop_front();
            bytes -= oldest.map_or(bytes, |former| former.bytes.len());
        }
    }

    fn reject(&mut self, rejection: Rejection, out: &mut Vec<SyncAction>) {
        self.counters.rejected += 1;
        out.push(SyncAction::Note(Note::CatalogueRejected {
            revision: rejection.revision,
            findings: rejection.cause.findings(),
            first: rejection.cause.first(),
        }));
        self.rejected.insert(rejection);
    }

    /// Rejects the candidates that list an invalid shard.
    pub(super) fn reject_listing(
        &mut self,
        id: ShardId,
        findings: &Findings,
        out: &mut Vec<SyncAction>,
    ) {
        let adopted = self.candidates.adopted.take_if(|it| it.lists(id));
        let proposed = self.candidates.proposed.take_if(|it| it.lists(id));
        for candidate in adopted.into_iter().chain(proposed) {
            let revision = candidate.revision();
            let rejection = Rejection {
                revision,
                digest: candidate.digest(),
                cause: RejectionCause::Findings(findings.clone()),
            };
            self.reject(rejection, out);
        }
        self.prune_fetches();
    }
}
