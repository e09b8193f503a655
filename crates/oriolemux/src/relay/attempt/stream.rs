//! Reads the stream of a generation, and resumes it when the connection breaks.

use super::chunks::{StallTimer, drain, next_chunk, next_ready_chunk};
use super::{AttemptEnd, Interrupt, Next, count_discarded};
use crate::callers::port::NodeGone;
use crate::endpoints::{EndpointFailure, EndpointProtocol, EndpointResponse, ResumePoint};
use crate::relay::Relay;
use crate::relay::events::{EngineEvent, EventReader, FinishReason, Garbage, Usage};
use bytes::Bytes;
use core::time::Duration;
use oriolemux_core::Reason;
use oriolemux_core::delivery::{EndMark, ResumeResponse, Step, StreamAction};
use oriolemux_core::event::{DeliveryMode, Dispatch};

/// How many bytes are buffered for the caller before they are flushed, even if more tokens have
/// arrived.
const FLUSH_BYTES: usize = 64 * 1024;

/// How many bytes are read before the caller and the node's orders are looked at, even if more have
/// arrived. Bytes that are no event fill no buffer, so an endpoint that sends them without end would
/// be read for ever.
const READ_BYTES: usize = 256 * 1024;

/// The end mark that completed the response.
#[derive(Clone, Copy, Debug)]
struct Ending {
    finish: FinishReason,
    usage: Usage,
}

/// Why reading stopped.
enum Stop {
    /// The delivery requires an action other than reading more bytes.
    Step(Step),
    /// The response is complete.
    Complete(Step, Ending),
    Interrupt(Interrupt),
    NodeGone,
}

impl From<Interrupt> for Stop {
    fn from(interrupt: Interrupt) -> Self {
        Stop::Interrupt(interrupt)
    }
}

impl From<NodeGone> for Stop {
    fn from(NodeGone: NodeGone) -> Self {
        Stop::NodeGone
    }
}

impl<E: EndpointProtocol> Relay<E> {
    /// Reads a generation's stream, and the streams that resume it, to the end.
    pub(super) async fn run_stream(
        &mut self,
        dispatch: &Dispatch,
        response: EndpointResponse<E::Body>,
    ) -> Result<AttemptEnd, NodeGone> {
        self.delivery.on_response_started();
        let mut reader = EventReader::new(&dispatch.attempt.to_string());
        let mut response = response;
        loop {
            let stop = self.read_stream(dispatch, &mut response, &mut reader).await;
            let step = match stop {
                Stop::Step(step) => step,
                Stop::Complete(step, ending) => {
                    return self.complete(dispatch, step, ending, response.body).await;
                }
                Stop::Interrupt(interrupt) => {
                    return Ok(self.interrupted(dispatch, interrupt).await);
                }
                Stop::NodeGone => return Err(NodeGone),
            };
            drop(response);
            reader.clear();
            response = match self.apply(dispatch, step).await? {
                Next::Read | Next::End => return Ok(AttemptEnd::Reported),
                Next::Resume { after, delay } => match self.reopen(dispatch, after, delay).await? {
                    Ok(response) => response,
                    Err(end) => return Ok(end),
                },
            };
        }
    }

    /// Resumes a generation whose stream never began.
    pub(super) async fn resume_stream(
        &mut self,
        dispatch: &Dispatch,
        after: Option<u32>,
        delay: Duration,
    ) -> Result<AttemptEnd, NodeGone> {
        match self.reopen(dispatch, after, delay).await? {
            Ok(response) => self.run_stream(dispatch, response).await,
            Err(end) => Ok(end),
        }
    }

    /// Requests the rest from the same endpoint until it responds or the delivery gives up.
    async fn reopen(
        &mut self,
        dispatch: &Dispatch,
        after: Option<u32>,
        delay: Duration,
    ) -> Result<Result<EndpointResponse<E::Body>, AttemptEnd>, NodeGone> {
        let (mut after, mut delay) = (after, delay);
        loop {
            let point = ResumePoint {
                attempt: dispatch.attempt,
                last_index: after,
            };
            let request = async {
                tokio::time::sleep(delay).await;
                let limit = dispatch.stall_limit;
                self.protocol.resume(&dispatch.endpoint, point, limit).await
            };
            let step = match self.channels.watch(request).await {
                Err(interrupt) => return Ok(Err(self.interrupted(dispatch, interrupt).await)),
                Ok(Ok(response)) => {
                    self.delivery.on_resume_response(ResumeResponse::Ok);
                    return Ok(Ok(response));
                }
                Ok(Err(EndpointFailure::Broken(Reason::GenerationLost))) => {
                    self.delivery.on_resume_response(ResumeResponse::Lost)
                }
                Ok(Err(failure)) => self.on_failure(&failure),
            };
            match self.apply(dispatch, step).await? {
                Next::Read | Next::End => return Ok(Err(AttemptEnd::Reported)),
                Next::Resume { after: a, delay: d } => (after, delay) = (a, d),
            }
        }
    }

    /// Reads until the delivery requires another action.
    async fn read_stream(
        &mut self,
        dispatch: &Dispatch,
        response: &mut EndpointResponse<E::Body>,
        reader: &mut EventReader,
    ) -> Stop {
        if !is_event_stream(response) {
            return Stop::Step(self.delivery.on_garbage());
        }
        let mut stall = StallTimer::new(dispatch.stall_limit);
        loop {
            let next = next_chunk(&mut response.body, &mut stall);
            let chunk = match self.channels.watch(next).await {
                Err(interrupt) => return interrupt.into(),
                Ok(chunk) => chunk,
            };
            if let Err(stop) = self
                .process_chunks(dispatch, chunk, &mut response.body, reader)
                .await
            {
                return self.flush_before(stop).await;
            }
            if let Err(interrupt) = self.channels.flush().await {
                return interrupt.into();
            }
        }
    }

