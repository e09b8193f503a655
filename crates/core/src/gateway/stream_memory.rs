//! Whether more of a stream is read, where its endpoint sends faster than its caller reads.
//!
//! What was read and is not written yet takes memory of the instance. An endpoint that is not read stops
//! sending, which costs nobody anything, so a stream is read only while there is room for it; none is
//! given up for want of room. See `docs/design/caller-bounds.md`.
//!
//! # Invariants
//!
//! - A stream always has room for [`OWN_BYTES`], so that no other stream keeps ordinary events waiting.
//! - What streams take beyond that is bounded over all, and over those of one endpoint.
//! - One stream at a time may exceed these bounds by one event. Without it, streams that hold incomplete
//!   events could wait for each other.

use crate::ids::EndpointKey;
use cranelift_entity::{PrimaryMap, entity_impl};
use std::collections::BTreeMap;

/// A stream that is open.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamId(u32);
entity_impl!(StreamId, "stream");

/// The most bytes that one read of a stream adds. Ordinary events have some hundred.
pub const READ_BYTES: usize = 4 * 1024;

/// Bytes of each stream that are not counted: one read, and the events of the read before it.
pub const OWN_BYTES: usize = 2 * READ_BYTES;

/// Bytes of a stream beyond which it is read only once its caller has taken all complete events.
const AHEAD_BYTES: usize = 64 * 1024;

/// The inverse of the share of the memory that streams may take beyond their own bytes.
const MEMORY_SHARE: usize = 16;

/// The inverse of the share of these bytes that the streams of one endpoint may take.
const ENDPOINT_SHARE: usize = 2;

/// What a stream takes.
#[derive(Clone, Copy, Debug)]
struct Stream {
    is_open: bool,
    endpoint: EndpointKey,
    /// Bytes of complete events that are not written to the caller.
    unwritten: usize,
    /// Bytes that were read and not passed on.
    buffered: usize,
    /// Bytes of the next read, if it is admitted.
    admitted: usize,
    /// Its part of the bytes of all streams.
    counted: usize,
    /// Whether it is to be woken once it may be read.
    is_paused: bool,
    /// Whether it waits for room that other streams take.
    is_waiting: bool,
}

impl Stream {
    const fn held(&self) -> usize {
        self.unwritten + self.buffered + self.admitted
    }
}

/// Counts the bytes between endpoints and callers.
#[derive(Debug)]
pub struct StreamMemory {
    bound: usize,
    endpoint_bound: usize,
    used: usize,
    by_endpoint: BTreeMap<EndpointKey, usize>,
    streams: PrimaryMap<StreamId, Stream>,
    closed: Vec<StreamId>,
    /// The stream that may exceed the bounds.
    exempt: Option<StreamId>,
    /// The streams that wait for room that others take, in their order.
    waiting: Vec<StreamId>,
}

impl StreamMemory {
    /// Returns an empty count of a process that may use `memory` bytes.
    pub fn of_memory(memory: usize) -> Self {
        let bound = memory / MEMORY_SHARE;
        StreamMemory {
            bound,
            endpoint_bound: bound / ENDPOINT_SHARE,
            used: 0,
            by_endpoint: BTreeMap::new(),
            streams: PrimaryMap::new(),
            closed: Vec::new(),
            exempt: None,
            waiting: Vec::new(),
        }
    }

    /// Returns the bytes that all streams take beyond their own.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a stream of `endpoint`.
    pub fn open(&mut self, endpoint: EndpointKey) -> StreamId {
        let stream = Stream {
            is_open: true,
            endpoint,
            unwritten: 0,
            buffered: 0,
            admitted: 0,
            counted: 0,
            is_paused: false,
            is_waiting: false,
        };
        match self.closed.pop() {
            Some(id) => {
                self.streams[id] = stream;
                id
            }
            None => self.streams.push(stream),
        }
    }

    /// Removes a stream of which nothing is kept any more.
    pub fn close(&mut self, id: StreamId) {
        let stream = &mut self.streams[id];
        debug_assert!(stream.is_open, "{id} is closed once");
        stream.is_open = false;
        (stream.unwritten, stream.buffered, stream.admitted) = (0, 0, 0);
        self.recount(id);
        self.leave_queue(id);
        self.closed.push(id);
    }

    /// Moves a stream to the endpoint that continues it.
    pub fn set_endpoint(&mut self, id: StreamId, endpoint: EndpointKey) {
        let counted = self.streams[id].counted;
        self.release(id, counted);
        self.streams[id].endpoint = endpoint;
        self.take(id, counted);
    }

