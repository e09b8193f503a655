//! Whether there is room for a response that is read to its end, where all of them are bounded.
//!
//! Endpoints that send without end and callers that do not read their responses would exhaust the
//! memory of the instance otherwise. See `docs/design/caller-bounds.md`.

/// The most bytes of a small response. Small ones always have room: their number is that of the
/// connections of callers, whose memory is bounded.
pub const SMALL_RESPONSE_BYTES: usize = 16 * 1024;

/// The inverse of the share of the memory that large responses may take.
const MEMORY_SHARE: usize = 8;

/// The inverse of the share of the memory that a large response without others may take.
const SINGLE_SHARE: usize = 4;

/// There is no room for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
/// {bytes} bytes of memory are missing
pub struct NoResponseRoom {
    /// How many bytes other responses would have to leave.
    pub bytes: usize,
}

/// Counts the large responses that are kept.
#[derive(Debug)]
pub struct ResponseMemory {
    bound: usize,
    single: usize,
    used: usize,
    count: usize,
}

impl ResponseMemory {
    /// Returns an empty count of a process that may use `memory` bytes.
    pub fn of_memory(memory: usize) -> Self {
        ResponseMemory {
            bound: memory / MEMORY_SHARE,
            single: memory / SINGLE_SHARE,
            used: 0,
            count: 0,
        }
    }

    /// Returns the bytes that large responses take.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Makes room for a response that takes `before` bytes to take `after`.
    ///
    /// # Errors
    ///
    /// Fails if it is large and there is no room. It takes `before` then.
    pub fn resize(&mut self, before: usize, after: usize) -> Result<(), NoResponseRoom> {
        self.release(before);
        let bound = match self.count {
            0 => self.single,
            _ => self.bound,
        };
        let missing = (self.used + after).saturating_sub(bound);
        if is_large(after) && missing > 0 {
            self.take(before);
            return Err(NoResponseRoom { bytes: missing });
        }
        self.take(after);
        Ok(())
    }

    /// Releases the room of a response that takes `bytes`.
    pub fn release(&mut self, bytes: usize) {
        if is_large(bytes) {
            self.used -= bytes;
            self.count -= 1;
        }
    }

    fn take(&mut self, bytes: usize) {
        if is_large(bytes) {
            self.used += bytes;
            self.count += 1;
        }
    }
}

fn is_large(bytes: usize) -> bool {
    bytes > SMALL_RESPONSE_BYTES
}
