//! Value types that subsystems exchange.
//!
//! They contain no logic and depend on no subsystem, so that each subsystem can be read on its
//! own.

use crate::fingerprint::Fingerprint;
use crate::ids::{EndpointKey, Incarnation, InstanceKey, RequestId};
use core::time::Duration;

/// The process that sent a peer message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId {
    /// The instance, by its published name.
    pub instance: InstanceKey,
    /// Its incarnation, as authenticated when the connection was made.
    pub incarnation: Incarnation,
}

/// The address of a peer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerTarget {
    /// The peer's key.
    pub key: InstanceKey,
    /// Its published name.
    pub name: String,
    /// Its numeric address and port for peer connections.
    pub address: std::net::SocketAddr,
}

/// The address of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// The endpoint's key.
    pub key: EndpointKey,
    /// Its published name.
    pub name: String,
    /// Its numeric address and port.
    pub address: std::net::SocketAddr,
}

/// A request of a caller, after the shell has parsed it and checked its size limits.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// The request's id, assigned by the shell.
    pub id: RequestId,
    /// SHA-256 of the caller's bearer key.
    pub key_digest: [u8; 32],
    /// The entry's name, as the caller sent it.
    pub entry: String,
    /// The work to run.
    pub work: Work,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// The ticket that the caller obtained earlier, if it sent one.
    pub ticket: Option<RequestId>,
    /// A stable hash of the body, to distinguish a duplicate request from the reuse of a key for a
    /// different request.
    pub body_hash: u64,
    /// Equal for all identical requests, from any caller that holds the workspace's key.
    pub fingerprint: Fingerprint,
    /// The longest wait that the caller accepts, if it sent one.
    pub patience: Option<Duration>,
}

impl RequestArrival {
    /// Returns whether the request carries a ticket or idempotency key, so that an earlier request
    /// under the same ticket or key may have run.
    pub const fn has_name(&self) -> bool {
        self.ticket.is_some() || self.idempotency_key.is_some()
    }
}

/// The work of a request.
#[derive(Clone, Debug)]
pub enum Work {
    /// A generation by a model.
    Completion {
        /// Tokens of the prompt, declared by the caller or estimated by the shell.
        prompt_tokens: u32,
        /// The maximum number of tokens to generate, if the caller set one.
        max_tokens: Option<u32>,
        /// Whether the caller requested streaming.
        stream: bool,
        /// Stable hashes of the prompt's leading blocks. The last one covers the longest prefix.
        prefix: Vec<u64>,
    },
    /// A call of a plain service.
    Call,
}

/// How an attempt is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptMode {
    /// Nothing was delivered yet; start a generation.
    Fresh,
    /// Start a generation at another endpoint and compare its first `delivered` tokens with those
    /// delivered before continuing (`docs/design/delivery.md`).
    Replay {
        /// Number of tokens that the caller has already received.
        delivered: u32,
    },
}

/// How a response is delivered to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DeliveryMode {
    /// Tokens are forwarded as they arrive.
    Stream,
    /// Nothing is forwarded until the generation is complete.
    Whole,
}

/// The load that an endpoint reports, with a lag.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Age of the figures when they were sent, in milliseconds.
    pub lag_ms: u32,
    /// Running generations (or calls).
    pub running: u32,
    /// Generations (or calls) queued inside the endpoint.
    pub waiting: u32,
    /// Capacity of the KV cache in tokens; 0 for a plain service.
    pub kv_tokens_total: u64,
    /// Tokens of the KV cache in use by running generations.
    pub kv_tokens_used: u64,
    /// Maximum number of generations that run at once.
    pub max_running: u32,
    /// Preemptions since the endpoint started.
    pub preemptions: u64,
    /// Loaded models, with version and adapters.
    pub models: Vec<LoadedModel>,
    /// Whether the endpoint announces that it is leaving.
    pub leaving: bool,
    /// The highest fencing token that the endpoint has seen.
    pub fencing: u64,
}

/// A model that an endpoint has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub name: String,
    /// Its version.
    pub version: String,
    /// The adapters loaded for it.
    pub adapters: Vec<String>,
}

/// An order to an endpoint to change its models or its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model, a version or an adapter.
    Load {
        /// The model's name.
        model: String,
        /// The version.
        version: String,
        /// An adapter of it, if the order is for one.
        adapter: Option<String>,
    },
    /// Unload a model, a version or an adapter.
    Unload {
        /// The model's name.
        model: String,
        /// The version.
        version: String,
        /// An adapter of it, if the order is for one.
        adapter: Option<String>,
    },
    /// Change the endpoint's role.
    Role {
        /// The new role's name.
        role: String,
    },
}

/// The result of an order to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The endpoint accepted the order.
    Accepted,
    /// The endpoint has seen a higher fencing token and refused.
    Fenced {
        /// The highest fencing token that the endpoint has seen.
        highest: u64,
    },
    /// The endpoint did not respond or failed.
    Failed,
}

/// A value that the platform publishes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ValueName {
    /// The list of instances and endpoints.
    Instances,
    /// The catalogue's index: revision and a digest per shard.
    CatalogueIndex,
    /// One shard of the catalogue.
    CatalogueShard(u32),
}

impl core::fmt::Display for ValueName {
    /// Writes the name under which the platform publishes the value.
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            ValueName::Instances => f.write_str("instances"),
            ValueName::CatalogueIndex => f.write_str("catalogue-index"),
            ValueName::CatalogueShard(number) => write!(f, "catalogue-shard-{number}"),
        }
    }
}
