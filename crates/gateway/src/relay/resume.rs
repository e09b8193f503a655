//! Resuming a generation at another engine.

use super::Relay;
use super::pre_copy::{CopyGuards, StandbyCopy};
use super::upstream::AttemptStart;
use crate::job::{CopyUsageGuard, UsageGuard};
use crate::link::LinkError;
use crate::log_event;
use crate::meters::ByReason;
use crate::ports::{CopyLocation, CopyOutcome, EngineCalls, Wire};
use crate::response::Reason;
use core::time::Duration;
use oriolemux_core::gateway::budget::RetryKind;
use oriolemux_core::gateway::relocation::STANDBY_MIN_TOKENS;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::ids::EndpointKey;
use std::net::SocketAddrV4;
use std::time::Instant;
use tokio::time::sleep;

/// How often an engine that refuses to resume from a complete copy is asked again.
///
/// Without retries, an engine that sheds a part of its requests, or is full for a moment, could
/// refuse the one request that the generation depends on. Its stream would end in the middle
/// although the copy still exists, because a request that did not run has not consumed it.
const MAX_RESUME_RETRIES: usize = 2;

/// The pause before each of these retries. Both together stay within 180 ms, the target for the
/// gap between events of typical entries.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(40);

/// How long a generation waits for the fleet's retry budget before its stream is aborted. Callers
/// abandon a stream after two seconds without an event.
const RETRY_BUDGET_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which the retry budget is checked.
const RETRY_BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Drops a pre-copy from which the generation may not resume, because the data centre was
    /// cordoned or the engine requested a backoff; another one can then be made.
    pub(super) fn drop_unusable_pre_copy(&mut self) {
        let Some(pre_copy) = &self.pre_copy else {
            return;
        };
        if !self.may_resume_at(pre_copy.target.key) {
            self.pre_copy = None;
            self.state.pre_copy_lost();
        }
    }

    fn may_resume_at(&self, engine: EndpointKey) -> bool {
        let cx = &self.job.cx;
        cx.state().may_resume_at(cx.now(), engine)
    }

    pub(super) fn on_pre_copy_ended(&mut self, moved: CopyOutcome) {
        log_event!(
            PreCopyEnded,
            attempt = self.job.name(),
            from = self.engine.name.as_str(),
            how = moved.label(),
            event_id = self.state.last_event()
        );
        if matches!(moved, CopyOutcome::NoRoom { .. }) {
            self.on_no_room();
        }
        let now = self.job.cx.now();
        let complete = match (&mut self.pre_copy, moved) {
            (Some(pre_copy), CopyOutcome::Complete { handle }) => {
                pre_copy.complete(handle);
                true
            }
            _ => false,
        };
        if !self.state.pre_copy_ended(now, complete) {
            self.pre_copy = None;
        }
    }

    /// Resumes at another engine. The connection to the current one must be closed, so that the
    /// generation does not run at two engines.
    ///
    /// A pre-copy is known to exist, a standby copy is not; if the engine of one refuses, the
    /// other is tried.
    pub(super) async fn relocate(&mut self) -> Option<AttemptStart> {
        self.drop_unusable_pre_copy();
        let may_exist = self.state.standby_may_exist(self.job.cx.now());
        let standby = self.standby.take();
        let standby = standby.filter(|it| may_exist && self.may_resume_at(it.place.key));
        if let Some(
            start @ (AttemptStart::Stream { .. } | AttemptStart::Failed(Reason::BudgetSpent)),
        ) = self.resume_from_pre_copy().await
        {
            return Some(start);
        }
        self.standby = standby;
        self.resume_from_standby().await
    }

    /// Resumes from the pre-copy, if it is complete.
    async fn resume_from_pre_copy(&mut self) -> Option<AttemptStart> {
        let (target, handle, CopyGuards { usage, pending }) = self.pre_copy.take()?.take()?;
        ByReason::Relocations.add("ahead");
        log_event!(
            ResumedFromPreCopy,
            attempt = self.job.name(),
            from = self.engine.name.as_str(),
            to = target.name.as_str(),
            event_id = self.state.last_event()
        );
        let holder = self.engine.address;
        let mut start = self.resume_at(target, holder, &handle, usage).await;
        drop(pending);
        for _ in 0..MAX_RESUME_RETRIES {
            if !matches!(
                start,
                AttemptStart::NotRun {
                    reached_engine: true
                }
            ) {
                break;
            }
            sleep(RESUME_RETRY_DELAY).await;
            if !self.may_resume_at(self.engine.key) {
                break;
            }
            if !self.wait_for_retry_budget(RetryKind::ResumeAgain).await {
                break;
            }
            let handle = &handle;
            start = self
                .send_resume(Some(CopyLocation {
                    engine: holder,
                    handle,
                }))
                .await;
        }
        Some(start)
    }

    /// Resumes from the standby copy, if there is one.
    pub(super) async fn resume_from_standby(&mut self) -> Option<AttemptStart> {
        let copy = self.standby.take()?;
        let attempt = self.job.name().to_owned();
        let address = copy.place.address;
        ByReason::Relocations.add("standing");
        log_event!(
            ResumedFromStandby,
            attempt = attempt.as_str(),
            from = self.engine.name.as_str(),
            to = copy.place.name.as_str(),
            event_id = self.state.last_event()
        );
        let StandbyCopy { place, usage } = copy;
        Some(self.resume_at(place, address, &attempt, usage).await)
    }

    /// Asks `target` to resume the generation whose copy `holder` holds. The copy is counted there
    /// with `copy_usage` until the generation is: otherwise its room would be granted to others
    /// while it waits for the retry budget.
    async fn resume_at(
        &mut self,
        target: Placement,
        holder: SocketAddrV4,
        handle: &str,
        copy_usage: CopyUsageGuard<W>,
    ) -> AttemptStart {
        if !self.wait_for_retry_budget(RetryKind::Resume).await {
            let denied = Reason::BudgetSpent;
            self.log_resume_failure(&denied.to_string());
            return AttemptStart::Failed(denied);
        }
        self.splitter.clear();
        self.no_room.clear();
        self.state.on_relocated(self.job.cx.now());
        self.usage = UsageGuard::for_resumed(&self.job.cx, target.key, self.reserved_tokens);
        drop(copy_usage);
        self.engine = target;
        self.choose_standby().await;
        self.send_resume(Some(CopyLocation {
            engine: holder,
            handle,
        }))
        .await
    }

    /// Resumes without a copy, if the generation is resumable and an engine has room: the engine
    /// prefills the prompt and the events.
    pub(super) async fn recompute(&mut self) -> Option<AttemptStart> {
        if !self.may_run_again() {
            return None;
        }
        let (place, in_use) = self.engine_with_room().await?;
        Some(self.recompute_at(place, in_use).await)
    }

    /// Resumes at `place` without a copy, which prefills the prompt and the events.
    pub(super) async fn recompute_at(
        &mut self,
        place: Placement,
        in_use: UsageGuard<W>,
    ) -> AttemptStart {
        ByReason::Relocations.add("anew");
        log_event!(
            Recomputed,
            attempt = self.job.name(),
            from = self.engine.name.as_str(),
            to = place.name.as_str(),
            event_id = self.state.last_event()
        );
        self.splitter.clear();
        self.no_room.clear();
        self.state.on_relocated(self.job.cx.now());
        self.pre_copy = None;
        self.switch_to(place, in_use).await;
        self.send_resume(None).await
    }

    /// Asks the current engine to resume, from `copy` or by recomputing.
    async fn send_resume(&mut self, copy: Option<CopyLocation<'_>>) -> AttemptStart {
        if !self.job.is_admitted() {
            return AttemptStart::Failed(match self.job.is_refused() {
                true => self.job.log_refusal(),
                false => Reason::NoRunLease,
            });
        }
        let limit = self.job.remaining();
        let sent = tokio::time::timeout(limit, self.send(copy)).await;
        let start = match sent {
            Ok(Ok((link, response))) => self.read_head(link, response).await,
            Ok(Err(error)) => {
                log::debug!("generation could not resume: {error}");
                if !error.never_sent() {
                    self.job.record_failure(&self.engine);
                    self.job.on_connection_broken(&self.engine, None).await;
                } else if !matches!(error, LinkError::Withdrawn) {
                    self.job.record_unreachable(&self.engine, error.label());
                }
                AttemptStart::Failed(Reason::ResponseLost)
            }
            Err(_) => AttemptStart::Failed(Reason::Timeout),
        };
        match &start {
            AttemptStart::Stream { .. } => {}
            AttemptStart::FinalResponse(response) => {
                self.log_resume_failure(response.status.as_str())
            }
            AttemptStart::NotRun { .. } => self.log_resume_failure("not_run"),
            AttemptStart::Failed(reason) => self.log_resume_failure(&reason.to_string()),
        }
        start
    }

    /// Spends one retry of the fleet's budget, unless one is in hand. If none is available, waits for
    /// one as long as callers tolerate a pause: other retries leave what accrues meanwhile to
    /// generations that resume.
    async fn wait_for_retry_budget(&mut self, kind: RetryKind) -> bool {
        if core::mem::take(&mut self.has_retry) {
            return true;
        }
        let ends = Instant::now() + RETRY_BUDGET_TIMEOUT.min(self.job.remaining());
        while !self.job.may_resume() {
            if Instant::now() >= ends {
                break;
            }
            tokio::select! {
                () = sleep(RETRY_BUDGET_POLL_INTERVAL) => {}
                // Nothing is sent for a caller that has disconnected.
                () = self.tx.closed() => return false,
            }
        }
        self.job.try_spend_retry(kind)
    }

    fn log_resume_failure(&self, why: &str) {
        ByReason::Relocations.add("failed");
        log_event!(
            ResumeFailed,
            attempt = self.job.name(),
            endpoint = self.engine.name.as_str(),
            why = why
        );
    }

    /// Chooses where the current engine keeps a standby copy, if a copy is worthwhile.
    pub(super) async fn choose_standby(&mut self) {
        self.standby = None;
        let engine = self.job.service().engine;
        let keeps_copies = engine.is_some_and(|engine| engine.standby_copies);
        let is_long = self.length.remaining(self.state.tokens()) >= STANDBY_MIN_TOKENS;
        if keeps_copies && is_long {
            let found = self
                .job
                .request_standby_placement(self.engine.key, self.reserved_tokens)
                .await;
            if found.is_none() {
                self.log_no_room("standing");
            }
            self.standby = found.map(|(place, usage)| StandbyCopy { place, usage });
        }
        self.state.set_standby(self.standby.is_some());
    }

    /// Logs that no engine has room for a copy.
    pub(super) fn log_no_room(&self, kind: &'static str) {
        log_event!(
            NoRoomForCopy,
            attempt = self.job.name(),
            source = self.engine.name.as_str(),
            kind = kind,
            need = self.reserved_tokens
        );
    }
}
