//! Which instances there are, at a cost that does not grow with their number.
//!
//! Each instance probes one other at a time. One that answers neither itself nor through
//! others is suspected, and counts as gone unless it refutes that in time. Only changes are
//! told, see [`gossip`](super::gossip). The protocol is SWIM (Das, Gupta, Motivala, 2002)
//! with its suspicion and refutation; `docs/design/large-fleets.md` gives the costs.
//!
//! A process that starts again at an address is another life. Lives have no order, so that
//! what an instance says itself goes before what others say of it.

use super::gossip::Body;
use crate::ids::{Incarnation, stable_hash};
use crate::time::Time;
use core::time::Duration;
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The time between two probes of one instance. Two and a half a second, each answered,
/// take some 0.7 KB a second of an instance, whatever the size of the fleet.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// A probe that is not answered within this time is tried through others. A round trip
/// between data centres takes some 3 ms; the rest is for busy processors.
const ACK_LIMIT: Duration = Duration::from_millis(150);

/// Others that are asked to probe in one's place, so that one link that is cut condemns
/// nobody.
const HELPERS: usize = 3;

/// A probe that nobody has answered by then makes its target suspected.
const PROBE_LIMIT: Duration = Duration::from_millis(600);

/// How long a suspected instance has to refute it: news takes some 50 ms to it and as long
/// back, and an instance that gets an eighth of a processor may pause for 100 ms.
pub const SUSPICION: Duration = Duration::from_millis(1_200);

/// The time between two attempts to find anybody, while nobody is known.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Addresses that each such attempt tries.
const JOIN_TRIES: usize = 2;

/// Each so manieth probe goes to an address where nobody answered lately, so that two parts
/// of a fleet that lost each other find each other again within seconds.
const LOST_EVERY: u64 = 3;

/// An instance that is gone is remembered for so long, and probed now and then.
const REMEMBER_GONE: Duration = Duration::from_secs(60);

/// An instance that did nothing for so long was itself away: what it waits for proves nothing
/// about others.
const OWN_PAUSE: Duration = Duration::from_millis(700);

/// The time between two questions for all instances.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);

/// Instances that one datagram lists: some 1.2 KB.
const LIST_CHUNK: usize = 64;

/// What an instance is believed to be. At the same number of refutations the later word goes
/// before the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    /// It takes part.
    Alive,
    /// It takes part, and stops soon.
    Stopping,
    /// It did not answer, and may still say that it is there.
    Suspect,
    /// It is not there.
    Gone,
}

/// What is told of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Where it answers peers.
    pub address: SocketAddrV4,
    /// Its life.
    pub life: Incarnation,
    /// How often it has refuted what was said of it in this life.
    pub refuted: u32,
    /// What it is.
    pub status: Status,
}

impl Update {
    fn rank(&self) -> (u32, Status) {
        (self.refuted, self.status)
    }
}

/// What is known of another instance.
#[derive(Clone, Copy, Debug)]
pub struct Member {
    /// What was told of it last; nothing if only its address is known.
    update: Option<Update>,
    /// Since when, or since when its address is known.
    since: Time,
    /// When a datagram of its own came last.
    pub heard: Option<Time>,
    /// The store's revision that it said it knows.
    pub revision: u64,
    /// What that comes to.
    pub digest: u64,
}

impl Member {
    /// Returns whether it takes part, suspected or not.
    pub fn is_live(&self) -> bool {
        self.update.is_some_and(|it| it.status != Status::Gone)
    }

    /// Returns whether it takes part, nobody doubts that, and it goes on doing so.
    pub fn is_steady(&self) -> bool {
        self.update.is_some_and(|it| it.status == Status::Alive)
    }

    /// Returns whether it said that it stops.
    pub fn is_stopping(&self) -> bool {
        self.update.is_some_and(|it| it.status == Status::Stopping)
    }
}

/// A probe that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    target: SocketAddrV4,
    /// The life that is probed, if it is known.
    life: Option<Incarnation>,
    sent: Time,
    helped: bool,
}

/// A probe made in the place of another instance.
#[derive(Clone, Copy, Debug)]
struct Help {
    number: u64,
    asker: SocketAddrV4,
    askers_number: u64,
    sent: Time,
}

