//! Virtual time: arrivals, engines and one policy.
//!
//! Left out on purpose: the network between callers, instances and engines
//! (a few milliseconds), and batching of progress messages.

use super::api::{Ask, CacheNews, Decision, Fleet, Policy, REPORT_INTERVAL};
use super::measure::Measures;
use crate::engine_model::{EngineEvent, EngineModel, Job};
use crate::workload::Workload;
use core::cmp::Reverse;
use core::time::Duration;
use oriolemux_core::checkpoint::is_checkpoint;
use oriolemux_core::time::Time;
use std::collections::BinaryHeap;

/// Requests that are not over so long after the last arrival are lost.
const LONGEST_DRAIN: Duration = Duration::from_secs(7_200);
/// One of so many batches of cache events is lost.
const CACHE_GAP_EVERY: u64 = 40;

/// Something that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// An engine's step ends.
    Step(usize),
    /// An engine reports its load and cache events.
    Report(usize),
    /// A request arrives.
    Arrival(usize),
}

/// One engine with its events on their way to the policy.
struct Worker {
    model: EngineModel,
    /// A [`Due::Step`] is in the agenda.
    stepping: bool,
    /// Cache events since the last report.
    fresh: CacheNews,
    /// Cache events of the report before, told with the next one.
    late: CacheNews,
    batches: u64,
}

struct Sim<'a, P> {
    fleet: &'a Fleet,
    workload: &'a Workload,
    policy: P,
    workers: Vec<Worker>,
    agenda: BinaryHeap<Reverse<(Time, Due)>>,
    measures: Measures,
    decisions: Vec<Decision>,
    events: Vec<EngineEvent>,
    /// Requests that are neither refused nor over.
    open: usize,
}

/// Runs `workload` on `fleet` under `policy` to the end.
pub(super) fn run<P: Policy>(fleet: &Fleet, workload: &Workload, policy: P) -> Measures {
    let mut sim = Sim::new(fleet, workload, policy);
    let mut wake = Time::NEVER;
    let limit = workload.end + LONGEST_DRAIN;
    loop {
        let next = sim.agenda.peek().map(|Reverse((at, _))| *at);
        let now = next.unwrap_or(Time::NEVER).min(wake);
        if now > limit || (sim.open == 0 && sim.measures.arrived == workload.requests.len()) {
            break;
        }
        let mut told = now == wake;
        if next == Some(now)
            && let Some(Reverse((_, due))) = sim.agenda.pop()
        {
            told |= sim.handle(now, due);
        }
        if told {
            wake = sim.decide(now);
        }
    }
    sim.measures
}

impl<'a, P: Policy> Sim<'a, P> {
    fn new(fleet: &'a Fleet, workload: &'a Workload, policy: P) -> Self {
        let worker = |_: &_| Worker {
            model: EngineModel::new(fleet.mix.engine()),
            stepping: false,
            fresh: CacheNews::default(),
            late: CacheNews::default(),
            batches: 0,
        };
        let mut agenda = BinaryHeap::new();
        for engine in 0..fleet.engines.len() {
            // Engines do not report in step with each other.
            let offset = REPORT_INTERVAL * engine as u32 / fleet.engines.len() as u32;
            agenda.push(Reverse((Time::ZERO + offset, Due::Report(engine))));
        }
        if let Some(first) = workload.requests.first() {
            agenda.push(Reverse((first.at, Due::Arrival(0))));
        }
        Sim {
            fleet,
            workload,
            policy,
            workers: fleet.engines.iter().map(worker).collect(),
            agenda,
            measures: Measures::new(fleet.mix, workload),
            decisions: Vec::new(),
            events: Vec::new(),
            open: 0,
        }
    }

    /// Returns whether the policy was told something.
    fn handle(&mut self, now: Time, due: Due) -> bool {
        match due {
            Due::Step(engine) => self.step(now, engine),
            Due::Report(engine) => self.report(now, engine),
            Due::Arrival(index) => self.arrival(now, index),
        }
    }

    fn arrival(&mut self, now: Time, index: usize) -> bool {
        let req = &self.workload.requests[index];
        self.measures.arrived += 1;
        self.open += 1;
        self.policy.arrive(now, &Ask::of(self.fleet.mix, req));
        if let Some(next) = self.workload.requests.get(index + 1) {
            self.agenda
                .push(Reverse((next.at, Due::Arrival(index + 1))));
        }
        true
    }

    fn step(&mut self, now: Time, engine: usize) -> bool {
        let worker = &mut self.workers[engine];
        self.events.clear();
        let next = worker.model.step(now, &mut self.events);
        worker.stepping = next.is_some();
        if let Some(next) = next {
            self.agenda.push(Reverse((next, Due::Step(engine))));
        }
        let mut told = false;
        for event in &self.events {
            match *event {
                EngineEvent::Token { id, index, at } => {
                    self.measures.token(id, at);
                    self.policy.token(id);
                    if is_checkpoint(index + 1) {
                        self.policy.progress(now, id, index + 1);
                        told = true;
                    }
                }
                EngineEvent::Finished { id, tokens, at, .. } => {
                    self.measures.finished(id, tokens, at);
                    self.policy.ended(now, id, tokens);
                    self.open -= 1;
                    told = true;
                }
                EngineEvent::Preempted { id, .. } => self.measures.preempted(id),
                EngineEvent::CacheStored { hash } => worker.fresh.stored.push(hash),
                EngineEvent::CacheEvicted { hash } => worker.fresh.evicted.push(hash),
            }
        }
        told
    }

    fn report(&mut self, now: Time, engine: usize) -> bool {
        let worker = &mut self.workers[engine];
        let report = worker.model.report(now);
        self.policy.report(now, engine, &report);
        self.policy.cache(now, engine, &worker.late);
        worker.late = core::mem::take(&mut worker.fresh);
        worker.batches += 1;
        if worker.batches.is_multiple_of(CACHE_GAP_EVERY) {
            worker.late = CacheNews {
                gap: true,
                ..CacheNews::default()
            };
        }
        self.agenda
            .push(Reverse((now + REPORT_INTERVAL, Due::Report(engine))));
        true
    }

    fn decide(&mut self, now: Time) -> Time {
        let mut decisions = core::mem::take(&mut self.decisions);
        decisions.clear();
        let wake = self.policy.poll(now, &mut decisions);
        for decision in &decisions {
            match *decision {
                Decision::Refuse { id } => {
                    self.measures.refused(id, now);
                    self.open -= 1;
                }
                Decision::Place {
                    id,
                    engine,
                    priority,
                } => self.place(now, id, engine, priority),
            }
        }
        for decision in &decisions {
            if let Decision::Place { engine, .. } = *decision
                && !self.workers[engine].stepping
            {
                self.step(now, engine);
            }
        }
        self.decisions = decisions;
        wake
    }

    fn place(&mut self, now: Time, id: u64, engine: usize, priority: u8) {
        let req = &self.workload.requests[id as usize];
        self.measures.placed(id);
        let job = Job {
            id,
            prompt_tokens: req.prompt_tokens,
            prefix: req.prefix.clone(),
            output_tokens: req.output_tokens,
            priority,
            ..Job::default()
        };
        let taken = self.workers[engine].model.submit(now, job);
        taken.expect("prompts of the mixes fit into every engine");
    }
}
