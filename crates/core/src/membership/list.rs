//! The published list of instances and endpoints.
//!
//! The shell parses the platform's JSON into [`InstanceList`]; `docs/INTERFACES.md` describes the
//! format. Unknown fields are ignored, so that the platform can add fields without stopping the
//! fleet.

use crate::ids::{EndpointKey, InstanceKey, stable_hash};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The state of an instance or endpoint in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It is in use.
    #[default]
    Live,
    /// It is leaving and must not get new work.
    Leaving,
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// How an endpoint treats the fencing number of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingSupport {
    /// It rejects an order with a lower number than it has seen.
    Checked,
    /// It accepts orders with any number.
    Ignored,
    /// It accepts any order from any sender.
    #[default]
    Unchecked,
}

impl FencingSupport {
    /// Returns whether the endpoint itself rejects orders of a stale controller.
    pub const fn protects(self) -> bool {
        matches!(self, FencingSupport::Checked)
    }
}

/// A listed instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Its listed name.
    pub name: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its state.
    #[serde(default)]
    pub state: ListedState,
}

/// A listed endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Its listed name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its kind.
    pub kind: EndpointKind,
    /// The models or services that it may serve.
    pub serves: Vec<String>,
    /// Whether it checks the sender of orders. If the field is missing,
    /// [`FencingSupport::Unchecked`] is assumed, which is the safe choice.
    #[serde(default)]
    pub fencing: FencingSupport,
    /// Its state.
    #[serde(default)]
    pub state: ListedState,
}

/// The published list.
///
/// Invariant after [`InstanceList::normalise`]: both lists are sorted by name, and names are
/// unique.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct InstanceList {
    /// Increases with every change.
    pub revision: u64,
    /// The instances of oriolemux.
    #[serde(default)]
    pub instances: Vec<InstanceRecord>,
    /// The endpoints behind them.
    #[serde(default)]
    pub endpoints: Vec<EndpointRecord>,
}

impl InstanceList {
    /// Sorts the list and drops duplicate names; returns how many were dropped.
    ///
    /// Of two records with the same name, a leaving one is kept, because sending work to something
    /// that is leaving is the worse mistake.
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
