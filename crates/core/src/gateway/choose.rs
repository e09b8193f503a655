//! Chooses the endpoint for a request, and the engine for a copy of a generation.
//!
//! For plain endpoints, and for engines while no home answers, each instance chooses on its own,
//! from its own usage and the last reported usage of its peers. Otherwise the home of a service
//! chooses engines, from the reports of all instances (`docs/design/platform.md`). An engine is
//! chosen by its KV cache usage, its pending prefill and the stalls predicted for it
//! ([`pace`](super::pace)), a plain endpoint by its queue.

use super::catalogue::EngineLimits;
use super::endpoints::{Endpoint, EndpointState, EndpointTable};
use super::holds::Holds;
use super::pace::{PaceModel, StallCosts, StallRange};
use super::request::{CopyKind, Demand, PlacementError, QueuedPlacement, QueuedRequest};
use super::shortlist::shortlist;
use super::usage::{PeerUsage, Usage, UsageTable};
use crate::ids::EndpointKey;
use crate::time::Time;
use std::collections::BTreeSet;

/// Share of an engine's KV cache that may be reserved. The need of a generation is an estimate:
/// with a larger share an engine preempts a generation and prefills it again, and first events are
/// delayed inside engines; with a smaller one requests are queued although there is room.
const KV_CACHE_SHARE: f64 = 0.98;

/// Share of an engine's KV cache up to which standby copies are placed. The rest is left for
/// running generations: a copy only helps a generation whose engine leaves, and that one can also
/// be copied after the notice.
const STANDBY_SHARE: f64 = 0.5;

/// Share of an engine's KV cache up to which pre-copies are placed if any engine allows it. One
/// that fits nowhere within this share may use as much as a new request: otherwise new requests
/// would take the rest, and a generation without a copy is lost with its engine.
const PRE_COPY_SHARE: f64 = 0.92;

/// Cost of a pending prefill token, in running generations. A new request waits for all of them,
/// and running generations take twice as long meanwhile: 3,000 tokens take about 430 ms on a shared
/// engine.
const PENDING_PREFILL_COST: f64 = 10.0 / 3_000.0;

/// Amplitude of the random tie-break between instances with the same view, in running generations.
/// Otherwise two requests that arrive at two instances within milliseconds would both choose the
/// same engine.
const JITTER_WIDTH: f64 = 1.0;

/// Cost of a full KV cache, in running generations.
const KV_CACHE_COST: f64 = 12.0;

/// Cost of an engine in another data centre, in running generations: a few milliseconds of latency
/// and the traffic between data centres.
const REMOTE_COST: f64 = 0.5;

/// Cost of another data centre for a pre-copy, in running generations: the transfer takes twice as
/// long, and the copies of one engine share its link during the notice period.
const REMOTE_PRE_COPY_COST: f64 = 3.0;

/// Penalty of an engine without a free slot where room is held for a pre-copy, in KV caches: more
/// than any difference in usage or location.
const NO_SLOT_PENALTY: f64 = 4.0;

/// Amplitude of the jitter for pre-copies, in running generations. All generations of a leaving
/// engine choose at the same moment; without the jitter they would all choose and overfill the same
/// engine.
const PRE_COPY_JITTER_WIDTH: f64 = 10.0;

/// Cost of a plain endpoint in another data centre, in requests: a round trip of about 3 ms,
/// compared with calls of 15 ms and more.
const REMOTE_PLAIN_COST: f64 = 0.5;

/// Cost of a cold engine, which is still slow after its start.
const COLD_COST: f64 = 8.0;

/// Cost of an endpoint whose record disappeared and may not return.
const LAPSED_COST: f64 = 30.0;

/// Cost of an endpoint at which all requests fail, in requests.
const FAILURE_COST: f64 = 20.0;

/// Upper bound of pending prefill tokens at one engine, which take about 0.9 s. Further requests
/// would wait just as long here, where they can still go to another engine.
const MAX_PENDING_PREFILL: u32 = 6_000;

