//! Delivery of one request's stream: every token once, in order, from one generation.
//!
//! The shell's stream task owns one [`Delivery`] for each request and feeds it
//! what the endpoint's connection brings; tokens never pass through the node.
//! Each input returns a [`Step`]: what the shell does now ([`StreamAction`]) and what
//! it reports to the node, if anything. Handing on a token allocates nothing
//! but the amortised growth of the token log.
//!
//! `docs/design/delivery.md` says which ways were weighed.

mod attempt;
mod token_log;

pub use token_log::{TokenLog, Tokens};

use crate::event::{AttemptMode, AttemptUpdate, DeliveryMode, Dispatch};
use crate::ids::AttemptId;
use crate::outcome::{NotRun, Ran, Refusal, Sent, Unsent};
use crate::reason::Reason;
use crate::time::Time;
use attempt::Attempt;
use core::time::Duration;

/// How often an attempt may be resumed in a row without a new token between.
pub const MAX_RESUMES_WITHOUT_TOKEN: u32 = 2;

/// How often an attempt may be resumed in all.
pub const MAX_RESUMES: u32 = 16;

/// How long to wait before a resumption that follows one without a new token.
pub const RESUME_DELAY: Duration = Duration::from_millis(100);

/// How many duplicates in a row a connection may bring before it counts as garbage.
pub const MAX_DUPLICATES: u32 = 4_096;

/// What the shell does with an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// Nothing.
    Idle,
    /// Send the attempt's request to the endpoint now. Nothing in the client
    /// may repeat the send by itself.
    Send,
    /// Hand the token that was just given to the caller.
    Deliver,
    /// Keep the token back; it is stored, or equal to one that was delivered.
    Hold,
    /// Drop the input and count it; the connection is still good.
    Discard(Reason),
    /// Close the connection, never reuse it, and ask the same endpoint for the
    /// rest of the same generation.
    Resume {
        /// The index of the last token that was received; `None` asks for all.
        after: Option<u32>,
        /// How long to wait first.
        delay: Duration,
        /// Why the connection is given up; counted.
        reason: Reason,
    },
    /// Close the connection and never reuse it.
    Close {
        /// Whether to cancel the attempt at its endpoint, which frees memory there.
        cancel: bool,
    },
    /// Hand on what [`Delivery::held`] still holds, then the end of the answer.
    Complete,
}

/// The answer to one input.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// What the shell does.
    pub action: StreamAction,
    /// What the shell reports to the node about the attempt, after the act.
    pub report: Option<AttemptUpdate>,
}

impl Step {
    const fn act(action: StreamAction) -> Self {
        Step {
            action,
            report: None,
        }
    }
}

/// The end mark of a stream, as the endpoint sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndMark {
    /// The index after the last token.
    pub index: u32,
    /// Tokens of the answer as the endpoint counted them, if it said so.
    pub completion_tokens: Option<u32>,
    /// Tokens of the prompt as the endpoint counted them, if it said so.
    pub prompt_tokens: Option<u32>,
}

/// How the endpoint answered a resumption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeResponse {
    /// The rest of the generation follows.
    Ok,
    /// The endpoint no longer holds the generation.
    Lost,
}

/// The stream of one request, over all of its attempts.
///
/// Invariants: `delivered` never falls; in stream delivery the caller holds
/// exactly the first `delivered` tokens of every generation that was or is
/// still followed; at most one attempt runs.
#[derive(Debug, Default)]
pub struct Delivery {
    /// Tokens that the caller holds.
    delivered: u32,
    /// What the caller holds (stream delivery) or will hold (whole delivery).
    log: TokenLog,
    attempt: Option<Attempt>,
    /// An attempt of this request was sent and not definitely refused.
    may_have_run: bool,
    /// The number of the attempt that was started last.
    last_number: u32,
    complete: bool,
}

impl Delivery {
    /// Returns a delivery to which nothing has happened.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many tokens the caller holds.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns whether an attempt runs.
    pub fn is_running(&self) -> bool {
        self.attempt.is_some()
    }

    /// Returns the attempt that runs.
    pub fn attempt(&self) -> Option<AttemptId> {
        self.attempt.as_ref().map(|attempt| attempt.id)
    }

