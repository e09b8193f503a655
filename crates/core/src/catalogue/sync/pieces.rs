//! Values cut into pieces and put together again.

use super::message::{PIECE_BYTES, Piece};
use crate::catalogue::{Digest, MAX_VALUE_BYTES};

/// Returns the piece of `bytes` that starts at `offset`, or `None` beyond the end.
pub fn cut(bytes: &[u8], offset: u32) -> Option<Piece> {
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

/// What putting in a piece led to.
#[derive(Debug, PartialEq, Eq)]
pub enum Progress {
    /// The piece at this offset is needed next.
    More(u32),
    /// The value is whole and has the right digest.
    Whole(Vec<u8>),
    /// The piece does not fit, or the value has another digest.
    Wrong,
}

/// A value that is being put together.
#[derive(Clone, Debug)]
pub struct Assembly {
    digest: Digest,
    bytes: Vec<u8>,
}

impl Assembly {
    /// Starts a value that will have this digest.
    pub fn new(digest: Digest) -> Self {
        Assembly {
            digest,
            bytes: Vec::new(),
        }
    }

    /// Returns the digest that the value will have.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Adds the next piece.
    ///
    /// A piece is taken only at the place where the value ends so far, so a
    /// repeated or crossed piece can neither damage nor grow it.
    pub fn add(&mut self, piece: &Piece) -> Progress {
        let total = piece.total as usize;
        let fits = piece.offset as usize == self.bytes.len()
            && total <= MAX_VALUE_BYTES
            && piece.bytes.len() <= PIECE_BYTES
            && self.bytes.len() + piece.bytes.len() <= total;
        let stuck = piece.bytes.is_empty() && total > 0;
        if !fits || stuck {
            return Progress::Wrong;
        }
        self.bytes.extend_from_slice(&piece.bytes);
        if self.bytes.len() < total {
            return Progress::More(self.bytes.len() as u32);
        }
        if Digest::of(&self.bytes) != self.digest {
            return Progress::Wrong;
        }
        Progress::Whole(core::mem::take(&mut self.bytes))
    }
}
