//! Endpoints that bear few requests a second: they have just started, or were taken back, or named
//! a limit for themselves ([`rate_limits`](super::rate_limits)). Where both bind, the lower holds.
//!
//! A cold endpoint that gets more than its service says crashes, whoever sent them: the bound
//! holds for the sum over all instances, also while they cannot hear each other. So what each may
//! send follows from the instances that it knows, those included that it lost lately:
//!
//! * the requests that a plain service bears in one second are divided among all known instances,
//!   by rendezvous hashing, without a message; of less than one a second the first in rank has all;
//! * generations are granted by the home of their service, within its part of the bound
//!   ([`HOME_SHARE`]) times the part of all known instances that it hears. Homes on two sides of a
//!   cut hear disjoint parts.
//!
//! The bound is the rate itself. What the operator allows above it is left to requests that were
//! held up on the way, and to instances that do not know each other yet.
//!
//! `docs/design/shifted-work.md` weighs the ways and does the arithmetic.

use super::endpoints::EndpointTable;
use super::fleet_size::FleetSize;
use super::rate_limits::RateLimits;
use crate::ids::{EndpointKey, address_hash};
use crate::rendezvous;
use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// The part of the bound that a home may grant: the home of a service and the next in rank may
/// both be asked while one of them is silent to some.
pub const HOME_SHARE: f64 = 0.375;

/// The part of the bound of an engine that instances may use without a home, each its share: for
/// generations that go on there.
pub const LOCAL_SHARE: f64 = 0.25;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// The longest window, of rates far below one request a second.
const MAX_WINDOW: Duration = Duration::from_secs(60);

/// An instance that has just started, or was paused, sends nothing without a home for so long:
/// others do not count it among those that have a share yet.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// A pause between two looks that is longer than this means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);

/// How long endpoints of a data centre that is open again count as cold beyond the usual time,
/// unless they say otherwise: the store's word and theirs arrive one after the other.
const UNCORDON_MARGIN: Duration = Duration::from_millis(1_000);

/// What a service's endpoints bear while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Requests a second at one endpoint, above zero.
    pub per_second: f64,
    /// How long an endpoint is cold after its start.
    pub duration: Duration,
}

impl ColdLimits {
    /// Returns how long an endpoint of a data centre that is open again counts as cold.
    pub fn after_uncordon(&self) -> Duration {
        self.duration + UNCORDON_MARGIN
    }
}

/// Requests to cold endpoints, counted in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindowCounter {
    sent: BTreeMap<EndpointKey, VecDeque<Time>>,
}

impl SlidingWindowCounter {
    /// Returns how many more requests may be sent now where `rate` a second are allowed. Below
    /// one a second the window is as long as one request takes.
    pub fn remaining(&self, now: Time, endpoint: EndpointKey, rate: f64) -> u32 {
        if rate <= 0.0 {
            return 0;
        }
        let seconds = (1.0 / rate).clamp(WINDOW.as_secs_f64(), MAX_WINDOW.as_secs_f64());
        let window = Duration::from_secs_f64(seconds);
        // A product that is a hair below a whole number is that number.
        let allowed = (rate * seconds + 1e-9) as u32;
        let sent = self.sent.get(&endpoint);
        let within = |at: &&Time| now.since(**at) < window;
        let used = sent.map_or(0, |it| it.iter().rev().take_while(within).count());
        allowed.saturating_sub(u32::try_from(used).unwrap_or(u32::MAX))
    }

    /// Counts a request.
    pub fn record(&mut self, now: Time, endpoint: EndpointKey) {
        self.sent.entry(endpoint).or_default().push_back(now);
    }

    /// Forgets what no window reaches any more.
    pub fn tick(&mut self, now: Time) {
        for sent in self.sent.values_mut() {
            while sent.front().is_some_and(|at| now.since(*at) >= MAX_WINDOW) {
                sent.pop_front();
            }
        }
        self.sent.retain(|_, it| !it.is_empty());
    }
}

/// What this instance may send to endpoints that bear a bounded rate, and what it sent.
#[derive(Clone, Debug)]
pub struct RateShares {
    ticked_at: Time,
    /// Since when this instance runs without a pause.
    running_since: Time,
    sent: SlidingWindowCounter,
}

impl RateShares {
    /// Returns the shares of an instance that begins now.
    pub fn new(now: Time) -> Self {
        RateShares {
            ticked_at: now,
            running_since: now,
            sent: SlidingWindowCounter::default(),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.ticked_at) >= PAUSE_THRESHOLD {
            self.running_since = now;
        }
        self.ticked_at = now;
        self.sent.tick(now);
    }

    /// Returns how many more requests of `rate` a second in all the instance at `own` may send to
    /// an endpoint now without asking anybody.
    pub fn remaining(
        &self,
        now: Time,
        own: SocketAddrV4,
        fleet: &FleetSize,
        endpoint: EndpointKey,
        rate: f64,
    ) -> u32 {
        if now.since(self.running_since) < SETTLING_TIME
            || now.since(self.ticked_at) >= PAUSE_THRESHOLD
        {
            return 0;
        }
        self.sent
            .remaining(now, endpoint, share(own, fleet, endpoint, rate))
    }

    /// Counts a request of this instance.
    pub fn record(&mut self, now: Time, endpoint: EndpointKey) {
        self.sent.record(now, endpoint);
    }
}

/// Returns how many requests a second an endpoint bears from all instances, if that is bounded.
pub fn rate_limit(
    now: Time,
    endpoint: EndpointKey,
    endpoints: &EndpointTable,
    cold: Option<&ColdLimits>,
    reported: &RateLimits,
) -> Option<f64> {
    let cold = cold.filter(|it| endpoints.is_cold(now, endpoint, it));
    let cold = cold.map(|it| it.per_second);
    match (cold, reported.of(endpoint)) {
        (Some(cold), Some(reported)) => Some(cold.min(reported)),
        (cold, reported) => cold.or(reported),
    }
}

/// Instances that there may be, for one that knows a part of the fleet only.
const ASSUMED_FLEET_SIZE: u64 = 128;

/// Returns how many of the other instances go before the one at `own` at an endpoint; a draw where
/// it may know a part of the fleet only.
pub fn rank(own: SocketAddrV4, fleet: &FleetSize, endpoint: EndpointKey) -> usize {
    let score = |it: SocketAddrV4| (rendezvous::score(endpoint.0, address_hash(it)), it);
    let mine = score(own);
    if fleet.settled().is_none() {
        return (mine.0 % ASSUMED_FLEET_SIZE) as usize;
    }
    fleet.others().filter(|it| score(*it) > mine).count()
}

/// Returns the part of `rate` requests a second of the instance at `own`. The parts of all
/// instances that know each other add up to it, or to the whole number below it.
fn share(own: SocketAddrV4, fleet: &FleetSize, endpoint: EndpointKey, rate: f64) -> f64 {
    // Who may know a part of the fleet only would take the parts of all others for its own.
    let Some(known) = fleet.settled() else {
        return 0.0;
    };
    let known = u32::try_from(known).unwrap_or(u32::MAX);
    let rank = u32::try_from(rank(own, fleet, endpoint)).unwrap_or(u32::MAX);
    if rate < 1.0 {
        return if rank == 0 { rate } else { 0.0 };
    }
    let total = rate as u32;
    f64::from(total / known + u32::from(rank < total % known))
}
