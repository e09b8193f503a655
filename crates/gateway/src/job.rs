//! One caller request that was matched to an entry and read in full.

use crate::attempts::Attempts;
use crate::awaited_head::AwaitedHead;
use crate::connect::{ConnectGuard, until_partitioned};
use crate::cx::Cx;
use crate::link::{Link, LinkError, MAX_READ_BYTES, PARTITIONED, REFUSED, TIMED_OUT};
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::observe::{ResponseOrigin, log_held};
use crate::placement::{
    OpenPlacement, PlacementFailure, PlacementParams, PlacementProgress, request_placement,
};
use crate::ports::{CallerHead, ForwardHead, LastEventId, ResponseHead, Wire};
use crate::response::{
    Reason, ResponseBody, refuse_until, retry_after, retry_after_backoff, retry_after_elsewhere,
};
use crate::run_lease::RunGuard;
use crate::sent_mark::SentMark;
use crate::signature::UnsignedResponse;
use bytes::Bytes;
use core::time::Duration;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use oriolemux_core::fingerprint::Fingerprint;
use oriolemux_core::gateway::budget::RetryKind;
use oriolemux_core::gateway::catalogue::{Catalogue, HttpEntry, Service, ServiceId, WorkspaceId};
use oriolemux_core::gateway::lengths::{self, LengthEstimate};
use oriolemux_core::gateway::placement::HOME_TIMEOUT;
use oriolemux_core::gateway::request::{
    CopyKind, PaceDemand, PlacementError, PlacementKind, QueuedRequest, service_hash,
    workspace_hash,
};
use oriolemux_core::gateway::state::{Placement, SendKind};
use oriolemux_core::gateway::stream_memory::READ_BYTES;
use oriolemux_core::gateway::usage::Usage;
use oriolemux_core::gateway::{Demand, EntryId, Gateway, RequestKind};
use oriolemux_core::ids::EndpointKey;
use oriolemux_core::time::Time;
use std::sync::Arc;
use std::time::Instant;

/// How long a placement that is needed at once may wait for a home: time for the home and for
/// the next in rank, one after the other.
pub const IMMEDIATE_PLACEMENT_TIMEOUT: Duration = HOME_TIMEOUT.saturating_mul(3);

/// The interval at which a call that is held back from endpoints looks for a free slot. Calls take
/// 15 ms and more, and many may be held at once.
const BRITTLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Where a request came from.
#[derive(Clone, Debug)]
pub enum Origin {
    /// A caller connected to this instance.
    Caller,
    /// A peer passed it on, after these attempts of its own. It is not passed on again.
    Peer(Attempts),
}

/// A request that was matched against one catalogue and read in full.
pub struct Job<W: Wire> {
    /// The context that all tasks share.
    pub cx: Arc<Cx<W>>,
    /// The catalogue that the request was matched against; it applies until the request ends.
    pub catalogue: Arc<Catalogue>,
    /// The matched entry.
    pub entry: EntryId,
    /// The caller's workspace, if the entry requires a key.
    pub workspace: Option<WorkspaceId>,
    /// The service that was picked for the request.
    pub service: ServiceId,
    /// The values of the caller's headers.
    pub head: CallerHead,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The caller's headers as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Identifies the request across attempts and instances.
    pub fingerprint: Fingerprint,
    /// Counts the request as running until the job is dropped.
    pub run: RunGuard<W>,
    /// Where the request came from.
    pub origin: Origin,
    /// When the request's head was read.
    pub arrived: Instant,
    /// When the request times out.
    pub deadline: Instant,
    /// Whether the current attempt may have reached an endpoint.
    pub sent: SentMark,
}

impl<W: Wire> Job<W> {
    /// Returns the matched entry.
    pub fn entry(&self) -> &HttpEntry {
        self.catalogue.entry(self.entry)
    }

    /// Returns the caller's attempt id for logs, `-` if there is none.
    pub fn name(&self) -> &str {
        self.head.attempt.as_deref().unwrap_or("-")
    }

    /// Returns the last event that the caller has received, if the generation is resumable.
    pub fn last_event_id(&self) -> Option<u64> {
        match (self.entry().kind, self.head.last_event_id) {
            (RequestKind::ResumableStream, LastEventId::Event(number)) => Some(number),
            _ => None,
        }
    }

