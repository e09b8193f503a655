//! Requests that wait for a place.

use super::claim::{Claim, Pair};
use crate::ids::EntryKey;
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A request that waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub claim: Claim,
    pub arrived: Time,
}

/// All requests that wait at this instance.
///
/// Invariant: a request is in `waiting`, in the line of its pair and in `due`,
/// or in none of them; no line is empty.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    waiting: BTreeMap<u64, Waiting>,
    by_pair: BTreeMap<Pair, VecDeque<u64>>,
    due: BTreeSet<(Time, u64)>,
}

impl WaitQueue {
    pub fn push(&mut self, request: u64, waiting: Waiting) {
        let line = self.by_pair.entry(waiting.claim.pair()).or_default();
        line.push_back(request);
        self.due.insert((waiting.claim.deadline, request));
        self.waiting.insert(request, waiting);
    }

    pub fn remove(&mut self, request: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&request)?;
        self.due.remove(&(waiting.claim.deadline, request));
        let pair = waiting.claim.pair();
        if let Some(line) = self.by_pair.get_mut(&pair) {
            line.retain(|&it| it != request);
            if line.is_empty() {
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

    /// Returns the pairs that wait, each with its first request.
    pub fn heads(&self) -> impl Iterator<Item = (Pair, u64)> + '_ {
        let lines = self.by_pair.iter();
        lines.filter_map(|(&pair, line)| Some((pair, *line.front()?)))
    }

    /// Returns the lines of an entry.
    pub fn of_entry(&self, entry: EntryKey) -> impl Iterator<Item = (Pair, &VecDeque<u64>)> + '_ {
        let lines = self.by_pair.iter();
        let of_entry = lines.filter(move |(pair, _)| pair.0 == entry);
        of_entry.map(|(&pair, line)| (pair, line))
    }

    /// Returns the requests of a pair, first come first.
    pub fn of_pair(&self, pair: Pair) -> Vec<u64> {
        let line = self.by_pair.get(&pair);
        line.map_or_else(Vec::new, |it| it.iter().copied().collect())
    }

    /// Returns the next request whose time is up.
    pub fn overdue(&self, now: Time) -> Option<u64> {
        let &(due, request) = self.due.first()?;
        (due <= now).then_some(request)
    }

    pub fn next_due(&self) -> Time {
        self.due.first().map_or(Time::NEVER, |it| it.0)
    }
}
