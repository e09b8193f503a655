//! A policy that knows every length, and so how much memory each engine will
//! hold at each coming step. It shows what is left to win; nothing real can do it.

use super::api::{Ask, Decision, Fleet, Policy};
use crate::workload::Workload;
use oriolemux_core::time::Time;
use std::collections::{BTreeSet, HashMap};

/// Tokens of each engine's memory left unused, because a block is never quite
/// full and prefill shifts a generation by a few steps.
const MARGIN_TOKENS: u32 = 64 * 16 + 256;
/// The most requests of one class that are tried past one that does not fit.
const LOOK_AHEAD: usize = 16;

/// A request that runs.
#[derive(Clone, Copy, Debug)]
struct Run {
    id: u64,
    /// Context tokens held now.
    held: u32,
    /// Tokens still to come.
    left: u32,
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Queued {
    deadline: Time,
    id: u64,
    prompt: u32,
    expires: Time,
}

/// See the module.
pub(super) struct Oracle<'a> {
    workload: &'a Workload,
    capacity: u32,
    max_running: usize,
    engines: Vec<Vec<Run>>,
    at: HashMap<u64, usize>,
    /// Waiting requests by urgency, then by deadline.
    queues: Vec<BTreeSet<Queued>>,
    /// Something ended or arrived since the last poll.
    stirred: bool,
    scratch: Vec<Run>,
}

impl<'a> Oracle<'a> {
    pub fn new(fleet: &Fleet, workload: &'a Workload) -> Self {
        let engine = fleet.mix.engine();
        Oracle {
            workload,
            capacity: engine.kv_tokens() - MARGIN_TOKENS,
            max_running: engine.max_running as usize,
            engines: vec![Vec::new(); fleet.engines.len()],
            at: HashMap::new(),
            queues: vec![BTreeSet::new(); fleet.mix.classes().len()],
            stirred: false,
            scratch: Vec::new(),
        }
    }

    fn length(&self, id: u64) -> u32 {
        self.workload.requests[id as usize].output_tokens
    }

    /// Returns the engine whose memory would be least full at its fullest.
    fn roomiest(&mut self, run: Run) -> Option<usize> {
        let mut best = None;
        for (engine, runs) in self.engines.iter().enumerate() {
            if runs.len() >= self.max_running {
                continue;
            }
            let peak = peak_with(runs, run, &mut self.scratch);
            if peak <= self.capacity && best.is_none_or(|(lowest, _)| peak < lowest) {
                best = Some((peak, engine));
            }
        }
        best.map(|(_, engine)| engine)
    }

    fn serve(&mut self, urgency: usize, now: Time, out: &mut Vec<Decision>) {
        let mut skipped = 0;
        let queued: Vec<Queued> = self.queues[urgency].iter().copied().collect();
        for queued in queued {
            if now >= queued.expires {
                self.queues[urgency].remove(&queued);
                out.push(Decision::Refuse { id: queued.id });
                continue;
            }
            if skipped >= LOOK_AHEAD {
                continue;
            }
            let run = Run {
                id: queued.id,
                held: queued.prompt,
                left: self.length(queued.id),
            };
            let Some(engine) = self.roomiest(run) else {
                skipped += 1;
                continue;
            };
            self.queues[urgency].remove(&queued);
            self.engines[engine].push(run);
            self.at.insert(queued.id, engine);
            out.push(Decision::Place {
                id: queued.id,
                engine,
                priority: urgency as u8,
            });
        }
    }
}

impl Policy for Oracle<'_> {
    fn arrive(&mut self, _now: Time, ask: &Ask<'_>) {
        self.queues[usize::from(ask.class.urgency)].insert(Queued {
            deadline: ask.at + ask.class.wait_target,
            id: ask.id,
            prompt: ask.prompt_tokens,
            expires: ask.expires(),
        });
        self.stirred = true;
    }

    fn token(&mut self, id: u64) {
        if let Some(&engine) = self.at.get(&id)
            && let Some(run) = self.engines[engine].iter_mut().find(|run| run.id == id)
        {
            run.held += 1;
            run.left -= 1;
        }
    }

    fn ended(&mut self, _now: Time, id: u64, _tokens: u32) {
        if let Some(engine) = self.at.remove(&id) {
            self.engines[engine].retain(|run| run.id != id);
        }
        self.stirred = true;
    }

    fn poll(&mut self, now: Time, out: &mut Vec<Decision>) -> Time {
        if core::mem::take(&mut self.stirred) {
            for urgency in 0..self.queues.len() {
                self.serve(urgency, now, out);
            }
        }
        Time::NEVER
    }
}

/// Returns the most memory that `runs` and `added` hold together at any coming
/// step. The sum grows between ends, so it is greatest right before one.
fn peak_with(runs: &[Run], added: Run, scratch: &mut Vec<Run>) -> u32 {
    scratch.clear();
    scratch.extend_from_slice(runs);
    scratch.push(added);
    scratch.sort_unstable_by_key(|run| core::cmp::Reverse(run.left));
    let mut held = 0;
    let mut peak = 0;
    for (longer, run) in scratch.iter().enumerate() {
        held += run.held;
        peak = peak.max(held + run.left * (longer as u32 + 1));
    }
    peak
}
