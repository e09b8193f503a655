//! Messages between instances.
//!
//! Each part of the core defines its own messages next to its decisions; this
//! module only gathers them. `docs/design/peer-protocol.md` describes the
//! frames and the handshake that carry them.

use core::fmt;
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use std::borrow::Cow;

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

impl PeerEnvelope {
    /// Returns what a peer that speaks this version can read; nothing if that is no message of
    /// several. What it cannot read would end its link.
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
    /// Requests that end endpoints: what is known of them.
    Suspects(Vec<crate::suspects::CrashRecord>),
    /// What is run and asked for of them.
    RunLeaseReport(crate::suspects::RunLeaseReport),
    /// What their home answers.
    RunLeaseAnswer(crate::suspects::RunLeaseAnswer),
}

impl PeerMessage {
    /// Returns the version of the protocol in which it came.
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
