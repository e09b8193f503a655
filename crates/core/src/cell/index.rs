//! Endpoints in the order of their free room, for each requirement in use.

use crate::cell::request::Requirement;
use crate::routing::prefix::EndpointIx;
use std::collections::{BTreeMap, BTreeSet};

/// The most requirements that are indexed at once.
const MAX_REQUIREMENTS: usize = 256;

/// Live endpoints by free room.
///
/// Invariant: each set holds exactly the endpoints that are not leaving and
/// hold its requirement, at the room that they were last set with.
#[derive(Clone, Debug, Default)]
pub(super) struct RoomIndex {
    sets: BTreeMap<Requirement, BTreeSet<(u32, EndpointIx)>>,
}

impl RoomIndex {
    /// Returns whether the endpoints of `needs` are indexed.
    pub fn has(&self, needs: Requirement) -> bool {
        self.sets.contains_key(&needs)
    }

    /// Starts to index the endpoints that hold `needs`.
    pub fn build(&mut self, needs: Requirement, rooms: impl Iterator<Item = (u32, EndpointIx)>) {
        if self.sets.len() >= MAX_REQUIREMENTS {
            self.sets.clear();
        }
        self.sets.insert(needs, rooms.collect());
    }

    /// Moves an endpoint from room `from` to room `to`, in every set whose
    /// requirement it `holds`; `None` stands for not indexed.
    pub fn set(
        &mut self,
        ix: EndpointIx,
        from: Option<u32>,
        to: Option<u32>,
        holds: impl Fn(Requirement) -> bool,
    ) {
        for (needs, set) in &mut self.sets {
            if let Some(room) = from {
                set.remove(&(room, ix));
            }
            if let Some(room) = to
                && holds(*needs)
            {
                set.insert((room, ix));
            }
        }
    }

    /// Returns the endpoints that hold `needs`, the roomiest first.
    pub fn roomiest(&self, needs: Requirement) -> impl Iterator<Item = EndpointIx> {
        let set = self.sets.get(&needs);
        set.into_iter()
            .flat_map(|set| set.iter().rev())
            .map(|(_, ix)| *ix)
    }

    /// Returns how many endpoints hold `needs`.
    pub fn len(&self, needs: Requirement) -> usize {
        self.sets.get(&needs).map_or(0, BTreeSet::len)
    }
}
