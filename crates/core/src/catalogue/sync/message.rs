//! Messages between instances about the catalogue.

use crate::catalogue::Digest;
use serde::{Deserialize, Serialize};

/// Maximum size of the part of a value that one message carries. The receiver requests each piece,
/// so that neither a link's queue nor the sender has to buffer the full value.
pub const PIECE_BYTES: usize = 32 * 1024;

/// Identifies a shard of a catalogue by its content.
///
/// A shard that is unchanged between two revisions has the same id in both, so it is neither
/// fetched nor verified again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The number of the shard.
    pub number: u32,
    /// The number of shards of the catalogue.
    pub count: u32,
    /// The digest of its bytes.
    pub digest: Digest,
}

/// A part of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The offset of the part, in bytes.
    pub offset: u32,
    /// The size of the full value, in bytes.
    pub total: u32,
    /// The part, at most [`PIECE_BYTES`] long.
    pub bytes: Vec<u8>,
}

/// One step that turns an earlier index into a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Copy this number of lines.
    Keep(u32),
    /// Omit this number of lines.
    Skip(u32),
    /// Insert this text.
    Insert(String),
}

/// A message about the catalogue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CatalogueMessage {
    /// The sender has this revision in force.
    InForce {
        /// The revision.
        revision: u64,
        /// The digest of its index.
        digest: Digest,
    },
    /// Requests the index in force at the receiver.
    IndexWanted {
        /// The index that the sender holds, so that the receiver can send only the changes.
        have: Option<Digest>,
    },
    /// Requests another piece of an index.
    IndexMore {
        /// The digest of the index.
        digest: Digest,
        /// The offset of the piece, in bytes.
        offset: u32,
    },
    /// A piece of the index in force.
    IndexPiece {
        /// The digest of the index.
        digest: Digest,
        /// The piece.
        piece: Piece,
    },
    /// The changes from an earlier index to the one in force.
    IndexDelta {
        /// The digest of the index to start from.
        from: Digest,
        /// The digest of the index that results.
        to: Digest,
        /// The changes, in order.
        edits: Vec<Edit>,
    },
    /// The sender cannot provide the requested index.
    IndexAbsent,
    /// Requests a piece of a shard.
    ShardWanted {
        /// The shard.
        id: ShardId,
        /// The offset of the piece, in bytes.
        offset: u32,
    },
    /// A piece of a shard.
    ShardPiece {
        /// The shard.
        id: ShardId,
        /// The piece.
        piece: Piece,
    },
    /// The sender does not hold the shard and will not get it.
    ShardAbsent {
        /// The shard.
        id: ShardId,
    },
}
