//! The single task that owns the [`Node`].
//!
//! All decisions of the process are made here, one after the other, so the core needs no locks.
//! The task never waits for the network: actions go to [`Effects`], and their results come back
//! as events. Queued inputs are processed in batches, and all messages of a batch to one peer are
//! sent as one frame.

mod effects;
mod view;

pub use effects::{Effects, LiveEffects};
pub use view::Identity;

use crate::callers::port::{Clock, NodeInput, RequestOrder};
use crate::events::{self, ShellNote};
use crate::operators::OperatorQuery;
use crate::status::{Explanation, Readiness};
use crate::supervisor::StopTokens;
use oriolemux_core::event::{Action, AttemptUpdate, Event};
use oriolemux_core::explain::Names;
use oriolemux_core::peer::PeerMessage;
use oriolemux_core::{InstanceKey, Node, Reason, RequestId, Time};
use std::collections::BTreeMap;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};

/// The most inputs that are processed before the messages to peers are sent.
const MAX_BATCH: usize = 128;

/// The channels between the node task and the rest of the process.
pub struct NodeChannels {
    /// The clock that the whole process shares.
    pub clock: Clock,
    /// Inputs from requests, endpoints, peers and the platform.
    pub inputs: mpsc::Receiver<NodeInput>,
    /// Queries of operators.
    pub queries: mpsc::Receiver<OperatorQuery>,
    /// Publishes whether the node is ready.
    pub readiness: watch::Sender<Readiness>,
    /// Cancelled when the process is to stop.
    pub stop: StopTokens,
}

/// The task that owns the node.
pub struct NodeTask<E> {
    node: Node,
    clock: Clock,
    effects: E,
    inputs: mpsc::Receiver<NodeInput>,
    queries: mpsc::Receiver<OperatorQuery>,
    readiness: watch::Sender<Readiness>,
    identity: Identity,
    stop: StopTokens,
    /// The order queue of each request, by its sequence number.
    orders: BTreeMap<u64, mpsc::Sender<RequestOrder>>,
    /// The reply channel of each pending ticket, by its sequence number.
    tickets: BTreeMap<u64, oneshot::Sender<Result<RequestId, Reason>>>,
    /// Messages of the current batch, by peer.
    outbox: BTreeMap<InstanceKey, Vec<PeerMessage>>,
    /// Buffer that is reused between events.
    actions: Vec<Action>,
    /// When the node wants its next [`Event::Wake`].
    wake: Time,
    stopped: bool,
}

impl<E: Effects> NodeTask<E> {
    /// Creates the task; [`NodeTask::run`] starts it.
    pub fn new(node: Node, effects: E, identity: Identity, channels: NodeChannels) -> Self {
        NodeTask {
            node,
            effects,
            identity,
            clock: channels.clock,
            inputs: channels.inputs,
            queries: channels.queries,
            readiness: channels.readiness,
            stop: channels.stop,
            orders: BTreeMap::new(),
            tickets: BTreeMap::new(),
            outbox: BTreeMap::new(),
            actions: Vec::new(),
            wake: Time::NEVER,
            stopped: false,
        }
    }

    /// Runs until a planned stop has finished the last request, or until all senders of inputs
    /// are dropped.
    pub async fn run(mut self) {
        self.node.start(self.clock.now(), &mut self.actions);
        self.apply_actions();
        while !self.stopped {
            let wake = self.clock.instant(self.wake);
            tokio::select! {
                input = self.inputs.recv() => match input {
                    Some(input) => self.handle_inputs(input),
                    None => return,
                },
                Some(query) = self.queries.recv() => self.handle_query(query),
                () = tokio::time::sleep_until(wake) => self.handle(Event::Wake),
                () = self.stop.planned.cancelled(), if !self.node.is_stopping() => {
                    self.handle(Event::Stop);
                }
            }
            self.flush();
            self.publish_readiness();
        }
        self.refuse_queued().await;
    }

    /// Handles the inputs that were queued while the task ended; the node refuses requests then.
    /// Without an answer of the node their callers would be told of an internal error.
    async fn refuse_queued(&mut self) {
        self.inputs.close();
        while let Some(input) = self.inputs.recv().await {
            self.handle_input(input);
        }
        self.flush();
    }

    fn handle_inputs(&mut self, first: NodeInput) {
        self.handle_input(first);
        for _ in 1..MAX_BATCH {
            match self.inputs.try_recv() {
                Ok(input) => self.handle_input(input),
                Err(_) => return,
            }
        }
    }

