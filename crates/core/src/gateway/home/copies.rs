//! Decisions about copies and immediate placements.

use super::{Decisions, Home, Reporter};
use crate::gateway::choose::{
    Chooser, PlacementContext, choose_by, choose_copy_target_by, choose_hold,
};
use crate::gateway::endpoints::Endpoint;
use crate::gateway::engines::Engines;
use crate::gateway::holds::Holds;
use crate::gateway::request::{
    Demand, PlacementDecision, PlacementError, PlacementKind, PlacementRequest,
};
use crate::gateway::usage::{PeerUsage, UsageTable};
use crate::ids::EndpointKey;
use crate::time::Time;
use core::cmp::Reverse;
use std::net::SocketAddrV4;

/// Share of what a home may grant at an engine with a rate limit that pre-copies may use. A
/// generation resumes up to 1.1 s after the grant, so the resumes of two windows may arrive within
/// one second; with this share they stay within the overshoot that a cold engine tolerates.
const COLD_COPY_SHARE: f64 = 0.67;

/// The usage by this instance alone, which is part of the reports.
static NO_OWN_USAGE: UsageTable = UsageTable::new();

impl Home {
    /// Decides about copies of generations whose engine leaves, before everything else: those
    /// generations are lost without one. A copy that fits nowhere stays queued, and room is held
    /// for it against new requests. The one with the most tokens comes first, since most work would
    /// be lost with it.
    pub(super) fn decide_pre_copies(
        &mut self,
        now: Time,
        engines: Engines<'_>,
        others: &mut PeerUsage,
        decided: &mut Decisions,
    ) -> Holds {
        let mut holds = Holds::default();
        let mut requests = self.pre_copies();
        if requests.is_empty() {
            return holds;
        }
        requests.sort_by_key(|(_, request)| Reverse(request.queued.tokens));
        let no_room = self.without_room();
        let share = COLD_COPY_SHARE * self.granted_share(&engines);
        for (from, request) in requests {
            let Some(reporter) = self.reporters.get_mut(&from) else {
                continue;
            };
            let queued = request.queued;
            let granted = reporter.reserved.engine(queued.id);
            // A smaller pre-copy may use room that is held for a larger one: that room is too small
            // for the larger one yet, and the engines end before much more becomes free.
            let world = reporter.context(now, engines, others);
            let is_at_limit = |key: &EndpointKey| {
                let rate = engines.rate_limit(now, *key);
                rate.is_some_and(|it| self.limited_grants.remaining(now, *key, it * share) == 0)
            };
            let mut unusable = engines.rate_limited(now);
            unusable.retain(is_at_limit);
            unusable.extend(&no_room);
            let place = match granted {
                Some(key) => Ok(key),
                None => choose_immediate(world, engines, &request, &unusable),
            };
            let decision = match place {
                Ok(key) => PlacementDecision::Granted(key),
                Err(PlacementError::Full) => PlacementDecision::Queued(PlacementError::Full),
                Err(why) => PlacementDecision::Denied(why),
            };
            match (place, granted) {
                (Ok(key), None) => {
                    if engines.rate_limit(now, key).is_some() {
                        self.limited_grants.record(now, key);
                    }
                    let used = request.reserved_usage();
                    holds.grant(others, key, used);
                    reporter
                        .reserved
                        .insert(&mut self.sums, queued.id, key, used);
                }
                (Err(PlacementError::Full), _) => {
                    let world = reporter.context(now, engines, holds.beside(others));
                    if let Some(engine) = hold_for(world, engines, &request, &unusable) {
                        holds.hold(others, engine, queued.priority, queued.tokens);
                    }
                }
                _ => {}
            }
            decided.entry(from).or_default().push((queued.id, decision));
        }
        holds
    }

