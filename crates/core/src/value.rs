//! Values that subsystems take and give, and that mean the same to all of them.
//!
//! They hold no decision and know no subsystem, so that each subsystem can be read
//! without the others.

use crate::fingerprint::Fingerprint;
use crate::ids::{EndpointKey, Incarnation, InstanceKey, RequestId};
use core::time::Duration;

/// Which process a peer message came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId {
    /// The instance, by its published name.
    pub instance: InstanceKey,
    /// Its life, as authenticated when the connection was made.
    pub incarnation: Incarnation,
}

/// Where a peer is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerTarget {
    /// The peer's key.
    pub key: InstanceKey,
    /// Its published name.
    pub name: String,
    /// Its address and port for peers, by number.
    pub address: std::net::SocketAddr,
}

/// Where an endpoint is reached and how it is spoken to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// The endpoint's key.
    pub key: EndpointKey,
    /// Its published name.
    pub name: String,
    /// Its address and port, by number.
    pub address: std::net::SocketAddr,
}

/// What a caller asked for, after the shell has read and bounded it.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// The request's name, drawn by the shell.
    pub id: RequestId,
    /// SHA-256 of the caller's bearer key.
    pub key_digest: [u8; 32],
    /// The entry's name, as the caller wrote it.
    pub entry: String,
    /// What is to be done.
    pub work: Work,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// The ticket that the caller drew earlier, if it sent one.
    pub ticket: Option<RequestId>,
    /// A stable hash of the body, to tell a repeat from a reuse of a key.
    pub body_hash: u64,
    /// What makes it the same request as another one, of any caller that holds the key.
    pub fingerprint: Fingerprint,
    /// How long the caller is willing to wait, if it said so.
    pub patience: Option<Duration>,
}

impl RequestArrival {
    /// Returns whether the request carries a ticket or key, so that an earlier
    /// request under the same name may have run.
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
        /// The most tokens that the caller wants, if it said so.
        max_tokens: Option<u32>,
        /// Whether the caller wants tokens as they come.
        stream: bool,
        /// Stable hashes of the prompt's leading blocks, longest prefix last.
        prefix: Vec<u64>,
    },
    /// A call of a plain service.
    Call,
}

/// How an attempt is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptMode {
    /// Nothing was delivered; start a generation.
    Fresh,
    /// Start a generation elsewhere and compare it with the first `delivered`
    /// tokens before going on (`docs/design/delivery.md`).
    Replay {
        /// How many tokens the caller already holds.
        delivered: u32,
    },
}

/// How an answer reaches its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DeliveryMode {
    /// Tokens are sent on as they come.
    Stream,
    /// Nothing is sent on until the generation is complete.
    Whole,
}

/// How full an endpoint said it was, with a lag.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Age of the figures when they were sent, in milliseconds.
    pub lag_ms: u32,
    /// Generations (or calls) that run.
    pub running: u32,
    /// Generations (or calls) that wait inside the endpoint.
    pub waiting: u32,
    /// Tokens of KV memory in all; 0 for a plain service.
    pub kv_tokens_total: u64,
    /// Tokens of KV memory in use by running generations.
    pub kv_tokens_used: u64,
    /// The most generations that run at once.
    pub max_running: u32,
    /// Preemptions since the endpoint started.
    pub preemptions: u64,
    /// Models that are loaded, with version and adapters.
    pub models: Vec<LoadedModel>,
    /// The endpoint says that it is leaving.
    pub leaving: bool,
    /// The highest fencing number that the endpoint has seen.
    pub fencing: u64,
}

/// A model that an endpoint holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub name: String,
    /// Its version.
    pub version: String,
    /// The adapters loaded for it.
    pub adapters: Vec<String>,
}

/// An order to an endpoint to change what it holds.
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

/// What became of an order to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The endpoint carries it out.
    Accepted,
    /// The endpoint has seen a higher fencing number.
    Fenced {
        /// The highest number that the endpoint has seen.
        highest: u64,
    },
    /// The endpoint did not answer or failed.
    Failed,
}

/// One value of the platform's service.
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
