//! The share of the fleet's budget of repeats that this instance may spend.
//!
//! What goes wrong without it: a service that fails part of its calls is sent
//! more calls for it, by every instance at once, and fails more. The fleet's
//! bound is a share of the service's requests and an allowance on top, over a
//! sliding window. Instances cannot ask each other before each repeat, so each
//! keeps to the share of its own requests and to its part of the allowance. The
//! parts add up to less than the whole also when traffic is uneven.

use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, VecDeque};

/// The part of the fleet's bound that instances spend together. The rest covers
/// sends that the window counts a little later than this instance did, and
/// instances that were replaced and began anew.
const SPENT_SHARE: f64 = 0.8;

/// The fleet's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed on top, over all instances.
    pub allowance: f64,
    /// The sliding window.
    pub window: Duration,
}

impl Default for BudgetConfig {
    fn default() -> Self {
        BudgetConfig {
            ratio: 0.1,
            allowance: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Why a request is sent to one endpoint more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum RepeatKind {
    /// retry
    Retry,
    /// read_anew
    ReadAnew,
    /// go_on
    GoOn,
    /// go_on_again
    GoOnAgain,
}

/// Whether a request may be sent to one endpoint more, and what that was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatDecision {
    /// Whether it may.
    pub is_allowed: bool,
    /// Instances that are heard, this one included.
    pub heard: usize,
    /// Instances that are known, this one and those that were lost lately included; 0 while this
    /// instance may know a part of the fleet only.
    pub known: usize,
    /// For how long this instance has run.
    pub age: Duration,
    /// Repeats that are left.
    pub left: f64,
}

#[derive(Clone, Debug, Default)]
struct ServiceCounts {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

/// Counts requests and repeats by service.
#[derive(Clone, Debug)]
pub struct SharedBudget {
    cfg: BudgetConfig,
    services: BTreeMap<String, ServiceCounts>,
}

impl SharedBudget {
    /// Returns a budget of which nothing is spent.
    pub fn new(cfg: BudgetConfig) -> Self {
        SharedBudget {
            cfg,
            services: BTreeMap::new(),
        }
    }

    /// Changes the fleet's bound; what was spent stays spent.
    pub fn set_bound(&mut self, cfg: BudgetConfig) {
        self.cfg = cfg;
    }

    /// Notes a caller's request.
    pub fn on_request(&mut self, now: Time, service: &str) {
        let counts = Self::counts(&mut self.services, service);
        counts.requests.push_back(now);
        forget(&mut counts.requests, now, self.cfg.window);
    }

    /// Spends one repeat if the share of this instance, one of `known`, allows it.
    pub fn spend(&mut self, now: Time, service: &str, known: Option<usize>) -> bool {
        if self.left(now, service, known) < 1.0 {
            return false;
        }
        self.note_repeat(now, service);
        true
    }

    /// Notes a send beyond the first that is made whatever the budget says.
    pub fn note_repeat(&mut self, now: Time, service: &str) {
        Self::counts(&mut self.services, service)
            .repeats
            .push_back(now);
    }

    /// Returns how many repeats are left. Who does not know how many instances there are has no
    /// part of the allowance.
    pub fn left(&mut self, now: Time, service: &str, known: Option<usize>) -> f64 {
        let window = self.cfg.window;
        let counts = Self::counts(&mut self.services, service);
        forget(&mut counts.requests, now, window);
        forget(&mut counts.repeats, now, window);
        let own = self.cfg.ratio * counts.requests.len() as f64;
        let allowance = known.map_or(0.0, |it| self.cfg.allowance / it.max(1) as f64);
        SPENT_SHARE * (own + allowance) - counts.repeats.len() as f64
    }

    fn counts<'a>(
        services: &'a mut BTreeMap<String, ServiceCounts>,
        service: &str,
    ) -> &'a mut ServiceCounts {
        if !services.contains_key(service) {
            services.insert(service.to_owned(), ServiceCounts::default());
        }
        services.entry(service.to_owned()).or_default()
    }
}

fn forget(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|&at| now.since(at) >= window) {
        times.pop_front();
    }
}
