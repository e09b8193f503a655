//! The endpoints that one request was sent to.

use oriolemux_core::gateway::HttpEntry;
use oriolemux_core::ids::EndpointKey;

/// The endpoints that one request was sent to, and whether it may have run there.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    tried: Vec<EndpointKey>,
    runs: u32,
    refused: usize,
}

impl Attempts {
    /// Records an endpoint that was not reached, so that no part of the request is there.
    ///
    /// This does not count as a refusal. While the store is unavailable, engines that are gone keep
    /// their records, and a generation that tries several of them in a row would be refused
    /// although other engines have room.
    pub fn record_unreached(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
    }

    /// Records an endpoint that did not run the request.
    pub fn record_refused(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
        self.refused += 1;
    }

    /// Records an endpoint at which the request may have run.
    pub fn record_run(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
        self.runs += 1;
    }

    /// Returns the endpoints that the request must not be sent to again.
    pub fn tried(&self) -> &[EndpointKey] {
        &self.tried
    }

    /// Returns whether the request may have run, so that a response must not promise the contrary.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns how many endpoints did not run the request.
    pub fn refused(&self) -> usize {
        self.refused
    }

    /// Returns whether `entry` allows the request to run at one more endpoint.
    pub fn may_run_again(&self, entry: &HttpEntry) -> bool {
        let is_first = self.runs == 0;
        is_first || (entry.kind.is_idempotent() && self.runs < entry.max_attempts)
    }

    /// Returns whether the current or next run is the last that `entry` allows.
    pub fn next_is_last(&self, entry: &HttpEntry) -> bool {
        !entry.kind.is_idempotent() || self.runs + 1 >= entry.max_attempts
    }
}
