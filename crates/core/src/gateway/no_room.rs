//! Engines that recently refused a copy for lack of room.
//!
//! What homes know of an engine's KV cache is estimated, and an engine can be full although its home
//! has granted room there. All copies that wait would then fail at it one after the other.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// How long an engine that refused a copy is reported to homes. Within this time about one
/// generation in twenty ends, and estimates are corrected every half second.
pub const NO_ROOM_TTL: Duration = Duration::from_millis(300);

/// The engines that refused a copy of this instance within the last [`NO_ROOM_TTL`].
#[derive(Clone, Debug, Default)]
pub struct NoRoom {
    until: BTreeMap<EndpointKey, Time>,
}

impl NoRoom {
    /// Records that an engine refused a copy.
    pub fn record(&mut self, now: Time, engine: EndpointKey) {
        self.until.insert(engine, now + NO_ROOM_TTL);
    }

    /// Returns the engines that recently refused a copy.
    pub fn active(&self, now: Time) -> impl Iterator<Item = EndpointKey> {
        let active = self.until.iter().filter(move |(_, until)| now < **until);
        active.map(|(key, _)| *key)
    }

    /// Removes the engines that refused none recently; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.until.len();
        self.until.retain(|_, until| now < *until);
        self.until.len() < before
    }
}
