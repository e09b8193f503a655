//! Callers that disconnect or read slowly.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use caller::{TEST_TIMEOUT, completion, serve, serve_with};
use endpoint::{FakeEndpoint, ScriptedResponse, Then, full_response, stream_head, token};
use node::{Decision, FakeNode, Received, attempt_id, plan};
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const STREAM: &str = r#"{"model":"plans","prompt":"Draft a plan","stream":true}"#;
const FULL: &str = r#"{"model":"plans","prompt":"Draft a plan"}"#;

async fn wait_for_caller_gone(node: &mut FakeNode) {
    while !matches!(node.received().await, Received::CallerGone) {}
}

/// Guards against engines that are full of generations that nobody reads: callers close their
/// connection while the generation runs, and without a signal this is noticed only when the next
/// write fails.
#[rstest]
#[case::streamed(STREAM)]
#[case::as_one_object(FULL)]
#[tokio::test]
async fn cancels_the_generation_when_the_caller_disconnects(#[case] request: &str) {
    let one_token = ScriptedResponse {
        bytes: (stream_head() + &token(&attempt_id(1), 0, "one")).into_bytes(),
        then: Then::Hang,
    };
    let gone = full_response("204 No Content", "", "");
    let mut endpoint = FakeEndpoint::start(vec![one_token, gone]).await;
    let mut node = FakeNode::start(vec![Decision::Dispatch(plan(endpoint.address))]);
    let address = serve(&node).await;

    let mut caller = TcpStream::connect(address).await.unwrap();
    caller
        .write_all(completion(request).as_bytes())
        .await
        .unwrap();
    endpoint.request().await;
    drop(caller);

    let cancel = timeout(TEST_TIMEOUT, endpoint.request()).await.unwrap();
    let expected = format!("DELETE /v1/completions/{} HTTP/1.1\r\n", attempt_id(1));
    assert!(cancel.starts_with(&expected), "{cancel}");
    timeout(TEST_TIMEOUT, wait_for_caller_gone(&mut node))
        .await
        .unwrap();
}

/// Guards against a generation that continues after its caller disconnected: the endpoint closes
/// the kept connection on which the cancellation is sent, so the cancellation is lost and must be
/// sent again.
#[tokio::test]
async fn retries_the_cancellation_if_the_connection_was_closed() {
    let one_token = ScriptedResponse {
        bytes: (stream_head() + &token(&attempt_id(1), 0, "one")).into_bytes(),
        then: Then::Hang,
    };
    let closed = ScriptedResponse {
        bytes: Vec::new(),
        then: Then::Close,
    };
    let gone = full_response("204 No Content", "", "");
    let mut endpoint = FakeEndpoint::start(vec![one_token, closed, gone]).await;
    let node = FakeNode::start(vec![Decision::Dispatch(plan(endpoint.address))]);
    let address = serve(&node).await;

    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = completion(STREAM);
    caller.write_all(request.as_bytes()).await.unwrap();
    endpoint.request().await;
    drop(caller);

    for _ in 0..2 {
        let cancel = timeout(TEST_TIMEOUT, endpoint.request()).await.unwrap();
        assert!(cancel.starts_with("DELETE "), "{cancel}");
    }
}

#[rstest]
#[case::before_a_request("")]
#[case::after_a_request("GET /v1/models HTTP/1.1\r\nhost: o\r\nauthorization: Bearer wren\r\n\r\n")]
#[tokio::test]
async fn closes_a_connection_that_is_idle(#[case] request: &str) {
    let node = FakeNode::start(vec![]);
    let limit = Duration::from_millis(50);
    let address = serve_with(&node, |server| server.idle_timeout(limit)).await;

    let mut caller = TcpStream::connect(address).await.unwrap();
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let end = timeout(TEST_TIMEOUT, caller.read_to_end(&mut response)).await;

    assert!(end.is_ok(), "the connection is closed");
    assert_eq!(response.starts_with(b"HTTP/1.1 200"), !request.is_empty());
}

