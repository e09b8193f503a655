//! A concurrency limit for plain services, learned from latency.
//!
//! While latency stays near the best observed, the limit grows. When latency rises, calls queue
//! inside the service and the limit shrinks by the ratio (a gradient limit). A failure or a refusal
//! shrinks it at once.

use core::time::Duration;

/// Initial concurrency limit.
const INITIAL_LIMIT: f64 = 4.0;
/// Limit below which the service is lightly loaded and its baseline latency is learned again. The
/// gradient does not bring the limit below [`INITIAL_LIMIT`].
const RELEARN_BELOW: f64 = 5.0;
/// Ratio of the baseline to the recent latency at which the baseline counts as learned.
const RELEARNED_RATIO: f64 = 0.9;
/// Minimum concurrency limit.
const MIN_LIMIT: f64 = 1.0;
/// Maximum concurrency limit.
const MAX_LIMIT: f64 = 512.0;
/// Ratio of recent to baseline latency that is still treated as noise.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Weight of one call in the recent latency.
const SHORT_GAIN: f64 = 0.2;
/// Weight of one call in the baseline latency.
const LONG_GAIN: f64 = 0.005;
/// Weight of one call in the limit.
const LIMIT_GAIN: f64 = 0.1;
/// The smallest factor by which latency shrinks the limit.
const MIN_GRADIENT: f64 = 0.5;
/// Factor by which a failure or refusal shrinks the limit.
const FAILURE_FACTOR: f64 = 0.8;
/// Fraction of the limit that must be in use for it to grow.
const MIN_USED_FRACTION: f64 = 0.5;

/// A learned concurrency limit.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    limit: f64,
    recent_latency: f64,
    baseline_latency: f64,
    /// Whether the baseline latency is being learned again.
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
    /// Records a call that took `latency` while `running` calls ran, including itself.
    pub fn completed(&mut self, latency: Duration, running: u32) {
        let latency = latency.as_secs_f64();
        if self.baseline_latency == 0.0 {
            self.recent_latency = latency;
            self.baseline_latency = latency;
        }
        self.recent_latency += SHORT_GAIN * (latency - self.recent_latency);
        let is_used = f64::from(running) >= MIN_USED_FRACTION * self.limit;
        // Under load the baseline only falls. If queueing latency became the baseline, the limit
        // would grow without bound. Once this has brought the limit below [`RELEARN_BELOW`], the
        // service may have become slower for good, and the baseline is learned again.
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

    /// Records a call that failed or was refused.
    pub fn failed(&mut self) {
        self.limit = (self.limit * FAILURE_FACTOR).max(MIN_LIMIT);
    }

    /// Returns the current limit of concurrent calls.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }
}
