//! Records of the claims that one process grants.

use super::MAX_CLAIMS;
use super::claim::{ClaimId, HolderState, is_from_incarnation};
use crate::ids::{RequestId, WorkspaceKey};
use crate::outcome::PriorOutcome;
use crate::time::Time;
use crate::value::PeerId;
use core::time::Duration;
use indexmap::IndexMap;
use std::collections::BTreeSet;

/// State of a claimed name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimState {
    /// An issued ticket that no request has claimed.
    Free,
    /// Granted to a request that has not reported its end.
    Held(RequestId),
    /// Granted to a request that ended with this outcome.
    Ended(RequestId, PriorOutcome),
    /// Granted to a request whose process is gone.
    HolderGone(RequestId),
}

/// Record of one name and the request that may run under it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record {
    pub workspace: WorkspaceKey,
    /// Hash of the body that the name was claimed for; meaningless while the name is free.
    pub body_hash: u64,
    pub state: ClaimState,
    /// When the record is dropped, or its holder is considered gone.
    pub expires_at: Time,
}

/// The names that this process grants.
///
/// Invariant: `by_time` contains exactly the `expires_at` of every record.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimTable {
    records: IndexMap<ClaimId, Record>,
    by_time: BTreeSet<(Time, ClaimId)>,
}

impl ClaimTable {
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_full(&self) -> bool {
        self.records.len() >= MAX_CLAIMS
    }

    pub fn get(&self, id: ClaimId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// Stores a record and replaces an existing one under the same name.
    pub fn put(&mut self, id: ClaimId, record: Record) {
        self.remove(id);
        self.by_time.insert((record.expires_at, id));
        self.records.insert(id, record);
    }

    pub fn remove(&mut self, id: ClaimId) {
        if let Some(record) = self.records.swap_remove(&id) {
            self.by_time.remove(&(record.expires_at, id));
        }
    }

    pub fn next_expiry(&self) -> Time {
        self.by_time.first().map_or(Time::NEVER, |&(at, _)| at)
    }

    /// Drops the records that are due. If a holder has not reported in time, its record first
    /// becomes [`ClaimState::HolderGone`] and is kept for another `memory`.
    pub fn expire_due(&mut self, now: Time, memory: Duration) {
        while let Some(&(at, id)) = self.by_time.first()
            && at <= now
        {
            let record = self.records[&id];
            self.remove(id);
            if let ClaimState::Held(holder) = record.state {
                let state = ClaimState::HolderGone(holder);
                let expires_at = now + memory;
                self.put(
                    id,
                    Record {
                        state,
                        expires_at,
                        ..record
                    },
                );
            }
        }
    }

    /// Marks the claims held by an incarnation that has ended.
    pub fn incarnation_ended(&mut self, ended: PeerId, expires_at: Time) {
        let held_by = |record: &Record| match record.state {
            ClaimState::Held(holder) => is_from_incarnation(holder, ended).then_some(holder),
            _ => None,
        };
        let held: Vec<_> = self
            .records
            .iter()
            .filter_map(|(&id, record)| Some((id, *record, held_by(record)?)))
            .collect();
        for (id, record, holder) in held {
            let state = ClaimState::HolderGone(holder);
            self.put(
                id,
                Record {
                    state,
                    expires_at,
                    ..record
                },
            );
        }
    }
}

impl ClaimState {
    /// Returns the state after `holder` reported `state`, or `None` if the name becomes free.
    pub fn reported(holder: RequestId, state: HolderState) -> Option<Self> {
        match state {
            HolderState::Running => Some(ClaimState::Held(holder)),
            HolderState::NotRun => None,
            HolderState::Ended(prior) => Some(ClaimState::Ended(holder, prior)),
        }
    }
}
