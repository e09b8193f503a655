//! Admission and placement for a cell, a small group of endpoints that serve one model or one plain
//! service.
//!
//! One instance is the *home* of the cell, chosen by rendezvous hashing; it alone decides for the
//! cell. It queues requests, admits them against the endpoints' KV cache and chooses the endpoint
//! of each. Tokens do not pass through the home: the entry instance, which holds the caller's
//! connection, talks to the endpoint and reports progress at checkpoints ([`crate::checkpoint`])
//! and the end of the request. The state is soft: a new home rebuilds it from load reports and from
//! the running requests that entry instances report ([`Cell::adopt`]).
//!
//! # Polling
//!
//! [`Cell::poll`] refreshes the memory forecasts that are due ([`crate::memory`]), grants queued
//! requests in the order of their deadlines until nothing more fits (`place`), and refuses requests
//! that cannot start in time (`refuse`). Its cost is logarithmic in the length of the queue and in
//! the number of endpoints.
//!
//! See `docs/design/admission.md` and `docs/design/routing.md`.

mod codec;
pub mod config;
pub mod decision;
mod drain;
mod endpoint;
mod index;
mod learn;
pub mod message;
mod place;
pub mod queue;
mod refresh;
mod refuse;
pub mod request;
mod risk;
pub mod snapshot;
mod supply;

pub use crate::memory::HORIZONS;
pub use config::{CellConfig, CellConfigBuilder};
pub use decision::{Alternative, CellDecision, GrantRecord, MAX_ALTERNATIVES, NotChosen};
pub use message::CellMessage;
pub use request::{
    CellRequest, ClassRules, Distance, EndKind, EndpointInfo, EndpointKind, EndpointState,
    Requirement, Running,
};
pub use snapshot::{CellSnapshot, EndpointSnapshot};

use crate::cell::queue::{LaneKey, Queue, Waiting};
use crate::ids::{ClassKey, EndpointKey, Incarnation, InstanceKey, RequestId};
use crate::length::buckets::bucket_of;
use crate::length::{LengthModel, LengthNode};
use crate::memory::{Age, ClassIx, Demand, Forecast, Held};
use crate::routing::prefix::{EndpointIx, PrefixMap};
use crate::time::Time;
use crate::value::LoadReport;
use cranelift_entity::PrimaryMap;
use drain::Drain;
use endpoint::Endpoint;
use index::RoomIndex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use risk::ClassRisk;
use std::collections::{BTreeMap, BTreeSet};
use supply::Supply;

/// What the cell has learned about a class.
#[derive(Clone, Copy, Debug)]
struct ClassState {
    risk: ClassRisk,
    drain: Drain,
}

/// The endpoint that a granted request runs on.
#[derive(Clone, Copy, Debug)]
struct Lease {
    endpoint: EndpointIx,
    /// Prompt tokens as declared by the caller.
    declared: u32,
}

/// The queue, the endpoints and the leases of one cell, as its home keeps them.
///
/// Invariants: a request is in the queue, or has a lease, or is unknown; the ledger of an endpoint
/// contains exactly the requests with a lease there; each hold is recorded both at the endpoint and
/// at the request.
pub struct Cell {
    cfg: CellConfig,
    rng: SmallRng,
    endpoints: PrimaryMap<EndpointIx, Endpoint>,
    by_key: BTreeMap<EndpointKey, EndpointIx>,
    vacant: Vec<EndpointIx>,
    due: BTreeSet<(Time, EndpointIx)>,
    index: RoomIndex,
    prefixes: PrefixMap,
    lengths: LengthModel,
    classes: PrimaryMap<ClassIx, ClassState>,
    class_by_key: BTreeMap<ClassKey, ClassIx>,
    queue: Queue,
    leases: BTreeMap<RequestId, Lease>,
    /// Requests that were submitted since the last poll.
    unreviewed: Vec<RequestId>,
    /// Whether anything changed since requests were last placed.
    is_dirty: bool,
    /// When the cell was last polled.
    last_poll: Time,
    /// Length drifts that the risks of the classes already account for.
    drifts_applied: u64,
    /// Total capacity of the endpoints that are not leaving.
    supply: Supply,
    blocked_lanes: Vec<LaneKey>,
    candidates: Vec<EndpointIx>,
}

