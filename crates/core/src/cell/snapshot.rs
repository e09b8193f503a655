//! What a cell shows to operators.

use crate::ids::EndpointKey;
use core::time::Duration;

/// The state of a cell, for `oriolemux status`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CellSnapshot {
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run under grants of this cell.
    pub running: u32,
    /// How long the request that has waited longest has waited.
    pub oldest_wait: Duration,
    /// How often the lengths of an entry were found to have drifted.
    pub length_drifts: u64,
    /// Each endpoint, in the order of keys.
    pub endpoints: Vec<EndpointSnapshot>,
}

/// The state of one endpoint of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointSnapshot {
    /// The endpoint.
    pub key: EndpointKey,
    /// Whether it gets no new work because it is leaving.
    pub leaving: bool,
    /// Whether it gets no new work because it was ejected on evidence.
    pub ejected: bool,
    /// Requests that run there under this cell's grants.
    pub running: u32,
    /// KV tokens (or calls, for a service) in all.
    pub total: u64,
    /// KV tokens that are counted with for this cell's requests at present.
    pub counted: u64,
    /// KV tokens that others hold there, as far as the reports show.
    pub foreign: u64,
    /// KV tokens (or calls) that may still be granted.
    pub free: u64,
}
