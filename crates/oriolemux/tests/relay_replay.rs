//! Another attempt of the same request: replays, whole delivery, and fresh starts.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use caller::{body, completion, exchange, serve};
use endpoint::{Answer, FakeEndpoint, generation, stream, token, whole};
use node::{Decision, FakeNode, Plan, attempt_id, plan};
use oriolemux_core::event::{AttemptMode, DeliveryMode};
use oriolemux_core::{Reason, Verdict};

const STREAM: &str = r#"{"model":"plans","prompt":"Draft a plan","stream":true}"#;
const WHOLE: &str = r#"{"model":"plans","prompt":"Draft a plan"}"#;

/// A first endpoint that sends one token, breaks off and forgets.
async fn broken() -> FakeEndpoint {
    let script = vec![stream(&token(&attempt_id(1), 0, "one")), lost()];
    FakeEndpoint::start(script).await
}

fn lost() -> Answer {
    whole("404 Not Found", "", "")
}

async fn second(texts: &[&str]) -> FakeEndpoint {
    FakeEndpoint::start(vec![stream(&generation(&attempt_id(2), texts))]).await
}

fn replay(endpoint: &FakeEndpoint) -> Plan {
    Plan {
        mode: AttemptMode::Replay { delivered: 1 },
        ..plan(endpoint.address)
    }
}

fn count(answer: &str, text: &str) -> usize {
    body(answer)
        .matches(&format!("\"text\":\"{text}\""))
        .count()
}

#[tokio::test]
async fn goes_on_elsewhere_if_the_replay_is_equal() {
    let (first, second) = (broken().await, second(&["one", "two"]).await);
    let script = vec![
        Decision::Dispatch(plan(first.address)),
        Decision::Dispatch(replay(&second)),
    ];
    let node = FakeNode::start(script);
    let address = serve(&node).await;

    let answer = exchange(address, completion(STREAM)).await;

    assert_eq!(
        (count(&answer, "one"), count(&answer, "two")),
        (1, 1),
        "{answer}"
    );
    assert!(answer.ends_with("data: [DONE]\n\n"), "{answer}");
}

/// Symptom: a caller's plan began as one text and went on as another.
/// Sequence: the endpoint died after some tokens; the request ran again
/// elsewhere and generated something else.
/// Cause: the second generation was appended to the first without comparing.
#[tokio::test]
async fn stops_if_the_replay_differs() {
    let (first, mut second) = (broken().await, second(&["other", "two"]).await);
    let script = vec![
        Decision::Dispatch(plan(first.address)),
        Decision::Dispatch(replay(&second)),
        Decision::Finish(Verdict::partial(Reason::ReplayDiverged, 1)),
    ];
    let node = FakeNode::start(script);
    let address = serve(&node).await;

    let answer = exchange(address, completion(STREAM)).await;

    assert_eq!(
        (count(&answer, "one"), count(&answer, "two")),
        (1, 0),
        "{answer}"
    );
    assert!(
        answer.contains("\"reason\":\"replay_diverged\""),
        "{answer}"
    );
    second.request().await;
    let cancel = second.request().await;
    assert!(
        cancel.starts_with(&format!("DELETE /v1/completions/{}", attempt_id(2))),
        "{cancel}"
    );
}

#[tokio::test]
async fn starts_afresh_if_nothing_was_delivered() {
    let (first, second) = (broken().await, second(&["uno", "due"]).await);
    let whole = |endpoint: &FakeEndpoint| Plan {
        delivery: DeliveryMode::Whole,
        ..plan(endpoint.address)
    };
    let script = vec![
        Decision::Dispatch(whole(&first)),
        Decision::Dispatch(whole(&second)),
    ];
    let node = FakeNode::start(script);
    let address = serve(&node).await;

    let answer = exchange(address, completion(WHOLE)).await;

    assert!(body(&answer).contains("\"text\":\"unodue\""), "{answer}");
}

#[tokio::test]
async fn streams_a_whole_delivery_only_when_it_is_complete() {
    let (first, second) = (broken().await, second(&["uno", "due"]).await);
    let whole = |endpoint: &FakeEndpoint| Plan {
        delivery: DeliveryMode::Whole,
        ..plan(endpoint.address)
    };
    let script = vec![
        Decision::Dispatch(whole(&first)),
        Decision::Dispatch(whole(&second)),
    ];
    let node = FakeNode::start(script);
    let address = serve(&node).await;

    let answer = exchange(address, completion(STREAM)).await;

    assert_eq!(count(&answer, "one"), 0, "{answer}");
    assert_eq!(
        (count(&answer, "uno"), count(&answer, "due")),
        (1, 1),
        "{answer}"
    );
}

/// A generation whose head never came may run all the same, so it is asked
/// for before anything is sent again.
#[tokio::test]
async fn resumes_a_generation_whose_answer_never_began() {
    let no_answer = Answer {
        bytes: Vec::new(),
        then: endpoint::Then::Close,
    };
    let whole = stream(&generation(&attempt_id(1), &["one"]));
    let mut endpoint = FakeEndpoint::start(vec![no_answer, whole]).await;
    let node = FakeNode::start(vec![Decision::Dispatch(plan(endpoint.address))]);
    let address = serve(&node).await;

    let answer = exchange(address, completion(STREAM)).await;

    assert_eq!(count(&answer, "one"), 1, "{answer}");
    endpoint.request().await;
    let resume = endpoint.request().await;
    assert!(resume.starts_with("GET /v1/completions/"), "{resume}");
    assert!(!resume.contains("last-event-id"), "{resume}");
}
