//! Calls of plain services.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use caller::{body, exchange, post, serve};
use endpoint::{Answer, FakeEndpoint, Then, whole};
use node::{Decision, FakeNode, Plan, Told, attempt_id, plan};
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

fn answer_of(attempt: &str) -> Answer {
    let headers = format!("content-type: text/csv\r\nx-attempt-id: {attempt}\r\n");
    whole("200 OK", &headers, "lot,7\n")
}

#[tokio::test]
async fn hands_on_a_service_answer() {
    let mut endpoint = FakeEndpoint::start(vec![answer_of(&attempt_id(1))]).await;
    let mut node = FakeNode::start(vec![Decision::Dispatch(call_plan(&endpoint))]);
    let address = serve(&node).await;

    let answer = exchange(address, post("/v1/services/stock", HEADERS, "lot 7")).await;

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.contains("content-type: text/csv\r\n"), "{answer}");
    assert_eq!(body(&answer), "lot,7\n");
    let call = endpoint.request().await;
    assert!(call.starts_with("POST /v1/call HTTP/1.1\r\n"), "{call}");
    assert!(call.contains("x-request-id: r-0000000000000001-0000000000000002-1\r\n"));
    assert!(call.contains(&format!("x-attempt-id: {}\r\n", attempt_id(1))));
    assert!(call.contains("content-type: text/plain\r\n"));
    assert!(call.ends_with("\r\n\r\nlot 7"), "{call}");
    let Told::Arrival(arrival) = node.told().await else {
        panic!("an arrival");
    };
    assert_eq!(arrival.entry, "stock");
    assert_eq!(arrival.idempotency_key.as_deref(), Some("order-7"));
    assert!(matches!(arrival.work, Work::Call));
}

/// Symptom: a desk got the answer to another desk's lookup.
/// Sequence: a service mixed up two answers.
/// Cause: an answer was believed because of the connection it came on.
#[rstest]
#[case::another(answer_of("r-1-2-9.1"))]
#[case::none(whole("200 OK", "", "lot,9\n"))]
#[tokio::test]
async fn does_not_hand_on_an_answer_to_another_call(#[case] crossed: Answer) {
    let endpoint = FakeEndpoint::start(vec![crossed]).await;
    let script = vec![
        Decision::Dispatch(call_plan(&endpoint)),
        Decision::Finish(Verdict::unknown(Reason::WrongAttempt)),
    ];
    let mut node = FakeNode::start(script);
    let address = serve(&node).await;

    let answer = exchange(address, post("/v1/services/stock", HEADERS, "lot 7")).await;

    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(
        body(&answer).contains("\"outcome\":\"unknown\""),
        "{answer}"
    );
    assert!(!body(&answer).contains("lot"), "{answer}");
    let failed = AttemptUpdate::Failed {
        reason: Reason::WrongAttempt,
        ran: Ran::Maybe,
        delivered: 0,
        retry_after: None,
    };
    assert_eq!(node.last_update().await, failed);
}

#[tokio::test]
async fn does_not_hand_on_half_an_answer() {
    let attempt = attempt_id(1);
    let half = Answer {
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

    let answer = exchange(address, post("/v1/services/stock", HEADERS, "lot 7")).await;

    assert!(
        body(&answer).contains("\"outcome\":\"unknown\""),
        "{answer}"
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
async fn takes_a_call_without_a_body() {
    let endpoint = FakeEndpoint::start(vec![answer_of(&attempt_id(1))]).await;
    let node = FakeNode::start(vec![Decision::Dispatch(call_plan(&endpoint))]);
    let address = serve(&node).await;

    let answer = exchange(address, post("/v1/services/stock", HEADERS, "")).await;

    assert_eq!(body(&answer), "lot,7\n");
}