    /// Decides about standby copies and immediate placements, which are never queued.
    pub(super) fn decide_immediate(
        &mut self,
        now: Time,
        engines: Engines<'_>,
        holds: &mut Holds,
        others: &mut PeerUsage,
        decided: &mut Decisions,
    ) {
        let any_queued = self.reporters.values().any(Reporter::has_queued_request);
        let limited = engines.rate_limited(now);
        let unusable_for_copies = [limited.as_slice(), &self.without_room()].concat();
        for (from, reporter) in self.reporters.iter_mut().filter(|(_, it)| it.decides) {
            for request in reporter.requests.iter().filter(|it| !it.kind.is_queued()) {
                let id = request.queued.id;
                let granted = reporter.reserved.engine(id);
                let is_immediate = request.kind == PlacementKind::Immediate;
                let is_before = |held| is_immediate && request.queued.priority < held;
                let usage = match holds.most_urgent().is_some_and(is_before) {
                    true => &*others,
                    false => holds.beside(others),
                };
                let world = reporter.context(now, engines, usage);
                let place = match granted {
                    Some(key) => Ok(key),
                    None if is_immediate && any_queued => Err(PlacementError::Full),
                    None if is_immediate => choose_immediate(world, engines, request, &limited),
                    None => choose_immediate(world, engines, request, &unusable_for_copies),
                };
                let decision = match place {
                    Ok(key) => PlacementDecision::Granted(key),
                    Err(why) => PlacementDecision::Denied(why),
                };
                if let (Ok(key), None) = (place, granted) {
                    let used = request.reserved_usage();
                    holds.grant(others, key, used);
                    reporter.reserved.insert(&mut self.sums, id, key, used);
                }
                decided.entry(*from).or_default().push((id, decision));
            }
        }
    }

    /// Returns the requests for pre-copies that this instance decides.
    fn pre_copies(&self) -> Vec<(SocketAddrV4, PlacementRequest)> {
        let mut requests = Vec::new();
        for (from, reporter) in self.reporters.iter().filter(|(_, it)| it.decides) {
            let urgent = reporter.requests.iter().filter(|it| it.is_urgent());
            requests.extend(urgent.map(|it| (*from, it.clone())));
        }
        requests
    }

    /// Returns the engines that recently refused a copy for lack of room.
    fn without_room(&self) -> Vec<EndpointKey> {
        let all = self.reporters.values().flat_map(|it| &it.no_room);
        all.copied().collect()
    }
}

impl Reporter {
    fn context<'a>(
        &'a self,
        now: Time,
        engines: Engines<'a>,
        others: &'a PeerUsage,
    ) -> PlacementContext<'a> {
        PlacementContext {
            now,
            endpoints: engines.endpoints,
            usage: &NO_OWN_USAGE,
            others,
            data_centre: &self.data_centre,
            pace: engines.pace,
        }
    }
}

/// Chooses an engine for a copy or an immediate placement, but none in `unusable`.
fn choose_immediate(
    world: PlacementContext<'_>,
    engines: Engines<'_>,
    request: &PlacementRequest,
    unusable: &[EndpointKey],
) -> Result<EndpointKey, PlacementError> {
    let exclude = [&request.exclude, unusable].concat();
    let mut demand = demand(engines, request, &exclude);
    // One instance decides all requests one after the other: no random spread is needed.
    let no_draw = || 0.0;
    match request.kind {
        PlacementKind::Queued | PlacementKind::Immediate => {
            choose_by(Chooser::Home, world, &demand, no_draw)
        }
        PlacementKind::Copy { kind, .. } => {
            // A generation that resumes from a copy prefills nothing.
            demand.pace.prompt = 0;
            let source = source(world, request).ok_or(PlacementError::NoEndpoint)?;
            choose_copy_target_by(Chooser::Home, world, &demand, source, kind, no_draw)
                .ok_or(PlacementError::Full)
        }
    }
}

/// Chooses the engine at which room is held for a pre-copy that fits nowhere.
fn hold_for(
    world: PlacementContext<'_>,
    engines: Engines<'_>,
    request: &PlacementRequest,
    unusable: &[EndpointKey],
) -> Option<EndpointKey> {
    let exclude = [&request.exclude, unusable].concat();
    choose_hold(
        world,
        &demand(engines, request, &exclude),
        source(world, request)?,
    )
}

/// Returns the engine at which the generation runs that is to be copied.
fn source<'a>(world: PlacementContext<'a>, request: &PlacementRequest) -> Option<&'a Endpoint> {
    match request.kind {
        PlacementKind::Queued | PlacementKind::Immediate => None,
        PlacementKind::Copy { source, .. } => world.endpoints.get(source),
    }
}

fn demand<'a>(
    engines: Engines<'a>,
    request: &PlacementRequest,
    exclude: &'a [EndpointKey],
) -> Demand<'a> {
    Demand {
        service: engines.service,
        engine: Some(engines.limits),
        tokens: request.queued.tokens,
        exclude,
        pace: request.queued.pace_demand(),
    }
}
