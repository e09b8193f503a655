//! When to read and watch the store.
//!
//! One read of everything, then one watch after the other from where the last
//! one ended. A call that fails is followed by a pause that grows, with jitter,
//! so that a store that comes back is not met by all instances at once.

use crate::time::Time;
use core::time::Duration;

/// How long the store may hold a watch. A connection may fall silent for good
/// without a reset; this bounds how long an instance can be blind because of it.
pub const WATCH_WAIT: Duration = Duration::from_millis(700);

/// Instances that watch the store for all. Calls are paid for and limited, and do
/// not become fewer when the fleet grows; two, so that one may fail unnoticed.
pub const WATCHERS: usize = 2;

/// A reader to which the store has answered nothing for so long counts as cut off.
/// A watch is answered after [`WATCH_WAIT`] at the latest, and others hear of it within
/// [`BEACON_INTERVAL`](super::beacons::BEACON_INTERVAL); what is left of the two seconds
/// within which changes must be in force suffices to read in its place.
pub const WATCHER_TIMEOUT: Duration = Duration::from_millis(1_350);

/// How long after a watch that told something the next one begins. The endpoints of a
/// large fleet write a heartbeat every few milliseconds, and a watch that is begun at once
/// is answered at once: 55 calls a second of two watchers before 67 endpoints. With this
/// pause two make 10, whatever the number of endpoints, and a change is heard of 0.2 s
/// late at the most, a tenth of the tightest bound within which one must be in force.
pub const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// How often an instance that does not watch looks whether it must.
const STANDBY_INTERVAL: Duration = Duration::from_millis(100);

/// How much later than [`WATCH_WAIT`] an answer may begin before the call is given up.
pub const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// The first pause after a failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// The longest pause after failures. A quarter of the tightest bound within which
/// a change must be in force.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// A store that answered nothing for so long may have let entries lapse. They lapse
/// after three heartbeats of an endpoint, which are longer; a watch that was cut, or
/// a call that was refused, is no such outage, and what vanishes meanwhile is gone.
const EXPIRY_OUTAGE: Duration = Duration::from_millis(2_000);

/// How long after an outage entries of the store are still incomplete: the
/// publisher promises about two seconds.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read everything.
    Read,
    /// Wait for what comes after the revision known.
    Watch,
    /// Wait before the next call.
    Pause(Duration),
    /// Others watch; look again after this time.
    StandBy(Duration),
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The store answered that it cannot serve the call now.
    Refused,
    /// There was no answer.
    NoAnswer,
    /// The history that a watch asked for is gone.
    HistoryGone,
    /// The answer is larger than any that is read.
    TooLarge,
}

/// The state of the calls to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreReader {
    needs_read: bool,
    failures: u32,
    pause_until: Time,
    recovered_at: Option<Time>,
    last_answer: Option<Time>,
    /// When a watch was answered last.
    last_watch_answer: Option<Time>,
}

impl StoreReader {
    /// Returns a reader that has read nothing.
    pub fn new() -> Self {
        StoreReader {
            needs_read: true,
            failures: 0,
            pause_until: Time::ZERO,
            recovered_at: None,
            last_answer: None,
            last_watch_answer: None,
        }
    }

    /// Returns what to do now; `watches` says whether this instance watches for all.
    pub fn next(&self, now: Time, watches: bool) -> Step {
        if now < self.pause_until {
            return Step::Pause(self.pause_until.since(now));
        }
        match (self.needs_read, watches) {
            (true, _) => Step::Read,
            (false, true) => Step::Watch,
            (false, false) => Step::StandBy(STANDBY_INTERVAL),
        }
    }

    /// Notes that everything was read; returns whether the store was away before.
    pub fn on_read(&mut self, now: Time) -> bool {
        self.needs_read = false;
        self.answered(now)
    }

    /// Notes that this instance makes no calls, because others watch for it.
    ///
    /// What goes wrong otherwise: the last call it made failed, it makes no further
    /// one, and counts the store as away for good; entries that vanish are kept.
    pub fn stand_by(&mut self) {
        self.failures = 0;
        self.pause_until = Time::ZERO;
    }

    /// Notes that a watch told something; returns whether the store was away before.
    pub fn on_changes(&mut self, now: Time) -> bool {
        self.pause_until = now + WATCH_PAUSE;
        self.on_answer(now)
    }

    /// Notes that a watch was answered; returns whether the store was away before.
    pub fn on_answer(&mut self, now: Time) -> bool {
        self.last_watch_answer = Some(now);
        self.answered(now)
    }

    fn answered(&mut self, now: Time) -> bool {
        let was_unavailable = self.failures > 0;
        if was_unavailable && self.may_have_expired(now) {
            self.recovered_at = Some(now);
        }
        self.failures = 0;
        self.last_answer = Some(now);
        was_unavailable
    }

    /// Notes that a call failed; `draw` is uniform below one. Returns whether the
    /// store was there before.
    pub fn on_failure(&mut self, now: Time, failure: CallFailure, draw: f64) -> bool {
        if failure == CallFailure::HistoryGone {
            self.needs_read = true;
            return false;
        }
        if failure == CallFailure::TooLarge {
            // A watch tells every version that was published since, and several of a large
            // catalogue are more than is read; the pages of a read hold the last one only.
            // What goes wrong otherwise: the same watch is repeated in vain until the store
            // forgets that history.
            self.needs_read = true;
        }
        let was_available = self.failures == 0;
        let doublings = self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        let pause = (FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        self.pause_until = now + pause.mul_f64(0.5 + draw);
        was_available
    }

    /// Returns when the store last answered.
    pub fn last_answer(&self) -> Option<Time> {
        self.last_answer
    }

    /// Returns when the store last answered a watch.
    pub fn last_watch_answer(&self) -> Option<Time> {
        self.last_watch_answer
    }

    /// Returns whether the store is away.
    pub fn is_unavailable(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether entries that are missing may be back soon: the store is
    /// away for long, or was until a moment ago.
    pub fn may_miss_records(&self, now: Time) -> bool {
        let is_unavailable = self.is_unavailable() && self.may_have_expired(now);
        is_unavailable
            || self
                .recovered_at
                .is_some_and(|at| now.since(at) < SETTLE_TIME)
    }

    fn may_have_expired(&self, now: Time) -> bool {
        let last_answer = self.last_answer;
        last_answer.is_some_and(|at| now.since(at) >= EXPIRY_OUTAGE)
    }
}

impl Default for StoreReader {
    fn default() -> Self {
        Self::new()
    }
}
