//! Source tables: a catalogue as written, with the place of every field.
//!
//! The parser produces them and the verifier checks them. The parser accepts any value of the right
//! type; only the verifier decides whether the value is valid.

use crate::findings::Place;

/// A field of a table, as parsed.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Field<T> {
    /// The key is absent.
    #[default]
    Absent,
    /// The value has the wrong type. The parser has reported it, so the verifier ignores it: one
    /// error yields one finding.
    Unreadable,
    /// The value is readable.
    Given(Given<T>),
}

/// A readable value and its place.
#[derive(Clone, Debug, PartialEq)]
pub struct Given<T> {
    /// The value.
    pub value: T,
    /// The place of the value.
    pub place: Place,
}

impl<T> Field<T> {
    /// Returns the value if it is readable.
    pub fn given(&self) -> Option<&Given<T>> {
        match self {
            Field::Given(given) => Some(given),
            Field::Absent | Field::Unreadable => None,
        }
    }

    /// Returns the value, or the default of `T` if none is readable.
    pub fn value_or_default(&self) -> T
    where
        T: Clone + Default,
    {
        self.given()
            .map(|given| given.value.clone())
            .unwrap_or_default()
    }
}

/// An index as written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IndexSource {
    /// `revision`.
    pub revision: Field<i64>,
    /// `shards`: digests in hexadecimal.
    pub shards: Field<Vec<Given<String>>>,
    /// The `[[class]]` tables.
    pub classes: Vec<ClassSource>,
    /// The `[[model]]` tables.
    pub models: Vec<ModelSource>,
    /// The `[[service]]` tables.
    pub services: Vec<ServiceSource>,
    /// The `[[entry]]` tables.
    pub entries: Vec<EntrySource>,
}

/// A `[[class]]` as written.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSource {
    /// The start of the table.
    pub place: Place,
    /// `name`.
    pub name: Field<String>,
    /// `urgency`; 0 is the most urgent.
    pub urgency: Field<i64>,
    /// `idempotent`.
    pub idempotent: Field<bool>,
    /// `wait_target_ms`.
    pub wait_target_ms: Field<i64>,
    /// `longest_wait_ms`.
    pub longest_wait_ms: Field<i64>,
    /// `delivery`.
    pub delivery: Field<String>,
    /// `preemption_risk`.
    pub preemption_risk: Field<f64>,
}

/// A `[[model]]` as written.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSource {
    /// The start of the table.
    pub place: Place,
    /// `name`.
    pub name: Field<String>,
    /// `version`.
    pub version: Field<String>,
    /// `adapters`.
    pub adapters: Field<Vec<Given<String>>>,
    /// `replicas` in each data centre.
    pub replicas: Field<i64>,
}

/// A `[[service]]` as written.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSource {
    /// The start of the table.
    pub place: Place,
    /// `name`.
    pub name: Field<String>,
}

/// An `[[entry]]` as written.
#[derive(Clone, Debug, PartialEq)]
pub struct EntrySource {
    /// The start of the table.
    pub place: Place,
    /// `name`.
    pub name: Field<String>,
    /// `owner`.
    pub owner: Field<String>,
    /// `class`.
    pub class: Field<String>,
    /// `model`.
    pub model: Field<String>,
    /// `version` of the model.
    pub version: Field<String>,
    /// `adapter` of the model.
    pub adapter: Field<String>,
    /// `service`.
    pub service: Field<String>,
    /// `limits`.
    pub limits: Field<EntryLimitsSource>,
}

/// The `limits` of an entry as written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryLimitsSource {
    /// `concurrent`.
    pub concurrent: Field<i64>,
    /// `tokens_per_minute`.
    pub tokens_per_minute: Field<i64>,
    /// `queue`.
    pub queue: Field<i64>,
    /// `prompt_tokens`.
    pub prompt_tokens: Field<i64>,
    /// `output_tokens`.
    pub output_tokens: Field<i64>,
}

/// A shard as written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardSource {
    /// The `[[workspace]]` tables.
    pub workspaces: Vec<WorkspaceSource>,
}

/// A `[[workspace]]` as written.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceSource {
    /// The start of the table.
    pub place: Place,
    /// `name`.
    pub name: Field<String>,
    /// `key_sha256`: digests in hexadecimal.
    pub key_sha256: Field<Vec<Given<String>>>,
    /// `entries` that the workspace may use.
    pub entries: Field<Vec<Given<String>>>,
    /// `limits`.
    pub limits: Field<WorkspaceLimitsSource>,
}

/// The `limits` of a workspace as written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkspaceLimitsSource {
    /// `concurrent`.
    pub concurrent: Field<i64>,
    /// `tokens_per_minute`.
    pub tokens_per_minute: Field<i64>,
}
