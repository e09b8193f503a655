//! Which endpoint of a cell takes a request.
//!
//! Admission says where a request fits; routing ranks those places. An
//! endpoint that holds the prompt's prefix spares prefill, one with more room
//! spares stalls, and one in the same data centre spares latency. See
//! `docs/design/routing.md`.

pub mod concurrency;
pub mod health;
pub mod prefix;

/// Worth of a wholly cached prompt, against the worth 1 of an idle endpoint.
pub const PREFIX_WEIGHT: f64 = 0.6;
/// Tokens of a prompt at which a cached prefix is worth its whole weight.
pub const PREFIX_FULL_TOKENS: f64 = 2_000.0;
/// Cost of another data centre, on the same scale: a millisecond and a half
/// each way is little beside a prefill, but breaks ties.
pub const REMOTE_PENALTY: f64 = 0.1;

/// What ranks an endpoint for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingFactors {
    /// Share of the endpoint's room that is free, from 0 to 1.
    pub free_share: f64,
    /// Share of the prompt's blocks that the endpoint is believed to hold.
    pub prefix_share: f64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Whether the endpoint is in another data centre.
    pub is_remote: bool,
}

impl RoutingFactors {
    /// Returns the rank; the highest wins.
    pub fn score(&self) -> f64 {
        let prompt = (f64::from(self.prompt_tokens) / PREFIX_FULL_TOKENS).min(1.0);
        let prefix = PREFIX_WEIGHT * self.prefix_share * prompt;
        let penalty = if self.is_remote { REMOTE_PENALTY } else { 0.0 };
        self.free_share + prefix - penalty
    }
}
