//! What the node itself wants to do later.

use crate::ids::{EndpointKey, Incarnation, InstanceKey};
use crate::time::Time;
use std::collections::BTreeSet;

/// Something that the node does later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// Look again at a request of this process.
    Request(u64),
    /// Look again at the tickets that are being drawn.
    PendingTickets,
    /// Ask an endpoint of an own cell for its load.
    PollLoad(EndpointKey),
    /// Send the checkpoints that were gathered.
    FlushProgress,
    /// Ask entries whether what is held for them still stands.
    Confirm,
    /// End the leases of a life whose link has been down for too long.
    ForgetHolder(InstanceKey, Incarnation),
    /// Tell the homes of suspects what runs and waits here.
    RunLeases,
    /// Tell others of suspects.
    GossipSuspects,
    /// Stop taking new requests, because a planned stop has lasted long enough
    /// for the balancer to notice it.
    StopAccepting,
}

/// Timers in order of their time.
///
/// A timer that no longer matters is not removed: whoever handles it looks at
/// the state first, which costs less than a second index.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    due: BTreeSet<(Time, TimerKind)>,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&mut self, at: Time, kind: TimerKind) {
        self.due.insert((at, kind));
    }

    /// Takes the first timer that is due.
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
