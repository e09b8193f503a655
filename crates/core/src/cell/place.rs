//! Placing: which waiting request goes where, now.

use crate::cell::Cell;
use crate::cell::decision::{Alternative, CellDecision, GrantRecord, Lost, MAX_ALTERNATIVES};
use crate::cell::endpoint::{Endpoint, Fit, Measure};
use crate::cell::queue::Waiting;
use crate::cell::request::Distance;
use crate::ids::RequestId;
use crate::memory::{Age, Demand, Forecast, Held, Margins};
use crate::routing::RoutingFactors;
use crate::routing::prefix::EndpointIx;
use crate::time::Time;

/// Endpoints with room that are measured for one request.
const MEASURED: usize = 6;
/// Endpoints looked at for one request, barred ones included.
const LOOKED_AT: usize = 24;

/// Grants from the queue until no lane's head fits anywhere.
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

/// Grants one request if it fits; an overdue one that does not gets a hold.
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

/// The search for a place for one request.
struct Search {
    id: RequestId,
    demand: Demand,
    forecast: Forecast,
    margins: Margins,
    seen: Vec<EndpointIx>,
    best: Option<(EndpointIx, Scored)>,
    lost: Vec<Alternative>,
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
            seen: core::mem::take(&mut cell.seen),
            best: None,
            lost: Vec::new(),
        })
    }

    /// Looks at the holders of the prompt's prefix, then at the roomiest.
    fn run(&mut self, cell: &mut Cell, now: Time) {
        self.seen.clear();
        let Some(needs) = cell.queue.get(self.id).map(|waiting| waiting.req.needs) else {
            return;
        };
        cell.ensure_indexed(needs);
        let Some(waiting) = cell.queue.get(self.id) else {
            return;
        };
        let hold = waiting.hold;
        let holders = cell.prefixes.holders(&waiting.req.prefix);
        self.seen.extend(hold);
        for &ix in holders {
            if !self.seen.contains(&ix) && cell.endpoints[ix].holds(needs) {
                self.seen.push(ix);
            }
        }
        let first = self.seen.len();
        for ix in cell.index.roomiest(needs).take(LOOKED_AT) {
            if !self.seen[..first].contains(&ix) {
                self.seen.push(ix);
            }
        }
        let seen = core::mem::take(&mut self.seen);
        let mut measured = 0;
        for &ix in &seen {
            measured += usize::from(self.look_at(cell, now, ix));
            if measured >= MEASURED {
                break;
            }
        }
        cell.seen = seen;
    }

    /// Looks at one endpoint; returns whether its room was measured.
    fn look_at(&mut self, cell: &mut Cell, now: Time, ix: EndpointIx) -> bool {
        cell.freshen(now, ix);
        let Some(waiting) = cell.queue.get(self.id) else {
            return false;
        };
        let endpoint = &cell.endpoints[ix];
        if let Some(why) = endpoint.bars(now, &waiting.req) {
            self.lose(endpoint, why, 0);
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
            self.lose(endpoint, endpoint.why_no_room(now, self.id), fit.free);
            return endpoint.held_for.is_none();
        }
        let matched = cell.prefixes.matched(now, ix, &waiting.req.prefix);
        let scored = Scored {
            fit,
            score: merits(endpoint, waiting, fit, matched.blocks, matched.belief).score(),
            prefix_blocks: matched.blocks,
        };
        self.propose(cell, ix, scored);
        true
    }

    fn propose(&mut self, cell: &Cell, ix: EndpointIx, scored: Scored) {
        match self.best {
            Some((_, best)) if best.score >= scored.score => {
                self.lose(&cell.endpoints[ix], Lost::Outranked, scored.fit.free);
            }
            before => {
                self.best = Some((ix, scored));
                if let Some((old, best)) = before {
                    self.lose(&cell.endpoints[old], Lost::Outranked, best.fit.free);
                }
            }
        }
    }

    fn lose(&mut self, endpoint: &Endpoint, lost: Lost, free: u32) {
        if self.lost.len() < MAX_ALTERNATIVES {
            self.lost.push(Alternative {
                endpoint: endpoint.info.key,
                lost,
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
    record.alternatives = search.lost;
    cell.classes[waiting.lane.class].drain.granted(waiting.work);
    cell.prefixes.granted(now, ix, &waiting.req.prefix);
    let held = Held {
        id,
        class: waiting.lane.class,
        urgent: waiting.urgent,
        node: waiting.node,
        demand: search.demand,
        told: 0,
        told_at: now,
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

/// Holds the room of one endpoint for a request that should have started, so
/// that what is shorter than it no longer takes each gap as it opens.
///
/// Without this, endless short work starves long work; one would notice it by
/// refusals of the long class with `wait_expired` while short work flows.
/// Urgent work that fits into its own reserve needs no hold: were it to take
/// one, endless urgent work would pass the hold from one to the next.
fn hold_if_overdue(cell: &mut Cell, now: Time, id: RequestId, forecast: &Forecast) {
    let Some(waiting) = cell.queue.get(id) else {
        return;
    };
    if now < waiting.hold_from {
        return;
    }
    if let Some(ix) = waiting.hold {
        if cell.endpoints[ix].bars(now, &waiting.req).is_none() {
            return;
        }
        cell.release_hold(id);
    }
    let Some(waiting) = cell.queue.get(id) else {
        return;
    };
    let free = |ix: &EndpointIx| {
        let endpoint = &cell.endpoints[*ix];
        let has_reserve = waiting.urgent && endpoint.reserve_takes(now, &cell.cfg, forecast);
        let is_barred = endpoint.bars(now, &waiting.req).is_some();
        endpoint.held_for.is_none() && !has_reserve && !is_barred
    };
    let mut roomiest = cell.index.roomiest(waiting.req.needs).take(LOOKED_AT);
    if let Some(ix) = roomiest.find(free) {
        cell.endpoints[ix].held_for = Some(id);
        cell.queue.set_hold(id, Some(ix));
    }
}

/// Returns a record of what is known about a request that waits.
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
