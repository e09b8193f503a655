//! What may be said about a request, over all of its attempts.

use super::{NotRun, Ran, Verdict};
use crate::ids::AttemptId;
use crate::reason::{Outcome, Reason};
use crate::value::RequestArrival;
use core::time::Duration;

/// What is known about whether an accepted request ran.
///
/// The node keeps one for each request and asks it for the final answer.
/// Invariant: once an attempt ended without proof,
/// [`RequestOutcome::may_have_run`] holds for good.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcome {
    /// The attempt that was dispatched and has not ended.
    open: Option<AttemptId>,
    /// An attempt ended without proof.
    unproven: bool,
    /// The request carries a ticket or key that was not granted to it (yet).
    claim_pending: bool,
}

impl RequestOutcome {
    /// Returns the state of a request that was accepted and not dispatched.
    pub const fn new() -> Self {
        RequestOutcome {
            open: None,
            unproven: false,
            claim_pending: false,
        }
    }

    /// Returns the state of a request under a ticket or key, before its claim
    /// is granted.
    ///
    /// What goes wrong otherwise: it may be the repeat of a request that ran
    /// while its answer was lost. If the repeat is refused for any other
    /// reason and told "not run", its caller believes that of both.
    pub const fn under_claim() -> Self {
        RequestOutcome {
            open: None,
            unproven: false,
            claim_pending: true,
        }
    }

    /// Returns the state of a request that just arrived.
    pub const fn of_arrival(arrival: &RequestArrival) -> Self {
        match arrival.has_name() {
            true => Self::under_claim(),
            false => Self::new(),
        }
    }

    /// The claim is granted: no earlier request under the name ran.
    pub fn on_claim_granted(&mut self) {
        self.claim_pending = false;
    }

    /// The claim is void: another request under the name may have been granted
    /// it since, and have run.
    pub fn on_claim_voided(&mut self) {
        self.claim_pending = true;
    }

    /// An attempt is handed to the shell. From here on it counts as run until
    /// its own end says otherwise.
    pub fn on_dispatch(&mut self, attempt: AttemptId) {
        debug_assert!(self.open.is_none(), "two attempts of one request");
        self.unproven |= self.open.is_some();
        self.open = Some(attempt);
    }

    /// An attempt ended. A report about any attempt but the open one changes
    /// nothing: proof for an old attempt says nothing about the one that runs.
    pub fn on_ended(&mut self, attempt: AttemptId, ran: Ran) {
        if self.open != Some(attempt) {
            return;
        }
        self.open = None;
        self.unproven |= ran == Ran::Maybe;
    }

    /// Returns whether any attempt, or an earlier request under the same ticket
    /// or key, may have run.
    pub fn may_have_run(&self) -> bool {
        self.unproven || self.claim_pending || self.open.is_some()
    }

    /// Returns proof that the request ran nowhere, if there is any.
    pub fn proof(&self) -> Option<NotRun> {
        (!self.may_have_run()).then_some(NotRun(()))
    }

    /// Returns the final answer: the strongest claim that the attempts bear out.
    pub fn finish(&self, reason: Reason, retry_after: Option<Duration>, delivered: u32) -> Verdict {
        let outcome = match (delivered, self.proof()) {
            (1.., _) => Outcome::Partial,
            (0, Some(_proof)) => Outcome::NotRun,
            (0, None) => Outcome::Unknown,
        };
        Verdict::new(outcome, reason, retry_after, delivered)
    }
}
