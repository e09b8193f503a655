//! Bytes of requests and responses that are kept until their requests end.
//!
//! A request is kept to be sent again, a response that is not streamed is read to its end before
//! its caller gets any of it, and the tokens of a generation are kept for a replay. An endpoint in
//! trouble may send without end, and many callers may send large bodies at once. Each body has a
//! bound, and all bodies of a kind together have one: several of them would exhaust the memory of
//! the instance otherwise.

use bytes::Bytes;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The largest response of which the bytes are kept, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;

/// Bytes of all responses, and of all requests, that are kept at once. Beyond it, large ones are
/// given up.
pub const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;

/// From this size on, in bytes, a body is large. Smaller ones are never given up, so that one
/// endpoint or caller that sends without end does not fail the calls of others.
pub const LARGE_BODY_BYTES: usize = 512 * 1024;

/// Why no more bytes of a body are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum BufferError {
    /// it is larger than {0} bytes
    TooLarge(usize),
    /// all bodies together are larger than {0} bytes
    TooManyBytes(usize),
}

/// Counts the bytes of all bodies of a kind that are kept. Copies share one count.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    used: Arc<AtomicUsize>,
    most_each: usize,
}

impl BufferBudget {
    /// Returns a count of bodies that may have `most_each` bytes each.
    pub fn new(most_each: usize) -> Self {
        BufferBudget {
            used: Arc::default(),
            most_each,
        }
    }

    /// Returns the count of a new body.
    pub fn open(&self) -> CountedBytes {
        CountedBytes {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes that are counted now.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// The counted bytes of one body; they are released on drop.
#[derive(Debug)]
pub struct CountedBytes {
    budget: BufferBudget,
    bytes: usize,
}

impl CountedBytes {
    /// Returns the count of all bodies.
    pub fn budget(&self) -> &BufferBudget {
        &self.budget
    }

    /// Counts `more` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body, or all of them together, exceed their bound.
    pub fn add(&mut self, more: usize) -> Result<(), BufferError> {
        let own = self.bytes + more;
        let most = self.budget.most_each;
        if own > most {
            return Err(BufferError::TooLarge(most));
        }
        let total = self.budget.used.fetch_add(more, Ordering::Relaxed) + more;
        self.bytes = own;
        if total > MAX_BUFFERED_BYTES && own >= LARGE_BODY_BYTES {
            return Err(BufferError::TooManyBytes(MAX_BUFFERED_BYTES));
        }
        Ok(())
    }
}

impl Drop for CountedBytes {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A body that is being buffered.
#[derive(Debug)]
pub struct BufferedBody {
    bytes: Vec<u8>,
    counted: CountedBytes,
}

impl BufferedBody {
    /// Returns an empty body that counts towards `budget`.
    pub fn new(budget: &BufferBudget) -> Self {
        BufferedBody {
            bytes: Vec::new(),
            counted: budget.open(),
        }
    }

    /// Appends a chunk.
    ///
    /// # Errors
    ///
    /// Fails if the body, or all bodies together, exceed their bound.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BufferError> {
        self.counted.add(chunk.len())?;
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    /// Returns the body as bytes and their count, which is kept as long as they are.
    pub fn into_parts(self) -> (Vec<u8>, CountedBytes) {
        (self.bytes, self.counted)
    }

    /// Returns the body. It counts until the last copy is dropped, which is after it was written
    /// to its caller: one that reads slowly keeps it in memory.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
