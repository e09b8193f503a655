//! The product's own decisions: one [`Cell`] for the model in each data centre.
//!
//! An entry asks the cell of its own data centre first. When that refuses, or
//! has not granted within the request's spill time, it asks the next one, as
//! instances do.

use super::api::{Ask, CacheNews, Decision, Fleet, Policy};
use crate::workload::ClassSpec;
use core::time::Duration;
use oriolemux_core::cell::{
    Cell, CellConfig, CellDecision, CellRequest, ClassRules, EndKind, EndpointInfo, EndpointKind,
    Requirement,
};
use oriolemux_core::event::LoadReport;
use oriolemux_core::ids::{
    ClassKey, EndpointKey, EntryKey, Incarnation, InstanceKey, RequestId, WorkspaceKey,
};
use oriolemux_core::time::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Seed of the cells' jitter.
const CELL_SEED: u64 = 1;
/// A cell is not polled again sooner than this without news.
const SHORTEST_WAKE: Duration = Duration::from_millis(1);

/// A request that waits or runs.
struct Open {
    req: CellRequest,
    /// The cell that was asked last.
    cell: usize,
    /// Cells that refused.
    refusals: usize,
    /// When the next cell is asked.
    spill_at: Time,
    granted: bool,
}

/// See the module.
pub(super) struct Ours<'a> {
    fleet: &'a Fleet,
    cells: Vec<Cell>,
    engine_of: BTreeMap<EndpointKey, usize>,
    endpoint_of: Vec<EndpointKey>,
    open: HashMap<u64, Open>,
    spills: BTreeSet<(Time, u64)>,
    wakes: Vec<Time>,
    decided: Vec<CellDecision>,
}

impl<'a> Ours<'a> {
    pub fn new(fleet: &'a Fleet, cfg: &CellConfig) -> Self {
        let data_centres = fleet.mix.data_centres().len();
        let cell = |at: usize| Cell::new(cfg.clone(), CELL_SEED + at as u64);
        let mut ours = Ours {
            fleet,
            cells: (0..data_centres).map(cell).collect(),
            engine_of: BTreeMap::new(),
            endpoint_of: Vec::new(),
            open: HashMap::new(),
            spills: BTreeSet::new(),
            wakes: vec![Time::ZERO; data_centres],
            decided: Vec::new(),
        };
        for (engine, place) in fleet.engines.iter().enumerate() {
            let key = EndpointKey::of(&format!("engine-{engine}"));
            let info = EndpointInfo::near(key, EndpointKind::Model);
            ours.cells[place.data_centre].set_endpoint(Time::ZERO, info);
            ours.engine_of.insert(key, engine);
            ours.endpoint_of.push(key);
        }
        ours
    }

    fn request(&self, ask: &Ask<'_>) -> CellRequest {
        let mix = self.fleet.mix;
        CellRequest {
            id: request_id(ask),
            entry: EntryKey::of(mix.entries()[ask.entry].name),
            workspace: WorkspaceKey::of(mix.workspaces()[ask.workspace].name),
            class: rules(ask.class),
            arrived: ask.at,
            prompt_tokens: ask.prompt_tokens,
            max_tokens: ask.max_tokens,
            prefix: ask.prefix.to_vec(),
            exclude: Vec::new(),
            already: 0,
            needs: Requirement::ANY,
        }
    }

    fn ask_cell(&mut self, now: Time, id: u64, cell: usize) {
        if let Some(open) = self.open.get_mut(&id) {
            open.cell = cell;
            open.spill_at = now + spill_after(&open.req);
            self.spills.insert((open.spill_at, id));
            self.cells[cell].submit(now, open.req.clone());
            self.wakes[cell] = now;
        }
    }

    /// Moves requests that have waited long to the next cell.
    fn spill(&mut self, now: Time) {
        while let Some(&(at, id)) = self.spills.first()
            && at <= now
        {
            self.spills.pop_first();
            let Some(open) = self.open.get(&id) else {
                continue;
            };
            if open.granted || open.spill_at != at {
                continue;
            }
            let (cell, req) = (open.cell, open.req.id);
            self.cells[cell].withdraw(now, req);
            self.ask_cell(now, id, (cell + 1) % self.cells.len());
        }
    }

