//! Calls of plain services: forwarded, and answered whole.
//!
//! The answer is read to its end before the caller gets any of it. A call that
//! may be repeated can so be repeated after an answer that broke off in the
//! middle, and nothing that is half an answer ever reaches a caller.

use crate::answer::{AnswerBody, Reason};
use crate::attempts::Attempts;
use crate::job::Job;
use crate::link::LinkError;
use crate::meters::{ByReason, Histogram};
use crate::note;
use crate::ports::{SendHead, WholeAnswer, Wire};
use core::time::Duration;
use http::Response;
use http_body_util::{BodyExt, Limited};
use oriolemux_core::gateway::budget::RepeatKind;
use oriolemux_core::gateway::choose::NoPlace;
use oriolemux_core::gateway::state::Placement;
use std::time::Instant;

/// The largest answer of a plain service that is held.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// How many times the target the first attempt of an idempotent call may take. An
/// endpoint that hangs is given up then, while there is time for another one.
const FIRST_ATTEMPT_TARGETS: f64 = 3.0;

/// A repeat with less time left than this would only be work in vain.
const MIN_LEFT: Duration = Duration::from_millis(30);

/// Sends beyond the entry's attempts that may follow a definite refusal, which ran
/// nothing.
const MAX_REFUSED_SENDS: usize = 2;

/// What became of one attempt.
enum Attempt {
    /// The endpoint answered.
    Answer(WholeAnswer),
    /// The endpoint did not run the call.
    NotRun,
    /// No connection could be made.
    NoConnection,
    /// The endpoint was withdrawn before anything was sent.
    Withdrawn,
    /// The connection or the answer broke; the call may have run.
    Lost {
        /// When the answer had begun, if it had.
        begun: Option<Instant>,
    },
    /// The answer was another request's; the call may have run.
    Foreign,
    /// The time was over.
    Timeout,
    /// The call was refused while it was there, because it ended too many endpoints.
    Refused,
}

/// Serves a call.
pub async fn serve<W: Wire>(job: &Job<W>) -> Response<AnswerBody> {
    let mut calls = Calls {
        job,
        attempts: Attempts::default(),
    };
    loop {
        if let Err(reason) = job.admitted().await {
            return calls.not_admitted(reason);
        }
        let (place, in_use) = match job.place(calls.attempts.tried()) {
            Ok(chosen) => chosen,
            Err(why) => return calls.no_place(why),
        };
        let attempt = calls.attempt(&place).await;
        drop(in_use);
        calls.note(&place, &attempt).await;
        let repeat = calls.may_repeat(&attempt);
        note!(
            CallAttempt,
            attempt = job.name(),
            endpoint = place.name.as_str(),
            entry = job.entry().name.as_str(),
            repeat = repeat,
            what = attempt.word(),
            status = attempt.status(),
            ms = job.arrived.elapsed().as_millis() as u64
        );
        ByReason::Attempts.add(attempt.word());
        if repeat {
            ByReason::Repeats.add(attempt.word());
        }
        if !repeat {
            return calls.finish(attempt, &place);
        }
    }
}

impl Attempt {
    /// Returns the status of the endpoint's answer; 0 if there was none.
    fn status(&self) -> u16 {
        match self {
            Attempt::Answer(answer) => answer.status.as_u16(),
            _ => 0,
        }
    }

    fn word(&self) -> &'static str {
        match self {
            Attempt::Answer(answer) if answer.status.is_server_error() => "failed",
            Attempt::Answer(_) => "answered",
            Attempt::NotRun => "not_run",
            Attempt::NoConnection => "no_connection",
            Attempt::Withdrawn => "withdrawn",
            Attempt::Lost { .. } => "lost",
            Attempt::Foreign => "foreign",
            Attempt::Timeout => "timeout",
            Attempt::Refused => "refused",
        }
    }
}

/// The attempts of one call.
struct Calls<'a, W: Wire> {
    job: &'a Job<W>,
    attempts: Attempts,
}

