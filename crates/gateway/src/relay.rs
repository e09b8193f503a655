//! One generation from its engine to its caller, across engines if need be.
//!
//! # What is kept
//!
//! - Whole events only, with numbers that follow each other without a gap. What
//!   a second engine sends again is dropped; a gap ends the stream.
//! - One engine at work: the connection to the old engine is closed before the
//!   generation is asked for elsewhere.
//! - A generation goes on only from its own memory, never from its beginning:
//!   two generations of one prompt differ. Only a resumable one may be read anew by
//!   another engine, which then goes on after the last event that the caller holds.
//!
//! `begin` waits for the head of the first answer, `pass_events` reads from one engine,
//! `go_on` carries the generation to the next.
//!
//! `docs/design/relocation.md` weighs when a generation leaves its engine.

mod ahead;
mod begin;
mod go_on;
mod pace;
mod upstream;

use crate::answer::{AnswerBody, BrokenOff, Reason, refuse};
use crate::attempts::Attempts;
use crate::cx::Open;
use crate::events::{Event, EventSplitter};
use crate::job::{InUse, Job};
use crate::meters::{ByReason, Histogram, millis};
use crate::note;
use crate::ports::{EngineCalls, WholeAnswer, Wire};
use crate::stream::Piece;
use ahead::{CopyAhead, StandingCopy};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use oriolemux_core::gateway::lengths::Length;
use oriolemux_core::gateway::relocation::{
    Delivery, GoOnFrom, Relocation, Step, View, silence_limit,
};
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::suspects::SUCCESS_AFTER;
use pace::Pace;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};
use upstream::{Begun, Pause, Upstream, sleep_until};

/// Events after which a generation's memory is counted anew: about every half second.
const RECOUNT_EVENTS: u64 = 16;

/// The largest answer that is no stream.
const MAX_ANSWER: usize = 1024 * 1024;

/// How a generation began.
pub enum Started<W: Wire> {
    /// Events come.
    Streaming {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
    },
    /// The engine gave a final answer without events.
    Answer(WholeAnswer),
    /// It failed and may have run.
    Failed {
        /// The request.
        job: Box<Job<W>>,
        /// Where it was.
        attempts: Attempts,
        /// What the caller gets unless it runs again.
        answer: Response<AnswerBody>,
    },
    /// The engine did not run it.
    NotRun {
        /// The request.
        job: Box<Job<W>>,
        /// Where it was.
        attempts: Attempts,
        /// Whether it reached the engine, and so counts among the repeats when it is
        /// sent once more.
        arrived: bool,
    },
}

