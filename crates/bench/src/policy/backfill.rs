//! Slack-based backfilling with reservations, after the two-tier priority
//! backfilling of the paper that `docs/design/experiments.md` names.
//!
//! A request is a project of one job. Its demand is the KV memory of its prompt
//! and its predicted length, held from start to predicted end. Each engine keeps
//! reservations for the first requests of its queue; a later request may start
//! at once if every reservation can still start by its latest start, which is
//! its first promised start plus a slack: the promised turnaround times the
//! slack factor, less for the more urgent classes. Lengths are predicted by a
//! quantile of those that ended lately, because no caller knows them.

use super::api::{Ask, Decision, Fleet, Policy};
use core::time::Duration;
use oriolemux_core::time::Time;
use std::collections::{HashMap, VecDeque};

/// Quantile of lengths that a request is counted with.
const PREDICTED_QUANTILE: f64 = 0.75;
/// Slack against the promised turnaround; the paper's SF.
const SLACK_FACTOR: f64 = 0.5;
/// Requests of one engine's queue that get reservations.
const RESERVATIONS: usize = 12;
/// Requests behind the reservations that are tried for backfilling.
const CANDIDATES: usize = 24;
/// Ended requests of one entry that predictions are made from.
const HISTORY: usize = 400;
/// Time of one step of a crowded engine, to turn tokens into time.
const STEP: Duration = Duration::from_millis(18);
/// Part of memory that reservations may fill.
const FILL: f64 = 0.97;
/// Length predicted for an entry of which nothing has ended yet.
const UNKNOWN_LENGTH: u32 = 2_048;

/// Lengths that ended lately, of one entry.
#[derive(Clone, Debug, Default)]
struct History {
    lengths: VecDeque<u32>,
}

impl History {
    fn push(&mut self, length: u32) {
        if self.lengths.len() == HISTORY {
            self.lengths.pop_front();
        }
        self.lengths.push_back(length);
    }

    /// Returns the predicted length of a request that has reached `age`.
    fn predict(&self, age: u32, max_tokens: u32) -> u32 {
        let mut longer: Vec<u32> = self.lengths.iter().copied().filter(|l| *l > age).collect();
        if longer.is_empty() {
            let guess = if self.lengths.is_empty() {
                UNKNOWN_LENGTH
            } else {
                age * 2
            };
            return guess.clamp(1, max_tokens.max(1));
        }
        let at = ((longer.len() - 1) as f64 * PREDICTED_QUANTILE) as usize;
        *longer.select_nth_unstable(at).1
    }
}

#[derive(Clone, Copy, Debug)]
struct Job {
    id: u64,
    entry: usize,
    prompt: u32,
    max_tokens: u32,
    urgency: u8,
    expires: Time,
    /// Predicted output.
    length: u32,
    /// The start that reservations of others must not push it beyond.
    latest_start: Option<Time>,
}

impl Job {
    fn demand(&self) -> u32 {
        self.prompt + self.length
    }

    fn time(&self) -> Duration {
        STEP * self.length
    }
}

/// Memory held from the start until a predicted end.
#[derive(Clone, Copy, Debug)]
struct Hold {
    from: Time,
    until: Time,
    demand: u32,
}

struct Running {
    job: Job,
    /// Tokens at the last checkpoint, and when that was.
    tokens: u32,
    seen: Time,
}

impl Running {
    fn hold(&self, now: Time) -> Hold {
        let left = self.job.length.saturating_sub(self.tokens);
        Hold {
            from: now,
            until: (self.seen + STEP * left).max(now + STEP),
            demand: self.job.demand(),
        }
    }
}

#[derive(Default)]
struct Engine {
    running: Vec<Running>,
    /// Waiting requests, the most urgent first, then as they came.
    queue: Vec<Job>,
    stirred: bool,
}

impl Engine {
    /// Work that is promised, in token-seconds.
    fn backlog(&self) -> f64 {
        let work = |job: &Job| f64::from(job.demand()) * job.time().as_secs_f64();
        let queued: f64 = self.queue.iter().map(work).sum();
        let running: f64 = self.running.iter().map(|run| work(&run.job) / 2.0).sum();
        queued + running
    }
}

/// See the module.
pub(super) struct Backfill {
    capacity: u32,
    max_running: usize,
    engines: Vec<Engine>,
    histories: Vec<History>,
    at: HashMap<u64, usize>,
}

impl Backfill {
    pub fn new(fleet: &Fleet) -> Self {
        let engine = fleet.mix.engine();
        Backfill {
            capacity: (f64::from(engine.kv_tokens()) * FILL) as u32,
            max_running: engine.max_running as usize,
            engines: fleet.engines.iter().map(|_| Engine::default()).collect(),
            histories: vec![History::default(); fleet.mix.entries().len()],
            at: HashMap::new(),
        }
    }

    fn refuse_expired(&mut self, engine: usize, now: Time, out: &mut Vec<Decision>) {
        self.engines[engine].queue.retain(|job| {
            let expired = now >= job.expires;
            if expired {
                out.push(Decision::Refuse { id: job.id });
            }
            !expired
        });
    }

