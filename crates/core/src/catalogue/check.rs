//! The full check of catalogue files before they are published, for `oriolemux check`.
//!
//! In addition to the verification at every instance, it checks the index and the shards against
//! each other: whether the digests match, whether the entries that workspaces name exist, and
//! whether a workspace has the same rights in each of its shards.

use super::digest::Digest;
use super::source::{IndexSource, ShardSource, WorkspaceSource};
use super::verify::ShardPosition;
use super::{parse, verify};
use crate::findings::catalogue::{Problem as CatalogueProblem, nearest_of, quoted};
use crate::findings::{Findings, Place, Problem};
use std::collections::{BTreeMap, BTreeSet};

/// A file to check.
#[derive(Clone, Copy, Debug)]
pub struct CheckFile<'a> {
    /// The file name, as findings show it.
    pub name: &'a str,
    /// The content.
    pub bytes: &'a [u8],
}

/// The part of a catalogue that a file contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// The index.
    Index,
    /// A shard.
    Shard,
}

impl FileKind {
    /// Returns the kind of the file, or `None` if it is not part of a catalogue.
    ///
    /// The content decides. If it is not valid TOML or has no known key, the file name decides.
    pub fn of(file: CheckFile<'_>) -> Option<Self> {
        let text = core::str::from_utf8(file.bytes).ok();
        let document = text.and_then(|text| toml_edit::Document::parse(text).ok());
        let Some(document) = document else {
            return kind_by_name(file.name);
        };
        let has = |key: &&str| document.contains_key(key);
        if parse::SHARD_KEYS.iter().any(has) {
            return Some(FileKind::Shard);
        }
        if parse::INDEX_KEYS.iter().any(has) {
            return Some(FileKind::Index);
        }
        kind_by_name(file.name)
    }
}

fn kind_by_name(name: &str) -> Option<FileKind> {
    if name.contains("catalogue-shard") {
        return Some(FileKind::Shard);
    }
    name.contains("catalogue-index").then_some(FileKind::Index)
}

/// The entries and limits of a workspace, without their places in the file.
#[derive(Debug, PartialEq, Eq)]
struct Rights {
    entries: BTreeSet<String>,
    concurrent: i64,
    tokens_per_minute: i64,
}

impl Rights {
    fn of(source: &WorkspaceSource) -> Self {
        let entries = source.entries.value_or_default();
        let limits = source.limits.value_or_default();
        Rights {
            entries: entries.into_iter().map(|entry| entry.value).collect(),
            concurrent: limits.concurrent.value_or_default(),
            tokens_per_minute: limits.tokens_per_minute.value_or_default(),
        }
    }
}

/// The workspaces of the shards checked so far, with the file of each.
///
/// A workspace whose keys belong to several shards is defined in each of them. If the definitions
/// differ, its rights depend on the key that a caller uses, and its limits on the shard that its
/// home (the instance that decides for the workspace) has read.
#[derive(Debug, Default)]
struct KnownWorkspaces(BTreeMap<String, (String, Rights)>);

impl KnownWorkspaces {
    fn compare(&mut self, file: &str, shard: &ShardSource, findings: &mut Findings) {
        for workspace in &shard.workspaces {
            let Some(name) = workspace.name.given() else {
                continue;
            };
            let rights = Rights::of(workspace);
            let Some((first, known)) = self.0.get(&name.value) else {
                let record = (file.to_owned(), rights);
                self.0.insert(name.value.clone(), record);
                continue;
            };
            // The verifier reports a workspace that is defined twice in one file.
            if *known != rights && first != file {
                let problem = CatalogueProblem::WorkspaceDiffers {
                    workspace: quoted(&name.value),
                    other: first.clone(),
                };
                findings.push(name.place, Problem::Catalogue(problem));
            }
        }
    }
}

/// A parsed index, for the checks that need it.
struct CheckedIndex {
    source: IndexSource,
    digests: Vec<Option<Digest>>,
}

