//! State of a cell as shown to operators.

use crate::ids::EndpointKey;
use core::time::Duration;

/// The state of a cell, for `oriolemux status`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellSnapshot {
    /// Waiting requests.
    pub queued: u32,
    /// Requests that run under the grants of this cell.
    pub running: u32,
    /// Longest time that a waiting request has waited so far.
    pub oldest_wait: Duration,
    /// Number of detected drifts in the output lengths of an entry.
    pub length_drifts: u64,
    /// The endpoints in the order of their keys.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// The state of one endpoint of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint.
    pub key: EndpointKey,
    /// Whether it receives no new requests because it is leaving.
    pub leaving: bool,
    /// Whether it receives no new requests because it was ejected after failures.
    pub ejected: bool,
    /// Requests that run there under this cell's grants.
    pub running: u32,
    /// Total KV tokens (or calls, for a service).
    pub total: u64,
    /// KV tokens attributed to this cell's requests at present.
    pub counted: u64,
    /// KV tokens in use by requests of others, as inferred from the load reports.
    pub foreign: u64,
    /// KV tokens (or calls) that can still be granted.
    pub free: u64,
}
