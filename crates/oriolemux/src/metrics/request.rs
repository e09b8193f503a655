//! Metrics of one request, from its arrival to its end.

use super::{Counter, Histogram};
use std::time::Instant;

/// Measures one request. The measurements are recorded when it is dropped, so that failed requests
/// are measured too.
#[derive(Debug)]
pub struct RequestMeter {
    arrived: Instant,
    is_granted: bool,
    /// When the last token was written.
    last_token: Option<Instant>,
    longest_gap: core::time::Duration,
    tokens: u64,
}

impl RequestMeter {
    /// Counts a request and starts its measurements.
    pub fn start() -> Self {
        Counter::Requests.add(1);
        RequestMeter {
            arrived: Instant::now(),
            is_granted: false,
            last_token: None,
            longest_gap: core::time::Duration::ZERO,
            tokens: 0,
        }
    }

    /// Records that the request was granted an endpoint. Only the first grant ends its wait.
    pub fn granted(&mut self) {
        if !self.is_granted {
            self.is_granted = true;
            Histogram::Wait.record(self.arrived.elapsed().as_secs_f64());
        }
    }

    /// Records that a token is written to the caller.
    #[inline]
    pub fn token(&mut self) {
        let now = Instant::now();
        match self.last_token {
            Some(last) => self.longest_gap = self.longest_gap.max(now - last),
            None => Histogram::FirstToken.record((now - self.arrived).as_secs_f64()),
        }
        self.last_token = Some(now);
        self.tokens += 1;
    }

    /// Records that the complete response was sent.
    pub fn completed(&self) {
        Counter::Completed.add(1);
    }
}

impl Drop for RequestMeter {
    fn drop(&mut self) {
        Counter::TokensDelivered.add(self.tokens);
        if self.tokens > 1 {
            Histogram::LongestGap.record(self.longest_gap.as_secs_f64());
        }
    }
}
