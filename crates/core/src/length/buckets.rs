//! Logarithmic length buckets, four per doubling.

/// Number of buckets.
pub const COUNT: usize = 64;

/// Each length below this has its own bucket; a power of two, in tokens.
const LINEAR: u32 = 8;
/// The binary logarithm of [`LINEAR`].
const LINEAR_LOG2: u32 = LINEAR.trailing_zeros();

/// Returns the bucket of an answer of `tokens` tokens.
pub fn bucket_of(tokens: u32) -> usize {
    if tokens < LINEAR {
        return tokens as usize;
    }
    let log2 = 31 - tokens.leading_zeros();
    let quarter = (tokens >> (log2 - 2)) & 3;
    let bucket = LINEAR + (log2 - LINEAR_LOG2) * 4 + quarter;
    (bucket as usize).min(COUNT - 1)
}

/// Returns the shortest length in `bucket`, which may be one past the last.
pub const fn lower_edge(bucket: usize) -> u32 {
    let bucket = bucket as u32;
    if bucket < LINEAR {
        return bucket;
    }
    let log2 = LINEAR_LOG2 + (bucket - LINEAR) / 4;
    (4 + (bucket - LINEAR) % 4) << (log2 - 2)
}
