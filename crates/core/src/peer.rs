//! Messages between instances.
//!
//! Each part of the core defines its own messages next to its decisions; this module combines them.
//! `docs/design/peer-protocol.md` describes the frames and the handshake that carry them.

use core::fmt;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::borrow::Cow;

/// One frame between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The catalogue revision in force at the sender. Because every message carries it, any message
    /// makes up for a catalogue announcement that was lost.
    pub catalogue_revision: u64,
    /// The revision of the list of instances in force at the sender.
    pub list_revision: u64,
    /// The messages, in order; at most [`MAX_MESSAGES`].
    #[serde(deserialize_with = "bounded_messages")]
    pub messages: Vec<PeerMessage>,
}

impl PeerEnvelope {
    /// Returns the part of the envelope that a peer with this protocol version can decode, or
    /// `None` if it can decode none of the messages. A message that the peer cannot decode would
    /// end its link.
    pub fn readable_by(&self, version: u16) -> Option<Cow<'_, PeerEnvelope>> {
        if self.messages.iter().all(|it| it.since() <= version) {
            return Some(Cow::Borrowed(self));
        }
        let readable = self.messages.iter().filter(|it| it.since() <= version);
        let messages: Vec<PeerMessage> = readable.cloned().collect();
        if messages.is_empty() {
            return None;
        }
        Some(Cow::Owned(PeerEnvelope { messages, ..*self }))
    }
}

/// Maximum number of messages in one envelope.
///
/// One byte of a frame can encode a whole message, so without a limit a frame of one megabyte could
/// expand to a hundred times its size in memory.
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
    /// Keeps a link alive that is in use.
    Heartbeat,
    /// Membership of instances and endpoints.
    Membership(crate::membership::MembershipMessage),
    /// The catalogue and its shards.
    Catalogue(crate::catalogue::sync::CatalogueMessage),
    /// Leases of limits.
    Limits(crate::limits::LimitsMessage),
    /// Between an entry instance and the home of a cell.
    Cell(crate::cell::CellMessage),
    /// Claims of tickets and idempotency keys.
    Keys(crate::keys::KeysMessage),
    /// Crash records of suspects.
    Suspects(Vec<crate::suspects::CrashRecord>),
    /// What the sender runs of suspects, and the run leases that it requests.
    RunLeaseReport(crate::suspects::RunLeaseReport),
    /// The answer of the home of suspects.
    RunLeaseAnswer(crate::suspects::RunLeaseAnswer),
}

impl PeerMessage {
    /// Returns the first protocol version that contains the message.
    pub const fn since(&self) -> u16 {
        match self {
            PeerMessage::Heartbeat
            | PeerMessage::Membership(_)
            | PeerMessage::Catalogue(_)
            | PeerMessage::Limits(_)
            | PeerMessage::Cell(_)
            | PeerMessage::Keys(_) => 1,
            PeerMessage::Suspects(_)
            | PeerMessage::RunLeaseReport(_)
            | PeerMessage::RunLeaseAnswer(_) => 2,
        }
    }
}
