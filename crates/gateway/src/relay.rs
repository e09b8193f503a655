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

use crate::answer::{AnswerBody, BrokenOff, Reason, refuse};
use crate::cx::{Cx, Open};
use crate::events::{Event, EventSplitter};
use crate::job::{CopyInUse, InUse, Job};
use crate::link::{Link, LinkError};
use crate::note;
use crate::ports::{EngineCalls, Moved, Resume, SendHead, WholeAnswer, Wire};
use crate::stream::Piece;
use core::time::Duration;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use oriolemux_core::gateway::Demand;
use oriolemux_core::gateway::choose::CopyKind;
use oriolemux_core::gateway::lengths::Length;
use oriolemux_core::gateway::state::Place;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

/// How long after the notice a generation leaves its engine. Many end by then, and
/// those that began shortly before it have a copy by then; an engine goes 1.5 s
/// after its notice at the soonest.
const LEAVE_AFTER: Duration = Duration::from_millis(1_100);

/// How much sooner a generation may leave, if no prompt waits where it goes on: one
/// that is read there at the same time delays it by its whole length.
const LEAVE_EARLY: Duration = Duration::from_millis(400);

/// How often a generation that may leave looks whether its target is quiet.
const QUIET_LOOK: Duration = Duration::from_millis(20);

/// An engine that sent events and is then silent for this long is given up. A
/// generation that was preempted is read in again in less.
const SILENCE: Duration = Duration::from_millis(1_200);

/// Generations expected to be shorter than this have no standing copy: they end
/// within the notice of an engine that leaves.
const COPY_MIN_TOKENS: u32 = 64;

/// How old a copy ahead may be before it is brought up to date. What it lacks is
/// read anew where the generation goes on: some 40 tokens, or 3 ms, for this time.
const REFRESH_AFTER: Duration = Duration::from_millis(300);

/// How long after an engine's first event a standing copy is believed to be there: the
/// memory of the prompt takes some 0.4 s on the link, behind that of others.
const COPY_SETTLES: Duration = Duration::from_millis(1_300);

/// How long a copy ahead of a move may take: moves queue on the links of both
/// engines, and no notice is much longer.
const AHEAD_LIMIT: Duration = Duration::from_millis(2_500);

/// How long the call that frees a copy may take.
const FREE_LIMIT: Duration = Duration::from_millis(500);

/// The pause before a copy ahead is tried again, for example because the
/// generation had not begun.
const AHEAD_PAUSE: Duration = Duration::from_millis(60);

/// Copies ahead that one generation tries at one engine.
const MAX_AHEAD: u32 = 12;

/// Events after which a generation's memory is counted anew: about every half second.
const RECOUNT_EVENTS: u64 = 16;

/// How many engines one generation may go through.
const MAX_MOVES: u32 = 8;

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
    NotRun(Box<Job<W>>),
}

/// Where a copy of the generation's memory is kept.
struct StandingCopy<W: Wire> {
    place: Place,
    _in_use: CopyInUse<W>,
}

/// A copy that is made while the generation still runs at an engine that leaves.
///
/// Dropping it frees the copy. What goes wrong otherwise: a generation that ends
/// before it leaves holds memory at an engine for seconds that nobody uses, seen as
/// prompts that wait for room at engines with few generations.
struct CopyAhead<W: Wire, E: EngineCalls> {
    engines: E,
    source: SocketAddrV4,
    target: Place,
    /// The call under way.
    task: Option<JoinHandle<Moved>>,
    /// The copy's name, once it is complete, and when it became so.
    complete: Option<(String, Instant)>,
    /// Set once a generation goes on from it.
    used: bool,
    _in_use: CopyInUse<W>,
}

impl<W: Wire, E: EngineCalls> Drop for CopyAhead<W, E> {
    fn drop(&mut self) {
        let (task, complete) = (self.task.take(), self.complete.take());
        if self.used || (task.is_none() && complete.is_none()) {
            return;
        }
        let (engines, source) = (self.engines.clone(), self.source);
        tokio::spawn(async move {
            let moved = match task {
                Some(task) => task.await.unwrap_or(Moved::NoAnswer),
                None => Moved::NoAnswer,
            };
            let name = match moved {
                Moved::Done { handle } => Some(handle),
                _ => complete.map(|(handle, _)| handle),
            };
            if let Some(handle) = name {
                engines.free_copy(source, &handle, FREE_LIMIT).await;
            }
        });
    }
}

