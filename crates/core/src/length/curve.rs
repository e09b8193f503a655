//! A survival curve: the probability that an answer is longer than a given length.

use super::buckets::{COUNT, bucket_of, lower_edge};
use super::hazard::Counts;

/// Hazard of the prior per quarter doubling: half of the answers that reach a length go on to four
/// times that length. It is heavy-tailed, so that requests of an unused entry are admitted
/// conservatively.
const PRIOR_HAZARD: f32 = 0.083;
/// Hazard of the prior in the buckets of very short lengths.
const PRIOR_HAZARD_SHORT: f32 = 0.02;
/// First bucket (256 tokens) that is not short for the prior.
const PRIOR_SHORT_BUCKETS: usize = 28;
/// Minimum hazard of a bucket with few observations, as a fraction of the previous bucket's hazard.
/// Without it, a few answers of twenty tokens would leave a tail of tens of thousands.
const CARRY_OVER: f32 = 0.9;
/// Bounds of a hazard, which keep any outcome possible.
const HAZARDS: (f32, f32) = (1e-4, 0.9);

/// Invariant: `alive` decreases from 1; `alive[b]` is the probability that an answer has at least
/// `lower_edge(b)` tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Curve {
    hazard: [f32; COUNT],
    alive: [f64; COUNT + 1],
}

impl Curve {
    /// Returns the curve of an entry without observations.
    pub fn prior() -> Curve {
        let mut curve = Curve {
            hazard: [PRIOR_HAZARD; COUNT],
            alive: [1.0; COUNT + 1],
        };
        curve.hazard[..PRIOR_SHORT_BUCKETS].fill(PRIOR_HAZARD_SHORT);
        curve.accumulate();
        curve
    }

    /// Recomputes the curve from `counts`, shrunk towards `base` with `strength`.
    pub fn blend(&mut self, counts: &Counts, base: &Curve, strength: f32) {
        for (bucket, hazard) in self.hazard.iter_mut().enumerate() {
            let blended = counts.hazard(bucket, base.hazard[bucket], strength);
            *hazard = blended.clamp(HAZARDS.0, HAZARDS.1);
        }
        self.accumulate();
    }

    /// Recomputes the curve from `counts`, shrunk with `strength` towards the prior, or towards the
    /// hazard of the previous bucket if that is higher.
    pub fn blend_with_prior(&mut self, counts: &Counts, strength: f32) {
        let prior = Curve::prior();
        let mut before = 0.0;
        for (bucket, hazard) in self.hazard.iter_mut().enumerate() {
            let base = prior.hazard[bucket].max(CARRY_OVER * before);
            let blended = counts.hazard(bucket, base, strength);
            *hazard = blended.clamp(HAZARDS.0, HAZARDS.1);
            before = *hazard;
        }
        self.accumulate();
    }

    /// Returns the probability that an answer which reached `bucket` ends in it.
    pub fn hazard(&self, bucket: usize) -> f32 {
        self.hazard[bucket]
    }

    /// Returns the probability that an answer is longer than `tokens`.
    pub fn survival(&self, tokens: u32) -> f64 {
        let length = tokens.saturating_add(1);
        let bucket = bucket_of(length);
        let low = lower_edge(bucket);
        let width = lower_edge(bucket + 1) - low;
        let part = (f64::from(length - low) / f64::from(width)).min(1.0);
        self.alive[bucket] + part * (self.alive[bucket + 1] - self.alive[bucket])
    }

    /// Returns the probability that an answer known to be longer than `age` is longer than `age +
    /// more`.
    pub fn conditional_survival(&self, age: u32, more: u32) -> f64 {
        let later = self.survival(age.saturating_add(more));
        (later / self.survival(age)).clamp(0.0, 1.0)
    }

    /// Returns the mean length of answers truncated at `cap` tokens.
    pub fn mean(&self, cap: u32) -> f64 {
        self.fold(cap, |_| 1.0)
    }

    /// Returns the expected total of memory held per generated token over an answer, in
    /// token-tokens, which is its cost to an engine.
    pub fn work(&self, prompt_tokens: u32, cap: u32) -> f64 {
        self.fold(cap, |length| f64::from(prompt_tokens) + length)
    }

    /// Returns the length below which a fraction `p` of answers stays, at most `cap`.
    pub fn quantile(&self, p: f64, cap: u32) -> u32 {
        let bucket = self.alive.partition_point(|alive| *alive > 1.0 - p);
        lower_edge(bucket).min(cap)
    }

    fn accumulate(&mut self) {
        for bucket in 0..COUNT {
            let left = 1.0 - f64::from(self.hazard[bucket]);
            self.alive[bucket + 1] = self.alive[bucket] * left;
        }
    }

    /// Integrates `weight(length)` over the survival curve up to `cap`.
    fn fold(&self, cap: u32, weight: impl Fn(f64) -> f64) -> f64 {
        let mut sum = 0.0;
        for bucket in 0..COUNT {
            let low = lower_edge(bucket);
            if low >= cap {
                break;
            }
            let width = f64::from(lower_edge(bucket + 1).min(cap) - low);
            let alive = (self.alive[bucket] + self.alive[bucket + 1]) / 2.0;
            sum += width * alive * weight(f64::from(low) + width / 2.0);
        }
        sum
    }
}
