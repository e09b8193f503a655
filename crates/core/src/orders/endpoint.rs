//! The order state of one endpoint.

use super::HAND_OVER_WAIT;
use super::goals::EndpointGoal;
use super::reconcile::{loads_weights, next_change};
use crate::ids::EndpointKey;
use crate::time::Time;
use crate::value::{LoadReport, LoadedModel, OrderKind, OrderResult};
use core::time::Duration;

/// An order without a response within this time has failed.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// An accepted change that no report shows within this time is ordered again.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(600);

/// Initial pause after a failed order; doubles up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_secs(1);

/// Maximum pause after a failed order.
const RETRY_MAX: Duration = Duration::from_secs(60);

/// The stage of the current order.
#[derive(Clone, Debug)]
enum Stage {
    /// No order is pending.
    Idle,
    /// The endpoint has not responded yet.
    Sent {
        fencing: u64,
        kind: OrderKind,
        at: Time,
    },
    /// The endpoint accepted the order and carries it out.
    Accepted { kind: OrderKind, at: Time },
    /// The order failed; the next one waits until the given time.
    Failed { until: Time },
}

/// An endpoint to which this instance sends orders.
#[derive(Clone, Debug)]
pub(super) struct ManagedEndpoint {
    pub goal: EndpointGoal,
    /// Since when this instance is the controller.
    since: Time,
    loaded: Vec<LoadedModel>,
    /// When the newest report was valid; `None` before the first.
    reported: Option<Time>,
    /// The highest fencing number that the endpoint is known to have seen.
    pub highest: u64,
    /// When `highest` was learned. Reports lag, and an older one knows less.
    highest_at: Time,
    /// The endpoint lost the highest fencing number in a restart, and would accept orders of a
    /// controller that it rejected before.
    has_lost_fence: bool,
    stage: Stage,
    failures: u32,
    /// An order is held back, and operators were notified.
    pub is_held: bool,
}

impl ManagedEndpoint {
    pub fn new(now: Time, goal: EndpointGoal) -> Self {
        ManagedEndpoint {
            goal,
            since: now,
            loaded: Vec::new(),
            reported: None,
            highest: 0,
            highest_at: Time::ZERO,
            has_lost_fence: false,
            stage: Stage::Idle,
            failures: 0,
            is_held: false,
        }
    }

    /// Returns the time from which no order of an earlier controller can arrive, or any that
    /// arrives is rejected.
    pub fn safe_from(&self) -> Time {
        if self.goal.fencing.protects() && !self.has_lost_fence {
            return Time::ZERO;
        }
        self.since + HAND_OVER_WAIT
    }

    pub fn is_loading(&self) -> bool {
        let kind = match &self.stage {
            Stage::Sent { kind, .. } | Stage::Accepted { kind, .. } => kind,
            Stage::Idle | Stage::Failed { .. } => return false,
        };
        loads_weights(kind)
    }

    pub fn apply_report(&mut self, true_at: Time, report: &LoadReport) {
        if self.reported.is_some_and(|it| true_at < it) {
            return;
        }
        self.reported = Some(true_at);
        let lost = self.loaded.iter().any(|it| !holds(report, it));
        self.loaded.clone_from(&report.models);
        if self.goal.fencing.protects() {
            self.check_fence(true_at, report.fencing);
        }
        // A loaded model is gone without an order, so the endpoint was restarted and lost the load
        // that it had accepted.
        if lost && self.is_loading() && matches!(self.stage, Stage::Accepted { .. }) {
            self.stage = Stage::Idle;
        }
    }

    /// Detects an endpoint that reports a lower fencing number than before. It lost its state and
    /// with it the protection from earlier controllers.
    fn check_fence(&mut self, true_at: Time, reported: u64) {
        if reported < self.highest && true_at > self.highest_at {
            self.has_lost_fence = true;
            if matches!(self.stage, Stage::Accepted { .. }) {
                self.stage = Stage::Idle;
            }
        }
        self.observe_fence(true_at, reported);
    }