    /// Starts what can start now at one engine.
    fn schedule(&mut self, index: usize, now: Time, out: &mut Vec<Decision>) {
        let engine = &mut self.engines[index];
        let mut holds: Vec<Hold> = engine.running.iter().map(|run| run.hold(now)).collect();
        promise(&mut engine.queue, &holds, now, self.capacity);
        let mut tried = 0;
        let mut at = 0;
        while at < engine.queue.len() && tried < RESERVATIONS + CANDIDATES {
            tried += 1;
            let slots = engine.running.len() < self.max_running;
            if slots && may_start(&engine.queue, at, &holds, now, self.capacity) {
                let job = engine.queue.remove(at);
                holds.push(hold_at(&job, now));
                out.push(Decision::Place {
                    id: job.id,
                    engine: index,
                    priority: job.urgency,
                });
                engine.running.push(Running {
                    job,
                    tokens: 0,
                    seen: now,
                });
            } else {
                at += 1;
            }
        }
    }
}

impl Policy for Backfill {
    fn arrive(&mut self, _now: Time, ask: &Ask<'_>) {
        let job = Job {
            id: ask.id,
            entry: ask.entry,
            prompt: ask.prompt_tokens,
            max_tokens: ask.max_tokens,
            urgency: ask.class.urgency,
            expires: ask.expires(),
            length: self.histories[ask.entry].predict(0, ask.max_tokens),
            latest_start: None,
        };
        let backlogs = self.engines.iter().map(Engine::backlog).enumerate();
        let lightest = backlogs.min_by(|a, b| a.1.total_cmp(&b.1));
        let index = lightest.map_or(0, |(index, _)| index);
        let engine = &mut self.engines[index];
        let place = engine
            .queue
            .partition_point(|other| other.urgency <= job.urgency);
        engine.queue.insert(place, job);
        engine.stirred = true;
        self.at.insert(ask.id, index);
    }

    fn progress(&mut self, now: Time, id: u64, tokens: u32) {
        let Some(&index) = self.at.get(&id) else {
            return;
        };
        let running = &mut self.engines[index].running;
        if let Some(run) = running.iter_mut().find(|run| run.job.id == id) {
            run.tokens = tokens;
            run.seen = now;
            let history = &self.histories[run.job.entry];
            run.job.length = run
                .job
                .length
                .max(history.predict(tokens, run.job.max_tokens));
        }
    }

    fn ended(&mut self, _now: Time, id: u64, tokens: u32) {
        let Some(index) = self.at.remove(&id) else {
            return;
        };
        let engine = &mut self.engines[index];
        engine.stirred = true;
        if let Some(at) = engine.running.iter().position(|run| run.job.id == id) {
            let run = engine.running.swap_remove(at);
            self.histories[run.job.entry].push(tokens);
        }
    }

    fn poll(&mut self, now: Time, out: &mut Vec<Decision>) -> Time {
        let mut next = Time::NEVER;
        for index in 0..self.engines.len() {
            self.refuse_expired(index, now, out);
            if core::mem::take(&mut self.engines[index].stirred) {
                self.schedule(index, now, out);
            }
            let expiries = self.engines[index].queue.iter().map(|job| job.expires);
            next = expiries.fold(next, Time::min);
        }
        next
    }
}

fn hold_at(job: &Job, from: Time) -> Hold {
    Hold {
        from,
        until: from + job.time(),
        demand: job.demand(),
    }
}

/// Gives each of the first requests that has none a latest start: its earliest
/// start after those before it, plus its slack.
fn promise(queue: &mut [Job], running: &[Hold], now: Time, capacity: u32) {
    let mut holds = running.to_vec();
    for job in queue.iter_mut().take(RESERVATIONS) {
        let start = earliest_start(&holds, job, now, capacity);
        holds.push(hold_at(job, start));
        if job.latest_start.is_none() {
            let turnaround = start.since(now) + job.time();
            let factor = SLACK_FACTOR * f64::from(job.urgency) / 2.0;
            job.latest_start = Some(start + turnaround.mul_f64(factor));
        }
    }
}

/// Returns whether the request at `at` fits now and leaves every reservation
/// before it a start within its slack.
fn may_start(queue: &[Job], at: usize, running: &[Hold], now: Time, capacity: u32) -> bool {
    let job = &queue[at];
    if earliest_start(running, job, now, capacity) > now {
        return false;
    }
    let mut holds = running.to_vec();
    holds.push(hold_at(job, now));
    for reserved in queue[..at].iter().take(RESERVATIONS) {
        let start = earliest_start(&holds, reserved, now, capacity);
        if reserved
            .latest_start
            .is_some_and(|latest| start > latest.max(now))
        {
            return false;
        }
        holds.push(hold_at(reserved, start));
    }
    true
}

/// Returns the first time from which memory suffices until the job's predicted
/// end. It can only be now or the end of a hold.
fn earliest_start(holds: &[Hold], job: &Job, now: Time, capacity: u32) -> Time {
    let mut starts: Vec<Time> = holds.iter().map(|hold| hold.until).collect();
    starts.push(now);
    starts.sort_unstable();
    let fits = |start: &Time| fits_from(holds, job, *start, capacity);
    let last = starts.last().copied().unwrap_or(now);
    starts
        .into_iter()
        .filter(|at| *at >= now)
        .find(fits)
        .unwrap_or(last)
}

/// Memory in use changes where holds begin; those are the moments to check.
fn fits_from(holds: &[Hold], job: &Job, start: Time, capacity: u32) -> bool {
    let end = start + job.time();
    let used_at = |at: Time| -> u32 {
        let held = holds
            .iter()
            .filter(|hold| hold.from <= at && at < hold.until);
        held.map(|hold| hold.demand).sum()
    };
    let begins = holds.iter().map(|hold| hold.from);
    let within = begins.filter(|from| *from > start && *from < end);
    core::iter::once(start)
        .chain(within)
        .all(|at| used_at(at) + job.demand() <= capacity)
}
