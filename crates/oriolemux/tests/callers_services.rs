//! Calls of plain services.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use caller::{body, exchange, post, serve};
use endpoint::{FakeEndpoint, ScriptedResponse, Then, full_response};
use node::{Decision, FakeNode, Plan, Received, attempt_id, plan};
use oriolemux_core::event::{AttemptUpdate, DeliveryMode, Work};
use oriolemux_core::outcome::Ran;
use oriolemux_core::{Reason, Verdict};
use rstest::rstest;

const HEADERS: &str =
    "authorization: Bearer wren\r\ncontent-type: text/plain\r\nidempotency-key: order-7\r\n";

fn call_plan(endpoint: &FakeEndpoint) -> Plan {
    Plan {
        model: "",
        delivery: DeliveryMode::Whole,
        idempotent: false,
        ..plan(endpoint.address)
    }
}

fn response_of(attempt: &str) -> ScriptedResponse {
    let headers = format!("content-type: text/csv\r\nx-attempt-id: {attempt}\r\n");
    full_response("200 OK", &headers, "lot,7\n")
}

#[tokio::test]
async fn forwards_a_service_response() {
    let mut endpoint = FakeEndpoint::start(vec![response_of(&attempt_id(1))]).await;
    let mut node = FakeNode::start(vec![Decision::Dispatch(call_plan(&endpoint))]);
    let address = serve(&node).await;

    let response = exchange(address, post("/v1/services/stock", HEADERS, "lot 7")).await;

    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert!(
        response.contains("content-type: text/csv\r\n"),
        "{response}"
    );
    assert_eq!(body(&response), "lot,7\n");
    let call = endpoint.request().await;
    assert!(call.starts_with("POST /v1/call HTTP/1.1\r\n"), "{call}");
    assert!(call.contains("x-request-id: r-0000000000000001-0000000000000002-1\r\n"));
    assert!(call.contains(&format!("x-attempt-id: {}\r\n", attempt_id(1))));
    assert!(call.contains("content-type: text/plain\r\n"));
    assert!(call.ends_with("\r\n\r\nlot 7"), "{call}");
    let Received::Arrival(arrival) = node.received().await else {
        panic!("an arrival");
    };
    assert_eq!(arrival.entry, "stock");
    assert_eq!(arrival.idempotency_key.as_deref(), Some("order-7"));
    assert!(matches!(arrival.work, Work::Call));
}

/// Guards against a caller that receives the response to another caller's request: a service mixes
/// up two responses, so the connection alone does not identify the request.
#[rstest]
#[case::another(response_of("r-1-2-9.1"))]
#[case::none(full_response("200 OK", "", "lot,9\n"))]
#[tokio::test]
async fn does_not_forward_a_response_to_another_call(#[case] crossed: ScriptedResponse) {
    let endpoint = FakeEndpoint::start(vec![crossed]).await;
    let script = vec![
        Decision::Dispatch(call_plan(&endpoint)),
        Decision::Finish(Verdict::unknown(Reason::WrongAttempt)),
    ];
    let mut node = FakeNode::start(script);
    let address = serve(&node).await;

    let response = exchange(address, post("/v1/services/stock", HEADERS, "lot 7")).await;

    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(
        body(&response).contains("\"outcome\":\"unknown\""),
        "{response}"
    );
    assert!(!body(&response).contains("lot"), "{response}");
    let failed = AttemptUpdate::Failed {
        reason: Reason::WrongAttempt,
        ran: Ran::Maybe,
        delivered: 0,
        retry_after: None,
    };
    assert_eq!(node.last_update().await, failed);
}

#[tokio::test]
async fn does_not_forward_a_truncated_response() {
    let attempt = attempt_id(1);
    let half = ScriptedResponse {
        bytes: format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {attempt}\r\ncontent-length: 9\r\n\r\nlot"
        )
        .into_bytes(),
        then: Then::Close,
    };
    let endpoint = FakeEndpoint::start(vec![half]).await;
    let script = vec![
        Decision::Dispatch(call_plan(&endpoint)),
        Decision::Finish(Verdict::unknown(Reason::ConnectionLost)),
    ];
    let mut node = FakeNode::start(script);
    let address = serve(&node).await;

    let response = exchange(address, post("/v1/services/stock", HEADERS, "lot 7")).await;

    assert!(
        body(&response).contains("\"outcome\":\"unknown\""),
        "{response}"
    );
    let failed = AttemptUpdate::Failed {
        reason: Reason::ConnectionLost,
        ran: Ran::Maybe,
        delivered: 0,
        retry_after: None,
    };
    assert_eq!(node.last_update().await, failed);
}

#[tokio::test]
async fn accepts_a_call_without_a_body() {
    let endpoint = FakeEndpoint::start(vec![response_of(&attempt_id(1))]).await;
    let node = FakeNode::start(vec![Decision::Dispatch(call_plan(&endpoint))]);
    let address = serve(&node).await;

    let response = exchange(address, post("/v1/services/stock", HEADERS, "")).await;

    assert_eq!(body(&response), "lot,7\n");
}
