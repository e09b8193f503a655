//! Checks of individual fields.

use crate::catalogue::digest::Digest;
use crate::catalogue::document::full_key;
use crate::catalogue::source::{Field, Given};
use crate::findings::catalogue::Problem as CatalogueProblem;
use crate::findings::{Findings, Place, Problem};

/// Maximum number of characters of a name.
const MAX_NAME_CHARS: usize = 64;
/// Maximum number of characters of an owner.
const MAX_LABEL_CHARS: usize = 128;

/// Checks the fields of one table.
#[derive(Debug)]
pub struct Fields<'a> {
    table: &'static str,
    place: Place,
    findings: &'a mut Findings,
}

impl<'a> Fields<'a> {
    /// Returns a checker for the table that starts at `place`.
    pub fn new(table: &'static str, place: Place, findings: &'a mut Findings) -> Self {
        Fields {
            table,
            place,
            findings,
        }
    }

    /// Requires the field to be present.
    pub fn present<T>(&mut self, key: &'static str, field: &Field<T>) {
        if matches!(field, Field::Absent) {
            let key = self.key(key);
            self.findings.push(self.place, Problem::MissingKey { key });
        }
    }

    /// Requires an integer from `low` to `high`.
    pub fn integer(&mut self, key: &'static str, field: &Field<i64>, low: i64, high: i64) {
        self.present(key, field);
        self.optional_integer(key, field, low, high);
    }

    /// Requires an integer from `low` to `high`, if the field is present.
    pub fn optional_integer(&mut self, key: &'static str, field: &Field<i64>, low: i64, high: i64) {
        let Some(given) = field.given() else {
            return;
        };
        if !(low..=high).contains(&given.value) {
            let problem = Problem::OutOfRange {
                key: self.key(key),
                min: low,
                max: high,
            };
            self.findings.push(given.place, problem);
        }
    }

    /// Requires a number strictly between 0 and 1, if the field is present.
    pub fn optional_probability(&mut self, key: &'static str, field: &Field<f64>) {
        let Some(given) = field.given() else {
            return;
        };
        if !(given.value > 0.0 && given.value < 1.0) {
            let key = self.key(key);
            self.push(given.place, CatalogueProblem::BadProbability { key });
        }
    }

    /// Requires one of the `allowed` values.
    pub fn one_of(&mut self, key: &'static str, field: &Field<String>, allowed: &[&'static str]) {
        self.present(key, field);
        let Some(given) = field.given() else {
            return;
        };
        if !allowed.contains(&given.value.as_str()) {
            let problem = CatalogueProblem::NotOneOf {
                key: self.key(key),
                allowed: allowed.join(", "),
            };
            self.push(given.place, problem);
        }
    }

    /// Requires a name that is valid in a URL and in a metric label.
    pub fn name(&mut self, key: &'static str, field: &Field<String>) {
        self.present(key, field);
        let allowed = "ASCII letters, digits, `.`, `_` and `-`";
        self.chars(key, field, MAX_NAME_CHARS, allowed, is_name_char);
    }

    /// Requires a name that may contain slashes, as the names of models do.
    pub fn path(&mut self, key: &'static str, field: &Field<String>) {
        self.present(key, field);
        if let Some(given) = field.given() {
            self.path_text(key, given);
        }
    }

    /// Requires `given` to be a name that may contain slashes.
    pub fn path_text(&mut self, key: &'static str, given: &Given<String>) {
        let allowed = "ASCII letters, digits, `.`, `_`, `-`, `:` and `/`";
        self.given_chars(key, given, MAX_NAME_CHARS, allowed, |c| {
            is_name_char(c) || matches!(c, '/' | ':')
        });
    }

    /// Requires printable text.
    pub fn label(&mut self, key: &'static str, field: &Field<String>) {
        self.present(key, field);
        let allowed = "printable characters";
        self.chars(key, field, MAX_LABEL_CHARS, allowed, |c| !c.is_control());
    }

    /// Requires a list of 1 to `limit` items.
    pub fn list<T>(&mut self, key: &'static str, field: &Field<Vec<T>>, limit: usize) {
        self.present(key, field);
        if let Some(given) = field.given().filter(|given| given.value.is_empty()) {
            let key = self.key(key);
            self.push(given.place, CatalogueProblem::EmptyList { key });
        }
        self.optional_list(key, field, limit);
    }

    /// Requires a list of at most `limit` items, if the field is present.
    pub fn optional_list<T>(&mut self, key: &'static str, field: &Field<Vec<T>>, limit: usize) {
        let Some(given) = field.given() else {
            return;
        };
        let found = given.value.len();
        if found > limit {
            let key = self.key(key);
            self.push(given.place, CatalogueProblem::TooMany { key, found, limit });
        }
    }

    /// Requires a hexadecimal digest.
    pub fn digest(&mut self, key: &'static str, given: &Given<String>) {
        if Digest::from_hex(&given.value).is_none() {
            let key = self.key(key);
            self.push(given.place, CatalogueProblem::BadDigest { key });
        }
    }

    /// Requires the field to be absent in an entry that names a service.
    pub fn model_only<T>(&mut self, key: &'static str, field: &Field<T>) {
        if let Some(given) = field.given() {
            let key = self.key(key);
            self.push(given.place, CatalogueProblem::ModelOnly { key });
        }
    }

    fn chars(
        &mut self,
        key: &'static str,
        field: &Field<String>,
        limit: usize,
        allowed: &'static str,
        is_allowed: fn(char) -> bool,
    ) {
        if let Some(given) = field.given() {
            self.given_chars(key, given, limit, allowed, is_allowed);
        }
    }

    fn given_chars(
        &mut self,
        key: &'static str,
        given: &Given<String>,
        limit: usize,
        allowed: &'static str,
        is_allowed: fn(char) -> bool,
    ) {
        let chars = given.value.chars().count();
        if (1..=limit).contains(&chars) && given.value.chars().all(is_allowed) {
            return;
        }
        let problem = CatalogueProblem::BadName {
            key: self.key(key),
            limit,
            allowed,
        };
        self.push(given.place, problem);
    }

    fn key(&self, key: &str) -> String {
        full_key(self.table, key)
    }

    fn push(&mut self, place: Place, problem: CatalogueProblem) {
        self.findings.push(place, Problem::Catalogue(problem));
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')
}
