//! The order in which queued requests get room at engines.
//!
//! The home of a service ([`home`](super::home)) knows all queued requests and assigns free room in
//! one global order, each request to the engine with the lowest cost.
//!
//! If each instance decided on its own, all of them would learn of a finished generation within the
//! same few milliseconds and use its room at once; all but one request would then wait inside an
//! overfull engine (`docs/design/policy.md`).

use super::choose::{EngineCapacities, PlacementContext, capacities};
use super::engines::Engines;
use super::headroom::{Headroom, RecentDemand};
use super::holds::Holds;
use super::request::{Demand, PaceDemand, PlacementError, QueuedPlacement, QueuedRequest};
use super::shares::WorkspaceGrants;
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// Share of its latency target after which a queued request counts as late. Its prompt still has to
/// be prefilled, which takes about 0.7 s on a shared engine.
const LATE_AFTER_TARGETS: f64 = 0.6;

/// Upper bound of placement requests that a home accepts from one instance. The sender places
/// further ones itself once they time out.
pub const MAX_QUEUED_PER_INSTANCE: usize = 64;

/// The cost of a prefill, in output tokens: it takes about as long as this many of them.
const PREFILL_OUTPUT: f64 = 50.0;

/// Share of the time in which a request counts as in time after which it is promoted.
const AGEING_START: f64 = 0.5;

/// Share of that time after which it is promoted by one more cost class.
const AGEING_STEP: f64 = 0.1;

/// The weight of each workspace. The catalogue states none, so all of them are due the same share.
const WORKSPACE_WEIGHT: f64 = 1.0;

impl QueuedRequest {
    fn in_time_for(&self) -> Duration {
        self.target.mul_f64(LATE_AFTER_TARGETS)
    }

    fn is_late(&self, now: Time) -> bool {
        now.since(self.arrived) >= self.in_time_for()
    }

    /// Returns its rank at `now` among requests of its kind; the lowest is served first.
    ///
    /// Late requests yield to all that can still meet their target. Among those in time the newest
    /// is served first: under overload, an order by age or deadline would make all of them late,
    /// one after the other. Among the late ones the oldest is served first, so that none starves.
    fn rank(&self, now: Time) -> Rank {
        let is_late = self.is_late(now);
        let arrived = self.arrived.as_micros();
        Rank {
            is_late,
            priority: self.priority,
            share_excess: 0,
            cost_class: 0,
            by_age: if is_late { arrived } else { u64::MAX - arrived },
            id: self.id,
        }
    }

    /// Returns its expected use of capacity: KV cache tokens times output tokens.
    fn cost(&self) -> f64 {
        f64::from(self.tokens.max(1)) * (f64::from(self.output) + PREFILL_OUTPUT)
    }

    /// Returns by how many cost classes it is promoted because it has waited for long.
    fn promotion(&self, now: Time) -> u32 {
        let in_time = self.in_time_for().as_secs_f64();
        let waited = now.since(self.arrived).as_secs_f64();
        // Late requests have no cost class, and the share is below one for all others.
        let share = (waited / in_time.max(f64::MIN_POSITIVE)).min(1.0);
        ((share - AGEING_START).max(0.0) / AGEING_STEP) as u32
    }
}

/// The sort key of a queued request; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    priority: u8,
    /// How far its workspace is above its share.
    share_excess: u32,
    cost_class: u32,
    by_age: u64,
    id: u64,
}

/// The order in which requests are served while not all of them can be placed.
///
/// Cheap requests precede expensive ones, because the same capacity then serves more callers in
/// time. Costs are compared in classes of a factor of two, relative to the cheapest request of the
/// same priority, so that estimates that differ by little do not change the order. A request is
/// promoted at most to the class of the cheapest one: among equal costs, age changes nothing.
///
/// Requests with which their workspace is within its share precede those above it, so that a
/// workspace that sends more than its share delays only itself.
fn contended_order(now: Time, all: &[&QueuedPlacement], recent: &RecentGrants) -> Vec<usize> {
    let requests = || all.iter().map(|it| &it.request.queued);
    let mut cheapest: BTreeMap<u8, f64> = BTreeMap::new();
    for request in requests().filter(|it| !it.is_late(now)) {
        let least = cheapest.entry(request.priority).or_insert(f64::INFINITY);
        *least = least.min(request.cost());
    }
    let mut ranks: Vec<Rank> = requests()
        .map(|request| {
            let rank = request.rank(now);
            match cheapest.get(&request.priority) {
                Some(least) if !rank.is_late => {
                    let class = cost_class(request.cost() / least);
                    let cost_class = class.saturating_sub(request.promotion(now));
                    Rank { cost_class, ..rank }
                }
                _ => rank,
            }
        })
        .collect();
    let order = sorted(&ranks);
    let in_time = order.iter().copied().filter(|&at| !ranks[at].is_late);
    let in_time: Vec<usize> = in_time.collect();
    let request = |at: &usize| &all[*at].request.queued;
    let mut workspaces = in_time.iter().map(|at| request(at).workspace);
    let first = workspaces.next();
    if workspaces.all(|it| Some(it) == first) {
        return order;
    }
    let in_order = in_time.iter().map(request);
    let excess = recent
        .by_workspace
        .excess(now, in_order, |_| WORKSPACE_WEIGHT);
    for (at, excess) in in_time.into_iter().zip(excess) {
        ranks[at].share_excess = excess;
    }
    sorted(&ranks)
}

/// Returns the class of a cost that is `ratio` times the lowest one: 0 up to twice as much, 1 up to
/// four times, and so on.
fn cost_class(ratio: f64) -> u32 {
    (ratio.max(1.0).log2().ceil() as u32).saturating_sub(1)
}

