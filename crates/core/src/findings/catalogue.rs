//! What only a catalogue can get wrong, and how findings repeat its text.

use super::{Place, nearest};
use core::fmt;
use serde::Serialize;

/// The most characters of the input that a finding repeats.
const MAX_QUOTED_CHARS: usize = 64;

/// The most names among which the nearest is looked for. Without a bound, a
/// value with thousands of names and thousands of slips would keep its reader
/// busy for seconds.
const MAX_COMPARED: usize = 512;

/// Returns `text` as findings repeat it: cut to a bounded length, and with
/// control characters escaped so that it cannot forge lines of a log.
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

/// Returns the name among `known` that `text` was probably meant to be.
pub fn nearest_of<'a>(text: &str, known: impl Iterator<Item = &'a str>) -> Option<String> {
    if text.len() > MAX_QUOTED_CHARS {
        return None;
    }
    nearest(text, known.take(MAX_COMPARED)).map(quoted)
}

/// Something wrong with a catalogue that no other file can have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "problem", rename_all = "snake_case")]
pub enum Problem {
    /// The value is larger than the platform holds.
    TooLarge {
        /// Bytes of the value.
        bytes: usize,
        /// The most bytes allowed.
        limit: usize,
    },
    /// The value is not text.
    NotUtf8,
    /// A probability lies outside its range.
    BadProbability {
        /// The key.
        key: String,
    },
    /// A word is not among those allowed.
    NotOneOf {
        /// The key.
        key: String,
        /// The words allowed.
        allowed: String,
    },
    /// A name has characters that it may not have, too many, or none.
    BadName {
        /// The key.
        key: String,
        /// The most characters allowed.
        limit: usize,
        /// The characters allowed.
        allowed: &'static str,
    },
    /// A list holds nothing.
    EmptyList {
        /// The key.
        key: String,
    },
    /// A list holds too much.
    TooMany {
        /// The key.
        key: String,
        /// Items written.
        found: usize,
        /// The most items allowed.
        limit: usize,
    },
    /// A name is defined twice.
    Duplicate {
        /// What kind of thing is named.
        what: &'static str,
        /// The name.
        name: String,
        /// Where it was defined first.
        first: Place,
    },
    /// An entry names a model of which there are several versions, and no version.
    AmbiguousVersion {
        /// The model's name.
        name: String,
    },
    /// An entry names neither a model nor a service, or both.
    NoSingleTarget,
    /// A key has no meaning for an entry that names a service.
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
    /// Not a SHA-256 digest in hexadecimal.
    BadDigest {
        /// The key.
        key: String,
    },
    /// Two workspaces hold one key.
    SharedDigest {
        /// The workspace that holds it too.
        workspace: String,
        /// Where it stands first.
        first: Place,
    },
    /// A key digest stands in a shard where no lookup would find it.
    WrongShard {
        /// The shard it stands in.
        here: u32,
        /// The shard it belongs to.
        right: u32,
        /// Shards in all.
        count: u32,
    },
    /// A workspace has other entries or limits in another shard.
    WorkspaceDiffers {
        /// The workspace.
        workspace: String,
        /// The file of the other shard.
        other: String,
    },
    /// A shard's bytes do not have the digest that the index lists.
    DigestMismatch {
        /// The shard's number.
        shard: u32,
        /// The digest of its bytes.
        found: String,
    },
    /// The index lists no shard of this number.
    NoSuchShard {
        /// The shard's number.
        shard: u32,
        /// Shards in all.
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
