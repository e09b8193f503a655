//! What operators see of real instances.

use oriolemux::status::NodeStatus;
use oriolemux_bench::fleet::catalogue::{SCHOOL_KEY, VERDICT};
use oriolemux_bench::fleet::{Fleet, Plan};
use oriolemux_bench::load::{Caller, CompletionCall};
use std::path::Path;
use std::time::Duration;

/// How long a change may take until operators see it.
const SEEN_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(50);

async fn fleet() -> Fleet {
    let program = Path::new(env!("CARGO_BIN_EXE_oriolemux-bench"));
    let plan = Plan::default().with_instances(2).with_engines(1);
    let mut fleet = Fleet::start(plan, program).await.expect("starts");
    fleet.all_ready().await.expect("every instance serves");
    fleet
}

/// Asks an instance for its state until it is as wanted.
async fn wait_for_status(
    fleet: &Fleet,
    instance: usize,
    wanted: impl Fn(&NodeStatus) -> bool,
) -> NodeStatus {
    let address = fleet.instances[instance].operators;
    let seen = async {
        loop {
            let status = fleet.operators.status(address).await.expect("a status");
            if wanted(&status) {
                return status;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    let seen = tokio::time::timeout(SEEN_LIMIT, seen).await;
    seen.expect("the status becomes as wanted")
}

async fn metrics(fleet: &Fleet, instance: usize) -> String {
    let address = fleet.instances[instance].operators;
    let page = fleet.operators.page(address, "metrics").await;
    page.expect("metrics")
}

#[tokio::test(flavor = "multi_thread")]
async fn rejected_catalogue_is_shown_until_a_better_one_is_in_force() {
    let mut fleet = fleet().await;
    let index = fleet.catalogue.index();
    let broken = index
        .replace("revision = 1", "revision = 2")
        .replace("owner =", "ownr =");

    fleet.publish_index(broken, 2).await.expect("published");
    for instance in 0..2 {
        let status = wait_for_status(&fleet, instance, |it| it.catalogue.rejected.is_some()).await;
        let rejected = status.catalogue.rejected.expect("a rejection");
        assert_eq!(status.catalogue.revision, 1);
        assert_eq!(rejected.revision, 2);
        let finding = rejected.findings.iter().find(|it| it.contains("ownr"));
        assert!(finding.is_some_and(|it| it.contains("did you mean `owner`?")));
        let page = metrics(&fleet, instance).await;
        assert!(page.contains("events_total{event=\"catalogue_rejected\"} 1\n"));
        assert!(page.contains("oriolemux_catalogue_revision 1\n"), "{page}");
    }
    fleet.catalogue.revision = 2;
    fleet.publish_catalogue().await.expect("published");

    for instance in 0..2 {
        let status = wait_for_status(&fleet, instance, |it| it.catalogue.revision == 3).await;
        assert_eq!(status.catalogue.rejected, None);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_measured_and_refusals_counted() {
    let fleet = fleet().await;
    let instance = &fleet.instances[0];
    let call = CompletionCall {
        entry: VERDICT.to_owned(),
        prompt: "may this be sung #len=5".to_owned(),
        max_tokens: None,
        stream: true,
        idempotency_key: None,
        ticket: None,
        patience_ms: None,
        leave_after: None,
    };
    let unknown = CompletionCall {
        entry: "no-such-entry".to_owned(),
        ..call.clone()
    };
    let caller = Caller::new(SCHOOL_KEY).expect("a client");
    let stranger = Caller::new("a key that no workspace holds").expect("a client");

    let received = caller.complete(instance.callers, &call).await;
    let refused = caller.complete(instance.callers, &unknown).await;
    let turned_away = stranger.complete(instance.callers, &call).await;

    assert!(received.is_complete(), "{:?}", received.ending);
    assert!(!refused.is_complete() && !turned_away.is_complete());
    let page = metrics(&fleet, 0).await;
    for line in [
        "oriolemux_requests_total 3\n",
        "oriolemux_completed_total 1\n",
        "oriolemux_tokens_delivered_total 5\n",
        "oriolemux_first_token_seconds_count 1\n",
        "oriolemux_wait_seconds_count 1\n",
        "oriolemux_refusals_total{reason=\"unknown_entry\"} 1\n",
        "oriolemux_refusals_total{reason=\"bad_key\"} 1\n",
        "oriolemux_ready 1\n",
    ] {
        assert!(page.contains(line), "{line} not in {page}");
    }
}

/// Symptom: a case of faults finds that every request through one instance broke, and that the
/// instance ended with 3. Sequence: two instances drew the same port for operators; the second
/// found it taken and ended; the first answered in its place that it was ready, and the fleet
/// was not started anew. Cause: readiness was asked before the process was looked at, and who
/// answered was not.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_ended_is_not_ready_though_another_answers_at_its_port() {
    let mut fleet = fleet().await;
    fleet.instances[1].operators = fleet.instances[0].operators;
    let (address, name) = (
        fleet.instances[1].operators,
        fleet.instances[1].name.clone(),
    );
    let other_answers = fleet.operators.is_ready(address, &name).await;
    fleet.instances[1].child.kill();

    let ready = fleet.ready(1).await;

    assert!(!other_answers, "the answer names another instance");
    assert!(ready.is_err(), "its process has ended");
}
