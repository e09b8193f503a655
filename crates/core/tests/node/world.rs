//! A few nodes, links between them, one platform and fake endpoints, in virtual time.

use oriolemux_core::event::{
    Action, AttemptUpdate, Dispatch, Event, LoadReport, LoadedModel, OrderKind, OrderResult,
    PeerId, RequestArrival, ValueName, Work,
};
use oriolemux_core::keys::KeyHash;
use oriolemux_core::node::{Node, NodeConfig};
use oriolemux_core::note::Note;
use oriolemux_core::peer::{PeerEnvelope, PeerMessage};
use oriolemux_core::rendezvous::{self, Candidate};
use oriolemux_core::{
    AttemptId, EndpointKey, Incarnation, InstanceKey, Ran, RequestId, Time, Verdict, WorkspaceKey,
};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The bearer key that the world's only workspace holds.
const KEY: &str = "open-sesame";
/// How long a message takes between two nodes.
const HOP: Duration = Duration::from_micros(1_500);
/// Tokens of KV memory of each fake endpoint.
const KV_TOKENS: u64 = 100_000;

/// What binds requests that must not both run.
#[derive(Clone, Copy)]
pub enum Name<'a> {
    None,
    Key(&'a str),
    Ticket(RequestId),
}

/// Something that happens later.
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

/// One node with what the world knows about it.
pub struct Seat {
    pub node: Node,
    pub wake: Time,
    pub paused: bool,
    /// What waits for a paused node, in order.
    inbox: Vec<Event>,
    pub dead: bool,
    pub wants: BTreeSet<InstanceKey>,
    pub stopped: bool,
    pub dispatched: Vec<Dispatch>,
    pub finished: Vec<(RequestId, Verdict)>,
    pub notes: Vec<Note>,
    pub tickets: Vec<RequestId>,
}

/// An order as a fake engine received it.
pub struct GivenOrder {
    pub at: Time,
    pub giver: InstanceKey,
    pub endpoint: EndpointKey,
    pub fencing: u64,
    pub kind: OrderKind,
}

/// A few nodes and what stands around them.
pub struct World {
    pub now: Time,
    names: Vec<String>,
    pub seats: BTreeMap<InstanceKey, Seat>,
    later: BTreeMap<(Time, u64), Later>,
    count: u64,
    /// Links that are up, by ordered pair, with the number of that link.
    links: BTreeMap<(InstanceKey, InstanceKey), u64>,
    /// Pairs that cannot reach each other.
    pub cut: BTreeSet<(InstanceKey, InstanceKey)>,
    values: BTreeMap<ValueName, (u64, Vec<u8>)>,
    pub platform_down: bool,
    pub leaving_endpoints: BTreeSet<EndpointKey>,
    /// Nodes that the next published list leaves out.
    pub unlisted: BTreeSet<usize>,
    watches: Vec<(InstanceKey, Incarnation, ValueName, u64)>,
    seqs: u64,
    /// The version that the catalogue asks for; in force with the next one.
    pub model_version: u32,
    /// What the fake engines hold.
    pub loaded: BTreeMap<EndpointKey, Vec<LoadedModel>>,
    /// Orders that were given: by whom, to whom, with which number, what.
    pub orders: Vec<GivenOrder>,
    /// Requests that the workspace may run at once; in force with the next catalogue.
    pub workspace_concurrent: u32,
}

impl World {
    /// Starts `nodes` nodes in one data centre in front of `engines` engines.
    pub fn new(nodes: usize, engines: usize) -> World {
        let mut world = World {
            now: Time::from_secs(1_000),
            names: (0..nodes).map(|n| format!("entry-{n}")).collect(),
            seats: BTreeMap::new(),
            later: BTreeMap::new(),
            count: 0,
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            values: BTreeMap::new(),
            platform_down: false,
            leaving_endpoints: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            watches: Vec::new(),
            seqs: 0,
            workspace_concurrent: 100,
            model_version: 1,
            loaded: BTreeMap::new(),
            orders: Vec::new(),
        };
        world.publish_list(1, engines);
        world.publish_catalogue(1);
        for n in 0..nodes {
            world.start_node(n, Incarnation(n as u64 + 1));
        }
        world.run_for(Duration::from_secs(10));
        world
    }

