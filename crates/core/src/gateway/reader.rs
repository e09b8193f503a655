//! When to read and watch the store.
//!
//! One full read is followed by one watch after the other, each from the revision at which the last
//! one ended. A failed call is followed by a growing pause with jitter, so that instances do not
//! all call a recovering store at once.

use super::revision::Epoch;
use crate::time::Time;
use core::cmp::Ordering;
use core::time::Duration;

/// How long the store may hold a watch. A connection may go silent without a reset; this bounds how
/// long an instance does not notice.
pub const WATCH_WAIT: Duration = Duration::from_millis(700);

/// Instances that watch the store for all. Calls are billed and rate-limited, so their number must
/// not grow with the fleet; two, so that one may fail unnoticed.
pub const WATCHERS: usize = 2;

/// A watcher that the store has not answered for this long counts as disconnected. A watch is
/// answered after [`WATCH_WAIT`] at the latest, and others learn of it within
/// [`BEACON_INTERVAL`](super::beacons::BEACON_INTERVAL); the rest of the two seconds within which
/// changes must be in force suffices for another instance to read in its place.
pub const WATCHER_TIMEOUT: Duration = Duration::from_millis(1_350);

/// Pause after a watch that returned changes. The endpoints of a large fleet write a heartbeat
/// every few milliseconds, and a watch that begins at once is answered at once: 55 calls per second
/// of two watchers with 67 endpoints. With this pause two watchers make 10, whatever the number of
/// endpoints, and a change is noticed at most 0.2 s late, a tenth of the tightest bound within
/// which one must be in force.
pub const WATCH_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which an instance that does not watch checks whether it must.
const STANDBY_INTERVAL: Duration = Duration::from_millis(100);

/// How much later than [`WATCH_WAIT`] the response to a watch may begin before the call times out.
pub const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// The first pause after a failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// The longest pause after failures: a quarter of the tightest bound within which a change must be
/// in force.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// How long an instance that is not among the first watchers waits before it reads a store that came
/// back from a copy. By then it has received the beacons of the first ones, if the store answers
/// them, and need not read at all: after an outage up to 64 instances watch.
const YIELD_TIME: Duration = Duration::from_millis(300);

/// After the store has answered no instance for this long, records may have expired. They expire
/// after three heartbeats of an endpoint, which take longer; an interrupted watch or a rejected call
/// is no such outage, and records that are removed meanwhile are really removed.
const EXPIRY_OUTAGE: Duration = Duration::from_millis(2_000);

/// How long after an outage the store may still lack records: the publisher promises about two
/// seconds.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the store in full.
    Read,
    /// Wait for changes after the known revision.
    Watch,
    /// Wait before the next call.
    Pause(Duration),
    /// Others watch; check again after this time.
    StandBy(Duration),
}

/// What to do after a page of a full read that has further pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextPage {
    /// Request the next one.
    Read,
    /// Wait for this time: a peer that knows all records may send them.
    Wait(Duration),
    /// Read no further: a peer has sent all records.
    Complete,
}

/// Interval at which an instance that waits for a peer's records checks whether it has them.
pub(super) const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The store answered that it cannot serve the call now.
    Refused,
    /// There was no answer.
    NoAnswer,
    /// The store no longer has the history that the watch asked for.
    HistoryGone,
    /// The answer belongs to an earlier epoch.
    OutdatedEpoch,
    /// The response exceeds the size limit.
    TooLarge,
    /// The store answered, but its response is not of the agreed form.
    Unreadable,
}

/// The epoch that an answer of the store states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedEpoch {
    /// It states this one.
    Known(Epoch),
    /// It states none.
    Absent,
    /// It states one that cannot be parsed.
    Unreadable,
}

/// What the epoch of an answer means for this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EpochObservation {
    /// The answer belongs to the known history.
    Current,
    /// The store came back from an older copy.
    Advanced {
        /// The epoch that was known before.
        from: Epoch,
        /// The epoch of the answer.
        to: Epoch,
    },
    /// The answer is of an earlier history and must have no effect.
    Outdated {
        /// The epoch of the answer.
        stated: Epoch,
        /// The known epoch.
        known: Epoch,
    },
    /// The answer does not state a valid epoch although earlier ones did. It counts as one of the
    /// epoch that was known when the call was made.
    Unstated {
        /// The known epoch.
        known: Epoch,
    },
}

/// Whether the store may lack records that will come back, as far as one instance knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissingRecords {
    /// The store answered some instance all along, so that a record that is gone was removed.
    No,
    /// The store answers nobody, or did not until a moment ago, or came back from a copy.
    Possible,
    /// This instance has not heard of the store for long, or never, and makes no calls.
    Unknown,
}

