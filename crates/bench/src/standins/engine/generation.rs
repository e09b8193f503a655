//! One generation that the engine holds.

use std::time::Instant;

/// A generation, from its arrival until its text is dropped.
///
/// Invariant: `generated <= length`; `ended_at` is set when no token will follow.
#[derive(Clone, Debug)]
pub struct Generation {
    /// The attempt's id.
    pub attempt: String,
    /// Its name inside the engine model.
    pub job: u64,
    /// The seed of its text.
    pub seed: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer.
    pub length: u32,
    /// Whether the answer ends because a limit was reached.
    pub cut_by_limit: bool,
    /// Tokens generated so far.
    pub generated: u32,
    /// When it became certain that no further token will come.
    pub ended_at: Option<Instant>,
    /// Connections that read it.
    pub listeners: u32,
    /// Since when nobody reads it.
    pub unheard_since: Option<Instant>,
}

impl Generation {
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