    /// Returns the tokens that were kept back for whole delivery, in order, once
    /// the answer is complete and until [`Delivery::on_held_delivered`].
    pub fn held(&self) -> Tokens<'_> {
        if self.complete && self.log.len() > self.delivered {
            return self.log.iter();
        }
        Tokens::default()
    }

    /// Returns the bytes of memory that the token log takes.
    pub fn log_bytes(&self) -> usize {
        self.log.allocated_bytes()
    }

    /// Starts an attempt. The shell calls this right before the send, with the
    /// clock read at that moment: a process that was paused since the decision
    /// finds out here and sends nothing. A report is about `dispatch`'s attempt.
    pub fn start(&mut self, dispatch: &Dispatch, now: Time) -> Step {
        let unsent = Unsent::new();
        if let Some(reason) = self.start_refusal(dispatch) {
            return self.not_started(reason, unsent);
        }
        if now >= dispatch.send_before {
            return self.not_started(Reason::PausedTooLong, unsent);
        }
        if self.delivered == 0 {
            self.log.clear();
        }
        self.log
            .set_kept(dispatch.idempotent || dispatch.delivery == DeliveryMode::Whole);
        self.attempt = Some(Attempt::new(
            dispatch,
            unsent.mark_sent(),
            self.may_have_run,
        ));
        self.last_number = dispatch.attempt.number;
        self.may_have_run = true;
        Step::act(StreamAction::Send)
    }

    /// Returns why `dispatch` must not be sent, whatever the node believed.
    fn start_refusal(&self, dispatch: &Dispatch) -> Option<Reason> {
        let number_is_new = dispatch.attempt.number > self.last_number;
        if self.complete || self.attempt.is_some() || !number_is_new {
            return Some(Reason::Internal);
        }
        if self.may_have_run && !dispatch.idempotent {
            return Some(Reason::AlreadyRan);
        }
        let delivered = match dispatch.mode {
            AttemptMode::Fresh => 0,
            AttemptMode::Replay { delivered } => delivered,
        };
        (delivered != self.delivered).then_some(Reason::Internal)
    }

    fn not_started(&self, reason: Reason, unsent: Unsent) -> Step {
        Step {
            action: StreamAction::Idle,
            report: Some(AttemptUpdate::Failed {
                reason,
                ran: Ran::No(unsent.abandon()),
                delivered: self.delivered,
                retry_after: None,
            }),
        }
    }

    /// No connection to the endpoint was made, so the request was never sent.
    ///
    /// Only for a failure in which the shell knows that no byte of the request
    /// left; anything else is [`Delivery::on_link_failure`].
    pub fn on_connect_failed(&mut self) -> Step {
        self.fail_never_sent(Reason::ConnectFailed)
    }

    /// The time for the send had passed when the connection stood, so that the
    /// request was never sent.
    ///
    /// Only for a failure in which the shell knows that no byte of the
    /// request's body left; anything else is [`Delivery::on_link_failure`].
    pub fn on_send_deadline_passed(&mut self) -> Step {
        self.fail_never_sent(Reason::PausedTooLong)
    }

    fn fail_never_sent(&mut self, reason: Reason) -> Step {
        match self.take_pending_send() {
            Some(sent) => self.fail_not_run(reason, sent.never_sent(), None),
            None => self.resume_or_fail(reason),
        }
    }

    /// The endpoint answered with a definite refusal.
    ///
    /// What goes wrong otherwise: a refusal in answer to a *resumption* says
    /// nothing about the send before it, and taking it as "not run" would run
    /// work twice. Only the first answer counts.
    pub fn on_refused(&mut self, refusal: &Refusal) -> Step {
        let Some(sent) = self.take_pending_send() else {
            return self.resume_or_fail(Reason::EndpointError);
        };
        let (reason, proof) = sent.refused(refusal);
        self.fail_not_run(reason, proof, refusal.retry_after())
    }

    /// Takes the state of a send that has had no answer, if nothing else was asked since.
    fn take_pending_send(&mut self) -> Option<Sent> {
        self.attempt.as_mut()?.pending_send.take()
    }

    /// The endpoint answered the send with a stream or a body.
    pub fn on_response_started(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.pending_send = None;
        }
    }

    /// The endpoint answered something that says nothing about whether it ran.
    pub fn on_endpoint_error(&mut self) -> Step {
        self.fail(Reason::EndpointError)
    }

    /// A token arrived: the attempt id that the endpoint echoed, the token's
    /// index and its text.
    pub fn on_token(&mut self, id: &str, index: u32, text: &[u8]) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::act(StreamAction::Discard(Reason::LateAnswer));
        };
        attempt.pending_send = None;
        if id != attempt.id_text {
            let reason = attempt.mismatch_reason(id);
            return self.resume_or_fail(reason);
        }
        if index != attempt.expected {
            return self.out_of_order(index);
        }
        if index >= attempt.max_tokens {
            return self.fail(Reason::Garbage);
        }
        if index < attempt.verify_until {
            return self.verify(text);
        }
        let report = attempt.received_token();
        let action = match attempt.delivery {
            DeliveryMode::Stream => {
                self.delivered += 1;
                StreamAction::Deliver
            }
            DeliveryMode::Whole => StreamAction::Hold,
        };
        self.log.push(text);
        Step { action, report }
    }

    /// Compares a token of a replay with what the caller holds.
    fn verify(&mut self, text: &[u8]) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::act(StreamAction::Idle);
        };
        if !self.log.matches(&mut attempt.cursor, text) {
            return self.fail(Reason::ReplayDiverged);
        }
        let report = attempt.received_token();
        Step {
            action: StreamAction::Hold,
            report,
        }
    }

    fn out_of_order(&mut self, index: u32) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::act(StreamAction::Idle);
        };
        if index > attempt.expected {
            return self.resume_or_fail(Reason::TokenGap);
        }
        attempt.duplicates += 1;
        if attempt.duplicates > MAX_DUPLICATES {
            return self.resume_or_fail(Reason::Garbage);
        }
        Step::act(StreamAction::Discard(Reason::DuplicateToken))
    }

    /// The end mark arrived.
    pub fn on_end(&mut self, id: &str, mark: EndMark) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::act(StreamAction::Discard(Reason::LateAnswer));
        };
        attempt.pending_send = None;
        if id != attempt.id_text {
            let reason = attempt.mismatch_reason(id);
            return self.resume_or_fail(reason);
        }
        let expected = attempt.expected;
        if mark.index > expected {
            return self.resume_or_fail(Reason::TokenGap);
        }
        if mark.index < expected || mark.completion_tokens.is_some_and(|n| n != expected) {
            return self.resume_or_fail(Reason::Garbage);
        }
        if expected < attempt.verify_until {
            return self.fail(Reason::ReplayDiverged);
        }
        self.finish(expected, mark.prompt_tokens)
    }

    /// The whole answer of a plain service arrived, with the attempt id that it echoed.
    pub fn on_call_response(&mut self, id: &str) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::act(StreamAction::Discard(Reason::LateAnswer));
        };
        attempt.pending_send = None;
        if id != attempt.id_text {
            let reason = attempt.mismatch_reason(id);
            return self.resume_or_fail(reason);
        }
        self.finish(0, None)
    }

    fn finish(&mut self, tokens: u32, prompt_tokens: Option<u32>) -> Step {
        self.attempt = None;
        self.complete = true;
        Step {
            action: StreamAction::Complete,
            report: Some(AttemptUpdate::Complete {
                tokens,
                prompt_tokens,
            }),
        }
    }

    /// Notes that what [`Delivery::held`] returned was handed to the caller.
    pub fn on_held_delivered(&mut self) {
        debug_assert!(self.complete);
        self.delivered = self.delivered.max(self.log.len());
    }

    /// The endpoint sent something that is not in its protocol.
    pub fn on_garbage(&mut self) -> Step {
        self.resume_or_fail(Reason::Garbage)
    }

    /// The endpoint closed the stream. Harmless after the end mark.
    pub fn on_closed(&mut self) -> Step {
        self.resume_or_fail(Reason::Truncated)
    }

    /// The connection broke.
    pub fn on_link_failure(&mut self) -> Step {
        self.resume_or_fail(Reason::ConnectionLost)
    }

    /// The endpoint was silent for the stall limit.
    pub fn on_stall(&mut self) -> Step {
        self.resume_or_fail(Reason::Stalled)
    }

    /// The endpoint answered a resumption.
    pub fn on_resume_response(&mut self, answer: ResumeResponse) -> Step {
        match answer {
            ResumeResponse::Ok => Step::act(StreamAction::Idle),
            ResumeResponse::Lost => self.fail(Reason::GenerationLost),
        }
    }

    /// The caller went away; its generation is cancelled and reported as failed.
    pub fn on_caller_gone(&mut self) -> Step {
        self.fail(Reason::CallerGone)
    }

    /// The node ends the attempt; nothing is reported.
    pub fn cancel(&mut self) -> Step {
        let cancel = self.attempt.take().is_some();
        Step::act(StreamAction::Close { cancel })
    }

    /// Gives up the connection and resumes the same generation, or fails.
    fn resume_or_fail(&mut self, reason: Reason) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::act(StreamAction::Idle);
        };
        let Some(delay) = attempt.take_resume() else {
            return self.fail(reason);
        };
        Step::act(StreamAction::Resume {
            after: attempt.expected.checked_sub(1),
            delay,
            reason,
        })
    }

    fn fail(&mut self, reason: Reason) -> Step {
        self.end_attempt(reason, Ran::Maybe, None, true)
    }

    fn fail_not_run(
        &mut self,
        reason: Reason,
        proof: NotRun,
        retry_after: Option<Duration>,
    ) -> Step {
        if let Some(attempt) = &self.attempt {
            self.may_have_run = attempt.ran_before;
        }
        self.end_attempt(reason, Ran::No(proof), retry_after, false)
    }

    fn end_attempt(
        &mut self,
        reason: Reason,
        ran: Ran,
        retry_after: Option<Duration>,
        cancel: bool,
    ) -> Step {
        if self.attempt.take().is_none() {
            return Step::act(StreamAction::Idle);
        }
        if self.delivered == 0 {
            self.log.clear();
        }
        Step {
            action: StreamAction::Close { cancel },
            report: Some(AttemptUpdate::Failed {
                reason,
                ran,
                delivered: self.delivered,
                retry_after,
            }),
        }
    }
}
