//! Calls of the platform's service: every kind of response and of failure.

use core::time::Duration;
use oriolemux::callers::port::{Clock, NodeInput, NodePort, RequestIds};
use oriolemux::platform::{
    self, Platform, PlatformClient, PlatformError, PlatformLimits, SetUpError, ValueResponse,
};
use oriolemux_core::catalogue::{MAX_VALUE_BYTES, parse_index};
use oriolemux_core::event::ValueName;
use oriolemux_core::{Event, Incarnation, InstanceKey};
use rstest::rstest;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What a server does after its response.
#[derive(Clone, Copy)]
enum Then {
    Close,
    Hold,
}

/// Responds to every connection with these bytes; returns the request lines that it receives.
async fn server(response: Vec<u8>, then: Then) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, response.clone(), then, tx.clone()));
        }
    });
    (address, rx)
}

async fn respond(
    mut stream: TcpStream,
    response: Vec<u8>,
    then: Then,
    seen: mpsc::UnboundedSender<String>,
) {
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => request.push(byte),
            Err(_) => return,
        }
    }
    let text = String::from_utf8(request).unwrap();
    let _ = seen.send(text.lines().next().unwrap().to_owned());
    let _ = stream.write_all(&response).await;
    if let Then::Hold = then {
        core::future::pending::<()>().await;
    }
}

fn value(revision: u64, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Revision: {revision}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

fn limits(read: Duration) -> PlatformLimits {
    PlatformLimits {
        read_timeout: read,
        watch_timeout: read,
    }
}

/// Timeouts that do not fire in tests that expect a response.
fn generous() -> PlatformLimits {
    limits(Duration::from_secs(30))
}

fn client(addresses: &[SocketAddr], limits: PlatformLimits) -> PlatformClient {
    PlatformClient::new(addresses, limits).unwrap()
}

#[tokio::test]
async fn read_returns_value_and_revision() {
    let (address, mut seen) = server(value(7, b"revision = 1"), Then::Close).await;
    let client = client(&[address], generous());

    let response = client.read(&ValueName::CatalogueShard(3)).await.unwrap();

    let bytes = b"revision = 1".to_vec();
    assert_eq!(response, ValueResponse::Value { revision: 7, bytes });
    let line = seen.recv().await.unwrap();
    assert_eq!(line, "GET /v1/values/catalogue-shard-3 HTTP/1.1");
}

#[tokio::test]
async fn watch_sends_the_revision_and_may_find_no_newer_one() {
    let nothing = b"HTTP/1.1 204 No Content\r\n\r\n".to_vec();
    let (address, mut seen) = server(nothing, Then::Close).await;
    let client = client(&[address], generous());

    let response = client.watch(&ValueName::CatalogueIndex, 41).await.unwrap();

    assert_eq!(response, ValueResponse::Unchanged);
    let line = seen.recv().await.unwrap();
    assert_eq!(line, "GET /v1/values/catalogue-index?above=41 HTTP/1.1");
}

#[rstest]
#[case::down("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "503")]
#[case::elsewhere(
    "HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
    "302"
)]
#[case::no_revision("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", "which revision")]
#[case::bad_revision(
    "HTTP/1.1 200 OK\r\nX-Revision: -1\r\nContent-Length: 0\r\n\r\n",
    "which revision"
)]
#[case::truncated(
    "HTTP/1.1 200 OK\r\nX-Revision: 1\r\nContent-Length: 9\r\n\r\nhalf",
    "connection"
)]
#[case::garbage("\u{1}\u{2}\u{3}\r\n\r\n", "connection")]
#[case::nothing("", "connection")]
#[tokio::test]
async fn invalid_response_is_an_error(#[case] response: &str, #[case] expected: &str) {
    let (address, _seen) = server(response.as_bytes().to_vec(), Then::Close).await;
    let client = client(&[address], generous());

    let error = client.read(&ValueName::Instances).await.unwrap_err();

    assert!(error.to_string().contains(expected), "{error}");
}

// Guards against a node that waits for the platform for ever: the service accepts the call and then
// sends nothing, or stops in the middle of the body.
#[rstest]
#[case::silent(b"".to_vec())]
#[case::half_a_body(value(1, b"0123456789")[..50].to_vec())]
#[tokio::test]
async fn stalled_response_times_out(#[case] response: Vec<u8>) {
    let (address, _seen) = server(response, Then::Hold).await;
    let client = client(&[address], limits(Duration::from_millis(50)));

    let read = client.read(&ValueName::Instances).await;
    let watch = client.watch(&ValueName::Instances, 1).await;

    assert!(matches!(read, Err(PlatformError::Timeout(_))));
    assert!(matches!(watch, Err(PlatformError::Timeout(_))));
}

// Guards against memory that grows with what the service sends: a value of many megabytes is
// published by mistake or on purpose, so the size must be checked before the body is fully read.
#[tokio::test]
async fn value_that_is_too_large_is_truncated_and_rejected_by_the_core() {
    let (address, _seen) = server(value(1, &vec![b'#'; 8 << 20]), Then::Hold).await;
    let client = client(&[address], generous());

    let response = client.read(&ValueName::CatalogueIndex).await.unwrap();

    let ValueResponse::Value { bytes, .. } = response else {
        panic!("a value was sent");
    };
    assert_eq!(bytes.len(), MAX_VALUE_BYTES + 1);
    assert!(parse_index(&bytes).is_err());
}

// Guards against calls that all fail because one replica of the service is down: the first of two
// addresses refuses connections, and must not be used for every call.
#[tokio::test]
async fn next_address_is_used_after_a_failure() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let gone_address = gone.local_addr().unwrap();
    drop(gone);
    let (address, _seen) = server(value(1, b"x"), Then::Close).await;
    let client = client(&[gone_address, address], generous());

    let first = client.read(&ValueName::Instances).await;
    let second = client.read(&ValueName::Instances).await;
    let third = client.clone().read(&ValueName::Instances).await;

    assert!(first.is_err());
    assert!(second.is_ok());
    assert!(third.is_ok());
}

#[test]
fn client_without_an_address_is_refused() {
    let client = PlatformClient::new(&[], PlatformLimits::default());

    assert!(matches!(client, Err(SetUpError::NoAddress)));
}

#[tokio::test]
async fn node_receives_values_and_failures() {
    let (address, _seen) = server(value(7, b"x"), Then::Close).await;
    let client = client(&[address], generous());
    let ids = RequestIds::new(InstanceKey::of("i"), Incarnation(1));
    let (port, mut inputs) = NodePort::new(ids, Clock::start());
    let name = ValueName::CatalogueIndex;

    platform::call(&client, name.clone(), None, &port)
        .await
        .unwrap();
    let received = inputs.recv().await.unwrap();
    drop(client);
    let nowhere = PlatformClient::new(&["127.0.0.1:1".parse().unwrap()], generous()).unwrap();
    platform::call(&nowhere, name, Some(7), &port)
        .await
        .unwrap();
    let failed = inputs.recv().await.unwrap();

    let NodeInput::Event(Event::Value {
        revision, bytes, ..
    }) = received
    else {
        panic!("the value is sent to the node");
    };
    assert_eq!((revision, bytes), (7, b"x".to_vec()));
    assert!(matches!(
        failed,
        NodeInput::Event(Event::ValueFailed { .. })
    ));
}
