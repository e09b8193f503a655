//! What may be said about a request that did not end well.
//!
//! See `docs/GUARANTEES.md`.

use crate::reason::{Outcome, Reason};
use core::time::Duration;

/// Proof that a request ran nowhere.
///
/// It is built only by the constructors below, each of which names a state in
/// which nothing can have run, so that a wrong "not run" is hard to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

impl NotRun {
    /// No attempt of the request was ever handed to an endpoint connection.
    pub const fn never_sent() -> Self {
        NotRun(())
    }

    /// The endpoint itself refused definitely.
    pub const fn refused_by_endpoint() -> Self {
        NotRun(())
    }
}

/// What is known about whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It did not, with proof.
    No(NotRun),
    /// It may have.
    Maybe,
}

/// The final answer to a caller whose request did not end well.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    outcome: Outcome,
    reason: Reason,
    retry_after: Option<Duration>,
    delivered: u32,
}

impl Verdict {
    /// The request ran nowhere.
    pub const fn not_run(_proof: NotRun, reason: Reason, retry_after: Option<Duration>) -> Self {
        Verdict {
            outcome: Outcome::NotRun,
            reason,
            retry_after,
            delivered: 0,
        }
    }

    /// The request may have run; nothing was delivered.
    pub const fn unknown(reason: Reason) -> Self {
        Verdict {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
            delivered: 0,
        }
    }

    /// The first `delivered` tokens of one generation stand, and no more will come.
    pub const fn partial(reason: Reason, delivered: u32) -> Self {
        Verdict {
            outcome: Outcome::Partial,
            reason,
            retry_after: None,
            delivered,
        }
    }

    /// Returns what the caller may believe.
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns why.
    pub const fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns when it is worth coming back.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns how many tokens stand.
    pub const fn delivered(&self) -> u32 {
        self.delivered
    }
}
