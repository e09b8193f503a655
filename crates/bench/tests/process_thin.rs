//! The whole path, end to end through real processes.

use oriolemux_bench::fleet::catalogue::{PLAN, SCHOOL_KEY};
use oriolemux_bench::fleet::{Fleet, Plan};
use oriolemux_bench::load::{Caller, CompletionCall, Received};
use oriolemux_bench::standins::text::{self, Sampling};
use rstest::rstest;
use std::path::Path;

const TOKENS: u32 = 200;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_oriolemux-bench"))
}

async fn fleet(instances: usize) -> Fleet {
    let plan = Plan::default().with_instances(instances).with_engines(2);
    let mut fleet = Fleet::start(plan, program()).await.expect("starts");
    fleet.all_ready().await.expect("every instance serves");
    fleet
}

fn call(stream: bool) -> CompletionCall {
    CompletionCall {
        entry: PLAN.to_owned(),
        prompt: format!("a tailoring plan #len={TOKENS}"),
        max_tokens: None,
        stream,
        idempotency_key: None,
        ticket: None,
        patience_ms: None,
        leave_after: None,
    }
}

/// Returns what the engine generates for `call`.
fn generated(call: &CompletionCall) -> String {
    let seed = Sampling::Greedy.seed(oriolemux_bench::fleet::list::MODEL, &call.prompt, "");
    text::prefix(seed, TOKENS)
}

async fn send(fleet: &Fleet, instance: usize, call: &CompletionCall) -> Received {
    let caller = Caller::new(SCHOOL_KEY).expect("a client");
    let address = fleet.instances[instance].callers;
    caller.complete(address, call).await
}

#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_completion_arrives_as_the_engine_generated_it(#[case] stream: bool) {
    let fleet = fleet(3).await;
    let call = call(stream);

    for instance in 0..3 {
        let received = send(&fleet, instance, &call).await;

        assert!(received.is_complete(), "{:?}", received.ending);
        assert_eq!(received.text, generated(&call));
        assert!(received.indexes_in_order && received.ids_match);
    }
}
