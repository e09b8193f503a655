//! The home of a service's engines, and how it grants their room.
//!
//! The home is the instance that decides for a key, chosen by rendezvous hashing. Instances report
//! what they run and which placements they request ([`placement`](super::placement)). The home
//! keeps the last report of each instance, decides whose request is next ([`queue`](super::queue))
//! and reserves what it grants until a report of the instance includes it. The report of an
//! instance expires after a second, with its usage, its placement requests and its reservations, so
//! that a frozen instance holds nobody up for longer.

mod ejections;
mod message;

pub use ejections::HomeEjection;
pub use message::{PlacementAnswer, PlacementMessage, PlacementReport};

use super::catalogue::EngineLimits;
use super::choose::{Demand, PlacementContext, PlacementError, choose, choose_copy_target};
use super::cold::{self, ColdLimits, HOME_SHARE, SlidingWindowCounter};
use super::endpoints::EndpointTable;
use super::placement::{PlacementDecision, PlacementKind, PlacementRequest};
use super::queue::{MAX_QUEUED_PER_INSTANCE, QueuedPlacement, assign, service_hash};
use super::rate_limits::RateLimits;
use super::usage::{PeerUsage, Usage, UsageTable};
use crate::ids::{EndpointKey, Incarnation};
use crate::time::Time;
use core::time::Duration;
use ejections::Ejections;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

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
    /// Whether this instance is the one to decide about the placement requests.
    decides: bool,
    /// Whether an answer is due even if all requests stay queued.
    owes_answer: bool,
    view_sent_at: Option<Time>,
    /// Grants that no report includes yet.
    reserved: BTreeMap<u64, (EndpointKey, Usage)>,
}

/// The instances that report about one service.
#[derive(Clone, Debug, Default)]
pub struct Home {
    reporters: BTreeMap<SocketAddrV4, Reporter>,
    /// Engines that instances recently found unusable.
    ejections: Ejections,
    /// Ejections that were not taken yet.
    new_ejections: Vec<HomeEjection>,
    /// Requests granted at engines with a rate limit.
    limited_grants: SlidingWindowCounter,
}

/// Decisions by the instance to which they are sent.
type Decisions = BTreeMap<SocketAddrV4, Vec<(u64, PlacementDecision)>>;

/// What a home needs to know of a service to decide.
#[derive(Clone, Copy, Debug)]
pub struct Engines<'a> {
    /// The service's name.
    pub service: &'a str,
    /// The capacity of its engines.
    pub limits: EngineLimits,
    /// All endpoints.
    pub endpoints: &'a EndpointTable,
    /// The capacity of its engines while they are cold, if that is less.
    pub cold: Option<ColdLimits>,
    /// The rate limits that endpoints set.
    pub named: &'a RateLimits,
    /// How many instances this one knows, recently lost ones included.
    pub known: usize,
    /// How many of them are live.
    pub live: usize,
}

impl Engines<'_> {
    /// Returns how many requests per second an engine takes from all instances together, if that is
    /// limited.
    fn rate_limit(&self, now: Time, engine: EndpointKey) -> Option<f64> {
        cold::rate_limit(now, engine, self.endpoints, self.cold.as_ref(), self.named)
    }

    fn rate_limited(&self, now: Time) -> Vec<EndpointKey> {
        if self.cold.is_none() && self.named.is_empty() {
            return Vec::new();
        }
        let usable = self.endpoints.usable_of(self.service).map(|it| it.key);
        let is_limited = |key: &EndpointKey| self.rate_limit(now, *key).is_some();
        usable.filter(is_limited).collect()
    }
}

