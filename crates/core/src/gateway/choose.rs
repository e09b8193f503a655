//! The endpoint for a request, and the one that holds its standing copy.
//!
//! Where a plain endpoint is wanted, or no home answers, each instance chooses by itself, from
//! its own use and from what it was told; the home of a service chooses engines from what all
//! of them report (`docs/design/platform.md`). An engine is chosen by the memory and the
//! prompts that wait before it, a plain endpoint by its queue.

use super::catalogue::EngineLimits;
use super::endpoints::{Endpoint, EndpointState, EndpointTable};
use super::queue::{QueuedPlacement, QueuedRequest};
use super::usage::{PeerUsage, Usage, UsageTable};
use crate::ids::EndpointKey;
use crate::time::Time;
use serde::{Deserialize, Serialize};

/// The share of an engine's memory that is given away. What generations take is an estimate:
/// where more is given away than there is, an engine preempts one and reads its prompt again,
/// and first events wait inside engines; where less is, requests wait here though there is
/// room.
const KV_CACHE_SHARE: f64 = 0.98;

/// The share of an engine's memory up to which standing copies are put there. What
/// lies above is left to generations that run: a copy is of use only to those
/// whose engine leaves, and those can be copied at the notice as well.
const STANDBY_SHARE: f64 = 0.5;

/// The share of an engine's memory up to which copies of generations whose engine leaves
/// are put there. They go before what is new: without a copy a generation is lost.
const PRE_COPY_SHARE: f64 = 0.92;

/// The cost of a prompt token that waits to be read, in running generations. A new
/// request waits for all of them, and what runs takes twice as long meanwhile:
/// 3,000 tokens take some 430 ms beside others.
const PENDING_PREFILL_COST: f64 = 10.0 / 3_000.0;

/// The width of the draw that parts instances with the same view, in running
/// generations. Two requests that arrive within some milliseconds at two instances
/// would otherwise both go to the one engine that looks best.
const JITTER_WIDTH: f64 = 1.0;

/// The cost of a full memory, in running generations.
const KV_CACHE_COST: f64 = 12.0;

/// The cost of another data centre at an engine, in running generations: some
/// milliseconds and the bytes that cross.
const REMOTE_COST: f64 = 0.5;

/// The cost of another data centre for a copy ahead, in running generations: it takes
/// twice as long, and copies of one engine queue on its link while its notice runs.
const REMOTE_PRE_COPY_COST: f64 = 3.0;

/// The width of the draw between engines for a copy ahead, in running generations.
/// All generations of an engine that leaves choose in the same moment; without it
/// they all go to the one engine that looked best and overfill it.
const PRE_COPY_JITTER_WIDTH: f64 = 10.0;

/// The cost of another data centre at a plain endpoint, in requests: a round
/// trip of some 3 ms against calls of some 15 ms and more.
const REMOTE_PLAIN_COST: f64 = 0.5;

/// The cost of an engine that has just started and is still slow.
const COLD_COST: f64 = 8.0;

/// The cost of an entry that may have vanished for good.
const LAPSED_COST: f64 = 30.0;

/// The cost of an endpoint at which all requests fail, in requests.
const FAILURE_COST: f64 = 20.0;

/// Prompt tokens that may wait before one engine; more would wait as well here,
/// where they can still go elsewhere. So many take some 0.9 s.
const MAX_PENDING_PREFILL: u32 = 6_000;

/// What a request needs at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The service.
    pub service: &'a str,
    /// What its engines bear, if they are engines.
    pub engine: Option<EngineLimits>,
    /// Tokens of memory that the request is expected to take.
    pub tokens: u32,
    /// Endpoints that are not to be chosen, because they were tried.
    pub exclude: &'a [EndpointKey],
}

/// The tables that a choice looks at.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The time.
    pub now: Time,
    /// All endpoints.
    pub endpoints: &'a EndpointTable,
    /// What this instance runs where.
    pub usage: &'a UsageTable,
    /// What others run.
    pub others: &'a PeerUsage,
    /// The data centre of this instance.
    pub data_centre: &'a str,
}

