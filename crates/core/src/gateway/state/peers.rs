//! Messages to and from peers, gossip, and the choice of the instances that watch the store.

use super::{Gateway, TickOutcome};
use crate::gateway::beacons::{BEACON_INTERVAL, Beacon, watcher_rank};
use crate::gateway::brittle::BrittleChange;
use crate::gateway::catch_up::{FetchFailure, Provider};
use crate::gateway::cordons::{Cordon, CordonEffect};
use crate::gateway::gossip::{Body, Datagram, FAN_OUT, GOSSIP_VERSION, GossipItems, StatedLimit};
use crate::gateway::members::{Change, Member, ReplicaClaim};
use crate::gateway::placement::UNANSWERED_REPORT_INTERVAL;
use crate::gateway::rate_limits::LimitChange;
use crate::gateway::reader::{Step, WATCHER_TIMEOUT, WATCHERS};
use crate::gateway::revision::Revision;
use crate::gateway::withdrawal::NOTICE_PEERS;
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use rand::seq::IndexedRandom;
use std::net::SocketAddrV4;

/// Changes within this time are sent in one datagram.
pub const GOSSIP_DELAY: Duration = Duration::from_millis(2);

/// Maximum interval between two ticks.
pub const TICK: Duration = Duration::from_millis(50);

/// How long a start waits for other instances before it watches the store itself. What it read at
/// start is recent enough for that long.
const JOIN_TIMEOUT: Duration = Duration::from_millis(700);

/// How long an instance that has just started waits for a peer's later catalogue before it serves by
/// the store's.
const CATALOGUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// It has another protocol version.
    Version,
    /// It belongs to another deployment.
    Deployment,
    /// It came from this instance, or from one that uses its address.
    Own,
}

impl DropReason {
    /// Returns the label of the reason in metrics.
    pub const fn label(self) -> &'static str {
        match self {
            DropReason::Version => "version",
            DropReason::Deployment => "deployment",
            DropReason::Own => "own_address",
        }
    }
}

/// Result of [`Gateway::on_datagram`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DatagramOutcome {
    /// Endpoints that have begun to leave.
    pub leaving: Vec<EndpointKey>,
    /// Cordons that were unknown, and what they mean for this instance.
    pub cordons: Vec<(Cordon, CordonEffect)>,
    /// Rate limits of endpoints that changed.
    pub limits: Vec<LimitChange>,
    /// Endpoints whose tolerance of rejections changed.
    pub brittle: Vec<BrittleChange>,
    /// Whether the sender's incarnation was unknown or considered gone.
    pub is_new: bool,
    /// Instances that are now considered gone.
    pub gone: Vec<SocketAddrV4>,
    /// Whether gossip should be sent soon.
    pub gossip_soon: bool,
    /// Whether a request that waits for a placement or a run lease may have a decision.
    pub decided: bool,
    /// Whether crash records have changed.
    pub suspects_changed: bool,
    /// Messages to send at once.
    pub send: Vec<(SocketAddrV4, Body)>,
}

