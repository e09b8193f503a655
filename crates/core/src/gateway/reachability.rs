//! Whether this instance reaches the endpoints of a service at all.
//!
//! A connection that cannot be opened has two causes that look alike: the endpoint has ended, or
//! this instance is partitioned from it. What tells them apart is whether this instance connects to
//! any other endpoint of the service. Until it does, failures say nothing about endpoints and are
//! not reported to others; and if several endpoints in a row cannot be reached, this instance
//! counts as partitioned from the service. Its requests then go through peers
//! ([`proxies`](super::proxies)), and it tries to connect to one endpoint after the other.
//!
//! See `docs/design/partitions.md`.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, BTreeSet};

/// Different endpoints that must be unreachable in a row before this instance counts as
/// partitioned. A service with fewer endpoints needs all of them.
const MIN_UNREACHED: usize = 3;

/// Part of a service's endpoints that must refuse connections in a row, one in so many, before this
/// instance counts as partitioned for that. A refusal is an answer: several endpoints that ended
/// together refuse connections until their records are removed, and they look empty, so that
/// requests of all instances go to them.
const REFUSING_PART: usize = 4;

/// The interval at which an instance first tries to connect to another endpoint after it could not
/// reach one. Without this, an instance with few requests, or whose requests all go to the same
/// endpoint, would notice a partition late.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Upper bound of that interval, which doubles with each try during a partition. A service whose endpoints have all
/// ended looks like a partition to every instance.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// A connection attempt that is pending for this long makes this instance connect to other endpoints
/// of the service. It is some ten round trips between data centres. Without these attempts, a
/// single request would wait for one endpoint after the other until the partition is noticed.
pub const SLOW_CONNECT: Duration = Duration::from_millis(30);

/// A connection attempt that is pending for this long counts as a failure to reach its endpoint.
/// Callers whose instance reaches no endpoint get an answer within 0.5 s, of which
/// [`SLOW_CONNECT`] and the choice of an endpoint take a part.
pub const HANGING_CONNECT: Duration = Duration::from_millis(400);

/// Other endpoints to which connections are opened because of a slow attempt. One more than a
/// partition needs, so that single endpoints that have failed are not taken for one.
pub const CROSS_CHECKS: usize = MIN_UNREACHED;

/// Other endpoints to which connections are opened when a partition begins. Several endpoints that
/// ended refuse connections one after the other, and look like a partition as long as no other one is
/// tried.
pub const OPENING_PROBES: usize = 8;

/// A connection that is opened within this time after endpoints that refuse connections began a
/// partition shows that these endpoints have ended. Connections between data centres take some 3 ms.
const REFUTED_WITHIN: Duration = Duration::from_millis(100);

/// What is known about the connections to one service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    /// Endpoints that could not be reached since the last connection.
    unreached: BTreeSet<EndpointKey>,
    /// Those of them that refused the connection.
    refusing: BTreeSet<EndpointKey>,
    /// When a connection to an endpoint was last opened.
    connected_at: Option<Time>,
    /// When connections to other endpoints were last opened because an attempt was slow.
    cross_checked_at: Option<Time>,
    /// Whether this instance counts as partitioned from the service.
    is_partitioned: bool,
    /// When that began, if too few endpoints were silent for it without those that refused.
    refusals_began: Option<Time>,
    /// The schedule of connection attempts while there are unreached endpoints.
    probes: Option<ProbeSchedule>,
}

impl ServiceState {
    /// Adds an endpoint that could not be reached; returns whether a partition begins.
    fn add_unreached(&mut self, now: Time, endpoint: EndpointKey, usable: usize) -> bool {
        self.unreached.insert(endpoint);
        self.probes.get_or_insert(ProbeSchedule {
            next: now + FIRST_PROBE_INTERVAL,
            interval: FIRST_PROBE_INTERVAL,
            count: 1,
        });
        let silent = self.unreached.len() - self.refusing.len();
        let needed = |least: usize| least.min(usable).max(1);
        let is_enough = silent >= needed(MIN_UNREACHED)
            || self.unreached.len() >= needed(MIN_UNREACHED.max(usable / REFUSING_PART));
        // A service without usable endpoints is not out of reach: no peer reaches any either.
        let begins = !self.is_partitioned && is_enough && usable > 0;
        if begins {
            self.is_partitioned = true;
            self.refusals_began = (silent < needed(MIN_UNREACHED)).then_some(now);
            self.probes = Some(ProbeSchedule {
                next: now,
                interval: FIRST_PROBE_INTERVAL,
                count: OPENING_PROBES,
            });
        }
        begins
    }
}

#[derive(Clone, Copy, Debug)]
struct ProbeSchedule {
    next: Time,
    interval: Duration,
    /// Endpoints that are tried next.
    count: usize,
}

/// A service of which endpoints are to be tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueProbes {
    /// The service.
    pub service: String,
    /// How many endpoints are to be tried.
    pub count: usize,
}

/// The reachability of all services.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    services: BTreeMap<String, ServiceState>,
}

impl Reachability {
    /// Records that a connection to an endpoint of `service` was opened. Returns whether that ends a
    /// partition.
    pub fn on_connected(&mut self, now: Time, service: &str) -> bool {
        let Some(state) = self.services.get_mut(service) else {
            let state = ServiceState {
                connected_at: Some(now),
                ..ServiceState::default()
            };
            self.services.insert(service.to_owned(), state);
            return false;
        };
        state.connected_at = Some(now);
        state.unreached.clear();
        state.refusing.clear();
        state.probes = None;
        state.refusals_began = None;
        core::mem::take(&mut state.is_partitioned)
    }

