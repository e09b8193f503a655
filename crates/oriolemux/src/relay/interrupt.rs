//! What may end a wait from outside the exchange with the endpoint.

use super::caller::Caller;
use crate::callers::port::RequestOrder;
use core::future::Future;
use oriolemux_core::Verdict;
use tokio::sync::mpsc;

/// Why a wait was given up.
#[derive(Debug)]
pub enum Interrupt {
    /// Nobody listens any more.
    CallerGone,
    /// The node ends the attempt.
    Cancelled,
    /// The node gives the caller its final answer.
    Finished(Verdict),
    /// The node task has ended.
    NodeGone,
}

/// The two ends that every wait of a request watches besides the endpoint.
#[derive(Debug)]
pub struct RequestChannels {
    /// The node's orders.
    pub orders: mpsc::Receiver<RequestOrder>,
    /// The caller.
    pub caller: Caller,
}

impl RequestChannels {
    /// Waits for `work`, unless the caller leaves or the node ends the attempt
    /// first. Both are looked at before the work: an endpoint that always has
    /// more to read must not keep the node's orders waiting.
    pub async fn watch<F: Future>(&mut self, work: F) -> Result<F::Output, Interrupt> {
        tokio::select! {
            biased;
            order = self.orders.recv() => Err(interrupt_of(order)),
            _gone = self.caller.gone() => Err(Interrupt::CallerGone),
            output = work => Ok(output),
        }
    }

    /// Hands what waits to the caller, however slow it reads, unless the node
    /// ends the attempt first.
    pub async fn flush(&mut self) -> Result<(), Interrupt> {
        if self.caller.pending_bytes() == 0 {
            return Ok(());
        }
        tokio::select! {
            biased;
            flushed = self.caller.flush() => flushed.map_err(|_| Interrupt::CallerGone),
            order = self.orders.recv() => Err(interrupt_of(order)),
        }
    }
}

fn interrupt_of(order: Option<RequestOrder>) -> Interrupt {
    match order {
        Some(RequestOrder::Cancel) => Interrupt::Cancelled,
        Some(RequestOrder::Finish(verdict)) => Interrupt::Finished(verdict),
        // A second dispatch while an attempt runs breaks the node's own rules;
        // ending this attempt keeps one generation per request.
        Some(RequestOrder::Dispatch(_)) => Interrupt::Cancelled,
        None => Interrupt::NodeGone,
    }
}