    /// Returns the attempts that another instance made before it passed the request on.
    pub fn attempts_before(&self) -> Attempts {
        match &self.origin {
            Origin::Caller => Attempts::default(),
            Origin::Peer(attempts) => attempts.clone(),
        }
    }

    /// Returns whether this instance is partitioned from the service.
    pub fn is_partitioned(&self) -> bool {
        let state = self.cx.state();
        state.reachability.is_partitioned(&self.service().name)
    }

    /// Returns whether this instance is partitioned from the service, so that the request must go
    /// through a peer.
    pub fn needs_proxy(&self) -> bool {
        self.cx.state().needs_proxy(&self.service().name)
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the service that was picked for the request.
    pub fn service(&self) -> &Service {
        self.catalogue.service(self.service)
    }

    /// Returns what an endpoint must offer to serve the request.
    pub fn demand<'a>(&'a self, tokens: u32, exclude: &'a [EndpointKey]) -> Demand<'a> {
        let service = self.service();
        Demand {
            service: &service.name,
            engine: service.engine,
            tokens,
            exclude,
            pace: PaceDemand::default(),
        }
    }

    /// Spends one retry of the fleet's budget; returns whether one was available.
    pub fn try_spend_retry(&self, kind: RetryKind) -> bool {
        let service = &self.service().name;
        let now = self.cx.now();
        let decision = self.cx.state().try_spend_retry(now, service, kind);
        match decision.is_allowed {
            true => log_event!(
                RetryGranted,
                attempt = self.name(),
                service = service.as_str(),
                kind:% = kind,
                heard = decision.live_instances,
                known = decision.known_instances,
                left = decision.remaining,
                age_ms = millis(decision.uptime)
            ),
            false => log_event!(
                RetryDenied,
                attempt = self.name(),
                service = service.as_str(),
                kind:% = kind,
                heard = decision.live_instances,
                known = decision.known_instances,
                left = decision.remaining,
                age_ms = millis(decision.uptime)
            ),
        }
        decision.is_allowed
    }

    /// Returns whether the fleet's retry budget allows a generation to resume.
    pub fn may_resume(&self) -> bool {
        let now = self.cx.now();
        self.cx.state().may_relocate(now, &self.service().name)
    }

    /// Returns whether the fleet's retry budget allows a retry of this kind now.
    pub fn may_retry(&self, kind: RetryKind) -> bool {
        let now = self.cx.now();
        let mut state = self.cx.state();
        state.may_spend_retry(now, &self.service().name, kind)
    }

    /// Applies what the head of a response says about the endpoint.
    pub fn observe_response_head(&self, place: &Placement, head: &ResponseHead, sent: Instant) {
        let now = self.cx.now();
        let sent = now.before(sent.elapsed()).unwrap_or(Time::ZERO);
        self.cx
            .observe_response_head(&self.response_origin(place), head, sent);
    }

    /// Returns where a response of `place` comes from.
    fn response_origin<'a>(&'a self, place: &'a Placement) -> ResponseOrigin<'a> {
        ResponseOrigin {
            attempt: self.name(),
            entry: &self.entry().name,
            place,
        }
    }

    /// Records that a request failed at an endpoint.
    pub fn record_failure(&self, place: &Placement) {
        let now = self.cx.now();
        let passed_over = self.cx.state().endpoints.on_failure(now, place.key);
        log_ejection(place, passed_over);
    }

    /// Records that no connection to an endpoint could be opened; `why` says how the attempt ended.
    pub fn record_unreachable(&self, place: &Placement, why: &'static str) {
        ByReason::Unreachable.add(why);
        log_event!(
            EndpointUnreachable,
            attempt = self.name(),
            endpoint = place.name.as_str(),
            why = why
        );
        let now = self.cx.now();
        if matches!(why, TIMED_OUT | PARTITIONED) {
            let began = now.before(self.cx.limits.connect).unwrap_or(Time::ZERO);
            if !self.cx.is_evidence("connect", began) {
                return;
            }
        }
        let outcome = match why {
            REFUSED => self.cx.state().on_refused(now, place.key),
            _ => self.cx.state().on_unreachable(now, place.key),
        };
        log_ejection(place, outcome.is_ejected);
        if outcome.is_partitioned {
            self.cx.log_partition(place);
        }
    }

    /// Returns the gateway's own error response; a 503 carries a `Retry-After` header.
    pub fn refuse(&self, reason: Reason) -> Response<ResponseBody> {
        ByReason::Refused.add(&reason.to_string());
        let caller_timeout = self.head.timeout.unwrap_or(self.entry().timeout);
        let remaining = caller_timeout.saturating_sub(self.arrived.elapsed());
        let delay = match reason {
            Reason::Stopping => retry_after_elsewhere(reason, remaining, self.entry().target),
            _ => retry_after(reason, remaining),
        };
        refuse_until(
            reason,
            self.backoff_delay().map_or(delay, |it| it.max(delay)),
        )
    }

    /// Logs a success without the signature of `endpoint`.
    pub fn log_unsigned(&self, endpoint: &str, status: StatusCode) {
        let response = UnsignedResponse {
            attempt: self.name(),
            entry: &self.entry().name,
            endpoint,
            status,
            arrived: self.arrived,
        };
        response.log();
    }

    /// Returns the gateway's own error response to a request for which there is room after `wait`.
    pub fn refuse_until_room(&self, reason: Reason, wait: Duration) -> Response<ResponseBody> {
        ByReason::Refused.add(&reason.to_string());
        let draw = self.cx.state().draw();
        refuse_until(reason, retry_after_backoff(wait, draw))
    }

    /// Returns how long a caller must wait if all endpoints requested a backoff.
    fn backoff_delay(&self) -> Option<Duration> {
        let now = self.cx.now();
        let mut state = self.cx.state();
        let until = state.backed_off_until(now, &self.service().name, &[])?;
        Some(retry_after_backoff(until.since(now), state.draw()))
    }

    /// Chooses an endpoint for a call and counts the call there until [`UsageGuard`] is dropped.
    ///
    /// # Errors
    ///
    /// Returns why no endpoint is available.
    pub fn place(
        &self,
        exclude: &[EndpointKey],
    ) -> Result<(Placement, UsageGuard<W>), PlacementError> {
        self.count_avoided();
        let now = self.cx.now();
        let mut state = self.cx.state();
        let place = state.place(now, &self.demand(0, exclude))?;
        let usage = self.begin_use(&mut state, &place, 0);
        drop(state);
        Ok(self.placed(place, 0, usage))
    }

    /// Chooses an endpoint for a call as [`Job::place`] does. Where all that are left are likely to
    /// be full and tolerate no more rejections, waits until one has a free slot, for as long as the
    /// call can be in time.
    ///
    /// # Errors
    ///
    /// Returns why no endpoint is available.
    pub async fn wait_for_place(
        &self,
        exclude: &[EndpointKey],
    ) -> Result<(Placement, UsageGuard<W>), PlacementError> {
        let ends = (self.arrived + self.entry().target).min(self.deadline);
        let started = Instant::now();
        loop {
            let chosen = self.place(exclude);
            let is_held = matches!(chosen, Err(PlacementError::Brittle));
            let may_wait = is_held && Instant::now() < ends && !self.needs_proxy();
            if may_wait {
                tokio::time::sleep(BRITTLE_POLL_INTERVAL).await;
                continue;
            }
            let waited = started.elapsed();
            if is_held || waited >= BRITTLE_POLL_INTERVAL {
                ByReason::Avoided.add("brittle");
                let (attempt, entry) = (self.name(), &self.entry().name);
                log_held(attempt, entry, "-", waited, chosen.is_ok());
            }
            return chosen;
        }
    }

    /// Counts the request if endpoints are left out for a backoff.
    fn count_avoided(&self) {
        let now = self.cx.now();
        if self.cx.state().avoids_any(now, &self.service().name) {
            ByReason::Avoided.add("backoff");
        }
    }

    /// Requests an engine until `deadline`, and counts the generation there as
    /// [`Job::place`] does.
    ///
    /// # Errors
    ///
    /// Returns why no engine is available.
    pub async fn request_placement(
        &self,
        params: PlacementParams<'_>,
        deadline: Instant,
    ) -> Result<(Placement, UsageGuard<W>), PlacementFailure> {
        self.count_avoided();
        let begin =
            |state: &mut Gateway, place: &Placement| self.begin_use(state, place, params.tokens);
        let (place, usage) = request_placement(self, params, deadline, begin).await?;
        self.cx.gossip_due.notify_one();
        Ok(self.placed(place, params.tokens, usage))
    }

    /// Requests a place for a standby copy of the generation at `source`, and counts the copy
    /// there.
    pub async fn request_standby_placement(
        &self,
        source: EndpointKey,
        tokens: u32,
    ) -> Option<(Placement, CopyUsageGuard<W>)> {
        let kind = CopyKind::Standby;
        self.request_copy_placement(source, tokens, &[], kind).await
    }

    /// Requests a place for a pre-copy of the generation at `source` that is needed at once, and
    /// counts the copy there.
    pub async fn request_pre_copy_placement(
        &self,
        source: EndpointKey,
        tokens: u32,
        exclude: &[EndpointKey],
    ) -> Option<(Placement, CopyUsageGuard<W>)> {
        let kind = CopyKind::PreCopy;
        self.request_copy_placement(source, tokens, exclude, kind)
            .await
    }

    async fn request_copy_placement(
        &self,
        source: EndpointKey,
        tokens: u32,
        exclude: &[EndpointKey],
        kind: CopyKind,
    ) -> Option<(Placement, CopyUsageGuard<W>)> {
        let params = PlacementParams {
            kind: PlacementKind::Copy { source, kind },
            tokens,
            exclude,
        };
        let begin = |state: &mut Gateway, place: &Placement| self.begin_copy(state, place, tokens);
        let deadline = Instant::now() + IMMEDIATE_PLACEMENT_TIMEOUT;
        let found = request_placement(self, params, deadline, begin).await.ok();
        self.cx.gossip_due.notify_one();
        found
    }

    /// Counts a copy at an endpoint that was chosen before.
    pub fn count_copy(&self, place: &Placement, tokens: u32) -> CopyUsageGuard<W> {
        let mut state = self.cx.state();
        self.begin_copy(&mut state, place, tokens)
    }

    /// Requests a place for a pre-copy of the generation at `source` until `deadline`, without
    /// waiting for it.
    pub fn open_pre_copy_placement(
        &self,
        source: EndpointKey,
        tokens: u32,
        exclude: &[EndpointKey],
        deadline: Instant,
    ) -> OpenPlacement<W> {
        let kind = CopyKind::PreCopy;
        let params = PlacementParams {
            kind: PlacementKind::Copy { source, kind },
            tokens,
            exclude,
        };
        OpenPlacement::new(self, params, deadline)
    }

    /// Returns whether there is a place for a pre-copy now, and counts the copy there.
    ///
    /// # Errors
    ///
    /// Returns why there is no place and the request is over.
    pub fn check_pre_copy_placement(
        &self,
        open: &OpenPlacement<W>,
    ) -> Result<PlacementProgress<CopyUsageGuard<W>>, PlacementError> {
        let now = self.cx.now();
        let progress = open.check(self, |state, place| {
            state.on_pre_copy_granted(now, place.key);
            self.begin_copy(state, place, open.tokens())
        });
        progress.map_err(|why| match why {
            PlacementFailure::Unplaced(why) => why,
            PlacementFailure::Rejected { .. } => PlacementError::Full,
        })
    }

    /// Counts a copy at an endpoint.
    fn begin_copy(&self, state: &mut Gateway, place: &Placement, tokens: u32) -> CopyUsageGuard<W> {
        state.usage.begin_copy(place.key, tokens);
        CopyUsageGuard {
            cx: Arc::clone(&self.cx),
            endpoint: place.key,
            tokens,
        }
    }

    /// Counts a request at an endpoint; returns the endpoint's usage before it.
    fn begin_use(
        &self,
        state: &mut Gateway,
        place: &Placement,
        tokens: u32,
    ) -> (Usage, UsageGuard<W>) {
        let used = state.used(place.key);
        let unread = match tokens {
            0 => 0,
            _ => self.head.prompt_tokens,
        };
        state.usage.begin(place.key, tokens, unread);
        let in_use = UsageGuard {
            cx: Arc::clone(&self.cx),
            endpoint: place.key,
            tokens,
            pending_prefill: unread,
        };
        (used, in_use)
    }

    fn placed(
        &self,
        place: Placement,
        tokens: u32,
        (used, in_use): (Usage, UsageGuard<W>),
    ) -> (Placement, UsageGuard<W>) {
        log_event!(
            Placed,
            attempt = self.name(),
            entry = self.entry().name.as_str(),
            endpoint = place.name.as_str(),
            running = used.running,
            unread = used.pending_prefill,
            tokens = used.tokens,
            copied = used.copy_tokens,
            need = tokens,
            waited_ms = self.arrived.elapsed().as_millis() as u64
        );
        (place, in_use)
    }

    /// Returns the request as it is sent to an endpoint.
    pub fn request(&self, send: &ForwardHead<'_>) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.cx.wire.endpoint_headers(&self.headers, send);
        let bodiless = self.body.is_empty() && !self.headers.contains_key(header::CONTENT_LENGTH);
        if !bodiless {
            let length = header::HeaderValue::from(self.body.len());
            req.headers_mut().insert(header::CONTENT_LENGTH, length);
        }
        req
    }

    /// Returns the name of the caller's workspace.
    pub fn workspace_name(&self) -> Option<&str> {
        let id = self.workspace?;
        Some(&self.catalogue.workspace(id).name)
    }

    /// Returns the priority of the request; the workspace's overrides the entry's.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.map(|id| self.catalogue.workspace(id));
        let own = workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.entry().priority)
    }

    /// Connects to `place` and sends the request, unless the endpoint was withdrawn since it was
    /// chosen ([`Gateway::admit_send`]).
    ///
    /// # Errors
    ///
    /// Returns how the connection failed, that the endpoint was withdrawn, or what is wrong with its response.
    pub async fn send(
        &self,
        place: &Placement,
        send: &ForwardHead<'_>,
    ) -> Result<(Link, Response<Incoming>), LinkError> {
        let chosen = self.cx.now();
        let patience = self.cx.state().own_delay.patience(chosen);
        let limit = (self.cx.limits.connect + patience).min(self.remaining());
        // A stream is not read while its caller reads slowly, and events are short.
        let is_stream = self.entry().kind.is_stream();
        let receive_buffer = is_stream.then_some(self.cx.limits.connections.receive_buffer);
        let read_bytes = match is_stream {
            true => READ_BYTES,
            false => MAX_READ_BYTES,
        };
        let opening = self.cx.wire.connect(place.address, receive_buffer);
        let connecting = ConnectGuard::new(&self.cx, place);
        let began = Instant::now();
        let connected = tokio::select! {
            // After a pause of this process the connection and the timers are ready together.
            biased;
            connected = Link::connect_by(opening, place.address, limit, read_bytes) => connected,
            () = until_partitioned(&self.cx, place) => Err(LinkError::Partitioned),
        };
        connecting.end();
        let mut link = connected?;
        self.cx.on_connected(place, began.elapsed());
        let kind = match send.resume.and_then(|it| it.copy) {
            Some(_) => SendKind::FromCopy,
            None => SendKind::Start,
        };
        if !self.admit_send(place, chosen, kind) {
            return Err(LinkError::Withdrawn);
        }
        if !self.sent.set() {
            return Err(LinkError::Withdrawn);
        }
        let response = link.send(self.request(send));
        let answered = AwaitedHead::new(self, place, link, response).wait().await;
        if let Err(error) = &answered
            && error.is_invalid_response()
        {
            log_event!(
                ResponseInvalid,
                attempt = self.name(),
                entry = self.entry().name.as_str(),
                endpoint = place.name.as_str(),
                why:% = error,
                ms = millis(self.arrived.elapsed())
            );
        }
        answered
    }

    /// Returns whether the request may still be sent to `place`, which was chosen at `chosen`.
    fn admit_send(&self, place: &Placement, chosen: Time, kind: SendKind) -> bool {
        let now = self.cx.now();
        let mut state = self.cx.state();
        let is_admitted = state.admit_send(now, place.key, chosen, kind);
        let why = state.withheld_reason(now, place.key, kind);
        let leaving = state.leaving_since(place.key);
        drop(state);
        let leaving_for = leaving.map_or(Duration::ZERO, |since| now.since(since));
        if !is_admitted {
            ByReason::Withheld.add(&why.to_string());
            log_event!(
                SendWithheld,
                attempt = self.name(),
                endpoint = place.name.as_str(),
                why:% = why,
                leaving_ms = millis(leaving_for),
                from_copy = kind == SendKind::FromCopy
            );
        } else if leaving.is_some() {
            log_event!(
                ResumesAtLeaving,
                attempt = self.name(),
                endpoint = place.name.as_str(),
                leaving_ms = millis(leaving_for)
            );
        }
        is_admitted
    }
}