impl Cell {
    /// Returns a cell without endpoints. `seed` initialises the random jitter of retry times.
    pub fn new(cfg: CellConfig, seed: u64) -> Self {
        let mut index = RoomIndex::default();
        index.build(Requirement::ANY, core::iter::empty());
        Cell {
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            endpoints: PrimaryMap::new(),
            by_key: BTreeMap::new(),
            vacant: Vec::new(),
            due: BTreeSet::new(),
            index,
            prefixes: PrefixMap::default(),
            lengths: LengthModel::new(),
            classes: PrimaryMap::new(),
            class_by_key: BTreeMap::new(),
            queue: Queue::default(),
            leases: BTreeMap::new(),
            unreviewed: Vec::new(),
            is_dirty: false,
            last_poll: Time::ZERO,
            drifts_applied: 0,
            supply: Supply::default(),
            blocked_lanes: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Adds an endpoint, or updates the published information about it.
    pub fn set_endpoint(&mut self, now: Time, info: EndpointInfo) {
        let ix = match self.by_key.get(&info.key) {
            Some(ix) => *ix,
            None => self.add_endpoint(info),
        };
        self.endpoints[ix].info = info;
        self.supply.at = None;
        self.reindex(now, ix);
    }

    /// Removes an endpoint that is no longer published.
    ///
    /// Requests that run there continue; the cell only stops counting them.
    pub fn remove_endpoint(&mut self, now: Time, key: EndpointKey) {
        let Some(ix) = self.by_key.remove(&key) else {
            return;
        };
        let held = self.endpoints[ix].ledger.held();
        for id in held.iter().map(|held| held.id).collect::<Vec<_>>() {
            self.end_lease(now, id);
        }
        if let Some(id) = self.endpoints[ix].held_for {
            self.release_hold(id);
        }
        self.unindex(ix);
        self.due.remove(&(self.endpoints[ix].due, ix));
        self.prefixes.forget(ix);
        self.vacant.push(ix);
        self.supply.at = None;
    }

    /// Queues a request; [`Cell::poll`] returns the decision about it.
    ///
    /// A request that is already known is withdrawn first, so that one submitted again after a
    /// failed attempt or a lost grant does not occupy room twice.
    pub fn submit(&mut self, now: Time, req: CellRequest) {
        self.withdraw(now, req.id);
        let class = self.class_ix(&req.class);
        let node = self
            .lengths
            .acquire(req.class.key, req.entry, req.workspace);
        let urgent = req.class.urgency <= self.cfg.urgent_urgency;
        let demand = self.demand(&req, node);
        let curve = self.lengths.curve(node);
        let counted = Forecast::of(demand, Age::default(), curve).peak(0.0);
        let target = req.class.wait_target;
        let waiting = Waiting {
            urgent,
            node,
            lane: LaneKey::new(class, req.needs, counted as u32),
            deadline: req.arrived + target,
            hold_from: req.arrived + target.mul_f64(self.cfg.hold_share),
            hold: None,
            review: req.arrived + req.class.longest_wait,
            work: curve.work(demand.prompt, demand.cap),
            req,
        };
        self.unreviewed.push(waiting.req.id);
        self.queue.push(waiting);
        self.is_dirty = true;
    }

    /// Records that a running request has generated `tokens` so far.
    pub fn on_progress(&mut self, now: Time, id: RequestId, tokens: u32) {
        let Some(lease) = self.leases.get(&id) else {
            return;
        };
        let endpoint = &mut self.endpoints[lease.endpoint];
        endpoint.ledger.progress(now, id, tokens);
        endpoint.health.succeeded(now);
    }

    /// Records that a granted request ended after generating `tokens`.
    pub fn on_ended(&mut self, now: Time, id: RequestId, tokens: u32, end: EndKind) {
        let Some(lease) = self.leases.get(&id).copied() else {
            self.withdraw(now, id);
            return;
        };
        let running = self.endpoints[lease.endpoint].ledger.held().len() as u32;
        let Some(held) = self.end_lease(now, id) else {
            return;
        };
        match end {
            EndKind::Complete { prompt_tokens } => {
                self.learn_length(&held, tokens);
                if let Some(counted) = prompt_tokens {
                    self.lengths
                        .prompt_counted(held.node, lease.declared, counted);
                }
                self.classes[held.class].risk.completed();
                let endpoint = &mut self.endpoints[lease.endpoint];
                endpoint.health.succeeded(now);
                endpoint.calls.completed(now.since(held.granted), running);
            }
            EndKind::Cancelled => self.learn_censored(&held, tokens),
            EndKind::Failed(reason) => {
                self.learn_censored(&held, tokens);
                self.learn_failure(now, lease.endpoint, reason);
            }
        }
        self.reindex(now, lease.endpoint);
    }

    /// Removes a queued or running request whose caller left or that moved to another cell.
    pub fn withdraw(&mut self, now: Time, id: RequestId) {
        if self.queue.get(id).is_some() {
            let waiting = self.take_waiting(id);
            self.lengths.release(waiting.node);
        }
        if let Some(lease) = self.leases.get(&id).copied() {
            self.endpoints[lease.endpoint].health.probe_inconclusive();
            self.end_lease(now, id);
        }
    }

    /// Adds a lease for a request that runs under the grant of a previous home.
    pub fn adopt(&mut self, now: Time, running: Running) {
        self.withdraw(now, running.id);
        let Some(ix) = self.by_key.get(&running.endpoint).copied() else {
            return;
        };
        let class = self.class_ix(&running.class);
        let node = self
            .lengths
            .acquire(running.class.key, running.entry, running.workspace);
        let demand = Demand {
            prompt: self.lengths.corrected_prompt(node, running.prompt_tokens),
            cap: running.max_tokens,
            floor: 0,
        };
        let curve = self.lengths.curve(node);
        let held = Held {
            id: running.id,
            class,
            urgent: running.class.urgency <= self.cfg.urgent_urgency,
            node,
            demand,
            reported: running.tokens,
            reported_at: now,
            granted: now,
            passed: bucket_of(running.tokens + 1),
            forecast: Forecast::of(demand, Age::exactly(running.tokens), curve),
        };
        self.lease(now, ix, held, running.prompt_tokens);
    }

    /// Withdraws every request of one incarnation of an instance, because that process has ended.
    pub fn withdraw_incarnation(
        &mut self,
        now: Time,
        instance: InstanceKey,
        incarnation: Incarnation,
    ) {
        let id = |seq| RequestId {
            instance,
            incarnation,
            seq,
        };
        let range = id(0)..=id(u64::MAX);
        let queued = self.queue.ids(range.clone());
        let leased = self.leases.range(range).map(|(id, _)| *id);
        for id in queued.chain(leased).collect::<Vec<_>>() {
            self.withdraw(now, id);
        }
    }

    /// Applies a load report of an endpoint.
    pub fn on_load_report(&mut self, now: Time, endpoint: EndpointKey, report: &LoadReport) {
        let Some(ix) = self.by_key.get(&endpoint).copied() else {
            return;
        };
        self.unindex(ix);
        let was_known = self.endpoints[ix].reported.is_some();
        let preempted = self.endpoints[ix].report(now, report);
        if preempted > 0 {
            self.learn_preemptions(ix, preempted);
        }
        if !was_known {
            self.supply.at = None;
        }
        self.endpoints[ix].refresh(now, &mut self.lengths);
        self.reindex(now, ix);
    }

    /// Applies cache events of an endpoint; `gap` says that earlier events were lost.
    pub fn on_cache_events(
        &mut self,
        _now: Time,
        endpoint: EndpointKey,
        gap: bool,
        stored: &[u64],
        evicted: &[u64],
    ) {
        if let Some(ix) = self.by_key.get(&endpoint) {
            self.prefixes.events(*ix, gap, stored, evicted);
        }
    }

    /// Makes every decision that is due and returns the time of the next poll.
    ///
    /// Callers should also poll after every other call that changes the cell. Decisions are
    /// appended to `out` in the order in which they were made.
    pub fn poll(&mut self, now: Time, out: &mut Vec<CellDecision>) -> Time {
        self.last_poll = now;
        self.reset_risks_after_drift();
        self.refresh_supply(now);
        self.refresh_due(now);
        if self.is_dirty {
            self.is_dirty = false;
            place::place_waiting(self, now, out);
        }
        for (class, state) in &mut self.classes {
            state.drain.roll(now, self.queue.work(class) > 0.0);
        }
        refuse::review_new(self, now, out);
        refuse::review_due(self, now, out);
        self.next_poll()
    }

    /// Returns the state shown to operators, as of the last poll.
    pub fn snapshot(&self) -> CellSnapshot {
        let now = self.last_poll;
        let oldest = self.queue.oldest_arrival();
        CellSnapshot {
            queued: self.queue.len() as u32,
            running: self.leases.len() as u32,
            oldest_wait: oldest.map_or_else(Default::default, |at| now.since(at)),
            length_drifts: self.lengths.drifts(),
            endpoints: self
                .by_key
                .values()
                .map(|ix| self.endpoints[*ix].snapshot(now, &self.cfg))
                .collect(),
        }
    }

    /// Returns the ejected endpoints, which receive only probe requests.
    pub fn ejected(&self) -> impl Iterator<Item = EndpointKey> {
        let endpoints = self.by_key.iter();
        endpoints
            .filter(|(_, ix)| self.endpoints[**ix].health.is_ejected())
            .map(|(key, _)| *key)
    }

    fn add_endpoint(&mut self, info: EndpointInfo) -> EndpointIx {
        let endpoint = Endpoint::new(info, &self.cfg);
        let ix = match self.vacant.pop() {
            Some(ix) => {
                self.endpoints[ix] = endpoint;
                ix
            }
            None => self.endpoints.push(endpoint),
        };
        self.by_key.insert(info.key, ix);
        ix
    }

    fn class_ix(&mut self, rules: &ClassRules) -> ClassIx {
        let classes = &mut self.classes;
        let start = self.cfg.risk_start;
        *self.class_by_key.entry(rules.key).or_insert_with(|| {
            let risk = ClassRisk::new(start, rules.preemption_risk.into());
            classes.push(ClassState {
                risk,
                drain: Drain::default(),
            })
        })
    }

    fn demand(&self, req: &CellRequest, node: LengthNode) -> Demand {
        Demand {
            prompt: self.lengths.corrected_prompt(node, req.prompt_tokens),
            cap: req.max_tokens,
            floor: req.replay_tokens,
        }
    }

    fn describe(&mut self, now: Time, waiting: &Waiting) -> GrantRecord {
        place::describe(self, now, waiting)
    }

    /// Removes a request from the queue. Its length node stays acquired.
    fn take_waiting(&mut self, id: RequestId) -> Waiting {
        self.release_hold(id);
        let waiting = self.queue.remove(id);
        waiting.expect("the request is in the queue")
    }

    fn release_hold(&mut self, id: RequestId) {
        let hold = self.queue.get(id).and_then(|waiting| waiting.hold);
        if let Some(ix) = hold {
            self.endpoints[ix].held_for = None;
            self.queue.set_hold(id, None);
            self.is_dirty = true;
        }
    }

    fn lease(&mut self, now: Time, ix: EndpointIx, held: Held, declared: u32) {
        let lease = Lease {
            endpoint: ix,
            declared,
        };
        self.leases.insert(held.id, lease);
        let endpoint = &mut self.endpoints[ix];
        endpoint.ledger.add(held);
        endpoint.foreign.sample(now, &endpoint.ledger);
        endpoint.health.granted(now);
        self.reindex(now, ix);
    }

    fn end_lease(&mut self, now: Time, id: RequestId) -> Option<Held> {
        let lease = self.leases.remove(&id)?;
        let endpoint = &mut self.endpoints[lease.endpoint];
        let held = endpoint.ledger.remove(id)?;
        endpoint.foreign.sample(now, &endpoint.ledger);
        self.lengths.release(held.node);
        self.reindex(now, lease.endpoint);
        Some(held)
    }

    fn next_poll(&self) -> Time {
        let refresh = self.due.first().map_or(Time::NEVER, |(at, _)| *at);
        let review = self.queue.next_review().map_or(Time::NEVER, |(at, _)| at);
        refresh.min(review)
    }

    /// Returns whether an endpoint that is not leaving, and not excluded, serves the request's
    /// model.
    fn is_served(&self, req: &CellRequest) -> bool {
        let eligible = self.index.len(req.needs);
        if eligible > req.exclude.len() {
            return true;
        }
        let excluded = |ix| req.exclude.contains(&self.endpoints[ix].info.key);
        !self.index.roomiest(req.needs).all(excluded)
    }

    /// Returns up to [`MAX_ALTERNATIVES`] endpoints with the reason why each cannot take the
    /// request.
    fn sample_alternatives(&self, now: Time, req: &CellRequest) -> Vec<Alternative> {
        let sample = self.by_key.values().take(MAX_ALTERNATIVES);
        sample
            .map(|ix| {
                let endpoint = &self.endpoints[*ix];
                let ineligible = endpoint.ineligible_reason(now, req);
                Alternative {
                    endpoint: endpoint.info.key,
                    reason: ineligible.unwrap_or_else(|| endpoint.no_room_reason(now, req.id)),
                    free: endpoint.indexed.unwrap_or(0),
                }
            })
            .collect()
    }
}
