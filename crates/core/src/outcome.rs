//! Outcomes that may be reported for a request that failed.
//!
//! "Not run" is a guarantee: a caller that receives it may safely execute the same work again, such
//! as selling the same item. The types in this module make a false guarantee hard to express. Proof
//! for one attempt starts from an [`Unsent`], which becomes a [`Sent`] at the send. After that,
//! proof comes only from the endpoint's own [`Refusal`] or from the fact that the request was never
//! transmitted. The outcome of a request comes from its [`RequestOutcome`], which reports "not run"
//! only if every attempt has proof.
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

/// Proof that an attempt did not run anywhere.
///
/// Only [`Unsent`], [`Sent`] and [`RequestOutcome`] create one, each from a state in which nothing
/// can have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(());

/// Whether an attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It provably did not run.
    No(NotRun),
    /// It may have run.
    Maybe,
}

/// Outcome of an earlier request under the same ticket or key that ran or may have run.
///
/// There is no "not run" variant: a request that provably did not run releases its ticket or key
/// instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PriorOutcome {
    /// It may or may not have run.
    Unknown,
    /// Its first tokens were delivered, and then it failed.
    Partial {
        /// Number of delivered tokens.
        delivered: u32,
    },
    /// It ran and its complete response was delivered.
    Complete,
}

/// The final response to a caller whose request was refused or failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    outcome: Outcome,
    reason: Reason,
    retry_after: Option<Duration>,
    delivered: u32,
}

impl Verdict {
    /// Returns the verdict on a request that cannot have run under its name, because the name was
    /// claimed for other work or issued to another workspace.
    ///
    /// In all other cases only [`RequestOutcome::finish`] may report "not run".
    pub fn not_accepted(reason: Reason, retry_after: Option<Duration>) -> Self {
        Self::new(Outcome::NotRun, reason, retry_after, 0)
    }

    /// Returns the verdict on a request that may have run and of which nothing was delivered.
    pub const fn unknown(reason: Reason) -> Self {
        Self::new(Outcome::Unknown, reason, None, 0)
    }

    /// Returns the verdict on a request that ends after the first `delivered` tokens of one
    /// generation. These tokens stay valid.
    pub const fn partial(reason: Reason, delivered: u32) -> Self {
        Self::new(Outcome::Partial, reason, None, delivered)
    }

    /// Returns the verdict on a duplicate of an earlier request with the same ticket or key. The
    /// duplicate did not run.
    pub const fn duplicate(reason: Reason, prior: PriorOutcome) -> Self {
        match prior {
            PriorOutcome::Unknown => Self::unknown(reason),
            PriorOutcome::Partial { delivered } => Self::partial(reason, delivered),
            PriorOutcome::Complete => Self::new(Outcome::Complete, reason, None, 0),
        }
    }

    /// Returns the verdict with a suggested delay before a retry.
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

    /// Returns the outcome that the caller may rely on.
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the reason.
    pub const fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the suggested delay before a retry, if any.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }

    /// Returns how many tokens were delivered and stay valid.
    pub const fn delivered(&self) -> u32 {
        self.delivered
    }
}
