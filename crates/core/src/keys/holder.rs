//! The holding side of claims: the claims of this process's own requests.

use super::claim::{Claim, ClaimId, ClaimRefusal, HolderState};
use super::{Keys, KeysAction, KeysMessage, MAX_CLAIMS};
use crate::ids::{Incarnation, InstanceKey, RequestId};
use crate::keys::tickets;
use crate::time::Time;
use core::time::Duration;
use indexmap::IndexMap;
use std::collections::BTreeSet;

/// Interval at which a claim is requested again from a home that did not answer or was unsure.
const REQUEST_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Initial interval before a report is sent again; it doubles up to the maximum.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum interval before a report is sent again.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The claim is requested until `until`; `last` is the latest refusal.
    Pending { until: Time, last: ClaimRefusal },
    /// The claim is granted, and the request may run.
    Held,
    /// The request has ended; kept until `until` so that a new home can be informed.
    Ended { state: HolderState, until: Time },
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    claim: Claim,
    home: InstanceKey,
    phase: Phase,
    requested_at: Time,
    /// Number of reports of the current state that were sent.
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

/// The claims that this process's requests have requested or hold.
///
/// Invariant: `by_wake` contains exactly the `wake` time of every holder.
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

    /// Removes a due holder from the schedule and returns its request.
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

    /// Returns whether an end was reported and has not been acknowledged yet.
    pub fn has_unacked_ends(&self) -> bool {
        let is_unacked =
            |it: &Holder| matches!(it.phase, Phase::Ended { until, .. } if it.wake < until);
        self.records.values().any(is_unacked)
    }

    /// Records that the home acknowledged a report, which is then not sent again. The holder is
    /// kept even if the request did not run, so that a delayed grant can be returned and does not
    /// block the name.
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
    /// Requests a claim for one of this process's requests. The answer is [`KeysAction::Granted`]
    /// or [`KeysAction::Refused`], now or later.
    ///
    /// `issuer_incarnation` is the current incarnation of the ticket's instance, if it is known.
    pub fn request_claim(
        &mut self,
        now: Time,
        list_age: Option<Duration>,
        claim: Claim,
        issuer_incarnation: Option<Incarnation>,
        out: &mut Vec<KeysAction>,
    ) {
        let request = claim.claimant;
        if self.holders.len() >= MAX_CLAIMS {
            return refuse(request, ClaimRefusal::Full, out);
        }
        let home = match claim.id {
            ClaimId::Ticket(ticket)
                if tickets::issuer_has_restarted(ticket, issuer_incarnation) =>
            {
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

    /// Sends the claim to its home, which may be this process.
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

    /// Handles a grant of a claim by the home `from`.
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
                    // The issuer grants it to no other request, however much time passes.
                    ClaimId::Ticket(_) => Time::NEVER,
                    ClaimId::Key(_) => holder.requested_at + self.cfg.valid,
                };
                out.push(KeysAction::Granted {
                    request,
                    valid_until,
                });
                if holder.home != from {
                    // The home moved while the grant was in flight. At that time this process held
                    // no claim and reported none. Without a report now, the new home would grant
                    // the key to another request once it has settled.
                    self.send_report(now, request, out);
                }
            }
            // The grant arrived after the request had ended, so it is returned.
            Phase::Ended { .. } => self.send_report(now, request, out),
            Phase::Held => {}
        }
    }

    /// Handles a refusal of a claim by its home.
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

    /// Records the end of a request that requested or holds a claim.
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
            // Never granted and therefore never sent, even if its caller received "unknown".
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

    /// Reports the current state of a claim to its home and schedules the next report in case it is
    /// not acknowledged.
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

    /// Performs what is due for a holder that was removed from the schedule.
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

    /// Reports the claims of this process's requests to their new homes: to the homes of keys that
    /// moved with the instance list, and to `renewed`, an instance that restarted and lost its
    /// state.
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
