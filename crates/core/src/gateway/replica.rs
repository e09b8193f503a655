//! The records of the store, as far as this instance knows them.
//!
//! Records come from pages of the store, from its watches and from peers, in any order and more
//! than once. Each key keeps the highest revision, so that a late page, a stale read or a peer that
//! is behind never restores what was replaced.
//!
//! The replica mirrors the store. After the store has come back from an older copy, the replica
//! holds what the copy holds; what an instance believes beyond that is kept elsewhere:
//! `docs/design/store-epochs.md`.
//!
//! Endpoints write their records again with each heartbeat, 56 times a second where 67 of them do
//! so every 1.2 s. Only a change of a record's content is sent to peers and wakes waiting tasks.
//! Otherwise every instance would fetch, over a connection of its own and some fifty times a
//! second, records in which nothing changed but their time.

use super::revision::{Epoch, Revision};
use crate::ids::stable_hash;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Removed keys that are remembered, so that a page read earlier cannot restore them. Each takes
/// some 60 bytes; 4,096 removals are hours of changes.
const MAX_REMOVED: usize = 4_096;

/// One key of the store at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The revision of the store that wrote or removed it.
    pub revision: Revision,
    /// The value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

impl Record {
    /// Returns the approximate number of bytes in a message.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// A hash of a record's content: equal for two records of one key that differ only by a heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContentHash(u64);

impl ContentHash {
    /// The hash of a record that is removed, or that does not concern this product.
    pub const NOTHING: ContentHash = ContentHash(0);

    /// Returns the hash of a record whose content is `parts`.
    pub fn of(key: &str, parts: &[&[u8]]) -> Self {
        ContentHash(stable_hash(&[
            key.as_bytes(),
            &stable_hash(parts).to_le_bytes(),
        ]))
    }
}

/// How a record changes the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The key is known at this revision or a later one.
    Stale,
    /// The content is unchanged.
    Heartbeat,
    /// The content is new.
    Changed,
}

/// Records of the store that one instance sends another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreDelta {
    /// The revision up to which the sender's replica is complete.
    pub revision: Revision,
    /// Whether these are all records, so that a key that is missing was removed.
    pub is_full: bool,
    /// The records, removals included.
    pub records: Vec<Record>,
    /// The record of the sender's catalogue, if it is newer than the receiver's and not among the
    /// records.
    pub catalogue: Option<Record>,
}

impl StoreDelta {
    /// Returns the keys that exist according to a full delta. A removed one must not count: if the
    /// receiver had seen more of a lost history, it may know that key at a later revision than that
    /// of the removal.
    pub fn existing_keys(&self) -> BTreeMap<String, ()> {
        let existing = self.records.iter().filter(|it| it.value.is_some());
        existing.map(|it| (it.key.clone(), ())).collect()
    }
}

/// What an instance asks a peer for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeltaRequest {
    /// The revision up to which its replica is complete.
    pub after: Revision,
    /// The version of its catalogue in force; 0 if there is none.
    pub catalogue: u64,
}

/// A record at its latest known revision.
#[derive(Clone, Debug)]
struct KnownRecord {
    record: Record,
    hash: ContentHash,
    /// The revision at which its content last changed, as far as this replica saw.
    changed_at: Revision,
}

/// All known records.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    records: BTreeMap<String, KnownRecord>,
    /// The hashes of all records, combined.
    digest: u64,
    removed: usize,
    revision: Revision,
    /// From this revision on every change was seen, removals included.
    complete_since: Revision,
    /// The last revision that was known of the epoch before that of `revision`. The changes from
    /// any revision up to it are known; later ones of that epoch may be lost in the store's copy.
    last_of_previous_epoch: Option<Revision>,
    /// Whether the last full read held an item whose key could not be read, so that a record may be
    /// missing here that exists.
    may_lack_record: bool,
}

impl Replica {
    /// Returns the highest revision of the store up to which this replica is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether nothing was ever read.
    pub fn is_empty(&self) -> bool {
        self.revision == Revision::ZERO
    }

    /// Returns the record of a key at its latest known revision, which may be its removal.
    pub fn get(&self, key: &str) -> Option<&Record> {
        self.records.get(key).map(|it| &it.record)
    }

    /// Returns whether a key is known to exist.
    pub fn has(&self, key: &str) -> bool {
        let known = self.records.get(key);
        known.is_some_and(|it| it.record.value.is_some())
    }

    /// Returns whether the store was once read in full.
    pub fn is_complete(&self) -> bool {
        self.complete_since > Revision::ZERO
    }

    /// Returns a hash of the content of all records: equal where two replicas have the same
    /// content, however many heartbeats lie between their revisions.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns what a peer needs that is complete up to `after`: the changes since then if this
    /// replica saw all of them, and otherwise all records.
    ///
    /// If this replica may lack a record that exists, all records do not count as such: the peer would
    /// remove what it knows of that one. A peer that knows nothing has nothing to remove, and needs them
    /// to become ready.
    pub fn delta_since(&self, after: Revision) -> StoreDelta {
        let may_remove_existing = self.may_lack_record && after > Revision::ZERO;
        StoreDelta {
            revision: self.revision,
            is_full: self.may_have_missed_since(after) && !may_remove_existing,
            records: self.changed_since(after).cloned().collect(),
            catalogue: None,
        }
    }

    /// Returns the approximate number of bytes of [`Replica::delta_since`] `after`.
    pub fn delta_size(&self, after: Revision) -> usize {
        self.changed_since(after).map(Record::size).sum()
    }

