//! The catalogue: the entries that callers may request, their owners and their limits.
//!
//! Operators publish the catalogue as one *index* and a number of *shards*. The index contains the
//! classes, models, services and entries, and the SHA-256 digest of every shard. The shards contain
//! the workspaces, distributed by the digests of their bearer keys, because tens of thousands of
//! workspaces fit neither into one published value nor into the memory of one instance.
//!
//! A catalogue is read in three steps. Each is in its own module and is a pure function of the
//! bytes, so that every instance accepts or rejects the same bytes:
//!
//! 1. [`parse`] turns the bytes into [`source`] tables with the place of each field;
//! 2. [`verify`] checks the source tables and collects all findings;
//! 3. [`resolve`] turns verified tables into the dense [`Catalogue`] or [`Shard`].
//!
//! [`check`] checks files for `oriolemux check`.
//!
//! `docs/CATALOGUE.md` is the operators' reference; `docs/design/catalogue.md` explains the design.

pub mod check;
pub mod digest;
pub mod document;
pub mod model;
pub mod parse;
pub mod resolve;
pub mod shard;
pub mod source;
pub mod sync;
pub mod verify;

pub use crate::findings::catalogue::Problem;
pub use digest::{Digest, shard_of};
pub use model::{
    Catalogue, Class, ClassId, Entry, EntryId, EntryLimits, EntryView, Model, ModelId, Service,
    ServiceId, Target, TargetView,
};
pub use shard::{Shard, Workspace, WorkspaceId, WorkspaceLimits};

use crate::findings::Findings;
use crate::value::ValueName;

/// Maximum size of a published value. The platform stores no larger value, so a larger one is
/// corrupt or hostile.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum number of shards of a catalogue. The digests of 4,096 shards take a quarter of the
/// maximum size of the index.
pub const MAX_SHARDS: usize = 4_096;

/// Parses and verifies an index.
///
/// # Errors
///
/// Returns all [`Findings`] of the index if there is at least one.
pub fn parse_index(bytes: &[u8]) -> Result<Catalogue, Findings> {
    let mut findings = Findings::new(ValueName::CatalogueIndex.to_string());
    let Some(source) = parse::index(bytes, &mut findings) else {
        return Err(findings);
    };
    verify::index(&source, &mut findings);
    let source = findings.into_result(source)?;
    Ok(resolve::index(&source, Digest::of(bytes)))
}

/// Returns the revision that an index states, even if the index is invalid, or 0 if none can be
/// read. Operators identify a rejected index by it.
pub fn stated_revision(bytes: &[u8]) -> u64 {
    let mut ignored = Findings::new(ValueName::CatalogueIndex.to_string());
    let source = parse::index(bytes, &mut ignored);
    let revision = source.map_or(0, |source| source.revision.value_or_default());
    u64::try_from(revision).unwrap_or(0)
}

/// Parses and verifies shard `number` of a catalogue with `count` shards.
///
/// It does not check whether the entries that workspaces name exist, because that depends on the
/// index. So the result holds for every index that lists the shard's digest, and an unchanged shard
/// need not be verified again. `oriolemux check` checks the entries.
///
/// # Errors
///
/// Returns all [`Findings`] of the shard if there is at least one.
pub fn parse_shard(bytes: &[u8], number: u32, count: u32) -> Result<Shard, Findings> {
    let mut findings = Findings::new(ValueName::CatalogueShard(number).to_string());
    let Some(source) = parse::shard(bytes, &mut findings) else {
        return Err(findings);
    };
    let position = verify::ShardPosition { number, count };
    verify::shard(&source, Some(position), &mut findings);
    let source = findings.into_result(source)?;
    Ok(resolve::shard(&source, number))
}
