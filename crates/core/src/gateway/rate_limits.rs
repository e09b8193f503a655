//! Rate limits that endpoints report for themselves, in requests per second over all instances.
//!
//! An endpoint includes its limit in each response for as long as it needs it. Responses may be
//! reordered, so a response without a limit ends the limit only if its request was sent after the
//! limit was last reported. Between instances the newer report wins; each report carries its age.
//!
//! See `docs/design/limits-of-endpoints.md` for the arithmetic.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lower bound of a limit, in requests per second. An endpoint that gets no requests could not
/// report the end of its limit.
const MIN_PER_SECOND: f64 = 0.1;

/// Upper bound of a limit, in requests per second. Higher limits have no effect in practice.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// How long the end of a limit is remembered, so that a delayed older report does not restore it.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// How long an instance without a share of a limit receives no report of it before it probes the
/// endpoint.
const PROBE_AFTER: Duration = Duration::from_secs(4);

/// Share of a limit that the probes of all such instances together use; they probe one after the
/// other.
const PROBE_SHARE: f64 = 0.25;

/// The rate limit in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ResponseLimit {
    /// The response has no limit.
    #[default]
    None,
    /// Requests per second, zero or more.
    PerSecond(f64),
    /// The value is invalid: not a number, negative or infinite. The previous limit stays in force.
    Unreadable,
}

/// The limit of an endpoint as sent between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests in 1,000 seconds; `None` if the limit has ended.
    pub per_1000_s: Option<u32>,
    /// Milliseconds since the endpoint reported it.
    pub age_ms: u32,
}

/// A change of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The previous limit.
    pub before: Option<f64>,
    /// The new limit.
    pub after: Option<f64>,
}

/// The last report about an endpoint.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    per_second: Option<f64>,
    /// When the endpoint reported it.
    reported_at: Time,
    /// Since when this instance has enforced a limit without interruption.
    since: Time,
    /// When this instance last sent a request to the endpoint.
    requested_at: Time,
}

/// The rate limits of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<EndpointKey, KnownLimit>,
}

impl RateLimits {
    /// Applies the limit in the response to a request that was sent at `sent`; returns the change.
    pub fn observe_limit(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        sent: Time,
        limit: ResponseLimit,
    ) -> Option<LimitChange> {
        let per_second = match limit {
            ResponseLimit::Unreadable => return None,
            ResponseLimit::PerSecond(rate) => Some(rate.clamp(MIN_PER_SECOND, MAX_PER_SECOND)),
            ResponseLimit::None => {
                let known = self.limits.get(&endpoint)?;
                let was_sent_before = sent <= known.reported_at;
                if known.per_second.is_none() || was_sent_before {
                    return None;
                }
                None
            }
        };
        self.set(now, endpoint, per_second, now)
    }

    /// Applies the report of a peer; returns the change.
    pub fn on_report(&mut self, now: Time, report: LimitReport) -> Option<LimitChange> {
        let age = Duration::from_millis(report.age_ms.into());
        let reported_at = now.before(age).unwrap_or(Time::ZERO);
        let is_older = |known: &KnownLimit| reported_at <= known.reported_at;
        if self.limits.get(&report.endpoint).is_some_and(is_older) {
            return None;
        }
        let per_second = report.per_1000_s.map(|it| f64::from(it) / 1_000.0);
        let per_second = per_second.map(|it| it.clamp(MIN_PER_SECOND, MAX_PER_SECOND));
        self.set(now, report.endpoint, per_second, reported_at)
    }

    fn set(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        per_second: Option<f64>,
        reported_at: Time,
    ) -> Option<LimitChange> {
        let before = self.limits.get(&endpoint).copied();
        let limit_before = before.and_then(|it| it.per_second);
        let since = match before {
            Some(known) if known.per_second.is_some() => known.since,
            _ => now,
        };
        let known = KnownLimit {
            per_second,
            reported_at,
            since,
            requested_at: before.map_or(Time::ZERO, |it| it.requested_at),
        };
        self.limits.insert(endpoint, known);
        (limit_before != per_second).then_some(LimitChange {
            endpoint,
            before: limit_before,
            after: per_second,
        })
    }

    /// Returns the limit of an endpoint, in requests per second.
    pub fn of(&self, endpoint: EndpointKey) -> Option<f64> {
        self.limits.get(&endpoint)?.per_second
    }

    /// Returns since when this instance has enforced a limit of an endpoint.
    pub fn since(&self, endpoint: EndpointKey) -> Option<Time> {
        let known = self.limits.get(&endpoint)?;
        known.per_second.is_some().then_some(known.since)
    }

    /// Returns whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.values().all(|it| it.per_second.is_none())
    }

    /// Records that a request is sent to an endpoint.
    pub fn on_request(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(known) = self.limits.get_mut(&endpoint) {
            known.requested_at = now;
        }
    }

    /// Returns whether an instance without a share of an endpoint's limit may send a request there
    /// to probe whether the limit still holds. `rank` other instances probe before it.
    ///
    /// Instances with a share see every response and report the end of the limit, but they may have
    /// stopped or be on the other side of a partition.
    pub fn may_probe(&self, now: Time, endpoint: EndpointKey, rank: usize) -> bool {
        let Some(known) = self.limits.get(&endpoint) else {
            return false;
        };
        known.per_second.is_some_and(|rate| {
            let offset = rank as f64 / (PROBE_SHARE * rate);
            let delay = PROBE_AFTER.as_secs_f64() + offset;
            now.since(known.reported_at.max(known.requested_at))
                .as_secs_f64()
                >= delay
        })
    }

    /// Returns the report about an endpoint that is sent to peers.
    pub fn report(&self, now: Time, endpoint: EndpointKey) -> Option<LimitReport> {
        let known = self.limits.get(&endpoint)?;
        let age = now.since(known.reported_at).as_millis();
        Some(LimitReport {
            endpoint,
            per_1000_s: known.per_second.map(|it| (it * 1_000.0) as u32),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Drops limits of endpoints that no longer exist, and ended limits that are old enough.
    pub fn tick(&mut self, now: Time, exists: impl Fn(EndpointKey) -> bool) {
        self.limits.retain(|key, known| {
            exists(*key)
                && (known.per_second.is_some() || now.since(known.reported_at) < ENDED_RETENTION)
        });
    }
}
