//! The stand-ins keep the protocols that `docs/INTERFACES.md` lists, and show
//! the faults that they are asked for.

use oriolemux_bench::load::sse;
use oriolemux_bench::process::child::Child;
use oriolemux_bench::standins::admin::Admin;
use oriolemux_bench::standins::engine::fault::{Fault, FaultRule};
use oriolemux_bench::standins::journal::{self, Ending, Fact};
use oriolemux_bench::standins::platform::Mode;
use oriolemux_bench::standins::text::{self, Sampling};
use rstest::rstest;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(30);

struct StandIn {
    _child: Child,
    address: SocketAddr,
    dir: tempfile::TempDir,
}

fn start(args: &[&str]) -> StandIn {
    let dir = tempfile::tempdir().expect("a directory");
    let journal = dir.path().join("journal");
    let mut args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
    if args[0] != "platform" {
        args.extend(["--journal".to_owned(), journal.display().to_string()]);
    }
    let program = Path::new(env!("CARGO_BIN_EXE_oriolemux-bench"));
    let log = dir.path().join("log");
    let (child, address) = Child::start_listening("stand-in", program, args, &log).expect("starts");
    StandIn {
        _child: child,
        address,
        dir,
    }
}

fn engine(extra: &[&str]) -> StandIn {
    let mut args = vec!["engine", "--model", "m", "--step-ms", "2"];
    args.extend(extra);
    start(&args)
}

fn completion(attempt: &str, prompt: &str) -> Value {
    json!({
        "model": "m", "prompt": prompt, "max_tokens": 1000, "stream": true,
        "priority": 1, "request_id": "r-1-1-1", "attempt_id": attempt,
    })
}

async fn post(engine: &StandIn, body: &Value) -> reqwest::Response {
    let url = format!("http://{}/v1/completions", engine.address);
    let sent = reqwest::Client::new().post(url).json(body).send();
    tokio::time::timeout(LIMIT, sent)
        .await
        .expect("in time")
        .expect("answered")
}

/// Reads events until the stream ends; the flag says whether it was cut.
async fn read(mut response: reqwest::Response) -> (Vec<sse::Event>, bool) {
    let mut parser = sse::Parser::default();
    let mut events = Vec::new();
    loop {
        let chunk = tokio::time::timeout(LIMIT, response.chunk())
            .await
            .expect("in time");
        let end = match chunk {
            Ok(Some(bytes)) => {
                parser.push(&bytes);
                None
            }
            Ok(None) => Some(false),
            Err(_) => Some(true),
        };
        events.extend(std::iter::from_fn(|| parser.next_event()));
        if let Some(cut) = end {
            return (events, cut);
        }
    }
}

fn texts(events: &[sse::Event]) -> String {
    let values = events
        .iter()
        .filter_map(|event| serde_json::from_str::<Value>(&event.data).ok());
    values
        .filter_map(|value| value["text"].as_str().map(str::to_owned))
        .collect()
}

fn fault(fault: Fault, after: u32) -> FaultRule {
    FaultRule {
        fault,
        times: 1,
        after,
        prompt_contains: String::new(),
    }
}

#[tokio::test]
async fn a_whole_stream_has_each_token_once_and_an_end_mark() {
    let engine = engine(&[]);
    let (events, cut) = read(post(&engine, &completion("a.1", "hello #len=12")).await).await;
    assert!(!cut);
    assert_eq!(events.len(), 14);
    assert_eq!(events[0].id, "a.1:0");
    let seed = Sampling::Greedy.seed("m", "hello #len=12", "a.1");
    assert_eq!(texts(&events), text::prefix(seed, 12));
    let end: Value = serde_json::from_str(&events[12].data).expect("an end event");
    assert_eq!(end["finish_reason"], "stop");
    assert_eq!(end["usage"]["completion_tokens"], 12);
    assert_eq!(events[13].data, "[DONE]");
}

#[tokio::test]
async fn greedy_text_is_the_same_for_each_attempt_and_random_text_is_not() {
    let engine = engine(&["--sampling", "random"]);
    let (first, _) = read(post(&engine, &completion("a.1", "hello #len=5")).await).await;
    let (second, _) = read(post(&engine, &completion("a.2", "hello #len=5")).await).await;
    assert_ne!(texts(&first), texts(&second));
    let greedy = Sampling::Greedy;
    assert_eq!(greedy.seed("m", "p", "a.1"), greedy.seed("m", "p", "a.2"));
}

