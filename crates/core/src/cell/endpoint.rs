//! One endpoint as its cell sees it.

use crate::cell::config::CellConfig;
use crate::cell::decision::Lost;
use crate::cell::request::{CellRequest, EndpointInfo, EndpointKind, EndpointState, Requirement};
use crate::cell::snapshot::EndpointSnapshot;
use crate::ids::RequestId;
use crate::length::LengthModel;
use crate::memory::{Forecast, Foreign, Ledger, Margins};
use crate::routing::concurrency::ConcurrencyLimit;
use crate::routing::health::Health;
use crate::time::Time;
use crate::value::LoadReport;
use core::time::Duration;

/// An endpoint whose last report is older than this is given only half of its
/// capacity: it may be gone, or fuller than it last said.
const REPORT_STALE: Duration = Duration::from_secs(10);
/// Reports in a row with work waiting inside the engine, after which it gets
/// nothing new but urgent work. A preempted generation waits there for memory,
/// and whatever is added keeps it waiting.
const WAITING_REPORTS: u32 = 2;
/// Standard deviations of memory that endpoints are ranked with.
const RANKING_SIGMAS: f64 = 1.0;
/// Share of its capacity that an endpoint with a stale report is given.
const STALE_SHARE: f64 = 0.5;

/// An endpoint with what runs there, what it reported and how it behaves.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub info: EndpointInfo,
    /// Tokens of KV memory in all; unused for a plain service.
    pub total: u64,
    /// The most generations or calls at once.
    pub slots: u32,
    /// When its last report came.
    pub reported: Option<Time>,
    /// What it holds, sorted, once it has said so.
    pub holdings: Option<Vec<Requirement>>,
    pub said_leaving: bool,
    pub preemptions: Option<u64>,
    /// Reports in a row that showed work waiting inside the engine.
    pub waiting: u32,
    pub ledger: Ledger,
    pub foreign: Foreign,
    pub health: Health,
    pub calls: ConcurrencyLimit,
    /// When the ledger was last forecast anew.
    pub refreshed: Time,
    /// When it is to be forecast next.
    pub due: Time,
    /// Its place in the index of rooms, if it is there.
    pub indexed: Option<u32>,
    /// An overdue request for which its room is held.
    pub held_for: Option<RequestId>,
}

/// What a request was measured with at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Fit {
    pub fits: bool,
    /// Tokens (or calls) free before the request.
    pub free: u32,
    /// Share of the capacity that stays free with the request, from 0 to 1.
    pub free_share: f64,
}

/// How a request is measured.
#[derive(Clone, Copy, Debug)]
pub(super) struct Measure<'a> {
    pub id: RequestId,
    pub urgent: bool,
    pub margins: &'a Margins,
    pub forecast: &'a Forecast,
}

impl Endpoint {
    pub fn new(info: EndpointInfo, cfg: &CellConfig) -> Endpoint {
        Endpoint {
            info,
            total: cfg.unreported_kv_tokens,
            slots: cfg.unreported_slots,
            reported: None,
            holdings: None,
            said_leaving: false,
            preemptions: None,
            waiting: 0,
            ledger: Ledger::default(),
            foreign: Foreign::default(),
            health: Health::default(),
            calls: ConcurrencyLimit::default(),
            refreshed: Time::ZERO,
            due: Time::NEVER,
            indexed: None,
            held_for: None,
        }
    }

    pub fn is_leaving(&self) -> bool {
        self.said_leaving || self.info.state == EndpointState::Leaving
    }

    pub fn holds(&self, needs: Requirement) -> bool {
        match &self.holdings {
            Some(holdings) if needs != Requirement::ANY => holdings.binary_search(&needs).is_ok(),
            _ => true,
        }
    }

