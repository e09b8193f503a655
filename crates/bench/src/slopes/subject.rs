//! One node of a fleet of any size. The driver plays everybody else: the
//! platform, the peers and the endpoints.

use super::cost::thread_time;
use super::fleet::FleetSize;
use core::time::Duration;
use oriolemux::peers::{MAX_FRAME, encode_frame};
use oriolemux_core::catalogue::Digest;
use oriolemux_core::catalogue::sync::{CatalogueMessage, PIECE_BYTES, Piece};
use oriolemux_core::event::{
    Action, AttemptUpdate, EndpointTarget, LoadReport, PeerId, RequestArrival, ValueName, Work,
};
use oriolemux_core::fingerprint::{Fingerprint, Identity};
use oriolemux_core::ids::{Incarnation, InstanceKey, RequestId};
use oriolemux_core::limits::{LEASE_TTL, LeaseRequest, LimitLease, LimitsMessage};
use oriolemux_core::node::{Node, NodeConfig};
use oriolemux_core::peer::{PeerEnvelope, PeerMessage};
use oriolemux_core::{Event, Reason, Time};
use std::collections::{BTreeMap, BTreeSet};

/// The life of every peer that is played.
const LIFE: Incarnation = Incarnation(1);
/// A node that wants to be woken at once so often would keep a process busy.
const MOST_IDLE_WAKES: u32 = 1_000;
/// How long a limit is leased, in milliseconds.
const LEASE_MS: u32 = LEASE_TTL.as_millis() as u32;
/// KV tokens of every engine.
const KV_TOKENS: u64 = 48_000;

/// What passed between the node and its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Traffic {
    pub sent_messages: u64,
    pub sent_bytes: u64,
    pub received_messages: u64,
    pub received_bytes: u64,
}

impl Traffic {
    /// Returns the messages in both directions.
    pub fn messages(&self) -> u64 {
        self.sent_messages + self.received_messages
    }

    /// Returns the bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.sent_bytes + self.received_bytes
    }
}

/// A node with its surroundings.
pub(super) struct Subject {
    node: Node,
    pub now: Time,
    pub traffic: Traffic,
    /// Reads and watches of the platform.
    pub platform_calls: u64,
    /// Processor time spent in the node.
    pub spent: Duration,
    values: BTreeMap<ValueName, (u64, Vec<u8>)>,
    linked: BTreeSet<InstanceKey>,
    wake: Time,
    /// What the node sent and nobody has looked at yet.
    pub outbox: Vec<(InstanceKey, PeerMessage)>,
    /// What peers were asked of the catalogue and of limits and have not answered yet.
    asks: Vec<(InstanceKey, PeerMessage)>,
    /// Attempts that were ordered and not yet looked at.
    pub dispatched: Vec<(RequestId, u32)>,
    /// Load polls that were asked for and not yet answered.
    polls: Vec<EndpointTarget>,
    /// Polls answered.
    pub polled: u64,
    /// Requests that were refused or failed, by reason.
    pub refused: BTreeMap<Reason, u32>,
    actions: Vec<Action>,
    running: u32,
    /// Times in a row that the node wanted to be woken at once again.
    idle_wakes: u32,
}

impl Subject {
    /// Starts the node `name` in a fleet of `size` and gives it list and catalogue.
    pub fn start(size: &FleetSize, name: &str) -> Self {
        let list = size.list(1);
        let record = list.instances.iter().find(|it| it.name == name);
        let record = record.expect("the subject stands in the list");
        let cfg = NodeConfig::new(name, Incarnation(7), &record.data_centre, 1);
        let mut subject = Subject {
            node: Node::new(cfg),
            now: Time::from_secs(1),
            traffic: Traffic::default(),
            platform_calls: 0,
            spent: Duration::ZERO,
            values: values(size, 1),
            linked: BTreeSet::new(),
            wake: Time::NEVER,
            outbox: Vec::new(),
            asks: Vec::new(),
            dispatched: Vec::new(),
            polls: Vec::new(),
            polled: 0,
            refused: BTreeMap::new(),
            actions: Vec::new(),
            running: 0,
            idle_wakes: 0,
        };
        let mut actions = Vec::new();
        subject.node.start(subject.now, &mut actions);
        subject.carry_out(actions);
        subject.pass(Duration::from_secs(5));
        subject
    }

    /// Publishes another value; the node is told as by a watch.
    pub fn publish(&mut self, name: ValueName, revision: u64, bytes: Vec<u8>) {
        self.values.insert(name.clone(), (revision, bytes.clone()));
        self.handle(Event::Value {
            name,
            revision,
            bytes,
        });
    }

    /// Tells the node something and carries out what it asks.
    pub fn handle(&mut self, event: Event) {
        let mut actions = core::mem::take(&mut self.actions);
        actions.clear();
        let before = thread_time();
        self.node.handle(self.now, event, &mut actions);
        self.spent += thread_time().saturating_sub(before);
        self.carry_out(actions);
    }