    fn observe_fence(&mut self, at: Time, fencing: u64) {
        if fencing > self.highest {
            self.highest = fencing;
            self.highest_at = at;
        }
    }

    /// Sets what the endpoint should hold.
    pub fn with_goal(mut self, goal: EndpointGoal) -> Self {
        let is_other = self.goal.models != goal.models;
        if is_other && matches!(self.stage, Stage::Accepted { .. }) {
            self.stage = Stage::Idle;
        }
        self.goal = goal;
        self
    }

    /// Records that an order was sent.
    pub fn sent(&mut self, now: Time, fencing: u64, kind: OrderKind) {
        self.stage = Stage::Sent {
            fencing,
            kind,
            at: now,
        };
    }

    pub fn answered(&mut self, now: Time, answered: u64, result: OrderResult, retry: f64) {
        let Stage::Sent { fencing, kind, .. } = &self.stage else {
            return;
        };
        if *fencing != answered {
            return;
        }
        let kind = kind.clone();
        match result {
            OrderResult::Accepted => {
                self.observe_fence(now, answered);
                self.has_lost_fence = false;
                self.failures = 0;
                self.stage = Stage::Accepted { kind, at: now };
            }
            OrderResult::Fenced { highest } => {
                self.observe_fence(now, highest);
                self.stage = Stage::Idle;
            }
            OrderResult::Failed => self.fail(now, retry),
        }
    }

    fn fail(&mut self, now: Time, retry: f64) {
        let doubled = RETRY_MIN * (1 << self.failures.min(6));
        self.failures = self.failures.saturating_add(1);
        let until = now + doubled.min(RETRY_MAX).mul_f64(retry);
        self.stage = Stage::Failed { until };
    }

    /// Ends a stage that took effect or timed out; returns when to check again.
    pub fn advance(&mut self, now: Time, retry: f64) -> Time {
        match &self.stage {
            Stage::Sent { at, .. } if *at + RESPONSE_TIMEOUT <= now => self.fail(now, retry),
            Stage::Accepted { kind, at } => {
                let is_seen = self.reported.is_some_and(|it| it > *at);
                let has_effect = is_seen && !self.is_effect_missing(kind);
                if has_effect || *at + EFFECT_TIMEOUT <= now {
                    self.stage = Stage::Idle;
                }
            }
            Stage::Failed { until } if *until <= now => self.stage = Stage::Idle,
            _ => {}
        }
        match &self.stage {
            Stage::Idle => Time::NEVER,
            Stage::Sent { at, .. } => *at + RESPONSE_TIMEOUT,
            Stage::Accepted { at, .. } => *at + EFFECT_TIMEOUT,
            Stage::Failed { until } => *until,
        }
    }

    /// Returns whether the newest report does not show the effect of an order.
    fn is_effect_missing(&self, kind: &OrderKind) -> bool {
        let holds = |model: &str, version: &str, adapter: &Option<String>| {
            let held = self.loaded.iter();
            let mut held = held.filter(|it| it.name == model && it.version == version);
            held.any(|it| adapter.as_ref().is_none_or(|it2| it.adapters.contains(it2)))
        };
        match kind {
            OrderKind::Load {
                model,
                version,
                adapter,
            } => !holds(model, version, adapter),
            OrderKind::Unload {
                model,
                version,
                adapter,
            } => holds(model, version, adapter),
            OrderKind::Role { .. } => false,
        }
    }

    pub fn next_change(
        &self,
        is_used: &impl Fn(EndpointKey, &LoadedModel) -> bool,
    ) -> Option<OrderKind> {
        if !matches!(self.stage, Stage::Idle) || self.reported.is_none() {
            return None;
        }
        let key = self.goal.endpoint.key;
        next_change(&self.goal, &self.loaded, |it| is_used(key, it))
    }
}

fn holds(report: &LoadReport, model: &LoadedModel) -> bool {
    let mut held = report.models.iter();
    held.any(|it| it.name == model.name && it.version == model.version)
}
