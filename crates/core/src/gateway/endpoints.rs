//! Which endpoints exist, which of them leave, and which are not trusted.
//!
//! An endpoint is one life of a process of a service. A process may start again under
//! its published name; it then holds and knows nothing of before, so that belief is keyed
//! by name and start. That makes leaving final: whoever hears of it first, from the
//! store, a peer or the endpoint itself, is right for good about that life.

use super::cold::ColdLimits;
use super::cordons::{Cordon, CordonEffect, Cordons};
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How long an entry that vanished around an outage of the store may come back.
/// The publisher promises about two seconds.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// How long an endpoint that left is remembered, so that news of it that travels
/// slowly does not bring it back.
const GONE_RETENTION: Duration = Duration::from_secs(60);

/// Failures in a row after which an endpoint is passed over. One failure may be
/// the request's; three in a row are rarely.
const EJECT_AFTER: u32 = 3;

/// The first time for which an endpoint is passed over; it doubles with each
/// further failure.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// The longest time for which an endpoint is passed over.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// The weight of the newest result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// What is published about an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The published name, under which the process may start again.
    pub name: String,
    /// The Unix millisecond of its start, which tells its lives apart. A process that
    /// tells none has one life.
    pub started_unix_ms: Option<u64>,
    /// The service.
    pub service: String,
    /// Where it is reached.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// For how long it will be slow after its start.
    pub cold_for: Duration,
}

impl EndpointRecord {
    /// Returns the key of this life.
    pub fn key(&self) -> EndpointKey {
        match self.started_unix_ms {
            Some(started_unix_ms) => EndpointKey::of(&format!("{}@{started_unix_ms}", self.name)),
            None => EndpointKey::of(&self.name),
        }
    }

    /// Returns what the record means to this product, as the parts of a
    /// [`Mark`](super::replica::Mark). The time that is left until it is warm falls with
    /// each heartbeat, so that only whether there is any counts.
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

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It does.
    Serving,
    /// Its entry vanished around an outage of the store; it may come back.
    Lapsed {
        /// Since when.
        since: Time,
    },
    /// Its entry cannot be read any more, so that it names no endpoint to use. It may be
    /// written again.
    Unreadable,
    /// It takes nothing new, for good.
    Leaving {
        /// Since when that is known.
        since: Time,
    },
}

/// An endpoint as this instance believes it to be.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its key.
    pub key: EndpointKey,
    /// What was published last.
    pub record: EndpointRecord,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Until when it is slow after its start.
    pub cold_until: Time,
    /// When it said so last.
    cold_reported_at: Time,
    /// Failures since the last success.
    failures: u32,
    /// It is passed over until then.
    ejected_until: Time,
    /// Share of requests that failed lately, from 0 to 1.
    failure_share: f64,
}

impl Endpoint {
    /// Returns whether it takes new work by its own state. Whether its data centre is closed is
    /// for the table to say: [`EndpointTable::is_usable`].
    fn accepts_work(&self) -> bool {
        matches!(
            self.state,
            EndpointState::Serving | EndpointState::Lapsed { .. }
        )
    }

    /// Returns whether it is passed over because it failed.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the last that was seen of it here was a failure.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns the share of requests that failed lately, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns since when it is known to leave.
    pub fn leaving_since(&self) -> Option<Time> {
        match self.state {
            EndpointState::Leaving { since } => Some(since),
            _ => None,
        }
    }
}

/// All endpoints known.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    /// The newest life known under each published name, with its start.
    newest: BTreeMap<String, (Option<u64>, EndpointKey)>,
    /// Endpoints that are known to leave and of which nothing else is known.
    left: BTreeMap<EndpointKey, Time>,
    cordons: Cordons,
}

