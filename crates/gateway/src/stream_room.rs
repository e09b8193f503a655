//! Room for the events between engines and callers, which is taken until they are written.
//!
//! [`stream_memory`](oriolemux_core::gateway::stream_memory) decides whether more is read of a stream;
//! this module counts the blocks of events and wakes the streams that wait.

use bytes::Bytes;
use cranelift_entity::SecondaryMap;
use oriolemux_core::gateway::stream_memory::{StreamId, StreamMemory};
use oriolemux_core::ids::EndpointKey;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The room of all streams.
#[derive(Debug)]
pub struct StreamRooms {
    counts: Mutex<Counts>,
}

#[derive(Debug)]
struct Counts {
    memory: StreamMemory,
    /// Notified when a stream should ask again whether it may be read.
    readable: SecondaryMap<StreamId, Option<Arc<Notify>>>,
}

impl Counts {
    fn wake(&self, id: StreamId) {
        if let Some(readable) = &self.readable[id] {
            readable.notify_one();
        }
    }
}

impl StreamRooms {
    /// Returns the room of a process that may use `memory` bytes.
    pub fn new(memory: usize) -> Arc<Self> {
        Arc::new(StreamRooms {
            counts: Mutex::new(Counts {
                memory: StreamMemory::of_memory(memory),
                readable: SecondaryMap::new(),
            }),
        })
    }

    /// Returns the bytes that all streams take beyond their own.
    pub fn used(&self) -> usize {
        self.lock().memory.used()
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a change, and wakes a stream that waits for room that others took.
    fn change<T>(&self, change: impl FnOnce(&mut Counts) -> T) -> T {
        let mut counts = self.lock();
        let changed = change(&mut counts);
        if let Some(ready) = counts.memory.take_ready() {
            counts.wake(ready);
        }
        changed
    }

    /// Adds a stream of `endpoint`.
    pub fn open(self: &Arc<Self>, endpoint: EndpointKey) -> StreamRoom {
        let readable = Arc::new(Notify::new());
        let mut counts = self.lock();
        let id = counts.memory.open(endpoint);
        counts.readable[id] = Some(Arc::clone(&readable));
        drop(counts);
        StreamRoom {
            stream: Arc::new(OpenStream {
                rooms: Arc::clone(self),
                id,
                readable,
            }),
        }
    }
}

/// A stream that is closed when its last block was written.
#[derive(Debug)]
struct OpenStream {
    rooms: Arc<StreamRooms>,
    id: StreamId,
    readable: Arc<Notify>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.rooms.change(|counts| {
            counts.readable[self.id] = None;
            counts.memory.close(self.id);
        });
    }
}

/// The room of one stream, for whoever reads it.
#[derive(Debug)]
pub struct StreamRoom {
    stream: Arc<OpenStream>,
}

impl StreamRoom {
    /// Returns whether more may be read, where `buffered` bytes were read and not passed on.
    pub fn admit_read(&self, buffered: usize) -> bool {
        let id = self.stream.id;
        let rooms = &self.stream.rooms;
        rooms.change(|counts| counts.memory.admit_read(id, buffered))
    }

    /// Waits until [`StreamRoom::admit_read`] may say something else.
    pub async fn changed(&self) {
        self.stream.readable.notified().await;
    }

    /// Returns a block of an event for the caller. It takes room until its last copy is dropped, which is
    /// after it was written.
    pub fn pass_on(&self, block: Vec<u8>) -> Bytes {
        let id = self.stream.id;
        let memory = block.capacity();
        let mut counts = self.stream.rooms.lock();
        counts.memory.on_passed_on(id, memory);
        drop(counts);
        Bytes::from_owner(CountedBlock {
            block,
            stream: Arc::clone(&self.stream),
        })
    }

    /// Counts the stream as one of the endpoint that continues it.
    pub fn set_endpoint(&self, endpoint: EndpointKey) {
        let id = self.stream.id;
        let rooms = &self.stream.rooms;
        rooms.change(|counts| counts.memory.set_endpoint(id, endpoint));
    }

    /// Records that nothing is read for now, and that nothing is buffered.
    pub fn stop_reading(&self) {
        let id = self.stream.id;
        let rooms = &self.stream.rooms;
        rooms.change(|counts| counts.memory.stop_reading(id));
    }
}

impl Drop for StreamRoom {
    fn drop(&mut self) {
        self.stop_reading();
    }
}

/// A block of an event that is not written yet.
struct CountedBlock {
    block: Vec<u8>,
    stream: Arc<OpenStream>,
}

impl AsRef<[u8]> for CountedBlock {
    fn as_ref(&self) -> &[u8] {
        &self.block
    }
}

impl Drop for CountedBlock {
    fn drop(&mut self) {
        let memory = self.block.capacity();
        // Its memory is free before another stream takes the room.
        drop(core::mem::take(&mut self.block));
        let id = self.stream.id;
        self.stream.rooms.change(|counts| {
            if counts.memory.on_written(id, memory) {
                counts.wake(id);
            }
        });
    }
}
