//! Which endpoints form a cell.
//!
//! A cell is the unit that one home admits work for: a few endpoints of one
//! data centre that serve the same names. Every endpoint is in exactly one
//! cell, so that its memory has one decision maker and its orders one giver.
//! The assignment is a pure function of the list. An endpoint that only starts
//! to leave stays in its cell, so that the others keep theirs.

use super::list::EndpointRecord;
use crate::ids::{CellKey, EndpointKey, stable_hash};
use crate::rendezvous;
use std::collections::BTreeMap;

/// The most endpoints of one cell unless the settings say otherwise.
///
/// Larger cells pool memory better; smaller ones spread the homes' work. The
/// size is argued for in `docs/design/placement.md`.
pub const CELL_ENDPOINTS: usize = 4;

/// One cell as computed from the list.
///
/// Invariant: `endpoints` is not empty, sorted, and at most as long as asked for.
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

/// Endpoints that could share a cell.
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

/// Spreads one pool over its groups by rendezvous hashing with bounded room.
///
/// Equal slices of the sorted pool would be simpler, but there one endpoint
/// that comes or goes moves an endpoint out of every cell.
fn plan_pool(
    pool: &Pool,
    endpoints: &[EndpointKey],
    cell_endpoints: usize,
    plans: &mut Vec<CellPlan>,
) {
    let groups = endpoints.len().div_ceil(cell_endpoints);
    // One place more than an even share, so that rendezvous has some choice
    // but no cell is left with a single endpoint to pool memory with.
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
