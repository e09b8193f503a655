//! Reads the tables of a settings file and collects the findings.

use super::spec::{Absent, Spec};
use super::value::{Value, ValueContext};
use core::ops::Range;
use oriolemux_core::findings::{Findings, Place, Problem, nearest};
use std::path::Path;
use toml_edit::{Item, Table, TableLike};

/// Keys under which users may write the secret itself instead of a file's name.
const SECRET_KEYS: &[&str] = &["secret", "key", "password", "token"];

/// Reads one table.
pub(super) struct SectionReader<'a> {
    /// The section's name; empty for the root.
    section: &'static str,
    /// The table, if the file has it.
    table: Option<&'a dyn TableLike>,
    /// The span of the table, at which missing keys are reported.
    span: Option<Range<usize>>,
    /// The file has a value of another type in place of the table. That is one mistake, so keys
    /// missing from the table are not reported as well.
    is_replaced: bool,
    text: &'a str,
    base: &'a Path,
    findings: &'a mut Findings,
}

impl<'a> SectionReader<'a> {
    /// Reads the root of a document.
    pub(super) fn root(
        table: &'a Table,
        text: &'a str,
        base: &'a Path,
        findings: &'a mut Findings,
    ) -> Self {
        SectionReader {
            section: "",
            table: Some(table),
            span: None,
            is_replaced: false,
            text,
            base,
            findings,
        }
    }

    /// Reads the section `name` of the root. An absent section is read as an empty one.
    pub(super) fn section(&mut self, name: &'static str) -> SectionReader<'_> {
        let item = self.table.and_then(|table| table.get(name));
        let table = item.and_then(Item::as_table_like);
        if let (Some(item), None) = (item, table) {
            let problem = Problem::WrongType {
                key: name.to_owned(),
                expected: "a table",
                found: item.type_name(),
            };
            self.findings.push_span(self.text, item.span(), problem);
        }
        SectionReader {
            section: name,
            table,
            span: item.and_then(Item::span),
            is_replaced: item.is_some() && table.is_none(),
            text: self.text,
            base: self.base,
            findings: self.findings,
        }
    }

    /// Reads one setting. `None` means that a finding was pushed.
    pub(super) fn field<T: Value>(&mut self, field: &str, spec: Spec<T>) -> Option<T> {
        let key = self.full_key(field);
        let Some(item) = self.table.and_then(|table| table.get(field)) else {
            return self.absent(key, spec);
        };
        let span = item.span();
        let place = span.map_or(Place::START, |span| Place::of_offset(self.text, span.start));
        let cx = ValueContext {
            key: &key,
            place,
            base: self.base,
            range: spec.range,
        };
        match T::read(item, &cx) {
            Ok(value) => Some(value),
            Err(problem) => {
                self.findings.push(place, problem);
                None
            }
        }
    }

    /// Pushes a finding for each key that is not `known`.
    pub(super) fn report_unknown_keys(&mut self, known: &[&str]) {
        let Some(table) = self.table else { return };
        for (name, item) in table.iter() {
            if known.contains(&name) {
                continue;
            }
            let span = table
                .get_key_value(name)
                .and_then(|(key, _)| key.span())
                .or_else(|| item.span());
            let problem = self.unknown_key(name, known);
            self.findings.push_span(self.text, span, problem);
        }
    }

    fn absent<T>(&mut self, key: String, spec: Spec<T>) -> Option<T> {
        match spec.absent {
            Absent::Default(value) => Some(value),
            Absent::Refused if self.is_replaced => None,
            Absent::Refused => {
                let problem = Problem::MissingKey { key };
                self.findings
                    .push_span(self.text, self.span.clone(), problem);
                None
            }
        }
    }

    fn unknown_key(&self, name: &str, known: &[&str]) -> Problem {
        let key = self.full_key(name);
        let file_key = known.iter().find(|known| known.ends_with("_file"));
        match file_key {
            Some(file_key) if SECRET_KEYS.contains(&name) => Problem::Invalid {
                key,
                why: format!(
                    "must not stand in the settings; write it to a file and name that in `{file_key}`"
                ),
            },
            _ => Problem::UnknownKey {
                key,
                nearest: nearest(name, known.iter().copied()).map(str::to_owned),
            },
        }
    }

    /// Returns the name of the file that is read.
    pub(super) fn file(&self) -> &str {
        self.findings.file()
    }

    fn full_key(&self, field: &str) -> String {
        match self.section {
            "" => field.to_owned(),
            section => format!("{section}.{field}"),
        }
    }
}
