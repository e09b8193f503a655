//! Verifies source tables.
//!
//! The verifier is separate from the parser, so that each can be read and fixed by itself. It
//! reports all findings instead of stopping at the first, and it is a pure function of the tables,
//! so that every instance accepts or rejects the same bytes.

mod fields;
mod references;

use super::MAX_SHARDS;
use super::digest::{Digest, shard_of};
use super::resolve::{DELIVERY_STREAM, DELIVERY_WHOLE};
use super::source::{
    ClassSource, EntryLimitsSource, EntrySource, Field, Given, IndexSource, ModelSource,
    ServiceSource, ShardSource, WorkspaceLimitsSource, WorkspaceSource,
};
use crate::findings::catalogue::{Problem as CatalogueProblem, quoted};
use crate::findings::{Findings, Place, Problem};
use fields::Fields;
use references::Names;
use std::collections::BTreeMap;

/// Maximum wait of a class: one day, in milliseconds.
const MAX_WAIT_MS: i64 = 24 * 60 * 60 * 1_000;
/// Maximum value of a limit of concurrent or queued requests.
const MAX_CONCURRENT: i64 = 1_000_000;
/// Maximum value of a limit of tokens per minute.
const MAX_TOKENS_PER_MINUTE: i64 = 1_000_000_000_000;
/// Maximum value of a limit of prompt or output tokens.
const MAX_TOKENS: i64 = 16_777_216;
/// Maximum number of replicas of a model per data centre.
const MAX_REPLICAS: i64 = 100_000;
/// Maximum number of bearer keys of a workspace: one in use, one for rotation, and some spare.
const MAX_KEYS: usize = 16;
/// Maximum number of entries that a workspace may name.
const MAX_ENTRIES: usize = 4_096;
/// Maximum number of adapters of a model.
const MAX_ADAPTERS: usize = 4_096;

/// Verifies an index.
pub fn index(source: &IndexSource, findings: &mut Findings) {
    let mut fields = Fields::new("", Place::START, findings);
    fields.integer("revision", &source.revision, 1, i64::MAX);
    shard_digests(&source.shards, findings);
    for class in &source.classes {
        verify_class(class, findings);
    }
    for model in &source.models {
        verify_model(model, findings);
    }
    for service in &source.services {
        verify_service(service, findings);
    }
    let names = references::collect(source, findings);
    for entry in &source.entries {
        verify_entry(entry, &names, findings);
    }
}

/// The position of a shard in its catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardPosition {
    /// The shard's number, from 0.
    pub number: u32,
    /// The number of shards.
    pub count: u32,
}

/// Verifies a shard. Without a position, it does not check whether the keys belong to this shard.
pub fn shard(source: &ShardSource, position: Option<ShardPosition>, findings: &mut Findings) {
    let mut names = BTreeMap::new();
    let mut holders = BTreeMap::new();
    for workspace in &source.workspaces {
        verify_workspace(workspace, findings);
        references::unique("workspace", &workspace.name, &mut names, findings);
        verify_keys(workspace, &mut holders, findings);
        if let Some(position) = position {
            verify_position(workspace, position, findings);
        }
    }
}

fn shard_digests(shards: &Field<Vec<Given<String>>>, findings: &mut Findings) {
    let mut fields = Fields::new("", Place::START, findings);
    fields.list("shards", shards, MAX_SHARDS);
    for digest in shards.given().into_iter().flat_map(|given| &given.value) {
        fields.digest("shards", digest);
    }
}

fn verify_class(class: &ClassSource, findings: &mut Findings) {
    let mut fields = Fields::new("class", class.place, findings);
    fields.name("name", &class.name);
    fields.integer("urgency", &class.urgency, 0, i64::from(u8::MAX));
    fields.present("idempotent", &class.idempotent);
    fields.integer("wait_target_ms", &class.wait_target_ms, 1, MAX_WAIT_MS);
    fields.integer("longest_wait_ms", &class.longest_wait_ms, 1, MAX_WAIT_MS);
    fields.one_of(
        "delivery",
        &class.delivery,
        &[DELIVERY_STREAM, DELIVERY_WHOLE],
    );
    fields.optional_probability("preemption_risk", &class.preemption_risk);
    wait_order(class, findings);
}

fn wait_order(class: &ClassSource, findings: &mut Findings) {
    let (Some(target), Some(longest)) =
        (class.wait_target_ms.given(), class.longest_wait_ms.given())
    else {
        return;
    };
    if target.value > longest.value {
        let problem = CatalogueProblem::TargetBeyondLongest {
            target_ms: target.value,
            longest_ms: longest.value,
        };
        findings.push(target.place, Problem::Catalogue(problem));
    }
}

