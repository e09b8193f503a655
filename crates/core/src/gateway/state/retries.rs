//! The retry budget, as far as this instance may spend it.

use super::Gateway;
use crate::gateway::budget::{RetryDecision, RetryKind};
use crate::time::Time;

impl Gateway {
    /// Asks to send a request of `service` to one more endpoint, and spends a retry if that is
    /// allowed. Every path that sends a request again must call this.
    pub fn try_spend_retry(&mut self, now: Time, service: &str, kind: RetryKind) -> RetryDecision {
        let has_moves = self.has_engines(service);
        let is_allowed = self.budget.try_spend(now, service, kind, has_moves);
        RetryDecision {
            is_allowed,
            live_instances: self.instances(),
            known_instances: self.fleet.settled().unwrap_or(0),
            uptime: now.since(self.started),
            remaining: self.budget.remaining(now, service),
        }
    }

    /// Returns whether the budget allows a generation of `service` to resume at another engine now.
    pub fn may_relocate(&mut self, now: Time, service: &str) -> bool {
        self.budget.remaining(now, service) >= 1.0
    }

    /// Returns whether [`Gateway::try_spend_retry`] would allow the retry now.
    pub fn may_spend_retry(&mut self, now: Time, service: &str, kind: RetryKind) -> bool {
        let has_moves = self.has_engines(service);
        self.budget.may_spend(now, service, kind, has_moves)
    }

    fn has_engines(&self, service: &str) -> bool {
        let catalogue = self.catalogue.as_ref();
        let mut services = catalogue.into_iter().flat_map(|it| it.services());
        services.any(|it| it.name == service && it.engine.is_some())
    }
}