fn log_ejection(place: &Placement, passed_over: bool) {
    if passed_over {
        log_event!(EndpointEjected, endpoint = place.name.as_str());
    }
}

/// Counts a request at an endpoint until dropped.
pub struct UsageGuard<W: Wire> {
    cx: Arc<Cx<W>>,
    endpoint: EndpointKey,
    tokens: u32,
    /// Prompt tokens that are counted as not prefilled yet.
    pending_prefill: u32,
}

impl<W: Wire> UsageGuard<W> {
    /// Counts a generation that resumes at another engine, where next to nothing is prefilled.
    pub fn for_resumed(cx: &Arc<Cx<W>>, endpoint: EndpointKey, tokens: u32) -> Self {
        cx.state().usage.begin(endpoint, tokens, 0);
        cx.gossip_due.notify_one();
        UsageGuard {
            cx: Arc::clone(cx),
            endpoint,
            tokens,
            pending_prefill: 0,
        }
    }

    /// Replaces the KV tokens that the request is counted with.
    pub fn adjust(&mut self, tokens: u32) {
        let mut state = self.cx.state();
        state.usage.adjust(self.endpoint, self.tokens, tokens);
        self.tokens = tokens;
    }

    /// Clears the pending prefill at the first byte of the response.
    pub fn on_first_byte(&mut self) {
        if self.pending_prefill > 0 {
            let unread = core::mem::take(&mut self.pending_prefill);
            let mut state = self.cx.state();
            state.usage.on_first_byte(self.endpoint, unread);
            drop(state);
            self.schedule_gossip();
        }
    }