    /// Returns whether [`READ_BYTES`] more may be read of a stream, of which `buffered` bytes were read
    /// and not passed on. If not, [`StreamMemory::on_written`] or [`StreamMemory::take_ready`] tells when
    /// to ask again.
    pub fn admit_read(&mut self, id: StreamId, buffered: usize) -> bool {
        self.streams[id].buffered = buffered;
        self.streams[id].admitted = 0;
        self.recount(id);
        let is_admitted = self.has_room(id);
        let stream = &mut self.streams[id];
        stream.is_paused = !is_admitted;
        if is_admitted {
            stream.admitted = READ_BYTES;
            if stream.held() > OWN_BYTES && !self.fits(id) {
                self.exempt = Some(id);
            }
            self.recount(id);
            self.leave_queue(id);
        } else if stream.unwritten == 0 && !stream.is_waiting {
            stream.is_waiting = true;
            self.waiting.push(id);
        }
        is_admitted
    }

    /// Records that nothing more is read of a stream for now, and that what was read and not passed on is
    /// dropped.
    pub fn stop_reading(&mut self, id: StreamId) {
        let stream = &mut self.streams[id];
        (stream.buffered, stream.admitted, stream.is_paused) = (0, 0, false);
        self.recount(id);
        self.leave_queue(id);
    }

    /// Records that `bytes` of the bytes that were read are passed on to the caller.
    pub fn on_passed_on(&mut self, id: StreamId, bytes: usize) {
        let stream = &mut self.streams[id];
        let just_read = stream.admitted.min(bytes);
        stream.admitted -= just_read;
        stream.buffered = stream.buffered.saturating_sub(bytes - just_read);
        stream.unwritten += bytes;
        self.recount(id);
    }

    /// Records that `bytes` were written to the caller, or dropped. Returns whether the stream should ask
    /// again whether it may be read.
    pub fn on_written(&mut self, id: StreamId, bytes: usize) -> bool {
        self.streams[id].unwritten -= bytes;
        self.recount(id);
        // It queues for the room of others only once its caller has taken everything.
        let stream = &self.streams[id];
        stream.is_paused && (stream.unwritten == 0 || self.has_room(id))
    }

    /// Returns a stream that waited for others and may be read now; it is not returned again before it
    /// has asked. Streams are returned in the order in which they began to wait.
    pub fn take_ready(&mut self) -> Option<StreamId> {
        let at = self.waiting.iter().position(|&id| self.has_room(id))?;
        let id = self.waiting.remove(at);
        self.streams[id].is_waiting = false;
        Some(id)
    }

    /// Returns whether one more read of a stream has room.
    fn has_room(&self, id: StreamId) -> bool {
        let stream = &self.streams[id];
        let held = stream.unwritten + stream.buffered + READ_BYTES;
        if held <= OWN_BYTES {
            return true;
        }
        if stream.unwritten > 0 {
            return held <= AHEAD_BYTES && self.fits(id);
        }
        self.fits(id) || self.exempt.is_none_or(|it| it == id)
    }

    /// Returns whether one more read of a stream is within the bounds.
    fn fits(&self, id: StreamId) -> bool {
        let stream = &self.streams[id];
        let held = stream.unwritten + stream.buffered + READ_BYTES;
        let more = held.saturating_sub(OWN_BYTES + stream.counted);
        let of_endpoint = self.by_endpoint.get(&stream.endpoint).copied();
        self.used + more <= self.bound && of_endpoint.unwrap_or(0) + more <= self.endpoint_bound
    }

    /// Counts what a stream holds.
    fn recount(&mut self, id: StreamId) {
        let stream = &self.streams[id];
        let (before, after) = (stream.counted, stream.held().saturating_sub(OWN_BYTES));
        if before == after {
            return;
        }
        self.release(id, before);
        self.take(id, after);
        if after == 0 && self.exempt == Some(id) {
            self.exempt = None;
        }
    }

    fn take(&mut self, id: StreamId, bytes: usize) {
        let stream = &mut self.streams[id];
        stream.counted = bytes;
        self.used += bytes;
        if bytes > 0 {
            *self.by_endpoint.entry(stream.endpoint).or_default() += bytes;
        }
    }

    fn release(&mut self, id: StreamId, bytes: usize) {
        let stream = &mut self.streams[id];
        stream.counted = 0;
        self.used -= bytes;
        if let Some(used) = self.by_endpoint.get_mut(&stream.endpoint) {
            *used -= bytes;
            if *used == 0 {
                self.by_endpoint.remove(&stream.endpoint);
            }
        }
    }

    fn leave_queue(&mut self, id: StreamId) {
        if core::mem::take(&mut self.streams[id].is_waiting) {
            self.waiting.retain(|&it| it != id);
        }
    }
}
