//! A second attempt of the same request: replay, buffered delivery and restart.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use caller::{body, completion, exchange, serve};
use endpoint::{FakeEndpoint, ScriptedResponse, full_response, generation, stream, token};
use node::{Decision, FakeNode, Plan, attempt_id, plan};
use oriolemux_core::event::{AttemptMode, DeliveryMode};
use oriolemux_core::{Reason, Verdict};

const STREAM: &str = r#"{"model":"plans","prompt":"Draft a plan","stream":true}"#;
const FULL: &str = r#"{"model":"plans","prompt":"Draft a plan"}"#;

/// A first endpoint that sends one token, closes the connection and loses the generation.
async fn broken() -> FakeEndpoint {
    let script = vec![stream(&token(&attempt_id(1), 0, "one")), lost()];
    FakeEndpoint::start(script).await
}

fn lost() -> ScriptedResponse {
    full_response("404 Not Found", "", "")
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

fn count(response: &str, text: &str) -> usize {
    body(response)
        .matches(&format!("\"text\":\"{text}\""))
        .count()
}

#[tokio::test]
async fn continues_on_another_endpoint_if_the_replay_matches() {
    let (first, second) = (broken().await, second(&["one", "two"]).await);
    let script = vec![
        Decision::Dispatch(plan(first.address)),
        Decision::Dispatch(replay(&second)),
    ];
    let node = FakeNode::start(script);
    let address = serve(&node).await;

    let response = exchange(address, completion(STREAM)).await;

    assert_eq!(
        (count(&response, "one"), count(&response, "two")),
        (1, 1),
        "{response}"
    );
    assert!(response.ends_with("data: [DONE]\n\n"), "{response}");
}

/// Guards against joining two different generations. The endpoint dies after some tokens, and the
/// request runs again on another endpoint, which generates another text. Without a comparison,
/// the second text would be appended to the first.
#[tokio::test]
async fn stops_if_the_replay_diverges() {
    let (first, mut second) = (broken().await, second(&["other", "two"]).await);
    let script = vec![
        Decision::Dispatch(plan(first.address)),
        Decision::Dispatch(replay(&second)),
        Decision::Finish(Verdict::partial(Reason::ReplayDiverged, 1)),
    ];
    let node = FakeNode::start(script);
    let address = serve(&node).await;

    let response = exchange(address, completion(STREAM)).await;

    assert_eq!(
        (count(&response, "one"), count(&response, "two")),
        (1, 0),
        "{response}"
    );
    assert!(
        response.contains("\"reason\":\"replay_diverged\""),
        "{response}"
    );
    second.request().await;
    let cancel = second.request().await;
    assert!(
        cancel.starts_with(&format!("DELETE /v1/completions/{}", attempt_id(2))),
        "{cancel}"
    );
}

#[tokio::test]
async fn restarts_if_nothing_was_delivered() {
    let (first, second) = (broken().await, second(&["uno", "due"]).await);
    let buffered = |endpoint: &FakeEndpoint| Plan {
        delivery: DeliveryMode::Whole,
        ..plan(endpoint.address)
    };
    let script = vec![
        Decision::Dispatch(buffered(&first)),
        Decision::Dispatch(buffered(&second)),
    ];
    let node = FakeNode::start(script);
    let address = serve(&node).await;

    let response = exchange(address, completion(FULL)).await;

    assert!(
        body(&response).contains("\"text\":\"unodue\""),
        "{response}"
    );
}

#[tokio::test]
async fn streams_a_buffered_delivery_only_when_complete() {
    let (first, second) = (broken().await, second(&["uno", "due"]).await);
    let buffered = |endpoint: &FakeEndpoint| Plan {
        delivery: DeliveryMode::Whole,
        ..plan(endpoint.address)
    };
    let script = vec![
        Decision::Dispatch(buffered(&first)),
        Decision::Dispatch(buffered(&second)),
    ];
    let node = FakeNode::start(script);
    let address = serve(&node).await;

    let response = exchange(address, completion(STREAM)).await;

    assert_eq!(count(&response, "one"), 0, "{response}");
    assert_eq!(
        (count(&response, "uno"), count(&response, "due")),
        (1, 1),
        "{response}"
    );
}

/// A generation whose response head never arrived may be running, so the relay tries to resume it
/// before anything is sent again.
#[tokio::test]
async fn resumes_a_generation_whose_response_never_started() {
    let no_response = ScriptedResponse {
        bytes: Vec::new(),
        then: endpoint::Then::Close,
    };
    let complete = stream(&generation(&attempt_id(1), &["one"]));
    let mut endpoint = FakeEndpoint::start(vec![no_response, complete]).await;
    let node = FakeNode::start(vec![Decision::Dispatch(plan(endpoint.address))]);
    let address = serve(&node).await;

    let response = exchange(address, completion(STREAM)).await;

    assert_eq!(count(&response, "one"), 1, "{response}");
    endpoint.request().await;
    let resume = endpoint.request().await;
    assert!(resume.starts_with("GET /v1/completions/"), "{resume}");
    assert!(!resume.contains("last-event-id"), "{resume}");
}
