//! Orders to stop a generation whose stream is still open.
//!
//! An engine that leaves is ordered this way if it may not carry out the order: the generation stays
//! with it until it does, and its events go on. A silent engine is ordered so because its stream shows
//! whether the run goes on. [`stop_conduct`](oriolemux_core::gateway::stop_conduct) decides which engines
//! that leave are.

use super::Relay;
use super::pre_copy::{CopyCall, PreCopy};
use super::resume::RETRY_BUDGET_POLL_INTERVAL;
use super::stop_run::LastStop;
use super::upstream::Upstream;
use crate::log_event;
use crate::meters::ByReason;
use crate::ports::{CopyOutcome, EngineCalls, Wire};
use core::time::Duration;
use http_body_util::BodyExt;
use oriolemux_core::gateway::run_end::{Evidence, LeaveReason, REPEAT_AFTER, RunStop, StopAnswer};
use oriolemux_core::gateway::stop_conduct::{OrderedOn, WayOut};
use oriolemux_core::time::Time;
use std::sync::Arc;
use std::time::Instant;
use tokio::time::timeout_at;

/// How often a generation checks whether its engine has answered whether it carries out orders. An answer
/// takes some milliseconds.
const ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The attempt id in an order that stops nothing. It is of another form than callers' ids, and not
/// derived from one, so that no generation has it.
const NO_ATTEMPT: &str = "order-without-attempt";

