//! Which requests crashed which endpoints.
//!
//! A record holds a set of endpoints and is merged as a set union: two instances that saw the same
//! crash count it once, and lost or duplicate messages do no harm. A request that succeeds begins a
//! new round with an empty set, which replaces all sets of earlier rounds.
//!
//! Records are kept for requests and for the parts that prompts share. A part of many prompts is in
//! its first second at several endpoints at any moment, so that one event that ends them all, such
//! as a power cut, would blame it: a part is refused only if its crashes were separate events.
//!
//! The age in a record does not cover its transit, so that the time which an instance derives from it
//! is an upper bound: the crashes happened then or earlier. It may show that the first crash was
//! earlier than known, never that another one was later. Only an instance that saw a crash itself
//! concludes that it was a separate event, and tells the others with a marker in the record.

use super::{PromptParts, SuspectRun};
use crate::fingerprint::Fingerprint;
use crate::ids::{EndpointKey, stable_hash};
use crate::time::Time;
use core::cmp::Reverse;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of endpoint crashes from which on a request is refused. One crash may be the endpoint's
/// own fault and two may be coincidence.
pub const MAX_CRASHES: usize = 3;

/// How long a request is refused after its last endpoint crash. Then one attempt at a time is
/// admitted again, since a later release of the endpoint may withstand it.
pub const REFUSAL_DURATION: Duration = Duration::from_secs(300);

/// How long a prompt part is refused after its third crash and after its fourth, before one request
/// is admitted again. Later crashes refuse it for [`REFUSAL_DURATION`]. A part that is blamed for
/// what others did is cleared then; one that crashes endpoints crashes few of them in a minute.
const PART_REFUSAL_DURATIONS: [Duration; 2] = [Duration::from_secs(10), Duration::from_secs(60)];

/// How many crashes of a refused part must remain that no suspect explains which a request does not
/// have, for the request to be refused because of the part. One may be coincidence.
const MIN_UNEXPLAINED: usize = 2;

/// Crashes from which on a part is refused whatever else may explain them, but only for as long as
/// after its third. Each of those beyond cost an endpoint.
const MAX_EXPLAINED_CRASHES: usize = 5;

/// How many parts together may explain the crashes of another one. A part that all prompts share is
/// in the prompts of each part that crashes endpoints, and there are rarely more than two of these; a
/// part that crashes endpoints may be beside any number of others.
const MAX_EXPLAINING: usize = 2;

/// Crashes from which on a part may explain some of those of another one.
const MIN_EXPLAINING_CRASHES: usize = 2;

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

/// Time between two crashes from which on they are separate events.
pub const SEPARATE_AFTER: Duration = Duration::from_millis(500);

/// What stands in the record of a prompt part, besides endpoints, if its crashes were separate
/// events. Sets of endpoints are merged, so that all instances agree on it.
const SEPARATE_CRASHES: EndpointKey = EndpointKey(u64::MAX);

/// How much later than the last crash of a full record another one must be seen to begin a new round.
/// Several requests may have run at the endpoint that crashed.
const MIN_RENEWAL: Duration = Duration::from_secs(1);

/// How long a response must have been streaming for its request to count as successful, even if it
/// breaks off then. A request that crashes its endpoint does so when it begins.
pub const SUCCESS_AFTER: Duration = Duration::from_secs(1);

/// How long an engine must have been producing events for the parts of the prompt to count as ones
/// that crash no engine. A part that does so crashes it before the first event or with it; until
/// this time, sound requests may wait for the one that runs.
pub const PARTS_PROVEN_AFTER: Duration = Duration::from_millis(300);

/// Suspects that are sent to an instance whose ledger differs: they fit one datagram.
const MAX_SENT: usize = 24;

/// Interval at which expired suspects are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Returns how long a suspect is refused after the last of so many crashes.
fn refusal_duration(fingerprint: Fingerprint, crashes: usize) -> Duration {
    let earlier = crashes.saturating_sub(MAX_CRASHES);
    let of_part = PART_REFUSAL_DURATIONS.get(earlier).copied();
    of_part
        .filter(|_| fingerprint.is_prompt_part())
        .unwrap_or(REFUSAL_DURATION)
}

