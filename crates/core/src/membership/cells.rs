//! Assigns endpoints to cells.
//!
//! A cell is a few endpoints of one data centre that serve the same names, and the unit for which
//! one home admits work. Every endpoint is in exactly one cell, so that a single home manages its
//! memory and a single controller sends its orders. The assignment is a pure function of the list.
//! A leaving endpoint stays in its cell, so that the other endpoints stay in theirs.

use super::list::EndpointRecord;
use crate::ids::{CellKey, EndpointKey, stable_hash};
use crate::rendezvous;
use std::collections::BTreeMap;

/// Default maximum number of endpoints in a cell.
///
/// Larger cells pool memory better; smaller ones distribute the homes' work.
/// `docs/design/placement.md` explains the choice.
pub const CELL_ENDPOINTS: usize = 4;

/// One cell as computed from the list.
///
/// Invariant: `endpoints` is not empty, is sorted, and does not exceed the maximum cell size.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CellPlan {
    /// The cell.
    pub key: CellKey,
    /// The names that all its endpoints serve, sorted.
    pub serves: Vec<String>,
    /// Its data centre.
    pub data_centre: String,
    /// Its endpoints.
    pub endpoints: Vec<EndpointKey>,
}

/// The properties that endpoints of a cell have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Pool {
    data_centre: String,
    serves: Vec<String>,
}

impl Pool {
    fn of(record: &EndpointRecord) -> Self {
        let mut serves = record.serves.clone();
        serves.sort();
        serves.dedup();
        Pool {
            data_centre: record.data_centre.clone(),
            serves,
        }
    }

    fn cell_key(&self, group: u32) -> CellKey {
        let group = group.to_le_bytes();
        let mut parts: Vec<&[u8]> = vec![b"cell", self.data_centre.as_bytes(), &group];
        parts.extend(self.serves.iter().map(|name| name.as_bytes()));
        CellKey(stable_hash(&parts))
    }
}

/// Assigns every endpoint to a cell of at most `cell_endpoints` endpoints.
///
/// The result is sorted by data centre and served names and does not depend on
/// the order of `records`.
pub fn plan_cells(records: &[EndpointRecord], cell_endpoints: usize) -> Vec<CellPlan> {
    let mut pools: BTreeMap<Pool, Vec<EndpointKey>> = BTreeMap::new();
    for record in records {
        pools
            .entry(Pool::of(record))
            .or_default()
            .push(record.key());
    }
    let mut plans = Vec::new();
    for (pool, endpoints) in &mut pools {
        endpoints.sort_unstable();
        plan_pool(pool, endpoints, cell_endpoints.max(1), &mut plans);
    }
    plans
}

/// Distributes the endpoints of a pool over its groups by bounded rendezvous hashing.
///
/// Equal slices of the sorted pool would be simpler, but one endpoint that is added or removed
/// would then move an endpoint out of every cell.
fn plan_pool(
    pool: &Pool,
    endpoints: &[EndpointKey],
    cell_endpoints: usize,
    plans: &mut Vec<CellPlan>,
) {
    let groups = endpoints.len().div_ceil(cell_endpoints);
    // One endpoint more than an even share gives rendezvous hashing some choice, while no cell is
    // left with a single endpoint that has no memory to pool.
    let room = (endpoints.len().div_ceil(groups.max(1)) + 1).min(cell_endpoints);
    let mut cells: Vec<CellPlan> = (0..groups)
        .map(|group| CellPlan {
            key: pool.cell_key(u32::try_from(group).unwrap_or(u32::MAX)),
            serves: pool.serves.clone(),
            data_centre: pool.data_centre.clone(),
            endpoints: Vec::new(),
        })
        .collect();
    for &endpoint in endpoints {
        let open = cells.iter_mut().filter(|cell| cell.endpoints.len() < room);
        let best = open.max_by_key(|cell| rendezvous::score(cell.key.0, endpoint.0));
        debug_assert!(best.is_some(), "the groups hold the whole pool");
        if let Some(cell) = best {
            cell.endpoints.push(endpoint);
        }
    }
    plans.extend(cells.into_iter().filter(|cell| !cell.endpoints.is_empty()));
}
