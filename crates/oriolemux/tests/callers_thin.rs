//! One request from end to end, over sockets.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use caller::{body, completion, exchange, serve};
use endpoint::{FakeEndpoint, generation, stream};
use node::{Decision, FakeNode, attempt_id, plan};
use oriolemux_core::event::AttemptUpdate;

#[tokio::test]
async fn streams_a_generation() {
    let mut endpoint = FakeEndpoint::start(vec![stream(&generation(
        &attempt_id(1),
        &["It", " \\u00e9 \\\"is\\\""],
    ))])
    .await;
    let mut node = FakeNode::start(vec![Decision::Dispatch(plan(endpoint.address))]);
    let address = serve(&node).await;

    let request = completion(r#"{"model":"plans","prompt":"Draft a plan","stream":true}"#);
    let response = exchange(address, request).await;

    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    let request = "r-0000000000000001-0000000000000002-1";
    let chunk = |text: &str, index: u32| {
        format!(
            "data: {{\"id\":\"{request}\",\"object\":\"text_completion\",\"model\":\"plans\",\
             \"choices\":[{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":null}}],\
             \"token_index\":{index}}}\n\n"
        )
    };
    let end = format!(
        "data: {{\"id\":\"{request}\",\"object\":\"text_completion\",\"model\":\"plans\",\
         \"choices\":[{{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}}],\
         \"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":2,\"total_tokens\":5}}}}\n\n\
         data: [DONE]\n\n"
    );
    let expected = chunk("It", 0) + &chunk(" é \\\"is\\\"", 1) + &end;
    assert_eq!(body(&response), expected);
    let sent = endpoint.request().await;
    assert!(
        sent.starts_with("POST /v1/completions HTTP/1.1\r\n"),
        "{sent}"
    );
    let complete = AttemptUpdate::Complete {
        tokens: 2,
        prompt_tokens: Some(3),
    };
    assert_eq!(node.last_update().await, complete);
}

#[tokio::test]
async fn returns_a_generation_as_one_object() {
    let endpoint =
        FakeEndpoint::start(vec![stream(&generation(&attempt_id(1), &["It", " is"]))]).await;
    let node = FakeNode::start(vec![Decision::Dispatch(plan(endpoint.address))]);
    let address = serve(&node).await;

    let request = completion(r#"{"model":"plans","prompt":"Draft a plan"}"#);
    let response = exchange(address, request).await;

    assert!(response.starts_with("HTTP/1.1 200 OK\r\n"), "{response}");
    assert_eq!(
        body(&response),
        "{\"id\":\"r-0000000000000001-0000000000000002-1\",\"object\":\"text_completion\",\
         \"model\":\"plans\",\"choices\":[{\"index\":0,\"text\":\"It is\",\"finish_reason\":\"stop\"}],\
         \"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2,\"total_tokens\":5}}"
    );
}
