//! Typed access to a TOML document, with the place of every value.

use super::MAX_VALUE_BYTES;
use super::source::{Field, Given};
use crate::findings::catalogue::{Problem as CatalogueProblem, nearest_of, quoted};
use crate::findings::{Findings, Place, Problem};
use core::ops::Range;
use toml_edit::{Array, Document, Item, TableLike, Value};

/// Converts byte offsets into places.
#[derive(Debug)]
pub struct LineMap<'a> {
    text: &'a str,
    /// Offset of the first byte of each line, in ascending order, starting with 0.
    starts: Vec<usize>,
}

impl<'a> LineMap<'a> {
    /// Indexes the lines of `text`.
    pub fn new(text: &'a str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let starts = core::iter::once(0)
            .chain(breaks.map(|(at, _)| at + 1))
            .collect();
        LineMap { text, starts }
    }

    /// Returns the place of the byte at `offset`, or of the end of the text if `offset` is beyond
    /// it.
    pub fn place(&self, offset: usize) -> Place {
        let offset = offset.min(self.text.len());
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let before = &self.text.as_bytes()[start..offset];
        let column = before
            .iter()
            .filter(|byte| !is_continuation(**byte))
            .count()
            + 1;
        Place {
            line: line as u32,
            column: column as u32,
        }
    }
}

/// Returns whether `byte` is a UTF-8 continuation byte.
fn is_continuation(byte: u8) -> bool {
    byte & 0b1100_0000 == 0b1000_0000
}

/// Returns the text of the document, or reports why the bytes are not text.
pub fn text<'a>(bytes: &'a [u8], findings: &mut Findings) -> Option<&'a str> {
    if bytes.len() > MAX_VALUE_BYTES {
        let problem = CatalogueProblem::TooLarge {
            bytes: bytes.len(),
            limit: MAX_VALUE_BYTES,
        };
        findings.push(Place::START, Problem::Catalogue(problem));
        return None;
    }
    match core::str::from_utf8(bytes) {
        Ok(text) => Some(text),
        Err(error) => {
            let valid = core::str::from_utf8(&bytes[..error.valid_up_to()]).unwrap_or_default();
            let place = LineMap::new(valid).place(valid.len());
            findings.push(place, Problem::Catalogue(CatalogueProblem::NotUtf8));
            None
        }
    }
}

/// Parses `text` as TOML, or reports the first syntax error.
///
/// Only one syntax error is reported, because the meaning of the text after it is unclear.
pub fn parse<'a>(
    text: &'a str,
    lines: &LineMap<'_>,
    findings: &mut Findings,
) -> Option<Document<&'a str>> {
    match Document::parse(text) {
        Ok(document) => Some(document),
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            let problem = Problem::Syntax {
                message: quoted(error.message()),
            };
            findings.push(lines.place(offset), problem);
            None
        }
    }
}

/// A table that is being read.
#[derive(Clone, Copy)]
pub struct TableRef<'t> {
    /// The table.
    pub table: &'t dyn TableLike,
    /// Its name in findings; empty for the root.
    pub name: &'static str,
    /// Where it starts.
    pub place: Place,
}

impl TableRef<'_> {
    /// Returns the full name of `key` in findings, with the name of its table.
    fn full_key(&self, key: &str) -> String {
        full_key(self.name, key)
    }
}

/// Returns the full name of `key` in findings, with the name of its table.
pub fn full_key(table: &str, key: &str) -> String {
    if table.is_empty() {
        return key.to_owned();
    }
    format!("{table}.{key}")
}

/// Reads typed fields, and reports fields of the wrong type.
#[derive(Debug)]
pub struct Reader<'a> {
    lines: &'a LineMap<'a>,
    findings: &'a mut Findings,
}

impl<'a> Reader<'a> {
    /// Returns a reader that reports to `findings`.
    pub fn new(lines: &'a LineMap<'a>, findings: &'a mut Findings) -> Self {
        Reader { lines, findings }
    }

    /// Reads a string.
    pub fn string(&mut self, table: TableRef<'_>, key: &'static str) -> Field<String> {
        self.field(table, key, "a string", |item| {
            item.as_str().map(str::to_owned)
        })
    }

    /// Reads an integer.
    pub fn integer(&mut self, table: TableRef<'_>, key: &'static str) -> Field<i64> {
        self.field(table, key, "an integer", Item::as_integer)
    }

    /// Reads a boolean.
    pub fn boolean(&mut self, table: TableRef<'_>, key: &'static str) -> Field<bool> {
        self.field(table, key, "a boolean", Item::as_bool)
    }

    /// Reads a number.
    pub fn number(&mut self, table: TableRef<'_>, key: &'static str) -> Field<f64> {
        self.field(table, key, "a number", |item| {
            item.as_float()
                .or_else(|| item.as_integer().map(|integer| integer as f64))
        })
    }

