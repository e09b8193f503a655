//! Decides when orders may be sent and tracks their results.

use super::endpoint::{ManagedEndpoint, RESPONSE_TIMEOUT};
use super::fence::{FENCE_REVISION_SHIFT, next_fence};
use super::goals::EndpointGoal;
use super::reconcile::loads_weights;
use super::{CONTROLLER_LEASE, OrdersAction};
use crate::ids::{CellKey, EndpointKey};
use crate::note::Note;
use crate::time::Time;
use crate::value::{LoadReport, LoadedModel, OrderKind, OrderResult};
use core::time::Duration;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

/// An order must be sent within this time or not at all.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// At most this fraction of a cell's endpoints load at the same time; a divisor.
const LOADING_DIVISOR: u32 = 4;

/// Minimum time between two reads of the list requested for orders.
const MIN_LIST_READ_INTERVAL: Duration = Duration::from_secs(2);

/// Configuration of the controller.
#[derive(Clone, Copy, Debug)]
pub struct OrdersConfig {
    /// Maximum loads per minute from the weight store, over all controllers.
    pub loads_per_minute: u32,
    /// Seed of the jitter.
    pub seed: u64,
}

impl Default for OrdersConfig {
    fn default() -> Self {
        OrdersConfig {
            loads_per_minute: 30,
            seed: 0,
        }
    }
}

/// The state on which a controller decides whether it may send orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerContext {
    /// The revision of the list in force.
    pub list_revision: u64,
    /// When the call was sent that last confirmed that list; `None` if it was never confirmed.
    pub confirmed: Option<Time>,
    /// Whether the catalogue in force is the newest that is known to exist.
    pub is_catalogue_current: bool,
    /// Number of instances that are controllers.
    pub controllers: u32,
}

impl ControllerContext {
    /// Returns the time until which orders may be sent.
    fn lease_end(&self) -> Time {
        self.confirmed
            .map_or(Time::ZERO, |it| it + CONTROLLER_LEASE)
    }
}

/// Sends orders to the endpoints that this instance controls.
///
/// Invariant: at most one order per endpoint is pending, and the fencing numbers sent to it
/// increase.
#[derive(Clone, Debug)]
pub struct Orders {
    cfg: OrdersConfig,
    rng: SmallRng,
    endpoints: BTreeMap<EndpointKey, ManagedEndpoint>,
    /// The fencing number used last.
    last_fence: u64,
    /// When this controller may next load weights.
    next_load: Option<Time>,
    /// When the list was last requested.
    list_requested_at: Option<Time>,
    wake: Time,
}

impl Orders {
    /// Creates a controller without endpoints.
    pub fn new(cfg: OrdersConfig) -> Self {
        Orders {
            cfg,
            rng: SmallRng::seed_from_u64(cfg.seed),
            endpoints: BTreeMap::new(),
            last_fence: 0,
            next_load: None,
            list_requested_at: None,
            wake: Time::NEVER,
        }
    }

    /// Replaces the goals after a change of the list, the catalogue or a leaving notice.
    pub fn set_goals(&mut self, now: Time, goals: Vec<EndpointGoal>) {
        let mut before = core::mem::take(&mut self.endpoints);
        for goal in goals {
            let key = goal.endpoint.key;
            let known = before.remove(&key);
            let managed = match known {
                Some(known) => known.with_goal(goal),
                None => ManagedEndpoint::new(now, goal),
            };
            self.endpoints.insert(key, managed);
        }
        self.wake = now;
    }

    /// Returns whether this instance sends orders to an endpoint.
    pub fn controls(&self, endpoint: EndpointKey) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    /// Returns how many endpoints this instance controls.
    pub fn endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// Records the models that an endpoint reported.
    pub fn report(&mut self, now: Time, endpoint: EndpointKey, report: &LoadReport) {
        let Some(managed) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let lag = u64::from(report.lag_ms) * 1_000;
        let true_at = Time::from_micros(now.as_micros().saturating_sub(lag));
        managed.apply_report(true_at, report);
        self.wake = now;
    }

    /// Records the result of an order.
    pub fn on_order_answered(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        fencing: u64,
        result: OrderResult,
    ) {
        let retry = self.rng.random_range(0.5..1.0);
        let Some(managed) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        managed.answered(now, fencing, result, retry);
        self.wake = now;
    }

    /// Returns when [`Orders::tick`] is due.
    pub fn next_wake(&self) -> Time {
        self.wake
    }

    /// Sends all orders that are due.
    ///
    /// `is_used` returns whether a generation runs on a model of an endpoint.
    pub fn tick(
        &mut self,
        now: Time,
        context: &ControllerContext,
        is_used: &impl Fn(EndpointKey, &LoadedModel) -> bool,
        out: &mut Vec<OrdersAction>,
    ) {
        self.wake = Time::NEVER;
        let mut loading = self.loading();
        let keys: Vec<EndpointKey> = self.endpoints.keys().copied().collect();
        for key in keys {
            self.tick_endpoint(now, key, context, is_used, &mut loading, out);
        }
    }

