//! Estimate of the rate at which the queue drains, from which waits are predicted.

use crate::time::Time;
use core::time::Duration;

/// Length of a measurement window.
const WINDOW: Duration = Duration::from_secs(20);
/// Weight of the latest window in the smoothed rate.
const GAIN: f64 = 0.25;
/// Rate assumed before the first measurement, as a share of the engines' capacity.
const START_SHARE: f64 = 0.5;
/// Lower bound of the rate, as a share of the engines' capacity. After a burst of starts at the top
/// of the hour, everything that runs is young and little is granted for half a minute. The rate
/// measured then is too low and would refuse requests that can start in time.
const FLOOR_SHARE: f64 = 0.4;

/// Rate of granted work while requests were waiting, in token-tokens per second.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Drain {
    rate: Option<f64>,
    granted: f64,
    window_from: Time,
    backlogged: bool,
}

impl Drain {
    /// Adds granted work to the current window.
    pub fn granted(&mut self, work: f64) {
        self.granted += work;
    }

    /// Closes the current window if it is over. `backlogged` says whether requests wait now; only
    /// windows during which requests waited throughout change the rate.
    pub fn roll(&mut self, now: Time, backlogged: bool) {
        if !backlogged {
            self.backlogged = false;
        }
        let elapsed = now.since(self.window_from);
        if elapsed < WINDOW {
            return;
        }
        if self.backlogged {
            let measured = self.granted / elapsed.as_secs_f64();
            let rate = self.rate.unwrap_or(measured);
            self.rate = Some(rate + GAIN * (measured - rate));
        }
        self.granted = 0.0;
        self.window_from = now;
        self.backlogged = backlogged;
    }

    /// Returns the work drained per second, given that the engines can do at most `supply`.
    pub fn rate(&self, supply: f64) -> f64 {
        match self.rate {
            Some(rate) => rate.max(supply * FLOOR_SHARE),
            None => supply * START_SHARE,
        }
    }
}
