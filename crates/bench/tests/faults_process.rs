//! Failures through real processes, each in the middle of a small surge, with
//! every promise checked from outside. `oriolemux-bench faults --pairs` runs
//! all failures, alone and in pairs, with more requests.

use oriolemux_bench::checker::Violation;
use oriolemux_bench::faults::{Case, CaseOutcome, Fault, run_case};
use oriolemux_bench::load::CallerEnding;
use oriolemux_bench::standins::text::Sampling;
use rstest::rstest;
use std::sync::LazyLock;
use tokio::sync::Semaphore;

const REQUESTS: usize = 60;

/// A case is a dozen processes; more than a few at once would only measure the machine.
static ROOM: LazyLock<Semaphore> = LazyLock::new(|| Semaphore::new(3));

async fn violations(faults: &[Fault], sampling: Sampling) -> Vec<Violation> {
    outcome(faults, sampling, REQUESTS).await.violations
}

async fn outcome(faults: &[Fault], sampling: Sampling, requests: usize) -> CaseOutcome {
    let _permit = ROOM.acquire().await.expect("never closed");
    let case = Case {
        faults: faults.to_vec(),
        seed: 11,
        requests,
        sampling,
        keep: false,
        program: env!("CARGO_BIN_EXE_oriolemux-bench").into(),
    };
    let outcome = run_case(&case).await.expect("the case runs");
    let whole = outcome
        .evidence
        .callers
        .iter()
        .filter(|c| c.received.is_complete())
        .count();
    // A fleet that refused everything would keep every promise and be worth nothing.
    assert!(whole > requests / 2, "only {whole} whole answers");
    outcome
}

/// Symptom: a caller gets a token twice, not at all, or of two generations.
/// Sequence: half an event arrives, the connection breaks; the stream is
/// resumed, or replayed elsewhere where sampling is random.
/// Cause: what was delivered is not compared with what comes next.
#[rstest]
#[case::resumed(Fault::LinkCutMidFrame, Sampling::Greedy)]
#[case::replayed(Fault::LostGenerations, Sampling::Greedy)]
#[case::replay_differs(Fault::LostGenerations, Sampling::Random)]
#[case::engine_killed(Fault::EngineDies, Sampling::Random)]
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_goes_on_or_ends_truthfully(
    #[case] fault: Fault,
    #[case] sampling: Sampling,
) {
    assert_eq!(violations(&[fault], sampling).await, []);
}

/// Symptom: a caller gets the text of another caller.
/// Sequence: an engine sends an event of another attempt inside a stream.
/// Cause: the attempt's id is not compared, or the connection is used again.
#[tokio::test(flavor = "multi_thread")]
async fn a_crossed_answer_reaches_nobody() {
    assert_eq!(
        violations(&[Fault::CrossedAnswers], Sampling::Greedy).await,
        []
    );
}

/// Symptom: a shirt is sold twice, or "not run" is said of one that was sold.
/// Sequence: the service runs the call and its answer is lost, while the home
/// that knows the caller's key is killed or cannot be reached.
/// Cause: a call whose answer was lost is taken for one that never ran.
#[rstest]
#[case::answer_lost(&[Fault::ServiceLosesAnswers])]
#[case::home_killed(&[Fault::ServiceLosesAnswers, Fault::InstanceKilled])]
#[case::home_parted(&[Fault::ServiceLosesAnswers, Fault::HalvesParted])]
#[case::holder_paused(&[Fault::ServiceStalls, Fault::InstancePaused])]
#[tokio::test(flavor = "multi_thread")]
async fn work_that_may_not_be_repeated_runs_once(#[case] faults: &[Fault]) {
    assert_eq!(violations(faults, Sampling::Greedy).await, []);
}

/// Symptom: a stream ends in the middle when its instance is replaced.
/// Sequence: SIGTERM while streams run, also with an engine failing.
/// Cause: the process ends before its last stream, or drops what is queued.
#[rstest]
#[case::alone(&[Fault::InstanceStopped])]
#[case::while_a_link_stalls(&[Fault::LinkStalls, Fault::InstanceStopped])]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing(#[case] faults: &[Fault]) {
    assert_eq!(violations(faults, Sampling::Greedy).await, []);
}

/// Symptom: requests queued at an instance that stops wait for their longest
/// wait, 30 s, and are refused with `home_silent`.
/// Sequence: the home of a cell is told to stop; an entry asks the next home
/// again for what it had queued, then tells it what it has running there.
/// Cause: the next home takes what it is told for all that the entry has there,
/// and drops the requests that were asked for just before.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_queued_requests_over() {
    const CROWD: usize = 300;
    let outcome = outcome(&[Fault::InstanceStopped], Sampling::Greedy, CROWD).await;
    let forgotten = outcome.evidence.callers.iter().filter(|caller| {
        let ending = &caller.received.ending;
        let silent = |reason: &str| caller.idempotent && reason == "home_silent";
        matches!(ending, CallerEnding::Error { reason, .. } if silent(reason))
    });
    assert_eq!(forgotten.count(), 0);
}

/// Symptom: an engine that was called leaving still gets new work later.
/// Sequence: the engine itself, or only the list, says that it is leaving;
/// the instances are parted when it does.
/// Cause: the news does not reach every home, or a home trusts an old report.
#[rstest]
#[case::by_itself(&[Fault::EngineLeaves])]
#[case::by_the_list(&[Fault::EngineListedLeaving])]
#[case::while_parted(&[Fault::EngineLeaves, Fault::HalvesParted])]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work(#[case] faults: &[Fault]) {
    assert_eq!(violations(faults, Sampling::Greedy).await, []);
}

/// Symptom: a catalogue change is undone, or never arrives.
/// Sequence: an instance starts while the platform serves older values;
/// revisions race; a broken or lower one is published in between.
/// Cause: the service is believed over the peers, or a revision is not compared.
#[rstest]
#[case::restart_before_a_stale_platform(Fault::PlatformOlder)]
#[case::racing(Fault::CatalogueRaces)]
#[case::broken(Fault::CatalogueBroken)]
#[case::lower(Fault::CatalogueLower)]
#[tokio::test(flavor = "multi_thread")]
async fn a_catalogue_never_reverts(#[case] fault: Fault) {
    assert_eq!(violations(&[fault], Sampling::Greedy).await, []);
}