    /// Returns whether this replica may have missed a change after `after`, which it has passed.
    fn may_have_missed_since(&self, after: Revision) -> bool {
        let is_continued = after.epoch >= self.revision.epoch
            || self
                .last_of_previous_epoch
                .is_some_and(|last| last.epoch == after.epoch && after <= last);
        after < self.complete_since || !is_continued
    }

    /// Returns the records whose content changed after `after`, or all of them if this replica may
    /// have missed some changes.
    fn changed_since(&self, after: Revision) -> impl Iterator<Item = &Record> {
        let floor = match self.may_have_missed_since(after) {
            true => Revision::ZERO,
            false => after,
        };
        let known = self.records.values();
        known
            .filter(move |it| it.changed_at > floor)
            .map(|it| &it.record)
    }

    /// Returns whether a later revision of a record is known.
    pub fn has_newer(&self, record: &Record) -> bool {
        let known = self.records.get(&record.key);
        known.is_some_and(|known| known.record.revision > record.revision)
    }

    /// Returns whether a record is newer than what is known of its key. Records of an epoch that
    /// this replica has left are not.
    pub fn is_newer(&self, record: &Record) -> bool {
        let known = self.records.get(&record.key);
        record.revision.epoch >= self.revision.epoch
            && known.is_none_or(|known| known.record.revision < record.revision)
    }

    /// Applies a record whose content has the hash `hash`.
    pub fn apply(&mut self, record: Record, hash: ContentHash) -> Applied {
        if !self.is_newer(&record) {
            return Applied::Stale;
        }
        let before = self.records.get(&record.key);
        let was_removed = before.is_none_or(|it| it.record.value.is_none());
        let old_hash = before.map_or(ContentHash::NOTHING, |it| it.hash);
        let is_heartbeat = match before {
            Some(it) => it.hash == hash && it.record.value.is_none() == record.value.is_none(),
            // It does not concern this product.
            None => hash == ContentHash::NOTHING && record.value.is_some(),
        };
        let changed = before.filter(|_| is_heartbeat).map(|it| it.changed_at);
        self.removed -= usize::from(before.is_some() && was_removed);
        self.removed += usize::from(record.value.is_none());
        self.digest ^= old_hash.0 ^ hash.0;
        let known = KnownRecord {
            hash,
            changed_at: changed.unwrap_or(record.revision),
            record,
        };
        self.records.insert(known.record.key.clone(), known);
        self.forget_old_removals();
        match is_heartbeat {
            true => Applied::Heartbeat,
            false => Applied::Changed,
        }
    }

    /// Records that the replica is complete up to `revision`.
    pub fn advance_to(&mut self, revision: Revision) {
        if revision.epoch > self.revision.epoch {
            self.enter_epoch(revision.epoch);
        }
        self.revision = self.revision.max(revision);
    }

    /// Gives the records that are unchanged in `epoch` a revision that precedes all others of it.
    ///
    /// With a revision of the earlier epoch they would be ignored by a peer that had seen more of
    /// that epoch. Their numbers in the new one are unknown.
    fn enter_epoch(&mut self, epoch: Epoch) {
        if !self.is_empty() {
            self.last_of_previous_epoch = Some(self.revision);
        }
        let first = Revision { epoch, number: 0 };
        for known in self.records.values_mut() {
            known.record.revision = known.record.revision.max(first);
        }
    }

    /// Records that the store was read in full, beginning at revision `began`.
    ///
    /// What changed since the last known revision shows in the read, so that a replica that was
    /// complete before still has all changes since then.
    pub fn finish_full_read(&mut self, began: Revision) {
        self.may_lack_record = false;
        self.complete_read(began);
    }

    /// Records that the store was read in full, beginning at revision `began`, and held an item whose
    /// key could not be read.
    ///
    /// Any record that the read lacks may be that item, and which one is unknown. A removal that is
    /// concluded wrongly takes a working endpoint out of use and moves what runs there, or lifts a
    /// cordon; one that is missed keeps a record until a later full read, and an endpoint that is gone
    /// is ejected as soon as it cannot be reached. So nothing is removed.
    pub fn finish_read_with_unreadable_key(&mut self, began: Revision) {
        self.may_lack_record = true;
        self.complete_read(began);
    }

    fn complete_read(&mut self, began: Revision) {
        if !self.is_complete() {
            self.complete_since = began;
        }
        self.advance_to(began);
    }

    /// Returns the removals that follow from a full read that began at revision `began`.
    ///
    /// Keys that were written before `began` and are not in `seen` were removed. A key that was
    /// written later may have missed the pages, so it is kept; the watch shows what became of it.
    pub fn removals_after_read(&self, seen: &BTreeMap<String, ()>, began: Revision) -> Vec<Record> {
        let known = self.records.values().map(|it| &it.record);
        known
            .filter(|it| it.value.is_some() && it.revision < began && !seen.contains_key(&it.key))
            .map(|it| Record {
                key: it.key.clone(),
                revision: began,
                value: None,
            })
            .collect()
    }

    fn forget_old_removals(&mut self) {
        if self.removed <= MAX_REMOVED {
            return;
        }
        let records = self.records.values().map(|it| &it.record);
        let removed = records.filter(|it| it.value.is_none());
        let mut revisions: Vec<Revision> = removed.map(|it| it.revision).collect();
        revisions.sort_unstable();
        let floor = revisions[revisions.len() / 2];
        // A peer that is behind the forgotten removals needs all records.
        self.complete_since = self.complete_since.max(floor);
        let is_kept = |it: &Record| it.value.is_some() || it.revision > floor;
        self.records.retain(|_, it| is_kept(&it.record));
        let records = self.records.values();
        self.removed = records.filter(|it| it.record.value.is_none()).count();
    }
}
