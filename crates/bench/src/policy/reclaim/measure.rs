//! What is measured of one run.

use core::time::Duration;
use serde::{Deserialize, Serialize};

/// What callers saw, and what it cost.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReclaimSummary {
    /// Generations that were asked for.
    pub asked: u64,
    /// Generations that were complete, lost or refused: all of them, or the model is wrong.
    pub accounted: u64,
    /// Long generations that were asked for.
    pub long: u64,
    /// The share of them that was complete, in time, and without a long pause.
    pub long_in_aim_share: f64,
    /// Generations of all kinds that were complete, but late or with a long pause.
    pub late: u64,
    /// Generations that were lost with their engine.
    pub relocation_lost: u64,
    /// Generations that found no room and did not run.
    pub refused: u64,
    /// Moves to another engine.
    pub relocated: u64,
    /// The pause of a move, of 99 in 100, in milliseconds.
    pub pause_ms_p99: u64,
    /// Preemptions.
    pub preemptions: u64,
    /// Memory that was copied, in GB.
    pub moved_gb: f64,
    /// Context tokens that were read again where a generation went on.
    pub tokens_read_anew: u64,
}

/// Counts while a run goes on.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub(super) summary: ReclaimSummary,
    pub(super) complete: u64,
    pub(super) long_in_aim: u64,
    pub(super) pauses: Vec<Duration>,
}

impl Counts {
    pub(super) fn finish(mut self, moved_bytes: f64) -> ReclaimSummary {
        self.pauses.sort();
        let at = (self.pauses.len() * 99).div_ceil(100).saturating_sub(1);
        let pause = self.pauses.get(at).copied().unwrap_or_default();
        let mut summary = self.summary;
        summary.pause_ms_p99 = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        summary.moved_gb = moved_bytes / 1e9;
        summary.accounted = self.complete + summary.relocation_lost + summary.refused;
        let long = summary.long.max(1) as f64;
        summary.long_in_aim_share = self.long_in_aim as f64 / long;
        summary
    }
}
