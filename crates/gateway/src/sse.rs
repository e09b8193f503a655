//! Splits a server-sent event stream at its blank lines.
//!
//! An engine that dies may end its stream in the middle of an event. Only complete events are
//! forwarded, so that a generation that resumes elsewhere starts after the last complete event.

use bytes::{Bytes, BytesMut};

/// The longest event in bytes; a longer one is not an engine's event and ends the stream.
const MAX_EVENT: usize = 1024 * 1024;

/// One complete event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its `id` field, if it is a number.
    pub id: Option<u64>,
    /// Its bytes as received.
    pub bytes: Bytes,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends bytes. Returns whether they can still be an event stream.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Discards buffered bytes after the stream broke.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let tail = &self.buf[from..];
        let lf = find(tail, b"\n\n").map(|at| at + 2);
        let crlf = find(tail, b"\r\n\r\n").map(|at| at + 4);
        self.scanned = self.buf.len();
        let end = match (lf, crlf) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(from + end)
    }
}

fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|it| it == needle)
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    core::str::from_utf8(value).ok()?.trim().parse().ok()
}
