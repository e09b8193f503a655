//! The record of what a stand-in truly did.
//!
//! Entries are kept in memory for `GET /admin/record` and appended to a file
//! as they happen, so that the record of a killed stand-in survives it.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// One thing that happened at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Microseconds since the epoch. All processes of a run share one machine
    /// and therefore one clock.
    pub at_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub fact: Fact,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fact", rename_all = "snake_case")]
pub enum Fact {
    /// An attempt arrived.
    Arrived {
        /// The attempt's id as the instance sent it.
        attempt: String,
        /// The request's id as the instance sent it.
        request: String,
        /// The prompt, or the body of a call; it carries the caller's marker.
        prompt: String,
        /// The priority; 0 is the most urgent.
        priority: u8,
    },
    /// The attempt was refused definitely.
    Refused {
        /// Which attempt.
        attempt: String,
        /// Why.
        reason: super::http::Refusal,
    },
    /// The attempt was taken in. From here on it counts as run, because nobody
    /// outside the endpoint could know that it did not.
    Accepted {
        /// Which attempt.
        attempt: String,
        /// The text seed that its tokens come from.
        seed: u64,
        /// Tokens of the whole answer.
        length: u32,
    },
    /// The attempt was preempted and will be recomputed.
    Preempted {
        /// Which attempt.
        attempt: String,
    },
    /// The attempt ended.
    Ended {
        /// Which attempt.
        attempt: String,
        /// Tokens generated.
        tokens: u32,
        /// How it ended.
        how: Ending,
    },
    /// A stream was resumed by its attempt id.
    Resumed {
        /// Which attempt.
        attempt: String,
        /// The first index asked for.
        from: u32,
        /// Whether the generation was still held.
        found: bool,
    },
    /// An order was received.
    Order {
        /// Its fencing number.
        fencing: u64,
        /// Its kind and subject.
        order: String,
        /// Whether it was carried out.
        accepted: bool,
    },
    /// The endpoint says from now on that it is leaving, or no longer.
    Leaving {
        /// Whether it leaves.
        leaving: bool,
    },
    /// A fault that was asked for was carried out.
    Fault {
        /// Which attempt it struck.
        attempt: String,
        /// Its name.
        fault: String,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// Every token was generated.
    Whole,
    /// The instance cancelled it.
    Cancelled,
    /// Nobody listened for the whole grace.
    Abandoned,
}

/// The entries of one stand-in.
#[derive(Debug, Default)]
pub struct Journal {
    entries: Vec<Entry>,
    file: Option<File>,
}

impl Journal {
    /// Opens a journal that also appends to `path`, if one is given.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = path
            .map(|path| File::options().create(true).append(true).open(path))
            .transpose()?;
        Ok(Journal {
            entries: Vec::new(),
            file,
        })
    }

    /// Adds what just happened.
    pub fn push(&mut self, fact: Fact) {
        let entry = Entry {
            at_us: now_us(),
            fact,
        };
        if let Some(file) = &mut self.file {
            let mut line = serde_json::to_vec(&entry).unwrap_or_default();
            line.push(b'\n');
            // A journal that cannot be written would make the checker blind, so
            // the stand-in ends rather than run unrecorded.
            file.write_all(&line).expect("the journal can be written");
        }
        self.entries.push(entry);
    }

    /// Returns all entries so far, in order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
}

/// Reads the entries that a stand-in appended to `path`.
///
/// A last line that was cut by a kill is left out.
pub fn read(path: &Path) -> io::Result<Vec<Entry>> {
    let text = std::fs::read_to_string(path)?;
    let entries = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok());
    Ok(entries.collect())
}

/// Returns the microseconds since the epoch.
pub fn now_us() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
