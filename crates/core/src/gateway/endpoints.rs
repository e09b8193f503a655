//! State of all endpoints: which exist, which are leaving, and which are ejected after failures.
//!
//! An endpoint is one incarnation of a process of a service. A process may restart under its
//! published name and then has none of its former state, so everything known here is keyed by name
//! and start time.
//!
//! Only what an endpoint said of itself is final for an incarnation: its record says that it leaves,
//! a response does, or another process answers at its address, whoever reported it first. That its
//! record is gone is no such word: an endpoint that could not reach the store for a while writes it
//! again. `docs/design/endpoint-announcements.md` lists the evidence.

mod marks;
mod services;

use super::cold::ColdLimits;
use super::cordons::{Cordon, CordonEffect, Cordons};
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use marks::{GONE_RETENTION, LeavingMarks};
use services::ServiceIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// How long after an engine began to leave a generation may still resume from a copy there. A later
/// request could arrive after the time in which a leaving endpoint must get its last one.
pub const RESUME_AT_LEAVING: Duration = Duration::from_secs(1);

/// Consecutive failures after which an endpoint is ejected. A single failure may be caused by the
/// request; three in a row rarely are.
const EJECT_AFTER: u32 = 3;

/// Duration of the first ejection; it doubles with each further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Upper bound of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Weight of the newest result in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// The published record of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The published name, which a restarted process keeps.
    pub name: String,
    /// Unix time in milliseconds at which the process started, which distinguishes its
    /// incarnations. A process that reports no start time has a single incarnation.
    pub started_unix_ms: Option<u64>,
    /// The name of its service.
    pub service: String,
    /// The address at which it receives requests.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it reports that it is leaving.
    pub leaving: bool,
    /// How long it will still be cold, that is, slow after its start.
    pub cold_for: Duration,
}

impl EndpointRecord {
    /// Returns the key of this incarnation.
    pub fn key(&self) -> EndpointKey {
        match self.started_unix_ms {
            Some(started_unix_ms) => EndpointKey::of(&format!("{}@{started_unix_ms}", self.name)),
            None => EndpointKey::of(&self.name),
        }
    }

    /// Returns the content that is compared in a [`ContentHash`](super::replica::ContentHash), as
    /// text. The remaining cold time decreases with each heartbeat, so only whether it is zero is
    /// part of the text.
    pub fn canonical_form(&self) -> String {
        let EndpointRecord {
            name,
            started_unix_ms,
            service,
            address,
            data_centre,
            slots,
            leaving,
            cold_for: cold,
        } = self;
        let is_cold = !cold.is_zero();
        format!(
            "{name:?} {started_unix_ms:?} {service:?} {address} {data_centre:?} {slots} {leaving} {is_cold}"
        )
    }
}

/// How it is known that a record is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// The store states that it was removed.
    Stated,
    /// A full read lacks it.
    Missing,
}

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts new work.
    Serving,
    /// Its record disappeared around a store outage and may return; until then it accepts new work.
    Lapsed {
        /// When the record disappeared.
        since: Time,
    },
    /// Its record can no longer be parsed. It gets no new work until a readable record is written.
    Unreadable,
    /// Its record was removed and it said nothing. It gets no new work until its record is written
    /// again.
    Absent {
        /// When this instance learned that the record is gone.
        since: Time,
    },
    /// It said that it leaves, and never accepts new work again.
    Leaving {
        /// When this instance learned that it is leaving.
        since: Time,
    },
}

/// An endpoint as this instance knows it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its key.
    pub key: EndpointKey,
    /// Its last published record.
    pub record: EndpointRecord,
    /// Whether it accepts new work.
    pub state: EndpointState,
    /// Whether its record stands, as far as this instance knows.
    has_record: bool,
    /// Until when it is cold.
    pub cold_until: Time,
    /// When the endpoint last reported its cold time.
    cold_reported_at: Time,
    failures: u32,
    /// When a request last failed or no connection could be opened.
    failed_at: Time,
    ejected_until: Time,
    /// Moving average of failed requests, from 0 to 1.
    failure_share: f64,
}

