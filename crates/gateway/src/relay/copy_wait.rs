//! The request for a place of a pre-copy, which waits beside the events of its generation.
//!
//! A home queues the request while no engine has room. The events of the generation are forwarded
//! meanwhile, and the request is withdrawn once a copy would come too late or is not needed.

use super::Relay;
use super::pre_copy::{CopyGuards, PreCopy};
use super::upstream::StopReason;
use crate::job::{CopyUsageGuard, IMMEDIATE_PLACEMENT_TIMEOUT, PendingMove};
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::placement::{OpenPlacement, PlacementProgress};
use crate::ports::{EngineCalls, Wire};
use core::time::Duration;
use oriolemux_core::gateway::relocation::{
    EngineView, PRE_COPY_DEADLINE, time_until_copy_is_needed,
};
use oriolemux_core::gateway::request::PlacementError;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::ids::EndpointKey;
use std::time::Instant;

/// An open request for the place of a pre-copy.
pub(super) struct CopyWait<W: Wire> {
    open: OpenPlacement<W>,
    since: Instant,
    /// Whether a home has queued it.
    is_queued: bool,
}

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Copies the KV cache to another engine while the generation continues, or refreshes that
    /// copy. The place for a new copy is requested, and [`Relay::check_copy_wait`] starts the copy.
    pub(super) fn start_pre_copy(&mut self) {
        if let Some(pre_copy) = &mut self.pre_copy {
            pre_copy.start(self.job.name(), false);
            self.state.pre_copy_started(self.job.cx.now());
            return;
        }
        self.forget_refusals_of_all();
        let left = PRE_COPY_DEADLINE.saturating_sub(self.leaving_for());
        let now = Instant::now();
        let open = self.job.open_pre_copy_placement(
            self.engine.key,
            self.reserved_tokens,
            &self.no_room,
            now + left.max(IMMEDIATE_PLACEMENT_TIMEOUT),
        );
        self.copy_wait = Some(CopyWait {
            open,
            since: now,
            is_queued: false,
        });
        self.state.pre_copy_requested();
        ByReason::PreCopies.add("requested");
    }

    /// Starts the pre-copy if there is a place for it now; returns when to check again.
    pub(super) fn check_copy_wait(&mut self) -> Option<Instant> {
        let wait = self.copy_wait.as_mut()?;
        match self.job.check_pre_copy_placement(&wait.open) {
            Ok(PlacementProgress::Granted(target, in_use)) => {
                self.copy_wait = None;
                self.begin_pre_copy(target, in_use);
                None
            }
            Ok(PlacementProgress::Waiting {
                check_after,
                is_queued,
            }) => {
                let is_new = is_queued && !wait.is_queued;
                wait.is_queued |= is_queued;
                if is_new {
                    self.log_copy_wait();
                }
                Some(Instant::now() + check_after)
            }
            Err(why) => {
                self.withdraw_pre_copy(label(why));
                let (now, leaving_for) = (self.job.cx.now(), self.leaving_for());
                self.state.pre_copy_refused(now, leaving_for);
                None
            }
        }
    }

    fn begin_pre_copy(&mut self, target: Placement, in_use: CopyUsageGuard<W>) {
        ByReason::PreCopies.add("placed");
        self.job.cx.gossip_due.notify_one();
        let engines = self.engine_calls.clone();
        let guards = CopyGuards {
            usage: in_use,
            pending: PendingMove::new(&self.job),
        };
        let mut pre_copy = PreCopy::new(engines, self.engine.clone(), target, guards);
        pre_copy.start(self.job.name(), false);
        self.pre_copy = Some(pre_copy);
        self.state.pre_copy_started(self.job.cx.now());
    }

    /// Excludes an engine that refused the pre-copy for lack of room from the further tries of this
    /// generation, and reports it to homes.
    pub(super) fn on_no_room(&mut self) {
        let Some(target) = self.pre_copy.as_ref().map(|it| &it.target) else {
            return;
        };
        let cx = &self.job.cx;
        let now = cx.now();
        let mut state = cx.state();
        let used = state.used(target.key);
        state.record_no_room(now, target.key);
        drop(state);
        cx.gossip_due.notify_one();
        ByReason::PreCopies.add("refused");
        log_event!(
            PreCopyRefused,
            attempt = self.job.name(),
            endpoint = target.name.as_str(),
            running = used.running,
            tokens = used.tokens,
            copied = used.copy_tokens,
            need = self.reserved_tokens
        );
        self.no_room.push(target.key);
    }

    /// Tries engines again that refused the pre-copy if no other is left.
    fn forget_refusals_of_all(&mut self) {
        let is_other =
            |engine: &EndpointKey| *engine != self.engine.key && !self.no_room.contains(engine);
        let is_any_left = {
            let state = self.job.cx.state();
            let mut usable = state.endpoints.usable_of(&self.job.service().name);
            usable.any(|it| is_other(&it.key))
        };
        if !is_any_left {
            self.no_room.clear();
        }
    }

    /// Withdraws the request for a pre-copy, if one is open.
    pub(super) fn withdraw_pre_copy(&mut self, why: &'static str) {
        let Some(wait) = self.copy_wait.take() else {
            return;
        };
        ByReason::PreCopies.add(why);
        if why == NO_ROOM {
            self.log_no_room("ahead");
        }
        log_event!(
            PreCopyWithdrawn,
            attempt = self.job.name(),
            source = self.engine.name.as_str(),
            why = why,
            need = wait.open.tokens(),
            waited_ms = millis(wait.since.elapsed()),
            leaving_ms = millis(self.leaving_for())
        );
    }

    /// Logs once per engine that the generation needs no pre-copy yet.
    pub(super) fn log_deferred_copy(&mut self, view: &EngineView) {
        let (Some(leaving_for), Some(remaining)) = (view.leaving_for, view.remaining) else {
            return;
        };
        let is_deferred = time_until_copy_is_needed(leaving_for, remaining).is_some();
        let is_new = self.deferred_at != Some(self.engine.key);
        if !is_deferred || !is_new || self.pre_copy.is_some() || self.copy_wait.is_some() {
            return;
        }
        self.deferred_at = Some(self.engine.key);
        ByReason::PreCopies.add("not_needed");
        log_event!(
            PreCopyNotNeeded,
            attempt = self.job.name(),
            source = self.engine.name.as_str(),
            tokens = self.length.remaining(self.state.tokens()),
            remaining_ms = millis(remaining),
            leaving_ms = millis(leaving_for)
        );
    }

    fn log_copy_wait(&self) {
        ByReason::PreCopies.add("waited");
        log_event!(
            PreCopyWaits,
            attempt = self.job.name(),
            source = self.engine.name.as_str(),
            need = self.reserved_tokens,
            leaving_ms = millis(self.leaving_for()),
            remaining_ms = self.expected_remaining().map(millis)
        );
    }

    /// Returns how long the generation is expected to continue, from its own pace.
    pub(super) fn expected_remaining(&self) -> Option<Duration> {
        let gap = self.pace.mean_gap()?;
        let tokens = self.length.remaining(self.state.tokens());
        Some(self.state.time_for(tokens, gap))
    }

    /// Returns how long the current engine has been leaving; zero if it is not.
    pub(super) fn leaving_for(&self) -> Duration {
        let cx = &self.job.cx;
        let now = cx.now();
        let since = cx.state().leaving_since(self.engine.key);
        since.map_or(Duration::ZERO, |since| now.since(since))
    }
}

/// The label of a request that found no room in time.
const NO_ROOM: &str = "no_room";

fn label(why: PlacementError) -> &'static str {
    match why {
        PlacementError::Full => NO_ROOM,
        PlacementError::NoEndpoint => "no_engine",
        PlacementError::Cordoned => "cordoned",
        PlacementError::RateLimited => "rate_limited",
        PlacementError::BackedOff => "backed_off",
        PlacementError::Brittle => "brittle",
    }
}

/// Returns why a request for a pre-copy is withdrawn when the relay stops reading from the engine.
pub(super) fn withdrawn_because<W: Wire>(stop: &StopReason<W>) -> &'static str {
    match stop {
        StopReason::End => "ended",
        StopReason::CallerGone => "caller_left",
        StopReason::Relocate | StopReason::Stopped | StopReason::Recompute(..) => "left",
        StopReason::Broken => "engine_ended",
        StopReason::Silent | StopReason::EngineFailed => "engine_silent",
        StopReason::Timeout => "timeout",
        StopReason::Gap => "event_missing",
    }
}
