//! Suspects: requests that may crash the endpoints that run them.
//!
//! The decisions are made in [`crate::suspects`]; this module connects them to requests, peers and
//! timers. A request neither requests a grant nor is dispatched with one unless it may run. New
//! crash records are gossiped through the watchers, as the news of leaving endpoints is.

use super::Node;
use super::request::{Request, Stage};
use super::timers::TimerKind;
use crate::cell::EndKind;
use crate::event::PeerId;
use crate::fingerprint::Fingerprint;
use crate::ids::InstanceKey;
use crate::membership::EndpointState;
use crate::peer::PeerMessage;
use crate::reason::Reason;
use crate::suspects::{
    Admission, CrashRecord, Ledger, RunLeaseAnswer, RunLeaseReport, RunLeases, Runs, SUCCESS_AFTER,
    Standing, SuspectRun,
};
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// How long the home of a suspect may take to answer before the next in rank is asked. It must
/// cover a link that has to be established first.
const HOME_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a home that did not answer counts as unresponsive.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(1);

/// How often requests that wait for a run lease are checked and reported.
const WAITING_REPORT_INTERVAL: Duration = Duration::from_millis(10);

/// How often homes receive a report of running suspects.
const RUNNING_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of crash records in one message, with [`GOSSIP_INTERVAL`] between two messages: a
/// watcher forwards each message to all instances of its data centre.
const MAX_RECORDS_PER_MESSAGE: usize = 8;

/// Minimum time between two messages; see [`MAX_RECORDS_PER_MESSAGE`].
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// What a node knows about suspects.
#[derive(Debug)]
pub(super) struct Suspects {
    ledger: Ledger,
    runs: Runs,
    run_leases: RunLeases<InstanceKey>,
    /// Homes that did not answer, and until when they count as unresponsive.
    unresponsive: BTreeMap<InstanceKey, Time>,
    /// Suspects whose crash records are to be gossiped, with the peer that sent them, if any.
    pending_gossip: BTreeMap<Fingerprint, Option<PeerId>>,
    /// When crash records were last gossiped.
    last_gossip_at: Option<Time>,
    /// Reused buffer for the homes of a suspect.
    ranked: Vec<InstanceKey>,
}

impl Suspects {
    pub(super) fn new(now: Time) -> Self {
        Suspects {
            ledger: Ledger::default(),
            runs: Runs::new(HOME_TIMEOUT),
            run_leases: RunLeases::new(now),
            unresponsive: BTreeMap::new(),
            pending_gossip: BTreeMap::new(),
            last_gossip_at: None,
            ranked: Vec::new(),
        }
    }
}

fn suspect_run(request: &Request) -> SuspectRun {
    SuspectRun {
        fingerprint: request.arrival.fingerprint,
        run: request.id().seq,
    }
}

impl Node {
    /// Starts the grace period in which this node, as a home, learns which suspects others run.
    pub(super) fn start_suspects(&mut self) {
        self.suspects.run_leases.restart_grace_period(self.now);
    }

    /// Registers a request that is going to run.
    pub(super) fn begin_run(&mut self, seq: u64) {
        if let Some(request) = self.requests.get(&seq) {
            self.suspects.runs.begin(suspect_run(request));
        }
    }

    /// Removes a request that has ended.
    pub(super) fn end_run(&mut self, request: &Request) {
        if self.suspects.runs.end(suspect_run(request)) {
            self.timers.set(self.now, TimerKind::RunLeases);
        }
    }

    /// Returns whether a request may ask for a grant, and be dispatched with it. One that may not
    /// waits for a run lease from now on, or is refused.
    pub(super) fn may_be_sent(&mut self, seq: u64) -> bool {
        let Some(request) = self.requests.get(&seq) else {
            return false;
        };
        let run = suspect_run(request);
        let standing = self.suspects.ledger.standing(self.now, run.fingerprint);
        match self.suspects.runs.admit(self.now, run, standing) {
            Admission::Go => return true,
            Admission::Refused => self.refuse(seq, Reason::CrashesEndpoints),
            Admission::NoHome => self.refuse(seq, Reason::NoRunLease),
            Admission::Wait => self.await_run_lease(seq),
        }
        false
    }

