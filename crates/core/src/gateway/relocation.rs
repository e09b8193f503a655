//! Decides when a generation leaves its engine, and which of its events are forwarded to its
//! caller.
//!
//! [`Relocation`] is the state of one generation across engines. It receives what happens and
//! returns the next step; the relay in the shell transfers bytes and makes calls. See
//! `docs/design/relocation.md` for the alternatives.
//!
//! Invariants, which `crates/core/tests/gateway_relocation.rs` checks under random histories:
//!
//! - [`Step::Relocate`] is returned only while a pre-copy is complete and not being refreshed,
//!   [`Step::FailOver`] only while there is a copy to resume from, or one is assumed to exist, and
//!   [`Step::Recompute`] only if the generation needs no copy.
//! - Events are forwarded with consecutive numbers, each one once.
//! - A generation is relocated at most [`MAX_RELOCATIONS`] times.

use crate::gateway::run_end::STOP_LEAD;
use crate::time::Time;
use core::time::Duration;

/// How long after the notice a generation leaves its engine. Many generations end by then, and
/// those that started shortly before the notice have a copy by then; an engine stops 1.5 s after
/// its notice at the earliest.
pub const RELOCATE_AFTER: Duration = Duration::from_millis(1_100);

/// How much earlier a generation may leave if no prefill is pending at its target. A prefill that
/// runs there at the same time would delay the generation by its whole duration.
pub const EARLY_RELOCATION: Duration = Duration::from_millis(400);

/// How often a generation that may leave checks whether a prefill is pending at its target.
const QUIET_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long an engine that is leaving, or whose record disappeared, may be silent before its
/// generation resumes elsewhere, if there is a copy to resume from.
pub const LEAVING_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Lower bound of the gap after which callers abandon a stream.
const MIN_TOLERATED_GAP: Duration = Duration::from_secs(2);

/// Multiples of the latency target and of the gap target after which callers abandon a stream.
const TOLERATED_TARGETS: u32 = 4;
const TOLERATED_GAP_TARGETS: u32 = 8;

/// Share of that gap after which a silent engine is abandoned.
const TOLERATED_GAP_SHARE: f64 = 0.6;

/// Returns how long an engine that is not leaving may be silent before its generation resumes from
/// a standby copy. Only a request to resume shows whether that copy exists, and it closes the
/// stream of the first engine; yet an engine that preempted a generation is silent as well although
/// it still works on it. The silence must therefore be one that callers would hardly tolerate.
pub fn silence_timeout(target: Duration, gap_target: Duration) -> Duration {
    tolerated_gap(target, gap_target).mul_f64(TOLERATED_GAP_SHARE)
}

/// Returns the gap after which callers abandon a stream.
pub fn tolerated_gap(target: Duration, gap_target: Duration) -> Duration {
    MIN_TOLERATED_GAP
        .max(target * TOLERATED_TARGETS)
        .max(gap_target * TOLERATED_GAP_TARGETS)
}

/// The first pause before an engine that did not resume a generation from its copy is asked again.
const FIRST_RESUME_PAUSE: Duration = Duration::from_millis(40);

/// How much longer each further pause is.
const RESUME_PAUSE_GROWTH: f64 = 1.5;

/// Share of the gap that callers tolerate which the longest pause takes.
const LONGEST_RESUME_PAUSE_SHARE: f64 = 0.1;

/// The pauses before the engines that hold copies of a generation are asked again to resume it.
///
/// A request that did not run has not used up the copy, so that the generation is lost only once its
/// caller has left. Each request spends a retry of the fleet's budget, which is why the pauses grow.
#[derive(Clone, Copy, Debug)]
pub struct ResumePauses {
    next: Duration,
    longest: Duration,
}

impl ResumePauses {
    /// Returns the pauses of a generation whose caller tolerates this gap.
    pub fn new(tolerated_gap: Duration) -> Self {
        let longest = tolerated_gap.mul_f64(LONGEST_RESUME_PAUSE_SHARE);
        ResumePauses {
            next: FIRST_RESUME_PAUSE,
            longest: longest.max(FIRST_RESUME_PAUSE),
        }
    }

