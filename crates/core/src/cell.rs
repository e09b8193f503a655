//! A cell: a few endpoints of one model (or service) with one decision maker.
//!
//! The home of a cell holds its queue, admits requests against the endpoints'
//! memory and says where each runs. Tokens never pass through it: the entry
//! instance that holds the caller's connection talks to the endpoint, reports
//! progress at doubling checkpoints and the end. The state is soft: a new home
//! rebuilds it from load reports and from what entries tell ([`Cell::adopt`]).
//!
//! See `docs/design/admission.md` and `docs/design/routing.md`.

pub mod config;
pub mod decision;
pub mod message;
pub mod request;
pub mod snapshot;

pub use config::{CellConfig, CellConfigBuilder, HORIZONS};
pub use decision::{Alternative, CellDecision, GrantRecord, Lost, MAX_ALTERNATIVES};
pub use message::CellMessage;
pub use request::{
    CellRequest, ClassRules, Distance, EndKind, EndpointInfo, EndpointKind, EndpointState,
    Requirement, Running,
};
pub use snapshot::{CellSnapshot, EndpointSnapshot};

use crate::event::LoadReport;
use crate::ids::{EndpointKey, Incarnation, InstanceKey, RequestId};
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// Generated tokens at the first checkpoint; each later one doubles it.
pub const FIRST_CHECKPOINT: u32 = 64;

/// Returns whether a running request tells its home that it has generated `tokens`.
pub fn is_checkpoint(tokens: u32) -> bool {
    tokens >= FIRST_CHECKPOINT && tokens.is_power_of_two()
}

/// An endpoint as the cell sees it.
#[derive(Clone, Debug)]
struct Endpoint {
    info: EndpointInfo,
    report: Option<LoadReport>,
    counted: u64,
    running: u32,
}

/// A running request as the cell sees it.
#[derive(Clone, Copy, Debug)]
struct Lease {
    endpoint: EndpointKey,
    counted: u64,
}

/// The decision maker of one cell.
pub struct Cell {
    cfg: CellConfig,
    endpoints: BTreeMap<EndpointKey, Endpoint>,
    queue: BTreeMap<(Time, RequestId), CellRequest>,
    queued: BTreeMap<RequestId, Time>,
    running: BTreeMap<RequestId, Lease>,
}

