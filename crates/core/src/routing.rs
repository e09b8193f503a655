//! Ranks the endpoints of a cell for a request.
//!
//! Admission decides where a request fits, and routing ranks those endpoints. An endpoint that
//! caches the prompt's prefix avoids prefill, one with more free capacity avoids stalls, and one in
//! the same data centre avoids latency. See `docs/design/routing.md`.

pub mod concurrency;
pub mod health;
pub mod prefix;

/// Weight of a fully cached prompt, relative to 1 for an idle endpoint.
pub const PREFIX_WEIGHT: f64 = 0.6;
/// Prompt length in tokens from which a cached prefix has its full weight.
pub const PREFIX_FULL_TOKENS: f64 = 2_000.0;
/// Penalty of another data centre on the same scale. A millisecond and a half each way is small
/// compared to a prefill, so the penalty mainly breaks ties.
pub const REMOTE_PENALTY: f64 = 0.1;

/// Inputs of an endpoint's score for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingFactors {
    /// Fraction of the endpoint's capacity that is free, from 0 to 1.
    pub free_share: f64,
    /// Fraction of the prompt's blocks that the endpoint is expected to cache.
    pub prefix_share: f64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Whether the endpoint is in another data centre.
    pub is_remote: bool,
}

impl RoutingFactors {
    /// Returns the score; the highest wins.
    pub fn score(&self) -> f64 {
        let prompt = (f64::from(self.prompt_tokens) / PREFIX_FULL_TOKENS).min(1.0);
        let prefix = PREFIX_WEIGHT * self.prefix_share * prompt;
        let penalty = if self.is_remote { REMOTE_PENALTY } else { 0.0 };
        self.free_share + prefix - penalty
    }
}
