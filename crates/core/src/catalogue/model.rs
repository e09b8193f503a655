//! The verified catalogue, as densely indexed entities.

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

/// Default probability of a preemption per generation that a class accepts.
pub const DEFAULT_PREEMPTION_RISK: f64 = 0.01;

/// One verified revision of the catalogue, without its workspaces.
///
/// Invariants, established by [`super::verify`]: every id is valid in its map, every name is unique
/// in its map (for models, the name and version), and `wait_target <= longest_wait` in every class.
/// A request keeps the catalogue from its admission, so that one revision applies throughout.
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

/// The urgency of requests, their waits, and whether they may be retried.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The published name.
    pub name: String,
    /// The key of that name.
    pub key: ClassKey,
    /// The priority at the engine; 0 is the most urgent.
    pub urgency: u8,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Target for the maximum wait of a request before it starts.
    pub wait_target: Duration,
    /// The wait after which a request is refused.
    pub longest_wait: Duration,
    /// How a response is delivered to the caller.
    pub delivery: DeliveryMode,
    /// The accepted probability of a preemption per generation, between 0 and 1.
    pub preemption_risk: f64,
}

/// A model that engines serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// The published name.
    pub name: String,
    /// The key of that name.
    pub key: ModelKey,
    /// The version that engines should load.
    pub version: String,
    /// The adapters that engines should load with it.
    pub adapters: Vec<String>,
    /// Target number of endpoints per data centre that load the model. `None` leaves the number
    /// unchanged.
    pub replicas: Option<u32>,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The published name.
    pub name: String,
}

/// A model or service that callers may request by name, with its class and limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The published name.
    pub name: String,
    /// The key of that name.
    pub key: EntryKey,
    /// Who is responsible for the entry.
    pub owner: String,
    /// The class of its requests.
    pub class: ClassId,
    /// The model or service that serves it.
    pub target: Target,
    /// Its limits over all instances.
    pub limits: EntryLimits,
}

/// The model or service that serves an entry.
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

/// The limits of an entry at shared endpoints, over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryLimits {
    /// Maximum number of concurrent requests.
    pub concurrent: u32,
    /// Maximum number of prompt and output tokens per minute. Token limits have no meaning for a
    /// service, whose entry may omit them; they are 0 then.
    pub tokens_per_minute: u64,
    /// Maximum number of queued requests.
    pub queue: u32,
    /// Maximum number of tokens of a prompt.
    pub prompt_tokens: u32,
    /// Maximum number of generated tokens of a request.
    pub output_tokens: u32,
}

/// An entry with its class and target.
#[derive(Clone, Copy, Debug)]
pub struct EntryView<'a> {
    /// The entry's id in its catalogue.
    pub id: EntryId,
    /// The entry.
    pub entry: &'a Entry,
    /// Its class.
    pub class: &'a Class,
    /// The model or service that serves it.
    pub target: TargetView<'a>,
}

/// The model or service that serves an entry, by reference.
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

    /// Returns the number of shards.
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
