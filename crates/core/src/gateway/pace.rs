//! The pace of engines: how long the gaps between events are, and how long they become while an
//! engine prefills a prompt or its host is slow.

use crate::ids::EndpointKey;
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// Gaps between events that one instance relayed from one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSample {
    /// Number of gaps.
    pub gaps: u16,
    /// Mean of the binary logarithm of the gaps in milliseconds, times 256.
    pub log_mean: u16,
    /// The longest gap in milliseconds.
    pub longest_ms: u16,
}

/// The model of a service whose engines were never observed.
pub static UNKNOWN: PaceModel = PaceModel::unknown();

/// What is known of the pace of a service's engines.
#[derive(Clone, Debug, Default)]
pub struct PaceModel {}

impl PaceModel {
    /// Returns the model of a service whose engines were never observed.
    pub const fn unknown() -> Self {
        PaceModel {}
    }

    /// Returns how likely a generation at `engine` exceeds `gap_target` between two events once a
    /// prompt is prefilled beside it, from 0 to 1; 0 if there is no target.
    pub fn stall_risk(&self, engine: EndpointKey, gap_target: Duration) -> f64 {
        let _ = (engine, gap_target);
        0.0
    }
}
