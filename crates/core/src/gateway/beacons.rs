//! Beacons of the instances that watch the store, and which instances watch it.
//!
//! Two instances watch for all ([`WATCHERS`]). A few times a second each of them sends, in a beacon
//! that [`gossip`](super::gossip) spreads to the entire fleet, when the store last answered it and
//! what it knows. While the store answers neither, more and more other instances watch, in the
//! order of their rank. If all of them did so at once, 195 instances would call a store that does
//! not answer, and every call is billed.

use super::reader::{WATCHER_TIMEOUT, WATCHERS};
use super::revision::{Epoch, Revision};
use crate::ids::{Incarnation, stable_hash};
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Interval between two beacons of a watcher. One may be lost before its sender counts as
/// unanswered by the store.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(400);

/// How long a beacon's statement that records may be missing is valid.
const MAY_MISS_TTL: Duration = Duration::from_millis(1_500);

/// While the store answers no watcher, the number of watchers doubles after each such time.
const WIDEN_AFTER: Duration = Duration::from_millis(250);

/// Maximum number of watchers. If a store rejects nine calls in ten, at least one watcher is
/// answered in all but one of a thousand cases.
const MAX_WATCHERS: usize = 64;

/// A beacon of this age is removed.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The state of the store, as one watcher sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// The watcher.
    pub origin: SocketAddrV4,
    /// The watcher's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of its beacons.
    pub number: u64,
    /// Milliseconds since the store last answered it.
    pub store_age_ms: u32,
    /// The store revision up to which its replica is complete.
    pub revision: Revision,
    /// The digest of its replica.
    pub digest: u64,
    /// Whether the store may lack records that will come back.
    pub may_miss_records: bool,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedBeacon {
    beacon: Beacon,
    at: Time,
}

/// The last beacon of each instance that watches or did so recently.
#[derive(Clone, Debug, Default)]
pub struct Beacons {
    received: BTreeMap<SocketAddrV4, ReceivedBeacon>,
}

impl Beacons {
    /// Stores a beacon; returns whether it is new.
    pub fn on_beacon(&mut self, now: Time, beacon: Beacon) -> bool {
        let known = self.received.get(&beacon.origin).map(|it| it.beacon);
        let is_old = known
            .is_some_and(|it| it.incarnation == beacon.incarnation && it.number >= beacon.number);
        if is_old {
            return false;
        }
        self.received
            .insert(beacon.origin, ReceivedBeacon { beacon, at: now });
        true
    }

    /// Removes old beacons.
    pub fn tick(&mut self, now: Time) {
        self.received
            .retain(|_, it| now.since(it.at) < FORGET_AFTER);
    }

    /// Returns the instances that the store answered recently.
    pub fn recently_answered(&self, now: Time) -> impl Iterator<Item = SocketAddrV4> {
        self.answered(now).map(|it| it.beacon.origin)
    }

    fn answered(&self, now: Time) -> impl Iterator<Item = &ReceivedBeacon> {
        let received = self.received.values();
        received.filter(move |it| now.since(it.store_answered_at()) < WATCHER_TIMEOUT)
    }

    /// Returns whether a watcher that the store answers, in `epoch` or a later one, states that no
    /// records are missing.
    pub fn any_denies_missing_records(&self, now: Time, epoch: Epoch) -> bool {
        let mut answered = self.answered(now);
        answered.any(|it| !it.beacon.may_miss_records && it.beacon.revision.epoch >= epoch)
    }

    /// Returns a watcher that states that the store may lack records.
    pub fn states_missing_records(&self, now: Time) -> Option<SocketAddrV4> {
        let mut received = self.received.values();
        let stating =
            received.find(|it| it.beacon.may_miss_records && now.since(it.at) < MAY_MISS_TTL);
        stating.map(|it| it.beacon.origin)
    }

    /// Returns the last beacons.
    pub fn all(&self) -> impl Iterator<Item = &Beacon> {
        self.received.values().map(|it| &it.beacon)
    }

    /// Returns how many instances may watch, by rank. `since` is when this instance started.
    pub fn may_watch(&self, now: Time, since: Time) -> usize {
        let last = self
            .received
            .values()
            .map(ReceivedBeacon::store_answered_at)
            .max();
        let unanswered = now.since(last.unwrap_or(since).max(since));
        let beyond = unanswered.saturating_sub(WATCHER_TIMEOUT);
        if beyond.is_zero() {
            return WATCHERS;
        }
        let doublings = beyond.as_millis() / WIDEN_AFTER.as_millis() + 1;
        let doublings = u32::try_from(doublings)
            .unwrap_or(u32::MAX)
            .min(MAX_WATCHERS.ilog2());
        (WATCHERS << doublings).min(MAX_WATCHERS)
    }
}

impl Beacon {
    /// Returns when the store last answered the sender of a beacon that was received at `at`; `None`
    /// if it never did.
    pub(super) fn store_answered_at(&self, at: Time) -> Option<Time> {
        at.before(Duration::from_millis(self.store_age_ms.into()))
    }
}

impl ReceivedBeacon {
    fn store_answered_at(&self) -> Time {
        self.beacon.store_answered_at(self.at).unwrap_or(Time::ZERO)
    }
}

/// Returns the rank of an instance as a watcher; the lowest ranks watch. It is a hash, so that the
/// load does not follow the order of addresses.
pub fn watcher_rank(address: SocketAddrV4) -> (u64, SocketAddrV4) {
    let port = address.port().to_le_bytes();
    let hash = stable_hash(&[b"reader", &address.ip().octets(), &port]);
    (hash, address)
}
