//! What a home needs to know of a service to decide.

use super::catalogue::EngineLimits;
use super::cold::{self, ColdLimits};
use super::endpoints::EndpointTable;
use super::pace::PaceModel;
use super::rate_limits::RateLimits;
use crate::ids::EndpointKey;
use crate::time::Time;

/// What a home needs to know of a service to decide.
#[derive(Clone, Copy, Debug)]
pub struct Engines<'a> {
    /// The service's name.
    pub service: &'a str,
    /// The capacity of its engines.
    pub limits: EngineLimits,
    /// All endpoints.
    pub endpoints: &'a EndpointTable,
    /// The capacity of its engines while they are cold, if that is less.
    pub cold: Option<ColdLimits>,
    /// The rate limits that endpoints set.
    pub named: &'a RateLimits,
    /// How many instances this one knows, recently lost ones included.
    pub known: usize,
    /// How many of them are live.
    pub live: usize,
    /// The pace of its engines.
    pub pace: &'a PaceModel,
}

impl Engines<'_> {
    /// Returns how many requests per second an engine takes from all instances together, if that is
    /// limited.
    pub(super) fn rate_limit(&self, now: Time, engine: EndpointKey) -> Option<f64> {
        cold::rate_limit(now, engine, self.endpoints, self.cold.as_ref(), self.named)
    }

    pub(super) fn rate_limited(&self, now: Time) -> Vec<EndpointKey> {
        if self.cold.is_none() && self.named.is_empty() {
            return Vec::new();
        }
        let usable = self.endpoints.usable_of(self.service).map(|it| it.key);
        let is_limited = |key: &EndpointKey| self.rate_limit(now, *key).is_some();
        usable.filter(is_limited).collect()
    }
}