/// The state of the calls to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreReader {
    needs_read: bool,
    failures: u32,
    pause_until: Time,
    recovered_at: Option<Time>,
    last_answer: Option<Time>,
    /// When the store last answered any instance, as far as this one knows.
    heard_at: Option<Time>,
    /// From when on this instance knows whether the store was away in the last moments.
    knows_from: Option<Time>,
    /// When the store came back from a copy, as far as this instance noticed.
    epoch_began_at: Option<Time>,
    /// When the store last answered a watch.
    last_watch_answer: Option<Time>,
    /// The latest epoch that the store or a peer stated.
    epoch: Epoch,
    /// Watches in a row that were refused because their history is gone.
    history_gone: u32,
    /// Responses that could not be read since a watch was last answered.
    unreadable: u32,
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
            heard_at: None,
            knows_from: None,
            epoch_began_at: None,
            last_watch_answer: None,
            epoch: Epoch::UNSTATED,
            history_gone: 0,
            unreadable: 0,
        }
    }

    /// Returns the latest epoch that the store or a peer stated; the default if none ever did.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Records the epoch of an answer to a call that was made when `known` was the latest epoch;
    /// returns what it means.
    pub fn observe_epoch(&mut self, known: Epoch, stated: StatedEpoch) -> EpochObservation {
        let latest = self.epoch;
        let (of_answer, is_stated) = match stated {
            StatedEpoch::Known(stated) => (stated, true),
            StatedEpoch::Absent | StatedEpoch::Unreadable => (known, false),
        };
        match of_answer.cmp(&latest) {
            Ordering::Greater => {
                self.epoch = of_answer;
                EpochObservation::Advanced {
                    from: latest,
                    to: of_answer,
                }
            }
            Ordering::Less => EpochObservation::Outdated {
                stated: of_answer,
                known: latest,
            },
            Ordering::Equal if is_stated => EpochObservation::Current,
            Ordering::Equal => match (stated, latest) {
                (StatedEpoch::Absent, Epoch::UNSTATED) => EpochObservation::Current,
                _ => EpochObservation::Unstated { known: latest },
            },
        }
    }

    /// Records that a peer knows an epoch; returns whether it is later than the known one.
    pub fn observe_peer_epoch(&mut self, epoch: Epoch) -> bool {
        let is_later = epoch > self.epoch;
        self.epoch = self.epoch.max(epoch);
        is_later
    }

    /// Begins the time for which a store that came back from a copy may lack records.
    pub fn begin_epoch(&mut self, now: Time) {
        self.recovered_at = Some(now);
        self.epoch_began_at = Some(now);
    }

    /// Returns when the epoch began, while the store may still hold records of the copy from which
    /// it came back that will be written or removed again.
    pub fn epoch_began(&self, now: Time) -> Option<Time> {
        self.epoch_began_at
            .filter(|at| now.since(*at) < SETTLE_TIME)
    }

    /// Returns whether this instance knows if the store was away in the last moments: it has heard
    /// of the store for long enough, or an instance that had told it so.
    pub fn knows_recent_past(&self, now: Time) -> bool {
        self.knows_from.is_some_and(|from| now >= from)
    }

    /// Waits before the next call, so that the instances that watch for all can read first.
    pub fn yield_to_watchers(&mut self, now: Time) {
        self.pause_until = self.pause_until.max(now + YIELD_TIME);
    }

    /// Returns what to do now; `watches` is whether this instance watches for all, and `replica` is
    /// the epoch of its replica.
    pub fn next(&self, now: Time, watches: bool, replica: Epoch) -> Step {
        if now < self.pause_until {
            return Step::Pause(self.pause_until.since(now));
        }
        match (self.needs_read, watches) {
            (true, _) => Step::Read,
            (false, true) if replica < self.epoch => Step::Read,
            (false, true) => Step::Watch,
            (false, false) => Step::StandBy(STANDBY_INTERVAL),
        }
    }

    /// Records that the store was read in full; returns whether the store was unavailable before.
    pub fn on_read(&mut self, now: Time) -> bool {
        self.needs_read = false;
        self.answered(now)
    }

    /// Records that this instance makes no calls, because others watch for it.
    ///
    /// Without this, an instance whose last call failed makes no further call and considers the
    /// store unavailable for good; records that are removed are kept.
    pub fn stand_by(&mut self) {
        self.failures = 0;
        self.pause_until = Time::ZERO;
    }

    /// Records that a watch returned changes; returns whether the store was unavailable before.
    pub fn on_changes(&mut self, now: Time) -> bool {
        self.pause_until = now + WATCH_PAUSE;
        self.on_answer(now)
    }

    /// Records that a watch was answered; returns whether the store was unavailable before.
    pub fn on_answer(&mut self, now: Time) -> bool {
        self.history_gone = 0;
        self.unreadable = 0;
        self.last_watch_answer = Some(now);
        self.answered(now)
    }

    fn answered(&mut self, now: Time) -> bool {
        let was_unavailable = self.failures > 0;
        if was_unavailable && (self.heard_at.is_none() || self.is_unheard(now)) {
            self.recovered_at = Some(now);
        }
        self.knows_from.get_or_insert(now + SETTLE_TIME);
        self.failures = 0;
        self.last_answer = Some(now);
        self.heard_at = Some(now);
        was_unavailable
    }

    /// Records that the store answered another instance at `answered`, in this epoch, and whether
    /// that instance states that records may be missing.
    ///
    /// Without this, the trouble of one instance with the store, or the time for which it made no
    /// calls, would count as an outage in which records expire.
    pub fn on_peer_answer(&mut self, now: Time, answered: Time, epoch: Epoch, may_miss: bool) {
        if epoch < self.epoch {
            return;
        }
        // Who has heard of the store all along knows better than the sender.
        let was_unheard = self.heard_at.is_none() || self.is_unheard(answered);
        self.heard_at = self.heard_at.max(Some(answered));
        let is_recent = now.since(answered) < WATCHER_TIMEOUT;
        if may_miss && was_unheard {
            self.recovered_at = Some(now);
        }
        if !may_miss && is_recent {
            self.recovered_at = None;
            self.knows_from = Some(self.knows_from.map_or(now, |it| it.min(now)));
        }
    }

    /// Records that a call failed; `draw` is uniform below one. Returns whether the store was
    /// available before.
    pub fn on_failure(&mut self, now: Time, failure: CallFailure, draw: f64) -> bool {
        if failure == CallFailure::HistoryGone {
            self.needs_read = true;
            if self.history_gone > 0 {
                // A read did not help, so the next one must not follow at once.
                self.pause_until = now + backoff(self.history_gone - 1, draw);
            }
            self.history_gone = self.history_gone.saturating_add(1);
            return false;
        }
        if failure == CallFailure::TooLarge {
            // A watch returns every version that was published since, and several versions of a
            // large catalogue exceed the limit; the pages of a read hold only the last one.
            // Otherwise the same watch would be retried without success until the store forgets
            // that history.
            self.needs_read = true;
        }
        let mut failures = self.failures;
        if failure == CallFailure::Unreadable {
            // The same watch would be answered with the same history, which a read does not hold. If
            // reads succeed and the watches after them do not, the pauses must grow all the same.
            self.needs_read = true;
            failures = failures.max(self.unreadable);
            self.unreadable = self.unreadable.saturating_add(1);
            // A store that answers lets endpoints write their records, which therefore do not expire
            // as they do in an outage.
            self.heard_at = self.heard_at.max(Some(now));
        }
        let was_available = self.failures == 0;
        self.pause_until = now + backoff(failures, draw);
        self.failures = self.failures.saturating_add(1);
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

    /// Returns whether the store is unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether this instance knows that records that are missing may come back soon.
    pub fn may_miss_records(&self, now: Time) -> bool {
        self.missing_records(now) == MissingRecords::Possible
    }

    /// Returns whether records that are missing may come back soon. That the store does not answer
    /// this instance says nothing about records while it answers another one.
    pub fn missing_records(&self, now: Time) -> MissingRecords {
        let is_settling = self
            .recovered_at
            .is_some_and(|at| now.since(at) < SETTLE_TIME);
        match self.heard_at {
            _ if is_settling => MissingRecords::Possible,
            None => MissingRecords::Unknown,
            Some(_) if !self.is_unheard(now) => MissingRecords::No,
            Some(_) if self.is_unavailable() => MissingRecords::Possible,
            Some(_) => MissingRecords::Unknown,
        }
    }

    /// Returns whether the store answered no known instance for so long before `now` that records
    /// may have expired.
    fn is_unheard(&self, now: Time) -> bool {
        self.heard_at
            .is_some_and(|at| now.since(at) >= EXPIRY_OUTAGE)
    }
}

/// Returns the pause after a failure that follows `before` others; `draw` is uniform below one.
fn backoff(before: u32, draw: f64) -> Duration {
    let pause = (FIRST_BACKOFF * (1 << before.min(8))).min(MAX_BACKOFF);
    pause.mul_f64(0.5 + draw)
}

impl Default for StoreReader {
    fn default() -> Self {
        Self::new()
    }
}
