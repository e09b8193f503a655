//! The verified catalogue as dense entities.

use super::digest::Digest;
use crate::ids::{ClassKey, EntryKey, ModelKey};
use crate::value::DeliveryMode;
use core::time::Duration;
use cranelift_entity::{PrimaryMap, entity_impl};
use std::collections::BTreeMap;

/// A [`Class`] of one [`Catalogue`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(u32);
entity_impl!(ClassId, "class");

/// An [`Entry`] of one [`Catalogue`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(u32);
entity_impl!(EntryId, "entry");

/// A [`Model`] of one [`Catalogue`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelId(u32);
entity_impl!(ModelId, "model");

/// A [`Service`] of one [`Catalogue`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(u32);
entity_impl!(ServiceId, "service");

/// The chance of a preemption that a class accepts for each generation if it
/// says nothing.
pub const DEFAULT_PREEMPTION_RISK: f64 = 0.01;

/// One verified revision of the catalogue, without its workspaces.
///
/// Invariants, which [`super::verify`] establishes: every id in it is valid in
/// its maps, every name is unique in its map (models: name and version), and
/// `wait_target <= longest_wait` in every class. A request keeps the catalogue
/// that it was judged by, so that it is judged by one revision throughout.
#[derive(Clone, Debug)]
pub struct Catalogue {
    pub(super) revision: u64,
    pub(super) digest: Digest,
    pub(super) shards: Vec<Digest>,
    pub(super) classes: PrimaryMap<ClassId, Class>,
    pub(super) models: PrimaryMap<ModelId, Model>,
    pub(super) services: PrimaryMap<ServiceId, Service>,
    pub(super) entries: PrimaryMap<EntryId, Entry>,
    pub(super) entry_names: BTreeMap<String, EntryId>,
}

/// How urgent and how repeatable work is.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The published name.
    pub name: String,
    /// The key of that name.
    pub key: ClassKey,
    /// The engine's priority; 0 is the most urgent.
    pub urgency: u8,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// How long a request should wait at most before it starts.
    pub wait_target: Duration,
    /// How long a request may wait before it is refused.
    pub longest_wait: Duration,
    /// How the answer reaches the caller.
    pub delivery: DeliveryMode,
    /// The chance of a preemption that is accepted for each generation,
    /// between 0 and 1.
    pub preemption_risk: f64,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The published name.
    pub name: String,
    /// The key of that name.
    pub key: ModelKey,
    /// The version that engines are to hold.
    pub version: String,
    /// The adapters that engines are to hold with it.
    pub adapters: Vec<String>,
    /// How many endpoints of each data centre should hold the model; `None`
    /// leaves it as it is.
    pub replicas: Option<u32>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The published name.
    pub name: String,
}

/// Something that callers may ask for by name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The published name.
    pub name: String,
    /// The key of that name.
    pub key: EntryKey,
    /// Who answers for the entry.
    pub owner: String,
    /// How urgent and how repeatable its work is.
    pub class: ClassId,
    /// What serves it.
    pub target: Target,
    /// What it may take in all.
    pub limits: EntryLimits,
}

/// What serves an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model, with an adapter if the entry names one.
    Model {
        /// The model and version.
        model: ModelId,
        /// The adapter.
        adapter: Option<String>,
    },
    /// A plain service.
    Service(ServiceId),
}

/// What an entry may take from shared endpoints, over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryLimits {
    /// Requests that run at once.
    pub concurrent: u32,
    /// Tokens of prompt and output in a minute. Limits of tokens have no meaning
    /// for a service, whose entry may leave them out; they are 0 then.
    pub tokens_per_minute: u64,
    /// Requests that wait at once.
    pub queue: u32,
    /// Tokens of one prompt.
    pub prompt_tokens: u32,
    /// Tokens of one output.
    pub output_tokens: u32,
}

/// An entry with what it refers to.
#[derive(Clone, Copy, Debug)]
pub struct EntryView<'a> {
    /// The entry's id in its catalogue.
    pub id: EntryId,
    /// The entry.
    pub entry: &'a Entry,
    /// Its class.
    pub class: &'a Class,
    /// What serves it.
    pub target: TargetView<'a>,
}

/// What serves an entry, resolved.
#[derive(Clone, Copy, Debug)]
pub enum TargetView<'a> {
    /// A model, with an adapter if the entry names one.
    Model {
        /// The model.
        model: &'a Model,
        /// The adapter.
        adapter: Option<&'a str>,
    },
    /// A plain service.
    Service(&'a Service),
}

impl TargetView<'_> {
    /// Returns the published name of the model or service.
    pub fn name(&self) -> &str {
        match self {
            TargetView::Model { model, .. } => &model.name,
            TargetView::Service(service) => &service.name,
        }
    }

    /// Returns whether a plain service serves the entry.
    pub fn is_service(&self) -> bool {
        matches!(self, TargetView::Service(_))
    }
}

impl Catalogue {
    /// Returns the revision that the publisher gave it.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the digest of the index's bytes.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the digest of each shard, in the order of their numbers.
    pub fn shards(&self) -> &[Digest] {
        &self.shards
    }

    /// Returns how many shards there are.
    pub fn shard_count(&self) -> u32 {
        self.shards.len() as u32
    }

    /// Returns the number of the shard that holds the workspace with this key digest.
    pub fn shard_of(&self, key_digest: &[u8; 32]) -> u32 {
        super::shard_of(key_digest, self.shard_count())
    }

    /// Returns the classes.
    pub fn classes(&self) -> &PrimaryMap<ClassId, Class> {
        &self.classes
    }

    /// Returns the models, one for each name and version.
    pub fn models(&self) -> &PrimaryMap<ModelId, Model> {
        &self.models
    }

    /// Returns the services.
    pub fn services(&self) -> &PrimaryMap<ServiceId, Service> {
        &self.services
    }

    /// Returns the entries in the order of the index.
    pub fn entries(&self) -> impl ExactSizeIterator<Item = EntryView<'_>> {
        self.entries.keys().map(|id| self.view(id))
    }

    /// Returns the entry of this name.
    pub fn entry(&self, name: &str) -> Option<EntryView<'_>> {
        self.entry_names.get(name).map(|id| self.view(*id))
    }

    /// Returns the entry with its class and target.
    ///
    /// # Panics
    ///
    /// Panics if `id` belongs to another catalogue with more entries.
    pub fn view(&self, id: EntryId) -> EntryView<'_> {
        let entry = &self.entries[id];
        EntryView {
            id,
            entry,
            class: &self.classes[entry.class],
            target: self.target(&entry.target),
        }
    }

    fn target<'a>(&'a self, target: &'a Target) -> TargetView<'a> {
        match target {
            Target::Model { model, adapter } => TargetView::Model {
                model: &self.models[*model],
                adapter: adapter.as_deref(),
            },
            Target::Service(service) => TargetView::Service(&self.services[*service]),
        }
    }
}
