//! The messages between an instance and its proxy, and what is wrong with others.

use bytes::BytesMut;
use http::{HeaderMap, HeaderValue};
use oriolemux_gateway::proxy::message::{
    ExchangeError, MAX_MESSAGE_BYTES, Offer, ProxiedRequest, VERSION, decode, encode, from_message,
    to_message,
};

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
        body: b"body".to_vec(),
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

/// Guards against a request whose head cannot be sent and that runs in another form.
#[test]
fn an_invalid_head_yields_no_request() {
    let mut invalid = request();
    invalid.method = "GET / HTTP/1.1\r\n".to_owned();

    assert!(invalid.take_parts().is_none());
}
