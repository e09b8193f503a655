//! Failure detection: which instance is probed when, and what happens if it does not answer.

use super::{Change, MemberUpdate, Members, Status};
use crate::gateway::gossip::Body;
use crate::ids::Incarnation;
use crate::time::Time;
use core::time::Duration;
use rand::rngs::SmallRng;
use rand::seq::{IteratorRandom, SliceRandom};
use std::net::SocketAddrV4;

/// Interval between two probes of one instance. At 2.5 probes per second, each answered, they take
/// some 0.7 KB per second of an instance, whatever the size of the fleet.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// A probe that is not answered within this time is retried through other instances. A round trip
/// between data centres takes some 3 ms; the rest allows for busy processors.
const ACK_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of instances that are asked for an indirect probe, so that one broken link makes nobody
/// suspected.
const HELPERS: usize = 3;

/// A probe that is still unanswered after this time makes its target suspected.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a suspected instance has to refute the suspicion: gossip takes some 50 ms in each
/// direction, and an instance with an eighth of a processor may pause for 100 ms.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval between two attempts to join while no other instance is known.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Addresses that are probed in each such attempt.
const JOIN_ATTEMPTS: usize = 2;

/// One probe in this many goes to an instance that is considered gone, so that the two sides of a
/// partition find each other within seconds once it ends.
const GONE_PROBE_EVERY: u64 = 3;

/// How long an instance that is gone is remembered and probed from time to time.
const REMEMBER_GONE: Duration = Duration::from_secs(60);

/// If this instance did nothing for this long, it was paused itself, and unanswered probes prove
/// nothing about other instances.
const OWN_PAUSE: Duration = Duration::from_millis(700);

/// A probe that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct Probe {
    number: u64,
    target: SocketAddrV4,
    /// The incarnation that is probed, if it is known.
    incarnation: Option<Incarnation>,
    sent: Time,
    is_indirect: bool,
}

/// An indirect probe on behalf of another instance.
#[derive(Clone, Copy, Debug)]
struct PeerProbe {
    number: u64,
    requester: SocketAddrV4,
    requester_number: u64,
    sent: Time,
}

/// State of the failure detector.
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
    /// Handles the answer to a probe. If the probe was made on behalf of another instance, returns
    /// the message to it.
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

    /// Probes `target` on behalf of `requester`.
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

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Time, rng: &mut SmallRng) -> Change {
        let mut change = Change::default();
        if now.since(self.probes.last_tick) >= OWN_PAUSE {
            self.forgive_silence(now);
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

    /// Draws no conclusion from probes that are unanswered so far, because this instance itself was
    /// late; suspected instances get their full time to refute.
    pub fn forgive_silence(&mut self, now: Time) {
        self.probes.open.clear();
        self.restart_suspicions(now);
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

    /// Returns a probe that carries a suspicion of its target along, so that the target can refute
    /// it.
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
