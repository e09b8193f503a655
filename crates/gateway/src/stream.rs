//! Generations: their placement, and the stream of their events to the caller.
//!
//! A generation is queued in the gateway and not at an engine until an engine has room, because a
//! queued generation can still go to any engine. It is sent with a standby copy where that is
//! worthwhile; its [`relay`](crate::relay) then handles it to its end.

use crate::attempts::Attempts;
use crate::job::{Job, Origin, UsageGuard};
use crate::log_event;
use crate::meters::ByReason;
use crate::placement::{PlacementFailure, PlacementParams};
use crate::ports::{EngineCalls, Wire};
use crate::proxy;
use crate::proxy::client::ProxyOutcome;
use crate::relay::{Relay, StartOutcome};
use crate::response::{Reason, ResponseBody, StreamAborted, refuse};
use crate::sent_mark::SentMark;
use crate::signature::{UnsignedResponse, is_unsigned};
use crate::sse::MAX_EVENT_BLOCKS;
use bytes::Bytes;
use core::pin::Pin;
use core::task::{Context, Poll};
use core::time::Duration;
use http::{HeaderMap, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::BodyExt;
use oriolemux_core::gateway::budget::RetryKind;
use oriolemux_core::gateway::lengths::LengthEstimate;
use oriolemux_core::gateway::request::PlacementKind;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::ids::EndpointKey;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;

/// Chunks of a stream that may be buffered for the caller's connection when one more event is forwarded.
const STREAM_BUFFER_CHUNKS: usize = 64;

/// How many times the entry's target a generation may be queued. Later it could only be late, and
/// the caller can use its time better.
const WAIT_TARGET_FACTOR: f64 = 1.0;

/// The duration of one token on an engine that runs some five generations while it prefills
/// prompts.
const TOKEN_DURATION: Duration = Duration::from_millis(10);

/// A part of a streamed response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Serves a generation.
pub async fn serve<W: Wire, E: EngineCalls>(job: Job<W>, engines: E) -> Response<ResponseBody> {
    let mut attempts = job.attempts_before();
    let length = job.length();
    let expected = TOKEN_DURATION * length.remaining(0);
    if !job.cx.admits_generation(expected) {
        return refuse_generation(&job, &attempts, Reason::Stopping);
    }
    let tokens = job.expected_memory(length, 0);
    let ending = job.cx.ending.clone();
    let mut job = job;
    loop {
        // The attempts say whether an earlier one may have run.
        job.sent.clear();
        if !job.cx.admits_queued_generation(expected) {
            return refuse_generation(&job, &attempts, Reason::Stopping);
        }
        if job.needs_proxy() {
            let passed_on = tokio::select! {
                biased;
                passed_on = pass_on(&job, &mut attempts) => passed_on,
                () = ending.cancelled() => {
                    return refuse_generation(&job, &attempts, end_reason(&job.sent));
                }
            };
            match passed_on {
                Some(response) => return response,
                None => continue,
            }
        }
        let chosen = tokio::select! {
            biased;
            chosen = wait_for_start(&job, tokens, attempts.tried()) => chosen,
            () = ending.cancelled() => Err(Reason::Stopping.into()),
        };
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(refusal) => return refuse_generation(&job, &attempts, refusal),
        };
        if !job.cx.admits_queued_generation(expected) {
            return refuse_generation(&job, &attempts, Reason::Stopping);
        }
        if !job.is_admitted() {
            continue;
        }
        match start(job, engines.clone(), attempts, chosen, length).await {
            GenerationStart::Ended(response) => return response,
            GenerationStart::NotRun {
                job: returned_job,
                attempts: returned_attempts,
                reached_engine,
            } => {
                (job, attempts) = (*returned_job, returned_attempts);
                if attempts.is_partitioned() && job.is_partitioned() && !job.needs_proxy() {
                    return refuse_generation(&job, &attempts, Reason::NoConnection);
                }
                let may_retry = !reached_engine || job.try_spend_retry(RetryKind::Retry);
                if attempts.refused() > MAX_REFUSED_SENDS || !may_retry {
                    return refuse_generation(&job, &attempts, Reason::NotRunAtEndpoint);
                }
            }
            GenerationStart::Failed {
                job: returned_job,
                attempts: returned_attempts,
                response,
            } => {
                (job, attempts) = (*returned_job, returned_attempts);
                let may_retry = attempts.may_run_again(job.entry())
                    && job.remaining() > MIN_RETRY_TIME
                    && !job.is_refused();
                if !may_retry || !job.try_spend_retry(RetryKind::Retry) {
                    return response;
                }
            }
        }
    }
}

