//! Requests that wait for a slot.

use super::claim::{Claim, Pair};
use crate::ids::EntryKey;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub claim: Claim,
    pub arrived: Time,
}

/// The queue of waiting requests of this instance.
///
/// Invariant: a request is in `waiting`, in the queue of its pair and in `due`, or in none of them.
/// No queue is empty.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    waiting: BTreeMap<u64, Waiting>,
    by_pair: BTreeMap<Pair, VecDeque<u64>>,
    due: BTreeSet<(Time, u64)>,
}

impl WaitQueue {
    pub fn push(&mut self, request: u64, waiting: Waiting) {
        let queue = self.by_pair.entry(waiting.claim.pair()).or_default();
        queue.push_back(request);
        self.due.insert((waiting.claim.deadline, request));
        self.waiting.insert(request, waiting);
    }

    pub fn remove(&mut self, request: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        self.due.remove(&(waiting.claim.deadline, request));
        let pair = waiting.claim.pair();
        if let Some(queue) = self.by_pair.get_mut(&pair) {
            queue.retain(|&it| it != request);
            if queue.is_empty() {
                self.by_pair.remove(&pair);
            }
        }
        Some(waiting)
    }

    pub fn get(&self, request: u64) -> Option<&Waiting> {
        self.waiting.get(&request)
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the pairs with waiting requests, each with its oldest request.
    pub fn heads(&self) -> impl Iterator<Item = (Pair, u64)> + '_ {
        let queues = self.by_pair.iter();
        queues.filter_map(|(&pair, queue)| Some((pair, *queue.front()?)))
    }

    /// Returns the queues of an entry.
    pub fn of_entry(&self, entry: EntryKey) -> impl Iterator<Item = (Pair, &VecDeque<u64>)> + '_ {
        let queues = self.by_pair.iter();
        let of_entry = queues.filter(move |(pair, _)| pair.0 == entry);
        of_entry.map(|(&pair, queue)| (pair, queue))
    }

    /// Returns the requests of a pair in order of arrival.
    pub fn of_pair(&self, pair: Pair) -> Vec<u64> {
        let queue = self.by_pair.get(&pair);
        queue.map_or_else(Vec::new, |it| it.iter().copied().collect())
    }

    /// Returns a request whose deadline has passed.
    pub fn overdue(&self, now: Time) -> Option<u64> {
        let &(due, request) = self.due.first()?;
        (due <= now).then_some(request)
    }

    pub fn next_due(&self) -> Time {
        self.due.first().map_or(Time::NEVER, |it| it.0)
    }
}