    /// Returns how many endpoints of each cell are loading a model.
    fn loading(&self) -> BTreeMap<CellKey, u32> {
        let mut loading = BTreeMap::new();
        for managed in self.endpoints.values().filter(|it| it.is_loading()) {
            *loading.entry(managed.goal.cell).or_default() += 1;
        }
        loading
    }

    fn tick_endpoint(
        &mut self,
        now: Time,
        key: EndpointKey,
        context: &ControllerContext,
        is_used: &impl Fn(EndpointKey, &LoadedModel) -> bool,
        loading: &mut BTreeMap<CellKey, u32>,
        out: &mut Vec<OrdersAction>,
    ) {
        let retry = self.rng.random_range(0.5..1.0);
        let Some(managed) = self.endpoints.get_mut(&key) else {
            return;
        };
        let wake = managed.advance(now, retry);
        self.wake = self.wake.min(wake);
        let Some(kind) = managed.next_change(is_used) else {
            managed.is_held = false;
            return;
        };
        let cell = managed.goal.cell;
        let max = (managed.goal.cell_size / LOADING_DIVISOR).max(1);
        let in_cell = loading.entry(cell).or_default();
        let is_load = loads_weights(&kind);
        if is_load && *in_cell >= max {
            return;
        }
        if let Err(hold) = self.check_order(now, key, context, is_load) {
            self.hold(now, key, hold, out);
            return;
        }
        if self.send(now, key, kind, context, out) && is_load {
            *in_cell += 1;
        }
    }

    /// Returns `Ok` if an order may be sent now, else why it is held back.
    fn check_order(
        &mut self,
        now: Time,
        key: EndpointKey,
        context: &ControllerContext,
        is_load: bool,
    ) -> Result<(), Hold> {
        if !context.is_catalogue_current {
            return Err(Hold::Until(now + MIN_LIST_READ_INTERVAL));
        }
        if now >= context.lease_end() {
            return Err(Hold::Stale);
        }
        let managed = &self.endpoints[&key];
        if now < managed.safe_from() {
            return Err(Hold::Until(managed.safe_from()));
        }
        if managed.highest >> FENCE_REVISION_SHIFT > context.list_revision {
            return Err(Hold::Stale);
        }
        match is_load {
            true => self.check_load(now, context.controllers),
            false => Ok(()),
        }
    }

    /// Keeps to this controller's share of the weight store's rate.
    ///
    /// The first load waits for a random part of the pause, because a new catalogue reaches all
    /// controllers at once.
    fn check_load(&mut self, now: Time, controllers: u32) -> Result<(), Hold> {
        let pause = self.load_pause(controllers);
        let rng = &mut self.rng;
        let first = || now + pause.mul_f64(rng.random_range(0.0..1.0));
        let next = *self.next_load.get_or_insert_with(first);
        if now < next {
            return Err(Hold::Until(next));
        }
        Ok(())
    }

    fn load_pause(&self, controllers: u32) -> Duration {
        Duration::from_secs(60) * controllers.max(1) / self.cfg.loads_per_minute.max(1)
    }

    fn hold(&mut self, now: Time, key: EndpointKey, hold: Hold, out: &mut Vec<OrdersAction>) {
        let until = match hold {
            Hold::Until(until) => until,
            Hold::Stale => {
                let next = self
                    .list_requested_at
                    .map_or(now, |it| it + MIN_LIST_READ_INTERVAL);
                if next <= now {
                    self.list_requested_at = Some(now);
                    out.push(OrdersAction::ReadList);
                }
                next.max(now + MIN_LIST_READ_INTERVAL)
            }
        };
        self.wake = self.wake.min(until);
        let Some(managed) = self.endpoints.get_mut(&key) else {
            return;
        };
        if !managed.is_held {
            managed.is_held = true;
            out.push(OrdersAction::Note(Note::OrderHeld { endpoint: key }));
        }
    }

    fn send(
        &mut self,
        now: Time,
        key: EndpointKey,
        kind: OrderKind,
        context: &ControllerContext,
        out: &mut Vec<OrdersAction>,
    ) -> bool {
        let pause = self.load_pause(context.controllers);
        let Some(managed) = self.endpoints.get_mut(&key) else {
            return false;
        };
        let revision = context.list_revision;
        let Some(fencing) = next_fence(revision, self.last_fence, managed.highest) else {
            return false;
        };
        self.last_fence = fencing;
        if loads_weights(&kind) {
            self.next_load = Some(now + pause);
        }
        managed.is_held = false;
        managed.sent(now, fencing, kind.clone());
        self.wake = self.wake.min(now + RESPONSE_TIMEOUT);
        out.push(OrdersAction::Send {
            endpoint: managed.goal.endpoint.clone(),
            fencing,
            kind,
            send_before: (now + SEND_TIMEOUT).min(context.lease_end()),
        });
        out.push(OrdersAction::Note(Note::Ordered {
            endpoint: key,
            fencing,
        }));
        true
    }
}

/// Why an order is held back.
#[derive(Clone, Copy, Debug)]
enum Hold {
    /// It may be sent from the given time on, if nothing changes.
    Until(Time),
    /// The list must be confirmed first.
    Stale,
}
