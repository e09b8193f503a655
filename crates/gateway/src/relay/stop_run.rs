//! Making sure that a generation has ended at its engine before it resumes at another one.
//!
//! Not every engine drops a request when its connection closes. The order to copy the generation with
//! a stop tells: an engine that dropped it does not know it any more, and one that did not stops it
//! first. What the answers show, and for how long an engine is asked, is decided in
//! [`run_end`](oriolemux_core::gateway::run_end); this module sends the orders.
//!
//! The connection to an engine is closed before the order, since an order to a generation that is
//! still connected copies its last part, which queues behind other copies. A silent engine, and one
//! that leaves and may not carry out the order, is ordered first, by `open_stop`.
//! `docs/design/relocation.md` has the figures.

use super::Relay;
use super::pre_copy::{CopyCall, CopyGuards, CopyHandle, PreCopy, wait_for_end};
use super::upstream::sleep_until;
use crate::job::{CopyUsageGuard, PendingMove};
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::ports::{CopyOutcome, EngineCalls, Wire};
use crate::response::Reason;
use oriolemux_core::gateway::RequestKind;
use oriolemux_core::gateway::run_end::{
    Evidence, LeaveReason, REPEAT_AFTER, RunStop, StopAnswer, StopStep,
};
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::gateway::stop_conduct::OrderedOn;
use oriolemux_core::time::Time;
use std::sync::Arc;
use std::time::Instant;
use tokio::time::timeout_at;

/// What became of the orders to stop a run.
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
enum RunOutcome {
    /// ended
    Ended,
    /// unreached
    Unreached,
    /// not_stopped
    NotStopped,
    /// caller_left
    CallerLeft,
    /// ended_later
    EndedLater,
    /// never_shown
    NeverShown,
}

/// The answer that showed the end of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastStop {
    pub(super) answer: StopAnswer,
    /// By when the engine closes a stream that is still open.
    pub(super) closes_by: Time,
}

