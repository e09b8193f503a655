//! What this instance believes beyond the store's records, and how it follows the store from one
//! epoch into the next.
//!
//! A store that comes back from a copy lacks what was written since, until the writers write it
//! again. The replica mirrors the copy; the catalogue in force, the endpoints that are known to
//! leave and the cordons stay what they were. `docs/design/store-epochs.md` says when each of these
//! beliefs ends.

use super::Gateway;
use crate::gateway::cordons::Cordon;
use crate::gateway::gossip::{GossipItems, MAX_ITEMS};
use crate::gateway::reader::{
    EpochObservation, NextPage, PEER_CHECK_INTERVAL, SETTLE_TIME, StatedEpoch, WATCHERS,
};
use crate::gateway::replica::{DeltaRequest, Record, StoreDelta};
use crate::gateway::revision::Epoch;
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;

/// How long an instance that has just started waits for its first peer before it reads further
/// pages: several round trips to one of its seeds, also on a machine with little processor time.
const JOIN_TIME: Duration = Duration::from_millis(150);

impl Gateway {
    /// Records the epoch of an answer to a call that was made when `known` was the latest epoch;
    /// returns what it means.
    ///
    /// The first watchers read a store that came back from a copy at once. The others learn its
    /// records from them, or read it a moment later: after an outage many instances watch, and if
    /// all of them read everything at once, the store could not answer.
    pub fn observe_store_epoch(
        &mut self,
        now: Time,
        known: Epoch,
        stated: StatedEpoch,
    ) -> EpochObservation {
        let observed = self.reader.observe_epoch(known, stated);
        if matches!(observed, EpochObservation::Advanced { .. }) && !self.replica.is_empty() {
            self.reader.begin_epoch(now);
            if self.rank() >= WATCHERS {
                self.reader.yield_to_watchers(now);
            }
        }
        observed
    }

    /// Returns what to do after a page of a full read that began when this replica was complete or
    /// not.
    ///
    /// The pages of a large deployment are dozens of calls, which are billed and rate-limited. An
    /// instance that starts beside others gets its records from one of them, and reads on only if
    /// they do not send them in time.
    pub fn next_page(&self, now: Time, was_complete: bool) -> NextPage {
        if was_complete {
            return NextPage::Read;
        }
        if self.replica.is_complete() {
            return NextPage::Complete;
        }
        let may_join = !self.members.has_joined() && now.since(self.started) < JOIN_TIME;
        match may_join || self.catch_up.awaits_peer(now) {
            true => NextPage::Wait(PEER_CHECK_INTERVAL),
            false => NextPage::Read,
        }
    }

    /// Records the epoch of a peer's records; returns the epoch that was known before if it is
    /// later.
    pub fn observe_peer_epoch(&mut self, now: Time, epoch: Epoch) -> Option<Epoch> {
        let before = self.reader.epoch();
        if !self.reader.observe_peer_epoch(epoch) {
            return None;
        }
        if !self.replica.is_empty() {
            self.reader.begin_epoch(now);
        }
        Some(before)
    }

    /// Returns the version of the catalogue in force; 0 if there is none.
    pub fn catalogue_version(&self) -> u64 {
        self.catalogue.as_ref().map_or(0, |it| it.version())
    }

    /// Records that the record under `key` replaced `previous`, and whether its catalogue is now in
    /// force.
    ///
    /// The record of the catalogue in force is kept while the store holds another one, for
    /// instances that start meanwhile: they would serve by the store's otherwise.
    pub fn on_catalogue_record(&mut self, key: &str, previous: Option<Record>, is_in_force: bool) {
        if self.catalogue_key.is_none() {
            self.catalogue_key = Some(key.to_owned());
        }
        if is_in_force {
            self.retained_catalogue = None;
        } else if self.retained_catalogue.is_none() && self.catalogue.is_some() {
            self.retained_catalogue = previous;
        }
    }

    /// Records that the catalogue of a peer's record is in force, while the replica holds another
    /// one.
    pub fn retain_catalogue(&mut self, record: Record) {
        self.catalogue_key.get_or_insert_with(|| record.key.clone());
        self.retained_catalogue = Some(record);
    }

    /// Returns the record of the catalogue in force.
    fn catalogue_record(&self) -> Option<&Record> {
        let in_replica = || self.replica.get(self.catalogue_key.as_deref()?);
        self.retained_catalogue.as_ref().or_else(in_replica)
    }

    /// Returns the records that a peer requests.
    pub fn delta_for(&self, request: DeltaRequest) -> StoreDelta {
        let mut delta = self.replica.delta_since(request.after);
        delta.catalogue = self
            .catalogue_for(request)
            .filter(|it| !delta.records.contains(it))
            .cloned();
        delta
    }

    /// Returns the approximate number of bytes of [`Gateway::delta_for`] a request.
    pub fn delta_size(&self, request: DeltaRequest) -> usize {
        let catalogue = self.catalogue_for(request).map_or(0, Record::size);
        self.replica.delta_size(request.after).max(catalogue)
    }

    fn catalogue_for(&self, request: DeltaRequest) -> Option<&Record> {
        let is_later = self.catalogue_version() > request.catalogue;
        self.catalogue_record().filter(|_| is_later)
    }

    /// Returns what this instance requests from a peer.
    pub fn delta_request(&self) -> DeltaRequest {
        DeltaRequest {
            after: self.replica.revision(),
            catalogue: self.catalogue_version(),
        }
    }

    /// Returns whether the store may lack cordons that its operator writes again. An instance that
    /// has just started does not know when the epoch began.
    pub(super) fn may_lack_cordons(&self, now: Time) -> bool {
        self.may_miss_records(now) || now.since(self.started) < SETTLE_TIME
    }

    /// Returns the cordons of earlier epochs that may be lifted unless the store has them.
    pub fn overdue_cordons(&self, now: Time) -> Vec<Cordon> {
        if self.may_lack_cordons(now) {
            return Vec::new();
        }
        let epoch = self.replica.revision().epoch;
        self.endpoints.cordons().closed_before(epoch)
    }

    /// Returns what an instance that has just started cannot learn from the store: the cordons that
    /// its copy lacks, and the endpoints that it holds although they are leaving.
    pub(super) fn beliefs_beyond_store(&self) -> Vec<GossipItems> {
        let epoch = self.replica.revision().epoch;
        let cordons = self.endpoints.cordons().closed_before(epoch);
        let leaving: Vec<EndpointKey> = self.endpoints.leaving_with_ready_record().collect();
        let cordons = cordons.chunks(MAX_ITEMS).map(|it| GossipItems {
            cordons: it.to_vec(),
            ..GossipItems::default()
        });
        let leaving = leaving.chunks(MAX_ITEMS).map(|it| GossipItems {
            leaving: it.to_vec(),
            ..GossipItems::default()
        });
        cordons.chain(leaving).collect()
    }
}
