//! Cache events: which blocks of prompt prefixes the engine holds.
//!
//! Only the latest events are kept, so a slow reader meets gaps, as with real
//! engines.

use serde::Serialize;
use std::collections::VecDeque;

/// Events that are kept for readers; older ones are a gap.
const KEPT_EVENTS: usize = 256;

/// A batch of cache events.
#[derive(Debug, Default, PartialEq, Eq, Serialize)]
pub struct CacheEvents {
    /// Where the next read goes on.
    pub next: u64,
    /// Whether events before this batch are gone.
    pub gap: bool,
    /// Blocks now held.
    pub stored: Vec<u64>,
    /// Blocks no longer held.
    pub evicted: Vec<u64>,
}

/// A change of what the cache holds.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// A block is held from now on.
    Stored(u64),
    /// A block is no longer held.
    Evicted(u64),
}

/// The latest changes.
#[derive(Debug, Default)]
pub struct CacheLog {
    events: VecDeque<(u64, Change)>,
    next: u64,
}

impl CacheLog {
    /// Adds a change.
    pub fn push(&mut self, change: Change) {
        self.events.push_back((self.next, change));
        self.next += 1;
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the changes from sequence number `after` on.
    pub fn events_after(&self, after: u64) -> CacheEvents {
        let oldest = self.events.front().map_or(self.next, |(seq, _)| *seq);
        let mut batch = CacheEvents {
            next: self.next,
            gap: oldest > after,
            ..CacheEvents::default()
        };
        for (_, change) in self.events.iter().filter(|(seq, _)| *seq >= after) {
            match *change {
                Change::Stored(hash) => batch.stored.push(hash),
                Change::Evicted(hash) => batch.evicted.push(hash),
            }
        }
        batch
    }
}
