//! Index of endpoints by free room, for each requirement in use.

use crate::cell::request::Requirement;
use crate::routing::prefix::EndpointIx;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of requirements that are indexed at once.
const MAX_REQUIREMENTS: usize = 256;

/// Endpoints by free room, for each requirement.
///
/// Invariant: each set contains exactly the endpoints that are not leaving and meet its
/// requirement, with the room that was last set for them.
#[derive(Clone, Debug, Default)]
pub(super) struct RoomIndex {
    sets: BTreeMap<Requirement, BTreeSet<(u32, EndpointIx)>>,
}

impl RoomIndex {
    /// Returns whether endpoints are indexed for `needs`.
    pub fn has(&self, needs: Requirement) -> bool {
        self.sets.contains_key(&needs)
    }

    /// Starts indexing the endpoints that meet `needs`. All other sets are dropped if there are
    /// already [`MAX_REQUIREMENTS`].
    pub fn build(&mut self, needs: Requirement, rooms: impl Iterator<Item = (u32, EndpointIx)>) {
        if self.sets.len() >= MAX_REQUIREMENTS {
            self.sets.clear();
        }
        self.sets.insert(needs, rooms.collect());
    }

    /// Moves an endpoint from room `from` to room `to` in every set whose requirement it `meets`.
    /// `None` means that it is not indexed.
    pub fn set(
        &mut self,
        ix: EndpointIx,
        from: Option<u32>,
        to: Option<u32>,
        meets: impl Fn(Requirement) -> bool,
    ) {
        for (needs, set) in &mut self.sets {
            if let Some(room) = from {
                set.remove(&(room, ix));
            }
            if let Some(room) = to
                && meets(*needs)
            {
                set.insert((room, ix));
            }
        }
    }

    /// Returns the endpoints that meet `needs`, in descending order of free room.
    pub fn roomiest(&self, needs: Requirement) -> impl Iterator<Item = EndpointIx> {
        let set = self.sets.get(&needs);
        set.into_iter()
            .flat_map(|set| set.iter().rev())
            .map(|(_, ix)| *ix)
    }

    /// Returns the number of endpoints that meet `needs`.
    pub fn len(&self, needs: Requirement) -> usize {
        self.sets.get(&needs).map_or(0, BTreeSet::len)
    }
}