    fn poll_cell(&mut self, now: Time, cell: usize, out: &mut Vec<Decision>) {
        let mut decided = core::mem::take(&mut self.decided);
        decided.clear();
        let wake = self.cells[cell].poll(now, &mut decided);
        self.wakes[cell] = wake.max(now + SHORTEST_WAKE);
        for decision in &decided {
            match decision {
                CellDecision::Grant {
                    id,
                    endpoint,
                    priority,
                    ..
                } => self.granted(id.seq - 1, *endpoint, *priority, out),
                CellDecision::Refuse { id, .. } => self.refused(now, id.seq - 1, out),
            }
        }
        self.decided = decided;
    }

    fn granted(&mut self, id: u64, endpoint: EndpointKey, priority: u8, out: &mut Vec<Decision>) {
        if let Some(open) = self.open.get_mut(&id) {
            open.granted = true;
            out.push(Decision::Place {
                id,
                engine: self.engine_of[&endpoint],
                priority,
            });
        }
    }

    fn refused(&mut self, now: Time, id: u64, out: &mut Vec<Decision>) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.refusals += 1;
        if open.refusals < self.cells.len() {
            let next = (open.cell + 1) % self.cells.len();
            self.ask_cell(now, id, next);
        } else {
            self.open.remove(&id);
            out.push(Decision::Refuse { id });
        }
    }
}

impl Policy for Ours<'_> {
    fn arrive(&mut self, now: Time, ask: &Ask<'_>) {
        let open = Open {
            req: self.request(ask),
            cell: ask.data_centre,
            refusals: 0,
            spill_at: Time::NEVER,
            granted: false,
        };
        self.open.insert(ask.id, open);
        self.ask_cell(now, ask.id, ask.data_centre);
    }

    fn progress(&mut self, now: Time, id: u64, tokens: u32) {
        if let Some(open) = self.open.get(&id) {
            self.cells[open.cell].progress(now, open.req.id, tokens);
            self.wakes[open.cell] = now;
        }
    }

    fn ended(&mut self, now: Time, id: u64, tokens: u32) {
        if let Some(open) = self.open.remove(&id) {
            let end = EndKind::Complete {
                prompt_tokens: Some(open.req.prompt_tokens),
            };
            self.cells[open.cell].ended(now, open.req.id, tokens, end);
            self.wakes[open.cell] = now;
        }
    }

    fn report(&mut self, now: Time, engine: usize, report: &LoadReport) {
        let cell = self.fleet.engines[engine].data_centre;
        self.cells[cell].report(now, self.endpoint_of[engine], report);
        self.wakes[cell] = now;
    }

    fn cache(&mut self, now: Time, engine: usize, news: &CacheNews) {
        let cell = self.fleet.engines[engine].data_centre;
        let endpoint = self.endpoint_of[engine];
        self.cells[cell].cache(now, endpoint, news.gap, &news.stored, &news.evicted);
    }

    fn poll(&mut self, now: Time, out: &mut Vec<Decision>) -> Time {
        self.spill(now);
        // A refusal of one cell becomes an ask of the next, which is then due.
        while let Some(cell) = self.wakes.iter().position(|wake| *wake <= now) {
            self.poll_cell(now, cell, out);
        }
        let spill = self.spills.first().map_or(Time::NEVER, |(at, _)| *at);
        self.wakes.iter().copied().fold(spill, Time::min)
    }
}

/// Returns how long a request waits for one cell before the next is asked.
fn spill_after(req: &CellRequest) -> Duration {
    req.class.wait_target / 2
}

fn request_id(ask: &Ask<'_>) -> RequestId {
    RequestId {
        instance: InstanceKey(ask.data_centre as u64 + 1),
        incarnation: Incarnation(1),
        seq: ask.id + 1,
    }
}

fn rules(class: &ClassSpec) -> ClassRules {
    let key = ClassKey::of(class.name);
    ClassRules::new(key, class.urgency, class.wait_target, class.longest_wait)
}
