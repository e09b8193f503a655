//! Placement of requests: what this instance requests from homes, and what it decides as a home.
//!
//! The home of a service is the instance that decides for a key, chosen by rendezvous hashing.

use super::{Gateway, Placement};
use crate::gateway::choose::{self, Chooser, PlacementContext};
use crate::gateway::cold::{self, ColdLimits, LOCAL_SHARE};
use crate::gateway::endpoints::{Endpoint, EndpointState};
use crate::gateway::engines::Engines;
use crate::gateway::fallback::EnginePart;
use crate::gateway::gossip::Body;
use crate::gateway::home::{Home, PlacementAnswer, PlacementReport, REPORT_INTERVAL};
use crate::gateway::members::{CapacityClass, MemberUpdate};
use crate::gateway::pace::{self, PaceModel, RiskChange};
use crate::gateway::placement::{
    HOME_TIMEOUT, PlacementStatus, QUEUED_REPORT_INTERVAL, UNANSWERED_REPORT_INTERVAL,
};
use crate::gateway::request::{
    CopyKind, Demand, PlacementError, PlacementKind, PlacementRequest, QueuedRequest, service_hash,
};
use crate::gateway::usage::{PeerUsage, Usage};
use crate::ids::{EndpointKey, Incarnation, address_hash};
use crate::rendezvous;
use crate::time::Time;
use core::time::Duration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Maximum age of a home's view when it is used to decide whether prompts wait for prefill at an
/// engine: about the duration of one prefill.
const PREFILL_VIEW_TTL: Duration = Duration::from_millis(500);

/// Maximum number of backoffs that each placement request in a report excludes. A report with the
/// maximum number of requests still fits a datagram. If a home grants an engine with a backoff that
/// was left out, that backoff is reported next.
const MAX_REPORTED_BACKOFFS: usize = 8;

/// How long a generation may resume at an engine with a rate limit after a home granted its
/// pre-copy there: it resumes at most 1.1 s after the notice, and retries take 0.1 s.
const GRANTED_RESUME_TTL: Duration = Duration::from_millis(1_300);

/// The home of a service and the next in rank.
pub(super) type Ranks = [Option<SocketAddrV4>; 2];

/// The last report about a service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reported {
    at: Time,
    /// The count of changes that it covered.
    changes: u64,
    ranks: Ranks,
    /// Whether it had no content.
    is_empty: bool,
}

/// Result of [`Gateway::decide_pending`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HomeDecisions {
    /// Whether a request of this instance may have a decision.
    pub decided: bool,
    /// Messages to send at once.
    pub send: Vec<(SocketAddrV4, Body)>,
}

/// How a request that is sent to an endpoint runs there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// From its beginning, or from the last event that its caller has, without a copy.
    Start,
    /// From a copy of a generation that ran at another engine.
    FromCopy,
}

/// Why a request is not sent to the endpoint that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum WithheldReason {
    /// leaving
    Leaving,
    /// cordoned
    Cordoned,
    /// backoff
    Backoff,
    /// unknown
    Unknown,
    /// limit
    Limit,
}

