//! Rendezvous hashing: every instance computes the same home from the same list.
//!
//! Nothing may be written to shared state, so a decision maker cannot be
//! elected. Instead each instance scores every live instance against a key and
//! the highest score is the key's *home*. When an instance leaves, only the
//! keys that it was home for move, each to the instance that was next in rank.
//! See `docs/design/placement.md`.

use crate::ids::InstanceKey;
use core::cmp::Reverse;

/// One instance that may become a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceKey,
    /// Whether it is preferred over all that are not, for example because it
    /// shares the data centre of the endpoints that it would decide for.
    pub is_preferred: bool,
}

impl Candidate {
    /// Returns a candidate without any preference.
    pub const fn anywhere(instance: InstanceKey) -> Self {
        Candidate {
            instance,
            is_preferred: false,
        }
    }
}

/// The order of candidates for one key; the greatest ranks first.
type Rank = (bool, u64, Reverse<InstanceKey>);

/// Candidates that are usually asked for at most.
const SMALL_LIMIT: usize = 8;

/// Returns how strongly `node` is drawn to `key`.
///
/// Both are already hashes of names, so a finaliser that mixes their
/// combination is enough, and is an order of magnitude cheaper than hashing
/// the names again for each pair.
pub const fn score(key: u64, node: u64) -> u64 {
    let mut x = key ^ node.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

fn rank_of(key: u64, candidate: Candidate) -> Rank {
    let score = score(key, candidate.instance.0);
    (candidate.is_preferred, score, Reverse(candidate.instance))
}

/// Returns the home of `key`, or `None` if there is no candidate.
pub fn first(key: u64, candidates: impl Iterator<Item = Candidate>) -> Option<InstanceKey> {
    candidates
        .max_by_key(|&candidate| rank_of(key, candidate))
        .map(|candidate| candidate.instance)
}

/// Fills `buf` with the `limit` first candidates for `key`, best first.
pub fn rank(
    key: u64,
    candidates: impl Iterator<Item = Candidate>,
    limit: usize,
    buf: &mut Vec<InstanceKey>,
) {
    let mut best: Vec<Rank> = Vec::with_capacity(limit.min(SMALL_LIMIT) + 1);
    for rank in candidates.map(|it| rank_of(key, it)) {
        // Homes of all cells are ranked anew when an instance comes or goes;
        // sorting all candidates for the sake of a few would be most of that.
        if best.len() == limit && best.last().is_none_or(|it| *it >= rank) {
            continue;
        }
        let at = best.partition_point(|it| *it > rank);
        best.insert(at, rank);
        best.truncate(limit);
    }
    buf.clear();
    buf.extend(best.iter().map(|rank| rank.2.0));
}
