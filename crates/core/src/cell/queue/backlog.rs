//! Sums of waiting work by deadline.
//!
//! The predicted wait of a request depends on the work that is due before it. A binary indexed tree
//! over time slots returns that sum in time logarithmic in the number of slots, however many
//! requests wait.

use crate::time::Time;

/// Width of a time slot, in microseconds.
const SLOT_MICROS: u64 = 250_000;
/// Number of slots in the ring. With [`SLOT_MICROS`] the ring spans 17 minutes of deadlines.
const SLOTS: usize = 4_096;

/// Sums of work by deadline.
///
/// Deadlines that are one ring length apart share a slot. Requests wait for far less than that, and
/// a collision only makes one predicted wait too long.
#[derive(Clone, Debug)]
pub struct Backlog {
    tree: Vec<f64>,
    total: f64,
    count: usize,
    /// The earliest slot that may contain work.
    base: u64,
}

impl Default for Backlog {
    fn default() -> Self {
        Backlog {
            tree: vec![0.0; SLOTS + 1],
            total: 0.0,
            count: 0,
            base: 0,
        }
    }
}

impl Backlog {
    /// Adds work that is due at `deadline`.
    pub fn add(&mut self, deadline: Time, work: f64) {
        let slot = slot(deadline);
        self.base = match self.count {
            0 => slot,
            _ => self
                .base
                .min(slot)
                .max(slot.saturating_sub(SLOTS as u64 / 2)),
        };
        self.count += 1;
        self.total += work;
        self.update(slot, work);
    }

    /// Removes work that was added before.
    pub fn sub(&mut self, deadline: Time, work: f64) {
        self.count -= 1;
        if self.count == 0 {
            // Resets the sums so that rounding errors do not accumulate over days.
            self.tree.fill(0.0);
            self.total = 0.0;
            return;
        }
        self.total -= work;
        self.update(slot(deadline), -work);
    }

    /// Returns the total work.
    pub fn total(&self) -> f64 {
        self.total.max(0.0)
    }

    /// Returns the work that is due in the slot of `deadline` or earlier.
    pub fn before(&self, deadline: Time) -> f64 {
        let slot = slot(deadline);
        if self.count == 0 || slot < self.base {
            return 0.0;
        }
        if slot - self.base >= SLOTS as u64 {
            return self.total();
        }
        let (from, to) = (index(self.base), index(slot));
        let sum = match from <= to {
            true => self.prefix(to) - self.prefix_before(from),
            false => self.total - self.prefix_before(from) + self.prefix(to),
        };
        sum.max(0.0)
    }

    fn update(&mut self, slot: u64, work: f64) {
        let mut at = index(slot);
        while at <= SLOTS {
            self.tree[at] += work;
            at += at & at.wrapping_neg();
        }
    }

    fn prefix(&self, mut at: usize) -> f64 {
        let mut sum = 0.0;
        while at > 0 {
            sum += self.tree[at];
            at -= at & at.wrapping_neg();
        }
        sum
    }

    fn prefix_before(&self, at: usize) -> f64 {
        self.prefix(at - 1)
    }
}

fn slot(deadline: Time) -> u64 {
    deadline.as_micros() / SLOT_MICROS
}

/// Returns the 1-based index of a slot in the tree.
fn index(slot: u64) -> usize {
    (slot % SLOTS as u64) as usize + 1
}