/// The KV cache of a stopped generation that its engine keeps.
pub(super) struct KeptRun<E: EngineCalls> {
    /// The engine.
    pub(super) place: Placement,
    /// The handle to resume with.
    pub(super) handle: CopyHandle<E>,
}

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Makes sure that the generation does not run at the current engine any more, or that the engine
    /// is not reached. Unless the engine was silent, or answered without its signature, its connection
    /// must be closed.
    ///
    /// Without another engine there is no order to give. The generation then cannot resume anywhere, and
    /// [`Relay::may_run_here`] stays set.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::NotStopped`] if the engine is reached and does not stop the generation in time,
    /// or if the caller disconnects: the generation then resumes nowhere.
    pub(super) async fn end_run(&mut self, why: LeaveReason) -> Result<(), Reason> {
        if !self.may_run_here || !(self.choose_stop_target().await || self.choose_full_target(why))
        {
            self.close_unsigned().await;
            return Ok(());
        }
        let cx = Arc::clone(&self.job.cx);
        let began = Instant::now();
        let (now, deadline) = (cx.now(), self.deadline());
        let mut stop = match self.open_stop.take() {
            Some(pending) => pending.continued(now, why, deadline),
            None => RunStop::new(now, why, deadline),
        };
        let caller = self.tx.clone();
        let outcome = loop {
            match stop.next(cx.now()) {
                StopStep::Order => {
                    stop.on_order(cx.now());
                    let ends = cx.clock.instant(stop.ends()).unwrap_or(began);
                    let answer = tokio::select! {
                        biased;
                        answer = self.order_stop(ends) => answer,
                        () = caller.closed() => break RunOutcome::CallerLeft,
                    };
                    let is_open = why == LeaveReason::Silent || self.unsigned.is_some();
                    let ordered_on = match is_open {
                        true => OrderedOn::OpenStream,
                        false => OrderedOn::ClosedStream,
                    };
                    self.on_stop_answer(&mut stop, answer, ordered_on);
                    self.close_unsigned().await;
                }
                StopStep::Wait(until) => tokio::select! {
                    () = sleep_until(cx.clock.instant(until)) => {}
                    () = caller.closed() => break RunOutcome::CallerLeft,
                },
                StopStep::Resume => break RunOutcome::Ended,
                StopStep::ResumeAndFollowUp => break RunOutcome::Unreached,
                StopStep::GiveUp => break RunOutcome::NotStopped,
            }
        };
        self.log_stop(&stop, outcome, why, began);
        if matches!(outcome, RunOutcome::NotStopped | RunOutcome::CallerLeft) {
            return Err(Reason::NotStopped);
        }
        self.may_run_here = false;
        if outcome == RunOutcome::Unreached {
            self.follow_up(stop);
        }
        Ok(())
    }

    /// Closes the connection of a response without a signature, if one is open.
    pub(super) async fn close_unsigned(&mut self) {
        if let Some(upstream) = self.unsigned.take() {
            upstream.link.close().await;
        }
    }

    /// Chooses the engine that gets the copy of an order to stop the generation, if none holds one
    /// yet. Returns whether there is one.
    pub(super) async fn choose_stop_target(&mut self) -> bool {
        if self.pre_copy.is_some() {
            return true;
        }
        let standby = self.standby.as_ref().map(|it| it.place.clone());
        let standby = standby.filter(|it| self.may_resume_at(it.key));
        let place = match standby {
            Some(place) => {
                let usage = self.job.count_copy(&place, self.reserved_tokens);
                Some((place, usage))
            }
            None => {
                let (source, tokens) = (self.engine.key, self.reserved_tokens);
                self.job
                    .request_pre_copy_placement(source, tokens, &self.no_room)
                    .await
            }
        };
        let Some((target, usage)) = place else {
            return false;
        };
        self.set_stop_target(target, usage);
        true
    }

    /// Chooses an engine without room as the one that an order names. Returns whether there is one.
    ///
    /// The engine that runs the generation stops it all the same, and keeps its KV cache. One that
    /// is silent or leaves and has no successor goes on with the generation instead.
    fn choose_full_target(&mut self, why: LeaveReason) -> bool {
        if matches!(why, LeaveReason::Silent | LeaveReason::EngineLeaves) {
            return false;
        }
        let Some(place) = self.another_engine() else {
            return false;
        };
        let usage = self.job.count_copy(&place, self.reserved_tokens);
        self.set_stop_target(place, usage);
        true
    }

    /// Makes `target` the engine that gets the copy of an order to stop the generation.
    pub(super) fn set_stop_target(&mut self, target: Placement, usage: CopyUsageGuard<W>) {
        let guards = CopyGuards {
            usage,
            pending: PendingMove::new(&self.job),
        };
        let engines = self.engine_calls.clone();
        self.pre_copy = Some(PreCopy::new(engines, self.engine.clone(), target, guards));
    }

    /// Orders the engine to stop the generation; returns its answer, or that of a repeated order.
    async fn order_stop(&mut self, ends: Instant) -> CopyOutcome {
        let Some(pre_copy) = &mut self.pre_copy else {
            return CopyOutcome::NoAnswer;
        };
        let order = pre_copy.stop_order();
        let attempt = self.job.name();
        if !pre_copy.is_stopping() {
            pre_copy.start(attempt, true);
        }
        let until = ends.min(Instant::now() + REPEAT_AFTER);
        let first = wait_for_end(&mut self.pre_copy);
        if let Ok(answer) = timeout_at(until.into(), first).await {
            return answer;
        }
        order.send(attempt, REPEAT_AFTER).await
    }

    pub(super) fn on_stop_answer(
        &mut self,
        stop: &mut RunStop,
        answer: CopyOutcome,
        ordered_on: OrderedOn,
    ) {
        let meaning = answer.stop_answer();
        ByReason::RunStops.add(&meaning.to_string());
        let cx = &self.job.cx;
        let now = cx.now();
        stop.on_answer(now, meaning);
        let mut state = cx.state();
        let conduct = &mut state.stop_conduct;
        conduct.on_answer(now, self.engine.key, meaning, ordered_on);
        drop(state);
        if meaning.evidence() == Evidence::Ended {
            self.last_stop = Some(LastStop {
                answer: meaning,
                closes_by: stop.closes_by(),
            });
        }
        match answer {
            CopyOutcome::Complete { handle } => {
                self.stopped_at = Some(self.engine.clone());
                if let Some(pre_copy) = &mut self.pre_copy {
                    pre_copy.complete(handle);
                }
            }
            CopyOutcome::NoRoom {
                handle: Some(handle),
            } => {
                let engines = self.engine_calls.clone();
                self.kept = Some(KeptRun {
                    place: self.engine.clone(),
                    handle: CopyHandle::new(engines, self.engine.address, handle),
                });
                self.on_no_room();
            }
            _ => {}
        }
    }

    /// Ends the run of a resumable generation whose caller left: it may return, and continue the
    /// generation at any engine.
    pub(super) fn end_run_of_caller(&self) {
        if self.may_run_here && self.job.entry().kind == RequestKind::ResumableStream {
            let (now, deadline) = (self.job.cx.now(), self.deadline());
            self.follow_up(RunStop::new(now, LeaveReason::CallerLeft, deadline));
        }
    }

    /// Repeats the order to stop the generation in the background until the engine shows that the run
    /// has ended, or the deadline of the request passes.
    fn follow_up(&self, mut stop: RunStop) {
        let Some(call) = self.stop_call() else {
            return;
        };
        let cx = Arc::clone(&self.job.cx);
        let deadline = self.deadline();
        let (attempt, endpoint) = (self.job.name().to_owned(), self.engine.name.clone());
        let began = Instant::now();
        tokio::spawn(async move {
            while let Some(at) = stop.follow_up_at(deadline) {
                sleep_until(cx.clock.instant(at)).await;
                let answer = call.send(&attempt, REPEAT_AFTER).await;
                stop.on_answer(cx.now(), answer.stop_answer());
                drop(call.handle(answer));
            }
            let outcome = match stop.has_ended() {
                true => RunOutcome::EndedLater,
                false => RunOutcome::NeverShown,
            };
            ByReason::RunEnds.add(&outcome.to_string());
            let answer = stop.last_answer().unwrap_or(StopAnswer::Unreached);
            log_event!(
                RunStopFollowedUp,
                attempt = attempt.as_str(),
                endpoint = endpoint.as_str(),
                how:% = outcome,
                answer:% = answer,
                ms = millis(began.elapsed())
            );
        });
    }

    /// Returns the order that stops the generation at the current engine, `None` if there is no other
    /// engine that it could name.
    fn stop_call(&self) -> Option<CopyCall<E>> {
        if let Some(pre_copy) = &self.pre_copy {
            return Some(pre_copy.stop_order());
        }
        let standby = self.standby.as_ref().map(|it| it.place.clone());
        let target = standby.or_else(|| self.another_engine())?;
        Some(CopyCall {
            engines: self.engine_calls.clone(),
            source: self.engine.clone(),
            target: target.address,
            stop: true,
        })
    }

    fn deadline(&self) -> Time {
        self.job.cx.now() + self.job.remaining()
    }

    /// Returns an engine that an order can name, whether or not it has room.
    fn another_engine(&self) -> Option<Placement> {
        let state = self.job.cx.state();
        state.another_endpoint(&self.job.service().name, self.engine.key)
    }

    fn log_stop(&self, stop: &RunStop, outcome: RunOutcome, why: LeaveReason, began: Instant) {
        ByReason::RunEnds.add(&outcome.to_string());
        let answer = stop.last_answer().unwrap_or(StopAnswer::Unreached);
        log_event!(
            RunStopped,
            attempt = self.job.name(),
            endpoint = self.engine.name.as_str(),
            how:% = answer,
            ms = millis(began.elapsed()),
            why:% = why,
            outcome:% = outcome
        );
    }
}
