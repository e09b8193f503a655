//! Inputs of a cell: requests, endpoints, running requests and how requests ended.

use crate::ids::{ClassKey, EndpointKey, EntryKey, RequestId, WorkspaceKey, stable_hash};
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// Default ratio of preemptions to completed requests that a class accepts.
pub const DEFAULT_PREEMPTION_RISK: f32 = 0.0005;

/// Scheduling rules of a class in the catalogue.
///
/// The rules travel with each request. A home whose catalogue is one revision behind therefore
/// applies the revision under which the request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRules {
    /// The class that the rules belong to.
    pub key: ClassKey,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Time within which a request should start.
    pub wait_target: Duration,
    /// A request that cannot start within this time is refused.
    pub longest_wait: Duration,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Accepted ratio of preemptions to completed requests.
    pub preemption_risk: f32,
}

impl ClassRules {
    /// Returns rules for idempotent requests with the default preemption risk.
    pub fn new(
        key: ClassKey,
        urgency: u8,
        wait_target: Duration,
        longest_wait: Duration,
    ) -> ClassRules {
        ClassRules {
            key,
            urgency,
            wait_target,
            longest_wait,
            idempotent: true,
            preemption_risk: DEFAULT_PREEMPTION_RISK,
        }
    }
}

/// The model that an endpoint must have loaded to serve a request, as one comparable value.
///
/// It is a stable hash of the model's name with an optional version and adapter, so that checking
/// it against an endpoint's load report takes a single search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Requirement(u64);

impl Requirement {
    /// Every endpoint of the cell meets this requirement.
    pub const ANY: Requirement = Requirement(0);

    /// Returns the requirement for `model`, with `version` and `adapter` if they are given.
    pub fn new(model: &str, version: Option<&str>, adapter: Option<&str>) -> Requirement {
        let version = version.unwrap_or_default();
        let adapter = adapter.unwrap_or_default();
        let hash = stable_hash(&[model.as_bytes(), version.as_bytes(), adapter.as_bytes()]);
        Requirement(hash.max(1))
    }
}

/// A request for which a grant is sought in a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellRequest {
    /// The request.
    pub id: RequestId,
    /// The catalogue entry that it names.
    pub entry: EntryKey,
    /// The workspace that it belongs to.
    pub workspace: WorkspaceKey,
    /// The rules of its class.
    pub class: ClassRules,
    /// When its instance accepted it, on this process's clock.
    pub arrived: Time,
    /// Prompt tokens as declared or estimated.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; often far above the actual length.
    pub max_tokens: u32,
    /// Stable hashes of the prompt's leading blocks, longest prefix last.
    pub prefix: Vec<u64>,
    /// Endpoints that must not be granted because an attempt of the request failed there.
    pub exclude: Vec<EndpointKey>,
    /// Tokens that an earlier attempt delivered and that the next attempt replays.
    pub replay_tokens: u32,
    /// What the endpoint must have loaded.
    pub needs: Requirement,
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointKind {
    /// A model engine, limited by its KV cache.
    Model,
    /// A plain service, limited by a concurrency that is learned from its latency.
    Service,
}

/// Distance between an endpoint and the home of its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Distance {
    /// In the same data centre.
    Near,
    /// In another data centre.
    Far,
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// It accepts new requests.
    Live,
    /// It finishes its running requests and receives no new ones.
    Leaving,
}

/// Published information about an endpoint of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// The endpoint.
    pub key: EndpointKey,
    /// Whether it is a model engine or a plain service.
    pub kind: EndpointKind,
    /// Its distance from the home of the cell.
    pub distance: Distance,
    /// Whether it accepts new requests.
    pub state: EndpointState,
}

impl EndpointInfo {
    /// Returns a live endpoint in the same data centre.
    pub fn near(key: EndpointKey, kind: EndpointKind) -> EndpointInfo {
        EndpointInfo {
            key,
            kind,
            distance: Distance::Near,
            state: EndpointState::Live,
        }
    }
}

/// How a granted request ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The complete response was received.
    Complete {
        /// Prompt tokens as counted by the engine, if it reported them.
        prompt_tokens: Option<u32>,
    },
    /// The caller left, so the full length is not known.
    Cancelled,
    /// The attempt failed.
    Failed(Reason),
}

/// A request that runs under the grant of a previous home, as reported by its entry instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Running {
    /// The request.
    pub id: RequestId,
    /// The endpoint that it runs on.
    pub endpoint: EndpointKey,
    /// The catalogue entry that it names.
    pub entry: EntryKey,
    /// The workspace that it belongs to.
    pub workspace: WorkspaceKey,
    /// The rules of its class.
    pub class: ClassRules,
    /// Prompt tokens as declared or estimated.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Tokens generated so far.
    pub tokens: u32,
}
