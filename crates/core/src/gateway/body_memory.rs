//! Whose request bodies are kept, where all of them together are bounded.
//!
//! A body has a bound of its own, and all bodies have one together: a crowd of callers would exhaust
//! the memory of the instance otherwise. A joint bound that refuses whoever comes next lets the crowd
//! shut ordinary callers out. So what yields is the incomplete body that has made no progress for the
//! longest time, and small bodies have room of their own, which large ones cannot take. See
//! `docs/design/caller-bounds.md`.

use cranelift_entity::{PrimaryMap, entity_impl};
use std::collections::BTreeSet;

/// Identifies a body until it is closed; numbers are used again.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyId(u32);
entity_impl!(BodyId, "body");

/// The most bytes of a small body. Bodies of ordinary requests have some kilobytes.
pub const SMALL_BODY_BYTES: usize = 16 * 1024;

/// What a body takes besides its bytes: its entry here, the state of its reader and its request.
pub const BODY_OVERHEAD_BYTES: usize = 512;

/// How many bytes all bodies may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyBounds {
    /// All bodies of at most [`SMALL_BODY_BYTES`], with [`BODY_OVERHEAD_BYTES`] each.
    pub small: usize,
    /// All larger bodies, likewise. One may have more while there is no other.
    pub large: usize,
    /// The most bytes of a single body, whatever is kept besides.
    pub single: usize,
}

impl BodyBounds {
    /// The inverse of the share of the memory that bodies may take.
    const SHARE: usize = 4;
    /// The inverse of the share of that which small bodies have for themselves.
    const SMALL_SHARE: usize = 4;
    /// The inverse of the share of the memory that a single body may take. It takes twice that while it
    /// is joined from what was read.
    const SINGLE_SHARE: usize = 3;

    /// Returns the bounds of a process that may use `memory` bytes.
    pub fn of_memory(memory: usize) -> Self {
        let all = memory / BodyBounds::SHARE;
        let small = all / BodyBounds::SMALL_SHARE;
        BodyBounds {
            small,
            large: all - small,
            single: memory / BodyBounds::SINGLE_SHARE,
        }
    }
}

/// There is no room for a body: what is kept belongs to requests that were read in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
/// the bodies of other requests have taken the memory
pub struct NoBodyRoom;

/// Bodies of one size class.
#[derive(Debug, Default)]
struct Class {
    used: usize,
    /// How many bodies take some of it.
    count: usize,
    /// Incomplete bodies by their last progress.
    incomplete: BTreeSet<(u64, BodyId)>,
    /// What these take.
    incomplete_bytes: usize,
}

/// What is known of one body.
#[derive(Clone, Copy, Debug)]
struct Body {
    /// Bytes that it takes with its overhead; 0 before the first.
    bytes: usize,
    is_large: bool,
    /// The number of its last growth; `None` once it is complete.
    progress: Option<u64>,
}

/// Counts the bodies that are kept and decides which of them yield.
///
/// `used` of each class is the sum of the bytes of its bodies. An evicted body takes nothing from
/// then on; its id stays taken until it is closed.
#[derive(Debug)]
pub struct BodyMemory {
    bounds: BodyBounds,
    bodies: PrimaryMap<BodyId, Body>,
    free: Vec<BodyId>,
    small: Class,
    large: Class,
    growths: u64,
}

impl BodyMemory {
    /// Returns an empty memory.
    pub fn new(bounds: BodyBounds) -> Self {
        BodyMemory {
            bounds,
            bodies: PrimaryMap::new(),
            free: Vec::new(),
            small: Class::default(),
            large: Class::default(),
            growths: 0,
        }
    }

    /// Returns the bytes that all bodies take.
    pub fn used(&self) -> usize {
        self.small.used + self.large.used
    }

    /// Returns how many bodies are kept.
    pub fn len(&self) -> usize {
        self.bodies.len() - self.free.len()
    }

