//! Capacity that is kept free for urgent requests.
//!
//! A long generation keeps its KV cache for seconds, and an urgent request that arrives meanwhile
//! would wait for its end. A home therefore places less urgent requests only up to a share of each
//! engine that leaves free what more urgent ones recently needed.

use super::request::QueuedRequest;
use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, VecDeque};

/// Period whose grants predict the need of urgent requests. Over a shorter one, a pause of a second
/// between two bursts would release the capacity that the second burst needs.
const WINDOW: Duration = Duration::from_secs(2);

/// Resolution of [`WINDOW`]: grants within one slot are summed, which bounds the state.
const SLOT: Duration = Duration::from_millis(100);

/// Upper bound of the share that is kept free, so that less urgent requests always get most of each
/// engine.
const MAX_HEADROOM: f64 = 0.15;

/// The duration of one token on an engine that runs some five generations.
const TOKEN_DURATION: Duration = Duration::from_millis(10);

/// The duration of the prefill of a usual prompt.
pub(super) const PREFILL_DURATION: Duration = Duration::from_millis(500);

impl QueuedRequest {
    /// Returns how long its generation is expected to keep its KV cache.
    pub(super) fn expected_stay(&self) -> Duration {
        PREFILL_DURATION + TOKEN_DURATION.saturating_mul(self.output)
    }

    /// Returns its expected use of KV cache, in tokens times seconds.
    pub(super) fn expected_use(&self) -> f64 {
        f64::from(self.tokens) * self.expected_stay().as_secs_f64()
    }
}

/// What a home recently granted, by priority.
#[derive(Clone, Debug, Default)]
pub struct RecentDemand {
    /// Granted use of KV cache in tokens times seconds, by slot and priority, oldest first.
    granted: VecDeque<(u64, u8, f64)>,
}

fn slot(at: Time) -> u64 {
    at.as_micros() / SLOT.as_micros() as u64
}

impl RecentDemand {
    /// Records a grant.
    pub fn record(&mut self, now: Time, request: &QueuedRequest) {
        let (slot, used) = (slot(now), request.expected_use());
        let newest = self.granted.iter_mut().rev();
        let mut of_slot = newest.take_while(|(at, ..)| *at == slot);
        match of_slot.find(|(_, priority, _)| *priority == request.priority) {
            Some((.., sum)) => *sum += used,
            None => self.granted.push_back((slot, request.priority, used)),
        }
    }

    /// Removes grants that are older than the window.
    pub fn tick(&mut self, now: Time) {
        let oldest = slot(now.before(WINDOW).unwrap_or(Time::ZERO));
        while self.granted.front().is_some_and(|(at, ..)| *at < oldest) {
            self.granted.pop_front();
        }
    }

    /// Returns the headroom at engines that have `capacity` KV cache tokens together, while
    /// `waiting` are queued.
    pub fn headroom<'a>(
        &self,
        now: Time,
        waiting: impl Iterator<Item = &'a QueuedRequest>,
        capacity: u64,
    ) -> Headroom {
        let oldest = slot(now.before(WINDOW).unwrap_or(Time::ZERO));
        let mut needed: BTreeMap<u8, f64> = BTreeMap::new();
        for &(_, priority, used) in self.granted.iter().filter(|(at, ..)| *at >= oldest) {
            // The tokens in use at any one time are the granted rate times the stay.
            *needed.entry(priority).or_default() += used / WINDOW.as_secs_f64();
        }
        for request in waiting {
            *needed.entry(request.priority).or_default() += f64::from(request.tokens);
        }
        let capacity = capacity.max(1) as f64;
        let shares = needed.into_iter().map(|(it, sum)| (it, sum / capacity));
        Headroom {
            needed: shares.collect(),
        }
    }
}

/// The share of each engine that is kept free for more urgent requests, by priority.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    /// The share of all KV cache that each priority needs, most urgent first.
    needed: Vec<(u8, f64)>,
}

impl Headroom {
    /// Returns the share that requests of `priority` must leave free.
    pub fn below(&self, priority: u8) -> f64 {
        let urgent = self.needed.iter().take_while(|(it, _)| *it < priority);
        let needed: f64 = urgent.map(|(_, share)| share).sum();
        needed.min(MAX_HEADROOM)
    }
}
