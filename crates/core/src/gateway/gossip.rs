//! What instances send each other, and how news reaches all of them.
//!
//! News is told at once to a few peers that are drawn, who tell it on when they first hear
//! it, and again with probes and their answers. Each instance tells each item a bounded
//! number of times, so that its traffic grows with the number of changes and the logarithm of
//! the fleet. News that is lost all the same is found by comparing digests. This is the push
//! part of Plumtree and of SWIM's dissemination; `docs/design/large-fleets.md` has figures.

use super::beacons::Beacon;
use super::cordons::Cordon;
use super::fleet_size::ToldSize;
use super::home::{PlacementAnswer, PlacementReport};
use super::members::MemberUpdate;
use super::rate_limits::LimitWord;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointKey;
use crate::suspects::{CrashRecord, RunLeaseAnswer, RunLeaseReport};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The version of these messages and of [`StoreDelta`](super::replica::StoreDelta). Messages of another
/// one are dropped and counted: while a fleet is updated, instances of both versions serve
/// side by side, each with the peers of its own.
pub const GOSSIP_VERSION: u8 = 9;

/// Peers that are told news at once: most instances then hear it in the first wave, within as
/// many hops as the logarithm of the fleet.
pub const FAN_OUT: usize = 3;

/// How often one instance tells an item in all, beside the logarithm of the fleet.
const BASE_SENDS: u32 = 4;

/// How often one instance tells a beacon. The next one comes soon.
const BEACON_SENDS: u32 = 4;

/// Items of each kind in one datagram, so that it stays within one packet of 1,400 bytes.
const MAX_ITEMS: usize = 24;

/// Suspects in one datagram; each takes some 50 bytes.
const MAX_CRASH_RECORDS: usize = 8;

/// Suspects that an instance tells of in a second. An engine that ends has a handful of requests
/// that had just begun; when many end at once, most of what would be told is of no use.
const CRASH_RECORDS_PER_SECOND: f64 = 8.0;

/// Suspects that wait to be told of at most. Others are found by comparing digests.
const MAX_QUEUED_CRASH_RECORDS: usize = 256;

/// News, as it travels.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipItems {
    /// What changed among the instances.
    pub members: Vec<MemberUpdate>,
    /// Endpoints that leave.
    pub leaving: Vec<EndpointKey>,
    /// What those say that watch the store.
    pub beacons: Vec<Beacon>,
    /// Which requests ended which endpoints.
    pub crash_records: Vec<CrashRecord>,
    /// Which data centres are closed to new work, or open again.
    pub cordons: Vec<Cordon>,
    /// Which endpoints named a limit, or name none any more.
    pub limits: Vec<LimitWord>,
}

impl GossipItems {
    /// Returns whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
            && self.leaving.is_empty()
            && self.beacons.is_empty()
            && self.crash_records.is_empty()
            && self.cordons.is_empty()
            && self.limits.is_empty()
    }
}

/// One datagram between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// [`GOSSIP_VERSION`].
    pub version: u8,
    /// Tells deployments apart that share a network.
    pub deployment: u64,
    /// What the sender says of itself.
    pub from: MemberUpdate,
    /// The store's revision up to which the sender knows everything.
    pub revision: u64,
    /// What that comes to, see [`Replica::digest`](super::replica::Replica::digest).
    pub digest: u64,
    /// How many instances there are, as the sender knows.
    pub fleet: ToldSize,
    /// What it is about.
    pub body: Body,
}

impl Datagram {
    /// Returns the revisions and digests of the store that it says somebody knows.
    pub fn claims(&self) -> impl Iterator<Item = (u64, u64)> {
        let news = match &self.body {
            Body::Probe { gossip: news, .. }
            | Body::Ack { gossip: news, .. }
            | Body::Gossip(news) => Some(news),
            _ => None,
        };
        let beacons = news.into_iter().flat_map(|it| &it.beacons);
        let beacons = beacons.map(|it| (it.revision, it.digest));
        [(self.revision, self.digest)].into_iter().chain(beacons)
    }
}

