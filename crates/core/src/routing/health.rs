//! Health of an endpoint: ejection, probing and ramp-up.
//!
//! A stalled or failing endpoint looks idle, so routing by free capacity alone would send it all
//! requests. Enough failed attempts eject it. After a delay, one idempotent request probes it. A
//! new or recovered endpoint gets its full share step by step: its cache is cold and its load
//! report is empty, which would otherwise attract too many requests at once.

use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;

/// Decayed weight of failures from which an endpoint is ejected.
const EJECT_FAILURES: f64 = 2.5;
/// Fraction of failures among recent attempts from which an endpoint is ejected.
const EJECT_SHARE: f64 = 0.4;
/// Half-life of successes and failures.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(20);
/// Delay before the first probe; doubles with each failed probe.
const MIN_PROBE_DELAY: Duration = Duration::from_secs(5);
/// Maximum delay before a probe.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(60);
/// A probe without a result within this time counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time from the first grant to the full share.
const RAMP_TIME: Duration = Duration::from_secs(10);
/// Fraction of its capacity that an endpoint gets at first.
const RAMP_START: f64 = 0.2;
/// How long an endpoint that refused a request as busy gets no new one.
const BUSY_PAUSE: Duration = Duration::from_millis(500);

/// The ejection state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// It may be granted.
    Open,
    /// It was ejected.
    Ejected {
        /// When it may be probed.
        probe_at: Time,
    },
    /// It may be granted one probe, or a probe is running.
    Probing {
        /// When the running probe was granted.
        since: Option<Time>,
    },
}

/// The health of one endpoint.
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

/// Returns the weight of a failure as evidence against the endpoint; 0 if it is none.
fn failure_weight(reason: Reason) -> f64 {
    match reason {
        Reason::Stalled | Reason::ConnectFailed => 1.0,
        Reason::ConnectionLost | Reason::Truncated | Reason::GenerationLost => 1.0,
        Reason::Garbage | Reason::EndpointError | Reason::WrongAttempt => 1.0,
        _ => 0.0,
    }
}

impl Health {
    /// Records that an attempt made progress or completed.
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

    /// Records a failed attempt; returns whether it ejected the endpoint.
    pub fn failed(&mut self, now: Time, reason: Reason) -> bool {
        self.decay(now);
        if reason == Reason::EndpointRefused {
            self.paused_until = now + BUSY_PAUSE;
        }
        let weight = failure_weight(reason);
        self.failures += weight;
        match self.standing {
            EjectionState::Probing { .. } if weight > 0.0 => self.eject(now),
            EjectionState::Open if self.exceeds_thresholds() => self.eject(now),
            _ => return false,
        }
        true
    }

    /// Advances the state with time: a probe becomes due, or a running one times out.
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

    /// Records a grant.
    pub fn granted(&mut self, now: Time) {
        if let EjectionState::Probing { since } = &mut self.standing {
            *since = Some(now);
        }
        self.ramp_from.get_or_insert(now);
    }

    /// Records that the running probe ended without a result.
    pub fn probe_inconclusive(&mut self) {
        if let EjectionState::Probing { since } = &mut self.standing {
            *since = None;
        }
    }

    /// Returns whether a request may be sent to the endpoint. Only idempotent requests probe it.
    pub fn admits(&self, now: Time, idempotent: bool) -> bool {
        match self.standing {
            EjectionState::Open => now >= self.paused_until,
            EjectionState::Ejected { .. } => false,
            EjectionState::Probing { since } => since.is_none() && idempotent,
        }
    }

    /// Returns whether the endpoint gets only probes.
    pub fn is_ejected(&self) -> bool {
        self.standing != EjectionState::Open
    }

    /// Returns the fraction of its capacity that the endpoint may use now.
    pub fn ramp(&self, now: Time) -> f64 {
        let since = match self.ramp_from {
            Some(from) => now.since(from).as_secs_f64(),
            None => 0.0,
        };
        (RAMP_START + (1.0 - RAMP_START) * since / RAMP_TIME.as_secs_f64()).min(1.0)
    }

    /// Returns whether the state changes with time alone.
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
