//! Parts of prompts under which requests recently succeeded.

use crate::fingerprint::Fingerprint;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeSet;

/// How long a success is remembered at least, unless there are too many.
const PROVEN_FOR: Duration = Duration::from_secs(5);

/// Bound on the parts of one period; each takes some 30 bytes. A part that many prompts share
/// succeeds again before as many others have.
const MAX_PROVEN: usize = 2_048;

/// The parts under which requests succeeded in this period and the one before.
///
/// Without them, a part that all prompts share would be a suspect with each crash, since a request
/// that crashes its endpoint has it too.
#[derive(Clone, Debug, Default)]
pub struct ProvenParts {
    current: BTreeSet<Fingerprint>,
    previous: BTreeSet<Fingerprint>,
    /// When the current period began.
    since: Time,
}

impl ProvenParts {
    /// Records that a request with this part succeeded.
    pub fn record(&mut self, now: Time, part: Fingerprint) {
        self.begin_period_if_due(now);
        self.current.insert(part);
    }

    /// Returns whether a request with this part recently succeeded.
    pub fn contains(&mut self, now: Time, part: Fingerprint) -> bool {
        self.begin_period_if_due(now);
        self.current.contains(&part) || self.previous.contains(&part)
    }

    fn begin_period_if_due(&mut self, now: Time) {
        let elapsed = now.since(self.since);
        if elapsed >= PROVEN_FOR || self.current.len() >= MAX_PROVEN {
            self.previous = core::mem::take(&mut self.current);
            self.since = now;
        }
        if elapsed >= PROVEN_FOR * 2 {
            self.previous.clear();
        }
    }
}
