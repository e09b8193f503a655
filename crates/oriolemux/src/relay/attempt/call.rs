//! A call of a plain service.

use super::{AttemptEnd, Interrupt};
use crate::callers::port::NodeGone;
use crate::endpoints::{Answer, AnswerBody, EndpointFailure, EndpointProtocol};
use crate::relay::Relay;
use bytes::Bytes;
use oriolemux_core::Reason;
use oriolemux_core::delivery::StreamAction;
use oriolemux_core::event::Dispatch;
use tokio::time::timeout;

/// The largest answer of a plain service that is handed on. It is held in
/// memory until it is whole, so that a caller never gets half an answer.
const MAX_CALL_ANSWER: usize = 8 << 20;

impl<E: EndpointProtocol> Relay<E> {
    pub(super) async fn run_call(
        &mut self,
        dispatch: &Dispatch,
        answer: Answer<E::Body>,
    ) -> Result<AttemptEnd, NodeGone> {
        self.delivery.on_response_started();
        let read = read_whole::<E>(answer.body, dispatch);
        let step = match self.ends.watch(read).await {
            Err(interrupt) => return Ok(self.interrupted(dispatch, interrupt).await),
            Ok(Err(failure)) => {
                let step = self.on_failure(&failure);
                return self.follow(dispatch, step).await;
            }
            Ok(Ok(body)) => {
                let attempt = answer.attempt.as_deref().unwrap_or_default();
                let step = self.delivery.on_call_response(attempt);
                if step.action != StreamAction::Complete {
                    return self.follow(dispatch, step).await;
                }
                if self.ends.caller.answer(answer.content_type, body).is_err() {
                    return Ok(AttemptEnd::Interrupted(Interrupt::CallerGone));
                }
                step
            }
        };
        self.report(dispatch.attempt, step.report).await?;
        Ok(AttemptEnd::Answered)
    }
}

async fn read_whole<E: EndpointProtocol>(
    mut body: E::Body,
    dispatch: &Dispatch,
) -> Result<Bytes, EndpointFailure> {
    let mut whole = Vec::new();
    loop {
        let chunk = timeout(dispatch.stall_limit, body.chunk()).await;
        let chunk = chunk.unwrap_or(Err(EndpointFailure::Broken(Reason::Stalled)))?;
        let Some(chunk) = chunk else {
            return Ok(whole.into());
        };
        if whole.len() + chunk.len() > MAX_CALL_ANSWER {
            return Err(EndpointFailure::Broken(Reason::Garbage));
        }
        whole.extend_from_slice(&chunk);
    }
}
