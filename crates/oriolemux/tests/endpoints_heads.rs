//! Responses of endpoints and of the platform's service whose heads are broken or unusual.

#[path = "relay_support/endpoint.rs"]
mod endpoint;
#[path = "relay_support/node.rs"]
mod node;

use endpoint::{FakeEndpoint, ScriptedResponse, Then};
use node::{dispatch, plan};
use oriolemux::callers::port::Clock;
use oriolemux::endpoints::{
    CallBody, CompletionBody, EndpointFailure, EndpointProtocol, HttpProtocol, HttpSettings,
    ResponseBody, ResumePoint, WorkBody,
};
use oriolemux::platform::{Platform, PlatformClient, PlatformLimits};
use oriolemux_core::event::{Dispatch, EndpointTarget, OrderKind, OrderResult, ValueName};
use oriolemux_core::{AttemptId, Incarnation, InstanceKey, Reason, RequestId, Time};
use rstest::rstest;
use std::time::Duration;

const LOAD: &str = r#"{"lag_ms":40,"running":3,"waiting":1,"kv_tokens_total":1000,
    "kv_tokens_used":400,"max_running":8,"preemptions":2,
    "models":[{"name":"wren-7b","version":"3","adapters":["islands"]}],
    "leaving":false,"fencing":9}"#;

/// Only a failing test waits this long.
const LIMIT: Duration = Duration::from_secs(20);

/// What is wrong with a head: its status, or its fields.
const BROKEN: [(Option<&str>, &str); 9] = [
    (None, "transfer-encoding: chunke\r\n"),
    (None, "transfer-encoding:\r\n"),
    (None, "transfer-encoding: gzip, chunked\r\n"),
    (None, "transfer-encoding: chunked, gzip\r\n"),
    (
        None,
        "transfer-encoding: chunked\r\ncontent-length: 16x\r\n",
    ),
    (
        None,
        "transfer-encoding: chunked\r\ncontent-length: 9000\r\n",
    ),
    (
        Some("101 Switching Protocols"),
        "transfer-encoding: chunked\r\n",
    ),
    (Some("600 OK"), "transfer-encoding: chunked\r\n"),
    (Some("999 OK"), "transfer-encoding: chunked\r\n"),
];

/// Returns a response in one chunk, after which the connection is closed.
fn response(status: &str, lines: &str, body: &str) -> ScriptedResponse {
    let length = body.len();
    let bytes = format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: a\r\nx-revision: 7\r\n{lines}\r\n\
         {length:x}\r\n{body}\r\n0\r\n\r\n"
    );
    ScriptedResponse {
        bytes: bytes.into_bytes(),
        then: Then::Close,
    }
}

/// Starts an endpoint whose responses have a broken head, and `status` unless that is what is broken.
async fn broken_endpoint(
    status: &str,
    broken: (Option<&str>, &str),
    body: &str,
) -> (FakeEndpoint, EndpointTarget) {
    let response = response(broken.0.unwrap_or(status), broken.1, body);
    let endpoint = FakeEndpoint::start(vec![response.clone(), response]).await;
    let target = dispatch(attempt(), plan(endpoint.address)).endpoint;
    (endpoint, target)
}

fn attempt() -> AttemptId {
    let request = RequestId {
        instance: InstanceKey(1),
        incarnation: Incarnation(2),
        seq: 3,
    };
    AttemptId { request, number: 1 }
}

fn protocol() -> HttpProtocol {
    HttpProtocol::new(Clock::start(), HttpSettings::default()).unwrap()
}

fn platform(endpoint: &FakeEndpoint) -> PlatformClient {
    let limits = PlatformLimits {
        read_timeout: LIMIT,
        watch_timeout: LIMIT,
    };
    PlatformClient::new(&[endpoint.address], limits).unwrap()
}

fn work(endpoint: &FakeEndpoint, is_call: bool) -> (Dispatch, WorkBody) {
    let mut dispatch = dispatch(attempt(), plan(endpoint.address));
    dispatch.idempotent = !is_call;
    let work = match is_call {
        true => WorkBody::Call(CallBody {
            content_type: None,
            bytes: b"lot 7"[..].into(),
        }),
        false => WorkBody::Completion(CompletionBody {
            prompt: "Draft a plan".to_owned(),
            sampling: serde_json::Map::new(),
        }),
    };
    (dispatch, work)
}

/// Guards against a body that holds the sizes of chunks, and against a promise that work did not run
/// which rests on a broken head.
#[rstest]
#[case::done("200 OK", "1 shirt")]
#[case::refused(
    "503 Service Unavailable",
    r#"{"error":{"reason":"busy","outcome":"not_run"}}"#
)]
#[case::failed("500 Internal Server Error", "")]
#[tokio::test]
async fn work_whose_response_has_a_broken_head(
    #[case] status: &str,
    #[case] body: &str,
    #[values(true, false)] is_call: bool,
) {
    for broken in BROKEN {
        let (endpoint, _) = broken_endpoint(status, broken, body).await;
        let (dispatch, work) = work(&endpoint, is_call);

        let started = protocol().start(&dispatch, &work).await;

        let failure = started.map(|_| ()).expect_err("no response");
        let expected = EndpointFailure::Broken(Reason::Garbage);
        assert_eq!(failure, expected, "{broken:?}");
    }
}

