//! The engine's state, shared by its routes and its decoding loop.

use super::batch::{Batch, Room};
use super::cache::Cache;
use super::fault::{self, Fault, FaultRule};
use super::generation::Generation;
use super::options::EngineArgs;
use super::orders::Holdings;
use crate::standins::cuts::Cuts;
use crate::standins::http::Refusal;
use crate::standins::journal::{Ending, Fact, Journal};
use crate::standins::text;
use oriolemux_core::event::LoadReport;
use serde::Deserialize;
use std::collections::VecDeque;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// A completion as an instance asks for it.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// The priority; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// The request's id.
    pub request_id: String,
    /// The attempt's id.
    pub attempt_id: String,
}

/// What becomes of a completion that was asked for.
#[derive(Debug)]
pub enum Admission {
    /// It is refused definitely.
    Refused(Refusal),
    /// It runs, but the answer is an error that says nothing about it.
    Hidden,
    /// It runs; the fault, if any, will strike its stream.
    Taken(Option<FaultRule>),
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// Its options.
    pub args: EngineArgs,
    /// Connections that break.
    pub cuts: Cuts,
    state: Mutex<State>,
    steps: watch::Sender<u64>,
}

/// What changes while the engine runs.
#[derive(Debug)]
pub struct State {
    /// Generations.
    pub batch: Batch,
    /// Prefix blocks.
    pub cache: Cache,
    /// Models and role.
    pub holdings: Holdings,
    /// Faults that are still to strike.
    pub faults: Vec<FaultRule>,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// What happened.
    pub journal: Journal,
    reports: VecDeque<(Instant, LoadReport)>,
}

impl Engine {
    /// Creates an engine that holds what its options say.
    pub fn new(args: EngineArgs) -> io::Result<Self> {
        let state = State {
            batch: Batch::default(),
            cache: Cache::default(),
            holdings: Holdings::from_options(&args.models, &args.adapters),
            faults: Vec::new(),
            leaving: false,
            journal: Journal::open(args.journal.as_deref())?,
            reports: VecDeque::new(),
        };
        let (steps, _) = watch::channel(0);
        Ok(Engine {
            args,
            cuts: Cuts::default(),
            state: Mutex::new(state),
            steps,
        })
    }

    /// Locks the state; held only for short computations, never across an await.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that changes with every decoding step.
    pub fn steps(&self) -> watch::Receiver<u64> {
        self.steps.subscribe()
    }

    /// Decodes for ever, one step after the other.
    pub async fn decode(&self) {
        let mut ticks = tokio::time::interval(self.args.step());
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.lock().step(&self.args);
            self.steps.send_modify(|step| *step += 1);
        }
    }
}

impl State {
    /// Takes a completion in or refuses it.
    pub fn arrive(&mut self, args: &EngineArgs, req: &CompletionRequest) -> Admission {
        let attempt = req.attempt_id.clone();
        self.journal.push(Fact::Arrived {
            attempt: attempt.clone(),
            request: req.request_id.clone(),
            prompt: req.prompt.clone(),
            priority: req.priority,
        });
        if let Some(reason) = self.refusal(req) {
            self.journal.push(Fact::Refused { attempt, reason });
            return Admission::Refused(reason);
        }
        if self.batch.held.contains_key(&attempt) {
            // The arrival stays in the journal, where a checker sees the repeat.
            return Admission::Hidden;
        }
        self.batch.add(new_generation(args, req));
        self.cache.store(&req.model, &req.prompt);
        if self.take_fault(req, |f| f == Fault::ServerError).is_some() {
            return Admission::Hidden;
        }
        Admission::Taken(self.take_fault(req, |fault| !fault.is_refusal()))
    }

    fn refusal(&mut self, req: &CompletionRequest) -> Option<Refusal> {
        if self.leaving
            || self
                .take_fault(req, |f| f == Fault::RefuseLeaving)
                .is_some()
        {
            return Some(Refusal::Leaving);
        }
        if self.take_fault(req, |f| f == Fault::RefuseBusy).is_some() {
            return Some(Refusal::Busy);
        }
        let loaded = self.holdings.serves(&req.model, req.adapter.as_deref());
        (!loaded).then_some(Refusal::NotLoaded)
    }

