//! Rate limits of cold endpoints, which have just started or were returned to service, and of
//! endpoints that reported a limit ([`rate_limits`](super::rate_limits)). If both apply, the lower
//! one holds.
//!
//! A cold endpoint crashes if it gets more requests than its service states, whoever sent them. The
//! limit therefore holds for the sum over all instances, also during a network partition. Each
//! instance derives its share from the instances that it knows, including recently lost ones:
//!
//! * Requests to a plain service are divided among all known instances by rendezvous hashing,
//!   without messages. Of a rate below one request per second, the first in rank gets everything.
//! * Generations are granted by the home of their service, within its share of the limit
//!   ([`HOME_SHARE`]) times the fraction of all known instances that are alive to it. Homes on both
//!   sides of a partition see disjoint fractions.
//!
//! The limit is the rate itself. The overshoot that the operator tolerates is left for requests
//! that were delayed on their way, and for instances that do not know each other yet.
//!
//! See `docs/design/shifted-work.md` for the alternatives and the arithmetic.

use super::endpoints::EndpointTable;
use super::fleet_size::FleetSize;
use super::rate_limits::RateLimits;
use crate::ids::{EndpointKey, address_hash};
use crate::rendezvous;
use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// Share of the limit that a home may grant. The home of a service and the next in rank may both
/// receive requests while one of them is unreachable for some instances.
pub const HOME_SHARE: f64 = 0.375;

/// Share of an engine's limit that all instances together may use without a home, for generations
/// that resume there.
pub const LOCAL_SHARE: f64 = 0.25;

/// The window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Upper bound of the window, for rates far below one request per second.
const MAX_WINDOW: Duration = Duration::from_secs(60);

/// How long an instance that has just started or was paused sends nothing without a home: the
/// others do not count it yet when they compute their shares.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// If the time between two ticks is longer than this, the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_000);

/// How much longer than usual endpoints of a reopened data centre count as cold, unless they report
/// otherwise. The cordon's removal and the endpoints' own reports arrive independently.
const UNCORDON_MARGIN: Duration = Duration::from_millis(1_000);

/// The limits of a service's endpoints while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimits {
    /// Requests per second at one endpoint, above zero.
    pub per_second: f64,
    /// How long an endpoint is cold after its start.
    pub duration: Duration,
}

impl ColdLimits {
    /// Returns how long endpoints of a reopened data centre count as cold.
    pub fn after_uncordon(&self) -> Duration {
        self.duration + UNCORDON_MARGIN
    }
}

/// Requests to rate-limited endpoints, counted in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindowCounter {
    sent: BTreeMap<EndpointKey, VecDeque<Time>>,
}

impl SlidingWindowCounter {
    /// Returns how many more requests may be sent now at `rate` requests per second. For rates
    /// below one per second the window is long enough for one request.
    pub fn remaining(&self, now: Time, endpoint: EndpointKey, rate: f64) -> u32 {
        if rate <= 0.0 {
            return 0;
        }
        let seconds = (1.0 / rate).clamp(WINDOW.as_secs_f64(), MAX_WINDOW.as_secs_f64());
        let window = Duration::from_secs_f64(seconds);
        // The tolerance compensates for floating-point error just below an integer.
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

    /// Drops requests that are older than the longest window.
    pub fn tick(&mut self, now: Time) {
        for sent in self.sent.values_mut() {
            while sent.front().is_some_and(|at| now.since(*at) >= MAX_WINDOW) {
                sent.pop_front();
            }
        }
        self.sent.retain(|_, it| !it.is_empty());
    }
}

/// The share of this instance in the rate of rate-limited endpoints, and the requests it sent to
/// them.
#[derive(Clone, Debug)]
pub struct RateShares {
    ticked_at: Time,
    /// When this instance last started or resumed after a pause.
    running_since: Time,
    sent: SlidingWindowCounter,
}

impl RateShares {
    /// Returns the shares of an instance that starts now.
    pub fn new(now: Time) -> Self {
        RateShares {
            ticked_at: now,
            running_since: now,
            sent: SlidingWindowCounter::default(),
        }
    }

    /// Detects pauses and drops old requests; call it regularly.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.ticked_at) >= PAUSE_THRESHOLD {
            self.running_since = now;
        }
        self.ticked_at = now;
        self.sent.tick(now);
    }

    /// Returns whether this instance started or resumed so recently that others may not count it yet
    /// when they compute their shares.
    pub fn is_settling(&self, now: Time) -> bool {
        now.since(self.running_since) < SETTLING_TIME
            || now.since(self.ticked_at) >= PAUSE_THRESHOLD
    }

    /// Returns how many more requests the instance at `own` may send to an endpoint now without a
    /// home, if all instances together may send `rate` requests per second.
    pub fn remaining(
        &self,
        now: Time,
        own: SocketAddrV4,
        fleet: &FleetSize,
        endpoint: EndpointKey,
        rate: f64,
    ) -> u32 {
        if self.is_settling(now) {
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

/// Returns the limit of an endpoint in requests per second over all instances, or `None` if there
/// is none: the lower of its cold limit and the limit that it reported.
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

/// Assumed fleet size while an instance may know only part of the fleet.
const ASSUMED_FLEET_SIZE: u64 = 128;

/// Returns how many of the other instances precede the one at `own` in the ranking for an endpoint.
/// While the instance may know only part of the fleet, the rank is pseudo-random.
pub fn rank(own: SocketAddrV4, fleet: &FleetSize, endpoint: EndpointKey) -> usize {
    let score = |it: SocketAddrV4| (rendezvous::score(endpoint.0, address_hash(it)), it);
    let mine = score(own);
    if fleet.settled().is_none() {
        return (mine.0 % ASSUMED_FLEET_SIZE) as usize;
    }
    fleet.others().filter(|it| score(*it) > mine).count()
}

/// Returns the share of the instance at `own` in `rate` requests per second. The shares of all
/// instances that know each other add up to `rate`, or to the integer below it.
fn share(own: SocketAddrV4, fleet: &FleetSize, endpoint: EndpointKey, rate: f64) -> f64 {
    // An instance that knows only part of the fleet would take the shares of the others as well.
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