/// The state from which an endpoint is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The current time.
    pub now: Time,
    /// All endpoints.
    pub endpoints: &'a EndpointTable,
    /// Usage by this instance.
    pub usage: &'a UsageTable,
    /// Usage by other instances.
    pub others: &'a PeerUsage,
    /// The data centre of this instance.
    pub data_centre: &'a str,
    /// The pace of the service's engines.
    pub pace: &'a PaceModel,
}

impl<'a> PlacementContext<'a> {
    fn used(self, endpoint: &Endpoint) -> Usage {
        self.usage
            .own(endpoint.key)
            .plus(self.others.of(endpoint.key))
    }

    /// Returns the engines that a home has to look at to place `requests` requests, some of which
    /// may not be placed at `excluded` ones.
    fn shortlist(
        self,
        service: &str,
        requests: usize,
        excluded: impl Iterator<Item = EndpointKey>,
        trusted: impl Fn(&Endpoint) -> bool,
    ) -> Vec<&'a Endpoint> {
        let used = self.usage.endpoints().chain(self.others.endpoints());
        let differing = used.chain(self.pace.deviating()).chain(excluded).collect();
        let is_spare =
            |endpoint: &Endpoint| state_cost(self, endpoint, 0.0) <= 0.0 && trusted(endpoint);
        shortlist(self.endpoints, service, requests, &differing, is_spare)
    }
}

/// Who chooses an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser<'a> {
    /// The home of the service, which chooses for all instances: it looks at those engines only
    /// among which the best one is.
    Home,
    /// An instance for itself, among all endpoints of the service.
    Instance,
    /// An instance for itself, among these endpoints.
    InstanceAmong(&'a [EndpointKey]),
}

impl<'a> Chooser<'_> {
    /// Returns the candidates for a demand, in the order of their keys. Endpoints that are not
    /// `trusted` are included only if there are no others.
    fn candidates(
        self,
        context: PlacementContext<'a>,
        demand: &Demand<'_>,
        trusted: impl Fn(&Endpoint) -> bool,
    ) -> Vec<&'a Endpoint> {
        let exclude: BTreeSet<EndpointKey> = demand.exclude.iter().copied().collect();
        let listed: Vec<&Endpoint> = match self {
            Chooser::Home => {
                let excluded = demand.exclude.iter().copied();
                context.shortlist(demand.service, 1, excluded, &trusted)
            }
            Chooser::Instance => context.endpoints.usable_of(demand.service).collect(),
            Chooser::InstanceAmong(keys) => {
                let usable = keys.iter().filter_map(|it| context.endpoints.usable(*it));
                usable.collect()
            }
        };
        trusted_if_any(
            listed
                .into_iter()
                .filter(|it| !exclude.contains(&it.key))
                .collect(),
            trusted,
        )
    }
}

/// Drops the endpoints that are not trusted, unless there are no others.
fn trusted_if_any(
    mut endpoints: Vec<&Endpoint>,
    trusted: impl Fn(&Endpoint) -> bool,
) -> Vec<&Endpoint> {
    if endpoints.iter().any(|it| trusted(it)) {
        endpoints.retain(|it| trusted(it));
    }
    endpoints
}

/// Returns the endpoint with the lowest cost. `jitter` returns a random number below one for each
/// candidate, as a tie-break between instances with the same view.
///
/// # Errors
///
/// Returns why no endpoint can be chosen.
pub fn choose(
    context: PlacementContext<'_>,
    demand: &Demand<'_>,
    jitter: impl FnMut() -> f64,
) -> Result<EndpointKey, PlacementError> {
    choose_by(Chooser::Instance, context, demand, jitter)
}

