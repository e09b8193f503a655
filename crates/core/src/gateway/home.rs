//! The home of a service's engines, and how it grants their room.
//!
//! The home is the instance that decides for a key, chosen by rendezvous hashing. Instances report
//! what they run and which placements they request ([`placement`](super::placement)). The home
//! keeps the last report of each instance, decides whose request is next ([`queue`](super::queue))
//! and reserves what it grants until a report of the instance includes it. The report of an
//! instance expires after a second, with its usage, its placement requests and its reservations, so
//! that a frozen instance holds nobody up for longer.

mod copies;
mod ejections;
mod message;
mod queued;
mod rejections;
mod sums;

pub use ejections::HomeEjection;
pub use message::{PlacementAnswer, PlacementMessage, PlacementReport};
pub use rejections::{HomeRejection, RejectionReason};

use super::cold::{HOME_SHARE, SlidingWindowCounter};
use super::endpoints::EndpointTable;
use super::engines::Engines;
use super::forecast::Forecast;
use super::queue::{MAX_QUEUED_PER_INSTANCE, RecentGrants};
use super::request::{
    PlacementDecision, PlacementKind, PlacementRequest, QueuedPlacement, service_hash,
};
use super::usage::{PeerUsage, Usage};
use crate::ids::{EndpointKey, Incarnation};
use crate::time::Time;
use core::time::Duration;
use ejections::Ejections;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use sums::{Reservations, UsageSums};

/// Interval at which an instance that uses or requests engines of a service reports, even if
/// nothing changed.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Time to live of a report: two reports in a row may be lost.
pub const REPORT_TTL: Duration = Duration::from_millis(1_000);

/// Minimum interval at which one instance is sent what other instances run. It uses that only where
/// no home answers.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);

/// The last report of one instance.
#[derive(Clone, Debug)]
struct Reporter {
    incarnation: Incarnation,
    number: u64,
    received_at: Time,
    data_centre: String,
    used: Vec<(EndpointKey, Usage)>,
    failing: Vec<EndpointKey>,
    ejected: Vec<EndpointKey>,
    /// How many instances it knows, recently lost ones included.
    known: u32,
    requests: Vec<PlacementRequest>,
    /// Engines that recently refused it a copy for lack of room.
    no_room: Vec<EndpointKey>,
    /// Whether this instance is the one to decide about the placement requests.
    decides: bool,
    /// Whether an answer is due even if all requests stay queued.
    owes_answer: bool,
    view_sent_at: Option<Time>,
    /// Grants that no report includes yet.
    reserved: Reservations,
}

/// The instances that report about one service.
#[derive(Clone, Debug, Default)]
pub struct Home {
    reporters: BTreeMap<SocketAddrV4, Reporter>,
    /// What the reports and reservations of all reporters add up to.
    sums: UsageSums,
    /// Engines that instances recently found unusable.
    ejections: Ejections,
    /// Ejections that were not taken yet.
    new_ejections: Vec<HomeEjection>,
    /// Requests granted at engines with a rate limit.
    limited_grants: SlidingWindowCounter,
    /// Requests granted recently, which decide the order of the queue under overload.
    recent_grants: RecentGrants,
    /// When queued requests will get room.
    forecast: Forecast,
    /// Whether requests that would get room too late are rejected at once.
    pub rejects_by_forecast: bool,
    /// Rejections that were not taken yet.
    new_rejections: Vec<HomeRejection>,
}

/// Decisions by the instance to which they are sent.
type Decisions = BTreeMap<SocketAddrV4, Vec<(u64, PlacementDecision)>>;

