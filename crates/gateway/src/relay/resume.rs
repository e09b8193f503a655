//! How a generation goes on at another engine.

use super::Relay;
use super::pre_copy::{PreCopy, StandbyCopy};
use super::upstream::AttemptStart;
use crate::job::{CopyUsageGuard, UsageGuard};
use crate::link::LinkError;
use crate::log_event;
use crate::meters::ByReason;
use crate::ports::{CopyLocation, CopyOutcome, EngineCalls, Wire};
use crate::response::Reason;
use core::time::Duration;
use oriolemux_core::gateway::budget::RepeatKind;
use oriolemux_core::gateway::choose::CopyKind;
use oriolemux_core::gateway::relocation::STANDING_MIN_TOKENS;
use oriolemux_core::gateway::state::Place;
use std::net::SocketAddrV4;
use std::time::Instant;
use tokio::time::sleep;

/// How often an engine that refuses to go on from a complete copy is asked again.
///
/// What goes wrong otherwise: an engine that sheds a part of its requests, or is full for a
/// moment, refuses the one request that the generation depends on; its stream is closed in
/// the middle though the copy still stands, since what did not run has used up nothing.
const MAX_RESUME_RETRIES: usize = 2;

/// The pause before each such question. Both together stay within the pause between events
/// that entries of generations want kept, 180 ms.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(40);