/// How the events came, for those who ask later why a stream was late.
#[derive(Clone, Copy, Debug, Default)]
struct Pace {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_pause: Duration,
}

impl Pace {
    fn on_event(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        if let Some(last) = self.last {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        self.last = Some(now);
    }
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
    copy: Option<StandingCopy<W>>,
    ahead: Option<CopyAhead<W, E>>,
    /// Copies ahead that were tried at the present engine.
    ahead_tries: u32,
    /// When the next copy ahead may be tried.
    ahead_from: Instant,
    splitter: EventSplitter,
    last_event: Option<u64>,
    events: u64,
    /// When the first event of the present engine came. Its standing copy began then,
    /// also where the generation went on from another engine.
    first_here: Option<Instant>,
    pace: Pace,
    /// How long the request waited here for room at an engine.
    waited: Duration,
    moves: u32,
    tx: mpsc::Sender<Piece>,
}

/// The open connection that events come on.
struct Upstream {
    _link: Link,
    body: Incoming,
    heard: Instant,
}

/// Why the relay stopped to read from an engine.
enum Pause {
    /// The stream came to its end.
    End,
    /// The caller left.
    CallerGone,
    /// The engine leaves and it is time to go.
    Leave,
    /// The connection broke, the engine fell silent or sent what is no stream.
    Broken,
    /// Time is over.
    Timeout,
    /// An event is missing.
    Gap,
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
        let waited = job.arrived.elapsed();
        Relay {
            job,
            engines,
            source,
            in_use,
            length,
            tokens,
            copy: None,
            ahead: None,
            ahead_tries: 0,
            ahead_from: Instant::now(),
            splitter: EventSplitter::default(),
            last_event: None,
            events: 0,
            first_here: None,
            pace: Pace::default(),
            waited,
            moves: 0,
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
            Begun::NotRun => {
                let _ = started.send(Started::NotRun(Box::new(self.job)));
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

    /// Sends the request and waits for the head of its answer.
    async fn begin(&mut self) -> Begun {
        self.choose_copy();
        let limit = self.job.left();
        let sent = tokio::time::timeout(limit, self.send(None)).await;
        let (link, answer) = match sent {
            Err(_) => return Begun::Failed(Reason::Timeout),
            Ok(Err(error)) if error.never_sent() => {
                self.note_failure();
                return Begun::NotRun;
            }
            Ok(Err(error)) => {
                log::debug!("a generation was lost before its first event: {error}");
                self.note_failure();
                return Begun::Failed(Reason::AnswerLost);
            }
            Ok(Ok(sent)) => sent,
        };
        self.read_head(link, answer).await
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
            self.note_replaced();
        }
        if head.not_run {
            return Begun::NotRun;
        }
        let mut headers = parts.headers;
        wire.strip_answer(&mut headers);
        if parts.status.is_success() {
            return Begun::Stream {
                upstream: Upstream {
                    _link: link,
                    body,
                    heard: Instant::now(),
                },
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
                Pause::Leave => self.leave(upstream).await,
                Pause::Broken => {
                    drop(upstream);
                    self.note_failure();
                    self.go_on_from_copy().await
                }
            };
            match next {
                Some(next) => upstream = next,
                None => return self.break_off("no_copy").await,
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
            let ahead_at = self.ahead_at();
            let leave_at = self.leave_at();
            let silent_at = self.silent_at(upstream);
            tokio::select! {
                moved = copied_ahead(&mut self.ahead) => self.on_copied_ahead(moved),
                () = sleep_until(ahead_at) => self.copy_ahead(),
                frame = upstream.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        upstream.heard = Instant::now();
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
                () = sleep_until(leave_at) => {
                    if self.must_leave() {
                        return Pause::Leave;
                    }
                }
                () = sleep_until(silent_at) => return Pause::Broken,
                () = departures => {}
            }
        }
    }

    /// Passes one event on, unless the caller holds it already.
    async fn pass_on(&mut self, event: Event) -> Option<Pause> {
        if let (Some(id), Some(last)) = (event.id, self.last_event) {
            if id <= last {
                return None;
            }
            if id > last + 1 {
                return Some(Pause::Gap);
            }
        }
        self.in_use.first_byte();
        self.events += 1;
        let now = Instant::now();
        self.first_here.get_or_insert(now);
        self.pace.on_event(now);
        self.last_event = event.id.or(self.last_event);
        self.recount();
        match self.tx.send(Ok(event.bytes)).await {
            Ok(()) => None,
            Err(_) => Some(Pause::CallerGone),
        }
    }

    /// Returns when the generation leaves its engine, if that engine is leaving and a
    /// copy to go on from is there.
    fn leave_at(&self) -> Option<Instant> {
        self.last_event?;
        let target = self.target()?;
        let waited = self.source_leaves_for()?;
        let now = Instant::now();
        let latest = now + LEAVE_AFTER.saturating_sub(waited);
        let earliest = latest.checked_sub(LEAVE_EARLY).unwrap_or(now);
        if now < earliest {
            return Some(earliest);
        }
        let cx = &self.job.cx;
        match cx.state().is_quiet(cx.now(), target.key) {
            true => Some(now),
            false => Some(latest.min(now + QUIET_LOOK)),
        }
    }

    /// Returns whether it is time to leave now.
    fn must_leave(&self) -> bool {
        self.leave_at().is_some_and(|at| at <= Instant::now())
    }

    /// Returns where the generation would go on.
    fn target(&self) -> Option<&Place> {
        match &self.ahead {
            Some(ahead) if ahead.complete.is_some() => Some(&ahead.target),
            _ if self.copy_is_usable() => self.copy.as_ref().map(|copy| &copy.place),
            _ => None,
        }
    }

    /// Returns for how long the engine is known to leave, if the generation may move.
    fn source_leaves_for(&self) -> Option<Duration> {
        if self.moves >= MAX_MOVES {
            return None;
        }
        let cx = &self.job.cx;
        let since = cx.state().leaving_since(self.source.key)?;
        Some(cx.now().since(since))
    }

    /// Returns when a copy ahead is begun, or brought up to date.
    fn ahead_at(&self) -> Option<Instant> {
        if self.last_event.is_none() || self.ahead_tries >= MAX_AHEAD {
            return None;
        }
        self.source_leaves_for()?;
        match &self.ahead {
            None if self.copy_is_usable() => None,
            None => Some(self.ahead_from),
            Some(ahead) if ahead.task.is_some() => None,
            Some(ahead) => {
                let (_, since) = ahead.complete.as_ref()?;
                Some(*since + REFRESH_AFTER)
            }
        }
    }

    /// Copies the memory to another engine while the generation goes on, or brings
    /// that copy up to date.
    fn copy_ahead(&mut self) {
        self.ahead_from = Instant::now() + AHEAD_PAUSE;
        if self.ahead.is_none() {
            let Some(target) = self.another_place() else {
                return;
            };
            self.ahead = Some(CopyAhead {
                engines: self.engines.clone(),
                source: self.source.address,
                _in_use: CopyInUse::begin(&self.job.cx, target.key, self.tokens),
                target,
                task: None,
                complete: None,
                used: false,
            });
        }
        self.ahead_tries += 1;
        let (engines, source) = (self.engines.clone(), self.source.address);
        let attempt = self.job.name().to_owned();
        if let Some(ahead) = &mut self.ahead {
            let target = ahead.target.address;
            ahead.task = Some(tokio::spawn(async move {
                engines
                    .move_run(source, &attempt, target, false, AHEAD_LIMIT)
                    .await
            }));
        }
    }

    fn on_copied_ahead(&mut self, moved: Moved) {
        let how = format!("{moved:?}");
        note!(
            CopiedAhead,
            attempt = self.job.name(),
            from = self.source.name.as_str(),
            how = how.as_str(),
            event_id = self.last_event
        );
        let Some(ahead) = &mut self.ahead else { return };
        ahead.task = None;
        match moved {
            Moved::Done { handle } => ahead.complete = Some((handle, Instant::now())),
            // A copy that was complete stays usable when it cannot be brought up to date.
            _ => match &mut ahead.complete {
                Some((_, since)) => *since = Instant::now(),
                None => self.ahead = None,
            },
        }
    }

    fn silent_at(&self, upstream: &Upstream) -> Option<Instant> {
        self.last_event?;
        Some(upstream.heard + SILENCE)
    }

    /// Leaves an engine that is still there. Its connection is closed first: the
    /// generation must not run at two engines.
    async fn leave(&mut self, upstream: Upstream) -> Option<Upstream> {
        drop(upstream);
        self.splitter.clear();
        let ahead = self.ahead.take();
        let Some(mut ahead) = ahead.filter(|ahead| ahead.complete.is_some()) else {
            return self.go_on_from_copy().await;
        };
        ahead.used = true;
        let (handle, _) = ahead.complete.as_ref()?;
        let target = ahead.target.clone();
        note!(
            GoesOnFromAhead,
            attempt = self.job.name(),
            from = self.source.name.as_str(),
            to = target.name.as_str(),
            event_id = self.last_event
        );
        let source = self.source.address;
        self.go_on(target, source, handle).await
    }

    fn copy_is_usable(&self) -> bool {
        let settled = self
            .first_here
            .is_some_and(|first| first.elapsed() >= COPY_SETTLES);
        let copy = self.copy.as_ref().filter(|_| settled);
        copy.is_some_and(|copy| self.job.cx.state().takes_work(copy.place.key))
    }

    /// Goes on where the standing copy is kept.
    async fn go_on_from_copy(&mut self) -> Option<Upstream> {
        self.splitter.clear();
        let copy = self.copy.take()?;
        let attempt = self.job.name().to_owned();
        let address = copy.place.address;
        note!(
            GoesOnFromCopy,
            attempt = attempt.as_str(),
            from = self.source.name.as_str(),
            to = copy.place.name.as_str(),
            event_id = self.last_event
        );
        self.go_on(copy.place.clone(), address, &attempt).await
    }

    /// Asks `target` to go on with the generation whose memory `keeper` holds.
    async fn go_on(
        &mut self,
        target: Place,
        keeper: SocketAddrV4,
        handle: &str,
    ) -> Option<Upstream> {
        self.moves += 1;
        self.ahead = None;
        self.ahead_tries = 0;
        self.first_here = None;
        self.note_repeat();
        self.move_use(target);
        self.choose_copy();
        let resume = Resume {
            keeper,
            handle,
            last_event: self.last_event.unwrap_or(0),
        };
        let limit = self.job.left();
        let sent = tokio::time::timeout(limit, self.send(Some(resume))).await;
        let (link, answer) = match sent {
            Ok(Ok(sent)) => sent,
            Ok(Err(error)) => {
                log::debug!("a generation could not go on: {error}");
                return None;
            }
            Err(_) => return None,
        };
        match self.read_head(link, answer).await {
            Begun::Stream { upstream, .. } => Some(upstream),
            Begun::Ended(answer) => self.cannot_go_on(answer.status.as_str()),
            Begun::NotRun => self.cannot_go_on("not_run"),
            Begun::Failed(reason) => self.cannot_go_on(&reason.to_string()),
        }
    }

    fn cannot_go_on(&self, why: &str) -> Option<Upstream> {
        note!(
            CannotGoOn,
            attempt = self.job.name(),
            endpoint = self.source.name.as_str(),
            why = why
        );
        None
    }

    /// Counts the generation at its new engine.
    fn move_use(&mut self, target: Place) {
        let cx = &self.job.cx;
        self.in_use = InUse::go_on(cx, target.key, self.tokens);
        self.source = target;
    }

    fn choose_copy(&mut self) {
        self.copy = None;
        let Some(engine) = self.job.engine() else {
            return;
        };
        let cx = &self.job.cx;
        let mut state = cx.state();
        if !engine.standing_copies || self.length.rest(self.made()) < COPY_MIN_TOKENS {
            return;
        }
        let data_centre = state.data_centre().to_owned();
        let demand = self.demand(&data_centre);
        let now = cx.now();
        let place = state.copy_place(now, &demand, self.source.key, CopyKind::Standing);
        drop(state);
        self.copy = place.map(|place| StandingCopy {
            _in_use: CopyInUse::begin(cx, place.key, self.tokens),
            place,
        });
    }

    /// Returns another engine with room.
    fn another_place(&self) -> Option<Place> {
        let cx = &self.job.cx;
        let now = cx.now();
        let mut state = cx.state();
        let data_centre = state.data_centre().to_owned();
        state.copy_place(
            now,
            &self.demand(&data_centre),
            self.source.key,
            CopyKind::Ahead,
        )
    }

    fn demand<'a>(&'a self, data_centre: &'a str) -> Demand<'a> {
        Demand {
            service: &self.job.service,
            engine: self.job.engine(),
            tokens: self.tokens,
            exclude: &[],
            data_centre,
        }
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
            copy_to: self.copy.as_ref().map(|copy| copy.place.address),
            resume,
        };
        self.job.send(&self.source, &send).await
    }

    fn note_repeat(&self) {
        let cx: &Cx<W> = &self.job.cx;
        let now = cx.now();
        cx.state().budget.note_repeat(now, &self.job.service);
    }

    fn note_failure(&self) {
        let cx = &self.job.cx;
        let now = cx.now();
        if cx.state().endpoints.on_failure(now, self.source.key) {
            note!(EndpointPassedOver, endpoint = self.source.name.as_str());
        }
    }

    fn note_replaced(&self) {
        let cx = &self.job.cx;
        let now = cx.now();
        if cx.state().endpoints.leave(now, self.source.key) {
            cx.tell_leaving(&[self.source.key]);
        }
    }

    /// Returns about how many tokens were made. Events hold several each, and only
    /// their number is seen here; the scale is the same for all generations.
    fn made(&self) -> u32 {
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        events.saturating_mul(TOKENS_PER_EVENT)
    }

    /// Counts the memory anew as the generation grows.
    fn recount(&mut self) {
        if self.events.is_multiple_of(RECOUNT_EVENTS) {
            self.tokens = self.job.expected_memory(self.length, self.made());
            self.in_use.adjust(self.tokens);
        }
    }

    fn finish(&mut self) {
        let cx = &self.job.cx;
        let mut state = cx.state();
        state.endpoints.on_success(self.source.key);
        state.lengths.learn(&self.job.entry().name, self.made());
        drop(state);
        self.log_end("complete");
    }

    /// Ends the caller's stream without the mark of a complete one.
    async fn break_off(&mut self, why: &str) {
        self.log_end(why);
        // A caller that left meanwhile needs no end.
        let _ = self.tx.send(Err(BrokenOff)).await;
    }

    /// Returns whether the first event or a pause took longer than is wanted.
    fn is_late(&self) -> bool {
        let entry = self.job.entry();
        let first = self.pace.first.map(|first| first - self.job.arrived);
        let slow = self.pace.longest_pause > entry.gap_target && !entry.gap_target.is_zero();
        slow || first.is_none_or(|first| first > entry.target)
    }

    fn log_end(&self, how: &str) {
        let late = self.is_late();
        let first = self
            .pace
            .first
            .map_or(0, |first| millis(first - self.job.arrived));
        note!(
            GenerationEnded,
            attempt = self.job.name(),
            entry = self.job.entry().name.as_str(),
            endpoint = self.source.name.as_str(),
            events = self.events,
            moves = self.moves,
            late = late,
            wait_ms = millis(self.waited),
            first_ms = first,
            pause_ms = millis(self.pace.longest_pause),
            ms = millis(self.job.arrived.elapsed()),
            how = how
        );
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Tokens that an engine puts into one event.
const TOKENS_PER_EVENT: u32 = 4;

/// How a request to an engine began.
enum Begun {
    /// Events come.
    Stream {
        upstream: Upstream,
        status: StatusCode,
        headers: HeaderMap,
    },
    /// A final answer without events.
    Ended(WholeAnswer),
    /// The engine did not run it.
    NotRun,
    /// It failed.
    Failed(Reason),
}

/// Waits for the end of a copy ahead; for good if there is none that is under way.
async fn copied_ahead<W: Wire, E: EngineCalls>(ahead: &mut Option<CopyAhead<W, E>>) -> Moved {
    match ahead {
        Some(CopyAhead {
            task: Some(task), ..
        }) => task.await.unwrap_or(Moved::NoAnswer),
        _ => core::future::pending().await,
    }
}

/// Waits until `at`; for good if there is no such time.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => core::future::pending().await,
    }
}
