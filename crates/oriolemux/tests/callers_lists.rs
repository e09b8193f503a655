//! `/v1/models` and `/v1/tickets`.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/node.rs"]
mod node;

use caller::{body, exchange, post, serve};
use node::FakeNode;

const KEY: &str = "authorization: Bearer wren\r\n";

#[tokio::test]
async fn lists_entries_as_models() {
    let node = FakeNode::start(vec![]);
    let address = serve(&node).await;

    let request = format!("GET /v1/models HTTP/1.1\r\nhost: o\r\n{KEY}connection: close\r\n\r\n");
    let response = exchange(address, request).await;

    assert_eq!(
        body(&response),
        r#"{"object":"list","data":[{"id":"plans","object":"model"},{"id":"verdicts","object":"model"}]}"#
    );
}

#[tokio::test]
async fn lists_nothing_without_a_key() {
    let node = FakeNode::start(vec![]);
    let address = serve(&node).await;

    let request = "GET /v1/models HTTP/1.1\r\nhost: o\r\nconnection: close\r\n\r\n";
    let response = exchange(address, request).await;

    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
}

#[tokio::test]
async fn issues_a_ticket() {
    let node = FakeNode::start(vec![]);
    let address = serve(&node).await;

    let response = exchange(address, post("/v1/tickets", KEY, "")).await;

    assert_eq!(
        body(&response),
        r#"{"ticket":"r-0000000000000001-0000000000000002-1"}"#
    );
}
