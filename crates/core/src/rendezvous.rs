//! Rendezvous hashing: every instance computes the same home from the same list.
//!
//! Instances share no writable state, so they cannot elect a decision maker. Instead, each instance
//! scores every live instance against a key, and the instance with the highest score is the key's
//! *home*, which decides for the key. When an instance leaves, only its own keys move, each to the
//! instance that ranks next. See `docs/design/placement.md`.

use crate::ids::InstanceKey;
use core::cmp::Reverse;

/// An instance that may become a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceKey,
    /// Whether it ranks before all candidates that are not preferred, for example because it shares
    /// the data centre of the endpoints of a cell.
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

/// Sort key of candidates for one key; the greatest ranks first.
type Rank = (bool, u64, Reverse<InstanceKey>);

/// Usual maximum number of requested candidates, for the initial allocation.
const SMALL_LIMIT: usize = 8;

/// Returns the rendezvous score of `node` for `key`.
///
/// Both are already hashes of names, so a finaliser that mixes their combination is sufficient. It
/// is an order of magnitude cheaper than hashing the names again for each pair.
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

/// Fills `buf` with the first `limit` candidates for `key`, best first.
pub fn rank(
    key: u64,
    candidates: impl Iterator<Item = Candidate>,
    limit: usize,
    buf: &mut Vec<InstanceKey>,
) {
    let mut best: Vec<Rank> = Vec::with_capacity(limit.min(SMALL_LIMIT) + 1);
    for rank in candidates.map(|it| rank_of(key, it)) {
        // The homes of all cells are ranked again when an instance comes or goes, and sorting all
        // candidates to select a few would dominate that cost.
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
