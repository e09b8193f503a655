//! Simulates a small fleet of [`CatalogueSync`] instances and one platform in virtual time.
//!
//! Messages take [`LATENCY`] and may be dropped by a partition. The platform records every call and
//! may be down or stale. The simulation contains no endpoints and no requests.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::catalogue::sync::{
    CatalogueMessage, CatalogueSync, Roles, SyncAction, SyncChange, SyncConfig,
};
use oriolemux_core::catalogue::{Digest, shard_of};
use oriolemux_core::event::{PeerId, ValueName};
use oriolemux_core::ids::{Incarnation, InstanceKey};
use oriolemux_core::note::Note;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// One-way latency between any two processes.
pub const LATENCY: Duration = Duration::from_micros(1_500);
/// Time after which the platform ends a watch without a change.
const WATCH_HOLD: Duration = Duration::from_secs(25);
/// Time from an instance's start until it receives the list of instances.
const LIST_DELAY: Duration = Duration::from_millis(300);
/// Number of watchers per data centre.
const WATCHERS: usize = 2;

/// A published catalogue: index and shards.
#[derive(Clone, Debug)]
pub struct Publication {
    pub index: Vec<u8>,
    pub shards: Vec<Vec<u8>>,
}

/// Returns the digest of the bearer key of workspace `number`.
pub fn key_digest(number: usize) -> [u8; 32] {
    Digest::of(format!("key {number}").as_bytes()).0
}

/// Builds a catalogue with workspaces distributed over shards. `salt` changes only the shard of
/// workspace 0.
pub fn publication(revision: u64, shards: u32, workspaces: usize, salt: u64) -> Publication {
    let mut texts = vec![String::from("# a shard\n"); shards as usize];
    for number in 0..workspaces {
        let digest = key_digest(number);
        let tokens = if number == 0 { 1_000 + salt } else { 1_000 };
        texts[shard_of(&digest, shards) as usize] += &format!(
            "[[workspace]]\nname = \"w{number}\"\nkey_sha256 = [\"{}\"]\nentries = [\"stock\"]\n\
             limits = {{ concurrent = 1, tokens_per_minute = {tokens} }}\n",
            Digest(digest)
        );
    }
    let shards: Vec<Vec<u8>> = texts.into_iter().map(String::into_bytes).collect();
    Publication {
        index: index_of(revision, &shards).into_bytes(),
        shards,
    }
}

pub fn index_of(revision: u64, shards: &[Vec<u8>]) -> String {
    let mut text = format!("revision = {revision}\nshards = [\n");
    for shard in shards {
        text += &format!("  \"{}\",\n", Digest::of(shard));
    }
    text += "]\n[[class]]\nname = \"c\"\nurgency = 1\nidempotent = true\nwait_target_ms = 1\n\
             longest_wait_ms = 1\ndelivery = \"whole\"\n[[service]]\nname = \"s\"\n\
             [[entry]]\nname = \"stock\"\nowner = \"o\"\nclass = \"c\"\nservice = \"s\"\n\
             limits = { concurrent = 1, queue = 1 }\n";
    text
}

/// The simulated platform.
#[derive(Default)]
pub struct Platform {
    pub up: bool,
    index: (u64, Arc<[u8]>),
    shards: BTreeMap<u32, Arc<[u8]>>,
    /// Open watches: node, the node's incarnation, revision, and deadline.
    waiting: Vec<(usize, u64, u64, Time)>,
    /// The time of each call.
    pub calls: Vec<Time>,
}

#[derive(Clone, Debug)]
enum Event {
    Start,
    Roles,
    Message(usize, u64, CatalogueMessage),
    Value(ValueName, u64, Arc<[u8]>),
    Unchanged,
    Failed(ValueName),
    Call(ValueName, Option<u64>),
}

struct Instance {
    key: InstanceKey,
    data_centre: usize,
    sync: CatalogueSync,
    /// Counts restarts. Events for an earlier incarnation are dropped.
    incarnation: u64,
    alive: bool,
    started: bool,
    notes: Vec<Note>,
    changes: Vec<SyncChange>,
    index_requests: usize,
    /// All revisions that came into force at this instance, in any incarnation.
    in_force: BTreeSet<u64>,
    /// The last revision that came into force in this incarnation.
    last: u64,
}

pub struct Fleet {
    pub now: Time,
    pub platform: Platform,
    instances: Vec<Instance>,
    data_centres: usize,
    queue: BTreeMap<(Time, u64), (usize, u64, Event)>,
    wakes: BTreeSet<(Time, usize)>,
    wake_of: Vec<Time>,
    sequence: u64,
    /// The side of each node in a partition, if there is one. The platform is on the `false` side.
    pub partition: Option<fn(usize) -> bool>,
    /// Bytes of messages sent by each instance.
    pub sent_bytes: Vec<u64>,
    /// Whether the list still contains crashed instances.
    pub list_lags: bool,
}

