//! The shards in memory: parsed for use, and raw for peers.

use super::message::ShardId;
use crate::catalogue::Shard;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A shard that was used within this time is fetched before a new revision comes into force, so
/// that requests of its workspaces do not have to wait for it.
pub const RECENT_USE: Duration = Duration::from_secs(300);

#[derive(Debug)]
struct Held {
    shard: Arc<Shard>,
    memory: usize,
    used: Time,
}

/// An LRU cache of parsed shards.
#[derive(Debug)]
pub struct ShardStore {
    held: BTreeMap<ShardId, Held>,
    memory: usize,
    limit: usize,
}

impl ShardStore {
    /// Returns an empty cache with a limit of about `limit` bytes.
    pub fn new(limit: usize) -> Self {
        ShardStore {
            held: BTreeMap::new(),
            memory: 0,
            limit,
        }
    }

    /// Returns a shard and records its use.
    pub fn touch(&mut self, now: Time, id: ShardId) -> Option<&Arc<Shard>> {
        let held = self.held.get_mut(&id)?;
        held.used = now;
        Some(&held.shard)
    }

    /// Returns whether a shard is in the cache.
    pub fn contains(&self, id: ShardId) -> bool {
        self.held.contains_key(&id)
    }

    /// Inserts a shard, and evicts others to make room.
    pub fn insert(&mut self, now: Time, id: ShardId, shard: Shard) {
        let memory = shard.memory_bytes();
        self.remove(id);
        while self.memory + memory > self.limit && self.evict() {}
        self.memory += memory;
        let held = Held {
            shard: Arc::new(shard),
            memory,
            used: now,
        };
        self.held.insert(id, held);
    }

    fn evict(&mut self) -> bool {
        let oldest = self.held.iter().min_by_key(|(_, held)| held.used);
        let oldest = oldest.map(|(id, _)| *id);
        oldest.is_some_and(|id| self.remove(id))
    }

    fn remove(&mut self, id: ShardId) -> bool {
        let removed = self.held.remove(&id);
        self.memory -= removed.as_ref().map_or(0, |held| held.memory);
        removed.is_some()
    }

    /// Removes every shard for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(ShardId) -> bool) {
        let gone: Vec<ShardId> = self.held.keys().copied().filter(|id| !keep(*id)).collect();
        for id in gone {
            self.remove(id);
        }
    }

    /// Returns the numbers of the shards that were used within [`RECENT_USE`].
    pub fn recent(&self, now: Time) -> impl Iterator<Item = u32> {
        let recent = self.held.iter();
        let recent = recent.filter(move |(_, held)| now.since(held.used) < RECENT_USE);
        recent.map(|(id, _)| id.number)
    }

    /// Returns the approximate memory use in bytes.
    pub fn memory(&self) -> usize {
        self.memory
    }
}

/// A FIFO cache of the bytes of shards that this instance keeps for its peers.
#[derive(Debug)]
pub struct RawStore {
    held: BTreeMap<ShardId, (u64, Arc<[u8]>)>,
    /// Number of insertions, which orders the shards by age.
    sequence: u64,
    memory: usize,
    limit: usize,
}

impl RawStore {
    /// Returns an empty cache with a limit of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        RawStore {
            held: BTreeMap::new(),
            sequence: 0,
            memory: 0,
            limit,
        }
    }

    /// Returns the bytes of a shard.
    pub fn get(&self, id: ShardId) -> Option<&Arc<[u8]>> {
        self.held.get(&id).map(|(_, bytes)| bytes)
    }

    /// Inserts the bytes of a shard, and evicts others to make room.
    pub fn insert(&mut self, id: ShardId, bytes: Vec<u8>) {
        if self.held.contains_key(&id) {
            return;
        }
        while self.memory + bytes.len() > self.limit && self.evict() {}
        self.memory += bytes.len();
        self.sequence += 1;
        self.held.insert(id, (self.sequence, bytes.into()));
    }

    fn evict(&mut self) -> bool {
        let oldest = self.held.iter().min_by_key(|(_, (sequence, _))| *sequence);
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return false;
        };
        let removed = self.held.remove(&id);
        self.memory -= removed.map_or(0, |(_, bytes)| bytes.len());
        true
    }

    /// Returns the memory use in bytes.
    pub fn memory(&self) -> usize {
        self.memory
    }
}
