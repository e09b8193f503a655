//! A simulated fleet in virtual time: a few nodes, the links between them, one platform and
//! simulated endpoints.

mod callers;
mod links;
mod outside;
mod publish;

use oriolemux_core::event::{Dispatch, Event, LoadedModel, OrderKind, PeerId, ValueName};
use oriolemux_core::keys::KeysConfig;
use oriolemux_core::node::{Node, NodeConfig};
use oriolemux_core::note::Note;
use oriolemux_core::peer::{PeerEnvelope, PeerMessage};
use oriolemux_core::{EndpointKey, Incarnation, InstanceKey, RequestId, Time, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The bearer key of the only workspace.
const KEY: &str = "open-sesame";
/// Delay of a message between two nodes.
const HOP: Duration = Duration::from_micros(1_500);
/// KV cache of each simulated endpoint, in tokens.
const KV_TOKENS: u64 = 100_000;

/// The name that binds requests of which at most one may run.
#[derive(Clone, Copy)]
pub enum Name<'a> {
    None,
    Key(&'a str),
    Ticket(RequestId),
}

/// A scheduled delivery.
enum Later {
    Message {
        from: PeerId,
        to: InstanceKey,
        message: PeerMessage,
        link: u64,
    },
    Event {
        to: InstanceKey,
        incarnation: Incarnation,
        event: Event,
    },
}

/// One node, its condition and its recorded actions.
pub struct Seat {
    pub node: Node,
    pub wake: Time,
    pub paused: bool,
    /// Events for a paused node, in order.
    inbox: Vec<Event>,
    pub dead: bool,
    pub wants: BTreeSet<InstanceKey>,
    pub stopped: bool,
    pub dispatched: Vec<Dispatch>,
    pub finished: Vec<(RequestId, Verdict)>,
    pub notes: Vec<Note>,
    pub tickets: Vec<RequestId>,
}

/// What a node did to a request.
#[derive(Clone)]
pub enum Done {
    /// It dispatched an attempt.
    Dispatched(Dispatch),
    /// It reported how the request ended.
    Finished(RequestId, Verdict),
}

/// An order as a simulated engine received it.
pub struct ReceivedOrder {
    pub at: Time,
    pub controller: InstanceKey,
    pub endpoint: EndpointKey,
    pub fencing: u64,
    pub kind: OrderKind,
}

/// The simulated fleet and its surroundings.
pub struct World {
    pub now: Time,
    names: Vec<String>,
    pub seats: BTreeMap<InstanceKey, Seat>,
    later: BTreeMap<(Time, u64), Later>,
    count: u64,
    /// Links that are up, by ordered pair, with a number that identifies the connection.
    links: BTreeMap<(InstanceKey, InstanceKey), u64>,
    /// Pairs of nodes that cannot reach each other.
    pub partitioned: BTreeSet<(InstanceKey, InstanceKey)>,
    values: BTreeMap<ValueName, (u64, Vec<u8>)>,
    pub platform_down: bool,
    pub leaving_endpoints: BTreeSet<EndpointKey>,
    /// Nodes that the next published list omits.
    pub unlisted: BTreeSet<usize>,
    watches: Vec<(InstanceKey, Incarnation, ValueName, u64)>,
    seqs: u64,
    /// The model version in the next published catalogue.
    pub model_version: u32,
    /// The models that the simulated engines have loaded.
    pub loaded: BTreeMap<EndpointKey, Vec<LoadedModel>>,
    /// All orders that engines received.
    pub orders: Vec<ReceivedOrder>,
    /// What all nodes did to requests, in order.
    pub done: Vec<Done>,
    /// Concurrency limit of the workspace in the next published catalogue.
    pub workspace_concurrent: u32,
    keys: KeysConfig,
}

impl World {
    /// Starts `nodes` nodes in one data centre in front of `engines` engines.
    pub fn new(nodes: usize, engines: usize) -> World {
        World::with_keys(nodes, engines, KeysConfig::default())
    }

    /// As [`World::new`], with other timeouts of claims.
    pub fn with_keys(nodes: usize, engines: usize, keys: KeysConfig) -> World {
        let mut world = World {
            now: Time::from_secs(1_000),
            names: (0..nodes).map(|n| format!("entry-{n}")).collect(),
            seats: BTreeMap::new(),
            later: BTreeMap::new(),
            count: 0,
            links: BTreeMap::new(),
            partitioned: BTreeSet::new(),
            values: BTreeMap::new(),
            platform_down: false,
            leaving_endpoints: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            watches: Vec::new(),
            seqs: 0,
            workspace_concurrent: 100,
            keys,
            model_version: 1,
            loaded: BTreeMap::new(),
            orders: Vec::new(),
            done: Vec::new(),
        };
        world.publish_list(1, engines);
        world.publish_catalogue(1);
        for n in 0..nodes {
            world.start_node(n, Incarnation(n as u64 + 1));
        }
        world.run_for(Duration::from_secs(10));
        world
    }

    /// Starts or restarts node number `n` as a new incarnation.
    pub fn start_node(&mut self, n: usize, incarnation: Incarnation) {
        let mut cfg = NodeConfig::new(&self.names[n], incarnation, "Arima", incarnation.0);
        cfg.keys = self.keys;
        let mut node = Node::new(cfg);
        let mut actions = Vec::new();
        node.start(self.now, &mut actions);
        let key = self.key(n);
        let seat = Seat {
            node,
            wake: Time::NEVER,
            paused: false,
            inbox: Vec::new(),
            dead: false,
            wants: BTreeSet::new(),
            stopped: false,
            dispatched: Vec::new(),
            finished: Vec::new(),
            notes: Vec::new(),
            tickets: Vec::new(),
        };
        self.seats.insert(key, seat);
        self.carry_out(key, actions);
    }

    /// Returns the key of node number `n`.
    pub fn key(&self, n: usize) -> InstanceKey {
        InstanceKey::of(&self.names[n])
    }

    /// Returns node number `n`.
    pub fn seat(&self, n: usize) -> &Seat {
        &self.seats[&self.key(n)]
    }

    /// Passes an event to a node now.
    pub fn feed(&mut self, to: InstanceKey, event: Event) {
        let now = self.now;
        let Some(seat) = self.seats.get_mut(&to) else {
            return;
        };
        if seat.dead {
            return;
        }
        if seat.paused {
            seat.inbox.push(event);
            return;
        }
        let mut actions = Vec::new();
        seat.node.handle(now, event, &mut actions);
        self.carry_out(to, actions);
    }

    /// Advances virtual time by `d`.
    pub fn run_for(&mut self, d: Duration) {
        let end = self.now + d;
        loop {
            self.dial();
            let next_later = self.later.keys().next().map_or(Time::NEVER, |(at, _)| *at);
            let awake = self.seats.iter().filter(|(_, it)| !it.paused && !it.dead);
            let next_wake = awake.map(|(key, it)| (it.wake, *key)).min();
            let (wake, key) = next_wake.unwrap_or((Time::NEVER, InstanceKey(0)));
            let next = next_later.min(wake);
            if next > end {
                break;
            }
            self.now = self.now.max(next);
            if next_later <= wake {
                let ((_, _), later) = self.later.pop_first().expect("seen above");
                self.deliver(later);
            } else {
                self.feed(key, Event::Wake);
            }
        }
        self.now = end;
    }

    fn deliver(&mut self, later: Later) {
        match later {
            Later::Message {
                from,
                to,
                message,
                link,
            } => {
                if self.links.get(&pair(from.instance, to)) != Some(&link) {
                    return;
                }
                let envelope = PeerEnvelope {
                    messages: vec![message],
                    ..self.seats[&from.instance].node.envelope(Vec::new())
                };
                self.feed(to, Event::Peer { from, envelope });
            }
            Later::Event {
                to,
                incarnation,
                event,
            } => {
                let seat = self.seats.get(&to);
                if seat.is_some_and(|it| it.node.me().incarnation == incarnation) {
                    self.feed(to, event);
                }
            }
        }
    }

    fn schedule(&mut self, after: Duration, later: Later) {
        self.count += 1;
        self.later.insert((self.now + after, self.count), later);
    }
}

/// Returns the only model in the given version.
pub fn loom(version: &str) -> LoadedModel {
    LoadedModel {
        name: "loom".to_owned(),
        version: version.to_owned(),
        adapters: Vec::new(),
    }
}

fn pair(a: InstanceKey, b: InstanceKey) -> (InstanceKey, InstanceKey) {
    (a.min(b), a.max(b))
}
