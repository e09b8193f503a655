//! Limits of entries and workspaces: this node's leases, and the limits whose home it is.

use super::Node;
use super::request::{Request, Stage};
use crate::event::PeerId;
use crate::explain::Step;
use crate::ids::{Incarnation, InstanceKey};
use crate::limits::{Allowance, Claim, Leases, LimitsAction, LimitsMessage};
use crate::membership::Membership;
use crate::peer::PeerMessage;
use crate::time::Time;

impl Node {
    fn with_leases(
        &mut self,
        call: impl FnOnce(&mut Leases, Time, &Membership, &mut Vec<LimitsAction>),
    ) {
        call(
            &mut self.leases,
            self.now,
            &self.membership,
            &mut self.limits_actions,
        );
    }

    /// Carries out the actions of the limits.
    pub(super) fn carry_out_limits(&mut self) {
        while !self.limits_actions.is_empty() {
            for action in core::mem::take(&mut self.limits_actions) {
                match action {
                    LimitsAction::Send { to, message } => {
                        self.send(to, PeerMessage::Limits(message));
                    }
                    LimitsAction::Admit { request } => self.on_admitted(request),
                    LimitsAction::Refuse {
                        request,
                        reason,
                        retry_after,
                    } => {
                        if self.is_admitting(request) {
                            self.finish(request, reason, Some(retry_after));
                        }
                    }
                }
            }
        }
    }

    pub(super) fn on_limits_message(&mut self, from: PeerId, message: LimitsMessage) {
        match message {
            LimitsMessage::Request(request) => {
                let (now, out) = (self.now, &mut self.limits_actions);
                self.limit_home.on_request(now, from, &request, out);
            }
            LimitsMessage::Lease(lease) => {
                self.with_leases(|leases, now, fleet, out| {
                    leases.on_lease(now, &lease, fleet, out)
                });
            }
        }
    }

    /// Requests the admission of a request within the limits of its entry and workspace. The answer
    /// may come at once or later.
    pub(super) fn begin_admission(&mut self, seq: u64) {
        let Some(request) = self.requests.get_mut(&seq) else {
            return;
        };
        request.stage = Stage::Admitting;
        let Some(claim) = claim_of(request) else {
            debug_assert!(false, "a request is validated before it is admitted");
            return;
        };
        self.with_leases(|leases, now, fleet, out| leases.submit(now, seq, claim, fleet, out));
    }

    fn is_admitting(&self, seq: u64) -> bool {
        let request = self.requests.get(&seq);
        request.is_some_and(|it| it.stage == Stage::Admitting)
    }

    fn on_admitted(&mut self, seq: u64) {
        if self.is_admitting(seq) {
            let id = self.requests[&seq].id();
            self.record(id, Step::Admitted);
            self.begin_placement(seq);
        } else {
            // The caller disconnected within the same event; its admission must be released.
            self.end_admission(seq);
        }
    }

    /// Releases a request's admission.
    pub(super) fn end_admission(&mut self, seq: u64) {
        self.with_leases(|leases, now, fleet, out| leases.finish(now, seq, fleet, out));
    }

    /// Charges generated tokens to the limits of a request.
    pub(super) fn charge(&mut self, seq: u64, tokens: u32) {
        if tokens > 0 {
            self.with_leases(|it, now, fleet, out| it.charge(now, seq, tokens, fleet, out));
        }
    }

    /// Adapts the limits to the fleet, in which their homes may have moved.
    pub(super) fn refresh_limits(&mut self) {
        let usable = self.membership.live_count();
        let listed = self.membership.listed_count();
        self.limit_home.set_fleet(self.now, usable, listed);
        self.with_leases(|leases, now, fleet, out| leases.homes_moved(now, fleet, out));
    }

    /// Frees what an incarnation that has ended held in leases.
    pub(super) fn forget_leases(&mut self, instance: InstanceKey, incarnation: Incarnation) {
        self.limit_home.incarnation_ended(PeerId {
            instance,
            incarnation,
        });
    }

    pub(super) fn tick_limits(&mut self) {
        self.limit_home.tick(self.now);
        self.with_leases(|leases, now, fleet, out| leases.tick(now, fleet, out));
    }

    pub(super) fn limits_wake(&self) -> Time {
        self.limit_home.next_wake().min(self.leases.next_wake())
    }
}

fn claim_of(request: &Request) -> Option<Claim> {
    let spec = request.spec.as_ref()?;
    let view = spec.view();
    let revision = spec.catalogue.revision();
    let limits = &view.entry.limits;
    Some(Claim {
        workspace: spec.workspace,
        workspace_allowance: Allowance {
            concurrent: spec.workspace_limits.concurrent,
            tokens_per_minute: spec.workspace_limits.tokens_per_minute,
            revision,
        },
        entry: view.entry.key,
        entry_allowance: Allowance {
            concurrent: limits.concurrent,
            tokens_per_minute: limits.tokens_per_minute,
            revision,
        },
        queue: limits.queue,
        tokens: (!view.target.is_service()).then_some(spec.prompt_tokens),
        deadline: request.waiting_since + request.longest_wait(),
    })
}