/// Returns the endpoint with the lowest cost among those at which `chooser` looks; see [`choose`].
///
/// # Errors
///
/// Returns why no endpoint can be chosen.
pub fn choose_by(
    chooser: Chooser<'_>,
    context: PlacementContext<'_>,
    demand: &Demand<'_>,
    mut jitter: impl FnMut() -> f64,
) -> Result<EndpointKey, PlacementError> {
    let mut full = false;
    let trusted = |endpoint: &Endpoint| is_trusted(context, endpoint);
    let candidates = chooser.candidates(context, demand, trusted);
    let stalls = stall_costs(context, demand, &candidates);
    let chosen = cheapest(&candidates, |endpoint| {
        let used = context.used(endpoint);
        let (cost, away) = match demand.engine {
            Some(limits) => {
                let room = fits(used, demand.tokens, limits, KV_CACHE_SHARE);
                if !room || used.pending_prefill >= MAX_PENDING_PREFILL {
                    full = true;
                    return None;
                }
                let stalled = stalls.cost(context.pace.stalled_ms(endpoint.key), used.running);
                (engine_cost(used, limits) + stalled, REMOTE_COST)
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

/// Returns why a service has no candidate.
fn why_none(context: PlacementContext<'_>, service: &str) -> PlacementError {
    match context.endpoints.is_service_cordoned(service) {
        true => PlacementError::Cordoned,
        false => PlacementError::NoEndpoint,
    }
}

/// The free capacity of all engines of a service, reduced by each reservation.
#[derive(Clone, Debug)]
pub(super) struct EngineCapacities<'a> {
    limits: EngineLimits,
    /// Share of each engine's KV cache that may be reserved.
    share: f64,
    engines: Vec<EngineCapacity<'a>>,
    /// How many engines run nothing and are not among `engines`, because each request would rather
    /// be placed at one of those.
    left_out: usize,
    /// The range of predicted gaps of the engines.
    stalls: StallRange,
}

#[derive(Clone, Copy, Debug)]
struct EngineCapacity<'a> {
    key: EndpointKey,
    data_centre: &'a str,
    used: Usage,
    /// The part of the cost that does not depend on load.
    state_cost: f64,
    /// The predicted stalled gap in milliseconds.
    stalled_ms: f64,
    /// Whether its free capacity is held for a large request.
    is_held: bool,
    /// The most urgent priority of the pre-copies for which its free capacity is held.
    held_for: Option<u8>,
    /// How many more requests it may get if its rate is limited.
    rate_remaining: Option<u32>,
}

/// Returns the capacities of the engines at which `waiting` can be placed.
///
/// # Errors
///
/// Returns why there is no engine.
pub(super) fn capacities<'a>(
    context: PlacementContext<'a>,
    demand: &Demand<'_>,
    waiting: &[&QueuedPlacement],
    rate_remaining: impl Fn(EndpointKey) -> Option<u32>,
) -> Result<EngineCapacities<'a>, PlacementError> {
    let limits = demand.engine.ok_or(PlacementError::NoEndpoint)?;
    let trusted = |endpoint: &Endpoint| is_trusted(context, endpoint);
    let excluded = waiting.iter().flat_map(|it| &it.request.exclude);
    let excluded = excluded.chain(waiting.iter().flat_map(|it| &it.avoid));
    let is_spare = |it: &Endpoint| trusted(it) && rate_remaining(it.key).is_none();
    let requests = waiting.len().max(1);
    let listed = context.shortlist(demand.service, requests, excluded.copied(), is_spare);
    let engines: Vec<EngineCapacity<'_>> = trusted_if_any(listed, trusted)
        .into_iter()
        .map(|endpoint| EngineCapacity {
            key: endpoint.key,
            data_centre: &endpoint.record.data_centre,
            used: context.used(endpoint),
            state_cost: state_cost(context, endpoint, 0.0),
            stalled_ms: context.pace.stalled_ms(endpoint.key),
            is_held: false,
            held_for: None,
            rate_remaining: rate_remaining(endpoint.key),
        })
        .collect();
    if engines.is_empty() {
        return Err(why_none(context, demand.service));
    }
    let keys = engines.iter().map(|it| it.key);
    let stalls = StallRange::of(context.pace, context.now, keys);
    Ok(EngineCapacities {
        limits,
        share: KV_CACHE_SHARE,
        left_out: trusted_count(context, demand.service).saturating_sub(engines.len()),
        engines,
        stalls,
    })
}

/// Returns how many usable endpoints of a service are trusted; if none is, how many are usable.
fn trusted_count(context: PlacementContext<'_>, service: &str) -> usize {
    let ejected = context.endpoints.ejected(context.now);
    let ejected: BTreeSet<EndpointKey> = ejected
        .chain(context.others.ejected.iter().copied())
        .collect();
    let ejected = ejected.into_iter().filter(|key| {
        let endpoint = context.endpoints.usable(*key);
        endpoint.is_some_and(|it| it.record.service == service)
    });
    let usable = context.endpoints.usable_count(service);
    match usable.saturating_sub(ejected.count()) {
        0 => usable,
        trusted => trusted,
    }
}

impl EngineCapacities<'_> {
    /// Applies the room that is held for pre-copies. Only requests that are more urgent than the
    /// generations that wait for it may use the engine.
    pub(super) fn apply_holds(&mut self, holds: &Holds) {
        if holds.is_empty() {
            return;
        }
        for capacity in &mut self.engines {
            capacity.held_for = holds.priority_at(capacity.key);
        }
    }

    /// Returns how many engines are looked at for each request.
    pub(super) fn looked_at(&self) -> usize {
        self.engines.len()
    }

    /// Returns the KV cache of all engines together.
    pub(super) fn total_kv_cache_tokens(&self) -> u64 {
        let engines = self.engines.len() + self.left_out;
        u64::from(self.limits.kv_cache_tokens) * engines as u64
    }

    /// Returns the KV cache tokens that may still be reserved at all engines together.
    pub(super) fn room(&self) -> f64 {
        let share = f64::from(self.limits.kv_cache_tokens) * KV_CACHE_SHARE;
        let free = self.engines.iter().map(|capacity| {
            let taken = f64::from(capacity.used.tokens) + f64::from(capacity.used.copy_tokens);
            (share - taken).max(0.0)
        });
        free.sum::<f64>() + share * self.left_out as f64
    }

    /// Returns whether any engine that a request may use has room for it, also room that is held
    /// for others or left free for more urgent ones.
    pub(super) fn has_room(&self, placement: &QueuedPlacement) -> bool {
        let tokens = placement.request.queued.tokens;
        let mut engines = self.engines.iter();
        // An engine that runs nothing has room for any request.
        self.left_out > 0
            || engines.any(|capacity| {
                !placement.request.exclude.contains(&capacity.key)
                    && fits(capacity.used, tokens, self.limits, KV_CACHE_SHARE)
            })
    }

    /// Leaves a share of each engine's KV cache free in further reservations.
    pub(super) fn leave_free(&mut self, headroom: f64) {
        self.share = KV_CACHE_SHARE - headroom;
    }

    /// Reserves capacity for a request at the engine with the lowest cost, and returns the engine.
    ///
    /// # Errors
    ///
    /// Returns why no engine has room.
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
        let QueuedRequest {
            tokens,
            prompt,
            priority,
            ..
        } = placement.request.queued;
        let data_centre = placement.data_centre.as_str();
        let (limits, share) = (self.limits, self.share);
        let stalls = StallCosts::new(self.stalls, placement.request.queued.pace_demand());
        let fitting = self.engines.iter_mut().filter(|capacity| {
            !capacity.is_held
                && !capacity.is_held_against(priority)
                && capacity.rate_remaining != Some(0)
                && !excluded(capacity)
                && capacity.used.pending_prefill < MAX_PENDING_PREFILL
                && fits(capacity.used, tokens, limits, share)
        });
        let cost = |capacity: &EngineCapacity<'_>| {
            let away = if capacity.data_centre == data_centre {
                0.0
            } else {
                REMOTE_COST
            };
            let stalled = stalls.cost(capacity.stalled_ms, capacity.used.running);
            engine_cost(capacity.used, limits) + capacity.state_cost + away + stalled
        };
        let capacity = fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let capacity = capacity.ok_or(PlacementError::Full)?;
        capacity.rate_remaining = capacity.rate_remaining.map(|it| it.saturating_sub(1));
        capacity.used.running = capacity.used.running.saturating_add(1);
        capacity.used.tokens = capacity.used.tokens.saturating_add(tokens);
        capacity.used.pending_prefill = capacity.used.pending_prefill.saturating_add(prompt);
        Ok(capacity.key)
    }

    /// Holds the engine with the most free capacity for a request that does not fit anywhere yet,
    /// among those at which it may run.
    pub(super) fn hold_largest(&mut self, placement: &QueuedPlacement) {
        let taken = |capacity: &EngineCapacity<'_>| {
            capacity
                .used
                .tokens
                .saturating_add(capacity.used.copy_tokens)
        };
        let priority = placement.request.queued.priority;
        let free = self.engines.iter_mut().filter(|capacity| {
            !capacity.is_held
                && !capacity.is_held_against(priority)
                && !placement.request.exclude.contains(&capacity.key)
        });
        if let Some(capacity) = free.min_by_key(|capacity| taken(capacity)) {
            capacity.is_held = true;
        }
    }
}

