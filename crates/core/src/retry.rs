//! Whether a failed attempt is followed by another one.
//!
//! Two rules decide. Truth: work that must not repeat is tried again only with
//! proof that it ran nowhere; a caller that holds tokens gets a replay, never
//! a fresh generation. Load: retries stay a small share of the recent
//! requests, so that a surge of failures cannot multiply itself.
//!
//! See `docs/design/delivery.md`.

use crate::outcome::{RequestOutcome, Verdict};
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use rand::Rng;

/// How many attempts a request has at most.
pub const MAX_ATTEMPTS: u32 = 4;

/// Seconds of requests and retries that the budget looks back on.
pub const BUDGET_WINDOW_SECS: usize = 10;

/// Retries allowed for each hundred requests of the window.
pub const RETRIES_PER_HUNDRED_REQUESTS: u64 = 10;

/// Retries allowed in each window however few requests there were, so that a
/// quiet instance can still retry.
pub const MIN_RETRIES_PER_WINDOW: u64 = 10;

/// The longest back-off before the first retry; it doubles with each attempt.
pub const BASE_BACKOFF: Duration = Duration::from_millis(50);

/// The longest back-off before any retry.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// When a caller whose request may be repeated is told to come back, at the
/// earliest, if the endpoint said nothing. Spread over twice this time.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests and retries of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    requests: u64,
    retries: u64,
}

/// How many retries the recent requests allow.
///
/// Invariant: `total` is the sum of `seconds`, which hold the seconds up to
/// and including `latest`.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    seconds: [Second; BUDGET_WINDOW_SECS],
    total: Second,
    latest: u64,
}

impl RetryBudget {
    /// Returns a budget without history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that was accepted.
    pub fn on_request(&mut self, now: Time) {
        let second = self.advance(now);
        second.requests += 1;
        self.total.requests += 1;
    }

    /// Takes one retry, if the budget has it.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.advance(now);
        if self.total.retries >= self.allowed() {
            return false;
        }
        self.advance(now).retries += 1;
        self.total.retries += 1;
        true
    }

    fn allowed(&self) -> u64 {
        let share = self.total.requests * RETRIES_PER_HUNDRED_REQUESTS / 100;
        share.max(MIN_RETRIES_PER_WINDOW)
    }

    /// Forgets the seconds that left the window and returns the one of `now`.
    fn advance(&mut self, now: Time) -> &mut Second {
        let second = now.as_millis() / 1_000;
        let passed = second.saturating_sub(self.latest);
        for step in 1..=passed.min(BUDGET_WINDOW_SECS as u64) {
            let slot = &mut self.seconds[slot_of(self.latest + step)];
            self.total.requests -= slot.requests;
            self.total.retries -= slot.retries;
            *slot = Second::default();
        }
        if passed > BUDGET_WINDOW_SECS as u64 {
            debug_assert_eq!(self.total.requests, 0);
        }
        self.latest = self.latest.max(second);
        &mut self.seconds[slot_of(self.latest)]
    }
}

fn slot_of(second: u64) -> usize {
    (second % BUDGET_WINDOW_SECS as u64) as usize
}

/// Returns how long to wait before the attempt after `attempts` attempts:
/// exponential, with jitter over its upper half.
pub fn backoff<R: Rng>(attempts: u32, rng: &mut R) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let longest = (BASE_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
    rng.random_range(longest / 2..=longest)
}

/// An attempt that ended without a whole answer, and what is left of its request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure<'a> {
    /// Why the attempt ended.
    pub reason: Reason,
    /// What is known of all attempts, this one included.
    pub outcome: &'a RequestOutcome,
    /// Whether the work may be run more than once.
    pub idempotent: bool,
    /// Tokens that the caller holds.
    pub delivered: u32,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// How long the caller still waits for a start.
    pub remaining_wait: Duration,
    /// When the endpoint asked to come back, if it said so.
    pub retry_after: Option<Duration>,
}

/// What follows a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Start afresh elsewhere.
    Retry {
        /// How long to wait first.
        after: Duration,
    },
    /// Run it elsewhere and compare with what the caller holds.
    Replay {
        /// How long to wait first.
        after: Duration,
    },
    /// Give the caller this answer.
    Finish(Verdict),
}

/// Decides what follows `failure`.
pub fn decide<R: Rng>(
    failure: &AttemptFailure<'_>,
    budget: &mut RetryBudget,
    now: Time,
    rng: &mut R,
) -> RetryDecision {
    if !may_retry(failure) || !can_succeed(failure) {
        return finish(failure, failure.reason, rng);
    }
    let after = backoff(failure.attempts, rng);
    if after >= failure.remaining_wait {
        return finish(failure, failure.reason, rng);
    }
    if !is_exempt_from_budget(failure) && !budget.try_spend(now) {
        return finish(failure, Reason::RetryBudget, rng);
    }
    match failure.delivered {
        0 => RetryDecision::Retry { after },
        _ => RetryDecision::Replay { after },
    }
}

/// Returns whether running the work (again) breaks no promise.
fn may_retry(failure: &AttemptFailure<'_>) -> bool {
    failure.idempotent || !failure.outcome.may_have_run()
}

/// Returns whether another attempt can end better than this one.
fn can_succeed(failure: &AttemptFailure<'_>) -> bool {
    let is_final = matches!(
        failure.reason,
        // A second replay samples anew and differs just as well.
        Reason::ReplayDiverged
            | Reason::CallerGone
            | Reason::StoppedNow
            | Reason::AlreadyRan
            | Reason::Internal
    );
    !is_final && failure.attempts < MAX_ATTEMPTS
}

/// Returns whether the retry draws nothing from the budget. An endpoint that
/// leaves refuses without work, and each request meets it at most once, so
/// that a planned stop must not use up what failures need.
fn is_exempt_from_budget(failure: &AttemptFailure<'_>) -> bool {
    failure.reason == Reason::EndpointLeaving && !failure.outcome.may_have_run()
}

fn finish<R: Rng>(failure: &AttemptFailure<'_>, reason: Reason, rng: &mut R) -> RetryDecision {
    let come_back = may_retry(failure) && reason != Reason::CallerGone;
    let retry_after = come_back.then(|| {
        let spread = rng.random_range(MIN_RETRY_AFTER..=MIN_RETRY_AFTER * 3);
        failure.retry_after.unwrap_or_default().max(spread)
    });
    RetryDecision::Finish(
        failure
            .outcome
            .finish(reason, retry_after, failure.delivered),
    )
}
