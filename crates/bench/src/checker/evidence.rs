//! What was recorded.

use crate::load::Received;
use crate::standins::journal::Entry;

/// What one run recorded. All times are microseconds of one clock.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What endpoints truly did.
    pub endpoints: Vec<EndpointRecord>,
    /// What callers got.
    pub callers: Vec<CallerRecord>,
    /// For how long after the end of a request under a bare key a repeat must
    /// not run (`docs/GUARANTEES.md`).
    pub key_memory_us: u64,
    /// When endpoints were first said to be leaving.
    pub leaving: Vec<LeavingNotice>,
    /// Planned stops of instances.
    pub stops: Vec<PlannedStop>,
    /// When instances were killed or not there.
    pub outages: Vec<Outage>,
    /// Catalogue revisions seen in force.
    pub revisions: Vec<RevisionSeen>,
    /// The highest good revision that was published; every instance must have it
    /// in force at its last sighting.
    pub last_revision: Option<u64>,
}

/// What one endpoint truly did.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// Its published name.
    pub name: String,
    /// Its journal, all lives one after the other.
    pub entries: Vec<Entry>,
}

/// What a caller asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// A generation.
    Completion,
    /// A call of a plain service.
    Call,
}

/// What one caller asked for and got.
#[derive(Clone, Debug)]
pub struct CallerRecord {
    /// What it asked for.
    pub work: Work,
    /// Whether its class allows repeating the work.
    pub idempotent: bool,
    /// Whether the answer must come whole or not at all.
    pub whole: bool,
    /// The idempotency key or ticket that it shares with other records.
    pub key: Option<String>,
    /// Whether that is a bare key, which is remembered for a time, and not a ticket.
    pub is_bare_key: bool,
    /// The instance that it asked.
    pub instance: String,
    /// When it asked.
    pub sent_us: u64,
    /// When it had its end.
    pub ended_us: u64,
    /// Whether the caller itself went away before the end.
    pub left: bool,
    /// What it got; its prompt names it among all records without a shared key.
    pub received: Received,
}

/// An endpoint was said to be leaving.
#[derive(Clone, Debug)]
pub struct LeavingNotice {
    /// Which endpoint.
    pub endpoint: String,
    /// When it was first said.
    pub from_us: u64,
    /// When it was taken back, if it was.
    pub until_us: Option<u64>,
}

/// An instance was told to stop.
#[derive(Clone, Debug)]
pub struct PlannedStop {
    /// Which instance.
    pub instance: String,
    /// When it was told.
    pub at_us: u64,
    /// Its exit code; `None` if it never ended or was killed.
    pub exit_code: Option<i32>,
}

/// An instance was killed, and there again later.
#[derive(Clone, Debug)]
pub struct Outage {
    /// Which instance.
    pub instance: String,
    /// When it was killed, or had ended.
    pub from_us: u64,
    /// When it served again.
    pub until_us: u64,
}

/// An instance showed a catalogue revision in force.
#[derive(Clone, Debug)]
pub struct RevisionSeen {
    /// Which instance.
    pub instance: String,
    /// When.
    pub at_us: u64,
    /// The revision; `None` if no catalogue was in force.
    pub revision: Option<u64>,
}
