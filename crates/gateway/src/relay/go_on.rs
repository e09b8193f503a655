//! How a generation goes on at another engine.

use super::Relay;
use super::ahead::{CopyAhead, StandingCopy};
use super::upstream::Begun;
use crate::answer::Reason;
use crate::job::{CopyInUse, InUse};
use crate::link::LinkError;
use crate::meters::ByReason;
use crate::note;
use crate::ports::{EngineCalls, KeptCopy, Moved, Wire};
use core::time::Duration;
use oriolemux_core::gateway::budget::RepeatKind;
use oriolemux_core::gateway::choose::CopyKind;
use oriolemux_core::gateway::relocation::STANDING_MIN_TOKENS;
use oriolemux_core::gateway::state::Placement;
use std::net::SocketAddrV4;
use std::time::Instant;
use tokio::time::sleep;

/// How often an engine that refuses to go on from a complete copy is asked again.
///
/// What goes wrong otherwise: an engine that sheds a part of its requests, or is full for a
/// moment, refuses the one request that the generation depends on; its stream is closed in
/// the middle though the copy still stands, since what did not run has used up nothing.
const REFUSALS_BORNE: usize = 2;

/// The pause before each such question. Both together stay within the pause between events
/// that entries of generations want kept, 180 ms.
const REFUSED_PAUSE: Duration = Duration::from_millis(40);

/// How long a generation waits for a repeat of the fleet's budget before it is broken off. Callers
/// leave a stream after two seconds without an event.
const REPEAT_PATIENCE: Duration = Duration::from_secs(1);

