//! Planned stop: nothing that was taken is cut off.

use super::Node;
use super::timers::TimerKind;
use crate::event::Action;

/// Whether new requests are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Door {
    /// Yes.
    Open,
    /// Yes, but the stop has begun: the instance is not ready any more, and
    /// the balancer will notice soon. Refusing in the meantime would fail
    /// callers for no reason.
    Closing,
    /// No; what was taken is finished.
    Closed,
}

impl Node {
    /// A planned stop begins.
    pub(super) fn on_stop(&mut self) {
        if self.door != Door::Open {
            return;
        }
        self.door = Door::Closing;
        let at = self.now + self.cfg.stop_grace;
        self.timers.set(at, TimerKind::CloseDoor);
        self.with_membership(|membership, now, out| membership.stop(now, out));
    }

    pub(super) fn close_door(&mut self) {
        self.door = Door::Closed;
    }

    /// Says that the process may end once the last request is answered.
    pub(super) fn finish_stop(&mut self) {
        if self.door == Door::Closed && self.requests.is_empty() {
            self.out.push(Action::Stopped);
        }
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.door != Door::Open
    }
}
