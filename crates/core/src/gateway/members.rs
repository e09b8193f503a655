//! Group membership, at a cost per instance that does not grow with the fleet.
//!
//! Each instance probes one other at a time. An instance that answers neither directly nor through
//! others is suspected, and is considered gone unless it refutes the suspicion in time. Only
//! changes are sent, see [`gossip`](super::gossip). The protocol is SWIM (Das, Gupta, Motivala,
//! 2002) with suspicion and refutation; `docs/design/large-fleets.md` gives the costs.
//!
//! A process that restarts at an address is a new incarnation. Incarnations have no order, so what
//! an instance states about itself takes precedence over gossip about it.

mod probes;

pub use probes::{PROBE_INTERVAL, SUSPICION_TIMEOUT};

use super::gossip::Body;
use super::revision::Revision;
use crate::ids::{Incarnation, stable_hash};
use crate::time::Time;
use core::time::Duration;
use probes::Probes;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Minimum interval between two requests for the full member list.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);

/// Members in one datagram: some 1.2 KB.
const LIST_CHUNK: usize = 64;

/// The believed state of an instance. With equal refutation counts the later variant takes
/// precedence over the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It takes part.
    Alive,
    /// It takes part, and will stop soon.
    Stopping,
    /// It did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// It has ended or cannot be reached.
    Gone,
}

/// The state of one instance, as sent between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "EncodedUpdate", into = "EncodedUpdate")]
pub struct MemberUpdate {
    /// Address at which it receives datagrams.
    pub address: SocketAddrV4,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How often it has refuted a suspicion in this incarnation.
    pub refutations: u32,
    /// Its state.
    pub status: Status,
    /// Its capacity.
    pub capacity: CapacityClass,
}

/// The processor capacity of an instance, in classes of a factor of two. An instance of unknown
/// capacity has the lowest class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CapacityClass(u8);

impl CapacityClass {
    /// The highest class, which fits the bits that [`EncodedUpdate`] has for it.
    const MAX: u8 = u32::BITS as u8;

    /// Returns the class of an instance with this share of a core, in percent; 0 if it is unknown.
    pub fn of_percent(percent: u32) -> Self {
        let class = u32::BITS - percent.leading_zeros();
        CapacityClass(u8::try_from(class).unwrap_or(Self::MAX))
    }
}

/// A [`MemberUpdate`] as it is encoded. Every datagram carries at least one, and most of the
/// control traffic of a large fleet is small datagrams, so status and capacity share one byte.
#[derive(Serialize, Deserialize)]
struct EncodedUpdate {
    address: SocketAddrV4,
    incarnation: Incarnation,
    refutations: u32,
    /// The status in the [`STATUS_BITS`] lowest bits, and the capacity class above.
    status_and_capacity: u8,
}

/// Bits that the four variants of [`Status`] take.
const STATUS_BITS: u32 = 2;

impl From<MemberUpdate> for EncodedUpdate {
    fn from(update: MemberUpdate) -> Self {
        let status = match update.status {
            Status::Alive => 0,
            Status::Stopping => 1,
            Status::Suspect => 2,
            Status::Gone => 3,
        };
        EncodedUpdate {
            address: update.address,
            incarnation: update.incarnation,
            refutations: update.refutations,
            status_and_capacity: status | update.capacity.0 << STATUS_BITS,
        }
    }
}

impl From<EncodedUpdate> for MemberUpdate {
    fn from(encoded: EncodedUpdate) -> Self {
        let status = match encoded.status_and_capacity % (1 << STATUS_BITS) {
            0 => Status::Alive,
            1 => Status::Stopping,
            2 => Status::Suspect,
            _ => Status::Gone,
        };
        let class = encoded.status_and_capacity >> STATUS_BITS;
        MemberUpdate {
            address: encoded.address,
            incarnation: encoded.incarnation,
            refutations: encoded.refutations,
            status,
            capacity: CapacityClass(class.min(CapacityClass::MAX)),
        }
    }
}

impl MemberUpdate {
    fn rank(&self) -> (u32, Status) {
        (self.refutations, self.status)
    }
}

/// What an instance states about its replica of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaClaim {
    /// The revision up to which it is complete.
    pub revision: Revision,
    /// Its digest.
    pub digest: u64,
}

/// What is known about another instance.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// Its last known state; `None` if only its address is known.
    update: Option<MemberUpdate>,
    /// Time of the last state change, or when the address became known.
    since: Time,
    /// Time of its own last datagram.
    pub last_datagram: Option<Time>,
    /// What it last stated about its replica.
    pub replica: ReplicaClaim,
    /// The version of its catalogue in force, as this incarnation last stated; 0 if it stated none.
    pub catalogue: u64,
}

