//! What an instance sends its peers and does about what they send.

use super::{Gateway, TickOutcome};
use crate::gateway::ask::REPORT_AGAIN;
use crate::gateway::beacons::{BEACON_INTERVAL, Beacon, watcher_rank};
use crate::gateway::catch_up::{FetchFailure, Provider};
use crate::gateway::cordons::{Cordon, CordonEffect};
use crate::gateway::gossip::{Body, Datagram, FAN_OUT, GOSSIP_VERSION, GossipItems};
use crate::gateway::members::{Change, Member};
use crate::gateway::rate_limits::LimitChange;
use crate::gateway::reader::{Step, WATCHER_TIMEOUT, WATCHERS};
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use rand::seq::IndexedRandom;
use std::net::SocketAddrV4;

/// Changes within this time go into one datagram.
pub const GOSSIP_DELAY: Duration = Duration::from_millis(2);

/// The longest time between two looks at what is due.
pub const TICK: Duration = Duration::from_millis(50);

/// How long a start waits to hear of others before it watches the store for all. What it
/// read a moment ago is fresh for as long.
const JOIN_TIMEOUT: Duration = Duration::from_millis(700);

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It is of another version.
    Version,
    /// It is of another deployment.
    Deployment,
    /// It came from this instance, or one that uses its address.
    Own,
}

impl DropReason {
    /// Returns a word for it, which counters carry.
    pub const fn label(self) -> &'static str {
        match self {
            DropReason::Version => "version",
            DropReason::Deployment => "deployment",
            DropReason::Own => "own_address",
        }
    }
}

/// What a datagram brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DatagramOutcome {
    /// Endpoints that began to leave.
    pub leaving: Vec<EndpointKey>,
    /// Words of the operator about data centres that were not known, and what they are to this
    /// instance.
    pub cordons: Vec<(Cordon, CordonEffect)>,
    /// Limits of endpoints that changed.
    pub limits: Vec<LimitChange>,
    /// Whether the sender was not there before in this life.
    pub is_new: bool,
    /// Instances that count as gone now.
    pub gone: Vec<SocketAddrV4>,
    /// Whether something is to be told on soon.
    pub gossip_soon: bool,
    /// Whether a request that waits for a place or its turn may have a decision.
    pub decided: bool,
    /// Whether there is news of suspects.
    pub suspects_changed: bool,
    /// What is to be sent at once.
    pub send: Vec<(SocketAddrV4, Body)>,
}

impl Gateway {
    /// Takes in what a peer sent.
    ///
    /// # Errors
    ///
    /// Returns why it does not concern this instance; then nothing has changed.
    pub fn on_datagram(
        &mut self,
        now: Time,
        datagram: Datagram,
    ) -> Result<DatagramOutcome, DropReason> {
        if datagram.version != GOSSIP_VERSION {
            return Err(DropReason::Version);
        }
        if datagram.deployment != self.cfg.deployment {
            return Err(DropReason::Deployment);
        }
        let from = datagram.from.address;
        if from == self.cfg.address {
            return Err(DropReason::Own);
        }
        self.fleet.hear(now, datagram.fleet);
        let mut outcome = DatagramOutcome::default();
        let mut change = Change::default();
        let (revision, digest) = (datagram.revision, datagram.digest);
        let claims_more = datagram.claims().any(|it| self.is_ahead(it.0, it.1));
        let sender = datagram.from;
        outcome.is_new = self
            .members
            .on_datagram(now, sender, revision, digest, &mut change);
        self.on_body(now, datagram, &mut outcome, &mut change);
        outcome.send.append(&mut change.send);
        outcome.gone.append(&mut change.gone);
        self.gossip_updates(change);
        // All others are looked at with each tick only: a datagram must not cost more where
        // there are more instances.
        if claims_more {
            self.catch_up.set_behind(now, true);
        }
        outcome.suspects_changed = self.suspects.take_changed();
        outcome.gossip_soon = self.outbox.has_new();
        Ok(outcome)
    }