/// What is known about one request, as sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// How often the request succeeded after it had become a suspect, or crashed another endpoint
    /// although its record was full.
    pub round: u32,
    /// The endpoints that it crashed since it last succeeded. A reserved key among those of a prompt part says that
    /// the crashes were separate events.
    pub crashed: Vec<EndpointKey>,
    /// Milliseconds since the record last changed, as the sender knows it: all these crashes
    /// happened no later. The transit of the record is not included.
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

/// Whether a request may run because of the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartStanding {
    /// It may run.
    Free,
    /// It may run if no other request with this part runs under a lease.
    Suspect(Fingerprint),
    /// It may not run because of this part.
    Refused(Fingerprint),
}

#[derive(Clone, Debug)]
struct Suspect {
    round: u32,
    crashed: BTreeSet<EndpointKey>,
    /// Whether the crashes are known to be separate events.
    is_separate: bool,
    /// When the first of them happened, or later.
    first: Time,
    /// Of a prompt part, the crashes that this instance saw itself, and when they happened, or
    /// later. Empty once the crashes are known to be separate.
    seen: BTreeMap<EndpointKey, Time>,
    /// When the record last changed; all crashes happened no later.
    changed: Time,
}

/// Who saw a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This instance.
    Own,
    /// Another instance, whose record may have been in transit for any time.
    Record,
}

impl Suspect {
    fn hash(&self, fingerprint: Fingerprint) -> u64 {
        let separate = u64::from(self.is_separate);
        let crashed = self.crashed.iter().fold(separate, |sum, it| sum ^ it.0);
        let round = self.round.to_le_bytes();
        stable_hash(&[
            &fingerprint.rank_key().to_le_bytes(),
            &round,
            &crashed.to_le_bytes(),
        ])
    }

    /// Adds crashes of which the last happened at `changed`, or earlier.
    fn add(
        &mut self,
        fingerprint: Fingerprint,
        changed: Time,
        crashed: &[EndpointKey],
        source: Source,
    ) {
        let endpoints = crashed.iter().copied();
        let endpoints = endpoints.filter(|it| *it != SEPARATE_CRASHES);
        let known = self.crashed.clone();
        let new: Vec<EndpointKey> = endpoints.clone().filter(|it| !known.contains(it)).collect();
        let room = MAX_CRASHES_KEPT.saturating_sub(known.len());
        self.crashed.extend(new.iter().take(room));
        if known.is_empty() {
            self.first = changed;
        } else if endpoints.clone().next().is_some() {
            // A success, which names no endpoints, is no crash.
            self.first = self.first.min(changed);
        }
        if self.crashed.len() > known.len() {
            self.changed = self.changed.max(changed);
        }
        if fingerprint.is_prompt_part() && !self.is_separate {
            for endpoint in endpoints {
                if let Some(at) = self.seen.get_mut(&endpoint) {
                    *at = (*at).min(changed);
                }
            }
            if source == Source::Own {
                self.seen.extend(new.iter().map(|it| (*it, changed)));
            }
            let mut seen = self.seen.values();
            self.is_separate = crashed.contains(&SEPARATE_CRASHES)
                || seen.any(|it| it.since(self.first) >= SEPARATE_AFTER);
        }
        if self.is_separate {
            self.seen.clear();
        }
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
        let is_certain = !fingerprint.is_prompt_part() || suspect.is_separate;
        match suspect.crashed.len() {
            0 => Standing::Free,
            crashes if crashes < MAX_CRASHES || !is_certain => Standing::Suspect,
            crashes if now.since(suspect.changed) < refusal_duration(fingerprint, crashes) => {
                Standing::Refused
            }
            _ => Standing::Suspect,
        }
    }

