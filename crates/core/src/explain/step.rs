//! The steps of a decision record.

use crate::cell::GrantRecord;
use crate::ids::{CellKey, EndpointKey, InstanceKey};
use crate::keys::ClaimRefusal;
use crate::reason::{Outcome, Reason};
use crate::value::AttemptMode;
use core::time::Duration;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It was validated against the catalogue and accepted.
    Accepted {
        /// The entry's name.
        entry: String,
        /// The catalogue revision that applies to it from now to its end.
        catalogue_revision: u64,
        /// Tokens of its prompt.
        prompt_tokens: u32,
        /// Maximum number of tokens to generate.
        max_tokens: u32,
    },
    /// The claim of its ticket or key was granted.
    ClaimGranted,
    /// The claim of its ticket or key was refused.
    ClaimRefused(ClaimRefusal),
    /// It was admitted within the limits of its entry and workspace.
    Admitted,
    /// A grant was requested from the home of a cell.
    GrantRequested {
        /// The cell.
        cell: CellKey,
        /// Its home.
        home: InstanceKey,
    },
    /// The home of a cell refused.
    CellRefused {
        /// The cell.
        cell: CellKey,
        /// Why.
        reason: Reason,
        /// Predicted wait at that cell.
        predicted_wait: Duration,
        /// The figures behind the refusal.
        record: Box<GrantRecord>,
    },
    /// The home of a cell granted an endpoint.
    Granted {
        /// The endpoint.
        endpoint: EndpointKey,
        /// The figures behind the choice, and the endpoints that were not chosen.
        record: Box<GrantRecord>,
    },
    /// An attempt was dispatched.
    Dispatched {
        /// Its number.
        attempt: u32,
        /// Which endpoint.
        endpoint: EndpointKey,
        /// Whether this is a fresh run or a replay.
        mode: AttemptMode,
    },
    /// The first token was received.
    FirstToken {
        /// Of which attempt.
        attempt: u32,
    },
    /// An attempt ended without a complete response.
    AttemptFailed {
        /// Its number.
        attempt: u32,
        /// Why.
        reason: Reason,
        /// Whether there is proof that it did not run.
        proven_not_run: bool,
        /// Tokens delivered to the caller.
        delivered: u32,
    },
    /// It will be retried.
    RetryIn {
        /// Delay before the retry.
        after: Duration,
        /// Whether the output of the next attempt is compared with the tokens that the caller
        /// already holds.
        replay: bool,
    },
    /// It has ended.
    Ended {
        /// The outcome reported to the caller.
        outcome: Outcome,
        /// Why, unless it completed.
        reason: Option<Reason>,
        /// Tokens delivered to the caller.
        delivered: u32,
    },
}

impl Step {
    /// Returns the step's stable name.
    pub const fn name(&self) -> &'static str {
        match self {
            Step::Accepted { .. } => "accepted",
            Step::ClaimGranted => "claim_granted",
            Step::ClaimRefused(_) => "claim_refused",
            Step::Admitted => "admitted",
            Step::GrantRequested { .. } => "asked",
            Step::CellRefused { .. } => "cell_refused",
            Step::Granted { .. } => "granted",
            Step::Dispatched { .. } => "dispatched",
            Step::FirstToken { .. } => "first_token",
            Step::AttemptFailed { .. } => "attempt_failed",
            Step::RetryIn { .. } => "retry",
            Step::Ended { .. } => "ended",
        }
    }
}
