//! Endpoints that terminate if they have to reject too many requests for lack of capacity.
//!
//! Plain endpoints are chosen by each instance, which keeps to its part of their slots
//! ([`brittle`](crate::gateway::brittle)). The home of a service knows what runs on its engines and
//! grants no full one, so an engine is only passed over after rejections.

use super::Gateway;
use crate::gateway::brittle::{BrittleChange, FleetPosition};
use crate::gateway::cold;
use crate::gateway::request::Demand;
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;

impl Gateway {
    /// Applies the statement of an endpoint that it tolerates so many rejections per second; returns
    /// what changed.
    pub fn observe_brittle(
        &mut self,
        now: Time,
        key: EndpointKey,
        tolerated: u32,
    ) -> Option<BrittleChange> {
        let change = self.brittle.observe(now, key, tolerated)?;
        self.on_brittle_change(now, change);
        Some(change)
    }

    /// Queues a change as gossip, and computes this instance's part of the endpoint.
    pub(super) fn on_brittle_change(&mut self, now: Time, change: BrittleChange) {
        let instances = self.instances();
        self.outbox.add_brittle(change.endpoint, instances);
        self.set_brittle_positions(self.divided_by(now));
    }

    /// Drops what is outdated, and computes this instance's parts again if the fleet may have changed.
    pub(super) fn tick_brittle(&mut self, now: Time) {
        let endpoints = &self.endpoints;
        self.brittle.tick(now, |it| endpoints.get(it).is_some());
        let known = self.divided_by(now);
        if self.brittle.is_position_due(now, known) {
            self.set_brittle_positions(known);
        }
    }

    /// Returns by how many instances an endpoint's capacity is divided, if this instance knows that.
    fn divided_by(&self, now: Time) -> Option<u32> {
        let known = self.fleet.settled();
        let known = known.filter(|_| !self.shares.is_settling(now));
        known.map(|it| u32::try_from(it).unwrap_or(u32::MAX))
    }

    fn set_brittle_positions(&mut self, known: Option<u32>) {
        let (own, fleet) = (self.cfg.address, &self.fleet);
        self.brittle.set_positions(|key| FleetPosition {
            known,
            rank: u32::try_from(cold::rank(own, fleet, key)).unwrap_or(u32::MAX),
        });
    }

    /// Records that an endpoint rejected a request for lack of capacity; returns for how long this
    /// instance sends nothing to it, if it is an engine whose share of rejections is used.
    pub fn on_rejected(&mut self, now: Time, key: EndpointKey) -> Option<Duration> {
        self.brittle.of(key)?;
        let (slots, running) = self.brittle_inputs(key);
        let is_engine = self.is_engine(key);
        // The place of a generation is not counted as within or beyond the part.
        let running = if is_engine { 1 } else { running };
        let rejected = &mut self.brittle;
        let hold = rejected.on_rejected(now, key, slots, running)?;
        if !is_engine {
            return None;
        }
        self.request_backoff(now, key, hold);
        Some(hold)
    }

    /// Records that an endpoint accepted a request.
    pub fn on_accepted(&mut self, now: Time, key: EndpointKey) {
        if self.brittle.of(key).is_some() {
            let (slots, running) = self.brittle_inputs(key);
            self.brittle.on_accepted(now, key, slots, running);
        }
    }

    /// Returns the plain endpoints to which this instance sends nothing now, because they are likely
    /// to be full and terminate if they reject too many requests.
    pub(super) fn held(&self, now: Time, demand: &Demand<'_>) -> Vec<EndpointKey> {
        if self.brittle.is_empty() || demand.engine.is_some() {
            return Vec::new();
        }
        let usable = self.endpoints.usable_of(demand.service).map(|it| it.key);
        let usable = usable.filter(|it| !demand.exclude.contains(it));
        let is_held = |key: &EndpointKey| {
            self.brittle.of(*key).is_some() && {
                let (slots, running) = self.brittle_inputs(*key);
                let brittle = &self.brittle;
                !brittle.may_send(now, *key, slots, running)
            }
        };
        usable.filter(is_held).collect()
    }

    /// Records that a request is about to be sent to a plain endpoint.
    pub(super) fn on_sent_to_brittle(&mut self, now: Time, key: EndpointKey) {
        if self.brittle.of(key).is_some() {
            let (slots, running) = self.brittle_inputs(key);
            self.brittle.on_send(now, key, slots, running);
        }
    }

    /// Returns the slots in the record of an endpoint, and how many requests of this instance run
    /// there.
    fn brittle_inputs(&self, key: EndpointKey) -> (u32, u32) {
        let slots = self.endpoints.get(key).map_or(0, |it| it.record.slots);
        (slots, self.usage.own(key).running.into())
    }

    fn is_engine(&self, key: EndpointKey) -> bool {
        let service = self.endpoints.get(key).map(|it| &it.record.service);
        let catalogue = self.catalogue.as_ref();
        let mut services = catalogue.into_iter().flat_map(|it| it.services());
        services.any(|it| Some(&it.name) == service && it.engine.is_some())
    }
}
