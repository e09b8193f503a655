//! Delivery of one request's token stream: each token once, in order, from a single generation.
//!
//! The shell's stream task owns one [`Delivery`] per request and feeds it the input from the
//! endpoint's connection; tokens do not pass through the node. Each input returns a [`Step`]: what
//! the shell must do now ([`StreamAction`]) and what it reports to the node, if anything.
//! Forwarding a token allocates only for the amortised growth of the token log.
//!
//! `docs/design/delivery.md` compares the alternatives.

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

/// Maximum number of consecutive resumptions of an attempt without a new token.
pub const MAX_RESUMES_WITHOUT_TOKEN: u32 = 2;

/// Maximum total number of resumptions of an attempt.
pub const MAX_RESUMES: u32 = 16;

/// Delay before a resumption if the previous one yielded no new token.
pub const RESUME_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of consecutive duplicate tokens before the stream is treated as invalid.
pub const MAX_DUPLICATES: u32 = 4_096;

/// What the shell must do after an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamAction {
    /// Nothing.
    Idle,
    /// Send the attempt's request to the endpoint now. The HTTP client must not retry the send by
    /// itself.
    Send,
    /// Forward the token of this input to the caller.
    Deliver,
    /// Do not forward the token: it is stored, or equal to one that was delivered.
    Hold,
    /// Drop the input and count it; the connection stays usable.
    Discard(Reason),
    /// Close the connection without reusing it, and request the rest of the same generation from
    /// the same endpoint.
    Resume {
        /// Index of the last received token; `None` requests all tokens.
        after: Option<u32>,
        /// Delay before the request.
        delay: Duration,
        /// Why the connection is closed; counted in the metrics.
        reason: Reason,
    },
    /// Close the connection without reusing it.
    Close {
        /// Whether to cancel the attempt at the endpoint, which frees memory there.
        cancel: bool,
    },
    /// Forward the tokens of [`Delivery::held`], then the end of the response.
    Complete,
}

/// The result of one input.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// What the shell must do.
    pub action: StreamAction,
    /// What the shell must report to the node about the attempt afterwards, if anything.
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

/// The end mark of a stream as sent by the endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndMark {
    /// Index after the last token, which is the number of tokens.
    pub index: u32,
    /// Generated tokens as counted by the endpoint, if it reported them.
    pub completion_tokens: Option<u32>,
    /// Prompt tokens as counted by the endpoint, if it reported them.
    pub prompt_tokens: Option<u32>,
}

/// The endpoint's response to a resumption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeResponse {
    /// The rest of the generation follows.
    Ok,
    /// The endpoint no longer has the generation.
    Lost,
}

/// The token stream of one request over all of its attempts.
///
/// Invariants: `delivered` never decreases; in stream delivery the caller has received exactly the
/// first `delivered` tokens of every generation that the stream has followed; at most one attempt
/// runs.
#[derive(Debug, Default)]
pub struct Delivery {
    /// Tokens that the caller has received.
    delivered: u32,
    /// The tokens that the caller has received (stream delivery) or will receive (buffered
    /// delivery).
    log: TokenLog,
    attempt: Option<Attempt>,
    /// Whether an attempt of this request was sent and not definitely refused.
    may_have_run: bool,
    /// Number of the attempt that was started last.
    last_number: u32,
    complete: bool,
}

impl Delivery {
    /// Returns a delivery without attempts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many tokens the caller has received.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns whether an attempt is running.
    pub fn is_running(&self) -> bool {
        self.attempt.is_some()
    }

    /// Returns the running attempt, if any.
    pub fn attempt(&self) -> Option<AttemptId> {
        self.attempt.as_ref().map(|attempt| attempt.id)
    }

