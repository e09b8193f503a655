//! Making sure that a generation has ended at its engine before it resumes at another one.
//!
//! Not every engine drops a request when its connection closes. The order to copy the generation with
//! a stop tells: an engine that dropped it does not know it any more, and one that did not stops it
//! first. An order before the connection is closed would copy the last part of each generation, which
//! queues behind other copies; `docs/design/relocation.md` has the figures.

use super::{Relay, pre_copy};
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::ports::{CopyOutcome, EngineCalls, Wire};
use crate::response::Reason;
use core::time::Duration;
use oriolemux_core::gateway::run_end::Evidence;
use std::time::Instant;
use tokio::time::{sleep, timeout_at};

/// How long an engine may take to answer that a generation has ended there. Callers abandon a stream
/// after two seconds without an event.
const STOP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long an order may stay unanswered before it is repeated: its answer may be lost, or wait for
/// the copy. The repeated one shows whether the generation still runs.
const REPEAT_AFTER: Duration = Duration::from_millis(300);

/// The pause before an order that the engine did not carry out is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(40);

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Waits until the generation has ended at the current engine, whose connection is closed. The
    /// engine stops it if it still runs there.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::NotStopped`] if the engine is reached and does not say so in time.
    pub(super) async fn stop_run(&mut self) -> Result<(), Reason> {
        let began = Instant::now();
        let ends = began + STOP_TIMEOUT;
        let mut answer = self.order_stop(ends).await;
        while !shows_end(&answer) && Instant::now() < ends {
            sleep(STOP_RETRY_DELAY).await;
            answer = self.order_stop(ends).await;
        }
        if let (CopyOutcome::Complete { handle }, Some(pre_copy)) = (&answer, &mut self.pre_copy) {
            pre_copy.complete(handle.clone());
        }
        ByReason::RunStops.add(answer.label());
        log_event!(
            RunStopped,
            attempt = self.job.name(),
            endpoint = self.engine.name.as_str(),
            how = answer.label(),
            ms = millis(began.elapsed())
        );
        match shows_end(&answer) {
            true => Ok(()),
            false => Err(Reason::NotStopped),
        }
    }

    /// Orders the engine to stop the generation; returns its answer, or that of a repeated order which
    /// shows that the generation has ended.
    async fn order_stop(&mut self, ends: Instant) -> CopyOutcome {
        let Some(pre_copy) = &mut self.pre_copy else {
            return CopyOutcome::NoAnswer;
        };
        let order = pre_copy.stop_order();
        let attempt = self.job.name();
        pre_copy.start(attempt, true);
        loop {
            let until = ends.min(Instant::now() + REPEAT_AFTER);
            let first = pre_copy::wait_for_end(&mut self.pre_copy);
            if let Ok(answer) = timeout_at(until.into(), first).await {
                return answer;
            }
            let answer = order.send(attempt, REPEAT_AFTER).await;
            if shows_end(&answer) || Instant::now() >= ends {
                return answer;
            }
        }
    }
}

/// Returns whether an answer shows that a generation does not run at its engine any more. One to which
/// no connection opens is not reached.
fn shows_end(answer: &CopyOutcome) -> bool {
    let evidence = answer.stop_answer().evidence();
    matches!(evidence, Evidence::Ended | Evidence::Unreached)
}