/// The pause between two looks at the budget.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Copies the memory to another engine while the generation goes on, or brings
    /// that copy up to date.
    pub(super) async fn copy_ahead(&mut self) {
        if self.ahead.is_none() {
            let Some((target, in_use)) = self.another_place(CopyKind::Ahead).await else {
                self.state.ahead_impossible(self.job.cx.now());
                return;
            };
            let engines = self.engines.clone();
            self.ahead = Some(CopyAhead::new(engines, self.source.address, target, in_use));
        }
        if let Some(ahead) = &mut self.ahead {
            ahead.begin(self.job.name());
            self.state.ahead_begun(self.job.cx.now());
        }
    }

    /// Gives up a copy ahead in a data centre that was closed; another one can then be made.
    pub(super) fn drop_cordoned_copy(&mut self) {
        let Some(ahead) = &self.ahead else { return };
        let state = self.job.cx.state();
        let is_cordoned = state.endpoints.is_cordoned(ahead.target.key);
        drop(state);
        if is_cordoned {
            self.ahead = None;
            self.state.ahead_withdrawn();
        }
    }

    pub(super) fn on_copied_ahead(&mut self, moved: Moved) {
        note!(
            CopiedAhead,
            attempt = self.job.name(),
            from = self.source.name.as_str(),
            how = moved.word(),
            event_id = self.state.last_event()
        );
        let now = self.job.cx.now();
        let complete = match (&mut self.ahead, moved) {
            (Some(ahead), Moved::Done { handle }) => {
                ahead.complete(handle);
                true
            }
            _ => false,
        };
        if !self.state.ahead_ended(now, complete) {
            self.ahead = None;
        }
    }

    /// Goes on at another engine. The connection to the present one is closed: the
    /// generation must not run at two engines.
    ///
    /// A copy ahead is known to be there, a standing one is not; where the engine of
    /// one refuses, the other is asked.
    pub(super) async fn leave(&mut self) -> Option<Begun> {
        self.drop_cordoned_copy();
        let may_exist = self.state.standing_may_exist(self.job.cx.now());
        let is_cordoned = |key| self.job.cx.state().endpoints.is_cordoned(key);
        let standing = self.standing.take();
        let standing = standing.filter(|it| may_exist && !is_cordoned(it.place.key));
        if let Some(begun @ (Begun::Stream { .. } | Begun::Failed(Reason::BudgetSpent))) =
            self.go_on_from_ahead().await
        {
            return Some(begun);
        }
        self.standing = standing;
        self.go_on_from_standing().await
    }

    /// Goes on where a copy was made since the notice, if it is complete.
    async fn go_on_from_ahead(&mut self) -> Option<Begun> {
        let (target, handle) = self.ahead.take()?.take()?;
        ByReason::Relocations.add("ahead");
        note!(
            GoesOnFromAhead,
            attempt = self.job.name(),
            from = self.source.name.as_str(),
            to = target.name.as_str(),
            event_id = self.state.last_event()
        );
        let keeper = self.source.address;
        let mut begun = self.go_on(target, keeper, &handle).await;
        for _ in 0..REFUSALS_BORNE {
            if !matches!(begun, Begun::NotRun { arrived: true }) {
                break;
            }
            sleep(REFUSED_PAUSE).await;
            if !self.spend_repeat(RepeatKind::GoOnAgain).await {
                break;
            }
            let handle = &handle;
            begun = self.ask_to_go_on(Some(KeptCopy { keeper, handle })).await;
        }
        Some(begun)
    }

    /// Goes on where the standing copy is kept, if there is one.
    pub(super) async fn go_on_from_standing(&mut self) -> Option<Begun> {
        let copy = self.standing.take()?;
        let attempt = self.job.name().to_owned();
        let address = copy.place.address;
        ByReason::Relocations.add("standing");
        note!(
            GoesOnFromCopy,
            attempt = attempt.as_str(),
            from = self.source.name.as_str(),
            to = copy.place.name.as_str(),
            event_id = self.state.last_event()
        );
        Some(self.go_on(copy.place.clone(), address, &attempt).await)
    }

    /// Asks `target` to go on with the generation whose memory `keeper` holds.
    async fn go_on(&mut self, target: Placement, keeper: SocketAddrV4, handle: &str) -> Begun {
        if !self.spend_repeat(RepeatKind::GoOn).await {
            let denied = Reason::BudgetSpent;
            self.cannot_go_on(&denied.to_string());
            return Begun::Failed(denied);
        }
        self.splitter.clear();
        self.state.moved(self.job.cx.now());
        self.in_use = InUse::go_on(&self.job.cx, target.key, self.tokens);
        self.source = target;
        self.choose_standing().await;
        self.ask_to_go_on(Some(KeptCopy { keeper, handle })).await
    }

    /// Goes on at an engine that reads prompt and events anew, if the generation is
    /// resumable and one has room.
    pub(super) async fn go_on_anew(&mut self) -> Option<Begun> {
        if !self.may_run_again() {
            return None;
        }
        let (place, in_use) = self.engine_with_room().await?;
        Some(self.go_on_anew_at(place, in_use).await)
    }

    /// Goes on at `place`, which reads prompt and events anew.
    pub(super) async fn go_on_anew_at(&mut self, place: Placement, in_use: InUse<W>) -> Begun {
        ByReason::Relocations.add("anew");
        note!(
            GoesOnAnew,
            attempt = self.job.name(),
            from = self.source.name.as_str(),
            to = place.name.as_str(),
            event_id = self.state.last_event()
        );
        self.splitter.clear();
        self.state.moved(self.job.cx.now());
        self.ahead = None;
        self.settle_at(place, in_use).await;
        self.ask_to_go_on(None).await
    }

    /// Asks the present engine to go on, from a copy or anew.
    async fn ask_to_go_on(&mut self, copy: Option<KeptCopy<'_>>) -> Begun {
        if !self.job.is_admitted() {
            return Begun::Failed(Reason::EndsEndpoints);
        }
        let limit = self.job.left();
        let sent = tokio::time::timeout(limit, self.send(copy)).await;
        let begun = match sent {
            Ok(Ok((link, answer))) => self.read_head(link, answer).await,
            Ok(Err(error)) => {
                log::debug!("a generation could not go on: {error}");
                if !matches!(error, LinkError::Withdrawn) {
                    self.job.note_failure(&self.source);
                }
                if !error.never_sent() {
                    self.job.note_broken(&self.source, None).await;
                }
                Begun::Failed(Reason::AnswerLost)
            }
            Err(_) => Begun::Failed(Reason::Timeout),
        };
        match &begun {
            Begun::Stream { .. } => {}
            Begun::Ended(answer) => self.cannot_go_on(answer.status.as_str()),
            Begun::NotRun { .. } => self.cannot_go_on("not_run"),
            Begun::Failed(reason) => self.cannot_go_on(&reason.to_string()),
        }
        begun
    }

    /// Spends one of the fleet's repeats. If there is none, waits for it as long as callers bear a
    /// pause: other repeats leave what is earned meanwhile to generations that go on.
    async fn spend_repeat(&self, kind: RepeatKind) -> bool {
        let ends = Instant::now() + REPEAT_PATIENCE.min(self.job.left());
        while !self.job.may_move() {
            if Instant::now() >= ends {
                break;
            }
            tokio::select! {
                () = sleep(REPEAT_PAUSE) => {}
                // Nothing is sent for a caller that left.
                () = self.tx.closed() => return false,
            }
        }
        self.job.spend_repeat(kind)
    }

    fn cannot_go_on(&self, why: &str) {
        ByReason::Relocations.add("failed");
        note!(
            CannotGoOn,
            attempt = self.job.name(),
            endpoint = self.source.name.as_str(),
            why = why
        );
    }

    /// Chooses where the present engine keeps a standing copy, where one pays.
    pub(super) async fn choose_standing(&mut self) {
        self.standing = None;
        let engine = self.job.service().engine;
        let keeps_copies = engine.is_some_and(|engine| engine.standing_copies);
        let is_long = self.length.rest(self.state.tokens()) >= STANDING_MIN_TOKENS;
        if keeps_copies && is_long {
            let found = self.another_place(CopyKind::Standing).await;
            self.standing = found.map(|(place, in_use)| StandingCopy {
                place,
                _in_use: in_use,
            });
        }
        self.state.set_standing(self.standing.is_some());
    }

    /// Returns another engine with room for a copy.
    async fn another_place(&self, kind: CopyKind) -> Option<(Placement, CopyInUse<W>)> {
        let place = self.job.ask_copy(self.source.key, kind, self.tokens).await;
        if place.is_none() {
            let kind = match kind {
                CopyKind::Standing => "standing",
                CopyKind::Ahead => "ahead",
            };
            note!(
                NoRoomForCopy,
                attempt = self.job.name(),
                source = self.source.name.as_str(),
                kind = kind,
                need = self.tokens
            );
        }
        place
    }
}
