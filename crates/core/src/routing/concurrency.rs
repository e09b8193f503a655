//! How many calls at once a plain service takes well, learned from latency.
//!
//! While latency stays near the best that was seen, the limit grows; when it
//! rises, calls queue inside the service and the limit shrinks by the ratio
//! (a gradient limit). A failure or a refusal shrinks it at once.

use core::time::Duration;

/// Calls at once before anything is known.
const INITIAL_LIMIT: f64 = 4.0;
/// Calls at once below which a service counts as lightly loaded; the gradient
/// brings the limit down to [`START`] at most.
const RELEARN_BELOW: f64 = 5.0;
/// Share of the latest latency at which the usual one counts as learned anew.
const RELEARNED_RATIO: f64 = 0.9;
/// The fewest calls at once.
const MIN_LIMIT: f64 = 1.0;
/// The most calls at once that are ever learned.
const MAX_LIMIT: f64 = 512.0;
/// Latency above the usual that is still taken as noise; a factor.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Weight of one call in the short average of latency.
const SHORT_GAIN: f64 = 0.2;
/// Weight of one call in the long average of latency.
const LONG_GAIN: f64 = 0.005;
/// Weight of one call in the limit.
const LIMIT_GAIN: f64 = 0.1;
/// The strongest shrinking that latency causes; a factor.
const MIN_GRADIENT: f64 = 0.5;
/// Shrinking by a failure or refusal; a factor.
const FAILURE_FACTOR: f64 = 0.8;
/// Share of the limit that must be in use for it to grow.
const MIN_USED_FRACTION: f64 = 0.5;

/// A learned limit of calls at once.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    recent_latency: f64,
    baseline_latency: f64,
    /// The usual latency is being learned anew.
    is_relearning: bool,
}

impl Default for ConcurrencyLimit {
    fn default() -> Self {
        ConcurrencyLimit {
            limit: INITIAL_LIMIT,
            recent_latency: 0.0,
            baseline_latency: 0.0,
            is_relearning: false,
        }
    }
}

impl ConcurrencyLimit {
    /// Takes in a call that took `latency` while `running` calls ran, itself included.
    pub fn completed(&mut self, latency: Duration, running: u32) {
        let latency = latency.as_secs_f64();
        if self.baseline_latency == 0.0 {
            self.recent_latency = latency;
            self.baseline_latency = latency;
        }
        self.recent_latency += SHORT_GAIN * (latency - self.recent_latency);
        let is_used = f64::from(running) >= MIN_USED_FRACTION * self.limit;
        // Under load the usual latency is learned downwards only: were the
        // latency of a queue learned as usual, the limit would rise with it
        // without end. Once that has brought the limit down to the least, the
        // service may have become slower for good, and the usual is learned anew.
        self.is_relearning |= self.limit < RELEARN_BELOW;
        if !is_used || self.is_relearning {
            self.baseline_latency += LONG_GAIN * (latency - self.baseline_latency);
        }
        self.is_relearning &= self.baseline_latency < RELEARNED_RATIO * self.recent_latency;
        self.baseline_latency = self.baseline_latency.min(self.recent_latency);
        let gradient = (LATENCY_TOLERANCE * self.baseline_latency / self.recent_latency)
            .clamp(MIN_GRADIENT, 1.0);
        if gradient == 1.0 && !is_used {
            return;
        }
        let wanted = self.limit * gradient + self.limit.sqrt();
        self.limit += LIMIT_GAIN * (wanted - self.limit);
        self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Takes in a call that failed or was refused.
    pub fn failed(&mut self) {
        self.limit = (self.limit * FAILURE_FACTOR).max(MIN_LIMIT);
    }

    /// Returns how many calls may run at once.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }
}
