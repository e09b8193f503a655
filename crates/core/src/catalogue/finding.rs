//! Findings: what is wrong with a catalogue, and where.

use core::fmt;

/// The most findings kept for one value. A hostile value of a megabyte could
/// otherwise hold hundreds of thousands; the rest is only counted.
pub const MAX_FINDINGS: usize = 256;

/// The most characters of the input that a finding repeats.
const MAX_QUOTED_CHARS: usize = 64;

/// Where in a value a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// The line, from 1.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
}

impl Place {
    /// The first character of a value.
    pub const START: Place = Place { line: 1, column: 1 };
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A piece of the input as findings show it: cut to a bounded length, with
/// control characters escaped so that it cannot forge lines of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quoted(String);

impl Quoted {
    /// Returns the shown form of `text`.
    pub fn new(text: &str) -> Self {
        let mut shown: String = text
            .chars()
            .take(MAX_QUOTED_CHARS)
            .flat_map(char::escape_debug)
            .collect();
        if text.chars().nth(MAX_QUOTED_CHARS).is_some() {
            shown.push('…');
        }
        Quoted(shown)
    }
}

impl fmt::Display for Quoted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}`", self.0)
    }
}

/// Appends the nearest known name, if there is one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Nearest(pub Option<Quoted>);

impl Nearest {
    /// Two names closer than this are taken for a slip of the pen; between 0 and 1.
    const SIMILARITY: f64 = 0.7;
    /// The most names compared. Without a bound, a value with thousands of
    /// names and thousands of slips would keep the reader busy for seconds.
    const MAX_COMPARED: usize = 512;

    /// Finds the name among `known` that `text` was probably meant to be.
    pub fn find<'a>(text: &str, known: impl IntoIterator<Item = &'a str>) -> Self {
        let mut best = (Self::SIMILARITY, None);
        if text.len() > MAX_QUOTED_CHARS {
            return Nearest(None);
        }
        for name in known.into_iter().take(Self::MAX_COMPARED) {
            let similarity = strsim::jaro_winkler(text, name);
            if similarity > best.0 {
                best = (similarity, Some(name));
            }
        }
        Nearest(best.1.map(Quoted::new))
    }
}

impl fmt::Display for Nearest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(name) => write!(f, "; did you mean {name}?"),
            None => Ok(()),
        }
    }
}

/// What is wrong at one place.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum FindingKind {
    /// the value has {bytes} bytes; the platform holds at most {limit}
    TooLarge {
        /// Bytes of the value.
        bytes: usize,
        /// The most bytes allowed.
        limit: usize,
    },
    /// the value is not valid UTF-8
    NotUtf8,
    /// not valid TOML: {message}
    Syntax {
        /// What the TOML parser says.
        message: String,
    },
    /// unknown key {key} in {table}{nearest}
    UnknownKey {
        /// The key as written.
        key: Quoted,
        /// The table it stands in.
        table: &'static str,
        /// The known key it resembles.
        nearest: Nearest,
    },
    /// {table} has no `{key}`
    MissingKey {
        /// The key that is missing.
        key: &'static str,
        /// The table it should stand in.
        table: &'static str,
    },
    /// `{key}` must be {expected}, not {found}
    WrongType {
        /// The key.
        key: &'static str,
        /// The type it should have.
        expected: &'static str,
        /// The type it has.
        found: &'static str,
    },
    /// `{key}` is {found}; it must be from {low} to {high}
    OutOfRange {
        /// The key.
        key: &'static str,
        /// What is written.
        found: i64,
        /// The least value allowed.
        low: i64,
        /// The greatest value allowed.
        high: i64,
    },
    /// `{key}` is {found}; it must be greater than 0 and less than 1
    BadProbability {
        /// The key.
        key: &'static str,
        /// What is written.
        found: Quoted,
    },
    /// `{key}` is {found}; it must be one of {allowed}
    NotOneOf {
        /// The key.
        key: &'static str,
        /// What is written.
        found: Quoted,
        /// The values allowed.
        allowed: String,
    },
    /// `{key}` is {found}; it must have 1 to {limit} characters out of {allowed}
    BadName {
        /// The key.
        key: &'static str,
        /// What is written.
        found: Quoted,
        /// The most characters allowed.
        limit: usize,
        /// The characters allowed.
        allowed: &'static str,
    },
    /// `{key}` must not be empty
    EmptyList {
        /// The key.
        key: &'static str,
    },
    /// `{key}` has {found} items; at most {limit} are allowed
    TooMany {
        /// The key.
        key: &'static str,
        /// Items written.
        found: usize,
        /// The most items allowed.
        limit: usize,
    },
    /// {kind} {name} is already defined at {first}
    Duplicate {
        /// What is defined twice.
        kind: &'static str,
        /// Its name.
        name: Quoted,
        /// Where it was defined first.
        first: Place,
    },
    /// there is no {kind} {name}{nearest}
    UnknownReference {
        /// What is referred to.
        kind: &'static str,
        /// The name that nothing has.
        name: Quoted,
        /// The existing name it resembles.
        nearest: Nearest,
    },
    /// model {name} has several versions; the entry must say which with `version`
    AmbiguousVersion {
        /// The model's name.
        name: Quoted,
    },
    /// an entry needs exactly one of `model` and `service`
    NoSingleTarget,
    /// `{key}` has no meaning for an entry that names a service
    ModelOnly {
        /// The key.
        key: &'static str,
    },
    /// `wait_target_ms` is {target}, which is longer than `longest_wait_ms`, {longest}
    TargetBeyondLongest {
        /// The wait target in milliseconds.
        target: i64,
        /// The longest wait in milliseconds.
        longest: i64,
    },
    /// `{key}` must be a SHA-256 digest of 64 hexadecimal digits, not {found}
    BadDigest {
        /// The key.
        key: &'static str,
        /// What is written.
        found: Quoted,
    },
    /// the key digest is already held by workspace {workspace} at {first}
    SharedDigest {
        /// The workspace that has it too.
        workspace: Quoted,
        /// Where it stands first.
        first: Place,
    },
    /// the key digest belongs to shard {right} of {count}, not to shard {here}
    WrongShard {
        /// The shard it belongs to.
        right: u32,
        /// Shards in all.
        count: u32,
        /// The shard it stands in.
        here: u32,
    },
}

/// One thing that is wrong, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Where.
    pub place: Place,
    /// What.
    pub kind: FindingKind,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.kind)
    }
}

/// Everything that is wrong with one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Findings {
    list: Vec<Finding>,
    unlisted: u32,
}

impl Findings {
    /// Adds a finding, or only counts it once [`MAX_FINDINGS`] are listed.
    pub fn push(&mut self, place: Place, kind: FindingKind) {
        if self.is_full() {
            self.unlisted += 1;
        } else {
            self.list.push(Finding { place, kind });
        }
    }

    /// Returns the findings in the order of their places.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.list.iter()
    }

    /// Returns how many findings there are, listed or not.
    pub fn len(&self) -> usize {
        self.list.len() + self.unlisted as usize
    }

    /// Returns how many findings were counted but not listed.
    pub fn unlisted(&self) -> u32 {
        self.unlisted
    }

    /// Returns whether further findings are only counted.
    pub fn is_full(&self) -> bool {
        self.list.len() >= MAX_FINDINGS
    }

    /// Returns whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns `Ok` if nothing is wrong, else the findings in the order of their places.
    ///
    /// # Errors
    ///
    /// Returns the findings if there is at least one.
    pub fn into_result(mut self) -> Result<(), Findings> {
        if self.is_empty() {
            return Ok(());
        }
        self.list.sort_by_key(|finding| finding.place);
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(f, "{finding}")?;
        }
        if self.unlisted > 0 {
            writeln!(f, "and {} more", self.unlisted)?;
        }
        Ok(())
    }
}