    /// Returns the next pause.
    pub fn advance(&mut self) -> Duration {
        let pause = self.next;
        self.next = pause.mul_f64(RESUME_PAUSE_GROWTH).min(self.longest);
        pause
    }
}

/// How long after the first event of an engine a standby copy is assumed to exist: the KV cache of
/// the prompt takes about 0.4 s on the link, behind those of other generations.
pub const STANDBY_READY_AFTER: Duration = Duration::from_millis(1_300);

/// How long after the first event of an engine a standby copy can exist at the earliest: the KV
/// cache of a prompt of 3,000 tokens takes about 170 ms on the link, and is sent a few times per
/// second.
const STANDBY_EARLIEST: Duration = Duration::from_millis(300);

/// Age at which a pre-copy is refreshed. What it lacks is recomputed at the target: for this age
/// about 40 tokens, or 3 ms.
pub const REFRESH_AFTER: Duration = Duration::from_millis(300);

/// How long after the notice a pre-copy is refreshed for the last time, so that it is complete when
/// the generation leaves for it.
const LAST_REFRESH: Duration = Duration::from_millis(450);

/// How long after the notice a generation with a standby copy is pre-copied. Nothing confirms that
/// the standby copy exists, and if there was no room for it, it does not. Generations without one
/// go first, since copies share the link of the engine.
const PRE_COPY_DELAY: Duration = Duration::from_millis(300);

/// How long after the notice a pre-copy waits for room. An engine stops 1.5 s after its notice at
/// the earliest, and copying 3,000 tokens takes about 170 ms on a link that other copies share.
pub const PRE_COPY_DEADLINE: Duration = Duration::from_millis(1_200);

/// Delay before a failed pre-copy is tried again. It fails, for example, if the generation has not
/// started yet.
const PRE_COPY_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Pre-copies that are tried with the short delay. A notice of 1.5 s allows no more.
const QUICK_PRE_COPIES: u32 = 8;

/// Delay before each further try. An engine that leaves as planned stays for seconds, and room that
/// was missing at first may be free then.
const LATER_PRE_COPY_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Upper bound of pre-copies that one generation tries at one engine: with the delays they last for
/// about 13 s.
const MAX_PRE_COPIES: u32 = 40;

/// How often one generation may be relocated.
pub const MAX_RELOCATIONS: u32 = 8;

/// Generations that are expected to be shorter than this get no standby copy: they end within the
/// notice period of a leaving engine.
pub const STANDBY_MIN_TOKENS: u32 = 64;

/// Output tokens per event of an engine.
const TOKENS_PER_EVENT: u32 = 4;

/// How long an engine may be silent before a generation that any engine can resume is recomputed
/// elsewhere. Prefilling its prompt again takes about 0.3 s there; a generation that was preempted
/// is silent for about as long.
pub const RESUMABLE_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Multiple of its latency target that a generation waits in the queue of an engine before it is
/// reassigned, if it may run again and another engine has room. If it is reassigned earlier, it
/// loses its position and queues again.
const REASSIGN_TARGETS: f64 = 1.5;

/// Returns how long a generation with this latency target waits in the queue of an engine before it
/// is reassigned. A request cannot move to another engine by itself once it is in such a queue.
pub fn reassign_after(target: Duration) -> Duration {
    target.mul_f64(REASSIGN_TARGETS)
}

/// Delay before the next search for an engine that could recompute a generation.
const RECOMPUTE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventDelivery {
    /// Forward it to the caller.
    Forward,
    /// Drop it: the caller has it already.
    Duplicate,
    /// End the stream: an earlier event is missing.
    Gap,
}

/// The copy from which a generation would resume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeFrom {
    /// The copy made after the notice.
    PreCopy,
    /// The copy that its engine kept up to date.
    Standby,
}

