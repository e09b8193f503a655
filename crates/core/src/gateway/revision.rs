//! Revisions of the store, and the history that they belong to.
//!
//! The store counts its revisions within one history. If it comes back from an older copy, it gives
//! the same numbers to other changes, so that numbers of two histories cannot be compared. Each
//! history has an [`Epoch`], which later ones exceed, and a [`Revision`] is ordered by its epoch
//! first. See `docs/design/store-epochs.md`.

use core::fmt;
use serde::{Deserialize, Serialize};

/// A history of the store. A store that does not state its epoch has a single one, the default.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of a store that states none.
    pub const UNSTATED: Epoch = Epoch(0);
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A revision of the store. The default precedes all others.
///
/// The order of the fields is the order of revisions.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The history that it belongs to.
    pub epoch: Epoch,
    /// The store's number, which rises with each change of this history.
    pub number: u64,
}

impl Revision {
    /// The revision that precedes all others.
    pub const ZERO: Revision = Revision {
        epoch: Epoch::UNSTATED,
        number: 0,
    };
}
