//! A request to an endpoint is sent once, in time, or provably not at all.

#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use endpoint::{FakeEndpoint, ScriptedResponse, Then, full_response, stream};
use node::{dispatch, plan};
use oriolemux::callers::port::Clock;
use oriolemux::endpoints::{
    CallBody, CompletionBody, EndpointFailure, EndpointProtocol, HttpProtocol, HttpSettings,
    ResponseBody, WorkBody,
};
use oriolemux_core::event::Dispatch;
use oriolemux_core::{AttemptId, Incarnation, InstanceKey, Reason, RequestId, Time};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

fn protocol() -> HttpProtocol {
    HttpProtocol::new(Clock::start(), HttpSettings::default()).unwrap()
}

fn attempt(seq: u64) -> AttemptId {
    let request = RequestId {
        instance: InstanceKey(1),
        incarnation: Incarnation(2),
        seq,
    };
    AttemptId { request, number: 1 }
}

fn call(bytes: &'static [u8]) -> WorkBody {
    WorkBody::Call(CallBody {
        content_type: None,
        bytes: bytes.into(),
    })
}

fn completion() -> WorkBody {
    WorkBody::Completion(CompletionBody {
        prompt: "Draft a plan".to_owned(),
        sampling: serde_json::Map::new(),
    })
}

fn non_idempotent(address: SocketAddr, seq: u64) -> Dispatch {
    let mut dispatch = dispatch(attempt(seq), plan(address));
    dispatch.idempotent = false;
    dispatch
}

async fn failure(protocol: &HttpProtocol, dispatch: &Dispatch, work: &WorkBody) -> EndpointFailure {
    let response = protocol.start(dispatch, work).await;
    response.map(|_| ()).expect_err("no response")
}

/// Reads a response to its end, so that its connection can be kept.
async fn read_all<B: ResponseBody>(mut body: B) {
    while let Ok(Some(_)) = body.chunk().await {}
}

/// Guards against work that runs twice. The endpoint closes a kept-alive connection just after it
/// has read the next request on it; HTTP clients resend a request by themselves when a reused
/// connection turns out to be closed.
#[tokio::test]
async fn never_resends_non_idempotent_work() {
    let kept = full_response("200 OK", "x-attempt-id: a\r\n", "1 shirt");
    let closed = ScriptedResponse {
        bytes: Vec::new(),
        then: Then::Close,
    };
    let mut endpoint = FakeEndpoint::start(vec![kept, closed.clone(), closed]).await;
    let protocol = protocol();

    let first = non_idempotent(endpoint.address, 1);
    let response = protocol.start(&first, &call(b"lot 7")).await.unwrap();
    read_all(response.body).await;
    let second = non_idempotent(endpoint.address, 2);
    let failure = failure(&protocol, &second, &call(b"lot 8")).await;

    assert_eq!(failure, EndpointFailure::Broken(Reason::ConnectionLost));
    assert!(endpoint.request().await.contains("lot 7"));
    assert!(endpoint.request().await.contains("lot 8"));
    // A client that retries would have done so before it failed.
    assert_eq!(endpoint.try_request(), None);
}

/// The same for idempotent work: a second send is a retry, and retries are counted, budgeted and
/// decided by the node.
#[tokio::test]
async fn never_resends_idempotent_work_that_was_read() {
    let kept = full_response("200 OK", "content-type: text/event-stream\r\n", "");
    let closed = ScriptedResponse {
        bytes: Vec::new(),
        then: Then::Close,
    };
    let mut endpoint = FakeEndpoint::start(vec![kept, closed.clone(), closed]).await;
    let protocol = protocol();

    let first = dispatch(attempt(1), plan(endpoint.address));
    let response = protocol.start(&first, &completion()).await.unwrap();
    read_all(response.body).await;
    let second = dispatch(attempt(2), plan(endpoint.address));
    let failure = failure(&protocol, &second, &completion()).await;

    assert_eq!(failure, EndpointFailure::Broken(Reason::ConnectionLost));
    endpoint.request().await;
    endpoint.request().await;
    assert_eq!(endpoint.try_request(), None);
}

/// Guards against work that runs twice: the endpoint runs the call and responds with 307, and HTTP
/// clients resend a request to the target of a redirect.
#[tokio::test]
async fn does_not_follow_redirects() {
    let moved = full_response("307 Temporary Redirect", "location: /v1/other\r\n", "");
    let mut endpoint = FakeEndpoint::start(vec![moved]).await;

    let dispatch = non_idempotent(endpoint.address, 1);
    let failure = failure(&protocol(), &dispatch, &call(b"lot 7")).await;

    assert_eq!(failure, EndpointFailure::Broken(Reason::EndpointError));
    endpoint.request().await;
    assert_eq!(endpoint.try_request(), None);
}

