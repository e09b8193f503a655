//! Decayed counts of answers that reached each bucket and that ended in it.

use super::buckets::COUNT;

/// Decayed counts per bucket of answers that reached it and of those that ended in it.
///
/// Invariant: `0 <= ended[b] <= reached[b]`.
#[derive(Clone, Debug)]
pub struct Counts {
    reached: [f32; COUNT],
    ended: [f32; COUNT],
    /// Fraction of a bucket's counts that remains when another answer reaches it.
    keep: f32,
    /// Number of ended answers, decayed only by [`Counts::forget`].
    seen: f32,
}

impl Counts {
    /// Creates counts that remember about `window` answers in each bucket.
    pub fn new(window: f32) -> Counts {
        Counts {
            reached: [0.0; COUNT],
            ended: [0.0; COUNT],
            keep: 1.0 - 1.0 / window,
            seen: 0.0,
        }
    }

    /// Records an answer that reached `bucket` and ended there or passed it.
    pub fn observe(&mut self, bucket: usize, ended: bool) {
        let ended = f32::from(u8::from(ended));
        self.reached[bucket] = self.reached[bucket] * self.keep + 1.0;
        self.ended[bucket] = self.ended[bucket] * self.keep + ended;
        // Passing a bucket counts as a fraction of an answer.
        self.seen += (1.0 / COUNT as f32).max(ended);
    }

    /// Keeps only the fraction `keep` of all counts.
    pub fn forget(&mut self, keep: f32) {
        for count in self.reached.iter_mut().chain(&mut self.ended) {
            *count *= keep;
        }
        self.seen *= keep;
    }

    /// Replaces the counts by those of `other` but keeps this window.
    pub fn replace_by(&mut self, other: &Counts) {
        self.reached = other.reached;
        self.ended = other.ended;
        self.seen = self.seen.min(other.window());
    }

    /// Returns approximately how many answers are remembered.
    pub fn window(&self) -> f32 {
        1.0 / (1.0 - self.keep)
    }

    /// Returns how many answers were observed.
    pub fn seen(&self) -> f32 {
        self.seen
    }

    /// Returns the hazard of `bucket`, shrunk towards `base` as if `strength` more answers with
    /// that hazard had been observed.
    pub fn hazard(&self, bucket: usize, base: f32, strength: f32) -> f32 {
        (self.ended[bucket] + strength * base) / (self.reached[bucket] + strength)
    }
}
