//! A node that decides by script and records the inputs it receives.

#![allow(dead_code, reason = "each test file uses a part of this")]

use oriolemux::callers::port::{Clock, NodeInput, NodePort, RequestIds, RequestOrder};
use oriolemux_core::event::{
    AttemptMode, AttemptUpdate, DeliveryMode, Dispatch, EndpointTarget, RequestArrival,
};
use oriolemux_core::{
    AttemptId, EndpointKey, Event, Incarnation, InstanceKey, Reason, RequestId, Time, Verdict,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;

/// One decision of the script: the first is used when a request arrives, the next one each time
/// an attempt of it fails.
#[derive(Clone, Debug)]
pub enum Decision {
    Dispatch(Plan),
    Finish(Verdict),
    /// Give no order.
    Wait,
}

/// How an attempt is dispatched.
#[derive(Clone, Debug)]
pub struct Plan {
    pub address: SocketAddr,
    pub model: &'static str,
    pub delivery: DeliveryMode,
    pub idempotent: bool,
    pub mode: AttemptMode,
    pub stall_limit: Duration,
    pub send_before: Time,
}

/// Returns the usual plan: an idempotent generation, streamed.
pub fn plan(address: SocketAddr) -> Plan {
    Plan {
        address,
        model: "wren-7b",
        delivery: DeliveryMode::Stream,
        idempotent: true,
        mode: AttemptMode::Fresh,
        stall_limit: Duration::from_secs(20),
        send_before: Time::NEVER,
    }
}

/// An input that the node received.
#[derive(Debug)]
pub enum Received {
    Arrival(Box<RequestArrival>),
    Update(AttemptUpdate),
    CallerGone,
}

/// A running node.
pub struct FakeNode {
    pub port: NodePort,
    received: mpsc::UnboundedReceiver<Received>,
}

impl FakeNode {
    pub fn start(script: Vec<Decision>) -> Self {
        let ids = RequestIds::new(InstanceKey(1), Incarnation(2));
        let (port, inputs) = NodePort::new(ids, Clock::start());
        let (tx, received) = mpsc::unbounded_channel();
        tokio::spawn(run(inputs, script, tx));
        FakeNode { port, received }
    }

    /// A node whose task has ended.
    pub fn ended() -> Self {
        let ids = RequestIds::new(InstanceKey(1), Incarnation(2));
        let (port, _) = NodePort::new(ids, Clock::start());
        let (_, received) = mpsc::unbounded_channel();
        FakeNode { port, received }
    }

    /// Waits for the next input of the node.
    pub async fn received(&mut self) -> Received {
        self.received.recv().await.expect("the node runs")
    }

    /// Waits for the report on the end of an attempt.
    pub async fn last_update(&mut self) -> AttemptUpdate {
        loop {
            if let Received::Update(update) = self.received().await
                && let AttemptUpdate::Complete { .. } | AttemptUpdate::Failed { .. } = update
            {
                return update;
            }
        }
    }
}

/// Returns the id of the first request's attempt `number`.
pub fn attempt_id(number: u32) -> String {
    let request = RequestId {
        instance: InstanceKey(1),
        incarnation: Incarnation(2),
        seq: 1,
    };
    AttemptId { request, number }.to_string()
}

async fn run(
    mut inputs: mpsc::Receiver<NodeInput>,
    script: Vec<Decision>,
    received: mpsc::UnboundedSender<Received>,
) {
    let mut script = script.into_iter();
    let mut orders = HashMap::new();
    let mut numbers = HashMap::new();
    while let Some(input) = inputs.recv().await {
        match input {
            NodeInput::Submit {
                arrival,
                orders: tx,
            } => {
                let id = arrival.id;
                orders.insert(id, tx);
                let _ = received.send(Received::Arrival(arrival));
                let number = numbers.entry(id).or_insert(0);
                decide(script.next(), id, number, &orders[&id]).await;
            }
            NodeInput::Event(Event::Attempt { attempt, update }) => {
                let failed = matches!(update, AttemptUpdate::Failed { .. });
                let _ = received.send(Received::Update(update));
                if failed {
                    let id = attempt.request;
                    let number = numbers.get_mut(&id).unwrap();
                    decide(script.next(), id, number, &orders[&id]).await;
                }
            }
            NodeInput::Event(Event::CallerGone(id)) => {
                orders.remove(&id);
                let _ = received.send(Received::CallerGone);
            }
            NodeInput::Event(_) => {}
            NodeInput::Entries { reply, .. } => {
                let _ = reply.send(Ok(vec!["plans".to_owned(), "verdicts".to_owned()]));
            }
            NodeInput::Ticket { id, reply, .. } => {
                let _ = reply.send(Ok(id));
            }
        }
    }
}

async fn decide(
    decision: Option<Decision>,
    request: RequestId,
    number: &mut u32,
    orders: &mpsc::Sender<RequestOrder>,
) {
    let order = match decision {
        Some(Decision::Dispatch(plan)) => {
            *number += 1;
            let attempt = AttemptId {
                request,
                number: *number,
            };
            RequestOrder::Dispatch(Box::new(dispatch(attempt, plan)))
        }
        Some(Decision::Finish(verdict)) => RequestOrder::Finish(verdict),
        Some(Decision::Wait) => return,
        None => RequestOrder::Finish(Verdict::not_accepted(
            Reason::NoEndpoint,
            Some(Duration::from_millis(1_500)),
        )),
    };
    let _ = orders.send(order).await;
}

/// Returns the dispatch of an attempt by `plan`.
pub fn dispatch(attempt: AttemptId, plan: Plan) -> Dispatch {
    Dispatch {
        attempt,
        endpoint: EndpointTarget {
            key: EndpointKey::of("worker-1"),
            name: "worker-1".to_owned(),
            address: plan.address,
        },
        model: plan.model.to_owned(),
        adapter: None,
        priority: 3,
        max_tokens: 100_000,
        delivery: plan.delivery,
        idempotent: plan.idempotent,
        mode: plan.mode,
        send_before: plan.send_before,
        stall_limit: plan.stall_limit,
    }
}
