//! Whether this instance itself is late, and how many new connections of callers it may take.
//!
//! An instance that gets more work than its processor or its network link can do is late with all of
//! it. Timers fire late, or connections to endpoints open late, whichever endpoint they lead to. The
//! *own delay* is the least of either that was seen within a short window: a single slow endpoint or
//! a single long computation does not raise it, while everything waits for a queue of this instance.
//! The least value of a window is the measure that CoDel uses for a standing queue (Nichols and
//! Jacobson, 2012).
//!
//! While the own delay is high, a share of new connections is closed before anything is read from
//! them, so that their callers try another instance at once and what was read is served in time. A
//! timeout that passes meanwhile says nothing about the endpoint or peer that was waited for.
//!
//! See `docs/design/crowded-instances.md`.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, VecDeque};

/// The interval at which the timer of [`OwnDelay::on_timer`] is due.
pub const TIMER_INTERVAL: Duration = Duration::from_millis(50);

/// The window of which the least delay counts.
const WINDOW: Duration = Duration::from_millis(250);

/// Timers that must have been late in a row. A pause of the process delays one.
const MIN_TIMERS: usize = 2;

/// Connections that a window must hold.
const MIN_CONNECTS: usize = 3;

/// Connection times that are kept; at a thousand requests a second the window is shorter.
const MAX_CONNECTS: usize = 64;

/// From this own delay on, this instance sheds connections. Calls take some four turns of the
/// process, so that their delay is a multiple of it.
const SHED_FROM: Duration = Duration::from_millis(40);

/// Factor by which the admitted share falls in each [`TIMER_INTERVAL`] while the own delay is high.
const DECREASE: f64 = 0.8;

/// How much the admitted share rises at each timer while it is not.
const INCREASE: f64 = 0.03;

/// Bound on the intervals that one late timer stands for.
const MAX_INTERVALS: f64 = 20.0;

/// The least admitted share. An instance that admits nothing does not learn that it could.
const MIN_SHARE: f64 = 0.05;

/// How long the least connection time to a data centre is remembered, at least. The path to it may
/// become longer for good, and this instance must not take that for a queue of its own.
const BASELINE_INTERVAL: Duration = Duration::from_secs(30);

/// How long after it was last high the own delay of the past still makes timeouts meaningless: longer
/// than any timeout that is taken for a failure.
const EVIDENCE_MARGIN: Duration = Duration::from_secs(1);

/// What changed with an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SheddingChange {
    /// This instance begins to shed connections.
    Begins,
    /// It admits all connections again.
    Ends,
}

/// The least connection time to one data centre.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    /// The least time of the current interval.
    current: Duration,
    /// The least time of the interval before.
    before: Duration,
    /// When the current interval began.
    since: Time,
}

impl Baseline {
    fn new(now: Time, time: Duration) -> Self {
        Baseline {
            current: time,
            before: time,
            since: now,
        }
    }

    fn observe(&mut self, now: Time, time: Duration) {
        if now.since(self.since) >= BASELINE_INTERVAL {
            *self = Baseline {
                current: time,
                before: self.current,
                since: now,
            };
        }
        self.current = self.current.min(time);
    }

    fn least(self) -> Duration {
        self.current.min(self.before)
    }
}

/// A connection that was opened.
#[derive(Clone, Copy, Debug)]
struct Connect {
    at: Time,
    endpoint: EndpointKey,
    /// By how much it took longer than the fastest to the same data centre.
    delay: Duration,
}

/// The delays that this instance causes itself, and the connections that it sheds.
#[derive(Clone, Debug)]
pub struct OwnDelay {
    /// How late the last timers fired.
    timers: VecDeque<(Time, Duration)>,
    /// The last connections to endpoints.
    connects: VecDeque<Connect>,
    /// The least connection time by data centre.
    baselines: BTreeMap<String, Baseline>,
    /// When the next timer is due.
    due: Option<Time>,
    /// The admitted share of connections; 1 unless this instance sheds.
    share: f64,
    /// The part of a connection that may still be admitted.
    credit: f64,
    /// When the own delay was last high, and how high.
    high: Option<(Time, Duration)>,
}

impl Default for OwnDelay {
    fn default() -> Self {
        OwnDelay {
            timers: VecDeque::new(),
            connects: VecDeque::new(),
            baselines: BTreeMap::new(),
            due: None,
            share: 1.0,
            credit: 0.0,
            high: None,
        }
    }
}

