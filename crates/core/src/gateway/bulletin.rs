//! What instances tell each other.
//!
//! A bulletin is one datagram with the sender's whole present state of what
//! others need: who it is, whom it knows, how far it has read the store, which
//! endpoints it knows to leave, and what it runs where. Because it is the whole
//! state and not a change of it, a lost or doubled datagram does no harm and the
//! next one heals everything; `docs/design/platform.md` says why datagrams.

use super::queue::{MAX_WAITING, Waiter, Waiting};
use super::replica::Replica;
use crate::ids::{EndpointKey, Incarnation};
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// The version of this format and of that of [`News`](super::replica::News); bulletins of
/// another are ignored.
pub const BULLETIN_VERSION: u8 = 5;

/// Intervals of a peer's bulletins after which its silence counts as its going: six
/// may be lost in a row.
pub const SILENT_INTERVALS: u32 = 7;

/// The shortest time between two bulletins that come without a change.
pub const SHORTEST_INTERVAL: Duration = Duration::from_millis(200);

/// The longest time between two bulletins that come without a change.
const LONGEST_INTERVAL: Duration = Duration::from_secs(2);

/// How much each peer adds to that time. Every instance tells every other, so that
/// the traffic of one would grow with the fleet: with this it stays at some 70
/// datagrams a second from 14 to 140 peers.
const INTERVAL_OF_PEER: Duration = Duration::from_millis(14);

/// How long the leaving of an endpoint is told; by then all peers have heard it from
/// several sides, or from the store.
pub const TELL_LEAVING: Duration = Duration::from_secs(10);

/// Returns the time between two bulletins of an instance with so many peers.
pub fn interval(peers: usize) -> Duration {
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    INTERVAL_OF_PEER
        .saturating_mul(peers)
        .clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL)
}

/// A peer that was silent for so long is forgotten and no longer told anything.
const PEER_FORGET: Duration = Duration::from_secs(60);

/// The most peers that one bulletin names. All are heard of within some rounds, since
/// each bulletin names others.
pub const MAX_NAMED: usize = 8;

/// What one instance runs at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Used {
    /// Requests sent and not ended.
    pub running: u16,
    /// Prompt tokens of those that were not answered with a first byte.
    pub unread: u32,
    /// Tokens of memory that generations take or are expected to take.
    pub tokens: u32,
    /// Tokens of memory that standing copies take.
    pub copied: u32,
}

/// One datagram between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bulletin {
    /// [`BULLETIN_VERSION`].
    pub version: u8,
    /// Tells deployments apart that share a network.
    pub deployment: u64,
    /// The sender's life.
    pub incarnation: Incarnation,
    /// Where the sender answers peers.
    pub address: SocketAddrV4,
    /// The store's revision up to which the sender knows everything.
    pub revision: u64,
    /// What that comes to, see [`Replica::digest`](super::replica::Replica::digest).
    pub digest: u64,
    /// The next bulletin comes within so many milliseconds.
    pub interval_ms: u32,
    /// Milliseconds since the store last answered the sender.
    pub store_age_ms: u32,
    /// Whether entries may be missing from the store and come back: it is away for the
    /// sender, or was until a moment ago.
    pub unsettled: bool,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Peers that the sender heard lately.
    pub peers: Vec<SocketAddrV4>,
    /// Endpoints that the sender knows to leave.
    pub leaving: Vec<EndpointKey>,
    /// Endpoints of which the last that the sender saw was a failure.
    pub failing: Vec<EndpointKey>,
    /// What the sender runs where.
    pub used: Vec<(EndpointKey, Used)>,
    /// Requests that wait at the sender for room at an engine.
    pub waiting: Vec<Waiting>,
}

/// What is known of one peer.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its life, once it was heard.
    pub incarnation: Option<Incarnation>,
    /// When it was heard last.
    pub heard: Option<Time>,
    /// The time between its bulletins.
    pub interval: Duration,
    /// When its address was learnt.
    pub learnt: Time,
    /// The revision that it knows.
    pub revision: u64,
    /// What that comes to.
    pub digest: u64,
    /// When the store last answered it, as far as it told.
    pub store_heard: Option<Time>,
    /// Whether it said that entries may be missing from the store and come back.
    pub unsettled: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Endpoints of which the last that it saw was a failure.
    pub failing: BTreeSet<EndpointKey>,
    /// What it runs where.
    pub used: BTreeMap<EndpointKey, Used>,
    /// What waits there.
    pub waiting: Vec<Waiter>,
    /// Whether it counts as there, so that its coming and going is told once.
    present: bool,
}

