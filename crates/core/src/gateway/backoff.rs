//! Backoffs that endpoints request when they refuse a request: for that long they want no new
//! requests from this instance.
//!
//! A backoff concerns the instance that was refused. It is not gossiped: other instances may be
//! welcome at the endpoint, and what an instance sends must not grow with the number of instances.
//! A home therefore learns only which engines a request must not get.
//!
//! See `docs/design/endpoint-announcements.md`.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// The backoff of one endpoint.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    ends: Time,
    /// When the endpoint last refused a request, or was last granted to one.
    noticed: Time,
}

/// The backoffs of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Backoffs {
    backoffs: BTreeMap<EndpointKey, Backoff>,
}

impl Backoffs {
    /// Applies the backoff that an endpoint requests. It extends a previous one and never shortens
    /// it: refusals may be reordered.
    pub fn request(&mut self, now: Time, endpoint: EndpointKey, delay: Duration) {
        let ends = now + delay;
        let backoff = self.backoffs.entry(endpoint);
        let backoff = backoff.or_insert(Backoff { ends, noticed: now });
        backoff.ends = backoff.ends.max(ends);
        backoff.noticed = now;
    }

    /// Returns when the backoff of an endpoint ends, `None` if there is none.
    pub fn ends(&self, now: Time, endpoint: EndpointKey) -> Option<Time> {
        let ends = self.backoffs.get(&endpoint)?.ends;
        (now < ends).then_some(ends)
    }

    /// Returns whether an endpoint wants no new requests at the moment.
    pub fn is_active(&self, now: Time, endpoint: EndpointKey) -> bool {
        self.ends(now, endpoint).is_some()
    }

    /// Returns the endpoints that want no new requests at the moment.
    pub fn active(&self, now: Time) -> impl Iterator<Item = EndpointKey> {
        let backoffs = self.backoffs.iter();
        backoffs
            .filter(move |(_, it)| now < it.ends)
            .map(|(key, _)| *key)
    }

    /// Returns at most `most` endpoints that want no new requests, those noticed last first.
    pub fn last_noticed(&self, now: Time, most: usize) -> Vec<EndpointKey> {
        let mut active: Vec<_> = self.active(now).collect();
        active.sort_by_key(|key| core::cmp::Reverse(self.backoffs[key].noticed));
        active.truncate(most);
        active
    }

    /// Records that an endpoint was granted although it wants no requests.
    pub fn on_granted(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(backoff) = self.backoffs.get_mut(&endpoint) {
            backoff.noticed = now;
        }
    }

    /// Drops the backoffs of endpoints that no longer exist and those that have ended; returns the
    /// latter.
    pub fn tick(&mut self, now: Time, exists: impl Fn(EndpointKey) -> bool) -> Vec<EndpointKey> {
        let mut ended = Vec::new();
        self.backoffs.retain(|&key, backoff| {
            if !exists(key) {
                return false;
            }
            let has_ended = backoff.ends <= now;
            if has_ended {
                ended.push(key);
            }
            !has_ended
        });
        ended
    }
}
