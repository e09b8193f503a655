//! How fast the queue is drained, from which waits are predicted.

use crate::time::Time;
use core::time::Duration;

/// Time over which grants are summed.
const WINDOW: Duration = Duration::from_secs(20);
/// Weight of one window in the rate.
const GAIN: f64 = 0.25;
/// The rate assumed before one was measured, as a share of what the engines could do.
const START_SHARE: f64 = 0.5;
/// The least rate believed, as a share of what the engines could do. Right
/// after an hour turn everything that runs is young and little is granted for
/// half a minute; taken at its word, that would refuse work which starts in time.
const FLOOR_SHARE: f64 = 0.4;

/// Work granted a second while work was waiting, in token-tokens a second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    rate: Option<f64>,
    granted: f64,
    window_from: Time,
    backlogged: bool,
}

impl Drain {
    /// Notes work that was granted.
    pub fn granted(&mut self, work: f64) {
        self.granted += work;
    }

    /// Closes the window that is due; `backlogged` says whether work waits now.
    pub fn roll(&mut self, now: Time, backlogged: bool) {
        if !backlogged {
            self.backlogged = false;
        }
        let time = now.since(self.window_from);
        if time < WINDOW {
            return;
        }
        if self.backlogged {
            let measured = self.granted / time.as_secs_f64();
            let rate = self.rate.unwrap_or(measured);
            self.rate = Some(rate + GAIN * (measured - rate));
        }
        self.granted = 0.0;
        self.window_from = now;
        self.backlogged = backlogged;
    }

    /// Returns the work drained a second, where the engines could do `supply`.
    pub fn rate(&self, supply: f64) -> f64 {
        match self.rate {
            Some(rate) => rate.max(supply * FLOOR_SHARE),
            None => supply * START_SHARE,
        }
    }
}