/// Passes a generation to a peer, because this instance reaches no engine; returns the response for
/// the caller, or `None` if the generation is retried.
async fn pass_on<W: Wire>(job: &Job<W>, attempts: &mut Attempts) -> Option<Response<ResponseBody>> {
    let outcome = match job.origin {
        Origin::Caller => proxy::client::pass_on(job, attempts).await,
        Origin::Peer(_) => ProxyOutcome::NotServed,
    };
    let reason = match outcome {
        ProxyOutcome::Response(response)
            if is_unsigned(&job.cx.wire, response.status(), response.headers()) =>
        {
            job.log_unsigned("-", response.status());
            attempts.record_run_at_proxy();
            // A stream must not run twice because of it.
            return Some(job.refuse(Reason::Unsigned));
        }
        ProxyOutcome::Response(response) => return Some(response),
        // The partition ended while peers were asked.
        ProxyOutcome::NotServed if !job.is_partitioned() => return None,
        ProxyOutcome::NotServed => {
            return Some(refuse_generation(job, attempts, Reason::NoConnection));
        }
        ProxyOutcome::Lost => Reason::ResponseLost,
        ProxyOutcome::Timeout => Reason::Timeout,
    };
    attempts.record_run_at_proxy();
    let may_retry = attempts.may_run_again(job.entry())
        && job.remaining() > MIN_RETRY_TIME
        && job.try_spend_retry(RetryKind::Retry);
    (!may_retry).then(|| refuse_generation(job, attempts, reason))
}

/// Engines that may refuse a generation, which then did not run, before the caller is refused.
const MAX_REFUSED_SENDS: usize = 3;

/// A generation is not retried with less time remaining than this: prefilling a prompt takes some
/// 0.2 s.
const MIN_RETRY_TIME: Duration = Duration::from_millis(250);

/// How a generation started.
enum GenerationStart<W: Wire> {
    /// There is a response: an event stream, or a final response without events.
    Ended(Response<ResponseBody>),
    /// The engine did not run it.
    NotRun {
        job: Box<Job<W>>,
        attempts: Attempts,
        reached_engine: bool,
    },
    /// The attempt failed and may have run.
    Failed {
        job: Box<Job<W>>,
        attempts: Attempts,
        response: Response<ResponseBody>,
    },
}

async fn start<W: Wire, E: EngineCalls>(
    job: Job<W>,
    engines: E,
    attempts: Attempts,
    chosen: (Placement, UsageGuard<W>),
    length: LengthEstimate,
) -> GenerationStart<W> {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER_CHUNKS + MAX_EVENT_BLOCKS);
    let (attempt, deadline) = (job.name().to_owned(), job.deadline);
    let (cx, entry, arrived) = (Arc::clone(&job.cx), job.entry().name.clone(), job.arrived);
    let (sent, may_have_run) = (job.sent.clone(), attempts.may_have_run());
    let relay = Relay::new(job, engines, attempts, chosen, length, tx);
    let started = relay.spawn();
    let started = tokio::select! {
        biased;
        started = started => started,
        () = cx.ending.cancelled() => {
            let reason = match may_have_run {
                true => Reason::StopDeadline,
                false => end_reason(&sent),
            };
            log_event!(GenerationRefused, attempt = attempt.as_str(), entry = entry.as_str(),
                reason:% = reason, ms = arrived.elapsed().as_millis() as u64);
            ByReason::Refused.add(&reason.to_string());
            let remaining = deadline.saturating_duration_since(Instant::now());
            // The channel of the relay closes, which cancels the request at the engine.
            return GenerationStart::Ended(refuse(reason, remaining));
        }
    };
    match started {
        Ok(StartOutcome::Streaming { status, headers })
            if is_unsigned(&cx.wire, status, &headers) =>
        {
            let response = UnsignedResponse {
                attempt: &attempt,
                entry: &entry,
                endpoint: "-",
                status,
                arrived,
            };
            response.log();
            ByReason::Refused.add(&Reason::Unsigned.to_string());
            let remaining = deadline.saturating_duration_since(Instant::now());
            // The channel of the relay closes, which cancels the request at the engine.
            GenerationStart::Ended(refuse(Reason::Unsigned, remaining))
        }
        Ok(StartOutcome::Streaming { status, headers }) => {
            GenerationStart::Ended(streamed(status, headers, rx))
        }
        Ok(StartOutcome::Response(response)) => GenerationStart::Ended(response.into_response()),
        Ok(StartOutcome::Failed {
            job,
            attempts,
            response,
        }) => GenerationStart::Failed {
            job,
            attempts,
            response,
        },
        Ok(StartOutcome::NotRun {
            job,
            attempts,
            reached_engine,
        }) => GenerationStart::NotRun {
            job,
            attempts,
            reached_engine,
        },
        // Only a bug ends a relay without a result. The relay logs and counts it.
        Err(_) => {
            ByReason::Refused.add(&Reason::RelayFailed.to_string());
            let remaining = deadline.saturating_duration_since(Instant::now());
            GenerationStart::Ended(refuse(Reason::RelayFailed, remaining))
        }
    }
}

