//! One generation from its engine to its caller, across engines if need be.
//!
//! # What is kept
//!
//! - Whole events only, with numbers that follow each other without a gap. What
//!   a second engine sends again is dropped; a gap ends the stream.
//! - One engine at work: the connection to the old engine is closed before the
//!   generation is asked for elsewhere.
//! - A generation goes on only from its own memory, never from its beginning:
//!   two generations of one prompt differ.
//!
//! `docs/design/relocation.md` weighs when a generation leaves its engine.

mod ahead;
mod pace;
mod upstream;

use crate::answer::{AnswerBody, BrokenOff, Reason, refuse};
use crate::cx::{Cx, Open};
use crate::events::{Event, EventSplitter};
use crate::job::{CopyInUse, InUse, Job};
use crate::link::{Link, LinkError};
use crate::meters::{ByReason, Histogram, millis};
use crate::note;
use crate::ports::{EngineCalls, Moved, Resume, SendHead, WholeAnswer, Wire};
use crate::stream::Piece;
use ahead::{CopyAhead, StandingCopy};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use oriolemux_core::gateway::choose::CopyKind;
use oriolemux_core::gateway::lengths::Length;
use oriolemux_core::gateway::relocation::{
    Delivery, GoOnFrom, Relocation, STANDING_MIN_TOKENS, Step, View, silence_limit,
};
use oriolemux_core::gateway::state::Place;
use pace::Pace;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};
use upstream::{Begun, Pause, Upstream, sleep_until};

/// Events after which a generation's memory is counted anew: about every half second.
const RECOUNT_EVENTS: u64 = 16;

/// The largest answer that is no stream.
const MAX_ANSWER: usize = 1024 * 1024;

/// How a generation began.
pub enum Started<W> {
    /// Events come.
    Streaming {
        /// The status.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
    },
    /// The engine gave a final answer without events.
    Answer(WholeAnswer),
    /// The gateway gave a final answer.
    Refused(Response<AnswerBody>),
    /// The engine did not run it.
    NotRun {
        /// The request.
        job: Box<Job<W>>,
        /// Whether it reached the engine, and so counts among the repeats when it is
        /// sent once more.
        arrived: bool,
    },
}

