//! Which faults strike when: drawn from the seed, before anything starts.

use super::SoakConfig;
use super::fault::FaultKind;
use core::time::Duration;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::ops::RangeInclusive;

/// The pause between the beginnings of two faults: shorter than most faults last, so that
/// two or three are there at a time.
const PAUSE_MS: RangeInclusive<u64> = 200..=1_100;

/// How long a fault lasts.
const LASTS_MS: RangeInclusive<u64> = 300..=2_500;

/// A fault that strikes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Strike {
    /// When, from the beginning.
    pub at: Duration,
    /// What.
    pub kind: FaultKind,
    /// For how long.
    pub lasts: Duration,
    /// Picks the target, uniform below one.
    pub target: f64,
}

/// Draws the faults of a seed, in order.
pub fn draw(cfg: &SoakConfig) -> Vec<Strike> {
    let mut rng = SmallRng::seed_from_u64(cfg.seed);
    let kinds = match cfg.faults.as_slice() {
        [] => FaultKind::ALL,
        some => some,
    };
    let mut strikes = Vec::new();
    let mut at = Duration::from_millis(rng.random_range(PAUSE_MS));
    while at < cfg.time {
        let kind = kinds.choose(&mut rng).copied();
        strikes.push(Strike {
            at,
            kind: kind.unwrap_or(FaultKind::CatalogueChange),
            lasts: Duration::from_millis(rng.random_range(LASTS_MS)),
            target: rng.random(),
        });
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
    }
    strikes
}
