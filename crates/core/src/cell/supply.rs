//! Total capacity of a cell.

use super::Cell;
use super::request::CellRequest;
use crate::memory::ClassIx;
use crate::time::Time;

/// Total capacity of the endpoints that are not leaving.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Supply {
    pub at: Option<Time>,
    pub work_per_s: f64,
    pub largest: u64,
    /// Whether every endpoint that is not leaving has reported its load.
    pub is_known: bool,
}

/// Interval at which the total is recomputed.
const SUPPLY_INTERVAL: core::time::Duration = core::time::Duration::from_secs(1);

impl Cell {
    pub(super) fn refresh_supply(&mut self, now: Time) {
        let is_current = self
            .supply
            .at
            .is_some_and(|at| now.since(at) < SUPPLY_INTERVAL);
        if is_current {
            return;
        }
        let mut supply = Supply {
            at: Some(now),
            work_per_s: 0.0,
            largest: 0,
            is_known: true,
        };
        for ix in self.by_key.values() {
            let endpoint = &self.endpoints[*ix];
            if endpoint.is_leaving() {
                continue;
            }
            supply.work_per_s += endpoint.capacity(now) * endpoint.ledger.rate();
            supply.largest = supply.largest.max(endpoint.total);
            supply.is_known &= endpoint.reported.is_some();
        }
        self.supply = supply;
    }

    /// Returns the rate at which the queued work of a class drains, in token-tokens per second.
    pub(super) fn drain_rate(&self, class: ClassIx) -> f64 {
        self.classes[class].drain.rate(self.supply.work_per_s)
    }

    pub(super) fn can_ever_fit(&self, req: &CellRequest) -> bool {
        let is_model = self.supply.largest > 0;
        !is_model || !self.supply.is_known || u64::from(req.prompt_tokens) < self.supply.largest
    }
}
