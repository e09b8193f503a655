//! Decayed counts of answers that reached each bucket and that ended in it.

use super::buckets::COUNT;

/// How many answers reached each bucket and ended there, the latest counting most.
///
/// Invariant: `0 <= ended[b] <= reached[b]`.
#[derive(Clone, Debug)]
pub struct Counts {
    reached: [f32; COUNT],
    ended: [f32; COUNT],
    /// Share of a bucket's counts that stays when one more answer reaches it.
    keep: f32,
    /// Answers seen to end, decayed only by [`Counts::forget`].
    seen: f32,
}

impl Counts {
    /// Returns counts that remember about `window` answers in each bucket.
    pub fn new(window: f32) -> Counts {
        Counts {
            reached: [0.0; COUNT],
            ended: [0.0; COUNT],
            keep: 1.0 - 1.0 / window,
            seen: 0.0,
        }
    }

    /// Counts an answer that reached `bucket` and ended there, or passed it.
    pub fn observe(&mut self, bucket: usize, ended: bool) {
        let ended = f32::from(u8::from(ended));
        self.reached[bucket] = self.reached[bucket] * self.keep + 1.0;
        self.ended[bucket] = self.ended[bucket] * self.keep + ended;
        // Passing a bucket is a fraction of an answer's evidence.
        self.seen += (1.0 / COUNT as f32).max(ended);
    }

    /// Keeps only the share `keep` of everything counted.
    pub fn forget(&mut self, keep: f32) {
        for count in self.reached.iter_mut().chain(&mut self.ended) {
            *count *= keep;
        }
        self.seen *= keep;
    }

    /// Takes over what `other` counted, but remembers for as long as before.
    pub fn replace_by(&mut self, other: &Counts) {
        self.reached = other.reached;
        self.ended = other.ended;
        self.seen = self.seen.min(other.window());
    }

    /// Returns about how many answers are remembered.
    pub fn window(&self) -> f32 {
        1.0 / (1.0 - self.keep)
    }

    /// Returns how many answers have been seen.
    pub fn seen(&self) -> f32 {
        self.seen
    }

    /// Returns the hazard of `bucket`, drawn towards `base` as if `strength`
    /// more answers with that hazard had been seen.
    pub fn hazard(&self, bucket: usize, base: f32, strength: f32) -> f32 {
        (self.ended[bucket] + strength * base) / (self.reached[bucket] + strength)
    }
}