/// What changed among the instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Instances that count as gone now.
    pub gone: Vec<SocketAddrV4>,
    /// What is to be told of instances.
    pub updates: Vec<Update>,
    /// What is to be sent.
    pub send: Vec<(SocketAddrV4, Body)>,
}

/// All instances known.
#[derive(Clone, Debug)]
pub struct Members {
    own: Update,
    seeds: Vec<SocketAddrV4>,
    others: BTreeMap<SocketAddrV4, Member>,
    /// Whom to probe next, from the end.
    ring: Vec<SocketAddrV4>,
    probes: Vec<Probe>,
    helps: Vec<Help>,
    numbers: u64,
    next_probe: Time,
    ticked: Time,
    synced: Option<Time>,
}

impl Members {
    /// Returns an instance that knows the addresses of some others.
    pub fn new(
        now: Time,
        address: SocketAddrV4,
        life: Incarnation,
        seeds: &[SocketAddrV4],
    ) -> Self {
        let own = Update {
            address,
            life,
            refuted: 0,
            status: Status::Alive,
        };
        let mut members = Members {
            own,
            seeds: Vec::new(),
            others: BTreeMap::new(),
            ring: Vec::new(),
            probes: Vec::new(),
            helps: Vec::new(),
            numbers: 0,
            next_probe: now,
            ticked: now,
            synced: None,
        };
        members.set_seeds(now, seeds);
        members
    }

    /// Puts other seeds in force.
    pub fn set_seeds(&mut self, now: Time, seeds: &[SocketAddrV4]) {
        let others = seeds.iter().filter(|&&seed| seed != self.own.address);
        self.seeds = others.copied().collect();
        for &seed in &self.seeds {
            self.others.entry(seed).or_insert(unheard(now));
        }
    }

    /// Returns what this instance says of itself.
    pub fn own(&self) -> Update {
        self.own
    }

    /// Notes that this instance stops; returns what is to be told.
    pub fn stop(&mut self) -> Update {
        self.own.status = Status::Stopping;
        self.own
    }

