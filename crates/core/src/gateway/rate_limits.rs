//! Rates that endpoints named for themselves: so many requests a second from all instances.
//!
//! An endpoint names its limit in each answer for as long as it needs it. Answers overtake each
//! other, so that one without a limit ends it only if its request was sent after the limit was
//! last named. Between instances the later word goes before the earlier one; each carries its age.
//!
//! `docs/design/limits-of-endpoints.md` does the arithmetic.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The least rate, in requests a second: an endpoint that gets nothing cannot say that its limit
/// is over.
const MIN_PER_SECOND: f64 = 0.1;

/// The largest rate. What an endpoint names beyond it is no limit in practice.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// How long the end of a limit is remembered, so that an earlier word that travels slowly does not
/// bring it back.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// How long an instance without a part of a limit hears nothing of it before it asks.
const PROBE_AFTER: Duration = Duration::from_secs(4);

/// The part of a limit that all such questions take, one instance after the other.
const PROBE_SHARE: f64 = 0.25;

/// What the head of an answer says about the endpoint's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ResponseLimit {
    /// It names none.
    #[default]
    None,
    /// Requests a second, zero or more.
    PerSecond(f64),
    /// It cannot be read: not a number, negative or infinite. What was said before holds.
    Unreadable,
}

/// What is known of an endpoint's limit, as it travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests in a thousand seconds; nothing if the limit is over.
    pub per_1000_s: Option<u32>,
    /// Milliseconds since the endpoint said so.
    pub age_ms: u32,
}

/// What a word changed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its limit until now.
    pub before: Option<f64>,
    /// Its limit from now on.
    pub after: Option<f64>,
}

/// The last word about an endpoint.
#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    per_second: Option<f64>,
    /// When the endpoint said so.
    reported_at: Time,
    /// Since when this instance holds to a limit.
    since: Time,
    /// When this instance last sent a request there.
    requested_at: Time,
}

/// All limits known.
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    limits: BTreeMap<EndpointKey, KnownLimit>,
}

impl RateLimits {
    /// Takes in what an answer to a request sent at `sent` says; returns what that changed.
    pub fn observe_limit(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        sent: Time,
        told: ResponseLimit,
    ) -> Option<LimitChange> {
        let per_second = match told {
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

    /// Takes in what a peer tells; returns what that changed.
    pub fn on_report(&mut self, now: Time, told: LimitReport) -> Option<LimitChange> {
        let age = Duration::from_millis(told.age_ms.into());
        let reported_at = now.before(age).unwrap_or(Time::ZERO);
        let is_older = |known: &KnownLimit| reported_at <= known.reported_at;
        if self.limits.get(&told.endpoint).is_some_and(is_older) {
            return None;
        }
        let per_second = told.per_1000_s.map(|it| f64::from(it) / 1_000.0);
        let per_second = per_second.map(|it| it.clamp(MIN_PER_SECOND, MAX_PER_SECOND));
        self.set(now, told.endpoint, per_second, reported_at)
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

    /// Returns the limit of an endpoint, in requests a second.
    pub fn of(&self, endpoint: EndpointKey) -> Option<f64> {
        self.limits.get(&endpoint)?.per_second
    }

    /// Returns since when this instance holds to a limit of an endpoint.
    pub fn since(&self, endpoint: EndpointKey) -> Option<Time> {
        let known = self.limits.get(&endpoint)?;
        known.per_second.is_some().then_some(known.since)
    }

    /// Returns whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.limits.values().all(|it| it.per_second.is_none())
    }

    /// Notes that a request is sent to an endpoint.
    pub fn on_request(&mut self, now: Time, endpoint: EndpointKey) {
        if let Some(known) = self.limits.get_mut(&endpoint) {
            known.requested_at = now;
        }
    }

    /// Returns whether an instance that has no part of an endpoint's limit may ask there whether
    /// it still holds, with `rank` others before it.
    ///
    /// Those that have a part hear each answer and tell when the limit is over. They may be gone,
    /// or cut off.
    pub fn may_probe(&self, now: Time, endpoint: EndpointKey, rank: usize) -> bool {
        let Some(known) = self.limits.get(&endpoint) else {
            return false;
        };
        known.per_second.is_some_and(|rate| {
            let turn = rank as f64 / (PROBE_SHARE * rate);
            let pause = PROBE_AFTER.as_secs_f64() + turn;
            now.since(known.reported_at.max(known.requested_at))
                .as_secs_f64()
                >= pause
        })
    }

    /// Returns what is told of an endpoint now.
    pub fn report(&self, now: Time, endpoint: EndpointKey) -> Option<LimitReport> {
        let known = self.limits.get(&endpoint)?;
        let age = now.since(known.reported_at).as_millis();
        Some(LimitReport {
            endpoint,
            per_1000_s: known.per_second.map(|it| (it * 1_000.0) as u32),
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Forgets limits of endpoints that are not there any more, and ends that are long ago.
    pub fn tick(&mut self, now: Time, exists: impl Fn(EndpointKey) -> bool) {
        self.limits.retain(|key, known| {
            exists(*key)
                && (known.per_second.is_some() || now.since(known.reported_at) < ENDED_RETENTION)
        });
    }
}
