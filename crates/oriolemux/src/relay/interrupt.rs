//! Events of the caller or the node that end a wait for the endpoint.

use super::caller::Caller;
use crate::callers::port::RequestOrder;
use core::future::Future;
use oriolemux_core::Verdict;
use tokio::sync::mpsc;

/// Why a wait was interrupted.
#[derive(Debug)]
pub enum Interrupt {
    /// The caller disconnected or stopped reading.
    CallerGone,
    /// The node cancelled the attempt.
    Cancelled,
    /// The node has ended the request with a verdict.
    Finished(Verdict),
    /// The node task has ended.
    NodeGone,
}

/// The channels to the node and the caller, which every wait for the endpoint watches as well.
#[derive(Debug)]
pub struct RequestChannels {
    /// The node's orders.
    pub orders: mpsc::Receiver<RequestOrder>,
    /// The caller.
    pub caller: Caller,
}

impl RequestChannels {
    /// Waits for `work`, unless the caller disconnects or the node ends the attempt first. Both
    /// are polled before `work`: an endpoint that always has more to read must not delay the
    /// node's orders.
    pub async fn watch<F: Future>(&mut self, work: F) -> Result<F::Output, Interrupt> {
        tokio::select! {
            biased;
            order = self.orders.recv() => Err(interrupt_of(order)),
            _gone = self.caller.gone() => Err(Interrupt::CallerGone),
            output = work => Ok(output),
        }
    }

    /// Flushes the buffered bytes to the caller, however slowly it reads, unless the node ends the
    /// attempt first.
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
        // The node must not dispatch while an attempt runs. Ending this attempt keeps one
        // generation per request.
        Some(RequestOrder::Dispatch(_)) => Interrupt::Cancelled,
        None => Interrupt::NodeGone,
    }
}
