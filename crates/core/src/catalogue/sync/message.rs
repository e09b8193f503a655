//! Messages between instances about the catalogue.

use crate::catalogue::Digest;
use serde::{Deserialize, Serialize};

/// The most bytes of a value in one message. A value goes piece by piece, each
/// asked for, so that neither a link's queue nor a sender has to hold it whole.
pub const PIECE_BYTES: usize = 32 * 1024;

/// Which shard of which catalogue, by content.
///
/// Two revisions that share a shard share its id, so a shard that did not
/// change is neither fetched nor verified again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// Its number.
    pub number: u32,
    /// Shards in all.
    pub count: u32,
    /// The digest of its bytes.
    pub digest: Digest,
}

/// A part of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Where the part starts.
    pub offset: u32,
    /// Bytes of the whole value.
    pub total: u32,
    /// The part, at most [`PIECE_BYTES`].
    pub bytes: Vec<u8>,
}

/// One step that turns an earlier index into a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Edit {
    /// Take over so many lines.
    Keep(u32),
    /// Leave out so many lines.
    Skip(u32),
    /// Put in this text.
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
    /// Asks for the index in force at the receiver.
    IndexWanted {
        /// The index that the asker holds, to be sent only what changed since.
        have: Option<Digest>,
    },
    /// Asks for a further piece of an index.
    IndexMore {
        /// The digest of the index.
        digest: Digest,
        /// Where the piece starts.
        offset: u32,
    },
    /// A piece of the index in force.
    IndexPiece {
        /// The digest of the index.
        digest: Digest,
        /// The piece.
        piece: Piece,
    },
    /// What changed from one index to the one in force.
    IndexDelta {
        /// The digest of the index to start from.
        from: Digest,
        /// The digest of the index that results.
        to: Digest,
        /// The changes, in order.
        edits: Vec<Edit>,
    },
    /// The receiver's question for an index cannot be answered.
    IndexAbsent,
    /// Asks for a piece of a shard.
    ShardWanted {
        /// The shard.
        id: ShardId,
        /// Where the piece starts.
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
