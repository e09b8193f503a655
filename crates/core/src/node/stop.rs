//! Planned stop: accepted requests are finished before the process ends.

use super::Node;
use super::timers::TimerKind;
use crate::event::Action;
use core::time::Duration;

/// How long a process that has finished its last request waits for the acknowledgement of the ends
/// of its claims.
const CLAIM_ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// The phase of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// No stop has begun.
    Serving,
    /// The stop has begun and the instance is no longer ready, but it still accepts requests until
    /// the load balancer has noticed. Refusing them would fail callers for no reason.
    GracePeriod,
    /// New requests are refused; accepted ones are finished.
    Draining,
}

impl Node {
    /// Begins a planned stop.
    pub(super) fn on_stop(&mut self) {
        if self.stop_phase != StopPhase::Serving {
            return;
        }
        self.stop_phase = StopPhase::GracePeriod;
        let at = self.now + self.cfg.stop_grace;
        self.timers.set(at, TimerKind::StopAccepting);
        self.with_membership(|membership, now, out| membership.stop(now, out));
    }

    pub(super) fn stop_accepting(&mut self) {
        self.stop_phase = StopPhase::Draining;
    }

    /// Reports that the process may end, once the last request is finished and the ends of its
    /// claims are acknowledged by the instances that granted them.
    ///
    /// Otherwise the report of the last request's end could be lost with the process. A duplicate
    /// request of its caller would be refused as "already running, unknown" for an hour, although
    /// the response was complete and nothing failed.
    pub(super) fn finish_stop(&mut self) {
        if self.stop_phase != StopPhase::Draining || !self.requests.is_empty() {
            return;
        }
        let last_finished_at = *self.last_finished_at.get_or_insert(self.now);
        let until = last_finished_at + CLAIM_ACK_TIMEOUT;
        if self.now < until && self.keys.has_unacked_ends() {
            return self.timers.set(until, TimerKind::StopAccepting);
        }
        self.out.push(Action::Stopped);
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_phase != StopPhase::Serving
    }
}
