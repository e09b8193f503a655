//! Runs one attempt of a request at one endpoint.

mod call;
mod chunks;
mod stream;

use super::Relay;
use super::interrupt::Interrupt;
use crate::callers::port::NodeGone;
use crate::endpoints::{EndpointFailure, EndpointProtocol, WorkBody};
use crate::events;
use crate::metrics::ReasonCounter;
use oriolemux_core::Reason;
use oriolemux_core::delivery::{Step, StreamAction};
use oriolemux_core::event::{AttemptUpdate, Dispatch};
use oriolemux_core::note::Note;
use oriolemux_core::outcome::Ran;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptEnd {
    /// It was reported to the node, which decides what to do next.
    Reported,
    /// The caller has the complete response.
    Delivered,
    /// It was ended by the caller or the node.
    Interrupted(Interrupt),
}

/// What to do after a step of the delivery.
#[derive(Debug)]
enum Next {
    /// Continue reading.
    Read,
    /// Request the rest from the endpoint on a new connection.
    Resume {
        after: Option<u32>,
        delay: core::time::Duration,
    },
    /// The attempt is over.
    End,
}

impl<E: EndpointProtocol> Relay<E> {
    /// Runs an attempt and reports how it ended.
    pub(super) async fn run_attempt(
        &mut self,
        dispatch: &Dispatch,
    ) -> Result<AttemptEnd, NodeGone> {
        let step = self.delivery.start(dispatch, self.port.clock().now());
        if step.action != StreamAction::Send {
            self.report(dispatch.attempt, step.report).await?;
            return Ok(AttemptEnd::Reported);
        }
        self.outcome.on_dispatch(dispatch.attempt);
        let opened = self
            .channels
            .watch(self.protocol.start(dispatch, &self.work))
            .await;
        let response = match opened {
            Err(interrupt) => return Ok(self.interrupted(dispatch, interrupt).await),
            Ok(Err(failure)) => {
                let step = self.on_failure(&failure);
                return self.apply_before_response(dispatch, step).await;
            }
            Ok(Ok(response)) => response,
        };
        match &self.work {
            WorkBody::Completion(_) => self.run_stream(dispatch, response).await,
            WorkBody::Call(_) => self.run_call(dispatch, response).await,
        }
    }

    /// Passes a failed exchange to the delivery.
    fn on_failure(&mut self, failure: &EndpointFailure) -> Step {
        match failure {
            EndpointFailure::NotConnected => self.delivery.on_connect_failed(),
            EndpointFailure::TooLate => self.delivery.on_send_deadline_passed(),
            EndpointFailure::Refused(refusal) => self.delivery.on_refused(refusal),
            EndpointFailure::Broken(reason) => self.on_broken(*reason),
        }
    }

    fn on_broken(&mut self, reason: Reason) -> Step {
        match reason {
            Reason::Stalled => self.delivery.on_stall(),
            Reason::Garbage => self.delivery.on_garbage(),
            Reason::EndpointError => self.delivery.on_endpoint_error(),
            _ => self.delivery.on_link_failure(),
        }
    }

    /// Applies a step that came before any response. The generation may be running, so it is
    /// resumed if the delivery decides so.
    async fn apply_before_response(
        &mut self,
        dispatch: &Dispatch,
        step: Step,
    ) -> Result<AttemptEnd, NodeGone> {
        match self.apply(dispatch, step).await? {
            Next::Read | Next::End => Ok(AttemptEnd::Reported),
            Next::Resume { after, delay } => self.resume_stream(dispatch, after, delay).await,
        }
    }

    /// Executes an action that is not about a single token, and reports to the node.
    async fn apply(&mut self, dispatch: &Dispatch, step: Step) -> Result<Next, NodeGone> {
        let next = match step.action {
            StreamAction::Idle
            | StreamAction::Send
            | StreamAction::Deliver
            | StreamAction::Hold => Next::Read,
            StreamAction::Discard(reason) => {
                count_discarded(reason);
                Next::Read
            }
            StreamAction::Resume {
                after,
                delay,
                reason,
            } => {
                ReasonCounter::Resumes.add(reason);
                self.discard_connections_after(reason);
                Next::Resume { after, delay }
            }
            StreamAction::Close { cancel } => {
                if cancel {
                    self.cancel_at_endpoint(dispatch);
                }
                Next::End
            }
            StreamAction::Complete => Next::End,
        };
        if let Some(AttemptUpdate::Failed { reason, ran, .. }) = &step.report {
            self.outcome.on_ended(dispatch.attempt, *ran);
            self.discard_connections_after(*reason);
        }
        if endpoint_may_have_ended(step.report.as_ref())
            && self.protocol.has_ended(&dispatch.endpoint).await
        {
            let ended = Some(AttemptUpdate::EndpointExited);
            self.report(dispatch.attempt, ended).await?;
        }
        self.report(dispatch.attempt, step.report).await?;
        Ok(next)
    }

    /// Ends the attempt because of an interrupt.
    async fn interrupted(&mut self, dispatch: &Dispatch, interrupt: Interrupt) -> AttemptEnd {
        let step = match interrupt {
            // The node is informed by `Event::CallerGone`, not by a report.
            Interrupt::CallerGone => self.delivery.on_caller_gone(),
            _ => self.delivery.cancel(),
        };
        if let StreamAction::Close { cancel: true } = step.action {
            self.cancel_at_endpoint(dispatch);
        }
        AttemptEnd::Interrupted(interrupt)
    }

    /// Frees the generation's memory at the endpoint, in the background, so that the request does
    /// not wait for it.
    fn cancel_at_endpoint(&self, dispatch: &Dispatch) {
        if let WorkBody::Call(_) = self.work {
            return;
        }
        let protocol = self.protocol.clone();
        let endpoint = dispatch.endpoint.clone();
        let attempt = dispatch.attempt;
        tokio::spawn(async move { protocol.cancel(&endpoint, attempt).await });
    }

    /// An endpoint that responds for another attempt has mixed up its connections. An idle
    /// connection may then hold the rest of another request's response.
    fn discard_connections_after(&self, reason: Reason) {
        if reason == Reason::WrongAttempt {
            self.protocol.discard_idle_connections();
        }
    }
}

/// Returns whether an attempt failed in a way that suggests that the endpoint's process has
/// ended. Only then is the endpoint probed.
fn endpoint_may_have_ended(report: Option<&AttemptUpdate>) -> bool {
    let Some(AttemptUpdate::Failed { reason, ran, .. }) = report else {
        return false;
    };
    let by_connection = matches!(
        reason,
        Reason::ConnectionLost | Reason::ConnectFailed | Reason::Truncated
    );
    by_connection && *ran == Ran::Maybe
}

fn count_discarded(reason: Reason) {
    events::emit(&Note::Discarded { reason });
}
