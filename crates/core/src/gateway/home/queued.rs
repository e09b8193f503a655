//! Decisions about queued requests.

use super::{Decisions, Home};
use crate::gateway::choose::PlacementContext;
use crate::gateway::engines::Engines;
use crate::gateway::holds::Holds;
use crate::gateway::queue::assign;
use crate::gateway::request::{PlacementDecision, PlacementKind};
use crate::gateway::usage::{PeerUsage, UsageTable};
use crate::time::Time;

impl Home {
    /// Grants placements to queued requests in the order of the queue, beside the room that is
    /// held for pre-copies.
    pub(super) fn decide_queued(
        &mut self,
        now: Time,
        engines: Engines<'_>,
        others: &PeerUsage,
        holds: &Holds,
        decided: &mut Decisions,
    ) {
        let none = UsageTable::default();
        let world = PlacementContext {
            now,
            endpoints: engines.endpoints,
            usage: &none,
            others,
            data_centre: "",
            pace: engines.pace,
        };
        let mut waiting = Vec::new();
        for (from, reporter) in self.reporters.iter().filter(|(_, it)| it.decides) {
            for request in reporter
                .requests
                .iter()
                .filter(|it| it.kind == PlacementKind::Queued)
            {
                match reporter.reserved.engine(request.queued.id) {
                    Some(key) => {
                        let decision = (request.queued.id, PlacementDecision::Granted(key));
                        decided.entry(*from).or_default().push(decision);
                    }
                    None => waiting.push((*from, reporter.queued(request))),
                }
            }
        }
        let share = self.granted_share(&engines);
        let left = |engine| {
            let bound = engines.rate_limit(now, engine);
            bound.map(|rate| self.limited_grants.remaining(now, engine, rate * share))
        };
        let assigned = assign(
            world,
            engines,
            left,
            holds,
            &self.recent_grants,
            waiting.iter().map(|(_, queued)| queued),
        );
        self.forecast.observe(now, assigned.room);
        let mut rejected = self.reject_late(now, &waiting, &assigned);
        let places = assigned.places.into_iter();
        for (at, ((from, queued), place)) in waiting.iter().zip(places).enumerate() {
            let id = queued.request.queued.id;
            let decision = match place {
                Ok(key) => PlacementDecision::Granted(key),
                Err(why) => match rejected.remove(&at) {
                    Some(retry_after_ms) => PlacementDecision::Rejected { retry_after_ms },
                    None => PlacementDecision::Queued(why),
                },
            };
            if let (Ok(key), Some(reporter)) = (place, self.reporters.get_mut(from)) {
                if engines.rate_limit(now, key).is_some() {
                    self.limited_grants.record(now, key);
                }
                let request = &queued.request.queued;
                self.recent_grants.record(now, request);
                self.forecast.on_placed(now, (*from, id), request.tokens);
                let used = queued.request.reserved_usage();
                reporter.reserved.insert(&mut self.sums, id, key, used);
            }
            decided.entry(*from).or_default().push((id, decision));
        }
    }
}
