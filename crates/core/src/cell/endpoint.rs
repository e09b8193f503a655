//! State of one endpoint in its cell.

use crate::cell::config::CellConfig;
use crate::cell::decision::NotChosen;
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

/// Age of the last load report beyond which only [`STALE_SHARE`] of the capacity is used: the
/// endpoint may be gone, or fuller than it last reported.
const REPORT_STALE: Duration = Duration::from_secs(10);
/// Consecutive reports with requests waiting inside the engine, after which it receives only urgent
/// requests. A preempted generation waits in the engine for memory, and every new request keeps it
/// waiting.
const WAITING_REPORTS: u32 = 2;
/// Standard deviations of memory added to the mean when endpoints are ranked by free room.
const RANKING_SIGMAS: f64 = 1.0;
/// Share of the capacity that is used at an endpoint with a stale report.
const STALE_SHARE: f64 = 0.5;

/// An endpoint with its running requests, its last load report and its health.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub info: EndpointInfo,
    /// Total KV cache in tokens; unused for a plain service.
    pub total: u64,
    /// Maximum number of concurrent generations or calls.
    pub slots: u32,
    /// Time of its last load report.
    pub reported: Option<Time>,
    /// The requirements that it meets, sorted, once it has reported its models.
    pub loaded: Option<Vec<Requirement>>,
    pub reported_leaving: bool,
    pub preemptions: Option<u64>,
    /// Consecutive reports that showed requests waiting inside the engine.
    pub waiting_reports: u32,
    pub ledger: Ledger,
    pub foreign: Foreign,
    pub health: Health,
    pub calls: ConcurrencyLimit,
    /// When the forecast of the ledger was last recomputed.
    pub refreshed: Time,
    /// When the forecast must be recomputed next.
    pub due: Time,
    /// The free room under which it is indexed, if it is indexed.
    pub indexed: Option<u32>,
    /// An overdue request for which its room is held.
    pub held_for: Option<RequestId>,
}

/// How well a request fits at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Fit {
    pub fits: bool,
    /// Tokens (or calls) that are free without the request.
    pub free: u32,
    /// Share of the capacity that stays free with the request, from -1 to 1.
    pub free_share: f64,
}

/// A request whose fit at an endpoint is computed.
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
            loaded: None,
            reported_leaving: false,
            preemptions: None,
            waiting_reports: 0,
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
        self.reported_leaving || self.info.state == EndpointState::Leaving
    }

    pub fn meets(&self, needs: Requirement) -> bool {
        match &self.loaded {
            Some(loaded) if needs != Requirement::ANY => loaded.binary_search(&needs).is_ok(),
            _ => true,
        }
    }

    /// Applies a load report and returns the number of preemptions since the previous one.
    pub fn report(&mut self, now: Time, report: &LoadReport) -> u64 {
        let lag = Duration::from_millis(report.lag_ms.into());
        let measured_at = Time::from_micros(
            now.as_micros()
                .saturating_sub(lag.as_micros().try_into().unwrap_or(u64::MAX)),
        );
        self.reported = Some(now);
        self.total = report.kv_tokens_total;
        self.slots = report.max_running;
        self.reported_leaving = report.leaving;
        if self.info.kind == EndpointKind::Model {
            self.loaded = Some(requirements(report));
        }
        let count = report.running.saturating_add(report.waiting);
        self.foreign.report(
            measured_at,
            report.kv_tokens_used,
            count,
            report.kv_tokens_total,
        );
        self.waiting_reports = if report.waiting > 0 {
            self.waiting_reports + 1
        } else {
            0
        };
        let before = self.preemptions.replace(report.preemptions);
        // A counter that decreased means that the engine restarted.
        before.map_or(0, |before| report.preemptions.saturating_sub(before))
    }

    pub fn refresh(&mut self, now: Time, lengths: &mut LengthModel) {
        self.ledger.refresh(now, lengths);
        self.foreign.sample(now, &self.ledger);
        self.health.tick(now);
        self.refreshed = now;
    }

    /// Returns whether the free room changes as time passes, without any event.
    pub fn changes_with_time(&self, now: Time) -> bool {
        !self.ledger.held().is_empty() || self.health.changes_with_time(now)
    }

    /// Returns why the endpoint is ineligible for a request regardless of free room, if it is.
    pub fn ineligible_reason(&self, now: Time, req: &CellRequest) -> Option<NotChosen> {
        if self.is_leaving() {
            return Some(NotChosen::Leaving);
        }
        if !self.meets(req.needs) {
            return Some(NotChosen::NotLoaded);
        }
        if req.exclude.contains(&self.info.key) {
            return Some(NotChosen::Excluded);
        }
        if !self.health.admits(now, req.class.idempotent) {
            return Some(NotChosen::Ejected);
        }
        None
    }

    /// Returns why a request did not fit at an eligible endpoint.
    pub fn no_room_reason(&self, now: Time, id: RequestId) -> NotChosen {
        match self.held_for {
            Some(holder) if holder != id => NotChosen::Held,
            _ if self.health.ramp(now) < 1.0 => NotChosen::RampingUp,
            _ => NotChosen::NoRoom,
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

    /// Computes how well a request fits into the free room.
    pub fn fit(&self, now: Time, cfg: &CellConfig, measure: Measure<'_>) -> Fit {
        match self.info.kind {
            EndpointKind::Model => self.fit_memory(now, cfg, measure),
            EndpointKind::Service => self.fit_calls(now),
        }
    }

    /// Returns the tokens (or calls) that are free for requests that are not urgent.
    pub fn room(&self, now: Time, cfg: &CellConfig) -> u32 {
        if self.info.kind == EndpointKind::Service {
            return self.free_calls(now);
        }
        let usable = self.capacity(now) * (1.0 - cfg.urgent_share);
        let peak = self.ledger.sum().peak(RANKING_SIGMAS) + self.foreign.tokens();
        (usable - peak).max(0.0) as u32
    }

    /// Returns the tokens of KV cache that may be used at present.
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
            // On an idle engine a request needs no margin: there is nothing to preempt.
            true => measure.forecast.now() < self.total as f64,
            false => {
                with <= usable
                    && self.has_slot(now, reserve)
                    && (measure.urgent || !self.has_engine_backlog())
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

    /// Returns whether requests have been waiting inside the engine for several reports.
    fn has_engine_backlog(&self) -> bool {
        self.waiting_reports >= WAITING_REPORTS
    }

    fn is_idle(&self) -> bool {
        self.ledger.held().is_empty() && self.foreign.tokens() < 1.0 && !self.has_engine_backlog()
    }

    fn has_slot(&self, now: Time, reserve: f64) -> bool {
        let slots = f64::from(self.slots) * self.share(now);
        let reserved = (slots * reserve).ceil();
        let running = (self.ledger.held().len() as u32).saturating_add(self.foreign.count());
        f64::from(running) + 1.0 <= slots - reserved
    }

    /// Returns whether the request may start despite a hold. Room held for an overdue request is
    /// closed to others, except to urgent requests within the urgent reserve. Without that limit a
    /// steady flow of urgent requests could keep the overdue request waiting forever.
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

    /// Returns whether a request fits into the urgent reserve alone.
    pub fn fits_reserve(&self, now: Time, cfg: &CellConfig, forecast: &Forecast) -> bool {
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
        let running = (self.ledger.held().len() as u32).saturating_add(self.foreign.count());
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

/// Returns every requirement that the models in a load report meet, sorted.
fn requirements(report: &LoadReport) -> Vec<Requirement> {
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