    /// Takes in a report; returns the preemptions since the last one.
    pub fn report(&mut self, now: Time, report: &LoadReport) -> u64 {
        let lag = Duration::from_millis(report.lag_ms.into());
        let taken = Time::from_micros(
            now.as_micros()
                .saturating_sub(lag.as_micros().try_into().unwrap_or(u64::MAX)),
        );
        self.reported = Some(now);
        self.total = report.kv_tokens_total;
        self.slots = report.max_running;
        self.said_leaving = report.leaving;
        if self.info.kind == EndpointKind::Model {
            self.holdings = Some(holdings(report));
        }
        let count = report.running + report.waiting;
        self.foreign
            .report(taken, report.kv_tokens_used, count, report.kv_tokens_total);
        self.waiting = if report.waiting > 0 {
            self.waiting + 1
        } else {
            0
        };
        let before = self.preemptions.replace(report.preemptions);
        // A counter that fell belongs to a restarted engine.
        before.map_or(0, |before| report.preemptions.saturating_sub(before))
    }

    pub fn refresh(&mut self, now: Time, lengths: &mut LengthModel) {
        self.ledger.refresh(now, lengths);
        self.foreign.sample(now, &self.ledger);
        self.health.tick(now);
        self.refreshed = now;
    }

    /// Returns whether its figures change with time alone.
    pub fn is_moving(&self, now: Time) -> bool {
        !self.ledger.held().is_empty() || self.health.changes_with_time(now)
    }

    /// Returns why the endpoint can't take a request whatever its room, if it can't.
    pub fn bars(&self, now: Time, req: &CellRequest) -> Option<Lost> {
        if self.is_leaving() {
            return Some(Lost::Leaving);
        }
        if !self.holds(req.needs) {
            return Some(Lost::NotLoaded);
        }
        if req.exclude.contains(&self.info.key) {
            return Some(Lost::Excluded);
        }
        if !self.health.admits(now, req.class.idempotent) {
            return Some(Lost::Ejected);
        }
        None
    }

    /// Returns why a request that nothing bars did not fit.
    pub fn why_no_room(&self, now: Time, id: RequestId) -> Lost {
        match self.held_for {
            Some(holder) if holder != id => Lost::Held,
            _ if self.health.ramp(now) < 1.0 => Lost::RampingUp,
            _ => Lost::NoRoom,
        }
    }

    pub fn snapshot(&self, now: Time, cfg: &CellConfig) -> EndpointSnapshot {
        EndpointSnapshot {
            key: self.info.key,
            leaving: self.is_leaving(),
            ejected: self.health.is_ejected(),
            running: self.ledger.held().len() as u32,
            total: match self.info.kind {
                EndpointKind::Model => self.total,
                EndpointKind::Service => self.call_limit().into(),
            },
            counted: self.ledger.sum().now() as u64,
            foreign: self.foreign.tokens() as u64,
            free: self.room(now, cfg).into(),
        }
    }

    /// Measures a request against the room here.
    pub fn fit(&self, now: Time, cfg: &CellConfig, measure: Measure<'_>) -> Fit {
        match self.info.kind {
            EndpointKind::Model => self.fit_memory(now, cfg, measure),
            EndpointKind::Service => self.fit_calls(now),
        }
    }

    /// Returns tokens (or calls) that are free for work that is not urgent.
    pub fn room(&self, now: Time, cfg: &CellConfig) -> u32 {
        if self.info.kind == EndpointKind::Service {
            return self.free_calls(now);
        }
        let usable = self.capacity(now) * (1.0 - cfg.urgent_share);
        let peak = self.ledger.sum().peak(RANKING_SIGMAS) + self.foreign.tokens();
        (usable - peak).max(0.0) as u32
    }

    /// Returns the tokens of KV memory that may be counted with at present.
    pub fn capacity(&self, now: Time) -> f64 {
        self.total as f64 * self.share(now)
    }

    fn share(&self, now: Time) -> f64 {
        let stale = self.reported.is_some_and(|at| now.since(at) > REPORT_STALE);
        let share = if stale { STALE_SHARE } else { 1.0 };
        share * self.health.ramp(now)
    }

