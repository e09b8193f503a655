//! Resuming a generation at another engine.

use super::Relay;
use super::pre_copy::{CompleteCopy, CopyGuards, CopyHandle, PreCopy, StandbyCopy};
use super::stop_run::KeptRun;
use super::upstream::AttemptStart;
use crate::job::{CopyUsageGuard, PendingMove, UsageGuard};
use crate::link::LinkError;
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::ports::{CopyLocation, CopyOutcome, EngineCalls, Wire};
use crate::response::Reason;
use crate::signature::is_unsigned;
use core::time::Duration;
use oriolemux_core::gateway::budget::RetryKind;
use oriolemux_core::gateway::relocation::{ResumePauses, STANDBY_MIN_TOKENS, tolerated_gap};
use oriolemux_core::gateway::run_end::LeaveReason;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::ids::EndpointKey;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Instant;
use tokio::time::sleep;

/// How often a copy is asked for again before a generation that any engine can resume is recomputed,
/// and before the engine that stopped the generation is asked instead of the one that got the copy.
const MAX_RESUME_RETRIES: usize = 2;

/// The interval at which the retry budget is checked.
pub(super) const RETRY_BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Which copy of a generation a request to resume uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyKind {
    /// The one that was made since its engine leaves, or as its engine stopped the generation.
    PreCopy,
    /// The one that its engine kept up to date. Nothing confirms that it exists.
    Standby {
        /// Whether it is assumed to.
        is_known: bool,
    },
    /// The KV cache at the engine that stopped the generation.
    AtSource,
}

/// A copy that no engine has resumed from yet. Its handle is freed when it is dropped.
struct HeldCopy<W: Wire, E: EngineCalls> {
    kind: CopyKind,
    /// The engine that requests to resume name as the holder.
    holder: SocketAddrV4,
    /// The engines that can resume from it. The first one got the copy.
    places: Vec<Placement>,
    /// `None` for a standby copy, which the attempt names.
    handle: Option<CopyHandle<E>>,
    /// Counts the copy until an engine is asked.
    usage: Option<CopyUsageGuard<W>>,
    pending: Option<PendingMove<W>>,
    /// How often an engine was asked, or could not be.
    turns: usize,
    /// The engine that was asked last.
    last_asked: Option<EndpointKey>,
}

impl<W: Wire, E: EngineCalls> HeldCopy<W, E> {
    /// Returns the engine that is asked next, `None` if none may be asked now. An engine that may not be
    /// asked takes no turn.
    fn next_place(&self, relay: &Relay<W, E>) -> Option<&Placement> {
        let count = match self.turns > MAX_RESUME_RETRIES {
            true => self.places.len(),
            false => 1,
        };
        let turns = (0..count).map(|it| &self.places[(self.turns + it) % count]);
        turns.into_iter().find(|it| relay.may_resume_at(it.key))
    }

    fn kind_at(&self, place: &Placement) -> CopyKind {
        match place.key == self.places[0].key {
            true => self.kind,
            false => CopyKind::AtSource,
        }
    }

    /// Returns whether the copy is known, or assumed, to exist after a request that did not run.
    fn is_known(&self) -> bool {
        self.kind != CopyKind::Standby { is_known: false }
    }

    /// Returns whether any of its engines may be asked, now or after a backoff.
    fn can_resume(&self, relay: &Relay<W, E>) -> bool {
        let cx = &relay.job.cx;
        let (now, state) = (cx.now(), cx.state());
        let mut places = self.places.iter();
        places.any(|it| state.may_resume_later_at(now, it.key))
    }
}

/// Returns whether the engine that was asked last began the generation without its signature.
fn is_unsigned_start(last: Option<&AttemptStart>) -> bool {
    matches!(last, Some(AttemptStart::Failed(Reason::Unsigned)))
}