impl Endpoint {
    /// Returns whether its own state allows new work. Cordons are not considered here: see
    /// [`EndpointTable::is_usable`].
    fn accepts_work(&self) -> bool {
        matches!(
            self.state,
            EndpointState::Serving | EndpointState::Lapsed { .. }
        )
    }

    /// Returns whether it is ejected after failures.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the last result observed by this instance was a failure.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns when a request last failed here or no connection could be opened.
    pub fn failed_at(&self) -> Time {
        self.failed_at
    }

    /// Returns the moving average of failed requests, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns since when it has been known to leave, or its record has been gone. It may end soon
    /// in both cases, and what runs there must move.
    pub fn leaving_since(&self) -> Option<Time> {
        match self.state {
            EndpointState::Leaving { since } | EndpointState::Absent { since } => Some(since),
            _ => None,
        }
    }

    /// Returns whether its record is gone although it said nothing.
    pub fn is_absent(&self) -> bool {
        matches!(self.state, EndpointState::Absent { .. })
    }
}

/// All known endpoints.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    /// The newest incarnation known under each published name, with its start time.
    newest: BTreeMap<String, (Option<u64>, EndpointKey)>,
    /// The endpoints that accept new work.
    services: ServiceIndex,
    /// Lapsed endpoints, by when their record disappeared.
    lapsed: BTreeSet<(Time, EndpointKey)>,
    /// Absent endpoints, by when their record was found to be gone.
    absent: BTreeSet<(Time, EndpointKey)>,
    /// Endpoints whose last result observed by this instance was a failure.
    failing: BTreeSet<EndpointKey>,
    /// Endpoints known to be leaving, with or without a known record.
    known_leaving: LeavingMarks,
    cordons: Cordons,
    /// How many endpoints [`EndpointTable::tick`] has looked at.
    looked_at: u64,
}

impl EndpointTable {
    /// Applies a published record. Returns the endpoints that started leaving: this one, or its
    /// previous incarnation.
    ///
    /// If incarnations were not distinguished, a restarted engine would keep the load and the
    /// failures of its predecessor, generations would resume from copies that the restart lost, and
    /// the leaving state of the predecessor would exclude it for good.
    pub fn apply_record(&mut self, now: Time, record: EndpointRecord) -> Vec<EndpointKey> {
        let key = record.key();
        let mut started_leaving = Vec::new();
        if let Some(&(newest_start, previous)) = self.newest.get(&record.name) {
            if newest_start > record.started_unix_ms {
                return started_leaving;
            }
            if previous != key {
                self.withdraw_record(now, previous);
                if self.mark_leaving(now, previous) {
                    started_leaving.push(previous);
                }
            }
        }
        self.newest
            .insert(record.name.clone(), (record.started_unix_ms, key));
        if self.apply_to_incarnation(now, key, record) {
            started_leaving.push(key);
        }
        started_leaving
    }

    fn apply_to_incarnation(
        &mut self,
        now: Time,
        key: EndpointKey,
        record: EndpointRecord,
    ) -> bool {
        let leaving = record.leaving || self.known_leaving.contains(key);
        let cold_until = now + record.cold_for;
        let moved = self.endpoints.get(&key).filter(|it| {
            let known = &it.record;
            known.service != record.service || known.data_centre != record.data_centre
        });
        if let Some(moved) = moved {
            let (service, data_centre) = (&moved.record.service, &moved.record.data_centre);
            self.services.remove(service, data_centre, key);
        }
        let endpoint = self.endpoints.entry(key).or_insert_with(|| Endpoint {
            key,
            record: record.clone(),
            state: EndpointState::Serving,
            has_record: true,
            cold_until,
            cold_reported_at: now,
            failures: 0,
            failed_at: Time::ZERO,
            ejected_until: Time::ZERO,
            failure_share: 0.0,
        });
        endpoint.record = record;
        endpoint.has_record = true;
        endpoint.cold_until = cold_until;
        endpoint.cold_reported_at = now;
        let state = match endpoint.state {
            EndpointState::Lapsed { .. }
            | EndpointState::Unreadable
            | EndpointState::Absent { .. }
                if !leaving =>
            {
                EndpointState::Serving
            }
            state => state,
        };
        self.known_leaving.on_record(key);
        self.set_state(key, state);
        leaving && self.mark_leaving(now, key)
    }

