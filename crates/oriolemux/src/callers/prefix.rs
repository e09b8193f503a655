//! Hashes the leading blocks of a prompt.
//!
//! Prompts with a common prefix have the same leading hashes, so the router can send them to the
//! endpoint that holds the prefix in its KV cache.

use oriolemux_core::ids::stable_hash;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 256;

/// The most blocks that are hashed. Cache affinity gains little from longer prefixes, and messages
/// between instances should not grow with the prompt.
pub const MAX_BLOCKS: usize = 32;

/// Returns the hashes of the full blocks at the start of `prompt`, longest prefix last. Each hash
/// covers its block and all blocks before it.
pub fn prefix_hashes(prompt: &[u8]) -> Vec<u64> {
    let mut hash = 0;
    prompt
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            hash = stable_hash(&[&u64::to_le_bytes(hash), block]);
            hash
        })
        .collect()
}