    /// Returns what is known of the instance at `address`.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Member> {
        self.others.get(&address)
    }

    /// Returns the others that take part.
    pub fn live(&self) -> impl Iterator<Item = (SocketAddrV4, &Member)> {
        let others = self.others.iter();
        others
            .filter(|(_, it)| it.is_live())
            .map(|(address, it)| (*address, it))
    }

    /// Returns whether anybody ever answered.
    pub fn has_joined(&self) -> bool {
        self.synced.is_some() || self.seeds.is_empty()
    }

    /// Returns a hash of who takes part, equal where two instances believe the same.
    pub fn digest(&self) -> u64 {
        let live = self.live().filter_map(|(_, it)| it.update);
        let all = live.chain([self.own]);
        all.fold(0, |sum, it| sum ^ hash_of(it.address, it.life))
    }

    /// Draws some of the others that take part, but for `except`.
    pub fn draw(
        &self,
        rng: &mut SmallRng,
        most: usize,
        except: &[SocketAddrV4],
    ) -> Vec<SocketAddrV4> {
        let live = self.live().map(|(address, _)| address);
        live.filter(|it| !except.contains(it))
            .choose_multiple(rng, most)
    }

    /// Takes in what an instance says of itself in a datagram of its own. Returns whether it
    /// was not there before in this life.
    pub fn hear(
        &mut self,
        now: Time,
        said: Update,
        revision: u64,
        digest: u64,
        change: &mut Change,
    ) -> bool {
        let known = self.others.entry(said.address).or_insert(unheard(now));
        known.heard = Some(now);
        known.revision = revision;
        known.digest = digest;
        let Some(update) = known.update.filter(|it| it.life == said.life) else {
            known.update = Some(said);
            known.since = now;
            change.updates.push(said);
            return true;
        };
        let was_gone = update.status == Status::Gone;
        if said.rank() > update.rank() {
            known.update = Some(said);
            known.since = now;
            change.updates.push(said);
        } else if update.status >= Status::Suspect {
            // It is there, and must say so itself: only a higher number of refutations goes
            // before what others were told.
            change.send.push((said.address, Body::accuse(update)));
            if was_gone {
                known.update = Some(said);
                known.since = now;
            }
        }
        was_gone
    }

    /// Takes in what others say of an instance.
    pub fn hear_of(&mut self, now: Time, told: Update, change: &mut Change) {
        if told.address == self.own.address {
            self.refute(told, change);
            return;
        }
        let known = self.others.entry(told.address).or_insert(unheard(now));
        match known.update {
            None if told.status == Status::Gone => {}
            None => {
                known.update = Some(told);
                known.since = now;
                change.updates.push(told);
            }
            Some(update) if update.life == told.life => {
                if told.rank() > update.rank() {
                    known.update = Some(told);
                    known.since = now;
                    change.updates.push(told);
                    if told.status == Status::Gone {
                        change.gone.push(told.address);
                    }
                } else if update.status == Status::Gone && told.status < Status::Suspect {
                    self.probe_soon(told.address);
                }
            }
            Some(update) if update.status == Status::Gone && told.status < Status::Suspect => {
                known.update = Some(told);
                known.since = now;
                change.updates.push(told);
            }
            // One of two lives is over. The instance itself is asked which.
            Some(_) => self.probe_soon(told.address),
        }
    }

    fn refute(&mut self, told: Update, change: &mut Change) {
        let is_own_life = told.life == self.own.life;
        if is_own_life && told.status >= Status::Suspect && told.refuted >= self.own.refuted {
            self.own.refuted = told.refuted.saturating_add(1);
            change.updates.push(self.own);
        } else if !is_own_life && told.status < Status::Gone {
            change.updates.push(self.own);
        }
    }

    fn probe_soon(&mut self, address: SocketAddrV4) {
        if !self.ring.contains(&address) {
            self.ring.push(address);
        }
    }

    /// Takes in the answer to a probe; returns to whom it is passed on, for whom this
    /// instance had probed.
    pub fn acknowledged(&mut self, number: u64) -> Option<(SocketAddrV4, Body)> {
        self.probes.retain(|it| it.number != number);
        let at = self.helps.iter().position(|it| it.number == number)?;
        let help = self.helps.swap_remove(at);
        Some((help.asker, Body::relayed_ack(help.askers_number)))
    }

    /// Probes `target` in the place of `asker`.
    pub fn help(
        &mut self,
        now: Time,
        asker: SocketAddrV4,
        askers_number: u64,
        target: SocketAddrV4,
    ) -> Body {
        self.numbers += 1;
        self.helps.push(Help {
            number: self.numbers,
            asker,
            askers_number,
            sent: now,
        });
        self.probe_body(self.numbers, target)
    }

    /// Returns whether to ask `peer`, which believes in other instances, for all of them.
    pub fn asks_for_all(&mut self, now: Time, theirs: u64) -> bool {
        let is_due = self.synced.is_none_or(|at| now.since(at) >= SYNC_INTERVAL);
        if !is_due || (theirs == self.digest() && self.synced.is_some()) {
            return false;
        }
        self.synced = Some(now);
        true
    }

    /// Returns all instances that take part, this one included, in parts that fit a datagram.
    pub fn list(&self) -> Vec<Vec<Update>> {
        let live = self.live().filter_map(|(_, it)| it.update);
        let all: Vec<Update> = live.chain([self.own]).collect();
        all.chunks(LIST_CHUNK).map(<[Update]>::to_vec).collect()
    }

    /// Does what is due by time alone.
    pub fn tick(&mut self, now: Time, rng: &mut SmallRng) -> Change {
        let mut change = Change::default();
        if now.since(self.ticked) >= OWN_PAUSE {
            self.probes.clear();
            self.restart_suspicions(now);
        }
        self.ticked = now;
        self.judge_probes(now, rng, &mut change);
        self.end_suspicions(now, &mut change);
        self.helps.retain(|it| now.since(it.sent) < PROBE_LIMIT);
        let seeds = &self.seeds;
        self.others.retain(|address, it| {
            it.is_live() || seeds.contains(address) || now.since(it.since) < REMEMBER_GONE
        });
        if now >= self.next_probe {
            self.probe(now, rng, &mut change);
        }
        change
    }

    fn restart_suspicions(&mut self, now: Time) {
        for it in self.others.values_mut() {
            if it.update.is_some_and(|it| it.status == Status::Suspect) {
                it.since = now;
            }
        }
    }

    fn judge_probes(&mut self, now: Time, rng: &mut SmallRng, change: &mut Change) {
        let (over, open) = core::mem::take(&mut self.probes)
            .into_iter()
            .partition::<Vec<_>, _>(|it| now.since(it.sent) >= PROBE_LIMIT);
        self.probes = open;
        for probe in over {
            self.suspect(now, &probe, change);
        }
        let late: Vec<usize> = (0..self.probes.len())
            .filter(|&at| !self.probes[at].helped && now.since(self.probes[at].sent) >= ACK_LIMIT)
            .collect();
        for at in late {
            let (number, target) = (self.probes[at].number, self.probes[at].target);
            self.probes[at].helped = true;
            for helper in self.draw(rng, HELPERS, &[target]) {
                change
                    .send
                    .push((helper, Body::ProbeFor { number, target }));
            }
        }
    }

    fn suspect(&mut self, now: Time, probe: &Probe, change: &mut Change) {
        let Some(known) = self.others.get_mut(&probe.target) else {
            return;
        };
        let Some(update) = known.update.filter(|it| Some(it.life) == probe.life) else {
            return;
        };
        if update.status < Status::Suspect {
            let update = Update {
                status: Status::Suspect,
                ..update
            };
            known.update = Some(update);
            known.since = now;
            change.updates.push(update);
        }
    }

    fn end_suspicions(&mut self, now: Time, change: &mut Change) {
        for (address, known) in &mut self.others {
            let Some(update) = known.update.filter(|it| it.status == Status::Suspect) else {
                continue;
            };
            if now.since(known.since) >= SUSPICION {
                let update = Update {
                    status: Status::Gone,
                    ..update
                };
                known.update = Some(update);
                known.since = now;
                change.updates.push(update);
                change.gone.push(*address);
            }
        }
    }

    fn probe(&mut self, now: Time, rng: &mut SmallRng, change: &mut Change) {
        if self.live().next().is_none() {
            self.next_probe = now + JOIN_INTERVAL;
            let anybody = self.others.keys().copied();
            for target in anybody.choose_multiple(rng, JOIN_TRIES) {
                self.probe_one(now, target, change);
            }
            return;
        }
        self.next_probe = now + PROBE_INTERVAL;
        let lost = self
            .numbers
            .is_multiple_of(LOST_EVERY)
            .then(|| self.lost(rng));
        let target = lost.flatten().or_else(|| self.next_in_ring(rng));
        if let Some(target) = target {
            self.probe_one(now, target, change);
        }
    }

    fn probe_one(&mut self, now: Time, target: SocketAddrV4, change: &mut Change) {
        self.numbers += 1;
        let update = self.others.get(&target).and_then(|it| it.update);
        self.probes.push(Probe {
            number: self.numbers,
            target,
            life: update.map(|it| it.life),
            sent: now,
            helped: false,
        });
        change
            .send
            .push((target, self.probe_body(self.numbers, target)));
    }

    /// Returns a probe, which tells its target what is believed of it, so that it can refute
    /// that.
    fn probe_body(&self, number: u64, target: SocketAddrV4) -> Body {
        let update = self.others.get(&target).and_then(|it| it.update);
        let doubted = update.filter(|it| it.status >= Status::Suspect);
        Body::probe(number, self.digest(), doubted)
    }

    fn lost(&self, rng: &mut SmallRng) -> Option<SocketAddrV4> {
        let lost = self.others.iter().filter(|(_, it)| !it.is_live());
        lost.map(|(address, _)| *address).choose(rng)
    }

    fn next_in_ring(&mut self, rng: &mut SmallRng) -> Option<SocketAddrV4> {
        if self.ring.is_empty() {
            self.ring = self.live().map(|(address, _)| address).collect();
            self.ring.shuffle(rng);
        }
        self.ring.pop()
    }
}

fn unheard(now: Time) -> Member {
    Member {
        update: None,
        since: now,
        heard: None,
        revision: 0,
        digest: 0,
    }
}

fn hash_of(address: SocketAddrV4, life: Incarnation) -> u64 {
    let port = address.port().to_le_bytes();
    stable_hash(&[&address.ip().octets(), &port, &life.0.to_le_bytes()])
}
