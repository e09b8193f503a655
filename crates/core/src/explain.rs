//! Decision records: why each request was handled as it was, in a bounded buffer.
//!
//! The node records every decision about a request when it makes it, typed and without formatting;
//! text is produced only when an operator asks. The names of steps are stable, and reasons are
//! those of [`crate::reason`], so that an operator can go from a counter or a log event to the
//! records and back.

mod render;
mod step;

pub use render::{Line, Names};
pub use step::Step;

use crate::ids::RequestId;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// Maximum number of steps kept for one request. A request needs a handful; one that is retried
/// many times must not displace the records of others.
pub const MAX_STEPS: usize = 32;

/// A step and the time at which it was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct TimedStep {
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
    steps: Vec<TimedStep>,
    /// Number of steps that were dropped.
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

    /// Returns the ID of the request.
    pub fn id(&self) -> RequestId {
        self.id
    }

    /// Returns the steps that were kept.
    pub fn steps(&self) -> &[TimedStep] {
        &self.steps
    }

    /// Returns the number of steps that were dropped, directly before the last one.
    pub fn left_out(&self) -> u32 {
        self.left_out
    }

    /// Adds a step. When full, it replaces the last step, so that the first steps and the latest
    /// are kept.
    fn push(&mut self, now: Time, step: Step) {
        let at = now.since(self.arrived);
        if self.steps.len() == MAX_STEPS {
            self.steps.pop();
            self.left_out += 1;
        }
        self.steps.push(TimedStep { at, step });
    }
}

/// The decision records of the requests that this process accepted most recently.
#[derive(Clone, Debug)]
pub struct Explain {
    capacity: usize,
    /// By sequence number, which increases with time, so that the first record is the oldest.
    records: BTreeMap<u64, Record>,
}

impl Explain {
    /// Creates a buffer of `capacity` records.
    pub fn new(capacity: usize) -> Self {
        Explain {
            capacity: capacity.max(1),
            records: BTreeMap::new(),
        }
    }

    /// Records a step. The time of the first one counts as the arrival of the request.
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

    /// Returns the record of a request, unless it was dropped or belongs to another process.
    pub fn record(&self, id: RequestId) -> Option<&Record> {
        self.records.get(&id.seq).filter(|record| record.id == id)
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
