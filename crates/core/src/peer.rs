//! Messages between instances.
//!
//! Each part of the core defines its own messages next to its decisions; this
//! module only gathers them. `docs/design/peer-protocol.md` describes the
//! frames and the handshake that carry them.

use serde::{Deserialize, Serialize};

/// One frame between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The catalogue revision in force at the sender. Riding on every message,
    /// it heals a missed push with the next message of any kind.
    pub catalogue_revision: u64,
    /// The revision of the list of instances at the sender.
    pub list_revision: u64,
    /// The messages, in order.
    pub messages: Vec<PeerMessage>,
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Keeps a link alive while there is traffic to protect.
    Heartbeat,
    /// Who is there.
    Membership(crate::membership::MembershipMessage),
    /// Between an entry and the home of a cell.
    Cell(crate::cell::CellMessage),
    /// Who may run under a ticket or key.
    Keys(crate::keys::KeysMessage),
}
