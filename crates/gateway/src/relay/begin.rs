//! How a generation begins: until the head of an engine's answer is there.

use super::upstream::{Begun, Upstream, sleep_until};
use super::{MAX_ANSWER, Relay};
use crate::answer::Reason;
use crate::ask::PlaceRequest;
use crate::job::{AT_ONCE, InUse};
use crate::link::{Link, LinkError};
use crate::note;
use crate::ports::{EngineCalls, KeptCopy, Resume, SendHead, WholeAnswer, Wire};
use core::time::Duration;
use http::Response;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use oriolemux_core::gateway::ask::Want;
use oriolemux_core::gateway::budget::RepeatKind;
use oriolemux_core::gateway::relocation::take_back_after;
use oriolemux_core::gateway::state::Placement;
use std::net::SocketAddrV4;
use std::time::Instant;

/// The pause before an engine with room is looked for again.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// What an engine that was sent the request did.
enum Asked<W: Wire> {
    /// It answered, or its connection failed.
    Sent(Result<(Link, Response<Incoming>), LinkError>),
    /// The time of the request was over.
    Timeout,
    /// It was refused while it was there, because it ended too many engines.
    Refused,
    /// It made the request wait, and another engine has room.
    TakenBack(Placement, InUse<W>),
}

impl<W: Wire, E: EngineCalls> Relay<W, E> {
    /// Sends the request and waits for the head of its answer.
    ///
    /// If its engine breaks before that, nothing is asked of the engine that is to keep its
    /// copy. Memory is copied as it grows, so that there is none; and an engine that fails by
    /// itself when it is asked would have run a second time what may run once.
    pub(super) async fn begin(&mut self) -> Begun {
        self.choose_standing().await;
        let error = loop {
            match self.ask().await {
                Asked::Timeout => return Begun::Failed(Reason::Timeout),
                Asked::Refused => return Begun::Failed(self.job.note_refused()),
                Asked::Sent(Ok((link, answer))) => return self.read_head(link, answer).await,
                Asked::Sent(Err(error)) => break error,
                Asked::TakenBack(place, in_use) => self.take_back(place, in_use).await,
            }
        };
        if error.never_sent() {
            if !matches!(error, LinkError::Withdrawn) {
                self.job.note_unreachable(&self.source);
            }
            return Begun::NotRun { arrived: false };
        }
        self.job.note_failure(&self.source);
        self.job.note_broken(&self.source, None).await;
        log::debug!("a generation was lost before its first event: {error}");
        match self.job.is_refused() {
            true => Begun::Failed(self.job.note_refused()),
            false => Begun::Failed(Reason::AnswerLost),
        }
    }

    /// Sends the request to the present engine and waits for the head of its answer.
    ///
    /// Dropping the wait closes the connection, so that a request that is taken back is
    /// cancelled before it is sent elsewhere.
    async fn ask(&self) -> Asked<W> {
        let mut sent = core::pin::pin!(self.send(None));
        let mut look = self.may_run_again().then(|| self.take_back_at());
        let cx = &self.job.cx;
        let mut is_cordoned = false;
        loop {
            let mut departures = core::pin::pin!(cx.departures.notified());
            departures.as_mut().enable();
            if !is_cordoned && cx.state().endpoints.is_cordoned(self.source.key) {
                is_cordoned = true;
                look = look.map(|_| Instant::now());
            }
            tokio::select! {
                sent = &mut sent => return Asked::Sent(sent),
                () = tokio::time::sleep_until(self.job.ends.into()) => return Asked::Timeout,
                () = self.job.refused() => return Asked::Refused,
                () = departures => {}
                () = sleep_until(look) => {
                    if let Some((place, in_use)) = self.engine_with_room().await {
                        return Asked::TakenBack(place, in_use);
                    }
                    look = Some(Instant::now() + LOOK_AGAIN);
                }
            }
        }
    }

    fn take_back_at(&self) -> Instant {
        Instant::now() + take_back_after(self.job.entry().target)
    }

    /// Returns whether the generation may begin, or go on without a copy, at one engine more.
    pub(super) fn may_run_again(&self) -> bool {
        !self.attempts.next_is_last(self.job.entry())
    }

    /// Returns an engine with room that was not tried, if the fleet's repeats allow it.
    pub(super) async fn engine_with_room(&self) -> Option<(Placement, InUse<W>)> {
        let mut tried = self.attempts.tried().to_vec();
        tried.push(self.source.key);
        let asked = PlaceRequest {
            want: Want::Aside,
            tokens: self.tokens,
            exclude: &tried,
        };
        let until = Instant::now() + AT_ONCE;
        let chosen = self.job.ask_place(asked, until).await.ok()?;
        self.job
            .spend_repeat(RepeatKind::ReadAnew)
            .then_some(chosen)
    }

    async fn take_back(&mut self, place: Placement, in_use: InUse<W>) {
        note!(
            TakenBack,
            attempt = self.job.name(),
            from = self.source.name.as_str(),
            to = place.name.as_str(),
            ms = self.job.arrived.elapsed().as_millis() as u64
        );
        self.settle_at(place, in_use).await;
    }

    /// Makes `place` the present engine; the generation may have run at the one before.
    pub(super) async fn settle_at(&mut self, place: Placement, in_use: InUse<W>) {
        self.attempts.note_run(self.source.key);
        self.in_use = in_use;
        self.source = place;
        self.choose_standing().await;
    }

    pub(super) async fn read_head(&mut self, link: Link, answer: Response<Incoming>) -> Begun {
        let (parts, body) = answer.into_parts();
        let attempt = self.job.head.attempt.as_deref();
        let wire = &self.job.cx.wire;
        let head = wire.answer_head(parts.status, &parts.headers, attempt);
        if head.foreign {
            return Begun::Failed(Reason::AnswerForeign);
        }
        self.job.note_head(&self.source, &head, link.sent);
        if head.not_run {
            return Begun::NotRun { arrived: true };
        }
        let mut headers = parts.headers;
        wire.strip_answer(&mut headers);
        if parts.status.is_success() {
            self.begun = Some(Instant::now());
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

    /// Returns where the present engine is to keep a standing copy, unless that engine was
    /// withdrawn since it was chosen.
    fn standing_address(&self) -> Option<SocketAddrV4> {
        let place = &self.standing.as_ref()?.place;
        let state = self.job.cx.state();
        state.is_usable(place.key).then_some(place.address)
    }

    /// Sends the request to the present engine, to go on from `copy` if there is one.
    pub(super) async fn send(
        &self,
        copy: Option<KeptCopy<'_>>,
    ) -> Result<(Link, Response<Incoming>), LinkError> {
        let last_event = self.state.last_event();
        let goes_on = copy.is_some() || last_event.is_some();
        let send = SendHead {
            deadline: self.job.left(),
            endpoint: &self.source.name,
            workspace: self.job.workspace_name(),
            priority: Some(self.job.priority()),
            copy_to: self.standing_address(),
            resume: goes_on.then(|| Resume {
                copy,
                last_event: last_event.unwrap_or(0),
            }),
        };
        self.job.send(&self.source, &send).await
    }
}
