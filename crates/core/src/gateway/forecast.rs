//! When queued requests will get room at engines.
//!
//! A home measures the rate at which room becomes available to its queue: what it grants, plus the
//! change of the room that is left. Engines that return add to it, and copies of generations whose
//! engine leaves reduce it. Divided by this rate, the room that all requests up to one in queue
//! order need is the time until that one gets its own.

use super::headroom::PREFILL_DURATION;
use super::request::QueuedRequest;
use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// Time constant of the moving average of the rate. Generations take seconds; over a longer time,
/// the average would not follow engines that leave and return.
const AVERAGED_OVER: Duration = Duration::from_secs(3);

/// Observation without which nothing is rejected: over a shorter time, the rate is that of a few
/// generations that happened to end.
const MIN_OBSERVATION: Duration = Duration::from_millis(1_000);

/// Longest interval between two observations. After a longer one, the observation starts anew.
const MAX_GAP: Duration = Duration::from_millis(500);

/// How long a promised place counts as taken. A caller that returns does so after the promised time
/// and its spread.
const PROMISE_TTL: Duration = Duration::from_millis(1_000);

/// Upper bound of promises that are counted; the oldest are dropped.
const MAX_PROMISES: usize = 512;

/// Rates below this count as none, in tokens per second: one small answer in ten seconds.
const NEGLIGIBLE_RATE: f64 = 100.0;

/// Latest promised time. A later one is not predictable from the last seconds.
const MAX_PREDICTION: Duration = Duration::from_secs(60);

/// The forecast of a home for one service.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    /// When the current observation started, when it was last continued, and the room left then.
    observed: Option<(Time, Time, f64)>,
    /// Tokens granted since the last observation.
    granted: f64,
    /// Tokens per second that become available.
    rate: f64,
    /// When rejected callers may return, and the tokens that they need then, by time.
    promised: VecDeque<Promise>,
    /// When each queued request was first predicted to get room.
    expected: BTreeMap<RequestKey, Time>,
    /// Differences between predicted and observed times that were not taken yet.
    errors: Vec<Duration>,
}

/// Identifies a request: its instance, and its id there.
type RequestKey = (SocketAddrV4, u64);

/// A place that a rejected caller was promised.
#[derive(Clone, Copy, Debug)]
struct Promise {
    at: Time,
    tokens: u32,
    request: RequestKey,
}

/// What was predicted for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prediction {
    /// The time until the request gets room.
    pub wait: Duration,
    /// Tokens that requests before it and promised ones need until then, and its own.
    pub ahead: u64,
    /// Tokens per second that become available.
    pub rate: u64,
}

impl Forecast {
    /// Observes the room that is left at all engines, in tokens, before anything is granted.
    pub fn observe(&mut self, now: Time, room: f64) {
        let granted = core::mem::take(&mut self.granted);
        self.promised
            .retain(|promise| now.since(promise.at) < PROMISE_TTL);
        let Some((since, last, room_before)) = self.observed else {
            self.observed = Some((now, now, room));
            return;
        };
        let elapsed = now.since(last);
        if elapsed > MAX_GAP {
            self.observed = Some((now, now, room));
            self.rate = 0.0;
            return;
        }
        if elapsed.is_zero() {
            self.granted = granted;
            return;
        }
        let seconds = elapsed.as_secs_f64();
        let freed = granted + room - room_before;
        // The first observations are averaged evenly, so that none of them dominates.
        let even = seconds / now.since(since).as_secs_f64();
        let weight = even.max(1.0 - (-seconds / AVERAGED_OVER.as_secs_f64()).exp());
        self.rate += weight * (freed / seconds - self.rate);
        self.observed = Some((since, now, room));
    }

    /// Returns whether the rate is based on enough observation.
    pub fn is_reliable(&self) -> bool {
        self.observed
            .is_some_and(|(since, last, _)| last.since(since) >= MIN_OBSERVATION)
    }

    /// Returns the tokens per second that become available.
    pub fn rate(&self) -> f64 {
        self.rate.max(0.0)
    }

    /// Returns how many promised places count as taken.
    pub fn promised(&self) -> usize {
        self.promised.len()
    }

    /// Predicts when each of `waiting`, in queue order, gets room.
    pub fn predict<'a>(
        &self,
        now: Time,
        waiting: impl Iterator<Item = &'a QueuedRequest>,
    ) -> Vec<Prediction> {
        let rate = self.rate();
        let mut queued = 0.0;
        let mut predicted = Vec::new();
        for request in waiting {
            queued += f64::from(request.tokens);
            let mut ahead = queued;
            let mut wait = time_for(ahead, rate);
            for promise in &self.promised {
                if promise.at > now + wait {
                    break;
                }
                ahead += f64::from(promise.tokens);
                wait = time_for(ahead, rate);
            }
            predicted.push(Prediction {
                wait,
                ahead: ahead as u64,
                rate: rate as u64,
            });
        }
        predicted
    }

    /// Counts a place that the caller of a rejected request was promised at `at` as taken. An
    /// instance repeats its report until it is answered, so a request may be rejected twice.
    pub fn promise(&mut self, at: Time, tokens: u32, request: (SocketAddrV4, u64)) {
        self.promised.retain(|promise| promise.request != request);
        if self.promised.len() >= MAX_PROMISES {
            self.promised.pop_front();
        }
        let later = self.promised.partition_point(|other| other.at <= at);
        let promise = Promise {
            at,
            tokens,
            request,
        };
        self.promised.insert(later, promise);
    }

    /// Replaces the requests that wait by `queued`, with the time at which each is predicted to get
    /// room; the first prediction of a request is kept.
    pub fn expect(&mut self, queued: impl Iterator<Item = ((SocketAddrV4, u64), Time)>) {
        let before = core::mem::take(&mut self.expected);
        self.expected = queued
            .map(|(request, at)| (request, before.get(&request).copied().unwrap_or(at)))
            .collect();
    }

    /// Records that a request has room; its prediction, if there was one, is compared.
    pub fn on_placed(&mut self, now: Time, request: (SocketAddrV4, u64), tokens: u32) {
        self.granted += f64::from(tokens);
        let predicted = self.expected.remove(&request);
        if let Some(at) = predicted.filter(|_| self.errors.len() < MAX_PROMISES) {
            self.errors.push(now.since(at).max(at.since(now)));
        }
    }

    /// Takes the differences between predicted and observed times since the last call.
    pub fn take_errors(&mut self) -> Vec<Duration> {
        core::mem::take(&mut self.errors)
    }
}

impl Prediction {
    /// Returns whether the request gets its first event within its latency target.
    pub fn is_in_time(&self, now: Time, request: &QueuedRequest) -> bool {
        now + self.wait + PREFILL_DURATION <= request.arrived + request.target
    }

    /// Returns whether the request gets room before its caller gives up.
    pub fn is_before_deadline(&self, now: Time, request: &QueuedRequest) -> bool {
        now + self.wait < request.deadline
    }
}

fn time_for(tokens: f64, rate: f64) -> Duration {
    if rate < NEGLIGIBLE_RATE {
        return MAX_PREDICTION;
    }
    Duration::try_from_secs_f64(tokens / rate).map_or(MAX_PREDICTION, |it| it.min(MAX_PREDICTION))
}
