//! How a response is framed, and heads that cannot be followed.
//!
//! The HTTP library checks the syntax of a head, but takes a response whose transfer coding is not
//! `chunked` for one that ends with its connection, ignores a length beside a coding, and accepts any
//! three digits as a status. A proxy must not: the fields that frame a connection do not reach its
//! callers, who would get the sizes of chunks as a part of the body. RFC 9112, section 6, has the rules;
//! `docs/incidents/broken-heads.md` lists the places that read responses.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// The valid statuses, by RFC 9110, section 15.
const STATUSES: core::ops::Range<u16> = 100..600;

/// Bytes of a field's value that an error quotes.
const MAX_QUOTED_BYTES: usize = 64;

/// How the end of a response's body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body comes in chunks.
    Chunked,
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with its connection.
    UntilClose,
}

/// Why a head cannot be followed, so that the response must not be used.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum InvalidHead {
    /// the status {0} is outside 100 to 599
    Status(u16),
    /// the status 101 answers no request to upgrade
    UnrequestedUpgrade,
    /// the transfer coding "{0}" is not `chunked`
    Coding(String),
    /// a length stands beside the transfer coding
    LengthBesideCoding,
    /// the length "{0}" is not one number
    Length(String),
}

impl Framing {
    /// Returns how a final response with this head is framed.
    ///
    /// # Errors
    ///
    /// Fails if that cannot be known, or if no response to a request without an upgrade has the status.
    pub fn of_response(status: StatusCode, headers: &HeaderMap) -> Result<Self, InvalidHead> {
        if status == StatusCode::SWITCHING_PROTOCOLS {
            return Err(InvalidHead::UnrequestedUpgrade);
        }
        if !STATUSES.contains(&status.as_u16()) {
            return Err(InvalidHead::Status(status.as_u16()));
        }
        let has_length = headers.contains_key(CONTENT_LENGTH);
        if !headers.contains_key(TRANSFER_ENCODING) {
            return match has_length {
                true => length(headers).map(Framing::Length),
                false => Ok(Framing::UntilClose),
            };
        }
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        let is_chunked = codings.next().is_some_and(is_chunked) && codings.next().is_none();
        if !is_chunked {
            let quoted = quote(headers, &TRANSFER_ENCODING);
            return Err(InvalidHead::Coding(quoted));
        }
        match has_length {
            true => Err(InvalidHead::LengthBesideCoding),
            false => Ok(Framing::Chunked),
        }
    }
}

/// Returns whether `chunked` is the only coding, which the library has undone then.
fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().eq_ignore_ascii_case(b"chunked")
}

/// Returns the length that all values state.
fn length(headers: &HeaderMap) -> Result<u64, InvalidHead> {
    let values = headers.get_all(CONTENT_LENGTH).iter();
    let mut stated = values
        .flat_map(|it| it.as_bytes().split(|&byte| byte == b','))
        .map(|it| number(it.trim_ascii()));
    let first = stated.next().flatten();
    match first {
        Some(length) if stated.all(|it| it == first) => Ok(length),
        _ => Err(InvalidHead::Length(quote(headers, &CONTENT_LENGTH))),
    }
}

/// Parses digits; a sign is none.
fn number(digits: &[u8]) -> Option<u64> {
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    core::str::from_utf8(digits).ok()?.parse().ok()
}

/// Returns the beginning of a field's values as printable text.
fn quote(headers: &HeaderMap, name: &HeaderName) -> String {
    let values = headers.get_all(name).iter();
    let values: Vec<&[u8]> = values.map(HeaderValue::as_bytes).collect();
    let value = values.join(&b", "[..]);
    let end = value.len().min(MAX_QUOTED_BYTES);
    value[..end].escape_ascii().to_string()
}