/// Guards against work that runs long after its caller was refused: the process is paused between
/// the node's decision and the send, so the deadline must be checked right before the send.
#[rstest]
#[case::a_body(&b"lot 7"[..])]
#[case::an_empty_body(&b""[..])]
#[tokio::test]
async fn sends_nothing_after_the_deadline(#[case] body: &'static [u8]) {
    let mut endpoint = FakeEndpoint::start(vec![]).await;

    let mut dispatch = non_idempotent(endpoint.address, 1);
    dispatch.send_before = Time::ZERO;
    let failure = failure(&protocol(), &dispatch, &call(body)).await;

    assert_eq!(failure, EndpointFailure::TooLate);
    assert_eq!(endpoint.try_request(), None);
}

#[tokio::test]
async fn reports_a_failed_connection() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);

    let failure = failure(&protocol(), &non_idempotent(address, 1), &call(b"lot 7")).await;

    assert_eq!(failure, EndpointFailure::NotConnected);
}

#[tokio::test]
async fn missing_response_has_unknown_outcome() {
    let hang = ScriptedResponse {
        bytes: Vec::new(),
        then: Then::Hang,
    };
    let endpoint = FakeEndpoint::start(vec![hang]).await;

    let mut dispatch = non_idempotent(endpoint.address, 1);
    dispatch.stall_limit = Duration::from_millis(100);
    let failure = failure(&protocol(), &dispatch, &call(b"lot 7")).await;

    assert_eq!(failure, EndpointFailure::Broken(Reason::Stalled));
}

#[rstest]
#[case::busy(
    "503 Service Unavailable",
    r#"{"error":{"reason":"busy","outcome":"not_run"}}"#,
    Reason::EndpointRefused
)]
#[case::rate(
    "429 Too Many Requests",
    r#"{"error":{"reason":"busy","outcome":"not_run"}}"#,
    Reason::EndpointRefused
)]
#[case::leaving(
    "503 Service Unavailable",
    r#"{"error":{"reason":"leaving","outcome":"not_run"}}"#,
    Reason::EndpointLeaving
)]
#[case::not_loaded(
    "503 Service Unavailable",
    r#"{"error":{"reason":"not_loaded","outcome":"not_run"}}"#,
    Reason::EndpointNotLoaded
)]
#[tokio::test]
async fn accepts_a_definite_refusal(
    #[case] status: &str,
    #[case] body: &str,
    #[case] reason: Reason,
) {
    let endpoint =
        FakeEndpoint::start(vec![full_response(status, "retry-after: 3\r\n", body)]).await;

    let dispatch = non_idempotent(endpoint.address, 1);
    let EndpointFailure::Refused(refusal) = failure(&protocol(), &dispatch, &completion()).await
    else {
        panic!("a refusal");
    };

    assert_eq!(refusal.reason(), reason);
    assert_eq!(refusal.retry_after(), Some(Duration::from_secs(3)));
}

/// Guards against "not run" for work that ran: the engine crashes after it has run the work, and a
/// proxy in front of it responds with 503. The status alone must not count as a refusal.
#[rstest]
#[case::no_body("503 Service Unavailable", "")]
#[case::a_page("503 Service Unavailable", "<html>upstream gone</html>")]
#[case::another_outcome(
    "503 Service Unavailable",
    r#"{"error":{"reason":"busy","outcome":"unknown"}}"#
)]
#[case::no_refusing_status(
    "500 Internal Server Error",
    r#"{"error":{"reason":"busy","outcome":"not_run"}}"#
)]
#[tokio::test]
async fn does_not_trust_a_status_alone(#[case] status: &str, #[case] body: &str) {
    let endpoint = FakeEndpoint::start(vec![full_response(status, "", body)]).await;

    let dispatch = non_idempotent(endpoint.address, 1);
    let failure = failure(&protocol(), &dispatch, &completion()).await;

    assert_eq!(failure, EndpointFailure::Broken(Reason::EndpointError));
}

#[tokio::test]
async fn sends_the_fields_of_a_completion() {
    let mut endpoint = FakeEndpoint::start(vec![stream("")]).await;
    let mut dispatch = dispatch(attempt(1), plan(endpoint.address));
    dispatch.adapter = Some("islands".to_owned());

    protocol().start(&dispatch, &completion()).await.unwrap();

    let request = endpoint.request().await;
    let body = request.split_once("\r\n\r\n").unwrap().1;
    assert_eq!(
        body,
        "{\"model\":\"wren-7b\",\"adapter\":\"islands\",\"prompt\":\"Draft a plan\",\
         \"max_tokens\":100000,\"stream\":true,\"priority\":3,\
         \"request_id\":\"r-0000000000000001-0000000000000002-1\",\
         \"attempt_id\":\"r-0000000000000001-0000000000000002-1.1\"}"
    );
}

/// Guards against a request that crashes one endpoint after the other: the connection ends with
/// the endpoint's process, which otherwise looks like a lost response.
#[tokio::test]
async fn distinguishes_an_ended_endpoint_from_a_running_one() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = dispatch(attempt(1), plan(address)).endpoint;
    let lives = !protocol().has_ended(&endpoint).await;

    drop(listener);

    assert!(lives);
    assert!(protocol().has_ended(&endpoint).await);
}
