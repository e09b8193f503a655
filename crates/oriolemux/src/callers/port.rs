//! The door between the sockets and the one task that owns the node.
//!
//! Every request has a task of its own, which holds the caller's connection and
//! the endpoint's. It asks the node task for orders through a [`NodePort`] and
//! reports what became of them. Both directions are bounded queues: a node task
//! that falls behind slows the requests down and costs no memory.

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

/// How many inputs wait for the node task before the senders wait too.
pub const NODE_QUEUE: usize = 4_096;

/// How many orders wait for one request's task.
///
/// The node gives the next order only after the report on the last one, so two
/// places suffice (an order and the cancellation that overtakes it); the rest
/// is room for a node that is changed.
pub const ORDER_QUEUE: usize = 8;

/// What the node task takes in.
#[derive(Debug)]
pub enum NodeInput {
    /// An event for the node as it is.
    Event(Event),
    /// A request, and where its orders go.
    Submit {
        /// The request.
        arrival: Box<RequestArrival>,
        /// Where the node's orders for it go. The node task keeps this until it
        /// has sent [`RequestOrder::Finish`] or the request is over.
        orders: mpsc::Sender<RequestOrder>,
    },
    /// Which entries may the workspace use that holds this key?
    Entries {
        /// SHA-256 of the caller's bearer key.
        key_digest: [u8; 32],
        /// Where the answer goes.
        reply: oneshot::Sender<Result<Vec<String>, Reason>>,
    },
    /// Issue a ticket that binds one later request to this process.
    Ticket {
        /// SHA-256 of the caller's bearer key.
        key_digest: [u8; 32],
        /// The id drawn for the ticket.
        id: RequestId,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<RequestId, Reason>>,
    },
}

/// What the node asks of one request's task.
#[derive(Debug)]
pub enum RequestOrder {
    /// Run an attempt.
    Dispatch(Box<Dispatch>),
    /// End the attempt at its endpoint; tell the caller nothing yet.
    Cancel,
    /// Give the caller its final answer; the request is over.
    Finish(Verdict),
}

/// The node task has ended, so nothing more is decided in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
/// the node task has ended
pub struct NodeGone;

/// The monotonic clock that the shell and the node task share.
///
/// Clones have the same origin, so that a point set by the node
/// ([`Dispatch::send_before`]) can be compared with a reading taken right
/// before a send.
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

    /// Returns how long it is until `point`, or zero if it has passed.
    pub fn until(&self, point: Time) -> Duration {
        point.since(self.now())
    }

    /// Returns the point `point` on tokio's clock.
    pub fn instant(&self, point: Time) -> tokio::time::Instant {
        let since_origin = point.since(Time::ZERO);
        let point = self.origin.checked_add(since_origin);
        tokio::time::Instant::from_std(point.unwrap_or_else(far_future))
    }
}

/// Returns a point so late that no process lives to see it.
fn far_future() -> Instant {
    const A_YEAR: Duration = Duration::from_secs(365 * 24 * 3_600);
    Instant::now() + A_YEAR
}

/// Draws the ids of the requests of one life of this process.
///
/// Invariant: no id is drawn twice, because the incarnation is new for every
/// process and the sequence never goes back within it.
#[derive(Debug)]
pub struct RequestIds {
    instance: InstanceKey,
    incarnation: Incarnation,
    last: AtomicU64,
}

impl RequestIds {
    /// Starts the sequence of one life of an instance.
    pub fn new(instance: InstanceKey, incarnation: Incarnation) -> Self {
        RequestIds {
            instance,
            incarnation,
            last: AtomicU64::new(0),
        }
    }

    /// Draws the next id.
    pub fn next_id(&self) -> RequestId {
        RequestId {
            instance: self.instance,
            incarnation: self.incarnation,
            seq: self.last.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }
}

/// The sending end of the node task's queue, with what every sender needs.
#[derive(Clone, Debug)]
pub struct NodePort {
    inputs: mpsc::Sender<NodeInput>,
    ids: Arc<RequestIds>,
    clock: Clock,
}

impl NodePort {
    /// Makes a port and the receiver that the node task reads.
    pub fn new(ids: RequestIds, clock: Clock) -> (Self, mpsc::Receiver<NodeInput>) {
        let (inputs, rx) = mpsc::channel(NODE_QUEUE);
        let port = NodePort {
            inputs,
            ids: Arc::new(ids),
            clock,
        };
        (port, rx)
    }

    /// Returns the clock that the node task reads too.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Draws an id for a new request.
    pub fn next_id(&self) -> RequestId {
        self.ids.next_id()
    }

    /// Hands a request to the node and returns the queue of its orders.
    ///
    /// # Errors
    ///
    /// Fails if the node task has ended; then the request ran nowhere.
    pub async fn submit(
        &self,
        arrival: Box<RequestArrival>,
    ) -> Result<mpsc::Receiver<RequestOrder>, NodeGone> {
        let (orders, rx) = mpsc::channel(ORDER_QUEUE);
        self.send(NodeInput::Submit { arrival, orders }).await?;
        Ok(rx)
    }

    /// Tells the node something.
    ///
    /// # Errors
    ///
    /// Fails if the node task has ended.
    pub async fn event(&self, event: Event) -> Result<(), NodeGone> {
        self.send(NodeInput::Event(event)).await
    }

    /// Tells the node what became of an attempt.
    ///
    /// # Errors
    ///
    /// Fails if the node task has ended.
    pub async fn attempt(&self, attempt: AttemptId, update: AttemptUpdate) -> Result<(), NodeGone> {
        self.event(Event::Attempt { attempt, update }).await
    }

    /// Asks which entries the holder of a key may use.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal, or [`Reason::Internal`] if the
    /// node task has ended.
    pub async fn entries(&self, key_digest: [u8; 32]) -> Result<Vec<String>, Reason> {
        let (reply, rx) = oneshot::channel();
        self.request(NodeInput::Entries { key_digest, reply }, rx)
            .await
    }

    /// Asks for a ticket.
    ///
    /// # Errors
    ///
    /// Fails with the reason of the refusal, or [`Reason::Internal`] if the
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
            .map_err(|NodeGone| Reason::Internal)?;
        rx.await.unwrap_or(Err(Reason::Internal))
    }

    async fn send(&self, input: NodeInput) -> Result<(), NodeGone> {
        self.inputs.send(input).await.map_err(|_| NodeGone)
    }
}
