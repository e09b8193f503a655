//! The start of a generation, up to the head of an engine's response.

use super::upstream::{AttemptStart, Upstream, sleep_until};
use super::{MAX_RESPONSE_BYTES, Relay};
use crate::buffered;
use crate::job::{IMMEDIATE_PLACEMENT_TIMEOUT, UsageGuard};
use crate::link::{Link, LinkError};
use crate::log_event;
use crate::placement::PlacementParams;
use crate::ports::{BufferedResponse, CopyLocation, EngineCalls, ForwardHead, Resume, Wire};
use crate::response::Reason;
use core::time::Duration;
use http::{Response, header};
use hyper::body::Incoming;
use oriolemux_core::gateway::budget::RetryKind;
use oriolemux_core::gateway::relocation::reassign_after;
use oriolemux_core::gateway::request::PlacementKind;
use oriolemux_core::gateway::state::Placement;
use std::net::SocketAddrV4;
use std::time::Instant;

/// The interval at which another engine with room is searched for.
const REASSIGN_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The result of sending the request to an engine.
enum SendOutcome<W: Wire> {
    /// The engine responded, or the connection failed.
    Sent(Result<(Link, Response<Incoming>), LinkError>),
    /// The deadline of the request passed.
    Timeout,
    /// The request was refused meanwhile because it crashed too many engines.
    Refused,
    /// The engine queued the request, and another engine has room.
    Reassign(Placement, UsageGuard<W>),
}

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Sends the request and waits for the head of the response.
    ///
    /// If the engine fails before that, the engine of the standby copy is not asked. KV cache is
    /// copied as it grows, so there is no copy yet; and if that engine failed on its own after
    /// being asked, a request that may run only once would have run twice.
    pub(super) async fn start(&mut self) -> AttemptStart {
        self.choose_standby().await;
        self.may_run_here = true;
        let error = loop {
            match self.send_and_wait().await {
                SendOutcome::Timeout => return AttemptStart::Failed(Reason::Timeout),
                SendOutcome::Refused => return AttemptStart::Failed(self.job.log_refusal()),
                SendOutcome::Sent(Ok((link, response))) => {
                    return self.read_head(link, response).await;
                }
                SendOutcome::Sent(Err(error)) => break error,
                SendOutcome::Reassign(place, in_use) => self.reassign(place, in_use).await,
            }
        };
        if error.never_sent() {
            self.may_run_here = false;
            if !matches!(error, LinkError::Withdrawn) {
                self.job.record_unreachable(&self.engine, error.label());
            }
            if matches!(error, LinkError::Partitioned) {
                self.attempts.record_partition();
            }
            return AttemptStart::NotRun {
                reached_engine: false,
            };
        }
        self.job.record_failure(&self.engine);
        self.job.on_connection_broken(&self.engine, None).await;
        log::debug!("generation failed before its first event: {error}");
        match self.job.is_refused() {
            true => AttemptStart::Failed(self.job.log_refusal()),
            false => AttemptStart::Failed(Reason::ResponseLost),
        }
    }

    /// Sends the request to the current engine and waits for the head of the response.
    ///
    /// Dropping the future closes the connection within some milliseconds. Only a request that may
    /// run more than once is reassigned.
    async fn send_and_wait(&self) -> SendOutcome<W> {
        let mut sent = core::pin::pin!(self.send(None));
        let mut next_check = self.may_run_again().then(|| self.reassign_at());
        let cx = &self.job.cx;
        let mut is_cordoned = false;
        loop {
            let mut departures = core::pin::pin!(cx.departures.notified());
            departures.as_mut().enable();
            if !is_cordoned && cx.state().endpoints.is_cordoned(self.engine.key) {
                is_cordoned = true;
                next_check = next_check.map(|_| Instant::now());
            }
            tokio::select! {
                // After a pause of this process the response and the timers are ready together.
                biased;
                sent = &mut sent => return SendOutcome::Sent(sent),
                () = tokio::time::sleep_until(self.job.deadline.into()) => return SendOutcome::Timeout,
                () = self.job.wait_until_refused() => return SendOutcome::Refused,
                () = departures => {}
                () = sleep_until(next_check) => {
                    if let Some((place, in_use)) = self.engine_with_room().await {
                        return SendOutcome::Reassign(place, in_use);
                    }
                    next_check = Some(Instant::now() + REASSIGN_RETRY_INTERVAL);
                }
            }
        }
    }

    fn reassign_at(&self) -> Instant {
        Instant::now() + reassign_after(self.job.entry().target)
    }

    /// Returns whether the generation may start, or resume without a copy, at one more engine.
    pub(super) fn may_run_again(&self) -> bool {
        !self.attempts.next_is_last(self.job.entry())
    }

    /// Returns an untried engine with room, if a retry is in hand or the fleet's retry budget allows
    /// the attempt.
    pub(super) async fn engine_with_room(&self) -> Option<(Placement, UsageGuard<W>)> {
        let mut tried = self.attempts.tried().to_vec();
        tried.push(self.engine.key);
        let params = PlacementParams {
            kind: PlacementKind::Immediate,
            tokens: self.reserved_tokens,
            exclude: &tried,
        };
        let deadline = Instant::now() + IMMEDIATE_PLACEMENT_TIMEOUT;
        let chosen = self.job.request_placement(params, deadline).await.ok()?;
        let may_send = self.has_retry || self.job.try_spend_retry(RetryKind::Recompute);
        may_send.then_some(chosen)
    }

    async fn reassign(&mut self, place: Placement, in_use: UsageGuard<W>) {
        log_event!(
            Reassigned,
            attempt = self.job.name(),
            from = self.engine.name.as_str(),
            to = place.name.as_str(),
            ms = self.job.arrived.elapsed().as_millis() as u64
        );
        self.switch_to(place, in_use).await;
    }

    /// Makes `place` the current engine; the generation may have run at the previous one.
    pub(super) async fn switch_to(&mut self, place: Placement, in_use: UsageGuard<W>) {
        self.attempts.record_run(self.engine.key);
        self.usage = in_use;
        self.engine = place;
        self.last_stop = None;
        self.choose_standby().await;
    }

    /// Reads the head of a response, and the whole response if it is not a stream.
    pub(super) async fn read_head(
        &mut self,
        link: Link,
        response: Response<Incoming>,
    ) -> AttemptStart {
        let start = self.decode_head(link, response).await;
        // A final response, a refusal included, is the engine's word that nothing runs.
        let is_final = matches!(
            start,
            AttemptStart::FinalResponse(_) | AttemptStart::NotRun { .. }
        );
        self.may_run_here = !is_final;
        start
    }

    async fn decode_head(&mut self, link: Link, response: Response<Incoming>) -> AttemptStart {
        let (parts, body) = response.into_parts();
        let attempt = self.job.head.attempt.as_deref();
        let wire = &self.job.cx.wire;
        let head = wire.response_head(parts.status, &parts.headers, attempt);
        self.job
            .observe_response_head(&self.engine, &head, link.sent);
        if head.wrong_attempt {
            return AttemptStart::Failed(Reason::WrongAttempt);
        }
        if head.not_run {
            return AttemptStart::NotRun {
                reached_engine: true,
            };
        }
        let mut headers = parts.headers;
        let is_delimited = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        wire.strip_response_headers(&mut headers);
        if parts.status.is_success() {
            self.response_started = Some(Instant::now());
            return AttemptStart::Stream {
                upstream: Upstream {
                    link,
                    body,
                    is_delimited,
                },
                status: parts.status,
                headers,
            };
        }
        let collected = buffered::collect(&self.job.cx.responses, body, MAX_RESPONSE_BYTES);
        match tokio::time::timeout(self.job.remaining(), collected).await {
            Ok(Ok(body)) => AttemptStart::FinalResponse(BufferedResponse {
                status: parts.status,
                headers,
                body,
            }),
            _ => AttemptStart::Failed(Reason::ResponseLost),
        }
    }

    /// Returns where the current engine should keep a standby copy, unless that place was
    /// withdrawn since it was chosen.
    fn standby_address(&self) -> Option<SocketAddrV4> {
        let place = &self.standby.as_ref()?.place;
        let now = self.job.cx.now();
        let state = self.job.cx.state();
        state.may_send(now, place.key).then_some(place.address)
    }

    /// Sends the request to the current engine, to resume from `copy` if there is one.
    pub(super) async fn send(
        &self,
        copy: Option<CopyLocation<'_>>,
    ) -> Result<(Link, Response<Incoming>), LinkError> {
        let last_event = self.state.last_event();
        let is_resume = copy.is_some() || last_event.is_some();
        let send = ForwardHead {
            timeout: self.job.remaining(),
            endpoint: &self.engine.name,
            workspace: self.job.workspace_name(),
            priority: Some(self.job.priority()),
            copy_to: self.standby_address(),
            resume: is_resume.then(|| Resume {
                copy,
                last_event: last_event.unwrap_or(0),
            }),
        };
        self.job.send(&self.engine, &send).await
    }
}
