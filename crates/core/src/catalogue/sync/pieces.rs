//! Splitting values into pieces and reassembling them.

use super::message::{PIECE_BYTES, Piece};
use crate::catalogue::{Digest, MAX_VALUE_BYTES};

/// Returns the piece of `bytes` that starts at `offset`, or `None` beyond the end.
pub fn piece_at(bytes: &[u8], offset: u32) -> Option<Piece> {
    let rest = bytes.get(offset as usize..)?;
    if rest.is_empty() && !bytes.is_empty() {
        return None;
    }
    Some(Piece {
        offset,
        total: bytes.len() as u32,
        bytes: rest[..rest.len().min(PIECE_BYTES)].to_vec(),
    })
}

/// The result of adding a piece to an [`Assembly`].
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// The piece at this offset is needed next.
    More(u32),
    /// The value is complete and has the expected digest.
    Complete(Vec<u8>),
    /// The piece does not follow the previous one, or the value has another digest.
    Invalid,
}

/// A value that is being reassembled from pieces.
#[derive(Clone, Debug)]
pub struct Assembly {
    digest: Digest,
    bytes: Vec<u8>,
}

impl Assembly {
    /// Starts the reassembly of the value with this digest.
    pub fn new(digest: Digest) -> Self {
        Assembly {
            digest,
            bytes: Vec::new(),
        }
    }

    /// Returns the expected digest of the value.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Adds the next piece.
    ///
    /// A piece is accepted only at the current end of the value, so that a duplicate or reordered
    /// piece can neither corrupt nor extend it.
    pub fn add(&mut self, piece: &Piece) -> Progress {
        let total = piece.total as usize;
        let fits = piece.offset as usize == self.bytes.len()
            && total <= MAX_VALUE_BYTES
            && piece.bytes.len() <= PIECE_BYTES
            && self.bytes.len() + piece.bytes.len() <= total;
        let stuck = piece.bytes.is_empty() && total > 0;
        if !fits || stuck {
            return Progress::Invalid;
        }
        self.bytes.extend_from_slice(&piece.bytes);
        if self.bytes.len() < total {
            return Progress::More(self.bytes.len() as u32);
        }
        if Digest::of(&self.bytes) != self.digest {
            return Progress::Invalid;
        }
        Progress::Complete(core::mem::take(&mut self.bytes))
    }
}
