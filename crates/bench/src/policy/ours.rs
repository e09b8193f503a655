//! The product's own decisions: one [`Cell`] for the model in each data centre.
//!
//! Cells are asked as instances ask them (`oriolemux_core::node`): first each, the
//! nearest first, on condition that the request starts within its class's wait
//! target; when all have refused, the one that promised the shortest wait, for the
//! class's longest wait.

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
use std::collections::{BTreeMap, HashMap};

/// Seed of the cells' jitter.
const CELL_SEED: u64 = 1;
/// A cell is not polled again sooner than this without news.
const SHORTEST_WAKE: Duration = Duration::from_millis(1);

/// A cell's refusal.
#[derive(Clone, Copy)]
struct Refusal {
    cell: usize,
    predicted_wait: Duration,
}

/// A request that waits or runs.
struct Open {
    req: CellRequest,
    /// What its class says at most; the request's own rules are stricter at first.
    longest_wait: Duration,
    /// The cell that was asked last.
    cell: usize,
    /// Cells that refused in the first round.
    refusals: Vec<Refusal>,
}

/// See the module.
pub(super) struct Ours<'a> {
    fleet: &'a Fleet,
    cells: Vec<Cell>,
    engine_of: BTreeMap<EndpointKey, usize>,
    endpoint_of: Vec<EndpointKey>,
    open: HashMap<u64, Open>,
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
            replay_tokens: 0,
            needs: Requirement::ANY,
        }
    }

    fn ask_cell(&mut self, now: Time, id: u64, cell: usize) {
        if let Some(open) = self.open.get_mut(&id) {
            open.cell = cell;
            self.cells[cell].submit(now, open.req.clone());
            self.wakes[cell] = now;
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
                CellDecision::Refuse {
                    id, predicted_wait, ..
                } => self.refused(now, id.seq - 1, *predicted_wait, out),
            }
        }
        self.decided = decided;
    }

    fn granted(&mut self, id: u64, endpoint: EndpointKey, priority: u8, out: &mut Vec<Decision>) {
        out.push(Decision::Place {
            id,
            engine: self.engine_of[&endpoint],
            priority,
        });
    }

    fn refused(&mut self, now: Time, id: u64, predicted_wait: Duration, out: &mut Vec<Decision>) {
        let cells = self.cells.len();
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.refusals.push(Refusal {
            cell: open.cell,
            predicted_wait,
        });
        let next = match open.refusals.len() {
            asked if asked < cells => Some((open.cell + 1) % cells),
            asked if asked == cells => shortest_wait(open),
            _ => None,
        };
        let Some(next) = next else {
            self.open.remove(&id);
            out.push(Decision::Refuse { id });
            return;
        };
        if open.refusals.len() == cells {
            open.req.class.longest_wait = open.longest_wait;
        }
        self.ask_cell(now, id, next);
    }
}

impl Policy for Ours<'_> {
    fn arrive(&mut self, now: Time, ask: &Ask<'_>) {
        let mut req = self.request(ask);
        req.class.longest_wait = ask.class.longest_wait.min(ask.class.wait_target);
        let open = Open {
            req,
            longest_wait: ask.class.longest_wait,
            cell: ask.data_centre,
            refusals: Vec::new(),
        };
        self.open.insert(ask.id, open);
        self.ask_cell(now, ask.id, ask.data_centre);
    }

    fn progress(&mut self, now: Time, id: u64, tokens: u32) {
        if let Some(open) = self.open.get(&id) {
            self.cells[open.cell].on_progress(now, open.req.id, tokens);
            self.wakes[open.cell] = now;
        }
    }

    fn ended(&mut self, now: Time, id: u64, tokens: u32) {
        if let Some(open) = self.open.remove(&id) {
            let end = EndKind::Complete {
                prompt_tokens: Some(open.req.prompt_tokens),
            };
            self.cells[open.cell].on_ended(now, open.req.id, tokens, end);
            self.wakes[open.cell] = now;
        }
    }

    fn report(&mut self, now: Time, engine: usize, report: &LoadReport) {
        let cell = self.fleet.engines[engine].data_centre;
        self.cells[cell].on_load_report(now, self.endpoint_of[engine], report);
        self.wakes[cell] = now;
    }

    fn cache(&mut self, now: Time, engine: usize, news: &CacheNews) {
        let cell = self.fleet.engines[engine].data_centre;
        let endpoint = self.endpoint_of[engine];
        self.cells[cell].on_cache_events(now, endpoint, news.gap, &news.stored, &news.evicted);
    }

    fn poll(&mut self, now: Time, out: &mut Vec<Decision>) -> Time {
        // A refusal of one cell becomes an ask of the next, which is then due.
        while let Some(cell) = self.wakes.iter().position(|wake| *wake <= now) {
            self.poll_cell(now, cell, out);
        }
        self.wakes.iter().copied().fold(Time::NEVER, Time::min)
    }
}

/// Returns the cell that promised the shortest wait that the request accepts.
fn shortest_wait(open: &Open) -> Option<usize> {
    let accepted = open
        .refusals
        .iter()
        .filter(|refusal| refusal.predicted_wait <= open.longest_wait);
    let shortest = accepted.min_by_key(|refusal| refusal.predicted_wait);
    shortest.map(|refusal| refusal.cell)
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
