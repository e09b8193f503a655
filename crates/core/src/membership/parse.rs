//! Parses the published list, each entry on its own.
//!
//! A list is written by several writers. If one entry made the whole list unreadable, every
//! instance would keep its old list for as long as that entry is published, and a new instance
//! would have no list at all. No part of an entry is read recursively, so that deep nesting costs
//! no stack.

use super::list::{EndpointRecord, InstanceList, InstanceRecord, ListedState};
use crate::note::UnreadableEntry;
use core::fmt;
use core::marker::PhantomData;
use serde::de::{DeserializeOwned, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of unreadable entries of a list that are described.
pub const MAX_DESCRIBED: usize = 16;

/// Maximum number of characters of a reason; a parser's message may quote the entry.
const MAX_REASON_CHARS: usize = 160;

/// Maximum number of characters of a name in a description.
const MAX_NAME_CHARS: usize = 64;

/// Returns whether both describe the same entry, which may have moved within the list.
pub(super) fn is_same(a: &UnreadableEntry, b: &UnreadableEntry) -> bool {
    let field = |it: &UnreadableEntry| it.place.split('[').next().map(str::to_owned);
    a.name == b.name && a.reason == b.reason && field(a) == field(b)
}

/// The unreadable entries of one field of the list.
#[derive(Clone, Debug, Default)]
pub(super) struct Unreadable {
    /// Names of those whose name can be read.
    pub names: BTreeSet<String>,
    /// Number of those whose name cannot be read.
    pub unnamed: usize,
    /// Number of all.
    pub count: usize,
    /// The first [`MAX_DESCRIBED`].
    pub described: Vec<UnreadableEntry>,
}

impl Unreadable {
    fn add<R: Record>(&mut self, index: usize, raw: &str, reason: &str) {
        let name = serde_json::from_str::<NameOnly>(raw).ok().map(|it| it.name);
        self.count += 1;
        if self.described.len() < MAX_DESCRIBED {
            self.described.push(UnreadableEntry {
                place: format!("{}[{index}]", R::FIELD),
                name: name.as_deref().map(|it| cut(it, MAX_NAME_CHARS)),
                reason: cut(reason, MAX_REASON_CHARS),
            });
        }
        match name {
            Some(name) => {
                self.names.insert(name);
            }
            None => self.unnamed += 1,
        }
    }
}

/// A list as parsed, with what could not be read of it.
#[derive(Clone, Debug, Default)]
pub struct ParsedList {
    /// The entries that can be read.
    pub list: InstanceList,
    pub(super) instances: Unreadable,
    pub(super) endpoints: Unreadable,
}

impl From<InstanceList> for ParsedList {
    fn from(list: InstanceList) -> Self {
        ParsedList {
            list,
            ..ParsedList::default()
        }
    }
}

impl ParsedList {
    /// Parses the published list.
    ///
    /// # Errors
    ///
    /// Returns why the outer form of the list cannot be read, as text of bounded length.
    pub fn parse(bytes: &[u8]) -> Result<ParsedList, String> {
        let parsed: Outer = serde_json::from_str(&as_text(bytes))
            .map_err(|error| cut(&error.to_string(), MAX_REASON_CHARS))?;
        let list = InstanceList {
            revision: parsed.revision,
            instances: parsed.instances.records,
            endpoints: parsed.endpoints.records,
        };
        Ok(ParsedList {
            list,
            instances: parsed.instances.unreadable,
            endpoints: parsed.endpoints.unreadable,
        })
    }

    /// Returns the number of entries that cannot be read.
    pub fn unreadable_count(&self) -> usize {
        self.instances.count + self.endpoints.count
    }

    /// Returns the first unreadable entries, at most [`MAX_DESCRIBED`].
    pub(super) fn described(&self) -> impl Iterator<Item = &UnreadableEntry> {
        let endpoints = self.endpoints.described.iter();
        let all = self.instances.described.iter().chain(endpoints);
        all.take(MAX_DESCRIBED)
    }

    /// Returns the list with the records of `before` that this list may still contain in entries
    /// that cannot be read. They are kept as leaving: they get no new work, and nothing else is
    /// concluded about them.
    ///
    /// The result depends only on the two lists, so that instances with the same lists agree on
    /// homes and cells.
    pub(super) fn with_unreadable_of(self, before: &InstanceList) -> InstanceList {
        let mut list = self.list;
        hold(&mut list.instances, &before.instances, &self.instances);
        hold(&mut list.endpoints, &before.endpoints, &self.endpoints);
        list.normalise();
        list
    }
}

/// Adds the records of `before` that entries in `unreadable` may stand for.
///
/// An entry without a readable name may be any record that is missing. At most as many are kept as
/// there are such entries, otherwise one of them would keep every record that is removed later. A
/// record that was live is kept first, because a planned removal is listed as leaving before.
fn hold<R: Record>(records: &mut Vec<R>, before: &[R], unreadable: &Unreadable) {
    if unreadable.count == 0 {
        return;
    }
    let readable: BTreeSet<&str> = records.iter().map(R::name).collect();
    let missing = before.iter().filter(|it| !readable.contains(it.name()));
    let (named, mut others): (Vec<&R>, Vec<&R>) =
        missing.partition(|it| unreadable.names.contains(it.name()));
    others.sort_by_key(|it| it.state() == ListedState::Leaving);
    let others = others.into_iter().take(unreadable.unnamed);
    let held: Vec<R> = named.into_iter().chain(others).map(R::as_leaving).collect();
    records.extend(held);
}

/// A record of the list.
trait Record: Clone + DeserializeOwned {
    /// The field of the list that holds such records.
    const FIELD: &'static str;

    fn name(&self) -> &str;

    fn state(&self) -> ListedState;

    fn as_leaving(&self) -> Self;

    fn addresses(&self) -> [SocketAddr; 2];
}

impl Record for InstanceRecord {
    const FIELD: &'static str = "instances";

    fn name(&self) -> &str {
        &self.name
    }

    fn state(&self) -> ListedState {
        self.state
    }

    fn as_leaving(&self) -> Self {
        let state = ListedState::Leaving;
        InstanceRecord {
            state,
            ..self.clone()
        }
    }

    fn addresses(&self) -> [SocketAddr; 2] {
        [self.address, self.peer_address]
    }
}

impl Record for EndpointRecord {
    const FIELD: &'static str = "endpoints";

    fn name(&self) -> &str {
        &self.name
    }

    fn state(&self) -> ListedState {
        self.state
    }

    fn as_leaving(&self) -> Self {
        let state = ListedState::Leaving;
        EndpointRecord {
            state,
            ..self.clone()
        }
    }

    fn addresses(&self) -> [SocketAddr; 2] {
        [self.address, self.address]
    }
}

fn record<R: Record>(raw: &str) -> Result<R, String> {
    let record: R = serde_json::from_str(raw).map_err(|error| error.to_string())?;
    match record.addresses().iter().any(|it| it.port() == 0) {
        true => Err("an address has port 0, which cannot be connected to".to_owned()),
        false => Ok(record),
    }
}

#[derive(Deserialize)]
struct NameOnly {
    name: String,
}

/// The outer form of the list.
#[derive(Deserialize)]
struct Outer {
    revision: u64,
    #[serde(default)]
    instances: Elements<InstanceRecord>,
    #[serde(default)]
    endpoints: Elements<EndpointRecord>,
}

/// The entries of one field.
struct Elements<R> {
    records: Vec<R>,
    unreadable: Unreadable,
}

impl<R> Default for Elements<R> {
    fn default() -> Self {
        Elements {
            records: Vec::new(),
            unreadable: Unreadable::default(),
        }
    }
}

impl<'de, R: Record> Deserialize<'de> for Elements<R> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_seq(EachElement(PhantomData))
    }
}

