//! The front for callers: accepts requests and matches them against the catalogue in force.

mod activity;
mod connection;
mod flushed_body;
mod request_framing;

pub(crate) use activity::Activity;
pub use connection::serve;
pub use flushed_body::FlushedBody;

use crate::attempts::Attempts;
use crate::bodies::BodyError;
use crate::cx::Cx;
use crate::job::{Job, Origin};
use crate::log_event;
use crate::meters::ByReason;
use crate::ports::{CallerHead, EngineCalls, LastEventId, Wire};
use crate::proxy::message::ProxiedRequest;
use crate::response::{
    Reason, ResponseBody, refuse, refuse_until, retry_after, retry_after_elsewhere,
};
use crate::run_lease::RunGuard;
use crate::sent_mark::SentMark;
use crate::{call, stream};
use bytes::Bytes;
use core::time::Duration;
use http::request::Parts;
use http::{HeaderMap, Request, Response, Uri, header};
use hyper::body::Incoming;
use oriolemux_core::fingerprint::{Fingerprint, Identity};
use oriolemux_core::gateway::RequestKind;
use oriolemux_core::gateway::catalogue::{Catalogue, EntryId, RequestMatch, WorkspaceId};
use oriolemux_core::suspects::PromptParts;
use std::sync::Arc;
use std::time::Instant;

/// The assumed timeout of a caller that states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a request waits for the first catalogue of an instance that has just started.
/// Reading it takes some 10 ms; the timeout covers a store that takes ten times as long.
const FIRST_CATALOGUE_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum share of the caller's timeout that is spent waiting for the first catalogue.
const FIRST_CATALOGUE_SHARE: f64 = 0.25;

/// Returns the catalogue in force; an instance that has just started waits for it.
///
/// Callers whose connections ended with an instance reconnect as soon as it listens, some 10 ms
/// before it has a catalogue. They retry only once, so refusing them loses their requests: 16 to
/// 31 of some 2,500 requests when all instances stop at once. Once the store is known to be
/// unavailable, requests do not wait.
async fn first_catalogue<W: Wire>(cx: &Cx<W>, caller_timeout: Duration) -> Option<Arc<Catalogue>> {
    let wait = FIRST_CATALOGUE_TIMEOUT.min(caller_timeout.mul_f64(FIRST_CATALOGUE_SHARE));
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        let mut changed = core::pin::pin!(cx.replica_changed.notified());
        changed.as_mut().enable();
        let (catalogue, store_is_unavailable) = {
            let state = cx.state();
            (state.servable().cloned(), state.reader.is_unavailable())
        };
        if catalogue.is_some() {
            return catalogue;
        }
        if store_is_unavailable || tokio::time::timeout_at(deadline, changed).await.is_err() {
            return None;
        }
    }
}

/// Serves one request with a parsed head. Its body is given up once `body_evicted` resolves.
async fn handle<W: Wire, E: EngineCalls>(
    cx: Arc<Cx<W>>,
    engines: E,
    head: CallerHead,
    req: Request<Incoming>,
    body_evicted: impl Future<Output = ()>,
) -> Response<ResponseBody> {
    let arrived = Instant::now();
    let caller_timeout = head.timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let attempt = head.attempt.clone();
    let refused_until = |reason: Reason, delay: Duration| {
        let attempt = attempt.as_deref().unwrap_or("-");
        ByReason::Refused.add(&reason.to_string());
        log_event!(RefusedAtFront, attempt = attempt, reason:% = reason);
        refuse_until(reason, delay)
    };
    let refused = |reason: Reason| refused_until(reason, retry_after(reason, caller_timeout));
    let Some(catalogue) = first_catalogue(&cx, caller_timeout).await else {
        return refused(Reason::NoCatalogue);
    };
    let host = host_of(req.headers(), req.uri());
    match catalogue.match_request(host, req.uri().path(), head.key_digest.as_ref()) {
        RequestMatch::NoEntry => refused(Reason::NoEntry),
        RequestMatch::UnknownKey => refused(Reason::UnknownKey),
        RequestMatch::Serve { entry, workspace } => {
            if !is_valid_last_event_id(catalogue.entry(entry).kind, &head) {
                return refused(Reason::NoSuchEvent);
            }
            let matched = MatchedRequest {
                catalogue,
                entry,
                workspace,
                head,
                arrived,
                origin: Origin::Caller,
                earns_retry: true,
            };
            let target = matched.catalogue.entry(entry).target;
            let refused_here = |reason: Reason| {
                refused_until(
                    reason,
                    retry_after_elsewhere(reason, caller_timeout, target),
                )
            };
            if !matched.is_admitted(&cx) {
                return refused_here(Reason::Stopping);
            }
            let ending = cx.ending.clone();
            let read = tokio::select! {
                biased;
                read = read_body(cx, matched, req) => read,
                () = ending.cancelled() => Err(Reason::Stopping),
                () = body_evicted => Err(Reason::InstanceFull),
            };
            match read {
                // On the heap, since each body that is read would have room for it otherwise.
                Ok(job) => Box::pin(run(job, engines)).await,
                Err(reason @ (Reason::Stopping | Reason::InstanceFull)) => refused_here(reason),
                Err(reason) => refused(reason),
            }
        }
    }
}