/// One generation.
pub struct Relay<W: Wire, E: EngineCalls> {
    job: Job<W>,
    engines: E,
    /// Where the request was before the present engine.
    attempts: Attempts,
    source: Placement,
    in_use: InUse<W>,
    length: Length,
    /// The memory that the generation is counted with.
    tokens: u32,
    state: Relocation,
    standing: Option<StandingCopy<W>>,
    ahead: Option<CopyAhead<W, E>>,
    /// When the present engine's answer began.
    begun: Option<Instant>,
    splitter: EventSplitter,
    pace: Pace,
    tx: mpsc::Sender<Piece>,
}

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Makes the relay of a generation that is to be sent to `source`.
    pub fn new(
        job: Job<W>,
        engines: E,
        attempts: Attempts,
        chosen: (Placement, InUse<W>),
        length: Length,
        tx: mpsc::Sender<Piece>,
    ) -> Self {
        let tokens = job.expected_memory(length, 0);
        let pace = Pace::new(job.arrived.elapsed());
        let entry = job.entry();
        let silence = silence_limit(entry.target, entry.gap_target);
        let held = job.held();
        let (source, in_use) = chosen;
        Relay {
            job,
            engines,
            attempts,
            source,
            in_use,
            length,
            tokens,
            state: Relocation::new(silence).after(held),
            standing: None,
            ahead: None,
            begun: None,
            splitter: EventSplitter::default(),
            pace,
            tx,
        }
    }

    /// Runs the relay as a task; it ends when the caller leaves.
    pub fn spawn(self) -> oneshot::Receiver<Started<W>> {
        let (started, rx) = oneshot::channel();
        tokio::spawn(async move {
            let _open = self.job.cx.count(Open::Generation);
            self.run(started).await;
        });
        rx
    }

    async fn run(mut self, mut started: oneshot::Sender<Started<W>>) {
        let begun = tokio::select! {
            begun = self.begin() => begun,
            () = started.closed() => {
                self.log_end("caller_left_early");
                return;
            }
        };
        let upstream = match begun {
            Begun::Stream {
                upstream,
                status,
                headers,
            } => {
                // A caller that left meanwhile is noticed by its closed channel.
                let _ = started.send(Started::Streaming { status, headers });
                upstream
            }
            Begun::Ended(answer) if answer.status.is_server_error() => {
                let _ = started.send(self.failed(answer.into_response()));
                return;
            }
            Begun::Ended(answer) => {
                let _ = started.send(Started::Answer(answer));
                return;
            }
            Begun::NotRun { arrived } => {
                let mut attempts = self.attempts;
                match arrived {
                    true => attempts.note_refused(self.source.key),
                    false => attempts.note_unreached(self.source.key),
                }
                let _ = started.send(Started::NotRun {
                    job: Box::new(self.job),
                    attempts,
                    arrived,
                });
                return;
            }
            Begun::Failed(reason) => {
                self.log_end(&reason.to_string());
                let answer = refuse(reason, self.job.left());
                let _ = started.send(self.failed(answer));
                return;
            }
        };
        self.follow(upstream).await;
    }

    /// Gives the request back after it may have run.
    fn failed(self, answer: Response<AnswerBody>) -> Started<W> {
        let mut attempts = self.attempts;
        attempts.note_run(self.source.key);
        Started::Failed {
            job: Box::new(self.job),
            attempts,
            answer,
        }
    }

    /// Passes events on until the stream ends, moving to other engines on the way.
    async fn follow(mut self, mut upstream: Upstream) {
        loop {
            let pause = self.pass_events(&mut upstream).await;
            let next = match pause {
                Pause::End => {
                    self.finish();
                    return;
                }
                Pause::CallerGone => {
                    self.log_end("caller_left");
                    return;
                }
                Pause::Timeout => return self.break_off("timeout").await,
                Pause::Gap => return self.break_off("event_missing").await,
                Pause::Leave => {
                    upstream.link.close().await;
                    if let Err(reason) = self.may_go_on().await {
                        return self.break_off(&reason.to_string()).await;
                    }
                    self.leave().await
                }
                Pause::GoOnAnew(place, in_use) => {
                    upstream.link.close().await;
                    self.job.note_failure(&self.source);
                    Some(self.go_on_anew_at(place, in_use).await)
                }
                Pause::Broken => {
                    upstream.link.close().await;
                    self.job.note_failure(&self.source);
                    self.job.note_broken(&self.source, self.begun).await;
                    if let Err(reason) = self.may_go_on().await {
                        return self.break_off(&reason.to_string()).await;
                    }
                    self.leave().await
                }
                Pause::GivenUp => {
                    upstream.link.close().await;
                    self.job.note_failure(&self.source);
                    self.leave().await
                }
            };
            let next = match next {
                Some(begun @ Begun::Stream { .. }) => Some(begun),
                Some(Begun::Failed(reason @ Reason::BudgetSpent)) => {
                    return self.break_off(&reason.to_string()).await;
                }
                _ => self.go_on_anew().await,
            };
            match next {
                Some(Begun::Stream { upstream: next, .. }) => upstream = next,
                _ => return self.break_off("no_copy").await,
            }
        }
    }

    /// Waits until the generation may go on at another engine.
    ///
    /// # Errors
    ///
    /// Returns why it may not: it ended its engines, or runs elsewhere too.
    async fn may_go_on(&self) -> Result<(), Reason> {
        let ran_for = self.begun.map(|at| at.elapsed());
        if ran_for.is_some_and(|it| it >= SUCCESS_AFTER) {
            self.job.ran_well();
        }
        self.job.admitted_to_go_on().await
    }

    async fn pass_events(&mut self, upstream: &mut Upstream) -> Pause<W> {
        loop {
            while let Some(event) = self.splitter.next_event() {
                if let Some(pause) = self.pass_on(event).await {
                    return pause;
                }
            }
            let cx = Arc::clone(&self.job.cx);
            let mut departures = core::pin::pin!(cx.departures.notified());
            departures.as_mut().enable();
            self.drop_cordoned_copy();
            let wait = match self.next_step() {
                Step::CopyAhead => {
                    self.copy_ahead().await;
                    continue;
                }
                Step::Leave => return Pause::Leave,
                Step::GiveUp => return Pause::GivenUp,
                Step::GoOnAnew => match self.engine_with_room().await {
                    Some((place, in_use)) => return Pause::GoOnAnew(place, in_use),
                    None => {
                        self.state.anew_impossible(cx.now());
                        continue;
                    }
                },
                Step::Wait(until) => cx.clock.instant(until),
            };
            tokio::select! {
                moved = ahead::ended(&mut self.ahead) => self.on_copied_ahead(moved),
                frame = upstream.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        self.state.on_bytes(cx.now());
                        let data = frame.into_data().unwrap_or_default();
                        if !self.splitter.push(&data) {
                            return Pause::GivenUp;
                        }
                    }
                    Some(Err(error)) => {
                        log::debug!("a generation's connection broke: {error}");
                        return Pause::Broken;
                    }
                    None if self.splitter.has_rest() => return Pause::Broken,
                    None => return Pause::End,
                },
                () = self.tx.closed() => return Pause::CallerGone,
                () = tokio::time::sleep_until(self.job.ends.into()) => return Pause::Timeout,
                () = sleep_until(wait) => {}
                () = departures => {}
            }
        }
    }

    /// Passes one event on, unless the caller holds it already. A caller that takes
    /// nothing holds the generation up no longer than its time.
    async fn pass_on(&mut self, event: Event) -> Option<Pause<W>> {
        let now = self.job.cx.now();
        let is_first_here = !self.state.has_begun_here();
        match self.state.on_event(now, event.id) {
            Delivery::Pass => {}
            Delivery::Again => return None,
            Delivery::Gap => return Some(Pause::Gap),
        }
        if is_first_here {
            self.job.cx.state().endpoints.on_answer(self.source.key);
            self.in_use.first_byte();
        }
        self.pace.on_event(Instant::now());
        self.recount();
        let sent = self.tx.send(Ok(event.bytes));
        match tokio::time::timeout_at(self.job.ends.into(), sent).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(Pause::CallerGone),
            Err(_) => Some(Pause::Timeout),
        }
    }

    fn next_step(&self) -> Step {
        let cx = &self.job.cx;
        let now = cx.now();
        let standing = self.standing.as_ref().map(|copy| copy.place.key);
        let ahead = self.ahead.as_ref().map(|ahead| ahead.target.key);
        let mut state = cx.state();
        let standing_takes_work = standing.is_some_and(|key| state.is_usable(key));
        let target = match self.state.go_on_from(now, standing_takes_work) {
            Some(GoOnFrom::Ahead) => ahead,
            Some(GoOnFrom::Standing) => standing,
            None => None,
        };
        let leaving = state.leaving_since(self.source.key);
        let view = View {
            leaves_for: leaving.map(|since| now.since(since)),
            standing_takes_work,
            target_is_quiet: target.is_some_and(|key| state.has_no_pending_prefill(now, key)),
            may_go_on_anew: self.may_run_again(),
            is_budget_spent: leaving.is_some()
                && !state.may_relocate(now, &self.job.service().name),
        };
        self.state.next(now, &view)
    }

    /// Counts the memory anew as the generation grows.
    fn recount(&mut self) {
        if self.state.events().is_multiple_of(RECOUNT_EVENTS) {
            let made = self.state.tokens();
            self.tokens = self.job.expected_memory(self.length, made);
            self.in_use.adjust(self.tokens);
        }
    }

    fn finish(&mut self) {
        let cx = &self.job.cx;
        let mut state = cx.state();
        state.endpoints.on_success(self.source.key);
        state
            .lengths
            .learn(&self.job.entry().name, self.state.tokens());
        drop(state);
        self.job.ran_well();
        self.log_end("complete");
    }

    /// Ends the caller's stream without the mark of a complete one.
    async fn break_off(&mut self, why: &str) {
        self.log_end(why);
        // A caller that left meanwhile needs no end.
        let _ = self.tx.send(Err(BrokenOff)).await;
    }

    fn log_end(&self, how: &str) {
        let entry = self.job.entry();
        let seen = self.pace.seen(self.job.arrived);
        seen.record();
        ByReason::Generations.add(how);
        Histogram::Generation.record(self.job.arrived.elapsed());
        note!(
            GenerationEnded,
            attempt = self.job.name(),
            entry = entry.name.as_str(),
            endpoint = self.source.name.as_str(),
            events = self.state.events(),
            moves = self.state.moves(),
            late = seen.is_late(entry),
            wait_ms = seen.waited_ms,
            first_ms = seen.first_ms,
            pause_ms = seen.pause_ms,
            ms = millis(self.job.arrived.elapsed()),
            how = how
        );
    }
}