    /// Tells the node many things at once, timed together.
    pub fn handle_all(&mut self, events: impl IntoIterator<Item = Event>) {
        let mut actions = core::mem::take(&mut self.actions);
        actions.clear();
        let events: Vec<Event> = events.into_iter().collect();
        let before = thread_time();
        for event in events {
            self.node.handle(self.now, event, &mut actions);
        }
        self.spent += thread_time().saturating_sub(before);
        self.carry_out(actions);
    }

    /// Returns a peer's message as an event, counted as received.
    pub fn received(&mut self, from: InstanceKey, message: PeerMessage) -> Event {
        let envelope = self.node.envelope(vec![message]);
        self.traffic.received_messages += 1;
        self.traffic.received_bytes += frame_bytes(&envelope);
        let from = PeerId {
            instance: from,
            incarnation: LIFE,
        };
        Event::Peer { from, envelope }
    }

    /// Brings up a link to a peer, unless there is one.
    pub fn link(&mut self, peer: InstanceKey) {
        if self.linked.insert(peer) {
            self.handle(Event::PeerUp(PeerId {
                instance: peer,
                incarnation: LIFE,
            }));
        }
    }

    /// Lets time pass; timers run and load polls are answered.
    pub fn pass(&mut self, time: Duration) {
        let until = self.now + time;
        loop {
            self.answer_polls();
            if self.wake > until {
                break;
            }
            let due = self.wake;
            self.now = due.max(self.now);
            self.wake = Time::NEVER;
            self.handle(Event::Wake);
            self.idle_wakes = if self.wake <= self.now {
                self.idle_wakes + 1
            } else {
                0
            };
            assert!(
                self.idle_wakes < MOST_IDLE_WAKES,
                "the node wants to wake at {due} again and again"
            );
        }
        self.now = until;
    }

    /// Answers every load poll that is out.
    fn answer_polls(&mut self) {
        let polls = core::mem::take(&mut self.polls);
        self.polled += polls.len() as u64;
        let report = load_report(self.running);
        let answers = polls.iter().map(|target| Event::Load {
            endpoint: target.key,
            report: report.clone(),
        });
        let answers: Vec<Event> = answers.collect();
        if !answers.is_empty() {
            self.handle_all(answers);
        }
    }

    fn carry_out(&mut self, mut actions: Vec<Action>) {
        let mut links = Vec::new();
        let mut reads = Vec::new();
        for action in actions.drain(..) {
            match action {
                Action::Send { to, message } => self.sent(to, message),
                Action::Dispatch(order) => {
                    let id = order.attempt.request;
                    self.dispatched.push((id, order.attempt.number));
                }
                Action::Links(peers) => links.extend(peers.iter().map(|it| it.key)),
                Action::Read(name) => reads.push(name),
                Action::Watch { .. } => self.platform_calls += 1,
                Action::PollLoad(target) => self.polls.push(target),
                Action::WakeAt(at) => self.wake = at,
                Action::Finish { verdict, .. } => {
                    *self.refused.entry(verdict.reason()).or_default() += 1;
                }
                _ => {}
            }
        }
        self.actions = actions;
        for peer in links {
            self.link(peer);
        }
        for name in reads {
            self.answer_read(name);
        }
        self.answer_asks();
    }

    fn answer_read(&mut self, name: ValueName) {
        self.platform_calls += 1;
        let event = match self.values.get(&name) {
            Some((revision, bytes)) => Event::Value {
                name,
                revision: *revision,
                bytes: bytes.clone(),
            },
            None => Event::ValueFailed { name },
        };
        self.handle(event);
    }

    fn sent(&mut self, to: InstanceKey, message: PeerMessage) {
        let envelope = self.node.envelope(vec![message]);
        self.traffic.sent_messages += 1;
        self.traffic.sent_bytes += frame_bytes(&envelope);
        match envelope.messages.into_iter().next() {
            Some(message @ (PeerMessage::Catalogue(_) | PeerMessage::Limits(_))) => {
                self.asks.push((to, message));
            }
            Some(message) => self.outbox.push((to, message)),
            None => {}
        }
    }

    /// Plays the peers that hold the catalogue and the homes of limits.
    fn answer_asks(&mut self) {
        while let Some((peer, asked)) = self.asks.pop() {
            self.link(peer);
            let answer = match asked {
                PeerMessage::Catalogue(asked) => {
                    self.catalogue_answer(asked).map(PeerMessage::Catalogue)
                }
                PeerMessage::Limits(LimitsMessage::Request(ask)) => Some(lease_of(&ask)),
                _ => None,
            };
            if let Some(answer) = answer {
                let event = self.received(peer, answer);
                self.handle(event);
            }
        }
    }

