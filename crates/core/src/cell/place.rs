//! Placement of waiting requests on endpoints.

use crate::cell::Cell;
use crate::cell::decision::{Alternative, CellDecision, GrantRecord, MAX_ALTERNATIVES, NotChosen};
use crate::cell::endpoint::{Endpoint, Fit, Measure};
use crate::cell::queue::Waiting;
use crate::cell::request::Distance;
use crate::ids::RequestId;
use crate::memory::{Age, Demand, Forecast, Held, Margins};
use crate::routing::RoutingFactors;
use crate::routing::prefix::EndpointIx;
use crate::time::Time;

/// Maximum number of endpoints whose fit is computed for one request.
const MAX_MEASURED: usize = 6;
/// Maximum number of endpoints taken from the index for one request, ineligible ones included.
const MAX_EXAMINED: usize = 24;

/// Grants queued requests until the head of no lane fits at any endpoint.
pub(super) fn place_waiting(cell: &mut Cell, now: Time, out: &mut Vec<CellDecision>) {
    let mut blocked = core::mem::take(&mut cell.blocked_lanes);
    blocked.clear();
    while let Some((lane, id)) = cell.queue.head(&blocked) {
        match place(cell, now, id) {
            Some(decision) => out.push(decision),
            None => blocked.push(lane),
        }
    }
    cell.blocked_lanes = blocked;
}

/// Grants a request if it fits. Otherwise room is held for it once it is overdue.
fn place(cell: &mut Cell, now: Time, id: RequestId) -> Option<CellDecision> {
    let mut search = Search::new(cell, id)?;
    search.run(cell, now);
    match search.best {
        Some((ix, _)) => Some(grant(cell, now, id, ix, search)),
        None => {
            hold_if_overdue(cell, now, id, &search.forecast);
            None
        }
    }
}

/// The search for the best endpoint for one request.
struct Search {
    id: RequestId,
    demand: Demand,
    forecast: Forecast,
    margins: Margins,
    candidates: Vec<EndpointIx>,
    best: Option<(EndpointIx, Scored)>,
    alternatives: Vec<Alternative>,
}

#[derive(Clone, Copy)]
struct Scored {
    fit: Fit,
    score: f64,
    prefix_blocks: u32,
}

impl Search {
    fn new(cell: &mut Cell, id: RequestId) -> Option<Search> {
        let waiting = cell.queue.get(id)?;
        let demand = cell.demand(&waiting.req, waiting.node);
        let risk = cell.classes[waiting.lane.class].risk.accepted();
        let curve = cell.lengths.curve(waiting.node);
        let forecast = Forecast::of(demand, Age::default(), curve);
        Some(Search {
            id,
            demand,
            forecast,
            margins: Margins::of(&forecast, risk),
            candidates: core::mem::take(&mut cell.candidates),
            best: None,
            alternatives: Vec::new(),
        })
    }

    /// Examines the endpoints that cache the prompt's prefix, then those with the most free room.
    fn run(&mut self, cell: &mut Cell, now: Time) {
        self.candidates.clear();
        let Some(needs) = cell.queue.get(self.id).map(|waiting| waiting.req.needs) else {
            return;
        };
        cell.ensure_indexed(needs);
        let Some(waiting) = cell.queue.get(self.id) else {
            return;
        };
        let hold = waiting.hold;
        let holders = cell.prefixes.holders(&waiting.req.prefix);
        self.candidates.extend(hold);
        for &ix in holders {
            if !self.candidates.contains(&ix) && cell.endpoints[ix].meets(needs) {
                self.candidates.push(ix);
            }
        }
        let first = self.candidates.len();
        for ix in cell.index.roomiest(needs).take(MAX_EXAMINED) {
            if !self.candidates[..first].contains(&ix) {
                self.candidates.push(ix);
            }
        }
        let candidates = core::mem::take(&mut self.candidates);
        let mut measured = 0;
        for &ix in &candidates {
            measured += usize::from(self.examine(cell, now, ix));
            if measured >= MAX_MEASURED {
                break;
            }
        }
        cell.candidates = candidates;
    }

    /// Examines one endpoint and returns whether it counts towards the limit of measured endpoints.
    fn examine(&mut self, cell: &mut Cell, now: Time, ix: EndpointIx) -> bool {
        cell.refresh_if_stale(now, ix);
        let Some(waiting) = cell.queue.get(self.id) else {
            return false;
        };
        let endpoint = &cell.endpoints[ix];
        if let Some(reason) = endpoint.ineligible_reason(now, &waiting.req) {
            self.add_alternative(endpoint, reason, 0);
            return false;
        }
        let measure = Measure {
            id: self.id,
            urgent: waiting.urgent,
            margins: &self.margins,
            forecast: &self.forecast,
        };
        let fit = endpoint.fit(now, &cell.cfg, measure);
        if !fit.fits {
            self.add_alternative(endpoint, endpoint.no_room_reason(now, self.id), fit.free);
            return endpoint.held_for.is_none();
        }
        let matched = cell.prefixes.matched(now, ix, &waiting.req.prefix);
        let scored = Scored {
            fit,
            score: merits(endpoint, waiting, fit, matched.blocks, matched.belief).score(),
            prefix_blocks: matched.blocks,
        };
        self.consider(cell, ix, scored);
        true
    }