/// What a generation does whose engine leaves.
pub(super) enum Departure {
    /// It closes the connection and leaves.
    Leave,
    /// It orders the engine to stop the run.
    Order,
    /// It stays until this time at least.
    Stay(Time),
}

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Returns how the generation leaves its engine, which leaves. It has a retry for the next one.
    pub(super) fn departure(&mut self, upstream: &Upstream) -> Departure {
        let cx = Arc::clone(&self.job.cx);
        let now = cx.now();
        if let Some(stop) = &self.open_stop {
            let check_at = now + RETRY_BUDGET_POLL_INTERVAL;
            return match stop.has_ended() {
                // The engine says that the generation has ended: its stream is about to.
                true => Departure::Stay(check_at),
                false if stop.repeat_at() <= now => Departure::Order,
                // The engine may fall silent meanwhile.
                false => Departure::Stay(stop.repeat_at().min(check_at)),
            };
        }
        // A stream of unknown length that ends after an order looks complete.
        if !upstream.is_delimited {
            return Departure::Leave;
        }
        let way_out = cx.state().stop_conduct.way_out(now, self.engine.key);
        match way_out {
            WayOut::CloseFirst => return Departure::Leave,
            WayOut::OrderFirst => return Departure::Order,
            WayOut::Ask => self.ask_for_conduct(),
            WayOut::AwaitAnswer => {}
        }
        Departure::Stay(now + ANSWER_POLL_INTERVAL)
    }

    /// Asks the engine whether it carries out orders, by one for an attempt that it does not run.
    fn ask_for_conduct(&self) {
        let Some(pre_copy) = &self.pre_copy else {
            return;
        };
        let (call, engine) = (pre_copy.stop_order(), self.engine.key);
        let cx = Arc::clone(&self.job.cx);
        cx.state().stop_conduct.on_asked(cx.now(), engine);
        tokio::spawn(async move {
            let answer = call.send(NO_ATTEMPT, REPEAT_AFTER).await;
            let meaning = answer.stop_answer();
            ByReason::RunStops.add(&meaning.to_string());
            let mut state = cx.state();
            let conduct = &mut state.stop_conduct;
            conduct.on_answer(cx.now(), engine, meaning, OrderedOn::OpenStream);
            drop(state);
            drop(CopyCall::handle(&call, answer));
        });
    }

    /// Orders the engine, which leaves, to stop the generation, while its events are still forwarded.
    pub(super) fn order_leaving_stop(&mut self) {
        let now = self.job.cx.now();
        let Some(pre_copy) = &mut self.pre_copy else {
            return;
        };
        let stop = self
            .open_stop
            .get_or_insert_with(|| RunStop::new(now, LeaveReason::EngineLeaves, Time::NEVER));
        stop.on_order(now);
        pre_copy.start(self.job.name(), true);
        self.state.stop_ordered();
    }

    /// Returns whether the engine, which leaves, is being ordered to stop the generation: it closes the
    /// stream then.
    pub(super) fn is_ordered_to_leave(&self) -> bool {
        let reason = self.open_stop.as_ref().map(RunStop::reason);
        reason == Some(LeaveReason::EngineLeaves)
            && self.pre_copy.as_ref().is_some_and(PreCopy::is_stopping)
    }

    /// Ends the run at an engine whose connection is still open. Returns whether the generation leaves: an
    /// engine that is reached and does not stop it goes on with it.
    pub(super) async fn end_open_run(&mut self, upstream: &mut Upstream, why: LeaveReason) -> bool {
        if self.end_run(why).await.is_err() {
            // Its answer is a sign of life, as events are.
            let now = self.job.cx.now();
            self.state.on_bytes(now);
            if !self.state.pre_copy_ended(now, false) {
                self.pre_copy = None;
            }
            return false;
        }
        // An engine that stopped a run closes its stream. One that says that it stopped the run and
        // does not close it may be about to.
        if let Some(ends) = self.stopped_run_closes_by() {
            let closed = async { while let Some(Ok(_)) = upstream.body.frame().await {} };
            if timeout_at(ends.into(), closed).await.is_err() {
                log::debug!("the stream of a stopped generation is still open");
            }
        }
        true
    }

    /// Returns how long to wait for the end of the stream of a generation that the engine stopped.
    fn stopped_run_closes_by(&self) -> Option<Instant> {
        let LastStop { answer, closes_by } = self.last_stop?;
        let is_stopped = matches!(answer, StopAnswer::Stopped | StopAnswer::StoppedWithoutRoom);
        is_stopped
            .then(|| self.job.cx.clock.instant(closes_by))
            .flatten()
    }

    /// Orders a silent engine to stop the generation, while its events are still waited for. Its
    /// answer, or that there is none, is known by the time at which the engine is abandoned.
    pub(super) async fn order_silent_stop(&mut self) {
        let now = self.job.cx.now();
        let is_ordered = self.is_ordered_to_leave();
        let stop = match self.open_stop.take() {
            Some(stop) => stop.continued(now, LeaveReason::Silent, Time::NEVER),
            None => RunStop::new(now, LeaveReason::Silent, Time::NEVER),
        };
        self.open_stop = Some(stop);
        if is_ordered {
            // The order that is in progress is answered, or not, as another one would be.
            return;
        }
        if self.copy_wait.is_some() {
            self.withdraw_pre_copy("engine_silent");
            let leaving_for = self.leaving_for();
            self.state.pre_copy_refused(now, leaving_for);
        }
        if !self.choose_stop_target().await {
            return;
        }
        let Some(pre_copy) = &mut self.pre_copy else {
            return;
        };
        // A copy in progress is given up: an engine that is reached refuses the order until the copy
        // is complete, and the order is repeated.
        if !pre_copy.is_running() {
            self.state.pre_copy_started(now);
        }
        pre_copy.start(self.job.name(), true);
    }

    /// Applies the answer to an order that was given on the open stream.
    pub(super) fn on_open_stop_answer(&mut self, answer: CopyOutcome) {
        let Some(mut stop) = self.open_stop.take() else {
            return;
        };
        let is_complete = matches!(answer, CopyOutcome::Complete { .. });
        let is_first = stop.last_answer().is_none();
        self.on_stop_answer(&mut stop, answer, OrderedOn::OpenStream);
        if is_first {
            self.log_stay(&stop);
        }
        self.open_stop = Some(stop);
        // The target stays: it is named again if the order is repeated.
        self.state.pre_copy_ended(self.job.cx.now(), is_complete);
    }

    /// Returns when the order to an engine that leaves counts as not answered.
    pub(super) fn stop_unanswered_at(&self) -> Option<Instant> {
        let at = self.open_stop.as_ref()?.unanswered_at()?;
        self.job.cx.clock.instant(at)
    }

    /// Records that the engine, which leaves, did not answer the order in time. The call stays open: its
    /// answer may still come.
    pub(super) fn on_stop_unanswered(&mut self) {
        self.on_open_stop_answer(CopyOutcome::NoAnswer);
    }

    /// Returns why the generation leaves an engine that carried out an order on the open stream.
    pub(super) fn left_by_order(&self) -> Option<LeaveReason> {
        let stop = self.open_stop.as_ref().filter(|it| it.has_ended())?;
        let reason = stop.reason();
        // The events of a generation that has ended at an engine which leaves are still to be read.
        let has_events_left = reason == LeaveReason::EngineLeaves
            && stop.last_answer() == Some(StopAnswer::NotRunning);
        (!has_events_left).then_some(reason)
    }

    /// Logs that the generation stays with an engine that leaves and did not carry out the order.
    fn log_stay(&self, stop: &RunStop) {
        let Some(answer) = stop.last_answer() else {
            return;
        };
        let is_refused = answer.evidence() != Evidence::Ended;
        if is_refused && stop.reason() == LeaveReason::EngineLeaves {
            log_event!(
                StopNotCarriedOut,
                attempt = self.job.name(),
                endpoint = self.engine.name.as_str(),
                how:% = answer,
                event_id = self.state.last_event()
            );
        }
    }

    /// Returns whether the stream ended because the engine carried out an order to stop the generation.
    /// Only a stream of unknown length then looks complete.
    pub(super) async fn ended_by_order(&mut self, upstream: &Upstream) -> bool {
        if self.open_stop.is_none() || upstream.is_delimited {
            return false;
        }
        match self.end_run(LeaveReason::Silent).await {
            Ok(()) => self
                .last_stop
                .is_none_or(|it| it.answer != StopAnswer::NotRunning),
            Err(_) => false,
        }
    }
}
