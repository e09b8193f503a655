//! Connection attempts that are given up before they have ended.

use crate::cx::Cx;
use crate::ports::Wire;
use core::time::Duration;
use oriolemux_core::gateway::state::Placement;
use std::time::Instant;

/// How long a connection attempt must have taken when its request is given up to count as evidence
/// of a partition. A round trip between data centres takes some 3 ms.
const HANGING_CONNECT: Duration = Duration::from_millis(100);

/// Notices a connection attempt that is dropped because the caller left. Without this, callers that
/// do not wait for the connection timeout would keep a partition from being noticed.
pub struct ConnectGuard<'a, W: Wire> {
    cx: &'a Cx<W>,
    place: &'a Placement,
    started: Instant,
    has_ended: bool,
}

impl<'a, W: Wire> ConnectGuard<'a, W> {
    /// Begins to watch a connection attempt.
    pub fn new(cx: &'a Cx<W>, place: &'a Placement) -> Self {
        ConnectGuard {
            cx,
            place,
            started: Instant::now(),
            has_ended: false,
        }
    }

    /// Records that the attempt has ended, with a connection or without.
    pub fn end(mut self) {
        self.has_ended = true;
    }
}

impl<W: Wire> Drop for ConnectGuard<'_, W> {
    fn drop(&mut self) {
        if !self.has_ended && self.started.elapsed() >= HANGING_CONNECT {
            self.cx.on_connect_abandoned(self.place);
        }
    }
}
