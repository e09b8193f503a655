//! Findings about the files that people write, collected with their place.
//!
//! A reader of settings or of a catalogue does not stop at the first mistake:
//! it pushes each one to [`Findings`] with the place where it stands and goes
//! on, so that the author mends all of them in one round.

pub mod catalogue;

use core::fmt;
use core::ops::Range;
use serde::Serialize;

/// The most findings listed for one file; the rest is only counted. A hostile
/// file of a megabyte could otherwise hold hundreds of thousands.
pub const MAX_LISTED: usize = 256;

/// Similarity below which a known name is not offered for an unknown one.
const NEAREST_MIN_SIMILARITY: f64 = 0.72;

/// A place in a text, counted from 1; columns count characters, not bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Place {
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

impl Place {
    /// The first character of a file; used for what is missing from all of it.
    pub const START: Place = Place { line: 1, column: 1 };

    /// Returns the place of the byte `offset` in `text`, or of its end if the
    /// offset lies behind it.
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

/// What is wrong at a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "problem", rename_all = "snake_case")]
pub enum Problem {
    /// The file could not be read.
    Unreadable {
        /// What the operating system said.
        message: String,
    },
    /// The text is not valid TOML.
    Syntax {
        /// What the parser said.
        message: String,
    },
    /// No such key is known here.
    UnknownKey {
        /// The key as written.
        key: String,
        /// The known key that resembles it most, if one does.
        nearest: Option<String>,
    },
    /// A key that must be given is not.
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
        /// What was found, in TOML's terms.
        found: &'static str,
    },
    /// A number lies outside its range.
    OutOfRange {
        /// The key.
        key: String,
        /// The least value allowed.
        min: i64,
        /// The greatest value allowed.
        max: i64,
    },
    /// A name is not among those that are defined.
    UnknownName {
        /// What kind of thing is named, for example `class`.
        what: &'static str,
        /// The name as written.
        name: String,
        /// The known name that resembles it most, if one does.
        nearest: Option<String>,
    },
    /// A name is defined twice.
    DuplicateName {
        /// What kind of thing is named.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A value is wrong for a reason of its own.
    Invalid {
        /// The key.
        key: String,
        /// Why the value is wrong, as the end of a sentence that starts with the key.
        why: String,
    },
    /// Something that only a catalogue can get wrong.
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

/// One mistake and its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Where.
    #[serde(flatten)]
    pub place: Place,
    /// What.
    #[serde(flatten)]
    pub problem: Problem,
}

/// All mistakes of one file.
///
/// It displays as one line a finding, `file:line:column: problem`, which
/// editors and CI systems know how to follow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Findings {
    file: String,
    findings: Vec<Finding>,
    /// Findings beyond [`MAX_LISTED`].
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

    /// Adds a finding at a place, or only counts it once [`MAX_LISTED`] are listed.
    pub fn push(&mut self, place: Place, problem: Problem) {
        if self.is_full() {
            self.unlisted += 1;
        } else {
            self.findings.push(Finding { place, problem });
        }
    }

    /// Adds a finding at the start of a span of `text`, as `toml_edit` reports
    /// spans; one without a span is placed at the start of the file.
    pub fn push_span(&mut self, text: &str, span: Option<Range<usize>>, problem: Problem) {
        let place = span.map_or(Place::START, |span| Place::of_offset(text, span.start));
        self.push(place, problem);
    }

    /// Moves all findings of `other`, which must be about the same file, to this collection.
    pub fn append(&mut self, mut other: Findings) {
        debug_assert_eq!(self.file, other.file);
        for finding in other.findings.drain(..) {
            self.push(finding.place, finding.problem);
        }
        self.unlisted += other.unlisted;
    }

    /// Returns how many findings there are, listed or only counted.
    pub fn len(&self) -> usize {
        self.findings.len() + self.unlisted
    }

    /// Returns how many findings were counted but not listed.
    pub fn unlisted(&self) -> usize {
        self.unlisted
    }

    /// Returns whether further findings are only counted.
    pub fn is_full(&self) -> bool {
        self.findings.len() >= MAX_LISTED
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the listed findings.
    pub fn iter(&self) -> core::slice::Iter<'_, Finding> {
        self.findings.iter()
    }

    /// Puts the findings in the order of their places.
    pub fn sort(&mut self) {
        self.findings.sort_by_key(|finding| finding.place);
    }

    /// Returns `value` if there are no findings, else the findings in the order of their places.
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

/// Returns the name among `known` that resembles `name` most, if one resembles it enough
/// to be worth offering.
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
