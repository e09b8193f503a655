//! Serves the index and shards to peers.

use super::delta::diff;
use super::message::{CatalogueMessage, ShardId};
use super::pieces::piece_at;
use super::{CatalogueSync, Held, SyncAction};
use crate::catalogue::{Digest, MAX_SHARDS};
use crate::ids::InstanceKey;
use crate::time::Time;
use std::sync::Arc;

/// Maximum number of concurrent fetches that only peers requested.
const MAX_FOR_PEERS: usize = 64;

/// Maximum number of peers that wait for one shard. Further requests get `ShardAbsent`, so that the
/// peer tries its next source.
const MAX_WAITING_PEERS: usize = 512;

impl CatalogueSync {
    pub(super) fn on_index_wanted(
        &self,
        to: InstanceKey,
        have: Option<Digest>,
        out: &mut Vec<SyncAction>,
    ) {
        let Some(held) = &self.in_force else {
            let message = CatalogueMessage::IndexAbsent;
            out.push(SyncAction::Send { to, message });
            return;
        };
        let digest = held.catalogue.digest();
        if have == Some(digest) {
            let message = CatalogueMessage::IndexAbsent;
            out.push(SyncAction::Send { to, message });
            return;
        }
        match have.and_then(|have| self.changes_since(have, held)) {
            Some(message) => out.push(SyncAction::Send { to, message }),
            None => self.send_index_piece(to, digest, 0, out),
        }
    }

    fn changes_since(&self, have: Digest, held: &Held) -> Option<CatalogueMessage> {
        let mut history = self.history.iter();
        let base = history.find(|former| former.digest == have)?;
        let old = core::str::from_utf8(&base.bytes).ok()?;
        let new = core::str::from_utf8(&held.bytes).ok()?;
        let edits = diff(old, new)?;
        Some(CatalogueMessage::IndexDelta {
            from: have,
            to: held.catalogue.digest(),
            edits,
        })
    }

    pub(super) fn send_index_piece(
        &self,
        to: InstanceKey,
        digest: Digest,
        offset: u32,
        out: &mut Vec<SyncAction>,
    ) {
        let piece = self.index_bytes(digest).and_then(|it| piece_at(it, offset));
        let message = match piece {
            Some(piece) => CatalogueMessage::IndexPiece { digest, piece },
            None => CatalogueMessage::IndexAbsent,
        };
        out.push(SyncAction::Send { to, message });
    }

    fn index_bytes(&self, digest: Digest) -> Option<&Arc<[u8]>> {
        if let Some(held) = &self.in_force
            && held.catalogue.digest() == digest
        {
            return Some(&held.bytes);
        }
        let mut history = self.history.iter();
        let former = history.find(|former| former.digest == digest)?;
        Some(&former.bytes)
    }

    pub(super) fn on_shard_wanted(
        &mut self,
        now: Time,
        to: InstanceKey,
        id: ShardId,
        offset: u32,
        out: &mut Vec<SyncAction>,
    ) {
        if let Some(bytes) = self.kept.get(id) {
            return send_piece(to, id, bytes, offset, out);
        }
        if !self.may_fetch_for(to, id) {
            let message = CatalogueMessage::ShardAbsent { id };
            out.push(SyncAction::Send { to, message });
            return;
        }
        let fetch = self.fetch(now, id);
        if !fetch.waiting_peers.contains(&to) {
            fetch.waiting_peers.push(to);
        }
        self.advance_fetches(now, out);
    }

    /// Returns whether this instance fetches, on behalf of a peer, a shard that it does not hold.
    fn may_fetch_for(&self, peer: InstanceKey, id: ShardId) -> bool {
        let sound = id.number < id.count && id.count as usize <= MAX_SHARDS;
        if !sound || !self.roles.keeps(id) {
            return false;
        }
        match self.fetches.open.get(&id) {
            Some(fetch) => {
                // Two instances that regard each other as the reader would wait for each other
                // until both time out.
                !fetch.is_requested_from(peer) && fetch.waiting_peers.len() < MAX_WAITING_PEERS
            }
            None => {
                let open = self.fetches.open.values();
                let for_peers = open.filter(|fetch| !fetch.verify && !fetch.hold);
                for_peers.count() < MAX_FOR_PEERS
            }
        }
    }
}

/// Sends a peer the piece of a shard that starts at `offset`.
pub(super) fn send_piece(
    to: InstanceKey,
    id: ShardId,
    bytes: &[u8],
    offset: u32,
    out: &mut Vec<SyncAction>,
) {
    let message = match piece_at(bytes, offset) {
        Some(piece) => CatalogueMessage::ShardPiece { id, piece },
        None => CatalogueMessage::ShardAbsent { id },
    };
    out.push(SyncAction::Send { to, message });
}
