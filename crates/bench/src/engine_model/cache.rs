//! The prefix cache: block hashes, least recently used evicted first.

use std::collections::{BTreeMap, HashMap};

/// Invariant: `by_use` and `last_use` hold the same hashes, at most `capacity`.
#[derive(Clone, Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    tick: u64,
    by_use: BTreeMap<u64, u64>,
    last_use: HashMap<u64, u64>,
}

impl PrefixCache {
    pub fn new(capacity: usize) -> Self {
        PrefixCache {
            capacity,
            tick: 0,
            by_use: BTreeMap::new(),
            last_use: HashMap::new(),
        }
    }

    /// Returns how many leading blocks of `prefix` are held, and marks them as used.
    pub fn hit(&mut self, prefix: &[u64]) -> usize {
        let held = |hash: &&u64| self.last_use.contains_key(hash);
        let hits = prefix.iter().take_while(held).count();
        for &hash in &prefix[..hits] {
            self.touch(hash);
        }
        hits
    }

    /// Stores `hash`; returns whether it is new and what was evicted for it.
    pub fn store(&mut self, hash: u64) -> (bool, Option<u64>) {
        if self.capacity == 0 {
            return (false, None);
        }
        if self.last_use.contains_key(&hash) {
            self.touch(hash);
            return (false, None);
        }
        let mut evicted = None;
        if self.last_use.len() == self.capacity
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.last_use.remove(&oldest);
            evicted = Some(oldest);
        }
        self.touch(hash);
        (true, evicted)
    }

    fn touch(&mut self, hash: u64) {
        self.tick += 1;
        if let Some(before) = self.last_use.insert(hash, self.tick) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.tick, hash);
    }
}