impl Gateway {
    /// Chooses the endpoint for a request with the knowledge of this instance.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn place(&mut self, now: Time, demand: &Demand<'_>) -> Result<Placement, PlacementError> {
        self.place_by(Chooser::Instance, now, demand)
    }

    fn place_by(
        &mut self,
        chooser: Chooser<'_>,
        now: Time,
        demand: &Demand<'_>,
    ) -> Result<Placement, PlacementError> {
        let mut at_limit = self.at_limit(now, demand);
        let held = self.held(now, demand);
        at_limit.extend(&held);
        let exclude = self.with_unavailable(now, demand.exclude, &at_limit);
        let backed_off_until = self.backed_off_until(now, demand.service, demand.exclude);
        let demand = Demand {
            exclude: &exclude,
            ..*demand
        };
        let mut rng = self.fork_rng();
        let context = self.context(now, demand.service);
        let key = choose::choose_by(chooser, context, &demand, || rng.random());
        let has_limit = |key: &EndpointKey| self.limits.of(*key).is_some();
        let key = key.map_err(|why| match why {
            PlacementError::NoEndpoint if at_limit.iter().any(has_limit) => {
                PlacementError::RateLimited
            }
            PlacementError::NoEndpoint if !held.is_empty() => PlacementError::Brittle,
            PlacementError::NoEndpoint if backed_off_until.is_some() => PlacementError::BackedOff,
            PlacementError::NoEndpoint if !at_limit.is_empty() => PlacementError::Full,
            why => why,
        })?;
        if self.rate_limit(now, key).is_some() {
            self.count_limited_request(now, key);
        }
        if demand.engine.is_none() {
            self.on_sent_to_brittle(now, key);
        }
        self.place_at(key).ok_or(PlacementError::NoEndpoint)
    }

    /// Returns `exclude` with the endpoints in `at_limit` and those that requested a backoff.
    fn with_unavailable<'a>(
        &self,
        now: Time,
        exclude: &'a [EndpointKey],
        at_limit: &[EndpointKey],
    ) -> Cow<'a, [EndpointKey]> {
        let mut backed_off = self.backoffs.active(now).peekable();
        if at_limit.is_empty() && backed_off.peek().is_none() {
            return Cow::Borrowed(exclude);
        }
        let mut all = [exclude, at_limit].concat();
        all.extend(backed_off);
        Cow::Owned(all)
    }

    fn cold_limits(&self, service: &str) -> Option<ColdLimits> {
        self.catalogue.as_ref()?.cold_limits(service)
    }

    /// Returns how many requests per second an endpoint takes from all instances together, if that
    /// is limited.
    fn rate_limit(&self, now: Time, key: EndpointKey) -> Option<f64> {
        let endpoint = self.endpoints.get(key)?;
        let cold = self.cold_limits(&endpoint.record.service);
        cold::rate_limit(now, key, &self.endpoints, cold.as_ref(), &self.limits)
    }

    /// Counts a request to an endpoint with a rate limit.
    fn count_limited_request(&mut self, now: Time, key: EndpointKey) {
        self.shares.record(now, key);
        self.limits.on_request(now, key);
    }

    /// Returns the endpoints to which this instance may send nothing now because of their rate
    /// limit. Engines with a rate limit get requests only through their home.
    fn at_limit(&self, now: Time, demand: &Demand<'_>) -> Vec<EndpointKey> {
        if self.limits.is_empty() && self.cold_limits(demand.service).is_none() {
            return Vec::new();
        }
        let usable = self.endpoints.usable_of(demand.service).map(|it| it.key);
        let is_at_limit = |key: &EndpointKey| {
            let bound = self.rate_limit(now, *key);
            bound.is_some_and(|rate| demand.engine.is_some() || !self.has_share(now, *key, rate))
        };
        usable.filter(is_at_limit).collect()
    }

    /// Returns whether this instance may send a request to an endpoint that takes `rate` requests
    /// per second without asking a home.
    fn has_share(&self, now: Time, key: EndpointKey, rate: f64) -> bool {
        self.share_left(now, key, rate) > 0 || {
            let rank = cold::rank(self.cfg.address, &self.fleet, key);
            self.limits.may_probe(now, key, rank)
        }
    }

    fn share_left(&self, now: Time, key: EndpointKey, rate: f64) -> u32 {
        let own = self.cfg.address;
        self.shares.remaining(now, own, &self.fleet, key, rate)
    }

    /// Returns whether a request for which an endpoint was chosen at `chosen` may still be sent
    /// there. To be asked right before the first byte: between choosing and sending, a connection
    /// is opened and the process may have been suspended.
    ///
    /// A generation may resume from a copy at an engine that began to leave a moment ago
    /// ([`RESUME_AT_LEAVING`](crate::gateway::endpoints::RESUME_AT_LEAVING)): the copy is there. A
    /// request that starts there may not, even if its caller already has events of it. Nothing is
    /// sent to a cordoned data centre, or to an endpoint that requested a backoff of this instance.
    pub fn admit_send(
        &mut self,
        now: Time,
        key: EndpointKey,
        chosen: Time,
        kind: SendKind,
    ) -> bool {
        match kind {
            SendKind::Start => self.may_send(now, key) && self.admit_to_limit(now, key, chosen),
            SendKind::FromCopy => self.may_resume_at(now, key) && self.admit_resumed(now, key),
        }
    }

    /// Returns why [`Gateway::admit_send`] has just refused to send a request to an endpoint.
    pub fn withheld_reason(&self, now: Time, key: EndpointKey, kind: SendKind) -> WithheldReason {
        if self.endpoints.is_cordoned(key) {
            return WithheldReason::Cordoned;
        }
        if self.backoffs.is_active(now, key) {
            return WithheldReason::Backoff;
        }
        if kind == SendKind::FromCopy && self.may_resume_at(now, key) {
            return WithheldReason::Limit;
        }
        match self.endpoints.get(key).map(|it| it.state) {
            Some(EndpointState::Leaving { .. }) => WithheldReason::Leaving,
            Some(EndpointState::Serving | EndpointState::Lapsed { .. }) => WithheldReason::Limit,
            Some(EndpointState::Unreadable | EndpointState::Absent { .. }) | None => {
                WithheldReason::Unknown
            }
        }
    }

    /// Returns whether a request for which an endpoint was chosen at `chosen` may still be sent
    /// there within the endpoint's rate limit. Counts it if the endpoint has set a limit since then.
    fn admit_to_limit(&mut self, now: Time, key: EndpointKey, chosen: Time) -> bool {
        let is_new = self.limits.since(key).is_some_and(|at| at > chosen);
        let Some(rate) = self.rate_limit(now, key).filter(|_| is_new) else {
            return true;
        };
        let is_admitted = self.has_share(now, key, rate);
        if is_admitted {
            self.count_limited_request(now, key);
        }
        is_admitted
    }

    /// Returns whether a generation may resume at an engine within the engine's rate limit, and
    /// counts it.
    fn admit_resumed(&mut self, now: Time, key: EndpointKey) -> bool {
        let Some(bound) = self.rate_limit(now, key) else {
            return true;
        };
        if self.take_granted_resume(now, key) {
            self.count_limited_request(now, key);
            return true;
        }
        let is_admitted = self.share_left(now, key, bound * LOCAL_SHARE) > 0;
        if is_admitted {
            self.count_limited_request(now, key);
        }
        is_admitted
    }

    /// Records that a home granted a pre-copy. If the engine has a rate limit, the home has counted
    /// the request with which the generation will resume there, so that this instance need not
    /// have a share of the limit for it.
    pub fn on_pre_copy_granted(&mut self, now: Time, key: EndpointKey) {
        self.drop_old_grants(now);
        if self.rate_limit(now, key).is_some() {
            self.granted_resumes.push((key, now));
        }
    }

    /// Uses a grant for a generation that resumes at an engine with a rate limit; returns whether
    /// there was one.
    fn take_granted_resume(&mut self, now: Time, key: EndpointKey) -> bool {
        self.drop_old_grants(now);
        let found = self.granted_resumes.iter().position(|(it, _)| *it == key);
        found.map(|at| self.granted_resumes.remove(at)).is_some()
    }

    fn drop_old_grants(&mut self, now: Time) {
        self.granted_resumes
            .retain(|(_, at)| now.since(*at) < GRANTED_RESUME_TTL);
    }

    /// Chooses for `want` with the knowledge of this instance, because no home answers. Once a home
    /// has sent what others run, the choice is within this instance's share of the room that was
    /// free then, see [`fallback`](crate::gateway::fallback).
    ///
    /// # Errors
    ///
    /// Returns why there is no placement; [`PlacementError::Full`] also if the share is used up.
    pub fn place_without_home(
        &mut self,
        now: Time,
        demand: &Demand<'_>,
        want: PlacementKind,
    ) -> Result<Placement, PlacementError> {
        let share = self.own_share(now, demand);
        let chooser = share
            .as_deref()
            .map_or(Chooser::Instance, Chooser::InstanceAmong);
        let placed = match want {
            PlacementKind::Copy { source, kind } => {
                self.place_copy(chooser, now, demand, source, kind)
            }
            PlacementKind::Queued | PlacementKind::Immediate => self.place_by(chooser, now, demand),
        };
        let engines = self.endpoints.usable_count(demand.service);
        let is_bounded = share.as_ref().is_some_and(|it| it.len() < engines);
        let placed = placed.map_err(|why| match why {
            PlacementError::NoEndpoint if is_bounded => PlacementError::Full,
            why => why,
        })?;
        let request = PlacementRequest {
            queued: QueuedRequest {
                tokens: demand.tokens,
                ..QueuedRequest::default()
            },
            kind: want,
            exclude: Vec::new(),
        };
        let (service, used) = (service_hash(demand.service), request.reserved_usage());
        self.fallback.record(now, service, placed.key, used);
        Ok(placed)
    }

    /// Returns whether an engine has room for a request that this instance may not place there
    /// without a home, because that exceeds its share.
    pub fn is_beyond_share(&self, now: Time, demand: &Demand<'_>) -> bool {
        let Some(limits) = demand.engine else {
            return false;
        };
        let Some(share) = self.own_share(now, demand) else {
            return false;
        };
        let mut beyond_share = self
            .endpoints
            .usable_keys(demand.service)
            .filter(|key| share.binary_search(key).is_err() && !demand.exclude.contains(key));
        beyond_share.any(|key| {
            let used = self.used(key);
            let held = used.tokens.saturating_add(used.copy_tokens);
            held.saturating_add(demand.tokens) <= limits.kv_cache_tokens
        })
    }

    /// Returns the engines of which a request may be given room without a home, in the order of
    /// their keys: the share of this instance. `None` if it may be given room at any: an instance
    /// that is alone, or that no home has sent a view yet, is not bounded.
    fn own_share(&self, now: Time, demand: &Demand<'_>) -> Option<Vec<EndpointKey>> {
        let service = service_hash(demand.service);
        let (limits, view) = (demand.engine?, self.placements.view(service)?);
        let instances = self.instances();
        if instances == 1 {
            return None;
        }
        let live = self.members.live();
        let position = live.filter(|(it, _)| *it < self.cfg.address).count();
        let is_trusted = |it: &Endpoint| !it.is_ejected(now) && !view.ejected.contains(&it.key);
        let any_trusted = self.endpoints.usable_of(demand.service).any(is_trusted);
        let engines = self.endpoints.usable_count(demand.service);
        let taken = self.fallback.taken(now, service);
        let is_allowed = |number: usize, key: EndpointKey| {
            let Some(part) = EnginePart::of(position, instances, number, engines) else {
                return false;
            };
            let endpoint = self.endpoints.get(key);
            let used = self.usage.own(key).plus(view.of(key));
            let taken = taken.get(&key).copied().unwrap_or_default();
            endpoint.is_some_and(|it| is_trusted(it) || !any_trusted)
                && part.allows(limits, used, taken, demand.tokens)
        };
        let numbered = self.endpoints.usable_keys(demand.service).enumerate();
        let share = numbered.filter(|(number, key)| is_allowed(*number, *key));
        Some(share.map(|(_, key)| key).collect())
    }

    /// Chooses the engine for a copy with the knowledge of this instance.
    fn place_copy(
        &mut self,
        chooser: Chooser<'_>,
        now: Time,
        demand: &Demand<'_>,
        source: EndpointKey,
        kind: CopyKind,
    ) -> Result<Placement, PlacementError> {
        let mut rng = self.fork_rng();
        let world = self.context(now, demand.service);
        let source = world
            .endpoints
            .get(source)
            .ok_or(PlacementError::NoEndpoint)?;
        let at_limit = self.at_limit(now, demand);
        let unavailable: Vec<EndpointKey> = at_limit
            .into_iter()
            .chain(self.no_room.active(now))
            .collect();
        let exclude = self.with_unavailable(now, demand.exclude, &unavailable);
        let demand = Demand {
            exclude: &exclude,
            ..*demand
        };
        let draw = || rng.random();
        let key = choose::choose_copy_target_by(chooser, world, &demand, source, kind, draw);
        key.and_then(|key| self.place_at(key))
            .ok_or(PlacementError::Full)
    }

    /// Returns the placement at an endpoint that a home granted, if this instance may send there.
    pub fn granted_place(&mut self, now: Time, key: EndpointKey) -> Option<Placement> {
        if self.backoffs.is_active(now, key) {
            self.backoffs.on_granted(now, key);
            return None;
        }
        self.place_at(key)
    }

    /// Returns the placement at an endpoint, if new work may be sent there.
    pub fn place_at(&self, key: EndpointKey) -> Option<Placement> {
        self.endpoints.usable(key).map(Placement::of)
    }

    /// Adds a placement request.
    pub fn request_placement(&mut self, now: Time, request: PlacementRequest) {
        self.placements.insert(now, request);
        self.placement_changes += 1;
    }

    /// Removes a placement request, because the request has its placement or gave up.
    pub fn withdraw_placement(&mut self, id: u64) {
        self.placements.remove(id);
        self.placement_changes += 1;
    }

    /// Records that an engine refused a copy for lack of room, although it was granted.
    pub fn record_no_room(&mut self, now: Time, engine: EndpointKey) {
        self.no_room.record(now, engine);
        self.placement_changes += 1;
    }

    /// Returns the state of a placement request.
    pub fn verdict(&self, now: Time, id: u64) -> PlacementStatus {
        let patience = self.own_delay.patience(now);
        self.placements.status_within(now, id, patience)
    }

    /// Records that the home of `service` did not answer a placement request: the next in rank is
    /// asked.
    ///
    /// A home is not skipped if this instance itself was late meanwhile.
    pub fn on_home_timeout(&mut self, now: Time, service: u64, id: u64) {
        let asked_at = now.before(HOME_TIMEOUT).unwrap_or(Time::ZERO);
        let is_evidence = self.own_delay.is_evidence(now, asked_at);
        if let Some(home) = self.acting_home(now, service).filter(|_| is_evidence) {
            self.placements.mark_unresponsive(now, home);
        }
        self.retry_placement(now, id);
    }

    /// Makes a placement request again, because its grant cannot be used.
    pub fn retry_placement(&mut self, now: Time, id: u64) {
        self.placements.reset(now, id);
        self.placement_changes += 1;
    }

    /// Returns the usage of an endpoint, as far as this instance knows it.
    pub fn used(&self, key: EndpointKey) -> Usage {
        let endpoint = self.endpoints.get(key);
        let service = endpoint.map(|it| service_hash(&it.record.service));
        let others = service.and_then(|it| self.placements.view(it));
        let others = others.map(|it| it.of(key)).unwrap_or_default();
        self.usage.own(key).plus(others)
    }

    /// Returns whether no prompt waits for prefill at an engine, as far as is known. A generation
    /// that resumes there would wait behind it.
    pub fn has_no_pending_prefill(&self, now: Time, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(key);
        let service = endpoint.map(|it| service_hash(&it.record.service));
        let others = service.and_then(|it| self.placements.fresh_view(now, it, PREFILL_VIEW_TTL));
        let others = others.map_or(0, |it| it.of(key).pending_prefill);
        self.usage.own(key).pending_prefill + others == 0
    }

    /// Returns the home of a service's engines and the next in rank: the first two in rendezvous
    /// order among the instances of the highest capacity class.
    ///
    /// The decisions for a service need more processor time than everything else that an instance
    /// does. On the instances with the least, reports wait longer than the instances that sent them
    /// wait for the answer. Where only one instance has the highest class, the second is of the
    /// next class.
    pub fn homes(&self, service: u64) -> Ranks {
        self.ranked(service, |capacity| capacity)
    }

    /// Returns the home of a key and the next in rank, of all instances regardless of their
    /// capacity. It is for keys that are many and cost little, which a few instances alone would
    /// not have the bandwidth for.
    pub(super) fn homes_of_any_capacity(&self, key: u64) -> Ranks {
        self.ranked(key, |_| CapacityClass::default())
    }

    /// Returns the first two instances for a key, ordered by `class` and then by score.
    fn ranked(&self, key: u64, class: impl Fn(CapacityClass) -> CapacityClass) -> Ranks {
        let others = self.members.live().filter(|(_, it)| it.is_steady());
        let others = others.map(|(address, it)| (it.capacity(), address));
        let own = (!self.stopping).then_some((self.cfg.capacity, self.cfg.address));
        let mut best: [Option<(CapacityClass, u64, SocketAddrV4)>; 2] = [None; 2];
        for (capacity, address) in others.chain(own) {
            let score = rendezvous::score(key, address_hash(address));
            let ranked = Some((class(capacity), score, address));
            if ranked > best[0] {
                best = [ranked, best[0]];
            } else if ranked > best[1] {
                best[1] = ranked;
            }
        }
        if best[0].is_none() {
            // All other instances are gone, and this one serves the requests that are left.
            return [Some(self.cfg.address), None];
        }
        best.map(|it| it.map(|(_, _, address)| address))
    }

    /// Returns the home to ask about a service now.
    pub fn acting_home(&self, now: Time, service: u64) -> Option<SocketAddrV4> {
        self.acting(now, self.homes(service))
    }

    /// Returns which of the two homes of a key to ask now.
    pub(super) fn acting(&self, now: Time, ranks: Ranks) -> Option<SocketAddrV4> {
        let [first, second] = ranks;
        let answers = |it: &SocketAddrV4| !self.placements.is_unresponsive(now, *it);
        first.filter(answers).or(second.filter(answers)).or(first)
    }

    /// Returns how many requests are queued for a decision of this instance as the home of a
    /// service.
    pub fn queued_at_home(&self, service: u64) -> usize {
        self.homes.get(&service).map_or(0, |it| it.queued_count())
    }

    /// Returns what this instance knows as the home of a service.
    pub fn home(&self, service: u64) -> Option<&Home> {
        self.homes.get(&service)
    }

    /// Handles a report as a home. [`Gateway::decide_pending`] decides the requests that it makes
    /// possible.
    pub(super) fn on_placement_report(
        &mut self,
        now: Time,
        from: MemberUpdate,
        report: PlacementReport,
    ) {
        let service = report.service;
        self.store_report(now, (from.address, from.incarnation), report);
        self.undecided.insert(service);
    }

    /// Decides as the home of all services about which reports were received. To be called after
    /// [`Gateway::on_datagram`], once for all datagrams that have arrived by then.
    ///
    /// A decision is over all requests of a service. Made after each datagram of a burst, decisions
    /// take so much of the home's processor time that it answers later than instances wait.
    pub fn decide_pending(&mut self, now: Time) -> HomeDecisions {
        let mut outcome = HomeDecisions::default();
        for service in core::mem::take(&mut self.undecided) {
            outcome.decided |= self.decide(now, service, &mut outcome.send);
        }
        outcome
    }

    /// Stores a report as a home. The gaps in a report that arrives twice count once.
    fn store_report(
        &mut self,
        now: Time,
        (from, incarnation): (SocketAddrV4, Incarnation),
        mut report: PlacementReport,
    ) {
        let service = report.service;
        let samples = core::mem::take(&mut report.pace);
        let targets = report.requests.iter().map(|it| it.waiting.gap_target_ms);
        let target = targets.filter(|it| *it > 0).min();
        let home = self.homes.entry(service).or_default();
        if !home.on_report(now, from, incarnation, report) {
            return;
        }
        let target = target.map(|it| Duration::from_millis(it.into()));
        if samples.is_empty() && target.is_none() {
            return;
        }
        let model = self.pace.entry(service).or_default();
        model.observe_target(now, target.unwrap_or_default());
        model.merge(now, &samples);
    }

    /// Records the gap between two consecutive events of a generation at an engine.
    pub fn observe_gap(&mut self, now: Time, engine: EndpointKey, gap: Duration) {
        self.pace_samples.record(now, engine, gap);
    }

    /// Returns the pace of a service's engines, as reported to this instance as a home.
    pub fn pace_of(&self, service: &str) -> Option<&PaceModel> {
        self.pace.get(&service_hash(service))
    }

    /// Takes the changes of risk classes that this instance, as a home, found; at most one for each
    /// service every few seconds.
    pub(super) fn take_risk_changes(&mut self, now: Time) -> Vec<RiskChange> {
        let models = self.pace.values_mut();
        models.filter_map(|it| it.take_change(now)).collect()
    }

    /// Drops what is known of the pace of engines that are gone.
    fn tick_pace(&mut self, now: Time) {
        let endpoints = &self.endpoints;
        for model in self.pace.values_mut() {
            model.tick(now, |key| endpoints.get(key).is_some());
        }
        self.pace.retain(|_, model| !model.is_empty());
    }

    /// Handles a home's answer.
    pub(super) fn on_placement_answer(&mut self, now: Time, answer: PlacementAnswer) {
        for (id, decision) in answer.decisions {
            self.placements.on_decision(now, id, decision);
        }
        if let Some(view) = answer.view {
            self.fallback.refill(answer.service);
            self.placements.set_view(now, answer.service, view);
        }
    }

    /// Sends the reports that are due to homes, and decides as a home; returns whether a request of
    /// this instance may have a decision.
    pub(super) fn report(&mut self, now: Time, send: &mut Vec<(SocketAddrV4, Body)>) -> bool {
        self.placement_changes += u64::from(self.no_room.expire(now));
        let endpoints = &self.endpoints;
        self.stop_conduct.retain(|key| endpoints.get(key).is_some());
        for service in self.reported_services() {
            self.report_service(now, service, send);
        }
        self.tick_pace(now);
        let services: Vec<u64> = self.homes.keys().copied().collect();
        self.undecided.clear();
        let mut decided = false;
        for service in services {
            if let Some(home) = self.homes.get_mut(&service) {
                home.tick(now);
                if home.is_empty() {
                    self.homes.remove(&service);
                    continue;
                }
            }
            decided |= self.decide(now, service, send);
        }
        decided
    }

    /// Returns the services about which there is something to report.
    fn reported_services(&self) -> BTreeSet<u64> {
        let used = self.usage.engine_usage();
        let endpoints = used.filter_map(|(key, _)| self.endpoints.get(key));
        let used = endpoints.map(|it| service_hash(&it.record.service));
        let reported = self.reported.iter().filter(|(_, it)| !it.is_empty);
        let reported = reported.map(|(service, _)| *service);
        used.chain(reported)
            .chain(self.placements.services())
            .collect()
    }

    fn report_service(&mut self, now: Time, service: u64, send: &mut Vec<(SocketAddrV4, Body)>) {
        let changes = self.usage.changes() + self.placement_changes;
        let ranks = self.homes(service);
        let interval = match self.placements.is_unanswered(service) {
            Some(true) => UNANSWERED_REPORT_INTERVAL,
            Some(false) => QUEUED_REPORT_INTERVAL,
            None => REPORT_INTERVAL,
        };
        let is_due = self.reported.get(&service).is_none_or(|last| {
            last.changes != changes || last.ranks != ranks || now.since(last.at) >= interval
        });
        if !is_due {
            return;
        }
        let acting = self.acting_home(now, service);
        let backed_off = self.backoffs.last_noticed(now, MAX_REPORTED_BACKOFFS);
        let of_service = |key: &EndpointKey| {
            let endpoint = self.endpoints.get(*key);
            endpoint.is_some_and(|it| service_hash(&it.record.service) == service)
        };
        // A failure says something about an endpoint only if this instance reaches others.
        let is_confirmed = |key: &EndpointKey| {
            let endpoint = self.endpoints.get(*key).filter(|_| of_service(key));
            endpoint.is_some_and(|it| {
                self.reachability
                    .has_connected_since(&it.record.service, it.failed_at())
            })
        };
        let pace = self.pace_samples.take(now, service, of_service);
        let report = PlacementReport {
            service,
            number: self.reports_sent + 1,
            data_centre: self.cfg.data_centre.clone(),
            decides: false,
            used: self
                .usage
                .engine_usage()
                .filter(|(key, _)| of_service(key))
                .collect(),
            failing: self.endpoints.failing().filter(is_confirmed).collect(),
            ejected: self.endpoints.ejected(now).filter(is_confirmed).collect(),
            known: u32::try_from(self.fleet.count()).unwrap_or(u32::MAX),
            requests: self
                .placements
                .of(service)
                .map(|it| {
                    let mut message = it.to_message(now);
                    message.exclude.extend(&backed_off);
                    message
                })
                .collect(),
            pace,
            no_room: self.no_room.active(now).filter(of_service).collect(),
        };
        self.reports_sent += 1;
        let is_empty = report.used.is_empty() && report.requests.is_empty();
        self.reported.insert(
            service,
            Reported {
                at: now,
                changes,
                ranks,
                is_empty,
            },
        );
        for to in ranks.into_iter().flatten() {
            let report = PlacementReport {
                decides: acting == Some(to),
                ..report.clone()
            };
            if to == self.cfg.address {
                self.store_report(now, (to, self.cfg.incarnation), report);
            } else {
                send.push((to, Body::PlacementReport(report)));
            }
        }
    }

    /// Decides as the home of a service; returns whether a request of this instance may have a
    /// decision.
    fn decide(&mut self, now: Time, service: u64, send: &mut Vec<(SocketAddrV4, Body)>) -> bool {
        let Some(home) = self.homes.get_mut(&service).filter(|it| it.has_requests()) else {
            return false;
        };
        let Some(catalogue) = self.catalogue.clone() else {
            return false;
        };
        let mut services = catalogue.services();
        let known = services.find(|it| service_hash(&it.name) == service);
        let known = known.and_then(|it| Some((&it.name, it.engine?, it.cold)));
        let Some((name, limits, cold)) = known else {
            return false;
        };
        let engines = Engines {
            service: name,
            limits,
            endpoints: &self.endpoints,
            cold,
            named: &self.limits,
            known: self.fleet.count(),
            live: 1 + self.members.live().count(),
            pace: self.pace.get(&service).unwrap_or(&pace::UNKNOWN),
        };
        home.rejects_by_forecast = self.cfg.reject_by_forecast;
        let answers = home.decide(now, engines);
        let mut decided = false;
        for (to, answer) in answers {
            if to == self.cfg.address {
                decided = true;
                self.on_placement_answer(now, answer);
            } else {
                send.push((to, Body::PlacementAnswer(answer)));
            }
        }
        decided
    }

    /// Returns a separate random generator, so that a choice can draw numbers while it borrows the
    /// tables.
    fn fork_rng(&mut self) -> SmallRng {
        SmallRng::seed_from_u64(self.rng.random())
    }

    /// Returns the tables that a placement for `service` reads.
    fn context(&self, now: Time, service: &str) -> PlacementContext<'_> {
        static NO_PEERS: PeerUsage = PeerUsage::empty();
        let others = self.placements.view(service_hash(service));
        PlacementContext {
            now,
            endpoints: &self.endpoints,
            usage: &self.usage,
            others: others.unwrap_or(&NO_PEERS),
            data_centre: &self.cfg.data_centre,
            pace: &pace::UNKNOWN,
        }
    }
}

impl Gateway {
    /// Returns a usable endpoint of `service` other than `key`, whether or not it has room.
    pub fn another_endpoint(&self, service: &str, key: EndpointKey) -> Option<Placement> {
        let mut others = self.endpoints.usable_of(service);
        others.find(|it| it.key != key).map(Placement::of)
    }
}

impl Placement {
    pub(super) fn of(endpoint: &Endpoint) -> Self {
        Placement {
            key: endpoint.key,
            name: endpoint.record.name.clone(),
            address: endpoint.record.address,
        }
    }
}
