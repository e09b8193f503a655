//! Leases for runs of suspects, as the home of a suspect grants them.
//!
//! Every instance that runs a suspect reports this repeatedly to the home and to the next in rank,
//! so that a home that fails is followed by one that knows the holders. A home that has just
//! started grants no lease until it must have received a report from all holders.

use super::{RunLeaseAnswer, RunLeaseReport};
use crate::fingerprint::Fingerprint;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// Time to live of a lease. Some four reports of its holder in a row may be lost.
pub const RUN_LEASE_TTL: Duration = Duration::from_millis(1_000);

/// Holders of one suspect: the instance, the number of the run there, and when the lease expires.
type Holders<I> = BTreeMap<(I, u64), Time>;

/// The leases of all suspects whose home this instance is, or may become.
#[derive(Clone, Debug)]
pub struct RunLeases<I> {
    holders: BTreeMap<Fingerprint, Holders<I>>,
    /// Start of the grace period: since when reports have been received without a pause.
    grace_since: Time,
}

impl<I: Ord + Copy> RunLeases<I> {
    /// Returns a home whose grace period begins now.
    pub fn new(now: Time) -> Self {
        RunLeases {
            holders: BTreeMap::new(),
            grace_since: now,
        }
    }

    /// Applies an instance's report and answers its requests. Crash records are not handled here
    /// but by the [`Ledger`](super::Ledger).
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

    /// Records that an instance runs a suspect.
    pub fn renew(&mut self, now: Time, fingerprint: Fingerprint, by: I, run: u64) {
        let holders = self.holders.entry(fingerprint).or_default();
        holders.insert((by, run), now + RUN_LEASE_TTL);
    }

    /// Records that a run ended.
    pub fn release(&mut self, fingerprint: Fingerprint, by: I, run: u64) {
        if let Some(holders) = self.holders.get_mut(&fingerprint) {
            holders.remove(&(by, run));
        }
    }

    /// Grants the lease to a run if no other run holds it; returns whether it did.
    pub fn acquire(&mut self, now: Time, fingerprint: Fingerprint, by: I, run: u64) -> bool {
        if now.since(self.grace_since) < RUN_LEASE_TTL {
            return false;
        }
        let holders = self.holders.entry(fingerprint).or_default();
        holders.retain(|_, until| now < *until);
        // A run that requests the lease does not run now. Otherwise two waiting runs would wait for
        // each other.
        holders.remove(&(by, run));
        let is_free = holders.is_empty();
        if is_free {
            holders.insert((by, run), now + RUN_LEASE_TTL);
        }
        is_free
    }

    /// Starts the grace period again after a pause of this process.
    ///
    /// Without this, a home that was frozen finds all its leases expired when it resumes, while
    /// renewals sent meanwhile may be lost: it would grant the lease of a suspect that is running.
    pub fn restart_grace_period(&mut self, now: Time) {
        self.grace_since = now;
    }

    /// Removes expired leases.
    pub fn tick(&mut self, now: Time) {
        for holders in self.holders.values_mut() {
            holders.retain(|_, until| now < *until);
        }
        self.holders.retain(|_, holders| !holders.is_empty());
    }
}
