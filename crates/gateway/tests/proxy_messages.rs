//! The messages between an instance and its proxy, and what is wrong with others.

use bytes::{Bytes, BytesMut};
use core::future::poll_fn;
use http::{HeaderMap, HeaderValue, Request};
use oriolemux_gateway::proxy::message::{
    ExchangeError, MAX_MESSAGE_BYTES, MAX_OFFER_BYTES, MAX_REPLY_BYTES, MessageReader, Offer,
    ProxiedRequest, ProxyReply, VERSION, decode, encode, from_message, response_head, to_message,
};
use rstest::rstest;

fn offer() -> Offer {
    Offer {
        version: VERSION,
        deployment: 1,
        service: 2,
        catalogue: 3,
    }
}

fn request() -> ProxiedRequest {
    ProxiedRequest {
        method: "POST".to_owned(),
        uri: "/once/1?a=b".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"body"),
        elapsed_us: 4,
        remaining_us: 5,
        earns_retry: true,
        runs: 1,
        refused: 0,
        tried: Vec::new(),
    }
}

/// Guards against bytes of the body that are taken for a part of the message before it.
#[test]
fn a_message_ends_where_it_says() {
    let mut buf = BytesMut::from(&encode(&offer()).expect("encoded")[..]);
    buf.extend_from_slice(b"bytes of the body");

    let decoded: Option<Offer> = decode(&mut buf).expect("a message");

    assert_eq!(decoded, Some(offer()));
    assert_eq!(&buf[..], b"bytes of the body");
}

/// Guards against a message that is acted on before it has arrived completely.
#[test]
fn a_message_without_its_last_byte_is_none() {
    let encoded = encode(&request()).expect("encoded");
    for length in 0..encoded.len() {
        let mut buf = BytesMut::from(&encoded[..length]);

        let decoded: Option<ProxiedRequest> = decode(&mut buf).expect("no error yet");

        assert_eq!(decoded, None, "{length} bytes");
        assert_eq!(buf.len(), length);
    }
}

/// Guards against a peer that makes an instance reserve any amount of memory.
#[test]
fn a_message_that_is_too_large_is_an_error() {
    let length = MAX_MESSAGE_BYTES as u32 + 1;
    let mut buf = BytesMut::from(&length.to_be_bytes()[..]);

    let decoded = decode::<Offer>(&mut buf);

    assert!(matches!(decoded, Err(ExchangeError::TooLarge(_))));
}

/// Guards against other bytes that are taken for a message.
#[test]
fn bytes_that_are_no_message_are_an_error() {
    let mut buf = BytesMut::from(&[0, 0, 0, 3, 255, 255, 255][..]);

    assert!(matches!(
        decode::<ProxiedRequest>(&mut buf),
        Err(ExchangeError::Decode(_))
    ));
}

/// Guards against headers with several values, or with bytes that are no text, that change on the
/// way.
#[test]
fn headers_arrive_as_they_were() {
    let mut headers = HeaderMap::new();
    headers.append("x-many", HeaderValue::from_static("1"));
    headers.append("x-many", HeaderValue::from_static("2"));
    let bytes = HeaderValue::from_bytes(b"\xff\xfe").expect("a value");
    headers.append("x-bytes", bytes);

    assert_eq!(from_message(&to_message(&headers)), headers);
}

/// Guards against a response whose status a proxy's head does not have, or has although no response may.
#[rstest]
#[case::zero(0)]
#[case::below_100(99)]
#[case::upgrade(101)]
#[case::above_599(600)]
#[case::largest(999)]
#[case::four_digits(2_000)]
fn a_status_that_is_none_is_an_error(#[case] status: u16) {
    let head = response_head(status, &[]);

    assert!(
        matches!(head, Err(ExchangeError::InvalidHead(_))),
        "{head:?}"
    );
}

/// Guards against a length that no caller can read.
#[rstest]
#[case::letters("16x")]
#[case::a_sign("+16")]
#[case::two("16, 17")]
fn a_length_that_is_none_is_an_error(#[case] length: &'static str) {
    let mut headers = HeaderMap::new();
    headers.insert("content-length", HeaderValue::from_static(length));

    let head = response_head(200, &to_message(&headers));

    assert!(
        matches!(head, Err(ExchangeError::InvalidHead(_))),
        "{head:?}"
    );
}

