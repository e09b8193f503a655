//! Outcome of a request over all of its attempts.

use super::{NotRun, Ran, Verdict};
use crate::ids::AttemptId;
use crate::reason::{Outcome, Reason};
use crate::value::RequestArrival;
use core::time::Duration;

/// Tracks whether an accepted request may have run.
///
/// The node keeps one for each request and derives the final response from it.
///
/// Invariant: once an attempt has ended without proof, [`RequestOutcome::may_have_run`] stays true.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestOutcome {
    /// The attempt that was dispatched and has not ended, if any.
    open: Option<AttemptId>,
    /// Whether an attempt ended without proof.
    unproven: bool,
    /// Whether the request carries a ticket or key whose claim is not granted.
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

    /// Returns the state of a request with a ticket or key whose claim is not granted yet.
    ///
    /// It may be a duplicate of a request that ran and whose response was lost. If the duplicate
    /// were refused as "not run" for an unrelated reason, the caller would believe that of both
    /// requests.
    pub const fn under_claim() -> Self {
        RequestOutcome {
            open: None,
            unproven: false,
            claim_pending: true,
        }
    }

    /// Returns the state of a request that has just arrived.
    pub const fn of_arrival(arrival: &RequestArrival) -> Self {
        match arrival.has_name() {
            true => Self::under_claim(),
            false => Self::new(),
        }
    }

    /// Records that the claim was granted: no earlier request under the name ran.
    pub fn on_claim_granted(&mut self) {
        self.claim_pending = false;
    }

    /// Records that the claim has lapsed: another request under the name may have been granted it
    /// since then, and may have run.
    pub fn on_claim_voided(&mut self) {
        self.claim_pending = true;
    }

    /// Records that an attempt is handed to the shell. From then on it may have run, until its own
    /// end proves otherwise.
    pub fn on_dispatch(&mut self, attempt: AttemptId) {
        debug_assert!(self.open.is_none(), "an attempt is still open");
        self.unproven |= self.open.is_some();
        self.open = Some(attempt);
    }

    /// Records the end of an attempt. A report about any attempt but the open one is ignored: proof
    /// for an old attempt says nothing about the running one.
    pub fn on_ended(&mut self, attempt: AttemptId, ran: Ran) {
        if self.open != Some(attempt) {
            return;
        }
        self.open = None;
        self.unproven |= ran == Ran::Maybe;
    }

    /// Returns whether any attempt, or an earlier request under the same ticket or key, may have
    /// run.
    pub fn may_have_run(&self) -> bool {
        self.unproven || self.claim_pending || self.open.is_some()
    }

    /// Returns proof that the request did not run, if there is any.
    pub fn proof(&self) -> Option<NotRun> {
        (!self.may_have_run()).then_some(NotRun(()))
    }

    /// Returns the final response with the strongest outcome that the attempts prove.
    pub fn finish(&self, reason: Reason, retry_after: Option<Duration>, delivered: u32) -> Verdict {
        let outcome = match (delivered, self.proof()) {
            (1.., _) => Outcome::Partial,
            (0, Some(_proof)) => Outcome::NotRun,
            (0, None) => Outcome::Unknown,
        };
        Verdict::new(outcome, reason, retry_after, delivered)
    }
}
