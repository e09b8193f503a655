//! Converts verified source tables into dense entities.
//!
//! Nothing is checked here, because the verifier has accepted the tables. An unreadable field gets
//! the default of its type, which is visible only to code that skips the verifier.

use super::digest::Digest;
use super::model::{
    Catalogue, Class, ClassId, DEFAULT_PREEMPTION_RISK, Entry, EntryLimits, Model, ModelId,
    Service, ServiceId, Target,
};
use super::shard::{Shard, Workspace, WorkspaceLimits};
use super::source::{
    ClassSource, EntryLimitsSource, EntrySource, Field, Given, IndexSource, ModelSource,
    ShardSource, WorkspaceSource,
};
use crate::ids::{ClassKey, EntryKey, ModelKey, WorkspaceKey};
use crate::value::DeliveryMode;
use core::time::Duration;
use cranelift_entity::PrimaryMap;
use std::collections::BTreeMap;

/// The name of [`DeliveryMode::Stream`] in the catalogue.
pub(super) const DELIVERY_STREAM: &str = "stream";
/// The name of [`DeliveryMode::Whole`] in the catalogue.
pub(super) const DELIVERY_WHOLE: &str = "whole";

/// Resolves a verified index whose bytes have this digest.
pub fn index(source: &IndexSource, digest: Digest) -> Catalogue {
    let classes: PrimaryMap<ClassId, Class> = source.classes.iter().map(class).collect();
    let models: PrimaryMap<ModelId, Model> = source.models.iter().map(model).collect();
    let services: PrimaryMap<ServiceId, Service> = source
        .services
        .iter()
        .map(|service| Service {
            name: service.name.value_or_default(),
        })
        .collect();
    let mut catalogue = Catalogue {
        revision: unsigned(&source.revision),
        digest,
        shards: digests(&source.shards).map(Digest).collect(),
        classes,
        models,
        services,
        entries: PrimaryMap::new(),
        entry_names: BTreeMap::new(),
    };
    for entry in &source.entries {
        push_entry(&mut catalogue, entry);
    }
    catalogue
}

/// Resolves a verified shard.
pub fn shard(source: &ShardSource, number: u32) -> Shard {
    let mut shard = Shard::new(number);
    for workspace in &source.workspaces {
        shard.insert(
            resolved_workspace(workspace),
            digests(&workspace.key_sha256),
        );
    }
    shard.seal();
    shard
}

fn class(source: &ClassSource) -> Class {
    let name = source.name.value_or_default();
    Class {
        key: ClassKey::of(&name),
        name,
        urgency: unsigned(&source.urgency) as u8,
        idempotent: source.idempotent.value_or_default(),
        wait_target: Duration::from_millis(unsigned(&source.wait_target_ms)),
        longest_wait: Duration::from_millis(unsigned(&source.longest_wait_ms)),
        delivery: delivery(&source.delivery),
        preemption_risk: source
            .preemption_risk
            .given()
            .map_or(DEFAULT_PREEMPTION_RISK, |given| given.value),
    }
}

fn delivery(source: &Field<String>) -> DeliveryMode {
    match source.given() {
        Some(given) if given.value == DELIVERY_WHOLE => DeliveryMode::Whole,
        _ => DeliveryMode::Stream,
    }
}

fn model(source: &ModelSource) -> Model {
    let name = source.name.value_or_default();
    let replicas = source.replicas.given();
    Model {
        key: ModelKey::of(&name),
        name,
        version: source.version.value_or_default(),
        adapters: strings(&source.adapters),
        replicas: replicas.map(|given| given.value as u32),
    }
}

fn push_entry(catalogue: &mut Catalogue, source: &EntrySource) {
    let Some(class) = class_named(catalogue, &source.class.value_or_default()) else {
        debug_assert!(false, "the verifier rejects entries of unknown classes");
        return;
    };
    let Some(target) = target(catalogue, source) else {
        debug_assert!(false, "the verifier rejects entries without a target");
        return;
    };
    let name = source.name.value_or_default();
    let id = catalogue.entries.push(Entry {
        name: name.clone(),
        key: EntryKey::of(&name),
        owner: source.owner.value_or_default(),
        class,
        target,
        limits: entry_limits(&source.limits.value_or_default()),
    });
    catalogue.entry_names.insert(name, id);
}

fn class_named(catalogue: &Catalogue, name: &str) -> Option<ClassId> {
    let mut classes = catalogue.classes.iter();
    classes
        .find(|(_, class)| class.name == name)
        .map(|(id, _)| id)
}

fn target(catalogue: &Catalogue, source: &EntrySource) -> Option<Target> {
    if let Some(service) = source.service.given() {
        let mut services = catalogue.services.iter();
        let found = services.find(|(_, known)| known.name == service.value);
        return found.map(|(id, _)| Target::Service(id));
    }
    let name = &source.model.given()?.value;
    let version = source.version.given().map(|given| given.value.as_str());
    let mut models = catalogue.models.iter();
    let (model, _) = models.find(|(_, known)| {
        known.name == *name && version.is_none_or(|version| known.version == version)
    })?;
    let adapter = source.adapter.given().map(|given| given.value.clone());
    Some(Target::Model { model, adapter })
}

fn entry_limits(source: &EntryLimitsSource) -> EntryLimits {
    EntryLimits {
        concurrent: unsigned(&source.concurrent) as u32,
        tokens_per_minute: unsigned(&source.tokens_per_minute),
        queue: unsigned(&source.queue) as u32,
        prompt_tokens: unsigned(&source.prompt_tokens) as u32,
        output_tokens: unsigned(&source.output_tokens) as u32,
    }
}

fn resolved_workspace(source: &WorkspaceSource) -> Workspace {
    let name = source.name.value_or_default();
    let limits = source.limits.value_or_default();
    let mut entries: Vec<EntryKey> = strings(&source.entries)
        .iter()
        .map(|entry| EntryKey::of(entry))
        .collect();
    entries.sort_unstable();
    Workspace {
        key: WorkspaceKey::of(&name),
        name,
        entries,
        limits: WorkspaceLimits {
            concurrent: unsigned(&limits.concurrent) as u32,
            tokens_per_minute: unsigned(&limits.tokens_per_minute),
        },
    }
}

fn digests(source: &Field<Vec<Given<String>>>) -> impl Iterator<Item = [u8; 32]> {
    let texts = source.given().into_iter().flat_map(|given| &given.value);
    texts.filter_map(|text| Digest::from_hex(&text.value).map(|digest| digest.0))
}

fn strings(source: &Field<Vec<Given<String>>>) -> Vec<String> {
    let texts = source.given().into_iter().flat_map(|given| &given.value);
    texts.map(|text| text.value.clone()).collect()
}

fn unsigned(source: &Field<i64>) -> u64 {
    u64::try_from(source.value_or_default()).unwrap_or_default()
}