impl Home {
    /// Stores a report. One that is older than the last one of the same incarnation is ignored;
    /// returns whether the report was stored.
    pub fn on_report(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        incarnation: Incarnation,
        report: PlacementReport,
    ) -> bool {
        let known = self.reporters.get_mut(&from);
        let (viewed, mut reserved) = match known {
            Some(known) if known.incarnation != incarnation => (None, Reservations::default()),
            Some(known) if known.number >= report.number => return false,
            Some(known) => (known.view_sent_at, core::mem::take(&mut known.reserved)),
            None => (None, Reservations::default()),
        };
        let requests = report.requests.into_iter().take(MAX_QUEUED_PER_INSTANCE);
        let requests: Vec<PlacementRequest> = requests.map(|it| it.into_request(now)).collect();
        // A grant of an engine that the request excludes by now cannot be used.
        reserved.retain(&mut self.sums, |id, key| {
            let mut open = requests.iter();
            open.any(|it| it.queued.id == id && !it.exclude.contains(&key))
        });
        for &engine in &report.ejected {
            let known = self.reporters.get(&from);
            if !known.is_some_and(|it| it.ejected.contains(&engine)) {
                let ejected = self.ejections.record(now, engine, from);
                self.new_ejections.extend(ejected);
            }
        }
        let reporter = Reporter {
            incarnation,
            number: report.number,
            received_at: now,
            data_centre: report.data_centre,
            used: report.used,
            failing: report.failing,
            ejected: report.ejected,
            known: report.known,
            decides: report.decides,
            owes_answer: report.decides && !requests.is_empty(),
            requests,
            no_room: report.no_room,
            view_sent_at: viewed,
            reserved,
        };
        reporter.add_report_to(&mut self.sums);
        if let Some(replaced) = self.reporters.insert(from, reporter) {
            replaced.subtract_from(&mut self.sums);
        }
        true
    }

    /// Removes expired reports.
    pub fn tick(&mut self, now: Time) {
        self.reporters.retain(|_, it| {
            let is_kept = now.since(it.received_at) < REPORT_TTL;
            if !is_kept {
                it.subtract_from(&mut self.sums);
            }
            is_kept
        });
        self.ejections.tick(now);
        self.limited_grants.tick(now);
        self.recent_grants.tick(now);
    }

    /// Takes the ejections since the last call.
    pub fn take_ejections(&mut self) -> Vec<HomeEjection> {
        core::mem::take(&mut self.new_ejections)
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.reporters.is_empty()
    }

    /// Returns whether an instance waits for a decision of this instance.
    pub fn has_requests(&self) -> bool {
        self.reporters
            .values()
            .any(|it| it.decides && !it.requests.is_empty())
    }

    /// Returns how many requests are queued for a decision of this instance.
    pub fn queued_count(&self) -> usize {
        let queued = self.reporters.values().filter(|it| it.decides);
        let requests = queued.flat_map(|it| &it.requests);
        requests
            .filter(|it| it.kind == PlacementKind::Queued)
            .count()
    }

    /// Returns what all instances except `except` run.
    pub fn others(&self, now: Time, except: Option<SocketAddrV4>) -> PeerUsage {
        let excepted = except.and_then(|it| self.reporters.get(&it));
        let mut others = match excepted {
            Some(reporter) => {
                let mut sums = self.sums.clone();
                reporter.subtract_from(&mut sums);
                sums.total()
            }
            None => self.sums.total(),
        };
        others.ejected.extend(self.ejections.ejected(now));
        others
    }

