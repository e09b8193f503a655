//! Forwards one generation from its engine to its caller, across engines if necessary.
//!
//! # Invariants
//!
//! - Only complete events are forwarded, and their numbers are consecutive. Events that a second
//!   engine sends again are dropped; a missing event ends the stream.
//! - One engine works on the generation at a time: it resumes elsewhere once its run at the old
//!   engine has ended, or while that engine is not reached. `stop_run` makes sure of that for every
//!   way out of an engine; a closed connection shows nothing.
//! - A generation resumes only from a copy of its own KV cache, never from its beginning,
//!   because two generations of one prompt differ. Only a resumable generation may be recomputed
//!   by another engine, which then continues after the last event that the caller has received.
//!
//! `begin` waits for the head of the first response, `forward_events` reads from one
//! engine, `resume` continues the generation at the next.
//!
//! `docs/design/relocation.md` discusses when a generation leaves its engine.

mod begin;
mod copy_wait;
mod open_stop;
mod pace;
mod pre_copy;
mod resume;
mod stop_run;
mod upstream;

use crate::attempts::Attempts;
use crate::cx::OpenKind;
use crate::job::{Job, UsageGuard};
use crate::log_event;
use crate::meters::{ByReason, Histogram, millis};
use crate::ports::{BufferedResponse, EngineCalls, Wire};
use crate::response::{GenerationEnd, Reason, ResponseBody, StreamEnd, refuse};
use crate::sse::{Event, EventSplitter, MAX_EVENT_BLOCKS};
use crate::stream::Chunk;
use crate::stream_room::StreamRoom;
use copy_wait::CopyWait;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::BodyExt;
use open_stop::Departure;
use oriolemux_core::gateway::budget::RetryKind;
use oriolemux_core::gateway::lengths::LengthEstimate;
use oriolemux_core::gateway::relocation::{
    EngineView, EventDelivery, Relocation, ResumeFrom, Step, silence_timeout,
};
use oriolemux_core::gateway::run_end::{LeaveReason, RunStop};
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::ids::EndpointKey;
use oriolemux_core::suspects::{PARTS_PROVEN_AFTER, SUCCESS_AFTER};
use oriolemux_core::time::Time;
use pace::Pace;
use pre_copy::{PreCopy, StandbyCopy};
use resume::RETRY_BUDGET_POLL_INTERVAL;
use std::sync::Arc;
use std::time::Instant;
use stop_run::{KeptRun, LastStop};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout_at;
use upstream::{AttemptStart, StopReason, Upstream, sleep_until};

/// Events between two updates of a generation's expected KV usage: about every half second.
const RECOUNT_EVENTS: u64 = 16;

/// The largest response body of an engine that is not a stream.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// How a generation started.
pub enum StartOutcome<W: Wire> {
    /// The engine streams events.
    Streaming {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
    },
    /// The engine returned a final response without events.
    Response(BufferedResponse),
    /// The attempt failed and may have run.
    Failed {
        /// The request.
        job: Box<Job<W>>,
        /// The engines that it was sent to.
        attempts: Attempts,
        /// The response for the caller, unless the request is retried.
        response: Response<ResponseBody>,
    },
    /// The engine did not run the request.
    NotRun {
        /// The request.
        job: Box<Job<W>>,
        /// The engines that it was sent to.
        attempts: Attempts,
        /// Whether the request reached the engine; sending it again then counts against the
        /// retry budget.
        reached_engine: bool,
    },
}

