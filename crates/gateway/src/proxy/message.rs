//! The messages of an exchange between an instance and its proxy.
//!
//! Each message is its length in four bytes, then `bincode`. The bytes of the response's body
//! follow the last message unframed. The end of the HTTP/2 stream is the end of the body; a response
//! that breaks off resets the stream instead.

use crate::link::head::{Framing, InvalidHead};
use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use core::future::poll_fn;
use core::task::{Context, Poll, ready};
use h2::{RecvStream, SendStream};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use oriolemux_core::ids::EndpointKey;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The version of these messages.
pub const VERSION: u8 = 1;

/// The largest message in bytes: the largest request with its headers.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// The largest offer, and the largest answer to one, in bytes. Both have some tens.
pub const MAX_OFFER_BYTES: usize = 4 * 1024;

/// The largest head of a response in bytes, several times that of an endpoint.
pub const MAX_REPLY_BYTES: usize = 256 * 1024;

/// The overhead beyond their bytes that queued small DATA frames of a connection may have. The
/// default is half of the window, which the events of a few generations use up while their callers
/// read slowly; the connection would then end with all its exchanges.
pub const SMALL_FRAME_BUDGET: usize = 8 * 1024 * 1024;

/// Bytes of the length that precedes a message.
const LENGTH_BYTES: usize = 4;

/// Why an exchange failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ExchangeError {
    /// the stream failed: {0}
    Stream(#[from] h2::Error),
    /// the stream ended
    Ended,
    /// a message of {0} bytes is too large
    TooLarge(usize),
    /// a message cannot be decoded: {0}
    Decode(#[from] bincode::error::DecodeError),
    /// a message cannot be encoded: {0}
    Encode(#[from] bincode::error::EncodeError),
    /// the head of a response is invalid: {0}
    InvalidHead(#[from] InvalidHead),
}

/// Asks a peer whether it can be the proxy of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The version of the messages.
    pub version: u8,
    /// Distinguishes deployments that share a network.
    pub deployment: u64,
    /// The hash of the service's name.
    pub service: u64,
    /// The version of the catalogue under which the request was accepted.
    pub catalogue: u64,
}

/// Why a peer cannot be the proxy of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum DeclineReason {
    /// version
    Version,
    /// deployment
    Deployment,
    /// outdated
    Outdated,
    /// stopping
    Stopping,
    /// partitioned
    Partitioned,
    /// busy
    Busy,
}

/// The answer of a peer to an offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OfferReply {
    /// Why the peer declines; `None` if it accepts.
    pub declined: Option<DeclineReason>,
    /// The peer's data centre.
    pub data_centre: String,
    /// A peer that recently served a request of the service for the one that declines.
    pub suggested: Option<SocketAddrV4>,
}

/// A header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    name: String,
    value: Vec<u8>,
}

/// A request for a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProxiedRequest {
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub uri: String,
    /// The caller's headers.
    pub headers: Vec<Header>,
    /// The body.
    #[serde(with = "body_bytes")]
    pub body: Bytes,
    /// Microseconds since the caller's request arrived.
    pub elapsed_us: u64,
    /// Microseconds until it times out.
    pub remaining_us: u64,
    /// Whether it earns a part of a retry at the proxy, and no longer where its caller connected.
    pub earns_retry: bool,
    /// At how many endpoints it may have run.
    pub runs: u32,
    /// How many endpoints that it reached did not run it.
    pub refused: u32,
    /// The endpoints that it reached, to which it must not be sent again.
    pub tried: Vec<EndpointKey>,
}

impl ProxiedRequest {
    /// Takes the head and the body out of the message; `None` if the head is invalid.
    pub fn take_parts(&mut self) -> Option<(Parts, Bytes)> {
        let (mut parts, ()) = Request::new(()).into_parts();
        parts.method = Method::try_from(self.method.as_str()).ok()?;
        parts.uri = Uri::try_from(self.uri.as_str()).ok()?;
        parts.headers = from_message(&self.headers);
        Some((parts, core::mem::take(&mut self.body)))
    }
}

