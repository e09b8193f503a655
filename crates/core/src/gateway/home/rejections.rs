//! Queued requests that would get room too late.

use super::Home;
use crate::gateway::forecast::{Forecast, Prediction};
use crate::gateway::queue::Assigned;
use crate::gateway::request::{PlacementError, QueuedPlacement};
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Upper bound of rejections that are kept until they are taken, for logs and metrics.
const MAX_KEPT: usize = 256;

/// Why a request was rejected by forecast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum RejectionReason {
    /// after_deadline
    AfterDeadline,
    /// after_target
    AfterTarget,
}

/// A queued request that a home rejected, and the inputs to the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeRejection {
    /// The instance that has the request.
    pub instance: SocketAddrV4,
    /// The id of the request at its instance.
    pub request: u64,
    /// Why it was rejected.
    pub reason: RejectionReason,
    /// The hash of its workspace.
    pub workspace: u32,
    /// Its priority.
    pub priority: u8,
    /// KV cache tokens that it needs.
    pub tokens: u32,
    /// How long it had waited.
    pub waited: Duration,
    /// The forecast.
    pub prediction: Prediction,
}

impl Home {
    /// Predicts when the requests that were not placed get room, and returns those to reject, by
    /// their position in `waiting`, with the milliseconds until there is room for them.
    ///
    /// A request is rejected if it gets no room before its caller gives up, or none in time while
    /// others do. Nothing is rejected while an engine has room for it, or before the rate at which
    /// room becomes available has been observed for long enough.
    pub(super) fn reject_late(
        &mut self,
        now: Time,
        waiting: &[(SocketAddrV4, QueuedPlacement)],
        assigned: &Assigned<'_>,
    ) -> BTreeMap<usize, u32> {
        let is_full = |at: &usize| assigned.places[*at] == Err(PlacementError::Full);
        let unplaced: Vec<usize> = assigned.order.iter().copied().filter(is_full).collect();
        let queued = |at: &usize| &waiting[*at].1.request.queued;
        let predictions = self.forecast.predict(now, unplaced.iter().map(queued));
        let key = |at: &usize| (waiting[*at].0, queued(at).id);
        let expected = unplaced.iter().zip(&predictions);
        let is_reliable = self.forecast.is_reliable();
        let expected = expected.filter(|_| is_reliable);
        self.forecast
            .expect(expected.map(|(at, it)| (key(at), now + it.wait)));
        let mut rejected = BTreeMap::new();
        if !self.rejects_by_forecast || !is_reliable {
            return rejected;
        }
        let in_time = |(at, it): (&usize, &Prediction)| it.is_in_time(now, queued(at));
        let any_in_time = assigned.places.iter().any(Result::is_ok)
            || unplaced.iter().zip(&predictions).any(in_time);
        for (at, prediction) in unplaced.iter().zip(&predictions) {
            let request = queued(at);
            let reason = if !prediction.is_before_deadline(now, request) {
                RejectionReason::AfterDeadline
            } else if any_in_time && !prediction.is_in_time(now, request) {
                RejectionReason::AfterTarget
            } else {
                continue;
            };
            if assigned.has_room(&waiting[*at].1) {
                continue;
            }
            let wait = prediction.wait;
            self.forecast.promise(now + wait, request.tokens, key(at));
            rejected.insert(*at, u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
            if self.new_rejections.len() < MAX_KEPT {
                self.new_rejections.push(HomeRejection {
                    instance: waiting[*at].0,
                    request: request.id,
                    reason,
                    workspace: request.workspace,
                    priority: request.priority,
                    tokens: request.tokens,
                    waited: now.since(request.arrived),
                    prediction: *prediction,
                });
            }
        }
        rejected
    }

    /// Returns when queued requests will get room.
    pub fn forecast(&self) -> &Forecast {
        &self.forecast
    }

    /// Returns the workspaces with their parts of recent grants.
    pub fn workspace_parts(&self) -> impl Iterator<Item = (u32, f64)> {
        self.recent_grants.by_workspace.parts()
    }

    /// Takes the differences between predicted and observed times since the last call.
    pub fn take_forecast_errors(&mut self) -> Vec<Duration> {
        self.forecast.take_errors()
    }

    /// Takes the rejections since the last call.
    pub fn take_rejections(&mut self) -> Vec<HomeRejection> {
        core::mem::take(&mut self.new_rejections)
    }
}
