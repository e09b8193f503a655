//! Endpoints that terminate if they have to reject too many requests per second for lack of
//! capacity.
//!
//! Such an endpoint states in its responses how many rejections per second it tolerates from all
//! instances together. Rejections stay below that without messages, because both what may be
//! accepted and what may be rejected is divided among the instances:
//!
//! * Of the endpoint's slots each instance has a part. A request within the part finds a free slot.
//! * Of the tolerated rejections each instance has a share. A request beyond the part may be
//!   rejected, or may take a slot of another instance's part, whose next request is then rejected.
//!   It uses the share in either case, and is held back once the share is used, and while the
//!   endpoint's load report says that there is no free slot.
//! * Each rejection lowers the part to the number of requests that the endpoint has accepted. A
//!   later request that is accepted beyond it raises it again.
//!
//! An instance without a share, in a fleet of more instances than tolerated rejections, may only
//! lose a request within its part, and after that waits so long that all such instances together
//! have as many rejections as are tolerated.
//!
//! See `docs/design/limits-of-endpoints.md`.

use super::usage::{REPORTED_LOAD_TTL, ReportedLoad};
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Rejections per second from which on an endpoint counts as one that tolerates any number.
pub const MAX_TOLERATED: u32 = 10_000;

/// The window in which requests that may be rejected are counted. The endpoint counts for one
/// second; the rest allows for requests that take longer on their way than earlier ones.
const WINDOW: Duration = Duration::from_millis(1_200);

/// How long an instance without a share at most waits after a rejection.
const MAX_HOLD: Duration = Duration::from_secs(60);

/// After this time a request that was sent beyond the part is not going to be rejected: a rejection
/// takes one round trip, some 3 ms between data centres.
const REJECTION_DELAY: Duration = Duration::from_millis(20);

/// How often the position of an instance in the fleet is computed, which takes a pass over all
/// instances for each endpoint. Instances that are gone are counted for longer than this.
const POSITION_INTERVAL: Duration = Duration::from_secs(1);

/// Assumed fleet size while an instance may know only part of the fleet.
const ASSUMED_FLEET_SIZE: u32 = 128;

/// The tolerance of an endpoint as sent between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Rejections per second that it tolerates.
    pub tolerated: u32,
    /// Milliseconds since the endpoint stated it.
    pub age_ms: u32,
}

/// A change of what is known about an endpoint's tolerance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrittleChange {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Rejections per second that it was known to tolerate, if any number was known.
    pub before: Option<u32>,
    /// Rejections per second that it tolerates.
    pub after: u32,
}

/// The position of this instance in the fleet, by which an endpoint's capacity is divided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetPosition {
    /// The number of instances; `None` while this instance may know only part of the fleet, or others
    /// may not know it yet.
    pub known: Option<u32>,
    /// How many other instances precede this one in the order for the endpoint.
    pub rank: u32,
}

impl FleetPosition {
    /// Returns this instance's part of `total`. The parts of all instances add up to `total`.
    fn part(self, total: u32) -> u32 {
        let known = self.known.unwrap_or(ASSUMED_FLEET_SIZE).max(1);
        total / known + u32::from(self.rank < total % known)
    }

    /// Returns this instance's share of the tolerated rejections; none while it may know only part
    /// of the fleet, because it would take the shares of others as well.
    fn share(self, tolerated: u32) -> u32 {
        self.known.map_or(0, |_| self.part(tolerated))
    }

    /// Returns how long an instance without a share waits after a rejection.
    fn hold(self, tolerated: u32) -> Duration {
        let known = self.known.unwrap_or(ASSUMED_FLEET_SIZE).max(1);
        match tolerated {
            0 => MAX_HOLD,
            _ => Duration::from_secs_f64(f64::from(known) / f64::from(tolerated))
                .clamp(WINDOW, MAX_HOLD),
        }
    }
}

/// What is known about one endpoint.
#[derive(Clone, Debug, Default)]
struct Brittle {
    tolerated: u32,
    stated_at: Time,
    /// Its last load report.
    load: Option<StatedLoad>,
    /// Upper bound of this instance's part, from rejections; `None` before the first.
    ceiling: Option<u32>,
    /// When the ceiling was last lowered.
    lowered_at: Time,
    /// When requests were sent that used the share.
    used: VecDeque<Time>,
    /// The position of this instance in the order for the endpoint.
    position: FleetPosition,
}