    /// Sets the state of an endpoint, and keeps the indices by state.
    fn set_state(&mut self, key: EndpointKey, state: EndpointState) {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return;
        };
        match endpoint.state {
            EndpointState::Lapsed { since } => self.lapsed.remove(&(since, key)),
            EndpointState::Absent { since } => self.absent.remove(&(since, key)),
            _ => false,
        };
        endpoint.state = state;
        match state {
            EndpointState::Lapsed { since } => self.lapsed.insert((since, key)),
            EndpointState::Absent { since } => self.absent.insert((since, key)),
            _ => false,
        };
        let (service, data_centre) = (&endpoint.record.service, &endpoint.record.data_centre);
        match endpoint.accepts_work() {
            true => self.services.insert(service, data_centre, key),
            false => self.services.remove(service, data_centre, key),
        }
    }

    /// Applies the removal of a record. Around a store outage (`unsettled`) the endpoint is used on,
    /// since its record may return.
    ///
    /// Returns the endpoint if it gets no new work from now on.
    pub fn remove_record(&mut self, now: Time, name: &str, unsettled: bool) -> Option<EndpointKey> {
        let &(_, key) = self.newest.get(name)?;
        self.withdraw_record(now, key);
        match self.endpoints.get(&key)?.state {
            EndpointState::Serving if unsettled => {
                self.set_state(key, EndpointState::Lapsed { since: now });
                None
            }
            EndpointState::Serving | EndpointState::Lapsed { .. } | EndpointState::Unreadable => {
                self.set_state(key, EndpointState::Absent { since: now });
                Some(key)
            }
            EndpointState::Absent { .. } | EndpointState::Leaving { .. } => None,
        }
    }

    fn withdraw_record(&mut self, now: Time, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.has_record = false;
        }
        self.known_leaving.on_record_removed(now, key);
    }

    /// Applies a record that can no longer be parsed. Running requests continue; new ones are sent
    /// again once a readable record is written.
    pub fn mark_unreadable(&mut self, name: &str) {
        let Some(&(_, key)) = self.newest.get(name) else {
            return;
        };
        if self.endpoints.get(&key).is_some_and(Endpoint::accepts_work) {
            self.set_state(key, EndpointState::Unreadable);
        }
    }

    /// Marks an endpoint as leaving; returns whether that was new for a known endpoint.
    pub fn mark_leaving(&mut self, now: Time, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(&key);
        let has_record = endpoint.is_some_and(|it| it.has_record);
        let is_leaving = |it: &Endpoint| matches!(it.state, EndpointState::Leaving { .. });
        let is_new = endpoint.is_some_and(|it| !is_leaving(it));
        let since = self.known_leaving.add(now, key, has_record);
        if is_new {
            self.set_state(key, EndpointState::Leaving { since });
        }
        is_new
    }

    /// Makes lapsed endpoints absent once the store is settled, and drops endpoints that left or went
    /// absent long ago. Endpoints for which nothing is due are not looked at.
    ///
    /// Returns the endpoints that get no new work from now on.
    pub fn tick(&mut self, now: Time, unsettled: bool) -> Vec<EndpointKey> {
        let mut gone = Vec::new();
        while !unsettled && let Some(&(_, key)) = self.lapsed.first() {
            self.set_state(key, EndpointState::Absent { since: now });
            gone.push(key);
        }
        gone.sort_unstable();
        let mut expired = self.known_leaving.take_expired(now);
        while let Some(&(since, key)) = self.absent.first()
            && now.since(since) >= GONE_RETENTION
        {
            self.absent.pop_first();
            expired.push(key);
        }
        self.looked_at += (gone.len() + expired.len()) as u64;
        for key in expired {
            self.forget(key);
        }
        gone
    }

    /// Drops everything that is known of an endpoint that left.
    fn forget(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.remove(&key) else {
            return;
        };
        let record = &endpoint.record;
        self.services
            .remove(&record.service, &record.data_centre, key);
        self.failing.remove(&key);
        if let EndpointState::Absent { since } = endpoint.state {
            self.absent.remove(&(since, key));
        }
        if self.newest(&record.name) == Some(key) {
            self.newest.remove(&record.name);
        }
    }

    /// Returns how many endpoints all calls of [`EndpointTable::tick`] have looked at.
    pub fn looked_at(&self) -> u64 {
        self.looked_at
    }

    /// Returns how many endpoints are known to leave, including those without a record.
    pub fn known_leaving(&self) -> usize {
        self.known_leaving.len()
    }

    /// Returns the endpoints that are known to leave although their records say that they accept
    /// work.
    pub fn leaving_with_ready_record(&self) -> impl Iterator<Item = EndpointKey> {
        let standing = self.known_leaving.standing();
        standing.filter(|key| {
            let endpoint = self.endpoints.get(key);
            endpoint.is_some_and(|it| !it.record.leaving)
        })
    }

    /// Applies the operator's cordon of a data centre.
    pub fn apply_cordon(&mut self, now: Time, cordon: &Cordon) -> CordonEffect {
        self.cordons.apply(now, cordon)
    }

    /// Returns the cordons of all data centres.
    pub fn cordons(&self) -> &Cordons {
        &self.cordons
    }

    /// Returns whether the data centre of an endpoint is closed to new work.
    pub fn is_cordoned(&self, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(&key);
        endpoint.is_some_and(|it| self.cordons.is_closed(&it.record.data_centre))
    }

    /// Applies the remaining cold time that an endpoint reported.
    pub fn observe_cold(&mut self, now: Time, key: EndpointKey, remaining: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.cold_until = now + remaining;
            endpoint.cold_reported_at = now;
        }
    }

    /// Returns whether an endpoint is limited to `limits`: it reported that it is cold, or its data
    /// centre was reopened and it has reported nothing since.
    pub fn is_cold(&self, now: Time, key: EndpointKey, limits: &ColdLimits) -> bool {
        let Some(endpoint) = self.endpoints.get(&key) else {
            return false;
        };
        let lifted = self.cordons.lifted_at(&endpoint.record.data_centre);
        let may_have_cooled = lifted.is_some_and(|at| {
            endpoint.cold_reported_at <= at && now.since(at) < limits.after_uncordon()
        });
        may_have_cooled || now < endpoint.cold_until
    }

    /// Returns whether new work may be sent to an endpoint. Check this before sending, reserving or
    /// copying, and again right before the first byte.
    pub fn is_usable(&self, key: EndpointKey) -> bool {
        self.usable(key).is_some()
    }

    /// Returns an endpoint if new work may be sent to it.
    pub fn usable(&self, key: EndpointKey) -> Option<&Endpoint> {
        let endpoint = self.endpoints.get(&key)?;
        (endpoint.accepts_work() && !self.is_cordoned(key)).then_some(endpoint)
    }

    /// Returns the endpoints of a service to which new work may be sent.
    pub fn usable_of(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let accepting = self.accepting_of(service);
        accepting.filter(|it| !self.cordons.is_closed(&it.record.data_centre))
    }

    /// Returns whether cordons are the only reason why a service has no usable endpoint. Each
    /// queued request checks this whenever it is looked at, so it returns early if no data centre
    /// is closed.
    pub fn is_service_cordoned(&self, service: &str) -> bool {
        self.cordons.closed().next().is_some()
            && self.accepting_of(service).next().is_some()
            && self.usable_of(service).next().is_none()
    }

    /// Returns the endpoints of a service that accept new work, without regard to cordons.
    fn accepting_of(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let keys = self.services.of(service);
        keys.filter_map(|key| self.endpoints.get(&key))
    }

    /// Returns the endpoints of a service to which new work may be sent, by data centre.
    pub(super) fn usable_by_data_centre(
        &self,
        service: &str,
    ) -> impl Iterator<Item = &BTreeSet<EndpointKey>> {
        let data_centres = self.services.by_data_centre(service);
        let open = data_centres.filter(|(name, _)| !self.cordons.is_closed(name));
        open.map(|(_, keys)| keys)
    }

    /// Returns the endpoints of a service to which new work may be sent, in the order of their keys.
    pub(super) fn usable_keys(&self, service: &str) -> impl Iterator<Item = EndpointKey> {
        let any_closed = self.cordons.closed().next().is_some();
        let keys = self.services.of(service);
        keys.filter(move |key| !any_closed || self.is_usable(*key))
    }

    /// Returns how many endpoints of a service new work may be sent to.
    pub fn usable_count(&self, service: &str) -> usize {
        self.usable_by_data_centre(service).map(BTreeSet::len).sum()
    }

    /// Returns an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(&key)
    }

    /// Returns the newest incarnation known under a published name.
    pub fn newest(&self, name: &str) -> Option<EndpointKey> {
        self.newest.get(name).map(|(_, key)| *key)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns the endpoints in a data centre.
    pub fn in_data_centre(&self, data_centre: &str) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |it| it.record.data_centre == data_centre)
    }

    /// Returns the endpoints whose last result observed here was a failure; peers are notified of
    /// them.
    pub fn failing(&self) -> impl Iterator<Item = EndpointKey> {
        let failing = self.failing.iter().filter_map(|it| self.endpoints.get(it));
        failing
            .filter(|endpoint| endpoint.accepts_work())
            .map(|endpoint| endpoint.key)
    }

    /// Returns the endpoints that are ejected here; the home of their service is notified of them.
    pub fn ejected(&self, now: Time) -> impl Iterator<Item = EndpointKey> {
        // Whatever ends an ejection also ends the failing state.
        let failing = self.failing.iter().filter_map(|it| self.endpoints.get(it));
        failing
            .filter(move |endpoint| endpoint.accepts_work() && endpoint.is_ejected(now))
            .map(|endpoint| endpoint.key)
    }

    /// Records that an endpoint started to respond, which ends its ejection.
    pub fn on_response(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.failures = 0;
            endpoint.ejected_until = Time::ZERO;
            self.failing.remove(&key);
        }
    }

    /// Forgets the failures of an endpoint, which turned out to say nothing about it.
    pub fn forget_failures(&mut self, key: EndpointKey) {
        self.on_response(key);
    }

    /// Records a successful request.
    pub fn on_success(&mut self, key: EndpointKey) {
        self.on_response(key);
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.failure_share *= 1.0 - FAILURE_WEIGHT;
        }
    }

    /// Records a request that failed at the endpoint; returns whether the endpoint is now ejected.
    ///
    /// Without ejection, an endpoint that fails immediately would always be the least loaded one
    /// and attract all requests.
    pub fn on_failure(&mut self, now: Time, key: EndpointKey) -> bool {
        self.record_failure(now, key, 1)
    }

    /// Records a failed connection attempt; returns whether the endpoint is now ejected. A single
    /// one is enough, since a request cannot cause it.
    pub fn on_unreachable(&mut self, now: Time, key: EndpointKey) -> bool {
        self.record_failure(now, key, EJECT_AFTER)
    }

    fn record_failure(&mut self, now: Time, key: EndpointKey, at_least: u32) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return false;
        };
        self.failing.insert(key);
        endpoint.failures = endpoint.failures.saturating_add(1).max(at_least);
        endpoint.failed_at = now;
        endpoint.failure_share += (1.0 - endpoint.failure_share) * FAILURE_WEIGHT;
        if endpoint.failures < EJECT_AFTER {
            return false;
        }
        let doublings = (endpoint.failures - EJECT_AFTER).min(8);
        let time = (FIRST_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        endpoint.ejected_until = now + time;
        true
    }
}