    /// Announces the change to homes for generations only. Plain calls end before the report could
    /// be used.
    fn schedule_gossip(&self) {
        if self.tokens > 0 {
            self.cx.gossip_due.notify_one();
        }
    }
}

impl<W: Wire> Drop for UsageGuard<W> {
    fn drop(&mut self) {
        let mut state = self.cx.state();
        state
            .usage
            .end(self.endpoint, self.tokens, self.pending_prefill);
        drop(state);
        self.schedule_gossip();
    }
}

impl<W: Wire> Job<W> {
    /// Returns the length estimate of the generation.
    pub fn length(&self) -> LengthEstimate {
        let head = &self.head;
        let state = self.cx.state();
        let entry = &self.entry().name;
        state
            .lengths
            .estimate(entry, head.max_tokens, head.expected_tokens)
    }

    /// Returns the request as it is queued for `tokens` of KV cache.
    pub fn queued_request(&self, tokens: u32) -> QueuedRequest {
        let now = self.cx.now();
        let output = self.length().remaining(0);
        QueuedRequest {
            id: self.cx.state().draw_id(),
            service: service_hash(&self.service().name),
            priority: self.priority(),
            arrived: now.before(self.arrived.elapsed()).unwrap_or(Time::ZERO),
            target: self.entry().target,
            tokens,
            prompt: self.head.prompt_tokens,
            gap_target: self.entry().gap_target,
            output,
            workspace: self.workspace_name().map_or(0, workspace_hash),
            deadline: now + self.remaining(),
        }
    }