/// The load that an endpoint stated.
#[derive(Clone, Copy, Debug)]
struct StatedLoad {
    at: Time,
    slots: u32,
    /// Requests of other instances that ran or waited there.
    others: u32,
}

/// All endpoints that stated how many rejections they tolerate.
#[derive(Clone, Debug, Default)]
pub struct BrittleEndpoints {
    endpoints: BTreeMap<EndpointKey, Brittle>,
    /// When the positions were last computed, and for how many instances.
    positioned: (Time, Option<u32>),
}

impl BrittleEndpoints {
    /// Applies the statement of an endpoint that it tolerates so many rejections per second;
    /// returns the change. A huge number has no effect.
    pub fn observe(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        tolerated: u32,
    ) -> Option<BrittleChange> {
        self.set(endpoint, tolerated, now)
    }

    /// Applies the report of a peer; returns the change.
    pub fn on_report(&mut self, now: Time, report: BrittleReport) -> Option<BrittleChange> {
        let age = Duration::from_millis(report.age_ms.into());
        let stated_at = now.before(age).unwrap_or(Time::ZERO);
        let known = self.endpoints.get(&report.endpoint);
        if known.is_some_and(|it| stated_at <= it.stated_at) {
            return None;
        }
        self.set(report.endpoint, report.tolerated, stated_at)
    }

    fn set(
        &mut self,
        endpoint: EndpointKey,
        tolerated: u32,
        stated_at: Time,
    ) -> Option<BrittleChange> {
        if tolerated >= MAX_TOLERATED {
            return None;
        }
        let before = self.of(endpoint);
        let known = self.endpoints.entry(endpoint).or_default();
        known.tolerated = tolerated;
        known.stated_at = stated_at;
        (before != Some(tolerated)).then_some(BrittleChange {
            endpoint,
            before,
            after: tolerated,
        })
    }

    /// Returns how many rejections per second an endpoint tolerates, if it stated that.
    pub fn of(&self, endpoint: EndpointKey) -> Option<u32> {
        self.endpoints.get(&endpoint).map(|it| it.tolerated)
    }

    /// Sets the position of this instance in the order for each endpoint, as `position` returns it.
    pub fn set_positions(&mut self, position: impl Fn(EndpointKey) -> FleetPosition) {
        for (key, known) in &mut self.endpoints {
            known.position = position(*key);
        }
    }

    /// Returns whether no endpoint stated a tolerance.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Records the load that an endpoint stated in the response to one of `running` requests of this
    /// instance.
    pub fn on_load(&mut self, now: Time, endpoint: EndpointKey, load: ReportedLoad, running: u32) {
        if let Some(known) = self.endpoints.get_mut(&endpoint) {
            let all = load.running.saturating_add(load.waiting);
            known.load = Some(StatedLoad {
                at: now,
                slots: load.slots,
                // The request of the response has ended or was not accepted.
                others: all.saturating_sub(running.saturating_sub(1)),
            });
        }
    }

    /// Returns whether one more request may be sent to an endpoint, beside `running` of this
    /// instance. `slots` is the number of slots in the endpoint's record.
    pub fn may_send(&self, now: Time, endpoint: EndpointKey, slots: u32, running: u32) -> bool {
        self.endpoints.get(&endpoint).is_none_or(|known| {
            let part = known.part(now, slots);
            let share = known.position.share(known.tolerated);
            running < part
                || (running < part + share
                    && known.used_at(now) < share
                    && !known.is_likely_full(now, running))
        })
    }

    /// Records a request that is sent beside `running` others of this instance.
    pub fn on_send(&mut self, now: Time, endpoint: EndpointKey, slots: u32, running: u32) {
        if let Some(known) = self.endpoints.get_mut(&endpoint)
            && running >= known.part(now, slots)
        {
            known.used.push_back(now);
        }
    }

