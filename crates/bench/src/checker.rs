//! Checks every promise of the product from outside.
//!
//! The checker is a pure function over what was recorded: what endpoints truly
//! ran, what callers got, which processes were stopped or were down, which
//! catalogue revisions instances had in force. It asks the product nothing
//! about its own decisions. `tests/checker.rs` breaks each promise on purpose
//! and sees it reported.

mod catalogue;
pub mod evidence;
mod leaving;
mod runs;
mod stop;
mod tokens;

pub use evidence::{
    CallerRecord, EndpointRecord, Evidence, LeavingNotice, Outage, PlannedStop, RevisionSeen, Work,
};

use runs::Runs;
use std::fmt;

/// A promise of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// Every token is delivered once, in order, from one single generation.
    Tokens,
    /// A caller gets the answer to its own request.
    OwnAnswer,
    /// "Not run" is true.
    NotRunIsTrue,
    /// Work that may not be repeated runs at most once.
    AtMostOnce,
    /// A leaving endpoint receives no new work after a few seconds.
    Leaving,
    /// A planned stop cuts off no request in flight.
    PlannedStop,
    /// A catalogue change is in force everywhere within seconds and never reverts.
    Catalogue,
    /// Every request ends with an answer or a typed error, and nothing runs that nobody asked for.
    Accounted,
}

impl Promise {
    /// Every promise, in the order of the table.
    pub const ALL: [Promise; 8] = [
        Promise::Tokens,
        Promise::OwnAnswer,
        Promise::NotRunIsTrue,
        Promise::AtMostOnce,
        Promise::Leaving,
        Promise::PlannedStop,
        Promise::Catalogue,
        Promise::Accounted,
    ];

    /// Returns the name of the count of its violations.
    pub const fn count_name(self) -> &'static str {
        match self {
            Promise::Tokens => "token_violations",
            Promise::OwnAnswer => "crossed",
            Promise::NotRunIsTrue => "false_not_run",
            Promise::AtMostOnce => "ran_twice",
            Promise::Leaving => "leaving_violations",
            Promise::PlannedStop => "cut_by_planned_stop",
            Promise::Catalogue => "catalogue_reverts",
            Promise::Accounted => "unaccounted",
        }
    }
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise.count_name(), self.detail)
    }
}

/// Violations as they are found.
#[derive(Debug, Default)]
struct Violations(Vec<Violation>);

impl Violations {
    fn push(&mut self, promise: Promise, detail: String) {
        self.0.push(Violation { promise, detail });
    }
}

/// Checks every promise and returns every violation.
pub fn check(evidence: &Evidence) -> Vec<Violation> {
    let mut found = Violations::default();
    let runs = Runs::of(evidence);
    for caller in &evidence.callers {
        tokens::check(caller, &evidence.callers, &runs, &mut found);
        runs::check_claim(caller, &runs, &mut found);
        runs::check_ending(caller, evidence, &mut found);
    }
    runs::check_at_most_once(evidence, &runs, &mut found);
    runs::check_asked_for(evidence, &runs, &mut found);
    leaving::check(evidence, &mut found);
    stop::check(evidence, &mut found);
    catalogue::check(evidence, &mut found);
    found.0
}