    fn take_fault(
        &mut self,
        req: &CompletionRequest,
        wanted: impl Fn(Fault) -> bool,
    ) -> Option<FaultRule> {
        let rule = fault::take(&mut self.faults, &req.prompt, wanted)?;
        self.journal.push(Fact::Fault {
            attempt: req.attempt_id.clone(),
            fault: format!("{:?}", rule.fault),
        });
        Some(rule)
    }

    /// Runs one decoding step and drops what nobody waits for.
    pub fn step(&mut self, args: &EngineArgs) {
        let now = Instant::now();
        let step = self.batch.step(Room {
            kv_tokens: args.kv_tokens,
            max_running: args.max_running,
            prefill_tokens: args.prefill_tokens,
        });
        for attempt in step.started {
            let Some(generation) = self.batch.held.get(&attempt) else {
                continue;
            };
            self.journal.push(Fact::Started {
                attempt,
                seed: generation.seed,
                length: generation.length,
            });
        }
        for attempt in step.preempted {
            self.journal.push(Fact::Preempted { attempt });
        }
        for attempt in step.ended {
            self.end(&attempt, Ending::Whole, now);
        }
        self.abandon(args, now);
        self.forget(args, now);
        self.report(args, now);
    }

    /// Ends a generation that still runs or waits.
    pub fn end(&mut self, attempt: &str, how: Ending, now: Instant) {
        self.batch.stop(attempt);
        let Some(generation) = self.batch.held.get_mut(attempt) else {
            return;
        };
        if generation.ended_at.is_some() {
            return;
        }
        generation.ended_at = Some(now);
        self.journal.push(Fact::Ended {
            attempt: attempt.to_owned(),
            tokens: generation.generated,
            how,
        });
    }

    /// Ends generations that nobody has listened to for the whole grace.
    fn abandon(&mut self, args: &EngineArgs, now: Instant) {
        let grace = Duration::from_millis(args.grace_ms);
        let abandoned = self.batch.held.values().filter(|generation| {
            let unheard = generation.unheard_since;
            generation.ended_at.is_none() && unheard.is_some_and(|since| now - since > grace)
        });
        let attempts: Vec<String> = abandoned.map(|g| g.attempt.clone()).collect();
        for attempt in attempts {
            self.end(&attempt, Ending::Abandoned, now);
            self.batch.held.shift_remove(&attempt);
        }
    }

    /// Drops text that was finished long ago.
    fn forget(&mut self, args: &EngineArgs, now: Instant) {
        let keep = Duration::from_millis(args.keep_ms);
        self.batch.held.retain(|_, generation| {
            generation.listeners > 0 || generation.ended_at.is_none_or(|at| now - at <= keep)
        });
    }

    fn report(&mut self, args: &EngineArgs, now: Instant) {
        let report = LoadReport {
            lag_ms: args.lag_ms,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            kv_tokens_total: args.kv_tokens,
            kv_tokens_used: self.batch.kv_used(),
            max_running: args.max_running,
            preemptions: self.batch.preemptions,
            models: self.holdings.models.clone(),
            leaving: self.leaving,
            fencing: self.holdings.highest,
        };
        self.reports.push_back((now, report));
        let lag = Duration::from_millis(args.lag_ms.into());
        while self.reports.len() > 1 && now - self.reports[1].0 >= lag {
            self.reports.pop_front();
        }
    }

    /// Returns the load as it was a while ago.
    pub fn lagging_report(&self) -> LoadReport {
        self.reports
            .front()
            .map_or_else(LoadReport::default, |(_, report)| report.clone())
    }
}

fn new_generation(args: &EngineArgs, req: &CompletionRequest) -> Generation {
    let seed = args.sampling.seed(&req.model, &req.prompt, &req.attempt_id);
    let natural = text::natural_length(seed, &req.prompt).max(1);
    let length = natural.min(req.max_tokens.max(1));
    Generation {
        attempt: req.attempt_id.clone(),
        seed,
        priority: req.priority,
        prompt_tokens: text::prompt_tokens(&req.prompt),
        length,
        cut_by_limit: natural > length,
        generated: 0,
        prefill_left: 0,
        started: false,
        ended_at: None,
        listeners: 0,
        unheard_since: Some(Instant::now()),
    }
}