struct EachElement<R>(PhantomData<R>);

impl<'de, R: Record> Visitor<'de> for EachElement<R> {
    type Value = Elements<R>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an array of {}", R::FIELD)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut elements = Elements::default();
        let mut index = 0;
        // A raw value is scanned without recursion, and only for where it ends.
        while let Some(raw) = seq.next_element::<&RawValue>()? {
            match record(raw.get()) {
                Ok(record) => elements.records.push(record),
                Err(reason) => elements.unreadable.add::<R>(index, raw.get(), &reason),
            }
            index += 1;
        }
        Ok(elements)
    }
}

/// Returns the bytes as text in which each invalid sequence has become a lone surrogate.
///
/// A lone surrogate is an error in a field that is read and nothing in one that is ignored, so that
/// only the entry that holds it cannot be read.
fn as_text(bytes: &[u8]) -> Cow<'_, str> {
    if let Ok(text) = core::str::from_utf8(bytes) {
        return Cow::Borrowed(text);
    }
    let mut text = String::with_capacity(bytes.len());
    for chunk in bytes.utf8_chunks() {
        text.push_str(chunk.valid());
        if !chunk.invalid().is_empty() {
            text.push_str("\\ud800 ");
        }
    }
    Cow::Owned(text)
}

/// Returns the first `limit` characters of a text, without line breaks.
fn cut(text: &str, limit: usize) -> String {
    let shown = text.chars().take(limit);
    shown
        .map(|it| if it.is_control() { ' ' } else { it })
        .collect()
}