    fn handle_input(&mut self, input: NodeInput) {
        match input {
            NodeInput::Event(event) => {
                let ended = ended_request(&event);
                self.log_link_change(&event);
                self.handle(event);
                if let Some(id) = ended {
                    self.orders.remove(&id.seq);
                }
            }
            NodeInput::Submit { arrival, orders } => {
                self.orders.insert(arrival.id.seq, orders);
                self.handle(Event::Request(arrival));
            }
            NodeInput::Entries { key_digest, reply } => {
                // The caller may have disconnected meanwhile, which is not a fault.
                let _ = reply.send(self.node.entries(&key_digest));
            }
            NodeInput::Ticket {
                key_digest,
                id,
                reply,
            } => {
                self.tickets.insert(id.seq, reply);
                let ticket = id;
                self.handle(Event::RequestTicket { key_digest, ticket });
            }
        }
    }

    /// Logs links that come up or go down. A failed attempt to connect to a peer that was not
    /// linked is not logged.
    fn log_link_change(&self, event: &Event) {
        let (Event::PeerUp(peer) | Event::PeerDown(peer)) = event else {
            return;
        };
        let names = self.node.names();
        let key = peer.instance.to_string();
        let peer_name = names.instance(peer.instance).unwrap_or(&key);
        match event {
            Event::PeerUp(_) => events::emit_shell(&ShellNote::PeerUp { peer: peer_name }),
            _ if self.node.is_linked(peer.instance) => {
                events::emit_shell(&ShellNote::PeerDown { peer: peer_name });
            }
            _ => {}
        }
    }

    /// Answers an operator's query. A dropped receiver is not a fault.
    fn handle_query(&mut self, query: OperatorQuery) {
        match query {
            OperatorQuery::Ping(reply) => {
                let _ = reply.send(());
            }
            OperatorQuery::Status(reply) => {
                let _ = reply.send(view::status(&self.node, &self.identity));
            }
            OperatorQuery::Explain(id, reply) => {
                let steps = self.node.explain(id);
                let explanation = steps.map(|steps| Explanation {
                    request: id.to_string(),
                    steps,
                });
                let _ = reply.send(explanation);
            }
            OperatorQuery::Drain(reply) => {
                self.stop.request("operator");
                let _ = reply.send(());
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        self.node.handle(now, event, &mut self.actions);
        self.apply_actions();
    }

    fn apply_actions(&mut self) {
        let mut gone = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Dispatch(order) => {
                    let id = order.attempt.request;
                    if !self.send_order(id, RequestOrder::Dispatch(order)) {
                        gone.push(id);
                    }
                }
                Action::Cancel(id) => {
                    self.send_order(id, RequestOrder::Cancel);
                }
                Action::Finish { request, verdict } => {
                    self.send_order(request, RequestOrder::Finish(verdict));
                    self.orders.remove(&request.seq);
                }
                Action::Ticket { ticket, result } => {
                    if let Some(reply) = self.tickets.remove(&ticket.seq) {
                        // The caller may have disconnected meanwhile, which is not a fault.
                        let _ = reply.send(result.map(|()| ticket));
                    }
                }
                Action::Send { to, message } => self.outbox.entry(to).or_default().push(message),
                Action::Links(targets) => self.effects.links(targets),
                Action::Read(name) => self.effects.read(name),
                Action::Watch { name, above } => self.effects.watch(name, above),
                Action::PollLoad(target) => self.effects.poll_load(target),
                Action::Order {
                    endpoint,
                    fencing,
                    kind,
                    send_before,
                } => self.effects.order(endpoint, fencing, kind, send_before),
                Action::WakeAt(at) => self.wake = at,
                Action::Note(note) => self.effects.note(&note, &self.node.names()),
                Action::Stopped => self.stopped = true,
            }
        }
        for id in gone {
            self.orders.remove(&id.seq);
            self.handle(Event::CallerGone(id));
        }
    }

    /// Sends an order to a request's task; returns `false` if the task has ended.
    fn send_order(&mut self, id: RequestId, order: RequestOrder) -> bool {
        let Some(orders) = self.orders.get(&id.seq) else {
            return false;
        };
        match orders.try_send(order) {
            Ok(()) => true,
            Err(TrySendError::Closed(_)) => false,
            Err(TrySendError::Full(order)) => {
                // The node gives one order at a time, so a full queue is a fault of the node.
                // Dropping the order would leave the caller waiting for ever; reporting the task
                // as ended closes the request instead.
                debug_assert!(false, "orders overflow: {order:?}");
                false
            }
        }
    }

    fn publish_readiness(&self) {
        let readiness = view::readiness(&self.node);
        self.readiness.send_if_modified(|known| {
            let changed = *known != readiness;
            *known = readiness;
            changed
        });
    }

    fn flush(&mut self) {
        for (to, messages) in std::mem::take(&mut self.outbox) {
            let envelope = self.node.envelope(messages);
            self.effects.send(to, envelope);
        }
    }
}

/// Returns the request that ends with this event, so that no order follows it.
fn ended_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::CallerGone(id) => Some(*id),
        Event::Attempt {
            attempt,
            update: AttemptUpdate::Complete { .. },
        } => Some(attempt.request),
        _ => None,
    }
}
