//! What the home of a service's engines knows, and how it gives away their room.
//!
//! Instances report what they run and what they wait for ([`placement`](super::placement)). The home keeps
//! the last report of each, works out who is next ([`queue`](super::queue)) and reserves what
//! it grants until the instance's next report shows it. An instance that falls silent is forgotten
//! after a second, with its use, its placement requests and its reservations: a frozen instance
//! must hold nobody up for longer.

mod ejections;
mod message;

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

/// How often an instance reports that has something at the engines of a service, though nothing
/// changed.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// How long the word of an instance is believed: two reports in a row may be lost.
pub const REPORT_TTL: Duration = Duration::from_millis(1_000);

/// How often one instance is told what others run. It goes by that only where no home answers.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);

/// What is known of one instance.
#[derive(Clone, Debug)]
struct Reporter {
    incarnation: Incarnation,
    number: u64,
    received_at: Time,
    data_centre: String,
    used: Vec<(EndpointKey, Usage)>,
    failing: Vec<EndpointKey>,
    ejected: Vec<EndpointKey>,
    /// How many instances it knows, those that were lost included.
    known: u32,
    requests: Vec<PlacementRequest>,
    /// Whether this instance is to decide about the placement requests.
    decides: bool,
    /// Whether an answer is due even if nothing was decided anew.
    owes_answer: bool,
    view_sent_at: Option<Time>,
    /// What was granted and is not in a report yet.
    reserved: BTreeMap<u64, (EndpointKey, Usage)>,
}

/// The instances that reported about one service.
#[derive(Clone, Debug, Default)]
pub struct Home {
    reporters: BTreeMap<SocketAddrV4, Reporter>,
    /// Engines that instances could not use lately.
    ejections: Ejections,
    /// Requests that were granted at engines that bear few.
    bounded_granted: SlidingWindowCounter,
}

/// What was decided, by the instance that is to be told.
type Decided = BTreeMap<SocketAddrV4, Vec<(u64, PlacementDecision)>>;

/// What a home needs to know of a service to decide.
#[derive(Clone, Copy, Debug)]
pub struct Engines<'a> {
    /// The service's name.
    pub service: &'a str,
    /// What its engines bear.
    pub limits: EngineLimits,
    /// All endpoints.
    pub endpoints: &'a EndpointTable,
    /// What its engines bear while they are cold, if that is less.
    pub cold: Option<ColdLimits>,
    /// The limits that endpoints named.
    pub named: &'a RateLimits,
    /// How many instances this one knows, those that were lost included.
    pub known: usize,
    /// How many of them take part.
    pub live: usize,
}

impl Engines<'_> {
    /// Returns how many requests a second an engine bears from all instances, if that is bounded.
    fn rate_bound(&self, now: Time, engine: EndpointKey) -> Option<f64> {
        cold::rate_limit(now, engine, self.endpoints, self.cold.as_ref(), self.named)
    }

    fn rate_limited(&self, now: Time) -> Vec<EndpointKey> {
        if self.cold.is_none() && self.named.is_empty() {
            return Vec::new();
        }
        let usable = self.endpoints.usable_of(self.service).map(|it| it.key);
        let is_bounded = |key: &EndpointKey| self.rate_bound(now, *key).is_some();
        usable.filter(is_bounded).collect()
    }
}

