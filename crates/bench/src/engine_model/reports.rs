//! The past loads of an engine, from which its lagging report is taken.

use core::time::Duration;
use oriolemux_core::time::Time;
use std::collections::VecDeque;

/// Loads closer together than this are kept as one, the later one.
const RESOLUTION: Duration = Duration::from_millis(50);

/// How loaded an engine was at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Load {
    pub running: u32,
    pub waiting: u32,
    pub used_blocks: u32,
    pub preemptions: u64,
}

/// Loads by time, oldest first.
#[derive(Clone, Debug)]
pub(super) struct ReportHistory {
    lag: Duration,
    past: VecDeque<(Time, Load)>,
    /// The load that held before the first of `past`.
    before: Load,
}

impl ReportHistory {
    pub fn new(lag: Duration) -> Self {
        ReportHistory {
            lag,
            past: VecDeque::new(),
            before: Load::default(),
        }
    }

    /// Notes the load at `now`; times must not fall.
    pub fn push(&mut self, now: Time, load: Load) {
        if let Some((first, last)) = self.past.back_mut()
            && now.since(*first) < RESOLUTION
        {
            *last = load;
            return;
        }
        self.forget(now);
        self.past.push_back((now, load));
    }

    /// Returns the load as it was the lag before `now`.
    pub fn at(&mut self, now: Time) -> Load {
        self.forget(now);
        self.before
    }

    fn forget(&mut self, now: Time) {
        while let Some(&(at, load)) = self.past.front() {
            if now.since(at) < self.lag {
                break;
            }
            self.before = load;
            self.past.pop_front();
        }
    }
}