    fn on_body(
        &mut self,
        now: Time,
        datagram: Datagram,
        outcome: &mut DatagramOutcome,
        change: &mut Change,
    ) {
        let from = datagram.from.address;
        match datagram.body {
            Body::Probe {
                number,
                members,
                suspects,
                gossip,
            } => {
                self.on_gossip(now, gossip, outcome, change);
                self.send_suspects(now, from, suspects, &mut outcome.send);
                let ack = Body::Ack {
                    number,
                    members: Some(self.members.digest()),
                    gossip: GossipItems::default(),
                };
                outcome.send.push((from, ack));
                self.sync_with(now, from, members, outcome);
            }
            Body::Ack {
                number,
                members,
                gossip,
            } => {
                self.on_gossip(now, gossip, outcome, change);
                outcome.send.extend(self.members.on_ack(number));
                if let Some(members) = members {
                    self.sync_with(now, from, members, outcome);
                }
            }
            Body::IndirectProbe { number, target } => {
                let probe = self.members.probe_for(now, from, number, target);
                outcome.send.push((target, probe));
            }
            Body::Gossip(gossip) => self.on_gossip(now, gossip, outcome, change),
            Body::RequestMembers => {
                let lists = self.members.list().into_iter();
                outcome
                    .send
                    .extend(lists.map(|it| (from, Body::Members(it))));
            }
            Body::Members(list) => {
                for update in list {
                    self.members.on_update(now, update, change);
                }
            }
            Body::PlacementReport(report) => {
                outcome.decided =
                    self.on_placement_report(now, datagram.from, report, &mut outcome.send);
            }
            Body::PlacementAnswer(answer) => {
                self.on_placement_answer(now, answer);
                outcome.decided = true;
            }
            Body::Suspects(records) => self.on_crash_records(now, &records),
            Body::RunLeaseReport(report) => {
                let answer = self.on_run_lease_report(now, from, &report);
                if !report.acquire.is_empty() {
                    outcome.send.push((from, Body::RunLeaseAnswer(answer)));
                }
            }
            Body::RunLeaseAnswer(answer) => {
                self.on_run_lease_answer(now, &answer);
                outcome.decided = true;
            }
        }
    }

    fn on_gossip(
        &mut self,
        now: Time,
        gossip: GossipItems,
        outcome: &mut DatagramOutcome,
        change: &mut Change,
    ) {
        for update in gossip.members {
            self.members.on_update(now, update, change);
        }
        for endpoint in gossip.leaving {
            if self.endpoints.leave(now, endpoint) {
                outcome.leaving.push(endpoint);
            }
        }
        for beacon in gossip.beacons {
            if beacon.origin != self.cfg.address && self.beacons.on_beacon(now, beacon) {
                self.outbox.add_beacon(beacon);
            }
        }
        for report in gossip.limits {
            if let Some(change) = self.limits.hear_word(now, report) {
                let instances = self.instances();
                self.outbox.add_limit(change.endpoint, instances);
                outcome.limits.push(change);
            }
        }
        for cordon in gossip.cordons {
            let effect = self.publish_cordon(now, cordon.clone());
            if effect != CordonEffect::Outdated {
                outcome.cordons.push((cordon, effect));
            }
        }
        self.on_crash_records(now, &gossip.crash_records);
    }

    fn sync_with(
        &mut self,
        now: Time,
        peer: SocketAddrV4,
        theirs: u64,
        outcome: &mut DatagramOutcome,
    ) {
        if self.members.should_sync(now, theirs) {
            outcome.send.push((peer, Body::RequestMembers));
        }
    }

    fn gossip_updates(&mut self, change: Change) {
        if change.updates.is_empty() {
            // As with nearly every datagram: counting the instances would be for nothing.
            return;
        }
        let instances = self.instances();
        for update in change.updates {
            self.outbox.add_member(update, instances);
        }
    }

    /// Tells peers soon that endpoints leave.
    pub fn gossip_leaving(&mut self, endpoints: &[EndpointKey]) {
        let instances = self.instances();
        for &endpoint in endpoints {
            self.outbox.add_leaving(endpoint, instances);
        }
    }

    /// Tells a few peers soon that this instance knows more of the store than before.
    pub fn announce(&mut self) {
        self.announce_soon = true;
    }

    /// Returns the longest time until the next look at what is due.
    pub fn tick_interval(&self) -> Duration {
        match self.placements.any_unanswered() || self.suspects.runs.any_waiting() {
            true => REPORT_AGAIN,
            false => TICK,
        }
    }

