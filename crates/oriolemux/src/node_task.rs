//! The one task that owns the node.
//!
//! Every decision of the process is taken here, one after the other, so that
//! the core needs no lock. Nothing in this task waits for the network: actions
//! are handed to [`Effects`], which answer with events later. Inputs that are
//! already waiting are taken together, and the messages to one peer that
//! follow from them leave as one frame.

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

/// The most inputs that are taken together before their effects are carried out.
const BATCH: usize = 128;

/// The ends of the queues that the node task serves.
pub struct NodeEnds {
    /// The clock that everybody in the process shares.
    pub clock: Clock,
    /// What requests, endpoints, peers and the platform say.
    pub inputs: mpsc::Receiver<NodeInput>,
    /// What operators ask.
    pub queries: mpsc::Receiver<OperatorQuery>,
    /// Where the node says whether it is ready.
    pub readiness: watch::Sender<Readiness>,
    /// Who asks the process to stop.
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
    /// Where the orders for each request go, by its sequence number.
    orders: BTreeMap<u64, mpsc::Sender<RequestOrder>>,
    /// Who waits for which ticket, by its sequence number.
    tickets: BTreeMap<u64, oneshot::Sender<Result<RequestId, Reason>>>,
    /// Messages of this turn, by peer.
    outbox: BTreeMap<InstanceKey, Vec<PeerMessage>>,
    /// Reused buffer.
    actions: Vec<Action>,
    wake: Time,
    stopped: bool,
}

impl<E: Effects> NodeTask<E> {
    /// Puts a node behind its queues.
    pub fn new(node: Node, effects: E, identity: Identity, ends: NodeEnds) -> Self {
        NodeTask {
            node,
            effects,
            identity,
            clock: ends.clock,
            inputs: ends.inputs,
            queries: ends.queries,
            readiness: ends.readiness,
            stop: ends.stop,
            orders: BTreeMap::new(),
            tickets: BTreeMap::new(),
            outbox: BTreeMap::new(),
            actions: Vec::new(),
            wake: Time::NEVER,
            stopped: false,
        }
    }

    /// Runs until a planned stop has finished the last request, or until
    /// nobody can send inputs any more.
    pub async fn run(mut self) {
        self.node.start(self.clock.now(), &mut self.actions);
        self.carry_out();
        while !self.stopped {
            let wake = self.clock.instant(self.wake);
            tokio::select! {
                input = self.inputs.recv() => match input {
                    Some(input) => self.take_batch(input),
                    None => return,
                },
                Some(query) = self.queries.recv() => self.answer(query),
                () = tokio::time::sleep_until(wake) => self.handle(Event::Wake),
                () = self.stop.planned.cancelled(), if !self.node.is_stopping() => {
                    self.handle(Event::Stop);
                }
            }
            self.flush();
            self.tell_readiness();
        }
    }

    fn take_batch(&mut self, first: NodeInput) {
        self.take(first);
        for _ in 1..BATCH {
            match self.inputs.try_recv() {
                Ok(input) => self.take(input),
                Err(_) => return,
            }
        }
    }

    fn take(&mut self, input: NodeInput) {
        match input {
            NodeInput::Event(event) => {
                let over = request_over(&event);
                self.tell_link(&event);
                self.handle(event);
                if let Some(id) = over {
                    self.orders.remove(&id.seq);
                }
            }
            NodeInput::Submit { arrival, orders } => {
                self.orders.insert(arrival.id.seq, orders);
                self.handle(Event::Request(arrival));
            }
            NodeInput::Entries { key_digest, reply } => {
                // A caller that no longer waits for the answer is not a fault.
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

    /// Tells operators of links that come and break. An attempt that fails to make a link that
    /// was not there is no news.
    fn tell_link(&self, event: &Event) {
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

    /// Answers an operator. One who no longer waits for the answer is not a fault.
    fn answer(&mut self, query: OperatorQuery) {
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
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let mut gone = Vec::new();
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Dispatch(order) => {
                    let id = order.attempt.request;
                    if !self.order(id, RequestOrder::Dispatch(order)) {
                        gone.push(id);
                    }
                }
                Action::Cancel(id) => {
                    self.order(id, RequestOrder::Cancel);
                }
                Action::Finish { request, verdict } => {
                    self.order(request, RequestOrder::Finish(verdict));
                    self.orders.remove(&request.seq);
                }
                Action::Ticket { ticket, result } => {
                    if let Some(reply) = self.tickets.remove(&ticket.seq) {
                        // A caller that no longer waits is not a fault.
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

    /// Hands an order to a request's task; returns whether the task is there.
    fn order(&mut self, id: RequestId, order: RequestOrder) -> bool {
        let Some(orders) = self.orders.get(&id.seq) else {
            return false;
        };
        match orders.try_send(order) {
            Ok(()) => true,
            Err(TrySendError::Closed(_)) => false,
            Err(TrySendError::Full(order)) => {
                // The node gives one order at a time, so a full queue is a
                // fault of the node. Dropping the order would leave the caller
                // waiting for ever; saying that the task is gone ends it.
                debug_assert!(false, "orders overflow: {order:?}");
                false
            }
        }
    }

    fn tell_readiness(&self) {
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

/// Returns the request that is over with this event, because no order follows it.
fn request_over(event: &Event) -> Option<RequestId> {
    match event {
        Event::CallerGone(id) => Some(*id),
        Event::Attempt {
            attempt,
            update: AttemptUpdate::Complete { .. },
        } => Some(attempt.request),
        _ => None,
    }
}