impl Member {
    /// Returns whether it takes part, suspected or not.
    pub fn is_live(&self) -> bool {
        self.update.is_some_and(|it| it.status != Status::Gone)
    }

    /// Returns whether it takes part, is not suspected and is not stopping.
    pub fn is_steady(&self) -> bool {
        self.update.is_some_and(|it| it.status == Status::Alive)
    }

    /// Returns its capacity, the lowest class if it is unknown.
    pub fn capacity(&self) -> CapacityClass {
        self.update.map(|it| it.capacity).unwrap_or_default()
    }

    /// Returns whether it has announced that it stops.
    pub fn is_stopping(&self) -> bool {
        self.update.is_some_and(|it| it.status == Status::Stopping)
    }
}

/// What changed in the membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Instances that are now considered gone.
    pub gone: Vec<SocketAddrV4>,
    /// State changes to gossip.
    pub updates: Vec<MemberUpdate>,
    /// Messages to send.
    pub send: Vec<(SocketAddrV4, Body)>,
}

/// All known instances.
#[derive(Clone, Debug)]
pub struct Members {
    own: MemberUpdate,
    /// The seeds, without this instance.
    seeds: Vec<SocketAddrV4>,
    is_seed: bool,
    others: BTreeMap<SocketAddrV4, Member>,
    /// The targets of the next probes, the next one last.
    ring: Vec<SocketAddrV4>,
    probes: Probes,
    last_sync: Option<Time>,
}

impl Members {
    /// Returns an instance that knows the addresses of its seeds.
    pub fn new(
        now: Time,
        address: SocketAddrV4,
        incarnation: Incarnation,
        seeds: &[SocketAddrV4],
        capacity: CapacityClass,
    ) -> Self {
        let own = MemberUpdate {
            address,
            incarnation,
            refutations: 0,
            status: Status::Alive,
            capacity,
        };
        let mut members = Members {
            own,
            seeds: Vec::new(),
            is_seed: false,
            others: BTreeMap::new(),
            ring: Vec::new(),
            probes: Probes::new(now),
            last_sync: None,
        };
        members.set_seeds(now, seeds);
        members
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, now: Time, seeds: &[SocketAddrV4]) {
        let others = seeds.iter().filter(|&&seed| seed != self.own.address);
        self.seeds = others.copied().collect();
        self.is_seed = seeds.contains(&self.own.address);
        for &seed in &self.seeds {
            self.others.entry(seed).or_insert(unknown_member(now));
        }
    }

    /// Returns the state of this instance.
    pub fn own(&self) -> MemberUpdate {
        self.own
    }

    /// Marks this instance as stopping; returns the update to gossip.
    pub fn stop(&mut self) -> MemberUpdate {
        self.own.status = Status::Stopping;
        self.own
    }

