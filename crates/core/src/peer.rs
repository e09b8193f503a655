//! Messages between instances.
//!
//! Each part of the core defines its own messages next to its decisions; this
//! module only gathers them. `docs/design/peer-protocol.md` describes the
//! frames and the handshake that carry them.

use core::fmt;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

/// One frame between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The catalogue revision in force at the sender. Riding on every message,
    /// it heals a missed push with the next message of any kind.
    pub catalogue_revision: u64,
    /// The revision of the list of instances at the sender.
    pub list_revision: u64,
    /// The messages, in order; at most [`MAX_MESSAGES`].
    #[serde(deserialize_with = "bounded_messages")]
    pub messages: Vec<PeerMessage>,
}

/// The most messages of one envelope.
///
/// One byte of a frame can stand for a whole message, so that without a bound
/// a frame of a megabyte would unfold to a hundred times its size.
pub const MAX_MESSAGES: usize = 4096;

struct BoundedMessages;

impl<'de> Visitor<'de> for BoundedMessages {
    type Value = Vec<PeerMessage>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {MAX_MESSAGES} messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let announced = seq.size_hint().unwrap_or(0);
        if announced > MAX_MESSAGES {
            return Err(A::Error::invalid_length(announced, &self));
        }
        let mut messages = Vec::with_capacity(announced.min(16));
        while let Some(message) = seq.next_element()? {
            if messages.len() == MAX_MESSAGES {
                return Err(A::Error::invalid_length(MAX_MESSAGES + 1, &self));
            }
            messages.push(message);
        }
        Ok(messages)
    }
}

fn bounded_messages<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<PeerMessage>, D::Error> {
    from.deserialize_seq(BoundedMessages)
}

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Keeps a link alive while there is traffic to protect.
    Heartbeat,
    /// Who is there.
    Membership(crate::membership::MembershipMessage),
    /// The catalogue and its shards.
    Catalogue(crate::catalogue::sync::CatalogueMessage),
    /// Leases of limits.
    Limits(crate::limits::LimitsMessage),
    /// Between an entry and the home of a cell.
    Cell(crate::cell::CellMessage),
    /// Who may run under a ticket or key.
    Keys(crate::keys::KeysMessage),
}
