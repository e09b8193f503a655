//! What may be said about a request that did not end well.
//!
//! "Not run" is a promise: a caller that hears it sells the shirt again. The
//! types here make the wrong claim hard to write. A claim about one attempt
//! starts from an [`Unsent`], which becomes a [`Sent`] at the send; from there
//! proof comes only from the endpoint's own [`Refusal`] or from a connection
//! that was never made. A claim about a request goes through its
//! [`RequestOutcome`], which says "not run" only if every attempt has proof.
//!
//! See `docs/GUARANTEES.md`.

mod attempt;
mod refusal;
mod request;

pub use attempt::{Sent, Unsent};
pub use refusal::Refusal;
pub use request::RequestOutcome;

use crate::reason::{Outcome, Reason};
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// Proof that one attempt ran nowhere.
///
/// Only [`Unsent`] and [`Sent`] make one, each from a state in which nothing
/// can have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

/// What is known about whether an attempt ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It did not, with proof.
    No(NotRun),
    /// It may have.
    Maybe,
}

/// How a request ended that ran, or may have run, under the same ticket or key.
///
/// There is no "not run" here: a request that truly did not run frees its
/// ticket or key instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PriorOutcome {
    /// It may or may not have run.
    Unknown,
    /// Its first tokens were delivered, then no more came.
    Partial {
        /// How many.
        delivered: u32,
    },
    /// It ran and its whole answer was delivered.
    Complete,
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
    /// A request that was refused because no request like it can have run: its
    /// name was taken for other work, or issued to somebody else.
    ///
    /// For anything else only [`RequestOutcome::finish`] may say "not run".
    pub fn not_accepted(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self::new(Outcome::NotRun, reason, retry_after, 0)
    }

    /// The request may have run; nothing was delivered.
    pub const fn unknown(reason: Reason) -> Self {
        Self::new(Outcome::Unknown, reason, None, 0)
    }

    /// The first `delivered` tokens of one generation stand, and no more will come.
    pub const fn partial(reason: Reason, delivered: u32) -> Self {
        Self::new(Outcome::Partial, reason, None, delivered)
    }

    /// A request with the same ticket or key came before; this one did not run again.
    pub const fn repeated(reason: Reason, earlier: PriorOutcome) -> Self {
        match earlier {
            PriorOutcome::Unknown => Self::unknown(reason),
            PriorOutcome::Partial { delivered } => Self::partial(reason, delivered),
            PriorOutcome::Complete => Self::new(Outcome::Complete, reason, None, 0),
        }
    }

    /// Says when it is worth coming back.
    pub const fn with_retry_after(mut self, retry_after: Option<Duration>) -> Self {
        self.retry_after = retry_after;
        self
    }

    const fn new(
        outcome: Outcome,
        reason: Reason,
        retry_after: Option<Duration>,
        delivered: u32,
    ) -> Self {
        Verdict {
            outcome,
            reason,
            retry_after,
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
