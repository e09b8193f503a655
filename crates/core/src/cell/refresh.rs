//! Updates of the memory forecasts and of the index by free room.

use super::Cell;
use super::request::Requirement;
use crate::routing::prefix::EndpointIx;
use crate::time::Time;

/// Maximum number of due forecasts that are recomputed in one poll, to bound its duration.
const REFRESH_BATCH: usize = 16;

impl Cell {
    /// Recomputes the forecast of an endpoint if it is older than the refresh interval.
    pub(super) fn refresh_if_stale(&mut self, now: Time, ix: EndpointIx) {
        let age = now.since(self.endpoints[ix].refreshed);
        if age >= self.cfg.refresh_interval {
            self.endpoints[ix].refresh(now, &mut self.lengths);
            self.reindex(now, ix);
        }
    }

    pub(super) fn refresh_due(&mut self, now: Time) {
        for _ in 0..REFRESH_BATCH {
            match self.due.first().copied() {
                Some((at, ix)) if at <= now => {
                    self.endpoints[ix].refresh(now, &mut self.lengths);
                    self.reindex(now, ix);
                }
                _ => return,
            }
        }
    }

    /// Updates the free room and the next refresh time under which an endpoint is indexed.
    pub(super) fn reindex(&mut self, now: Time, ix: EndpointIx) {
        let endpoint = &mut self.endpoints[ix];
        let room = (!endpoint.is_leaving()).then(|| endpoint.room(now, &self.cfg));
        let due = match endpoint.changes_with_time(now) {
            true => now + self.cfg.refresh_interval,
            false => Time::NEVER,
        };
        let (from, before) = (endpoint.indexed, endpoint.due);
        endpoint.indexed = room;
        endpoint.due = due;
        if from != room {
            let endpoint = &self.endpoints[ix];
            self.index
                .set(ix, from, room, |needs| endpoint.meets(needs));
        }
        self.due.remove(&(before, ix));
        if due != Time::NEVER {
            self.due.insert((due, ix));
        }
        self.is_dirty = true;
    }

    pub(super) fn unindex(&mut self, ix: EndpointIx) {
        let from = self.endpoints[ix].indexed.take();
        self.index.set(ix, from, None, |_| true);
    }

    pub(super) fn ensure_indexed(&mut self, needs: Requirement) {
        if self.index.has(needs) {
            return;
        }
        let endpoints = &self.endpoints;
        let matching = self.by_key.values().copied();
        let matching = matching.filter(|ix| endpoints[*ix].meets(needs));
        let rooms = matching.filter_map(|ix| endpoints[ix].indexed.map(|room| (room, ix)));
        self.index.build(needs, rooms);
    }
}