/// Records that a generation has resumed from `copy`, and frees the others.
fn mark_used<W: Wire, E: EngineCalls>(copy: HeldCopy<W, E>, others: VecDeque<HeldCopy<W, E>>) {
    let Some(used) = copy.handle else { return };
    // The engine that stopped the generation may name its own KV cache and the copy alike.
    let others = others.into_iter().filter_map(|it| it.handle);
    let (same, freed): (Vec<_>, Vec<_>) = others.partition(|it| it.text() == used.text());
    drop(freed);
    same.into_iter().for_each(CopyHandle::mark_used);
    used.mark_used();
}

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
    /// The engines that hold copies are asked in turn until one resumes the generation, its caller
    /// leaves, or the deadline passes: a request that did not run has used up no copy. `place` has room
    /// to recompute the generation, which is done once each copy was asked for a few times.
    pub(super) async fn relocate(
        &mut self,
        place: &mut Option<(Placement, UsageGuard<W>)>,
    ) -> Option<AttemptStart> {
        let mut copies = self.standby_source().into_iter().collect::<VecDeque<_>>();
        let mut pauses = ResumePauses::new(self.tolerated_gap());
        let mut last = None;
        loop {
            self.collect_copies(&mut copies);
            let held = copies.len();
            copies.retain(|it| it.can_resume(self));
            self.has_lost_holder |= copies.len() < held;
            let Some(mut copy) = copies.pop_front() else {
                break;
            };
            if copy.turns > MAX_RESUME_RETRIES && self.may_run_again() {
                match self.recompute(place.take()).await {
                    Some(start @ AttemptStart::Stream { .. }) => return Some(start),
                    Some(start) if self.may_run_here => return Some(start),
                    Some(start) => last = Some(start),
                    None => {}
                }
            }
            // Engines without signatures may pass a generation back and forth with new copies.
            let is_repeated = copy.turns > 0 || is_unsigned_start(last.as_ref());
            if is_repeated && !self.pause_resumption(pauses.advance()).await {
                break;
            }
            if self.tx.is_closed() {
                break;
            }
            let Some(place) = copy.next_place(self).cloned() else {
                copy.turns += 1;
                copies.push_back(copy);
                continue;
            };
            let start = self.ask_to_resume(&mut copy, place).await;
            match &start {
                AttemptStart::Stream { .. } => {
                    mark_used(copy, copies);
                    return Some(start);
                }
                AttemptStart::Failed(
                    Reason::BudgetSpent | Reason::Timeout | Reason::NotStopped,
                ) => return Some(start),
                _ if self.tx.is_closed() => break,
                _ if self.has_taken_nothing(&start) => {
                    // An engine that failed may have used the copy. It refuses to run another request
                    // that names it then.
                    if copy.is_known() {
                        copies.push_back(copy);
                    }
                }
                // The engine that was asked may have begun to run the generation.
                _ => {
                    if let Err(reason) = self.end_run_of_resumed(&mut copies).await {
                        return Some(AttemptStart::Failed(reason));
                    }
                }
            }
            last = Some(start);
        }
        last
    }

    /// Returns the standby copy as a source, if it may exist and may be used.
    fn standby_source(&mut self) -> Option<HeldCopy<W, E>> {
        let now = self.job.cx.now();
        let may_exist = self.state.standby_may_exist(now);
        let is_known = self.state.standby_is_assumed(now);
        let StandbyCopy { place, usage } = self.standby.take()?;
        let may_resume = self.job.cx.state().may_resume_later_at(now, place.key);
        self.has_lost_holder |= may_exist && !may_resume;
        (may_exist && may_resume).then(|| HeldCopy {
            kind: CopyKind::Standby { is_known },
            holder: place.address,
            places: vec![place],
            handle: None,
            usage: Some(usage),
            pending: None,
            turns: 0,
            last_asked: None,
        })
    }

    /// Adds the copies that were made since the last call: a pre-copy is asked for first, and an engine
    /// that stopped the generation last.
    fn collect_copies(&mut self, copies: &mut VecDeque<HeldCopy<W, E>>) {
        if let Some(copy) = self.pre_copy.take().and_then(PreCopy::take) {
            let CompleteCopy {
                target,
                handle,
                guards: CopyGuards { usage, pending },
            } = copy;
            let source = self.engine.clone();
            let holder = source.address;
            let has_kept = self.stopped_at.as_ref().map(|it| it.key) == Some(source.key);
            let places = match has_kept {
                true => vec![target, source],
                false => vec![target],
            };
            copies.push_front(HeldCopy {
                kind: CopyKind::PreCopy,
                holder,
                places,
                handle: Some(handle),
                usage: Some(usage),
                pending: Some(pending),
                turns: 0,
                last_asked: None,
            });
        }
        if let Some(KeptRun { place, handle }) = self.kept.take() {
            copies.push_back(HeldCopy {
                kind: CopyKind::AtSource,
                holder: place.address,
                places: vec![place],
                handle: Some(handle),
                usage: None,
                pending: None,
                turns: 0,
                last_asked: None,
            });
        }
    }

    /// Asks the engine at `place` to resume from a copy.
    async fn ask_to_resume(&mut self, copy: &mut HeldCopy<W, E>, place: Placement) -> AttemptStart {
        let attempt = self.job.name().to_owned();
        let handle = copy.handle.as_ref().map(|it| it.text().to_owned());
        let handle = handle.unwrap_or(attempt);
        copy.turns += 1;
        // Retries that are kept for this generation must not delay it.
        copy.pending = None;
        let last_asked = copy.last_asked.replace(place.key);
        if last_asked == Some(place.key) && self.engine.key == place.key {
            self.log_repeated_resume(copy.turns);
            return self.resume_again(copy.holder, &handle).await;
        }
        let kind = match last_asked {
            Some(_) => RetryKind::ResumeAgain,
            None => RetryKind::Resume,
        };
        self.log_resumption(copy.kind_at(&place), &place);
        let usage = copy.usage.take();
        let usage = usage.unwrap_or_else(|| self.job.count_copy(&place, self.reserved_tokens));
        self.resume_at(place, (copy.holder, &handle), usage, kind)
            .await
    }

    /// Asks the current engine, which did not resume the generation, once more.
    async fn resume_again(&mut self, holder: SocketAddrV4, handle: &str) -> AttemptStart {
        if self.may_run_here {
            return AttemptStart::Failed(Reason::NotStopped);
        }
        if !self.wait_for_retry_budget(RetryKind::ResumeAgain).await {
            return self.retry_denied();
        }
        let copy = CopyLocation {
            engine: holder,
            handle,
        };
        self.send_resume(Some(copy)).await
    }

    /// Makes sure that the generation has ended at the engine that was asked to resume it.
    ///
    /// # Errors
    ///
    /// Returns why it has not.
    async fn end_run_of_resumed(
        &mut self,
        copies: &mut VecDeque<HeldCopy<W, E>>,
    ) -> Result<(), Reason> {
        // The copy that the engine was to keep up to date is of no use; its order names the place of
        // the other one.
        let standby = copies.iter().position(|it| it.handle.is_none());
        let mut standby = standby.and_then(|at| copies.remove(at));
        if let Some(HeldCopy { places, usage, .. }) = &mut standby {
            let place = places[0].clone();
            let usage = usage.take();
            let usage = usage.unwrap_or_else(|| self.job.count_copy(&place, self.reserved_tokens));
            self.standby = Some(StandbyCopy { place, usage });
        }
        let ended = self.end_run(LeaveReason::ResumeFailed).await;
        self.close_unsigned().await;
        let left = self.standby.take();
        if let (Some(mut copy), Some(left)) = (standby, left) {
            copy.usage = Some(left.usage);
            copies.push_back(copy);
        }
        ended
    }

    /// Returns whether a request to resume that started so has run nothing.
    fn has_taken_nothing(&self, start: &AttemptStart) -> bool {
        match start {
            AttemptStart::NotRun { .. } => true,
            AttemptStart::FinalResponse(response) => response.status.is_server_error(),
            AttemptStart::Failed(Reason::ResponseLost | Reason::NoRunLease) => !self.may_run_here,
            _ => false,
        }
    }

    /// Waits before an engine is asked again. Returns whether the caller still waits then.
    async fn pause_resumption(&self, pause: Duration) -> bool {
        let until = Instant::now() + pause;
        if until >= self.job.deadline {
            return false;
        }
        tokio::select! {
            () = tokio::time::sleep_until(until.into()) => true,
            () = self.tx.closed() => false,
        }
    }

    /// Returns the gap after which the caller abandons the stream.
    fn tolerated_gap(&self) -> Duration {
        let entry = self.job.entry();
        tolerated_gap(entry.target, entry.gap_target)
    }

    /// Returns when the caller is expected to abandon the stream if it gets no further event. Nothing
    /// ends then: only its connection shows whether it has.
    fn expected_until(&self) -> Instant {
        let last = self.pace.last_event_at().unwrap_or(self.job.arrived);
        (last + self.tolerated_gap()).min(self.job.deadline)
    }

    fn log_resumption(&self, kind: CopyKind, place: &Placement) {
        let (attempt, from) = (self.job.name(), self.engine.name.as_str());
        let event_id = self.state.last_event();
        match kind {
            CopyKind::PreCopy => {
                ByReason::Relocations.add("ahead");
                log_event!(
                    ResumedFromPreCopy,
                    attempt = attempt,
                    from = from,
                    to = place.name.as_str(),
                    event_id = event_id
                );
            }
            CopyKind::Standby { .. } => {
                ByReason::Relocations.add("standing");
                log_event!(
                    ResumedFromStandby,
                    attempt = attempt,
                    from = from,
                    to = place.name.as_str(),
                    event_id = event_id
                );
            }
            CopyKind::AtSource => {
                ByReason::Relocations.add("back");
                log_event!(
                    ResumedAtSource,
                    attempt = attempt,
                    endpoint = place.name.as_str(),
                    event_id = event_id
                );
            }
        }
    }

    fn log_repeated_resume(&self, asked: usize) {
        ByReason::Relocations.add("again");
        let left = self
            .expected_until()
            .saturating_duration_since(Instant::now());
        log_event!(
            ResumeRepeated,
            attempt = self.job.name(),
            endpoint = self.engine.name.as_str(),
            asked = asked,
            left_ms = millis(left)
        );
    }

    fn retry_denied(&self) -> AttemptStart {
        let denied = Reason::BudgetSpent;
        self.log_resume_failure(&denied.to_string());
        AttemptStart::Failed(denied)
    }

    /// Asks `target` to resume the generation whose copy `holder` holds. The copy is counted there
    /// with `copy_usage` until the generation is: otherwise its room would be granted to others
    /// while it waits for the retry budget.
    async fn resume_at(
        &mut self,
        target: Placement,
        (holder, handle): (SocketAddrV4, &str),
        copy_usage: CopyUsageGuard<W>,
        kind: RetryKind,
    ) -> AttemptStart {
        if self.may_run_here {
            return AttemptStart::Failed(Reason::NotStopped);
        }
        if !self.wait_for_retry_budget(kind).await {
            return self.retry_denied();
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
        self.no_room.clear();
        self.last_stop = None;
        self.open_stop = None;
        self.awaits_retry = false;
        self.has_lost_holder = false;
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
            Ok(Ok((link, response))) => {
                let start = self.read_head(link, response).await;
                self.signed_only(start)
            }
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

    /// Turns a stream whose head bears no signature into a failure. Its engine has begun the generation,
    /// and its events must not be forwarded. Its connection stays open until the engine has answered the
    /// order to stop: one that drops a request whose connection closes would drop the KV cache with it.
    fn signed_only(&mut self, start: AttemptStart) -> AttemptStart {
        match start {
            AttemptStart::Stream {
                upstream,
                status,
                headers,
            } if is_unsigned(&self.job.cx.wire, status, &headers) => {
                self.job.log_unsigned(&self.engine.name, status);
                self.unsigned = Some(upstream);
                AttemptStart::Failed(Reason::Unsigned)
            }
            start => start,
        }
    }

    /// Spends one retry of the fleet's budget, unless one is in hand. If none is available, waits for
    /// one until the caller leaves or the deadline passes: other retries leave what accrues meanwhile
    /// to generations that resume.
    async fn wait_for_retry_budget(&mut self, kind: RetryKind) -> bool {
        if core::mem::take(&mut self.has_retry) {
            return true;
        }
        if !self.job.may_retry(kind) {
            self.log_retry_awaited();
        }
        while !self.job.may_retry(kind) {
            if self.job.remaining().is_zero() {
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

    /// Logs that a generation waits for the retry budget.
    pub(super) fn log_retry_awaited(&self) {
        log_event!(
            RetryAwaited,
            attempt = self.job.name(),
            endpoint = self.engine.name.as_str(),
            event_id = self.state.last_event()
        );
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
