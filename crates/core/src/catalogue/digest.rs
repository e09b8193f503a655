//! SHA-256 digests of published values and of bearer keys.

use core::fmt;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Number of characters of a hexadecimal digest.
const HEX_CHARS: usize = 64;

/// A SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Returns the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Digest(Sha256::digest(bytes).into())
    }

    /// Parses 64 hexadecimal digits of either case. Returns `None` for other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != HEX_CHARS {
            return None;
        }
        let mut digest = [0; 32];
        for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            *byte = hex_value(pair[0])? << 4 | hex_value(pair[1])?;
        }
        Some(Digest(digest))
    }
}

fn hex_value(digit: u8) -> Option<u8> {
    char::from(digit).to_digit(16).map(|value| value as u8)
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Returns the number of the shard that holds the workspace with this key digest.
///
/// The number is the first eight bytes of the digest as a big-endian integer, modulo `count`.
/// SHA-256 is uniformly distributed without further hashing, and publishers can compute the number
/// with any tool. A `count` of zero yields shard zero.
pub fn shard_of(key_digest: &[u8; 32], count: u32) -> u32 {
    let [a, b, c, d, e, f, g, h, ..] = *key_digest;
    let head = u64::from_be_bytes([a, b, c, d, e, f, g, h]);
    (head % u64::from(count.max(1))) as u32
}
