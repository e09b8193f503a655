//! How suspects restrict the requests of this instance.

use super::{Gateway, Placement};
use crate::fingerprint::Fingerprint;
use crate::gateway::gossip::{Body, GossipItems, MAX_ITEMS};
use crate::gateway::suspects::SEND_ALL_INTERVAL;
use crate::ids::EndpointKey;
use crate::suspects::{
    Admission, CrashRecord, RunLeaseAnswer, RunLeaseReport, Standing, SuspectRun,
};
use crate::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Bound on the leaving endpoints that are sent to an instance that believes something else.
const MAX_LEAVING_SENT: usize = 4 * MAX_ITEMS;

impl Gateway {
    /// Registers a request that is about to run; [`Gateway::end_run`] removes it.
    pub fn begin_run(&mut self, fingerprint: Fingerprint) -> SuspectRun {
        let run = SuspectRun {
            fingerprint,
            run: self.draw_id(),
        };
        self.suspects.runs.begin(run);
        run
    }

    /// Removes a request that no longer runs; returns whether its homes must be notified soon.
    pub fn end_run(&mut self, run: SuspectRun) -> bool {
        self.suspects.runs.end(run)
    }

    /// Returns whether a request may be sent to an endpoint now. A suspect without a lease begins
    /// to request one.
    pub fn admit_run(&mut self, now: Time, run: SuspectRun) -> Admission {
        let standing = self.suspects.ledger.standing(now, run.fingerprint);
        self.suspects.runs.admit(now, run, standing)
    }

    /// Returns whether a request is refused, so that it must not run anywhere.
    pub fn is_refused(&self, now: Time, fingerprint: Fingerprint) -> bool {
        self.suspects.ledger.standing(now, fingerprint) == Standing::Refused
    }

    /// Records that a request ran successfully.
    ///
    /// Without this, a popular request that was running at three engines when they lost power is
    /// refused, although it crashes no engines.
    pub fn on_run_succeeded(&mut self, now: Time, fingerprint: Fingerprint) {
        self.clear_suspect(now, fingerprint);
    }

    /// Clears a suspect; returns whether it was one.
    pub(super) fn clear_suspect(&mut self, now: Time, fingerprint: Fingerprint) -> bool {
        let is_news = self.suspects.ledger.clear(now, fingerprint);
        if is_news {
            self.gossip_crash_record(fingerprint);
        }
        is_news
    }