    /// Returns the tokens that were held back for buffered delivery, in order. There are none until
    /// the output is complete, and none after [`Delivery::on_held_delivered`].
    pub fn held(&self) -> Tokens<'_> {
        if self.complete && self.log.len() > self.delivered {
            return self.log.iter();
        }
        Tokens::default()
    }

    /// Returns the memory used by the token log, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.allocated_bytes()
    }

    /// Starts an attempt.
    ///
    /// The shell calls this immediately before the send, with the current time, so that a process
    /// that was paused after the decision detects this here and sends nothing. A report in the
    /// returned step is about the attempt of `dispatch`.
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

    /// Returns why `dispatch` must not be sent, if so. The check does not rely on the node's state.
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

    /// Handles a failure to connect to the endpoint, so that the request was never sent.
    ///
    /// The shell must call this only if it knows that no byte of the request was transmitted. All
    /// other failures are [`Delivery::on_link_failure`].
    pub fn on_connect_failed(&mut self) -> Step {
        self.fail_never_sent(Reason::ConnectFailed)
    }

    /// Handles a send deadline that had passed when the connection was established, so that the
    /// request was never sent.
    ///
    /// The shell must call this only if it knows that no byte of the request's body was
    /// transmitted. All other failures are [`Delivery::on_link_failure`].
    pub fn on_send_deadline_passed(&mut self) -> Step {
        self.fail_never_sent(Reason::PausedTooLong)
    }

    fn fail_never_sent(&mut self, reason: Reason) -> Step {
        match self.take_pending_send() {
            Some(sent) => self.fail_not_run(reason, sent.never_sent(), None),
            None => self.resume_or_fail(reason),
        }
    }

    /// Handles a definite refusal by the endpoint.
    ///
    /// It is proof that the attempt did not run only if it is the first response to the send. A
    /// refusal of a *resumption* says nothing about the send before it; treating it as "not run"
    /// would execute the work twice.
    pub fn on_refused(&mut self, refusal: &Refusal) -> Step {
        let Some(sent) = self.take_pending_send() else {
            return self.resume_or_fail(Reason::EndpointError);
        };
        let (reason, proof) = sent.refused(refusal);
        self.fail_not_run(reason, proof, refusal.retry_after())
    }

    /// Takes the state of the send if it has had no response and no resumption was requested since.
    fn take_pending_send(&mut self) -> Option<Sent> {
        self.attempt.as_mut()?.pending_send.take()
    }

    /// Records that the endpoint responded to the send with a stream or a body.
    pub fn on_response_started(&mut self) {
        if let Some(attempt) = &mut self.attempt {
            attempt.pending_send = None;
        }
    }

    /// Handles an error response that does not state whether the request ran.
    pub fn on_endpoint_error(&mut self) -> Step {
        self.fail(Reason::EndpointError)
    }

    /// Handles a token: the attempt id that the endpoint echoed, the token's index and its text.
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

    /// Compares a token of a replay with the one that the caller has received.
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

    /// Handles the end mark.
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

    /// Handles the complete response of a plain service, with the attempt id that it echoed.
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

    /// Records that the tokens of [`Delivery::held`] were forwarded to the caller.
    pub fn on_held_delivered(&mut self) {
        debug_assert!(self.complete);
        self.delivered = self.delivered.max(self.log.len());
    }

    /// Handles input that violates the endpoint's protocol.
    pub fn on_garbage(&mut self) -> Step {
        self.resume_or_fail(Reason::Garbage)
    }

    /// Handles a stream that the endpoint closed. Has no effect after the end mark.
    pub fn on_closed(&mut self) -> Step {
        self.resume_or_fail(Reason::Truncated)
    }

    /// Handles a broken connection.
    pub fn on_link_failure(&mut self) -> Step {
        self.resume_or_fail(Reason::ConnectionLost)
    }

    /// Handles a stall: the endpoint sent nothing for the stall limit.
    pub fn on_stall(&mut self) -> Step {
        self.resume_or_fail(Reason::Stalled)
    }

    /// Handles the endpoint's response to a resumption.
    pub fn on_resume_response(&mut self, response: ResumeResponse) -> Step {
        match response {
            ResumeResponse::Ok => Step::act(StreamAction::Idle),
            ResumeResponse::Lost => self.fail(Reason::GenerationLost),
        }
    }

    /// Handles a caller that disconnected: the generation is cancelled and reported as failed.
    pub fn on_caller_gone(&mut self) -> Step {
        self.fail(Reason::CallerGone)
    }

    /// Ends the running attempt at the node's request; nothing is reported.
    pub fn cancel(&mut self) -> Step {
        let cancel = self.attempt.take().is_some();
        Step::act(StreamAction::Close { cancel })
    }

    /// Closes the connection and resumes the same generation, or fails the attempt if no resumption
    /// is left.
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
