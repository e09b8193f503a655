//! Invalid input gives a clear error, and nothing is sent to an endpoint.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/node.rs"]
mod node;

use caller::{body, completion, exchange, post, serve, serve_with};
use node::FakeNode;
use rstest::rstest;
use serde_json::Value;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const KEY: &str = "authorization: Bearer wren\r\n";

/// Returns status, reason and message of an error response with the outcome "not run".
fn error_of(response: &str) -> (u16, String, String) {
    error_with_outcome(response, "not_run")
}

fn error_with_outcome(response: &str, outcome: &str) -> (u16, String, String) {
    let status = response[9..12].parse().expect("a status");
    let json: Value = serde_json::from_str(body(response)).expect("a JSON error");
    let error = &json["error"];
    assert_eq!(error["outcome"], outcome, "{response}");
    assert!(
        response.contains("content-type: application/json\r\n"),
        "{response}"
    );
    let text = |name: &str| error[name].as_str().expect(name).to_owned();
    (status, text("reason"), text("message"))
}

#[rstest]
#[case::not_json("{\"model\":", 400, "bad_request", "line 1 column 9")]
#[case::no_model(
    r#"{"prompt":"a"}"#,
    400,
    "bad_request",
    "the field `model` is missing"
)]
#[case::no_prompt(
    r#"{"model":"plans"}"#,
    400,
    "bad_request",
    "the field `prompt` is missing"
)]
#[case::wrong_type(
    r#"{"model":"plans","prompt":"a","stream":"yes"}"#,
    400,
    "bad_request",
    "stream"
)]
#[case::negative_tokens(
    r#"{"model":"plans","prompt":"a","max_tokens":-1}"#,
    400,
    "bad_request",
    "max_tokens"
)]
#[case::no_tokens(
    r#"{"model":"plans","prompt":"a","max_tokens":0}"#,
    400,
    "bad_request",
    "max_tokens"
)]
#[case::unknown_field(
    r#"{"model":"plans","prompt":"a","temprature":1}"#,
    400,
    "bad_request",
    "temprature"
)]
#[case::two_choices(
    r#"{"model":"plans","prompt":"a","n":2}"#,
    400,
    "bad_request",
    "`n` must be 1"
)]
#[case::two_prompts(
    r#"{"model":"plans","prompt":["a","b"]}"#,
    400,
    "bad_request",
    "one string"
)]
#[tokio::test]
async fn refuses_invalid_bodies(
    #[case] request: &str,
    #[case] status: u16,
    #[case] reason: &str,
    #[case] message: &str,
) {
    let node = FakeNode::start(vec![]);
    let address = serve(&node).await;

    let response = exchange(address, completion(request)).await;

    let error = error_of(&response);
    assert_eq!((error.0, error.1.as_str()), (status, reason));
    assert!(error.2.contains(message), "{}", error.2);
}

#[rstest]
#[case::no_key("", 401, "bad_key")]
#[case::other_scheme("authorization: Basic d3Jlbg==\r\n", 401, "bad_key")]
#[case::empty_key("authorization: Bearer \r\n", 401, "bad_key")]
#[case::bad_ticket(
    "oriolemux-ticket: 17\r\nauthorization: Bearer wren\r\n",
    400,
    "bad_ticket"
)]
#[case::bad_prompt_tokens(
    "oriolemux-prompt-tokens: many\r\nauthorization: Bearer wren\r\n",
    400,
    "bad_request"
)]
#[case::bad_patience(
    "oriolemux-patience-ms: -5\r\nauthorization: Bearer wren\r\n",
    400,
    "bad_request"
)]
#[case::empty_idempotency_key(
    "idempotency-key: \r\nauthorization: Bearer wren\r\n",
    400,
    "bad_request"
)]
#[tokio::test]
async fn refuses_invalid_headers(#[case] headers: &str, #[case] status: u16, #[case] reason: &str) {
    let node = FakeNode::start(vec![]);
    let address = serve(&node).await;

    let request = post(
        "/v1/completions",
        headers,
        r#"{"model":"plans","prompt":"a"}"#,
    );
    let response = exchange(address, request).await;

    let error = error_of(&response);
    assert_eq!((error.0, error.1.as_str()), (status, reason));
}

