//! Rate limit for an instance's reads from the platform.
//!
//! The platform serves about 2,000 calls per second for all readers together. The sum of these
//! budgets stays far below that under any combination of failures: with 390 instances, 20 of them
//! watchers, it is 20 × 8 + 370 × 1 = 530 calls per second.

use crate::time::Time;
use core::time::Duration;

/// Reads per second of a watcher, which verifies full catalogues.
const WATCHER_READS_PER_SECOND: f64 = 8.0;
/// Reads per second of any other instance.
const OTHER_READS_PER_SECOND: f64 = 1.0;
/// Burst size, in seconds of reads.
const BURST_SECONDS: f64 = 2.0;

/// Minimum wait for the next read. A wait that rounds to zero would end before the bucket is
/// refilled, and the caller would retry in an endless loop.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// A token bucket for reads.
#[derive(Debug)]
pub struct ReadBudget {
    per_second: f64,
    /// Available reads as of `refilled`.
    tokens: f64,
    refilled: Time,
}

impl Default for ReadBudget {
    fn default() -> Self {
        ReadBudget {
            per_second: OTHER_READS_PER_SECOND,
            tokens: OTHER_READS_PER_SECOND * BURST_SECONDS,
            refilled: Time::ZERO,
        }
    }
}

impl ReadBudget {
    /// Sets the rate for a watcher or for any other instance.
    pub fn set_watcher(&mut self, now: Time, is_watcher: bool) {
        self.refill(now);
        self.per_second = match is_watcher {
            true => WATCHER_READS_PER_SECOND,
            false => OTHER_READS_PER_SECOND,
        };
    }

    /// Spends one read, or returns the wait until the next one is available.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = Duration::from_secs_f64((1.0 - self.tokens) / self.per_second);
        Err(wait.max(SHORTEST_WAIT))
    }

    fn refill(&mut self, now: Time) {
        let gained = now.since(self.refilled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.per_second * BURST_SECONDS);
        self.refilled = now;
    }
}
