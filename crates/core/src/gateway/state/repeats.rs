//! The fleet's repeats, as far as this instance may spend them.

use super::Gateway;
use crate::gateway::budget::{RepeatDecision, RepeatKind};
use crate::time::Time;

impl Gateway {
    /// Asks to send a request of `service` to one endpoint more, and spends a repeat if it may.
    pub fn spend_repeat(&mut self, now: Time, service: &str, kind: RepeatKind) -> RepeatDecision {
        let is_allowed = match kind {
            RepeatKind::GoOn | RepeatKind::GoOnAgain => {
                self.budget.note_repeat(service);
                true
            }
            RepeatKind::Retry | RepeatKind::ReadAnew => self.budget.spend(now, service),
        };
        RepeatDecision {
            is_allowed,
            heard: self.instances(),
            known: self.fleet.settled().unwrap_or(0),
            age: now.since(self.started),
            left: self.budget.left(now, service),
        }
    }
}
