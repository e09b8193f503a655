//! Partitions between this instance and endpoints, and the peers that serve meanwhile.

use super::{Gateway, Placement};
use crate::gateway::endpoints::Endpoint;
use crate::gateway::proxies::ProxyChoice;
use crate::gateway::reachability::{CROSS_CHECKS, DueProbes, Reachability};
use crate::gateway::request::service_hash;
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// What follows from a connection that could not be opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnreachableOutcome {
    /// Whether the endpoint is now ejected.
    pub is_ejected: bool,
    /// Whether this instance now counts as partitioned from the endpoint's service.
    pub is_partitioned: bool,
}

impl Gateway {
    /// Records that a connection to an endpoint was opened in `time`; returns whether that ends a
    /// partition from its service.
    pub fn on_connected(&mut self, now: Time, key: EndpointKey, time: Duration) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let data_centre = &endpoint.record.data_centre;
        self.own_delay.on_connect_time(now, key, data_centre, time);
        let service = &endpoint.record.service;
        let ended = self.reachability.ended_endpoints(now, service);
        let ends_partition = self.reachability.on_connected(now, service);
        // Their failures were forgotten when the partition began. They look empty, so that requests
        // would go there again and begin the next one.
        for (began, ended) in ended
            .into_iter()
            .flat_map(|(at, all)| all.into_iter().map(move |it| (at, it)))
        {
            if ended != key {
                self.endpoints.on_unreachable(began, ended);
            }
        }
        ends_partition
    }

    /// Records that no connection to an endpoint could be opened.
    pub fn on_unreachable(&mut self, now: Time, key: EndpointKey) -> UnreachableOutcome {
        UnreachableOutcome {
            is_ejected: self.eject_unreachable(now, key),
            is_partitioned: self.on_connect_abandoned(now, key),
        }
    }

    /// Records that an endpoint refused a connection.
    pub fn on_refused(&mut self, now: Time, key: EndpointKey) -> UnreachableOutcome {
        UnreachableOutcome {
            is_ejected: self.eject_unreachable(now, key),
            is_partitioned: self.record_unreached(key, |reachability, service, usable| {
                reachability.on_refused(now, service, key, usable)
            }),
        }
    }

    /// Ejects an endpoint that could not be reached, unless that may be due to a partition; returns
    /// whether it is now ejected.
    fn eject_unreachable(&mut self, now: Time, key: EndpointKey) -> bool {
        let service = self.endpoints.get(key).map(|it| &it.record.service);
        let says_something = service.is_some_and(|it| !self.reachability.is_partitioned(it));
        says_something && self.endpoints.on_unreachable(now, key)
    }

    /// Records that a connection to an endpoint had not been opened when its request was given up,
    /// or that a probe could not open one. Returns whether this instance now counts as partitioned from the endpoint's service.
    ///
    /// The endpoint is not ejected for that: it may only have been slow.
    pub fn on_connect_abandoned(&mut self, now: Time, key: EndpointKey) -> bool {
        self.record_unreached(key, |reachability, service, usable| {
            reachability.on_unreachable(now, service, key, usable)
        })
    }

    /// Records that an endpoint refused a connection that a probe began to open at `began`. If another
    /// one was opened since, the endpoint has ended, and it is no sign of a partition.
    pub fn on_probe_refused(
        &mut self,
        now: Time,
        began: Time,
        key: EndpointKey,
    ) -> UnreachableOutcome {
        let service = self.endpoints.get(key).map(|it| &it.record.service);
        if service.is_some_and(|it| self.reachability.has_connected_since(it, began)) {
            return UnreachableOutcome {
                is_ejected: self.eject_unreachable(now, key),
                is_partitioned: false,
            };
        }
        UnreachableOutcome {
            is_ejected: false,
            is_partitioned: self.record_unreached(key, |reachability, service, usable| {
                reachability.on_probe_refused(now, service, key, usable)
            }),
        }
    }

    /// Records that a connection attempt that began at `began` is pending for
    /// [`HANGING_CONNECT`](crate::gateway::reachability::HANGING_CONNECT). Returns whether this
    /// instance now counts as partitioned from the endpoint's service.
    pub fn on_connect_hanging(&mut self, now: Time, began: Time, key: EndpointKey) -> bool {
        self.record_unreached(key, |reachability, service, usable| {
            reachability.on_hanging(now, began, service, key, usable)
        })
    }

    fn record_unreached(
        &mut self,
        key: EndpointKey,
        record: impl FnOnce(&mut Reachability, &str, usize) -> bool,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else {
            return false;
        };
        let service = &endpoint.record.service;
        let usable = self.endpoints.usable_count(service);
        if !record(&mut self.reachability, service, usable) {
            return false;
        }
        // The failures were this instance's. As a home it would grant these engines to nobody.
        let unreached: Vec<EndpointKey> = self.reachability.unreached(service).collect();
        for endpoint in unreached {
            self.endpoints.forget_failures(endpoint);
        }
        true
    }

    /// Returns the other endpoints to which connections are to be opened because an attempt to reach
    /// `key` that began at `began` is slow; they tell an endpoint that hangs from a partition.
    pub fn cross_checks(&mut self, now: Time, began: Time, key: EndpointKey) -> Vec<Placement> {
        let Some(endpoint) = self.endpoints.get(key) else {
            return Vec::new();
        };
        let service = &endpoint.record.service;
        let is_evidence = self.own_delay.is_evidence(now, began);
        if !is_evidence || !self.reachability.begin_cross_check(now, began, service) {
            return Vec::new();
        }
        let others = self.endpoints.usable_of(service).filter(|it| it.key != key);
        let mut others: Vec<&Endpoint> = others.collect();
        others.shuffle(&mut self.rng);
        others.sort_by_key(|it| it.is_failing());
        others.truncate(CROSS_CHECKS);
        others.into_iter().map(Placement::of).collect()
    }

    /// Returns whether this instance is partitioned from the service of an endpoint.
    pub fn is_partitioned_from(&self, key: EndpointKey) -> bool {
        let endpoint = self.endpoints.get(key);
        endpoint.is_some_and(|it| self.reachability.is_partitioned(&it.record.service))
    }

    /// Returns whether this instance is partitioned from the endpoints of a service and has peers
    /// that may reach them.
    pub fn needs_proxy(&self, service: &str) -> bool {
        self.reachability.is_partitioned(service) && self.members.live().next().is_some()
    }

    /// Returns endpoints to which a connection is to be opened, to notice the beginning or the end of
    /// a partition: those that were not tried since the last connection come first.
    pub fn partition_probes(&mut self, now: Time) -> Vec<Placement> {
        let due = self.reachability.due_probes(now);
        let mut probes = Vec::new();
        for DueProbes { service, count } in due {
            if self.endpoints.usable_count(&service) == 0 {
                self.reachability.on_no_endpoint(&service);
                continue;
            }
            let unreached: BTreeSet<EndpointKey> = self.reachability.unreached(&service).collect();
            let mut usable: Vec<&Endpoint> = self.endpoints.usable_of(&service).collect();
            usable.shuffle(&mut self.rng);
            usable.sort_by_cached_key(|it| unreached.contains(&it.key));
            probes.extend(usable.into_iter().take(count).map(Placement::of));
        }
        probes
    }

    /// Returns up to `most` other endpoints, to find out whether this instance reaches any: those of
    /// the same service, or others if it has none. Those that did not fail lately come first.
    pub fn other_endpoints(&mut self, key: EndpointKey, most: usize) -> Vec<Placement> {
        let Some(endpoint) = self.endpoints.get(key) else {
            return Vec::new();
        };
        let service = &endpoint.record.service;
        let of_service = self.endpoints.usable_of(service).filter(|it| it.key != key);
        let mut others: Vec<&Endpoint> = of_service.collect();
        if others.is_empty() {
            let all = self.endpoints.iter();
            others = all
                .filter(|it| it.key != key && self.is_usable(it.key))
                .collect();
        }
        others.shuffle(&mut self.rng);
        others.sort_by_key(|it| it.is_failing());
        others.truncate(most);
        others.into_iter().map(Placement::of).collect()
    }

    /// Chooses the peer to which a request of `service` is offered next.
    pub fn choose_proxy(
        &mut self,
        now: Time,
        service: &str,
        tried: &[SocketAddrV4],
    ) -> Option<SocketAddrV4> {
        let peers: Vec<SocketAddrV4> = self
            .members
            .live()
            .filter(|(_, it)| it.is_steady())
            .map(|(address, _)| address)
            .collect();
        let choice = ProxyChoice {
            service: service_hash(service),
            data_centre: &self.cfg.data_centre,
            peers: &peers,
            tried,
        };
        self.proxies.choose(now, choice, &mut self.rng)
    }

    /// Returns the address at which peers reach this instance.
    pub fn address(&self) -> SocketAddrV4 {
        self.cfg.address
    }

    /// Returns the data centre of this instance.
    pub fn data_centre(&self) -> &str {
        &self.cfg.data_centre
    }
}