/// One generation.
pub struct Relay<W: Wire, E: EngineCalls> {
    job: Job<W>,
    engines: E,
    source: Place,
    in_use: InUse<W>,
    length: Length,
    /// The memory that the generation is counted with.
    tokens: u32,
    state: Relocation,
    standing: Option<StandingCopy<W>>,
    ahead: Option<CopyAhead<W, E>>,
    splitter: EventSplitter,
    pace: Pace,
    tx: mpsc::Sender<Piece>,
}

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Makes the relay of a generation that is to be sent to `source`.
    pub fn new(
        job: Job<W>,
        engines: E,
        source: Place,
        in_use: InUse<W>,
        length: Length,
        tx: mpsc::Sender<Piece>,
    ) -> Self {
        let tokens = job.expected_memory(length, 0);
        let pace = Pace::new(job.arrived.elapsed());
        let entry = job.entry();
        let silence = silence_limit(entry.target, entry.gap_target);
        Relay {
            job,
            engines,
            source,
            in_use,
            length,
            tokens,
            state: Relocation::new(silence),
            standing: None,
            ahead: None,
            splitter: EventSplitter::default(),
            pace,
            tx,
        }
    }

    /// Runs the relay as a task; it ends when the caller leaves.
    pub fn spawn(self) -> oneshot::Receiver<Started<W>> {
        let (started, rx) = oneshot::channel();
        tokio::spawn(async move {
            let _open = self.job.cx.count(Open::Generation);
            self.run(started).await;
        });
        rx
    }

    async fn run(mut self, mut started: oneshot::Sender<Started<W>>) {
        let begun = tokio::select! {
            begun = self.begin() => begun,
            () = started.closed() => {
                self.log_end("caller_left_early");
                return;
            }
        };
        let upstream = match begun {
            Begun::Stream {
                upstream,
                status,
                headers,
            } => {
                // A caller that left meanwhile is noticed by its closed channel.
                let _ = started.send(Started::Streaming { status, headers });
                upstream
            }
            Begun::Ended(answer) => {
                let _ = started.send(Started::Answer(answer));
                return;
            }
            Begun::NotRun { arrived } => {
                let job = Box::new(self.job);
                let _ = started.send(Started::NotRun { job, arrived });
                return;
            }
            Begun::Failed(reason) => {
                self.log_end(&reason.to_string());
                let _ = started.send(Started::Refused(refuse(reason, self.job.left())));
                return;
            }
        };
        self.follow(upstream).await;
    }

    /// Sends the request and waits for the head of its answer. If its engine breaks
    /// before that, the generation may go on from its standing copy: where that holds
    /// nothing, it does not run there, and its outcome stays unknown.
    async fn begin(&mut self) -> Begun {
        self.choose_standing();
        let limit = self.job.left();
        let sent = tokio::time::timeout(limit, self.send(None)).await;
        let error = match sent {
            Err(_) => return Begun::Failed(Reason::Timeout),
            Ok(Ok((link, answer))) => return self.read_head(link, answer).await,
            Ok(Err(error)) => error,
        };
        if error.never_sent() {
            self.job.note_unreachable(&self.source);
            return Begun::NotRun { arrived: false };
        }
        self.job.note_failure(&self.source);
        log::debug!("a generation was lost before its first event: {error}");
        match self.go_on_from_standing().await {
            Some(begun @ Begun::Stream { .. }) => begun,
            _ => Begun::Failed(Reason::AnswerLost),
        }
    }

    async fn read_head(&mut self, link: Link, answer: Response<Incoming>) -> Begun {
        let (parts, body) = answer.into_parts();
        let attempt = self.job.head.attempt.as_deref();
        let wire = &self.job.cx.wire;
        let head = wire.answer_head(parts.status, &parts.headers, attempt);
        if head.foreign {
            return Begun::Failed(Reason::AnswerForeign);
        }
        if head.replaced {
            self.job.note_replaced(&self.source);
        }
        if head.not_run {
            return Begun::NotRun { arrived: true };
        }
        let mut headers = parts.headers;
        wire.strip_answer(&mut headers);
        if parts.status.is_success() {
            return Begun::Stream {
                upstream: Upstream { link, body },
                status: parts.status,
                headers,
            };
        }
        let collected = Limited::new(body, MAX_ANSWER).collect();
        match tokio::time::timeout(self.job.left(), collected).await {
            Ok(Ok(body)) => Begun::Ended(WholeAnswer {
                status: parts.status,
                headers,
                body: body.to_bytes(),
            }),
            _ => Begun::Failed(Reason::AnswerLost),
        }
    }

    /// Passes events on until the stream ends, moving to other engines on the way.
    async fn follow(mut self, mut upstream: Upstream) {
        loop {
            let pause = self.pass_events(&mut upstream).await;
            let next = match pause {
                Pause::End => {
                    self.finish();
                    return;
                }
                Pause::CallerGone => {
                    self.log_end("caller_left");
                    return;
                }
                Pause::Timeout => return self.break_off("timeout").await,
                Pause::Gap => return self.break_off("event_missing").await,
                Pause::Leave => {
                    upstream.link.close().await;
                    self.leave().await
                }
                Pause::Broken => {
                    upstream.link.close().await;
                    self.job.note_failure(&self.source);
                    self.leave().await
                }
            };
            match next {
                Some(Begun::Stream { upstream: next, .. }) => upstream = next,
                _ => return self.break_off("no_copy").await,
            }
        }
    }

    async fn pass_events(&mut self, upstream: &mut Upstream) -> Pause {
        loop {
            while let Some(event) = self.splitter.next_event() {
                if let Some(pause) = self.pass_on(event).await {
                    return pause;
                }
            }
            let cx = Arc::clone(&self.job.cx);
            let mut departures = core::pin::pin!(cx.departures.notified());
            departures.as_mut().enable();
            let wait = match self.next_step() {
                Step::CopyAhead => {
                    self.copy_ahead();
                    continue;
                }
                Step::Leave => return Pause::Leave,
                Step::GiveUp => return Pause::Broken,
                Step::Wait(until) => cx.clock.instant(until),
            };
            tokio::select! {
                moved = ahead::ended(&mut self.ahead) => self.on_copied_ahead(moved),
                frame = upstream.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        self.state.on_bytes(cx.now());
                        let data = frame.into_data().unwrap_or_default();
                        if !self.splitter.push(&data) {
                            return Pause::Broken;
                        }
                    }
                    Some(Err(error)) => {
                        log::debug!("a generation's connection broke: {error}");
                        return Pause::Broken;
                    }
                    None if self.splitter.has_rest() => return Pause::Broken,
                    None => return Pause::End,
                },
                () = self.tx.closed() => return Pause::CallerGone,
                () = tokio::time::sleep_until(self.job.ends.into()) => return Pause::Timeout,
                () = sleep_until(wait) => {}
                () = departures => {}
            }
        }
    }

    /// Passes one event on, unless the caller holds it already. A caller that takes
    /// nothing holds the generation up no longer than its time.
    async fn pass_on(&mut self, event: Event) -> Option<Pause> {
        let now = self.job.cx.now();
        let is_first_here = !self.state.has_begun_here();
        match self.state.on_event(now, event.id) {
            Delivery::Pass => {}
            Delivery::Again => return None,
            Delivery::Gap => return Some(Pause::Gap),
        }
        if is_first_here {
            self.job.cx.state().endpoints.on_answer(self.source.key);
            self.in_use.first_byte();
        }
        self.pace.on_event(Instant::now());
        self.recount();
        let sent = self.tx.send(Ok(event.bytes));
        match tokio::time::timeout_at(self.job.ends.into(), sent).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(Pause::CallerGone),
            Err(_) => Some(Pause::Timeout),
        }
    }

    fn next_step(&self) -> Step {
        let cx = &self.job.cx;
        let now = cx.now();
        let standing = self.standing.as_ref().map(|copy| copy.place.key);
        let ahead = self.ahead.as_ref().map(|ahead| ahead.target.key);
        let state = cx.state();
        let standing_takes_work = standing.is_some_and(|key| state.takes_work(key));
        let target = match self.state.go_on_from(now, standing_takes_work) {
            Some(GoOnFrom::Ahead) => ahead,
            Some(GoOnFrom::Standing) => standing,
            None => None,
        };
        let leaving = state.leaving_since(self.source.key);
        let view = View {
            leaves_for: leaving.map(|since| now.since(since)),
            standing_takes_work,
            target_is_quiet: target.is_some_and(|key| state.is_quiet(now, key)),
        };
        self.state.next(now, &view)
    }

    /// Copies the memory to another engine while the generation goes on, or brings
    /// that copy up to date.
    fn copy_ahead(&mut self) {
        let now = self.job.cx.now();
        if self.ahead.is_none() {
            let Some(target) = self.another_place(CopyKind::Ahead) else {
                self.state.ahead_impossible(now);
                return;
            };
            let in_use = CopyInUse::begin(&self.job.cx, target.key, self.tokens);
            let engines = self.engines.clone();
            self.ahead = Some(CopyAhead::new(engines, self.source.address, target, in_use));
        }
        if let Some(ahead) = &mut self.ahead {
            ahead.begin(self.job.name());
            self.state.ahead_begun(now);
        }
    }

    fn on_copied_ahead(&mut self, moved: Moved) {
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
    async fn leave(&mut self) -> Option<Begun> {
        let standing = self.standing.take();
        if let Some(begun @ Begun::Stream { .. }) = self.go_on_from_ahead().await {
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
        let source = self.source.address;
        Some(self.go_on(target, source, &handle).await)
    }

    /// Goes on where the standing copy is kept, if there is one.
    async fn go_on_from_standing(&mut self) -> Option<Begun> {
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
    async fn go_on(&mut self, target: Place, keeper: SocketAddrV4, handle: &str) -> Begun {
        self.splitter.clear();
        self.state.moved(self.job.cx.now());
        self.note_repeat();
        self.in_use = InUse::go_on(&self.job.cx, target.key, self.tokens);
        self.source = target;
        self.choose_standing();
        let resume = Resume {
            keeper,
            handle,
            last_event: self.state.last_event().unwrap_or(0),
        };
        let limit = self.job.left();
        let sent = tokio::time::timeout(limit, self.send(Some(resume))).await;
        let begun = match sent {
            Ok(Ok((link, answer))) => self.read_head(link, answer).await,
            Ok(Err(error)) => {
                log::debug!("a generation could not go on: {error}");
                self.job.note_failure(&self.source);
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
    fn choose_standing(&mut self) {
        self.standing = None;
        let engine = self.job.service().engine;
        let keeps_copies = engine.is_some_and(|engine| engine.standing_copies);
        let is_long = self.length.rest(self.state.tokens()) >= STANDING_MIN_TOKENS;
        if keeps_copies && is_long {
            let cx = &self.job.cx;
            self.standing = self
                .another_place(CopyKind::Standing)
                .map(|place| StandingCopy {
                    _in_use: CopyInUse::begin(cx, place.key, self.tokens),
                    place,
                });
        }
        self.state.set_standing(self.standing.is_some());
    }

    /// Returns another engine with room for a copy.
    fn another_place(&self, kind: CopyKind) -> Option<Place> {
        let cx = &self.job.cx;
        let now = cx.now();
        let mut state = cx.state();
        let demand = self.job.demand(self.tokens, &[]);
        let place = state.copy_place(now, &demand, self.source.key, kind);
        drop(state);
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

    async fn send(
        &self,
        resume: Option<Resume<'_>>,
    ) -> Result<(Link, Response<Incoming>), LinkError> {
        let send = SendHead {
            deadline: self.job.left(),
            endpoint: &self.source.name,
            workspace: self.job.workspace_name(),
            priority: Some(self.job.priority()),
            copy_to: self.standing.as_ref().map(|copy| copy.place.address),
            resume,
        };
        self.job.send(&self.source, &send).await
    }

    fn note_repeat(&self) {
        let cx: &Cx<W> = &self.job.cx;
        let now = cx.now();
        let service = &self.job.service().name;
        cx.state().budget.note_repeat(now, service);
    }

    /// Counts the memory anew as the generation grows.
    fn recount(&mut self) {
        if self.state.events().is_multiple_of(RECOUNT_EVENTS) {
            let made = self.state.tokens();
            self.tokens = self.job.expected_memory(self.length, made);
            self.in_use.adjust(self.tokens);
        }
    }

    fn finish(&mut self) {
        let cx = &self.job.cx;
        let mut state = cx.state();
        state.endpoints.on_success(self.source.key);
        state
            .lengths
            .learn(&self.job.entry().name, self.state.tokens());
        drop(state);
        self.log_end("complete");
    }

    /// Ends the caller's stream without the mark of a complete one.
    async fn break_off(&mut self, why: &str) {
        self.log_end(why);
        // A caller that left meanwhile needs no end.
        let _ = self.tx.send(Err(BrokenOff)).await;
    }

    fn log_end(&self, how: &str) {
        let entry = self.job.entry();
        let seen = self.pace.seen(self.job.arrived);
        seen.record();
        ByReason::Generations.add(how);
        Histogram::Generation.record(self.job.arrived.elapsed());
        note!(
            GenerationEnded,
            attempt = self.job.name(),
            entry = entry.name.as_str(),
            endpoint = self.source.name.as_str(),
            events = self.state.events(),
            moves = self.state.moves(),
            late = seen.is_late(entry),
            wait_ms = seen.waited_ms,
            first_ms = seen.first_ms,
            pause_ms = seen.pause_ms,
            ms = millis(self.job.arrived.elapsed()),
            how = how
        );
    }
}