    /// Records that an endpoint accepted a request, one of `running` of this instance.
    pub fn on_accepted(&mut self, now: Time, endpoint: EndpointKey, slots: u32, running: u32) {
        let Some(known) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let part = known.part(now, slots);
        let last_used = known.used.back();
        let is_settled = last_used.is_none_or(|at| now.since(*at) >= REJECTION_DELAY);
        if let Some(ceiling) = known.ceiling
            && running > part
            && is_settled
        {
            known.ceiling = Some((ceiling + 1).min(known.whole_part(slots)));
        }
    }

    /// Records that an endpoint rejected a request for lack of capacity, one of `running` of this
    /// instance; returns for how long nothing should be sent there, if the share is used.
    pub fn on_rejected(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        slots: u32,
        running: u32,
    ) -> Option<Duration> {
        let known = self.endpoints.get_mut(&endpoint)?;
        let part = known.part(now, slots);
        if running <= part {
            // It was sent within the part, and did not use the share yet.
            known.used.push_back(now);
        }
        known.ceiling = Some(part.min(running.saturating_sub(1)));
        known.lowered_at = now;
        let share = known.position.share(known.tolerated);
        (known.used_at(now) >= share).then(|| match share {
            0 => known.position.hold(known.tolerated),
            _ => WINDOW,
        })
    }

    /// Returns the report about an endpoint that is sent to peers.
    pub fn report(&self, now: Time, endpoint: EndpointKey) -> Option<BrittleReport> {
        let known = self.endpoints.get(&endpoint)?;
        let age = now.since(known.stated_at).as_millis();
        Some(BrittleReport {
            endpoint,
            tolerated: known.tolerated,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Returns whether the positions are to be computed again, because the number of instances
    /// `known` has changed or the last time is long ago, and schedules the next time.
    pub fn is_position_due(&mut self, now: Time, known: Option<u32>) -> bool {
        let (at, for_known) = self.positioned;
        let is_due = for_known != known || now.since(at) >= POSITION_INTERVAL;
        if is_due {
            self.positioned = (now, known);
        }
        is_due
    }

    /// Drops endpoints that no longer exist, and uses of shares that are old enough.
    pub fn tick(&mut self, now: Time, exists: impl Fn(EndpointKey) -> bool) {
        self.endpoints.retain(|key, _| exists(*key));
        for known in self.endpoints.values_mut() {
            let is_old = |at: &Time| now.since(*at) >= WINDOW;
            while known.used.front().is_some_and(is_old) {
                known.used.pop_front();
            }
        }
    }
}

impl Brittle {
    /// Returns whether the endpoint has no free slot beside `running` requests of this instance, as
    /// far as its last load report says. A request beyond the part would be rejected, or would take
    /// the slot of another instance, which would then leave its part unused for a while.
    fn is_likely_full(&self, now: Time, running: u32) -> bool {
        let load = self.load.filter(|it| now.since(it.at) < REPORTED_LOAD_TTL);
        load.is_some_and(|it| it.others.saturating_add(running) >= it.slots)
    }

    /// Returns how many requests used the share within the window.
    fn used_at(&self, now: Time) -> u32 {
        let within = |at: &&Time| now.since(**at) < WINDOW;
        let used = self.used.iter().rev().take_while(within).count();
        u32::try_from(used).unwrap_or(u32::MAX)
    }

    /// Returns this instance's part of the slots. It is at least one: in a fleet of more instances
    /// than slots, those without a part could not send anything.
    fn whole_part(&self, slots: u32) -> u32 {
        let slots = self.load.map_or(slots, |it| it.slots);
        self.position.part(slots).max(1)
    }

    /// Returns how many requests of this instance the endpoint can be expected to accept.
    fn part(&self, now: Time, slots: u32) -> u32 {
        let whole = self.whole_part(slots);
        let Some(ceiling) = self.ceiling else {
            return whole;
        };
        let regained = match self.position.share(self.tolerated) {
            // Without a share, no request beyond the ceiling can show that there is capacity again.
            0 => {
                let hold = self.position.hold(self.tolerated).as_millis().max(1);
                let holds = now.since(self.lowered_at).as_millis() / hold;
                u32::try_from(holds).unwrap_or(u32::MAX)
            }
            _ => 0,
        };
        ceiling.saturating_add(regained).min(whole)
    }
}
