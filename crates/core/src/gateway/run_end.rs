//! Decides whether the run of a generation has ended at an engine that the generation leaves.
//!
//! A generation resumes at another engine once its run at the previous one has ended, or while that
//! engine is not reached. A closed connection, silence and a refusal show neither: an engine may go on
//! with a request whose connection closed, preempt it for seconds, or refuse an order because it sheds
//! load. Only the answer to an order to stop the run does. [`StopAnswer::evidence`] is the one place
//! that says what an answer shows, and every way out of an engine goes through [`RunStop`].
//!
//! [`RunStop`] is the state of the orders to stop one run. It receives their answers and returns the
//! next step; the relay in the shell sends the orders. `docs/design/relocation.md` lists the ways out
//! of an engine with their evidence and bounds.

use crate::time::Time;
use core::time::Duration;
use displaydoc::Display;

/// How long a silent engine that is reached may take to stop a run before it goes on with it, and how
/// long the stream of a run that was stopped may stay open. Callers abandon a stream after two seconds
/// without an event at the earliest.
pub const STOP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long an engine may leave all orders unanswered before it counts as not reached, unless it
/// produced events until the generation left it. A silent engine has [`STOP_LEAD`].
pub const UNANSWERED_TIMEOUT: Duration = Duration::from_millis(600);

/// How long one order may stay unanswered before it is repeated. Its answer may be lost, or wait for
/// the copy; the repeated one shows whether the generation still runs.
pub const REPEAT_AFTER: Duration = Duration::from_millis(300);

/// The first and the longest pause before an order that the engine did not carry out is repeated.
/// An engine may refuse orders for seconds, and the generations that it runs repeat them side by side.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(40);
const LAST_RETRY_DELAY: Duration = Duration::from_millis(250);

/// How much longer each further pause is.
const RETRY_DELAY_GROWTH: f64 = 1.5;

/// How much earlier than it is abandoned a silent engine is ordered to stop a run. An engine that
/// cannot be reached shows it within this time, so that its callers wait no longer.
pub const STOP_LEAD: Duration = Duration::from_millis(300);

/// The first and the longest pause between two orders to an engine that was not reached when the
/// generation resumed elsewhere. A machine that is reached again has this long before the run counts
/// as one that works beside another.
const FIRST_FOLLOW_UP: Duration = Duration::from_millis(100);
const LAST_FOLLOW_UP: Duration = Duration::from_secs(1);

/// Why a generation leaves an engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LeaveReason {
    /// engine_leaves
    EngineLeaves,
    /// connection_broken
    ConnectionBroken,
    /// silent
    Silent,
    /// resume_failed
    ResumeFailed,
    /// caller_left
    CallerLeft,
}

/// How an order to stop a run ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopAnswer {
    /// done
    Stopped,
    /// no_room
    StoppedWithoutRoom,
    /// not_running
    NotRunning,
    /// replaced
    Replaced,
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
    /// A refusal without that is one that any request may get. If another process answers at the
    /// address, the one that ran the generation is gone.
    pub const fn evidence(self) -> Evidence {
        match self {
            StopAnswer::Stopped
            | StopAnswer::StoppedWithoutRoom
            | StopAnswer::NotRunning
            | StopAnswer::Replaced => Evidence::Ended,
            StopAnswer::Busy | StopAnswer::Refused | StopAnswer::Unreadable => Evidence::MayRun,
            StopAnswer::Unanswered => Evidence::Sent,
            StopAnswer::Unreached => Evidence::Unreached,
        }
    }
}

/// The next step while a run is being stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopStep {
    /// Order the engine to stop the run.
    Order,
    /// Do nothing until this time.
    Wait(Time),
    /// The run has ended: the generation may resume.
    Resume,
    /// The engine is not reached: the generation may resume, and the order is repeated until the engine
    /// shows that the run has ended.
    ResumeAndFollowUp,
    /// The engine is reached, and the run may go on: the generation must not resume.
    GiveUp,
}

/// The orders to stop one run.
#[derive(Clone, Debug)]
pub struct RunStop {
    reason: LeaveReason,
    began: Time,
    /// The deadline of the request.
    deadline: Time,
    ordered: Time,
    last: Option<(Time, StopAnswer)>,
    /// Whether any answer showed that the engine is reached.
    is_reached: bool,
    /// Whether the engine left an order on the open stream unanswered while it counted as alive.
    works_without_answers: bool,
    orders: u32,
    is_outstanding: bool,
    retry_delay: Duration,
}

impl RunStop {
    /// Returns the state before the first order for a request with this deadline.
    pub const fn new(now: Time, reason: LeaveReason, deadline: Time) -> Self {
        RunStop {
            reason,
            began: now,
            deadline,
            ordered: now,
            last: None,
            is_reached: matches!(reason, LeaveReason::EngineLeaves),
            works_without_answers: false,
            orders: 0,
            is_outstanding: false,
            retry_delay: FIRST_RETRY_DELAY,
        }
    }