impl EngineCapacity<'_> {
    /// Returns whether the engine is held for a pre-copy that a request of this priority does not
    /// precede.
    fn is_held_against(&self, priority: u8) -> bool {
        self.held_for.is_some_and(|held| priority >= held)
    }
}

/// Returns the engine with the lowest cost for a copy of a generation that runs at `source`.
pub fn choose_copy_target(
    context: PlacementContext<'_>,
    demand: &Demand<'_>,
    source: &Endpoint,
    kind: CopyKind,
    jitter: impl FnMut() -> f64,
) -> Option<EndpointKey> {
    choose_copy_target_by(Chooser::Instance, context, demand, source, kind, jitter)
}

/// Returns the engine with the lowest cost for a copy among those at which `chooser` looks; see
/// [`choose_copy_target`].
pub fn choose_copy_target_by(
    chooser: Chooser<'_>,
    context: PlacementContext<'_>,
    demand: &Demand<'_>,
    source: &Endpoint,
    kind: CopyKind,
    mut jitter: impl FnMut() -> f64,
) -> Option<EndpointKey> {
    let limits = demand.engine?;
    let (remote_cost, jitter_width) = match kind {
        CopyKind::Standby => (REMOTE_COST, JITTER_WIDTH),
        CopyKind::PreCopy => (REMOTE_PRE_COPY_COST, PRE_COPY_JITTER_WIDTH),
    };
    let exclude = [demand.exclude, &[source.key]].concat();
    let elsewhere = Demand {
        exclude: &exclude,
        ..*demand
    };
    let trusted = |endpoint: &Endpoint| accepts_copies(context, endpoint);
    let candidates = chooser.candidates(context, &elsewhere, trusted);
    let stalls = stall_costs(context, demand, &candidates);
    let mut within = |has_room: fn(Usage, u32, EngineLimits) -> bool| {
        cheapest(&candidates, |endpoint| {
            let used = context.used(endpoint);
            if !has_room(used, demand.tokens, limits) {
                return None;
            }
            let away = endpoint.record.data_centre != source.record.data_centre;
            let away = if away { remote_cost } else { 0.0 };
            let stalled = stalls.cost(context.pace.stalled_ms(endpoint.key), used.running);
            Some(engine_cost(used, limits) + away + stalled + jitter_width * jitter())
        })
    };
    match kind {
        CopyKind::Standby => {
            within(|used, tokens, limits| fits(used, tokens, limits, STANDBY_SHARE))
        }
        CopyKind::PreCopy => {
            let usual =
                within(|used, tokens, limits| fits_pre_copy(used, tokens, limits, PRE_COPY_SHARE));
            usual.or_else(|| {
                within(|used, tokens, limits| fits_pre_copy(used, tokens, limits, KV_CACHE_SHARE))
            })
        }
    }
}

