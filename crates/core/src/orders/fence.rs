//! Fencing numbers.
//!
//! A number is the revision of the published list in the upper half and the
//! giver's own count in the lower. A giver that was replaced holds an older
//! list, so that its numbers are lower than those of the one that replaced it,
//! without anything being written anywhere.

/// Where the list's revision begins in a fencing number.
pub const FENCE_REVISION_SHIFT: u32 = 32;

/// Returns the number of the next order by a giver that holds list `revision`
/// and has used `last`, to an endpoint that has seen `highest`.
///
/// Returns `None` if the endpoint has seen a number of a later revision: then
/// this giver is the one that was replaced, and whatever it would order comes
/// from stale knowledge.
pub const fn next_fence(revision: u64, last: u64, highest: u64) -> Option<u64> {
    if highest >> FENCE_REVISION_SHIFT > revision {
        return None;
    }
    let first = revision << FENCE_REVISION_SHIFT;
    let mut floor = if last > highest { last } else { highest };
    if first > floor {
        floor = first;
    }
    let next = floor + 1;
    // A count that overflows would pass for a revision that does not exist yet.
    if next >> FENCE_REVISION_SHIFT == revision {
        Some(next)
    } else {
        None
    }
}
