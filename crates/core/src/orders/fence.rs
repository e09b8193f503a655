//! Fencing numbers.
//!
//! The upper half of a fencing number is the revision of the published list, the lower half a
//! counter of the controller. A replaced controller holds an older list, so its numbers are lower
//! than those of its successor without any shared state.

/// Position of the list's revision in a fencing number, in bits.
pub const FENCE_REVISION_SHIFT: u32 = 32;

/// Returns the number of the next order by a controller that holds list `revision` and last used
/// `last`, to an endpoint that has seen `highest`.
///
/// Returns `None` if the endpoint has seen a number of a later revision. Then this controller was
/// replaced, and its orders would be based on a stale list.
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
    // An overflowing counter would look like a revision that does not exist yet.
    if next >> FENCE_REVISION_SHIFT == revision {
        Some(next)
    } else {
        None
    }
}