    /// Returns whether no body is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a body without bytes.
    pub fn open(&mut self) -> BodyId {
        let body = Body {
            bytes: 0,
            is_large: false,
            progress: Some(0),
        };
        match self.free.pop() {
            Some(id) => {
                self.bodies[id] = body;
                id
            }
            None => self.bodies.push(body),
        }
    }

    /// Makes room for `bytes` bytes of an incomplete body in total, which is progress. Appends the
    /// bodies that yield to `evicted`.
    ///
    /// # Errors
    ///
    /// Fails if there is no room, also without all bodies that could yield. The body keeps what it has.
    pub fn grow(
        &mut self,
        id: BodyId,
        bytes: usize,
        evicted: &mut Vec<BodyId>,
    ) -> Result<(), NoBodyRoom> {
        let before = self.bodies[id];
        let wanted = bytes + BODY_OVERHEAD_BYTES;
        let is_large = bytes > SMALL_BODY_BYTES;
        self.take_out(id);
        let has_room = bytes <= self.bounds.single && self.make_room(is_large, wanted, evicted);
        self.growths += 1;
        let progress = Some(self.growths);
        let body = match has_room {
            true => Body {
                bytes: wanted,
                is_large,
                progress,
            },
            false => Body { progress, ..before },
        };
        self.put_in(id, body);
        match has_room {
            true => Ok(()),
            false => Err(NoBodyRoom),
        }
    }

    /// Records that a body is complete with this many bytes, at most those that it grew to. It does not
    /// yield from now on, since its request may run.
    pub fn complete(&mut self, id: BodyId, bytes: usize) {
        let before = self.bodies[id];
        self.take_out(id);
        let body = Body {
            bytes: bytes + BODY_OVERHEAD_BYTES,
            // It stays in the class in which there was room for it.
            is_large: before.is_large,
            progress: None,
        };
        self.put_in(id, body);
    }

    /// Removes a body.
    pub fn close(&mut self, id: BodyId) {
        self.take_out(id);
        self.free.push(id);
    }

    fn class(&mut self, is_large: bool) -> &mut Class {
        match is_large {
            true => &mut self.large,
            false => &mut self.small,
        }
    }

    /// Removes what a body takes from its class.
    fn take_out(&mut self, id: BodyId) {
        let body = self.bodies[id];
        self.bodies[id].bytes = 0;
        if body.bytes == 0 {
            return;
        }
        let class = self.class(body.is_large);
        class.used -= body.bytes;
        class.count -= 1;
        if let Some(progress) = body.progress {
            class.incomplete.remove(&(progress, id));
            class.incomplete_bytes -= body.bytes;
        }
    }

    fn put_in(&mut self, id: BodyId, body: Body) {
        self.bodies[id] = body;
        if body.bytes == 0 {
            return;
        }
        let class = self.class(body.is_large);
        class.used += body.bytes;
        class.count += 1;
        if let Some(progress) = body.progress {
            class.incomplete.insert((progress, id));
            class.incomplete_bytes += body.bytes;
        }
    }

    /// Lets incomplete bodies of a class yield until `wanted` bytes fit; returns whether they do.
    fn make_room(&mut self, is_large: bool, wanted: usize, evicted: &mut Vec<BodyId>) -> bool {
        let bound = match is_large {
            true => self.bounds.large,
            false => self.bounds.small,
        };
        let class = self.class(is_large);
        let is_single = is_large && class.count == class.incomplete.len();
        if class.used - class.incomplete_bytes + wanted > bound && !is_single {
            // Nobody yields in vain.
            return false;
        }
        loop {
            let class = self.class(is_large);
            if class.used + wanted <= bound {
                return true;
            }
            let Some(&(_, id)) = class.incomplete.first() else {
                // It is the only one of its class.
                return is_single;
            };
            self.take_out(id);
            evicted.push(id);
        }
    }
}
