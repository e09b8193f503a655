//! Splits a stream of events at its blank lines.
//!
//! An engine that dies may cut its stream in the middle of an event. Only whole
//! events are passed on, so that a generation that goes on elsewhere begins where
//! the last whole event ended.

use bytes::{Bytes, BytesMut};

/// The longest event; a longer one is no event of an engine and ends the stream.
const MAX_EVENT: usize = 1024 * 1024;

/// One whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it carries one.
    pub id: Option<u64>,
    /// Its bytes as they came.
    pub bytes: Bytes,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Takes bytes in. Returns whether they can be a stream of events.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns whether bytes wait that are no whole event.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops what waits, because its stream broke.
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
