//! When a running request tells its home how far it is.

/// Generated tokens at the first checkpoint; each later one doubles it, up to
/// [`CHECKPOINT_STEP`].
pub const FIRST_CHECKPOINT: u32 = 64;
/// Generated tokens from one checkpoint to the next, once so many are reached.
///
/// Doubling without end, the age of a generation of 15,000 tokens was a guess
/// from a report that was two minutes old; a guess past the caller's limit
/// counted it as about to end, and its memory was given away.
pub const CHECKPOINT_STEP: u32 = 1_024;
/// Returns whether a running request tells its home that it has generated `tokens`.
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
