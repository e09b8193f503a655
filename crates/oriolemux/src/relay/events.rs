//! Reads an engine's event stream.
//!
//! A token event has one customary shape, byte for byte, and at the peak an
//! instance reads hundreds of thousands of them a second. [`EventReader`]
//! therefore compares with that shape first and copies nothing; whatever
//! deviates from it in the least goes the long way through `slow`, which
//! reads server-sent events and JSON as their standards say. Both ways give
//! the same event for the same bytes; a property test holds them equal.

mod fast;
mod slow;

use std::borrow::Cow;

/// The longest event that is accepted. An endpoint that never ends an event
/// would otherwise grow the buffer without bound.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The bound on tokens was reached.
    Length,
}

impl FinishReason {
    /// Returns the name used on the wire, at both sides.
    pub const fn as_str(self) -> &'static str {
        match self {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        }
    }
}

/// What an engine says that it used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent<'a> {
    /// A token.
    Token {
        /// The attempt that the engine says it belongs to.
        attempt: Cow<'a, str>,
        /// Its index.
        index: u32,
        /// Its text as the inside of a JSON string, escaped as `serde_json`
        /// escapes, so that equal text means equal bytes.
        text: Cow<'a, [u8]>,
    },
    /// The end mark.
    End {
        /// The attempt that the engine says it belongs to.
        attempt: Cow<'a, str>,
        /// The index after the last token.
        index: u32,
        /// Why the generation ended.
        finish: FinishReason,
        /// What the engine says that it used, if it says so.
        usage: Option<Usage>,
    },
    /// The engine says that it failed.
    Failed,
    /// Ignored that matters: a keep-alive or the closing `[DONE]`.
    Ignored,
}

/// The bytes are not in the engine's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
/// the endpoint sent something that is not in its protocol
pub struct Garbage;

/// Splits the bytes of one attempt's stream into events.
///
/// Invariant: `buf[read..]` has not been returned as events yet.
#[derive(Debug, Default)]
pub struct EventReader {
    shape: fast::TokenShape,
    buf: Vec<u8>,
    read: usize,
}

impl EventReader {
    /// Reads the stream of the attempt whose id is `attempt`.
    ///
    /// The id only says which shape is tried first: events of other attempts
    /// are returned as well, for the caller to judge.
    pub fn new(attempt: &str) -> Self {
        EventReader {
            shape: fast::TokenShape::new(attempt),
            buf: Vec::new(),
            read: 0,
        }
    }

    /// Forgets a half-read event, because the stream goes on elsewhere.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.read = 0;
    }

    /// Takes in bytes from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.read == self.buf.len() {
            self.clear();
        } else if self.read > MAX_EVENT_BYTES {
            self.buf.drain(..self.read);
            self.read = 0;
        }
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not in the engine's protocol; nothing after them
    /// can be trusted.
    #[inline]
    pub fn next_event(&mut self) -> Result<Option<EngineEvent<'_>>, Garbage> {
        let rest = &self.buf[self.read..];
        if let Some((token, used)) = self.shape.read(rest) {
            self.read += used;
            return Ok(Some(EngineEvent::Token {
                attempt: Cow::Borrowed(self.shape.attempt()),
                index: token.index,
                text: Cow::Borrowed(token.text),
            }));
        }
        let Some((event, used)) = slow::read(rest)? else {
            if rest.len() > MAX_EVENT_BYTES {
                return Err(Garbage);
            }
            return Ok(None);
        };
        self.read += used;
        Ok(Some(event))
    }
}
