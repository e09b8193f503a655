//! State of one attempt before and after its request is handed to a connection.

use super::{NotRun, Ran, Refusal};
use crate::reason::Reason;

/// An attempt whose request has not been handed to a connection.
///
/// Only this crate creates one, and it cannot be copied. [`Unsent::mark_sent`] consumes it at the
/// send, so that afterwards it cannot serve as proof that nothing was sent.
#[derive(Debug)]
pub struct Unsent(());

/// An attempt whose request was handed to a connection.
///
/// The attempt may have run, except in the two cases that return a [`NotRun`]. It cannot be copied,
/// so proof is given at most once.
#[derive(Debug)]
pub struct Sent(());

impl Unsent {
    /// Returns the state of an attempt that was not sent yet.
    pub(crate) const fn new() -> Self {
        Unsent(())
    }

    /// Abandons the attempt; it will never be sent.
    pub fn abandon(self) -> NotRun {
        NotRun(())
    }

    /// Records that the request is about to be handed to a connection.
    pub fn mark_sent(self) -> Sent {
        Sent(())
    }
}

impl Sent {
    /// Returns reason and proof if the first response to the send was the endpoint's definite
    /// refusal.
    pub fn refused(self, refusal: &Refusal) -> (Reason, NotRun) {
        (refusal.reason(), NotRun(()))
    }

    /// Returns proof if no byte of the request's body was transmitted, for example because no
    /// connection was made.
    pub fn never_sent(self) -> NotRun {
        NotRun(())
    }

    /// Returns the result in all other cases.
    pub fn unproven(self) -> Ran {
        Ran::Maybe
    }
}
