//! Errors in files that people write, collected with their places.
//!
//! A reader of settings or of a catalogue does not stop at the first error. It adds each one to
//! [`Findings`] with its place and continues, so that the author can fix all of them at once.

pub mod catalogue;

use core::fmt;
use core::ops::Range;
use serde::Serialize;

/// Maximum number of findings listed for a file; further ones are only counted. A hostile file of a
/// megabyte could otherwise cause hundreds of thousands.
pub const MAX_LISTED: usize = 256;

/// Minimum similarity of a known name that is suggested for an unknown one.
const NEAREST_MIN_SIMILARITY: f64 = 0.72;

/// A position in a text. Lines and columns count from 1; columns count characters, not bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Place {
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

impl Place {
    /// The start of a file, for findings that concern the entire file.
    pub const START: Place = Place { line: 1, column: 1 };

    /// Returns the place of the byte at `offset` in `text`, or of the end of the text if `offset`
    /// is beyond it.
    pub fn of_offset(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let line = before.bytes().filter(|&b| b == b'\n').count() + 1;
        let column = before[line_start..].chars().count() + 1;
        Place {
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// The error that a finding reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "problem", rename_all = "snake_case")]
pub enum Problem {
    /// The file could not be read.
    Unreadable {
        /// The message of the operating system.
        message: String,
    },
    /// The text is not valid TOML.
    Syntax {
        /// The message of the parser.
        message: String,
    },
    /// The key is unknown in this table.
    UnknownKey {
        /// The key as written.
        key: String,
        /// The known key that resembles it most, if one does.
        nearest: Option<String>,
    },
    /// A required key is missing.
    MissingKey {
        /// The key.
        key: String,
    },
    /// A value has the wrong type.
    WrongType {
        /// The key.
        key: String,
        /// What was expected, for example `an integer`.
        expected: &'static str,
        /// The TOML type that was found.
        found: &'static str,
    },
    /// A number is out of range.
    OutOfRange {
        /// The key.
        key: String,
        /// The minimum.
        min: i64,
        /// The maximum.
        max: i64,
    },
    /// A name is not defined.
    UnknownName {
        /// The kind of item that is named, for example `class`.
        what: &'static str,
        /// The name as written.
        name: String,
        /// The most similar known name, if one is similar enough.
        nearest: Option<String>,
    },
    /// A name is defined twice.
    DuplicateName {
        /// The kind of item that is named.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A value is invalid for another reason.
    Invalid {
        /// The key.
        key: String,
        /// The reason, as the end of a sentence that starts with the key.
        why: String,
    },
    /// An error that only occurs in catalogues.
    #[serde(untagged)]
    Catalogue(catalogue::Problem),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Unreadable { message } => write!(f, "cannot read the file: {message}"),
            Problem::Syntax { message } => write!(f, "invalid TOML: {message}"),
            Problem::UnknownKey { key, nearest } => {
                write!(f, "unknown key `{key}`")?;
                write_nearest(f, nearest)
            }
            Problem::MissingKey { key } => write!(f, "missing key `{key}`"),
            Problem::WrongType {
                key,
                expected,
                found,
            } => write!(f, "`{key}` must be {expected}, found {found}"),
            Problem::OutOfRange { key, min, max } => {
                write!(f, "`{key}` must be between {min} and {max}")
            }
            Problem::UnknownName {
                what,
                name,
                nearest,
            } => {
                write!(f, "unknown {what} `{name}`")?;
                write_nearest(f, nearest)
            }
            Problem::DuplicateName { what, name } => {
                write!(f, "{what} `{name}` is defined twice")
            }
            Problem::Invalid { key, why } => write!(f, "`{key}` {why}"),
            Problem::Catalogue(problem) => problem.fmt(f),
        }
    }
}

fn write_nearest(f: &mut fmt::Formatter<'_>, nearest: &Option<String>) -> fmt::Result {
    match nearest {
        Some(name) => write!(f, "; did you mean `{name}`?"),
        None => Ok(()),
    }
}

/// An error and its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The place.
    #[serde(flatten)]
    pub place: Place,
    /// The error.
    #[serde(flatten)]
    pub problem: Problem,
}

/// The findings of one file.
///
/// `Display` writes one line per finding, `file:line:column: problem`, a format that editors and CI
/// systems recognise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Findings {
    file: String,
    findings: Vec<Finding>,
    /// Number of findings beyond [`MAX_LISTED`].
    unlisted: usize,
}

impl Findings {
    /// Returns an empty collection for the file (or published value) named `file`.
    pub fn new(file: impl Into<String>) -> Self {
        Findings {
            file: file.into(),
            findings: Vec::new(),
            unlisted: 0,
        }
    }

    /// Returns the name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Adds a finding, or only counts it if [`MAX_LISTED`] findings are listed.
    pub fn push(&mut self, place: Place, problem: Problem) {
        if self.is_full() {
            self.unlisted += 1;
        } else {
            self.findings.push(Finding { place, problem });
        }
    }

    /// Adds a finding at the start of a `toml_edit` span of `text`, or at the start of the file if
    /// there is no span.
    pub fn push_span(&mut self, text: &str, span: Option<Range<usize>>, problem: Problem) {
        let place = span.map_or(Place::START, |span| Place::of_offset(text, span.start));
        self.push(place, problem);
    }

    /// Moves all findings of `other`, which must concern the same file, to this collection.
    pub fn append(&mut self, mut other: Findings) {
        debug_assert_eq!(self.file, other.file);
        for finding in other.findings.drain(..) {
            self.push(finding.place, finding.problem);
        }
        self.unlisted += other.unlisted;
    }

    /// Returns the number of findings, including those that are only counted.
    pub fn len(&self) -> usize {
        self.findings.len() + self.unlisted
    }

    /// Returns the number of findings that are counted but not listed.
    pub fn unlisted(&self) -> usize {
        self.unlisted
    }

    /// Returns whether further findings are only counted.
    pub fn is_full(&self) -> bool {
        self.findings.len() >= MAX_LISTED
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the listed findings.
    pub fn iter(&self) -> core::slice::Iter<'_, Finding> {
        self.findings.iter()
    }

    /// Sorts the findings by place.
    pub fn sort(&mut self) {
        self.findings.sort_by_key(|finding| finding.place);
    }

    /// Returns `value` if there are no findings, and otherwise the findings sorted by place.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Findings> {
        if self.is_empty() {
            return Ok(value);
        }
        self.sort();
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{}:{}: {}", self.file, finding.place, finding.problem)?;
        }
        if self.unlisted > 0 {
            write!(f, "\n{}: and {} more", self.file, self.unlisted)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Returns the name among `known` that is most similar to `name`, if the similarity is high enough
/// for a suggestion.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let mut best: Option<(&str, f64)> = None;
    for candidate in known {
        let similarity = strsim::normalized_damerau_levenshtein(name, candidate)
            .max(strsim::jaro_winkler(name, candidate) - 0.1);
        if best.is_none_or(|(_, other)| similarity > other) {
            best = Some((candidate, similarity));
        }
    }
    best.filter(|&(_, similarity)| similarity >= NEAREST_MIN_SIMILARITY)
        .map(|(candidate, _)| candidate)
}
