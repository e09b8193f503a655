//! The claims of this process's own requests, from asking to forgetting.

use super::claim::{Claim, ClaimId, ClaimRefusal, HolderState};
use super::{Keys, KeysAction, KeysMessage, MAX_CLAIMS};
use crate::ids::{Incarnation, InstanceKey, RequestId};
use crate::keys::tickets;
use crate::time::Time;
use core::time::Duration;
use indexmap::IndexMap;
use std::collections::BTreeSet;

/// How often a home that did not answer, or was unsure, is asked again.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The first wait before a report is repeated; it doubles up to the longest.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The longest wait before a report is repeated.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the answer until `until`; `last` is what was answered so far.
    Pending { until: Time, last: ClaimRefusal },
    /// The request may run.
    Held,
    /// The request is over; kept until `until` to tell a new home.
    Ended { state: HolderState, until: Time },
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    claim: Claim,
    home: InstanceKey,
    phase: Phase,
    requested_at: Time,
    /// Reports of the present state that were sent.
    reports: u32,
    wake: Time,
}

impl Holder {
    fn state(&self) -> HolderState {
        match self.phase {
            Phase::Pending { .. } | Phase::Held => HolderState::Running,
            Phase::Ended { state, .. } => state,
        }
    }
}

/// The claims that this process's requests ask for and hold.
///
/// Invariant: `by_wake` holds exactly the `wake` of every holder.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    records: IndexMap<RequestId, Holder>,
    by_wake: BTreeSet<(Time, RequestId)>,
}

impl Holders {
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn next_wake(&self) -> Time {
        self.by_wake.first().map_or(Time::NEVER, |&(at, _)| at)
    }

    /// Takes a holder whose time has come off the schedule.
    pub fn take_due(&mut self, now: Time) -> Option<RequestId> {
        let &(at, request) = self.by_wake.first()?;
        if at > now {
            return None;
        }
        self.by_wake.remove(&(at, request));
        Some(request)
    }

    fn put(&mut self, holder: Holder) {
        let request = holder.claim.claimant;
        self.remove(request);
        self.by_wake.insert((holder.wake, request));
        self.records.insert(request, holder);
    }

    fn remove(&mut self, request: RequestId) {
        if let Some(holder) = self.records.swap_remove(&request) {
            self.by_wake.remove(&(holder.wake, request));
        }
    }

    /// Returns whether an end was reported and not noted yet.
    pub fn has_unacked_ends(&self) -> bool {
        let unnoted =
            |it: &Holder| matches!(it.phase, Phase::Ended { until, .. } if it.wake < until);
        self.records.values().any(unnoted)
    }

    /// The home noted what was reported, so that it need not be repeated. The
    /// holder stays, also one that did not run: a grant that was delayed on the
    /// way is then given back, and its name is not held for nothing.
    pub fn on_report_ack(&mut self, request: RequestId, state: HolderState) {
        let Some(&holder) = self.records.get(&request) else {
            return;
        };
        if holder.state() != state {
            return;
        }
        let wake = match holder.phase {
            Phase::Pending { .. } => return,
            Phase::Held => Time::NEVER,
            Phase::Ended { until, .. } => until,
        };
        self.put(Holder { wake, ..holder });
    }
}

impl Keys {
    /// Asks for a claim of one of this process's requests. The answer is
    /// [`KeysAction::Granted`] or [`KeysAction::Refused`], now or later.
    ///
    /// `issuer_life` is the life that a ticket's instance is known to be in.
    pub fn request_claim(
        &mut self,
        now: Time,
        list_age: Option<Duration>,
        claim: Claim,
        issuer_life: Option<Incarnation>,
        out: &mut Vec<KeysAction>,
    ) {
        let request = claim.claimant;
        if self.holders.len() >= MAX_CLAIMS {
            return refuse(request, ClaimRefusal::Full, out);
        }
        let home = match claim.id {
            ClaimId::Ticket(ticket) if tickets::issuer_has_restarted(ticket, issuer_life) => {
                return refuse(request, ClaimRefusal::HolderGone, out);
            }
            ClaimId::Ticket(ticket) => Some(ticket.instance),
            ClaimId::Key(key) => self.homes.home_of(key.rank_key()),
        };
        let retry_after = self.cfg.ask_limit;
        let Some(home) = home else {
            return refuse(request, ClaimRefusal::Unsure { retry_after }, out);
        };
        self.holders.put(Holder {
            claim,
            home,
            phase: Phase::Pending {
                until: now + self.cfg.ask_limit,
                last: ClaimRefusal::TimedOut,
            },
            requested_at: now,
            reports: 0,
            wake: now + REQUEST_RETRY_INTERVAL,
        });
        self.send_request(now, list_age, request, out);
    }

    /// Asks the home, which may be this process.
    fn send_request(
        &mut self,
        now: Time,
        list_age: Option<Duration>,
        request: RequestId,
        out: &mut Vec<KeysAction>,
    ) {
        let list_revision = self.homes.revision();
        let Some(holder) = self.holders.records.get_mut(&request) else {
            return;
        };
        holder.claim.list_revision = list_revision;
        let (claim, to) = (holder.claim, holder.home);
        if to != self.me.instance {
            let message = KeysMessage::Request(claim);
            return out.push(KeysAction::Send { to, message });
        }
        match self.grant(now, list_age, &claim, out) {
            Ok(()) => self.on_granted(now, to, request, out),
            Err(refusal) => self.on_refused(now, request, refusal, out),
        }
    }

