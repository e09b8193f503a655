//! Reads and watches of the index.

use super::candidate::Origin;
use super::{CatalogueSync, SyncAction};
use crate::time::Time;
use crate::value::ValueName;
use core::time::Duration;

/// First reads of a fleet that starts at once are spread over so long.
const START_SPREAD: Duration = Duration::from_millis(500);

/// How long a new instance waits for the list, which says whom to ask. Without
/// a list it then reads the platform by itself.
const ROLES_GRACE: Duration = Duration::from_secs(5);

/// A node that is no watcher and has no catalogue reads the platform after
/// between one and two times this long.
const ALONE_GRACE: Duration = Duration::from_secs(15);

/// A node that is no watcher watches the platform about so often, in case its
/// watchers are dead or cut off and the list does not say so yet.
const SAFETY_INTERVAL: Duration = Duration::from_secs(120);

/// The shortest time between two watches, should the platform answer at once.
const WATCH_GAP: Duration = Duration::from_millis(100);

/// Every so many watches, a watcher reads the index whatever its revision: a
/// service restored from an older copy counts its revisions from below again,
/// and a watch above the old count would wait for ever.
const WATCHES_PER_READ: u32 = 24;

/// The first wait after a failure; doubles up to [`RETRY_MOST`].
const RETRY_FIRST: Duration = Duration::from_millis(250);
/// The longest wait after a failure.
const RETRY_MOST: Duration = Duration::from_secs(10);

/// A call that was not answered by then has failed. The shell's own limit is
/// shorter; this one covers an answer that got lost inside the process.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// The calls for the index; at most one is out.
#[derive(Debug)]
pub(super) struct IndexCalls {
    /// When to make the next call.
    due: Time,
    /// When the call that is out has failed, if one is.
    out_until: Option<Time>,
    /// The platform's revision of the index that was answered last.
    seen: u64,
    /// Watches since the last read.
    watches: u32,
    /// Failures in a row.
    failures: u32,
}

impl Default for IndexCalls {
    fn default() -> Self {
        IndexCalls {
            due: Time::NEVER,
            out_until: None,
            seen: 0,
            watches: 0,
            failures: 0,
        }
    }
}

impl IndexCalls {
    pub fn next_wake(&self) -> Time {
        self.out_until.unwrap_or(self.due)
    }
}

impl CatalogueSync {
    pub(super) fn begin_calls(&mut self, now: Time) {
        self.calls.due = now + ROLES_GRACE + self.jitter(ROLES_GRACE);
    }

    /// Plans the next call anew because the roles changed.
    pub(super) fn reschedule_calls(&mut self, now: Time, first: bool) {
        let delay = match (self.roles.is_watcher(), first) {
            (true, true) => self.jitter(START_SPREAD),
            (true, false) => WATCH_GAP,
            (false, true) => ALONE_GRACE + self.jitter(ALONE_GRACE),
            (false, false) => return,
        };
        let failing = self.calls.failures > 0;
        if !failing {
            let at = now + delay;
            self.calls.due = if first { at } else { self.calls.due.min(at) };
        }
    }

    pub(super) fn tick_calls(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        if self.calls.out_until.is_some_and(|until| until <= now) {
            self.index_call_failed(now);
        }
        if self.calls.out_until.is_none() && self.calls.due <= now {
            self.call_for_index(now, out);
        }
    }

    fn call_for_index(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        if let Err(wait) = self.budget.take(now) {
            self.counters.reads_deferred += 1;
            self.calls.due = now + wait;
            return;
        }
        self.counters.platform_calls += 1;
        self.calls.out_until = Some(now + ANSWER_LIMIT);
        let read = self.calls.seen == 0 || self.calls.watches >= WATCHES_PER_READ;
        if read {
            self.calls.watches = 0;
            out.push(SyncAction::Read(ValueName::CatalogueIndex));
        } else {
            self.calls.watches += 1;
            let above = self.calls.seen;
            out.push(SyncAction::WatchIndex { above });
        }
    }

    /// The platform answered a read or a watch.
    pub fn value(
        &mut self,
        now: Time,
        name: &ValueName,
        platform_revision: u64,
        bytes: &[u8],
        out: &mut Vec<SyncAction>,
    ) {
        match name {
            ValueName::CatalogueIndex => {
                self.calls.seen = platform_revision;
                self.index_call_answered(now);
                self.consider(now, bytes, Origin::Platform, out);
            }
            ValueName::CatalogueShard(number) => self.on_shard_value(now, *number, bytes, out),
            ValueName::Instances => debug_assert!(false, "the list is not the catalogue's"),
        }
    }

    /// The platform answered a watch: there is nothing newer.
    pub fn unchanged(&mut self, now: Time, name: &ValueName) {
        if *name == ValueName::CatalogueIndex {
            self.index_call_answered(now);
        }
    }

    /// The platform did not answer.
    pub fn failed(&mut self, now: Time, name: &ValueName, out: &mut Vec<SyncAction>) {
        match name {
            ValueName::CatalogueIndex => self.index_call_failed(now),
            ValueName::CatalogueShard(number) => self.on_shard_value_failed(now, *number, out),
            ValueName::Instances => debug_assert!(false, "the list is not the catalogue's"),
        }
    }

    fn index_call_answered(&mut self, now: Time) {
        self.calls.out_until = None;
        self.calls.failures = 0;
        let delay = match self.roles.is_watcher() {
            true => WATCH_GAP + self.jitter(WATCH_GAP),
            false => SAFETY_INTERVAL / 2 + self.jitter(SAFETY_INTERVAL),
        };
        self.calls.due = now + delay;
    }

    fn index_call_failed(&mut self, now: Time) {
        self.calls.out_until = None;
        let most = (RETRY_FIRST * (1 << self.calls.failures.min(6))).min(RETRY_MOST);
        self.calls.failures = self.calls.failures.saturating_add(1);
        self.calls.due = now + most / 2 + self.jitter(most / 2);
    }
}
