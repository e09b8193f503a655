//! The core's time type.
//!
//! The core never reads a clock. The shell passes in the time of a monotonic clock with an
//! arbitrary origin, in microseconds; simulations pass in virtual time.

use core::fmt;
use core::ops::{Add, AddAssign, Sub};
use core::time::Duration;

/// A time of the local monotonic clock, in microseconds since an arbitrary origin.
///
/// Times of two processes are not comparable, so messages between instances carry durations only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(u64);

impl Time {
    /// The origin of the clock.
    pub const ZERO: Time = Time(0);
    /// A time that is never reached, for timers that are not set.
    pub const NEVER: Time = Time(u64::MAX);

    /// Returns the time `micros` microseconds after the origin.
    pub const fn from_micros(micros: u64) -> Self {
        Time(micros)
    }

    /// Returns the time `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Time(millis * 1_000)
    }

    /// Returns the time `secs` seconds after the origin.
    pub const fn from_secs(secs: u64) -> Self {
        Time(secs * 1_000_000)
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the origin, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the seconds since the origin.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns the time `d` before this one, or `None` if that is before the origin.
    pub fn before(self, d: Duration) -> Option<Time> {
        let micros = u64::try_from(d.as_micros()).ok()?;
        self.0.checked_sub(micros).map(Time)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;
    fn add(self, d: Duration) -> Time {
        Time(
            self.0
                .saturating_add(u64::try_from(d.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, d: Duration) {
        *self = *self + d;
    }
}

impl Sub<Time> for Time {
    type Output = Duration;
    fn sub(self, earlier: Time) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