    fn fit_memory(&self, now: Time, cfg: &CellConfig, measure: Measure<'_>) -> Fit {
        let capacity = self.capacity(now);
        let reserve = if measure.urgent {
            0.0
        } else {
            cfg.urgent_share
        };
        let usable = capacity * (1.0 - reserve);
        let foreign = self.foreign.tokens();
        let sum = self.ledger.sum();
        let with = measure.margins.peak(sum) + foreign;
        let before = sum.peak(RANKING_SIGMAS) + foreign;
        let fits = match self.is_idle() {
            // Alone it may take what it likes: nothing else is preempted for it.
            true => measure.forecast.now() < self.total as f64,
            false => {
                with <= usable
                    && self.has_slot(now, reserve)
                    && (measure.urgent || !self.is_backed_up())
            }
        };
        Fit {
            fits: fits && self.respects_hold(now, cfg, measure),
            free: (usable - before).max(0.0) as u32,
            free_share: ((usable - sum.peak_with(measure.forecast, RANKING_SIGMAS) - foreign)
                / capacity.max(1.0))
            .clamp(-1.0, 1.0),
        }
    }

    /// Returns whether work waits inside the engine, and not just for a step.
    fn is_backed_up(&self) -> bool {
        self.waiting >= WAITING_REPORTS
    }

    fn is_idle(&self) -> bool {
        self.ledger.held().is_empty() && self.foreign.tokens() < 1.0 && !self.is_backed_up()
    }

    fn has_slot(&self, now: Time, reserve: f64) -> bool {
        let slots = f64::from(self.slots) * self.share(now);
        let reserved = (slots * reserve).ceil();
        let running = self.ledger.held().len() as u32 + self.foreign.count();
        f64::from(running) + 1.0 <= slots - reserved
    }

    /// Room that is held for an overdue request is left alone, but for urgent
    /// work within its own reserve; without that limit endless urgent work
    /// could keep the overdue request out for ever.
    fn respects_hold(&self, now: Time, cfg: &CellConfig, measure: Measure<'_>) -> bool {
        match self.held_for {
            None => true,
            Some(id) if id == measure.id => true,
            Some(_) if !measure.urgent => false,
            Some(_) => {
                let tokens = self.ledger.urgent_now() + measure.forecast.peak(0.0);
                let count = self.ledger.urgent_count() + 1;
                tokens <= self.capacity(now) * cfg.urgent_share
                    && count <= self.reserved_slots(now, cfg)
            }
        }
    }

    /// Returns whether the reserve for urgent work alone could take a request.
    pub fn reserve_takes(&self, now: Time, cfg: &CellConfig, forecast: &Forecast) -> bool {
        forecast.peak(0.0) <= self.capacity(now) * cfg.urgent_share
    }

    fn reserved_slots(&self, now: Time, cfg: &CellConfig) -> u32 {
        (f64::from(self.slots) * self.share(now) * cfg.urgent_share).ceil() as u32
    }

    fn fit_calls(&self, now: Time) -> Fit {
        let free = self.free_calls(now);
        let limit = f64::from(self.call_limit().max(1));
        Fit {
            fits: free > 0,
            free,
            free_share: (f64::from(free) - 1.0) / limit,
        }
    }

    fn free_calls(&self, now: Time) -> u32 {
        let running = self.ledger.held().len() as u32 + self.foreign.count();
        let limit = f64::from(self.call_limit()) * self.share(now);
        (limit.max(1.0) as u32).saturating_sub(running)
    }

    fn call_limit(&self) -> u32 {
        match self.slots {
            0 => self.calls.limit(),
            slots => self.calls.limit().min(slots),
        }
    }
}

/// Returns everything that a report says an engine can serve, sorted.
fn holdings(report: &LoadReport) -> Vec<Requirement> {
    let mut list = Vec::new();
    for model in &report.models {
        for version in [None, Some(model.version.as_str())] {
            list.push(Requirement::new(&model.name, version, None));
            for adapter in &model.adapters {
                list.push(Requirement::new(&model.name, version, Some(adapter)));
            }
        }
    }
    list.sort_unstable();
    list
}
