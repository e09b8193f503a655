//! Splits a server-sent event stream at its blank lines.
//!
//! An engine that dies may end its stream in the middle of an event. Only complete events are
//! forwarded, so that a generation that resumes elsewhere starts after the last complete event.
//!
//! Events are kept in blocks: a buffer that doubles would take up to twice the bytes of an event, and a
//! small event would keep the buffer of a large one that arrived with it.

use core::mem;

/// The longest event in bytes; a longer one is not an engine's event and ends the stream.
const MAX_EVENT: usize = 1024 * 1024;

/// The least bytes of a block of an incomplete event.
const MIN_BLOCK_BYTES: usize = 512;

/// The most bytes of a block, unless more arrive at once.
const MAX_BLOCK_BYTES: usize = 16 * 1024;

/// The most blocks of an event.
pub const MAX_EVENT_BLOCKS: usize = MAX_EVENT / MAX_BLOCK_BYTES + 16;

/// Bytes of a line that are looked at. The numbers of events are shorter.
const MAX_LINE_BYTES: usize = 256;

/// One complete event, with the blank line that ends it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its `id` field, if it is a number.
    pub id: Option<u64>,
    /// Its bytes as received, in at most [`MAX_EVENT_BLOCKS`] blocks.
    pub blocks: Vec<Vec<u8>>,
}

impl Event {
    /// Appends bytes; `is_end` is whether they end the event.
    fn append(&mut self, mut bytes: &[u8], length: usize, is_end: bool) {
        if let Some(last) = self.blocks.last_mut() {
            let fitting = bytes.len().min(last.capacity() - last.len());
            last.extend_from_slice(&bytes[..fitting]);
            bytes = &bytes[fitting..];
        }
        if bytes.is_empty() {
            return;
        }
        let capacity = match is_end {
            true => bytes.len(),
            false => length
                .clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES)
                .max(bytes.len()),
        };
        let mut block = Vec::with_capacity(capacity);
        block.extend_from_slice(bytes);
        self.blocks.push(block);
    }

    /// Returns the memory that its blocks take, in bytes.
    fn memory(&self) -> usize {
        self.blocks.iter().map(Vec::capacity).sum()
    }
}

/// How the line before the current one ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LastEnd {
    /// The event has no line yet.
    #[default]
    None,
    Lf,
    CrLf,
}

/// What is known of the lines of the current event.
#[derive(Debug, Default)]
struct Lines {
    /// The beginning of the current line.
    line: Vec<u8>,
    /// The last byte of the current line, which may be longer than what is kept of it.
    last_byte: Option<u8>,
    last_end: LastEnd,
    /// Whether a line states an `id`.
    has_id: bool,
    id: Option<u64>,
}

impl Lines {
    /// Returns how many of the next bytes belong to the current event, if they end it.
    fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut at = 0;
        while let Some(length) = bytes[at..].iter().position(|it| *it == b'\n') {
            self.extend(&bytes[at..at + length]);
            at += length + 1;
            if self.end_line() {
                return Some(at);
            }
        }
        self.extend(&bytes[at..]);
        None
    }

    /// Adds a part of the current line.
    fn extend(&mut self, part: &[u8]) {
        let room = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        self.last_byte = part.last().copied().or(self.last_byte);
    }

    /// Ends the current line. Returns whether it ends the event.
    fn end_line(&mut self) -> bool {
        let is_blank = match (self.last_end, self.line.as_slice()) {
            (LastEnd::Lf | LastEnd::CrLf, b"") | (LastEnd::CrLf, b"\r") => true,
            (_, line) => {
                if let Some(value) = line.strip_prefix(b"id:").filter(|_| !self.has_id) {
                    let value = core::str::from_utf8(value).unwrap_or_default();
                    self.id = value.trim().parse().ok();
                    self.has_id = true;
                }
                false
            }
        };
        self.last_end = match self.last_byte.take() {
            Some(b'\r') => LastEnd::CrLf,
            _ => LastEnd::Lf,
        };
        self.line.clear();
        is_blank
    }
}

/// Why bytes are no event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SplitError {
    /// an event is longer than any that an engine sends
    EventTooLong,
}

/// Buffers bytes until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that were received last. They are split one event at a time, since many short events take
    /// much more memory than their bytes.
    received: Vec<u8>,
    /// How many of them were split.
    split: usize,
    /// The event that is incomplete.
    partial: Event,
    /// Its bytes so far.
    length: usize,
    lines: Lines,
}

impl EventSplitter {
    /// Appends bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.received.drain(..self.split);
        self.split = 0;
        self.received.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    ///
    /// # Errors
    ///
    /// Fails if the bytes cannot be an event stream.
    pub fn next_event(&mut self) -> Result<Option<Event>, SplitError> {
        if self.is_split() {
            return Ok(None);
        }
        let bytes = &self.received[self.split..];
        let end = self.lines.find_end(bytes);
        let part = &bytes[..end.unwrap_or(bytes.len())];
        self.length += part.len();
        if self.length > MAX_EVENT {
            return Err(SplitError::EventTooLong);
        }
        self.partial.append(part, self.length, end.is_some());
        self.split += part.len();
        if self.is_split() {
            (self.received, self.split) = (Vec::new(), 0);
        }
        if end.is_none() {
            return Ok(None);
        }
        self.length = 0;
        self.partial.id = mem::take(&mut self.lines).id;
        Ok(Some(mem::take(&mut self.partial)))
    }

    /// Returns whether all complete events were returned.
    pub fn is_split(&self) -> bool {
        self.split == self.received.len()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        self.length > 0 || !self.is_split()
    }

    /// Returns the memory that the buffered bytes take, in bytes.
    pub fn memory(&self) -> usize {
        self.partial.memory() + self.received.capacity()
    }

    /// Discards buffered bytes after the stream broke.
    pub fn clear(&mut self) {
        *self = EventSplitter::default();
    }
}
