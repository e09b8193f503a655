//! The retry budget, as far as this instance may spend it.

use super::Gateway;
use crate::gateway::budget::{RepeatDecision, RepeatKind};
use crate::time::Time;

impl Gateway {
    /// Asks to send a request of `service` to one more endpoint, and spends a retry if that is
    /// allowed. Every path that sends a request again must call this.
    pub fn try_spend_retry(
        &mut self,
        now: Time,
        service: &str,
        kind: RepeatKind,
    ) -> RepeatDecision {
        let has_moves = self.has_engines(service);
        let is_allowed = self.budget.spend(now, service, kind, has_moves);
        RepeatDecision {
            is_allowed,
            heard: self.instances(),
            known: self.fleet.settled().unwrap_or(0),
            age: now.since(self.started),
            left: self.budget.left(now, service),
        }
    }

    /// Returns whether the budget allows a generation of `service` to resume at another engine now.
    pub fn may_relocate(&mut self, now: Time, service: &str) -> bool {
        self.budget.left(now, service) >= 1.0
    }

    fn has_engines(&self, service: &str) -> bool {
        let catalogue = self.catalogue.as_ref();
        let mut services = catalogue.into_iter().flat_map(|it| it.services());
        services.any(|it| it.name == service && it.engine.is_some())
    }
}
