//! What the store published, as far as this instance knows it.
//!
//! Records come from pages of the store, from its watches and from peers, in
//! any order and more than once. Each key keeps the highest revision, so that a
//! late page, a stale read or a peer that lags never brings back what was
//! replaced. That is the whole of the rule that a configuration never steps back.
//!
//! Endpoints write their entries anew with each heartbeat, 56 times a second where 67
//! of them do so every 1.2 s. Only what changes the meaning of a record is news: it is
//! told to peers and wakes whoever waits. What goes wrong otherwise: every instance asks
//! a peer, over a connection of its own, for records in which nothing changed but their
//! time, some fifty times a second.

use crate::ids::stable_hash;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Removed keys that are remembered, so that a page read earlier cannot bring
/// them back. Each costs some 60 bytes; 4,096 removals are hours of change.
const MAX_REMOVED: usize = 4_096;

/// One key of the store at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The revision of the store that wrote or removed it.
    pub revision: u64,
    /// What was written; nothing if the key was removed.
    pub value: Option<Vec<u8>>,
}

impl Record {
    /// Returns about how many bytes it takes to tell.
    pub fn size(&self) -> usize {
        self.key.len() + self.value.as_ref().map_or(0, Vec::len)
    }
}

/// What a record means, as a hash: equal for two records of one key that differ in
/// nothing but a heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ContentHash(u64);

impl ContentHash {
    /// The mark of a record that is removed, or that does not concern this product.
    pub const NOTHING: ContentHash = ContentHash(0);

    /// Returns the mark of a record that means `parts`.
    pub fn of(key: &str, parts: &[&[u8]]) -> Self {
        ContentHash(stable_hash(&[
            key.as_bytes(),
            &stable_hash(parts).to_le_bytes(),
        ]))
    }
}

/// What a record that arrives is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// Its key is known at this revision or a later one.
    Stale,
    /// It means what is known already.
    Heartbeat,
    /// It means something else than what was known.
    Changed,
}

/// What one instance tells another of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreDelta {
    /// The revision up to which the teller knows everything.
    pub revision: u64,
    /// Whether these are all records, so that a key that is missing is gone.
    pub is_full: bool,
    /// The records, removals included.
    pub records: Vec<Record>,
}

/// A record as it was written last.
#[derive(Clone, Debug)]
struct KnownRecord {
    record: Record,
    hash: ContentHash,
    /// The revision at which its meaning changed last, as far as this replica saw.
    changed_at: u64,
}

/// All records known.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    records: BTreeMap<String, KnownRecord>,
    /// The marks of all records together.
    digest: u64,
    removed: usize,
    revision: u64,
    /// From here on every change was seen, removals included.
    complete_since: u64,
}

impl Replica {
    /// Returns the highest revision of the store up to which everything is known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns whether nothing was ever read.
    pub fn is_empty(&self) -> bool {
        self.revision == 0
    }

    /// Returns whether a key is known to be there.
    pub fn has(&self, key: &str) -> bool {
        let known = self.records.get(key);
        known.is_some_and(|it| it.record.value.is_some())
    }

    /// Returns whether everything was read once.
    pub fn is_complete(&self) -> bool {
        self.complete_since > 0
    }

    /// Returns a hash of the meaning of all records: equal where two replicas say the same,
    /// however many heartbeats lie between their revisions.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns what a peer needs that knows everything up to `after`: the changes since,
    /// if this replica saw all of them, and else everything.
    pub fn delta_since(&self, after: u64) -> StoreDelta {
        StoreDelta {
            revision: self.revision,
            is_full: after < self.complete_since,
            records: self.changed_since(after).cloned().collect(),
        }
    }

    /// Returns about how many bytes [`Replica::delta_since`] `after` holds.
    pub fn delta_size(&self, after: u64) -> usize {
        self.changed_since(after).map(Record::size).sum()
    }

    /// Returns the records whose meaning changed above `after`, or all of them if this
    /// replica may have missed some.
    fn changed_since(&self, after: u64) -> impl Iterator<Item = &Record> {
        let is_full = after < self.complete_since;
        let floor = if is_full { 0 } else { after };
        let known = self.records.values();
        known
            .filter(move |it| it.changed_at > floor)
            .map(|it| &it.record)
    }

    /// Returns whether a record is newer than what is known of its key.
    pub fn is_newer(&self, record: &Record) -> bool {
        let known = self.records.get(&record.key);
        known.is_none_or(|known| known.record.revision < record.revision)
    }

    /// Takes a record in, which means `mark`.
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

    /// Notes that everything up to `revision` is known.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Notes that everything was read, from revision `began` on.
    pub fn finish_full_read(&mut self, began: u64) {
        self.complete_since = self.complete_since.max(began);
        self.advance_to(began);
    }

    /// Ends a read of everything, which began at revision `began`.
    ///
    /// Returns the removals that follow: keys that were written before `began` and that
    /// `seen` does not name are gone. A key written later may
    /// have missed the pages, so it stays; the watch tells what became of it.
    pub fn removals_after_read(&self, seen: &BTreeMap<String, ()>, began: u64) -> Vec<Record> {
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
        let mut revisions: Vec<u64> = removed.map(|it| it.revision).collect();
        revisions.sort_unstable();
        let floor = revisions[revisions.len() / 2];
        let is_kept = |it: &Record| it.value.is_some() || it.revision > floor;
        self.records.retain(|_, it| is_kept(&it.record));
        let records = self.records.values();
        self.removed = records.filter(|it| it.record.value.is_none()).count();
    }
}
