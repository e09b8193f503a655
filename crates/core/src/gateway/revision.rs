//! Revisions of the store, and the history that they belong to.
//!
//! The store counts its revisions within one history. If it comes back from an older copy, it gives
//! the same numbers to other changes, so that numbers of two histories cannot be compared. Each
//! history has an [`Epoch`], which later ones exceed. See `docs/design/platform.md`.

use core::fmt;
use serde::{Deserialize, Serialize};

/// A history of the store. A store that does not state its epoch has a single one, the default.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
