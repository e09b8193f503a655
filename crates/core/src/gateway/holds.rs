//! Room that a home holds for generations that must move.
//!
//! A generation whose engine leaves is lost unless another engine has room for a copy. While such a
//! copy waits, room becomes free in pieces that are smaller than it, and new requests would take
//! each of them. The home therefore holds one engine for it, where room can accumulate.

use super::usage::{PeerUsage, Usage};
use crate::ids::EndpointKey;
use std::collections::BTreeMap;

/// The room that is held for pre-copies that wait, during one decision of a home.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    /// The most urgent priority among the generations that wait, by engine.
    priorities: BTreeMap<EndpointKey, u8>,
    /// The usage of engines including what is held; `None` if nothing is.
    usage: Option<PeerUsage>,
}

impl Holds {
    /// Holds room at `engine` for a copy of a generation; `used` is the usage without any hold.
    pub fn hold(&mut self, used: &PeerUsage, engine: EndpointKey, priority: u8, tokens: u32) {
        let most_urgent = self.priorities.entry(engine).or_insert(priority);
        *most_urgent = priority.min(*most_urgent);
        let held = Usage {
            copy_tokens: tokens,
            ..Usage::default()
        };
        let usage = self.usage.get_or_insert_with(|| used.clone());
        usage.add(engine, held);
    }

    /// Adds a grant to `used`, and to the usage with holds.
    pub fn grant(&mut self, used: &mut PeerUsage, engine: EndpointKey, grant: Usage) {
        used.add(engine, grant);
        if let Some(usage) = &mut self.usage {
            usage.add(engine, grant);
        }
    }

    /// Returns the usage of engines including what is held; `used` is the usage without any hold.
    pub fn beside<'a>(&'a self, used: &'a PeerUsage) -> &'a PeerUsage {
        self.usage.as_ref().unwrap_or(used)
    }

    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.priorities.is_empty()
    }

    /// Returns the most urgent priority for which room is held at `engine`.
    pub fn priority_at(&self, engine: EndpointKey) -> Option<u8> {
        self.priorities.get(&engine).copied()
    }

    /// Returns the most urgent priority for which room is held at any engine.
    pub fn most_urgent(&self) -> Option<u8> {
        self.priorities.values().copied().min()
    }
}