impl OwnDelay {
    /// Records that the periodic timer fired, and adjusts the admitted share. Returns whether this
    /// instance begins or ends to shed connections.
    pub fn on_timer(&mut self, now: Time) -> Option<SheddingChange> {
        let due = self.due.replace(now + TIMER_INTERVAL);
        let late = due.map_or(Duration::ZERO, |it| now.since(it));
        self.timers.push_back((now, late));
        self.drop_old(now);
        let was_shedding = self.is_shedding();
        let own_delay = self.current(now);
        if own_delay >= SHED_FROM {
            self.high = Some((now, own_delay));
            let intervals = 1.0 + late.div_duration_f64(TIMER_INTERVAL).min(MAX_INTERVALS);
            self.share = (self.share * DECREASE.powf(intervals)).max(MIN_SHARE);
        } else {
            self.share = (self.share + INCREASE).min(1.0);
        }
        match (was_shedding, self.is_shedding()) {
            (false, true) => Some(SheddingChange::Begins),
            (true, false) => Some(SheddingChange::Ends),
            _ => None,
        }
    }

    /// Records how long a connection to an endpoint in `data_centre` took to open.
    pub fn on_connect_time(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        data_centre: &str,
        time: Duration,
    ) {
        let least = match self.baselines.get_mut(data_centre) {
            Some(baseline) => {
                baseline.observe(now, time);
                baseline.least()
            }
            None => {
                let baseline = Baseline::new(now, time);
                self.baselines.insert(data_centre.to_owned(), baseline);
                time
            }
        };
        if self.connects.len() == MAX_CONNECTS {
            self.connects.pop_front();
        }
        self.connects.push_back(Connect {
            at: now,
            endpoint,
            delay: time.saturating_sub(least),
        });
    }

    fn drop_old(&mut self, now: Time) {
        let is_old = |at: Time| now.since(at) > WINDOW;
        while self.timers.len() > MIN_TIMERS && is_old(self.timers[0].0) {
            self.timers.pop_front();
        }
        while self.connects.front().is_some_and(|it| is_old(it.at)) {
            self.connects.pop_front();
        }
    }

    /// Returns by how much this instance itself has lately delayed what it does.
    pub fn current(&self, now: Time) -> Duration {
        self.timer_delay().max(self.connect_delay(now))
    }

    /// Returns the least lateness of the last timers.
    pub fn timer_delay(&self) -> Duration {
        if self.timers.len() < MIN_TIMERS {
            return Duration::ZERO;
        }
        let late = self.timers.iter().map(|(_, late)| *late);
        late.min().unwrap_or_default()
    }

    /// Returns by how much the least delayed of the last connections was delayed, if they lead to
    /// several endpoints.
    pub fn connect_delay(&self, now: Time) -> Duration {
        let is_recent = |it: &&Connect| now.since(it.at) <= WINDOW;
        let recent = || self.connects.iter().filter(is_recent);
        let first = recent().next().map(|it| it.endpoint);
        let has_several = recent().any(|it| Some(it.endpoint) != first);
        if !has_several || recent().count() < MIN_CONNECTS {
            return Duration::ZERO;
        }
        let least = recent().map(|it| it.delay).min();
        least.unwrap_or_default()
    }

    /// Returns whether new connections of callers are shed.
    pub fn is_shedding(&self) -> bool {
        self.share < 1.0
    }

    /// Returns the share of new connections that is admitted.
    pub fn admitted_share(&self) -> f64 {
        self.share
    }

    /// Returns whether a new connection of a caller may be read.
    pub fn admit_connection(&mut self) -> bool {
        if !self.is_shedding() {
            return true;
        }
        self.credit += self.share;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }

    /// Returns how much longer than usual this instance waits for endpoints and homes: what it sends
    /// and what it receives may both be delayed here.
    pub fn patience(&self, now: Time) -> Duration {
        let high = self.high.filter(|(at, _)| now.since(*at) < EVIDENCE_MARGIN);
        let lately = high.map_or(Duration::ZERO, |(_, delay)| delay);
        self.current(now).max(lately) * 2
    }

    /// Returns whether a timeout of something that began at `began` and passes now says something
    /// about what was waited for. It does not if this instance was late meanwhile, or has not run
    /// since its timer was due.
    pub fn is_evidence(&self, now: Time, began: Time) -> bool {
        let was_high = self
            .high
            .is_some_and(|(at, _)| at + EVIDENCE_MARGIN > began);
        let is_late = self.due.is_some_and(|due| now.since(due) >= SHED_FROM);
        let was_late = self
            .timers
            .iter()
            .any(|(at, late)| *at >= began && *late >= SHED_FROM);
        !(was_high || is_late || was_late)
    }
}
