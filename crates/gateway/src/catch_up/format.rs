//! The wire format of a delta of the store's records.
//!
//! One byte names the format, and `bincode` follows. Large deltas are compressed: the entries of a
//! catalogue are repetitive, so LZ4 reduces the 816 KB of 4,000 entries to 84 KB in under a
//! millisecond (deflate reaches 60 KB in two). Links of instances are small, and the transfer takes
//! a tenth of the time.

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use oriolemux_core::gateway::catch_up::LARGE_DELTA_BYTES;
use oriolemux_core::gateway::replica::StoreDelta;

/// The largest delta before compression: twice the store size that the system is designed for.
pub const MAX_DELTA_BYTES: usize = 64 * 1024 * 1024;

/// Uncompressed `bincode`.
const PLAIN: u8 = 0;

/// `bincode` compressed with LZ4, preceded by its length in four bytes.
const COMPRESSED: u8 = 1;

/// Bytes of the length that precedes compressed data.
const LENGTH_BYTES: usize = 4;

/// Why bytes cannot be decoded as a delta.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum FormatError {
    /// unknown format byte {0:?}
    Unknown(Option<u8>),
    /// the stated length of {0} bytes is too large
    TooLarge(usize),
    /// decompression failed: {0}
    Compression(#[from] lz4_flex::block::DecompressError),
    /// not a list of records: {0}
    Records(#[from] bincode::error::DecodeError),
}

fn config() -> Configuration<LittleEndian, Varint, Limit<MAX_DELTA_BYTES>> {
    standard().with_limit::<MAX_DELTA_BYTES>()
}

/// Encodes a delta.
///
/// # Errors
///
/// Fails if the delta is larger than [`MAX_DELTA_BYTES`].
pub fn encode(delta: &StoreDelta) -> Result<Vec<u8>, bincode::error::EncodeError> {
    let mut plain = vec![PLAIN];
    bincode::serde::encode_into_std_write(delta, &mut plain, config())?;
    if plain.len() <= LARGE_DELTA_BYTES {
        return Ok(plain);
    }
    let mut compressed = vec![COMPRESSED];
    compressed.extend(lz4_flex::compress_prepend_size(&plain[1..]));
    Ok(compressed)
}

/// Decodes a delta.
///
/// # Errors
///
/// Returns what is wrong with the bytes. A length above [`MAX_DELTA_BYTES`] is rejected before any
/// memory is allocated for it.
pub fn decode(bytes: &[u8]) -> Result<StoreDelta, FormatError> {
    match bytes.split_first() {
        Some((&PLAIN, rest)) => records(rest),
        Some((&COMPRESSED, rest)) => {
            let length = rest.first_chunk::<LENGTH_BYTES>();
            let length = length.map_or(0, |it| u32::from_le_bytes(*it) as usize);
            if length > MAX_DELTA_BYTES {
                return Err(FormatError::TooLarge(length));
            }
            records(&lz4_flex::decompress_size_prepended(rest)?)
        }
        other => Err(FormatError::Unknown(other.map(|(&first, _)| first))),
    }
}

fn records(bytes: &[u8]) -> Result<StoreDelta, FormatError> {
    let (delta, _) = bincode::serde::decode_from_slice(bytes, config())?;
    Ok(delta)
}
