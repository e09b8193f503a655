//! Planned stop: nothing that was taken is cut off.

use super::Node;
use super::timers::TimerKind;
use crate::event::Action;
use core::time::Duration;

/// How long a process that has answered its last request stays to hear that
/// the ends of its claims were noted.
const CLAIM_ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether new requests are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopPhase {
    /// Yes.
    Serving,
    /// Yes, but the stop has begun: the instance is not ready any more, and
    /// the balancer will notice soon. Refusing in the meantime would fail
    /// callers for no reason.
    GracePeriod,
    /// No; what was taken is finished.
    Draining,
}

impl Node {
    /// A planned stop begins.
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

    /// Says that the process may end once the last request is answered and
    /// the ends of its claims are noted where they were granted.
    ///
    /// What goes wrong otherwise: the word of the last request's end is lost
    /// with the process. Its caller's repeat hears "already running, unknown"
    /// for an hour, although the answer was whole and nothing failed.
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