/// Guards against a response that is refused although its head is sound.
#[rstest]
fn a_sound_head_is_returned(#[values(200, 204, 299, 404, 503, 599)] status: u16) {
    let mut headers = HeaderMap::new();
    headers.insert("content-length", HeaderValue::from_static("16"));
    headers.insert("x-note", HeaderValue::from_static("1"));

    let (of_head, all) = response_head(status, &to_message(&headers)).expect("a sound head");

    assert_eq!(of_head.as_u16(), status);
    assert_eq!(all, headers);
}

/// Guards against a request whose head cannot be sent and that runs in another form.
#[test]
fn an_invalid_head_yields_no_request() {
    let mut invalid = request();
    invalid.method = "GET / HTTP/1.1\r\n".to_owned();

    assert!(invalid.take_parts().is_none());
}

/// Returns a reader of the bytes without end that a peer sends after `length`.
async fn endless_message(length: usize) -> MessageReader {
    let (near, far) = tokio::io::duplex(64 * 1024);
    tokio::spawn(async move {
        let handshake = h2::client::handshake(far).await;
        let (requests, connection) = handshake.expect("HTTP/2");
        tokio::spawn(connection);
        let mut requests = requests.ready().await.expect("a connection");
        let (_response, mut tx) = requests
            .send_request(Request::new(()), false)
            .expect("a request");
        let mut next = Bytes::copy_from_slice(&(length as u32).to_be_bytes());
        while tx.send_data(next, false).is_ok() {
            next = Bytes::from_static(&[b'x'; 1024]);
            tx.reserve_capacity(next.len());
            if poll_fn(|cx| tx.poll_capacity(cx)).await.is_none() {
                return;
            }
        }
    });
    let mut connection = h2::server::handshake(near).await.expect("HTTP/2");
    let request = connection.accept().await.expect("a request");
    let (request, respond) = request.expect("HTTP/2");
    tokio::spawn(async move {
        let _respond = respond;
        while connection.accept().await.is_some() {}
    });
    MessageReader::new(request.into_body())
}

/// Guards against a peer whose offers and replies are kept up to the size of the largest request, each
/// for as long as a caller waits.
#[tokio::test]
async fn a_message_has_the_bound_of_its_kind() {
    let mut offer = endless_message(MAX_OFFER_BYTES + 1).await;
    let mut reply = endless_message(MAX_REPLY_BYTES + 1).await;

    let offer = offer.message::<Offer>(MAX_OFFER_BYTES).await;
    let reply = reply.message::<ProxyReply>(MAX_REPLY_BYTES).await;

    assert!(
        matches!(offer, Err(ExchangeError::TooLarge(_))),
        "{offer:?}"
    );
    assert!(
        matches!(reply, Err(ExchangeError::TooLarge(_))),
        "{reply:?}"
    );
}

/// The same message with a body that is a list of bytes, as older instances encode it.
#[derive(serde::Serialize)]
struct ListedRequest {
    method: String,
    uri: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Vec<u8>,
    elapsed_us: u64,
    remaining_us: u64,
    earns_retry: bool,
    runs: u32,
    refused: u32,
    tried: Vec<u64>,
}

/// Guards against instances of two versions that do not understand each other during a rollout.
#[test]
fn a_body_is_encoded_as_a_list_of_bytes() {
    let body = vec![7; 100_000];
    let listed = ListedRequest {
        method: "POST".to_owned(),
        uri: "/once/1?a=b".to_owned(),
        headers: Vec::new(),
        body: body.clone(),
        elapsed_us: 4,
        remaining_us: 5,
        earns_retry: true,
        runs: 1,
        refused: 0,
        tried: Vec::new(),
    };
    let request = ProxiedRequest {
        body: body.into(),
        ..request()
    };

    let encoded = encode(&request).expect("encoded");

    assert_eq!(encoded, encode(&listed).expect("encoded"));
    let mut buf = BytesMut::from(&encoded[..]);
    assert_eq!(decode(&mut buf).expect("a message"), Some(request));
}
