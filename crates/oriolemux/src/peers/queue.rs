//! What waits to be sent to one peer.

use bytes::{Bytes, BytesMut};
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use tokio::sync::Notify;

/// The most bytes that wait for one peer.
///
/// A peer that takes nothing must not cost memory without bound: one stalled
/// link would otherwise take the process down with it.
pub const MAX_QUEUE_BYTES: usize = 4 * 1024 * 1024;

/// Frames are written together up to so many bytes, because each write costs a
/// system call and a DATA frame's head.
const BATCH_BYTES: usize = 64 * 1024;

/// What became of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queued {
    /// It waits.
    Kept,
    /// It waits, and so many older ones were dropped for it.
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
/// The oldest go first because every message between instances is either
/// repeated, or bound to a deadline that the oldest reaches first.
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

    /// Drops everything; returns how many frames that were.
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