    /// Returns what is known about the instance at `address`.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Member> {
        self.others.get(&address)
    }

    /// Records the version of the catalogue in force that an instance stated.
    pub fn on_catalogue(&mut self, address: SocketAddrV4, version: u64) {
        if let Some(known) = self.others.get_mut(&address) {
            known.catalogue = version;
        }
    }

    /// Returns the other instances that take part.
    pub fn live(&self) -> impl Iterator<Item = (SocketAddrV4, &Member)> {
        let others = self.others.iter();
        others
            .filter(|(_, it)| it.is_live())
            .map(|(address, it)| (*address, it))
    }

    /// Returns whether this instance has received datagrams of most of the seeds; a seed counts
    /// itself.
    pub fn has_reached_most_seeds(&self) -> bool {
        let is_reached = |it: &&SocketAddrV4| {
            let known = self.others.get(it);
            known.is_some_and(|it| it.last_datagram.is_some())
        };
        let others = self.seeds.iter().filter(is_reached).count();
        let own = usize::from(self.is_seed);
        let all = self.seeds.len() + own;
        all == 0 || 2 * (others + own) > all
    }

    /// Returns whether any other instance has ever answered.
    pub fn has_joined(&self) -> bool {
        self.last_sync.is_some() || self.seeds.is_empty()
    }

    /// Returns a hash of the live members, equal where two instances know the same members.
    pub fn digest(&self) -> u64 {
        let live = self.live().filter_map(|(_, it)| it.update);
        let all = live.chain([self.own]);
        all.fold(0, |sum, it| sum ^ hash_of(it.address, it.incarnation))
    }

    /// Stores the state of an instance and queues it as gossip.
    fn set(&mut self, now: Time, update: MemberUpdate, change: &mut Change) {
        if let Some(known) = self.others.get_mut(&update.address) {
            known.update = Some(update);
            known.since = now;
            change.updates.push(update);
        }
    }

    /// Returns a random sample of the live members, without `except`.
    pub fn sample(
        &self,
        rng: &mut SmallRng,
        most: usize,
        except: &[SocketAddrV4],
    ) -> Vec<SocketAddrV4> {
        let live = self.live().map(|(address, _)| address);
        live.filter(|it| !except.contains(it))
            .choose_multiple(rng, most)
    }

    /// Handles the state that an instance states about itself in its own datagram. Returns whether
    /// this incarnation was unknown or considered gone.
    pub fn on_datagram(
        &mut self,
        now: Time,
        stated: MemberUpdate,
        replica: ReplicaClaim,
        change: &mut Change,
    ) -> bool {
        let known = self
            .others
            .entry(stated.address)
            .or_insert(unknown_member(now));
        known.last_datagram = Some(now);
        known.replica = replica;
        let Some(update) = known
            .update
            .filter(|it| it.incarnation == stated.incarnation)
        else {
            known.update = Some(stated);
            known.since = now;
            known.catalogue = 0;
            change.updates.push(stated);
            return true;
        };
        let was_gone = update.status == Status::Gone;
        if stated.rank() > update.rank() {
            known.update = Some(stated);
            known.since = now;
            change.updates.push(stated);
        } else if update.status >= Status::Suspect {
            // The instance is reachable, but it must refute the suspicion itself: only a higher
            // refutation count overrides what other instances already know.
            change.send.push((stated.address, Body::suspicion(update)));
            if was_gone {
                known.update = Some(stated);
                known.since = now;
            }
        }
        was_gone
    }

    /// Handles gossip about an instance.
    pub fn on_update(&mut self, now: Time, received: MemberUpdate, change: &mut Change) {
        if received.address == self.own.address {
            self.refute(received, change);
            return;
        }
        let known = self
            .others
            .entry(received.address)
            .or_insert(unknown_member(now));
        match known.update {
            None if received.status == Status::Gone => {}
            None => {
                known.update = Some(received);
                known.since = now;
                change.updates.push(received);
            }
            Some(update) if update.incarnation == received.incarnation => {
                if received.rank() > update.rank() {
                    known.update = Some(received);
                    known.since = now;
                    change.updates.push(received);
                    if received.status == Status::Gone {
                        change.gone.push(received.address);
                    }
                } else if update.status == Status::Gone && received.status < Status::Suspect {
                    self.probe_soon(received.address);
                }
            }
            Some(update) if update.status == Status::Gone && received.status < Status::Suspect => {
                known.update = Some(received);
                known.since = now;
                change.updates.push(received);
            }
            // One of two incarnations is over. A probe of the instance shows which.
            Some(_) => self.probe_soon(received.address),
        }
    }

    fn refute(&mut self, received: MemberUpdate, change: &mut Change) {
        let is_own_incarnation = received.incarnation == self.own.incarnation;
        if is_own_incarnation
            && received.status >= Status::Suspect
            && received.refutations >= self.own.refutations
        {
            self.own.refutations = received.refutations.saturating_add(1);
            change.updates.push(self.own);
        } else if !is_own_incarnation && received.status < Status::Gone {
            change.updates.push(self.own);
        }
    }

    fn probe_soon(&mut self, address: SocketAddrV4) {
        if !self.ring.contains(&address) {
            self.ring.push(address);
        }
    }

    /// Returns whether to request the full member list from a peer whose member digest is `theirs`.
    pub fn should_sync(&mut self, now: Time, theirs: u64) -> bool {
        let is_due = self
            .last_sync
            .is_none_or(|at| now.since(at) >= SYNC_INTERVAL);
        if !is_due || (theirs == self.digest() && self.last_sync.is_some()) {
            return false;
        }
        self.last_sync = Some(now);
        true
    }

    /// Returns all live members, this instance included, in chunks that fit a datagram.
    pub fn list(&self) -> Vec<Vec<MemberUpdate>> {
        let live = self.live().filter_map(|(_, it)| it.update);
        let all: Vec<MemberUpdate> = live.chain([self.own]).collect();
        all.chunks(LIST_CHUNK)
            .map(<[MemberUpdate]>::to_vec)
            .collect()
    }
}

fn unknown_member(now: Time) -> Member {
    Member {
        update: None,
        since: now,
        last_datagram: None,
        replica: ReplicaClaim::default(),
        catalogue: 0,
    }
}

fn hash_of(address: SocketAddrV4, incarnation: Incarnation) -> u64 {
    let port = address.port().to_le_bytes();
    stable_hash(&[&address.ip().octets(), &port, &incarnation.0.to_le_bytes()])
}
