//! At most once for work that is named by a ticket or an idempotency key.
//!
//! A *claim* binds the name to the one request that may run under it. Claims
//! are granted by one process: a ticket's by the incarnation that issued it
//! ([`tickets`]), a key's by the key's home. [`Keys`] is both sides of
//! that in one process: it grants claims that others ask for, and asks for the
//! claims of its own requests. A claim comes before the first dispatch; a
//! request that gets none is never run, and is told "outcome unknown" unless
//! its refusal proves more, because an earlier request under the same name may
//! have run.
//!
//! `docs/design/at-most-once.md` says which assumption each kind leans on.

mod claim;
mod grant;
mod holder;
mod homes;
pub(crate) mod table;
pub mod tickets;

pub use claim::{Claim, ClaimId, ClaimRefusal, HolderState, KeyHash};
pub use homes::KeyHomes;

use crate::ids::{Incarnation, InstanceKey, RequestId, WorkspaceKey};
use crate::outcome::Verdict;
use crate::reason::Reason;
use crate::time::Time;
use crate::value::PeerId;
use core::time::Duration;
use holder::Holders;
use serde::{Deserialize, Serialize};
use table::ClaimTable;

/// Claims that one process grants or holds, at most.
pub const MAX_CLAIMS: usize = 16_384;

/// How claims are timed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeysConfig {
    /// How long the outcome of a claim is remembered after its end.
    pub memory: Duration,
    /// How long a new home of a key grants nothing that it does not know of.
    /// Not shorter than `memory`, so that what the home before it remembered
    /// is past its promise.
    pub settle: Duration,
    /// How long after it was asked for a claim may be used for a send. Shorter
    /// than `settle` less `list_fresh`, so that a holder that was paused cannot
    /// send after the next home began to grant.
    pub valid: Duration,
    /// How old the confirmation of the list may be for a home to grant keys.
    pub list_fresh: Duration,
    /// How long an entry waits for a home's answer.
    pub ask_limit: Duration,
    /// How long a ticket may lie unused.
    pub ticket_life: Duration,
}

impl Default for KeysConfig {
    fn default() -> Self {
        KeysConfig {
            memory: Duration::from_secs(120),
            settle: Duration::from_secs(120),
            valid: Duration::from_secs(60),
            list_fresh: Duration::from_secs(30),
            ask_limit: Duration::from_millis(900),
            ticket_life: Duration::from_secs(600),
        }
    }
}

/// What two processes say about claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeysMessage {
    /// May this request run under this name?
    Request(Claim),
    /// It may, and no other.
    Granted {
        /// The name.
        id: ClaimId,
        /// The request that may run.
        claimant: RequestId,
    },
    /// It may not.
    Refused {
        /// The name.
        id: ClaimId,
        /// The request that asked.
        claimant: RequestId,
        /// Why.
        refusal: ClaimRefusal,
    },
    /// What became of a claim; said again until it is noted, and again to a
    /// new home.
    Report {
        /// The claim as it was asked for.
        claim: Claim,
        /// What became of it.
        state: HolderState,
    },
    /// A report was noted.
    ReportAck {
        /// The request that was reported on.
        claimant: RequestId,
        /// What was noted.
        state: HolderState,
    },
}

/// What [`Keys`] asks of the node.
#[derive(Clone, Debug, PartialEq)]
pub enum KeysAction {
    /// Tell a peer something. Lost if there is no link; repeated where it matters.
    Send {
        /// Whom.
        to: InstanceKey,
        /// What.
        message: KeysMessage,
    },
    /// The request may run. It must not be sent after `valid_until`.
    Granted {
        /// Which request.
        request: RequestId,
        /// Bounds [`crate::event::Dispatch::send_before`].
        valid_until: Time,
    },
    /// The request must not run; this is its final answer.
    Refused {
        /// Which request.
        request: RequestId,
        /// What to say.
        verdict: Verdict,
    },
    /// A claim waits for a list that the platform has just confirmed.
    ReadList,
}

/// Both sides of claims in one process.
///
/// After every method the caller should ask [`Keys::next_wake`] and call
/// [`Keys::tick`] at that time.
#[derive(Clone, Debug)]
pub struct Keys {
    me: PeerId,
    cfg: KeysConfig,
    homes: KeyHomes,
    /// Claims that this process grants.
    table: ClaimTable,
    /// Claims that this process's requests ask for and hold.
    holders: Holders,
}

