//! Tracks which endpoints are expected to cache which prompt prefixes.
//!
//! The cache events of engines are late and have gaps, so each cached block has a confidence.
//! Reported blocks have full confidence, and blocks of a granted prompt are expected for a while.
//! After a gap, older blocks have reduced confidence until they are reported again. A wrong
//! expectation costs one prefill.

use crate::time::Time;
use core::time::Duration;
use cranelift_entity::entity_impl;
use std::collections::{BTreeMap, VecDeque};

/// An endpoint's index within its cell.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIx(u32);
entity_impl!(EndpointIx, "endpoint");

/// How long a block is expected after a grant without an event that confirms it.
const EXPECTED_FOR: Duration = Duration::from_secs(20);
/// Confidence in a block that was reported before a gap in the events.
const STALE_CONFIDENCE: f64 = 0.5;
/// Confidence in a block that a grant should have cached.
const EXPECTED_CONFIDENCE: f64 = 0.8;
/// Maximum number of blocks tracked per endpoint; the oldest are dropped first.
const MAX_BLOCKS: usize = 4_096;
/// Maximum number of endpoints returned as holders of a prefix.
pub const MAX_HOLDERS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
enum BlockState {
    Reported { epoch: u32 },
    Expected { until: Time },
}

#[derive(Clone, Debug, Default)]
struct EndpointBlocks {
    blocks: BTreeMap<u64, BlockState>,
    /// Blocks in the order in which they were learned; may contain dropped blocks.
    order: VecDeque<u64>,
    /// Number of gaps in the endpoint's events.
    epoch: u32,
}

/// A prefix that an endpoint is expected to cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Match {
    /// Number of leading blocks of the prompt.
    pub blocks: u32,
    /// Confidence, from 0 to 1.
    pub belief: f64,
}

/// The expected prefix caches of a cell's endpoints.
///
/// Invariant: `holders[block]` lists exactly the endpoints whose `blocks` contain it.
#[derive(Clone, Debug, Default)]
pub struct PrefixMap {
    endpoints: BTreeMap<EndpointIx, EndpointBlocks>,
    holders: BTreeMap<u64, Vec<EndpointIx>>,
}

impl PrefixMap {
    /// Applies the cache events of an endpoint.
    pub fn events(&mut self, endpoint: EndpointIx, gap: bool, stored: &[u64], evicted: &[u64]) {
        let cached = self.endpoints.entry(endpoint).or_default();
        // Events lost in the gap may have been evictions. With full confidence, prompts would still
        // be routed to an endpoint that evicted their prefix long ago.
        cached.epoch += u32::from(gap);
        let epoch = cached.epoch;
        for &block in evicted {
            self.drop_block(endpoint, block);
        }
        for &block in stored {
            self.put(endpoint, block, BlockState::Reported { epoch });
        }
    }

    /// Records that a prompt with these blocks was granted to an endpoint.
    pub fn granted(&mut self, now: Time, endpoint: EndpointIx, prefix: &[u64]) {
        let until = now + EXPECTED_FOR;
        for &block in prefix {
            let known = self.endpoints.get(&endpoint);
            let known = known.and_then(|cached| cached.blocks.get(&block));
            if !matches!(known, Some(BlockState::Reported { .. })) {
                self.put(endpoint, block, BlockState::Expected { until });
            }
        }
    }

    /// Drops everything known about an endpoint that restarted or is gone.
    pub fn forget(&mut self, endpoint: EndpointIx) {
        let Some(cached) = self.endpoints.remove(&endpoint) else {
            return;
        };
        for block in cached.blocks.keys() {
            remove_holder(&mut self.holders, *block, endpoint);
        }
    }

    /// Returns endpoints that may hold the longest part of a prompt, at most [`MAX_HOLDERS`].
    pub fn holders(&self, prefix: &[u64]) -> &[EndpointIx] {
        let known = prefix
            .iter()
            .rev()
            .find_map(|block| self.holders.get(block));
        let holders = known.map_or(&[][..], Vec::as_slice);
        &holders[holders.len().saturating_sub(MAX_HOLDERS)..]
    }

    /// Returns how much of a prompt an endpoint is expected to cache.
    ///
    /// Hashes are chained, so the longest known one implies those before it.
    pub fn matched(&self, now: Time, endpoint: EndpointIx, prefix: &[u64]) -> Match {
        let none = Match {
            blocks: 0,
            belief: 0.0,
        };
        let Some(cached) = self.endpoints.get(&endpoint) else {
            return none;
        };
        for (at, block) in prefix.iter().enumerate().rev() {
            let belief = match cached.blocks.get(block) {
                Some(BlockState::Reported { epoch }) if *epoch == cached.epoch => 1.0,
                Some(BlockState::Reported { .. }) => STALE_CONFIDENCE,
                Some(BlockState::Expected { until }) if now <= *until => EXPECTED_CONFIDENCE,
                _ => continue,
            };
            let blocks = at as u32 + 1;
            return Match { blocks, belief };
        }
        none
    }

    fn put(&mut self, endpoint: EndpointIx, block: u64, belief: BlockState) {
        let cached = self.endpoints.entry(endpoint).or_default();
        if cached.blocks.insert(block, belief).is_some() {
            return;
        }
        cached.order.push_back(block);
        self.holders.entry(block).or_default().push(endpoint);
        self.trim(endpoint);
    }

    fn trim(&mut self, endpoint: EndpointIx) {
        while let Some(cached) = self.endpoints.get_mut(&endpoint)
            && cached.order.len() > MAX_BLOCKS
            && let Some(oldest) = cached.order.pop_front()
        {
            self.drop_block(endpoint, oldest);
        }
    }

    fn drop_block(&mut self, endpoint: EndpointIx, block: u64) {
        if let Some(cached) = self.endpoints.get_mut(&endpoint)
            && cached.blocks.remove(&block).is_some()
        {
            remove_holder(&mut self.holders, block, endpoint);
        }
    }
}

fn remove_holder(holders: &mut BTreeMap<u64, Vec<EndpointIx>>, block: u64, endpoint: EndpointIx) {
    if let Some(list) = holders.get_mut(&block) {
        list.retain(|holder| *holder != endpoint);
        if list.is_empty() {
            holders.remove(&block);
        }
    }
}
