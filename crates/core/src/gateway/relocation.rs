//! When a generation leaves its engine, and which of its events its caller gets.
//!
//! [`Relocation`] is the state of one generation across engines. It is told what
//! happens and asked what to do; the relay of the shell moves bytes and makes calls.
//! `docs/design/relocation.md` weighs the ways.
//!
//! Invariants, which `crates/core/tests/gateway_relocation.rs` holds under random
//! histories:
//!
//! - [`Step::Relocate`] is returned only while a copy ahead is complete and not being
//!   brought up to date, [`Step::FailOver`] only while a copy to go on from is there or believed to be,
//!   [`Step::Recompute`] only where the generation needs no copy;
//! - events are passed on with numbers that follow each other, each once;
//! - a generation is carried through at most [`MAX_RELOCATIONS`] further engines.

use crate::time::Time;
use core::time::Duration;

/// How long after the notice a generation leaves its engine. Many end by then, and
/// those that began shortly before it have a copy by then; an engine goes 1.5 s
/// after its notice at the soonest.
pub const RELOCATE_AFTER: Duration = Duration::from_millis(1_100);

/// How much sooner a generation may leave, if no prompt waits where it goes on: one
/// that is read there at the same time delays it by its whole length.
pub const EARLY_RELOCATION: Duration = Duration::from_millis(400);

/// How often a generation that may leave looks whether its target is quiet.
const QUIET_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// An engine that is known to leave, or whose entry vanished, and is silent for this
/// long is given up, if there is a copy to go on from.
pub const LEAVING_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The shortest gap after which callers leave a stream.
const MIN_TOLERATED_GAP: Duration = Duration::from_secs(2);

/// Times the target, and times the wanted pause, after which callers leave a stream.
const TOLERATED_TARGETS: u32 = 4;
const TOLERATED_GAP_TARGETS: u32 = 8;

/// The share of the callers' patience after which a silent engine is given up.
const TOLERATED_GAP_SHARE: f64 = 0.6;

/// Returns how long an engine that stays may be silent before its generation goes on
/// from a standing copy. Whether that copy is there is not known before it is asked,
/// and then the engine's stream is closed; an engine that preempted a generation is
/// silent, too, and at work. So the silence must be one that callers hardly bear.
pub fn silence_timeout(target: Duration, gap_target: Duration) -> Duration {
    let tolerated_gap = MIN_TOLERATED_GAP
        .max(target * TOLERATED_TARGETS)
        .max(gap_target * TOLERATED_GAP_TARGETS);
    tolerated_gap.mul_f64(TOLERATED_GAP_SHARE)
}

/// How long after an engine's first event a standing copy is believed to be there: the
/// memory of the prompt takes some 0.4 s on the link, behind that of others.
pub const STANDBY_READY_AFTER: Duration = Duration::from_millis(1_300);

/// How soon after an engine's first event a standing copy can be there at all: the memory
/// of a prompt of 3,000 tokens takes some 170 ms on the link, and is sent some times a second.
const STANDBY_EARLIEST: Duration = Duration::from_millis(300);

/// How old a copy ahead may be before it is brought up to date. What it lacks is
/// read anew where the generation goes on: some 40 tokens, or 3 ms, for this time.
pub const REFRESH_AFTER: Duration = Duration::from_millis(300);

/// How long after the notice a copy ahead is brought up to date for the last time, so
/// that it is whole when the generation leaves for it.
const LAST_REFRESH: Duration = Duration::from_millis(450);

/// How long after the notice a generation is copied ahead that has a standing copy.
/// Nobody says whether that is there, and without room for it there is none; those
/// that have no other go first, as copies queue on the link of the engine.
const PRE_COPY_DELAY: Duration = Duration::from_millis(300);

/// The pause before a copy ahead is tried again, for example because the
/// generation had not begun.
const PRE_COPY_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Copies ahead that are tried one soon after the other. A notice of 1.5 s allows no more.
const QUICK_PRE_COPIES: u32 = 8;

