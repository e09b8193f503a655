//! What the store published, as far as this instance knows it.
//!
//! Records come from pages of the store, from its watches and from peers, in
//! any order and more than once. Each key keeps the highest revision, so that a
//! late page, a stale read or a peer that lags never brings back what was
//! replaced. That is the whole of the rule that a configuration never steps back.

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

/// What one instance tells another of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The revision up to which the teller knows everything.
    pub revision: u64,
    /// Whether these are all records, so that a key that is missing is gone.
    pub whole: bool,
    /// The records, removals included.
    pub records: Vec<Record>,
}

/// All records known.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    records: BTreeMap<String, Record>,
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

    /// Returns what a peer needs that knows everything up to `after`: the changes since,
    /// if this replica saw all of them, and else everything.
    pub fn news_for(&self, after: u64) -> News {
        let whole = after < self.complete_since;
        let floor = if whole { 0 } else { after };
        let records = self.records.values();
        News {
            revision: self.revision,
            whole,
            records: records.filter(|it| it.revision > floor).cloned().collect(),
        }
    }

    /// Returns about how many bytes [`Replica::news_for`] `after` holds.
    pub fn news_size(&self, after: u64) -> usize {
        let floor = if after < self.complete_since {
            0
        } else {
            after
        };
        let news = self.records.values().filter(|it| it.revision > floor);
        news.map(Record::size).sum()
    }

    /// Takes a record in; returns whether it is news.
    pub fn apply(&mut self, record: Record) -> bool {
        if let Some(known) = self.records.get(&record.key) {
            if known.revision >= record.revision {
                return false;
            }
            self.removed -= usize::from(known.value.is_none());
        }
        self.removed += usize::from(record.value.is_none());
        self.records.insert(record.key.clone(), record);
        self.forget_old_removals();
        true
    }

    /// Notes that everything up to `revision` is known.
    pub fn reached(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Notes that everything was read, from revision `began` on.
    pub fn read_whole(&mut self, began: u64) {
        self.complete_since = self.complete_since.max(began);
        self.reached(began);
    }

    /// Ends a read of everything, which began at revision `began`.
    ///
    /// Returns the removals that follow: keys that were written no later than
    /// `began` and that `seen` does not name are gone. A key written later may
    /// have missed the pages, so it stays; the watch tells what became of it.
    pub fn missing_from(&self, seen: &BTreeMap<String, ()>, began: u64) -> Vec<Record> {
        let known = self.records.values();
        known
            .filter(|it| it.value.is_some() && it.revision <= began && !seen.contains_key(&it.key))
            .map(|it| Record {
                key: it.key.clone(),
                revision: began,
                value: None,
            })
            .filter(|removal| {
                let known = &self.records[&removal.key];
                known.revision < removal.revision
            })
            .collect()
    }

    fn forget_old_removals(&mut self) {
        if self.removed <= MAX_REMOVED {
            return;
        }
        let removed = self.records.values().filter(|it| it.value.is_none());
        let mut revisions: Vec<u64> = removed.map(|it| it.revision).collect();
        revisions.sort_unstable();
        let floor = revisions[revisions.len() / 2];
        self.records
            .retain(|_, it| it.value.is_some() || it.revision > floor);
        self.removed = self
            .records
            .values()
            .filter(|it| it.value.is_none())
            .count();
    }
}
