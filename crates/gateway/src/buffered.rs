//! Response bodies that are read to their end before their callers get any of them.
//!
//! An endpoint in trouble may send bytes until its connection is closed, and a caller may not read what
//! it asked for. Each body has a bound, and all bodies of an instance together have one, from their
//! first byte until they are written: several of them would exhaust its memory otherwise. See
//! `docs/design/caller-bounds.md`.

use crate::connections::Connections;
use crate::front::Activity;
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use oriolemux_core::gateway::response_memory::ResponseMemory;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The largest response of a plain service that is buffered, in bytes.
pub const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// How often connections of callers that do not read are evicted for one growth of a body.
const MAX_EVICTIONS: usize = 8;

/// The least bytes by which a buffer grows.
const MIN_GROWTH_BYTES: usize = 1024;

/// The inverse of the share of its bytes by which a buffer grows.
const GROWTH_SHARE: usize = 4;

/// Returns the capacity of a buffer for `length` bytes of a body that is expected to have `expected` in
/// total. A buffer that doubles would take up to twice the bytes of its body.
pub(crate) fn next_capacity(length: usize, expected: usize) -> usize {
    let more = (length / GROWTH_SHARE).max(MIN_GROWTH_BYTES);
    (length + more).min(expected).max(length)
}

/// Why a body was not read to its end.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BufferError<E> {
    /// it broke off: {0}
    Broken(E),
    /// it is larger than {0} bytes
    TooLarge(usize),
    /// the responses that are kept have taken the memory
    TooManyBytes,
}

/// The responses that are kept.
#[derive(Debug)]
pub struct KeptResponses {
    memory: Mutex<ResponseMemory>,
    /// The connections that may yield.
    callers: Arc<Connections<Activity>>,
}

impl KeptResponses {
    /// Returns an empty store of a process that may use `memory` bytes and has no callers.
    pub fn new(memory: usize) -> Arc<Self> {
        KeptResponses::of_callers(memory, Connections::new("callers", 0))
    }

    /// Returns an empty store for the responses of these callers.
    pub(crate) fn of_callers(memory: usize, callers: Arc<Connections<Activity>>) -> Arc<Self> {
        Arc::new(KeptResponses {
            memory: Mutex::new(ResponseMemory::of_memory(memory)),
            callers,
        })
    }

    /// Returns the bytes that all responses take.
    pub fn used(&self) -> usize {
        self.lock().used()
    }

    fn lock(&self) -> MutexGuard<'_, ResponseMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Room of a response that is taken until dropped.
struct Counted {
    responses: Arc<KeptResponses>,
    bytes: usize,
}

impl Counted {
    /// Makes room for `bytes` bytes in total. Where there is none, connections yield whose callers do
    /// not read their responses.
    async fn resize(&mut self, bytes: usize) -> bool {
        for _ in 0..MAX_EVICTIONS {
            let missing = self.responses.lock().resize(self.bytes, bytes);
            let Err(missing) = missing else {
                self.bytes = bytes;
                return true;
            };
            if !self.responses.callers.evict_unread(missing.bytes) {
                return false;
            }
            // They release their memory when their tasks run.
            tokio::task::yield_now().await;
        }
        false
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.responses.lock().release(self.bytes);
    }
}

/// The bytes of a response.
struct CountedResponse {
    bytes: Box<[u8]>,
    _counted: Counted,
}

impl AsRef<[u8]> for CountedResponse {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of at most `limit` bytes to its end. It takes room until its last copy is dropped, which
/// is after it was written to its caller.
///
/// # Errors
///
/// Returns why it was not read to its end.
pub async fn collect<B>(
    responses: &Arc<KeptResponses>,
    mut body: B,
    limit: usize,
) -> Result<Bytes, BufferError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    let expected = body.size_hint().exact();
    let expected = expected.and_then(|it| usize::try_from(it).ok());
    let mut bytes = Vec::new();
    let mut counted = Counted {
        responses: Arc::clone(responses),
        bytes: 0,
    };
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BufferError::Broken)?.into_data() else {
            // Trailers are not forwarded.
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(BufferError::TooLarge(limit));
        }
        if length > bytes.capacity() {
            let capacity = next_capacity(length, expected.unwrap_or(limit));
            if !counted.resize(capacity).await {
                return Err(BufferError::TooManyBytes);
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    if bytes.is_empty() {
        return Ok(Bytes::new());
    }
    let bytes = bytes.into_boxed_slice();
    Ok(Bytes::from_owner(CountedResponse {
        bytes,
        _counted: counted,
    }))
}
