//! Max-min fair shares.

/// How a total is shared among takers that want different amounts.
///
/// Nobody gets more than it wants; whoever wants little gets it whole, and the
/// rest is shared evenly among those that want more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FairLevel {
    /// The most that anybody gets.
    pub level: u32,
    /// What is not shared because it does not divide evenly.
    pub remainder: u32,
}

impl FairLevel {
    /// Shares `total` among takers that want `wants`.
    pub fn of(total: u32, demands: impl Iterator<Item = u32>) -> Self {
        let mut demands: Vec<u32> = demands.collect();
        demands.sort_unstable();
        let mut rest = total;
        let mut parties = u32::try_from(demands.len()).unwrap_or(u32::MAX);
        for demand in demands {
            let even = rest / parties;
            if demand > even {
                return FairLevel {
                    level: even,
                    remainder: rest - even * parties,
                };
            }
            rest -= demand;
            parties -= 1;
        }
        FairLevel {
            level: u32::MAX,
            remainder: rest,
        }
    }

    /// Returns what a taker that wants `wanted` gets.
    pub fn share(&self, demand: u32) -> u32 {
        demand.min(self.level)
    }
}