    fn await_run_lease(&mut self, seq: u64) {
        let Some(request) = self.requests.get_mut(&seq) else {
            return;
        };
        if request.stage == Stage::AwaitingRunLease {
            return;
        }
        let (id, start_deadline) = (request.id(), request.start_deadline());
        let stage = core::mem::replace(&mut request.stage, Stage::AwaitingRunLease);
        self.release_at_home(id, stage, 0, EndKind::Cancelled);
        self.timers.set(start_deadline, TimerKind::Request(seq));
        self.timers.set(self.now, TimerKind::RunLeases);
    }

    /// Retries the placement of all requests that wait for a run lease.
    fn retry_waiting(&mut self) {
        let waiting = self.requests.iter();
        let waiting = waiting.filter(|(_, it)| it.stage == Stage::AwaitingRunLease);
        let waiting: Vec<u64> = waiting.map(|(&seq, _)| seq).collect();
        for seq in waiting {
            self.request_next_cell(seq);
        }
    }

    /// Records that the response to an attempt has started.
    pub(super) fn on_response_started(&mut self, seq: u64) {
        if let Some(request) = self.requests.get_mut(&seq) {
            request.response_started_at.get_or_insert(self.now);
        }
    }

    /// Handles the end of the endpoint process that ran an attempt.
    pub(super) fn on_endpoint_exited(&mut self, seq: u64) {
        let Some(request) = self.requests.get(&seq) else {
            return;
        };
        let Stage::Running { endpoint, .. } = request.stage else {
            return;
        };
        let fingerprint = request.arrival.fingerprint;
        let response_started_at = request.response_started_at;
        if response_started_at.is_some_and(|at| self.now.since(at) >= SUCCESS_AFTER) {
            return self.on_run_succeeded(fingerprint);
        }
        if self.membership.endpoint_state(endpoint) == EndpointState::Leaving {
            // A planned exit that the endpoint had announced.
            return;
        }
        if self
            .suspects
            .ledger
            .record_crash(self.now, fingerprint, endpoint)
        {
            self.gossip_soon(fingerprint, None);
        }
    }

    /// Clears the crash record of a request that ran successfully.
    pub(super) fn on_run_succeeded(&mut self, fingerprint: Fingerprint) {
        if self.suspects.ledger.clear(self.now, fingerprint) {
            self.gossip_soon(fingerprint, None);
        }
    }

    fn gossip_soon(&mut self, fingerprint: Fingerprint, source: Option<PeerId>) {
        self.suspects.pending_gossip.insert(fingerprint, source);
        let last = self.suspects.last_gossip_at;
        let at = last.map_or(self.now, |at| (at + GOSSIP_INTERVAL).max(self.now));
        self.timers.set(at, TimerKind::GossipSuspects);
        self.timers.set(self.now, TimerKind::RunLeases);
    }

    /// Gossips pending crash records, as many as one message holds.
    pub(super) fn gossip_suspects(&mut self) {
        let last = self.suspects.last_gossip_at;
        if last.is_some_and(|at| self.now.since(at) < GOSSIP_INTERVAL) {
            return;
        }
        let mut by_receiver: BTreeMap<InstanceKey, Vec<CrashRecord>> = BTreeMap::new();
        for _ in 0..MAX_RECORDS_PER_MESSAGE {
            let Some((fingerprint, source)) = self.suspects.pending_gossip.pop_first() else {
                break;
            };
            let Some(record) = self.suspects.ledger.record(self.now, fingerprint) else {
                continue;
            };
            for to in self.membership.gossip_targets(source, Vec::new()) {
                by_receiver.entry(to).or_default().push(record.clone());
            }
        }
        self.suspects.last_gossip_at = Some(self.now);
        if !self.suspects.pending_gossip.is_empty() {
            let at = self.now + GOSSIP_INTERVAL;
            self.timers.set(at, TimerKind::GossipSuspects);
        }
        for (to, records) in by_receiver {
            self.send(to, PeerMessage::Suspects(records));
        }
    }

    /// Sends the crash records with the most crashes to a peer whose link has come up.
    pub(super) fn send_suspects_to(&mut self, to: InstanceKey) {
        let worst = self.suspects.ledger.worst(self.now);
        if !worst.is_empty() {
            self.send(to, PeerMessage::Suspects(worst));
        }
    }