    /// Returns how many KV tokens the generation is expected to need in all once it has produced
    /// `made` tokens.
    pub fn expected_memory(&self, length: LengthEstimate, made: u32) -> u32 {
        lengths::expected_kv_tokens(self.head.prompt_tokens, length, made)
    }
}

/// Counts a generation that is about to resume from a pre-copy until dropped. Meanwhile other
/// retries leave it one of the retry budget.
pub struct PendingMove<W: Wire> {
    cx: Arc<Cx<W>>,
    service: String,
}

impl<W: Wire> PendingMove<W> {
    /// Begins to count the generation of `job`.
    pub fn new(job: &Job<W>) -> Self {
        let service = job.service().name.clone();
        job.cx.state().budget.begin_move(&service);
        PendingMove {
            cx: Arc::clone(&job.cx),
            service,
        }
    }
}

impl<W: Wire> Drop for PendingMove<W> {
    fn drop(&mut self) {
        self.cx.state().budget.end_move(&self.service);
    }
}

/// Counts a copy at an endpoint until dropped.
pub struct CopyUsageGuard<W: Wire> {
    cx: Arc<Cx<W>>,
    endpoint: EndpointKey,
    tokens: u32,
}

impl<W: Wire> Drop for CopyUsageGuard<W> {
    fn drop(&mut self) {
        self.cx.state().usage.end_copy(self.endpoint, self.tokens);
        self.cx.gossip_due.notify_one();
    }
}
