//! Decides whether the run of a generation has ended at an engine that the generation leaves.
//!
//! A generation resumes at another engine once its run at the previous one has ended, or while that
//! engine is not reached. A closed connection, silence and a refusal show neither: an engine may go on
//! with a request whose connection closed, preempt it for seconds, or refuse an order because it sheds
//! load. Only the answer to an order to stop the run does. [`StopAnswer::evidence`] is the one place
//! that says what an answer shows.

use displaydoc::Display;

/// How an order to stop a run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopAnswer {
    /// done
    Stopped,
    /// no_room
    StoppedWithoutRoom,
    /// not_running
    NotRunning,
    /// busy
    Busy,
    /// refused
    Refused,
    /// unreadable
    Unreadable,
    /// no_answer
    Unanswered,
    /// unreachable
    Unreached,
}

/// What an answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The run has ended.
    Ended,
    /// The engine is reached, and the run may go on.
    MayRun,
    /// The order was sent. Whether the engine read it is not known.
    Sent,
    /// Nothing was sent, since no connection opened.
    Unreached,
}

impl StopAnswer {
    /// Returns what the answer shows about the run.
    ///
    /// An engine that was ordered to stop a run stops it before it copies it, so that a copy that
    /// found no room shows the end as well, provided that the engine names the KV cache that it keeps.
    /// A refusal without that is one that any request may get.
    pub const fn evidence(self) -> Evidence {
        match self {
            StopAnswer::Stopped | StopAnswer::StoppedWithoutRoom | StopAnswer::NotRunning => {
                Evidence::Ended
            }
            StopAnswer::Busy | StopAnswer::Refused => Evidence::MayRun,
            StopAnswer::Unreadable | StopAnswer::Unanswered => Evidence::Sent,
            StopAnswer::Unreached => Evidence::Unreached,
        }
    }
}