impl PlacementContext<'_> {
    fn used(self, endpoint: &Endpoint) -> Usage {
        self.usage
            .own(endpoint.key)
            .plus(self.others.of(endpoint.key))
    }
}

/// Why there is no endpoint for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementError {
    /// There is none, or all that there are fail or leave.
    NoEndpoint,
    /// All are full.
    Full,
    /// All that there are lie in data centres that the operator closed to new work.
    Cordoned,
    /// All that there are have named a limit, and take no more for now.
    RateLimited,
}

/// Returns the endpoint with the least cost. `jitter` draws a number below one
/// for each candidate, so that instances with the same view part at a tie.
///
/// # Errors
///
/// Returns why there is none.
pub fn choose(
    context: PlacementContext<'_>,
    demand: &Demand<'_>,
    mut jitter: impl FnMut() -> f64,
) -> Result<EndpointKey, PlacementError> {
    let mut full = false;
    let trusted = |endpoint: &Endpoint| is_trusted(context, endpoint);
    let chosen = cheapest(candidates(context, demand, trusted), |endpoint| {
        let used = context.used(endpoint);
        let (cost, away) = match demand.engine {
            Some(limits) => {
                let room = fits(used, demand.tokens, limits, KV_CACHE_SHARE);
                if !room || used.pending_prefill >= MAX_PENDING_PREFILL {
                    full = true;
                    return None;
                }
                (engine_cost(used, limits), REMOTE_COST)
            }
            None => (plain_cost(context, endpoint, used), REMOTE_PLAIN_COST),
        };
        Some(cost + state_cost(context, endpoint, away) + JITTER_WIDTH * jitter())
    });
    match chosen {
        Some(key) => Ok(key),
        None if full => Err(PlacementError::Full),
        None => Err(why_none(context, demand.service)),
    }
}

/// Returns why a service has no endpoint that may be chosen.
fn why_none(context: PlacementContext<'_>, service: &str) -> PlacementError {
    match context.endpoints.is_service_cordoned(service) {
        true => PlacementError::Cordoned,
        false => PlacementError::NoEndpoint,
    }
}

/// The room at all engines of a service, as it is given away in turn.
#[derive(Clone, Debug)]
pub(super) struct EngineCapacities<'a> {
    limits: EngineLimits,
    engines: Vec<EngineCapacity<'a>>,
}

#[derive(Clone, Copy, Debug)]
struct EngineCapacity<'a> {
    key: EndpointKey,
    data_centre: &'a str,
    used: Usage,
    /// What the state of the engine costs beside its load.
    state_cost: f64,
    /// Whether its room is kept for somebody.
    is_held: bool,
    /// How many requests it may still get, if it bears a bounded rate.
    rate_remaining: Option<u32>,
}

/// Returns the room at the engines that `demand` may go to.
///
/// # Errors
///
/// Returns why there is no engine.
pub(super) fn capacities<'a>(
    context: PlacementContext<'a>,
    demand: &Demand<'_>,
    rate_remaining: impl Fn(EndpointKey) -> Option<u32>,
) -> Result<EngineCapacities<'a>, PlacementError> {
    let limits = demand.engine.ok_or(PlacementError::NoEndpoint)?;
    let trusted = |endpoint: &Endpoint| is_trusted(context, endpoint);
    let engines: Vec<EngineCapacity<'_>> = candidates(context, demand, trusted)
        .map(|endpoint| EngineCapacity {
            key: endpoint.key,
            data_centre: &endpoint.record.data_centre,
            used: context.used(endpoint),
            state_cost: state_cost(context, endpoint, 0.0),
            is_held: false,
            rate_remaining: rate_remaining(endpoint.key),
        })
        .collect();
    if engines.is_empty() {
        return Err(why_none(context, demand.service));
    }
    Ok(EngineCapacities { limits, engines })
}

