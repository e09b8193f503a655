//! How likely each class may find memory short.
//!
//! The right risk depends on how far the lengths of a class are independent
//! and how well they are known, which nobody can say ahead. So it is steered:
//! a preemption lowers it, each completion raises it a little, and where the
//! two balance the class has as many preemptions as it accepts.

/// Share of the risk that stays after one preemption.
const PREEMPTION_FACTOR: f64 = 0.8;
/// Bounds of the risk.
const BOUNDS: (f64, f64) = (1e-3, 0.1);

/// The accepted risk of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassRisk {
    accepted: f64,
    /// Preemptions per completed request that the class accepts.
    target: f64,
}

impl ClassRisk {
    /// Returns a risk that starts at `accepted` and settles where there are
    /// `target` preemptions per completed request.
    pub fn new(accepted: f64, target: f64) -> ClassRisk {
        ClassRisk { accepted, target }
    }

    /// Takes in `count` preemptions, or a share of one.
    pub fn preempted(&mut self, count: f64) {
        self.accepted = (self.accepted * PREEMPTION_FACTOR.powf(count)).max(BOUNDS.0);
    }

    /// Raises the risk to `start` at least.
    pub fn raise_to(&mut self, start: f64) {
        self.accepted = self.accepted.max(start);
    }

    /// Takes in a completion.
    pub fn completed(&mut self) {
        self.accepted = (self.accepted * PREEMPTION_FACTOR.powf(-self.target)).min(BOUNDS.1);
    }

    /// Returns the accepted chance, from 0 to 1, that a generation runs when
    /// memory is short.
    pub fn accepted(&self) -> f64 {
        self.accepted
    }
}