/// The pause before each further try. An engine that leaves in a planned way stays for
/// seconds; where nobody had room at first, somebody has it then.
const LATER_PRE_COPY_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Copies ahead that one generation tries at one engine: with the pauses between them they
/// last for some 13 s.
const MAX_PRE_COPIES: u32 = 40;

/// How many further engines one generation may go through.
pub const MAX_RELOCATIONS: u32 = 8;

/// Generations expected to be shorter than this have no standing copy: they end
/// within the notice of an engine that leaves.
pub const STANDBY_MIN_TOKENS: u32 = 64;

/// Tokens that an engine puts into one event.
const TOKENS_PER_EVENT: u32 = 4;

/// An engine that is silent for this long is given up by a generation that any engine may
/// go on with. Its prompt is read again there in some 0.3 s; a generation that an engine
/// preempted is silent for about as long.
pub const RESUMABLE_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How many times its target a generation waits inside an engine before it is taken back,
/// if it may run again and another engine has room. One that is taken back sooner loses
/// its place and waits anew.
const REASSIGN_TARGETS: f64 = 1.5;

/// Returns how long a generation with such a target waits inside an engine before it is
/// taken back. A queue inside an engine is one that nobody can leave.
pub fn reassign_after(target: Duration) -> Duration {
    target.mul_f64(REASSIGN_TARGETS)
}

/// The pause before an engine is looked for again that could read a generation anew.
const RECOMPUTE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What is to become of one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventDelivery {
    /// The caller gets it.
    Forward,
    /// The caller holds it already.
    Duplicate,
    /// One before it is missing, so that the stream must end.
    Gap,
}

/// Which copy a generation would go on from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeFrom {
    /// The copy that was made since the notice.
    PreCopy,
    /// The copy that its engine kept up to date.
    Standby,
}

/// What is known of the engines at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineView {
    /// For how long the present engine is known to leave.
    pub leaving_for: Option<Duration>,
    /// Whether the engine of the standing copy is there and takes work.
    pub standby_is_usable: bool,
    /// Whether no prompt waits where the generation would go on.
    pub target_is_quiet: bool,
    /// Whether any engine may go on with it without a copy, and attempts are left.
    pub may_recompute: bool,
    /// Whether the fleet's budget of repeats has none left for it.
    pub is_budget_spent: bool,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Begin a copy ahead, or bring it up to date.
    PreCopy,
    /// Close the connection and go on from the copy.
    Relocate,
    /// The engine has fallen silent: go on from the copy.
    FailOver,
    /// The engine has fallen silent and there is no copy: go on at another engine that
    /// reads prompt and events anew.
    Recompute,
    /// Nothing until this time, unless something happens before.
    Wait(Time),
}

/// A copy that is made while the engine leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PreCopyState {
    in_progress: bool,
    complete_since: Option<Time>,
}

/// One generation across engines.
#[derive(Clone, Debug, Default)]
pub struct Relocation {
    last_event: Option<u64>,
    events: u64,
    /// When the first event of the present engine came. Its standing copy began then,
    /// also where the generation went on from another engine.
    first_event_here: Option<Time>,
    last_bytes_at: Time,
    /// How long an engine that stays may be silent.
    silence_timeout: Duration,
    /// Not before this time is another engine looked for that could read it anew.
    recompute_not_before: Time,
    has_standby: bool,
    pre_copy: PreCopyState,
    pre_copy_tries: u32,
    pre_copy_not_before: Time,
    relocations: u32,
}

impl Relocation {
    /// Returns a generation that has not begun, of which an engine that stays may be
    /// silent for so long ([`silence_timeout`]).
    pub fn new(silence_timeout: Duration) -> Self {
        Relocation {
            silence_timeout,
            ..Relocation::default()
        }
    }

    /// Begins after the event that the caller holds, if it has come back with one.
    #[must_use]
    pub fn after(mut self, held: Option<u64>) -> Self {
        self.last_event = held;
        self
    }

    /// Returns the number of the last event that the caller holds.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns how many events were passed on to the caller.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether an event of the present engine was passed on.
    pub fn has_event_here(&self) -> bool {
        self.first_event_here.is_some()
    }

