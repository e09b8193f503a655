//! How many calls at once a plain service takes well, learned from latency.
//!
//! While latency stays near the best that was seen, the limit grows; when it
//! rises, calls queue inside the service and the limit shrinks by the ratio
//! (a gradient limit). A failure or a refusal shrinks it at once.

use core::time::Duration;

/// Calls at once before anything is known.
const START: f64 = 4.0;
/// Calls at once below which a service counts as lightly loaded; the gradient
/// brings the limit down to [`START`] at most.
const LIGHT: f64 = 5.0;
/// Share of the latest latency at which the usual one counts as learned anew.
const RELEARNED: f64 = 0.9;
/// The fewest calls at once.
const LEAST: f64 = 1.0;
/// The most calls at once that are ever learned.
const MOST: f64 = 512.0;
/// Latency above the usual that is still taken as noise; a factor.
const TOLERANCE: f64 = 1.5;
/// Weight of one call in the short average of latency.
const SHORT_GAIN: f64 = 0.2;
/// Weight of one call in the long average of latency.
const LONG_GAIN: f64 = 0.005;
/// Weight of one call in the limit.
const LIMIT_GAIN: f64 = 0.1;
/// The strongest shrinking that latency causes; a factor.
const LEAST_GRADIENT: f64 = 0.5;
/// Shrinking by a failure or refusal; a factor.
const FAILURE_FACTOR: f64 = 0.8;
/// Share of the limit that must be in use for it to grow.
const USED_SHARE: f64 = 0.5;

/// A learned limit of calls at once.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    short: f64,
    long: f64,
    /// The usual latency is being learned anew.
    is_relearning: bool,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit {
            limit: START,
            short: 0.0,
            long: 0.0,
            is_relearning: false,
        }
    }
}

impl ConcurrencyLimit {
    /// Takes in a call that took `latency` while `running` calls ran, itself included.
    pub fn completed(&mut self, latency: Duration, running: u32) {
        let latency = latency.as_secs_f64();
        if self.long == 0.0 {
            self.short = latency;
            self.long = latency;
        }
        self.short += SHORT_GAIN * (latency - self.short);
        let is_used = f64::from(running) >= USED_SHARE * self.limit;
        // Under load the usual latency is learned downwards only: were the
        // latency of a queue learned as usual, the limit would rise with it
        // without end. Once that has brought the limit down to the least, the
        // service may have become slower for good, and the usual is learned anew.
        self.is_relearning |= self.limit < LIGHT;
        if !is_used || self.is_relearning {
            self.long += LONG_GAIN * (latency - self.long);
        }
        self.is_relearning &= self.long < RELEARNED * self.short;
        self.long = self.long.min(self.short);
        let gradient = (TOLERANCE * self.long / self.short).clamp(LEAST_GRADIENT, 1.0);
        if gradient == 1.0 && !is_used {
            return;
        }
        let wanted = self.limit * gradient + self.limit.sqrt();
        self.limit += LIMIT_GAIN * (wanted - self.limit);
        self.limit = self.limit.clamp(LEAST, MOST);
    }

    /// Takes in a call that failed or was refused.
    pub fn failed(&mut self) {
        self.limit = (self.limit * FAILURE_FACTOR).max(LEAST);
    }

    /// Returns how many calls may run at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }
}
