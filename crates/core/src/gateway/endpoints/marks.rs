//! Which endpoints are known to leave, and when that is forgotten.
//!
//! Marks are kept in the order in which they are forgotten, so that finding the ones that are due
//! touches no other. An instance looks for them some twenty times a second, and a pass over all
//! endpoints each time takes more processor time than the rest of its work once there are
//! thousands.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, BTreeSet};

/// How long the state of an endpoint that left or is absent is kept after its record was removed.
pub(super) const GONE_RETENTION: Duration = Duration::from_secs(60);

/// How long it is remembered that an endpoint left, after its record was removed. An endpoint may
/// live on for long, and a store that comes back from a copy, or a delayed update, may hold a record
/// that still says ready.
const MARK_RETENTION: Duration = Duration::from_secs(3_600);

/// Bound on the endpoints that are known to leave and have no record; each takes some 100 bytes.
/// The ones whose record was removed first are forgotten first.
const MAX_MARKS: usize = 8_192;

/// What is remembered of an endpoint that is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingMark {
    /// When this instance learned that it is leaving.
    since: Time,
    /// When its record was removed, or when it was marked if it had none; `None` while it has one.
    removed_at: Option<Time>,
}

/// Endpoints that are known to leave.
///
/// Each of them is either in `standing` or, with the time in its mark, in `by_removal`; `retired`
/// are those of `by_removal` whose endpoint may still be known.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingMarks {
    marks: BTreeMap<EndpointKey, LeavingMark>,
    standing: BTreeSet<EndpointKey>,
    by_removal: BTreeSet<(Time, EndpointKey)>,
    retired: BTreeSet<(Time, EndpointKey)>,
}

impl LeavingMarks {
    /// Marks an endpoint unless it is marked; returns since when it is.
    pub(super) fn add(&mut self, now: Time, key: EndpointKey, has_record: bool) -> Time {
        if let Some(mark) = self.marks.get(&key) {
            return mark.since;
        }
        let mark = LeavingMark {
            since: now,
            removed_at: None,
        };
        self.marks.insert(key, mark);
        self.standing.insert(key);
        if !has_record {
            self.on_record_removed(now, key);
        }
        now
    }

    /// Records that the record of an endpoint stands. Its mark is kept for as long: an endpoint that
    /// does not reach the store cannot withdraw its record, and its next heartbeat would restore it
    /// if the mark were forgotten.
    pub(super) fn on_record(&mut self, key: EndpointKey) {
        let mark = self.marks.get_mut(&key);
        if let Some(at) = mark.and_then(|it| it.removed_at.take()) {
            self.by_removal.remove(&(at, key));
            self.retired.remove(&(at, key));
            self.standing.insert(key);
        }
    }

    /// Records that the record of an endpoint was removed.
    pub(super) fn on_record_removed(&mut self, now: Time, key: EndpointKey) {
        if !self.standing.remove(&key) {
            return;
        }
        if let Some(mark) = self.marks.get_mut(&key) {
            mark.removed_at = Some(now);
            self.by_removal.insert((now, key));
            self.retired.insert((now, key));
        }
    }

    /// Forgets the marks that are old or too many, and takes the endpoints of which nothing else
    /// need be kept any longer.
    pub(super) fn take_expired(&mut self, now: Time) -> Vec<EndpointKey> {
        let mut expired = Vec::new();
        while let Some(&(at, key)) = self.retired.first()
            && now.since(at) >= GONE_RETENTION
        {
            self.retired.pop_first();
            expired.push(key);
        }
        while let Some(&(at, key)) = self.by_removal.first()
            && (now.since(at) >= MARK_RETENTION || self.by_removal.len() > MAX_MARKS)
        {
            self.by_removal.pop_first();
            self.marks.remove(&key);
            if self.retired.remove(&(at, key)) {
                expired.push(key);
            }
        }
        expired
    }

    /// Returns whether an endpoint is known to leave.
    pub(super) fn contains(&self, key: EndpointKey) -> bool {
        self.marks.contains_key(&key)
    }

    /// Returns how many endpoints are known to leave.
    pub(super) fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns those whose record stands.
    pub(super) fn standing(&self) -> impl Iterator<Item = EndpointKey> {
        self.standing.iter().copied()
    }
}
