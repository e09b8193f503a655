//! Parses an engine's event stream.
//!
//! Engines usually write token events in one exact byte format, and at peak an instance reads
//! hundreds of thousands of them per second. [`EventReader`] therefore first compares with that
//! format, without copying. All other events go to the parser in `slow`, which reads server-sent
//! events and JSON by their standards. Both parsers return the same event for the same bytes; a
//! property test checks this.

mod fast;
mod slow;

use std::borrow::Cow;

/// The longest event that is accepted. Without the limit, an endpoint that never ends an event
/// would grow the buffer without bound.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its output.
    Stop,
    /// The token limit was reached.
    Length,
}

impl FinishReason {
    /// Returns the name on the wire, towards engines and callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        }
    }
}

/// The token counts that an engine reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the output.
    pub completion_tokens: u32,
}

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEvent<'a> {
    /// A token.
    Token {
        /// The attempt that the event names.
        attempt: Cow<'a, str>,
        /// Its index.
        index: u32,
        /// Its text as the content of a JSON string, escaped as `serde_json` escapes, so that
        /// equal texts have equal bytes.
        text: Cow<'a, [u8]>,
    },
    /// The end mark.
    End {
        /// The attempt that the event names.
        attempt: Cow<'a, str>,
        /// The index after the last token.
        index: u32,
        /// Why the generation ended.
        finish: FinishReason,
        /// The token counts, if the engine reports them.
        usage: Option<Usage>,
    },
    /// The engine reports that it failed.
    Failed,
    /// An event without content: a keep-alive or the closing `[DONE]`.
    Ignored,
}

/// The bytes do not follow the engine's protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
/// the endpoint sent something that is not in its protocol
pub struct Garbage;

/// Splits the bytes of one attempt's stream into events.
///
/// Invariant: `buf[read..]` has not been returned as events.
#[derive(Debug, Default)]
pub struct EventReader {
    shape: fast::TokenShape,
    buf: Vec<u8>,
    read: usize,
}

impl EventReader {
    /// Creates a reader for the stream of `attempt`.
    ///
    /// The id only selects the byte format that is tried first. Events of other attempts are
    /// returned as well; the caller must check them.
    pub fn new(attempt: &str) -> Self {
        EventReader {
            shape: fast::TokenShape::new(attempt),
            buf: Vec::new(),
            read: 0,
        }
    }

    /// Drops a partial event, because the stream is resumed on another connection.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.read = 0;
    }

    /// Appends bytes that were read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.read == self.buf.len() {
            self.clear();
        } else if self.read > MAX_EVENT_BYTES {
            self.buf.drain(..self.read);
            self.read = 0;
        }
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not follow the engine's protocol. Later bytes cannot be trusted then.
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
