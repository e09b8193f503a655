//! How the parts of a prompt restrict the requests of this instance.
//!
//! See `docs/design/suspects.md`.

use super::{Gateway, Placement};
use crate::fingerprint::Fingerprint;
use crate::suspects::{Admission, PartStanding, PromptParts, Standing, SuspectRun};
use crate::time::Time;
use core::time::Duration;

/// How much later a request asks for the lease of a suspect part if another part of its prompt may be
/// to blame as well. A success of one without such a part clears the suspect; that of the others,
/// which may crash, says less.
const LEASE_DELAY: Duration = Duration::from_millis(150);

/// How long after the last crash of a part a request that is refused because of it may wait. The other
/// instances that saw the endpoint crash tell meanwhile which of their requests' parts explain it.
const SETTLING_TIME: Duration = Duration::from_millis(100);

impl Gateway {
    /// Returns whether a request whose own run is admitted may be sent to an endpoint now, for the
    /// parts of its prompt. It begins to request a lease for the part that is suspected most.
    pub fn admit_parts(&mut self, now: Time, run: SuspectRun, parts: &PromptParts) -> Admission {
        match self.standing_of_parts(now, run.fingerprint, parts) {
            PartStanding::Free => Admission::Go,
            PartStanding::Refused(_) => Admission::Refused,
            PartStanding::Suspect(part) => {
                // A run that held the lease of one part while it waits for that of another could
                // wait for one that does the same the other way round.
                let others = parts.iter().filter(|it| *it != part);
                self.end_part_runs(run, others);
                let part_run = SuspectRun {
                    fingerprint: part,
                    ..run
                };
                let delay = match self.has_other_unproven(now, parts, part) {
                    true => LEASE_DELAY,
                    false => Duration::ZERO,
                };
                let runs = &mut self.suspects.runs;
                runs.begin_once(part_run);
                runs.admit_later(now, part_run, Standing::Suspect, delay)
            }
        }
    }

    /// Returns whether a request has another part than `part` under which none recently succeeded.
    fn has_other_unproven(&mut self, now: Time, parts: &PromptParts, part: Fingerprint) -> bool {
        let mut others = parts.iter().filter(|it| *it != part);
        others.any(|it| !self.suspects.proven.contains(now, it))
    }

    /// Returns whether a request may run because of the parts of its prompt.
    pub fn standing_of_parts(
        &self,
        now: Time,
        request: Fingerprint,
        parts: &PromptParts,
    ) -> PartStanding {
        self.suspects.ledger.standing_of_parts(now, request, parts)
    }

    /// Returns whether a request that is refused because of `part` may be admitted soon: other
    /// instances may not have told yet what explains the last crash.
    pub fn may_be_explained(&self, now: Time, part: Fingerprint) -> bool {
        let ledger = &self.suspects.ledger;
        let crashed_at = ledger.last_crash(part);
        crashed_at.is_some_and(|at| now.since(at) < SETTLING_TIME)
            && !ledger.has_crashed_enough(now, part)
    }

    /// Removes the runs of a request for some parts of its prompt; returns whether homes must be
    /// notified soon.
    pub fn end_part_runs(
        &mut self,
        run: SuspectRun,
        parts: impl Iterator<Item = Fingerprint>,
    ) -> bool {
        let mut is_awaited = false;
        for fingerprint in parts {
            let part_run = SuspectRun { fingerprint, ..run };
            is_awaited |= self.suspects.runs.end(part_run);
        }
        is_awaited
    }

    /// Records that an endpoint crashed when it began a prompt with these parts; returns those that
    /// are suspected more than before. A part under which a request recently succeeded is not.
    pub fn on_parts_crash(
        &mut self,
        now: Time,
        run: SuspectRun,
        parts: &PromptParts,
        place: &Placement,
    ) -> Vec<Fingerprint> {
        if self.leaving_since(place.key).is_some() {
            return Vec::new();
        }
        let mut suspected = Vec::new();
        for part in parts.iter() {
            if self.suspects.proven.contains(now, part) {
                continue;
            }
            let part_run = SuspectRun {
                fingerprint: part,
                ..run
            };
            let ledger = &mut self.suspects.ledger;
            let is_news = match self.suspects.runs.holds_lease(part_run) {
                true => ledger.record_crash_under_lease(now, part, place.key),
                false => ledger.record_crash(now, part, place.key),
            };
            if is_news {
                self.gossip_crash_record(part);
                suspected.push(part);
            }
        }
        suspected
    }

    /// Records that a request with these parts was answered past the point at which such requests
    /// crash their endpoints; returns the parts that are no longer suspected.
    pub fn on_parts_succeeded(&mut self, now: Time, parts: &PromptParts) -> Vec<Fingerprint> {
        let mut cleared = Vec::new();
        for part in parts.iter() {
            self.suspects.proven.record(now, part);
            if self.clear_suspect(now, part) {
                cleared.push(part);
            }
        }
        cleared
    }

    /// Clears a part that another instance suspects, if a request of this one recently succeeded
    /// with it. A part that all prompts share is then a suspect for one exchange of messages.
    pub(super) fn clear_if_proven(&mut self, now: Time, part: Fingerprint) {
        if part.is_prompt_part() && self.suspects.proven.contains(now, part) {
            self.clear_suspect(now, part);
        }
    }
}
