//! Generations: finding a place, and the way of their events to the caller.
//!
//! A generation waits here and not at an engine until an engine has room, since
//! what waits here can still go to any engine. It is sent with a standing copy
//! where that pays, and its [`relay`](crate::relay) then has it to its end.

use crate::answer::{AnswerBody, BrokenOff, Reason};
use crate::ask::PlaceRequest;
use crate::attempts::Attempts;
use crate::job::{InUse, Job};
use crate::note;
use crate::ports::{EngineCalls, Wire};
use crate::relay::{Relay, Started};
use bytes::Bytes;
use core::pin::Pin;
use core::task::{Context, Poll};
use core::time::Duration;
use http::{HeaderMap, Response, StatusCode, header};
use http_body::Frame;
use http_body_util::BodyExt;
use oriolemux_core::gateway::ask::Want;
use oriolemux_core::gateway::budget::RepeatKind;
use oriolemux_core::gateway::lengths::Length;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::ids::EndpointKey;
use tokio::sync::mpsc;

/// Pieces of a stream that wait for the caller's connection.
const PIECES: usize = 64;

/// How many times the target a generation waits for room. Later it could only be
/// late, and the caller knows better what to do with its time.
const WAIT_TARGETS: f64 = 1.0;

/// How long a token takes, as measured on engines with some five generations beside
/// prompts that are read.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// What goes to the caller's connection.
pub type Piece = Result<Bytes, BrokenOff>;

/// Serves a generation.
pub async fn serve<W: Wire, E: EngineCalls>(job: Job<W>, engines: E) -> Response<AnswerBody> {
    let mut attempts = Attempts::default();
    let length = job.length();
    let expected = TOKEN_TIME * length.rest(0);
    if !job.cx.takes_generation(expected) {
        return give_up(&job, &attempts, Reason::Stopping);
    }
    let tokens = job.expected_memory(length, 0);
    let mut job = job;
    loop {
        if let Err(reason) = job.admitted().await {
            return give_up(&job, &attempts, reason);
        }
        let chosen = match wait_for_place(&job, tokens, attempts.tried()).await {
            Ok(chosen) => chosen,
            Err(reason) => return give_up(&job, &attempts, reason),
        };
        if !job.is_admitted() {
            continue;
        }
        match start(job, engines.clone(), attempts, chosen, length).await {
            Start::Ended(answer) => return answer,
            Start::NotRun {
                job: returned,
                attempts: so_far,
                arrived,
            } => {
                (job, attempts) = (*returned, so_far);
                let may_repeat = !arrived || job.spend_repeat(RepeatKind::Retry);
                if attempts.refused() > MAX_REFUSED_SENDS || !may_repeat {
                    return give_up(&job, &attempts, Reason::NotRunAtEndpoint);
                }
            }
            Start::Failed {
                job: returned,
                attempts: so_far,
                answer,
            } => {
                (job, attempts) = (*returned, so_far);
                let may_repeat = attempts.may_run_again(job.entry())
                    && job.left() > MIN_LEFT
                    && !job.is_refused();
                if !may_repeat || !job.spend_repeat(RepeatKind::Retry) {
                    return answer;
                }
            }
            Start::Lost => return Response::new(crate::answer::whole(Bytes::new())),
        }
    }
}

/// Engines that may refuse a generation, which ran nothing, before its caller is told.
const MAX_REFUSED_SENDS: usize = 3;

/// A repeat with less time left than this would only be work in vain: a prompt is read
/// in some 0.2 s.
const MIN_LEFT: Duration = Duration::from_millis(250);

/// How a generation began.
enum Start<W: Wire> {
    /// There is an answer: events that come, or a final one without events.
    Ended(Response<AnswerBody>),
    /// The engine did not run it.
    NotRun {
        job: Box<Job<W>>,
        attempts: Attempts,
        arrived: bool,
    },
    /// It failed and may have run.
    Failed {
        job: Box<Job<W>>,
        attempts: Attempts,
        answer: Response<AnswerBody>,
    },
    /// The relay ended without a word, which only a fault of it can cause.
    Lost,
}

async fn start<W: Wire, E: EngineCalls>(
    job: Job<W>,
    engines: E,
    attempts: Attempts,
    chosen: (Placement, InUse<W>),
    length: Length,
) -> Start<W> {
    let (tx, rx) = mpsc::channel(PIECES);
    let relay = Relay::new(job, engines, attempts, chosen, length, tx);
    let started = relay.spawn();
    match started.await {
        Ok(Started::Streaming { status, headers }) => Start::Ended(streamed(status, headers, rx)),
        Ok(Started::Answer(answer)) => Start::Ended(answer.into_response()),
        Ok(Started::Failed {
            job,
            attempts,
            answer,
        }) => Start::Failed {
            job,
            attempts,
            answer,
        },
        Ok(Started::NotRun {
            job,
            attempts,
            arrived,
        }) => Start::NotRun {
            job,
            attempts,
            arrived,
        },
        Err(_) => Start::Lost,
    }
}

fn streamed(
    status: StatusCode,
    mut headers: HeaderMap,
    pieces: mpsc::Receiver<Piece>,
) -> Response<AnswerBody> {
    // The length of what an engine sent says nothing when another goes on.
    headers.remove(header::CONTENT_LENGTH);
    let mut response = Response::new(PieceBody { pieces }.boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

async fn wait_for_place<W: Wire>(
    job: &Job<W>,
    tokens: u32,
    tried: &[EndpointKey],
) -> Result<(Placement, InUse<W>), Reason> {
    let limit = job.entry().target.mul_f64(WAIT_TARGETS);
    let until = (job.arrived + limit).min(job.ends);
    let asked = PlaceRequest {
        want: Want::Place,
        tokens,
        exclude: tried,
    };
    job.ask_place(asked, until).await.map_err(Reason::from)
}

/// Answers a generation that has no place.
fn give_up<W: Wire>(job: &Job<W>, attempts: &Attempts, reason: Reason) -> Response<AnswerBody> {
    // Where it may have run, "not run" would be untrue.
    let reason = match reason {
        Reason::EndsEndpoints => reason,
        _ if attempts.may_have_run() => Reason::AnswerLost,
        _ => reason,
    };
    note!(GenerationRefused, attempt = job.name(), entry = job.entry().name.as_str(),
        reason:% = reason, ms = job.arrived.elapsed().as_millis() as u64);
    job.refuse(reason)
}

/// The body of a streamed answer. When the caller leaves, it is dropped, and the
/// relay learns of it by its closed channel.
struct PieceBody {
    pieces: mpsc::Receiver<Piece>,
}

impl http_body::Body for PieceBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let piece = core::task::ready!(self.pieces.poll_recv(cx));
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }
}