/// What a datagram is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an answer.
    Probe {
        /// Names the probe.
        number: u64,
        /// A hash of who takes part, as the sender believes.
        members: u64,
        /// A hash of the suspects that the sender would tell of, see
        /// [`Ledger::digest`](crate::suspects::Ledger::digest); set as it is sent.
        suspects: u64,
        /// News.
        gossip: GossipItems,
    },
    /// Answers a probe.
    Ack {
        /// The probe's name.
        number: u64,
        /// A hash of who takes part, as the sender believes; nothing if the answer is passed
        /// on for another instance.
        members: Option<u64>,
        /// News.
        gossip: GossipItems,
    },
    /// Asks to probe another instance in the sender's place.
    IndirectProbe {
        /// The sender's name of its probe.
        number: u64,
        /// Whom to probe.
        target: SocketAddrV4,
    },
    /// News.
    Gossip(GossipItems),
    /// Asks for all instances.
    RequestMembers,
    /// Instances that take part.
    Members(Vec<MemberUpdate>),
    /// The suspects that ended the most endpoints, for an instance that knows others.
    Suspects(Vec<CrashRecord>),
    /// What an instance tells the home of suspects.
    RunLeaseReport(RunLeaseReport),
    /// What that home answers.
    RunLeaseAnswer(RunLeaseAnswer),
    /// What an instance tells a home.
    PlacementReport(PlacementReport),
    /// What a home answers.
    PlacementAnswer(PlacementAnswer),
}

impl Body {
    /// Returns a probe that tells what is `doubted` of its target.
    pub fn probe(number: u64, members: u64, believed: Option<MemberUpdate>) -> Self {
        let news = GossipItems {
            members: believed.into_iter().collect(),
            ..GossipItems::default()
        };
        Body::Probe {
            number,
            members,
            suspects: 0,
            gossip: news,
        }
    }

    /// Returns the answer to a probe that was made in another's place.
    pub fn relayed_ack(number: u64) -> Self {
        Body::Ack {
            number,
            members: None,
            gossip: GossipItems::default(),
        }
    }

    /// Tells an instance what is believed of it, so that it can refute that.
    pub fn suspicion(believed: MemberUpdate) -> Self {
        Body::Gossip(GossipItems {
            members: vec![believed],
            ..GossipItems::default()
        })
    }

    /// Returns the news that it carries along.
    pub fn gossip_mut(&mut self) -> Option<&mut GossipItems> {
        match self {
            Body::Probe { gossip: news, .. } | Body::Ack { gossip: news, .. } => Some(news),
            _ => None,
        }
    }

    /// Returns a word for its purpose, by which bytes are counted.
    pub const fn purpose(&self) -> &'static str {
        match self {
            Body::Probe { .. } | Body::Ack { .. } | Body::IndirectProbe { .. } => "probes",
            Body::Gossip(_) => "news",
            Body::RequestMembers | Body::Members(_) => "members",
            Body::Suspects(_) => "suspects",
            Body::RunLeaseReport(_) | Body::RunLeaseAnswer(_) => "turns",
            Body::PlacementReport(_) => "placement_reports",
            Body::PlacementAnswer(_) => "placement_answers",
        }
    }
}

/// An item, and how often it is still told.
#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: T,
    sends_left: u32,
    is_new: bool,
}

/// News that this instance still tells.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    members: BTreeMap<SocketAddrV4, QueuedItem<MemberUpdate>>,
    leaving: BTreeMap<EndpointKey, QueuedItem<EndpointKey>>,
    beacons: BTreeMap<SocketAddrV4, QueuedItem<Beacon>>,
    cordons: BTreeMap<String, QueuedItem<Cordon>>,
    limits: BTreeMap<EndpointKey, QueuedItem<EndpointKey>>,
    crash_records: BTreeMap<Fingerprint, QueuedItem<CrashRecord>>,
    /// [`Outbox::crash_records`], the newest last.
    crash_record_order: Vec<Fingerprint>,
    /// How many of [`Outbox::crash_records`] may be told now.
    crash_record_tokens: f64,
    refilled: Time,
}

impl Outbox {
    /// Takes in what changed about an instance, among so many.
    pub fn add_member(&mut self, update: MemberUpdate, instances: usize) {
        let queued = QueuedItem::new(update, send_count(instances));
        self.members.insert(update.address, queued);
    }

    /// Takes in that an endpoint leaves, among so many instances.
    pub fn add_leaving(&mut self, endpoint: EndpointKey, instances: usize) {
        let queued = QueuedItem::new(endpoint, send_count(instances));
        self.leaving.insert(endpoint, queued);
    }

    /// Takes in the operator's word about a data centre, among so many instances.
    pub fn add_cordon(&mut self, cordon: Cordon, instances: usize) {
        let name = cordon.data_centre.clone();
        self.cordons
            .insert(name, QueuedItem::new(cordon, send_count(instances)));
    }

    /// Takes in what an instance says that watches the store.
    pub fn add_beacon(&mut self, beacon: Beacon) {
        let queued = QueuedItem::new(beacon, BEACON_SENDS);
        self.beacons.insert(beacon.origin, queued);
    }

