//! Endpoints that send invalid responses: each case gives a typed error, no invalid token reaches
//! the caller, and no valid token is lost.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use caller::{body, completion, exchange, serve};
use endpoint::{
    FakeEndpoint, ScriptedResponse, Then, end, full_response, generation, stream, stream_head,
    token,
};
use node::{Decision, FakeNode, attempt_id, plan};
use oriolemux_core::event::AttemptUpdate;
use oriolemux_core::outcome::Ran;
use oriolemux_core::{Reason, Verdict};
use rstest::rstest;
use serde_json::Value;

const REQUEST: &str = r#"{"model":"plans","prompt":"Draft a plan","stream":true}"#;

/// The response of an engine that no longer has the generation.
fn lost() -> ScriptedResponse {
    full_response("404 Not Found", "", "")
}

fn attempt() -> String {
    attempt_id(1)
}

/// Runs a request against an endpoint that responds by `script`, and returns the caller's
/// response and the last report on the attempt.
async fn run(script: Vec<ScriptedResponse>) -> (String, AttemptUpdate) {
    let endpoint = FakeEndpoint::start(script).await;
    let failed = Verdict::partial(Reason::GenerationLost, 1);
    let script = vec![
        Decision::Dispatch(plan(endpoint.address)),
        Decision::Finish(failed),
    ];
    let mut node = FakeNode::start(script);
    let address = serve(&node).await;
    let response = exchange(address, completion(REQUEST)).await;
    (response, node.last_update().await)
}

/// Returns the texts of the tokens that a caller received.
fn texts(response: &str) -> Vec<String> {
    let data = body(response)
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let json = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    json.filter(|chunk| chunk["token_index"].is_u64())
        .map(|chunk| chunk["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect()
}

#[rstest]
#[case::not_an_event("what is this\n\n".to_owned())]
#[case::broken_json(format!("data: {{\"id\":\"{}\",\n\n", attempt()))]
#[case::no_index(format!("data: {{\"id\":\"{}\",\"text\":\"x\"}}\n\n", attempt()))]
#[case::neither_token_nor_end(format!("data: {{\"id\":\"{}\",\"index\":1}}\n\n", attempt()))]
#[case::both_token_and_end(format!(
    "data: {{\"id\":\"{}\",\"index\":1,\"text\":\"x\",\"finish_reason\":\"stop\"}}\n\n", attempt()
))]
#[case::index_differs_from_id(format!(
    "id: {0}:2\ndata: {{\"id\":\"{0}\",\"index\":1,\"text\":\"x\"}}\n\n", attempt()
))]
#[case::lone_surrogate(token(&attempt(), 1, "\\ud83d"))]
#[case::raw_control_character(token(&attempt(), 1, "\u{1}"))]
#[case::unknown_finish(format!(
    "data: {{\"id\":\"{}\",\"index\":1,\"finish_reason\":\"bored\"}}\n\n", attempt()
))]
#[case::endless_event(format!("data: {}", "x".repeat(80_000)))]
#[case::end_too_early(end(&attempt(), 0))]
#[case::token_of_another_request(token("r-1-2-9.1", 1, "secret"))]
#[case::end_of_another_request(end("r-1-2-9.1", 1))]
#[case::gap(token(&attempt(), 2, "x"))]
#[case::end_after_a_gap(end(&attempt(), 3))]
#[case::half_an_event(token(&attempt(), 1, "half")[..20].to_owned())]
#[case::no_end_mark(String::new())]
#[case::only_done("data: [DONE]\n\n".to_owned())]
#[tokio::test]
async fn resumes_after_bad_bytes(#[case] bad: String) {
    let first = token(&attempt(), 0, "one");
    let rest = token(&attempt(), 1, "two") + &end(&attempt(), 2);

    let (response, update) = run(vec![stream(&(first + &bad)), stream(&rest)]).await;

    assert_eq!(texts(&response), ["one", "two"], "{response}");
    assert!(response.ends_with("data: [DONE]\n\n"), "{response}");
    let complete = AttemptUpdate::Complete {
        tokens: 2,
        prompt_tokens: Some(3),
    };
    assert_eq!(update, complete);
}

