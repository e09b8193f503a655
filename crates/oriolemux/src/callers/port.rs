//! The interface between the I/O tasks and the single task that owns the node.
//!
//! Every request has a task of its own, which holds the connections to the caller and to the
//! endpoint. Through a [`NodePort`] it submits the request, receives the node's orders and reports
//! their results. Both directions are bounded queues: a node task that falls behind applies
//! backpressure to the requests and uses no more memory.

use core::time::Duration;
use oriolemux_core::event::RequestArrival;
use oriolemux_core::event::{AttemptUpdate, Dispatch};
use oriolemux_core::{
    AttemptId, Event, Incarnation, InstanceKey, Reason, RequestId, Time, Verdict,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};

/// How many inputs are queued for the node task before senders have to wait.
pub const NODE_QUEUE: usize = 4_096;

/// How many orders are queued for one request's task.
///
/// The node gives the next order only after the report on the last one, so two places suffice (an
/// order and the cancellation that overtakes it). The rest is reserve for changes of the node.
pub const ORDER_QUEUE: usize = 8;

/// An input of the node task.
#[derive(Debug)]
pub enum NodeInput {
    /// An event that is passed to the node unchanged.
    Event(Event),
    /// A new request.
    Submit {
        /// The request.
        arrival: Box<RequestArrival>,
        /// Receives the node's orders for the request. The node task keeps this until it has sent
        /// [`RequestOrder::Finish`] or the request has ended.
        orders: mpsc::Sender<RequestOrder>,
    },
    /// Query for the entries that the workspace of a key may use.
    Entries {
        /// SHA-256 of the caller's bearer key.
        key_digest: [u8; 32],
        /// Receives the result.
        reply: oneshot::Sender<Result<Vec<String>, Reason>>,
    },
    /// Request for a ticket that binds one later request to this process.
    Ticket {
        /// SHA-256 of the caller's bearer key.
        key_digest: [u8; 32],
        /// The id of the ticket.
        id: RequestId,
        /// Receives the result.
        reply: oneshot::Sender<Result<RequestId, Reason>>,
    },
}

/// An order of the node to the task of one request.
#[derive(Debug)]
pub enum RequestOrder {
    /// Run an attempt.
    Dispatch(Box<Dispatch>),
    /// Cancel the attempt at its endpoint; send nothing to the caller yet.
    Cancel,
    /// Send the caller the final outcome and end the request.
    Finish(Verdict),
}

/// The node task has ended, so this process makes no more decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
/// the node task has ended
pub struct NodeGone;

/// The monotonic clock that the I/O tasks and the node task share.
///
/// Copies have the same origin, so a deadline set by the node ([`Dispatch::send_before`]) can be
/// compared with a reading taken right before a send.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock at [`Time::ZERO`].
    pub fn start() -> Self {
        Clock {
            origin: Instant::now(),
        }
    }

    /// Reads the clock.
    pub fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    /// Returns the time until `point`, or zero if it has passed.
    pub fn until(&self, point: Time) -> Duration {
        point.since(self.now())
    }

    /// Converts `point` to tokio's clock.
    pub fn instant(&self, point: Time) -> tokio::time::Instant {
        let since_origin = point.since(Time::ZERO);
        let point = self.origin.checked_add(since_origin);
        tokio::time::Instant::from_std(point.unwrap_or_else(far_future))
    }
}

/// Returns a point that no process reaches.
fn far_future() -> Instant {
    const A_YEAR: Duration = Duration::from_secs(365 * 24 * 3_600);
    Instant::now() + A_YEAR
}

/// Assigns the ids of the requests of one incarnation.
///
/// Invariant: no id is assigned twice, because every process has a new incarnation and the
/// sequence never decreases within it.
#[derive(Debug)]
pub struct RequestIds {
    instance: InstanceKey,
    incarnation: Incarnation,
    last: AtomicU64,
}

impl RequestIds {
    /// Starts the sequence of one incarnation of an instance.
    pub fn new(instance: InstanceKey, incarnation: Incarnation) -> Self {
        RequestIds {
            instance,
            incarnation,
            last: AtomicU64::new(0),
        }
    }

    /// Returns the next id.
    pub fn next_id(&self) -> RequestId {
        RequestId {
            instance: self.instance,
            incarnation: self.incarnation,
            seq: self.last.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}

/// The sending end of the node task's queue, with the clock and the request ids.
#[derive(Clone, Debug)]
pub struct NodePort {
    inputs: mpsc::Sender<NodeInput>,
    ids: Arc<RequestIds>,
    clock: Clock,
}

impl NodePort {
    /// Creates a port and the receiver for the node task.
    pub fn new(ids: RequestIds, clock: Clock) -> (Self, mpsc::Receiver<NodeInput>) {
        let (inputs, rx) = mpsc::channel(NODE_QUEUE);
        let port = NodePort {
            inputs,
            ids: Arc::new(ids),
            clock,
        };
        (port, rx)
    }

    /// Returns the clock that the node task uses too.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the id for a new request.
    pub fn next_id(&self) -> RequestId {
        self.ids.next_id()
    }

    /// Submits a request to the node and returns the queue of its orders.
    ///
    /// # Errors
    ///
    /// Fails if the node task has ended. The request did not run then.
    pub async fn submit(
        &self,
        arrival: Box<RequestArrival>,
    ) -> Result<mpsc::Receiver<RequestOrder>, NodeGone> {
        let (orders, rx) = mpsc::channel(ORDER_QUEUE);
        self.send(NodeInput::Submit { arrival, orders }).await?;
        Ok(rx)
    }

    /// Sends an event to the node.
    ///
    /// # Errors
    ///
    /// Fails if the node task has ended.
    pub async fn event(&self, event: Event) -> Result<(), NodeGone> {
        self.send(NodeInput::Event(event)).await
    }

    /// Reports the progress or the end of an attempt to the node.
    ///
    /// # Errors
    ///
    /// Fails if the node task has ended.
    pub async fn attempt(&self, attempt: AttemptId, update: AttemptUpdate) -> Result<(), NodeGone> {
        self.event(Event::Attempt { attempt, update }).await
    }

    /// Returns the entries that the holder of a key may use.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal, or [`Reason::Stopping`] if the
    /// node task has ended.
    pub async fn entries(&self, key_digest: [u8; 32]) -> Result<Vec<String>, Reason> {
        let (reply, rx) = oneshot::channel();
        self.request(NodeInput::Entries { key_digest, reply }, rx)
            .await
    }

    /// Requests a ticket.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal, or [`Reason::Stopping`] if the
    /// node task has ended.
    pub async fn ticket(&self, key_digest: [u8; 32]) -> Result<RequestId, Reason> {
        let (reply, rx) = oneshot::channel();
        let id = self.next_id();
        let input = NodeInput::Ticket {
            key_digest,
            id,
            reply,
        };
        self.request(input, rx).await
    }

    async fn request<T>(
        &self,
        input: NodeInput,
        rx: oneshot::Receiver<Result<T, Reason>>,
    ) -> Result<T, Reason> {
        self.send(input)
            .await
            .map_err(|NodeGone| Reason::Stopping)?;
        rx.await.unwrap_or(Err(Reason::Stopping))
    }

    async fn send(&self, input: NodeInput) -> Result<(), NodeGone> {
        self.inputs.send(input).await.map_err(|_| NodeGone)
    }
}