impl Fleet {
    /// Creates a fleet without running instances.
    pub fn new(size: usize, data_centres: usize) -> Self {
        let mut fleet = Fleet {
            now: Time::from_secs(1),
            platform: Platform {
                up: true,
                ..Platform::default()
            },
            instances: Vec::new(),
            data_centres,
            queue: BTreeMap::new(),
            wakes: BTreeSet::new(),
            wake_of: vec![Time::NEVER; size],
            sequence: 0,
            partition: None,
            sent_bytes: vec![0; size],
            list_lags: false,
        };
        for number in 0..size {
            fleet.instances.push(Instance {
                key: InstanceKey::of(&format!("instance-{number}")),
                data_centre: number % data_centres,
                sync: CatalogueSync::new(SyncConfig::new(number as u64)),
                incarnation: 0,
                alive: false,
                started: false,
                notes: Vec::new(),
                changes: Vec::new(),
                index_requests: 0,
                in_force: BTreeSet::new(),
                last: 0,
            });
        }
        fleet
    }

    pub fn size(&self) -> usize {
        self.instances.len()
    }

    pub fn publish(&mut self, publication: &Publication) {
        for (number, shard) in publication.shards.iter().enumerate() {
            self.publish_shard(number as u32, shard);
        }
        self.publish_index(&publication.index);
    }

    pub fn publish_shard(&mut self, number: u32, bytes: &[u8]) {
        self.platform.shards.insert(number, bytes.into());
    }

    pub fn publish_index(&mut self, bytes: &[u8]) {
        self.platform.index = (self.platform.index.0 + 1, bytes.into());
        let waiting = core::mem::take(&mut self.platform.waiting);
        for (node, incarnation, above, until) in waiting {
            if self.platform.index.0 > above {
                self.respond(node, incarnation, self.value(&ValueName::CatalogueIndex));
            } else {
                self.platform
                    .waiting
                    .push((node, incarnation, above, until));
            }
        }
    }

    /// Sets the index and the platform's own revision, as a restore from a backup does.
    pub fn restore_index(&mut self, platform_revision: u64, bytes: &[u8]) {
        self.platform.index = (platform_revision, bytes.into());
    }

    /// Starts (or restarts) an instance as a new incarnation without a catalogue.
    pub fn start(&mut self, node: usize) {
        let instance = &mut self.instances[node];
        instance.incarnation += 1;
        let seed = instance.incarnation * 1_000_003 + node as u64;
        instance.sync = CatalogueSync::new(SyncConfig::new(seed));
        instance.alive = true;
        instance.started = false;
        instance.last = 0;
        let incarnation = instance.incarnation;
        self.push(self.now, node, incarnation, Event::Start);
        self.push(self.now + LIST_DELAY, node, incarnation, Event::Roles);
    }

    pub fn start_all(&mut self) {
        for node in 0..self.size() {
            self.start(node);
        }
    }

    pub fn kill(&mut self, node: usize) {
        self.instances[node].alive = false;
        if !self.list_lags {
            self.send_roles();
        }
    }

    /// Sends the current list to every instance.
    pub fn send_roles(&mut self) {
        for node in 0..self.size() {
            let incarnation = self.instances[node].incarnation;
            if self.instances[node].alive {
                self.push(self.now + LIST_DELAY, node, incarnation, Event::Roles);
            }
        }
    }

    /// Ends the partition and reports every link as up.
    pub fn heal(&mut self) {
        self.partition = None;
        for node in 0..self.size() {
            let peers = self.roles(node).watchers;
            for peer in peers {
                let peer = self.node_of(peer);
                if peer != node {
                    self.with(node, |sync, now, out| sync.peer_up(now, peer_id(peer), out));
                    self.with(peer, |sync, now, out| sync.peer_up(now, peer_id(node), out));
                }
            }
        }
    }

    /// Passes a node the revision of another one, as any message between them does.
    pub fn receive_revision_of(&mut self, node: usize, other: usize) {
        self.receive_revision(node, other, self.revision(other));
    }

    /// Passes a node a revision that another one states.
    pub fn receive_revision(&mut self, node: usize, other: usize, revision: u64) {
        self.with(node, |sync, now, _| {
            sync.peer_revision(now, peer_id(other), revision);
        });
    }

    /// Returns how many requests for the index a node has sent to peers.
    pub fn index_requests(&self, node: usize) -> usize {
        self.instances[node].index_requests
    }