    /// Handles crash records from a peer.
    pub(super) fn on_suspects(&mut self, from: PeerId, records: &[CrashRecord]) {
        self.apply_crash_records(from, records);
        self.retry_waiting();
    }

    fn apply_crash_records(&mut self, from: PeerId, records: &[CrashRecord]) {
        for record in records {
            if self.suspects.ledger.on_record(self.now, record) {
                self.gossip_soon(record.fingerprint, Some(from));
            }
        }
    }

    /// Reports to the homes of suspects which runs are active and which wait here.
    pub(super) fn report_run_leases(&mut self) {
        let now = self.now;
        self.suspects.ledger.tick(now);
        self.suspects.run_leases.tick(now);
        self.suspects.unresponsive.retain(|_, until| now < *until);
        if self.suspects.ledger.is_empty() && self.suspects.runs.no_run_ended() {
            return;
        }
        let mut reports: BTreeMap<InstanceKey, RunLeaseReport> = BTreeMap::new();
        let mut any_runs = false;
        for fingerprint in self.suspects.runs.fingerprints() {
            let standing = self.suspects.ledger.standing(now, fingerprint);
            any_runs |= standing != Standing::Free;
            self.report_run_lease(fingerprint, standing, &mut reports);
        }
        for (home, report) in reports {
            self.send(home, PeerMessage::RunLeaseReport(report));
        }
        if self.suspects.runs.any_waiting() {
            self.timers
                .set(now + WAITING_REPORT_INTERVAL, TimerKind::RunLeases);
            self.retry_waiting();
        } else if any_runs {
            self.timers
                .set(now + RUNNING_REPORT_INTERVAL, TimerKind::RunLeases);
        }
    }

    fn report_run_lease(
        &mut self,
        fingerprint: Fingerprint,
        standing: Standing,
        reports: &mut BTreeMap<InstanceKey, RunLeaseReport>,
    ) {
        let now = self.now;
        let due = self.suspects.runs.due(now, fingerprint, standing);
        if due.is_empty() {
            return;
        }
        let mut ranked = core::mem::take(&mut self.suspects.ranked);
        let key = fingerprint.rank_key();
        self.membership.ranked_homes(key, 2, &mut ranked);
        let unresponsive = &mut self.suspects.unresponsive;
        let acting = |unresponsive: &BTreeMap<InstanceKey, Time>| {
            let mut responsive = ranked.iter().filter(|it| !unresponsive.contains_key(it));
            responsive.next().or(ranked.first()).copied()
        };
        if due.is_unanswered
            && let Some(home) = acting(unresponsive)
        {
            unresponsive.insert(home, now + UNRESPONSIVE_PERIOD);
        }
        let known = self.suspects.ledger.record(now, fingerprint);
        for &home in &ranked {
            let report = reports.entry(home).or_default();
            report.records.extend(known.clone());
            report.renew.extend(&due.renew);
            report.release.extend(&due.release);
        }
        if let Some(home) = acting(unresponsive) {
            reports
                .entry(home)
                .or_default()
                .acquire
                .extend(&due.acquire);
        }
        self.suspects.ranked = ranked;
    }

    /// Handles, as the home of suspects, the report of what a peer runs and requests.
    pub(super) fn on_run_lease_report(&mut self, from: PeerId, report: &RunLeaseReport) {
        self.apply_crash_records(from, &report.records);
        let answer = self
            .suspects
            .run_leases
            .on_report(self.now, from.instance, report);
        if !report.acquire.is_empty() {
            let answer = RunLeaseAnswer {
                records: self.suspects.ledger.records_of(self.now, &report.acquire),
                ..answer
            };
            self.send(from.instance, PeerMessage::RunLeaseAnswer(answer));
        }
    }

    /// Handles the answer of a home of suspects.
    pub(super) fn on_run_lease_answer(&mut self, from: PeerId, answer: &RunLeaseAnswer) {
        self.apply_crash_records(from, &answer.records);
        self.suspects.runs.on_answer(self.now, answer, |_| false);
        self.retry_waiting();
    }
}
