//! One generation that the engine holds.

use std::time::Instant;

/// A generation, from its arrival until its text is dropped.
///
/// Invariant: `generated <= length`; `ended_at` is set when no token will follow.
#[derive(Clone, Debug)]
pub struct Generation {
    /// The attempt's id.
    pub attempt: String,
    /// The seed of its text.
    pub seed: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer.
    pub length: u32,
    /// Whether the answer ends because the caller's limit was reached.
    pub cut_by_limit: bool,
    /// Tokens generated so far.
    pub generated: u32,
    /// Tokens that are still to be computed before the next one can be
    /// generated: the prompt, and after a preemption the generated ones as well.
    pub prefill_left: u32,
    /// Whether it was in a batch before.
    pub started: bool,
    /// When no further token will come.
    pub ended_at: Option<Instant>,
    /// Connections that read it.
    pub listeners: u32,
    /// Since when nobody reads it.
    pub unheard_since: Option<Instant>,
}

impl Generation {
    /// Returns the tokens of KV memory that it holds while it runs.
    pub fn kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.generated)
    }

    /// Returns whether the last token was generated.
    pub fn is_whole(&self) -> bool {
        self.generated == self.length
    }

    /// Returns the finish reason of a whole answer, as engines spell it.
    pub fn finish_reason(&self) -> &'static str {
        match self.cut_by_limit {
            true => "length",
            false => "stop",
        }
    }
}