    pub fn watchers(&self, data_centre: usize) -> Vec<usize> {
        let here = self.instances.iter().enumerate();
        let here = here.filter(|(_, it)| it.data_centre == data_centre);
        let listed = here.filter(|(_, it)| it.alive || self.list_lags);
        listed.map(|(node, _)| node).take(WATCHERS).collect()
    }

    fn roles(&self, node: usize) -> Roles {
        let own = self.instances[node].data_centre;
        let key = |node: usize| self.instances[node].key;
        let listed = |node: &usize| self.instances[*node].alive || self.list_lags;
        let all: Vec<usize> = (0..self.size()).filter(listed).collect();
        let others = (0..self.data_centres).filter(|it| *it != own);
        Roles {
            me: key(node),
            watchers: self.watchers(own).into_iter().map(key).collect(),
            near: all
                .iter()
                .filter(|it| self.instances[**it].data_centre == own)
                .map(|it| key(*it))
                .collect(),
            far: others
                .filter_map(|it| self.watchers(it).first().map(|it| key(*it)))
                .collect(),
            all: all.into_iter().map(key).collect(),
        }
    }

    fn node_of(&self, key: InstanceKey) -> usize {
        let mut instances = self.instances.iter();
        instances.position(|it| it.key == key).unwrap()
    }

    fn push(&mut self, at: Time, node: usize, incarnation: u64, event: Event) {
        self.sequence += 1;
        self.queue
            .insert((at, self.sequence), (node, incarnation, event));
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        self.run_until(end, |_| false);
    }

    /// Runs until `done` returns `true` or until `end`. Returns whether `done` came first.
    pub fn run_until(&mut self, end: Time, done: impl Fn(&Fleet) -> bool) -> bool {
        loop {
            if done(self) {
                return true;
            }
            let event = self.queue.first_key_value().map(|((at, _), _)| *at);
            let wake = self.wakes.first().map(|(at, _)| *at);
            let next = event
                .unwrap_or(Time::NEVER)
                .min(wake.unwrap_or(Time::NEVER));
            if next > end {
                self.now = end;
                return done(self);
            }
            self.now = self.now.max(next);
            if event.is_some_and(|at| at <= next) {
                let (_, (node, incarnation, event)) = self.queue.pop_first().unwrap();
                self.deliver(node, incarnation, event);
            } else {
                let (_, node) = self.wakes.pop_first().unwrap();
                self.wake_of[node] = Time::NEVER;
                self.with(node, |sync, now, out| sync.tick(now, out));
            }
        }
    }

    fn deliver(&mut self, node: usize, incarnation: u64, event: Event) {
        if let Event::Call(name, above) = event {
            return self.call(node, incarnation, name, above);
        }
        let instance = &self.instances[node];
        if !instance.alive || instance.incarnation != incarnation {
            return;
        }
        match event {
            Event::Start => {
                self.instances[node].started = true;
                self.with(node, |sync, now, _| sync.start(now));
            }
            Event::Roles => {
                let roles = self.roles(node);
                self.with(node, |sync, now, out| sync.set_roles(now, roles, out));
            }
            Event::Message(from, revision, message) => {
                let from = peer_id(from);
                self.with(node, |sync, now, out| {
                    sync.peer_revision(now, from, revision);
                    sync.message(now, from, message, out);
                });
            }
            Event::Value(name, revision, bytes) => {
                self.with(node, |sync, now, out| {
                    sync.value(now, &name, revision, &bytes, out);
                });
            }
            Event::Unchanged => self.with(node, |sync, now, _| {
                sync.unchanged(now, &ValueName::CatalogueIndex);
            }),
            Event::Failed(name) => {
                self.with(node, |sync, now, out| sync.failed(now, &name, out));
            }
            Event::Call(..) => unreachable!("handled above"),
        }
    }

    /// Calls a node and runs the actions that it returns.
    pub fn with(
        &mut self,
        node: usize,
        call: impl FnOnce(&mut CatalogueSync, Time, &mut Vec<SyncAction>),
    ) {
        if !self.instances[node].alive {
            return;
        }
        let mut out = Vec::new();
        call(&mut self.instances[node].sync, self.now, &mut out);
        let incarnation = self.instances[node].incarnation;
        for action in out {
            self.run_action(node, incarnation, action);
        }
        let wake = self.instances[node].sync.next_wake();
        self.wakes.remove(&(self.wake_of[node], node));
        self.wake_of[node] = wake;
        if wake < Time::NEVER {
            self.wakes.insert((wake.max(self.now), node));
            self.wake_of[node] = wake.max(self.now);
        }
    }

