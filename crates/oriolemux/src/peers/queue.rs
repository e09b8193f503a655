//! The queue of frames for one peer.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use tokio::sync::Notify;

/// The most bytes that are queued for one peer.
///
/// Without the limit, one stalled link could exhaust the memory of the process.
pub const MAX_QUEUE_BYTES: usize = 4 * 1024 * 1024;

/// Frames are batched up to this many bytes per write, because each write costs a system call and
/// the header of a DATA frame.
const BATCH_BYTES: usize = 64 * 1024;

/// The result of queueing a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queued {
    /// It is queued.
    Kept,
    /// It is queued, and this many older frames were dropped for it.
    Displaced(usize),
}

#[derive(Debug, Default)]
struct Frames {
    frames: VecDeque<Bytes>,
    bytes: usize,
}

impl Frames {
    fn pop(&mut self) -> Option<Bytes> {
        let frame = self.frames.pop_front()?;
        self.bytes -= frame.len();
        Some(frame)
    }
}

/// A bounded queue of frames; the oldest are dropped when it is full.
///
/// The oldest are dropped first because every message between instances is either sent again, or
/// has a deadline that the oldest reaches first.
#[derive(Debug)]
pub(super) struct Queue {
    frames: Mutex<Frames>,
    most_frames: usize,
    filled: Notify,
}

impl Queue {
    pub fn new(most_frames: usize) -> Self {
        Queue {
            frames: Mutex::default(),
            most_frames,
            filled: Notify::new(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Frames> {
        self.frames.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn push(&self, frame: Bytes) -> Queued {
        let mut frames = self.lock();
        let mut dropped = 0;
        while frames.frames.len() >= self.most_frames
            || frames.bytes + frame.len() > MAX_QUEUE_BYTES
        {
            if frames.pop().is_none() {
                break;
            }
            dropped += 1;
        }
        frames.bytes += frame.len();
        frames.frames.push_back(frame);
        drop(frames);
        self.filled.notify_one();
        match dropped {
            0 => Queued::Kept,
            n => Queued::Displaced(n),
        }
    }

    /// Drops all frames; returns how many there were.
    pub fn clear(&self) -> usize {
        let mut frames = self.lock();
        let dropped = frames.frames.len();
        *frames = Frames::default();
        dropped
    }

    fn try_batch(&self) -> Option<Bytes> {
        let mut frames = self.lock();
        let first = frames.pop()?;
        let next = frames.frames.front().map(Bytes::len);
        if next.is_none_or(|it| first.len() + it > BATCH_BYTES) {
            return Some(first);
        }
        let mut batch = BytesMut::from(&first[..]);
        while let Some(next) = frames.frames.front() {
            if batch.len() + next.len() > BATCH_BYTES {
                break;
            }
            if let Some(frame) = frames.pop() {
                batch.extend_from_slice(&frame);
            }
        }
        Some(batch.freeze())
    }

    /// Waits for frames and returns as many as fit into one write.
    pub async fn batch(&self) -> Bytes {
        loop {
            let filled = self.filled.notified();
            if let Some(batch) = self.try_batch() {
                return batch;
            }
            filled.await;
        }
    }
}
