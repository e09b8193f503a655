//! What instances tell the homes of suspects, and what these answer.
//!
//! Both carry what the sender knows of the suspects in question. What goes wrong otherwise:
//! a run ends its endpoint and gives its turn back; the next one has the turn some milliseconds
//! later, before it hears by the usual ways that this was the third.

use super::{CrashRecord, SuspectRun};
use serde::{Deserialize, Serialize};

/// What an instance tells the home of a suspect and the next in rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLeaseReport {
    /// Runs that ask the receiver for their turn.
    pub acquire: Vec<SuspectRun>,
    /// Runs that go on.
    pub renew: Vec<SuspectRun>,
    /// Runs that ended.
    pub release: Vec<SuspectRun>,
    /// What the sender knows of these requests.
    pub records: Vec<CrashRecord>,
}

/// What the home of a suspect answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLeaseAnswer {
    /// Runs that have the turn now.
    pub granted: Vec<SuspectRun>,
    /// Runs that have to wait, since another one has it.
    pub waiting: Vec<SuspectRun>,
    /// What the home knows of these requests.
    pub records: Vec<CrashRecord>,
}