    fn catalogue_answer(&self, asked: CatalogueMessage) -> Option<CatalogueMessage> {
        let index = &self.values[&ValueName::CatalogueIndex].1;
        match asked {
            CatalogueMessage::IndexWanted { .. } => Some(CatalogueMessage::IndexPiece {
                digest: Digest::of(index),
                piece: piece(index, 0),
            }),
            CatalogueMessage::IndexMore { digest, offset } => Some(CatalogueMessage::IndexPiece {
                digest,
                piece: piece(index, offset),
            }),
            CatalogueMessage::ShardWanted { id, offset } => {
                let shard = &self.values[&ValueName::CatalogueShard(id.number)].1;
                Some(CatalogueMessage::ShardPiece {
                    id,
                    piece: piece(shard, offset),
                })
            }
            _ => None,
        }
    }
}

/// Leases whatever is wanted.
fn lease_of(ask: &LeaseRequest) -> PeerMessage {
    let lease = LimitLease {
        key: ask.key,
        seq: ask.seq,
        slots: ask.held_slots + ask.wanted_slots,
        tokens: ask.tokens_wanted,
        ttl_ms: LEASE_MS,
        tokens_wait_ms: 0,
        is_revocation: false,
        retry_after_ms: 0,
    };
    PeerMessage::Limits(LimitsMessage::Lease(lease))
}

fn piece(value: &[u8], offset: u32) -> Piece {
    let from = (offset as usize).min(value.len());
    let until = (from + PIECE_BYTES).min(value.len());
    Piece {
        offset,
        total: value.len() as u32,
        bytes: value[from..until].to_vec(),
    }
}

/// Returns the bytes of one frame between instances.
pub(super) fn frame_bytes(envelope: &PeerEnvelope) -> u64 {
    let frame = encode_frame(envelope, MAX_FRAME).expect("the messages of one request are short");
    frame.len() as u64 + DATA_FRAME_HEADER
}

/// Bytes of the header of an HTTP/2 data frame.
const DATA_FRAME_HEADER: u64 = 9;

/// Returns what an engine with `running` generations reports.
pub(super) fn load_report(running: u32) -> LoadReport {
    LoadReport {
        lag_ms: 500,
        running,
        kv_tokens_total: KV_TOKENS,
        kv_tokens_used: u64::from(running) * 800,
        max_running: 64,
        ..LoadReport::default()
    }
}

/// Returns the values that the platform publishes for a fleet of `size`.
pub(super) fn values(size: &FleetSize, revision: u64) -> BTreeMap<ValueName, (u64, Vec<u8>)> {
    let list = serde_json::to_vec(&size.list(revision)).expect("lists can be encoded");
    let shards = size.shard_texts();
    let index = size.index(revision, &shards).into_bytes();
    let mut values = BTreeMap::from([
        (ValueName::Instances, (revision, list)),
        (ValueName::CatalogueIndex, (revision, index)),
    ]);
    for (number, shard) in shards.into_iter().enumerate() {
        let name = ValueName::CatalogueShard(number as u32);
        values.insert(name, (revision, shard.into_bytes()));
    }
    values
}

fn fingerprint_of(seq: u64) -> Fingerprint {
    Fingerprint::of(&Identity {
        deployment: 0,
        workspace: None,
        host: "",
        method: "POST",
        path: "",
        body: &seq.to_le_bytes(),
    })
}

/// Returns the arrival of a request of `workspace`.
pub(super) fn arrival(node: InstanceKey, seq: u64, workspace: usize, entry: usize) -> Event {
    Event::Request(Box::new(RequestArrival {
        id: RequestId {
            instance: node,
            incarnation: Incarnation(7),
            seq,
        },
        key_digest: Digest::of(FleetSize::bearer_key(workspace).as_bytes()).0,
        entry: FleetSize::entry_name(entry),
        work: Work::Completion {
            prompt_tokens: 700,
            max_tokens: Some(4_096),
            stream: true,
            prefix: (0..4).map(|block| entry as u64 * 8 + block).collect(),
        },
        idempotency_key: None,
        ticket: None,
        body_hash: seq,
        fingerprint: fingerprint_of(seq),
        patience: None,
    }))
}

/// Returns the updates of an attempt that completes with `tokens` tokens.
pub(super) fn progress_of(tokens: u32) -> Vec<AttemptUpdate> {
    let checkpoints = (6..32)
        .map(|power| 1 << power)
        .take_while(|it| *it <= tokens);
    let mut updates = vec![AttemptUpdate::FirstToken];
    updates.extend(checkpoints.map(|tokens| AttemptUpdate::Progress { tokens }));
    updates
}

/// Returns the end of an attempt that completes with `tokens` tokens.
pub(super) fn completion_of(tokens: u32) -> AttemptUpdate {
    AttemptUpdate::Complete {
        tokens,
        prompt_tokens: Some(700),
    }
}