    /// Starts (or starts again) the node number `n` as a new life.
    pub fn start_node(&mut self, n: usize, incarnation: Incarnation) {
        let cfg = NodeConfig::new(&self.names[n], incarnation, "Arima", incarnation.0);
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

    /// Publishes a list of all nodes and `engines` engines.
    pub fn publish_list(&mut self, revision: u64, engines: usize) {
        let instances: Vec<_> = self
            .names
            .iter()
            .enumerate()
            .filter(|(n, _)| !self.unlisted.contains(n))
            .map(|(n, name)| {
                serde_json::json!({
                    "name": name, "address": format!("127.0.0.1:{}", 1000 + n),
                    "peer_address": format!("127.0.0.1:{}", 2000 + n),
                    "data_centre": "Arima", "state": "live",
                })
            })
            .collect();
        let endpoints: Vec<_> = (0..engines)
            .map(|n| {
                serde_json::json!({
                    "name": format!("engine-{n}"), "address": format!("127.0.0.1:{}", 3000 + n),
                    "data_centre": "Arima", "kind": "model", "serves": ["loom"],
                    "fencing": "checked", "state": "live",
                })
            })
            .collect();
        let list = serde_json::json!({
            "revision": revision, "instances": instances, "endpoints": endpoints,
        });
        self.publish(
            ValueName::Instances,
            revision,
            list.to_string().into_bytes(),
        );
    }

    /// Publishes a catalogue with one idempotent and one non-idempotent entry.
    pub fn publish_catalogue(&mut self, revision: u64) {
        let digest = hex(&Sha256::digest(KEY));
        let concurrent = self.workspace_concurrent;
        let shard = format!(
            "[[workspace]]\nname = \"desk\"\nkey_sha256 = [\"{digest}\"]\n\
             entries = [\"plan\", \"order\"]\nlimits = {{ concurrent = {concurrent}, tokens_per_minute = 1000000 }}\n"
        );
        let limits = "limits = { concurrent = 100, tokens_per_minute = 1000000, queue = 100, \
                      prompt_tokens = 5000, output_tokens = 4000 }";
        let class = |name: &str, idempotent: bool| {
            format!(
                "[[class]]\nname = \"{name}\"\nurgency = 1\nidempotent = {idempotent}\n\
                 wait_target_ms = 2000\nlongest_wait_ms = 10000\ndelivery = \"stream\"\n"
            )
        };
        let entry = |name: &str, class: &str| {
            format!(
                "[[entry]]\nname = \"{name}\"\nowner = \"desk@example.org\"\nclass = \"{class}\"\n\
                 model = \"loom\"\n{limits}\n"
            )
        };
        let index = format!(
            "revision = {revision}\nshards = [\"{}\"]\n[[model]]\nname = \"loom\"\nversion = \"{}\"\nreplicas = 8\n{}{}{}{}",
            hex(&Sha256::digest(&shard)),
            self.model_version,
            class("repeatable", true),
            class("once", false),
            entry("plan", "repeatable"),
            entry("order", "once"),
        );
        self.publish(ValueName::CatalogueShard(0), revision, shard.into_bytes());
        self.publish(ValueName::CatalogueIndex, revision, index.into_bytes());
    }

    /// Publishes a value as it is.
    pub fn publish(&mut self, name: ValueName, revision: u64, bytes: Vec<u8>) {
        self.values.insert(name.clone(), (revision, bytes));
        let watches = std::mem::take(&mut self.watches);
        let (due, rest) = watches
            .into_iter()
            .partition(|(_, _, watched, above)| *watched == name && *above < revision);
        self.watches = rest;
        for (to, incarnation, name, _) in due {
            self.answer_read(to, incarnation, name);
        }
    }

    /// Sends a request to node number `n` and returns its id.
    pub fn request(&mut self, n: usize, entry: &str) -> RequestId {
        self.send(n, entry, Name::None)
    }

    /// Sends a request under a name to node number `n` and returns its id.
    pub fn send(&mut self, n: usize, entry: &str, name: Name<'_>) -> RequestId {
        let key = self.key(n);
        let id = self.draw_id(n);
        let arrival = RequestArrival {
            id,
            key_digest: Sha256::digest(KEY).into(),
            entry: entry.to_owned(),
            work: Work::Completion {
                prompt_tokens: 100,
                max_tokens: Some(1_000),
                stream: true,
                prefix: Vec::new(),
            },
            idempotency_key: match name {
                Name::Key(key) => Some(key.to_owned()),
                Name::None | Name::Ticket(_) => None,
            },
            ticket: match name {
                Name::Ticket(ticket) => Some(ticket),
                Name::None | Name::Key(_) => None,
            },
            body_hash: 7,
            patience: None,
        };
        self.feed(key, Event::Request(Box::new(arrival)));
        id
    }

    /// Returns a key whose home is node number `n`, by a list of all nodes,
    /// and node number `next` by a list without `n`.
    pub fn key_at(&self, n: usize, next: usize) -> String {
        let all = self.names.iter().map(|it| InstanceKey::of(it));
        let all: Vec<_> = all.map(Candidate::anywhere).collect();
        let mut ranked = Vec::new();
        let mut ranks = |key: &str| {
            let hash = KeyHash::of(WorkspaceKey::of("desk"), key);
            rendezvous::rank(hash.rank_key(), all.iter().copied(), 2, &mut ranked);
            ranked == [self.key(n), self.key(next)]
        };
        let mut keys = (0..).map(|i| format!("order-{i}"));
        keys.find(|key| ranks(key)).expect("a key")
    }

    /// Returns the dispatches of all `requests` that may be sent now or were.
    pub fn runs(&self, requests: &[RequestId]) -> usize {
        requests.iter().map(|&id| self.dispatches(id).len()).sum()
    }

    fn draw_id(&mut self, n: usize) -> RequestId {
        let instance = self.key(n);
        self.seqs += 1;
        RequestId {
            instance,
            incarnation: self.seats[&instance].node.me().incarnation,
            seq: self.seqs,
        }
    }

    /// Draws a ticket at node number `n`, which issues it.
    pub fn ticket(&mut self, n: usize) -> RequestId {
        let ticket = self.draw_id(n);
        let key_digest = Sha256::digest(KEY).into();
        self.feed(self.key(n), Event::DrawTicket { key_digest, ticket });
        self.run_for(Duration::from_millis(100));
        assert!(self.seat(n).tickets.contains(&ticket), "a ticket is issued");
        ticket
    }

    /// Reports something about an attempt to the node that ordered it.
    pub fn update(&mut self, attempt: AttemptId, update: AttemptUpdate) {
        self.feed(attempt.request.instance, Event::Attempt { attempt, update });
    }

    /// Ends an attempt with a whole answer.
    pub fn complete(&mut self, attempt: AttemptId) {
        let update = AttemptUpdate::Complete {
            tokens: 10,
            prompt_tokens: Some(100),
        };
        self.update(attempt, update);
    }

    /// Ends an attempt without one, with nothing known about whether it ran.
    pub fn fail(&mut self, attempt: AttemptId, reason: oriolemux_core::Reason) {
        let update = AttemptUpdate::Failed {
            reason,
            ran: Ran::Maybe,
            delivered: 0,
            retry_after: None,
        };
        self.update(attempt, update);
    }

    /// Returns the dispatches of a request so far.
    pub fn dispatches(&self, id: RequestId) -> Vec<Dispatch> {
        let seat = &self.seats[&id.instance];
        let all = seat.dispatched.iter();
        all.filter(|it| it.attempt.request == id).cloned().collect()
    }

    /// Returns the final answer to a request, if it was given.
    pub fn verdict(&self, id: RequestId) -> Option<Verdict> {
        let finished = &self.seats[&id.instance].finished;
        let mut found = finished.iter().filter(|(it, _)| *it == id);
        found.next().map(|(_, verdict)| verdict.clone())
    }

    /// Gives a node an event now.
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

    /// Lets the world run.
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

    /// Cuts every link of node number `n` to the others, in both directions.
    pub fn isolate(&mut self, n: usize) {
        let me = self.key(n);
        let others: Vec<InstanceKey> = self.seats.keys().copied().collect();
        for other in others.into_iter().filter(|it| *it != me) {
            self.cut.insert(pair(me, other));
            self.drop_link(me, other);
        }
    }

    /// Heals every cut.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Pauses node number `n`: its sockets stay open, and what arrives waits.
    pub fn pause(&mut self, n: usize) {
        let me = self.key(n);
        self.seats.get_mut(&me).expect("a node").paused = true;
    }

    /// Wakes node number `n`, which finds what has waited for it.
    pub fn resume(&mut self, n: usize) {
        let me = self.key(n);
        let seat = self.seats.get_mut(&me).expect("a node");
        seat.paused = false;
        for event in std::mem::take(&mut seat.inbox) {
            self.feed(me, event);
        }
        self.feed(me, Event::Wake);
    }

    /// Breaks every link of node number `n`, as its peers do after some silence.
    pub fn drop_links(&mut self, n: usize) {
        let me = self.key(n);
        let others: Vec<InstanceKey> = self.seats.keys().copied().collect();
        for other in others {
            self.drop_link(me, other);
        }
    }

    /// Ends the process of node number `n` without warning.
    pub fn kill(&mut self, n: usize) {
        let me = self.key(n);
        if let Some(seat) = self.seats.get_mut(&me) {
            seat.dead = true;
        }
        self.drop_links(n);
        let cut: Vec<_> = self.seats.keys().map(|other| pair(me, *other)).collect();
        self.cut.extend(cut);
    }

    fn drop_link(&mut self, a: InstanceKey, b: InstanceKey) {
        if self.links.remove(&pair(a, b)).is_none() {
            return;
        }
        for (me, other) in [(a, b), (b, a)] {
            let incarnation = self.seats[&other].node.me().incarnation;
            let peer = PeerId {
                instance: other,
                incarnation,
            };
            self.feed(me, Event::PeerDown(peer));
        }
    }

    fn dial(&mut self) {
        let wanted: Vec<(InstanceKey, InstanceKey)> = self
            .seats
            .iter()
            .filter(|(_, it)| !it.dead && !it.paused)
            .flat_map(|(me, it)| it.wants.iter().map(|other| pair(*me, *other)))
            .collect();
        for (a, b) in wanted {
            let there = |key| {
                let seat = self.seats.get(&key);
                seat.is_some_and(|it: &Seat| !it.dead && !it.paused)
            };
            let open = !self.cut.contains(&(a, b)) && there(a) && there(b);
            if !open || self.links.contains_key(&(a, b)) {
                continue;
            }
            self.count += 1;
            self.links.insert((a, b), self.count);
            let (id_a, id_b) = (self.seats[&a].node.me(), self.seats[&b].node.me());
            self.feed(a, Event::PeerUp(id_b));
            self.feed(b, Event::PeerUp(id_a));
        }
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

    fn answer_read(&mut self, to: InstanceKey, incarnation: Incarnation, name: ValueName) {
        let event = match self.values.get(&name) {
            Some((revision, bytes)) if !self.platform_down => Event::Value {
                name,
                revision: *revision,
                bytes: bytes.clone(),
            },
            _ => Event::ValueFailed { name },
        };
        let later = Later::Event {
            to,
            incarnation,
            event,
        };
        self.schedule(HOP, later);
    }

    fn carry_out(&mut self, me: InstanceKey, actions: Vec<Action>) {
        let id = self.seats[&me].node.me();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    if let Some(&link) = self.links.get(&pair(me, to)) {
                        let later = Later::Message {
                            from: id,
                            to,
                            message,
                            link,
                        };
                        self.schedule(HOP, later);
                    }
                }
                Action::Read(name) => self.answer_read(me, id.incarnation, name),
                Action::Watch { name, above } => {
                    let newer = self.values.get(&name).is_some_and(|it| it.0 > above);
                    if newer || self.platform_down {
                        self.answer_read(me, id.incarnation, name);
                    } else {
                        self.watches.push((me, id.incarnation, name, above));
                    }
                }
                Action::PollLoad(target) => {
                    let event = Event::Load {
                        endpoint: target.key,
                        report: self.load_of(target.key),
                    };
                    let later = Later::Event {
                        to: me,
                        incarnation: id.incarnation,
                        event,
                    };
                    self.schedule(HOP, later);
                }
                Action::Order {
                    endpoint,
                    fencing,
                    kind,
                    ..
                } => self.take_order(me, endpoint.key, fencing, kind),
                other => self.carry_out_own(me, other),
            }
        }
    }

    fn carry_out_own(&mut self, me: InstanceKey, action: Action) {
        let Some(seat) = self.seats.get_mut(&me) else {
            return;
        };
        match action {
            Action::Dispatch(order) => seat.dispatched.push(*order),
            Action::Finish { request, verdict } => seat.finished.push((request, verdict)),
            Action::Links(targets) => seat.wants = targets.iter().map(|it| it.key).collect(),
            Action::WakeAt(at) => seat.wake = at,
            Action::Ticket {
                ticket,
                result: Ok(()),
            } => seat.tickets.push(ticket),
            Action::Note(note) => seat.notes.push(note),
            Action::Stopped => seat.stopped = true,
            _ => {}
        }
    }

    /// Carries an order out at once, as an engine does that ignores fencing.
    fn take_order(
        &mut self,
        giver: InstanceKey,
        endpoint: EndpointKey,
        fencing: u64,
        kind: OrderKind,
    ) {
        let models = self
            .loaded
            .entry(endpoint)
            .or_insert_with(|| vec![loom("1")]);
        match &kind {
            OrderKind::Load { version, .. } => models.push(loom(version)),
            OrderKind::Unload { version, .. } => models.retain(|it| it.version != *version),
            OrderKind::Role { .. } => {}
        }
        self.orders.push(GivenOrder {
            at: self.now,
            giver,
            endpoint,
            fencing,
            kind,
        });
        let event = Event::OrderDone {
            endpoint,
            fencing,
            result: OrderResult::Accepted,
        };
        let incarnation = self.seats[&giver].node.me().incarnation;
        let later = Later::Event {
            to: giver,
            incarnation,
            event,
        };
        self.schedule(HOP, later);
    }

    fn load_of(&self, endpoint: EndpointKey) -> LoadReport {
        LoadReport {
            kv_tokens_total: KV_TOKENS,
            max_running: 64,
            models: match self.loaded.get(&endpoint) {
                Some(models) => models.clone(),
                None => vec![loom("1")],
            },
            leaving: self.leaving_endpoints.contains(&endpoint),
            ..LoadReport::default()
        }
    }
}

/// Returns a version of the only model.
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

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