/// Serves a request that a peer passes on because it reaches no endpoint, as if its caller had
/// connected here.
pub(crate) async fn handle_proxied<W: Wire, E: EngineCalls>(
    cx: Arc<Cx<W>>,
    engines: E,
    mut received: ProxiedRequest,
) -> Response<ResponseBody> {
    let now = Instant::now();
    let arrived = now.checked_sub(Duration::from_micros(received.elapsed_us));
    let arrived = arrived.unwrap_or(now);
    let remaining = Duration::from_micros(received.remaining_us);
    let refused = |attempt: &str, reason: Reason| {
        ByReason::Refused.add(&reason.to_string());
        log_event!(RefusedAtFront, attempt = attempt, reason:% = reason);
        refuse(reason, remaining)
    };
    let Some((parts, body)) = received.take_parts() else {
        return refused("-", Reason::BodyBroken);
    };
    let head = cx.wire.caller_head(&parts.headers);
    let attempt = head.attempt.clone();
    let attempt = attempt.as_deref().unwrap_or("-");
    let servable = cx.state().servable().cloned();
    let Some(catalogue) = servable else {
        return refused(attempt, Reason::NoCatalogue);
    };
    let host = host_of(&parts.headers, &parts.uri).to_owned();
    match catalogue.match_request(&host, parts.uri.path(), head.key_digest.as_ref()) {
        RequestMatch::NoEntry => refused(attempt, Reason::NoEntry),
        RequestMatch::UnknownKey => refused(attempt, Reason::UnknownKey),
        RequestMatch::Serve { entry, workspace } => {
            let refusals = usize::try_from(received.refused).unwrap_or(usize::MAX);
            let attempts = Attempts::before(received.tried, received.runs, refusals);
            let matched = MatchedRequest {
                catalogue,
                entry,
                workspace,
                head,
                arrived,
                origin: Origin::Peer(attempts),
                earns_retry: received.earns_retry,
            };
            let deadline = matched.deadline().min(now + remaining);
            run(job_of(cx, matched, parts, body, deadline), engines).await
        }
    }
}

/// Returns whether the last event that the caller names can be part of its generation. For a
/// generation that is not resumable, the event is ignored and the caller gets it from the start.
fn is_valid_last_event_id(kind: RequestKind, head: &CallerHead) -> bool {
    match head.last_event_id {
        LastEventId::Event(number) if kind == RequestKind::ResumableStream => {
            // Each event holds at least one token.
            head.max_tokens == 0 || number <= u64::from(head.max_tokens)
        }
        LastEventId::Invalid => kind != RequestKind::ResumableStream,
        LastEventId::Absent | LastEventId::Event(_) => true,
    }
}

/// The head of a request with the entry that it matches.
struct MatchedRequest {
    catalogue: Arc<Catalogue>,
    entry: EntryId,
    workspace: Option<WorkspaceId>,
    head: CallerHead,
    arrived: Instant,
    origin: Origin,
    /// Whether it earns a part of a retry here.
    earns_retry: bool,
}