fn streamed(
    status: StatusCode,
    mut headers: HeaderMap,
    chunks: mpsc::Receiver<Chunk>,
) -> Response<ResponseBody> {
    // The length that one engine stated does not hold when another engine continues.
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(ChunkBody::new(chunks).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Returns how a generation without a response ends at the end of a planned stop.
fn end_reason(sent: &SentMark) -> Reason {
    match sent.withdraw() {
        true => Reason::Stopping,
        false => Reason::StopDeadline,
    }
}

/// Waits until the generation may begin at an engine.
async fn wait_for_start<W: Wire>(
    job: &Job<W>,
    tokens: u32,
    tried: &[EndpointKey],
) -> Result<(Placement, UsageGuard<W>), Refusal> {
    job.wait_until_admitted().await?;
    wait_for_placement(job, tokens, tried).await
}

async fn wait_for_placement<W: Wire>(
    job: &Job<W>,
    tokens: u32,
    tried: &[EndpointKey],
) -> Result<(Placement, UsageGuard<W>), Refusal> {
    let limit = job.entry().target.mul_f64(WAIT_TARGET_FACTOR);
    let deadline = (job.arrived + limit).min(job.deadline);
    let params = PlacementParams {
        kind: PlacementKind::Queued,
        tokens,
        exclude: tried,
    };
    job.request_placement(params, deadline)
        .await
        .map_err(Refusal::from)
}

/// Why a generation is refused.
struct Refusal {
    reason: Reason,
    /// The time until there is room, if a home predicted it.
    room_after: Option<Duration>,
}

impl From<Reason> for Refusal {
    fn from(reason: Reason) -> Self {
        Refusal {
            reason,
            room_after: None,
        }
    }
}

impl From<PlacementFailure> for Refusal {
    fn from(why: PlacementFailure) -> Self {
        match why {
            PlacementFailure::Unplaced(why) => Reason::from(why).into(),
            PlacementFailure::Rejected { retry_after } => Refusal {
                reason: Reason::EndpointsFull,
                room_after: Some(retry_after),
            },
        }
    }
}

/// Refuses a generation.
fn refuse_generation<W: Wire>(
    job: &Job<W>,
    attempts: &Attempts,
    refusal: impl Into<Refusal>,
) -> Response<ResponseBody> {
    let Refusal { reason, room_after } = refusal.into();
    // The generation may have run, so the response must not promise that it did not.
    let reason = match reason {
        Reason::CrashesEndpoints | Reason::PartCrashesEndpoints | Reason::StopDeadline => reason,
        _ if attempts.may_have_run() => Reason::ResponseLost,
        _ => reason,
    };
    log_event!(GenerationRefused, attempt = job.name(), entry = job.entry().name.as_str(),
        reason:% = reason, ms = job.arrived.elapsed().as_millis() as u64);
    match room_after {
        Some(wait) if reason == Reason::EndpointsFull => job.refuse_until_room(reason, wait),
        _ => job.refuse(reason),
    }
}

/// The body of a streamed response. It is dropped when the caller disconnects, which closes the
/// relay's channel.
///
/// Only [`Chunk::End`] completes it: a channel that closes without that fails the body, so that a
/// relay that is aborted, or ends by a bug, leaves no response that looks complete.
#[derive(Debug)]
pub struct ChunkBody {
    chunks: mpsc::Receiver<Chunk>,
    is_complete: bool,
}

impl ChunkBody {
    /// Returns the body of these chunks.
    pub fn new(chunks: mpsc::Receiver<Chunk>) -> Self {
        ChunkBody {
            chunks,
            is_complete: false,
        }
    }
}

impl http_body::Body for ChunkBody {
    type Data = Bytes;
    type Error = StreamAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamAborted>>> {
        if self.is_complete {
            return Poll::Ready(None);
        }
        Poll::Ready(match core::task::ready!(self.chunks.poll_recv(cx)) {
            Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Chunk::End) => {
                self.is_complete = true;
                None
            }
            None => Some(Err(StreamAborted)),
        })
    }
}
