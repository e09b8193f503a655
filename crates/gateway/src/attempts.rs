//! The endpoints that one request was sent to.

use oriolemux_core::gateway::HttpEntry;
use oriolemux_core::ids::EndpointKey;

/// Where one request was, and what that leaves open.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    tried: Vec<EndpointKey>,
    runs: u32,
    refused: usize,
}

impl Attempts {
    /// Notes an endpoint that was not reached, so that nothing of the request is there.
    ///
    /// These do not count as refusals. What goes wrong otherwise: while the store is silent,
    /// engines that went keep their entries; a generation that finds several of them in a row
    /// is given up though other engines have room.
    pub fn record_unreached(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
    }

    /// Notes an endpoint that did not run the request.
    pub fn record_refused(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
        self.refused += 1;
    }

    /// Notes an endpoint at which the request may have run.
    pub fn record_run(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
        self.runs += 1;
    }

    /// Returns the endpoints that the request is not sent to again.
    pub fn tried(&self) -> &[EndpointKey] {
        &self.tried
    }

    /// Returns whether the request may have run somewhere, so that "not run" would be untrue.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns how many endpoints did not run the request.
    pub fn refused(&self) -> usize {
        self.refused
    }

    /// Returns whether `entry` lets the request run at one endpoint more.
    pub fn may_run_again(&self, entry: &HttpEntry) -> bool {
        let is_first = self.runs == 0;
        is_first || (entry.kind.is_idempotent() && self.runs < entry.max_attempts)
    }

    /// Returns whether the next run, or the one under way, is the last that `entry` allows.
    pub fn next_is_last(&self, entry: &HttpEntry) -> bool {
        !entry.kind.is_idempotent() || self.runs + 1 >= entry.max_attempts
    }
}