    /// Returns whether a request may run because of the parts of its prompt.
    ///
    /// A part is not to blame for crashes that another suspect, which the request does not have,
    /// explains. While too few are left, the request runs alone: if it succeeds, the part is cleared,
    /// and if it crashes its endpoint, the other suspect does not explain that. Without this, a part
    /// that all prompts share would be refused together with the one that crashes endpoints, and no
    /// request could succeed to clear it.
    pub fn standing_of_parts(
        &self,
        now: Time,
        request: Fingerprint,
        parts: &PromptParts,
    ) -> PartStanding {
        if self.suspects.is_empty() {
            return PartStanding::Free;
        }
        let suspect = parts.iter().filter(|it| self.crash_count(*it) > 0);
        let is_refused = |part: &Fingerprint| {
            self.standing(now, *part) == Standing::Refused
                && (self.unexplained_crashes(*part, request, parts) >= MIN_UNEXPLAINED
                    || self.has_crashed_enough(now, *part))
        };
        if let Some(part) = suspect.clone().find(is_refused) {
            return PartStanding::Refused(part);
        }
        // Of equal ones the last, which fewer prompts share: the others need not wait for it.
        let worst = suspect.max_by_key(|it| self.crash_count(*it));
        worst.map_or(PartStanding::Free, PartStanding::Suspect)
    }

    /// Returns whether a part is refused for a while although others may explain its crashes.
    pub fn has_crashed_enough(&self, now: Time, part: Fingerprint) -> bool {
        let [for_a_while, _] = PART_REFUSAL_DURATIONS;
        let suspect = self.suspects.get(&part);
        suspect.is_some_and(|it| {
            it.crashed.len() >= MAX_EXPLAINED_CRASHES && now.since(it.changed) < for_a_while
        })
    }

