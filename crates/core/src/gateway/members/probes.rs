//! Who is probed when, and what follows from silence.

use super::{Change, MemberUpdate, Members, Status};
use crate::gateway::gossip::Body;
use crate::ids::Incarnation;
use crate::time::Time;
use core::time::Duration;
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use std::net::SocketAddrV4;

/// The time between two probes of one instance. Two and a half a second, each answered,
/// take some 0.7 KB a second of an instance, whatever the size of the fleet.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// A probe that is not answered within this time is tried through others. A round trip
/// between data centres takes some 3 ms; the rest is for busy processors.
const ACK_TIMEOUT: Duration = Duration::from_millis(150);

/// Others that are asked to probe in one's place, so that one link that is cut condemns
/// nobody.
const HELPERS: usize = 3;

/// A probe that nobody has answered by then makes its target suspected.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a suspected instance has to refute it: news takes some 50 ms to it and as long
/// back, and an instance that gets an eighth of a processor may pause for 100 ms.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The time between two attempts to find anybody, while nobody is known.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Addresses that each such attempt tries.
const JOIN_ATTEMPTS: usize = 2;

/// Each so manieth probe goes to an address where nobody answered lately, so that two parts
/// of a fleet that lost each other find each other again within seconds.
const GONE_PROBE_EVERY: u64 = 3;

/// An instance that is gone is remembered for so long, and probed now and then.
const REMEMBER_GONE: Duration = Duration::from_secs(60);

/// An instance that did nothing for so long was itself away: what it waits for proves nothing
/// about others.
const OWN_PAUSE: Duration = Duration::from_millis(700);

/// A probe that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    target: SocketAddrV4,
    /// The life that is probed, if it is known.
    incarnation: Option<Incarnation>,
    sent: Time,
    is_indirect: bool,
}

/// A probe made in the place of another instance.
#[derive(Clone, Copy, Debug)]
struct PeerProbe {
    number: u64,
    requester: SocketAddrV4,
    requester_number: u64,
    sent: Time,
}

/// The probes of one instance.
#[derive(Clone, Debug)]
pub(super) struct Probes {
    open: Vec<Probe>,
    for_peers: Vec<PeerProbe>,
    last_number: u64,
    next_probe: Time,
    last_tick: Time,
}

impl Probes {
    pub(super) fn new(now: Time) -> Self {
        Probes {
            open: Vec::new(),
            for_peers: Vec::new(),
            last_number: 0,
            next_probe: now,
            last_tick: now,
        }
    }
}

impl Members {
    /// Takes in the answer to a probe; returns to whom it is passed on, for whom this
    /// instance had probed.
    pub fn on_ack(&mut self, number: u64) -> Option<(SocketAddrV4, Body)> {
        self.probes.open.retain(|it| it.number != number);
        let at = self
            .probes
            .for_peers
            .iter()
            .position(|it| it.number == number)?;
        let probe = self.probes.for_peers.swap_remove(at);
        Some((probe.requester, Body::relayed_ack(probe.requester_number)))
    }

    /// Probes `target` in the place of `asker`.
    pub fn probe_for(
        &mut self,
        now: Time,
        requester: SocketAddrV4,
        requester_number: u64,
        target: SocketAddrV4,
    ) -> Body {
        self.probes.last_number += 1;
        self.probes.for_peers.push(PeerProbe {
            number: self.probes.last_number,
            requester,
            requester_number,
            sent: now,
        });
        self.probe_body(self.probes.last_number, target)
    }

