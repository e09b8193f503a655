//! One attempt, before and after its request is handed to a connection.

use super::{NotRun, Ran, Refusal};
use crate::reason::Reason;

/// An attempt whose request was not handed to a connection.
///
/// Only the core makes one, and it cannot be copied: [`Unsent::mark_sent`]
/// takes it away at the send, and with it the right to say that nothing was sent.
#[derive(Debug)]
pub struct Unsent(());

/// An attempt whose request was handed to a connection.
///
/// It may have run, whatever happens next, but for the two cases below. It
/// cannot be copied, so that proof is given at most once.
#[derive(Debug)]
pub struct Sent(());

impl Unsent {
    /// Returns the state of an attempt at its very start.
    pub(crate) const fn new() -> Self {
        Unsent(())
    }

    /// Gives the attempt up; it will never be sent.
    pub fn abandon(self) -> NotRun {
        NotRun(())
    }

    /// The request is about to be handed to a connection.
    pub fn mark_sent(self) -> Sent {
        Sent(())
    }
}

impl Sent {
    /// The first answer to the send was the endpoint's definite refusal.
    pub fn refused(self, refusal: &Refusal) -> (Reason, NotRun) {
        (refusal.reason(), NotRun(()))
    }

    /// The connection was never made, so that no byte of the request left.
    pub fn never_sent(self) -> NotRun {
        NotRun(())
    }

    /// Anything else.
    pub fn unproven(self) -> Ran {
        Ran::Maybe
    }
}
