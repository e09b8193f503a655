//! Messages between instances, and how gossip reaches all of them.
//!
//! A new item is sent at once to a few random peers, which forward it when they first receive it,
//! and again with probes and their answers. Each instance sends each item a bounded number of
//! times, so that its traffic grows with the number of changes and the logarithm of the fleet. Lost
//! items are detected by comparing digests. This is the push part of Plumtree and of SWIM's
//! dissemination; `docs/design/large-fleets.md` has figures.

use super::beacons::Beacon;
use super::brittle::BrittleReport;
use super::cordons::Cordon;
use super::fleet_size::FleetSizeReport;
use super::home::{PlacementAnswer, PlacementReport};
use super::members::MemberUpdate;
use super::rate_limits::LimitReport;
use super::revision::Revision;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointKey;
use crate::suspects::{CrashRecord, RunLeaseAnswer, RunLeaseReport};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The version of these messages and of [`StoreDelta`](super::replica::StoreDelta). Messages of
/// another version are dropped and counted: while a fleet is updated, instances of both versions
/// serve side by side, each with the peers of its own version.
pub const GOSSIP_VERSION: u8 = 11;

/// Peers to which a new item is sent at once. Most instances then receive it in the first wave,
/// within as many hops as the logarithm of the fleet.
pub const FAN_OUT: usize = 3;

/// How often one instance sends an item in total, in addition to the logarithm of the fleet.
const BASE_SENDS: u32 = 4;

/// How often one instance sends a beacon. The next beacon follows soon.
const BEACON_SENDS: u32 = 4;

/// Items of each kind in one datagram, so that it fits one packet of 1,400 bytes.
pub(super) const MAX_ITEMS: usize = 24;

/// Crash records in one datagram; each takes some 50 bytes.
const MAX_CRASH_RECORDS: usize = 8;

/// Crash records that an instance sends per second. An engine that crashes has a handful of
/// requests that had just begun; when many crash at once, most of the records are of no use.
const CRASH_RECORDS_PER_SECOND: f64 = 8.0;

/// Bound on the crash records that wait to be sent. Others are found by comparing digests.
const MAX_QUEUED_CRASH_RECORDS: usize = 256;

/// Gossip that is attached to messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipItems {
    /// Changes of the membership.
    pub members: Vec<MemberUpdate>,
    /// Endpoints that leave.
    pub leaving: Vec<EndpointKey>,
    /// Beacons of the instances that watch the store.
    pub beacons: Vec<Beacon>,
    /// Which requests crashed which endpoints.
    pub crash_records: Vec<CrashRecord>,
    /// Data centres that were cordoned or reopened.
    pub cordons: Vec<Cordon>,
    /// Limits that endpoints stated.
    pub limits: Vec<StatedLimit>,
}

/// A limit that an endpoint stated. All kinds share one list, because the length of each list costs
/// a byte in every datagram, and the traffic of an instance is near its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatedLimit {
    /// A rate limit was set or lifted.
    Rate(LimitReport),
    /// How many rejections per second it tolerates.
    Rejections(BrittleReport),
}

impl GossipItems {
    /// Returns whether there are no items.
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
    /// The sender's [`GOSSIP_VERSION`].
    pub version: u8,
    /// Distinguishes deployments that share a network.
    pub deployment: u64,
    /// The state of the sender.
    pub from: MemberUpdate,
    /// The store revision up to which the sender's replica is complete.
    pub revision: Revision,
    /// The digest of that replica, see [`Replica::digest`](super::replica::Replica::digest).
    pub digest: u64,
    /// The number of instances that the sender knows.
    pub fleet: FleetSizeReport,
    /// The message.
    pub body: Body,
}