#[tokio::test]
async fn refuses_invalid_utf8_with_its_position() {
    let node = FakeNode::start(vec![]);
    let address = serve(&node).await;

    let mut request = completion("{\"model\":\"pl__s\"}").into_bytes();
    let at = request.len() - 5;
    request[at..at + 2].copy_from_slice(&[0xc3, 0x28]);
    let response = exchange(address, request).await;

    let error = error_of(&response);
    assert_eq!((error.0, error.1.as_str()), (400, "bad_request"));
    assert!(error.2.contains("UTF-8 from byte 12"), "{}", error.2);
}

#[tokio::test]
async fn refuses_a_declared_body_above_the_limit_unread() {
    let node = FakeNode::start(vec![]);
    let address = serve_with(&node, |server| server.max_body_bytes(100)).await;

    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: o\r\n{KEY}connection: close\r\n\
         content-length: 101\r\n\r\n"
    );
    let response = exchange(address, request).await;

    let error = error_of(&response);
    assert_eq!((error.0, error.1.as_str()), (413, "body_too_large"));
    assert!(error.2.contains("100 bytes"), "{}", error.2);
}

#[tokio::test]
async fn refuses_an_undeclared_body_above_the_limit() {
    let node = FakeNode::start(vec![]);
    let address = serve_with(&node, |server| server.max_body_bytes(100)).await;

    let piece = format!("32\r\n{}\r\n", "x".repeat(0x32));
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: o\r\n{KEY}connection: close\r\n\
         transfer-encoding: chunked\r\n\r\n{piece}{piece}{piece}0\r\n\r\n"
    );
    let response = exchange(address, request).await;

    let error = error_of(&response);
    assert_eq!((error.0, error.1.as_str()), (413, "body_too_large"));
}

/// Guards against running out of connections: callers send a head and a part of the body, then
/// nothing. Without a timeout, each of them would hold its connection for ever.
#[tokio::test]
async fn body_that_does_not_arrive_times_out() {
    let node = FakeNode::start(vec![]);
    let limit = Duration::from_millis(50);
    let address = serve_with(&node, |server| server.body_timeout(limit)).await;

    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: o\r\n{KEY}connection: close\r\n\
         content-length: 50\r\n\r\n{{\"model\":"
    );
    let response = exchange(address, request).await;

    let error = error_of(&response);
    assert_eq!((error.0, error.1.as_str()), (400, "bad_request"));
    assert!(error.2.contains("50ms"), "{}", error.2);
}

/// Guards against running out of connections: callers send one line of a head, then nothing, and
/// the HTTP server waits for the end of a head without a timeout.
#[tokio::test]
async fn closes_a_connection_whose_head_does_not_end() {
    let node = FakeNode::start(vec![]);
    let limit = Duration::from_millis(50);
    let address = serve_with(&node, |server| server.head_timeout(limit)).await;

    let mut stream = TcpStream::connect(address).await.unwrap();
    stream
        .write_all(b"POST /v1/completions HTTP/1.1\r\n")
        .await
        .unwrap();
    let mut rest = Vec::new();
    let read = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut rest);
    let closed = tokio::time::timeout(caller::TEST_TIMEOUT, read).await;

    assert!(closed.is_ok(), "the server closes the connection");
}