impl EngineCapacities<'_> {
    /// Gives room to a request at the engine with the least cost, and returns it.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub(super) fn reserve(
        &mut self,
        placement: &QueuedPlacement,
    ) -> Result<EndpointKey, PlacementError> {
        let tried =
            |capacity: &EngineCapacity<'_>| placement.request.exclude.contains(&capacity.key);
        if self.engines.iter().all(tried) {
            return Err(PlacementError::NoEndpoint);
        }
        let avoided = |capacity: &EngineCapacity<'_>| {
            tried(capacity) || placement.avoid.contains(&capacity.key)
        };
        match self.engines.iter().all(avoided) {
            true => self.reserve_unless(placement, tried),
            false => self.reserve_unless(placement, avoided),
        }
    }

    fn reserve_unless(
        &mut self,
        placement: &QueuedPlacement,
        excluded: impl Fn(&EngineCapacity<'_>) -> bool,
    ) -> Result<EndpointKey, PlacementError> {
        let QueuedRequest { tokens, prompt, .. } = placement.request.queued;
        let data_centre = placement.data_centre.as_str();
        let limits = self.limits;
        let fitting = self.engines.iter_mut().filter(|capacity| {
            !capacity.is_held
                && capacity.rate_remaining != Some(0)
                && !excluded(capacity)
                && capacity.used.pending_prefill < MAX_PENDING_PREFILL
                && fits(capacity.used, tokens, limits, KV_CACHE_SHARE)
        });
        let cost = |capacity: &EngineCapacity<'_>| {
            let away = if capacity.data_centre == data_centre {
                0.0
            } else {
                REMOTE_COST
            };
            engine_cost(capacity.used, limits) + capacity.state_cost + away
        };
        let capacity = fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let capacity = capacity.ok_or(PlacementError::Full)?;
        capacity.rate_remaining = capacity.rate_remaining.map(|it| it.saturating_sub(1));
        capacity.used.running = capacity.used.running.saturating_add(1);
        capacity.used.tokens = capacity.used.tokens.saturating_add(tokens);
        capacity.used.pending_prefill = capacity.used.pending_prefill.saturating_add(prompt);
        Ok(capacity.key)
    }

    /// Keeps the engine with the most room for a request that fits nowhere yet.
    pub(super) fn hold_largest(&mut self) {
        let taken = |capacity: &EngineCapacity<'_>| {
            capacity
                .used
                .tokens
                .saturating_add(capacity.used.copy_tokens)
        };
        let free = self.engines.iter_mut().filter(|capacity| !capacity.is_held);
        if let Some(capacity) = free.min_by_key(|capacity| taken(capacity)) {
            capacity.is_held = true;
        }
    }
}

/// What a copy is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyKind {
    /// It is kept up to date as the generation grows, in case its engine leaves.
    Standby,
    /// Its engine leaves; the generation will go on from it.
    PreCopy,
}

/// Returns the engine with the most room for a copy of a generation that runs at `source`.
pub fn choose_copy_target(
    context: PlacementContext<'_>,
    demand: &Demand<'_>,
    source: &Endpoint,
    kind: CopyKind,
    mut jitter: impl FnMut() -> f64,
) -> Option<EndpointKey> {
    let limits = demand.engine?;
    let (share, remote_cost, jitter_width) = match kind {
        CopyKind::Standby => (STANDBY_SHARE, REMOTE_COST, JITTER_WIDTH),
        CopyKind::PreCopy => (PRE_COPY_SHARE, REMOTE_PRE_COPY_COST, PRE_COPY_JITTER_WIDTH),
    };
    let exclude = [demand.exclude, &[source.key]].concat();
    let elsewhere = Demand {
        exclude: &exclude,
        ..*demand
    };
    let trusted = |endpoint: &Endpoint| accepts_copies(context, endpoint);
    cheapest(candidates(context, &elsewhere, trusted), |endpoint| {
        let used = context.used(endpoint);
        if !fits(used, demand.tokens, limits, share) {
            return None;
        }
        let away = endpoint.record.data_centre != source.record.data_centre;
        let away = if away { remote_cost } else { 0.0 };
        Some(engine_cost(used, limits) + away + jitter_width * jitter())
    })
}