impl Datagram {
    /// Returns the revisions and digests of the store that the datagram claims some instance has.
    pub fn claims(&self) -> impl Iterator<Item = (Revision, u64)> {
        let gossip = match &self.body {
            Body::Probe { gossip, .. } | Body::Ack { gossip, .. } | Body::Gossip(gossip) => {
                Some(gossip)
            }
            _ => None,
        };
        let beacons = gossip.into_iter().flat_map(|it| &it.beacons);
        let beacons = beacons.map(|it| (it.revision, it.digest));
        [(self.revision, self.digest)].into_iter().chain(beacons)
    }
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an answer, as a liveness check.
    Probe {
        /// The sender's number of the probe.
        number: u64,
        /// A hash of the live members that the sender knows.
        members: u64,
        /// A hash of the sender's worst suspects, see
        /// [`Ledger::digest`](crate::suspects::Ledger::digest), and of the endpoints that it knows
        /// to leave although their records say that they do not; set when the probe is sent.
        suspects: u64,
        /// Attached gossip.
        gossip: GossipItems,
        /// The version of the sender's catalogue in force, 0 if there is none; set when the probe
        /// is sent. It exceeds that of the store's record while the store holds an older copy.
        catalogue: u64,
    },
    /// Answers a probe.
    Ack {
        /// The number of the probe.
        number: u64,
        /// A hash of the live members that the sender knows; `None` if the answer is forwarded on
        /// behalf of another instance.
        members: Option<u64>,
        /// Attached gossip.
        gossip: GossipItems,
        /// The version of the sender's catalogue in force, as in a probe.
        catalogue: u64,
    },
    /// Asks to probe another instance on behalf of the sender.
    IndirectProbe {
        /// The sender's number of the probe.
        number: u64,
        /// The instance to probe.
        target: SocketAddrV4,
    },
    /// Gossip alone.
    Gossip(GossipItems),
    /// Requests the full member list.
    RequestMembers,
    /// Live members.
    Members(Vec<MemberUpdate>),
    /// The suspects that crashed the most endpoints, for an instance whose ledger differs.
    Suspects(Vec<CrashRecord>),
    /// An instance's report to the home of suspects.
    RunLeaseReport(RunLeaseReport),
    /// The answer of that home.
    RunLeaseAnswer(RunLeaseAnswer),
    /// An instance's report to the home of a service.
    PlacementReport(PlacementReport),
    /// The answer of that home.
    PlacementAnswer(PlacementAnswer),
    /// The sender is overloaded, see [`withdrawal`](super::withdrawal).
    Overloaded,
}

impl Body {
    /// Returns a probe that carries what is `believed` of its target.
    pub fn probe(number: u64, members: u64, believed: Option<MemberUpdate>) -> Self {
        let gossip = GossipItems {
            members: believed.into_iter().collect(),
            ..GossipItems::default()
        };
        Body::Probe {
            number,
            members,
            suspects: 0,
            gossip,
            catalogue: 0,
        }
    }

    /// Returns the answer to a probe that was made on behalf of another instance.
    pub fn relayed_ack(number: u64) -> Self {
        Body::Ack {
            number,
            members: None,
            gossip: GossipItems::default(),
            catalogue: 0,
        }
    }

    /// Returns a message that sends an instance what is believed of it, so that it can refute that.
    pub fn suspicion(believed: MemberUpdate) -> Self {
        Body::Gossip(GossipItems {
            members: vec![believed],
            ..GossipItems::default()
        })
    }

    /// Returns the gossip that is attached to a probe or its answer.
    pub fn gossip_mut(&mut self) -> Option<&mut GossipItems> {
        match self {
            Body::Probe { gossip, .. } | Body::Ack { gossip, .. } => Some(gossip),
            _ => None,
        }
    }

    /// Returns the message's purpose, by which sent bytes are counted.
    pub const fn purpose(&self) -> &'static str {
        match self {
            Body::Probe { .. } | Body::Ack { .. } | Body::IndirectProbe { .. } => "probes",
            Body::Gossip(_) => "news",
            Body::RequestMembers | Body::Members(_) => "members",
            Body::Suspects(_) => "suspects",
            Body::RunLeaseReport(_) | Body::RunLeaseAnswer(_) => "turns",
            Body::Overloaded => "overload",
            Body::PlacementReport(_) => "placement_reports",
            Body::PlacementAnswer(_) => "placement_answers",
        }
    }
}

/// An item, and how often it is still to be sent.
#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: T,
    sends_left: u32,
    is_new: bool,
}

/// Gossip that this instance still sends.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    members: BTreeMap<SocketAddrV4, QueuedItem<MemberUpdate>>,
    leaving: BTreeMap<EndpointKey, QueuedItem<EndpointKey>>,
    beacons: BTreeMap<SocketAddrV4, QueuedItem<Beacon>>,
    cordons: BTreeMap<String, QueuedItem<Cordon>>,
    limits: BTreeMap<EndpointKey, QueuedItem<EndpointKey>>,
    brittle: BTreeMap<EndpointKey, QueuedItem<EndpointKey>>,
    /// How many endpoints each of these suspects crashed.
    crash_records: BTreeMap<Fingerprint, QueuedItem<usize>>,
    /// The keys of [`Outbox::crash_records`], the newest last.
    crash_record_order: Vec<Fingerprint>,
    /// How many of [`Outbox::crash_records`] may be sent now: a token bucket.
    crash_record_tokens: f64,
    refilled: Time,
}

impl Outbox {
    /// Queues a change of a member's state in a fleet of `instances`.
    pub fn add_member(&mut self, update: MemberUpdate, instances: usize) {
        let queued = QueuedItem::new(update, send_count(instances));
        self.members.insert(update.address, queued);
    }

    /// Queues that an endpoint leaves, in a fleet of `instances`.
    pub fn add_leaving(&mut self, endpoint: EndpointKey, instances: usize) {
        let queued = QueuedItem::new(endpoint, send_count(instances));
        self.leaving.insert(endpoint, queued);
    }

    /// Queues the operator's cordon of a data centre, or its end, in a fleet of `instances`.
    pub fn add_cordon(&mut self, cordon: Cordon, instances: usize) {
        let name = cordon.data_centre.clone();
        self.cordons
            .insert(name, QueuedItem::new(cordon, send_count(instances)));
    }

