//! How long a generation will still be.
//!
//! Lengths of an entry's answers are learnt as mean and spread of their
//! logarithm. A caller's hint is one more observation of the logarithm, right in
//! the middle and wide, so that both are weighed by their precision. What counts
//! for memory is the rest that is expected of a generation that has come so far:
//! one that is past the usual length is likely to be one of the long ones.

use std::collections::BTreeMap;

/// Variance of the logarithm of a hint's error: a spread of a factor of three either way.
const HINT_VARIANCE: f64 = 1.4;

/// Variance of the logarithm before anything was learnt.
const PRIOR_VARIANCE: f64 = 1.0;

/// The share of the most tokens allowed that is expected before anything was learnt.
const PRIOR_SHARE: f64 = 0.4;

/// Answers for which the prior counts.
const PRIOR_WEIGHT: f64 = 4.0;

/// Answers after which an entry forgets.
const OBSERVATION_WINDOW: f64 = 400.0;

/// Midpoints of eight equally likely parts of the standard normal distribution.
const QUANTILES: [f64; 8] = [-1.534, -0.887, -0.489, -0.157, 0.157, 0.489, 0.887, 1.534];

/// What is expected of one generation: mean and variance of the logarithm of its
/// length in tokens, and the most tokens allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthEstimate {
    log_mean: f64,
    log_deviation: f64,
    cap: f64,
}

impl LengthEstimate {
    /// Returns how many tokens are expected beyond `age`.
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
        // Past all of them it is one of the longest, of which nothing is known but the cap.
        let rest = match longer > 0.0 {
            true => sum / longer,
            false => 0.5 * (self.cap - generated).max(0.0),
        };
        rest as u32
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct LengthStats {
    weight: f64,
    log_sum: f64,
    square_sum: f64,
}

/// The share of the output still expected that counts as memory: a generation takes
/// its prompt from the start and its output only at the end.
const OUTPUT_SHARE: f64 = 0.6;

/// Returns how many tokens of memory a generation is expected to take that has read a
/// prompt of `prompt` tokens and made `made`.
pub fn expected_kv_tokens(prompt: u32, length: LengthEstimate, generated: u32) -> u32 {
    let rest = (f64::from(length.remaining(generated)) * OUTPUT_SHARE) as u32;
    prompt.saturating_add(generated).saturating_add(rest).max(1)
}

/// The lengths of all entries' answers, by the entry's name.
#[derive(Clone, Debug, Default)]
pub struct LengthTable {
    entries: BTreeMap<String, LengthStats>,
}

impl LengthTable {
    /// Learns the length of an answer that ended by itself.
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

    /// Returns what is expected of a generation of `entry` with at most `cap` tokens,
    /// of which its caller expects `hint`.
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

/// Weighs what was learnt and a hint by their precision.
fn combine(mean: f64, variance: f64, hint: f64) -> (f64, f64) {
    let stats = 1.0 / variance;
    let hinted = 1.0 / HINT_VARIANCE;
    let precision = stats + hinted;
    ((mean * stats + hint * hinted) / precision, 1.0 / precision)
}