/// Checks the files of one catalogue together, and returns the findings of each file that has any,
/// in the order of the files.
///
/// Shards are checked against the first index among the files. Without an index, each shard is
/// checked only by itself. A file that is not part of a catalogue is checked as an index, so
/// callers should call [`FileKind::of`] first.
pub fn check_files(files: &[CheckFile<'_>]) -> Vec<Findings> {
    let kinds: Vec<FileKind> = files
        .iter()
        .map(|file| FileKind::of(*file).unwrap_or(FileKind::Index))
        .collect();
    let indexed = kinds.iter().position(|kind| *kind == FileKind::Index);
    let index = indexed.and_then(|at| read_index(files[at].bytes));
    let mut known = KnownWorkspaces::default();
    let checked = files.iter().zip(&kinds).map(|(file, kind)| match kind {
        FileKind::Index => check_index(*file),
        FileKind::Shard => check_shard(*file, index.as_ref(), &mut known),
    });
    checked.filter_map(Result::err).collect()
}

fn check_index(file: CheckFile<'_>) -> Result<(), Findings> {
    let mut findings = Findings::new(file.name);
    if let Some(source) = parse::index(file.bytes, &mut findings) {
        verify::index(&source, &mut findings);
    }
    findings.into_result(())
}

fn read_index(bytes: &[u8]) -> Option<CheckedIndex> {
    let mut ignored = Findings::new("");
    let source = parse::index(bytes, &mut ignored)?;
    let shards = source.shards.given().map(|given| given.value.as_slice());
    let digests = shards
        .unwrap_or_default()
        .iter()
        .map(|text| Digest::from_hex(&text.value))
        .collect();
    Some(CheckedIndex { source, digests })
}

fn check_shard(
    file: CheckFile<'_>,
    index: Option<&CheckedIndex>,
    known: &mut KnownWorkspaces,
) -> Result<(), Findings> {
    let mut findings = Findings::new(file.name);
    let position = index.and_then(|index| position(file, index, &mut findings));
    if let Some(source) = parse::shard(file.bytes, &mut findings) {
        verify::shard(&source, position, &mut findings);
        if let Some(index) = index {
            entries_exist(&source, &index.source, &mut findings);
        }
        known.compare(file.name, &source, &mut findings);
    }
    findings.into_result(())
}

/// Returns the position of a shard, from its file name or else from its digest, and reports a
/// digest that the index does not list.
fn position(
    file: CheckFile<'_>,
    index: &CheckedIndex,
    findings: &mut Findings,
) -> Option<ShardPosition> {
    let found = Digest::of(file.bytes);
    let count = index.digests.len() as u32;
    let Some(number) = number_in(file.name) else {
        let mut digests = index.digests.iter();
        let number = digests.position(|digest| *digest == Some(found))? as u32;
        return Some(ShardPosition { number, count });
    };
    let Some(listed) = index.digests.get(number as usize) else {
        let problem = CatalogueProblem::NoSuchShard {
            shard: number,
            count,
        };
        findings.push(Place::START, Problem::Catalogue(problem));
        return None;
    };
    if listed.is_some_and(|listed| listed != found) {
        let problem = CatalogueProblem::DigestMismatch {
            shard: number,
            found: found.to_string(),
        };
        findings.push(Place::START, Problem::Catalogue(problem));
    }
    Some(ShardPosition { number, count })
}

/// Returns the number in a name such as `savannah/catalogue-shard-12.toml`.
fn number_in(name: &str) -> Option<u32> {
    let (_, tail) = name.rsplit_once("shard-")?;
    let digits = tail.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

fn entries_exist(shard: &ShardSource, index: &IndexSource, findings: &mut Findings) {
    let names = index.entries.iter().filter_map(|entry| entry.name.given());
    let known: BTreeSet<&str> = names.map(|name| name.value.as_str()).collect();
    let named = shard
        .workspaces
        .iter()
        .filter_map(|workspace| workspace.entries.given());
    for entry in named.flat_map(|entries| &entries.value) {
        if known.contains(entry.value.as_str()) {
            continue;
        }
        let problem = Problem::UnknownName {
            what: "entry",
            name: quoted(&entry.value),
            nearest: nearest_of(&entry.value, known.iter().copied()),
        };
        findings.push(entry.place, problem);
    }
}
