//! How many connections an instance holds, and which of them yield at the bound.
//!
//! Whoever can reach a listener can occupy connections. Each takes a descriptor, and memory for its
//! buffers. A bound that refuses whoever comes next lets those who keep connections shut all others
//! out, so the connections yield that wait for their callers the longest. See
//! `docs/design/caller-bounds.md`.

use core::cmp::Reverse;
use core::time::Duration;

/// Memory that a connection of a caller takes: its read buffer, the head of its request, and the state
/// of the request, in bytes.
pub const CONNECTION_BYTES: usize = 24 * 1024;

/// The least bytes that the system may hold for a connection that is not read. Ordinary requests fit.
const MIN_RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// The most bytes that the system may hold for a connection that is not read.
const MAX_RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// The most descriptors that are left to files, timers and the log.
const FILE_DESCRIPTORS: usize = 200;

/// The connections that each listener may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Connections of callers. Each may need one to an endpoint.
    pub callers: usize,
    /// Connections to the readiness check.
    pub readiness: usize,
    /// Connections to the operators' page, whose responses may be large.
    pub operators: usize,
    /// Connections of peers.
    pub peers: usize,
    /// The receive buffer of a caller's connection in the system, in bytes.
    pub receive_buffer: usize,
}

impl ConnectionBounds {
    /// The inverse of the share of the memory that connections of callers may take.
    const MEMORY_SHARE: usize = 4;
    /// The inverse of the share of the memory that their receive buffers may take.
    const RECEIVE_SHARE: usize = 6;
    /// The inverse of the largest share of the descriptors that is left to files.
    const FILE_SHARE: usize = 4;
    /// The inverse of the share of the remaining descriptors that peers may take.
    const PEER_SHARE: usize = 4;
    /// The inverse of the share that the readiness check may take.
    const READINESS_SHARE: usize = 64;
    /// The least connections to the readiness check.
    const MIN_READINESS: usize = 8;
    /// The connections to the operators' page.
    const OPERATORS: usize = 8;

    /// Returns the bounds of a process that may use `memory` bytes and `descriptors`, and is set to
    /// take at most `callers` connections of callers.
    pub fn new(memory: usize, descriptors: usize, callers: usize) -> Self {
        let files = FILE_DESCRIPTORS.min(descriptors / ConnectionBounds::FILE_SHARE);
        let sockets = descriptors - files;
        let peers = sockets / ConnectionBounds::PEER_SHARE;
        let readiness = sockets / ConnectionBounds::READINESS_SHARE;
        let readiness = readiness.max(ConnectionBounds::MIN_READINESS);
        let operators = ConnectionBounds::OPERATORS;
        let remaining = sockets.saturating_sub(peers + readiness + operators);
        let callers = callers
            .min(remaining / 2)
            .min(memory / ConnectionBounds::MEMORY_SHARE / CONNECTION_BYTES)
            .max(1);
        let receive_buffer = memory / ConnectionBounds::RECEIVE_SHARE / callers;
        ConnectionBounds {
            callers,
            readiness,
            operators,
            peers: peers.max(1),
            receive_buffer: receive_buffer
                .clamp(MIN_RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES),
        }
    }
}

/// A connection whose caller does not read its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnreadResponse<I> {
    /// The connection.
    pub id: I,
    /// For how long the caller has accepted no data.
    pub blocked: Duration,
    /// The memory that the response takes, in bytes.
    pub bytes: usize,
}

/// Returns which connections yield so that their responses release `bytes`: those whose callers have
/// accepted no data for the longest time, [`MIN_UNREAD`] at least, as many as are necessary.
pub fn yielding_unread<I: Copy>(
    unread: impl Iterator<Item = UnreadResponse<I>>,
    bytes: usize,
) -> Vec<I> {
    let unread = unread.filter(|it| it.blocked >= MIN_UNREAD);
    let mut unread: Vec<UnreadResponse<I>> = unread.collect();
    unread.sort_unstable_by_key(|it| Reverse(it.blocked));
    let mut released = 0;
    let necessary = unread.iter().take_while(|it| {
        let is_necessary = released < bytes;
        released += it.bytes;
        is_necessary
    });
    necessary.map(|it| it.id).collect()
}

/// The inverse of the share of a listener's connections that yield together, so that a flood of new
/// ones does not look at all of them for each.
const YIELD_SHARE: usize = 32;

/// How long a connection has waited at least that yields beside another one.
const MIN_JOINT_WAIT: Duration = Duration::from_secs(1);

/// How long a caller has accepted no data at least whose response may yield. One that reads accepts some
/// after each round trip; being blocked for a moment is how a slow link looks.
pub const MIN_UNREAD: Duration = Duration::from_secs(5);

/// Returns which connections yield at a bound of `limit`: those that have waited for their callers the
/// longest, and more than one only if they have waited for a second. Connections that are
/// being served are not in `waiting`.
pub fn yielding<I: Copy>(waiting: impl Iterator<Item = (I, Duration)>, limit: usize) -> Vec<I> {
    let count = (limit / YIELD_SHARE).max(1);
    let mut waiting: Vec<(I, Duration)> = waiting.collect();
    if count < waiting.len() {
        waiting.select_nth_unstable_by_key(count - 1, |(_, time)| Reverse(*time));
        waiting.truncate(count);
    }
    waiting.sort_unstable_by_key(|(_, time)| Reverse(*time));
    let yields = |index: usize, time: Duration| index == 0 || time >= MIN_JOINT_WAIT;
    let yielding = waiting.into_iter().enumerate();
    let yielding = yielding.filter(|&(index, (_, time))| yields(index, time));
    yielding.map(|(_, (id, _))| id).collect()
}