/// How long a generation waits for a repeat of the fleet's budget before it is broken off. Callers
/// leave a stream after two seconds without an event.
const RETRY_BUDGET_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause between two looks at the budget.
const RETRY_BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Copies the memory to another engine while the generation goes on, or brings
    /// that copy up to date.
    pub(super) async fn start_pre_copy(&mut self) {
        if self.pre_copy.is_none() {
            let Some((target, in_use)) = self.request_copy_target(CopyKind::Ahead).await else {
                self.state.ahead_impossible(self.job.cx.now());
                return;
            };
            let engines = self.engine_calls.clone();
            self.pre_copy = Some(PreCopy::new(engines, self.engine.address, target, in_use));
        }
        if let Some(ahead) = &mut self.pre_copy {
            ahead.start(self.job.name());
            self.state.ahead_begun(self.job.cx.now());
        }
    }

    /// Gives up a copy ahead in a data centre that was closed; another one can then be made.
    pub(super) fn drop_cordoned_pre_copy(&mut self) {
        let Some(ahead) = &self.pre_copy else { return };
        let state = self.job.cx.state();
        let is_cordoned = state.endpoints.is_cordoned(ahead.target.key);
        drop(state);
        if is_cordoned {
            self.pre_copy = None;
            self.state.ahead_withdrawn();
        }
    }

    pub(super) fn on_pre_copy_ended(&mut self, moved: CopyOutcome) {
        log_event!(
            PreCopyEnded,
            attempt = self.job.name(),
            from = self.engine.name.as_str(),
            how = moved.label(),
            event_id = self.state.last_event()
        );
        let now = self.job.cx.now();
        let complete = match (&mut self.pre_copy, moved) {
            (Some(ahead), CopyOutcome::Complete { handle }) => {
                ahead.complete(handle);
                true
            }
            _ => false,
        };
        if !self.state.ahead_ended(now, complete) {
            self.pre_copy = None;
        }
    }

    /// Goes on at another engine. The connection to the present one is closed: the
    /// generation must not run at two engines.
    ///
    /// A copy ahead is known to be there, a standing one is not; where the engine of
    /// one refuses, the other is asked.
    pub(super) async fn relocate(&mut self) -> Option<AttemptStart> {
        self.drop_cordoned_pre_copy();
        let may_exist = self.state.standing_may_exist(self.job.cx.now());
        let is_cordoned = |key| self.job.cx.state().endpoints.is_cordoned(key);
        let standing = self.standby.take();
        let standing = standing.filter(|it| may_exist && !is_cordoned(it.place.key));
        if let Some(
            begun @ (AttemptStart::Stream { .. } | AttemptStart::Failed(Reason::BudgetSpent)),
        ) = self.resume_from_pre_copy().await
        {
            return Some(begun);
        }
        self.standby = standing;
        self.resume_from_standby().await
    }

    /// Goes on where a copy was made since the notice, if it is complete.
    async fn resume_from_pre_copy(&mut self) -> Option<AttemptStart> {
        let (target, handle) = self.pre_copy.take()?.take()?;
        ByReason::Relocations.add("ahead");
        log_event!(
            ResumedFromPreCopy,
            attempt = self.job.name(),
            from = self.engine.name.as_str(),
            to = target.name.as_str(),
            event_id = self.state.last_event()
        );
        let keeper = self.engine.address;
        let mut begun = self.resume_at(target, keeper, &handle).await;
        for _ in 0..MAX_RESUME_RETRIES {
            if !matches!(
                begun,
                AttemptStart::NotRun {
                    reached_engine: true
                }
            ) {
                break;
            }
            sleep(RESUME_RETRY_DELAY).await;
            if !self.wait_for_retry_budget(RepeatKind::GoOnAgain).await {
                break;
            }
            let handle = &handle;
            begun = self
                .send_resume(Some(CopyLocation {
                    engine: keeper,
                    handle,
                }))
                .await;
        }
        Some(begun)
    }

    /// Goes on where the standing copy is kept, if there is one.
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
        Some(self.resume_at(copy.place.clone(), address, &attempt).await)
    }

    /// Asks `target` to go on with the generation whose memory `keeper` holds.
    async fn resume_at(
        &mut self,
        target: Place,
        keeper: SocketAddrV4,
        handle: &str,
    ) -> AttemptStart {
        if !self.wait_for_retry_budget(RepeatKind::GoOn).await {
            let denied = Reason::BudgetSpent;
            self.log_resume_failure(&denied.to_string());
            return AttemptStart::Failed(denied);
        }
        self.splitter.clear();
        self.state.moved(self.job.cx.now());
        self.usage = UsageGuard::for_resumed(&self.job.cx, target.key, self.reserved_tokens);
        self.engine = target;
        self.choose_standby().await;
        self.send_resume(Some(CopyLocation {
            engine: keeper,
            handle,
        }))
        .await
    }

    /// Goes on at an engine that reads prompt and events anew, if the generation is
    /// resumable and one has room.
    pub(super) async fn recompute(&mut self) -> Option<AttemptStart> {
        if !self.may_run_again() {
            return None;
        }
        let (place, in_use) = self.engine_with_room().await?;
        Some(self.recompute_at(place, in_use).await)
    }

    /// Goes on at `place`, which reads prompt and events anew.
    pub(super) async fn recompute_at(
        &mut self,
        place: Place,
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
        self.state.moved(self.job.cx.now());
        self.pre_copy = None;
        self.switch_to(place, in_use).await;
        self.send_resume(None).await
    }

    /// Asks the present engine to go on, from a copy or anew.
    async fn send_resume(&mut self, copy: Option<CopyLocation<'_>>) -> AttemptStart {
        if !self.job.is_admitted() {
            return AttemptStart::Failed(Reason::EndsEndpoints);
        }
        let limit = self.job.remaining();
        let sent = tokio::time::timeout(limit, self.send(copy)).await;
        let begun = match sent {
            Ok(Ok((link, response))) => self.read_head(link, response).await,
            Ok(Err(error)) => {
                log::debug!("a generation could not go on: {error}");
                if !matches!(error, LinkError::Withdrawn) {
                    self.job.record_failure(&self.engine);
                }
                if !error.never_sent() {
                    self.job.on_connection_broken(&self.engine, None).await;
                }
                AttemptStart::Failed(Reason::ResponseLost)
            }
            Err(_) => AttemptStart::Failed(Reason::Timeout),
        };
        match &begun {
            AttemptStart::Stream { .. } => {}
            AttemptStart::FinalResponse(response) => {
                self.log_resume_failure(response.status.as_str())
            }
            AttemptStart::NotRun { .. } => self.log_resume_failure("not_run"),
            AttemptStart::Failed(reason) => self.log_resume_failure(&reason.to_string()),
        }
        begun
    }

    /// Spends one of the fleet's repeats. If there is none, waits for it as long as callers bear a
    /// pause: other repeats leave what is earned meanwhile to generations that go on.
    async fn wait_for_retry_budget(&self, kind: RepeatKind) -> bool {
        let ends = Instant::now() + RETRY_BUDGET_TIMEOUT.min(self.job.remaining());
        while !self.job.may_resume() {
            if Instant::now() >= ends {
                break;
            }
            tokio::select! {
                () = sleep(RETRY_BUDGET_POLL_INTERVAL) => {}
                // Nothing is sent for a caller that left.
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

    /// Chooses where the present engine keeps a standing copy, where one pays.
    pub(super) async fn choose_standby(&mut self) {
        self.standby = None;
        let engine = self.job.service().engine;
        let keeps_copies = engine.is_some_and(|engine| engine.standing_copies);
        let is_long = self.length.rest(self.state.tokens()) >= STANDING_MIN_TOKENS;
        if keeps_copies && is_long {
            let found = self.request_copy_target(CopyKind::Standing).await;
            self.standby = found.map(|(place, in_use)| StandbyCopy {
                place,
                _usage: in_use,
            });
        }
        self.state.set_standing(self.standby.is_some());
    }

    /// Returns another engine with room for a copy.
    async fn request_copy_target(&self, kind: CopyKind) -> Option<(Place, CopyUsageGuard<W>)> {
        let place = self
            .job
            .request_copy_placement(self.engine.key, kind, self.reserved_tokens)
            .await;
        if place.is_none() {
            let kind = match kind {
                CopyKind::Standing => "standing",
                CopyKind::Ahead => "ahead",
            };
            log_event!(
                NoRoomForCopy,
                attempt = self.job.name(),
                source = self.engine.name.as_str(),
                kind = kind,
                need = self.reserved_tokens
            );
        }
        place
    }
}