    /// Does what is due by time alone, and returns what changed and what is to be sent.
    pub fn tick(&mut self, now: Time) -> TickOutcome {
        let mut change = self.members.tick(now, &mut self.rng);
        let mut outcome = TickOutcome {
            silent: core::mem::take(&mut change.gone),
            send: core::mem::take(&mut change.send),
            ..TickOutcome::default()
        };
        self.gossip_updates(change);
        self.beacons.tick(now);
        self.send_beacon(now);
        let may_miss_records = self.may_miss_records(now);
        outcome.leaving = self.endpoints.tick(now, may_miss_records);
        self.on_endpoints_lost(now, &outcome.leaving);
        outcome.suspects_changed = self.suspects.take_changed();
        self.suspects.tick(now);
        let live = self.members.live().map(|(address, _)| address);
        let reached_most_seeds = self.members.has_reached_most_seeds();
        self.fleet.tick(now, live, reached_most_seeds);
        self.budget.set_known(now, self.fleet.settled());
        self.shares.tick(now);
        let endpoints = &self.endpoints;
        self.limits.tick(now, |it| endpoints.get(it).is_some());
        self.outbox.tick(now);
        self.update_behind(now);
        self.send_gossip(now, &mut outcome.send);
        outcome.decided = self.report(now, &mut outcome.send);
        outcome.decided |= self.report_runs(now, &mut outcome.send);
        outcome
    }

    fn send_beacon(&mut self, now: Time) {
        let is_due = self
            .last_beacon
            .is_none_or(|at| now.since(at) >= BEACON_INTERVAL);
        if !is_due || !self.should_send_beacon(now) {
            return;
        }
        self.last_beacon = Some(now);
        self.beacons_sent += 1;
        let beacon = Beacon {
            origin: self.cfg.address,
            incarnation: self.cfg.incarnation,
            number: self.beacons_sent,
            store_age_ms: self.store_age_ms(now),
            revision: self.replica.revision(),
            digest: self.replica.digest(),
            may_miss_records: self.reader.may_miss_records(now),
        };
        self.beacons.on_beacon(now, beacon);
        self.outbox.add_beacon(beacon);
    }

    /// Returns whether others are to hear how the store answers this instance: it is answered,
    /// or it ranks among the first and says that the store is away. Of those that watch in
    /// vain many may do so, and each beacon goes to everybody.
    fn should_send_beacon(&self, now: Time) -> bool {
        let watched = self.reader.last_watch_answer();
        let is_answered = watched.is_some_and(|at| now.since(at) < WATCHER_TIMEOUT);
        self.watches(now) && (is_answered || self.rank() < WATCHERS)
    }

    fn send_gossip(&mut self, now: Time, send: &mut Vec<(SocketAddrV4, Body)>) {
        let announces = core::mem::take(&mut self.announce_soon);
        if !announces && !self.outbox.has_new() {
            return;
        }
        let peers = self.members.sample(&mut self.rng, FAN_OUT, &[]);
        if peers.is_empty() {
            // What is news now is told to whoever is found first.
            return;
        }
        let items = self.take_gossip(now, FAN_OUT as u32);
        send.extend(peers.iter().map(|&it| (it, Body::Gossip(items.clone()))));
    }

    fn take_gossip(&mut self, now: Time, peers: u32) -> GossipItems {
        let limits = self.outbox.take_limits(peers);
        let limits = limits
            .into_iter()
            .filter_map(|it| self.limits.word(now, it));
        GossipItems {
            limits: limits.collect(),
            ..self.outbox.take(peers)
        }
    }

    /// Returns a datagram for one peer, with news where it has room for it.
    pub fn datagram(&mut self, now: Time, mut body: Body) -> Datagram {
        if let Some(gossip) = body.gossip_mut() {
            let mut items = self.take_gossip(now, 1);
            gossip.members.append(&mut items.members);
            gossip.leaving.append(&mut items.leaving);
            gossip.beacons.append(&mut items.beacons);
            gossip.crash_records.append(&mut items.crash_records);
            gossip.cordons.append(&mut items.cordons);
            gossip.limits.append(&mut items.limits);
        }
        if let Body::Probe { suspects, .. } = &mut body {
            *suspects = self.suspects.ledger.digest();
        }
        Datagram {
            version: GOSSIP_VERSION,
            deployment: self.cfg.deployment,
            from: self.members.own(),
            revision: self.replica.revision(),
            digest: self.replica.digest(),
            fleet: self.fleet.to_tell(now),
            body,
        }
    }