#[tokio::test]
async fn resumes_after_invalid_utf8() {
    let mut bad = stream(&token(&attempt(), 0, "one"));
    bad.bytes
        .extend_from_slice(b"data: {\"text\":\"\xc3\x28\"}\n\n");
    let rest = token(&attempt(), 1, "two") + &end(&attempt(), 2);

    let (response, _) = run(vec![bad, stream(&rest)]).await;

    assert_eq!(texts(&response), ["one", "two"], "{response}");
}

#[tokio::test]
async fn drops_duplicates() {
    let events = token(&attempt(), 0, "one")
        + &token(&attempt(), 0, "one")
        + &token(&attempt(), 1, "two")
        + &token(&attempt(), 0, "one")
        + &end(&attempt(), 2);

    let (response, _) = run(vec![stream(&events)]).await;

    assert_eq!(texts(&response), ["one", "two"], "{response}");
}

#[rstest]
#[case::json("content-type: application/json\r\n")]
#[case::none("")]
#[tokio::test]
async fn ignores_a_response_of_another_content_type(#[case] headers: &str) {
    let body = generation(&attempt(), &["one"]);

    let (response, update) = run(vec![full_response("200 OK", headers, &body), lost()]).await;

    assert_eq!(texts(&response), Vec::<String>::new(), "{response}");
    let failed = AttemptUpdate::Failed {
        reason: Reason::GenerationLost,
        ran: Ran::Maybe,
        delivered: 0,
        retry_after: None,
    };
    assert_eq!(update, failed);
}

#[tokio::test]
async fn ends_with_an_error_event_that_counts_delivered_tokens() {
    let (response, update) = run(vec![stream(&token(&attempt(), 0, "one")), lost()]).await;

    assert_eq!(texts(&response), ["one"]);
    let (_, event) = body(&response)
        .split_once("event: error\ndata: ")
        .expect("an error event");
    let error: Value = serde_json::from_str(event.trim_end()).unwrap();
    assert_eq!(error["error"]["outcome"], "partial");
    assert_eq!(error["error"]["reason"], "generation_lost");
    assert_eq!(error["error"]["delivered"], 1);
    assert!(!response.contains("[DONE]"), "{response}");
    let failed = AttemptUpdate::Failed {
        reason: Reason::GenerationLost,
        ran: Ran::Maybe,
        delivered: 1,
        retry_after: None,
    };
    assert_eq!(update, failed);
}

#[tokio::test]
async fn reports_an_error_event_of_the_engine() {
    let events =
        token(&attempt(), 0, "one") + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n";

    let (_, update) = run(vec![stream(&events)]).await;

    let failed = AttemptUpdate::Failed {
        reason: Reason::EndpointError,
        ran: Ran::Maybe,
        delivered: 1,
        retry_after: None,
    };
    assert_eq!(update, failed);
}

/// Guards against a caller that waits until its own timeout. The connection to the endpoint
/// stalls in the middle of a stream, which looks like a slow engine; a read without a timeout
/// would wait on.
#[tokio::test]
async fn resumes_when_the_endpoint_stalls() {
    let mut silent = stream(&token(&attempt(), 0, "one"));
    silent.then = Then::Hang;
    let rest = token(&attempt(), 1, "two") + &end(&attempt(), 2);
    let endpoint = FakeEndpoint::start(vec![silent, stream(&rest)]).await;
    let mut plan = plan(endpoint.address);
    plan.stall_limit = std::time::Duration::from_millis(200);
    let node = FakeNode::start(vec![Decision::Dispatch(plan)]);
    let address = serve(&node).await;

    let response = exchange(address, completion(REQUEST)).await;

    assert_eq!(texts(&response), ["one", "two"], "{response}");
}

#[tokio::test]
async fn resumes_after_the_last_index() {
    let head = stream_head() + &token(&attempt(), 0, "one");
    let cut = ScriptedResponse {
        bytes: head.into_bytes(),
        then: Then::Close,
    };
    let rest = stream(&(token(&attempt(), 1, "two") + &end(&attempt(), 2)));
    let mut endpoint = FakeEndpoint::start(vec![cut, rest]).await;
    let node = FakeNode::start(vec![Decision::Dispatch(plan(endpoint.address))]);
    let address = serve(&node).await;

    exchange(address, completion(REQUEST)).await;

    endpoint.request().await;
    let resume = endpoint.request().await;
    assert!(resume.starts_with(&format!("GET /v1/completions/{} HTTP/1.1\r\n", attempt())));
    assert!(
        resume.contains(&format!("last-event-id: {}:0\r\n", attempt())),
        "{resume}"
    );
}
