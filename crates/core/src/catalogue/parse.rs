//! Parses bytes into source tables.

use super::document::{LineMap, Reader, TableRef, parse, text};
use super::source::{
    ClassSource, EntryLimitsSource, EntrySource, Field, Given, IndexSource, ModelSource,
    ServiceSource, ShardSource, WorkspaceLimitsSource, WorkspaceSource,
};
use crate::findings::{Findings, Place};

/// The keys of an index.
pub(super) const INDEX_KEYS: &[&str] =
    &["revision", "shards", "class", "model", "service", "entry"];
const CLASS_KEYS: &[&str] = &[
    "name",
    "urgency",
    "idempotent",
    "wait_target_ms",
    "longest_wait_ms",
    "delivery",
    "preemption_risk",
];
const MODEL_KEYS: &[&str] = &["name", "version", "adapters", "replicas"];
const SERVICE_KEYS: &[&str] = &["name"];
const ENTRY_KEYS: &[&str] = &[
    "name", "owner", "class", "model", "version", "adapter", "service", "limits",
];
const ENTRY_LIMIT_KEYS: &[&str] = &[
    "concurrent",
    "tokens_per_minute",
    "queue",
    "prompt_tokens",
    "output_tokens",
];
/// The keys of a shard.
pub(super) const SHARD_KEYS: &[&str] = &["workspace"];
const WORKSPACE_KEYS: &[&str] = &["name", "key_sha256", "entries", "limits"];
const WORKSPACE_LIMIT_KEYS: &[&str] = &["concurrent", "tokens_per_minute"];

/// Parses an index. Returns `None` if the bytes are not a TOML document.
pub fn index(bytes: &[u8], findings: &mut Findings) -> Option<IndexSource> {
    document(bytes, findings, index_source)
}

/// Parses a shard. Returns `None` if the bytes are not a TOML document.
pub fn shard(bytes: &[u8], findings: &mut Findings) -> Option<ShardSource> {
    document(bytes, findings, shard_source)
}

fn document<T>(
    bytes: &[u8],
    findings: &mut Findings,
    read: impl FnOnce(&mut Reader<'_>, TableRef<'_>) -> T,
) -> Option<T> {
    let text = text(bytes, findings)?;
    let lines = LineMap::new(text);
    let document = parse(text, &lines, findings)?;
    let root = TableRef {
        table: document.as_table(),
        name: "",
        place: Place::START,
    };
    Some(read(&mut Reader::new(&lines, findings), root))
}

fn index_source(reader: &mut Reader<'_>, root: TableRef<'_>) -> IndexSource {
    reader.reject_unknown(root, INDEX_KEYS);
    IndexSource {
        revision: reader.integer(root, "revision"),
        shards: reader.strings(root, "shards"),
        classes: each(reader, root, "class", class),
        models: each(reader, root, "model", model),
        services: each(reader, root, "service", service),
        entries: each(reader, root, "entry", entry),
    }
}

fn shard_source(reader: &mut Reader<'_>, root: TableRef<'_>) -> ShardSource {
    reader.reject_unknown(root, SHARD_KEYS);
    ShardSource {
        workspaces: each(reader, root, "workspace", workspace),
    }
}

fn each<T>(
    reader: &mut Reader<'_>,
    root: TableRef<'_>,
    name: &'static str,
    read: fn(&mut Reader<'_>, TableRef<'_>) -> T,
) -> Vec<T> {
    let tables = reader.tables(root, name);
    tables
        .into_iter()
        .map(|table| read(reader, table))
        .collect()
}

fn class(reader: &mut Reader<'_>, table: TableRef<'_>) -> ClassSource {
    reader.reject_unknown(table, CLASS_KEYS);
    ClassSource {
        place: table.place,
        name: reader.string(table, "name"),
        urgency: reader.integer(table, "urgency"),
        idempotent: reader.boolean(table, "idempotent"),
        wait_target_ms: reader.integer(table, "wait_target_ms"),
        longest_wait_ms: reader.integer(table, "longest_wait_ms"),
        delivery: reader.string(table, "delivery"),
        preemption_risk: reader.number(table, "preemption_risk"),
    }
}

fn model(reader: &mut Reader<'_>, table: TableRef<'_>) -> ModelSource {
    reader.reject_unknown(table, MODEL_KEYS);
    ModelSource {
        place: table.place,
        name: reader.string(table, "name"),
        version: reader.string(table, "version"),
        adapters: reader.strings(table, "adapters"),
        replicas: reader.integer(table, "replicas"),
    }
}

fn service(reader: &mut Reader<'_>, table: TableRef<'_>) -> ServiceSource {
    reader.reject_unknown(table, SERVICE_KEYS);
    ServiceSource {
        place: table.place,
        name: reader.string(table, "name"),
    }
}

fn entry(reader: &mut Reader<'_>, table: TableRef<'_>) -> EntrySource {
    reader.reject_unknown(table, ENTRY_KEYS);
    EntrySource {
        place: table.place,
        name: reader.string(table, "name"),
        owner: reader.string(table, "owner"),
        class: reader.string(table, "class"),
        model: reader.string(table, "model"),
        version: reader.string(table, "version"),
        adapter: reader.string(table, "adapter"),
        service: reader.string(table, "service"),
        limits: inner(reader, table, "entry.limits", entry_limits),
    }
}

fn workspace(reader: &mut Reader<'_>, table: TableRef<'_>) -> WorkspaceSource {
    reader.reject_unknown(table, WORKSPACE_KEYS);
    WorkspaceSource {
        place: table.place,
        name: reader.string(table, "name"),
        key_sha256: reader.strings(table, "key_sha256"),
        entries: reader.strings(table, "entries"),
        limits: inner(reader, table, "workspace.limits", workspace_limits),
    }
}

fn inner<T>(
    reader: &mut Reader<'_>,
    table: TableRef<'_>,
    name: &'static str,
    read: fn(&mut Reader<'_>, TableRef<'_>) -> T,
) -> Field<T> {
    match reader.table(table, "limits", name) {
        Field::Absent => Field::Absent,
        Field::Unreadable => Field::Unreadable,
        Field::Given(Given { value, place }) => Field::Given(Given {
            value: read(reader, value),
            place,
        }),
    }
}

fn entry_limits(reader: &mut Reader<'_>, table: TableRef<'_>) -> EntryLimitsSource {
    reader.reject_unknown(table, ENTRY_LIMIT_KEYS);
    EntryLimitsSource {
        concurrent: reader.integer(table, "concurrent"),
        tokens_per_minute: reader.integer(table, "tokens_per_minute"),
        queue: reader.integer(table, "queue"),
        prompt_tokens: reader.integer(table, "prompt_tokens"),
        output_tokens: reader.integer(table, "output_tokens"),
    }
}

fn workspace_limits(reader: &mut Reader<'_>, table: TableRef<'_>) -> WorkspaceLimitsSource {
    reader.reject_unknown(table, WORKSPACE_LIMIT_KEYS);
    WorkspaceLimitsSource {
        concurrent: reader.integer(table, "concurrent"),
        tokens_per_minute: reader.integer(table, "tokens_per_minute"),
    }
}
