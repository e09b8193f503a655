//! Why each request went as it did: a bounded ring of decision records.
//!
//! The node writes down every decision about a request as it takes it, typed
//! and without formatting; text is made only when an operator asks. The names
//! of steps are stable, and reasons are those of [`crate::reason`], so that an
//! operator can go from a counter or a log event to the records and back.

mod render;
mod step;

pub use render::{Line, Names};
pub use step::Step;

use crate::ids::RequestId;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// Steps that are kept of one request. A request takes a handful; one that is
/// tried again and again must not push out the others' records.
pub const MAX_STEPS: usize = 32;

/// A step and when it was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    /// Time since the request arrived.
    pub at: Duration,
    /// What was decided.
    pub step: Step,
}

/// The decisions about one request, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    id: RequestId,
    arrived: Time,
    steps: Vec<Timed>,
    /// Steps that were not kept.
    left_out: u32,
}

impl Record {
    fn new(id: RequestId, arrived: Time) -> Self {
        Record {
            id,
            arrived,
            steps: Vec::new(),
            left_out: 0,
        }
    }

    /// Returns which request this is about.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the steps that were kept.
    pub fn steps(&self) -> &[Timed] {
        &self.steps
    }

    /// Returns how many steps were not kept, just before the last one.
    pub fn left_out(&self) -> u32 {
        self.left_out
    }

    /// Keeps the first steps and the last.
    fn push(&mut self, now: Time, step: Step) {
        let at = now.since(self.arrived);
        if self.steps.len() == MAX_STEPS {
            self.steps.pop();
            self.left_out += 1;
        }
        self.steps.push(Timed { at, step });
    }
}

/// The decision records of the requests that this process accepted last.
#[derive(Clone, Debug)]
pub struct Explain {
    capacity: usize,
    /// By sequence number, which grows with time, so that the first is the oldest.
    records: BTreeMap<u64, Record>,
}

impl Explain {
    /// Creates a ring of `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Explain {
            capacity: capacity.max(1),
            records: BTreeMap::new(),
        }
    }

    /// Writes down a step. The first one of a request counts as its arrival.
    pub fn push(&mut self, now: Time, id: RequestId, step: Step) {
        let record = self
            .records
            .entry(id.seq)
            .or_insert_with(|| Record::new(id, now));
        record.push(now, step);
        while self.records.len() > self.capacity {
            self.records.pop_first();
        }
    }

    /// Returns the record of a request, unless it is too old or another process's.
    pub fn record(&self, id: RequestId) -> Option<&Record> {
        self.records.get(&id.seq).filter(|record| record.id == id)
    }

    /// Returns how many records are held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