    fn run_action(&mut self, node: usize, incarnation: u64, action: SyncAction) {
        match action {
            SyncAction::Read(name) => {
                self.push(
                    self.now + LATENCY,
                    node,
                    incarnation,
                    Event::Call(name, None),
                );
            }
            SyncAction::WatchIndex { above } => {
                let call = Event::Call(ValueName::CatalogueIndex, Some(above));
                self.push(self.now + LATENCY, node, incarnation, call);
            }
            SyncAction::Send { to, message } => self.send(node, to, message),
            SyncAction::Note(note) => self.instances[node].notes.push(note),
            SyncAction::Changed(change) => {
                if let SyncChange::InForce { revision } = change {
                    let instance = &mut self.instances[node];
                    assert!(revision > instance.last, "instance {node} reverted");
                    instance.last = revision;
                    instance.in_force.insert(revision);
                }
                self.instances[node].changes.push(change);
            }
        }
    }

    fn send(&mut self, from: usize, to: InstanceKey, message: CatalogueMessage) {
        if let CatalogueMessage::IndexWanted { .. } = message {
            self.instances[from].index_requests += 1;
        }
        let encoded = bincode::serde::encode_to_vec(&message, bincode::config::standard());
        self.sent_bytes[from] += encoded.unwrap().len() as u64;
        let to = self.node_of(to);
        let is_dropped = self.partition.is_some_and(|side| side(from) != side(to));
        if is_dropped || !self.instances[to].started {
            return;
        }
        let incarnation = self.instances[to].incarnation;
        let revision = self.instances[from].sync.revision();
        let event = Event::Message(from, revision, message);
        self.push(self.now + LATENCY, to, incarnation, event);
    }

    fn call(&mut self, node: usize, incarnation: u64, name: ValueName, above: Option<u64>) {
        self.platform.calls.push(self.now);
        let reachable = self.partition.is_none_or(|side| !side(node));
        if !self.platform.up || !reachable {
            return self.respond(node, incarnation, Event::Failed(name));
        }
        match above {
            Some(above) if self.platform.index.0 <= above => {
                let until = self.now + WATCH_HOLD;
                self.platform
                    .waiting
                    .push((node, incarnation, above, until));
                self.push(until, node, incarnation, Event::Unchanged);
            }
            _ => self.respond(node, incarnation, self.value(&name)),
        }
    }

    fn value(&self, name: &ValueName) -> Event {
        let (revision, bytes) = match name {
            ValueName::CatalogueShard(number) => (1, self.platform.shards.get(number).cloned()),
            _ => (self.platform.index.0, Some(self.platform.index.1.clone())),
        };
        match bytes {
            Some(bytes) => Event::Value(name.clone(), revision, bytes),
            None => Event::Failed(name.clone()),
        }
    }

    fn respond(&mut self, node: usize, incarnation: u64, event: Event) {
        self.push(self.now + LATENCY, node, incarnation, event);
    }

    pub fn sync(&self, node: usize) -> &CatalogueSync {
        &self.instances[node].sync
    }

    pub fn revision(&self, node: usize) -> u64 {
        self.sync(node).revision()
    }

    /// Returns whether every live instance has this revision in force.
    pub fn all_at(&self, revision: u64) -> bool {
        let mut live = self.instances.iter().filter(|it| it.alive);
        live.all(|it| it.sync.revision() == revision)
    }

    /// Returns whether this revision was ever in force at any instance.
    pub fn was_in_force(&self, revision: u64) -> bool {
        let mut instances = self.instances.iter();
        instances.any(|it| it.in_force.contains(&revision))
    }

    pub fn is_alive(&self, node: usize) -> bool {
        self.instances[node].alive
    }

    pub fn notes(&self, node: usize) -> &[Note] {
        &self.instances[node].notes
    }

    pub fn changes(&self, node: usize) -> &[SyncChange] {
        &self.instances[node].changes
    }

    /// Returns the maximum number of calls to the platform in any second since `start`.
    pub fn peak_calls(&self, start: Time) -> usize {
        let calls = &self.platform.calls;
        let calls = &calls[calls.partition_point(|at| *at < start)..];
        let second = Duration::from_secs(1);
        let window = |(first, at): (usize, &Time)| {
            calls[first..].partition_point(|other| *other < *at + second)
        };
        calls.iter().enumerate().map(window).max().unwrap_or(0)
    }

    pub fn calls_since(&self, start: Time) -> usize {
        let calls = &self.platform.calls;
        calls.len() - calls.partition_point(|at| *at < start)
    }
}

pub fn peer_id(node: usize) -> PeerId {
    PeerId {
        instance: InstanceKey::of(&format!("instance-{node}")),
        incarnation: Incarnation(node as u64),
    }
}