/// The current state of the engines as far as it concerns one generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineView {
    /// How long the current engine has been leaving; `None` if it is not.
    pub leaving_for: Option<Duration>,
    /// Whether the engine with the standby copy exists and accepts work.
    pub standby_is_usable: bool,
    /// Whether no prefill is pending where the generation would resume.
    pub target_is_quiet: bool,
    /// Whether any engine can resume it without a copy, and attempts remain.
    pub may_recompute: bool,
    /// Whether the retry budget has nothing left for it.
    pub is_budget_spent: bool,
    /// How long the generation is expected to continue; `None` if that is not known.
    pub remaining: Option<Duration>,
}

/// The next step for a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Start a pre-copy, or refresh it.
    PreCopy,
    /// Close the connection and resume from the pre-copy.
    Relocate,
    /// The engine is silent: resume from the copy.
    FailOver,
    /// The engine is silent and there is no copy: resume at another engine, which prefills the
    /// prompt and the previous output again.
    Recompute,
    /// Do nothing until this time, unless something happens earlier.
    Wait(Time),
}

/// The state of the pre-copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PreCopyState {
    /// Whether it waits for a place.
    is_requested: bool,
    in_progress: bool,
    complete_since: Option<Time>,
}

/// The state of one generation across its engines.
#[derive(Clone, Debug, Default)]
pub struct Relocation {
    last_event: Option<u64>,
    events: u64,
    /// When the first event of the current engine arrived. Its standby copy was started then, also
    /// if the generation was relocated to that engine.
    first_event_here: Option<Time>,
    last_bytes_at: Time,
    /// How long an engine that is not leaving may be silent.
    silence_timeout: Duration,
    /// Earliest time of the next search for an engine that could recompute it.
    recompute_not_before: Time,
    has_standby: bool,
    pre_copy: PreCopyState,
    pre_copy_tries: u32,
    pre_copy_not_before: Time,
    relocations: u32,
}

impl Relocation {
    /// Returns the state of a generation that has not started. `silence_timeout` is how long an engine
    /// that is not leaving may be silent ([`silence_timeout`]).
    pub fn new(silence_timeout: Duration) -> Self {
        Relocation {
            silence_timeout,
            ..Relocation::default()
        }
    }

    /// Sets the last event that a reconnected caller already has.
    #[must_use]
    pub fn after(mut self, held: Option<u64>) -> Self {
        self.last_event = held;
        self
    }

    /// Returns the number of the last event that the caller has.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Returns how many events were forwarded to the caller.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether an event of the current engine was forwarded.
    pub fn has_event_here(&self) -> bool {
        self.first_event_here.is_some()
    }

    /// Returns how long the current engine has been producing events; `None` before the first.
    pub fn runs_here_for(&self, now: Time) -> Option<Duration> {
        self.first_event_here.map(|first| now.since(first))
    }

    /// Returns how often the generation was relocated.
    pub fn relocations(&self) -> u32 {
        self.relocations
    }

    /// Returns the approximate number of generated tokens. It is derived from the number of events,
    /// and the scale is the same for all generations.
    pub fn tokens(&self) -> u32 {
        let events = u32::try_from(self.events).unwrap_or(u32::MAX);
        events.saturating_mul(TOKENS_PER_EVENT)
    }

    /// Returns how long generating so many tokens takes with this time between two events.
    pub fn time_for(&self, tokens: u32, gap: Duration) -> Duration {
        gap.saturating_mul(tokens.div_ceil(TOKENS_PER_EVENT))
    }

    /// Records that bytes arrived from the engine.
    pub fn on_bytes(&mut self, now: Time) {
        self.last_bytes_at = now;
    }

    /// Records that the engine is not read, because its caller reads slowly: its silence shows nothing.
    pub fn on_reading_paused(&mut self, now: Time) {
        self.last_bytes_at = now;
    }

    /// Applies a complete event and returns what to do with it.
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

    /// Records whether the current engine keeps a standby copy at another one.
    pub fn set_standby(&mut self, has_standby: bool) {
        self.has_standby = has_standby;
    }

    /// Records that a place for a pre-copy is requested.
    pub fn pre_copy_requested(&mut self) {
        debug_assert!(!self.pre_copy.is_requested, "two requests at once");
        self.pre_copy.is_requested = true;
    }

