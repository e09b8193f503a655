//! Messages between instances and the homes of suspects.
//!
//! Both carry the sender's crash records of the suspects in question. Without them, a run that
//! crashes its endpoint releases its lease, and the next run is granted the lease some milliseconds
//! later, before gossip has informed its instance that this was the third crash.

use super::{CrashRecord, SuspectRun};
use serde::{Deserialize, Serialize};

/// What an instance reports to the home of a suspect and to the next in rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLeaseReport {
    /// Runs that request a lease from the receiver.
    pub acquire: Vec<SuspectRun>,
    /// Runs that continue and renew their lease.
    pub renew: Vec<SuspectRun>,
    /// Runs that ended and release their lease.
    pub release: Vec<SuspectRun>,
    /// The sender's crash records of these requests.
    pub records: Vec<CrashRecord>,
}

/// The answer of a suspect's home.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLeaseAnswer {
    /// Runs that hold the lease now.
    pub granted: Vec<SuspectRun>,
    /// Runs that have to wait, since another one holds the lease.
    pub waiting: Vec<SuspectRun>,
    /// The home's crash records of these requests.
    pub records: Vec<CrashRecord>,
}
