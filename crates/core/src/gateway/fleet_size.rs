//! The number of instances, including recently lost ones.
//!
//! Limits that the fleet enforces without coordination are divided by this number. If they were
//! divided by the number of live instances, each side of a network partition would use the full
//! limit. An instance that has just started knows few others, so its peers report the size to it.
//! Until it has received such a report, or heard from most of its seeds, it does not know the size:
//! see [`FleetSize::settled`].
//!
//! See `docs/design/budget.md` for the arithmetic.

use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How long a lost instance is counted: as long as partitions between regions may last.
const LOST_RETENTION: Duration = Duration::from_secs(600);

/// Minimum time between two scans of the live instances.
const SCAN_INTERVAL: Duration = Duration::from_millis(250);

/// The size of the fleet as reported to peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSizeReport {
    /// Number of instances; 0 while the sender does not know it.
    pub count: u32,
    /// Seconds since any instance last saw a fleet of this size.
    pub age_s: u16,
}

/// The instances that were alive recently.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// When each other instance was last alive.
    seen: BTreeMap<SocketAddrV4, Time>,
    scanned_at: Option<Time>,
    /// The largest fleet that a peer reported, and when it was last seen.
    reported: Option<(u32, Time)>,
    is_settled: bool,
}

impl FleetSize {
    /// Records the live instances, and whether this instance has heard from most of its seeds.
    ///
    /// Of the sides of a partition, at most one has most of the seeds. So even if every instance
    /// restarts during the partition, at most one side settles on a size.
    pub fn tick(
        &mut self,
        now: Time,
        live: impl Iterator<Item = SocketAddrV4>,
        has_most_seeds: bool,
    ) {
        self.is_settled |= has_most_seeds;
        if self
            .scanned_at
            .is_some_and(|at| now.since(at) < SCAN_INTERVAL)
        {
            return;
        }
        self.scanned_at = Some(now);
        self.seen.extend(live.map(|it| (it, now)));
        self.seen.retain(|_, at| now.since(*at) < LOST_RETENTION);
        self.reported = self
            .reported
            .filter(|(_, at)| now.since(*at) < LOST_RETENTION);
    }

    /// Applies the report of a peer.
    pub fn on_report(&mut self, now: Time, reported: FleetSizeReport) {
        if reported.count == 0 {
            return;
        }
        self.is_settled = true;
        let age = Duration::from_secs(reported.age_s.into());
        let seen = now.before(age).unwrap_or(Time::ZERO);
        if self
            .reported
            .is_none_or(|(count, _)| count <= reported.count)
        {
            self.reported = Some((reported.count, seen));
        }
    }

    /// Returns the report that is sent to peers.
    pub fn report(&self, now: Time) -> FleetSizeReport {
        if !self.is_settled {
            return FleetSizeReport::default();
        }
        let own = u32::try_from(self.seen()).unwrap_or(u32::MAX);
        match self.reported {
            Some((count, at)) if count > own => FleetSizeReport {
                count,
                age_s: u16::try_from(now.since(at).as_secs()).unwrap_or(u16::MAX),
            },
            _ => FleetSizeReport {
                count: own,
                age_s: 0,
            },
        }
    }

    /// Returns the number of instances, including this one and recently lost ones.
    pub fn count(&self) -> usize {
        let reported = self.reported.map_or(0, |(count, _)| count as usize);
        self.seen().max(reported)
    }

    /// Returns the same, or `None` while this instance may know only part of the fleet.
    pub fn settled(&self) -> Option<usize> {
        self.is_settled.then(|| self.count())
    }

    /// Returns the other instances that were alive recently.
    pub fn others(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.seen.keys().copied()
    }

    fn seen(&self) -> usize {
        1 + self.seen.len()
    }
}