    /// Returns how often the generation went on at another engine.
    pub fn relocations(&self) -> u32 {
        self.relocations
    }

    /// Returns about how many tokens were made. Only the number of events is seen
    /// here; the scale is the same for all generations.
    pub fn tokens(&self) -> u32 {
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        events.saturating_mul(TOKENS_PER_EVENT)
    }

    /// Takes in that bytes came from the engine.
    pub fn on_bytes(&mut self, now: Time) {
        self.last_bytes_at = now;
    }

    /// Takes in one whole event, and says what is to become of it.
    pub fn on_event(&mut self, now: Time, number: Option<u64>) -> EventDelivery {
        if let (Some(number), Some(last)) = (number, self.last_event) {
            if number <= last {
                return EventDelivery::Duplicate;
            }
            if number > last + 1 {
                return EventDelivery::Gap;
            }
        }
        self.first_event_here.get_or_insert(now);
        self.events += 1;
        self.last_event = number.or(self.last_event);
        EventDelivery::Forward
    }

    /// Notes whether the present engine keeps a standing copy elsewhere.
    pub fn set_standby(&mut self, has_standby: bool) {
        self.has_standby = has_standby;
    }

    /// Notes that a copy ahead was begun.
    pub fn pre_copy_started(&mut self, now: Time) {
        debug_assert!(!self.pre_copy.in_progress, "two copies pre_copy at once");
        self.pre_copy.in_progress = true;
        self.pre_copy_tries += 1;
        let pause = match self.pre_copy_tries {
            0..=QUICK_PRE_COPIES => PRE_COPY_RETRY_DELAY,
            _ => LATER_PRE_COPY_RETRY_DELAY,
        };
        self.pre_copy_not_before = now + pause;
    }

    /// Notes that the copy ahead cannot be used, because its engine was withdrawn.
    pub fn pre_copy_lost(&mut self) {
        self.pre_copy = PreCopyState::default();
        self.pre_copy_not_before = Time::ZERO;
    }

    /// Notes that no engine has room for a copy ahead.
    pub fn pre_copy_refused(&mut self, now: Time) {
        self.pre_copy_not_before = now + PRE_COPY_RETRY_DELAY;
    }

    /// Notes that no engine has room to read the generation anew.
    pub fn recompute_refused(&mut self, now: Time) {
        self.recompute_not_before = now + RECOMPUTE_RETRY_DELAY;
    }

    /// Notes how a copy ahead ended; returns whether one is there. One that was
    /// complete stays usable when it could not be brought up to date.
    pub fn pre_copy_ended(&mut self, now: Time, complete: bool) -> bool {
        self.pre_copy.in_progress = false;
        if complete || self.pre_copy.complete_since.is_some() {
            self.pre_copy.complete_since = Some(now);
        }
        self.pre_copy.complete_since.is_some()
    }

    /// Notes that the generation is asked for at another engine.
    pub fn on_relocated(&mut self, now: Time) {
        self.relocations += 1;
        self.first_event_here = None;
        self.has_standby = false;
        self.pre_copy = PreCopyState::default();
        self.pre_copy_tries = 0;
        self.last_bytes_at = now;
    }

    /// Returns whether a standing copy can be there, though it may not be believed yet.
    ///
    /// What goes wrong otherwise: an engine is asked for a copy of which nothing can have
    /// arrived, fails by itself, and counts as having run the generation a second time.
    pub fn standby_may_exist(&self, now: Time) -> bool {
        let first = self.first_event_here;
        self.has_standby && first.is_some_and(|first| now.since(first) >= STANDBY_EARLIEST)
    }

    /// Returns what the generation would go on from if it left now.
    pub fn resume_from(&self, now: Time, standing_takes_work: bool) -> Option<ResumeFrom> {
        if self.pre_copy.complete_since.is_some() {
            return Some(ResumeFrom::PreCopy);
        }
        let first = self.first_event_here?;
        let settled = now.since(first) >= STANDBY_READY_AFTER;
        (self.has_standby && settled && standing_takes_work).then_some(ResumeFrom::Standby)
    }