/// Returns the engine at which a pre-copy that fits nowhere lacks the least room, so that room is
/// held there. A remote engine counts as if it had less room, in proportion to its cost. Engines
/// without a free slot come last: a slot becomes free no sooner than room does.
pub fn choose_hold(
    context: PlacementContext<'_>,
    demand: &Demand<'_>,
    source: &Endpoint,
) -> Option<EndpointKey> {
    let limits = demand.engine?;
    let exclude = [demand.exclude, &[source.key]].concat();
    let elsewhere = Demand {
        exclude: &exclude,
        ..*demand
    };
    let trusted = |endpoint: &Endpoint| accepts_copies(context, endpoint);
    let candidates = Chooser::Instance.candidates(context, &elsewhere, trusted);
    cheapest(&candidates, |endpoint| {
        let used = context.used(endpoint);
        let taken = f64::from(used.tokens) + f64::from(used.copy_tokens);
        let away = endpoint.record.data_centre != source.record.data_centre;
        let has_slot = u32::from(used.running) < limits.slots;
        let capacity = f64::from(limits.kv_cache_tokens);
        let away = if away {
            REMOTE_PRE_COPY_COST / KV_CACHE_COST
        } else {
            0.0
        };
        let no_slot = if has_slot { 0.0 } else { NO_SLOT_PENALTY };
        Some(taken + capacity * (away + no_slot))
    })
}

