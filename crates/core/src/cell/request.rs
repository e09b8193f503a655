//! What a cell is told: requests, endpoints, what runs and how it ended.

use crate::ids::{ClassKey, EndpointKey, EntryKey, RequestId, WorkspaceKey, stable_hash};
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// Preemptions per completed request that a class accepts when the catalogue
/// does not say; a ratio.
pub const DEFAULT_PREEMPTION_RISK: f32 = 0.0005;

/// What a class of the catalogue says about its work.
///
/// The rules travel with each request, so that a home whose catalogue is one
/// revision behind still judges the request by the revision it arrived under.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassRules {
    /// The class.
    pub key: ClassKey,
    /// How urgent the work is; 0 is the most urgent.
    pub urgency: u8,
    /// How soon the work should start.
    pub wait_target: Duration,
    /// Work that cannot start within this time is refused.
    pub longest_wait: Duration,
    /// Whether the work may be run more than once.
    pub idempotent: bool,
    /// Preemptions per completed request that the class accepts; a ratio.
    pub preemption_risk: f32,
}

impl ClassRules {
    /// Returns rules for idempotent work with the default preemption risk.
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

/// What an endpoint must hold to take a request, as one comparable value.
///
/// It is a stable hash of a model's name with an optional version and adapter,
/// so that a check against what an endpoint reported is one search.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Requirement(u64);

impl Requirement {
    /// Any endpoint of the cell will do.
    pub const ANY: Requirement = Requirement(0);

    /// Returns the requirement of `model`, in `version` and with `adapter` if given.
    pub fn new(model: &str, version: Option<&str>, adapter: Option<&str>) -> Requirement {
        let version = version.unwrap_or_default();
        let adapter = adapter.unwrap_or_default();
        let hash = stable_hash(&[model.as_bytes(), version.as_bytes(), adapter.as_bytes()]);
        Requirement(hash.max(1))
    }
}

/// A request that asks a cell for a grant.
#[derive(Clone, Debug, PartialEq)]
pub struct CellRequest {
    /// The request.
    pub id: RequestId,
    /// The catalogue entry that it names.
    pub entry: EntryKey,
    /// The workspace that it is for.
    pub workspace: WorkspaceKey,
    /// What its class says.
    pub class: ClassRules,
    /// When its instance accepted it, on this process's clock.
    pub arrived: Time,
    /// Tokens of the prompt as declared or estimated.
    pub prompt_tokens: u32,
    /// The most tokens that may be generated; often far above what will be.
    pub max_tokens: u32,
    /// Stable hashes of the prompt's leading blocks, longest prefix last.
    pub prefix: Vec<u64>,
    /// Endpoints that must not be granted, because an attempt failed there.
    pub exclude: Vec<EndpointKey>,
    /// Tokens that an earlier attempt delivered and that this one replays.
    pub replay_tokens: u32,
    /// What the endpoint must hold.
    pub needs: Requirement,
}

/// What kind of endpoint this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointKind {
    /// A model engine, bounded by its KV memory.
    Model,
    /// A plain service, bounded by a concurrency learned from its latency.
    Service,
}

/// How far away an endpoint is from the home of its cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Distance {
    /// The same data centre.
    Near,
    /// Another data centre.
    Far,
}

/// Whether an endpoint may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointState {
    /// It may.
    Live,
    /// It finishes what it has and gets nothing new.
    Leaving,
}

/// What is published about an endpoint of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// The endpoint.
    pub key: EndpointKey,
    /// Model engine or plain service.
    pub kind: EndpointKind,
    /// How far away it is.
    pub distance: Distance,
    /// Whether it may get new work.
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
    /// The whole answer came.
    Complete {
        /// Tokens of the prompt as the engine counted them, if it said so.
        prompt_tokens: Option<u32>,
    },
    /// The caller left; the length is not known.
    Cancelled,
    /// The attempt failed.
    Failed(Reason),
}

/// A request that runs under an earlier home's grant, as its entry tells it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Running {
    /// The request.
    pub id: RequestId,
    /// Where it runs.
    pub endpoint: EndpointKey,
    /// The catalogue entry that it names.
    pub entry: EntryKey,
    /// The workspace that it is for.
    pub workspace: WorkspaceKey,
    /// What its class says.
    pub class: ClassRules,
    /// Tokens of the prompt as declared or estimated.
    pub prompt_tokens: u32,
    /// The most tokens that may be generated.
    pub max_tokens: u32,
    /// Tokens generated so far.
    pub tokens: u32,
}