/// Guards against work that runs twice. A caller retries under the same key at an instance that
/// has reached its connection limit. The refusal is written before anything is read, the key
/// included. On "not run" the caller would send a new request although the first one ran.
#[tokio::test]
async fn refuses_a_connection_above_the_limit() {
    let node = FakeNode::start(vec![]);
    let address = serve_with(&node, |server| server.max_connections(1)).await;
    let mut held = TcpStream::connect(address).await.unwrap();
    let first_response = keep_alive_exchange(&mut held).await;
    assert!(
        first_response.starts_with("HTTP/1.1 200"),
        "{first_response}"
    );

    let response = exchange(address, completion(r#"{"model":"plans","prompt":"a"}"#)).await;

    let error = error_with_outcome(&response, "unknown");
    assert_eq!((error.0, error.1.as_str()), (503, "instance_full"));
    assert!(response.contains("retry-after: 1\r\n"), "{response}");
    drop(held);
}

/// Sends one request on a connection that stays open, and reads the response with one read.
async fn keep_alive_exchange(stream: &mut TcpStream) -> String {
    let request = format!("GET /v1/models HTTP/1.1\r\nhost: o\r\n{KEY}\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut buf = [0; 4096];
    let n = tokio::io::AsyncReadExt::read(stream, &mut buf)
        .await
        .unwrap();
    String::from_utf8_lossy(&buf[..n]).into_owned()
}

#[tokio::test]
async fn returns_the_refusal_of_the_node() {
    let node = FakeNode::start(vec![]);
    let address = serve(&node).await;

    let response = exchange(address, completion(r#"{"model":"plans","prompt":"a"}"#)).await;

    let error = error_of(&response);
    assert_eq!((error.0, error.1.as_str()), (503, "no_endpoint"));
    assert!(response.contains("retry-after: 2\r\n"), "{response}");
    assert!(response.contains("\"retry_after_ms\":1500"), "{response}");
    assert!(response.contains("oriolemux-request: r-0000000000000001-0000000000000002-1\r\n"));
}

/// Guards against work that runs twice. The first request ran and its response was lost; the body
/// of the retry under the same key is truncated on the way, or above the limit. On "not run" for
/// the retry, the caller would conclude that neither ran, and send a new request.
#[rstest]
#[case::key("idempotency-key: order-7\r\n")]
#[case::ticket("oriolemux-ticket: r-0000000000000001-0000000000000002-1\r\n")]
#[tokio::test]
async fn unread_duplicate_request_has_unknown_outcome(#[case] name: &str) {
    let node = FakeNode::start(vec![]);
    let limit = Duration::from_millis(50);
    let address = serve_with(&node, |server| {
        server.max_body_bytes(100).body_timeout(limit)
    })
    .await;

    for length in [50, 101] {
        let request = format!(
            "POST /v1/services/sale HTTP/1.1\r\nhost: o\r\n{KEY}{name}connection: close\r\n\
             content-length: {length}\r\n\r\none shirt"
        );
        let response = exchange(address, request).await;

        error_with_outcome(&response, "unknown");
    }
}

/// Guards against the same failure if the instance's node task has ended.
#[tokio::test]
async fn duplicate_request_unseen_by_the_node_has_unknown_outcome() {
    let node = FakeNode::ended();
    let address = serve(&node).await;

    let headers = format!("{KEY}idempotency-key: order-7\r\n");
    let response = exchange(address, post("/v1/services/sale", &headers, "one shirt")).await;
    let error = error_with_outcome(&response, "unknown");
    assert_eq!(error.1, "stopping");

    let response = exchange(address, post("/v1/services/sale", KEY, "one shirt")).await;
    assert_eq!(error_of(&response).1, "stopping");
}

/// Guards against a call that receives the outcome of another one. A caller uses one key for calls
/// of two services with equal bodies; a hash of the body alone would take the second call for a
/// duplicate of the first.
#[tokio::test]
async fn same_body_for_two_entries_is_no_duplicate() {
    let mut node = FakeNode::start(vec![]);
    let address = serve(&node).await;

    let mut hashes = Vec::new();
    for path in ["/v1/services/sale", "/v1/services/refund"] {
        exchange(address, post(path, KEY, "one shirt")).await;
        let node::Received::Arrival(arrival) = node.received().await else {
            panic!("the node sees the request");
        };
        hashes.push(arrival.body_hash);
    }

    assert_ne!(hashes[0], hashes[1]);
}

#[tokio::test]
async fn unknown_path_is_not_found() {
    let node = FakeNode::start(vec![]);
    let address = serve(&node).await;

    let response = exchange(address, post("/v1/chat", KEY, "{}")).await;

    let error = error_of(&response);
    assert_eq!((error.0, error.1.as_str()), (404, "bad_request"));
}