    /// Returns why the generation leaves.
    pub const fn reason(&self) -> LeaveReason {
        self.reason
    }

    /// Returns the state of orders that were given on the open stream for another reason, once the
    /// generation leaves for `reason`. Answers from before show nothing of an engine whose connection has
    /// broken or that has fallen silent since, except the end of the run. An engine that
    /// leaves and left an order unanswered may work on without answering the next ones.
    #[must_use]
    pub fn continued(self, now: Time, reason: LeaveReason, deadline: Time) -> Self {
        if self.reason == reason {
            return self;
        }
        RunStop {
            last: self.last.filter(|_| self.has_ended()),
            ordered: self.ordered,
            orders: self.orders,
            works_without_answers: self.works_without_answers,
            is_reached: self.works_without_answers || matches!(reason, LeaveReason::EngineLeaves),
            ..RunStop::new(now, reason, deadline)
        }
    }

    /// Records that an order is sent.
    pub fn on_order(&mut self, now: Time) {
        self.ordered = now;
        self.is_outstanding = true;
    }

    /// Returns when an order that was given on the open stream of an engine which leaves counts as not
    /// answered; `None` if none is outstanding.
    pub fn unanswered_at(&self) -> Option<Time> {
        let is_awaited = self.is_outstanding && matches!(self.reason, LeaveReason::EngineLeaves);
        is_awaited.then(|| self.ordered + REPEAT_AFTER)
    }

    /// Records the end of an order.
    pub fn on_answer(&mut self, now: Time, answer: StopAnswer) {
        if self.orders > 0 {
            let longer = self.retry_delay.mul_f64(RETRY_DELAY_GROWTH);
            self.retry_delay = longer.min(LAST_RETRY_DELAY);
        }
        self.orders += 1;
        self.is_outstanding = false;
        self.is_reached |= matches!(answer.evidence(), Evidence::MayRun);
        self.works_without_answers |= matches!(self.reason, LeaveReason::EngineLeaves)
            && matches!(answer.evidence(), Evidence::Sent);
        // A later order says nothing against the end that an earlier one showed.
        if !self.has_ended() {
            self.last = Some((now, answer));
        }
    }

    /// Returns the last answer.
    pub fn last_answer(&self) -> Option<StopAnswer> {
        self.last.map(|(_, answer)| answer)
    }

    /// Returns whether the run has ended.
    pub fn has_ended(&self) -> bool {
        self.last_answer().map(StopAnswer::evidence) == Some(Evidence::Ended)
    }

    /// Returns when the attempts to stop the run end, whatever they show.
    ///
    /// Once the connection is closed they last as long as the caller waits: the generation has nowhere
    /// else to go on. A silent engine whose stream is open goes on with it.
    pub fn ends(&self) -> Time {
        match self.reason {
            LeaveReason::Silent => self.began + STOP_TIMEOUT,
            _ => self.deadline,
        }
    }

    /// Returns by when an engine that carried out the last order closes the stream.
    pub fn closes_by(&self) -> Time {
        self.ordered + STOP_TIMEOUT
    }

    /// Returns when the order may be repeated on a stream that stays open until it is carried out.
    pub fn repeat_at(&self) -> Time {
        self.last
            .map_or(self.began, |(at, _)| at + self.retry_delay)
    }

    /// Returns the next step.
    pub fn next(&self, now: Time) -> StopStep {
        let Some((at, answer)) = self.last else {
            return StopStep::Order;
        };
        match answer.evidence() {
            Evidence::Ended => return StopStep::Resume,
            Evidence::Unreached => return StopStep::ResumeAndFollowUp,
            Evidence::MayRun | Evidence::Sent => {}
        }
        let (ends, step) = match self.is_reached {
            false => (
                self.began + self.unanswered_timeout(),
                StopStep::ResumeAndFollowUp,
            ),
            true => (self.ends(), StopStep::GiveUp),
        };
        if now >= ends {
            return step;
        }
        let repeat = (at + self.retry_delay).min(ends);
        match repeat <= now {
            true => StopStep::Order,
            false => StopStep::Wait(repeat),
        }
    }

    const fn unanswered_timeout(&self) -> Duration {
        match self.reason {
            LeaveReason::Silent => STOP_LEAD,
            _ => UNANSWERED_TIMEOUT,
        }
    }

    /// Returns when the order is repeated after the generation has resumed elsewhere; `None` once
    /// the run has ended or `deadline` has passed, after which no engine works on the request.
    pub fn follow_up_at(&self, deadline: Time) -> Option<Time> {
        if self.has_ended() {
            return None;
        }
        let (at, _) = self.last.unwrap_or((self.began, StopAnswer::Unreached));
        let doublings = self.orders.saturating_sub(1).min(8);
        let pause = FIRST_FOLLOW_UP.saturating_mul(1 << doublings);
        let next = at + pause.min(LAST_FOLLOW_UP);
        (next < deadline).then_some(next)
    }
}
