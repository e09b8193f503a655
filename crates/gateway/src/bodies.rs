//! The bodies of requests that are kept until their requests end.
//!
//! [`body_memory`] decides which of them there is room for.
//!
//! [`body_memory`]: oriolemux_core::gateway::body_memory

use crate::buffered::next_capacity;
use crate::meters::ByReason;
use bytes::Bytes;
use core::future::poll_fn;
use core::task::{Context, Poll, Waker};
use cranelift_entity::SecondaryMap;
use http_body::Body;
use http_body_util::BodyExt;
use oriolemux_core::gateway::body_memory::{
    BodyBounds, BodyId, BodyMemory, NoBodyRoom, SMALL_BODY_BYTES,
};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Why a body was not read in full.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BodyError<E> {
    /// it is larger than {0} bytes
    TooLarge(usize),
    /// there is no room for it: {0}
    NoRoom(#[from] NoBodyRoom),
    /// it has yielded to another body
    Evicted,
    /// it broke off: {0}
    Broken(E),
}

/// The bodies that are kept.
#[derive(Debug)]
pub struct KeptBodies {
    kept: Mutex<Kept>,
}

#[derive(Debug)]
struct Kept {
    memory: BodyMemory,
    buffers: SecondaryMap<BodyId, Buffer>,
    /// Bodies that yield to the one that grows; empty between two calls.
    evicted: Vec<BodyId>,
}

/// The bytes of a block. Buffers that grow leave gaps of all sizes between them, which take as much
/// memory again; a block that is dropped leaves room for the next one.
const BLOCK_BYTES: usize = SMALL_BODY_BYTES;

/// The bytes of an incomplete body.
#[derive(Clone, Debug, Default)]
struct Buffer {
    /// All but the last are full.
    blocks: Vec<Vec<u8>>,
    length: usize,
    /// The room of all blocks.
    capacity: usize,
    is_evicted: bool,
    /// Wakes the reader when the body is evicted.
    waker: Option<Waker>,
}

impl KeptBodies {
    /// Returns an empty store with these bounds.
    pub fn new(bounds: BodyBounds) -> Arc<Self> {
        Arc::new(KeptBodies {
            kept: Mutex::new(Kept {
                memory: BodyMemory::new(bounds),
                buffers: SecondaryMap::new(),
                evicted: Vec::new(),
            }),
        })
    }

    /// Returns the bytes that all bodies take.
    pub fn used(&self) -> usize {
        self.lock().memory.used()
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a body without bytes.
    pub fn open(self: &Arc<Self>) -> KeptBody {
        KeptBody {
            bodies: Arc::clone(self),
            id: self.lock().memory.open(),
        }
    }

    /// Reads a full body of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns why it was not read in full. A length over the limit is refused before anything is read.
    pub async fn read<B>(
        self: &Arc<Self>,
        mut body: B,
        limit: usize,
    ) -> Result<Bytes, BodyError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        let announced = body.size_hint().exact();
        let announced = announced.map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        if announced.is_some_and(|it| it > limit) {
            return Err(BodyError::TooLarge(limit));
        }
        let kept = self.open();
        loop {
            let frame = tokio::select! {
                biased;
                () = kept.evicted() => return Err(BodyError::Evicted),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else {
                let (bytes, kept) = kept.complete();
                return Ok(match bytes.is_empty() {
                    true => Bytes::new(),
                    false => Bytes::from_owner(CompleteBody {
                        bytes: bytes.into(),
                        _kept: kept,
                    }),
                });
            };
            // Trailers are not forwarded.
            if let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() {
                kept.append(&data, announced.unwrap_or(limit), limit)?;
            }
        }
    }
}

/// A body that takes room until it is dropped.
#[derive(Debug)]
pub struct KeptBody {
    bodies: Arc<KeptBodies>,
    id: BodyId,
}

impl KeptBody {
    /// Waits until the body is evicted.
    pub async fn evicted(&self) {
        poll_fn(|cx| self.poll_evicted(cx)).await;
    }

    fn poll_evicted(&self, cx: &Context<'_>) -> Poll<()> {
        let mut kept = self.bodies.lock();
        let buffer = &mut kept.buffers[self.id];
        if buffer.is_evicted {
            return Poll::Ready(());
        }
        match &mut buffer.waker {
            Some(waker) => waker.clone_from(cx.waker()),
            None => buffer.waker = Some(cx.waker().clone()),
        }
        Poll::Pending
    }

    /// Appends bytes of the body, which has `expected` bytes in total as far as known and `limit` at
    /// most.
    ///
    /// # Errors
    ///
    /// Fails if the body is larger, was evicted, or has no room.
    pub fn append<E>(
        &self,
        data: &[u8],
        expected: usize,
        limit: usize,
    ) -> Result<(), BodyError<E>> {
        let mut kept = self.bodies.lock();
        let kept = &mut *kept;
        let buffer = &mut kept.buffers[self.id];
        if buffer.is_evicted {
            return Err(BodyError::Evicted);
        }
        let length = buffer.length + data.len();
        if length > limit {
            return Err(BodyError::TooLarge(limit));
        }
        let capacity = capacity_for(length, expected);
        if capacity > buffer.capacity {
            let room = kept.memory.grow(self.id, capacity, &mut kept.evicted);
            room.inspect_err(|_| ByReason::BodiesGivenUp.add("no_room"))?;
            buffer.capacity = capacity;
        }
        buffer.append(data);
        kept.evict_others();
        Ok(())
    }

    /// Makes room for `bytes` bytes in total that are kept elsewhere.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn reserve(&self, bytes: usize) -> Result<(), NoBodyRoom> {
        let mut kept = self.bodies.lock();
        let kept = &mut *kept;
        let room = kept.memory.grow(self.id, bytes, &mut kept.evicted);
        kept.evict_others();
        room.inspect_err(|_| ByReason::BodiesGivenUp.add("no_room"))?;
        // Whoever keeps them cannot be told to give them up.
        kept.memory.complete(self.id, bytes);
        Ok(())
    }

    /// Returns the bytes of a body for which room was reserved, with that room.
    pub fn keep(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        self.bodies.lock().memory.complete(self.id, bytes.len());
        Bytes::from_owner(CompleteBody { bytes, _kept: self })
    }

    /// Returns the bytes of the body, and what takes their room.
    pub fn complete(self) -> (Box<[u8]>, KeptBody) {
        let mut kept = self.bodies.lock();
        let bytes = core::mem::take(&mut kept.buffers[self.id]).join();
        if !bytes.is_empty() {
            kept.memory.complete(self.id, bytes.len());
        }
        drop(kept);
        (bytes, self)
    }
}

impl Drop for KeptBody {
    fn drop(&mut self) {
        let mut kept = self.bodies.lock();
        kept.buffers[self.id] = Buffer::default();
        kept.memory.close(self.id);
    }
}

impl Kept {
    /// Drops the bytes of the bodies that yield.
    fn evict_others(&mut self) {
        for id in self.evicted.drain(..) {
            self.buffers[id].evict();
        }
    }
}

/// Returns the room that a body of `length` bytes takes: of one block what is necessary, and then whole
/// blocks.
fn capacity_for(length: usize, expected: usize) -> usize {
    match length <= BLOCK_BYTES {
        true => next_capacity(length, expected.min(BLOCK_BYTES)),
        false => length.next_multiple_of(BLOCK_BYTES),
    }
}

impl Buffer {
    /// Appends bytes for which there is room.
    fn append(&mut self, mut data: &[u8]) {
        self.length += data.len();
        while !data.is_empty() {
            let block = match self.blocks.last_mut() {
                Some(block) if block.len() < BLOCK_BYTES => block,
                _ => {
                    self.blocks.push(Vec::new());
                    continue;
                }
            };
            let (part, rest) = data.split_at(data.len().min(BLOCK_BYTES - block.len()));
            if block.len() + part.len() > block.capacity() {
                let capacity = self.capacity.min(BLOCK_BYTES);
                block.reserve_exact(capacity - block.len());
            }
            block.extend_from_slice(part);
            data = rest;
        }
    }

    /// Returns the body in one piece.
    fn join(mut self) -> Box<[u8]> {
        if self.blocks.len() <= 1 {
            return self.blocks.pop().unwrap_or_default().into_boxed_slice();
        }
        let mut bytes = Vec::with_capacity(self.length);
        for block in self.blocks {
            bytes.extend_from_slice(&block);
        }
        bytes.into_boxed_slice()
    }

    fn evict(&mut self) {
        ByReason::BodiesGivenUp.add("evicted");
        self.blocks = Vec::new();
        self.is_evicted = true;
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// The bytes of a body that was read in full.
struct CompleteBody {
    bytes: Bytes,
    _kept: KeptBody,
}

impl AsRef<[u8]> for CompleteBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