    /// Flushes the buffered tokens before a stop, because the delivery counts them as delivered.
    /// At the end of a complete response they are sent together with the end mark.
    async fn flush_before(&mut self, stop: Stop) -> Stop {
        if let Stop::Complete(..) = stop {
            return stop;
        }
        match self.channels.flush().await {
            Ok(()) => stop,
            Err(interrupt) => interrupt.into(),
        }
    }

    /// Processes a chunk and all chunks that have already arrived after it, so that they are sent
    /// in one write.
    async fn process_chunks(
        &mut self,
        dispatch: &Dispatch,
        first: Result<Option<Bytes>, EndpointFailure>,
        body: &mut E::Body,
        reader: &mut EventReader,
    ) -> Result<(), Stop> {
        let mut chunk = first;
        let mut read = 0;
        loop {
            match chunk {
                Ok(Some(bytes)) => {
                    read += bytes.len();
                    reader.push(&bytes);
                }
                Ok(None) => return Err(Stop::Step(self.delivery.on_closed())),
                Err(failure) => return Err(Stop::Step(self.on_failure(&failure))),
            }
            self.process_events(dispatch, reader).await?;
            if self.channels.caller.pending_bytes() >= FLUSH_BYTES {
                return Ok(());
            }
            if read >= READ_BYTES {
                // Without a yield the runtime's budget of this task stays used up, and its
                // channels look empty.
                tokio::task::yield_now().await;
                return Ok(());
            }
            match next_ready_chunk(body).await {
                Some(next) => chunk = next,
                None => return Ok(()),
            }
        }
    }

    async fn process_events(
        &mut self,
        dispatch: &Dispatch,
        reader: &mut EventReader,
    ) -> Result<(), Stop> {
        let keeps_delivered = dispatch.idempotent || self.channels.caller.keeps_tokens();
        loop {
            let event = match reader.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => return Ok(()),
                Err(Garbage) => return Err(Stop::Step(self.delivery.on_garbage())),
            };
            let step = match event {
                EngineEvent::Token {
                    attempt,
                    index,
                    text,
                } => {
                    let step = self.delivery.on_token(&attempt, index, &text);
                    let is_kept = match step.action {
                        StreamAction::Deliver => keeps_delivered,
                        // A replay is compared with what is kept, and not kept itself.
                        StreamAction::Hold => dispatch.delivery == DeliveryMode::Whole,
                        _ => false,
                    };
                    if is_kept && self.kept.tokens.add(text.len()).is_err() {
                        // It counts as delivered, so it is sent before the attempt ends.
                        if step.action == StreamAction::Deliver {
                            self.channels.caller.token(index, &text);
                        }
                        return Err(Stop::Step(self.delivery.on_endpoint_error()));
                    }
                    if step.action == StreamAction::Deliver {
                        self.channels.caller.token(index, &text);
                    }
                    step
                }
                EngineEvent::End {
                    attempt,
                    index,
                    finish,
                    usage,
                } => {
                    let step = self.delivery.on_end(&attempt, end_mark(index, usage));
                    if step.action == StreamAction::Complete {
                        let usage = usage.unwrap_or_default();
                        return Err(Stop::Complete(step, Ending { finish, usage }));
                    }
                    step
                }
                EngineEvent::Failed => self.delivery.on_endpoint_error(),
                EngineEvent::Ignored => continue,
            };
            match step.action {
                StreamAction::Deliver | StreamAction::Hold => {}
                StreamAction::Discard(reason) => count_discarded(reason),
                _ => return Err(Stop::Step(step)),
            }
            if step.report.is_some() {
                self.report(dispatch.attempt, step.report).await?;
            }
        }
    }

    /// Sends the end of the response to the caller and reports it.
    async fn complete(
        &mut self,
        dispatch: &Dispatch,
        step: Step,
        ending: Ending,
        body: E::Body,
    ) -> Result<AttemptEnd, NodeGone> {
        let first = self.delivery.delivered();
        for (index, text) in (first..).zip(self.delivery.held()) {
            self.channels.caller.token(index, text);
        }
        self.delivery.on_held_delivered();
        if self
            .channels
            .caller
            .end(ending.finish, ending.usage)
            .await
            .is_err()
        {
            // Not reported as complete: a duplicate request under the same ticket or key would be
            // told that the response was delivered, which it was not.
            return Ok(AttemptEnd::Interrupted(Interrupt::CallerGone));
        }
        self.report(dispatch.attempt, step.report).await?;
        drain(body).await;
        Ok(AttemptEnd::Delivered)
    }
}

fn end_mark(index: u32, usage: Option<Usage>) -> EndMark {
    EndMark {
        index,
        completion_tokens: usage.map(|usage| usage.completion_tokens),
        prompt_tokens: usage.map(|usage| usage.prompt_tokens),
    }
}

fn is_event_stream<B>(response: &EndpointResponse<B>) -> bool {
    const EVENT_STREAM: &str = "text/event-stream";
    let content_type = response.content_type.as_ref();
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(|text| text.trim_start().starts_with(EVENT_STREAM))
}
