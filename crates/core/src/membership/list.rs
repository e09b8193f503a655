//! The published list of instances and endpoints.
//!
//! The shell parses the platform's JSON into [`InstanceList`]; the format is
//! described in `docs/INTERFACES.md`. Unknown fields are ignored, so that the
//! platform may add some without stopping the fleet.

use crate::ids::{EndpointKey, InstanceKey, stable_hash};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether the platform means to keep something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It is to be used.
    #[default]
    Live,
    /// It is about to go and is to get nothing new.
    Leaving,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// What an endpoint does with the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// It refuses an order with a lower number than it has seen.
    Checked,
    /// It takes any order, whatever its number.
    Ignored,
    /// It takes any order from anybody.
    #[default]
    Unchecked,
}

impl FencingSupport {
    /// Returns whether the endpoint itself refuses a stale giver of orders.
    pub const fn protects(self) -> bool {
        matches!(self, FencingSupport::Checked)
    }
}

/// One instance as published.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The published name.
    pub name: String,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where peers reach it.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is to be used.
    #[serde(default)]
    pub state: ListedState,
}

/// One endpoint as published.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The published name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// What it is.
    pub kind: EndpointKind,
    /// The models or services that it may serve.
    pub serves: Vec<String>,
    /// Whether it checks who gives it orders. If the list does not say, the
    /// careful way is taken.
    #[serde(default)]
    pub fencing: FencingSupport,
    /// Whether it is to be used.
    #[serde(default)]
    pub state: ListedState,
}

/// The published list.
///
/// Invariant after [`InstanceList::normalise`]: both lists are sorted by name
/// and hold a name once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceList {
    /// Grows with every change.
    pub revision: u64,
    /// Instances of oriolemux.
    #[serde(default)]
    pub instances: Vec<InstanceRecord>,
    /// Endpoints behind them.
    #[serde(default)]
    pub endpoints: Vec<EndpointRecord>,
}

impl InstanceList {
    /// Sorts the list and drops repeated names; returns how many were dropped.
    ///
    /// Of two records under one name the one that is leaving is kept: sending
    /// work to something that goes is the worse mistake.
    pub fn normalise(&mut self) -> usize {
        let before = self.instances.len() + self.endpoints.len();
        self.instances
            .sort_by(|a, b| (&a.name, !leaves(a.state)).cmp(&(&b.name, !leaves(b.state))));
        self.instances.dedup_by(|next, kept| next.name == kept.name);
        self.endpoints
            .sort_by(|a, b| (&a.name, !leaves(a.state)).cmp(&(&b.name, !leaves(b.state))));
        self.endpoints.dedup_by(|next, kept| next.name == kept.name);
        before - self.instances.len() - self.endpoints.len()
    }

    /// Returns a hash of the content, equal on all instances that hold the same list.
    pub fn digest(&self) -> u64 {
        let bytes = bincode::serde::encode_to_vec(self, bincode::config::standard());
        stable_hash(&[&bytes.unwrap_or_default()])
    }
}

const fn leaves(state: ListedState) -> bool {
    matches!(state, ListedState::Leaving)
}

impl InstanceRecord {
    /// Returns the key of the instance.
    pub fn key(&self) -> InstanceKey {
        InstanceKey::of(&self.name)
    }
}

impl EndpointRecord {
    /// Returns the key of the endpoint.
    pub fn key(&self) -> EndpointKey {
        EndpointKey::of(&self.name)
    }
}
