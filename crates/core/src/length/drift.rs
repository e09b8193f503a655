//! Notices that an entry's lengths have changed.
//!
//! It is a log-rank test between the latest answers and what was learned
//! before: at each bucket that an answer reaches, what happened is compared
//! with the learned hazard. An answer that goes on past the usual length is
//! evidence at each bucket that it passes, so a change to longer answers shows
//! before the first of them has ended. The latest answers are counted apart,
//! so that they can take the place of what was learned before.

use super::hazard::Counts;

/// Answers that count as the latest.
const RECENT_WINDOW: f32 = 30.0;

/// Evidence of one observation that stays when the next arrives; about the
/// last 4,000 observations count, which is some 160 answers.
const EVIDENCE_DECAY: f64 = 1.0 - 1.0 / 4_000.0;
/// Standard deviations of evidence that are taken as a change. Sequential
/// testing crosses it by chance more often than a single test would, which
/// costs some answers' worth of learning each time.
const THRESHOLD: f64 = 4.0;
/// Variance of the evidence below which nothing is concluded; about 15 ends.
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
    /// Takes in that an answer ended (or did not) in a bucket where the chance
    /// of that was learned to be `hazard`; returns whether lengths have changed.
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

    /// Counts an observation among the latest.
    pub fn count(&mut self, bucket: usize, ended: bool) {
        self.recent.observe(bucket, ended);
    }

    /// Returns what the latest answers alone show.
    pub fn recent(&self) -> &Counts {
        &self.recent
    }
}
