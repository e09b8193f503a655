//! The engine's state, shared by its routes and its decoding loop.

use super::cache::{CacheLog, Change};
use super::fault::FaultRule;
use super::generation::Generation;
use super::options::EngineArgs;
use super::orders::Holdings;
use crate::engine_model::{EngineEvent, EngineModel};
use crate::standins::cuts::Cuts;
use crate::standins::journal::{Ending, Fact, Journal};
use indexmap::IndexMap;
use oriolemux_core::event::LoadReport;
use oriolemux_core::time::Time;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// How often generations that nobody hears or needs any more are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// Its options.
    pub args: EngineArgs,
    /// Connections that break.
    pub cuts: Cuts,
    state: Mutex<State>,
    begun: Instant,
    steps: watch::Sender<u64>,
    arrivals: Notify,
}

/// What changes while the engine runs.
#[derive(Debug)]
pub struct State {
    /// The scheduler and its memory.
    pub model: EngineModel,
    /// Every generation whose text is held, by attempt.
    pub held: IndexMap<String, Generation>,
    /// The attempts of the model's jobs.
    pub attempts: BTreeMap<u64, String>,
    /// The last job's name.
    pub next_job: u64,
    /// Prefix blocks stored and evicted.
    pub cache: CacheLog,
    /// Models and role.
    pub holdings: Holdings,
    /// Faults that are still to strike.
    pub faults: Vec<FaultRule>,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
    /// What happened.
    pub journal: Journal,
}

impl Engine {
    /// Creates an engine that holds what its options say.
    pub fn new(args: EngineArgs) -> io::Result<Self> {
        let state = State {
            model: EngineModel::new(args.model_config()),
            held: IndexMap::new(),
            attempts: BTreeMap::new(),
            next_job: 0,
            cache: CacheLog::default(),
            holdings: Holdings::from_options(&args.models, &args.adapters),
            faults: Vec::new(),
            leaving: false,
            journal: Journal::open(args.journal.as_deref())?,
        };
        let (steps, _) = watch::channel(0);
        Ok(Engine {
            args,
            cuts: Cuts::default(),
            state: Mutex::new(state),
            begun: Instant::now(),
            steps,
            arrivals: Notify::new(),
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

    /// Returns the model's time, which runs faster by the time scale.
    pub fn now(&self) -> Time {
        Time::ZERO + self.begun.elapsed().mul_f64(self.args.time_scale)
    }

    /// Tells the decoding loop that there may be something to do.
    pub fn arrived(&self) {
        self.arrivals.notify_one();
    }

    /// Decodes for ever, one step after the other.
    pub async fn decode(&self) {
        let mut events = Vec::new();
        loop {
            let next = {
                let mut state = self.lock();
                let next = state.model.step(self.now(), &mut events);
                state.apply(&mut events);
                next
            };
            self.steps.send_modify(|step| *step += 1);
            let idle = self.arrivals.notified();
            match next {
                None => idle.await,
                Some(at) => tokio::time::sleep(self.real(at.since(self.now()))).await,
            }
        }
    }

    fn real(&self, virtual_time: Duration) -> Duration {
        virtual_time.div_f64(self.args.time_scale)
    }

    /// Drops for ever what nobody hears or needs any more.
    pub async fn sweep(&self) {
        let mut ticks = tokio::time::interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            self.lock().drop_unheard(&self.args, self.now());
        }
    }
}

impl State {
    fn apply(&mut self, events: &mut Vec<EngineEvent>) {
        for event in events.drain(..) {
            match event {
                EngineEvent::Token { id, .. } => self.token(id),
                EngineEvent::Finished { id, .. } => self.finished(id),
                EngineEvent::Preempted { id, .. } => self.preempted(id),
                EngineEvent::CacheStored { hash } => self.cache.push(Change::Stored(hash)),
                EngineEvent::CacheEvicted { hash } => self.cache.push(Change::Evicted(hash)),
            }
        }
    }

    fn token(&mut self, job: u64) {
        let attempt = self.attempts.get(&job);
        if let Some(generation) = attempt.and_then(|attempt| self.held.get_mut(attempt)) {
            generation.generated += 1;
            debug_assert!(generation.generated <= generation.length);
        }
    }

    fn finished(&mut self, job: u64) {
        if let Some(attempt) = self.attempts.remove(&job) {
            self.mark_ended(&attempt, Ending::Whole);
        }
    }

    fn preempted(&mut self, job: u64) {
        if let Some(attempt) = self.attempts.get(&job).cloned() {
            self.journal.push(Fact::Preempted { attempt });
        }
    }

    fn mark_ended(&mut self, attempt: &str, how: Ending) {
        let Some(generation) = self.held.get_mut(attempt) else {
            return;
        };
        generation.ended_at = Some(Instant::now());
        self.journal.push(Fact::Ended {
            attempt: attempt.to_owned(),
            tokens: generation.generated,
            how,
        });
    }

    /// Ends a generation that may still run, and drops its text.
    pub fn end(&mut self, attempt: &str, how: Ending, now: Time) {
        let Some(generation) = self.held.get(attempt) else {
            return;
        };
        if generation.ended_at.is_none() {
            let job = generation.job;
            self.model.cancel(now, job);
            self.attempts.remove(&job);
            self.mark_ended(attempt, how);
        }
        self.held.shift_remove(attempt);
    }

    fn drop_unheard(&mut self, args: &EngineArgs, now: Time) {
        let grace = Duration::from_millis(args.grace_ms);
        let keep = Duration::from_millis(args.keep_ms);
        let is_over = |generation: &&Generation| {
            let unheard = generation.unheard_since.map(|since| since.elapsed());
            match generation.ended_at {
                None => unheard.is_some_and(|time| time > grace),
                Some(at) => unheard.is_some() && at.elapsed() > keep,
            }
        };
        let over = self.held.values().filter(is_over);
        let attempts: Vec<String> = over.map(|generation| generation.attempt.clone()).collect();
        for attempt in attempts {
            self.end(&attempt, Ending::Abandoned, now);
        }
    }

    /// Returns the load as it was a while ago.
    pub fn lagging_report(&mut self, args: &EngineArgs, now: Time) -> LoadReport {
        LoadReport {
            lag_ms: args.lag_ms,
            models: self.holdings.models.clone(),
            leaving: self.leaving,
            fencing: self.holdings.highest,
            ..self.model.report(now)
        }
    }
}
