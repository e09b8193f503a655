//! The decisions that a record is made of.

use crate::cell::GrantRecord;
use crate::ids::{CellKey, EndpointKey, InstanceKey};
use crate::keys::ClaimRefusal;
use crate::reason::{Outcome, Reason};
use crate::value::AttemptMode;
use core::time::Duration;

/// One decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It was judged by a catalogue and accepted.
    Accepted {
        /// The entry's name.
        entry: String,
        /// The revision that it is judged by from here to its end.
        catalogue_revision: u64,
        /// Tokens of its prompt.
        prompt_tokens: u32,
        /// The most tokens to generate.
        max_tokens: u32,
    },
    /// Its ticket or key was granted to it.
    ClaimGranted,
    /// Its ticket or key was not granted to it.
    ClaimRefused(ClaimRefusal),
    /// It holds its place in the limits of its entry and workspace.
    Admitted,
    /// The home of a cell was asked for a grant.
    Asked {
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
        /// How long it would have waited there.
        predicted_wait: Duration,
        /// What was predicted and what was free.
        record: Box<GrantRecord>,
    },
    /// The home of a cell granted an endpoint.
    Granted {
        /// The endpoint.
        endpoint: EndpointKey,
        /// What was predicted, what was free and what lost.
        record: Box<GrantRecord>,
    },
    /// An attempt was ordered.
    Dispatched {
        /// Its number.
        attempt: u32,
        /// Where.
        endpoint: EndpointKey,
        /// Fresh or replay.
        mode: AttemptMode,
    },
    /// The first token arrived.
    FirstToken {
        /// Of which attempt.
        attempt: u32,
    },
    /// An attempt ended without a whole answer.
    AttemptFailed {
        /// Its number.
        attempt: u32,
        /// Why.
        reason: Reason,
        /// Whether there is proof that it did not run.
        proven_not_run: bool,
        /// Tokens that the caller holds.
        delivered: u32,
    },
    /// It is tried again.
    RetryIn {
        /// How long it waits first.
        after: Duration,
        /// Whether the next attempt is compared with what the caller holds.
        replay: bool,
    },
    /// It is over.
    Ended {
        /// What the caller may believe.
        outcome: Outcome,
        /// Why, unless it ended well.
        reason: Option<Reason>,
        /// Tokens that the caller holds.
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
            Step::Asked { .. } => "asked",
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