/// Guards against a generation that goes on with other bytes than its events, or that is taken for lost,
/// because of a broken head.
#[rstest]
#[case::resumed("200 OK")]
#[case::lost("404 Not Found")]
#[tokio::test]
async fn a_resumption_whose_response_has_a_broken_head(#[case] status: &str) {
    let point = ResumePoint {
        attempt: attempt(),
        last_index: Some(3),
    };
    for broken in BROKEN {
        let (_endpoint, target) = broken_endpoint(status, broken, "data: 1\n\n").await;

        let resumed = protocol().resume(&target, point, LIMIT).await;

        let failure = resumed.map(|_| ()).expect_err("no response");
        let expected = EndpointFailure::Broken(Reason::Garbage);
        assert_eq!(failure, expected, "{broken:?}");
    }
}

/// Guards against a load, cache events, an order that was accepted or fenced, or a cancellation that are
/// concluded from a broken head.
#[tokio::test]
async fn a_control_request_whose_response_has_a_broken_head() {
    let kind = OrderKind::Role {
        role: "decode".to_owned(),
    };
    for broken in BROKEN {
        let (_endpoint, target) = broken_endpoint("200 OK", broken, LOAD).await;
        let load = protocol().load(&target).await;
        assert_eq!(
            load.expect_err("no load"),
            EndpointFailure::Broken(Reason::Garbage),
            "{broken:?}"
        );

        let events = r#"{"next":1,"gap":false,"stored":[],"evicted":[]}"#;
        let (_endpoint, target) = broken_endpoint("200 OK", broken, events).await;
        let batch = protocol().cache_events(&target, 0).await;
        assert!(batch.is_err(), "{broken:?}");

        let fenced = r#"{"highest":9}"#;
        for (status, body) in [("200 OK", ""), ("409 Conflict", fenced)] {
            let (_endpoint, target) = broken_endpoint(status, broken, body).await;
            let order = protocol().order(&target, 4, &kind, Time::NEVER).await;
            assert_eq!(order, OrderResult::Failed, "{broken:?}");
        }

        let (_endpoint, target) = broken_endpoint("204 No Content", broken, "").await;
        let is_cancelled = protocol().cancel(&target, attempt()).await;
        assert!(!is_cancelled, "{broken:?}");
    }
}

/// Guards against a value, or the absence of a newer one, that is concluded from a broken head.
#[rstest]
#[case::value("200 OK")]
#[case::unchanged("204 No Content")]
#[tokio::test]
async fn a_value_whose_response_has_a_broken_head(#[case] status: &str) {
    for broken in BROKEN {
        let (endpoint, _) = broken_endpoint(status, broken, "revision = 1").await;
        let platform = platform(&endpoint);

        let read = platform.read(&ValueName::CatalogueIndex).await;
        let watch = platform.watch(&ValueName::CatalogueIndex, 1).await;

        assert!(read.is_err(), "{broken:?}: {read:?}");
        assert!(watch.is_err(), "{broken:?}: {watch:?}");
    }
}

/// Guards against heads that the HTTP library would accept some day.
#[rstest]
#[case::status_zero("000 OK", "content-length: 7\r\n")]
#[case::status_below_100("099 OK", "content-length: 7\r\n")]
#[case::a_blank_in_a_name("200 OK", "x note: 1\r\ncontent-length: 7\r\n")]
#[case::a_blank_after_a_name("200 OK", "content-length : 7\r\n")]
#[case::a_control_byte_in_a_name("200 OK", "x\x01note: 1\r\ncontent-length: 7\r\n")]
#[case::a_control_byte_in_a_value("200 OK", "x-note: \x01\r\ncontent-length: 7\r\n")]
#[case::no_colon("200 OK", "note\r\ncontent-length: 7\r\n")]
#[case::folded("200 OK", "x-note: 1\r\n 2\r\ncontent-length: 7\r\n")]
#[case::no_length("200 OK", "content-length: 7x\r\n")]
#[case::two_lengths("200 OK", "content-length: 7\r\ncontent-length: 8\r\n")]
#[tokio::test]
async fn a_head_that_is_none(#[case] status: &str, #[case] lines: &str) {
    let bytes = format!("HTTP/1.1 {status}\r\nx-attempt-id: a\r\n{lines}\r\n1 shirt");
    let script = ScriptedResponse {
        bytes: bytes.into_bytes(),
        then: Then::Close,
    };
    let endpoint = FakeEndpoint::start(vec![script]).await;
    let (dispatch, work) = work(&endpoint, true);

    let started = protocol().start(&dispatch, &work).await;

    let failure = started.map(|_| ()).expect_err("no response");
    assert_eq!(failure, EndpointFailure::Broken(Reason::ConnectionLost));
}

/// Guards against a sound response that is refused for an unusual head.
#[rstest]
#[case::capitals("200 OK", "Transfer-Encoding: Chunked\r\n")]
#[case::no_reason_phrase("200", "transfer-encoding: \t chunked \r\nx-note:\r\n")]
#[case::bytes_of_no_text("200 ", "x-note: \u{ff}\r\ntransfer-encoding: chunked\r\n")]
#[tokio::test]
async fn a_sound_response_with_an_unusual_head(#[case] status: &str, #[case] lines: &str) {
    let endpoint = FakeEndpoint::start(vec![response(status, lines, "1 shirt")]).await;
    let (dispatch, work) = work(&endpoint, true);

    let started = protocol().start(&dispatch, &work).await;

    let mut body = started.expect("a response").body;
    let mut read = Vec::new();
    while let Some(chunk) = body.chunk().await.expect("a whole body") {
        read.extend_from_slice(&chunk);
    }
    assert_eq!(read, b"1 shirt");
}