    /// Records the start of a pre-copy.
    pub fn pre_copy_started(&mut self, now: Time) {
        debug_assert!(!self.pre_copy.in_progress, "two pre-copies at once");
        self.pre_copy.is_requested = false;
        self.pre_copy.in_progress = true;
        self.pre_copy_tries += 1;
        let delay = match self.pre_copy_tries {
            0..=QUICK_PRE_COPIES => PRE_COPY_RETRY_DELAY,
            _ => LATER_PRE_COPY_RETRY_DELAY,
        };
        self.pre_copy_not_before = now + delay;
    }

    /// Records that the engine was ordered to stop the generation, which brings the pre-copy up to date.
    pub fn stop_ordered(&mut self) {
        self.pre_copy.in_progress = true;
    }

    /// Records that the pre-copy is lost because its engine was withdrawn.
    pub fn pre_copy_lost(&mut self) {
        self.pre_copy = PreCopyState::default();
        self.pre_copy_not_before = Time::ZERO;
    }

    /// Records that there was no place for a pre-copy of a generation whose engine has been leaving
    /// for `leaving_for`.
    pub fn pre_copy_refused(&mut self, now: Time, leaving_for: Duration) {
        self.pre_copy.is_requested = false;
        let delay = match leaving_for < PRE_COPY_DEADLINE {
            true => PRE_COPY_RETRY_DELAY,
            false => LATER_PRE_COPY_RETRY_DELAY,
        };
        self.pre_copy_not_before = now + delay;
    }

    /// Records that no engine has room to recompute the generation.
    pub fn recompute_refused(&mut self, now: Time) {
        self.recompute_not_before = now + RECOMPUTE_RETRY_DELAY;
    }

    /// Records the end of a pre-copy; returns whether a usable one exists. A complete one remains
    /// usable if its refresh fails.
    pub fn pre_copy_ended(&mut self, now: Time, complete: bool) -> bool {
        self.pre_copy.in_progress = false;
        if complete || self.pre_copy.complete_since.is_some() {
            self.pre_copy.complete_since = Some(now);
        }
        self.pre_copy.complete_since.is_some()
    }

    /// Records that the generation is resumed at another engine.
    pub fn on_relocated(&mut self, now: Time) {
        self.relocations += 1;
        self.first_event_here = None;
        self.has_standby = false;
        self.pre_copy = PreCopyState::default();
        self.pre_copy_tries = 0;
        self.last_bytes_at = now;
    }

    /// Returns whether a standby copy can exist, even if it is not assumed to exist yet.
    ///
    /// An engine that is asked to resume from a copy that cannot have arrived fails, and that
    /// attempt would count as a second run of the generation.
    pub fn standby_may_exist(&self, now: Time) -> bool {
        let first = self.first_event_here;
        self.has_standby && first.is_some_and(|first| now.since(first) >= STANDBY_EARLIEST)
    }

    /// Returns whether the standby copy is assumed to exist.
    pub fn standby_is_assumed(&self, now: Time) -> bool {
        let first = self.first_event_here;
        self.has_standby && first.is_some_and(|first| now.since(first) >= STANDBY_READY_AFTER)
    }

    /// Returns the copy from which the generation would resume now.
    pub fn resume_from(&self, now: Time, standby_is_usable: bool) -> Option<ResumeFrom> {
        if self.pre_copy.complete_since.is_some() {
            return Some(ResumeFrom::PreCopy);
        }
        let is_usable = standby_is_usable && self.standby_is_assumed(now);
        is_usable.then_some(ResumeFrom::Standby)
    }

