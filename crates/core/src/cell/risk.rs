//! How many standard deviations of memory each class keeps free.
//!
//! The right margin depends on how far the lengths of a class are independent
//! and how well they are known, which nobody can say ahead. So it is steered:
//! a preemption raises it, each completion lowers it a little, and where the
//! two balance the class has as many preemptions as it accepts.

/// Raise by one preemption, in standard deviations.
const RAISE: f64 = 0.25;
/// Bounds of the margin, in standard deviations.
const BOUNDS: (f64, f64) = (1.0, 6.0);

/// The margin of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassRisk {
    sigmas: f64,
    target: f64,
}

impl ClassRisk {
    /// Returns a margin that starts at `sigmas` and settles where there are
    /// `target` preemptions per completed request.
    pub fn new(sigmas: f64, target: f64) -> ClassRisk {
        ClassRisk { sigmas, target }
    }

    /// Takes in `count` preemptions, or a share of one.
    pub fn preempted(&mut self, count: f64) {
        self.sigmas = (self.sigmas + RAISE * count).min(BOUNDS.1);
    }

    /// Takes in a completion.
    pub fn completed(&mut self) {
        self.sigmas = (self.sigmas - RAISE * self.target).max(BOUNDS.0);
    }

    /// Returns the margin, in standard deviations.
    pub fn sigmas(&self) -> f64 {
        self.sigmas
    }
}