    fn consider(&mut self, cell: &Cell, ix: EndpointIx, scored: Scored) {
        match self.best {
            Some((_, best)) if best.score >= scored.score => {
                self.add_alternative(&cell.endpoints[ix], NotChosen::Outranked, scored.fit.free);
            }
            before => {
                self.best = Some((ix, scored));
                if let Some((old, best)) = before {
                    self.add_alternative(&cell.endpoints[old], NotChosen::Outranked, best.fit.free);
                }
            }
        }
    }

    fn add_alternative(&mut self, endpoint: &Endpoint, reason: NotChosen, free: u32) {
        if self.alternatives.len() < MAX_ALTERNATIVES {
            self.alternatives.push(Alternative {
                endpoint: endpoint.info.key,
                reason,
                free,
            });
        }
    }
}

fn merits(
    endpoint: &Endpoint,
    waiting: &Waiting,
    fit: Fit,
    blocks: u32,
    belief: f64,
) -> RoutingFactors {
    let all = waiting.req.prefix.len().max(1) as f64;
    RoutingFactors {
        free_share: fit.free_share,
        prefix_share: belief * f64::from(blocks) / all,
        prompt_tokens: waiting.req.prompt_tokens,
        is_remote: endpoint.info.distance == Distance::Far,
    }
}

fn grant(
    cell: &mut Cell,
    now: Time,
    id: RequestId,
    ix: EndpointIx,
    search: Search,
) -> CellDecision {
    let waiting = cell.take_waiting(id);
    let mut record = cell.describe(now, &waiting);
    if let Some((_, best)) = search.best {
        record.free = best.fit.free;
        record.prefix_blocks = best.prefix_blocks;
    }
    record.needed = search.forecast.peak(0.0) as u32;
    record.alternatives = search.alternatives;
    cell.classes[waiting.lane.class].drain.granted(waiting.work);
    cell.prefixes.granted(now, ix, &waiting.req.prefix);
    let held = Held {
        id,
        class: waiting.lane.class,
        urgent: waiting.urgent,
        node: waiting.node,
        demand: search.demand,
        reported: 0,
        reported_at: now,
        granted: now,
        passed: 1,
        forecast: search.forecast,
    };
    cell.lease(now, ix, held, waiting.req.prompt_tokens);
    CellDecision::Grant {
        id,
        endpoint: cell.endpoints[ix].info.key,
        priority: waiting.req.class.urgency,
        record,
    }
}

/// Holds the room of one endpoint for an overdue request, so that shorter requests no longer take
/// each gap as it opens.
///
/// Without the hold, a steady flow of short requests starves long ones. The symptom is refusals of
/// the long class with `wait_expired` while short requests are served. Urgent requests that fit
/// into the urgent reserve get no hold, because under a steady flow of urgent requests the hold
/// would pass from one to the next forever.
fn hold_if_overdue(cell: &mut Cell, now: Time, id: RequestId, forecast: &Forecast) {
    let Some(waiting) = cell.queue.get(id) else {
        return;
    };
    if now < waiting.hold_from {
        return;
    }
    if let Some(ix) = waiting.hold {
        if cell.endpoints[ix]
            .ineligible_reason(now, &waiting.req)
            .is_none()
        {
            return;
        }
        cell.release_hold(id);
    }
    let Some(waiting) = cell.queue.get(id) else {
        return;
    };
    let free = |ix: &EndpointIx| {
        let endpoint = &cell.endpoints[*ix];
        let has_reserve = waiting.urgent && endpoint.fits_reserve(now, &cell.cfg, forecast);
        let is_ineligible = endpoint.ineligible_reason(now, &waiting.req).is_some();
        endpoint.held_for.is_none() && !has_reserve && !is_ineligible
    };
    let mut roomiest = cell.index.roomiest(waiting.req.needs).take(MAX_EXAMINED);
    if let Some(ix) = roomiest.find(free) {
        cell.endpoints[ix].held_for = Some(id);
        cell.queue.set_hold(id, Some(ix));
    }
}

/// Returns a record of the predictions for a waiting request.
pub(super) fn describe(cell: &mut Cell, now: Time, waiting: &Waiting) -> GrantRecord {
    let queued = cell.queue.len() as u32;
    let cap = waiting.req.max_tokens;
    let curve = cell.lengths.curve(waiting.node);
    GrantRecord {
        predicted_tokens: curve.mean(cap) as u32,
        predicted_p90: curve.quantile(0.9, cap),
        waited_ms: crate::cell::message::millis(now.since(waiting.req.arrived)),
        queued,
        ..GrantRecord::default()
    }
}