/// Forwards one generation.
pub struct Relay<W: Wire, E: EngineCalls> {
    job: Job<W>,
    engine_calls: E,
    /// The engines that the request was sent to before the current one.
    attempts: Attempts,
    engine: Placement,
    usage: UsageGuard<W>,
    length: LengthEstimate,
    /// KV tokens that the generation is counted with at the current engine.
    reserved_tokens: u32,
    state: Relocation,
    standby: Option<StandbyCopy<W>>,
    pre_copy: Option<PreCopy<W, E>>,
    /// The open request for the place of a pre-copy.
    copy_wait: Option<CopyWait<W>>,
    /// Engines that refused a pre-copy since the generation runs at the current engine.
    no_room: Vec<EndpointKey>,
    /// The engine for which it was logged that no pre-copy is needed.
    deferred_at: Option<EndpointKey>,
    /// Whether a retry was spent for the next engine while the current one was still running.
    has_retry: bool,
    /// Whether it waits for a retry because the current engine is silent.
    awaits_retry: bool,
    /// Whether the generation may run at the current engine.
    may_run_here: bool,
    /// The answer that showed the end of the run at the current engine.
    last_stop: Option<LastStop>,
    /// The orders to stop the generation that were given on the open stream of the current engine.
    open_stop: Option<RunStop>,
    /// The engine that stopped the generation last.
    stopped_at: Option<Placement>,
    /// The KV cache that it keeps, if there is no copy of it elsewhere.
    kept: Option<KeptRun<E>>,
    /// Whether there is a copy of the generation at the current engine, or may be, that no engine may be
    /// asked to resume from: those that hold it left, or their data centre is cordoned.
    has_lost_holder: bool,
    /// The response of the current engine, if it began without its signature and was not stopped yet.
    unsigned: Option<Upstream>,
    /// When the response of the current engine started.
    response_started: Option<Instant>,
    /// Whether the parts of the prompt were recorded as ones that crash no engine.
    is_proven: bool,
    splitter: EventSplitter,
    room: StreamRoom,
    /// Whether the engine is not read, because its caller reads slowly.
    is_paused: bool,
    /// Whether the engine was not read for a while since the last event.
    was_paused: bool,
    pace: Pace,
    tx: mpsc::Sender<Chunk>,
}

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Creates the relay of a generation that is to be sent to the engine in `chosen`.
    pub fn new(
        job: Job<W>,
        engines: E,
        attempts: Attempts,
        chosen: (Placement, UsageGuard<W>),
        length: LengthEstimate,
        tx: mpsc::Sender<Chunk>,
    ) -> Self {
        let tokens = job.expected_memory(length, 0);
        let pace = Pace::new(job.arrived.elapsed());
        let entry = job.entry();
        let silence = silence_timeout(entry.target, entry.gap_target);
        let last_event = job.last_event_id();
        let (source, in_use) = chosen;
        let room = job.cx.streams.open(source.key);
        Relay {
            job,
            engine_calls: engines,
            attempts,
            engine: source,
            usage: in_use,
            length,
            reserved_tokens: tokens,
            state: Relocation::new(silence).after(last_event),
            standby: None,
            pre_copy: None,
            copy_wait: None,
            no_room: Vec::new(),
            deferred_at: None,
            has_retry: false,
            awaits_retry: false,
            may_run_here: false,
            last_stop: None,
            open_stop: None,
            stopped_at: None,
            kept: None,
            has_lost_holder: false,
            unsigned: None,
            response_started: None,
            is_proven: false,
            splitter: EventSplitter::default(),
            room,
            is_paused: false,
            was_paused: false,
            pace,
            tx,
        }
    }

    /// Runs the relay as a task, which ends when the caller disconnects.
    ///
    /// It is boxed, and so are the futures of what it does rarely: those of a relay that only forwards
    /// events would have room for all of them otherwise.
    pub fn spawn(self) -> oneshot::Receiver<StartOutcome<W>> {
        let (started, rx) = oneshot::channel();
        let relay = Box::new(self);
        tokio::spawn(async move {
            let _open = relay.job.cx.count(OpenKind::Generation);
            let _report = PanicReport {
                attempt: relay.job.name().to_owned(),
                entry: relay.job.entry().name.clone(),
                arrived: relay.job.arrived,
            };
            relay.run(started).await;
        });
        rx
    }

    async fn run(mut self: Box<Self>, mut started: oneshot::Sender<StartOutcome<W>>) {
        let start = tokio::select! {
            start = Box::pin(self.start()) => start,
            () = started.closed() => {
                self.log_end(StreamEnd::CallerLeftEarly);
                return;
            }
        };
        let upstream = match start {
            AttemptStart::Stream {
                upstream,
                status,
                headers,
            } => {
                // If the caller has disconnected meanwhile, its closed channel shows it later.
                let _ = started.send(StartOutcome::Streaming { status, headers });
                upstream
            }
            AttemptStart::FinalResponse(response) if response.status.is_server_error() => {
                let _ = started.send(self.failed(response.into_response()));
                return;
            }
            AttemptStart::FinalResponse(response) => {
                let _ = started.send(StartOutcome::Response(response));
                return;
            }
            AttemptStart::NotRun { reached_engine } => {
                let mut attempts = self.attempts;
                match reached_engine {
                    true => attempts.record_refused(self.engine.key),
                    false => attempts.record_unreached(self.engine.key),
                }
                let _ = started.send(StartOutcome::NotRun {
                    job: Box::new(self.job),
                    attempts,
                    reached_engine,
                });
                return;
            }
            AttemptStart::Failed(reason) => {
                self.log_end(reason);
                Box::pin(self.end_failed_start(reason)).await;
                let response = refuse(reason, self.job.remaining());
                let _ = started.send(self.failed(response));
                return;
            }
        };
        self.forward_stream(upstream).await;
    }

    /// Makes sure that an attempt without a usable response does not go on if the request may be sent to
    /// another engine.
    async fn end_failed_start(&mut self, why: Reason) {
        let is_lost = matches!(why, Reason::ResponseLost | Reason::WrongAttempt);
        if is_lost && self.may_run_again() {
            let ended = self.end_run(LeaveReason::ConnectionBroken).await;
            if ended.is_err() || self.may_run_here {
                self.attempts.record_not_stopped();
            }
        }
    }

    /// Returns the request to its sender after an attempt that may have run.
    fn failed(self, response: Response<ResponseBody>) -> StartOutcome<W> {
        let mut attempts = self.attempts;
        attempts.record_run(self.engine.key);
        StartOutcome::Failed {
            job: Box::new(self.job),
            attempts,
            response,
        }
    }

    /// Forwards events until the stream ends, relocating between engines as necessary.
    async fn forward_stream(mut self: Box<Self>, mut upstream: Upstream) {
        loop {
            let pause = self.forward_events(&mut upstream).await;
            self.withdraw_pre_copy(copy_wait::withdrawn_because(&pause));
            let is_broken = matches!(pause, StopReason::Broken) && !self.is_ordered_to_leave();
            let mut place = None;
            let why = match pause {
                StopReason::End if Box::pin(self.ended_by_order(&upstream)).await => {
                    LeaveReason::Silent
                }
                StopReason::End => {
                    self.finish();
                    let (tx, deadline) = (self.tx.clone(), self.job.deadline);
                    // A caller that reads slowly occupies no place at the engine.
                    drop(upstream);
                    drop(self);
                    let sent = timeout_at(deadline.into(), tx.send(Chunk::End)).await;
                    if sent.is_err() {
                        log::debug!("a caller did not read a generation by its deadline");
                    }
                    return;
                }
                StopReason::CallerGone => {
                    upstream.link.close().await;
                    return self.end_for_caller();
                }
                StopReason::Timeout if self.awaits_retry => {
                    return self.abort_stream(Reason::BudgetSpent);
                }
                StopReason::Timeout => return self.abort_stream(Reason::Timeout),
                StopReason::Gap => return self.abort_stream(StreamEnd::EventMissing),
                StopReason::Relocate => LeaveReason::EngineLeaves,
                StopReason::Stopped => {
                    let ended = self.end_open_run(&mut upstream, LeaveReason::EngineLeaves);
                    if !Box::pin(ended).await {
                        continue;
                    }
                    LeaveReason::EngineLeaves
                }
                // An engine closes the stream of a generation that it stops.
                StopReason::Broken if self.is_ordered_to_leave() => LeaveReason::ConnectionBroken,
                StopReason::Broken | StopReason::EngineFailed => {
                    self.job.record_failure(&self.engine);
                    LeaveReason::ConnectionBroken
                }
                StopReason::Silent => {
                    let ended = self.end_open_run(&mut upstream, LeaveReason::Silent);
                    if !Box::pin(ended).await {
                        continue;
                    }
                    self.job.record_failure(&self.engine);
                    LeaveReason::Silent
                }
                StopReason::Recompute(target, in_use) => {
                    if self.pre_copy.is_none() {
                        let usage = self.job.count_copy(&target, self.reserved_tokens);
                        self.set_stop_target(target.clone(), usage);
                    }
                    let ended = self.end_open_run(&mut upstream, LeaveReason::Silent);
                    if !Box::pin(ended).await {
                        continue;
                    }
                    self.job.record_failure(&self.engine);
                    place = Some((target, in_use));
                    LeaveReason::Silent
                }
            };
            upstream.link.close().await;
            // Others may wait for the room of an incomplete event.
            self.splitter.clear();
            self.room.stop_reading();
            if is_broken {
                let started = self.response_started;
                self.job.on_connection_broken(&self.engine, started).await;
            }
            match Box::pin(self.resume_elsewhere(why, place)).await {
                Ok(next) => upstream = next,
                Err(_) if self.tx.is_closed() => return self.end_for_caller(),
                Err(why) => return self.abort_stream(why),
            }
        }
    }

    /// Ends a generation whose caller has disconnected.
    fn end_for_caller(&self) {
        self.end_run_of_caller();
        self.log_end(StreamEnd::CallerLeft);
    }

    /// Resumes at another engine once the generation has ended at the current one, whose connection is
    /// closed. `place` has room to recompute it.
    ///
    /// # Errors
    ///
    /// Returns why the generation does not resume.
    async fn resume_elsewhere(
        &mut self,
        why: LeaveReason,
        place: Option<(Placement, UsageGuard<W>)>,
    ) -> Result<Upstream, GenerationEnd> {
        // A generation without a copy that may be recomputed names the engine that recomputes it in the
        // order; looking for another one would cost its caller the time.
        let has_target = self.pre_copy.is_some() || self.standby.is_some();
        if has_target || !self.may_run_again() {
            self.end_run(why).await?;
        }
        if why != LeaveReason::Silent {
            self.wait_until_admitted().await?;
        }
        let mut place = place;
        let asked = self.relocate(&mut place).await;
        let had_copy = asked.is_some();
        let is_unsigned = matches!(asked, Some(AttemptStart::Failed(Reason::Unsigned)));
        let start = match asked {
            Some(start @ AttemptStart::Stream { .. }) => Some(start),
            Some(AttemptStart::Failed(reason @ (Reason::BudgetSpent | Reason::NotStopped))) => {
                return Err(reason.into());
            }
            _ => self.recompute(place).await,
        };
        match start {
            Some(AttemptStart::Stream { upstream, .. }) => Ok(upstream),
            Some(AttemptStart::Failed(reason @ (Reason::NotStopped | Reason::Unsigned))) => {
                Err(reason.into())
            }
            _ if is_unsigned => Err(Reason::Unsigned.into()),
            _ if had_copy => Err(StreamEnd::CopyNotTaken.into()),
            _ if self.has_lost_holder => Err(StreamEnd::CopyHolderLeft.into()),
            _ => Err(StreamEnd::NoCopy.into()),
        }
    }

    /// Waits until the generation may resume at another engine.
    ///
    /// # Errors
    ///
    /// Returns why it may not: it crashed engines, or it is a suspect that runs elsewhere.
    async fn wait_until_admitted(&self) -> Result<(), Reason> {
        self.record_success();
        let has_ended = !self.may_run_here;
        self.job
            .wait_until_admitted_to_resume(&self.tx, has_ended)
            .await
    }

    /// Returns whether the generation would be admitted at another engine.
    fn may_leave(&self) -> bool {
        self.record_success();
        self.job.is_admitted()
    }

    /// Records that the request crashes no engine, if it has run for long enough.
    fn record_success(&self) {
        let ran_for = self.response_started.map(|at| at.elapsed());
        if ran_for.is_some_and(|it| it >= SUCCESS_AFTER) {
            self.job.on_run_succeeded();
        }
    }

    async fn forward_events(&mut self, upstream: &mut Upstream) -> StopReason<W> {
        self.room.set_endpoint(self.engine.key);
        loop {
            while self.tx.capacity() >= MAX_EVENT_BLOCKS {
                match self.splitter.next_event() {
                    Ok(Some(event)) => {
                        if let Some(pause) = self.forward_event(event) {
                            return pause;
                        }
                    }
                    Ok(None) => break,
                    Err(error) => {
                        log::debug!("an engine sends no events: {error}");
                        return StopReason::EngineFailed;
                    }
                }
            }
            let may_read = self.may_read();
            let cx = Arc::clone(&self.job.cx);
            let mut departures = core::pin::pin!(cx.departures.notified());
            departures.as_mut().enable();
            let mut decided = core::pin::pin!(cx.decided.notified());
            if self.copy_wait.is_some() {
                decided.as_mut().enable();
            }
            let is_silent = |it: &RunStop| it.reason() == LeaveReason::Silent;
            if !self.open_stop.as_ref().is_some_and(is_silent) && !self.is_ordered_to_leave() {
                self.drop_unusable_pre_copy();
            }
            let check_place = self.check_copy_wait();
            match self.left_by_order() {
                Some(LeaveReason::Silent) => return StopReason::Silent,
                Some(_) => return StopReason::Stopped,
                None => {}
            }
            let (step, stop_at) = self.next_step();
            let wait = match step {
                Step::PreCopy => {
                    self.start_pre_copy();
                    continue;
                }
                // A suspect that runs elsewhere may not resume, and stays where it runs.
                Step::Relocate | Step::FailOver if !self.may_leave() => {
                    cx.clock.instant(cx.now() + RETRY_BUDGET_POLL_INTERVAL)
                }
                // Several generations may leave for the same retry. The one that does not get it
                // stays where it runs.
                Step::Relocate if !self.hold_retry() => continue,
                Step::Relocate => match self.departure(upstream) {
                    Departure::Leave => return StopReason::Relocate,
                    Departure::Order => {
                        self.order_leaving_stop();
                        continue;
                    }
                    Departure::Stay(until) => cx.clock.instant(until),
                },
                Step::FailOver if self.hold_retry() => return StopReason::Silent,
                Step::FailOver => {
                    self.await_retry();
                    cx.clock.instant(cx.now() + RETRY_BUDGET_POLL_INTERVAL)
                }
                Step::Recompute => match Box::pin(self.engine_with_room()).await {
                    Some((place, in_use)) => {
                        self.has_retry = true;
                        return StopReason::Recompute(place, in_use);
                    }
                    None => {
                        self.state.recompute_refused(cx.now());
                        continue;
                    }
                },
                Step::Wait(_)
                    if stop_at.is_some_and(|at| at <= cx.now())
                        && self.may_leave()
                        && self.hold_retry() =>
                {
                    Box::pin(self.order_silent_stop()).await;
                    continue;
                }
                Step::Wait(until) if stop_at.is_some_and(|at| at <= cx.now()) => {
                    self.await_retry();
                    let poll = cx.now() + RETRY_BUDGET_POLL_INTERVAL;
                    cx.clock.instant(until.min(poll))
                }
                Step::Wait(until) => cx.clock.instant(stop_at.map_or(until, |at| at.min(until))),
            };
            let is_stopping = self.pre_copy.as_ref().is_some_and(PreCopy::is_stopping);
            let unanswered_at = self.stop_unanswered_at();
            tokio::select! {
                moved = pre_copy::wait_for_end(&mut self.pre_copy) => match is_stopping {
                    true => self.on_open_stop_answer(moved),
                    false => self.on_pre_copy_ended(moved),
                },
                () = until_room(&self.tx, &self.room, self.splitter.is_split()), if !may_read => {}
                frame = upstream.body.frame(), if may_read => match frame {
                    Some(Ok(frame)) => {
                        self.state.on_bytes(cx.now());
                        self.awaits_retry = false;
                        if !is_stopping && self.open_stop.as_ref().is_some_and(is_silent) {
                            self.open_stop = None;
                        }
                        self.splitter.push(&frame.into_data().unwrap_or_default());
                    }
                    Some(Err(error)) => {
                        log::debug!("connection of a generation failed: {error}");
                        return StopReason::Broken;
                    }
                    None if self.splitter.has_partial_event() => return StopReason::Broken,
                    None if !upstream.is_delimited && !self.state.has_event_here() => {
                        // The engine may have closed its connection before its first event.
                        return StopReason::Broken;
                    }
                    None => return StopReason::End,
                },
                () = self.tx.closed() => return StopReason::CallerGone,
                () = tokio::time::sleep_until(self.job.deadline.into()) => return StopReason::Timeout,
                () = sleep_until(wait) => {}
                () = sleep_until(unanswered_at), if unanswered_at.is_some() => {
                    self.on_stop_unanswered();
                }
                () = departures => {}
                () = decided, if check_place.is_some() => {}
                () = sleep_until(check_place) => {}
            }
        }
    }

    /// Records that the engine is silent and that the generation has no retry to leave it with: it waits
    /// for its events or for a retry, whichever comes first.
    fn await_retry(&mut self) {
        if !core::mem::replace(&mut self.awaits_retry, true) {
            self.log_retry_awaited();
        }
    }

    /// Takes a retry for the next engine, unless one is in hand. Returns whether there is one: a
    /// generation whose engine stops it, and which then may not resume, would be lost.
    ///
    /// Without a copy the generation is recomputed, and leaves what is reserved for those with one.
    fn hold_retry(&mut self) -> bool {
        let kind = match self.state.resume_from(self.job.cx.now(), true) {
            Some(_) => RetryKind::Resume,
            None => RetryKind::Recompute,
        };
        if !self.has_retry && self.job.may_retry(kind) {
            self.has_retry = self.job.try_spend_retry(kind);
        }
        self.awaits_retry &= !self.has_retry;
        self.has_retry
    }

    /// Returns whether the engine may be read: all its complete events are forwarded, and there is room
    /// for more.
    fn may_read(&mut self) -> bool {
        let may_read = self.splitter.is_split() && self.room.admit_read(self.splitter.memory());
        let is_resumed = core::mem::replace(&mut self.is_paused, !may_read);
        if is_resumed || !may_read {
            self.state.on_reading_paused(self.job.cx.now());
            self.was_paused = true;
        }
        may_read
    }

    /// Forwards one event, unless the caller has it already.
    fn forward_event(&mut self, event: Event) -> Option<StopReason<W>> {
        let now = self.job.cx.now();
        let is_first_here = !self.state.has_event_here();
        match self.state.on_event(now, event.id) {
            EventDelivery::Forward => {}
            EventDelivery::Duplicate => return None,
            EventDelivery::Gap => return Some(StopReason::Gap),
        }
        if is_first_here {
            self.job.cx.state().endpoints.on_response(self.engine.key);
            self.usage.on_first_byte();
        }
        let ran_for = self.state.runs_here_for(now);
        if !self.is_proven && ran_for.is_some_and(|it| it >= PARTS_PROVEN_AFTER) {
            self.prove_parts();
        }
        let was_paused = core::mem::take(&mut self.was_paused);
        let relocations = self.state.relocations();
        let gap = self.pace.on_event(Instant::now(), relocations, was_paused);
        if let Some(gap) = gap {
            let mut state = self.job.cx.state();
            state.observe_gap(now, self.engine.key, gap);
        }
        self.recount();
        for block in event.blocks {
            let chunk = Chunk::Data(self.room.pass_on(block));
            // The channel has room for the blocks of an event.
            if self.tx.try_send(chunk).is_err() {
                return Some(StopReason::CallerGone);
            }
        }
        None
    }

    /// Returns the next step, and when a silent engine is to be ordered to stop the generation, unless
    /// it was already.
    fn next_step(&mut self) -> (Step, Option<Time>) {
        let view = self.engine_view();
        self.log_deferred_copy(&view);
        let now = self.job.cx.now();
        let step = self.state.next(now, &view);
        let reason = self.open_stop.as_ref().map(RunStop::reason);
        let is_ordered = reason == Some(LeaveReason::Silent);
        let stop_at = (!is_ordered).then(|| self.state.stop_order_at(now, &view));
        (step, stop_at.flatten())
    }

    fn engine_view(&self) -> EngineView {
        let cx = &self.job.cx;
        let now = cx.now();
        let standby = self.standby.as_ref().map(|copy| copy.place.key);
        let pre_copy = self.pre_copy.as_ref().map(|pre_copy| pre_copy.target.key);
        let mut state = cx.state();
        let standing_takes_work = standby.is_some_and(|key| state.may_send(now, key));
        let target = match self.state.resume_from(now, standing_takes_work) {
            Some(ResumeFrom::PreCopy) => pre_copy,
            Some(ResumeFrom::Standby) => standby,
            None => None,
        };
        let leaving = state.leaving_since(self.engine.key);
        EngineView {
            leaving_for: leaving.map(|since| now.since(since)),
            standby_is_usable: standing_takes_work,
            target_is_quiet: target.is_some_and(|key| state.has_no_pending_prefill(now, key)),
            may_recompute: self.may_run_again(),
            is_budget_spent: leaving.is_some()
                && !self.has_retry
                && !state.may_relocate(now, &self.job.service().name),
            remaining: leaving.and_then(|_| self.expected_remaining()),
        }
    }

    /// Updates the expected KV usage as the generation grows.
    fn recount(&mut self) {
        if self.state.events().is_multiple_of(RECOUNT_EVENTS) {
            let made = self.state.tokens();
            self.reserved_tokens = self.job.expected_memory(self.length, made);
            self.usage.adjust(self.reserved_tokens);
        }
    }

    fn finish(&mut self) {
        let cx = &self.job.cx;
        let mut state = cx.state();
        state.endpoints.on_success(self.engine.key);
        state
            .lengths
            .record(&self.job.entry().name, self.state.tokens());
        drop(state);
        self.job.on_run_succeeded();
        if self.state.events() > 0 {
            self.prove_parts();
        }
        self.log_end(StreamEnd::Complete);
    }

    /// Records that no part of the prompt crashes the engine that begins it.
    fn prove_parts(&mut self) {
        self.is_proven = true;
        self.job.on_parts_succeeded();
    }

    /// Aborts the caller's stream: without its end it does not look complete.
    fn abort_stream(self, why: impl Into<GenerationEnd>) {
        self.log_end(why);
    }

    fn log_end(&self, how: impl Into<GenerationEnd>) {
        let how = how.into().word();
        let entry = self.job.entry();
        let timing = self.pace.summary(self.job.arrived);
        timing.record();
        ByReason::Generations.add(how);
        Histogram::Generation.record(self.job.arrived.elapsed());
        log_event!(
            GenerationEnded,
            attempt = self.job.name(),
            entry = entry.name.as_str(),
            endpoint = self.engine.name.as_str(),
            events = self.state.events(),
            moves = self.state.relocations(),
            late = timing.is_late(entry),
            wait_ms = timing.waited_ms,
            first_ms = timing.first_ms,
            pause_ms = timing.pause_ms,
            ms = millis(self.job.arrived.elapsed()),
            how = how
        );
    }
}

/// Waits until the caller may have read enough for one more event, or for one more read.
async fn until_room(tx: &mpsc::Sender<Chunk>, room: &StreamRoom, is_split: bool) {
    match is_split {
        true => room.changed().await,
        // A closed channel is noticed elsewhere.
        false => drop(tx.reserve_many(MAX_EVENT_BLOCKS).await),
    }
}

/// Logs and counts a relay that a panic ends, which has no [`GenerationEnded`] line.
///
/// [`GenerationEnded`]: crate::event_log::GatewayEvent::GenerationEnded
struct PanicReport {
    attempt: String,
    entry: String,
    arrived: Instant,
}

impl Drop for PanicReport {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        ByReason::Generations.add(&Reason::RelayFailed.to_string());
        log_event!(
            RelayFailed,
            attempt = self.attempt.as_str(),
            entry = self.entry.as_str(),
            ms = millis(self.arrived.elapsed())
        );
    }
}
