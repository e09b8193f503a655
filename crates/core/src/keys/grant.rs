//! The granting side of claims.

use super::claim::{Claim, ClaimId, ClaimRefusal, HolderState, KeyHash};
use super::table::{ClaimState, Record};
use super::{Keys, KeysAction};
use crate::keys::tickets;
use crate::time::Time;
use core::time::Duration;

/// Time without a report after which a holder is considered gone. Longer than any generation,
/// because the name becomes free again some time later.
const HOLDER_SILENCE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Delay before a claim is requested again from a home whose instance list is about to be confirmed
/// or replaced.
const LIST_READ_RETRY: Duration = Duration::from_millis(100);

impl Keys {
    /// Decides on a claim and records a grant before the answer is sent. If the answer is lost, the
    /// name stays unavailable, but no second request can run under it.
    pub(super) fn grant(
        &mut self,
        now: Time,
        list_age: Option<Duration>,
        claim: &Claim,
        out: &mut Vec<KeysAction>,
    ) -> Result<(), ClaimRefusal> {
        match self.table.get(claim.id) {
            Some(record) => check_record(record, claim)?,
            None => self.check_unknown(now, list_age, claim, out)?,
        }
        let record = self.record(now, claim, ClaimState::Held(claim.claimant));
        self.table.put(claim.id, record);
        Ok(())
    }

    fn record(&self, now: Time, claim: &Claim, state: ClaimState) -> Record {
        let kept_for = match state {
            ClaimState::Held(_) => HOLDER_SILENCE_TIMEOUT,
            ClaimState::Free => self.cfg.ticket_life,
            ClaimState::Ended(..) | ClaimState::HolderGone(_) => self.cfg.memory,
        };
        Record {
            workspace: claim.workspace,
            body_hash: claim.body_hash,
            state,
            expires_at: now + kept_for,
        }
    }

    /// Decides on a claim for a name without a record.
    fn check_unknown(
        &self,
        now: Time,
        list_age: Option<Duration>,
        claim: &Claim,
        out: &mut Vec<KeysAction>,
    ) -> Result<(), ClaimRefusal> {
        match claim.id {
            ClaimId::Ticket(ticket) if tickets::is_issued_by(ticket, self.me) => {
                Err(ClaimRefusal::Expired)
            }
            ClaimId::Ticket(_) => Err(ClaimRefusal::HolderGone),
            ClaimId::Key(key) => self.check_key(now, list_age, claim, key, out),
        }
    }

    fn check_key(
        &self,
        now: Time,
        list_age: Option<Duration>,
        claim: &Claim,
        key: KeyHash,
        out: &mut Vec<KeysAction>,
    ) -> Result<(), ClaimRefusal> {
        if self.table.is_full() {
            return Err(ClaimRefusal::Full);
        }
        let fresh = list_age.is_some_and(|age| age <= self.cfg.list_fresh);
        if list_age.is_none_or(|age| age > self.cfg.list_fresh / 2) {
            out.push(KeysAction::ReadList);
        }
        let unsure = self
            .homes
            .wait_before_grant(now, key.rank_key(), self.cfg.settle);
        // Two list revisions may imply two homes, so both sides must use the same revision.
        let same_list = claim.list_revision == self.homes.revision();
        match unsure {
            Some(Duration::ZERO) if fresh && same_list => Ok(()),
            Some(wait) => Err(ClaimRefusal::Unsure {
                retry_after: wait.max(LIST_READ_RETRY),
            }),
            None => Err(ClaimRefusal::Unsure {
                retry_after: LIST_READ_RETRY,
            }),
        }
    }

    /// Applies a holder's report about its claim. Returns whether the report is acknowledged.
    pub(super) fn on_report(&mut self, now: Time, claim: &Claim, state: HolderState) -> bool {
        let known = self.table.get(claim.id).map(|record| record.state);
        match (claim.id, known) {
            (_, Some(ClaimState::Held(holder) | ClaimState::HolderGone(holder)))
                if holder == claim.claimant =>
            {
                self.apply_report(now, claim, state);
            }
            // The home changed, and holders report their claims to the new one.
            (ClaimId::Key(_), None) if state != HolderState::NotRun => {
                if self.table.is_full() {
                    return false;
                }
                self.apply_report(now, claim, state);
            }
            _ => {}
        }
        true
    }

    fn apply_report(&mut self, now: Time, claim: &Claim, state: HolderState) {
        let next = ClaimState::reported(claim.claimant, state);
        match (next, claim.id) {
            (Some(next), _) => {
                let record = self.record(now, claim, next);
                self.table.put(claim.id, record);
            }
            (None, ClaimId::Ticket(_)) => {
                let record = self.record(now, claim, ClaimState::Free);
                self.table.put(claim.id, record);
            }
            (None, ClaimId::Key(_)) => self.table.remove(claim.id),
        }
    }
}

/// Decides on a claim for a name with a record. This does not depend on being the home: a record
/// stays true wherever the home moves.
fn check_record(record: &Record, claim: &Claim) -> Result<(), ClaimRefusal> {
    if record.workspace != claim.workspace {
        return Err(ClaimRefusal::NotIssued);
    }
    if record.state == ClaimState::Free {
        return Ok(());
    }
    if record.body_hash != claim.body_hash {
        return Err(ClaimRefusal::BodyDiffers);
    }
    match record.state {
        // The answer was lost and the same request claims the name again.
        ClaimState::Held(holder) if holder == claim.claimant => Ok(()),
        ClaimState::Held(_) => Err(ClaimRefusal::Running),
        ClaimState::Ended(_, prior) => Err(ClaimRefusal::Ran(prior)),
        ClaimState::HolderGone(_) | ClaimState::Free => Err(ClaimRefusal::HolderGone),
    }
}