    fn store_age_ms(&self, now: Time) -> u32 {
        let age = self.reader.last_answer().map(|at| now.since(at));
        age.map_or(u32::MAX, |age| {
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        })
    }

    /// Returns whether this instance watches the store for all: it ranks among the first
    /// that the store answers, or those that it answers are too few.
    pub fn watches(&self, now: Time) -> bool {
        let own = watcher_rank(self.cfg.address);
        let ahead = |address: SocketAddrV4| watcher_rank(address) < own;
        let steady = |address: SocketAddrV4| {
            let member = self.members.get(address);
            member.is_some_and(Member::is_steady)
        };
        let fresh = self.beacons.recently_answered(now).filter(|&it| steady(it));
        if self.stopping {
            return fresh.count() == 0;
        }
        if fresh.filter(|&it| ahead(it)).count() >= WATCHERS {
            return false;
        }
        // Who is answered goes on, though the others hear from it now and would leave it alone.
        let is_answered = self
            .reader
            .last_watch_answer()
            .is_some_and(|at| now.since(at) < WATCHER_TIMEOUT);
        is_answered || self.rank() < self.beacons.may_watch(now, self.started)
    }

    /// Returns how many others go before this instance in the order of those that watch.
    fn rank(&self) -> usize {
        let own = watcher_rank(self.cfg.address);
        let steady = self.members.live().filter(|(_, it)| it.is_steady());
        steady
            .filter(|(address, _)| watcher_rank(*address) < own)
            .count()
    }

    /// Returns what to do about the store now.
    pub fn next_step(&self, now: Time) -> Step {
        let knows_others = self.members.has_joined() || now.since(self.started) >= JOIN_TIMEOUT;
        let reads = (knows_others && self.watches(now)) || self.catch_up.needs_direct_read(now);
        self.reader.next(now, reads)
    }

    /// Returns the peers that know more of the store than this instance.
    fn providers(&self) -> impl Iterator<Item = Provider> {
        let members = self.members.live().map(|(address, it)| Provider {
            address,
            revision: it.revision,
            digest: it.digest,
            is_direct: true,
        });
        let beacons = self
            .beacons
            .all()
            .filter(|it| it.origin != self.cfg.address);
        let beacons = beacons.map(|it| Provider {
            address: it.origin,
            revision: it.revision,
            digest: it.digest,
            is_direct: false,
        });
        let all = members.chain(beacons);
        all.filter(|it| self.is_ahead(it.revision, it.digest))
    }

    /// Returns a peer that knows more of the store than this instance and may be asked
    /// now, drawn among those that know most.
    pub fn choose_provider(&mut self, now: Time) -> Option<SocketAddrV4> {
        let watches = self.watches(now);
        let providers: Vec<Provider> = self.providers().collect();
        let able = self.catch_up.candidates(now, &providers, watches);
        able.choose(&mut self.rng).copied()
    }

    /// Notes whether a peer knows more of the store than this instance.
    pub fn update_behind(&mut self, now: Time) {
        let behind = self.providers().next().is_some();
        self.catch_up.set_behind(now, behind);
    }

    /// Returns whether that is more of the store than this instance knows. Revisions alone
    /// do not tell: each heartbeat of an endpoint makes one.
    fn is_ahead(&self, revision: u64, digest: u64) -> bool {
        revision > self.replica.revision() && digest != self.replica.digest()
    }

    /// Returns whether a peer knows more of the store than this instance.
    pub fn is_behind(&self) -> bool {
        self.catch_up.is_behind()
    }

    /// Notes that a peer did not tell what it knows.
    pub fn on_fetch_failure(&mut self, now: Time, peer: SocketAddrV4, failure: FetchFailure) {
        let draw = self.draw();
        self.catch_up.on_fetch_failure(now, peer, failure, draw);
    }
}
