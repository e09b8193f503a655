//! Work that must not run twice is sent to an endpoint only once.

#[path = "relay_support/caller.rs"]
mod caller;
#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use caller::{exchange, post, serve};
use endpoint::{FakeEndpoint, ScriptedResponse, Then, full_response};
use node::{Decision, FakeNode, Plan, Received, plan};
use oriolemux_core::event::{AttemptUpdate, DeliveryMode};
use oriolemux_core::outcome::Ran;
use oriolemux_core::{Reason, Verdict};
use rstest::rstest;

const KEY: &str = "authorization: Bearer wren\r\n";
const COMPLETION: &str = r#"{"model":"billed","prompt":"one shirt","stream":true}"#;

fn once(endpoint: &FakeEndpoint, model: &'static str) -> Plan {
    Plan {
        model,
        delivery: DeliveryMode::Whole,
        idempotent: false,
        ..plan(endpoint.address)
    }
}

/// An endpoint reads the request and closes the connection without a response.
fn closed() -> ScriptedResponse {
    ScriptedResponse {
        bytes: Vec::new(),
        then: Then::Close,
    }
}

/// Returns all requests that run work.
fn posts(endpoint: &mut FakeEndpoint) -> Vec<String> {
    let requests = std::iter::from_fn(|| endpoint.try_request());
    requests.filter(|it| it.starts_with("POST")).collect()
}

/// Guards against work that runs twice. The endpoint reads the request and closes the connection
/// before any response (`kept_alive`: after the connection had served another request). The HTTP
/// client, its pool or the relay must not send the request again on a new connection.
#[rstest]
#[case::call("/v1/services/sale", "one shirt", "")]
#[case::completion("/v1/completions", COMPLETION, "wren-7b")]
#[tokio::test]
async fn an_order_that_was_read_is_not_sent_again(
    #[case] path: &str,
    #[case] body: &str,
    #[case] model: &'static str,
    #[values(false, true)] kept_alive: bool,
) {
    let refusal = r#"{"error":{"reason":"busy","outcome":"not_run"}}"#;
    let refused = full_response("429 Too Many Requests", "", refusal);
    let mut script = vec![closed(); 8];
    if kept_alive {
        script.insert(0, refused);
    }
    let mut endpoint = FakeEndpoint::start(script).await;
    let unknown = Verdict::unknown(Reason::ConnectionLost);
    let mut decisions = vec![
        Decision::Dispatch(once(&endpoint, model)),
        Decision::Finish(unknown),
    ];
    if kept_alive {
        // The refusal proves that nothing ran, so the node sends it again.
        decisions.insert(0, Decision::Dispatch(once(&endpoint, model)));
    }
    let mut node = FakeNode::start(decisions);
    let address = serve(&node).await;

    let response = exchange(address, post(path, KEY, body)).await;

    assert!(response.contains("\"outcome\":\"unknown\""), "{response}");
    let mut update = node.last_update().await;
    if kept_alive {
        assert!(
            matches!(
                &update,
                AttemptUpdate::Failed {
                    ran: Ran::No(_),
                    ..
                }
            ),
            "{update:?}"
        );
        update = node.last_update().await;
    }
    assert!(
        matches!(
            &update,
            AttemptUpdate::Failed {
                ran: Ran::Maybe,
                ..
            }
        ),
        "{update:?}"
    );
    let posts = posts(&mut endpoint);
    assert_eq!(posts.len(), 1 + usize::from(kept_alive), "{posts:?}");
}

/// Guards against work that runs twice if the node, against its rules, dispatches again after a
/// lost response. The relay must refuse the second send by itself.
#[tokio::test]
async fn the_relay_refuses_a_second_send_whatever_the_node_decides() {
    let mut endpoint = FakeEndpoint::start(vec![closed(); 4]).await;
    let again = || Decision::Dispatch(once(&endpoint, ""));
    let unknown = Verdict::unknown(Reason::ConnectionLost);
    let script = vec![again(), again(), Decision::Finish(unknown)];
    let mut node = FakeNode::start(script);
    let address = serve(&node).await;

    exchange(address, post("/v1/services/sale", KEY, "one shirt")).await;

    assert!(matches!(node.received().await, Received::Arrival(_)));
    node.last_update().await;
    let second = node.last_update().await;
    assert!(
        matches!(
            &second,
            AttemptUpdate::Failed {
                reason: Reason::AlreadyRan,
                ..
            }
        ),
        "{second:?}"
    );
    assert_eq!(posts(&mut endpoint).len(), 1);
}