impl MatchedRequest {
    /// Returns when the request times out.
    fn deadline(&self) -> Instant {
        let entry = self.catalogue.entry(self.entry);
        let caller_timeout = self.head.timeout.unwrap_or(entry.timeout);
        self.arrived + caller_timeout.min(entry.timeout)
    }

    /// Returns whether a planned stop leaves time for the request. A generation is checked again once
    /// its body is read, which says how long it may take.
    fn is_admitted<W: Wire>(&self, cx: &Cx<W>) -> bool {
        let entry = self.catalogue.entry(self.entry);
        match entry.kind {
            RequestKind::Stream | RequestKind::ResumableStream => {
                cx.admits_generation(Duration::ZERO)
            }
            RequestKind::Idempotent | RequestKind::AtMostOnce => {
                cx.admits_call(&call::demand(entry, self.deadline()))
            }
        }
    }
}

fn host_of<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let named = headers.get(header::HOST);
    let named = named.and_then(|host| host.to_str().ok());
    named.or(uri.host()).unwrap_or("")
}

/// Reads the full body. The request is forwarded only after that, so that a caller that stalls
/// in the middle of its body occupies no place at an endpoint.
async fn read_body<W: Wire>(
    cx: Arc<Cx<W>>,
    matched: MatchedRequest,
    req: Request<Incoming>,
) -> Result<Job<W>, Reason> {
    let deadline = matched.deadline();
    let (parts, body) = req.into_parts();
    let limit = matched.catalogue.limits().max_body_bytes;
    let reading = cx.bodies.read(body, limit);
    let body = match tokio::time::timeout_at(deadline.into(), reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyError::TooLarge(_))) => return Err(Reason::BodyTooLarge),
        Ok(Err(BodyError::NoRoom(_) | BodyError::Evicted)) => return Err(Reason::InstanceFull),
        Ok(Err(BodyError::Broken(_))) => return Err(Reason::BodyBroken),
        Err(_) => return Err(Reason::WaitTooLong),
    };
    Ok(job_of(cx, matched, parts, body, deadline))
}

/// Returns the job of a request whose body was read.
fn job_of<W: Wire>(
    cx: Arc<Cx<W>>,
    matched: MatchedRequest,
    parts: Parts,
    body: Bytes,
    deadline: Instant,
) -> Job<W> {
    let host = host_of(&parts.headers, &parts.uri);
    let workspace = matched.workspace.map(|id| matched.catalogue.workspace(id));
    let fingerprint = Fingerprint::of(&Identity {
        deployment: cx.state().deployment(),
        workspace: workspace.map(|it| it.name.as_str()),
        host,
        method: parts.method.as_str(),
        path: parts.uri.path_and_query().map_or("", |it| it.as_str()),
        body: &body,
    });
    let now = cx.now();
    let mut state = cx.state();
    let draw = state.draw();
    let service = matched.catalogue.pick_service(matched.entry, draw);
    let name = &matched.catalogue.service(service).name;
    if matched.earns_retry {
        state.budget.on_request(now, name);
    }
    let prompt_parts = PromptParts::new(state.deployment(), name, &matched.head.shared_parts);
    drop(state);
    let run = RunGuard::begin(&cx, fingerprint, prompt_parts);
    Job {
        cx,
        catalogue: matched.catalogue,
        entry: matched.entry,
        workspace: matched.workspace,
        service,
        head: matched.head,
        method: parts.method,
        uri: origin_form(parts.uri),
        headers: parts.headers,
        body,
        fingerprint,
        run,
        origin: matched.origin,
        arrived: matched.arrived,
        deadline,
        sent: SentMark::default(),
    }
}

/// Returns path and query only, as endpoints expect them.
fn origin_form(uri: Uri) -> Uri {
    let path = uri.into_parts().path_and_query;
    path.map(Uri::from).unwrap_or_default()
}

async fn run<W: Wire, E: EngineCalls>(job: Job<W>, engines: E) -> Response<ResponseBody> {
    match job.entry().kind {
        RequestKind::Stream | RequestKind::ResumableStream => stream::serve(job, engines).await,
        RequestKind::Idempotent | RequestKind::AtMostOnce => call::serve(&job).await,
    }
}
