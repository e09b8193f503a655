//! Decides whether a failed attempt is retried.
//!
//! Two rules apply. Correctness: a request that is not idempotent is retried only with proof that
//! it did not run, and a caller that has received tokens gets a replay, never a new generation.
//! Load: retries are limited to a small share of the recent requests, so that a burst of failures
//! cannot amplify itself.
//!
//! See `docs/design/delivery.md`.

use crate::outcome::{RequestOutcome, Verdict};
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use rand::Rng;

/// Maximum number of attempts of a request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Length of the sliding window of the retry budget, in seconds.
pub const BUDGET_WINDOW_SECS: usize = 10;

/// Retries allowed per hundred requests in the window.
pub const RETRIES_PER_HUNDRED_REQUESTS: u64 = 10;

/// Retries allowed in each window regardless of the number of requests, so that an instance with
/// little traffic can still retry.
pub const MIN_RETRIES_PER_WINDOW: u64 = 10;

/// Upper bound of the backoff before the first retry; it doubles with each attempt.
pub const BASE_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of the backoff before any retry.
pub const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Minimum delay that is suggested to a caller whose request may be retried, unless the endpoint
/// suggested a longer one. A random addition of up to twice this time spreads the retries.
pub const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests and retries within one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    requests: u64,
    retries: u64,
}

/// Limits retries to a share of the recent requests.
///
/// Invariant: `total` is the sum of `seconds`, which cover the window up to and including `latest`.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    seconds: [Second; BUDGET_WINDOW_SECS],
    total: Second,
    latest: u64,
}

impl RetryBudget {
    /// Returns a budget without recorded requests or retries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an accepted request.
    pub fn on_request(&mut self, now: Time) {
        let second = self.advance(now);
        second.requests += 1;
        self.total.requests += 1;
    }

    /// Consumes one retry if the budget allows it; returns whether it does.
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

    /// Drops the seconds that have left the window and returns the one of `now`.
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

/// Returns the delay before the next attempt after `attempts` attempts: exponential backoff with
/// jitter over the upper half of the range.
pub fn backoff<R: Rng>(attempts: u32, rng: &mut R) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let longest = (BASE_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
    rng.random_range(longest / 2..=longest)
}

/// An attempt that ended without a complete response, and the state of its request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFailure<'a> {
    /// Why the attempt ended.
    pub reason: Reason,
    /// Outcome over all attempts, including this one.
    pub outcome: &'a RequestOutcome,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Tokens that the caller has received.
    pub delivered: u32,
    /// Number of attempts so far, including this one.
    pub attempts: u32,
    /// How much longer the caller waits for a start.
    pub remaining_wait: Duration,
    /// Delay before a retry that the endpoint suggested, if any.
    pub retry_after: Option<Duration>,
}

/// What happens after a failed attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Start a new generation at another endpoint.
    Retry {
        /// Delay before the next attempt.
        after: Duration,
    },
    /// Run it at another endpoint and compare the tokens with those that the caller has received.
    Replay {
        /// Delay before the next attempt.
        after: Duration,
    },
    /// Send this final response to the caller.
    Finish(Verdict),
}

/// Decides what happens after `failure`.
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

/// Returns whether another attempt cannot execute non-idempotent work twice.
fn may_retry(failure: &AttemptFailure<'_>) -> bool {
    failure.idempotent || !failure.outcome.may_have_run()
}

/// Returns whether another attempt can succeed.
fn can_succeed(failure: &AttemptFailure<'_>) -> bool {
    let is_final = matches!(
        failure.reason,
        // A second replay samples its tokens again and would diverge as well.
        Reason::ReplayDiverged
            | Reason::CallerGone
            | Reason::StoppedNow
            | Reason::AlreadyRan
            | Reason::Internal
    );
    !is_final && failure.attempts < MAX_ATTEMPTS
}

/// Returns whether the retry is not counted against the budget. An endpoint that is leaving refuses
/// without running anything, and each request meets it at most once. A planned stop must not use up
/// the retries that failures need.
fn is_exempt_from_budget(failure: &AttemptFailure<'_>) -> bool {
    failure.reason == Reason::EndpointLeaving && !failure.outcome.may_have_run()
}

fn finish<R: Rng>(failure: &AttemptFailure<'_>, reason: Reason, rng: &mut R) -> RetryDecision {
    let may_retry_later = may_retry(failure) && reason != Reason::CallerGone;
    let retry_after = may_retry_later.then(|| {
        let spread = rng.random_range(MIN_RETRY_AFTER..=MIN_RETRY_AFTER * 3);
        failure.retry_after.unwrap_or_default().max(spread)
    });
    RetryDecision::Finish(
        failure
            .outcome
            .finish(reason, retry_after, failure.delivered),
    )
}