    /// Queues a beacon.
    pub fn add_beacon(&mut self, beacon: Beacon) {
        let queued = QueuedItem::new(beacon, BEACON_SENDS);
        self.beacons.insert(beacon.origin, queued);
    }

    /// Queues the record of a suspect that crashed so many endpoints, in a fleet of `instances`.
    pub fn add_crash_record(&mut self, suspect: Fingerprint, crashes: usize, instances: usize) {
        self.crash_record_order.retain(|it| *it != suspect);
        if self.crash_record_order.len() >= MAX_QUEUED_CRASH_RECORDS {
            let oldest = self.crash_record_order.remove(0);
            self.crash_records.remove(&oldest);
        }
        self.crash_record_order.push(suspect);
        let queued = QueuedItem::new(crashes, send_count(instances));
        self.crash_records.insert(suspect, queued);
    }

    /// Refills the allowance for crash records.
    pub fn tick(&mut self, now: Time) {
        let earned = now.since(self.refilled).as_secs_f64() * CRASH_RECORDS_PER_SECOND;
        self.crash_record_tokens =
            (self.crash_record_tokens + earned).min(MAX_CRASH_RECORDS as f64);
        self.refilled = now;
    }

    /// Returns whether there is an item that was never sent and may be sent now.
    pub fn has_new(&self) -> bool {
        any_new(&self.members)
            || any_new(&self.leaving)
            || any_new(&self.beacons)
            || any_new(&self.cordons)
            || any_new(&self.limits)
            || any_new(&self.brittle)
            || (self.crash_record_tokens >= 1.0 && any_new(&self.crash_records))
    }

    /// Returns the items to send now to `peers` peers, those that were sent least often first.
    pub fn take(&mut self, peers: u32) -> GossipItems {
        GossipItems {
            members: take(&mut self.members, peers),
            leaving: take(&mut self.leaving, peers),
            beacons: take(&mut self.beacons, peers),
            cordons: take(&mut self.cordons, peers),
            // These are built when they are sent, since each carries its age.
            crash_records: Vec::new(),
            limits: Vec::new(),
        }
    }

    /// Queues a change of an endpoint's tolerance of rejections in a fleet of `instances`.
    pub fn add_brittle(&mut self, endpoint: EndpointKey, instances: usize) {
        let queued = QueuedItem::new(endpoint, send_count(instances));
        self.brittle.insert(endpoint, queued);
    }

    /// Returns the endpoints whose tolerance is to be sent now to `peers` peers.
    pub fn take_brittle(&mut self, peers: u32) -> Vec<EndpointKey> {
        take(&mut self.brittle, peers)
    }

    /// Queues a change of an endpoint's rate limit in a fleet of `instances`.
    pub fn add_limit(&mut self, endpoint: EndpointKey, instances: usize) {
        let queued = QueuedItem::new(endpoint, send_count(instances));
        self.limits.insert(endpoint, queued);
    }

    /// Returns the endpoints whose rate limits are to be sent now to `peers` peers.
    pub fn take_limits(&mut self, peers: u32) -> Vec<EndpointKey> {
        take(&mut self.limits, peers)
    }

    /// Returns the suspects whose records are to be sent now to `peers` peers: those with the most
    /// crashes first, and of these the newest. Each comes behind those that `related` returns for it.
    ///
    /// In any other order, when many endpoints end for unrelated reasons, the one request that
    /// crashes the next of them waits behind all other records, and reaches other instances before
    /// its record does.
    pub fn take_crash_records(
        &mut self,
        peers: u32,
        related: impl Fn(Fingerprint) -> Vec<Fingerprint>,
    ) -> Vec<Fingerprint> {
        let newest = self.crash_record_order.iter().rev();
        let mut queued: Vec<Fingerprint> = newest.copied().collect();
        let crashes = |it: &Fingerprint| self.crash_records.get(it).map_or(0, |it| it.item);
        queued.sort_by_key(|it| core::cmp::Reverse(crashes(it)));
        let allowed = self.crash_record_tokens as usize;
        let mut keys: Vec<Fingerprint> = Vec::new();
        for suspect in queued.into_iter().take(allowed) {
            let added = related(suspect).into_iter().chain([suspect]);
            let added: Vec<Fingerprint> = added.filter(|it| !keys.contains(it)).collect();
            // The first one and those related to it may exceed the allowance, and delay later ones.
            if !keys.is_empty() && keys.len() + added.len() > allowed {
                break;
            }
            keys.extend(added);
        }
        self.crash_record_tokens -= keys.len() as f64;
        take_keys(&mut self.crash_records, &keys, peers);
        let left = &self.crash_records;
        self.crash_record_order.retain(|it| left.contains_key(it));
        keys
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

/// Returns how often one of `instances` instances sends an item.
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

/// Takes the items of `keys`, to be sent to `peers` peers.
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