    /// Returns how many crashes of a part no other suspect explains that the request does not have:
    /// a suspect that crashed all of these endpoints, or [`MAX_EXPLAINING`] parts that crashed
    /// several of them. A request that ran beside the part at two endpoints by chance explains
    /// nothing.
    fn unexplained_crashes(
        &self,
        part: Fingerprint,
        request: Fingerprint,
        parts: &PromptParts,
    ) -> usize {
        let Some(blamed) = self.suspects.get(&part) else {
            return 0;
        };
        let others = self.suspects.iter();
        let others = others.filter(|(other, _)| **other != request && !parts.contains(**other));
        let others: Vec<(&Fingerprint, &Suspect)> = others.collect();
        if others
            .iter()
            .any(|(_, it)| blamed.crashed.is_subset(&it.crashed))
        {
            return 0;
        }
        let is_explaining = |other: &Fingerprint, it: &Suspect| {
            other.is_prompt_part() && it.crashed.len() >= MIN_EXPLAINING_CRASHES
        };
        let mut left = blamed.crashed.clone();
        for _ in 0..MAX_EXPLAINING {
            let explaining = others.iter().filter(|(other, it)| is_explaining(other, it));
            let best = explaining.max_by_key(|(_, it)| it.crashed.intersection(&left).count());
            if let Some((_, it)) = best {
                left.retain(|endpoint| !it.crashed.contains(endpoint));
            }
        }
        left.len()
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

    /// Returns when the last crash of a suspect happened, or later.
    pub fn last_crash(&self, fingerprint: Fingerprint) -> Option<Time> {
        let suspect = self.suspects.get(&fingerprint);
        suspect.map(|it| it.changed)
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
        self.merge(now, fingerprint, round, &[endpoint], Source::Own)
    }

    /// Records that a request crashed an endpoint while it ran under the lease of a part of its
    /// prompt; returns whether that was unknown. The lease was granted after the crashes before were
    /// known, so that this one is a separate event.
    pub fn record_crash_under_lease(
        &mut self,
        now: Time,
        part: Fingerprint,
        endpoint: EndpointKey,
    ) -> bool {
        let round = self.suspects.get(&part).map_or(0, |it| it.round);
        let crashed = [endpoint, SEPARATE_CRASHES];
        self.merge(now, part, round, &crashed, Source::Own)
    }

    /// Records that a request succeeded; returns whether that changed its record.
    pub fn clear(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let known = self.suspects.get(&fingerprint);
        let Some(round) = known.filter(|it| !it.crashed.is_empty()).map(|it| it.round) else {
            return false;
        };
        self.merge(now, fingerprint, round.saturating_add(1), &[], Source::Own)
    }

    /// Merges a record of another instance; returns whether it changed anything.
    pub fn on_record(&mut self, now: Time, record: &CrashRecord) -> bool {
        let age = Duration::from_millis(record.age_ms.into());
        let changed = now.before(age).unwrap_or(Time::ZERO);
        let ttl = match record.crashed.is_empty() {
            true => CLEARED_TTL,
            false => SUSPECT_TTL,
        };
        age < ttl
            && self.merge(
                changed,
                record.fingerprint,
                record.round,
                &record.crashed,
                Source::Record,
            )
    }

    fn merge(
        &mut self,
        changed: Time,
        fingerprint: Fingerprint,
        round: u32,
        crashed: &[EndpointKey],
        source: Source,
    ) -> bool {
        let mut suspect = match self.suspects.get(&fingerprint) {
            Some(known) if known.round > round => return false,
            Some(known) if known.round == round => known.clone(),
            _ => Suspect {
                round,
                crashed: BTreeSet::new(),
                is_separate: false,
                first: changed,
                seen: BTreeMap::new(),
                changed,
            },
        };
        let before = self.suspects.get(&fingerprint);
        let before = before.map(|it| (it.round, it.crashed.len(), it.is_separate));
        // A crash beyond those kept changes no set. A new round tells it to others; its time would not
        // do, since each record that was in transit for long would look like a later crash, and
        // instances would send the record to each other without end.
        let is_full = suspect.crashed.len() >= MAX_CRASHES_KEPT;
        let is_later = changed.since(suspect.changed) >= MIN_RENEWAL;
        if source == Source::Own && is_full && is_later {
            suspect.round = suspect.round.saturating_add(1);
            suspect.changed = changed;
        }
        suspect.add(fingerprint, changed, crashed, source);
        let after = (suspect.round, suspect.crashed.len(), suspect.is_separate);
        if before == Some(after) {
            // The first crash may be known to be earlier, which is nothing to tell others.
            if let Some(known) = self.suspects.get_mut(&fingerprint) {
                *known = suspect;
            }
            return false;
        }
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
        let separate = suspect.is_separate.then_some(SEPARATE_CRASHES);
        Some(CrashRecord {
            fingerprint,
            round: suspect.round,
            crashed: suspect.crashed.iter().copied().chain(separate).collect(),
            age_ms: u32::try_from(now.since(suspect.changed).as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the records of the suspects of some runs, and of those that may explain them.
    pub fn records_of(&self, now: Time, runs: &[SuspectRun]) -> Vec<CrashRecord> {
        let mut all: Vec<Fingerprint> = runs.iter().map(|it| it.fingerprint).collect();
        all.sort();
        all.dedup();
        let related: Vec<Fingerprint> = all.iter().flat_map(|it| self.related(*it)).collect();
        all.extend(related);
        all.sort();
        all.dedup();
        all.into_iter()
            .filter_map(|it| self.record(now, it))
            .collect()
    }

    /// Returns the other parts that crashed the most of the endpoints of a part, and a request that
    /// crashed all of them, if there is one. Their records are sent with that of the part. Of equal ones
    /// those with the fewest crashes come first: fewer prompts have them.
    ///
    /// An instance that knew of the part only, and not of those that explain its crashes, would refuse
    /// requests that are not to blame, so that none of them succeeds to clear the part.
    pub fn related(&self, part: Fingerprint) -> Vec<Fingerprint> {
        let Some(suspect) = self.suspects.get(&part).filter(|_| part.is_prompt_part()) else {
            return Vec::new();
        };
        let requests = self.suspects.iter();
        let mut requests = requests.filter(|(other, _)| !other.is_prompt_part());
        let request = match suspect.crashed.len() >= MIN_EXPLAINING_CRASHES {
            true => requests.find(|(_, it)| suspect.crashed.is_subset(&it.crashed)),
            false => None,
        };
        let others = self.suspects.iter();
        let others = others.filter(|(other, _)| other.is_prompt_part() && **other != part);
        let mut others: Vec<(Reverse<usize>, usize, Fingerprint)> = others
            .map(|(other, it)| {
                let shared = it.crashed.intersection(&suspect.crashed).count();
                (Reverse(shared), it.crashed.len(), *other)
            })
            .filter(|(Reverse(shared), _, _)| *shared > 0)
            .collect();
        others.sort();
        others.truncate(MAX_EXPLAINING);
        let parts = others.into_iter().map(|(_, _, other)| other);
        parts.chain(request.map(|(other, _)| *other)).collect()
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
        all.sort_by_key(|(_, it)| Reverse(it.crashed.len()));
        all
    }
}