    /// Decides about all placement requests, and returns the answers to send.
    pub fn decide(
        &mut self,
        now: Time,
        engines: Engines<'_>,
    ) -> Vec<(SocketAddrV4, PlacementAnswer)> {
        let service = service_hash(engines.service);
        self.release_unusable(engines.endpoints);
        let mut others = self.others(now, None);
        let mut decided = Decisions::new();
        let mut holds = self.decide_pre_copies(now, engines, &mut others, &mut decided);
        self.decide_immediate(now, engines, &mut holds, &mut others, &mut decided);
        self.decide_queued(now, engines, &others, &holds, &mut decided);
        let mut answers = Vec::new();
        for (from, reporter) in &mut self.reporters {
            let decisions = decided.remove(from).unwrap_or_default();
            let has_grant = decisions
                .iter()
                .any(|(_, it)| !matches!(it, PlacementDecision::Queued(_)));
            if decisions.is_empty() || !(has_grant || reporter.owes_answer) {
                continue;
            }
            reporter.owes_answer = false;
            reporter.requests.retain(|request| {
                let is_denied = |&(id, it): &(u64, PlacementDecision)| {
                    let is_final = matches!(
                        it,
                        PlacementDecision::Denied(_) | PlacementDecision::Rejected { .. }
                    );
                    id == request.queued.id && is_final
                };
                !decisions.iter().any(is_denied)
            });
            answers.push((*from, decisions));
        }
        let mut send = Vec::with_capacity(answers.len());
        for (from, decisions) in answers {
            let view = self.view_for(now, from);
            send.push((
                from,
                PlacementAnswer {
                    service,
                    decisions,
                    view,
                },
            ));
        }
        send
    }

    /// Releases grants at engines that leave or are cordoned. A request that cannot use its grant
    /// for that reason asks again, and must not be granted the same engine.
    fn release_unusable(&mut self, endpoints: &EndpointTable) {
        for reporter in self.reporters.values_mut() {
            let reserved = &mut reporter.reserved;
            reserved.retain(&mut self.sums, |_, key| endpoints.is_usable(key));
        }
    }

    /// Returns the share of an engine's rate limit that this home may grant. Each instance of the
    /// fleet has a share, and a home grants the shares of the instances that report to it. A new
    /// home may not know the instances on the other side of a partition, but those that report to
    /// it do.
    fn granted_share(&self, engines: &Engines<'_>) -> f64 {
        let reported = self.reporters.values().map(|it| it.known as usize).max();
        let known = engines.known.max(reported.unwrap_or(0)).max(engines.live);
        HOME_SHARE * engines.live as f64 / known.max(1) as f64
    }

    /// Returns what others run, if it is due to be sent to the instance at `from`.
    fn view_for(&mut self, now: Time, from: SocketAddrV4) -> Option<PeerUsage> {
        let reporter = self.reporters.get_mut(&from)?;
        let is_due = reporter
            .view_sent_at
            .is_none_or(|at| now.since(at) >= VIEW_INTERVAL);
        if !is_due {
            return None;
        }
        reporter.view_sent_at = Some(now);
        let reporter = self.reporters.get(&from)?;
        let used = self.sums.without(reporter.all_usage());
        let failing = self.sums.failing_without(&reporter.failing);
        let ejected = self.ejections.ejected(now);
        Some(PeerUsage::to_message(used, failing, ejected))
    }
}

impl Reporter {
    /// Adds what the instance reported to the sums. Its reservations are part of them already.
    fn add_report_to(&self, sums: &mut UsageSums) {
        for &(key, used) in &self.used {
            sums.add(key, used);
        }
        for &key in &self.failing {
            sums.add_failing(key);
        }
    }

    /// Returns what the instance uses, and what is reserved for it.
    fn all_usage(&self) -> impl Iterator<Item = (EndpointKey, Usage)> {
        self.used.iter().copied().chain(self.reserved.all())
    }

    /// Subtracts the report and the reservations of the instance from the sums.
    fn subtract_from(&self, sums: &mut UsageSums) {
        for (key, used) in self.all_usage() {
            sums.subtract(key, used);
        }
        for &key in &self.failing {
            sums.subtract_failing(key);
        }
    }

    fn queued(&self, request: &PlacementRequest) -> QueuedPlacement {
        QueuedPlacement {
            request: request.clone(),
            data_centre: self.data_centre.clone(),
            avoid: self.ejected.clone(),
        }
    }

    fn has_queued_request(&self) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|it| {
            it.kind == PlacementKind::Queued && self.reserved.engine(it.queued.id).is_none()
        })
    }
}