#[tokio::test]
async fn a_cut_stream_is_resumed_where_it_broke() {
    let engine = engine(&[]);
    let admin = Admin::new().expect("a client");
    admin
        .engine_fault(engine.address, &fault(Fault::Cut, 4))
        .await
        .expect("told");
    let (before, cut) = read(post(&engine, &completion("a.1", "hello #len=9")).await).await;
    assert!(cut);
    let url = format!("http://{}/v1/completions/a.1", engine.address);
    let last = &before.last().expect("some tokens").id;
    let resumed = reqwest::Client::new()
        .get(url)
        .header("Last-Event-ID", last)
        .send()
        .await;
    let (after, cut) = read(resumed.expect("answered")).await;
    assert!(!cut);
    let seed = Sampling::Greedy.seed("m", "hello #len=9", "a.1");
    assert_eq!(texts(&before) + &texts(&after), text::prefix(seed, 9));
}

#[tokio::test]
async fn a_generation_that_nobody_hears_ends_after_its_grace_and_is_lost() {
    let engine = engine(&["--grace-ms", "50"]);
    let admin = Admin::new().expect("a client");
    admin
        .engine_fault(engine.address, &fault(Fault::Cut, 1))
        .await
        .expect("told");
    read(post(&engine, &completion("a.1", "hello #len=100000")).await).await;
    let ended = |entry: &journal::Entry| {
        matches!(
            entry.fact,
            Fact::Ended {
                how: Ending::Abandoned,
                ..
            }
        )
    };
    while !admin
        .record(engine.address)
        .await
        .expect("a record")
        .iter()
        .any(ended)
    {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let url = format!("http://{}/v1/completions/a.1", engine.address);
    let resumed = reqwest::get(url).await.expect("answered");
    assert_eq!(resumed.status(), 404);
}

#[rstest]
#[case(Fault::RefuseBusy, 429, "busy")]
#[case(Fault::RefuseLeaving, 503, "leaving")]
#[tokio::test]
async fn a_definite_refusal_runs_nothing(
    #[case] kind: Fault,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let engine = engine(&[]);
    let admin = Admin::new().expect("a client");
    admin
        .engine_fault(engine.address, &fault(kind, 0))
        .await
        .expect("told");
    let response = post(&engine, &completion("a.1", "hello")).await;
    assert_eq!(response.status(), status);
    let body: Value = response.json().await.expect("JSON");
    assert_eq!(
        body,
        json!({"error": {"reason": reason, "outcome": "not_run"}})
    );
    let record = admin.record(engine.address).await.expect("a record");
    assert!(
        !record
            .iter()
            .any(|entry| matches!(entry.fact, Fact::Accepted { .. }))
    );
}

#[rstest]
#[case(Fault::Garbage, false)]
#[case(Fault::HalfFrame, true)]
#[case(Fault::NoEndMark, false)]
#[case(Fault::OtherId, false)]
#[case(Fault::DuplicateToken, false)]
#[case(Fault::ReorderedToken, false)]
#[case(Fault::Lose, true)]
#[tokio::test]
async fn each_fault_breaks_the_stream(#[case] kind: Fault, #[case] cuts: bool) {
    let engine = engine(&[]);
    let admin = Admin::new().expect("a client");
    let (sound, _) = read(post(&engine, &completion("a.1", "hello #len=9")).await).await;
    admin
        .engine_fault(engine.address, &fault(kind, 3))
        .await
        .expect("told");
    let (broken, cut) = read(post(&engine, &completion("a.1.2", "hello #len=9")).await).await;
    assert_eq!(cut, cuts);
    let renamed: Vec<_> = broken
        .iter()
        .map(|e| e.data.replace("a.1.2", "a.1"))
        .collect();
    let sound: Vec<_> = sound.iter().map(|e| e.data.clone()).collect();
    assert_ne!(renamed, sound);
}

#[tokio::test]
async fn memory_that_fills_preempts_the_least_urgent_and_it_still_ends_whole() {
    let engine = engine(&["--kv-tokens", "64", "--max-running", "4"]);
    let urgent = completion("a.1", "#len=40");
    let mut idle = completion("b.1", "other #len=40");
    idle["priority"] = json!(9);
    let (urgent, idle) = tokio::join!(async { read(post(&engine, &urgent).await).await }, async {
        read(post(&engine, &idle).await).await
    },);
    let seed = |prompt| Sampling::Greedy.seed("m", prompt, "");
    assert_eq!(texts(&urgent.0), text::prefix(seed("#len=40"), 40));
    assert_eq!(texts(&idle.0), text::prefix(seed("other #len=40"), 40));
    let journal = journal::read(&engine.dir.path().join("journal")).expect("a journal");
    let preempted = |entry: &journal::Entry| {
        entry.fact
            == Fact::Preempted {
                attempt: "b.1".to_owned(),
            }
    };
    assert!(journal.iter().any(preempted));
}

#[rstest]
#[case("checked", 409)]
#[case("ignored", 202)]
#[case("unchecked", 202)]
#[tokio::test]
async fn an_old_fencing_number_is_treated_as_configured(#[case] mode: &str, #[case] status: u16) {
    let engine = engine(&["--fencing", mode]);
    let url = format!("http://{}/v1/orders", engine.address);
    let order = |n: u64| json!({"fencing": n, "kind": "load", "model": "x", "version": "1"});
    let http = reqwest::Client::new();
    let new = http
        .post(&url)
        .json(&order(7))
        .send()
        .await
        .expect("answered");
    let old = http
        .post(&url)
        .json(&order(6))
        .send()
        .await
        .expect("answered");
    assert_eq!(new.status(), 202);
    assert_eq!(old.status(), status);
}

#[tokio::test]
async fn a_service_counts_each_execution_and_echoes_the_attempt() {
    let service = start(&["service", "--call-ms", "1"]);
    let http = reqwest::Client::new();
    let response = http
        .post(format!("http://{}/v1/call", service.address))
        .header("X-Request-Id", "r-1")
        .header("X-Attempt-Id", "r-1.1")
        .body("shirt 7")
        .send()
        .await
        .expect("answered");
    assert_eq!(response.headers()["X-Attempt-Id"], "r-1.1");
    assert_eq!(response.text().await.expect("text"), "answer to shirt 7");
    let admin = Admin::new().expect("a client");
    let record = admin.record(service.address).await.expect("a record");
    let started = record
        .iter()
        .filter(|entry| matches!(entry.fact, Fact::Accepted { .. }));
    assert_eq!(started.count(), 1);
}

#[tokio::test]
async fn a_watch_waits_for_a_higher_revision_and_counts_once() {
    let platform = start(&["platform"]);
    let admin = Admin::new().expect("a client");
    admin
        .write_value(platform.address, "instances", "one", 5)
        .await
        .expect("written");
    let url = format!("http://{}/v1/values/instances?above=5", platform.address);
    let watch = tokio::spawn(reqwest::get(url));
    while admin.calls(platform.address).await.expect("calls").watches == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    admin
        .write_value(platform.address, "instances", "two", 6)
        .await
        .expect("written");
    let value = watch.await.expect("joined").expect("answered");
    assert_eq!(value.headers()["X-Revision"], "6");
    assert_eq!(value.text().await.expect("text"), "two");
    assert_eq!(
        admin.calls(platform.address).await.expect("calls").watches,
        1
    );
}

#[tokio::test]
async fn a_stale_platform_serves_what_it_held_and_a_down_one_nothing() {
    let platform = start(&["platform"]);
    let admin = Admin::new().expect("a client");
    let url = format!("http://{}/v1/values/instances", platform.address);
    admin
        .write_value(platform.address, "instances", "one", 1)
        .await
        .expect("written");
    admin
        .set_mode(platform.address, Mode::Stale)
        .await
        .expect("set");
    admin
        .write_value(platform.address, "instances", "two", 2)
        .await
        .expect("written");
    let stale = reqwest::get(&url).await.expect("answered").text().await;
    assert_eq!(stale.expect("text"), "one");
    admin
        .set_mode(platform.address, Mode::Down)
        .await
        .expect("set");
    assert_eq!(reqwest::get(&url).await.expect("answered").status(), 503);
    admin
        .set_mode(platform.address, Mode::Well)
        .await
        .expect("set");
    let fresh = reqwest::get(&url).await.expect("answered").text().await;
    assert_eq!(fresh.expect("text"), "two");
}