    /// Reads an array of strings. An item of another type is reported at its own place and makes
    /// the entire field unreadable.
    pub fn strings(&mut self, table: TableRef<'_>, key: &'static str) -> Field<Vec<Given<String>>> {
        let Some(item) = table.table.get(key) else {
            return Field::Absent;
        };
        let place = self.place(item.span(), table.place);
        let Some(array) = item.as_array() else {
            return self.wrong_type(
                place,
                table.full_key(key),
                "an array of strings",
                item.type_name(),
            );
        };
        match self.items(array, table, key) {
            Some(value) => Field::Given(Given { value, place }),
            None => Field::Unreadable,
        }
    }

    fn items(
        &mut self,
        array: &Array,
        table: TableRef<'_>,
        key: &'static str,
    ) -> Option<Vec<Given<String>>> {
        let mut items = Vec::with_capacity(array.len());
        for value in array {
            let place = self.place(value.span(), table.place);
            match value {
                Value::String(text) => items.push(Given {
                    value: text.value().clone(),
                    place,
                }),
                other => {
                    let found = other.type_name();
                    self.wrong_type::<()>(place, table.full_key(key), "an array of strings", found);
                }
            }
        }
        (items.len() == array.len()).then_some(items)
    }

    /// Reads a table inside `table`, written as a standard or an inline table.
    pub fn table<'t>(
        &mut self,
        table: TableRef<'t>,
        key: &'static str,
        name: &'static str,
    ) -> Field<TableRef<'t>> {
        let Some(item) = table.table.get(key) else {
            return Field::Absent;
        };
        let place = self.place(item.span(), table.place);
        match item.as_table_like() {
            Some(inner) => {
                let value = TableRef {
                    table: inner,
                    name,
                    place,
                };
                Field::Given(Given { value, place })
            }
            None => self.wrong_type(place, table.full_key(key), "a table", item.type_name()),
        }
    }

    /// Reads an array of tables. Returns an empty list if the key is absent.
    pub fn tables<'t>(&mut self, table: TableRef<'t>, name: &'static str) -> Vec<TableRef<'t>> {
        let Some(item) = table.table.get(name) else {
            return Vec::new();
        };
        if let Some(tables) = item.as_array_of_tables() {
            let places = tables
                .iter()
                .map(|inner| (inner as &dyn TableLike, inner.span()));
            return self.table_refs(places, name, table.place);
        }
        let inline = item
            .as_array()
            .filter(|array| array.iter().all(|value| value.as_inline_table().is_some()));
        if let Some(array) = inline {
            let tables = array.iter().filter_map(Value::as_inline_table);
            let places = tables.map(|inner| (inner as &dyn TableLike, inner.span()));
            return self.table_refs(places, name, table.place);
        }
        let place = self.place(item.span(), table.place);
        self.wrong_type::<()>(
            place,
            table.full_key(name),
            "an array of tables",
            item.type_name(),
        );
        Vec::new()
    }

    fn table_refs<'t>(
        &self,
        tables: impl Iterator<Item = (&'t dyn TableLike, Option<Range<usize>>)>,
        name: &'static str,
        outer: Place,
    ) -> Vec<TableRef<'t>> {
        tables
            .map(|(table, span)| TableRef {
                table,
                name,
                place: self.place(span, outer),
            })
            .collect()
    }

    /// Reports each key of `table` that is not in `known`.
    pub fn reject_unknown(&mut self, table: TableRef<'_>, known: &[&'static str]) {
        for (key, item) in table.table.iter() {
            if known.contains(&key) {
                continue;
            }
            let key_span = table.table.key(key).and_then(|key| key.span());
            let place = self.place(key_span.or_else(|| item.span()), table.place);
            let problem = Problem::UnknownKey {
                key: table.full_key(&quoted(key)),
                nearest: nearest_of(key, known.iter().copied()),
            };
            self.findings.push(place, problem);
        }
    }

    fn field<T>(
        &mut self,
        table: TableRef<'_>,
        key: &'static str,
        expected: &'static str,
        read: impl FnOnce(&Item) -> Option<T>,
    ) -> Field<T> {
        let Some(item) = table.table.get(key) else {
            return Field::Absent;
        };
        let place = self.place(item.span(), table.place);
        match read(item) {
            Some(value) => Field::Given(Given { value, place }),
            None => self.wrong_type(place, table.full_key(key), expected, item.type_name()),
        }
    }

    fn wrong_type<T>(
        &mut self,
        place: Place,
        key: String,
        expected: &'static str,
        found: &'static str,
    ) -> Field<T> {
        let problem = Problem::WrongType {
            key,
            expected,
            found,
        };
        self.findings.push(place, problem);
        Field::Unreadable
    }

    fn place(&self, span: Option<Range<usize>>, outer: Place) -> Place {
        span.map_or(outer, |span| self.lines.place(span.start))
    }
}