/// Returns the order in which requests are served while all of them can be placed.
fn usual_order(now: Time, all: &[&QueuedPlacement]) -> Vec<usize> {
    let requests = all.iter().map(|it| &it.request.queued);
    let ranks: Vec<Rank> = requests.map(|it| it.rank(now)).collect();
    sorted(&ranks)
}

fn sorted(ranks: &[Rank]) -> Vec<usize> {
    let mut order: Vec<usize> = (0..ranks.len()).collect();
    order.sort_by_key(|&at| ranks[at]);
    order
}

/// What a home remembers of its recent grants. A new home starts without and observes its own.
#[derive(Clone, Debug, Default)]
pub struct RecentGrants {
    /// Grants by priority.
    pub by_priority: RecentDemand,
    /// Grants by workspace.
    pub by_workspace: WorkspaceGrants,
}

impl RecentGrants {
    /// Records a grant.
    pub fn record(&mut self, now: Time, request: &QueuedRequest) {
        self.by_priority.record(now, request);
        self.by_workspace.record(now, request);
    }

    /// Removes what is too old to matter.
    pub fn tick(&mut self, now: Time) {
        self.by_priority.tick(now);
        self.by_workspace.tick(now);
    }
}

/// The results for all requests, in the order in which they were given.
type Places = Vec<Result<EndpointKey, PlacementError>>;

/// The result of [`assign`].
#[derive(Clone, Debug)]
pub struct Assigned<'a> {
    /// The engines, or why there is none, in the order in which the requests were given.
    pub places: Places,
    /// The requests in the order in which they are served while not all can be placed.
    pub order: Vec<usize>,
    /// KV cache tokens that could be reserved before.
    pub room: f64,
    /// How many engines were looked at.
    pub looked_at: usize,
    /// What is left.
    left: Option<EngineCapacities<'a>>,
}

impl Assigned<'_> {
    /// Returns whether any engine has room for a request now.
    pub fn has_room(&self, placement: &QueuedPlacement) -> bool {
        let left = self.left.as_ref();
        left.is_some_and(|it| it.has_room(placement))
    }
}

/// Assigns engines to all of `waiting`, and returns the results in the order of `waiting`.
///
/// Requests are served in queue order. For the first one that does not fit anywhere, the engine
/// with the most room is held, so that large requests do not starve while small ones use the room
/// at other engines. `rate_remaining` returns how many more requests an engine with a limited rate
/// may get; `None` if its rate is not limited. `holds` is the room that waits for pre-copies.
pub fn assign<'a, 'w>(
    context: PlacementContext<'w>,
    engines: Engines<'_>,
    rate_remaining: impl Fn(EndpointKey) -> Option<u32>,
    holds: &Holds,
    recent: &RecentGrants,
    waiting: impl Iterator<Item = &'a QueuedPlacement>,
) -> Assigned<'w> {
    let all: Vec<&QueuedPlacement> = waiting.collect();
    let demand = Demand {
        service: engines.service,
        engine: Some(engines.limits),
        tokens: 0,
        exclude: &[],
        pace: PaceDemand::default(),
    };
    let mut capacities = match capacities(context, &demand, &all, rate_remaining) {
        Ok(capacities) => capacities,
        Err(why) => {
            return Assigned {
                places: vec![Err(why); all.len()],
                order: Vec::new(),
                room: 0.0,
                looked_at: 0,
                left: None,
            };
        }
    };
    capacities.apply_holds(holds);
    let now = context.now;
    let requests = all.iter().map(|it| &it.request.queued);
    let total = capacities.total_kv_cache_tokens();
    let headroom = recent.by_priority.headroom(now, requests, total);
    let usual = usual_order(now, &all);
    let contended = contended_order(now, &all, recent);
    let room = capacities.room();
    let looked_at = capacities.looked_at();
    let placed = match usual == contended {
        true => None,
        false => place_all(capacities.clone(), &headroom, &all, &usual),
    };
    let (places, left) =
        placed.unwrap_or_else(|| place_most(capacities, &headroom, &all, &contended));
    Assigned {
        places,
        order: contended,
        room,
        looked_at,
        left: Some(left),
    }
}

/// Places all requests in `order`; `None` if one of them finds all engines full.
fn place_all<'w>(
    mut capacities: EngineCapacities<'w>,
    headroom: &Headroom,
    all: &[&QueuedPlacement],
    order: &[usize],
) -> Option<(Places, EngineCapacities<'w>)> {
    let mut places = vec![Err(PlacementError::NoEndpoint); all.len()];
    for &at in order {
        capacities.leave_free(headroom.below(all[at].request.queued.priority));
        places[at] = capacities.reserve(all[at]);
        if places[at] == Err(PlacementError::Full) {
            return None;
        }
    }
    Some((places, capacities))
}

/// Places as many requests as fit in `order`.
fn place_most<'w>(
    mut capacities: EngineCapacities<'w>,
    headroom: &Headroom,
    all: &[&QueuedPlacement],
    order: &[usize],
) -> (Places, EngineCapacities<'w>) {
    let mut places = vec![Err(PlacementError::NoEndpoint); all.len()];
    let mut is_held = false;
    for &at in order {
        capacities.leave_free(headroom.below(all[at].request.queued.priority));
        places[at] = capacities.reserve(all[at]);
        if places[at] == Err(PlacementError::Full) && !is_held {
            capacities.hold_largest(all[at]);
            is_held = true;
        }
    }
    (places, capacities)
}