impl Peer {
    /// Returns whether the peer was heard lately, by the measure of its own interval.
    pub fn is_live(&self, now: Time) -> bool {
        let silence = self.interval * SILENT_INTERVALS;
        self.heard.is_some_and(|heard| now.since(heard) < silence)
    }

    /// Returns whether the peer knows something of the store that `replica` does not.
    /// Revisions alone do not tell: each heartbeat of an endpoint makes one.
    pub fn knows_more_than(&self, replica: &Replica) -> bool {
        self.revision > replica.revision() && self.digest != replica.digest()
    }
}

/// All peers, by the address at which they answer.
#[derive(Clone, Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<SocketAddrV4, Peer>,
}

impl PeerTable {
    /// Notes an address at which a peer may answer.
    pub fn learn(&mut self, now: Time, address: SocketAddrV4) {
        self.peers.entry(address).or_insert(Peer {
            incarnation: None,
            heard: None,
            interval: SHORTEST_INTERVAL,
            learnt: now,
            revision: 0,
            digest: 0,
            store_heard: None,
            unsettled: false,
            stopping: false,
            failing: BTreeSet::new(),
            used: BTreeMap::new(),
            waiting: Vec::new(),
            present: false,
        });
    }

    /// Takes a bulletin in, apart from what it says about endpoints that leave.
    /// Returns whether the sender was not there before in this life.
    pub fn hear(&mut self, now: Time, bulletin: &Bulletin) -> bool {
        self.learn(now, bulletin.address);
        for &address in bulletin.peers.iter().take(MAX_NAMED) {
            self.learn(now, address);
        }
        let mut is_new = false;
        if let Some(peer) = self.peers.get_mut(&bulletin.address) {
            is_new = !peer.present || peer.incarnation != Some(bulletin.incarnation);
            peer.present = true;
            peer.incarnation = Some(bulletin.incarnation);
            peer.heard = Some(now);
            peer.interval = Duration::from_millis(bulletin.interval_ms.into())
                .clamp(SHORTEST_INTERVAL, LONGEST_INTERVAL);
            peer.revision = bulletin.revision;
            peer.digest = bulletin.digest;
            peer.store_heard = now.before(Duration::from_millis(bulletin.store_age_ms.into()));
            peer.unsettled = bulletin.unsettled;
            peer.stopping = bulletin.stopping;
            peer.failing = bulletin.failing.iter().copied().collect();
            peer.used = bulletin.used.iter().copied().collect();
            let waiting = bulletin.waiting.iter().take(MAX_WAITING);
            peer.waiting = waiting.map(|it| Waiter::told(now, it)).collect();
        }
        is_new
    }

    /// Returns the peers that fell silent since the last call.
    pub fn take_silent(&mut self, now: Time) -> Vec<SocketAddrV4> {
        let mut silent = Vec::new();
        for (address, peer) in &mut self.peers {
            if peer.present && !peer.is_live(now) {
                peer.present = false;
                silent.push(*address);
            }
        }
        silent
    }

    /// Forgets peers that were silent for long, unless `keep` names them.
    pub fn forget_silent(&mut self, now: Time, keep: &[SocketAddrV4]) {
        self.peers.retain(|address, peer| {
            let last = peer.heard.unwrap_or(peer.learnt);
            now.since(last) < PEER_FORGET || keep.contains(address)
        });
    }

    /// Returns the addresses of all peers that are to be told.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.peers.keys().copied()
    }

    /// Returns how many peers are told.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether no peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns whether a peer saw a failure last at an endpoint.
    pub fn any_fails(&self, now: Time, endpoint: EndpointKey) -> bool {
        self.live(now)
            .any(|(_, peer)| peer.failing.contains(&endpoint))
    }

    /// Returns the peers that were heard lately.
    pub fn live(&self, now: Time) -> impl Iterator<Item = (SocketAddrV4, &Peer)> {
        let peers = self.peers.iter();
        peers
            .filter(move |(_, peer)| peer.is_live(now))
            .map(|(address, peer)| (*address, peer))
    }
}
