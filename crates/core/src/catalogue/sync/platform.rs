//! Reads and watches the index at the platform.

use super::candidate::Origin;
use super::{CatalogueSync, SyncAction};
use crate::time::Time;
use crate::value::ValueName;
use core::time::Duration;

/// Jitter of the first read, which spreads the reads of a fleet that starts at once.
const START_SPREAD: Duration = Duration::from_millis(500);

/// Time that a new instance waits for the list of instances, which determines its peers. Without a
/// list it then reads the platform itself.
const LIST_GRACE: Duration = Duration::from_secs(5);

/// An instance that is not a watcher and has no catalogue reads the platform after one to two times
/// this duration.
const NON_WATCHER_GRACE: Duration = Duration::from_secs(15);

/// Approximate interval of the watches by an instance that is not a watcher. They cover the case
/// that its watchers are down or partitioned and the list does not show it yet.
const SAFETY_INTERVAL: Duration = Duration::from_secs(120);

/// Minimum time between two watches, for a platform that responds immediately.
const WATCH_GAP: Duration = Duration::from_millis(100);

/// Number of watches after which the index is read regardless of its revision. A platform that was
/// restored from an older backup restarts its revisions from a lower number, and a watch above the
/// old number would wait forever.
const WATCHES_PER_READ: u32 = 24;

/// Initial backoff after a failure; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// Timeout of a call. The shell's own timeout is shorter; this one covers a response that is lost
/// inside the process.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The calls for the index. At most one is in flight.
#[derive(Debug)]
pub(super) struct IndexCalls {
    /// When to make the next call.
    due: Time,
    /// Deadline of the call in flight, if any.
    call_deadline: Option<Time>,
    /// The platform's revision of the index in the last response.
    seen: u64,
    /// Watches since the last read.
    watches: u32,
    /// Consecutive failures.
    failures: u32,
}

impl Default for IndexCalls {
    fn default() -> Self {
        IndexCalls {
            due: Time::NEVER,
            call_deadline: None,
            seen: 0,
            watches: 0,
            failures: 0,
        }
    }
}

impl IndexCalls {
    pub fn next_wake(&self) -> Time {
        self.call_deadline.unwrap_or(self.due)
    }
}

impl CatalogueSync {
    pub(super) fn begin_calls(&mut self, now: Time) {
        self.calls.due = now + LIST_GRACE + self.jitter(LIST_GRACE);
    }

    /// Reschedules the next call after a change of the roles.
    pub(super) fn reschedule_calls(&mut self, now: Time, first: bool) {
        let delay = match (self.roles.is_watcher(), first) {
            (true, true) => self.jitter(START_SPREAD),
            (true, false) => WATCH_GAP,
            (false, true) => NON_WATCHER_GRACE + self.jitter(NON_WATCHER_GRACE),
            (false, false) => return,
        };
        let failing = self.calls.failures > 0;
        if !failing {
            let at = now + delay;
            self.calls.due = if first { at } else { self.calls.due.min(at) };
        }
    }

    pub(super) fn tick_calls(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        if self.calls.call_deadline.is_some_and(|until| until <= now) {
            self.index_call_failed(now);
        }
        if self.calls.call_deadline.is_none() && self.calls.due <= now {
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
        self.calls.call_deadline = Some(now + CALL_TIMEOUT);
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

    /// Handles the platform's response to a read or a watch.
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
                self.index_call_succeeded(now);
                self.consider(now, bytes, Origin::Platform, out);
            }
            ValueName::CatalogueShard(number) => self.on_shard_value(now, *number, bytes, out),
            ValueName::Instances => debug_assert!(false, "the list is not the catalogue's"),
        }
    }

    /// Handles a watch that ended without a newer revision.
    pub fn unchanged(&mut self, now: Time, name: &ValueName) {
        if *name == ValueName::CatalogueIndex {
            self.index_call_succeeded(now);
        }
    }

    /// Handles a failed call to the platform.
    pub fn failed(&mut self, now: Time, name: &ValueName, out: &mut Vec<SyncAction>) {
        match name {
            ValueName::CatalogueIndex => self.index_call_failed(now),
            ValueName::CatalogueShard(number) => self.on_shard_value_failed(now, *number, out),
            ValueName::Instances => debug_assert!(false, "the list is not the catalogue's"),
        }
    }

    fn index_call_succeeded(&mut self, now: Time) {
        self.calls.call_deadline = None;
        self.calls.failures = 0;
        let delay = match self.roles.is_watcher() {
            true => WATCH_GAP + self.jitter(WATCH_GAP),
            false => SAFETY_INTERVAL / 2 + self.jitter(SAFETY_INTERVAL),
        };
        self.calls.due = now + delay;
    }

    fn index_call_failed(&mut self, now: Time) {
        self.calls.call_deadline = None;
        let most = (MIN_BACKOFF * (1 << self.calls.failures.min(6))).min(MAX_BACKOFF);
        self.calls.failures = self.calls.failures.saturating_add(1);
        self.calls.due = now + most / 2 + self.jitter(most / 2);
    }
}