    /// Returns what to do now.
    pub fn next(&self, now: Time, view: &EngineView) -> Step {
        if self.events == 0 {
            return Step::Wait(Time::NEVER);
        }
        let from = self.resume_from(now, view.standby_is_usable);
        let mut wait = self.fail_over_at(from, view.leaving_for.is_some());
        if wait <= now {
            match from {
                Some(_) => return Step::FailOver,
                None => wait = Time::NEVER,
            }
        }
        if let Some(anew) = self.recompute_at(from, view) {
            if anew <= now {
                return Step::Recompute;
            }
            wait = wait.min(anew);
        }
        let leaves_for = view
            .leaving_for
            .filter(|_| self.relocations < MAX_RELOCATIONS);
        let Some(leaves_for) = leaves_for else {
            return Step::Wait(wait);
        };
        // A copy that is being brought up to date is refused by the engine that keeps it.
        if from == Some(ResumeFrom::PreCopy) && !self.pre_copy.in_progress {
            let leave = relocate_at(now, leaves_for, view.target_is_quiet);
            match (leave <= now, view.is_budget_spent) {
                (true, false) => return Step::Relocate,
                // Its engine is there for some time yet.
                (true, true) => wait = wait.min(now + QUIET_CHECK_INTERVAL),
                (false, _) => wait = wait.min(leave),
            }
        }
        if let Some(copy) = self.pre_copy_at(now, leaves_for, from) {
            if copy <= now {
                return Step::PreCopy;
            }
            wait = wait.min(copy);
        }
        Step::Wait(wait)
    }

    /// Returns when the engine is given up; never while there is nothing to go on from.
    /// A standing copy that settles later is looked at then.
    fn fail_over_at(&self, from: Option<ResumeFrom>, is_leaving: bool) -> Time {
        let silence_timeout = if is_leaving {
            LEAVING_SILENCE_TIMEOUT.min(self.silence_timeout)
        } else {
            self.silence_timeout
        };
        let silent = self.last_bytes_at + silence_timeout;
        match (from, self.first_event_here) {
            (Some(_), _) => silent,
            (None, Some(first)) if self.has_standby => silent.max(first + STANDBY_READY_AFTER),
            (None, _) => Time::NEVER,
        }
    }

    /// Returns when a silent engine is left for one that reads the generation anew.
    fn recompute_at(&self, from: Option<ResumeFrom>, view: &EngineView) -> Option<Time> {
        let silent = self.last_bytes_at + RESUMABLE_SILENCE_TIMEOUT.min(self.silence_timeout);
        let needs_it = view.may_recompute && from.is_none();
        needs_it.then_some(silent.max(self.recompute_not_before))
    }

    fn pre_copy_at(
        &self,
        now: Time,
        leaves_for: Duration,
        from: Option<ResumeFrom>,
    ) -> Option<Time> {
        if self.pre_copy.in_progress || self.pre_copy_tries >= MAX_PRE_COPIES {
            return None;
        }
        match (self.pre_copy.complete_since, from) {
            (Some(_), _) if leaves_for > LAST_REFRESH => None,
            (Some(since), _) => Some((since + REFRESH_AFTER).max(self.pre_copy_not_before)),
            (None, Some(ResumeFrom::Standby)) => {
                let wait = PRE_COPY_DELAY.saturating_sub(leaves_for);
                Some((now + wait).max(self.pre_copy_not_before))
            }
            (None, _) => Some(self.pre_copy_not_before),
        }
    }
}

fn relocate_at(now: Time, leaves_for: Duration, target_is_quiet: bool) -> Time {
    let early = RELOCATE_AFTER - EARLY_RELOCATION;
    if leaves_for < early {
        return now + (early - leaves_for);
    }
    if target_is_quiet || leaves_for >= RELOCATE_AFTER {
        return now;
    }
    now + QUIET_CHECK_INTERVAL.min(RELOCATE_AFTER - leaves_for)
}
