//! Calls of the platform's service: every answer, and every way to fail.

use core::time::Duration;
use oriolemux::callers::port::{Clock, NodeInput, NodePort, RequestIds};
use oriolemux::platform::{
    self, Answer, Platform, PlatformClient, PlatformError, PlatformLimits, SetUpError,
};
use oriolemux_core::catalogue::{MAX_VALUE_BYTES, parse_index};
use oriolemux_core::event::ValueName;
use oriolemux_core::{Event, Incarnation, InstanceKey};
use rstest::rstest;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// How a server goes on after its answer.
#[derive(Clone, Copy)]
enum Then {
    Close,
    Hold,
}

/// Answers every connection with these bytes; tells the request lines it saw.
async fn server(answer: Vec<u8>, then: Then) -> (SocketAddr, mpsc::UnboundedReceiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_one(stream, answer.clone(), then, tx.clone()));
        }
    });
    (address, rx)
}

async fn answer_one(
    mut stream: TcpStream,
    answer: Vec<u8>,
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
    let _ = stream.write_all(&answer).await;
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

/// Limits that no test that expects an answer meets.
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

    let answer = client.read(&ValueName::CatalogueShard(3)).await.unwrap();

    let bytes = b"revision = 1".to_vec();
    assert_eq!(answer, Answer::Value { revision: 7, bytes });
    let line = seen.recv().await.unwrap();
    assert_eq!(line, "GET /v1/values/catalogue-shard-3 HTTP/1.1");
}

#[tokio::test]
async fn watch_says_above_what_and_may_find_nothing_newer() {
    let nothing = b"HTTP/1.1 204 No Content\r\n\r\n".to_vec();
    let (address, mut seen) = server(nothing, Then::Close).await;
    let client = client(&[address], generous());

    let answer = client.watch(&ValueName::CatalogueIndex, 41).await.unwrap();

    assert_eq!(answer, Answer::Unchanged);
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
#[case::cut_off(
    "HTTP/1.1 200 OK\r\nX-Revision: 1\r\nContent-Length: 9\r\n\r\nhalf",
    "connection"
)]
#[case::garbage("\u{1}\u{2}\u{3}\r\n\r\n", "connection")]
#[case::nothing("", "connection")]
#[tokio::test]
async fn bad_answer_is_an_error(#[case] answer: &str, #[case] expected: &str) {
    let (address, _seen) = server(answer.as_bytes().to_vec(), Then::Close).await;
    let client = client(&[address], generous());

    let error = client.read(&ValueName::Instances).await.unwrap_err();

    assert!(error.to_string().contains(expected), "{error}");
}

// Symptom: the node waits for the platform for ever.
// Sequence: the service takes the call and then says nothing, or stops half way.
// Cause: a wait without a limit.
#[rstest]
#[case::silent(b"".to_vec())]
#[case::half_a_body(value(1, b"0123456789")[..50].to_vec())]
#[tokio::test]
async fn stalled_answer_times_out(#[case] answer: Vec<u8>) {
    let (address, _seen) = server(answer, Then::Hold).await;
    let client = client(&[address], limits(Duration::from_millis(50)));

    let read = client.read(&ValueName::Instances).await;
    let watch = client.watch(&ValueName::Instances, 1).await;

    assert!(matches!(read, Err(PlatformError::Timeout(_))));
    assert!(matches!(watch, Err(PlatformError::Timeout(_))));
}

// Symptom: memory grows with what the service sends.
// Sequence: a value of many megabytes is published, by mistake or in malice.
// Cause: the body is read to its end before its size is looked at.
#[tokio::test]
async fn value_that_is_too_large_is_cut_and_found_by_the_core() {
    let (address, _seen) = server(value(1, &vec![b'#'; 8 << 20]), Then::Hold).await;
    let client = client(&[address], generous());

    let answer = client.read(&ValueName::CatalogueIndex).await.unwrap();

    let Answer::Value { bytes, .. } = answer else {
        panic!("a value was sent");
    };
    assert_eq!(bytes.len(), MAX_VALUE_BYTES + 1);
    assert!(parse_index(&bytes).is_err());
}

// Symptom: one replica of the service is gone, and no call is answered.
// Sequence: the first of two addresses refuses connections.
// Cause: the same address is called again and again.
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
async fn node_is_told_of_answers_and_of_failures() {
    let (address, _seen) = server(value(7, b"x"), Then::Close).await;
    let client = client(&[address], generous());
    let ids = RequestIds::new(InstanceKey::of("i"), Incarnation(1));
    let (port, mut inputs) = NodePort::new(ids, Clock::start());
    let name = ValueName::CatalogueIndex;

    platform::call(&client, name.clone(), None, &port)
        .await
        .unwrap();
    let answered = inputs.recv().await.unwrap();
    drop(client);
    let nowhere = PlatformClient::new(&["127.0.0.1:1".parse().unwrap()], generous()).unwrap();
    platform::call(&nowhere, name, Some(7), &port)
        .await
        .unwrap();
    let failed = inputs.recv().await.unwrap();

    let NodeInput::Event(Event::Value {
        revision, bytes, ..
    }) = answered
    else {
        panic!("the value is told");
    };
    assert_eq!((revision, bytes), (7, b"x".to_vec()));
    assert!(matches!(
        failed,
        NodeInput::Event(Event::ValueFailed { .. })
    ));
}
