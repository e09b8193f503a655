//! Dispatches, follows and retries attempts.

use super::Node;
use super::request::{Request, Stage};
use super::timers::TimerKind;
use crate::cell::message::{Checkpoint, Grant};
use crate::cell::{CellMessage, EndKind};
use crate::event::{Action, AttemptMode, AttemptUpdate, Dispatch};
use crate::explain::Step;
use crate::ids::{AttemptId, CellKey, InstanceKey, RequestId};
use crate::keys::HolderState;
use crate::note::Note;
use crate::outcome::{Ran, Verdict};
use crate::peer::PeerMessage;
use crate::reason::{Outcome, Reason};
use crate::retry::{self, AttemptFailure, RetryDecision};
use core::time::Duration;

/// How long after the grant an attempt may still be sent. A process that was paused in between must
/// request a new grant, because the home may have granted the KV cache to another request and the
/// endpoint may have left.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// How long checkpoints are batched before they are sent in one message.
const PROGRESS_FLUSH_DELAY: Duration = Duration::from_millis(250);

/// How a request ended.
struct Ending<'a> {
    /// What is reported to its home.
    end: EndKind,
    /// Tokens of its last attempt.
    tokens: u32,
    /// The verdict for the caller; `None` for a complete response.
    verdict: Option<&'a Verdict>,
}

/// An attempt that ended without a complete response.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
    attempt: AttemptId,
    reason: Reason,
    ran: Ran,
    delivered: u32,
    retry_after: Option<Duration>,
}

impl Node {
    /// Dispatches the attempt that a home granted.
    pub(super) fn dispatch(&mut self, seq: u64, cell: CellKey, home: InstanceKey, grant: &Grant) {
        let Some(endpoint) = self.membership.view().endpoint_target(grant.endpoint) else {
            return self.refuse(seq, Reason::NoEndpoint);
        };
        if !self.may_be_sent(seq) {
            return;
        }
        let stall_limit = self.cfg.stall_limit;
        let Some(request) = self.requests.get_mut(&seq) else {
            return;
        };
        if self.now >= request.claim_valid_until {
            return self.refuse(seq, Reason::PausedTooLong);
        }
        let send_before = (self.now + SEND_TIMEOUT).min(request.claim_valid_until);
        let Some(spec) = &request.spec else {
            debug_assert!(false, "a request is validated before it runs");
            return;
        };
        request.attempts += 1;
        let attempt = AttemptId {
            request: request.arrival.id,
            number: request.attempts,
        };
        let view = spec.view();
        let (model, adapter) = match view.target {
            crate::catalogue::TargetView::Model { model, adapter } => {
                (model.name.clone(), adapter.map(str::to_owned))
            }
            crate::catalogue::TargetView::Service(_) => (String::new(), None),
        };
        let mode = match request.delivered {
            0 => AttemptMode::Fresh,
            delivered => AttemptMode::Replay { delivered },
        };
        let order = Dispatch {
            attempt,
            endpoint,
            model,
            adapter,
            priority: grant.priority,
            max_tokens: spec.max_tokens,
            delivery: view.class.delivery,
            idempotent: view.class.idempotent,
            mode,
            send_before,
            stall_limit,
        };
        let id = request.id();
        request.on_dispatch(attempt);
        request.response_started_at = None;
        request.refusals.clear();
        request.stage = Stage::Running {
            cell,
            home,
            endpoint: grant.endpoint,
            attempt,
            tokens: 0,
        };
        self.record(
            id,
            Step::Granted {
                endpoint: grant.endpoint,
                record: Box::new(grant.record.clone()),
            },
        );
        self.record(
            id,
            Step::Dispatched {
                attempt: attempt.number,
                endpoint: grant.endpoint,
                mode,
            },
        );
        self.out.push(Action::Dispatch(Box::new(order)));
    }

    /// Handles an update of an attempt.
    pub(super) fn on_attempt(&mut self, attempt: AttemptId, update: AttemptUpdate) {
        let seq = attempt.request.seq;
        let Some(request) = self.requests.get(&seq) else {
            return;
        };
        let Stage::Running {
            attempt: current, ..
        } = request.stage
        else {
            return;
        };
        if current != attempt {
            return self.note(Note::Discarded {
                reason: Reason::LateAnswer,
            });
        }
        match update {
            AttemptUpdate::FirstToken => {
                self.on_response_started(seq);
                let attempt_number = attempt.number;
                let step = Step::FirstToken {
                    attempt: attempt_number,
                };
                self.record(attempt.request, step);
            }
            AttemptUpdate::Progress { tokens } => self.on_progress(seq, tokens),
            AttemptUpdate::EndpointExited => self.on_endpoint_exited(seq),
            AttemptUpdate::Complete {
                tokens,
                prompt_tokens,
            } => self.on_complete(seq, attempt, tokens, prompt_tokens),
            AttemptUpdate::Failed {
                reason,
                ran,
                delivered,
                retry_after,
            } => self.on_failed(FailedAttempt {
                attempt,
                reason,
                ran,
                delivered,
                retry_after,
            }),
        }
    }

    fn on_progress(&mut self, seq: u64, reported: u32) {
        let Some(request) = self.requests.get_mut(&seq) else {
            return;
        };
        let Stage::Running { home, tokens, .. } = &mut request.stage else {
            return;
        };
        let new = reported.saturating_sub(*tokens);
        *tokens = reported;
        let checkpoint = Checkpoint {
            seq,
            tokens: reported,
        };
        if self.progress.is_empty() {
            let at = self.now + PROGRESS_FLUSH_DELAY;
            self.timers.set(at, TimerKind::FlushProgress);
        }
        self.progress.entry(*home).or_default().push(checkpoint);
        self.charge(seq, new);
    }