impl EndpointTable {
    /// Takes in what was published; returns the endpoints that began to leave: this one, or
    /// the life before it.
    ///
    /// What goes wrong where lives are not told apart: an engine that started again looks
    /// as full as it was and as broken, copies that it lost are gone on from, and the
    /// news that its former life left keeps it from its callers for good.
    pub fn apply_record(&mut self, now: Time, record: EndpointRecord) -> Vec<EndpointKey> {
        let key = record.key();
        let mut started_leaving = Vec::new();
        if let Some(&(started_unix_ms, before)) = self.newest.get(&record.name) {
            if started_unix_ms > record.started_unix_ms {
                return started_leaving;
            }
            if before != key && self.mark_leaving(now, before) {
                started_leaving.push(before);
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
        let leaving = record.leaving || self.left.contains_key(&key);
        let cold_until = now + record.cold_for;
        let endpoint = self.endpoints.entry(key).or_insert_with(|| Endpoint {
            key,
            record: record.clone(),
            state: EndpointState::Serving,
            cold_until,
            cold_reported_at: now,
            failures: 0,
            ejected_until: Time::ZERO,
            failure_share: 0.0,
        });
        endpoint.record = record;
        endpoint.cold_until = cold_until;
        endpoint.cold_reported_at = now;
        if leaving {
            return self.mark_leaving(now, key);
        }
        if let EndpointState::Lapsed { .. } | EndpointState::Unreadable = endpoint.state {
            endpoint.state = EndpointState::Serving;
        }
        false
    }

    /// Takes in that an entry vanished. Around an outage of the store
    /// (`unsettled`) it may come back.
    ///
    /// Returns the endpoint if it began to leave.
    pub fn remove_record(&mut self, now: Time, name: &str, unsettled: bool) -> Option<EndpointKey> {
        let Some(&(_, key)) = self.newest.get(name) else {
            self.left.insert(EndpointKey::of(name), now);
            return None;
        };
        match self.endpoints.get_mut(&key) {
            Some(endpoint) if unsettled && endpoint.state == EndpointState::Serving => {
                endpoint.state = EndpointState::Lapsed { since: now };
                None
            }
            _ => self.mark_leaving(now, key).then_some(key),
        }
    }

    /// Takes in that an entry cannot be read any more. What runs there goes on; nothing
    /// new is sent until the entry is written again.
    pub fn mark_unreadable(&mut self, name: &str) {
        let newest = self.newest.get(name);
        let endpoint = newest.and_then(|(_, key)| self.endpoints.get_mut(key));
        if let Some(endpoint) = endpoint.filter(|it| it.accepts_work()) {
            endpoint.state = EndpointState::Unreadable;
        }
    }

    /// Notes that an endpoint leaves; returns whether that is news.
    pub fn mark_leaving(&mut self, now: Time, key: EndpointKey) -> bool {
        self.left.entry(key).or_insert(now);
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return false;
        };
        if let EndpointState::Leaving { .. } = endpoint.state {
            return false;
        }
        endpoint.state = EndpointState::Leaving { since: now };
        true
    }

    /// Ends the time that lapsed entries had to come back, unless the store is still
    /// unsettled, and forgets who left long ago.
    ///
    /// Returns the endpoints that began to leave.
    pub fn tick(&mut self, now: Time, unsettled: bool) -> Vec<EndpointKey> {
        let lapsed = |endpoint: &&Endpoint| match endpoint.state {
            EndpointState::Lapsed { since } => !unsettled && now.since(since) >= LAPSE_GRACE,
            _ => false,
        };
        let gone: Vec<EndpointKey> = self
            .endpoints
            .values()
            .filter(lapsed)
            .map(|it| it.key)
            .collect();
        for &key in &gone {
            self.mark_leaving(now, key);
        }
        self.left
            .retain(|_, since| now.since(*since) < GONE_RETENTION);
        let left = &self.left;
        self.endpoints
            .retain(|key, endpoint| endpoint.leaving_since().is_none() || left.contains_key(key));
        let endpoints = &self.endpoints;
        self.newest
            .retain(|_, (_, key)| endpoints.contains_key(key));
        gone
    }

    /// Takes in the operator's word about a data centre.
    pub fn apply_cordon(&mut self, now: Time, cordon: &Cordon) -> CordonEffect {
        self.cordons.apply(now, cordon)
    }

    /// Returns the operator's words about data centres.
    pub fn cordons(&self) -> &Cordons {
        &self.cordons
    }

    /// Returns whether the data centre of an endpoint is closed to new work.
    pub fn is_cordoned(&self, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(&key);
        endpoint.is_some_and(|it| self.cordons.is_closed(&it.record.data_centre))
    }

    /// Takes in for how long an endpoint says that it will still be cold.
    pub fn observe_cold(&mut self, now: Time, key: EndpointKey, left: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.cold_until = now + left;
            endpoint.cold_reported_at = now;
        }
    }

    /// Returns whether an endpoint bears no more than `limits`: it said so, or its data centre is
    /// open again and it said nothing since.
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

    /// Returns whether new work may be sent to an endpoint. Whoever sends, reserves or copies
    /// something asks this, and asks again right before the first byte.
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

    /// Returns whether nothing but cordons keeps a service from being used. Every request that
    /// waits asks this with each look, so that it costs nothing while no data centre is closed.
    pub fn is_service_cordoned(&self, service: &str) -> bool {
        self.cordons.closed().next().is_some()
            && self.accepting_of(service).next().is_some()
            && self.usable_of(service).next().is_none()
    }

    /// Returns the endpoints of a service that would take new work if no data centre were closed.
    fn accepting_of(&self, service: &str) -> impl Iterator<Item = &Endpoint> {
        let all = self.endpoints.values();
        all.filter(move |it| it.record.service == service && it.accepts_work())
    }

    /// Returns an endpoint.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(&key)
    }

    /// Returns the newest life known under a published name.
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

    /// Returns the endpoints of which the last that was seen here was a failure, to
    /// tell peers.
    pub fn failing(&self) -> impl Iterator<Item = EndpointKey> {
        let failing = self.endpoints.values();
        failing
            .filter(|endpoint| endpoint.accepts_work() && endpoint.is_failing())
            .map(|endpoint| endpoint.key)
    }

    /// Returns the endpoints that are passed over here, to tell the home of their service.
    pub fn ejected(&self, now: Time) -> impl Iterator<Item = EndpointKey> {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(move |endpoint| endpoint.accepts_work() && endpoint.is_ejected(now))
            .map(|endpoint| endpoint.key)
    }

    /// Notes that an endpoint began to answer, so that it is there.
    pub fn on_response(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.failures = 0;
            endpoint.ejected_until = Time::ZERO;
        }
    }

    /// Notes that a request went well.
    pub fn on_success(&mut self, key: EndpointKey) {
        self.on_response(key);
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.failure_share *= 1.0 - FAILURE_WEIGHT;
        }
    }

    /// Notes that a request failed at the endpoint; returns whether it is now passed over.
    ///
    /// What goes wrong without it: an endpoint that fails at once is always the
    /// least loaded one, and so draws all requests to itself.
    pub fn on_failure(&mut self, now: Time, key: EndpointKey) -> bool {
        self.record_failure(now, key, 1)
    }

    /// Notes that no connection to the endpoint could be made; returns whether it is now
    /// passed over. That is never the fault of a request, so that one is enough.
    pub fn on_unreachable(&mut self, now: Time, key: EndpointKey) -> bool {
        self.record_failure(now, key, EJECT_AFTER)
    }

    fn record_failure(&mut self, now: Time, key: EndpointKey, at_least: u32) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return false;
        };
        endpoint.failures = endpoint.failures.saturating_add(1).max(at_least);
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
