//! Estimates the remaining length of generations.
//!
//! The output lengths of an entry are modelled by the mean and the variance of their logarithm. A
//! hint of the caller is treated as one more observation of the logarithm, unbiased but with a high
//! variance, so that both are weighted by their precision. KV cache usage depends on the remaining
//! length, given the length so far: a generation beyond the usual length is likely to be one of the
//! long ones.

use std::collections::BTreeMap;

/// Variance of the logarithm of a hint's error: a factor of three in either direction.
const HINT_VARIANCE: f64 = 1.4;

/// Variance of the logarithm before any observation.
const PRIOR_VARIANCE: f64 = 1.0;

/// Expected length before any observation, as a share of the maximum.
const PRIOR_SHARE: f64 = 0.4;

/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 4.0;

/// Number of observations after which older ones have decayed.
const OBSERVATION_WINDOW: f64 = 400.0;

/// Midpoints of eight equally probable intervals of the standard normal distribution.
const QUANTILES: [f64; 8] = [-1.534, -0.887, -0.489, -0.157, 0.157, 0.489, 0.887, 1.534];

/// The estimated length of one generation: mean and standard deviation of the logarithm of its
/// length in tokens, and the maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimate {
    log_mean: f64,
    log_deviation: f64,
    cap: f64,
}

impl LengthEstimate {
    /// Returns the expected number of tokens beyond the first `generated`.
    pub fn remaining(&self, generated: u32) -> u32 {
        let generated = f64::from(generated);
        let mut sum = 0.0;
        let mut longer = 0.0;
        for quantile in QUANTILES {
            let length = (self.log_mean + self.log_deviation * quantile).exp();
            let length = length.min(self.cap);
            if length > generated {
                sum += length - generated;
                longer += 1.0;
            }
        }
        // Beyond all quantiles nothing but the maximum is known.
        let remaining = match longer > 0.0 {
            true => sum / longer,
            false => 0.5 * (self.cap - generated).max(0.0),
        };
        remaining as u32
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct LengthStats {
    weight: f64,
    log_sum: f64,
    square_sum: f64,
}

/// Share of the expected remaining output that counts as KV cache usage: a generation uses space
/// for its prompt from the start, but for all of its output only at the end. Much less than this, and
/// engines preempt generations because several of them become longer than expected.
const OUTPUT_SHARE: f64 = 0.7;

/// Returns the KV cache tokens that a generation is expected to use, with a prompt of `prompt`
/// tokens and `generated` output tokens so far.
pub fn expected_kv_tokens(prompt: u32, length: LengthEstimate, generated: u32) -> u32 {
    let remaining = (f64::from(length.remaining(generated)) * OUTPUT_SHARE) as u32;
    prompt
        .saturating_add(generated)
        .saturating_add(remaining)
        .max(1)
}

/// The observed output lengths of all entries, by entry name.
#[derive(Clone, Debug, Default)]
pub struct LengthTable {
    entries: BTreeMap<String, LengthStats>,
}

impl LengthTable {
    /// Records the output length of a generation that ended normally.
    pub fn record(&mut self, entry: &str, tokens: u32) {
        let log = f64::from(tokens.max(1)).ln();
        if !self.entries.contains_key(entry) {
            self.entries
                .insert(entry.to_owned(), LengthStats::default());
        }
        if let Some(stats) = self.entries.get_mut(entry) {
            let keep = 1.0 - 1.0 / OBSERVATION_WINDOW;
            stats.weight = stats.weight * keep + 1.0;
            stats.log_sum = stats.log_sum * keep + log;
            stats.square_sum = stats.square_sum * keep + log * log;
        }
    }

    /// Returns the estimate for a generation of `entry` with at most `cap` tokens; `hint` is the
    /// length that its caller expects.
    pub fn estimate(&self, entry: &str, cap: u32, hint: Option<u32>) -> LengthEstimate {
        let cap = f64::from(cap.max(1));
        let prior = (cap * PRIOR_SHARE).ln();
        let stats = self.entries.get(entry).copied().unwrap_or_default();
        let weight = stats.weight + PRIOR_WEIGHT;
        let mean = (stats.log_sum + PRIOR_WEIGHT * prior) / weight;
        let square = PRIOR_WEIGHT * (PRIOR_VARIANCE + prior * prior);
        let variance = ((stats.square_sum + square) / weight - mean * mean).max(0.01);
        let (mean, variance) = match hint {
            Some(hint) => combine(mean, variance, f64::from(hint.max(1)).ln()),
            None => (mean, variance),
        };
        LengthEstimate {
            log_mean: mean,
            log_deviation: variance.sqrt(),
            cap,
        }
    }
}

/// Combines the observed distribution and a hint, weighted by their precision.
fn combine(mean: f64, variance: f64, hint: f64) -> (f64, f64) {
    let stats = 1.0 / variance;
    let hinted = 1.0 / HINT_VARIANCE;
    let precision = stats + hinted;
    ((mean * stats + hint * hinted) / precision, 1.0 / precision)
}
