//! Updates of the length model, the health and the accepted risks from completions, failures and
//! preemptions.

use super::Cell;
use crate::length::buckets::bucket_of;
use crate::memory::Held;
use crate::reason::Reason;
use crate::routing::prefix::EndpointIx;
use crate::time::Time;

impl Cell {
    pub(super) fn learn_length(&mut self, held: &Held, tokens: u32) {
        if tokens >= held.demand.cap {
            self.learn_censored(held, tokens);
            return;
        }
        self.lengths.ended(held.node, held.passed, tokens);
    }

    /// Records an output that was truncated. Its length is a lower bound (a censored observation).
    pub(super) fn learn_censored(&mut self, held: &Held, tokens: u32) {
        self.lengths
            .survived(held.node, held.passed, bucket_of(tokens));
    }

    pub(super) fn learn_failure(&mut self, now: Time, ix: EndpointIx, reason: Reason) {
        let endpoint = &mut self.endpoints[ix];
        endpoint.calls.failed();
        if reason == Reason::EndpointLeaving {
            endpoint.reported_leaving = true;
        }
        if endpoint.health.failed(now, reason) {
            self.prefixes.forget(ix);
        }
    }

    /// Raises the accepted risks back to their initial value when the lengths have drifted.
    /// Preemptions caused by outdated lengths say nothing about the new ones; without the reset,
    /// memory stays half empty for an hour after a drift.
    pub(super) fn reset_risks_after_drift(&mut self) {
        if self.lengths.drifts() != self.drifts_applied {
            self.drifts_applied = self.lengths.drifts();
            for class in self.classes.values_mut() {
                class.risk.raise_to(self.cfg.risk_start);
            }
        }
    }

    /// Attributes preemptions in equal shares to the requests that ran on the endpoint.
    pub(super) fn learn_preemptions(&mut self, ix: EndpointIx, count: u64) {
        let held = self.endpoints[ix].ledger.held();
        let share = count as f64 / held.len().max(1) as f64;
        for held in held {
            self.classes[held.class].risk.preempted(share);
        }
    }
}
