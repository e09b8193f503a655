//! Whether a claim is granted.

use super::claim::{Claim, ClaimId, ClaimRefusal, HolderState, KeyHash};
use super::table::{ClaimState, Record};
use super::{Keys, KeysAction};
use crate::keys::tickets;
use crate::time::Time;
use core::time::Duration;

/// A holder that reports nothing for so long is given up. Longer than any
/// generation, because its name is free again some time after.
const HOLDER_SILENCE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// When to ask again a home whose list is about to be confirmed or replaced.
const LIST_READ_RETRY: Duration = Duration::from_millis(100);

impl Keys {
    /// Answers a claim, and marks it as granted before the answer leaves: an
    /// answer that is lost costs the name, never a second run.
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

    /// Decides on a name of which this process knows nothing.
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
        // Two lists may name two homes; only one that both sides hold will do.
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

    /// Takes over what a holder says of its claim. Returns whether it is noted.
    pub(super) fn on_report(&mut self, now: Time, claim: &Claim, state: HolderState) -> bool {
        let known = self.table.get(claim.id).map(|record| record.state);
        match (claim.id, known) {
            (_, Some(ClaimState::Held(holder) | ClaimState::HolderGone(holder)))
                if holder == claim.claimant =>
            {
                self.apply_report(now, claim, state);
            }
            // The home changed; its holders tell the new one what they hold.
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

/// Decides on a name that is known. Nothing here depends on being the home:
/// what is known stays true.
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
        // The answer was lost and the same request asks again.
        ClaimState::Held(holder) if holder == claim.claimant => Ok(()),
        ClaimState::Held(_) => Err(ClaimRefusal::Running),
        ClaimState::Ended(_, earlier) => Err(ClaimRefusal::Ran(earlier)),
        ClaimState::HolderGone(_) | ClaimState::Free => Err(ClaimRefusal::HolderGone),
    }
}
