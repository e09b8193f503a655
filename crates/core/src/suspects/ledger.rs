//! Which requests ended which endpoints.
//!
//! What is known of a request is a set of endpoints, and merges without order: two instances
//! that saw the same end count it once, and a message that is lost or comes twice changes
//! nothing. A request that ran well begins a new round with an empty set, which goes before all
//! sets of earlier rounds.

use super::SuspectRun;
use crate::fingerprint::Fingerprint;
use crate::ids::{EndpointKey, stable_hash};
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Endpoints that a request may end before it is refused. One end may be the endpoint's own and
/// two may be bad luck.
pub const MAX_CRASHES: usize = 3;

/// How long a request is refused after the last endpoint that it ended. Then one attempt is let
/// through, alone, since a later release of the endpoint may bear it.
pub const REFUSAL_DURATION: Duration = Duration::from_secs(300);

/// How long a suspect is remembered after the last endpoint that it ended.
const SUSPECT_TTL: Duration = Duration::from_secs(3_600);

/// How long it is remembered that a request ran well. News of what it was blamed for before
/// travels no longer than that.
const CLEARED_TTL: Duration = Duration::from_secs(60);

/// Suspects that are remembered at most: some 150 KB.
pub const MAX_SUSPECTS: usize = 1_024;

/// Endpoints that are remembered of one suspect: those that it ends while the news of the last
/// one is under way count too.
const MAX_CRASHES_KEPT: usize = 8;

/// How long an answer must have been under way for its request to count as one that ran well,
/// even if it broke off then. What ends its endpoint does so when it begins.
pub const SUCCESS_AFTER: Duration = Duration::from_secs(1);

/// Suspects that one instance tells another one that knows others: one datagram.
const MAX_SENT: usize = 24;

/// How often what is too old is looked for.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What is told of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often it ran well after it had been blamed.
    pub round: u32,
    /// The endpoints that it ended since then.
    pub crashed: Vec<EndpointKey>,
    /// Milliseconds since the last change of this, as the sender knows it.
    pub age_ms: u32,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may.
    Free,
    /// It may where it runs nowhere else.
    Suspect,
    /// It may not.
    Refused,
}

#[derive(Clone, Debug)]
struct Suspect {
    round: u32,
    crashed: BTreeSet<EndpointKey>,
    /// When the last change happened.
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

/// All requests that are known to have ended endpoints.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// What [`Ledger::digest`] returns, until something changes.
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

    /// Returns whether nothing is known of anybody.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how many endpoints a request is known to have ended.
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

    /// Returns a hash of the suspects that [`Ledger::worst`] tells of, equal where two
    /// instances would tell each other the same. What is left out must not count: they would
    /// tell each other the same again and again.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let worst = self.ranked().into_iter().take(MAX_SENT);
        let digest = worst.fold(0, |sum, (it, suspect)| sum ^ suspect.hash(*it));
        self.digest = Some(digest);
        digest
    }

    /// Notes that a request ended an endpoint; returns whether that is news.
    pub fn record_crash(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        endpoint: EndpointKey,
    ) -> bool {
        let round = self.suspects.get(&fingerprint).map_or(0, |it| it.round);
        self.merge(now, fingerprint, round, &[endpoint])
    }

    /// Notes that a request ran well; returns whether that is news.
    pub fn clear(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let known = self.suspects.get(&fingerprint);
        let Some(round) = known.filter(|it| !it.crashed.is_empty()).map(|it| it.round) else {
            return false;
        };
        self.merge(now, fingerprint, round.saturating_add(1), &[])
    }

    /// Takes in what another instance knows; returns whether that is news.
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
        if before == Some((suspect.round, suspect.crashed.len())) {
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

    /// Removes the suspect that ended the fewest endpoints, and of these the oldest.
    fn remove_least(&mut self) {
        let rank = |it: &Suspect| (it.crashed.len(), it.changed);
        let least = self.suspects.iter().min_by_key(|(_, it)| rank(it));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.remove(fingerprint);
        }
    }

    /// Forgets what is too old.
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

    /// Returns what is to be told of a request.
    pub fn record(&self, now: Time, fingerprint: Fingerprint) -> Option<CrashRecord> {
        let suspect = self.suspects.get(&fingerprint)?;
        Some(CrashRecord {
            fingerprint,
            round: suspect.round,
            crashed: suspect.crashed.iter().copied().collect(),
            age_ms: u32::try_from(now.since(suspect.changed).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns what is to be told of the requests of some runs.
    pub fn records_of(&self, now: Time, runs: &[SuspectRun]) -> Vec<CrashRecord> {
        let mut all: Vec<Fingerprint> = runs.iter().map(|it| it.fingerprint).collect();
        all.sort();
        all.dedup();
        all.into_iter()
            .filter_map(|it| self.record(now, it))
            .collect()
    }

    /// Returns what is to be told of the suspects that ended the most endpoints, as much as
    /// fits a datagram.
    pub fn worst(&self, now: Time) -> Vec<CrashRecord> {
        let worst = self.ranked().into_iter().take(MAX_SENT);
        worst.filter_map(|(it, _)| self.record(now, *it)).collect()
    }

    /// Returns all, those first that ended the most endpoints. Equals go by fingerprint, which
    /// is the same at all instances, and not by age, which is not.
    fn ranked(&self) -> Vec<(&Fingerprint, &Suspect)> {
        let mut all: Vec<_> = self.suspects.iter().collect();
        all.sort_by_key(|(_, it)| core::cmp::Reverse(it.crashed.len()));
        all
    }
}
