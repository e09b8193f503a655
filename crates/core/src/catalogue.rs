//! The catalogue: what callers may ask for, under whose name and within which limits.
//!
//! Operators publish the catalogue as one *index* and a number of *shards*.
//! The index holds classes, models, services and entries, and the SHA-256
//! digest of every shard. The shards hold the workspaces, spread by the digest
//! of their bearer keys, because tens of thousands of workspaces fit neither
//! one published value nor the memory of one instance.
//!
//! Reading goes through three steps, each in its own module and each a pure
//! function of the bytes, so that every instance gives the same verdict:
//!
//! 1. [`parse`] turns bytes into [`source`] tables, with a place for each field;
//! 2. [`verify`] checks the source tables and collects every finding;
//! 3. [`resolve`] turns verified tables into the dense [`Catalogue`] or [`Shard`];
//!
//! [`check`] does it over files, for `oriolemux check`.
//!
//! `docs/CATALOGUE.md` is the operators' reference, `docs/design/catalogue.md`
//! says why it is so.

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

/// The most bytes of one published value. The platform holds no larger value,
/// so a larger one is damaged or hostile.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// The most shards of one catalogue. At 4,096 the digests alone take a quarter
/// of the index value.
pub const MAX_SHARDS: usize = 4_096;

/// Reads and verifies an index, or returns every finding.
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

/// Returns the revision that an index states, whatever else is wrong with it, or 0 if none
/// can be read. Operators know a rejected index by it.
pub fn stated_revision(bytes: &[u8]) -> u64 {
    let mut ignored = Findings::new(ValueName::CatalogueIndex.to_string());
    let source = parse::index(bytes, &mut ignored);
    let revision = source.map_or(0, |source| source.revision.value_or_default());
    u64::try_from(revision).unwrap_or(0)
}

/// Reads and verifies shard `number` of a catalogue with `count` shards, or
/// returns every finding.
///
/// Whether the entries that its workspaces name exist is not asked here,
/// because that depends on the index: the verdict on a shard stays true for
/// every index that lists its digest, and a shard that did not change is not
/// read again. `oriolemux check` asks it.
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
