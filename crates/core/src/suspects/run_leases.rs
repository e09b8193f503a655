//! Who runs a suspect now, as the home of the suspect knows it.
//!
//! The home is one instance, the same for all by rendezvous hashing. Whoever runs a suspect
//! says so to the home and to the next in rank, again and again, so that a home that ends is
//! followed by one that knows. One that has just begun to listen gives no turn until it must
//! have heard of all who run.

use super::{RunLeaseAnswer, RunLeaseReport};
use crate::fingerprint::Fingerprint;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// How long the word of an instance that runs a suspect is believed: some four of its messages
/// in a row may be lost.
pub const RUN_LEASE_TTL: Duration = Duration::from_millis(1_000);

/// Runs of one suspect: by whom, by its number there, and until when that is believed.
type Holders<I> = BTreeMap<(I, u64), Time>;

/// The runs of all suspects whose home this instance is, or may become.
#[derive(Clone, Debug)]
pub struct RunLeases<I> {
    holders: BTreeMap<Fingerprint, Holders<I>>,
    /// Since when it has been listening without a pause.
    grace_since: Time,
}

impl<I: Ord + Copy> RunLeases<I> {
    /// Returns a home that listens from now on.
    pub fn new(now: Time) -> Self {
        RunLeases {
            holders: BTreeMap::new(),
            grace_since: now,
        }
    }

    /// Takes in what an instance runs and asks for. What is known of the suspects goes by the
    /// [`Ledger`](super::Ledger).
    pub fn on_report(&mut self, now: Time, from: I, report: &RunLeaseReport) -> RunLeaseAnswer {
        for it in &report.release {
            self.release(it.fingerprint, from, it.run);
        }
        for it in &report.renew {
            self.renew(now, it.fingerprint, from, it.run);
        }
        let requests = report.acquire.iter().copied();
        let (granted, waiting) =
            requests.partition(|it| self.acquire(now, it.fingerprint, from, it.run));
        RunLeaseAnswer {
            granted,
            waiting,
            records: Vec::new(),
        }
    }

    /// Notes that an instance runs a suspect.
    pub fn renew(&mut self, now: Time, fingerprint: Fingerprint, by: I, run: u64) {
        let holders = self.holders.entry(fingerprint).or_default();
        holders.insert((by, run), now + RUN_LEASE_TTL);
    }

    /// Notes that a run ended.
    pub fn release(&mut self, fingerprint: Fingerprint, by: I, run: u64) {
        if let Some(holders) = self.holders.get_mut(&fingerprint) {
            holders.remove(&(by, run));
        }
    }

    /// Gives a suspect's turn to a run if nobody else has it; returns whether it did.
    pub fn acquire(&mut self, now: Time, fingerprint: Fingerprint, by: I, run: u64) -> bool {
        if now.since(self.grace_since) < RUN_LEASE_TTL {
            return false;
        }
        let holders = self.holders.entry(fingerprint).or_default();
        holders.retain(|_, until| now < *until);
        // Who asks does not run: two that wait must not wait for each other.
        holders.remove(&(by, run));
        let is_free = holders.is_empty();
        if is_free {
            holders.insert((by, run), now + RUN_LEASE_TTL);
        }
        is_free
    }

    /// Begins to listen anew after a pause.
    ///
    /// What goes wrong otherwise with a home that was frozen: all it knows is over when it
    /// wakes, and what was said meanwhile may be lost, so that it gives the turn of a suspect
    /// that runs.
    pub fn restart_grace_period(&mut self, now: Time) {
        self.grace_since = now;
    }

    /// Forgets runs of which nothing was heard.
    pub fn tick(&mut self, now: Time) {
        for holders in self.holders.values_mut() {
            holders.retain(|_, until| now < *until);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
    }
}
