//! Accepted probability that a generation of a class runs out of memory.
//!
//! The right value depends on how independent the lengths of a class are and how well they are
//! known, which cannot be determined in advance. It is therefore controlled by feedback: a
//! preemption lowers it and each completion raises it slightly. In equilibrium the class has the
//! ratio of preemptions that it accepts.

/// Factor applied to the risk for each preemption.
const PREEMPTION_FACTOR: f64 = 0.8;
/// Lower and upper bound of the risk.
const BOUNDS: (f64, f64) = (1e-3, 0.1);

/// The accepted risk of one class.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassRisk {
    accepted: f64,
    /// Accepted ratio of preemptions to completed requests.
    target: f64,
}

impl ClassRisk {
    /// Returns a risk that starts at `accepted` and converges towards `target` preemptions per
    /// completed request.
    pub fn new(accepted: f64, target: f64) -> ClassRisk {
        ClassRisk { accepted, target }
    }

    /// Lowers the risk for `count` preemptions, which may be a fraction.
    pub fn preempted(&mut self, count: f64) {
        self.accepted = (self.accepted * PREEMPTION_FACTOR.powf(count)).max(BOUNDS.0);
    }

    /// Raises the risk to at least `start`.
    pub fn raise_to(&mut self, start: f64) {
        self.accepted = self.accepted.max(start);
    }

    /// Raises the risk for one completion.
    pub fn completed(&mut self) {
        self.accepted = (self.accepted * PREEMPTION_FACTOR.powf(-self.target)).min(BOUNDS.1);
    }

    /// Returns the accepted probability, from 0 to 1, that a generation runs out of memory.
    pub fn accepted(&self) -> f64 {
        self.accepted
    }
}
