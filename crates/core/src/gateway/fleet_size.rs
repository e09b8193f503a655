//! How many instances there are, those included that were lost lately.
//!
//! Bounds that the fleet keeps without asking anybody are divided by this number. Dividing by the
//! instances that are heard would give each side of a cut the whole bound. An instance that has
//! just started has heard few others, so that peers tell it what they know. One that heard nobody
//! who knows does not know either: [`FleetSize::settled`].
//!
//! `docs/design/budget.md` does the arithmetic.

use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How long an instance that was lost is counted: as long as regions lose each other.
const LOST_RETENTION: Duration = Duration::from_secs(600);

/// The time between two looks at who takes part.
const SCAN_INTERVAL: Duration = Duration::from_millis(250);

/// What an instance tells its peers of the fleet's size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSizeReport {
    /// How many instances there are; 0 while the sender does not know.
    pub count: u32,
    /// For how many seconds that was not seen by anybody.
    pub age_s: u16,
}

/// All instances known lately.
#[derive(Clone, Debug, Default)]
pub struct FleetSize {
    /// When each other instance was last known to take part.
    seen: BTreeMap<SocketAddrV4, Time>,
    scanned_at: Option<Time>,
    /// The largest fleet that a peer told of, and when it was seen.
    reported: Option<(u32, Time)>,
    is_settled: bool,
}

impl FleetSize {
    /// Takes in who takes part, and whether this instance has heard most of its seeds.
    ///
    /// Of the sides of a cut, one at most has most of the seeds. So of all sides on which every
    /// instance started during the cut, one at most gets to know how many there are.
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

    /// Takes in what a peer tells.
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

    /// Returns what this instance tells its peers.
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

    /// Returns how many instances there are, this one and those that were lost lately included.
    pub fn count(&self) -> usize {
        let reported = self.reported.map_or(0, |(count, _)| count as usize);
        self.seen().max(reported)
    }

    /// Returns the same, or nothing while this instance may know a part of the fleet only.
    pub fn settled(&self) -> Option<usize> {
        self.is_settled.then(|| self.count())
    }

    /// Returns the other instances that were seen lately.
    pub fn others(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.seen.keys().copied()
    }

    fn seen(&self) -> usize {
        1 + self.seen.len()
    }
}