    /// Returns how many endpoints a request is known to have crashed.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.ledger.crash_count(fingerprint)
    }

    /// Records that an endpoint crashed together with its connection; returns whether that changed
    /// the request's record.
    ///
    /// An endpoint that was known to leave ended as announced, so that no request is to blame.
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

    /// Remembers that the connection to an endpoint was lost while it is still unknown whether the
    /// endpoint crashed.
    pub fn on_connection_lost(&mut self, now: Time, fingerprint: Fingerprint, place: &Placement) {
        if self.leaving_since(place.key).is_none() {
            self.suspects
                .record_lost_connection(now, fingerprint, place.key);
        }
    }

    /// Records that endpoints ended or left without notice. Requests that lost a connection to one
    /// of them are recorded as having crashed it.
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
            self.gossip_crash_record(fingerprint);
        }
        is_news
    }

    pub(super) fn gossip_crash_record(&mut self, fingerprint: Fingerprint) {
        self.suspects.note_changed();
        let crashes = self.suspects.ledger.crash_count(fingerprint);
        let instances = self.instances();
        self.outbox
            .add_crash_record(fingerprint, crashes, instances);
    }

    /// Merges the crash records of another instance.
    pub(super) fn on_crash_records(&mut self, now: Time, records: &[CrashRecord]) {
        for record in records {
            if self.suspects.ledger.on_record(now, record) {
                self.gossip_crash_record(record.fingerprint);
                self.clear_if_proven(now, record.fingerprint);
            }
        }
    }

    /// Sends what is believed of endpoints to an instance that believes something else: it has just
    /// started, was frozen or was partitioned while the gossip about it spread.
    pub(super) fn send_beliefs(
        &mut self,
        now: Time,
        peer: SocketAddrV4,
        theirs: u64,
        send: &mut Vec<(SocketAddrV4, Body)>,
    ) {
        let all_sent_at = self.suspects.all_sent_at;
        let is_due = all_sent_at.is_none_or(|at| now.since(at) >= SEND_ALL_INTERVAL);
        if !is_due || self.beliefs_digest() == theirs {
            return;
        }
        let worst = self.suspects.ledger.worst(now);
        if !worst.is_empty() {
            self.suspects.all_sent_at = Some(now);
            send.push((peer, Body::Suspects(worst)));
        }
        let leaving: Vec<EndpointKey> = self.unpublished_leaving().collect();
        for some in leaving.chunks(MAX_ITEMS) {
            self.suspects.all_sent_at = Some(now);
            let gossip = GossipItems {
                leaving: some.to_vec(),
                ..GossipItems::default()
            };
            send.push((peer, Body::Gossip(gossip)));
        }
    }

    /// Returns a hash of what [`Gateway::send_beliefs`] sends.
    pub(super) fn beliefs_digest(&mut self) -> u64 {
        let leaving = self.unpublished_leaving().fold(0, |sum, it| sum ^ it.0);
        self.suspects.ledger.digest() ^ leaving
    }

    /// Returns the endpoints that are known to leave and whose records do not say so, as many as are
    /// sent to one instance at once. Everybody learns of the others from the store.
    fn unpublished_leaving(&self) -> impl Iterator<Item = EndpointKey> {
        let leaving = self.endpoints.leaving_with_ready_record();
        leaving.take(MAX_LEAVING_SENT)
    }

    /// Sends the homes of suspects the runs of this instance and its lease requests; returns
    /// whether a request of this instance may have been granted its lease.
    pub(super) fn report_runs(&mut self, now: Time, send: &mut Vec<(SocketAddrV4, Body)>) -> bool {
        if self.suspects.has_nothing_to_report() {
            return false;
        }
        let mut reports: BTreeMap<SocketAddrV4, RunLeaseReport> = BTreeMap::new();
        let mut decided = false;
        for fingerprint in self.suspects.runs.fingerprints() {
            let standing = self.suspects.ledger.standing(now, fingerprint);
            let due = self.suspects.runs.due(now, fingerprint, standing);
            if due.is_empty() {
                continue;
            }
            let ranks = self.homes_of_any_capacity(fingerprint.rank_key());
            if due.is_unanswered
                && let Some(home) = self.acting(now, ranks)
            {
                self.placements.mark_unresponsive(now, home);
            }
            let mut known = self.suspects.ledger.related(fingerprint);
            known.push(fingerprint);
            for home in ranks.into_iter().flatten() {
                let report = reports.entry(home).or_default();
                for &it in &known {
                    if report.records.iter().all(|known| known.fingerprint != it) {
                        report.records.extend(self.suspects.ledger.record(now, it));
                    }
                }
                report.renew.extend(&due.renew);
                report.release.extend(&due.release);
            }
            let [_, second] = ranks;
            decided |= due.is_unconfirmed;
            let asked = [
                (self.acting(now, ranks), &due.acquire),
                (second, &due.confirm),
            ];
            for (home, runs) in asked {
                if let Some(home) = home {
                    reports.entry(home).or_default().acquire.extend(runs);
                }
            }
        }
        for (home, report) in reports {
            if home == self.cfg.address {
                let answer = self.on_run_lease_report(now, home, &report);
                self.on_run_lease_answer(now, home, &answer);
                decided = true;
            } else {
                send.push((home, Body::RunLeaseReport(report)));
            }
        }
        decided
    }

    /// Handles a report of runs and lease requests, as the home of suspects.
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

    /// Handles the answer of a suspect's home.
    pub(super) fn on_run_lease_answer(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        answer: &RunLeaseAnswer,
    ) {
        self.on_crash_records(now, &answer.records);
        let runs = answer.granted.iter().chain(&answer.waiting);
        let fingerprints = runs.map(|it| it.fingerprint);
        // A second home that was late before is asked all the same: it may have granted the lease to
        // one that took the first home for lost.
        let unconfirmed: BTreeSet<Fingerprint> = fingerprints
            .filter(|it| {
                let [_, second] = self.homes_of_any_capacity(it.rank_key());
                second.is_some_and(|second| second != from)
            })
            .collect();
        let runs = &mut self.suspects.runs;
        runs.on_answer(now, answer, |it| unconfirmed.contains(&it));
    }
}
