//! Decisions about copies and immediate placements.

use super::{Decisions, Home, Reporter};
use crate::gateway::choose::{PlacementContext, choose, choose_copy_target};
use crate::gateway::engines::Engines;
use crate::gateway::request::{
    Demand, PlacementDecision, PlacementError, PlacementKind, PlacementRequest,
};
use crate::gateway::usage::{PeerUsage, UsageTable};
use crate::ids::EndpointKey;
use crate::time::Time;

impl Home {
    /// Decides about copies and immediate placements, which are never queued. Copies of generations
    /// whose engine leaves come first: those generations are lost without one.
    pub(super) fn decide_immediate(
        &mut self,
        now: Time,
        engines: Engines<'_>,
        others: &mut PeerUsage,
        decided: &mut Decisions,
    ) {
        let any_queued = self.reporters.values().any(Reporter::has_queued_request);
        let none = UsageTable::default();
        for urgent in [true, false] {
            for (from, reporter) in self.reporters.iter_mut().filter(|(_, it)| it.decides) {
                for request in &reporter.requests {
                    if request.kind == PlacementKind::Queued || request.is_urgent() != urgent {
                        continue;
                    }
                    let id = request.queued.id;
                    let granted = reporter.reserved.get(&id).map(|(key, _)| *key);
                    let world = PlacementContext {
                        now,
                        endpoints: engines.endpoints,
                        usage: &none,
                        others,
                        data_centre: &reporter.data_centre,
                        pace: engines.pace,
                    };
                    let place = match granted {
                        Some(key) => Ok(key),
                        None if request.kind == PlacementKind::Immediate && any_queued => {
                            Err(PlacementError::Full)
                        }
                        None => choose_immediate(world, engines, request),
                    };
                    let decision = match place {
                        Ok(key) => PlacementDecision::Granted(key),
                        Err(why) => PlacementDecision::Denied(why),
                    };
                    if let (Ok(key), None) = (place, granted) {
                        let used = request.reserved_usage();
                        others.add(key, used);
                        reporter.reserved.insert(id, (key, used));
                    }
                    decided.entry(*from).or_default().push((id, decision));
                }
            }
        }
    }
}

/// Chooses an engine for a placement request that is not queued.
fn choose_immediate(
    world: PlacementContext<'_>,
    engines: Engines<'_>,
    request: &PlacementRequest,
) -> Result<EndpointKey, PlacementError> {
    // Engines with a rate limit are granted only through the queue, within the limit.
    let mut exclude = request.exclude.clone();
    exclude.extend(engines.rate_limited(world.now));
    let mut demand = Demand {
        service: engines.service,
        engine: Some(engines.limits),
        tokens: request.queued.tokens,
        exclude: &exclude,
        pace: request.queued.pace_demand(),
    };
    // One instance decides all requests one after the other: no random spread is needed.
    let no_draw = || 0.0;
    match request.kind {
        PlacementKind::Queued | PlacementKind::Immediate => choose(world, &demand, no_draw),
        PlacementKind::Copy { source, kind } => {
            // A generation that resumes from a copy prefills nothing.
            demand.pace.prompt = 0;
            let source = world
                .endpoints
                .get(source)
                .ok_or(PlacementError::NoEndpoint)?;
            choose_copy_target(world, &demand, source, kind, no_draw).ok_or(PlacementError::Full)
        }
    }
}
