//! Requests that carry a ticket or an idempotency key.

use super::Node;
use super::request::Stage;
use super::timers::TimerKind;
use super::validate::CATALOGUE_TIMEOUT;
use crate::catalogue::sync::Lookup;
use crate::event::{Action, PeerId};
use crate::explain::Step;
use crate::ids::RequestId;
use crate::keys::{Claim, ClaimId, HolderState, KeyHash, Keys, KeysAction, KeysMessage};
use crate::membership::ListedState;
use crate::outcome::Verdict;
use crate::peer::PeerMessage;
use crate::reason::Reason;
use crate::time::Time;

/// A requested ticket that is not issued yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingTicket {
    ticket: RequestId,
    key_digest: [u8; 32],
    /// How long to wait for the shard that may hold the workspace.
    until: Time,
}

impl Node {
    pub(super) fn with_keys(&mut self, call: impl FnOnce(&mut Keys, Time, &mut Vec<KeysAction>)) {
        call(&mut self.keys, self.now, &mut self.keys_actions);
    }

    /// Carries out the actions of the keys.
    pub(super) fn carry_out_keys(&mut self) {
        while !self.keys_actions.is_empty() {
            for action in core::mem::take(&mut self.keys_actions) {
                match action {
                    KeysAction::Send { to, message } => self.send(to, PeerMessage::Keys(message)),
                    KeysAction::Granted {
                        request,
                        valid_until,
                    } => self.on_claim_granted(request, valid_until),
                    KeysAction::Refused { request, verdict } => {
                        self.on_claim_refused(request, verdict);
                    }
                    KeysAction::ReadList => {
                        self.with_membership(|it, now, out| it.request_list_read(now, out));
                    }
                }
            }
        }
    }

    pub(super) fn on_keys_message(&mut self, from: PeerId, message: KeysMessage) {
        let list_age = self.membership.list_age(self.now);
        self.with_keys(|keys, now, out| keys.on_message(now, list_age, from, message, out));
    }

    /// Requests the claim of a request that carries a ticket or key; returns whether it does.
    pub(super) fn begin_claim(&mut self, seq: u64) -> bool {
        let Some(claim) = self.claim_of(seq) else {
            return false;
        };
        if let Some(request) = self.requests.get_mut(&seq) {
            request.stage = Stage::Claiming;
        }
        let issuer_incarnation = match claim.id {
            ClaimId::Ticket(ticket) => self.membership.incarnation(ticket.instance),
            ClaimId::Key(_) => None,
        };
        let list_age = self.membership.list_age(self.now);
        self.with_keys(|keys, now, out| {
            keys.request_claim(now, list_age, claim, issuer_incarnation, out)
        });
        true
    }

    fn claim_of(&self, seq: u64) -> Option<Claim> {
        let request = self.requests.get(&seq)?;
        let workspace = request.spec.as_ref()?.workspace;
        let arrival = &request.arrival;
        let key = arrival.idempotency_key.as_deref();
        let id = match (arrival.ticket, key) {
            (Some(ticket), _) => ClaimId::Ticket(ticket),
            (None, Some(key)) => ClaimId::Key(KeyHash::of(workspace, key)),
            (None, None) => return None,
        };
        Some(Claim {
            id,
            claimant: arrival.id,
            workspace,
            body_hash: arrival.body_hash,
            list_revision: 0,
        })
    }

    fn on_claim_granted(&mut self, id: RequestId, valid_until: Time) {
        let Some(request) = self.requests.get_mut(&id.seq) else {
            return;
        };
        if request.stage != Stage::Claiming {
            return;
        }
        if self.now >= valid_until {
            // This process was paused with the grant in its socket. Another request may hold the
            // claim by now, so the outcome of this one proves nothing about the name.
            return self.refuse(id.seq, Reason::PausedTooLong);
        }
        let idempotent = request.spec.as_ref().is_some_and(|it| it.class.idempotent);
        if !idempotent {
            request.claim_valid_until = valid_until;
            if valid_until < Time::NEVER {
                self.timers.set(valid_until, TimerKind::Request(id.seq));
            }
        }
        request.on_claim_granted();
        self.record(id, Step::ClaimGranted);
        self.begin_admission(id.seq);
    }

    fn on_claim_refused(&mut self, id: RequestId, verdict: Verdict) {
        let Some(request) = self.requests.get_mut(&id.seq) else {
            return;
        };
        if request.stage == Stage::Claiming {
            self.finish_with(id.seq, verdict);
        }
    }

    /// Reports to the home of a request's claim how the request ended.
    pub(super) fn end_claim(&mut self, id: RequestId, state: HolderState) {
        self.with_keys(|keys, now, out| keys.on_request_ended(now, id, state, out));
    }

    /// Passes the list in force to the homes of keys.
    pub(super) fn refresh_keys(&mut self) {
        let view = self.membership.view();
        let live = view
            .instances()
            .filter(|it| it.record.state == ListedState::Live);
        let live: Vec<_> = live.map(|it| it.key).collect();
        let revision = view.revision();
        self.with_keys(|keys, now, out| keys.set_list(now, revision, live.into_iter(), out));
    }

    /// Handles a request for a ticket.
    pub(super) fn on_ticket_request(&mut self, key_digest: [u8; 32], ticket: RequestId) {
        if self.is_stopping() {
            // The ticket would be lost with this process, and with it every request that names it,
            // because its caller cannot request another for the same order.
            let result = Err(Reason::Stopping);
            return self.out.push(Action::Ticket { ticket, result });
        }
        let until = self.now + CATALOGUE_TIMEOUT;
        self.timers.set(until, TimerKind::PendingTickets);
        self.pending_tickets.push(PendingTicket {
            ticket,
            key_digest,
            until,
        });
        self.resolve_tickets();
    }

    /// Answers every ticket request whose workspace is known, or cannot be known in time.
    pub(super) fn resolve_tickets(&mut self) {
        for pending in core::mem::take(&mut self.pending_tickets) {
            let workspace = match self.sync.lookup(self.now, &pending.key_digest) {
                Lookup::Found(workspace) => Ok(workspace.key),
                Lookup::Unknown => Err(Reason::BadKey),
                Lookup::Missing(shard) if self.now < pending.until => {
                    self.with_sync(|sync, now, out| sync.want_shard(now, shard, out));
                    self.pending_tickets.push(pending);
                    continue;
                }
                Lookup::Missing(_) | Lookup::Unavailable(_) | Lookup::NoCatalogue => {
                    Err(Reason::NoCatalogue)
                }
            };
            let now = self.now;
            let issue = |key| self.keys.issue_ticket(now, pending.ticket, key);
            let result = workspace.and_then(issue);
            let ticket = pending.ticket;
            self.out.push(Action::Ticket { ticket, result });
        }
    }
}
