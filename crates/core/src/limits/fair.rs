//! Max-min fair shares.

/// A max-min fair division of a total among parties with different demands.
///
/// No party gets more than its demand. Small demands are met in full, and the remainder is divided
/// evenly among the larger ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FairLevel {
    /// The largest share of any party.
    pub level: u32,
    /// What is left because it does not divide evenly.
    pub remainder: u32,
}

impl FairLevel {
    /// Divides `total` among parties that demand `wants`.
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

    /// Returns the share of a party that demands `wanted`.
    pub fn share(&self, demand: u32) -> u32 {
        demand.min(self.level)
    }
}
