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
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// The first wait before a report is repeated; it doubles up to the longest.
const REPORT_AGAIN: Duration = Duration::from_millis(500);

/// The longest wait before a report is repeated.
const REPORT_AGAIN_MOST: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the answer until `until`; `last` is what was answered so far.
    Asking { until: Time, last: ClaimRefusal },
    /// The request may run.
    Held,
    /// The request is over; kept until `until` to tell a new home.
    Over { state: HolderState, until: Time },
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    claim: Claim,
    home: InstanceKey,
    phase: Phase,
    asked_at: Time,
    /// Reports of the present state that were sent.
    reports: u32,
    wake: Time,
}

impl Holder {
    fn state(&self) -> HolderState {
        match self.phase {
            Phase::Asking { .. } | Phase::Held => HolderState::Running,
            Phase::Over { state, .. } => state,
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
    pub fn has_unnoted_ends(&self) -> bool {
        let unnoted =
            |it: &Holder| matches!(it.phase, Phase::Over { until, .. } if it.wake < until);
        self.records.values().any(unnoted)
    }

    /// The home noted what was reported, so that it need not be repeated. The
    /// holder stays, also one that did not run: a grant that was delayed on the
    /// way is then given back, and its name is not held for nothing.
    pub fn noted(&mut self, request: RequestId, state: HolderState) {
        let Some(&holder) = self.records.get(&request) else {
            return;
        };
        if holder.state() != state {
            return;
        }
        let wake = match holder.phase {
            Phase::Asking { .. } => return,
            Phase::Held => Time::NEVER,
            Phase::Over { until, .. } => until,
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
            phase: Phase::Asking {
                until: now + self.cfg.ask_limit,
                last: ClaimRefusal::TimedOut,
            },
            asked_at: now,
            reports: 0,
            wake: now + ASK_AGAIN,
        });
        self.send_ask(now, list_age, request, out);
    }

    /// Asks the home, which may be this process.
    fn send_ask(
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
            let message = KeysMessage::Take(claim);
            return out.push(KeysAction::Send { to, message });
        }
        match self.grant(now, list_age, &claim, out) {
            Ok(()) => self.taken(now, to, request, out),
            Err(refusal) => self.used(now, request, refusal, out),
        }
    }

    /// The home `from` granted the claim.
    pub(super) fn taken(
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
            Phase::Asking { .. } => {
                self.holders.put(Holder {
                    phase: Phase::Held,
                    wake: Time::NEVER,
                    ..holder
                });
                let valid_until = match holder.claim.id {
                    // Its issuer grants it to nobody else, however late it is.
                    ClaimId::Ticket(_) => Time::NEVER,
                    ClaimId::Key(_) => holder.asked_at + self.cfg.valid,
                };
                out.push(KeysAction::Granted {
                    request,
                    valid_until,
                });
                if holder.home != from {
                    // The home moved while the grant was on its way, and was
                    // told nothing then: this process held nothing yet. Left
                    // untold, the new home would grant the key once settled.
                    self.report(now, request, out);
                }
            }
            // The grant came after the request was answered: give it back.
            Phase::Over { .. } => self.report(now, request, out),
            Phase::Held => {}
        }
    }

    /// The home refused the claim.
    pub(super) fn used(
        &mut self,
        now: Time,
        request: RequestId,
        refusal: ClaimRefusal,
        out: &mut Vec<KeysAction>,
    ) {
        let Some(&holder) = self.holders.records.get(&request) else {
            return;
        };
        let Phase::Asking { until, .. } = holder.phase else {
            return;
        };
        match refusal {
            ClaimRefusal::Unsure { retry_after } if now + retry_after < until => {
                self.holders.put(Holder {
                    phase: Phase::Asking {
                        until,
                        last: refusal,
                    },
                    wake: now + retry_after.max(ASK_AGAIN),
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
    pub fn ended(
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
            Phase::Asking { .. } => HolderState::NotRun,
            Phase::Held => state,
            Phase::Over { .. } => return,
        };
        self.holders.put(Holder {
            phase: Phase::Over {
                state,
                until: now + self.cfg.memory,
            },
            reports: 0,
            ..holder
        });
        self.report(now, request, out);
    }

    /// Tells the home the present state of a claim, and again until it is noted.
    fn report(&mut self, now: Time, request: RequestId, out: &mut Vec<KeysAction>) {
        let Some(&holder) = self.holders.records.get(&request) else {
            return;
        };
        let (claim, state, to) = (holder.claim, holder.state(), holder.home);
        let doubled = REPORT_AGAIN * (1 << holder.reports.min(8));
        self.holders.put(Holder {
            reports: holder.reports + 1,
            wake: now + doubled.min(REPORT_AGAIN_MOST),
            ..holder
        });
        if to != self.me.instance {
            let message = KeysMessage::Report { claim, state };
            out.push(KeysAction::Send { to, message });
        } else if self.note_report(now, &claim, state) {
            self.holders.noted(request, state);
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
            Phase::Asking { until, last } if now >= until => {
                self.ended(now, request, HolderState::NotRun, out);
                refuse(request, last, out);
            }
            Phase::Asking { .. } => {
                self.holders.put(Holder {
                    wake: now + ASK_AGAIN,
                    ..holder
                });
                self.send_ask(now, list_age, request, out);
            }
            Phase::Over { until, .. } if now >= until => self.holders.remove(request),
            Phase::Over { .. } | Phase::Held => self.report(now, request, out),
        }
    }

    /// Tells new homes what this process's requests hold: homes of keys that
    /// moved with the list, and `renewed`, an instance that lost its memory.
    pub(super) fn retell(
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
            if !matches!(holder.phase, Phase::Asking { .. }) {
                self.report(now, request, out);
            }
        }
    }
}

fn refuse(request: RequestId, refusal: ClaimRefusal, out: &mut Vec<KeysAction>) {
    let verdict = refusal.verdict();
    out.push(KeysAction::Refused { request, verdict });
}
