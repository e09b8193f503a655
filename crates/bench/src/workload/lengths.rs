//! Output and prompt lengths.

use super::{EntrySpec, Lengths, WorkspaceSpec, hour_turn};
use oriolemux_core::time::Time;
use rand::Rng;
use rand::rngs::StdRng;
use rand_distr::{Distribution, LogNormal, Pareto};

/// Width of prompts, and of outputs that are not long; of the logarithm.
const NARROW_SIGMA: f64 = 0.30;
/// Width of long outputs with light tails.
const LIGHT_SIGMA: f64 = 0.25;
/// Width of the body of long outputs with heavy tails.
const HEAVY_SIGMA: f64 = 0.70;
/// Median of that body against the entry's median; keeps the mean near the light one.
const HEAVY_SCALE: f64 = 0.5;
/// Part of long outputs that come from the Pareto tail.
const TAIL_PART: f64 = 0.15;
/// Where the tail begins, against the median of the body.
const TAIL_START: f64 = 2.0;
/// Exponent of the tail: finite mean, infinite variance but for the cut at `max_tokens`.
const TAIL_ALPHA: f64 = 1.4;
/// Width of long outputs that drift.
const DRIFT_SIGMA: f64 = 0.40;
/// Median of drifting outputs against the entry's median, before they double.
const DRIFT_SCALE: f64 = 0.6;
/// What long outputs are multiplied by from the second hour turn on.
const DRIFT_FACTOR: f64 = 2.0;

/// Draws the true length of an output.
pub(super) fn output(
    rng: &mut StdRng,
    lengths: Lengths,
    entry: &EntrySpec,
    workspace: &WorkspaceSpec,
    at: Time,
) -> u32 {
    let drawn = match entry.long {
        false => log_normal(rng, entry.output_median, NARROW_SIGMA),
        true => long(
            rng,
            lengths,
            entry.output_median * workspace.output_scale,
            at,
        ),
    };
    (drawn as u32).clamp(1, entry.max_tokens)
}

/// Draws the length of a prompt, which is longer than its shared blocks.
pub(super) fn prompt(rng: &mut StdRng, entry: &EntrySpec) -> u32 {
    let shared = entry.shared_blocks * super::PREFIX_BLOCK_TOKENS;
    (log_normal(rng, entry.prompt_median, NARROW_SIGMA) as u32).max(shared + 8)
}

fn long(rng: &mut StdRng, lengths: Lengths, median: f64, at: Time) -> f64 {
    match lengths {
        Lengths::Light => log_normal(rng, median, LIGHT_SIGMA),
        Lengths::Heavy => heavy(rng, median * HEAVY_SCALE),
        Lengths::Drifting if at < hour_turn(1) => {
            log_normal(rng, median * DRIFT_SCALE, DRIFT_SIGMA)
        }
        Lengths::Drifting => log_normal(rng, median * DRIFT_SCALE * DRIFT_FACTOR, DRIFT_SIGMA),
    }
}

fn heavy(rng: &mut StdRng, median: f64) -> f64 {
    if rng.random_bool(TAIL_PART) {
        let tail = Pareto::new(median * TAIL_START, TAIL_ALPHA);
        tail.expect("constants are positive").sample(rng)
    } else {
        log_normal(rng, median, HEAVY_SIGMA)
    }
}

pub(super) fn log_normal(rng: &mut StdRng, median: f64, sigma: f64) -> f64 {
    let dist = LogNormal::new(median.ln(), sigma);
    dist.expect("the width is finite").sample(rng)
}
