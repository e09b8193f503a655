//! The order in which queued requests get room at engines.
//!
//! The home of a service ([`home`](super::home)) knows all queued requests and assigns free room in
//! one global order, each request to the engine with the lowest cost.
//!
//! If each instance decided on its own, all of them would learn of a finished generation within the
//! same few milliseconds and use its room at once; all but one request would then wait inside an
//! overfull engine (`docs/design/policy.md`).

use super::choose::{PlacementContext, capacities};
use super::engines::Engines;
use super::request::{Demand, PaceDemand, PlacementError, QueuedPlacement, QueuedRequest};
use crate::ids::EndpointKey;
use crate::time::Time;

/// Share of its latency target after which a queued request counts as late. Its prompt still has to
/// be prefilled, which takes about 0.7 s on a shared engine.
const LATE_AFTER_TARGETS: f64 = 0.6;

/// Upper bound of placement requests that a home accepts from one instance. The sender places
/// further ones itself once they time out.
pub const MAX_QUEUED_PER_INSTANCE: usize = 64;

impl QueuedRequest {
    /// Returns the sort key at `now`; the lowest is served first.
    ///
    /// Late requests yield to all that can still meet their target. Among those in time the newest
    /// is served first: under overload, an order by age or deadline would make all of them late,
    /// one after the other. Among the late ones the oldest is served first, so that none starves.
    fn sort_key(&self, now: Time) -> (bool, u8, u64, u64) {
        let is_late = now.since(self.arrived) >= self.target.mul_f64(LATE_AFTER_TARGETS);
        let arrived = self.arrived.as_micros();
        let rank = if is_late { arrived } else { u64::MAX - arrived };
        (is_late, self.priority, rank, self.id)
    }
}

/// Assigns engines to all of `waiting`, and returns the results in the order of `waiting`.
///
/// Requests are served in queue order. For the first one that does not fit anywhere, the engine
/// with the most room is held, so that large requests do not starve while small ones use the room
/// at other engines. `rate_remaining` returns how many more requests an engine with a limited rate
/// may get; `None` if its rate is not limited.
pub fn assign<'a>(
    context: PlacementContext<'_>,
    engines: Engines<'_>,
    rate_remaining: impl Fn(EndpointKey) -> Option<u32>,
    waiting: impl Iterator<Item = &'a QueuedPlacement>,
) -> Vec<Result<EndpointKey, PlacementError>> {
    let all: Vec<&QueuedPlacement> = waiting.collect();
    let mut order: Vec<usize> = (0..all.len()).collect();
    order.sort_by_key(|&at| all[at].request.queued.sort_key(context.now));
    let demand = Demand {
        service: engines.service,
        engine: Some(engines.limits),
        tokens: 0,
        exclude: &[],
        pace: PaceDemand::default(),
    };
    let mut capacities = match capacities(context, &demand, rate_remaining) {
        Ok(capacities) => capacities,
        Err(why) => return vec![Err(why); all.len()],
    };
    let mut places = vec![Err(PlacementError::NoEndpoint); all.len()];
    let mut is_held = false;
    for at in order {
        places[at] = capacities.reserve(all[at]);
        if places[at] == Err(PlacementError::Full) && !is_held {
            capacities.hold_largest(all[at]);
            is_held = true;
        }
    }
    places
}
