//! The token counts at which a running request reports its progress to its home.
//!
//! The home is the instance that decides for a key, chosen by rendezvous hashing.

/// Generated tokens at the first checkpoint. Each later checkpoint doubles the count, up to
/// [`CHECKPOINT_STEP`].
pub const FIRST_CHECKPOINT: u32 = 64;
/// Generated tokens between two checkpoints once this count is reached.
///
/// With unlimited doubling, the progress of a generation of 15,000 tokens is estimated from a
/// report that is two minutes old. An estimate beyond the caller's limit counts the generation as
/// about to end, and its KV cache is promised to others.
pub const CHECKPOINT_STEP: u32 = 1_024;

/// Returns whether a running request reports to its home when it has generated `tokens`.
pub fn is_checkpoint(tokens: u32) -> bool {
    match tokens < CHECKPOINT_STEP {
        true => tokens >= FIRST_CHECKPOINT && tokens.is_power_of_two(),
        false => tokens.is_multiple_of(CHECKPOINT_STEP),
    }
}

/// Returns the first checkpoint after `tokens`.
pub fn next_checkpoint(tokens: u32) -> u32 {
    match tokens < CHECKPOINT_STEP {
        true => (tokens + 1).next_power_of_two().max(FIRST_CHECKPOINT),
        false => (tokens / CHECKPOINT_STEP + 1).saturating_mul(CHECKPOINT_STEP),
    }
}
