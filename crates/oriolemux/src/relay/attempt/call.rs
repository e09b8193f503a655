//! A call of a plain service.

use super::{AttemptEnd, Interrupt};
use crate::buffered::{BufferBudget, BufferedBody};
use crate::callers::port::NodeGone;
use crate::endpoints::{EndpointFailure, EndpointProtocol, EndpointResponse, ResponseBody};
use crate::relay::Relay;
use bytes::Bytes;
use oriolemux_core::Reason;
use oriolemux_core::delivery::StreamAction;
use oriolemux_core::event::Dispatch;
use tokio::time::timeout;

impl<E: EndpointProtocol> Relay<E> {
    pub(super) async fn run_call(
        &mut self,
        dispatch: &Dispatch,
        response: EndpointResponse<E::Body>,
    ) -> Result<AttemptEnd, NodeGone> {
        self.delivery.on_response_started();
        let read = read_full_body::<E>(response.body, dispatch, self.kept.tokens.budget().clone());
        let step = match self.channels.watch(read).await {
            Err(interrupt) => return Ok(self.interrupted(dispatch, interrupt).await),
            Ok(Err(failure)) => {
                let step = self.on_failure(&failure);
                return self.apply_before_response(dispatch, step).await;
            }
            Ok(Ok(body)) => {
                let attempt = response.attempt.as_deref().unwrap_or_default();
                let step = self.delivery.on_call_response(attempt);
                if step.action != StreamAction::Complete {
                    return self.apply_before_response(dispatch, step).await;
                }
                if self
                    .channels
                    .caller
                    .send_response(response.content_type, body)
                    .is_err()
                {
                    return Ok(AttemptEnd::Interrupted(Interrupt::CallerGone));
                }
                step
            }
        };
        self.report(dispatch.attempt, step.report).await?;
        Ok(AttemptEnd::Delivered)
    }
}

/// Buffers a response in memory until it is complete, so that a caller never receives a truncated
/// one.
async fn read_full_body<E: EndpointProtocol>(
    mut body: E::Body,
    dispatch: &Dispatch,
    budget: BufferBudget,
) -> Result<Bytes, EndpointFailure> {
    let mut full = BufferedBody::new(&budget);
    loop {
        let chunk = timeout(dispatch.stall_limit, body.chunk()).await;
        let chunk = chunk.unwrap_or(Err(EndpointFailure::Broken(Reason::Stalled)))?;
        let Some(chunk) = chunk else {
            return Ok(full.into_bytes());
        };
        full.push(&chunk)
            .map_err(|_| EndpointFailure::Broken(Reason::Garbage))?;
    }
}
