//! Runs one request, from the node's orders to the last byte for the caller.
//!
//! Each request has a task of its own, the [`Relay`]. It holds the connections to the caller and
//! to the endpoint, so tokens never pass through the node task. [`Delivery`], a pure state machine
//! of the core, decides what is sent to the caller; the relay only moves bytes and reports to the
//! node. See `docs/design/relay.md`.

pub mod caller;
pub mod chunk;
pub mod events;

mod attempt;
mod interrupt;

use crate::buffered::CountedBytes;
use crate::callers::errors::ErrorResponse;
use crate::callers::port::{NodeGone, NodePort, RequestOrder};
use crate::endpoints::{EndpointProtocol, WorkBody};
use attempt::AttemptEnd;
use caller::Caller;
use interrupt::{Interrupt, RequestChannels};
use oriolemux_core::delivery::Delivery;
use oriolemux_core::event::AttemptUpdate;
use oriolemux_core::outcome::RequestOutcome;
use oriolemux_core::{AttemptId, Event, Reason, RequestId, Verdict};
use oriolemux_gateway::bodies::KeptBody;
use tokio::sync::mpsc;

/// Counts of the bytes that a request keeps.
#[derive(Debug)]
pub struct KeptBytes {
    /// Its body, which is sent with each attempt.
    pub request: KeptBody,
    /// Tokens, which are kept for a replay or for the end of the response.
    pub tokens: CountedBytes,
}

/// One request that was submitted to the node.
#[derive(Debug)]
pub struct Relay<E> {
    request: RequestId,
    protocol: E,
    port: NodePort,
    work: WorkBody,
    delivery: Delivery,
    channels: RequestChannels,
    kept: KeptBytes,
    /// What this task knows about whether the request ran.
    outcome: RequestOutcome,
}

impl<E: EndpointProtocol> Relay<E> {
    /// Creates the relay of `request`; `outcome` is what is known about it so far.
    #[expect(
        clippy::too_many_arguments,
        reason = "called once, with parts of different types"
    )]
    pub fn new(
        request: RequestId,
        outcome: RequestOutcome,
        protocol: E,
        port: NodePort,
        work: WorkBody,
        orders: mpsc::Receiver<RequestOrder>,
        caller: Caller,
        kept: KeptBytes,
    ) -> Self {
        Relay {
            request,
            protocol,
            port,
            work,
            delivery: Delivery::new(),
            channels: RequestChannels { orders, caller },
            kept,
            outcome,
        }
    }

    /// Runs the request to its end.
    pub async fn run(mut self) {
        // The node task ends only with the process. Reports to it are lost then, but the caller
        // has received its response.
        let _ = self.run_orders().await;
    }

    async fn run_orders(&mut self) -> Result<(), NodeGone> {
        loop {
            let order = tokio::select! {
                biased;
                order = self.channels.orders.recv() => order,
                _gone = self.channels.caller.gone() => return self.report_caller_gone().await,
            };
            match order {
                Some(RequestOrder::Dispatch(dispatch)) => {
                    // The node orders nothing before the claim is granted.
                    self.outcome.on_claim_granted();
                    self.channels.caller.meter().granted();
                    match self.run_attempt(&dispatch).await? {
                        AttemptEnd::Reported => {}
                        AttemptEnd::Delivered => return Ok(()),
                        AttemptEnd::Interrupted(interrupt) => {
                            if self.on_interrupt(interrupt).await? {
                                return Ok(());
                            }
                        }
                    }
                }
                Some(RequestOrder::Cancel) => {}
                Some(RequestOrder::Finish(verdict)) => return self.finish(&verdict).await,
                None => return self.finish_without_node().await,
            }
        }
    }

    /// Handles an interrupted attempt; returns whether the request has ended.
    async fn on_interrupt(&mut self, interrupt: Interrupt) -> Result<bool, NodeGone> {
        match interrupt {
            Interrupt::Cancelled => return Ok(false),
            Interrupt::CallerGone => self.report_caller_gone().await?,
            Interrupt::Finished(verdict) => self.finish(&verdict).await?,
            Interrupt::NodeGone => self.finish_without_node().await?,
        }
        Ok(true)
    }

    async fn report_caller_gone(&mut self) -> Result<(), NodeGone> {
        self.port.event(Event::CallerGone(self.request)).await
    }

    async fn finish(&mut self, verdict: &Verdict) -> Result<(), NodeGone> {
        let error = ErrorResponse::from_verdict(self.request, verdict);
        match self.channels.caller.fail(error).await {
            Ok(()) => Ok(()),
            Err(caller::CallerGone) => self.report_caller_gone().await,
        }
    }

    /// Finishes a request after the node task ended without a verdict. The outcome follows from
    /// what this task sent, because nothing else sends for this request.
    async fn finish_without_node(&mut self) -> Result<(), NodeGone> {
        let delivered = self.delivery.delivered();
        let verdict = self.outcome.finish(Reason::Internal, None, delivered);
        self.finish(&verdict).await
    }

    async fn report(
        &mut self,
        attempt: AttemptId,
        update: Option<AttemptUpdate>,
    ) -> Result<(), NodeGone> {
        match update {
            Some(update) => self.port.attempt(attempt, update).await,
            None => Ok(()),
        }
    }
}
