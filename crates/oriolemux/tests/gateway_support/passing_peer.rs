//! A peer that passes requests of its callers on to an instance.

use bytes::Bytes;
use h2::client::{SendRequest, handshake};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request};
use oriolemux_core::gateway::request::service_hash;
use oriolemux_core::ids::stable_hash;
use oriolemux_gateway::proxy::message::{
    MAX_OFFER_BYTES, MessageReader, Offer, OfferReply, ProxiedRequest, VERSION, encode, send_all,
    to_message,
};
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A request on its way; it is given up when this is dropped.
pub struct PassedRequest {
    _requests: SendRequest<Bytes>,
    _tx: SendStream<Bytes>,
    _rx: MessageReader,
}

/// Passes a call with a body of this length on to the instance whose peers connect to `address`, over a
/// connection of its own. Returns `None` if it is declined or not read to its end.
pub async fn pass_on(address: SocketAddr, attempt: &str, length: usize) -> Option<PassedRequest> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut requests, connection) = handshake(stream).await.ok()?;
    tokio::spawn(async move {
        // The requests of a connection show how it ended.
        let _ = connection.await;
    });
    let opening = Request::post("http://peer.invalid/v1/proxy").body(());
    let opening = opening.expect("a request");
    let (response, mut tx) = requests.send_request(opening, false).ok()?;
    let offer = Offer {
        version: VERSION,
        deployment: stable_hash(&[b"test"]),
        service: service_hash("desk"),
        catalogue: 0,
    };
    let offer = encode(&offer).expect("a small message");
    send_all(&mut tx, offer).await.ok()?;
    let mut rx = reader(response.await.ok()?.into_body());
    let reply: OfferReply = rx.message(MAX_OFFER_BYTES).await.ok()?;
    if reply.declined.is_some() {
        return None;
    }
    let request = encode(&request(attempt, length)).expect("within the bound");
    send_all(&mut tx, request).await.ok()?;
    Some(PassedRequest {
        _requests: requests,
        _tx: tx,
        _rx: rx,
    })
}

fn reader(body: RecvStream) -> MessageReader {
    MessageReader::new(body)
}

fn request(attempt: &str, length: usize) -> ProxiedRequest {
    let mut headers = HeaderMap::new();
    let mut add = |name: &'static str, value: &str| {
        headers.insert(name, HeaderValue::from_str(value).expect("a value"));
    };
    add("host", "desk.example");
    add("authorization", "Bearer key-1");
    add("x-attempt-id", attempt);
    add("x-deadline-ms", "120000");
    ProxiedRequest {
        method: "POST".to_owned(),
        uri: "/once/1".to_owned(),
        headers: to_message(&headers),
        body: vec![b'x'; length].into(),
        elapsed_us: 0,
        remaining_us: 120_000_000,
        earns_retry: false,
        runs: 0,
        refused: 0,
        tried: Vec::new(),
    }
}
