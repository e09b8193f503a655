//! What those say that watch the store, and who watches.
//!
//! Two instances watch for all ([`WATCHERS`]). A few times a second each of them says when
//! the store last answered it and what it knows, in a beacon that [`gossip`](super::gossip)
//! takes to everybody. Where the store answers neither, more and more others watch, in the
//! order of their rank. What goes wrong if all of them do at once: 195 instances ask a store
//! that is silent, and pay for each call.

use super::reader::{WATCHER_TIMEOUT, WATCHERS};
use crate::ids::{Incarnation, stable_hash};
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The time between two beacons of an instance that watches the store. One may be lost
/// before its sender counts as not answered.
pub const BEACON_INTERVAL: Duration = Duration::from_millis(400);

/// How long what a beacon says about entries that may be missing is believed.
const MAY_MISS_TTL: Duration = Duration::from_millis(1_500);

/// After this time twice as many instances watch as before, while the store answers none.
const WIDEN_AFTER: Duration = Duration::from_millis(250);

/// The most instances that watch. A store that turns away nine of ten is heard by one of
/// them in all but one of a thousand cases.
const MAX_WATCHERS: usize = 64;

/// A beacon that is so old says nothing any more.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What an instance says that watches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// The instance that says so.
    pub origin: SocketAddrV4,
    /// Its life.
    pub incarnation: Incarnation,
    /// Counts its beacons.
    pub number: u64,
    /// Milliseconds since the store answered it last.
    pub store_age_ms: u32,
    /// The store's revision up to which it knows everything.
    pub revision: u64,
    /// What that comes to.
    pub digest: u64,
    /// Whether entries may be missing from the store and come back.
    pub may_miss_records: bool,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedBeacon {
    beacon: Beacon,
    at: Time,
}

/// The last beacon of each instance that watches or did so lately.
#[derive(Clone, Debug, Default)]
pub struct Beacons {
    received: BTreeMap<SocketAddrV4, ReceivedBeacon>,
}

impl Beacons {
    /// Takes a beacon in; returns whether it was not heard before.
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

    /// Forgets beacons that say nothing any more.
    pub fn tick(&mut self, now: Time) {
        self.received
            .retain(|_, it| now.since(it.at) < FORGET_AFTER);
    }

    /// Returns the instances that the store answered lately.
    pub fn recently_answered(&self, now: Time) -> impl Iterator<Item = SocketAddrV4> {
        let received = self.received.values();
        received
            .filter(move |it| now.since(it.store_answered_at()) < WATCHER_TIMEOUT)
            .map(|it| it.beacon.origin)
    }

    /// Returns whether entries may be missing from the store, as one that watches says.
    pub fn any_may_miss_records(&self, now: Time) -> bool {
        let mut received = self.received.values();
        received.any(|it| it.beacon.may_miss_records && now.since(it.at) < MAY_MISS_TTL)
    }

    /// Returns the last beacons.
    pub fn all(&self) -> impl Iterator<Item = &Beacon> {
        self.received.values().map(|it| &it.beacon)
    }

    /// Returns how many instances may watch, by rank. `since` is when this instance began.
    pub fn may_watch(&self, now: Time, since: Time) -> usize {
        let last = self
            .received
            .values()
            .map(ReceivedBeacon::store_answered_at)
            .max();
        let silent = now.since(last.unwrap_or(since).max(since));
        let beyond = silent.saturating_sub(WATCHER_TIMEOUT);
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

impl ReceivedBeacon {
    fn store_answered_at(&self) -> Time {
        let age = Duration::from_millis(self.beacon.store_age_ms.into());
        self.at.before(age).unwrap_or(Time::ZERO)
    }
}

/// Returns the rank of an instance among readers; the lowest reads first. A hash, so
/// that the load does not follow the order of addresses.
pub fn watcher_rank(address: SocketAddrV4) -> (u64, SocketAddrV4) {
    let port = address.port().to_le_bytes();
    let hash = stable_hash(&[b"reader", &address.ip().octets(), &port]);
    (hash, address)
}