impl Home {
    /// Takes a report in. One that is older than the last one changes nothing.
    pub fn on_report(
        &mut self,
        now: Time,
        from: SocketAddrV4,
        life: Incarnation,
        report: PlacementReport,
    ) {
        let known = self
            .reporters
            .get_mut(&from)
            .filter(|it| it.incarnation == life);
        let (viewed, mut reserved) = match known {
            Some(known) if known.number >= report.number => return,
            Some(known) => (known.view_sent_at, core::mem::take(&mut known.reserved)),
            None => (None, BTreeMap::new()),
        };
        let requests = report.requests.into_iter().take(MAX_QUEUED_PER_INSTANCE);
        let requests: Vec<PlacementRequest> = requests.map(|it| it.into_request(now)).collect();
        reserved.retain(|id, _| requests.iter().any(|it| it.queued.id == *id));
        for &engine in &report.ejected {
            let known = self.reporters.get(&from);
            if !known.is_some_and(|it| it.ejected.contains(&engine)) {
                self.ejections.record(now, engine, from);
            }
        }
        let reporter = Reporter {
            incarnation: life,
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

    /// Forgets instances that fell silent.
    pub fn tick(&mut self, now: Time) {
        self.reporters
            .retain(|_, it| now.since(it.received_at) < REPORT_TTL);
        self.ejections.tick(now);
        self.bounded_granted.tick(now);
    }

    /// Returns whether nobody reports.
    pub fn is_empty(&self) -> bool {
        self.reporters.is_empty()
    }

    /// Returns whether somebody waits for a decision of this instance.
    pub fn has_requests(&self) -> bool {
        self.reporters
            .values()
            .any(|it| it.decides && !it.requests.is_empty())
    }

    /// Returns how many requests wait for a place that this instance is to give.
    pub fn queued_count(&self) -> usize {
        let asking = self.reporters.values().filter(|it| it.decides);
        let requests = asking.flat_map(|it| &it.requests);
        requests
            .filter(|it| it.kind == PlacementKind::Queued)
            .count()
    }

    /// Returns what all instances but `except` run.
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

    /// Decides about all placement requests, and returns what instances are to be told.
    pub fn decide(
        &mut self,
        now: Time,
        engines: Engines<'_>,
    ) -> Vec<(SocketAddrV4, PlacementAnswer)> {
        let service = service_hash(engines.service);
        self.release_unusable(engines.endpoints);
        let mut others = self.others(now, None);
        let mut decided = Decided::new();
        self.decide_at_once(now, engines, &mut others, &mut decided);
        self.decide_in_turn(now, engines, &others, &mut decided);
        let mut answers = Vec::new();
        for (from, reporter) in &mut self.reporters {
            let told = decided.remove(from).unwrap_or_default();
            let has_grant = told
                .iter()
                .any(|(_, it)| !matches!(it, PlacementDecision::Queued(_)));
            if told.is_empty() || !(has_grant || reporter.owes_answer) {
                continue;
            }
            reporter.owes_answer = false;
            reporter.requests.retain(|request| {
                let is_denied = |&(id, it): &(u64, PlacementDecision)| {
                    id == request.queued.id && matches!(it, PlacementDecision::Denied(_))
                };
                !told.iter().any(is_denied)
            });
            answers.push((*from, told));
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

    /// Gives up what was granted at engines that leave or whose data centre was closed. A request
    /// that cannot take its grant for that asks again, and must not be granted the same one.
    fn release_unusable(&mut self, endpoints: &EndpointTable) {
        for reporter in self.reporters.values_mut() {
            reporter
                .reserved
                .retain(|_, (key, _)| endpoints.is_usable(*key));
        }
    }

    /// Returns the part that this home may grant of what an engine bears. Each instance of the
    /// fleet has a part of the bound, and a home disposes of the parts of those that it hears: it
    /// may be new and not know of those on the other side of a cut, but who reports to it does.
    fn granted_part(&self, engines: &Engines<'_>) -> f64 {
        let told = self.reporters.values().map(|it| it.known as usize).max();
        let known = engines.known.max(told.unwrap_or(0)).max(engines.live);
        HOME_SHARE * engines.live as f64 / known.max(1) as f64
    }

    /// Returns what others run, if the instance at `from` is to be told now.
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

    /// Decides about copies and about what is set aside, which wait for nothing. Copies of
    /// generations whose engine leaves go first: without one they are lost.
    fn decide_at_once(
        &mut self,
        now: Time,
        engines: Engines<'_>,
        others: &mut PeerUsage,
        decided: &mut Decided,
    ) {
        let any_waits = self.reporters.values().any(Reporter::waits_in_turn);
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
                        None if request.kind == PlacementKind::Immediate && any_waits => {
                            Err(PlacementError::Full)
                        }
                        None => at_once(world, engines, request),
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

    /// Gives places to those that wait, each in its turn.
    fn decide_in_turn(
        &mut self,
        now: Time,
        engines: Engines<'_>,
        others: &PeerUsage,
        decided: &mut Decided,
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
                        let told = (request.queued.id, PlacementDecision::Granted(*key));
                        decided.entry(*from).or_default().push(told);
                    }
                    None => waiting.push((*from, reporter.queued(request))),
                }
            }
        }
        let part = self.granted_part(&engines);
        let left = |engine| {
            let bound = engines.rate_bound(now, engine);
            bound.map(|rate| self.bounded_granted.remaining(now, engine, rate * part))
        };
        let places = assign(
            world,
            engines,
            left,
            waiting.iter().map(|(_, asking)| asking),
        );
        for ((from, asking), place) in waiting.iter().zip(places) {
            let id = asking.request.queued.id;
            let decision = match place {
                Ok(key) => PlacementDecision::Granted(key),
                Err(why) => PlacementDecision::Queued(why),
            };
            if let (Ok(key), Some(reporter)) = (place, self.reporters.get_mut(from)) {
                if engines.rate_bound(now, key).is_some() {
                    self.bounded_granted.record(now, key);
                }
                reporter
                    .reserved
                    .insert(id, (key, asking.request.reserved_usage()));
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

    fn waits_in_turn(&self) -> bool {
        let mut requests = self.requests.iter();
        requests.any(|it| {
            it.kind == PlacementKind::Queued && !self.reserved.contains_key(&it.queued.id)
        })
    }
}

/// Chooses for a placement request that waits for nothing.
fn at_once(
    world: PlacementContext<'_>,
    engines: Engines<'_>,
    request: &PlacementRequest,
) -> Result<EndpointKey, PlacementError> {
    // What bears few requests gets them in their turn only, within its bound.
    let mut exclude = request.exclude.clone();
    exclude.extend(engines.rate_limited(world.now));
    let demand = Demand {
        service: engines.service,
        engine: Some(engines.limits),
        tokens: request.queued.tokens,
        exclude: &exclude,
    };
    // One instance decides for all, one request after the other: nothing is to be parted.
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
