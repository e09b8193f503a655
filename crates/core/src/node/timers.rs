//! The node's own timers.

use crate::ids::{EndpointKey, Incarnation, InstanceKey};
use crate::time::Time;
use std::collections::BTreeSet;

/// What a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// Check a request of this process.
    Request(u64),
    /// Check the requested tickets that are not issued yet.
    PendingTickets,
    /// Poll an endpoint for its load.
    PollLoad(EndpointKey),
    /// Send the batched checkpoints.
    FlushProgress,
    /// Ask entry instances which of the requests held for them still exist.
    Confirm,
    /// Drop the requests of an incarnation whose link has been down for too long.
    ForgetHolder(InstanceKey, Incarnation),
    /// Report to the homes of suspects which runs are active and which wait here.
    RunLeases,
    /// Gossip crash records of suspects.
    GossipSuspects,
    /// Stop accepting requests, because a planned stop has lasted long enough for the load balancer
    /// to notice it. Also rechecks whether the process may end.
    StopAccepting,
}

/// Timers in the order in which they are due.
///
/// An obsolete timer is not removed: its handler checks the state first, which costs less than a
/// second index.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Time, TimerKind)>,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Time, kind: TimerKind) {
        self.due.insert((at, kind));
    }

    /// Removes and returns the first timer that is due.
    pub fn take_due(&mut self, now: Time) -> Option<TimerKind> {
        let (at, _) = self.due.first()?;
        if *at > now {
            return None;
        }
        self.due.pop_first().map(|(_, kind)| kind)
    }

    /// Returns when the first timer is due.
    pub fn next(&self) -> Time {
        self.due.first().map_or(Time::NEVER, |(at, _)| *at)
    }
}
