//! Resuming a generation at another engine.

use super::Relay;
use super::pre_copy::{CompleteCopy, CopyGuards, CopyHandle, StandbyCopy};
use super::stop_run::KeptRun;
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
use oriolemux_core::gateway::run_end::LeaveReason;
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

/// How many copies a generation tries to resume from when it leaves an engine: a pre-copy, a standby
/// copy, one that was made as an engine in between stopped it, and the KV cache at its source.
const MAX_RESUME_SOURCES: usize = 4;

/// How long a generation waits for the fleet's retry budget before its stream is aborted. Callers
/// abandon a stream after two seconds without an event.
const RETRY_BUDGET_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which the retry budget is checked.
pub(super) const RETRY_BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(50);

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

    pub(super) fn may_resume_at(&self, engine: EndpointKey) -> bool {
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

    /// Resumes at another engine, at which there is a copy. The generation must have ended at the
    /// current one.
    ///
    /// A pre-copy is known to exist, a standby copy is not; if the engine of one refuses, the
    /// other is tried. An engine that stopped the generation keeps its KV cache and is asked last.
    pub(super) async fn relocate(&mut self) -> Option<AttemptStart> {
        self.drop_unusable_pre_copy();
        let may_exist = self.state.standby_may_exist(self.job.cx.now());
        let standby = self.standby.take();
        let mut standby = standby.filter(|it| may_exist && self.may_resume_at(it.place.key));
        let mut last = None;
        for _ in 0..MAX_RESUME_SOURCES {
            let start = match self.resume_from_pre_copy().await {
                Some(start) => Some(start),
                None if standby.is_some() => self.resume_from_standby(standby.take()).await,
                None => self.resume_at_source().await,
            };
            let Some(start) = start else { break };
            let is_over = matches!(
                start,
                AttemptStart::Stream { .. } | AttemptStart::Failed(Reason::BudgetSpent)
            );
            if is_over {
                self.kept = None;
                return Some(start);
            }
            // The engine that was asked may have begun to run the generation. The copy that it was to
            // keep up to date is of no use; its order names the place of the other one.
            let is_left = standby.is_some();
            if is_left {
                self.standby = standby;
            }
            let ended = self.end_run(LeaveReason::ResumeFailed).await;
            standby = self.standby.take().filter(|_| is_left);
            if let Err(reason) = ended {
                return Some(AttemptStart::Failed(reason));
            }
            last = Some(start);
        }
        last
    }

    /// Resumes from the pre-copy, if it is complete.
    async fn resume_from_pre_copy(&mut self) -> Option<AttemptStart> {
        let copy = self.pre_copy.take()?.take()?;
        let CompleteCopy {
            target,
            handle,
            guards: CopyGuards { usage, pending },
        } = copy;
        ByReason::Relocations.add("ahead");
        log_event!(
            ResumedFromPreCopy,
            attempt = self.job.name(),
            from = self.engine.name.as_str(),
            to = target.name.as_str(),
            event_id = self.state.last_event()
        );
        let source = self.engine.clone();
        let start = self
            .resume_at(target, source.address, handle.text(), usage)
            .await;
        drop(pending);
        let start = self.resume_again(start, source.address, &handle).await;
        let has_kept = self.stopped_at.as_ref().map(|it| it.key) == Some(source.key);
        match start {
            AttemptStart::Stream { .. } => {
                let kept = self.kept.take().map(|it| it.handle);
                if let Some(kept) = kept.filter(|it| it.text() == handle.text()) {
                    kept.mark_used();
                }
                handle.mark_used();
            }
            _ if has_kept => {
                self.kept = Some(KeptRun {
                    place: source,
                    handle,
                });
            }
            _ => {}
        }
        Some(start)
    }

    /// Repeats a request to resume from a copy that the engine did not run.
    async fn resume_again(
        &mut self,
        mut start: AttemptStart,
        holder: SocketAddrV4,
        handle: &CopyHandle<E>,
    ) -> AttemptStart {
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
            let copy = CopyLocation {
                engine: holder,
                handle: handle.text(),
            };
            start = self.send_resume(Some(copy)).await;
        }
        start
    }

    /// Resumes from a standby copy, if there is one.
    async fn resume_from_standby(&mut self, copy: Option<StandbyCopy<W>>) -> Option<AttemptStart> {
        let StandbyCopy { place, usage } = copy?;
        let attempt = self.job.name().to_owned();
        let address = place.address;
        ByReason::Relocations.add("standing");
        log_event!(
            ResumedFromStandby,
            attempt = attempt.as_str(),
            from = self.engine.name.as_str(),
            to = place.name.as_str(),
            event_id = self.state.last_event()
        );
        Some(self.resume_at(place, address, &attempt, usage).await)
    }

    /// Resumes at the engine that stopped the generation, from the KV cache that it kept, if it may be
    /// used.
    async fn resume_at_source(&mut self) -> Option<AttemptStart> {
        let KeptRun { place, handle } = self.kept.take()?;
        if !self.may_resume_at(place.key) {
            return None;
        }
        ByReason::Relocations.add("back");
        log_event!(
            ResumedAtSource,
            attempt = self.job.name(),
            endpoint = place.name.as_str(),
            event_id = self.state.last_event()
        );
        let usage = self.job.count_copy(&place, self.reserved_tokens);
        let source = place.address;
        let start = self.resume_at(place, source, handle.text(), usage).await;
        let start = self.resume_again(start, source, &handle).await;
        if let AttemptStart::Stream { .. } = start {
            handle.mark_used();
        }
        Some(start)
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
        if self.may_run_here {
            return AttemptStart::Failed(Reason::NotStopped);
        }
        if !self.wait_for_retry_budget(RetryKind::Resume).await {
            let denied = Reason::BudgetSpent;
            self.log_resume_failure(&denied.to_string());
            return AttemptStart::Failed(denied);
        }
        self.on_left();
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

    /// Resets what is known of the generation at the engine that it leaves.
    fn on_left(&mut self) {
        self.splitter.clear();
        self.no_room.clear();
        self.last_stop = None;
        self.silent_stop = None;
        self.state.on_relocated(self.job.cx.now());
    }

    /// Resumes without a copy, if the generation is resumable and an engine has room: the engine
    /// prefills the prompt and the events. `place` is an engine with room for which a retry was spent.
    pub(super) async fn recompute(
        &mut self,
        place: Option<(Placement, UsageGuard<W>)>,
    ) -> Option<AttemptStart> {
        if !self.may_run_again() {
            return None;
        }
        let (place, in_use) = match place {
            // The retry may have been used for a copy.
            Some(place) if self.has_retry || self.job.try_spend_retry(RetryKind::Recompute) => {
                place
            }
            Some(_) => return None,
            None => self.engine_with_room().await?,
        };
        self.has_retry = false;
        if self.may_run_here {
            let usage = self.job.count_copy(&place, self.reserved_tokens);
            self.set_stop_target(place.clone(), usage);
            if let Err(reason) = self.end_run(LeaveReason::ConnectionBroken).await {
                return Some(AttemptStart::Failed(reason));
            }
        }
        Some(self.recompute_at(place, in_use).await)
    }

    /// Resumes at `place` without a copy, which prefills the prompt and the events.
    async fn recompute_at(&mut self, place: Placement, in_use: UsageGuard<W>) -> AttemptStart {
        ByReason::Relocations.add("anew");
        log_event!(
            Recomputed,
            attempt = self.job.name(),
            from = self.engine.name.as_str(),
            to = place.name.as_str(),
            event_id = self.state.last_event()
        );
        self.on_left();
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
        if self.tx.is_closed() {
            // Nothing is sent for a caller that has disconnected.
            return AttemptStart::NotRun {
                reached_engine: false,
            };
        }
        let limit = self.job.remaining();
        self.may_run_here = true;
        let sent = tokio::time::timeout(limit, self.send(copy)).await;
        let start = match sent {
            Ok(Ok((link, response))) => self.read_head(link, response).await,
            Ok(Err(error)) => {
                log::debug!("generation could not resume: {error}");
                if !error.never_sent() {
                    self.job.record_failure(&self.engine);
                    self.job.on_connection_broken(&self.engine, None).await;
                } else {
                    self.may_run_here = false;
                    if !matches!(error, LinkError::Withdrawn) {
                        self.job.record_unreachable(&self.engine, error.label());
                    }
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