/// Guards against requests that lose their place in a long queue: a request waits longer than the
/// idle timeout, and a connection without traffic is taken for one without a request.
#[tokio::test]
async fn keeps_an_idle_connection_with_a_pending_request() {
    let mut node = FakeNode::start(vec![Decision::Wait]);
    let limit = Duration::from_millis(20);
    let address = serve_with(&node, |server| server.idle_timeout(limit)).await;

    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = completion(STREAM);
    caller.write_all(request.as_bytes()).await.unwrap();
    assert!(matches!(node.received().await, Received::Arrival(_)));
    let mut byte = [0; 1];
    let read = timeout(limit * 10, caller.read(&mut byte)).await;

    assert!(read.is_err(), "the connection stays open");
}

#[tokio::test]
async fn reports_a_queued_caller_that_disconnects() {
    let mut node = FakeNode::start(vec![Decision::Wait]);
    let address = serve(&node).await;

    let mut caller = TcpStream::connect(address).await.unwrap();
    caller
        .write_all(completion(STREAM).as_bytes())
        .await
        .unwrap();
    assert!(matches!(node.received().await, Received::Arrival(_)));
    drop(caller);

    timeout(TEST_TIMEOUT, wait_for_caller_gone(&mut node))
        .await
        .unwrap();
}

/// Returns how many bytes an endpoint could send before its writes blocked.
async fn sent_until_blocked(stream: &mut TcpStream, most: usize) -> usize {
    let mut sent = stream.write(stream_head().as_bytes()).await.unwrap();
    let mut index = 0;
    while sent < most {
        let event = token(&attempt_id(1), index, &"x".repeat(1_000));
        let write = stream.write_all(event.as_bytes());
        if timeout(Duration::from_millis(500), write).await.is_err() {
            return sent;
        }
        sent += event.len();
        index += 1;
    }
    sent
}

/// Guards against memory that grows with the responses of slow callers: callers stop reading while
/// their engines continue to generate, and without backpressure tokens are read from the endpoint
/// faster than the caller reads them.
#[tokio::test]
async fn applies_backpressure_when_the_caller_does_not_read() {
    const MOST: usize = 64 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut plan = plan(listener.local_addr().unwrap());
    plan.stall_limit = TEST_TIMEOUT;
    let node = FakeNode::start(vec![Decision::Dispatch(plan)]);
    let address = serve(&node).await;

    let mut caller = TcpStream::connect(address).await.unwrap();
    caller
        .write_all(completion(STREAM).as_bytes())
        .await
        .unwrap();
    let (mut endpoint, _) = listener.accept().await.unwrap();
    let sent = sent_until_blocked(&mut endpoint, MOST).await;

    assert!(sent < MOST, "the endpoint's writes never blocked");
}

#[tokio::test]
async fn disconnects_a_caller_that_reads_nothing() {
    const MOST: usize = 64 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut node = FakeNode::start(vec![Decision::Dispatch(plan(
        listener.local_addr().unwrap(),
    ))]);
    let limit = Duration::from_millis(100);
    let address = serve_with(&node, |server| server.write_timeout(limit)).await;

    let mut caller = TcpStream::connect(address).await.unwrap();
    caller
        .write_all(completion(STREAM).as_bytes())
        .await
        .unwrap();
    let (mut endpoint, _) = listener.accept().await.unwrap();
    let sending = tokio::spawn(async move {
        let sent = sent_until_blocked(&mut endpoint, MOST).await;
        (endpoint, sent)
    });

    timeout(TEST_TIMEOUT, wait_for_caller_gone(&mut node))
        .await
        .unwrap();
    sending.abort();
    let mut rest = Vec::new();
    let end = timeout(TEST_TIMEOUT, caller.read_to_end(&mut rest)).await;
    assert!(end.is_ok(), "the connection is closed");
    assert!(
        !rest.ends_with(b"0\r\n\r\n"),
        "a truncated response does not look complete"
    );
}