/// Encodes a body at once, and decodes it into one buffer of its size. The encoding is that of a list
/// of bytes.
mod body_bytes {
    use bytes::Bytes;
    use core::fmt;
    use serde::de::{Error, Visitor};
    use serde::{Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(body: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(body)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Bytes, D::Error> {
        deserializer.deserialize_byte_buf(BodyVisitor)
    }

    struct BodyVisitor;

    impl Visitor<'_> for BodyVisitor {
        type Value = Bytes;

        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("the bytes of a body")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Bytes, E> {
            Ok(Bytes::copy_from_slice(bytes))
        }

        fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Bytes, E> {
            Ok(bytes.into())
        }
    }
}

/// The answer of a proxy to a request; the body follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyReply {
    /// The proxy could not reach any endpoint either, and the request has not run.
    NotServed,
    /// The response.
    Response {
        /// The status.
        status: u16,
        /// The headers.
        headers: Vec<Header>,
    },
}

/// Returns the head of a response that a proxy sends.
///
/// # Errors
///
/// Fails if the head is invalid.
pub fn response_head(
    status: u16,
    headers: &[Header],
) -> Result<(StatusCode, HeaderMap), ExchangeError> {
    let headers = from_message(headers);
    let status = StatusCode::from_u16(status).map_err(|_| InvalidHead::Status(status))?;
    Framing::of_response(status, &headers)?;
    Ok((status, headers))
}

/// Returns headers as they are sent.
pub fn to_message(headers: &HeaderMap) -> Vec<Header> {
    let headers = headers.iter().map(|(name, value)| Header {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    });
    headers.collect()
}

/// Returns received headers; those that are invalid are left out.
pub fn from_message(headers: &[Header]) -> HeaderMap {
    let valid = headers.iter().filter_map(|it| {
        let name = HeaderName::try_from(it.name.as_str()).ok()?;
        Some((name, HeaderValue::from_bytes(&it.value).ok()?))
    });
    let mut all = HeaderMap::new();
    for (name, value) in valid {
        all.append(name, value);
    }
    all
}

fn format() -> Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> {
    standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Encodes a message with its length.
///
/// # Errors
///
/// Fails if the message is larger than [`MAX_MESSAGE_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, ExchangeError> {
    encode_into(message, Vec::new())
}

/// Encodes as [`encode`] does a message of about `capacity` bytes, into one buffer.
///
/// # Errors
///
/// Fails if the message is larger than [`MAX_MESSAGE_BYTES`].
pub fn encode_within<T: Serialize>(message: &T, capacity: usize) -> Result<Bytes, ExchangeError> {
    encode_into(message, Vec::with_capacity(LENGTH_BYTES + capacity))
}

fn encode_into<T: Serialize>(message: &T, mut framed: Vec<u8>) -> Result<Bytes, ExchangeError> {
    framed.put_u32(0);
    bincode::serde::encode_into_std_write(message, &mut framed, format())?;
    let length = framed.len() - LENGTH_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return Err(ExchangeError::TooLarge(length));
    }
    framed[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(framed.into())
}

/// Decodes the first message of `buf` and removes it; `None` while it is incomplete.
///
/// # Errors
///
/// Fails if the message is too large or malformed.
pub fn decode<T: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<T>, ExchangeError> {
    decode_within(buf, MAX_MESSAGE_BYTES)
}

/// Decodes as [`decode`] does a message of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the message is too large or malformed.
pub fn decode_within<T: DeserializeOwned>(
    buf: &mut BytesMut,
    limit: usize,
) -> Result<Option<T>, ExchangeError> {
    let Some(length) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length > limit {
        return Err(ExchangeError::TooLarge(length));
    }
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let encoded = buf.split_to(length);
    let (message, _) = bincode::serde::decode_from_slice(&encoded, format())?;
    Ok(Some(message))
}