    /// The home `from` granted the claim.
    pub(super) fn on_granted(
        &mut self,
        now: Time,
        from: InstanceKey,
        request: RequestId,
        out: &mut Vec<KeysAction>,
    ) {
        let Some(&holder) = self.holders.records.get(&request) else {
            return;
        };
        match holder.phase {
            Phase::Pending { .. } => {
                self.holders.put(Holder {
                    phase: Phase::Held,
                    wake: Time::NEVER,
                    ..holder
                });
                let valid_until = match holder.claim.id {
                    // Its issuer grants it to nobody else, however late it is.
                    ClaimId::Ticket(_) => Time::NEVER,
                    ClaimId::Key(_) => holder.requested_at + self.cfg.valid,
                };
                out.push(KeysAction::Granted {
                    request,
                    valid_until,
                });
                if holder.home != from {
                    // The home moved while the grant was on its way, and was
                    // told nothing then: this process held nothing yet. Left
                    // untold, the new home would grant the key once settled.
                    self.send_report(now, request, out);
                }
            }
            // The grant came after the request was answered: give it back.
            Phase::Ended { .. } => self.send_report(now, request, out),
            Phase::Held => {}
        }
    }

    /// The home refused the claim.
    pub(super) fn on_refused(
        &mut self,
        now: Time,
        request: RequestId,
        refusal: ClaimRefusal,
        out: &mut Vec<KeysAction>,
    ) {
        let Some(&holder) = self.holders.records.get(&request) else {
            return;
        };
        let Phase::Pending { until, .. } = holder.phase else {
            return;
        };
        match refusal {
            ClaimRefusal::Unsure { retry_after } if now + retry_after < until => {
                self.holders.put(Holder {
                    phase: Phase::Pending {
                        until,
                        last: refusal,
                    },
                    wake: now + retry_after.max(REQUEST_RETRY_INTERVAL),
                    ..holder
                });
            }
            _ => {
                self.holders.remove(request);
                refuse(request, refusal, out);
            }
        }
    }

    /// A request that asked for or holds a claim is over.
    pub fn on_request_ended(
        &mut self,
        now: Time,
        request: RequestId,
        state: HolderState,
        out: &mut Vec<KeysAction>,
    ) {
        debug_assert!(state != HolderState::Running);
        let Some(&holder) = self.holders.records.get(&request) else {
            return;
        };
        let state = match holder.phase {
            // Never granted, so never sent, however little its caller is told.
            Phase::Pending { .. } => HolderState::NotRun,
            Phase::Held => state,
            Phase::Ended { .. } => return,
        };
        self.holders.put(Holder {
            phase: Phase::Ended {
                state,
                until: now + self.cfg.memory,
            },
            reports: 0,
            ..holder
        });
        self.send_report(now, request, out);
    }

    /// Tells the home the present state of a claim, and again until it is noted.
    fn send_report(&mut self, now: Time, request: RequestId, out: &mut Vec<KeysAction>) {
        let Some(&holder) = self.holders.records.get(&request) else {
            return;
        };
        let (claim, state, to) = (holder.claim, holder.state(), holder.home);
        let doubled = MIN_REPORT_INTERVAL * (1 << holder.reports.min(8));
        self.holders.put(Holder {
            reports: holder.reports + 1,
            wake: now + doubled.min(MAX_REPORT_INTERVAL),
            ..holder
        });
        if to != self.me.instance {
            let message = KeysMessage::Report { claim, state };
            out.push(KeysAction::Send { to, message });
        } else if self.on_report(now, &claim, state) {
            self.holders.on_report_ack(request, state);
        }
    }

    /// Does what is due for a holder that was taken off the schedule.
    pub(super) fn wake_holder(
        &mut self,
        now: Time,
        list_age: Option<Duration>,
        request: RequestId,
        out: &mut Vec<KeysAction>,
    ) {
        let Some(&holder) = self.holders.records.get(&request) else {
            return;
        };
        match holder.phase {
            Phase::Pending { until, last } if now >= until => {
                self.on_request_ended(now, request, HolderState::NotRun, out);
                refuse(request, last, out);
            }
            Phase::Pending { .. } => {
                self.holders.put(Holder {
                    wake: now + REQUEST_RETRY_INTERVAL,
                    ..holder
                });
                self.send_request(now, list_age, request, out);
            }
            Phase::Ended { until, .. } if now >= until => self.holders.remove(request),
            Phase::Ended { .. } | Phase::Held => self.send_report(now, request, out),
        }
    }

    /// Tells new homes what this process's requests hold: homes of keys that
    /// moved with the list, and `renewed`, an instance that lost its memory.
    pub(super) fn report_to_new_homes(
        &mut self,
        now: Time,
        renewed: Option<InstanceKey>,
        out: &mut Vec<KeysAction>,
    ) {
        let requests: Vec<_> = self.holders.records.keys().copied().collect();
        for request in requests {
            let holder = self.holders.records[&request];
            let ClaimId::Key(key) = holder.claim.id else {
                continue;
            };
            let Some(home) = self.homes.home_of(key.rank_key()) else {
                continue;
            };
            if home == holder.home && renewed != Some(home) {
                continue;
            }
            self.holders.put(Holder {
                home,
                reports: 0,
                ..holder
            });
            if !matches!(holder.phase, Phase::Pending { .. }) {
                self.send_report(now, request, out);
            }
        }
    }
}

fn refuse(request: RequestId, refusal: ClaimRefusal, out: &mut Vec<KeysAction>) {
    let verdict = refusal.verdict();
    out.push(KeysAction::Refused { request, verdict });
}