impl<W: Wire> Calls<'_, W> {
    async fn attempt(&self, place: &Placement) -> Attempt {
        let limit = self.limit();
        tokio::select! {
            attempt = self.exchange(place) => attempt,
            () = tokio::time::sleep(limit) => Attempt::Timeout,
            () = self.job.refused() => Attempt::Refused,
        }
    }

    /// Returns how long this attempt may take.
    fn limit(&self) -> Duration {
        let left = self.job.left();
        let entry = self.job.entry();
        if self.attempts.next_is_last(entry) {
            return left;
        }
        entry.target.mul_f64(FIRST_ATTEMPT_TARGETS).min(left)
    }

    async fn exchange(&self, place: &Placement) -> Attempt {
        let job = self.job;
        let send = SendHead {
            deadline: job.left(),
            endpoint: &place.name,
            workspace: job.workspace_name(),
            ..SendHead::default()
        };
        let (link, answer) = match job.send(place, &send).await {
            Ok(sent) => sent,
            Err(LinkError::Withdrawn) => return Attempt::Withdrawn,
            Err(error) if error.never_sent() => return Attempt::NoConnection,
            Err(error) => {
                log::debug!("a call was lost: {error}");
                return Attempt::Lost { begun: None };
            }
        };
        let begun = Some(Instant::now());
        let (parts, body) = answer.into_parts();
        let attempt = job.head.attempt.as_deref();
        let head = job
            .cx
            .wire
            .answer_head(parts.status, &parts.headers, attempt);
        if head.foreign {
            return Attempt::Foreign;
        }
        job.note_head(place, &head, link.sent);
        if head.not_run {
            return Attempt::NotRun;
        }
        match Limited::new(body, MAX_ANSWER).collect().await {
            Ok(body) => Attempt::Answer(WholeAnswer {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            }),
            Err(error) => {
                log::debug!("an answer of {} broke: {error}", place.name);
                Attempt::Lost { begun }
            }
        }
    }

    async fn note(&mut self, place: &Placement, attempt: &Attempt) {
        match attempt {
            Attempt::Answer(answer) => {
                self.job.cx.state().endpoints.on_success(place.key);
                if answer.status.is_success() {
                    self.job.ran_well();
                }
            }
            Attempt::NotRun | Attempt::Refused | Attempt::Withdrawn => {}
            Attempt::NoConnection => self.job.note_unreachable(place),
            Attempt::Lost { begun } => {
                self.job.note_failure(place);
                self.job.note_broken(place, *begun).await;
            }
            Attempt::Foreign | Attempt::Timeout => self.job.note_failure(place),
        }
        match attempt {
            Attempt::NotRun | Attempt::NoConnection | Attempt::Withdrawn => {
                self.attempts.note_refused(place.key);
            }
            _ => self.attempts.note_run(place.key),
        }
    }

    /// Returns whether the call is sent once more, and spends a repeat if so.
    fn may_repeat(&self, attempt: &Attempt) -> bool {
        let job = self.job;
        if job.left() < MIN_LEFT || job.is_refused() {
            return false;
        }
        let allowed = match attempt {
            // Nothing arrived anywhere, so that nothing is repeated.
            Attempt::NoConnection | Attempt::Withdrawn => {
                return self.attempts.refused() <= MAX_REFUSED_SENDS;
            }
            Attempt::NotRun => self.attempts.refused() <= MAX_REFUSED_SENDS,
            Attempt::Answer(answer) if !answer.status.is_server_error() => false,
            Attempt::Refused => false,
            Attempt::Answer(_) | Attempt::Lost { .. } | Attempt::Foreign | Attempt::Timeout => {
                self.attempts.may_run_again(job.entry())
            }
        };
        allowed && job.spend_repeat(RepeatKind::Retry)
    }

    fn not_admitted(&self, reason: Reason) -> Response<AnswerBody> {
        let reason = match reason {
            // An earlier attempt may have run, so that "not run" would be untrue.
            Reason::TurnTaken if self.attempts.may_have_run() => Reason::AnswerLost,
            reason => reason,
        };
        self.note_failed("-", reason);
        self.job.refuse(reason)
    }

    fn note_failed(&self, endpoint: &str, reason: Reason) {
        note!(CallFailed, attempt = self.job.name(), entry = self.job.entry().name.as_str(),
            endpoint = endpoint, reason:% = reason,
            ms = self.job.arrived.elapsed().as_millis() as u64);
    }

    fn no_place(&self, why: NoPlace) -> Response<AnswerBody> {
        let reason = match why {
            _ if self.attempts.may_have_run() => Reason::AnswerLost,
            why => Reason::from(why),
        };
        self.note_failed("-", reason);
        self.job.refuse(reason)
    }

    fn finish(&self, attempt: Attempt, place: &Placement) -> Response<AnswerBody> {
        let reason = match attempt {
            Attempt::Answer(mut answer) => {
                Histogram::Call.record(self.job.arrived.elapsed());
                self.job.cx.wire.strip_answer(&mut answer.headers);
                return answer.into_response();
            }
            _ if self.job.is_refused() => self.job.note_refused(),
            // An earlier attempt may have run, so that "not run" would be untrue.
            Attempt::NotRun | Attempt::NoConnection | Attempt::Withdrawn
                if self.attempts.may_have_run() =>
            {
                Reason::AnswerLost
            }
            Attempt::NotRun => Reason::NotRunAtEndpoint,
            Attempt::NoConnection => Reason::NoConnection,
            Attempt::Withdrawn => Reason::NoEndpoint,
            Attempt::Lost { .. } => Reason::AnswerLost,
            Attempt::Foreign => Reason::AnswerForeign,
            Attempt::Timeout => Reason::Timeout,
            Attempt::Refused => Reason::EndsEndpoints,
        };
        self.note_failed(&place.name, reason);
        self.job.refuse(reason)
    }
}
