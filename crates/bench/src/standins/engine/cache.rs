//! Cache events: which blocks of prompt prefixes the engine holds.
//!
//! Events are handed out in batches that end a while ago (late), and only the
//! latest ones are kept (gaps), as real engines do.

use oriolemux_core::ids::stable_hash;
use serde::Serialize;
use std::collections::VecDeque;

/// Bytes of prompt in a block.
pub const BLOCK_BYTES: usize = 256;
/// Blocks that are held; the oldest is evicted for a new one.
const HELD_BLOCKS: usize = 512;
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

/// The blocks of an engine and the events about them.
#[derive(Debug, Default)]
pub struct Cache {
    held: VecDeque<u64>,
    events: VecDeque<(u64, Change)>,
    next: u64,
}

#[derive(Clone, Copy, Debug)]
enum Change {
    Stored(u64),
    Evicted(u64),
}

impl Cache {
    /// Stores the leading blocks of `prompt`.
    pub fn store(&mut self, model: &str, prompt: &str) {
        for hash in blocks(model, prompt) {
            if self.held.contains(&hash) {
                continue;
            }
            self.held.push_back(hash);
            self.push(Change::Stored(hash));
            if self.held.len() > HELD_BLOCKS
                && let Some(old) = self.held.pop_front()
            {
                self.push(Change::Evicted(old));
            }
        }
    }

    fn push(&mut self, change: Change) {
        self.events.push_back((self.next, change));
        self.next += 1;
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after sequence number `after`.
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

/// Returns the hashes of the leading whole blocks of `prompt`; each covers all before it.
pub fn blocks(model: &str, prompt: &str) -> impl Iterator<Item = u64> {
    let bytes = prompt.as_bytes();
    let whole = bytes.len() / BLOCK_BYTES;
    (1..=whole).map(move |n| stable_hash(&[model.as_bytes(), &bytes[..n * BLOCK_BYTES]]))
}
