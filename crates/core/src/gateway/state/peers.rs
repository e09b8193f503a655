//! What an instance sends its peers and does about what they send.

use super::{Gateway, TickOutcome};
use crate::gateway::beacons::{BEACON_INTERVAL, Beacon, watcher_rank};
use crate::gateway::catch_up::{FetchFailure, Provider};
use crate::gateway::cordons::{Cordon, CordonEffect};
use crate::gateway::gossip::{Body, Datagram, FAN_OUT, GOSSIP_VERSION, GossipItems};
use crate::gateway::members::{Change, Member};
use crate::gateway::placement::UNANSWERED_REPORT_INTERVAL;
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
const JOIN_PATIENCE: Duration = Duration::from_millis(700);

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
        self.fleet.on_report(now, datagram.fleet);
        let mut heard = DatagramOutcome::default();
        let mut change = Change::default();
        let (revision, digest) = (datagram.revision, datagram.digest);
        let says_more = datagram.claims().any(|it| self.is_more(it.0, it.1));
        let said = datagram.from;
        heard.is_new = self
            .members
            .on_datagram(now, said, revision, digest, &mut change);
        self.hear_body(now, datagram, &mut heard, &mut change);
        heard.send.append(&mut change.send);
        heard.gone.append(&mut change.gone);
        self.tell_updates(change);
        // All others are looked at with each tick only: a datagram must not cost more where
        // there are more instances.
        if says_more {
            self.catch_up.set_behind(now, true);
        }
        heard.suspects_changed = self.suspects.take_changed();
        heard.gossip_soon = self.outbox.has_new();
        Ok(heard)
    }

    fn hear_body(
        &mut self,
        now: Time,
        datagram: Datagram,
        heard: &mut DatagramOutcome,
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
                self.hear_news(now, gossip, heard, change);
                self.tell_suspects(now, from, suspects, &mut heard.send);
                let ack = Body::Ack {
                    number,
                    members: Some(self.members.digest()),
                    gossip: GossipItems::default(),
                };
                heard.send.push((from, ack));
                self.sync_with(now, from, members, heard);
            }
            Body::Ack {
                number,
                members,
                gossip,
            } => {
                self.hear_news(now, gossip, heard, change);
                heard.send.extend(self.members.on_ack(number));
                if let Some(members) = members {
                    self.sync_with(now, from, members, heard);
                }
            }
            Body::IndirectProbe { number, target } => {
                let probe = self.members.probe_for(now, from, number, target);
                heard.send.push((target, probe));
            }
            Body::Gossip(news) => self.hear_news(now, news, heard, change),
            Body::RequestMembers => {
                let lists = self.members.list().into_iter();
                heard.send.extend(lists.map(|it| (from, Body::Members(it))));
            }
            Body::Members(list) => {
                for update in list {
                    self.members.on_update(now, update, change);
                }
            }
            Body::PlacementReport(report) => {
                heard.decided = self.hear_report(now, datagram.from, report, &mut heard.send);
            }
            Body::PlacementAnswer(answer) => {
                self.hear_answer(now, answer);
                heard.decided = true;
            }
            Body::Suspects(blames) => self.hear_blames(now, &blames),
            Body::RunLeaseReport(report) => {
                let answer = self.hear_turns(now, from, &report);
                if !report.acquire.is_empty() {
                    heard.send.push((from, Body::RunLeaseAnswer(answer)));
                }
            }
            Body::RunLeaseAnswer(answer) => {
                self.hear_turn_answer(now, &answer);
                heard.decided = true;
            }
        }
    }

    fn hear_news(
        &mut self,
        now: Time,
        news: GossipItems,
        heard: &mut DatagramOutcome,
        change: &mut Change,
    ) {
        for update in news.members {
            self.members.on_update(now, update, change);
        }
        for endpoint in news.leaving {
            if self.endpoints.mark_leaving(now, endpoint) {
                heard.leaving.push(endpoint);
            }
        }
        for beacon in news.beacons {
            if beacon.origin != self.cfg.address && self.beacons.on_beacon(now, beacon) {
                self.outbox.add_beacon(beacon);
            }
        }
        for word in news.limits {
            if let Some(change) = self.limits.on_report(now, word) {
                let instances = self.instances();
                self.outbox.add_limit(change.endpoint, instances);
                heard.limits.push(change);
            }
        }
        for cordon in news.cordons {
            let told = self.publish_cordon(now, cordon.clone());
            if told != CordonEffect::Outdated {
                heard.cordons.push((cordon, told));
            }
        }
        self.hear_blames(now, &news.crash_records);
    }

    fn sync_with(
        &mut self,
        now: Time,
        peer: SocketAddrV4,
        theirs: u64,
        heard: &mut DatagramOutcome,
    ) {
        if self.members.should_sync(now, theirs) {
            heard.send.push((peer, Body::RequestMembers));
        }
    }

    fn tell_updates(&mut self, change: Change) {
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
            true => UNANSWERED_REPORT_INTERVAL,
            false => TICK,
        }
    }

    /// Does what is due by time alone, and returns what changed and what is to be sent.
    pub fn tick(&mut self, now: Time) -> TickOutcome {
        let mut change = self.members.tick(now, &mut self.rng);
        let mut ticked = TickOutcome {
            silent: core::mem::take(&mut change.gone),
            send: core::mem::take(&mut change.send),
            ..TickOutcome::default()
        };
        self.tell_updates(change);
        self.beacons.tick(now);
        self.beacon(now);
        let unsettled = self.may_miss_records(now);
        ticked.leaving = self.endpoints.tick(now, unsettled);
        self.on_endpoints_lost(now, &ticked.leaving);
        ticked.suspects_changed = self.suspects.take_changed();
        self.suspects.tick(now);
        let live = self.members.live().map(|(address, _)| address);
        let heard_most_seeds = self.members.has_heard_most_seeds();
        self.fleet.tick(now, live, heard_most_seeds);
        self.budget.set_fleet_size(now, self.fleet.settled());
        self.shares.tick(now);
        let endpoints = &self.endpoints;
        self.limits.tick(now, |it| endpoints.get(it).is_some());
        self.outbox.tick(now);
        self.update_behind(now);
        self.tell_news(now, &mut ticked.send);
        ticked.decided = self.report(now, &mut ticked.send);
        ticked.decided |= self.report_turns(now, &mut ticked.send);
        ticked
    }

    fn beacon(&mut self, now: Time) {
        let is_due = self
            .last_beacon
            .is_none_or(|at| now.since(at) >= BEACON_INTERVAL);
        if !is_due || !self.speaks_of_store(now) {
            return;
        }
        self.last_beacon = Some(now);
        self.beacons_sent += 1;
        let own = Beacon {
            origin: self.cfg.address,
            incarnation: self.cfg.incarnation,
            number: self.beacons_sent,
            store_age_ms: self.store_age_ms(now),
            revision: self.replica.revision(),
            digest: self.replica.digest(),
            may_miss_records: self.reader.may_miss_records(now),
        };
        self.beacons.on_beacon(now, own);
        self.outbox.add_beacon(own);
    }

    /// Returns whether others are to hear how the store answers this instance: it is answered,
    /// or it ranks among the first and says that the store is away. Of those that watch in
    /// vain many may do so, and each beacon goes to everybody.
    fn speaks_of_store(&self, now: Time) -> bool {
        let watched = self.reader.last_watch_answer();
        let is_answered = watched.is_some_and(|at| now.since(at) < WATCHER_TIMEOUT);
        self.watches(now) && (is_answered || self.rank() < WATCHERS)
    }

    fn tell_news(&mut self, now: Time, send: &mut Vec<(SocketAddrV4, Body)>) {
        let announces = core::mem::take(&mut self.announce_soon);
        if !announces && !self.outbox.has_new() {
            return;
        }
        let peers = self.members.sample(&mut self.rng, FAN_OUT, &[]);
        if peers.is_empty() {
            // What is news now is told to whoever is found first.
            return;
        }
        let items = self.take_news(now, FAN_OUT as u32);
        send.extend(peers.iter().map(|&it| (it, Body::Gossip(items.clone()))));
    }

    fn take_news(&mut self, now: Time, peers: u32) -> GossipItems {
        let limits = self.outbox.take_limits(peers);
        let limits = limits
            .into_iter()
            .filter_map(|it| self.limits.report(now, it));
        GossipItems {
            limits: limits.collect(),
            ..self.outbox.take(peers)
        }
    }

    /// Returns a datagram for one peer, with news where it has room for it.
    pub fn datagram(&mut self, now: Time, mut body: Body) -> Datagram {
        if let Some(news) = body.gossip_mut() {
            let mut items = self.take_news(now, 1);
            news.members.append(&mut items.members);
            news.leaving.append(&mut items.leaving);
            news.beacons.append(&mut items.beacons);
            news.crash_records.append(&mut items.crash_records);
            news.cordons.append(&mut items.cordons);
            news.limits.append(&mut items.limits);
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
            fleet: self.fleet.report(now),
            body,
        }
    }

    fn store_age_ms(&self, now: Time) -> u32 {
        let age = self.reader.last_answer().map(|heard| now.since(heard));
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
        let knows_others = self.members.has_joined() || now.since(self.started) >= JOIN_PATIENCE;
        let reads = (knows_others && self.watches(now)) || self.catch_up.needs_direct_read(now);
        self.reader.next(now, reads)
    }

    /// Returns the peers that know more of the store than this instance.
    fn better(&self) -> impl Iterator<Item = Provider> {
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
        all.filter(|it| self.is_more(it.revision, it.digest))
    }

    /// Returns a peer that knows more of the store than this instance and may be asked
    /// now, drawn among those that know most.
    pub fn choose_provider(&mut self, now: Time) -> Option<SocketAddrV4> {
        let watches = self.watches(now);
        let better: Vec<Provider> = self.better().collect();
        let able = self.catch_up.candidates(now, &better, watches);
        able.choose(&mut self.rng).copied()
    }

    /// Notes whether a peer knows more of the store than this instance.
    pub fn update_behind(&mut self, now: Time) {
        let behind = self.better().next().is_some();
        self.catch_up.set_behind(now, behind);
    }

    /// Returns whether that is more of the store than this instance knows. Revisions alone
    /// do not tell: each heartbeat of an endpoint makes one.
    fn is_more(&self, revision: u64, digest: u64) -> bool {
        revision > self.replica.revision() && digest != self.replica.digest()
    }

    /// Returns whether a peer knows more of the store than this instance.
    pub fn is_behind(&self) -> bool {
        self.catch_up.is_behind()
    }

    /// Notes that a peer did not tell what it knows.
    pub fn on_fetch_failure(&mut self, now: Time, peer: SocketAddrV4, why: FetchFailure) {
        let draw = self.draw();
        self.catch_up.on_fetch_failure(now, peer, why, draw);
    }
}
