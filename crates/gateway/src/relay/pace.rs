//! The timing of a generation's events, for logs and histograms that explain late generations.

use crate::meters::{Histogram, millis};
use core::time::Duration;
use oriolemux_core::gateway::HttpEntry;
use std::time::Instant;

/// Number of gaps between events from which their mean is known well enough to predict when a
/// generation ends. Fewer may all fall into a pause.
const MIN_GAPS: u32 = 8;
/// The last event that was forwarded.
#[derive(Clone, Copy, Debug)]
struct LastEvent {
    at: Instant,
    /// How often the generation had been relocated.
    relocations: u32,
}

/// The times of one generation's events.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    /// How long the request waited in this instance for room at an engine.
    waited: Duration,
    first: Option<Instant>,
    last: Option<LastEvent>,
    longest_pause: Duration,
    /// Number of gaps between events.
    gaps: u32,
}

impl Pace {
    /// Starts the record of a generation that waited for `waited`.
    pub(super) fn new(waited: Duration) -> Self {
        Pace {
            waited,
            first: None,
            last: None,
            longest_pause: Duration::ZERO,
            gaps: 0,
        }
    }

    /// Records an event that is forwarded; `was_paused` is whether the engine was not read for a while
    /// since the last one. Returns the gap since the last event if both came from the current engine
    /// and the gap is the engine's: not the time of a relocation, and not that of a caller that reads
    /// slowly.
    pub(super) fn on_event(
        &mut self,
        now: Instant,
        relocations: u32,
        was_paused: bool,
    ) -> Option<Duration> {
        self.first.get_or_insert(now);
        let last = self.last.replace(LastEvent {
            at: now,
            relocations,
        })?;
        let gap = now - last.at;
        self.gaps += 1;
        self.longest_pause = self.longest_pause.max(gap);
        (last.relocations == relocations && !was_paused).then_some(gap)
    }

    /// Returns when the last event was forwarded.
    pub(super) fn last_event_at(&self) -> Option<Instant> {
        self.last.map(|it| it.at)
    }

    /// Returns the mean time between events; `None` until enough of them have been seen.
    pub(super) fn mean_gap(&self) -> Option<Duration> {
        let (first, last) = (self.first?, self.last?);
        (self.gaps >= MIN_GAPS).then(|| (last.at - first) / self.gaps)
    }

    /// Returns the timing as seen by a caller that arrived at `arrived`.
    pub(super) fn summary(&self, arrived: Instant) -> PaceSummary {
        let first = self.first.map(|first| first - arrived);
        PaceSummary {
            waited_ms: millis(self.waited),
            first_ms: first.map_or(0, millis),
            pause_ms: millis(self.longest_pause),
            first,
            longest_pause: self.longest_pause,
        }
    }
}

/// The timing of a generation as its caller saw it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PaceSummary {
    pub(super) waited_ms: u64,
    /// Milliseconds to the first event; 0 if there was none.
    pub(super) first_ms: u64,
    pub(super) pause_ms: u64,
    first: Option<Duration>,
    longest_pause: Duration,
}

impl PaceSummary {
    /// Records the times in the histograms.
    pub(super) fn record(&self) {
        if let Some(first) = self.first {
            Histogram::FirstEvent.record(first);
            Histogram::LongestPause.record(self.longest_pause);
        }
        Histogram::Wait.record(Duration::from_millis(self.waited_ms));
    }

    /// Returns whether the first event or a pause exceeded the entry's target.
    pub(super) fn is_late(&self, entry: &HttpEntry) -> bool {
        let slow = self.longest_pause > entry.gap_target && !entry.gap_target.is_zero();
        slow || self.first.is_none_or(|first| first > entry.target)
    }
}
