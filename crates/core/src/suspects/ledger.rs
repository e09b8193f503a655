//! Which requests crashed which endpoints.
//!
//! A record holds a set of endpoints and is merged as a set union: two instances that saw the same
//! crash count it once, and lost or duplicate messages do no harm. A request that succeeds begins a
//! new round with an empty set, which replaces all sets of earlier rounds.

use super::SuspectRun;
use crate::fingerprint::Fingerprint;
use crate::ids::{EndpointKey, stable_hash};
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of endpoint crashes from which on a request is refused. One crash may be the endpoint's
/// own fault and two may be coincidence.
pub const MAX_CRASHES: usize = 3;

/// How long a request is refused after its last endpoint crash. Then one attempt at a time is
/// admitted again, since a later release of the endpoint may withstand it.
pub const REFUSAL_DURATION: Duration = Duration::from_secs(300);

/// How long a suspect is remembered after its last endpoint crash.
const SUSPECT_TTL: Duration = Duration::from_secs(3_600);

/// How long a success is remembered. Older crash records of the request are not gossiped for longer
/// than that.
const CLEARED_TTL: Duration = Duration::from_secs(60);

/// Bound on the suspects that are remembered; they take some 150 KB.
pub const MAX_SUSPECTS: usize = 1_024;

/// Bound on the crashed endpoints that are remembered of one suspect. Crashes that happen while the
/// gossip about the previous one is still spreading count too.
const MAX_CRASHES_KEPT: usize = 8;

/// How much newer the last crash of a full record must be for the record to count as changed. Times
/// of one crash differ between instances by what the messages about it took.
const MIN_RENEWAL: Duration = Duration::from_secs(1);

/// How long a response must have been streaming for its request to count as successful, even if it
/// breaks off then. A request that crashes its endpoint does so when it begins.
pub const SUCCESS_AFTER: Duration = Duration::from_secs(1);

/// Suspects that are sent to an instance whose ledger differs: they fit one datagram.
const MAX_SENT: usize = 24;

/// Interval at which expired suspects are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What is known about one request, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often the request succeeded after it had become a suspect.
    pub round: u32,
    /// The endpoints that it crashed since then.
    pub crashed: Vec<EndpointKey>,
    /// Milliseconds since the record last changed, as the sender knows it.
    pub age_ms: u32,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may run.
    Free,
    /// It may run if it runs nowhere else.
    Suspect,
    /// It may not run.
    Refused,
}

#[derive(Clone, Debug)]
struct Suspect {
    round: u32,
    crashed: BTreeSet<EndpointKey>,
    /// When the record last changed.
    changed: Time,
}

impl Suspect {
    fn hash(&self, fingerprint: Fingerprint) -> u64 {
        let crashed = self.crashed.iter().fold(0, |sum, it| sum ^ it.0);
        let round = self.round.to_le_bytes();
        stable_hash(&[
            &fingerprint.rank_key().to_le_bytes(),
            &round,
            &crashed.to_le_bytes(),
        ])
    }

    fn ttl(&self) -> Duration {
        match self.crashed.is_empty() {
            true => CLEARED_TTL,
            false => SUSPECT_TTL,
        }
    }
}

/// All requests that are known to have crashed endpoints.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The value of [`Ledger::digest`], until something changes.
    digest: Option<u64>,
    last_sweep: Time,
}

