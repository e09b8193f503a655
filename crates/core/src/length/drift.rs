//! Detects that the answer lengths of an entry have changed.
//!
//! It is a log-rank test of recent answers against the learned hazards: the outcome at each bucket
//! that an answer reaches is compared with the learned hazard. An answer that passes the usual
//! length is evidence at each bucket that it passes, so a change to longer answers shows before the
//! first of them ends. Recent answers are also counted separately, so that they can replace what
//! was learned before.

use super::hazard::Counts;

/// Number of answers that count as recent.
const RECENT_WINDOW: f32 = 30.0;

/// Decay of the evidence per observation. About the last 4,000 observations count, which is some
/// 160 answers.
const EVIDENCE_DECAY: f64 = 1.0 - 1.0 / 4_000.0;
/// Standard deviations of evidence that indicate a change. A sequential test exceeds it by chance
/// more often than a single test, and each false alarm discards some answers' worth of learning.
const THRESHOLD: f64 = 4.0;
/// Minimum variance of the evidence for a decision; about 15 ended answers.
const MIN_VARIANCE: f64 = 12.0;

/// Evidence for a change of lengths.
#[derive(Clone, Debug)]
pub struct Drift {
    recent: Counts,
    excess: f64,
    variance: f64,
}

impl Default for Drift {
    fn default() -> Self {
        Drift {
            recent: Counts::new(RECENT_WINDOW),
            excess: 0.0,
            variance: 0.0,
        }
    }
}

impl Drift {
    /// Records whether an answer ended in a bucket with the learned `hazard`; returns whether
    /// lengths have changed.
    pub fn observe(&mut self, hazard: f32, ended: bool) -> bool {
        let hazard = f64::from(hazard);
        let ended = f64::from(u8::from(ended));
        self.excess = self.excess * EVIDENCE_DECAY + ended - hazard;
        self.variance = self.variance * EVIDENCE_DECAY + hazard * (1.0 - hazard);
        if self.variance < MIN_VARIANCE || self.excess.abs() < THRESHOLD * self.variance.sqrt() {
            return false;
        }
        self.excess = 0.0;
        self.variance = 0.0;
        true
    }

    /// Adds an observation to the recent counts.
    pub fn count(&mut self, bucket: usize, ended: bool) {
        self.recent.observe(bucket, ended);
    }

    /// Returns the counts of recent answers.
    pub fn recent(&self) -> &Counts {
        &self.recent
    }
}
