//! One endpoint to which orders are given.

use super::HAND_OVER_WAIT;
use super::goals::EndpointGoal;
use super::reconcile::{loads_weights, next_change};
use crate::ids::EndpointKey;
use crate::time::Time;
use crate::value::{LoadReport, LoadedModel, OrderKind, OrderResult};
use core::time::Duration;

/// An order whose answer does not come by then has failed.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// A change that was accepted and that no report shows by then is ordered again.
const EFFECT_TIMEOUT: Duration = Duration::from_secs(600);

/// The first pause after a failed order; doubles up to [`RETRY_MOST`].
const RETRY_MIN: Duration = Duration::from_secs(1);

/// The longest pause after a failed order.
const RETRY_MAX: Duration = Duration::from_secs(60);

/// An order that was given.
#[derive(Clone, Debug)]
enum Stage {
    /// None is out.
    Idle,
    /// The endpoint has not answered yet.
    Sent {
        fencing: u64,
        kind: OrderKind,
        at: Time,
    },
    /// The endpoint carries it out.
    Accepted { kind: OrderKind, at: Time },
    /// It failed; the next one waits.
    Failed { until: Time },
}

/// One endpoint to which this instance gives orders.
#[derive(Clone, Debug)]
pub(super) struct ManagedEndpoint {
    pub goal: EndpointGoal,
    /// Since when this instance is the giver.
    since: Time,
    loaded: Vec<LoadedModel>,
    /// When the newest report was true; `None` before the first.
    reported: Option<Time>,
    /// The highest number that the endpoint is known to have seen.
    pub highest: u64,
    /// When that was learnt. Reports lag, and an older one knows less.
    highest_at: Time,
    /// The endpoint has forgotten the highest number: it was restarted, and
    /// would obey a giver that it refused before.
    has_lost_fence: bool,
    stage: Stage,
    failures: u32,
    /// An order is held back, and operators were told.
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

    /// Returns from when on no order of an earlier giver can arrive any more,
    /// or would be refused.
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
        // What was loaded is gone unasked: the endpoint was restarted, and the
        // load that it had accepted with it.
        if lost && self.is_loading() && matches!(self.stage, Stage::Accepted { .. }) {
            self.stage = Stage::Idle;
        }
    }

    /// Notices an endpoint that knows a lower number than before: it has lost
    /// its memory, and with it the protection from earlier givers.
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

    /// Takes in what the endpoint should hold now.
    pub fn with_goal(mut self, goal: EndpointGoal) -> Self {
        let is_other = self.goal.models != goal.models;
        if is_other && matches!(self.stage, Stage::Accepted { .. }) {
            self.stage = Stage::Idle;
        }
        self.goal = goal;
        self
    }

    /// An order was let go.
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

    /// Ends what has taken too long; returns when to look again.
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

    /// Returns whether the newest report still lacks what was ordered.
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
