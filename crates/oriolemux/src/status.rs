//! The state of an instance, as operators see it.
//!
//! The operators' listener sends these types as JSON, and `oriolemux status` and `oriolemux explain`
//! print them as text. Both sides share the types, so that they cannot diverge. All durations are in
//! milliseconds.

use oriolemux_core::explain::Line;
use serde::{Deserialize, Serialize};

pub use oriolemux_gateway::status::Readiness;

/// The state of an instance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The instance's published name.
    pub instance: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its incarnation, in hexadecimal.
    pub incarnation: String,
    /// The version of the program.
    pub version: String,
    /// How long the process has been running.
    pub uptime_ms: u64,
    /// Whether the load balancer may send requests here.
    pub readiness: Readiness,
    /// The catalogue.
    pub catalogue: CatalogueStatus,
    /// The list of instances and endpoints.
    pub list: ListStatus,
    /// Requests that this instance accepted.
    pub requests: RequestsStatus,
    /// Links to other instances.
    pub links: Vec<LinkStatus>,
    /// The cells that this instance decides for.
    pub cells: Vec<CellStatus>,
}

/// The catalogue in force, and the one that was rejected last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatalogueStatus {
    /// The revision in force; 0 for none.
    pub revision: u64,
    /// The rejected revision, if a newer one than that in force was rejected.
    pub rejected: Option<RejectedCatalogue>,
}

/// A catalogue revision that was rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedCatalogue {
    /// The revision.
    pub revision: u64,
    /// Every finding, as `value:line:column: problem`.
    pub findings: Vec<String>,
}

/// The list of instances and endpoints in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListStatus {
    /// The revision in force; 0 for none.
    pub revision: u64,
    /// The time since the list was last confirmed; `None` before the first list.
    pub age_ms: Option<u64>,
    /// Instances that may be homes, which are the instances that decide for a key.
    pub live_instances: u32,
    /// Entries of the platform's last list that could not be read.
    #[serde(default)]
    pub unreadable: usize,
}

/// The number of requests in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestsStatus {
    /// Requests that wait for their part of the catalogue.
    pub judging: u32,
    /// Requests that wait for a grant.
    pub waiting: u32,
    /// Requests that run at an endpoint.
    pub running: u32,
}

/// A link to another instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// The peer's published name.
    pub peer: String,
    /// Whether the link is up.
    pub up: bool,
}

/// A cell that this instance decides for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CellStatus {
    /// The cell's key.
    pub cell: String,
    /// What its endpoints serve; empty if the current list has no such cell.
    pub serves: Vec<String>,
    /// Its data centre; empty if the current list has no such cell.
    pub data_centre: String,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub running: u32,
    /// The wait of the request that has waited longest.
    pub oldest_wait_ms: u64,
    /// The cell's endpoints.
    pub endpoints: Vec<EndpointStatus>,
}

/// An endpoint of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint's published name, or its key if the name is not known.
    pub endpoint: String,
    /// It is leaving and receives no new work.
    pub leaving: bool,
    /// It was ejected after failures and receives only probes.
    pub ejected: bool,
    /// Requests that run there under this cell's grants.
    pub running: u32,
    /// KV tokens (or calls, for a service) in total.
    pub total: u64,
    /// KV tokens reserved for this cell's requests.
    pub counted: u64,
    /// KV tokens used there by others.
    pub foreign: u64,
    /// KV tokens (or calls) that may still be granted.
    pub free: u64,
}

/// The decisions about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request's id.
    pub request: String,
    /// The decisions, in order.
    pub steps: Vec<Line>,
}