fn verify_model(model: &ModelSource, findings: &mut Findings) {
    let mut fields = Fields::new("model", model.place, findings);
    fields.path("name", &model.name);
    fields.path("version", &model.version);
    fields.optional_list("adapters", &model.adapters, MAX_ADAPTERS);
    fields.optional_integer("replicas", &model.replicas, 1, MAX_REPLICAS);
    let mut seen = BTreeMap::new();
    for adapter in model
        .adapters
        .given()
        .into_iter()
        .flat_map(|given| &given.value)
    {
        Fields::new("model", model.place, findings).path_text("adapters", adapter);
        references::unique_text("adapter", adapter, &mut seen, findings);
    }
}

fn verify_service(service: &ServiceSource, findings: &mut Findings) {
    Fields::new("service", service.place, findings).path("name", &service.name);
}

fn verify_entry(entry: &EntrySource, names: &Names<'_>, findings: &mut Findings) {
    let mut fields = Fields::new("entry", entry.place, findings);
    fields.name("name", &entry.name);
    fields.label("owner", &entry.owner);
    fields.present("class", &entry.class);
    fields.present("limits", &entry.limits);
    references::class_of(entry, names, findings);
    references::target_of(entry, names, findings);
    if let Some(limits) = entry.limits.given() {
        let is_service = !matches!(entry.service, Field::Absent);
        verify_entry_limits(limits, is_service, findings);
    }
}

fn verify_entry_limits(
    limits: &Given<EntryLimitsSource>,
    is_service: bool,
    findings: &mut Findings,
) {
    let source = &limits.value;
    let mut fields = Fields::new("entry.limits", limits.place, findings);
    fields.integer("concurrent", &source.concurrent, 1, MAX_CONCURRENT);
    fields.integer("queue", &source.queue, 1, MAX_CONCURRENT);
    let tokens = [
        (
            "tokens_per_minute",
            &source.tokens_per_minute,
            MAX_TOKENS_PER_MINUTE,
        ),
        ("prompt_tokens", &source.prompt_tokens, MAX_TOKENS),
        ("output_tokens", &source.output_tokens, MAX_TOKENS),
    ];
    for (key, field, high) in tokens {
        if is_service {
            fields.optional_integer(key, field, 1, high);
        } else {
            fields.integer(key, field, 1, high);
        }
    }
}

fn verify_workspace(workspace: &WorkspaceSource, findings: &mut Findings) {
    let mut fields = Fields::new("workspace", workspace.place, findings);
    fields.name("name", &workspace.name);
    fields.list("key_sha256", &workspace.key_sha256, MAX_KEYS);
    fields.list("entries", &workspace.entries, MAX_ENTRIES);
    fields.present("limits", &workspace.limits);
    let mut seen = BTreeMap::new();
    for entry in workspace
        .entries
        .given()
        .into_iter()
        .flat_map(|given| &given.value)
    {
        references::unique_text("entry", entry, &mut seen, findings);
    }
    if let Some(limits) = workspace.limits.given() {
        verify_workspace_limits(limits, findings);
    }
}

fn verify_workspace_limits(limits: &Given<WorkspaceLimitsSource>, findings: &mut Findings) {
    let source = &limits.value;
    let mut fields = Fields::new("workspace.limits", limits.place, findings);
    fields.integer("concurrent", &source.concurrent, 1, MAX_CONCURRENT);
    let key = "tokens_per_minute";
    fields.integer(key, &source.tokens_per_minute, 1, MAX_TOKENS_PER_MINUTE);
}

/// The first holder of each key digest: the workspace's name and the digest's place.
type Holders = BTreeMap<Digest, (String, Place)>;

fn verify_keys(workspace: &WorkspaceSource, holders: &mut Holders, findings: &mut Findings) {
    let name = quoted(&workspace.name.value_or_default());
    for key in workspace
        .key_sha256
        .given()
        .into_iter()
        .flat_map(|given| &given.value)
    {
        Fields::new("workspace", workspace.place, findings).digest("key_sha256", key);
        let Some(digest) = Digest::from_hex(&key.value) else {
            continue;
        };
        if let Some((holder, first)) = holders.get(&digest) {
            let problem = CatalogueProblem::SharedDigest {
                workspace: holder.clone(),
                first: *first,
            };
            findings.push(key.place, Problem::Catalogue(problem));
            continue;
        }
        holders.insert(digest, (name.clone(), key.place));
    }
}

/// Reports keys in the wrong shard, where no lookup finds them.
fn verify_position(workspace: &WorkspaceSource, position: ShardPosition, findings: &mut Findings) {
    let ShardPosition {
        number: here,
        count,
    } = position;
    for key in workspace
        .key_sha256
        .given()
        .into_iter()
        .flat_map(|given| &given.value)
    {
        let Some(digest) = Digest::from_hex(&key.value) else {
            continue;
        };
        let right = shard_of(&digest.0, count);
        if right != here {
            let problem = CatalogueProblem::WrongShard { here, right, count };
            findings.push(key.place, Problem::Catalogue(problem));
        }
    }
}
