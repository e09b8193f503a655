//! Calls of plain services: forwarded, with a buffered response.
//!
//! The response is read to its end before the caller gets any of it. A call that may be retried
//! can therefore be retried after a response that broke off in the middle, and no caller ever
//! receives a partial response.

use crate::attempts::Attempts;
use crate::buffered::{self, MAX_RESPONSE_BYTES};
use crate::job::{Job, Origin};
use crate::link::LinkError;
use crate::log_event;
use crate::meters::{ByReason, Histogram};
use crate::ports::{BufferedResponse, ForwardHead, Wire};
use crate::proxy;
use crate::proxy::client::ProxyOutcome;
use crate::response::{Reason, ResponseBody};
use crate::signature::is_unsigned;
use crate::stop_plan::CallDemand;
use core::time::Duration;
use http::Response;
use oriolemux_core::gateway::HttpEntry;
use oriolemux_core::gateway::budget::RetryKind;
use oriolemux_core::gateway::request::PlacementError;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::time::Time;
use std::time::Instant;

/// How many times the entry's target the first attempt of an idempotent call may take. A hanging
/// endpoint is abandoned while there is time for another one.
const FIRST_ATTEMPT_TARGET_FACTOR: f64 = 3.0;

/// Calls are not retried with less time remaining than this: the retry could not finish.
const MIN_RETRY_TIME: Duration = Duration::from_millis(30);

/// Attempts beyond the entry's maximum that may follow definite refusals, which ran nothing.
const MAX_REFUSED_SENDS: usize = 2;

/// The outcome of one attempt.
enum AttemptOutcome {
    /// The endpoint responded.
    Response(BufferedResponse),
    /// The endpoint did not run the call.
    NotRun,
    /// No connection could be opened.
    NoConnection(LinkError),
    /// The endpoint was withdrawn before anything was sent.
    Withdrawn,
    /// The connection or the response broke; the call may have run.
    Lost {
        /// When the response started, if it did.
        response_started: Option<Instant>,
    },
    /// The response belonged to another request; the call may have run.
    WrongAttempt,
    /// The response was a success without the endpoint's signature; the call may have run.
    Unsigned,
    /// The attempt timed out.
    Timeout,
    /// The call was refused during the attempt because it crashed too many endpoints.
    Refused,
}

/// Returns what a call of `entry` demands of a planned stop.
pub fn demand(entry: &HttpEntry, deadline: Instant) -> CallDemand {
    CallDemand {
        is_idempotent: entry.kind.is_idempotent(),
        attempt_timeout: first_attempt_timeout(entry),
        deadline,
    }
}

/// Returns the timeout of an attempt that may be followed by another one.
fn first_attempt_timeout(entry: &HttpEntry) -> Duration {
    entry.target.mul_f64(FIRST_ATTEMPT_TARGET_FACTOR)
}

/// Serves a call. If it has no response shortly before the end of a planned stop, it gets one that
/// says whether it may have run.
pub async fn serve<W: Wire>(job: &Job<W>) -> Response<ResponseBody> {
    let mut calls = CallAttempts {
        job,
        attempts: job.attempts_before(),
        began: job.cx.now(),
    };
    tokio::select! {
        // After a pause of this process the response and the end of the stop are ready together.
        biased;
        response = calls.serve() => response,
        () = job.cx.ending.cancelled() => calls.end_with_stop(),
    }
}

impl AttemptOutcome {
    /// Returns the status of the endpoint's response; 0 if there was none.
    fn status(&self) -> u16 {
        match self {
            AttemptOutcome::Response(response) => response.status.as_u16(),
            _ => 0,
        }
    }

    fn label(&self) -> &'static str {
        match self {
            AttemptOutcome::Response(response) if response.status.is_server_error() => "failed",
            AttemptOutcome::Response(_) => "answered",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::NoConnection(_) => "no_connection",
            AttemptOutcome::Withdrawn => "withdrawn",
            AttemptOutcome::Lost { .. } => "lost",
            AttemptOutcome::WrongAttempt => "foreign",
            AttemptOutcome::Unsigned => "unsigned",
            AttemptOutcome::Timeout => "timeout",
            AttemptOutcome::Refused => "refused",
        }
    }
}

