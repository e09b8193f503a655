//! A token bucket that may be overdrawn.

use crate::time::Time;
use core::time::Duration;

/// Seconds of its rate that a full bucket holds. In any minute at most
/// 70 / 60 of the rate leave it, plus what is overdrawn.
const BURST_SECONDS: u64 = 10;

const SECONDS_A_MINUTE: u64 = 60;

/// Tokens that come at an even rate and wait up to a bound.
///
/// How much a request will take is not known when it starts, so that it may
/// overdraw the bucket; whoever comes next waits until that is made up for.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    per_minute: u64,
    /// Tokens; negative when overdrawn.
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

    /// Changes the rate; what waits is kept up to the new bound.
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

    /// Takes up to `wanted` tokens; returns how many.
    pub fn take_up_to(&mut self, now: Time, wanted: u64) -> u64 {
        self.refill(now);
        let there = self.level.max(0.0) as u64;
        let taken = wanted.min(there);
        self.level -= taken as f64;
        taken
    }

    /// Takes `tokens` whether or not they are there, for they are spent already.
    pub fn overdraw(&mut self, now: Time, tokens: u64) {
        self.refill(now);
        self.level -= tokens as f64;
    }

    /// Puts tokens back that were taken and not used.
    pub fn put_back(&mut self, now: Time, tokens: u64) {
        self.refill(now);
        self.level = (self.level + tokens as f64).min(self.capacity());
    }

    /// Returns whether at least one token is there.
    pub fn has_tokens(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level >= 1.0
    }

    /// Returns how long it takes until at least `tokens` are there.
    pub fn time_until(&mut self, now: Time, tokens: u64) -> Duration {
        self.refill(now);
        let missing = tokens as f64 - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let rate = self.per_second().max(1e-6);
        Duration::from_secs_f64((missing / rate).min(3600.0))
    }

    /// Returns whether the bucket is as full as it gets.
    pub fn is_full(&mut self, now: Time) -> bool {
        self.refill(now);
        self.level >= self.capacity()
    }
}
