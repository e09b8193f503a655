//! The outcome that may be reported for a request, depending on its attempts.

use core::time::Duration;
use oriolemux_core::outcome::{PriorOutcome, Refusal};
use oriolemux_core::{
    AttemptId, Incarnation, InstanceKey, Outcome, Ran, Reason, RequestId, RequestOutcome, Verdict,
};
use rstest::rstest;

fn attempt(number: u32) -> AttemptId {
    let request = RequestId {
        instance: InstanceKey::of("arima-1"),
        incarnation: Incarnation(7),
        seq: 1,
    };
    AttemptId { request, number }
}

/// Returns proof that an attempt did not run, taken from a request that was never dispatched.
fn proof() -> Ran {
    Ran::No(RequestOutcome::new().proof().unwrap())
}

fn outcome_after(ends: &[Ran]) -> RequestOutcome {
    let mut outcome = RequestOutcome::new();
    for (number, &ran) in (1..).zip(ends) {
        outcome.on_dispatch(attempt(number));
        outcome.on_ended(attempt(number), ran);
    }
    outcome
}

#[rstest]
#[case::never_dispatched(&[], 0, Outcome::NotRun)]
#[case::one_proof(&[proof()], 0, Outcome::NotRun)]
#[case::two_proofs(&[proof(), proof()], 0, Outcome::NotRun)]
#[case::first_unproven(&[Ran::Maybe, proof()], 0, Outcome::Unknown)]
#[case::last_unproven(&[proof(), Ran::Maybe], 0, Outcome::Unknown)]
#[case::tokens_stand(&[Ran::Maybe, proof()], 3, Outcome::Partial)]
fn reports_not_run_only_if_every_attempt_has_proof(
    #[case] ends: &[Ran],
    #[case] delivered: u32,
    #[case] expected: Outcome,
) {
    let outcome = outcome_after(ends);

    let verdict = outcome.finish(Reason::RetryBudget, Some(Duration::from_secs(2)), delivered);

    assert_eq!(verdict.outcome(), expected);
    assert_eq!(verdict.retry_after(), Some(Duration::from_secs(2)));
}

// Guards against "not run" for work that is running. An attempt is dispatched and the process must
// stop at once. The attempt has not ended, so it may have run.
#[test]
fn an_open_attempt_may_have_run() {
    let mut outcome = RequestOutcome::new();
    outcome.on_dispatch(attempt(1));

    let verdict = outcome.finish(Reason::StoppedNow, None, 0);

    assert_eq!(verdict.outcome(), Outcome::Unknown);
}

// Guards against "not run" while the second attempt is running. Attempt 1 ends, attempt 2 is
// dispatched, and the report of attempt 1 arrives again. Proof for one attempt says nothing about
// another.
#[test]
fn proof_for_an_old_attempt_is_ignored() {
    let mut outcome = outcome_after(&[proof()]);
    outcome.on_dispatch(attempt(2));

    outcome.on_ended(attempt(1), proof());

    assert!(outcome.may_have_run());
}

// Guards against a caller that executes work elsewhere although it already ran. A request with a
// key runs and its response is lost. The duplicate reaches an instance that is stopping and is
// refused as "not run". That statement is about the duplicate, but the caller applies it to both.
#[test]
fn a_duplicate_without_its_claim_is_never_reported_as_not_run() {
    let mut outcome = RequestOutcome::under_claim();

    let before = outcome.finish(Reason::Stopping, None, 0);
    outcome.on_claim_granted();
    let after = outcome.finish(Reason::WaitTooLong, None, 0);

    assert_eq!(before.outcome(), Outcome::Unknown);
    assert_eq!(after.outcome(), Outcome::NotRun);
}

#[rstest]
#[case(PriorOutcome::Unknown, Outcome::Unknown, 0)]
#[case(PriorOutcome::Partial { delivered: 7 }, Outcome::Partial, 7)]
#[case(PriorOutcome::Complete, Outcome::Complete, 0)]
fn a_duplicate_receives_the_outcome_of_the_first_request(
    #[case] prior: PriorOutcome,
    #[case] outcome: Outcome,
    #[case] delivered: u32,
) {
    let verdict = Verdict::duplicate(Reason::AlreadyRan, prior);

    assert_eq!(
        (verdict.outcome(), verdict.delivered()),
        (outcome, delivered)
    );
}

// Guards against "not run" after an engine crashed while it ran the request. A proxy in front of
// the engine responds with 503 and its own page. A status alone does not state whether the request
// ran.
#[rstest]
#[case::busy(
    429,
    r#"{"error":{"reason":"busy","outcome":"not_run"}}"#,
    Some(Reason::EndpointRefused)
)]
#[case::leaving(
    503,
    r#"{"error":{"reason":"leaving","outcome":"not_run"}}"#,
    Some(Reason::EndpointLeaving)
)]
#[case::not_loaded(
    503,
    r#"{"error":{"reason":"not_loaded","outcome":"not_run"}}"#,
    Some(Reason::EndpointNotLoaded)
)]
#[case::escaped(
    503,
    r#"{"error":{"reason":"b\u0075sy","outcome":"not\u005frun"}}"#,
    Some(Reason::EndpointRefused)
)]
#[case::no_outcome(503, r#"{"error":{"reason":"busy"}}"#, None)]
#[case::unknown(503, r#"{"error":{"reason":"busy","outcome":"unknown"}}"#, None)]
#[case::page(503, "<html>busy</html>", None)]
#[case::other_status(500, r#"{"error":{"reason":"busy","outcome":"not_run"}}"#, None)]
#[case::success(200, r#"{"error":{"reason":"busy","outcome":"not_run"}}"#, None)]
fn only_an_explicit_statement_of_the_endpoint_is_a_refusal(
    #[case] status: u16,
    #[case] body: &str,
    #[case] expected: Option<Reason>,
) {
    let refusal = Refusal::parse(status, Some("3"), body.as_bytes());

    assert_eq!(refusal.map(|r| r.reason()), expected);
    if let Some(refusal) = refusal {
        assert_eq!(refusal.retry_after(), Some(Duration::from_secs(3)));
    }
}