    /// Does what is due by time alone.
    pub fn tick(&mut self, now: Time, rng: &mut SmallRng) -> Change {
        let mut change = Change::default();
        if now.since(self.probes.last_tick) >= OWN_PAUSE {
            self.probes.open.clear();
            self.restart_suspicions(now);
        }
        self.probes.last_tick = now;
        self.check_probes(now, rng, &mut change);
        self.end_suspicions(now, &mut change);
        self.probes
            .for_peers
            .retain(|it| now.since(it.sent) < PROBE_TIMEOUT);
        let seeds = &self.seeds;
        self.others.retain(|address, it| {
            it.is_live() || seeds.contains(address) || now.since(it.since) < REMEMBER_GONE
        });
        if now >= self.probes.next_probe {
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

    fn check_probes(&mut self, now: Time, rng: &mut SmallRng, change: &mut Change) {
        let (over, open) = core::mem::take(&mut self.probes.open)
            .into_iter()
            .partition::<Vec<_>, _>(|it| now.since(it.sent) >= PROBE_TIMEOUT);
        self.probes.open = open;
        for probe in over {
            self.suspect(now, &probe, change);
        }
        let late: Vec<usize> = (0..self.probes.open.len())
            .filter(|&at| {
                !self.probes.open[at].is_indirect
                    && now.since(self.probes.open[at].sent) >= ACK_TIMEOUT
            })
            .collect();
        for at in late {
            let (number, target) = (self.probes.open[at].number, self.probes.open[at].target);
            self.probes.open[at].is_indirect = true;
            for helper in self.sample(rng, HELPERS, &[target]) {
                change
                    .send
                    .push((helper, Body::IndirectProbe { number, target }));
            }
        }
    }

    fn suspect(&mut self, now: Time, probe: &Probe, change: &mut Change) {
        let known = self.get(probe.target).and_then(|it| it.update);
        let probed = known.filter(|it| Some(it.incarnation) == probe.incarnation);
        if let Some(update) = probed.filter(|it| it.status < Status::Suspect) {
            let status = Status::Suspect;
            self.set(now, MemberUpdate { status, ..update }, change);
        }
    }

    fn end_suspicions(&mut self, now: Time, change: &mut Change) {
        let suspects = self.others.values().filter_map(|it| {
            let suspect = it.update.filter(|it| it.status == Status::Suspect);
            suspect.filter(|_| now.since(it.since) >= SUSPICION_TIMEOUT)
        });
        for update in suspects.collect::<Vec<_>>() {
            let status = Status::Gone;
            self.set(now, MemberUpdate { status, ..update }, change);
            change.gone.push(update.address);
        }
    }

    fn probe(&mut self, now: Time, rng: &mut SmallRng, change: &mut Change) {
        if self.live().next().is_none() {
            self.probes.next_probe = now + JOIN_INTERVAL;
            let anybody = self.others.keys().copied();
            for target in anybody.choose_multiple(rng, JOIN_ATTEMPTS) {
                self.probe_one(now, target, change);
            }
            return;
        }
        self.probes.next_probe = now + PROBE_INTERVAL;
        let gone = self
            .probes
            .last_number
            .is_multiple_of(GONE_PROBE_EVERY)
            .then(|| self.sample_gone(rng));
        let target = gone.flatten().or_else(|| self.next_in_ring(rng));
        if let Some(target) = target {
            self.probe_one(now, target, change);
        }
    }

    fn probe_one(&mut self, now: Time, target: SocketAddrV4, change: &mut Change) {
        self.probes.last_number += 1;
        let update = self.others.get(&target).and_then(|it| it.update);
        self.probes.open.push(Probe {
            number: self.probes.last_number,
            target,
            incarnation: update.map(|it| it.incarnation),
            sent: now,
            is_indirect: false,
        });
        change
            .send
            .push((target, self.probe_body(self.probes.last_number, target)));
    }

    /// Returns a probe, which tells its target what is believed of it, so that it can refute
    /// that.
    fn probe_body(&self, number: u64, target: SocketAddrV4) -> Body {
        let update = self.others.get(&target).and_then(|it| it.update);
        let believed = update.filter(|it| it.status >= Status::Suspect);
        Body::probe(number, self.digest(), believed)
    }

    fn sample_gone(&self, rng: &mut SmallRng) -> Option<SocketAddrV4> {
        let gone = self.others.iter().filter(|(_, it)| !it.is_live());
        gone.map(|(address, _)| *address).choose(rng)
    }

    fn next_in_ring(&mut self, rng: &mut SmallRng) -> Option<SocketAddrV4> {
        if self.ring.is_empty() {
            self.ring = self.live().map(|(address, _)| address).collect();
            self.ring.shuffle(rng);
        }
        self.ring.pop()
    }
}