    /// Sends the batched checkpoints.
    pub(super) fn flush_progress(&mut self) {
        for (home, checkpoints) in core::mem::take(&mut self.progress) {
            let message = CellMessage::Progress(checkpoints);
            self.send(home, PeerMessage::Cell(message));
        }
    }

    fn on_complete(
        &mut self,
        seq: u64,
        attempt: AttemptId,
        tokens: u32,
        prompt_tokens: Option<u32>,
    ) {
        let Some(mut request) = self.requests.remove(&seq) else {
            return;
        };
        request.on_ended(attempt, Ran::Maybe);
        self.on_run_succeeded(request.arrival.fingerprint);
        self.charge(seq, tokens.saturating_sub(request.stage.tokens()));
        let end = Ending {
            end: EndKind::Complete { prompt_tokens },
            tokens,
            verdict: None,
        };
        self.release(&request, end);
    }

    fn on_failed(&mut self, failed: FailedAttempt) {
        let seq = failed.attempt.request.seq;
        let Some(request) = self.requests.get_mut(&seq) else {
            return;
        };
        let stage = request.stage;
        let Stage::Running {
            endpoint, tokens, ..
        } = stage
        else {
            return;
        };
        request.on_ended(failed.attempt, failed.ran);
        request.delivered = request.delivered.max(failed.delivered);
        request.exclude.push(endpoint);
        let id = request.id();
        let step = Step::AttemptFailed {
            attempt: failed.attempt.number,
            reason: failed.reason,
            proven_not_run: matches!(failed.ran, Ran::No(_)),
            delivered: request.delivered,
        };
        self.record(id, step);
        self.release_at_home(id, stage, tokens, EndKind::Failed(failed.reason));
        if failed.reason == Reason::EndpointLeaving {
            self.with_membership(|membership, now, out| {
                membership.endpoint_refused_leaving(now, endpoint, out);
            });
        }
        self.decide_retry(seq, &failed);
    }

    fn decide_retry(&mut self, seq: u64, failed: &FailedAttempt) {
        let Some(request) = self.requests.get_mut(&seq) else {
            return;
        };
        if request.delivered > 0 {
            // The caller holds part of the output, and its wait for the rest begins now. Counted
            // from the arrival, every replay of a long generation would be refused for having
            // waited too long.
            request.waiting_since = self.now;
        }
        let waited = self.now.since(request.waiting_since);
        let remaining_wait = request.longest_wait().saturating_sub(waited);
        let idempotent = request.spec.as_ref().is_some_and(|it| it.class.idempotent);
        let failure = AttemptFailure {
            reason: failed.reason,
            outcome: &request.outcome_at(self.now),
            idempotent,
            delivered: request.delivered,
            attempts: request.attempts,
            remaining_wait,
            retry_after: failed.retry_after,
        };
        let decision = retry::decide(&failure, &mut self.budget, self.now, &mut self.rng);
        match decision {
            RetryDecision::Retry { after } | RetryDecision::Replay { after } => {
                let until = self.now + after;
                request.stage = Stage::BackingOff { until };
                let start_deadline = request.start_deadline();
                let replay = request.delivered > 0;
                let request = request.id();
                self.record(request, Step::RetryIn { after, replay });
                self.timers.set(until, TimerKind::Request(seq));
                self.timers.set(start_deadline, TimerKind::Request(seq));
                self.note(Note::Retried {
                    request,
                    reason: failed.reason,
                });
            }
            RetryDecision::Finish(verdict) => {
                request.stage = Stage::BackingOff { until: self.now };
                self.finish_with(seq, verdict);
            }
        }
    }

    /// Handles a caller that disconnected; its stream task has already cancelled the attempt.
    pub(super) fn on_caller_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id.seq) else {
            return;
        };
        let verdict = request.verdict_at(self.now, Reason::CallerGone, None);
        let end = Ending {
            end: EndKind::Cancelled,
            tokens: request.stage.tokens(),
            verdict: Some(&verdict),
        };
        self.release(&request, end);
    }

    /// Ends a request with the strongest outcome that its attempts prove.
    pub(super) fn finish(&mut self, seq: u64, reason: Reason, retry_after: Option<Duration>) {
        let Some(request) = self.requests.get(&seq) else {
            return;
        };
        let verdict = request.verdict_at(self.now, reason, retry_after);
        self.finish_with(seq, verdict);
    }

    /// Sends the caller its final verdict and removes the request.
    pub(super) fn finish_with(&mut self, seq: u64, verdict: Verdict) {
        let Some(request) = self.requests.remove(&seq) else {
            return;
        };
        let end = Ending {
            end: EndKind::Cancelled,
            tokens: request.stage.tokens(),
            verdict: Some(&verdict),
        };
        self.release(&request, end);
        self.note_verdict(request.id(), verdict.outcome(), verdict.reason());
        self.out.push(Action::Finish {
            request: request.id(),
            verdict,
        });
    }

    /// Releases everything that a finished request held.
    fn release(&mut self, request: &Request, ending: Ending<'_>) {
        let id = request.id();
        self.release_at_home(id, request.stage, ending.tokens, ending.end);
        self.end_run(request);
        self.end_admission(id.seq);
        let verdict = ending.verdict;
        let claim = verdict.map_or(HolderState::of(None), |it| request.claim_state(it.reason()));
        self.end_claim(id, claim);
        let step = Step::Ended {
            outcome: verdict.map_or(Outcome::Complete, Verdict::outcome),
            reason: verdict.map(Verdict::reason),
            delivered: verdict.map_or(ending.tokens, Verdict::delivered),
        };
        self.record(id, step);
    }
}
