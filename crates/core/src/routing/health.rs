//! Evidence for and against an endpoint: ejection, probing and ramp-up.
//!
//! A stalled or failing endpoint looks idle, so that routing by room alone
//! sends it everything. Attempts that failed there are counted; enough of them
//! eject it. After a while one idempotent request probes it, and an endpoint
//! that is back, or new, gets its full share only step by step: its cache is
//! cold and its load report empty, which would otherwise draw a herd.

use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;

/// Weight of failures above which an endpoint is ejected; a count.
const EJECT_FAILURES: f64 = 2.5;
/// Share of failures among recent attempts above which it is ejected.
const EJECT_SHARE: f64 = 0.4;
/// Time in which evidence loses half its weight.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(20);
/// Wait before the first probe; it doubles with each probe that fails.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(5);
/// The longest wait before a probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(60);
/// A probe that has told nothing by then counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time from the first grant to the full share.
const RAMP_TIME: Duration = Duration::from_secs(10);
/// Share of its capacity that an endpoint gets at first.
const RAMP_START: f64 = 0.2;
/// How long an endpoint that refused as busy gets nothing new.
const BUSY_PAUSE: Duration = Duration::from_millis(500);

/// Whether an endpoint may be granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// It may.
    Open,
    /// It was ejected.
    Ejected {
        /// When it may be probed.
        probe_at: Time,
    },
    /// One probe may go, or is under way since the time given.
    Probing {
        /// When the probe was granted.
        since: Option<Time>,
    },
}

/// Evidence about one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    standing: EjectionState,
    failures: f64,
    successes: f64,
    updated: Time,
    backoff: Duration,
    ramp_from: Option<Time>,
    paused_until: Time,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            standing: EjectionState::Open,
            failures: 0.0,
            successes: 0.0,
            updated: Time::ZERO,
            backoff: MIN_PROBE_DELAY,
            ramp_from: None,
            paused_until: Time::ZERO,
        }
    }
}

/// Returns how much a failure says against the endpoint; 0 for one that does not.
fn failure_weight(reason: Reason) -> f64 {
    match reason {
        Reason::Stalled | Reason::ConnectFailed => 1.0,
        Reason::ConnectionLost | Reason::Truncated | Reason::GenerationLost => 1.0,
        Reason::Garbage | Reason::EndpointError | Reason::WrongAttempt => 1.0,
        _ => 0.0,
    }
}

impl Health {
    /// Takes in that an attempt made progress or completed.
    pub fn succeeded(&mut self, now: Time) {
        self.decay(now);
        self.successes += 1.0;
        if let EjectionState::Probing { .. } = self.standing {
            self.standing = EjectionState::Open;
            self.failures = 0.0;
            self.backoff = MIN_PROBE_DELAY;
            self.ramp_from = None;
        }
    }

    /// Takes in that an attempt failed; returns whether the endpoint is now ejected.
    pub fn failed(&mut self, now: Time, reason: Reason) -> bool {
        self.decay(now);
        if reason == Reason::EndpointRefused {
            self.paused_until = now + BUSY_PAUSE;
        }
        let blame = failure_weight(reason);
        self.failures += blame;
        match self.standing {
            EjectionState::Probing { .. } if blame > 0.0 => self.eject(now),
            EjectionState::Open if self.exceeds_thresholds() => self.eject(now),
            _ => return false,
        }
        true
    }

    /// Moves on with time: a probe comes due, or one has told nothing for too long.
    pub fn tick(&mut self, now: Time) {
        match self.standing {
            EjectionState::Ejected { probe_at } if now >= probe_at => {
                self.standing = EjectionState::Probing { since: None };
            }
            EjectionState::Probing { since: Some(since) } if now.since(since) > PROBE_TIMEOUT => {
                self.eject(now);
            }
            _ => {}
        }
    }

    /// Notes a grant.
    pub fn granted(&mut self, now: Time) {
        if let EjectionState::Probing { since } = &mut self.standing {
            *since = Some(now);
        }
        self.ramp_from.get_or_insert(now);
    }

    /// Notes that the probe under way ended without telling anything.
    pub fn probe_inconclusive(&mut self) {
        if let EjectionState::Probing { since } = &mut self.standing {
            *since = None;
        }
    }

    /// Returns whether a request may go there; only idempotent work probes.
    pub fn admits(&self, now: Time, idempotent: bool) -> bool {
        match self.standing {
            EjectionState::Open => now >= self.paused_until,
            EjectionState::Ejected { .. } => false,
            EjectionState::Probing { since } => since.is_none() && idempotent,
        }
    }

    /// Returns whether the endpoint gets no work but probes.
    pub fn is_ejected(&self) -> bool {
        self.standing != EjectionState::Open
    }

    /// Returns the share of its capacity that the endpoint may be given now.
    pub fn ramp(&self, now: Time) -> f64 {
        let since = match self.ramp_from {
            Some(from) => now.since(from).as_secs_f64(),
            None => 0.0,
        };
        (RAMP_START + (1.0 - RAMP_START) * since / RAMP_TIME.as_secs_f64()).min(1.0)
    }

    /// Returns whether it changes with time alone.
    pub fn changes_with_time(&self, now: Time) -> bool {
        self.standing != EjectionState::Open
            || now < self.paused_until
            || self
                .ramp_from
                .is_some_and(|from| now.since(from) < RAMP_TIME)
    }

    fn exceeds_thresholds(&self) -> bool {
        let share = self.failures / (self.failures + self.successes).max(1.0);
        self.failures >= EJECT_FAILURES && share >= EJECT_SHARE
    }

    fn eject(&mut self, now: Time) {
        let probe_at = now + self.backoff;
        self.standing = EjectionState::Ejected { probe_at };
        self.backoff = (self.backoff * 2).min(MAX_PROBE_DELAY);
    }

    fn decay(&mut self, now: Time) {
        let age = now.since(self.updated).as_secs_f64();
        let keep = (-age / EVIDENCE_HALF_LIFE.as_secs_f64()).exp2();
        self.failures *= keep;
        self.successes *= keep;
        self.updated = now;
    }
}
