//! At-most-once execution of requests that carry a ticket or an idempotency key.
//!
//! A *claim* binds such a name to the one request that may run under it. Each claim is granted by a
//! single process: for a ticket the incarnation that issued it ([`tickets`]), for a key the key's
//! home, which is the instance that decides for the key, chosen by rendezvous hashing. [`Keys`] is
//! both sides of that protocol in one process: it grants the claims that other processes request,
//! and requests the claims of its own requests. The claim precedes the first dispatch. A request
//! whose claim is refused never runs. Its caller receives "outcome unknown" unless the refusal
//! proves more, because an earlier request under the same name may have run.
//!
//! `docs/design/at-most-once.md` lists the assumptions that each kind of name depends on.

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

/// Maximum number of claims that one process grants, and maximum number that it holds.
pub const MAX_CLAIMS: usize = 16_384;

/// Timing parameters of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeysConfig {
    /// How long the outcome of a claim is kept after its request ended.
    pub memory: Duration,
    /// How long a new home of a key grants no claim for an unknown key. Not shorter than `memory`,
    /// so that by then the previous home would have dropped its outcomes too.
    pub settle: Duration,
    /// How long after it was requested a claim permits a send. Shorter than `settle` minus
    /// `list_fresh`, so that a holder that was paused cannot send after the next home has started
    /// to grant.
    pub valid: Duration,
    /// Maximum age of the instance list's last confirmation at which a home grants keys.
    pub list_fresh: Duration,
    /// How long an entry instance waits for the home's answer.
    pub ask_limit: Duration,
    /// How long an unused ticket is valid.
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

/// A message between two processes about a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeysMessage {
    /// Requests a claim.
    Request(Claim),
    /// Grants a claim; no other request may run under the name.
    Granted {
        /// The claimed ticket or key.
        id: ClaimId,
        /// The request that may run.
        claimant: RequestId,
    },
    /// Refuses a claim.
    Refused {
        /// The claimed ticket or key.
        id: ClaimId,
        /// The request that must not run.
        claimant: RequestId,
        /// Why the claim is refused.
        refusal: ClaimRefusal,
    },
    /// Reports the state of a claim. Sent again until it is acknowledged, and again to a new home.
    Report {
        /// The claim as it was requested.
        claim: Claim,
        /// Its state.
        state: HolderState,
    },
    /// Acknowledges a report.
    ReportAck {
        /// The request whose claim was reported.
        claimant: RequestId,
        /// The state that was recorded.
        state: HolderState,
    },
}

/// An effect that [`Keys`] requests from the node.
#[derive(Clone, Debug, PartialEq)]
pub enum KeysAction {
    /// Send a message to a peer. It is lost if there is no link; messages that must arrive are sent
    /// again.
    Send {
        /// The receiver.
        to: InstanceKey,
        /// The message.
        message: KeysMessage,
    },
    /// The request may run. It must not be sent after `valid_until`.
    Granted {
        /// The request.
        request: RequestId,
        /// Upper bound of [`crate::event::Dispatch::send_before`].
        valid_until: Time,
    },
    /// The request must not run; `verdict` is its final response.
    Refused {
        /// The request.
        request: RequestId,
        /// The response to its caller.
        verdict: Verdict,
    },
    /// Have the platform confirm the instance list: a claim needs a recent confirmation.
    ReadList,
}

/// Both sides of the claim protocol in one process.
///
/// After every call the caller should read [`Keys::next_wake`] and call [`Keys::tick`] at that
/// time.
#[derive(Clone, Debug)]
pub struct Keys {
    me: PeerId,
    cfg: KeysConfig,
    homes: KeyHomes,
    /// Claims that this process has granted.
    table: ClaimTable,
    /// Claims that this process's requests have requested or hold.
    holders: Holders,
}

impl Keys {
    /// Returns the state of a process that starts.
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

    /// Returns the homes of keys according to the current instance list.
    pub fn homes(&self) -> &KeyHomes {
        &self.homes
    }

    /// Returns the numbers of claims that this process has granted and that its requests hold.
    pub fn counts(&self) -> (usize, usize) {
        (self.table.len(), self.holders.len())
    }

    /// Returns whether the end of a claim was reported and has not been acknowledged yet.
    pub fn has_unacked_ends(&self) -> bool {
        self.holders.has_unacked_ends()
    }

    /// Issues a ticket with the id that the shell has drawn. Fails if the claim table is full.
    pub fn issue_ticket(
        &mut self,
        now: Time,
        ticket: RequestId,
        workspace: WorkspaceKey,
    ) -> Result<(), Reason> {
        debug_assert!(tickets::is_issued_by(ticket, self.me));
        let expires_at = now + self.cfg.ticket_life;
        tickets::issue(&mut self.table, ticket, workspace, expires_at)
    }

    /// Applies a published instance list: its revision and its live instances. The state of peer
    /// links is deliberately ignored; see [`KeyHomes`].
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

    /// Records that an incarnation of an instance was replaced by another. Its claims end with an
    /// unknown outcome, and claims that it granted are reported to its successor.
    pub fn incarnation_ended(
        &mut self,
        now: Time,
        instance: InstanceKey,
        incarnation: Incarnation,
        out: &mut Vec<KeysAction>,
    ) {
        let ended = PeerId {
            instance,
            incarnation,
        };
        self.table.incarnation_ended(ended, now + self.cfg.memory);
        self.report_to_new_homes(now, Some(instance), out);
    }

    /// Handles a message of a peer. `list_age` is the time since the platform last confirmed the
    /// current instance list.
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
            // A process may speak only for its own requests.
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

    /// Performs whatever is due at `now`.
    pub fn tick(&mut self, now: Time, list_age: Option<Duration>, out: &mut Vec<KeysAction>) {
        self.table.expire_due(now, self.cfg.memory);
        while let Some(request) = self.holders.take_due(now) {
            self.wake_holder(now, list_age, request, out);
        }
    }
}
