//! The schedule of a planned stop: what may still begin, and when what has not ended is answered.
//!
//! The platform ends the process when the stop ends, and a caller whose connection ends without a
//! response does not know whether its request ran. So nothing begins that may not end in time, once
//! callers can be served elsewhere, and what has no response shortly before the end gets one. See
//! [the design note](../../../docs/design/planned-stop.md).

use core::time::Duration;
use std::time::Instant;

/// How long before the end of the stop requests without a response are answered, and the listener for
/// callers is closed: time for the responses to reach their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// How long before the end of the stop the last caller connections are ended, so that each can log
/// the request that it leaves without a response.
pub const ABORT_MARGIN: Duration = Duration::from_millis(50);

/// How long before the end of the notice generations are refused. A generation that arrives within
/// the notice may be aborted at the end of the stop, so the last part of the notice is left out.
const GENERATION_CUTOFF: Duration = Duration::from_millis(500);

/// A call that is about to begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallDemand {
    /// Whether the call may run more than once.
    pub is_idempotent: bool,
    /// How long an attempt may take that is retried when it takes longer.
    pub attempt_timeout: Duration,
    /// When the call times out.
    pub deadline: Instant,
}

/// The schedule of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    notice_ends: Instant,
    no_generations_from: Instant,
    answers_at: Instant,
    aborts_at: Instant,
    deadline: Instant,
}

impl StopPlan {
    /// Returns the schedule of a stop that began at `began` and takes at most `grace`. The balancer
    /// may send callers until `notice` has passed.
    pub fn new(began: Instant, notice: Duration, grace: Duration) -> Self {
        let before_end = |margin| began + grace.saturating_sub(margin);
        StopPlan {
            notice_ends: began + notice,
            no_generations_from: began + notice.saturating_sub(GENERATION_CUTOFF),
            answers_at: before_end(ANSWER_MARGIN),
            aborts_at: before_end(ABORT_MARGIN),
            deadline: began + grace,
        }
    }

    /// Returns until when callers are served without regard to the stop.
    pub fn notice_ends(&self) -> Instant {
        self.notice_ends.min(self.answers_at)
    }

    /// Returns when requests without a response are answered.
    pub fn answers_at(&self) -> Instant {
        self.answers_at
    }

    /// Returns when the last connections are ended.
    pub fn aborts_at(&self) -> Instant {
        self.aborts_at
    }

    /// Returns whether a call may be sent to an endpoint.
    ///
    /// Within the notice callers may have no other instance. After it, a call that must not run twice
    /// is sent only if its own timeout ends it in time: one that is given up leaves its caller in
    /// doubt. An idempotent one is sent if an attempt usually ends in time.
    pub fn admits_call(&self, now: Instant, call: &CallDemand) -> bool {
        let ends = match call.is_idempotent {
            true => call.deadline.min(now + call.attempt_timeout),
            false => call.deadline,
        };
        now < self.notice_ends() || (now < self.answers_at && ends <= self.answers_at)
    }

    /// Returns whether a generation that has just arrived may begin.
    ///
    /// A generation that runs longer than expected is aborted when the stop ends. Generations that
    /// arrive before the balancer can have noticed the stop cannot be refused for that; later ones
    /// are.
    pub fn admits_generation(&self, now: Instant, expected: Duration) -> bool {
        now < self.no_generations_from && self.admits_queued_generation(now, expected)
    }

    /// Returns whether a generation that has waited for an engine may begin there.
    pub fn admits_queued_generation(&self, now: Instant, expected: Duration) -> bool {
        now < self.answers_at && now + expected <= self.deadline
    }
}