    /// Takes in what is known of a suspect, among so many instances.
    pub fn add_crash_record(&mut self, record: CrashRecord, instances: usize) {
        self.crash_record_order
            .retain(|it| *it != record.fingerprint);
        if self.crash_record_order.len() >= MAX_QUEUED_CRASH_RECORDS {
            let oldest = self.crash_record_order.remove(0);
            self.crash_records.remove(&oldest);
        }
        self.crash_record_order.push(record.fingerprint);
        let queued = QueuedItem::new(record.clone(), send_count(instances));
        self.crash_records.insert(record.fingerprint, queued);
    }

    /// Lets time pass for what may be told.
    pub fn tick(&mut self, now: Time) {
        let earned = now.since(self.refilled).as_secs_f64() * CRASH_RECORDS_PER_SECOND;
        self.crash_record_tokens =
            (self.crash_record_tokens + earned).min(MAX_CRASH_RECORDS as f64);
        self.refilled = now;
    }

    /// Returns whether something was never told and may be told now.
    pub fn has_new(&self) -> bool {
        any_new(&self.members)
            || any_new(&self.leaving)
            || any_new(&self.beacons)
            || any_new(&self.cordons)
            || any_new(&self.limits)
            || (self.crash_record_tokens >= 1.0 && any_new(&self.crash_records))
    }

    /// Returns what is told now to so many peers; the newest first.
    pub fn take(&mut self, peers: u32) -> GossipItems {
        GossipItems {
            members: take(&mut self.members, peers),
            leaving: take(&mut self.leaving, peers),
            beacons: take(&mut self.beacons, peers),
            crash_records: self.take_crash_records(peers),
            cordons: take(&mut self.cordons, peers),
            // The words are written as they are sent, since each carries its age.
            limits: Vec::new(),
        }
    }

    /// Takes in that an endpoint's limit changed, among so many instances.
    pub fn add_limit(&mut self, endpoint: EndpointKey, instances: usize) {
        let queued = QueuedItem::new(endpoint, send_count(instances));
        self.limits.insert(endpoint, queued);
    }

    /// Returns the endpoints whose limits are told now to so many peers.
    pub fn take_limits(&mut self, peers: u32) -> Vec<EndpointKey> {
        take(&mut self.limits, peers)
    }

    /// Takes those first that ended the most endpoints, and of these the newest.
    ///
    /// What goes wrong in any other order: when many endpoints end for a reason of their own, the
    /// one request that ends the next of them waits behind all that were there, and comes to
    /// other instances before its news does.
    fn take_crash_records(&mut self, peers: u32) -> Vec<CrashRecord> {
        let newest = self.crash_record_order.iter().rev();
        let mut keys: Vec<Fingerprint> = newest.copied().collect();
        let ended = |it: &Fingerprint| {
            self.crash_records
                .get(it)
                .map_or(0, |it| it.item.crashed.len())
        };
        keys.sort_by_key(|it| core::cmp::Reverse(ended(it)));
        keys.truncate(self.crash_record_tokens as usize);
        self.crash_record_tokens -= keys.len() as f64;
        let records = take_keys(&mut self.crash_records, &keys, peers);
        let left = &self.crash_records;
        self.crash_record_order.retain(|it| left.contains_key(it));
        records
    }
}

impl<T> QueuedItem<T> {
    fn new(item: T, sends_left: u32) -> Self {
        QueuedItem {
            item,
            sends_left,
            is_new: true,
        }
    }
}

/// Returns how often one of so many instances tells an item.
fn send_count(instances: usize) -> u32 {
    BASE_SENDS + instances.max(1).ilog2()
}

fn any_new<K, T>(queue: &BTreeMap<K, QueuedItem<T>>) -> bool {
    queue.values().any(|it| it.is_new)
}

fn take<K: Ord + Clone, T: Clone>(queue: &mut BTreeMap<K, QueuedItem<T>>, peers: u32) -> Vec<T> {
    let mut keys: Vec<(u32, K)> = queue
        .iter()
        .map(|(key, it)| (it.sends_left, key.clone()))
        .collect();
    keys.sort_by_key(|(sends_left, _)| core::cmp::Reverse(*sends_left));
    keys.truncate(MAX_ITEMS);
    let keys: Vec<K> = keys.into_iter().map(|(_, key)| key).collect();
    take_keys(queue, &keys, peers)
}

/// Tells items to so many peers.
fn take_keys<K: Ord, T: Clone>(
    queue: &mut BTreeMap<K, QueuedItem<T>>,
    keys: &[K],
    peers: u32,
) -> Vec<T> {
    let mut items = Vec::with_capacity(keys.len());
    for key in keys {
        if let Some(it) = queue.get_mut(key) {
            it.is_new = false;
            it.sends_left = it.sends_left.saturating_sub(peers);
            items.push(it.item.clone());
            if it.sends_left == 0 {
                queue.remove(key);
            }
        }
    }
    items
}
