//! The order in which requests that wait get room at engines.
//!
//! The home of a service ([`home`](super::home)) knows all that wait, and gives away room in
//! one order, each request at the cheapest engine.
//!
//! What goes wrong where each instance decides alone: one generation ends, all that wait
//! anywhere hear of the room within the same few milliseconds, all take it, and all but one wait
//! inside an engine that is overfull (`docs/design/policy.md`).

use super::choose::{Demand, PlacementContext, PlacementError, capacities};
use super::home::Engines;
use super::placement::PlacementRequest;
use crate::ids::{EndpointKey, stable_hash};
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// The share of its target after which a request that waits counts as late. Its prompt is
/// still to be read, which takes some 0.7 s at an engine with neighbours.
const LATE_AFTER_TARGETS: f64 = 0.6;

/// The most placement requests of one instance that a home takes in. Those beyond are placed by
/// that instance's own view once nobody answers them.
pub const MAX_QUEUED_PER_INSTANCE: usize = 64;

/// A request that waits for room, as a home is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRequestReport {
    /// Tells requests of one moment apart.
    pub id: u64,
    /// The hash of its service's name.
    pub service: u64,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Milliseconds since it arrived.
    pub age_ms: u32,
    /// Milliseconds from its arrival within which its first event is wanted.
    pub target_ms: u32,
    /// Tokens of memory that it is expected to take.
    pub tokens: u32,
    /// Tokens of its prompt.
    pub prompt: u32,
}

/// A request that waits, by this instance's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Tells requests of one moment apart.
    pub id: u64,
    /// The hash of its service's name.
    pub service: u64,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Time,
    /// The time from its arrival within which its first event is wanted.
    pub target: Duration,
    /// Tokens of memory that it is expected to take.
    pub tokens: u32,
    /// Tokens of its prompt.
    pub prompt: u32,
}

impl QueuedRequest {
    /// Returns what an instance told at `now`.
    pub fn from_report(now: Time, waiting: &QueuedRequestReport) -> Self {
        let age = Duration::from_millis(waiting.age_ms.into());
        QueuedRequest {
            id: waiting.id,
            service: waiting.service,
            priority: waiting.priority,
            arrived: now.before(age).unwrap_or(Time::ZERO),
            target: Duration::from_millis(waiting.target_ms.into()),
            tokens: waiting.tokens,
            prompt: waiting.prompt,
        }
    }

    /// Returns what a home is told at `now`.
    pub fn to_report(&self, now: Time) -> QueuedRequestReport {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        QueuedRequestReport {
            id: self.id,
            service: self.service,
            priority: self.priority,
            age_ms: millis(now.since(self.arrived)),
            target_ms: millis(self.target),
            tokens: self.tokens,
            prompt: self.prompt,
        }
    }

    /// Returns the place in the order at `now`; the lowest is next.
    ///
    /// One that can only be late gives way to all that can still be in time. Of these the
    /// newest goes first: where more wait than can be served, going by age or deadline
    /// makes all of them late one after the other. Of those that are late the oldest goes
    /// first, so that they come to their turn.
    fn sort_key(&self, now: Time) -> (bool, u8, u64, u64) {
        let is_late = now.since(self.arrived) >= self.target.mul_f64(LATE_AFTER_TARGETS);
        let arrived = self.arrived.as_micros();
        let rank = if is_late { arrived } else { u64::MAX - arrived };
        (is_late, self.priority, rank, self.id)
    }
}

/// Returns the hash by which instances name a service to each other.
pub fn service_hash(name: &str) -> u64 {
    stable_hash(&[b"service", name.as_bytes()])
}

/// A request that asks for a place, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedPlacement {
    /// What it wants.
    pub request: PlacementRequest,
    /// The data centre of its instance.
    pub data_centre: String,
    /// Engines that its instance cannot use at the moment; they are taken if there is no other.
    pub avoid: Vec<EndpointKey>,
}

/// Returns the place of each of `waiting`.
///
/// All that go before one are given room first. For the first that fits nowhere the engine
/// with the most room is kept, so that large requests come to their turn and small ones use
/// what is left elsewhere. `bounded_left` says how many more requests an engine may get that bears a bounded rate.
pub fn assign<'a>(
    context: PlacementContext<'_>,
    engines: Engines<'_>,
    rate_remaining: impl Fn(EndpointKey) -> Option<u32>,
    waiting: impl Iterator<Item = &'a QueuedPlacement>,
) -> Vec<Result<EndpointKey, PlacementError>> {
    let all: Vec<&QueuedPlacement> = waiting.collect();
    let mut sort_key: Vec<usize> = (0..all.len()).collect();
    sort_key.sort_by_key(|&at| all[at].request.queued.sort_key(context.now));
    let demand = Demand {
        service: engines.service,
        engine: Some(engines.limits),
        tokens: 0,
        exclude: &[],
    };
    let mut capacities = match capacities(context, &demand, rate_remaining) {
        Ok(capacities) => capacities,
        Err(why) => return vec![Err(why); all.len()],
    };
    let mut places = vec![Err(PlacementError::NoEndpoint); all.len()];
    let mut is_held = false;
    for at in sort_key {
        places[at] = capacities.reserve(all[at]);
        if places[at] == Err(PlacementError::Full) && !is_held {
            capacities.hold_largest();
            is_held = true;
        }
    }
    places
}