    /// Returns the next step.
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
        if let Some(recompute) = self.recompute_at(from, view) {
            if recompute <= now {
                return Step::Recompute;
            }
            wait = wait.min(recompute);
        }
        let leaving_for = view
            .leaving_for
            .filter(|_| self.relocations < MAX_RELOCATIONS);
        let Some(leaving_for) = leaving_for else {
            return Step::Wait(wait);
        };
        // The engine that holds a pre-copy refuses to resume from it during a refresh.
        if from == Some(ResumeFrom::PreCopy) && !self.pre_copy.in_progress {
            let leave = relocate_at(now, leaving_for, view.target_is_quiet);
            match (leave <= now, view.is_budget_spent) {
                (true, false) => return Step::Relocate,
                // The current engine stays for a while, so the generation can wait for a retry.
                (true, true) => wait = wait.min(now + QUIET_CHECK_INTERVAL),
                (false, _) => wait = wait.min(leave),
            }
        }
        if let Some(copy) = self.pre_copy_at(now, leaving_for, view.remaining, from) {
            if copy <= now {
                return Step::PreCopy;
            }
            wait = wait.min(copy);
        }
        Step::Wait(wait)
    }

    /// Returns when a silent engine is ordered to stop the generation: some time before it would be
    /// abandoned, so that the order costs the caller no wait. `None` if silence does not make the
    /// generation leave.
    pub fn stop_order_at(&self, now: Time, view: &EngineView) -> Option<Time> {
        if self.events == 0 {
            return None;
        }
        let from = self.resume_from(now, view.standby_is_usable);
        let is_leaving = view.leaving_for.is_some();
        let fails_over = from.map(|_| self.fail_over_at(from, is_leaving));
        let recomputes = self.recompute_at(from, view);
        let leaves = fails_over.into_iter().chain(recomputes).min()?;
        Some(leaves.before(STOP_LEAD).unwrap_or(Time::ZERO))
    }

    /// Returns when a silent engine is abandoned; never if there is no copy to resume from. If the
    /// standby copy is only assumed to exist later, the result is not before that time.
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

    /// Returns when a silent engine is abandoned for one that recomputes the generation.
    fn recompute_at(&self, from: Option<ResumeFrom>, view: &EngineView) -> Option<Time> {
        let silent = self.last_bytes_at + RESUMABLE_SILENCE_TIMEOUT.min(self.silence_timeout);
        let needs_it = view.may_recompute && from.is_none();
        needs_it.then_some(silent.max(self.recompute_not_before))
    }

    fn pre_copy_at(
        &self,
        now: Time,
        leaving_for: Duration,
        remaining: Option<Duration>,
        from: Option<ResumeFrom>,
    ) -> Option<Time> {
        let is_open = self.pre_copy.in_progress || self.pre_copy.is_requested;
        if is_open || self.pre_copy_tries >= MAX_PRE_COPIES {
            return None;
        }
        let ends_before = remaining.and_then(|it| time_until_copy_is_needed(leaving_for, it));
        let deferred = now + ends_before.unwrap_or_default();
        match (self.pre_copy.complete_since, from) {
            (Some(_), _) if leaving_for > LAST_REFRESH => None,
            (Some(since), _) => Some((since + REFRESH_AFTER).max(self.pre_copy_not_before)),
            (None, Some(ResumeFrom::Standby)) => {
                let wait = PRE_COPY_DELAY.saturating_sub(leaving_for);
                Some((now + wait).max(self.pre_copy_not_before).max(deferred))
            }
            (None, _) => Some(self.pre_copy_not_before.max(deferred)),
        }
    }
}

/// Returns how long a generation that is expected to end after `remaining` needs no pre-copy yet;
/// `None` if it needs one now.
///
/// It needs none as long as it is expected to end before it would leave. If it lasts longer than
/// expected, the copy is still made in time: the nearer its expected end, the later that is.
pub fn time_until_copy_is_needed(leaving_for: Duration, remaining: Duration) -> Option<Duration> {
    let spare = RELOCATE_AFTER.checked_sub(leaving_for + remaining)?;
    (!spare.is_zero()).then_some(spare)
}

fn relocate_at(now: Time, leaving_for: Duration, target_is_quiet: bool) -> Time {
    let early = RELOCATE_AFTER - EARLY_RELOCATION;
    if leaving_for < early {
        return now + (early - leaving_for);
    }
    if target_is_quiet || leaving_for >= RELOCATE_AFTER {
        return now;
    }
    now + QUIET_CHECK_INTERVAL.min(RELOCATE_AFTER - leaving_for)
}