/// Sends all of `bytes` as the receiver makes room for them.
///
/// # Errors
///
/// Fails if the stream ends.
pub async fn send_all(tx: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), ExchangeError> {
    while !bytes.is_empty() {
        tx.reserve_capacity(bytes.len());
        let capacity = poll_fn(|cx| tx.poll_capacity(cx)).await;
        let capacity = capacity.ok_or(ExchangeError::Ended)??;
        tx.send_data(bytes.split_to(capacity.min(bytes.len())), false)?;
    }
    Ok(())
}

/// Reads messages, and then the bytes of a body, from one direction of an HTTP/2 stream.
pub struct MessageReader {
    rx: RecvStream,
    buf: BytesMut,
}

impl MessageReader {
    /// Reads from `rx`.
    pub fn new(rx: RecvStream) -> Self {
        MessageReader {
            rx,
            buf: BytesMut::new(),
        }
    }

    /// Returns the length of the next message, of at most `limit` bytes, once it has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends before or the message is too large.
    pub async fn message_length(&mut self, limit: usize) -> Result<usize, ExchangeError> {
        loop {
            if let Some(length) = self.buf.first_chunk::<LENGTH_BYTES>() {
                let length = u32::from_be_bytes(*length) as usize;
                return match length > limit {
                    true => Err(ExchangeError::TooLarge(length)),
                    false => Ok(length),
                };
            }
            self.receive().await?;
        }
    }

    /// Reads and drops the next message, which has `length` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends before.
    pub async fn skip_message(&mut self, length: usize) -> Result<(), ExchangeError> {
        let mut missing = LENGTH_BYTES + length;
        loop {
            let dropped = missing.min(self.buf.len());
            self.buf.advance(dropped);
            missing -= dropped;
            if missing == 0 {
                return Ok(());
            }
            self.receive().await?;
        }
    }

    /// Makes room for the next message, which has `length` bytes, at once.
    pub fn reserve(&mut self, length: usize) {
        let missing = (LENGTH_BYTES + length).saturating_sub(self.buf.len());
        self.buf.reserve(missing);
    }

    async fn receive(&mut self) -> Result<(), ExchangeError> {
        let chunk = poll_fn(|cx| self.poll_received(cx)).await;
        self.buf
            .extend_from_slice(&chunk.ok_or(ExchangeError::Ended)??);
        Ok(())
    }

    /// Reads the next message, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the stream ends before or the message is malformed.
    pub async fn message<T: DeserializeOwned>(&mut self, limit: usize) -> Result<T, ExchangeError> {
        loop {
            if let Some(message) = decode_within(&mut self.buf, limit)? {
                // The rest would keep the buffer of the message.
                self.buf = BytesMut::from(&self.buf[..]);
                return Ok(message);
            }
            self.receive().await?;
        }
    }

    /// Returns the next bytes that follow the messages; `None` at the end of the stream.
    pub fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        if !self.buf.is_empty() {
            return Poll::Ready(Some(Ok(self.buf.split().freeze())));
        }
        self.poll_received(cx)
    }

    fn poll_received(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ExchangeError>>> {
        let Some(chunk) = ready!(self.rx.poll_data(cx)) else {
            return Poll::Ready(None);
        };
        let chunk = chunk.and_then(|chunk| {
            self.rx.flow_control().release_capacity(chunk.len())?;
            Ok(chunk)
        });
        Poll::Ready(Some(chunk.map_err(ExchangeError::from)))
    }

    /// Waits until the other side ends or resets the stream, or sends what it must not.
    pub async fn closed(&mut self) {
        loop {
            match poll_fn(|cx| self.poll_received(cx)).await {
                Some(Ok(chunk)) if chunk.is_empty() => {}
                _ => return,
            }
        }
    }
}