impl Keys {
    /// Creates the state of a process that starts.
    pub fn new(me: PeerId, cfg: KeysConfig) -> Self {
        debug_assert!(cfg.settle >= cfg.memory);
        debug_assert!(cfg.valid + cfg.list_fresh < cfg.settle);
        Keys {
            me,
            cfg,
            homes: KeyHomes::new(me.instance),
            table: ClaimTable::default(),
            holders: Holders::default(),
        }
    }

    /// Returns the homes of keys by the list in force.
    pub fn homes(&self) -> &KeyHomes {
        &self.homes
    }

    /// Returns how many claims this process grants and holds.
    pub fn counts(&self) -> (usize, usize) {
        (self.table.len(), self.holders.len())
    }

    /// Returns whether the end of a claim was reported and not noted yet.
    pub fn has_unacked_ends(&self) -> bool {
        self.holders.has_unacked_ends()
    }

    /// Issues a ticket with the id that the shell drew.
    pub fn issue_ticket(
        &mut self,
        now: Time,
        ticket: RequestId,
        workspace: WorkspaceKey,
    ) -> Result<(), Reason> {
        debug_assert!(tickets::is_issued_by(ticket, self.me));
        let forget_at = now + self.cfg.ticket_life;
        tickets::issue(&mut self.table, ticket, workspace, forget_at)
    }

    /// Puts a published list in force: its revision and the instances that it
    /// calls live. What links say is left out on purpose; see [`KeyHomes`].
    pub fn set_list(
        &mut self,
        now: Time,
        revision: u64,
        live: impl Iterator<Item = InstanceKey>,
        out: &mut Vec<KeysAction>,
    ) {
        self.homes.set_list(now, revision, live, self.cfg.settle);
        self.report_to_new_homes(now, None, out);
    }

    /// A life of an instance is over, replaced by another. Its claims end with
    /// an unknown outcome, and what it granted is told to its successor.
    pub fn incarnation_ended(
        &mut self,
        now: Time,
        instance: InstanceKey,
        incarnation: Incarnation,
        out: &mut Vec<KeysAction>,
    ) {
        let life = PeerId {
            instance,
            incarnation,
        };
        self.table.incarnation_ended(life, now + self.cfg.memory);
        self.report_to_new_homes(now, Some(instance), out);
    }

    /// A peer's message arrived. `list_age` is for how long the list in force
    /// has not been confirmed by the platform.
    pub fn on_message(
        &mut self,
        now: Time,
        list_age: Option<Duration>,
        from: PeerId,
        message: KeysMessage,
        out: &mut Vec<KeysAction>,
    ) {
        match message {
            KeysMessage::Request(claim) if claim.is_from(from) => {
                let answer = self.grant(now, list_age, &claim, out);
                let message = claim::answer_message(&claim, answer);
                let to = from.instance;
                out.push(KeysAction::Send { to, message });
            }
            KeysMessage::Report { claim, state } if claim.is_from(from) => {
                if self.on_report(now, &claim, state) {
                    let claimant = claim.claimant;
                    let message = KeysMessage::ReportAck { claimant, state };
                    let to = from.instance;
                    out.push(KeysAction::Send { to, message });
                }
            }
            // Someone speaks for a request of another process; nobody does.
            KeysMessage::Request(_) | KeysMessage::Report { .. } => {}
            KeysMessage::Granted { claimant, .. } => {
                self.on_granted(now, from.instance, claimant, out);
            }
            KeysMessage::Refused {
                claimant, refusal, ..
            } => self.on_refused(now, claimant, refusal, out),
            KeysMessage::ReportAck { claimant, state } => {
                self.holders.on_report_ack(claimant, state)
            }
        }
    }

    /// Returns when [`Keys::tick`] is due.
    pub fn next_wake(&self) -> Time {
        self.table.next_expiry().min(self.holders.next_wake())
    }

    /// Does whatever is due.
    pub fn tick(&mut self, now: Time, list_age: Option<Duration>, out: &mut Vec<KeysAction>) {
        self.table.expire_due(now, self.cfg.memory);
        while let Some(request) = self.holders.take_due(now) {
            self.wake_holder(now, list_age, request, out);
        }
    }
}