impl Gateway {
    /// Handles a datagram of a peer. [`Gateway::decide_pending`] must be called afterwards, once
    /// for all datagrams that were received together.
    ///
    /// # Errors
    ///
    /// Returns why the datagram is dropped; then nothing has changed.
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
        let mut outcome = DatagramOutcome::default();
        let mut change = Change::default();
        let replica = ReplicaClaim {
            revision: datagram.revision,
            digest: datagram.digest,
        };
        let claims_more = datagram.claims().any(|it| self.is_ahead(it.0, it.1));
        let sender = datagram.from;
        outcome.is_new = self.members.on_datagram(now, sender, replica, &mut change);
        self.on_body(now, datagram, &mut outcome, &mut change);
        outcome.send.append(&mut change.send);
        outcome.gone.append(&mut change.gone);
        self.gossip_updates(change);
        // Other peers are checked only at the next tick: the cost of a datagram must not grow with
        // the number of instances.
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
                catalogue,
            } => {
                self.on_peer_catalogue(from, catalogue);
                self.on_gossip(now, gossip, outcome, change);
                self.send_beliefs(now, from, suspects, &mut outcome.send);
                let ack = Body::Ack {
                    number,
                    members: Some(self.members.digest()),
                    gossip: GossipItems::default(),
                    catalogue: 0,
                };
                outcome.send.push((from, ack));
                self.sync_with(now, from, members, outcome);
            }
            Body::Ack {
                number,
                members,
                gossip,
                catalogue,
            } => {
                self.on_peer_catalogue(from, catalogue);
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
                let kept = self.beliefs_beyond_store().into_iter();
                outcome.send.extend(kept.map(|it| (from, Body::Gossip(it))));
            }
            Body::Members(list) => {
                for update in list {
                    self.members.on_update(now, update, change);
                }
            }
            Body::PlacementReport(report) => {
                self.on_placement_report(now, datagram.from, report);
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
            Body::Overloaded => self.withdrawal.on_notice(now, from),
            Body::RunLeaseAnswer(answer) => {
                self.on_run_lease_answer(now, from, &answer);
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
            if self.endpoints.mark_leaving(now, endpoint) {
                outcome.leaving.push(endpoint);
            }
        }
        for beacon in gossip.beacons {
            if beacon.origin != self.cfg.address && self.beacons.on_beacon(now, beacon) {
                if let Some(answered) = beacon.store_answered_at(now) {
                    let (epoch, may_miss) = (beacon.revision.epoch, beacon.may_miss_records);
                    self.reader.on_peer_answer(now, answered, epoch, may_miss);
                }
                self.outbox.add_beacon(beacon);
            }
        }
        for stated in gossip.limits {
            match stated {
                StatedLimit::Rate(report) => {
                    if let Some(change) = self.limits.on_report(now, report) {
                        let instances = self.instances();
                        self.outbox.add_limit(change.endpoint, instances);
                        outcome.limits.push(change);
                    }
                }
                StatedLimit::Rejections(report) => {
                    if let Some(change) = self.brittle.on_report(now, report) {
                        self.on_brittle_change(now, change);
                        outcome.brittle.push(change);
                    }
                }
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
            // This is the case for nearly every datagram; counting the instances would be wasted.
            return;
        }
        let instances = self.instances();
        for update in change.updates {
            self.outbox.add_member(update, instances);
        }
    }

    /// Queues gossip that endpoints leave.
    pub fn gossip_leaving(&mut self, endpoints: &[EndpointKey]) {
        let instances = self.instances();
        for &endpoint in endpoints {
            self.outbox.add_leaving(endpoint, instances);
        }
    }

    /// Requests that a few peers are notified soon that this instance knows a later revision of the
    /// store.
    pub fn announce(&mut self) {
        self.announce_soon = true;
    }

    /// Returns the maximum time until the next tick.
    pub fn tick_interval(&self) -> Duration {
        match self.placements.any_unanswered() || self.suspects.runs.any_waiting() {
            true => UNANSWERED_REPORT_INTERVAL,
            false => TICK,
        }
    }

    /// Does what is due at `now`; returns what changed and what to send.
    pub fn tick(&mut self, now: Time) -> TickOutcome {
        if !self.own_delay.is_evidence(now, now) {
            self.members.forgive_silence(now);
        }
        let mut change = self.members.tick(now, &mut self.rng);
        let mut outcome = TickOutcome {
            silent: core::mem::take(&mut change.gone),
            send: core::mem::take(&mut change.send),
            ..TickOutcome::default()
        };
        self.gossip_updates(change);
        self.beacons.tick(now);
        self.send_beacon(now);
        outcome.returned = self.apply_returning(now);
        let is_unsettled = self.is_unsettled(now);
        outcome.absent = self.endpoints.tick(now, is_unsettled);
        self.on_endpoints_lost(now, &outcome.absent);
        outcome.suspects_changed = self.suspects.take_changed();
        self.suspects.tick(now);
        let live = self.members.live().map(|(address, _)| address);
        let reached_most_seeds = self.members.has_reached_most_seeds();
        self.fleet.tick(now, live, reached_most_seeds);
        self.budget.set_fleet_size(now, self.fleet.settled());
        self.shares.tick(now);
        let endpoints = &self.endpoints;
        self.limits.tick(now, |it| endpoints.get(it).is_some());
        outcome.backoffs_ended = self.backoffs.tick(now, |it| endpoints.get(it).is_some());
        self.tick_brittle(now);
        if !outcome.backoffs_ended.is_empty() {
            self.placement_changes += 1;
        }
        self.outbox.tick(now);
        self.tick_withdrawal(now, &mut outcome.send);
        // An instance that has become ready stays so when peers learn of the next version first.
        self.awaits_catalogue &=
            self.servable().is_none() && now.since(self.started) < CATALOGUE_TIMEOUT;
        self.update_behind(now);
        self.send_gossip(now, &mut outcome.send);
        outcome.decided = self.report(now, &mut outcome.send);
        let homes = self.homes.values_mut();
        for home in homes {
            outcome.home_ejections.extend(home.take_ejections());
            outcome.home_rejections.extend(home.take_rejections());
            outcome.forecast_errors.extend(home.take_forecast_errors());
        }
        outcome.risk_changes = self.take_risk_changes(now);
        outcome.decided |= self.report_runs(now, &mut outcome.send);
        outcome
    }

    fn tick_withdrawal(&mut self, now: Time, send: &mut Vec<(SocketAddrV4, Body)>) {
        let is_overloaded = self.own_delay.is_shedding();
        let peers = match is_overloaded {
            true => self.members.live().count(),
            false => 0,
        };
        let own = self.cfg.address;
        if self.withdrawal.tick(now, own, is_overloaded, peers) {
            let told = self.members.sample(&mut self.rng, NOTICE_PEERS, &[]);
            send.extend(told.into_iter().map(|it| (it, Body::Overloaded)));
        }
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
            may_miss_records: self.reader.may_miss_records(now)
                || !self.reader.knows_recent_past(now),
        };
        self.beacons.on_beacon(now, beacon);
        self.outbox.add_beacon(beacon);
    }

    /// Returns whether this instance sends beacons: the store answers it, or it ranks among the
    /// first and reports the outage. During an outage many instances may watch, and each beacon
    /// reaches the entire fleet.
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
            // The gossip stays new and is sent to the first peer that is found.
            return;
        }
        let items = self.take_gossip(now, FAN_OUT as u32);
        send.extend(peers.iter().map(|&it| (it, Body::Gossip(items.clone()))));
    }

    fn take_gossip(&mut self, now: Time, peers: u32) -> GossipItems {
        let limits = self.outbox.take_limits(peers);
        let limits = limits.into_iter();
        let rates = limits.filter_map(|it| self.limits.report(now, it));
        let brittle = self.outbox.take_brittle(peers).into_iter();
        let rejections = brittle.filter_map(|it| self.brittle.report(now, it));
        let rates = rates.map(StatedLimit::Rate);
        let rejections = rejections.map(StatedLimit::Rejections);
        let ledger = &self.suspects.ledger;
        let suspects = self
            .outbox
            .take_crash_records(peers, |it| ledger.related(it));
        let records = suspects.into_iter();
        let records = records.filter_map(|it| self.suspects.ledger.record(now, it));
        GossipItems {
            limits: rates.chain(rejections).collect(),
            crash_records: records.collect(),
            ..self.outbox.take(peers)
        }
    }

    /// Returns a datagram for one peer, with gossip attached if the body has room for it.
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
            *suspects = self.beliefs_digest();
        }
        if let Body::Probe { catalogue, .. } | Body::Ack { catalogue, .. } = &mut body {
            *catalogue = self.catalogue_version();
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
        let age = self.reader.last_answer().map(|at| now.since(at));
        age.map_or(u32::MAX, |age| {
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        })
    }

    /// Returns whether this instance watches the store for all: it ranks among the first that the
    /// store answers, or the store answers too few of the others.
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
        // A watcher that the store answers continues, even if it now receives beacons of others.
        // Otherwise two watchers would each leave the watch to the other.
        let is_answered = self
            .reader
            .last_watch_answer()
            .is_some_and(|at| now.since(at) < WATCHER_TIMEOUT);
        is_answered || self.rank() < self.beacons.may_watch(now, self.started)
    }

    /// Returns how many other instances precede this one in the order of watchers.
    pub(super) fn rank(&self) -> usize {
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
        self.reader.next(now, reads, self.replica.revision().epoch)
    }

    /// Returns the peers that are ahead of this instance's replica of the store.
    fn providers(&self) -> impl Iterator<Item = Provider> {
        let members = self.members.live().map(|(address, it)| Provider {
            address,
            revision: it.replica.revision,
            digest: it.replica.digest,
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

    /// Returns a peer that is ahead of this instance and may be asked now, chosen at random among
    /// those that are furthest ahead.
    pub fn choose_provider(&mut self, now: Time) -> Option<SocketAddrV4> {
        let watches = self.watches(now);
        let providers: Vec<Provider> = self.providers().collect();
        let mut able = self.catch_up.candidates(now, &providers, watches);
        if providers.is_empty() {
            let later = self.members_with_later_catalogue();
            able = later
                .filter(|it| !self.catch_up.is_skipped(now, *it))
                .collect();
        }
        able.choose(&mut self.rng).copied()
    }

    fn on_peer_catalogue(&mut self, peer: SocketAddrV4, version: u64) {
        self.members.on_catalogue(peer, version);
        if version > self.catalogue_version() {
            self.catch_up.set_lacks_catalogue(true);
        }
    }

    /// Returns the live peers that have a later catalogue in force than this instance.
    fn members_with_later_catalogue(&self) -> impl Iterator<Item = SocketAddrV4> {
        let own = self.catalogue_version();
        let live = self.members.live();
        live.filter(move |(_, it)| it.catalogue > own)
            .map(|(address, _)| address)
    }

    /// Returns whether a peer has a later catalogue in force than this instance.
    pub fn lacks_catalogue_of(&self, peer: SocketAddrV4) -> bool {
        let member = self.members.get(peer);
        member.is_some_and(|it| it.catalogue > self.catalogue_version())
    }

    /// Updates whether a peer has a later catalogue in force than this instance.
    pub(super) fn update_lacks_catalogue(&mut self) {
        let lacks_catalogue = self.members_with_later_catalogue().next().is_some();
        self.catch_up.set_lacks_catalogue(lacks_catalogue);
    }

    /// Updates whether a peer is ahead of this instance.
    pub fn update_behind(&mut self, now: Time) {
        self.update_lacks_catalogue();
        let behind = self.providers().next().is_some();
        self.catch_up.set_behind(now, behind);
    }

    /// Returns whether this revision and digest are ahead of this replica. Revisions of one epoch
    /// alone do not show it: each heartbeat of an endpoint creates one.
    fn is_ahead(&self, revision: Revision, digest: u64) -> bool {
        let own = self.replica.revision();
        revision.epoch > own.epoch || (revision > own && digest != self.replica.digest())
    }

    /// Returns whether a peer is ahead of this instance.
    pub fn is_behind(&self) -> bool {
        self.catch_up.is_behind()
    }

    /// Records that a delta could not be fetched from a peer.
    pub fn on_fetch_failure(&mut self, now: Time, peer: SocketAddrV4, failure: FetchFailure) {
        let draw = self.draw();
        self.catch_up.on_fetch_failure(now, peer, failure, draw);
    }
}