/// Returns the endpoint with the least cost; one without a cost cannot be chosen.
fn cheapest<'a>(
    endpoints: impl Iterator<Item = &'a Endpoint>,
    mut cost: impl FnMut(&Endpoint) -> Option<f64>,
) -> Option<EndpointKey> {
    let mut best: Option<(f64, EndpointKey)> = None;
    for endpoint in endpoints {
        let Some(cost) = cost(endpoint) else {
            continue;
        };
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, endpoint.key));
        }
    }
    best.map(|(_, key)| key)
}

/// Returns whether an endpoint is believed to serve, by what is seen here and elsewhere.
fn is_trusted(context: PlacementContext<'_>, endpoint: &Endpoint) -> bool {
    !endpoint.is_ejected(context.now) && !context.others.ejected.contains(&endpoint.key)
}

/// Returns whether an engine is believed to keep a copy.
///
/// What goes wrong otherwise: while the store is away, an engine that died still has its
/// entry. It looks empty, draws all copies to itself, and the generations that lean on
/// them are lost with their engines. Whoever had work there has seen it fail, and says so.
fn accepts_copies(context: PlacementContext<'_>, endpoint: &Endpoint) -> bool {
    let failing = endpoint.is_failing() || context.others.failing.contains(&endpoint.key);
    !failing && is_trusted(context, endpoint)
}

/// Returns the endpoints that may be chosen; those that are not `trusted` only if
/// there are no others.
fn candidates<'w>(
    context: PlacementContext<'w>,
    demand: &Demand<'_>,
    trusted: impl Fn(&Endpoint) -> bool,
) -> impl Iterator<Item = &'w Endpoint> {
    let fitting = move |endpoint: &&Endpoint| !demand.exclude.contains(&endpoint.key);
    let usable = || context.endpoints.usable_of(demand.service).filter(fitting);
    let any_trusted = usable().any(&trusted);
    usable().filter(move |endpoint| !any_trusted || trusted(endpoint))
}

fn fits(used: Usage, tokens: u32, limits: EngineLimits, share: f64) -> bool {
    let room = f64::from(limits.kv_cache_tokens) * share;
    let taken = f64::from(used.tokens) + f64::from(used.copy_tokens);
    let empty = used.running == 0;
    u32::from(used.running) < limits.slots && (empty || taken + f64::from(tokens) <= room)
}

fn engine_cost(used: Usage, limits: EngineLimits) -> f64 {
    let taken = f64::from(used.tokens) + f64::from(used.copy_tokens);
    let memory = taken / f64::from(limits.kv_cache_tokens.max(1));
    f64::from(used.running)
        + PENDING_PREFILL_COST * f64::from(used.pending_prefill)
        + KV_CACHE_COST * memory
}

fn plain_cost(context: PlacementContext<'_>, endpoint: &Endpoint, used: Usage) -> f64 {
    let counted = f64::from(used.running);
    let reported = context.usage.recent_load(context.now, endpoint.key);
    let reported = reported.map_or(0.0, |load| f64::from(load.running + load.waiting));
    counted.max(reported)
}

fn state_cost(context: PlacementContext<'_>, endpoint: &Endpoint, away: f64) -> f64 {
    let mut cost = FAILURE_COST * endpoint.failure_share();
    if endpoint.record.data_centre != context.data_centre {
        cost += away;
    }
    if context.now < endpoint.cold_until {
        cost += COLD_COST;
    }
    if let EndpointState::Lapsed { .. } = endpoint.state {
        cost += LAPSED_COST;
    }
    cost
}