impl Home {
    /// Stores a report. One that is older than the last one of the same incarnation is ignored.
    pub fn on_report(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        incarnation: Incarnation,
        report: PlacementReport,
    ) {
        let known = self
            .reporters
            .get_mut(&from)
            .filter(|it| it.incarnation == incarnation);
        let (viewed, mut reserved) = match known {
            Some(known) if known.number >= report.number => return,
            Some(known) => (known.view_sent_at, core::mem::take(&mut known.reserved)),
            None => (None, BTreeMap::new()),
        };
        let requests = report.requests.into_iter().take(MAX_QUEUED_PER_INSTANCE);
        let requests: Vec<PlacementRequest> = requests.map(|it| it.into_request(now)).collect();
        // A grant of an engine that the request excludes by now cannot be used.
        reserved.retain(|id, (key, _)| {
            let mut open = requests.iter();
            open.any(|it| it.queued.id == *id && !it.exclude.contains(key))
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
            view_sent_at: viewed,
            reserved,
        };
        self.reporters.insert(from, reporter);
    }

    /// Removes expired reports.
    pub fn tick(&mut self, now: Time) {
        self.reporters
            .retain(|_, it| now.since(it.received_at) < REPORT_TTL);
        self.ejections.tick(now);
        self.limited_grants.tick(now);
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
        let mut others = PeerUsage::default();
        others.ejected.extend(self.ejections.ejected(now));
        let counted = self.reporters.iter().filter(|it| Some(*it.0) != except);
        for (_, reporter) in counted {
            for &(key, used) in reporter.used.iter().chain(reporter.reserved.values()) {
                others.add(key, used);
            }
            others.failing.extend(&reporter.failing);
        }
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
        self.decide_immediate(now, engines, &mut others, &mut decided);
        self.decide_queued(now, engines, &others, &mut decided);
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
                    id == request.queued.id && matches!(it, PlacementDecision::Denied(_))
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
            reporter
                .reserved
                .retain(|_, (key, _)| endpoints.is_usable(*key));
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
        Some(self.others(now, Some(from)))
    }

    /// Decides about copies and immediate placements, which are never queued. Copies of generations
    /// whose engine leaves come first: those generations are lost without one.
    fn decide_immediate(
        &mut self,
        now: Time,
        engines: Engines<'_>,
        others: &mut PeerUsage,
        decided: &mut Decisions,
    ) {
        let any_queued = self.reporters.values().any(Reporter::has_queued_request);
        let none = UsageTable::default();
        for urgent in [true, false] {
            for (from, reporter) in self.reporters.iter_mut().filter(|(_, it)| it.decides) {
                for request in &reporter.requests {
                    if request.kind == PlacementKind::Queued || request.is_urgent() != urgent {
                        continue;
                    }
                    let id = request.queued.id;
                    let granted = reporter.reserved.get(&id).map(|(key, _)| *key);
                    let world = PlacementContext {
                        now,
                        endpoints: engines.endpoints,
                        usage: &none,
                        others,
                        data_centre: &reporter.data_centre,
                    };
                    let place = match granted {
                        Some(key) => Ok(key),
                        None if request.kind == PlacementKind::Immediate && any_queued => {
                            Err(PlacementError::Full)
                        }
                        None => choose_immediate(world, engines, request),
                    };
                    let decision = match place {
                        Ok(key) => PlacementDecision::Granted(key),
                        Err(why) => PlacementDecision::Denied(why),
                    };
                    if let (Ok(key), None) = (place, granted) {
                        let used = request.reserved_usage();
                        others.add(key, used);
                        reporter.reserved.insert(id, (key, used));
                    }
                    decided.entry(*from).or_default().push((id, decision));
                }
            }
        }
    }

    /// Grants placements to queued requests in the order of the queue.
    fn decide_queued(
        &mut self,
        now: Time,
        engines: Engines<'_>,
        others: &PeerUsage,
        decided: &mut Decisions,
    ) {
        let none = UsageTable::default();
        let world = PlacementContext {
            now,
            endpoints: engines.endpoints,
            usage: &none,
            others,
            data_centre: "",
        };
        let mut waiting = Vec::new();
        for (from, reporter) in self.reporters.iter().filter(|(_, it)| it.decides) {
            for request in reporter
                .requests
                .iter()
                .filter(|it| it.kind == PlacementKind::Queued)
            {
                match reporter.reserved.get(&request.queued.id) {
                    Some((key, _)) => {
                        let decision = (request.queued.id, PlacementDecision::Granted(*key));
                        decided.entry(*from).or_default().push(decision);
                    }
                    None => waiting.push((*from, reporter.queued(request))),
                }
            }
        }
        let share = self.granted_share(&engines);
        let left = |engine| {
            let bound = engines.rate_limit(now, engine);
            bound.map(|rate| self.limited_grants.remaining(now, engine, rate * share))
        };
        let places = assign(
            world,
            engines,
            left,
            waiting.iter().map(|(_, queued)| queued),
        );
        for ((from, queued), place) in waiting.iter().zip(places) {
            let id = queued.request.queued.id;
            let decision = match place {
                Ok(key) => PlacementDecision::Granted(key),
                Err(why) => PlacementDecision::Queued(why),
            };
            if let (Ok(key), Some(reporter)) = (place, self.reporters.get_mut(from)) {
                if engines.rate_limit(now, key).is_some() {
                    self.limited_grants.record(now, key);
                }
                reporter
                    .reserved
                    .insert(id, (key, queued.request.reserved_usage()));
            }
            decided.entry(*from).or_default().push((id, decision));
        }
    }
}

impl Reporter {
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
            it.kind == PlacementKind::Queued && !self.reserved.contains_key(&it.queued.id)
        })
    }
}

/// Chooses an engine for a placement request that is not queued.
fn choose_immediate(
    world: PlacementContext<'_>,
    engines: Engines<'_>,
    request: &PlacementRequest,
) -> Result<EndpointKey, PlacementError> {
    // Engines with a rate limit are granted only through the queue, within the limit.
    let mut exclude = request.exclude.clone();
    exclude.extend(engines.rate_limited(world.now));
    let demand = Demand {
        service: engines.service,
        engine: Some(engines.limits),
        tokens: request.queued.tokens,
        exclude: &exclude,
    };
    // One instance decides all requests one after the other: no random spread is needed.
    let no_draw = || 0.0;
    match request.kind {
        PlacementKind::Queued | PlacementKind::Immediate => choose(world, &demand, no_draw),
        PlacementKind::Copy { source, kind } => {
            let source = world
                .endpoints
                .get(source)
                .ok_or(PlacementError::NoEndpoint)?;
            choose_copy_target(world, &demand, source, kind, no_draw).ok_or(PlacementError::Full)
        }
    }
}
