//! Decisions about whether a failed attempt is retried.

use core::time::Duration;
use oriolemux_core::retry::{
    AttemptFailure, BASE_BACKOFF, BUDGET_WINDOW_SECS, MAX_ATTEMPTS, MAX_BACKOFF,
    MIN_RETRIES_PER_WINDOW, RetryBudget, RetryDecision, backoff, decide,
};
use oriolemux_core::{
    AttemptId, Incarnation, InstanceKey, Outcome, Ran, Reason, RequestId, RequestOutcome, Time,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

const NOW: Time = Time::from_secs(1_000);

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(5)
}

fn proven() -> RequestOutcome {
    RequestOutcome::new()
}

fn unproven() -> RequestOutcome {
    let request = RequestId {
        instance: InstanceKey::of("arima-1"),
        incarnation: Incarnation(7),
        seq: 1,
    };
    let attempt = AttemptId { request, number: 1 };
    let mut outcome = RequestOutcome::new();
    outcome.on_dispatch(attempt);
    outcome.on_ended(attempt, Ran::Maybe);
    outcome
}

fn failure(outcome: &RequestOutcome) -> AttemptFailure<'_> {
    AttemptFailure {
        reason: Reason::ConnectionLost,
        outcome,
        idempotent: true,
        delivered: 0,
        attempts: 1,
        remaining_wait: Duration::from_secs(10),
        retry_after: None,
    }
}

fn decided(failure: &AttemptFailure<'_>) -> RetryDecision {
    decide(failure, &mut RetryBudget::new(), NOW, &mut rng())
}

fn outcome_of(decision: &RetryDecision) -> Option<Outcome> {
    match decision {
        RetryDecision::Finish(verdict) => Some(verdict.outcome()),
        _ => None,
    }
}

#[rstest]
#[case::idempotent_unproven(true, unproven(), true)]
#[case::idempotent_proven(true, proven(), true)]
#[case::once_proven(false, proven(), true)]
#[case::once_unproven(false, unproven(), false)]
fn retries_non_idempotent_work_only_with_proof(
    #[case] idempotent: bool,
    #[case] outcome: RequestOutcome,
    #[case] retries: bool,
) {
    let failure = AttemptFailure {
        idempotent,
        ..failure(&outcome)
    };

    let decision = decided(&failure);

    assert_eq!(matches!(decision, RetryDecision::Retry { .. }), retries);
    if !retries {
        assert_eq!(outcome_of(&decision), Some(Outcome::Unknown));
    }
}

#[test]
fn a_caller_that_holds_tokens_gets_a_replay() {
    let outcome = unproven();
    let failure = AttemptFailure {
        delivered: 9,
        ..failure(&outcome)
    };

    assert!(matches!(decided(&failure), RetryDecision::Replay { .. }));
}

#[rstest]
#[case::diverged(Reason::ReplayDiverged, 1, Duration::from_secs(10))]
#[case::caller_gone(Reason::CallerGone, 1, Duration::from_secs(10))]
#[case::too_many_attempts(Reason::ConnectionLost, MAX_ATTEMPTS, Duration::from_secs(10))]
#[case::no_time_left(Reason::ConnectionLost, 1, Duration::ZERO)]
fn gives_up_if_another_attempt_cannot_succeed(
    #[case] reason: Reason,
    #[case] attempts: u32,
    #[case] remaining_wait: Duration,
) {
    let outcome = unproven();
    let failure = AttemptFailure {
        reason,
        attempts,
        remaining_wait,
        ..failure(&outcome)
    };

    let RetryDecision::Finish(verdict) = decided(&failure) else {
        panic!("another attempt");
    };

    assert_eq!(
        (verdict.reason(), verdict.outcome()),
        (reason, Outcome::Unknown)
    );
}

#[test]
fn suggests_a_retry_delay_only_if_a_retry_is_allowed() {
    let outcome = unproven();
    let retry_after = |idempotent| {
        let failure = AttemptFailure {
            idempotent,
            attempts: MAX_ATTEMPTS,
            retry_after: Some(Duration::from_secs(30)),
            ..failure(&outcome)
        };
        match decided(&failure) {
            RetryDecision::Finish(verdict) => verdict.retry_after(),
            other => panic!("another attempt: {other:?}"),
        }
    };

    assert_eq!(retry_after(true), Some(Duration::from_secs(30)));
    assert_eq!(retry_after(false), None);
}

// Guards against retries that multiply the load on an engine that slows down at the top of the
// hour, so that it never recovers. Every request fails once and every failure is retried, because
// the number of retries grows with failures instead of with requests.
#[test]
fn retries_stay_a_share_of_the_recent_requests() {
    let mut budget = RetryBudget::new();
    for _ in 0..1_000 {
        budget.on_request(NOW);
    }

    let taken = (0..1_000).filter(|_| budget.try_spend(NOW)).count();

    assert_eq!(taken, 100);
    let outcome = unproven();
    let decision = decide(&failure(&outcome), &mut budget, NOW, &mut rng());
    let RetryDecision::Finish(verdict) = decision else {
        panic!("another attempt");
    };
    assert_eq!(verdict.reason(), Reason::RetryBudget);
}

#[test]
fn an_idle_instance_can_retry_and_the_window_moves_on() {
    let mut budget = RetryBudget::new();
    let taken = (0..100).filter(|_| budget.try_spend(NOW)).count() as u64;
    let later = NOW + Duration::from_secs(BUDGET_WINDOW_SECS as u64);

    let taken_later = (0..100).filter(|_| budget.try_spend(later)).count() as u64;

    assert_eq!(
        (taken, taken_later),
        (MIN_RETRIES_PER_WINDOW, MIN_RETRIES_PER_WINDOW)
    );
}

#[test]
fn the_budget_tolerates_a_clock_that_stops_or_jumps() {
    let mut budget = RetryBudget::new();
    for secs in [5, 5, 900, 899, 901, 1_000_000] {
        budget.on_request(Time::from_secs(secs));
        assert!(budget.try_spend(Time::from_secs(secs)));
    }
}

#[test]
fn refusals_of_a_leaving_endpoint_do_not_spend_the_budget() {
    let mut budget = RetryBudget::new();
    while budget.try_spend(NOW) {}
    let outcome = proven();
    let failure = AttemptFailure {
        reason: Reason::EndpointLeaving,
        idempotent: false,
        ..failure(&outcome)
    };

    let decision = decide(&failure, &mut budget, NOW, &mut rng());

    assert!(matches!(decision, RetryDecision::Retry { .. }));
}

#[test]
fn back_off_doubles_within_its_bounds_and_spreads() {
    let mut rng = rng();
    for attempts in 1..40 {
        let longest = (BASE_BACKOFF * (1 << (attempts - 1).min(10))).min(MAX_BACKOFF);
        let drawn: Vec<_> = (0..50).map(|_| backoff(attempts, &mut rng)).collect();
        assert!(drawn.iter().all(|d| (longest / 2..=longest).contains(d)));
        assert!(drawn.iter().any(|d| *d != drawn[0]));
    }
}