impl Ledger {
    /// Returns whether a request may run.
    pub fn standing(&self, now: Time, fingerprint: Fingerprint) -> Standing {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Standing::Free;
        };
        match suspect.crashed.len() {
            0 => Standing::Free,
            crashes if crashes < MAX_CRASHES => Standing::Suspect,
            _ if now.since(suspect.changed) < REFUSAL_DURATION => Standing::Refused,
            _ => Standing::Suspect,
        }
    }

    /// Returns whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how many endpoints a request is known to have crashed.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map_or(0, |it| it.crashed.len())
    }

    /// Returns how many suspects there are, and how many of them are refused.
    pub fn count(&self, now: Time) -> (usize, usize) {
        let all = self.suspects.keys();
        let standings = all.map(|it| self.standing(now, *it));
        standings.fold((0, 0), |(suspects, refused), it| match it {
            Standing::Free => (suspects, refused),
            Standing::Suspect => (suspects + 1, refused),
            Standing::Refused => (suspects + 1, refused + 1),
        })
    }

    /// Returns a hash of the suspects that [`Ledger::worst`] returns, equal where two instances
    /// would send each other the same records. Suspects beyond that limit must not count: the
    /// instances would send each other the same records again and again.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let worst = self.ranked().into_iter().take(MAX_SENT);
        let digest = worst.fold(0, |sum, (it, suspect)| sum ^ suspect.hash(*it));
        self.digest = Some(digest);
        digest
    }

    /// Records that a request crashed an endpoint; returns whether that was unknown.
    pub fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        endpoint: EndpointKey,
    ) -> bool {
        let round = self.suspects.get(&fingerprint).map_or(0, |it| it.round);
        self.merge(now, fingerprint, round, &[endpoint])
    }

    /// Records that a request succeeded; returns whether that changed its record.
    pub fn clear(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let known = self.suspects.get(&fingerprint);
        let Some(round) = known.filter(|it| !it.crashed.is_empty()).map(|it| it.round) else {
            return false;
        };
        self.merge(now, fingerprint, round.saturating_add(1), &[])
    }

    /// Merges a record of another instance; returns whether it changed anything.
    pub fn on_record(&mut self, now: Time, record: &CrashRecord) -> bool {
        let age = Duration::from_millis(record.age_ms.into());
        let changed = now.before(age).unwrap_or(Time::ZERO);
        let ttl = match record.crashed.is_empty() {
            true => CLEARED_TTL,
            false => SUSPECT_TTL,
        };
        age < ttl && self.merge(changed, record.fingerprint, record.round, &record.crashed)
    }

    fn merge(
        &mut self,
        changed: Time,
        fingerprint: Fingerprint,
        round: u32,
        crashed: &[EndpointKey],
    ) -> bool {
        let mut suspect = match self.suspects.get(&fingerprint) {
            Some(known) if known.round > round => return false,
            Some(known) if known.round == round => known.clone(),
            _ => Suspect {
                round,
                crashed: BTreeSet::new(),
                changed,
            },
        };
        let before = self.suspects.get(&fingerprint);
        let before = before.map(|it| (it.round, it.crashed.len()));
        let room = MAX_CRASHES_KEPT.saturating_sub(suspect.crashed.len());
        let known = suspect.crashed.clone();
        let new = crashed.iter().filter(|it| !known.contains(it));
        suspect.crashed.extend(new.take(room));
        let is_renewed = suspect.crashed.len() >= MAX_CRASHES_KEPT
            && changed.since(suspect.changed) >= MIN_RENEWAL;
        if before == Some((suspect.round, suspect.crashed.len())) && !is_renewed {
            return false;
        }
        suspect.changed = suspect.changed.max(changed);
        self.remove(fingerprint);
        if self.suspects.len() >= MAX_SUSPECTS {
            self.remove_least();
        }
        self.suspects.insert(fingerprint, suspect);
        true
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        self.digest = None;
        self.suspects.remove(&fingerprint);
    }

    /// Removes the suspect with the fewest crashes, and of these the oldest.
    fn remove_least(&mut self) {
        let rank = |it: &Suspect| (it.crashed.len(), it.changed);
        let least = self.suspects.iter().min_by_key(|(_, it)| rank(it));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.remove(fingerprint);
        }
    }

    /// Removes what has expired.
    pub fn tick(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let suspects = self.suspects.iter();
        let old = suspects.filter(|(_, it)| now.since(it.changed) >= it.ttl());
        let old: Vec<Fingerprint> = old.map(|(fingerprint, _)| *fingerprint).collect();
        for fingerprint in old {
            self.remove(fingerprint);
        }
    }

    /// Returns the record of a request, to be sent to other instances.
    pub fn record(&self, now: Time, fingerprint: Fingerprint) -> Option<CrashRecord> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(CrashRecord {
            fingerprint,
            round: suspect.round,
            crashed: suspect.crashed.iter().copied().collect(),
            age_ms: u32::try_from(now.since(suspect.changed).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the records of the requests of some runs.
    pub fn records_of(&self, now: Time, runs: &[SuspectRun]) -> Vec<CrashRecord> {
        let mut all: Vec<Fingerprint> = runs.iter().map(|it| it.fingerprint).collect();
        all.sort();
        all.dedup();
        all.into_iter()
            .filter_map(|it| self.record(now, it))
            .collect()
    }

    /// Returns the records of the suspects that crashed the most endpoints, as many as fit a
    /// datagram.
    pub fn worst(&self, now: Time) -> Vec<CrashRecord> {
        let worst = self.ranked().into_iter().take(MAX_SENT);
        worst.filter_map(|(it, _)| self.record(now, *it)).collect()
    }

    /// Returns all suspects, those with the most crashes first. Ties are broken by fingerprint,
    /// which is the same at all instances, and not by age, which is not.
    fn ranked(&self) -> Vec<(&Fingerprint, &Suspect)> {
        let mut all: Vec<_> = self.suspects.iter().collect();
        all.sort_by_key(|(_, it)| core::cmp::Reverse(it.crashed.len()));
        all
    }
}