/// Returns the endpoint with the lowest cost; an endpoint whose cost is `None` is never chosen.
fn cheapest(
    endpoints: &[&Endpoint],
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

/// Returns whether neither this instance nor its peers have ejected an endpoint.
fn is_trusted(context: PlacementContext<'_>, endpoint: &Endpoint) -> bool {
    !endpoint.is_ejected(context.now) && !context.others.ejected.contains(&endpoint.key)
}

/// Returns whether copies may be placed at an engine.
///
/// During a store outage the record of a crashed engine remains. The engine looks empty and would
/// attract all copies, and the generations that depend on them would be lost with their engines. An
/// instance with work there has seen it fail and reports it, so one failure is enough to exclude an
/// engine here.
fn accepts_copies(context: PlacementContext<'_>, endpoint: &Endpoint) -> bool {
    let failing = endpoint.is_failing() || context.others.failing.contains(&endpoint.key);
    !failing && is_trusted(context, endpoint)
}

fn fits(used: Usage, tokens: u32, limits: EngineLimits, share: f64) -> bool {
    let empty = used.running == 0;
    u32::from(used.running) < limits.slots && (empty || fits_beside(used, tokens, limits, share))
}

fn fits_beside(used: Usage, tokens: u32, limits: EngineLimits, share: f64) -> bool {
    let room = f64::from(limits.kv_cache_tokens) * share;
    let taken = f64::from(used.tokens) + f64::from(used.copy_tokens);
    taken + f64::from(tokens) <= room
}

/// Returns whether a pre-copy fits into an engine. An engine without running generations has room
/// for a generation of any size, but for one only: several pre-copies are granted before the first
/// of them resumes, and would overfill an engine that has just started.
fn fits_pre_copy(used: Usage, tokens: u32, limits: EngineLimits, share: f64) -> bool {
    let is_empty = used.running == 0 && used.copy_tokens == 0;
    u32::from(used.running) < limits.slots && (is_empty || fits_beside(used, tokens, limits, share))
}

fn engine_cost(used: Usage, limits: EngineLimits) -> f64 {
    let taken = f64::from(used.tokens) + f64::from(used.copy_tokens);
    let memory = taken / f64::from(limits.kv_cache_tokens.max(1));
    f64::from(used.running)
        + PENDING_PREFILL_COST * f64::from(used.pending_prefill)
        + KV_CACHE_COST * memory
}

/// Returns the costs of predicted stalls of a request at these candidates.
fn stall_costs(
    context: PlacementContext<'_>,
    demand: &Demand<'_>,
    candidates: &[&Endpoint],
) -> StallCosts {
    let keys = candidates.iter().map(|endpoint| endpoint.key);
    StallCosts::new(StallRange::of(context.pace, context.now, keys), demand.pace)
}

fn plain_cost(context: PlacementContext<'_>, endpoint: &Endpoint, used: Usage) -> f64 {
    let counted = f64::from(used.running);
    let reported = context.usage.recent_load(context.now, endpoint.key);
    let Some(load) = reported else { return counted };
    let queue = counted.max(f64::from(load.running.saturating_add(load.waiting)));
    // The request counts as part of the queue: an empty endpoint on a slow host must not look as
    // good as an empty one on a usual host.
    (queue + 1.0) * load.slowdown.factor() - 1.0
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
