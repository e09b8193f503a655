//! The endpoints that one request was sent to.

use oriolemux_core::gateway::HttpEntry;
use oriolemux_core::ids::EndpointKey;

/// The endpoints that one request was sent to, and whether it may have run there.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    tried: Vec<EndpointKey>,
    /// Those of them that no connection was opened to.
    unreached: Vec<EndpointKey>,
    runs: u32,
    refused: usize,
    /// Whether a connection attempt hung while no endpoint of the service was reached.
    is_partitioned: bool,
    /// Whether an endpoint at which the request may still run did not stop it.
    may_still_run: bool,
}

impl Attempts {
    /// Returns the attempts of a request that another instance passes on: the endpoints that it
    /// reached there, at how many of them it may have run, and how many did not run it.
    pub fn before(tried: Vec<EndpointKey>, runs: u32, refused: usize) -> Self {
        Attempts {
            tried,
            unreached: Vec::new(),
            runs,
            refused,
            is_partitioned: false,
            may_still_run: false,
        }
    }

    /// Records an endpoint that was not reached, so that no part of the request is there.
    ///
    /// This does not count as a refusal. While the store is unavailable, engines that are gone keep
    /// their records, and a generation that tries several of them in a row would be refused
    /// although other engines have room.
    pub fn record_unreached(&mut self, endpoint: EndpointKey) {
        self.tried.push(endpoint);
        self.unreached.push(endpoint);
    }

    /// Records an endpoint that no connection could be opened to, as one that did not run the
    /// request.
    pub fn record_no_connection(&mut self, endpoint: EndpointKey) {
        self.record_refused(endpoint);
        self.unreached.push(endpoint);
    }

    /// Records that a connection attempt hung while no endpoint of the service was reached, so that
    /// the next one would hang as well.
    pub fn record_partition(&mut self) {
        self.is_partitioned = true;
    }

    /// Returns whether a connection attempt hung while no endpoint of the service was reached.
    pub fn is_partitioned(&self) -> bool {
        self.is_partitioned
    }

    /// Records that a peer to which the request was passed on may have run it at an endpoint.
    pub fn record_run_at_proxy(&mut self) {
        self.runs += 1;
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

    /// Records that an endpoint which may still run the request did not stop it, so that the request
    /// must not run at another one.
    pub fn record_not_stopped(&mut self) {
        self.may_still_run = true;
    }

    /// Returns the endpoints that the request must not be sent to again.
    pub fn tried(&self) -> &[EndpointKey] {
        &self.tried
    }

    /// Returns the endpoints that the request reached.
    pub fn reached(&self) -> Vec<EndpointKey> {
        let tried = self.tried.iter();
        let reached = tried.filter(|it| !self.unreached.contains(it));
        reached.copied().collect()
    }

    /// Returns at how many endpoints the request may have run.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns how many endpoints that the request reached did not run it.
    pub fn refusals_of_reached(&self) -> u32 {
        let runs = usize::try_from(self.runs).unwrap_or(usize::MAX);
        let refusals = self.reached().len().saturating_sub(runs);
        u32::try_from(refusals).unwrap_or(u32::MAX)
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
        let is_allowed = is_first || (entry.kind.is_idempotent() && self.runs < entry.max_attempts);
        is_allowed && !self.may_still_run
    }

    /// Returns whether the current or next run is the last that `entry` allows.
    pub fn next_is_last(&self, entry: &HttpEntry) -> bool {
        !entry.kind.is_idempotent() || self.runs + 1 >= entry.max_attempts
    }
}
