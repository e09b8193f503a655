//! A token bucket that may be overdrawn.

use crate::time::Time;
use core::time::Duration;

/// Capacity of a full bucket in seconds of its rate. In any minute, at most 70 / 60 of the rate can
/// be taken, plus what is overdrawn.
const BURST_SECONDS: u64 = 10;

const SECONDS_A_MINUTE: u64 = 60;

/// A token bucket with a constant fill rate and a bounded capacity.
///
/// The cost of a request is not known when it starts, so a request may overdraw the bucket. Later
/// requests wait until the level is positive again.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    per_minute: u64,
    /// Available tokens; negative when overdrawn.
    level: f64,
    filled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Time, per_minute: u64) -> Self {
        let mut bucket = TokenBucket {
            per_minute,
            level: 0.0,
            filled_at: now,
        };
        bucket.level = bucket.capacity();
        bucket
    }

    fn per_second(&self) -> f64 {
        self.per_minute as f64 / SECONDS_A_MINUTE as f64
    }

    fn capacity(&self) -> f64 {
        self.per_second() * BURST_SECONDS as f64
    }

    /// Changes the rate. Available tokens are kept up to the new capacity.
    pub fn set_rate(&mut self, now: Time, per_minute: u64) {
        self.refill(now);
        self.per_minute = per_minute;
        self.level = self.level.min(self.capacity());
    }

    fn refill(&mut self, now: Time) {
        let time = now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + time * self.per_second()).min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }

    /// Takes up to `wanted` tokens and returns how many were taken.
    pub fn take_up_to(&mut self, now: Time, wanted: u64) -> u64 {
        self.refill(now);
        let there = self.level.max(0.0) as u64;
        let taken = wanted.min(there);
        self.level -= taken as f64;
        taken
    }

    /// Takes `tokens` that are already spent, even if the level becomes negative.
    pub fn overdraw(&mut self, now: Time, tokens: u64) {
        self.refill(now);
        self.level -= tokens as f64;
    }

    /// Returns unused tokens to the bucket.
    pub fn put_back(&mut self, now: Time, tokens: u64) {
        self.refill(now);
        self.level = (self.level + tokens as f64).min(self.capacity());
    }

    /// Returns whether at least one token is available.
    pub fn has_tokens(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level >= 1.0
    }

    /// Returns the time until at least `tokens` are available.
    pub fn time_until(&mut self, now: Time, tokens: u64) -> Duration {
        self.refill(now);
        let missing = tokens as f64 - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let rate = self.per_second().max(1e-6);
        Duration::from_secs_f64((missing / rate).min(3600.0))
    }

    /// Returns whether the bucket is at capacity.
    pub fn is_full(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level >= self.capacity()
    }
}
