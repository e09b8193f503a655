//! Errors that only occur in catalogues, and how findings quote their text.

use super::{Place, nearest};
use core::fmt;
use serde::Serialize;

/// Maximum number of characters of the input that a finding quotes.
const MAX_QUOTED_CHARS: usize = 64;

/// Maximum number of names that are compared to find the most similar one. Without a bound, a value
/// with thousands of names and thousands of typing errors would take seconds to check.
const MAX_COMPARED: usize = 512;

/// Returns `text` as findings quote it: truncated to a maximum length, and with control characters
/// escaped so that it cannot forge log lines.
pub fn quoted(text: &str) -> String {
    let mut shown: String = text
        .chars()
        .take(MAX_QUOTED_CHARS)
        .flat_map(char::escape_debug)
        .collect();
    if text.chars().nth(MAX_QUOTED_CHARS).is_some() {
        shown.push('…');
    }
    shown
}

/// Returns the name among `known` that `text` was probably intended to be.
pub fn nearest_of<'a>(text: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    if text.len() > MAX_QUOTED_CHARS {
        return None;
    }
    nearest(text, known.take(MAX_COMPARED)).map(quoted)
}

/// An error that only occurs in catalogues.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "problem", rename_all = "snake_case")]
pub enum Problem {
    /// The value is larger than the platform stores.
    TooLarge {
        /// The size of the value in bytes.
        bytes: usize,
        /// The maximum size in bytes.
        limit: usize,
    },
    /// The value is not valid UTF-8.
    NotUtf8,
    /// A probability is out of range.
    BadProbability {
        /// The key.
        key: String,
    },
    /// A value is not one of those allowed.
    NotOneOf {
        /// The key.
        key: String,
        /// The allowed values.
        allowed: String,
    },
    /// A name is empty, too long, or contains characters that are not allowed.
    BadName {
        /// The key.
        key: String,
        /// The maximum number of characters.
        limit: usize,
        /// The allowed characters.
        allowed: &'static str,
    },
    /// A list is empty.
    EmptyList {
        /// The key.
        key: String,
    },
    /// A list has too many items.
    TooMany {
        /// The key.
        key: String,
        /// The number of items.
        found: usize,
        /// The maximum number of items.
        limit: usize,
    },
    /// A name is defined twice.
    Duplicate {
        /// The kind of item that is named.
        what: &'static str,
        /// The name.
        name: String,
        /// The place of the first definition.
        first: Place,
    },
    /// An entry names a model that has several versions, without a version.
    AmbiguousVersion {
        /// The model's name.
        name: String,
    },
    /// An entry names neither a model nor a service, or both.
    NoSingleTarget,
    /// A key is only valid for an entry that names a model.
    ModelOnly {
        /// The key.
        key: String,
    },
    /// A class's wait target is longer than its longest wait.
    TargetBeyondLongest {
        /// The wait target in milliseconds.
        target_ms: i64,
        /// The longest wait in milliseconds.
        longest_ms: i64,
    },
    /// A value is not a hexadecimal SHA-256 digest.
    BadDigest {
        /// The key.
        key: String,
    },
    /// Two workspaces hold the same key.
    SharedDigest {
        /// The other workspace that holds the key.
        workspace: String,
        /// The place of the first occurrence.
        first: Place,
    },
    /// A key digest is in the wrong shard, where no lookup finds it.
    WrongShard {
        /// The shard that contains it.
        here: u32,
        /// The shard to which it belongs.
        right: u32,
        /// The number of shards.
        count: u32,
    },
    /// A workspace has different entries or limits in another shard.
    WorkspaceDiffers {
        /// The workspace.
        workspace: String,
        /// The file of the other shard.
        other: String,
    },
    /// The digest of a shard's bytes differs from the one in the index.
    DigestMismatch {
        /// The shard's number.
        shard: u32,
        /// The digest of its bytes.
        found: String,
    },
    /// The index lists no shard with this number.
    NoSuchShard {
        /// The shard's number.
        shard: u32,
        /// The number of shards.
        count: u32,
    },
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::TooLarge { bytes, limit } => {
                write!(f, "{bytes} bytes; a published value has at most {limit}")
            }
            Problem::NotUtf8 => f.write_str("not valid UTF-8"),
            Problem::BadProbability { key } => {
                write!(f, "`{key}` must be greater than 0 and less than 1")
            }
            Problem::NotOneOf { key, allowed } => write!(f, "`{key}` must be one of {allowed}"),
            Problem::BadName {
                key,
                limit,
                allowed,
            } => write!(
                f,
                "`{key}` must be 1 to {limit} characters out of {allowed}"
            ),
            Problem::EmptyList { key } => write!(f, "`{key}` must not be empty"),
            Problem::TooMany { key, found, limit } => {
                write!(f, "`{key}` has {found} items; at most {limit} are allowed")
            }
            Problem::Duplicate { what, name, first } => {
                write!(f, "{what} `{name}` is already defined at {first}")
            }
            Problem::AmbiguousVersion { name } => write!(
                f,
                "model `{name}` has several versions; the entry must say which with `version`"
            ),
            Problem::NoSingleTarget => {
                f.write_str("an entry needs exactly one of `model` and `service`")
            }
            Problem::ModelOnly { key } => {
                write!(
                    f,
                    "`{key}` has no meaning for an entry that names a service"
                )
            }
            Problem::TargetBeyondLongest {
                target_ms,
                longest_ms,
            } => write!(
                f,
                "`wait_target_ms` {target_ms} is longer than `longest_wait_ms` {longest_ms}"
            ),
            Problem::BadDigest { key } => write!(
                f,
                "`{key}` must hold SHA-256 digests of 64 hexadecimal digits"
            ),
            Problem::SharedDigest { workspace, first } => write!(
                f,
                "this key is already held by workspace `{workspace}` at {first}"
            ),
            Problem::WrongShard { here, right, count } => write!(
                f,
                "this key belongs to shard {right} of {count}, not to shard {here}"
            ),
            Problem::WorkspaceDiffers { workspace, other } => write!(
                f,
                "workspace `{workspace}` has other entries or limits in {other}"
            ),
            Problem::DigestMismatch { shard, found } => write!(
                f,
                "shard {shard} has the digest {found}, which is not the one that the index lists"
            ),
            Problem::NoSuchShard { shard, count } => {
                write!(f, "the index lists {count} shards and no shard {shard}")
            }
        }
    }
}
