//! What this instance believes of suspects, and what follows for its requests.

use super::{Gateway, Placement};
use crate::fingerprint::Fingerprint;
use crate::gateway::gossip::Body;
use crate::gateway::suspects::SEND_ALL_INTERVAL;
use crate::ids::EndpointKey;
use crate::suspects::{
    Admission, CrashRecord, RunLeaseAnswer, RunLeaseReport, Standing, SuspectRun,
};
use crate::time::Time;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

impl Gateway {
    /// Takes in a request that is going to run; it is taken out by [`Gateway::end_run`].
    pub fn begin_run(&mut self, fingerprint: Fingerprint) -> SuspectRun {
        let run = SuspectRun {
            fingerprint,
            run: self.draw_id(),
        };
        self.suspects.runs.begin(run);
        run
    }

    /// Takes a request out that runs no longer; returns whether its homes are to be told soon.
    pub fn end_run(&mut self, run: SuspectRun) -> bool {
        self.suspects.runs.end(run)
    }

    /// Returns whether a request may be sent to an endpoint now. A suspect that has no turn asks
    /// for it.
    pub fn admit_run(&mut self, now: Time, run: SuspectRun) -> Admission {
        let standing = self.suspects.ledger.standing(now, run.fingerprint);
        self.suspects.runs.admit(now, run, standing)
    }

    /// Returns whether a request is refused, so that it must not go on anywhere.
    pub fn is_refused(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.suspects.ledger.standing(now, fingerprint) == Standing::Refused
    }

    /// Notes that a request ran well.
    ///
    /// What goes wrong otherwise: a request that was at three engines when they lost their
    /// power is refused, though it is none that ends engines.
    pub fn on_run_succeeded(&mut self, now: Time, fingerprint: Fingerprint) {
        if self.suspects.ledger.clear(now, fingerprint) {
            self.gossip_crash_record(now, fingerprint);
        }
    }

    /// Returns how many endpoints a request is known to have ended.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.ledger.crash_count(fingerprint)
    }

    /// Notes that an endpoint ended together with its connection; returns whether that is
    /// news of the request.
    ///
    /// An endpoint that was known to leave ended as it said it would, and nobody is to blame.
    pub fn on_endpoint_crash(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        place: &Placement,
    ) -> bool {
        if self.leaving_since(place.key).is_some() {
            return false;
        }
        self.on_endpoints_lost(now, &[place.key]);
        self.record_crash(now, fingerprint, place.key)
    }

    /// Keeps in mind that the connection to an endpoint ended, and that it cannot be told yet
    /// whether the endpoint did.
    pub fn on_connection_lost(&mut self, now: Time, fingerprint: Fingerprint, place: &Placement) {
        if self.leaving_since(place.key).is_none() {
            self.suspects
                .record_lost_connection(now, fingerprint, place.key);
        }
    }

    /// Notes that endpoints ended, or left without a word; what was kept in mind of them is now
    /// certain.
    pub fn on_endpoints_lost(&mut self, now: Time, endpoints: &[EndpointKey]) {
        for &endpoint in endpoints {
            for fingerprint in self.suspects.take_lost_connections(endpoint) {
                self.record_crash(now, fingerprint, endpoint);
            }
        }
    }

    fn record_crash(&mut self, now: Time, fingerprint: Fingerprint, endpoint: EndpointKey) -> bool {
        let is_news = self
            .suspects
            .ledger
            .record_crash(now, fingerprint, endpoint);
        if is_news {
            self.gossip_crash_record(now, fingerprint);
        }
        is_news
    }

    fn gossip_crash_record(&mut self, now: Time, fingerprint: Fingerprint) {
        self.suspects.note_changed();
        if let Some(record) = self.suspects.ledger.record(now, fingerprint) {
            let instances = self.instances();
            self.outbox.add_crash_record(record, instances);
        }
    }

    /// Takes in what another instance knows of suspects.
    pub(super) fn on_crash_records(&mut self, now: Time, records: &[CrashRecord]) {
        for record in records {
            if self.suspects.ledger.on_record(now, record) {
                self.gossip_crash_record(now, record.fingerprint);
            }
        }
    }

    /// Tells an instance that knows other suspects of those that ended the most endpoints: it
    /// has just started, or was cut off.
    pub(super) fn send_suspects(
        &mut self,
        now: Time,
        peer: SocketAddrV4,
        theirs: u64,
        send: &mut Vec<(SocketAddrV4, Body)>,
    ) {
        let all_sent_at = self.suspects.all_sent_at;
        let is_due = all_sent_at.is_none_or(|at| now.since(at) >= SEND_ALL_INTERVAL);
        if !is_due || self.suspects.ledger.digest() == theirs {
            return;
        }
        let worst = self.suspects.ledger.worst(now);
        if !worst.is_empty() {
            self.suspects.all_sent_at = Some(now);
            send.push((peer, Body::Suspects(worst)));
        }
    }

    /// Tells the homes of suspects what this instance runs and asks for; returns whether a
    /// request of this instance may have its turn.
    pub(super) fn report_runs(&mut self, now: Time, send: &mut Vec<(SocketAddrV4, Body)>) -> bool {
        if self.suspects.has_nothing_to_report() {
            return false;
        }
        let mut reports: BTreeMap<SocketAddrV4, RunLeaseReport> = BTreeMap::new();
        for fingerprint in self.suspects.runs.fingerprints() {
            let standing = self.suspects.ledger.standing(now, fingerprint);
            let due = self.suspects.runs.due(now, fingerprint, standing);
            if due.is_empty() {
                continue;
            }
            let key = fingerprint.rank_key();
            if due.is_unanswered
                && let Some(home) = self.acting_home(now, key)
            {
                self.placements.pass_over(now, home);
            }
            let known = self.suspects.ledger.record(now, fingerprint);
            for home in self.homes(key).into_iter().flatten() {
                let report = reports.entry(home).or_default();
                report.records.extend(known.clone());
                report.renew.extend(&due.renew);
                report.release.extend(&due.release);
            }
            if let Some(home) = self.acting_home(now, key) {
                reports
                    .entry(home)
                    .or_default()
                    .acquire
                    .extend(&due.acquire);
            }
        }
        let mut decided = false;
        for (home, report) in reports {
            if home == self.cfg.address {
                let answer = self.on_run_lease_report(now, home, &report);
                self.on_run_lease_answer(now, &answer);
                decided = true;
            } else {
                send.push((home, Body::RunLeaseReport(report)));
            }
        }
        decided
    }

    /// Takes in what an instance runs and asks for, as the home of it.
    pub(super) fn on_run_lease_report(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        report: &RunLeaseReport,
    ) -> RunLeaseAnswer {
        self.on_crash_records(now, &report.records);
        let answer = self.suspects.run_leases.on_report(now, from, report);
        RunLeaseAnswer {
            records: self.suspects.ledger.records_of(now, &report.acquire),
            ..answer
        }
    }

    /// Takes in what the home of suspects answered.
    pub(super) fn on_run_lease_answer(&mut self, now: Time, answer: &RunLeaseAnswer) {
        self.on_crash_records(now, &answer.records);
        self.suspects.runs.on_answer(now, answer);
    }
}