/// The attempts of one call.
struct CallAttempts<'a, W: Wire> {
    job: &'a Job<W>,
    attempts: Attempts,
    /// When the last one began.
    began: Time,
}

impl<W: Wire> CallAttempts<'_, W> {
    async fn serve(&mut self) -> Response<ResponseBody> {
        let job = self.job;
        loop {
            if !self.is_admitted() {
                return self.refuse_unadmitted(Reason::Stopping);
            }
            if job.needs_proxy() {
                match self.pass_on().await {
                    Some(response) => return response,
                    None => continue,
                }
            }
            if let Err(reason) = job.wait_until_admitted().await {
                return self.refuse_unadmitted(reason);
            }
            let (place, in_use) = match job.wait_for_place(self.attempts.tried()).await {
                Ok(chosen) => chosen,
                Err(why) => return self.refuse_unplaced(why),
            };
            if !self.is_admitted() {
                return self.refuse_unadmitted(Reason::Stopping);
            }
            self.began = job.cx.now();
            let attempt = self.attempt(&place).await;
            drop(in_use);
            self.record(&place, &attempt).await;
            // From here on the attempts say whether it may have run.
            job.sent.clear();
            let will_retry = self.may_retry(&attempt);
            log_event!(
                CallAttempt,
                attempt = job.name(),
                endpoint = place.name.as_str(),
                entry = job.entry().name.as_str(),
                repeat = will_retry,
                what = attempt.label(),
                status = attempt.status(),
                ms = job.arrived.elapsed().as_millis() as u64
            );
            ByReason::Attempts.add(attempt.label());
            if will_retry {
                ByReason::Repeats.add(attempt.label());
            }
            if !will_retry {
                return self.finish(attempt, &place);
            }
        }
    }

    /// Returns whether a planned stop leaves time for an attempt.
    fn is_admitted(&self) -> bool {
        let call = demand(self.job.entry(), self.job.deadline);
        self.job.cx.admits_call(&call)
    }

    /// Answers the call at the end of a planned stop.
    fn end_with_stop(&self) -> Response<ResponseBody> {
        let is_withdrawn = self.job.sent.withdraw();
        let reason = match is_withdrawn && !self.attempts.may_have_run() {
            true => Reason::Stopping,
            false => Reason::StopDeadline,
        };
        self.log_failure("-", reason);
        self.job.refuse(reason)
    }

    async fn attempt(&self, place: &Placement) -> AttemptOutcome {
        let limit = self.attempt_timeout();
        tokio::select! {
            // After a pause of this process the response and the timer are ready together.
            biased;
            attempt = self.exchange(place) => attempt,
            () = tokio::time::sleep(limit) => AttemptOutcome::Timeout,
            () = self.job.wait_until_refused() => AttemptOutcome::Refused,
        }
    }

    /// Returns the timeout of the next attempt.
    fn attempt_timeout(&self) -> Duration {
        let remaining = self.job.remaining();
        let entry = self.job.entry();
        // While this instance is late, the next endpoint would respond as late as this one.
        let is_late = self.job.cx.state().own_delay.is_shedding();
        if is_late || self.attempts.next_is_last(entry) {
            return remaining;
        }
        first_attempt_timeout(entry).min(remaining)
    }

    async fn exchange(&self, place: &Placement) -> AttemptOutcome {
        let job = self.job;
        let send = ForwardHead {
            timeout: job.remaining(),
            endpoint: &place.name,
            workspace: job.workspace_name(),
            ..ForwardHead::default()
        };
        let (link, response) = match job.send(place, &send).await {
            Ok(sent) => sent,
            Err(LinkError::Withdrawn) => return AttemptOutcome::Withdrawn,
            Err(error) if error.never_sent() => {
                return AttemptOutcome::NoConnection(error);
            }
            Err(error) => {
                log::debug!("connection of a call failed after sending: {error}");
                return AttemptOutcome::Lost {
                    response_started: None,
                };
            }
        };
        let response_started = Some(Instant::now());
        let (parts, body) = response.into_parts();
        let attempt = job.head.attempt.as_deref();
        let head = job
            .cx
            .wire
            .response_head(parts.status, &parts.headers, attempt);
        job.observe_response_head(place, &head, link.sent);
        if head.wrong_attempt {
            return AttemptOutcome::WrongAttempt;
        }
        if head.not_run {
            return AttemptOutcome::NotRun;
        }
        let mut headers = parts.headers;
        job.cx.wire.strip_response_headers(&mut headers);
        if is_unsigned(&job.cx.wire, parts.status, &headers) {
            job.log_unsigned(&place.name, parts.status);
            return AttemptOutcome::Unsigned;
        }
        match buffered::collect(&job.cx.responses, body, MAX_RESPONSE_BYTES).await {
            Ok(body) => AttemptOutcome::Response(BufferedResponse {
                status: parts.status,
                headers,
                body,
            }),
            Err(error) => {
                log::debug!("response of {} broke off: {error}", place.name);
                AttemptOutcome::Lost { response_started }
            }
        }
    }

    /// Returns whether the call can go through a peer.
    fn may_pass_on(&self) -> bool {
        matches!(self.job.origin, Origin::Caller) && self.job.needs_proxy()
    }

    /// Passes the call to a peer, because this instance reaches no endpoint; returns the response
    /// for the caller, or `None` if the call is retried.
    async fn pass_on(&mut self) -> Option<Response<ResponseBody>> {
        let job = self.job;
        let outcome = match self.may_pass_on() {
            true => proxy::client::pass_on(job, &self.attempts).await,
            false => ProxyOutcome::NotServed,
        };
        let reason = match outcome {
            ProxyOutcome::Response(response) => {
                match proxy::client::whole(&job.cx.responses, response, job.deadline).await {
                    Some(response)
                        if is_unsigned(&job.cx.wire, response.status(), response.headers()) =>
                    {
                        job.log_unsigned("-", response.status());
                        Reason::Unsigned
                    }
                    Some(response) => {
                        Histogram::Call.record(job.arrived.elapsed());
                        return Some(response);
                    }
                    None => Reason::ResponseLost,
                }
            }
            // The partition ended while peers were asked.
            ProxyOutcome::NotServed if !job.is_partitioned() => return None,
            ProxyOutcome::NotServed => {
                return Some(self.refuse_unadmitted(Reason::NoConnection));
            }
            ProxyOutcome::Lost => Reason::ResponseLost,
            ProxyOutcome::Timeout => Reason::Timeout,
        };
        self.attempts.record_run_at_proxy();
        let may_retry = self.attempts.may_run_again(job.entry())
            && job.remaining() >= MIN_RETRY_TIME
            && job.try_spend_retry(RetryKind::Retry);
        if may_retry {
            return None;
        }
        self.log_failure("-", reason);
        Some(job.refuse(reason))
    }

    async fn record(&mut self, place: &Placement, attempt: &AttemptOutcome) {
        match attempt {
            AttemptOutcome::Response(response) => {
                self.job.cx.state().endpoints.on_success(place.key);
                if response.status.is_success() {
                    self.job.on_run_succeeded();
                    self.job.on_parts_succeeded();
                }
            }
            AttemptOutcome::NotRun | AttemptOutcome::Refused | AttemptOutcome::Withdrawn => {}
            AttemptOutcome::NoConnection(error) => {
                self.job.record_unreachable(place, error.label());
            }
            AttemptOutcome::Lost { response_started } => {
                self.job.record_failure(place);
                self.job
                    .on_connection_broken(place, *response_started)
                    .await;
            }
            AttemptOutcome::WrongAttempt | AttemptOutcome::Unsigned => {
                self.job.record_failure(place);
            }
            AttemptOutcome::Timeout => {
                if self.job.cx.is_evidence("call", self.began) {
                    self.job.record_failure(place);
                }
            }
        }
        match attempt {
            AttemptOutcome::NoConnection(_) => self.attempts.record_no_connection(place.key),
            AttemptOutcome::NotRun | AttemptOutcome::Withdrawn => {
                self.attempts.record_refused(place.key);
            }
            _ => self.attempts.record_run(place.key),
        }
    }

    /// Returns whether the call is sent again, and spends a retry if necessary.
    fn may_retry(&self, attempt: &AttemptOutcome) -> bool {
        let job = self.job;
        if job.remaining() < MIN_RETRY_TIME || job.is_refused() || !self.is_admitted() {
            return false;
        }
        let may_retry = match attempt {
            // The next connection would hang as well.
            AttemptOutcome::NoConnection(LinkError::Partitioned) if job.is_partitioned() => {
                return self.may_pass_on();
            }
            // Nothing reached any endpoint, so this is not a retry.
            AttemptOutcome::NoConnection(_) | AttemptOutcome::Withdrawn => {
                return self.attempts.refused() <= MAX_REFUSED_SENDS || self.may_pass_on();
            }
            AttemptOutcome::NotRun => self.attempts.refused() <= MAX_REFUSED_SENDS,
            AttemptOutcome::Response(response) if !response.status.is_server_error() => false,
            AttemptOutcome::Refused => false,
            AttemptOutcome::Response(_)
            | AttemptOutcome::Lost { .. }
            | AttemptOutcome::WrongAttempt
            | AttemptOutcome::Unsigned
            | AttemptOutcome::Timeout => self.attempts.may_run_again(job.entry()),
        };
        may_retry && job.try_spend_retry(RetryKind::Retry)
    }

    fn refuse_unadmitted(&self, reason: Reason) -> Response<ResponseBody> {
        let reason = match reason {
            // An earlier attempt may have run, so the response must not promise that the call did
            // not run.
            Reason::NoRunLease | Reason::NoConnection | Reason::Stopping
                if self.attempts.may_have_run() =>
            {
                Reason::ResponseLost
            }
            reason => reason,
        };
        self.log_failure("-", reason);
        self.job.refuse(reason)
    }

    fn log_failure(&self, endpoint: &str, reason: Reason) {
        log_event!(CallFailed, attempt = self.job.name(), entry = self.job.entry().name.as_str(),
            endpoint = endpoint, reason:% = reason,
            ms = self.job.arrived.elapsed().as_millis() as u64);
    }

    fn refuse_unplaced(&self, why: PlacementError) -> Response<ResponseBody> {
        let reason = match why {
            _ if self.attempts.may_have_run() => Reason::ResponseLost,
            why => Reason::from(why),
        };
        self.log_failure("-", reason);
        self.job.refuse(reason)
    }

    fn finish(&self, attempt: AttemptOutcome, place: &Placement) -> Response<ResponseBody> {
        let reason = match attempt {
            AttemptOutcome::Response(response) => {
                Histogram::Call.record(self.job.arrived.elapsed());
                return response.into_response();
            }
            _ if self.job.is_refused() => self.job.log_refusal(),
            // An earlier attempt may have run, so the response must not promise that the call did
            // not run.
            AttemptOutcome::NotRun
            | AttemptOutcome::NoConnection(_)
            | AttemptOutcome::Withdrawn
                if self.attempts.may_have_run() =>
            {
                Reason::ResponseLost
            }
            AttemptOutcome::NotRun => Reason::NotRunAtEndpoint,
            AttemptOutcome::NoConnection(_) => Reason::NoConnection,
            AttemptOutcome::Withdrawn => Reason::NoEndpoint,
            AttemptOutcome::Lost { .. } => Reason::ResponseLost,
            AttemptOutcome::WrongAttempt => Reason::WrongAttempt,
            AttemptOutcome::Unsigned => Reason::Unsigned,
            AttemptOutcome::Timeout => Reason::Timeout,
            AttemptOutcome::Refused => self.job.log_refusal(),
        };
        self.log_failure(&place.name, reason);
        self.job.refuse(reason)
    }
}