impl Cell {
    /// Returns a cell without endpoints. `seed` drives its jitter.
    pub fn new(cfg: CellConfig, _seed: u64) -> Self {
        Cell {
            cfg,
            endpoints: BTreeMap::new(),
            queue: BTreeMap::new(),
            queued: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Adds an endpoint, or changes what is published about it.
    pub fn set_endpoint(&mut self, _now: Time, info: EndpointInfo) {
        let endpoint = self.endpoints.entry(info.key).or_insert(Endpoint {
            info,
            report: None,
            counted: 0,
            running: 0,
        });
        endpoint.info = info;
    }

    /// Removes an endpoint that is no longer published.
    pub fn remove_endpoint(&mut self, _now: Time, key: EndpointKey) {
        self.endpoints.remove(&key);
        self.running.retain(|_, lease| lease.endpoint != key);
    }

    /// Takes a request into the queue; [`Cell::poll`] tells what becomes of it.
    ///
    /// A request that is known already is forgotten first, so that a second
    /// ask (after a failed attempt, or after a lost grant) holds no room twice.
    pub fn submit(&mut self, now: Time, req: CellRequest) {
        self.withdraw(now, req.id);
        let deadline = req.arrived + req.class.wait_target;
        self.queued.insert(req.id, deadline);
        self.queue.insert((deadline, req.id), req);
    }

    /// Learns that a running request has generated `tokens`.
    pub fn progress(&mut self, _now: Time, _id: RequestId, _tokens: u32) {}

    /// Learns that a granted request ended with `tokens` generated.
    pub fn ended(&mut self, now: Time, id: RequestId, _tokens: u32, _end: EndKind) {
        self.withdraw(now, id);
    }

    /// Forgets a request, queued or running: its caller left or it moved elsewhere.
    pub fn withdraw(&mut self, _now: Time, id: RequestId) {
        if let Some(deadline) = self.queued.remove(&id) {
            self.queue.remove(&(deadline, id));
        }
        if let Some(lease) = self.running.remove(&id)
            && let Some(endpoint) = self.endpoints.get_mut(&lease.endpoint)
        {
            endpoint.counted -= lease.counted;
            endpoint.running -= 1;
        }
    }

    /// Takes over a request that runs under an earlier home's grant.
    pub fn adopt(&mut self, now: Time, running: Running) {
        self.withdraw(now, running.id);
        let counted = u64::from(running.prompt_tokens + running.tokens);
        self.lease(running.id, running.endpoint, counted);
    }

    /// Ends every lease of one life of an instance, because it is dead.
    pub fn forget_holder(&mut self, now: Time, instance: InstanceKey, incarnation: Incarnation) {
        let held = |id: &RequestId| id.instance == instance && id.incarnation == incarnation;
        let queued = self.queued.keys().copied().filter(held);
        let running = self.running.keys().copied().filter(held);
        for id in queued.chain(running).collect::<Vec<_>>() {
            self.withdraw(now, id);
        }
    }

    /// Takes in an endpoint's load report.
    pub fn report(&mut self, _now: Time, endpoint: EndpointKey, report: &LoadReport) {
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
            endpoint.report = Some(report.clone());
        }
    }

    /// Takes in an endpoint's cache events; `gap` says that some were lost.
    pub fn cache(
        &mut self,
        _now: Time,
        _endpoint: EndpointKey,
        _gap: bool,
        _stored: &[u64],
        _evicted: &[u64],
    ) {
    }

    /// Takes every decision that is due, and returns when to poll next.
    ///
    /// It should also be polled after every other call; decisions are
    /// appended to `out` in the order in which they were taken.
    pub fn poll(&mut self, now: Time, out: &mut Vec<CellDecision>) -> Time {
        let order: Vec<_> = self.queue.keys().copied().collect();
        for (deadline, id) in order {
            let req = &self.queue[&(deadline, id)];
            if now.since(req.arrived) > req.class.longest_wait {
                self.withdraw(now, id);
                out.push(CellDecision::Refuse {
                    id,
                    reason: Reason::WaitExpired,
                    retry_after: Duration::from_secs(1),
                    predicted_wait: Duration::ZERO,
                    record: GrantRecord::default(),
                });
                continue;
            }
            let needed = u64::from(req.prompt_tokens) + u64::from(req.max_tokens.min(512));
            let Some(key) = self.roomiest(needed) else {
                break;
            };
            let priority = req.class.urgency;
            self.withdraw(now, id);
            self.lease(id, key, needed);
            out.push(CellDecision::Grant {
                id,
                endpoint: key,
                priority,
                record: GrantRecord::default(),
            });
        }
        match self.queue.is_empty() {
            true => Time::NEVER,
            false => now + self.cfg.refresh_interval,
        }
    }

    /// Returns what operators see of the cell.
    pub fn snapshot(&self) -> CellSnapshot {
        CellSnapshot {
            queued: self.queue.len() as u32,
            running: self.running.len() as u32,
            oldest_wait: Duration::ZERO,
            endpoints: Vec::new(),
        }
    }

    fn lease(&mut self, id: RequestId, key: EndpointKey, counted: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.counted += counted;
            endpoint.running += 1;
            self.running.insert(
                id,
                Lease {
                    endpoint: key,
                    counted,
                },
            );
        }
    }

    fn roomiest(&self, needed: u64) -> Option<EndpointKey> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.info.state == EndpointState::Live)
            .map(|endpoint| {
                let total = match &endpoint.report {
                    Some(report) => report.kv_tokens_total,
                    None => self.cfg.unreported_kv_tokens,
                };
                (total.saturating_sub(endpoint.counted), endpoint.info.key)
            })
            .max()
            .filter(|(free, _)| *free >= needed)
            .map(|(_, key)| key)
    }
}
