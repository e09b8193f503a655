//! How many reads of the platform a node allows itself.
//!
//! The platform answers about two thousand calls a second for all readers
//! together. Whatever goes wrong at once, the sum of these budgets stays far
//! below: at 390 nodes, 20 of them watchers, 20 × 8 + 370 × 1 = 530 a second.

use crate::time::Time;
use core::time::Duration;

/// Reads a second of a watcher, which verifies whole catalogues.
const WATCHER_READS_PER_SECOND: f64 = 8.0;
/// Reads a second of any other node.
const OTHER_READS_PER_SECOND: f64 = 1.0;
/// Seconds of reads that may be saved up.
const BURST_SECONDS: f64 = 2.0;

/// The shortest wait for the next read. A wait that rounds to no time at all
/// would be over before the bucket gains anything, and be asked for again for ever.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);

/// A token bucket for reads.
#[derive(Debug)]
pub struct ReadBudget {
    per_second: f64,
    /// Reads that are allowed now, at `refilled`.
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
    /// Sets the rate of a watcher, or of any other node.
    pub fn set_watcher(&mut self, now: Time, is_watcher: bool) {
        self.refill(now);
        self.per_second = match is_watcher {
            true => WATCHER_READS_PER_SECOND,
            false => OTHER_READS_PER_SECOND,
        };
    }

    /// Takes one read, or returns how long to wait for the next.
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