    /// Records that a service has no endpoint to which work may be sent, which ends a partition from
    /// it: no connection could show its end.
    pub fn on_no_endpoint(&mut self, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.unreached.clear();
            state.refusing.clear();
            state.probes = None;
            state.is_partitioned = false;
            state.refusals_began = None;
        }
    }

    /// Records that no connection to an endpoint of `service` could be opened; `usable` is the
    /// number of its endpoints to which work may be sent. Returns whether a partition begins.
    pub fn on_unreachable(
        &mut self,
        now: Time,
        service: &str,
        endpoint: EndpointKey,
        usable: usize,
    ) -> bool {
        let state = self.services.entry(service.to_owned()).or_default();
        state.refusing.remove(&endpoint);
        state.add_unreached(now, endpoint, usable)
    }

    /// Records that an endpoint of `service` refused a connection; the rest is as for
    /// [`Reachability::on_unreachable`].
    pub fn on_refused(
        &mut self,
        now: Time,
        service: &str,
        endpoint: EndpointKey,
        usable: usize,
    ) -> bool {
        let state = self.services.entry(service.to_owned()).or_default();
        if !state.unreached.contains(&endpoint) {
            state.refusing.insert(endpoint);
        }
        state.add_unreached(now, endpoint, usable)
    }

    /// Records that an endpoint of `service` refused the connection of a probe; the rest is as for
    /// [`Reachability::on_unreachable`].
    ///
    /// As few refused probes as silent endpoints are a partition: probes go to endpoints at random, while
    /// requests go to those that look empty because they have ended.
    pub fn on_probe_refused(
        &mut self,
        now: Time,
        service: &str,
        endpoint: EndpointKey,
        usable: usize,
    ) -> bool {
        match self.is_partitioned(service) {
            true => self.on_refused(now, service, endpoint, usable),
            false => self.on_unreachable(now, service, endpoint, usable),
        }
    }

    /// Returns the endpoints that have ended if a connection to the service is opened now, and when
    /// they were known to refuse connections: they had just begun a partition, which is none then.
    pub fn ended_endpoints(&self, now: Time, service: &str) -> Option<(Time, Vec<EndpointKey>)> {
        let state = self.services.get(service)?;
        let began = state.refusals_began?;
        let is_refuted = now.since(began) < REFUTED_WITHIN;
        is_refuted.then(|| (began, state.refusing.iter().copied().collect()))
    }

    /// Records that a connection attempt that began at `began` is pending for [`HANGING_CONNECT`].
    /// Returns whether a partition begins.
    ///
    /// It says nothing if a connection to another endpoint was opened since the attempt began: its
    /// endpoint alone hangs then.
    pub fn on_hanging(
        &mut self,
        now: Time,
        began: Time,
        service: &str,
        endpoint: EndpointKey,
        usable: usize,
    ) -> bool {
        if self.has_connected_since(service, began) {
            return false;
        }
        self.on_unreachable(now, service, endpoint, usable)
    }

    /// Returns whether connections to other endpoints of `service` are to be opened now, because an
    /// attempt that began at `began` is slow. It returns false while earlier ones are pending, so
    /// that many slow requests open no more connections than one.
    pub fn begin_cross_check(&mut self, now: Time, began: Time, service: &str) -> bool {
        if self.has_connected_since(service, began) {
            return false;
        }
        let state = self.services.entry(service.to_owned()).or_default();
        let is_pending = state.cross_checked_at.is_some_and(|at| {
            now.since(at) < HANGING_CONNECT && state.connected_at.is_none_or(|it| it < at)
        });
        if is_pending || state.is_partitioned {
            return false;
        }
        state.cross_checked_at = Some(now);
        true
    }

    /// Returns the endpoints of a service that could not be reached since the last connection.
    pub fn unreached(&self, service: &str) -> impl Iterator<Item = EndpointKey> {
        let state = self.services.get(service);
        state
            .into_iter()
            .flat_map(|it| it.unreached.iter().copied())
    }

    /// Returns whether this instance is partitioned from a service.
    pub fn is_partitioned(&self, service: &str) -> bool {
        let state = self.services.get(service);
        state.is_some_and(|it| it.is_partitioned)
    }

    /// Returns the services from which this instance is partitioned.
    pub fn partitioned(&self) -> impl Iterator<Item = &str> {
        let services = self.services.iter();
        services
            .filter(|(_, it)| it.is_partitioned)
            .map(|(name, _)| name.as_str())
    }

    /// Returns whether a connection to any endpoint of a service was opened after `at`, so that a
    /// failure at that time says something about its endpoint.
    pub fn has_connected_since(&self, service: &str, at: Time) -> bool {
        let state = self.services.get(service);
        let connected_at = state.and_then(|it| it.connected_at);
        connected_at.is_some_and(|it| it > at)
    }

    /// Returns the services for which connection attempts are due, and schedules the next ones.
    pub fn due_probes(&mut self, now: Time) -> Vec<DueProbes> {
        let mut due = Vec::new();
        for (name, state) in &mut self.services {
            if let Some(probes) = state.probes.as_mut().filter(|it| now >= it.next) {
                if state.is_partitioned {
                    probes.interval = (probes.interval * 2).min(MAX_PROBE_INTERVAL);
                }
                probes.next = now + probes.interval;
                due.push(DueProbes {
                    service: name.clone(),
                    count: core::mem::replace(&mut probes.count, 1),
                });
            }
        }
        due
    }
}
