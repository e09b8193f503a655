//! Data centres that the operator closed to new work.
//!
//! A cordon is one small value per data centre, not a change of its endpoints' records. Endpoints
//! that register later are covered as well, and lifting the cordon rewrites no records. Cordons are
//! ordered by the store's revision. The last one is remembered even if it was lifted, so that a
//! delayed older one has no effect.
//!
//! See `docs/design/shifted-work.md` for the design.

use super::revision::{Epoch, Revision};
use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Upper bound of remembered data centres. Beyond it the lifted cordon with the lowest revision is
/// dropped, since operators may write any name.
const MAX_REMEMBERED: usize = 256;

/// The state of one data centre as set by the operator and sent between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordon {
    /// The name of the data centre.
    pub data_centre: String,
    /// The store's revision at which it was written or removed.
    pub revision: Revision,
    /// Whether the data centre is closed to new work.
    pub is_closed: bool,
}

/// The last known state of one data centre.
#[derive(Clone, Copy, Debug)]
struct Known {
    revision: Revision,
    is_closed: bool,
    since: Time,
}

/// The last known cordons of all data centres.
#[derive(Clone, Debug, Default)]
pub struct Cordons {
    known: BTreeMap<String, Known>,
}

/// The effect of a cordon on the state of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonEffect {
    /// The same or a newer revision is already known.
    Outdated,
    /// Its revision is newer, but its state is the same.
    Unchanged,
    /// The data centre is now closed, or open again.
    Changed,
}

impl Cordons {
    /// Applies a cordon unless it is outdated.
    pub fn apply(&mut self, now: Time, cordon: &Cordon) -> CordonEffect {
        let known = self.known.get(&cordon.data_centre);
        if known.is_some_and(|it| it.revision >= cordon.revision) {
            return CordonEffect::Outdated;
        }
        let was_closed = known.is_some_and(|it| it.is_closed);
        let is_same = was_closed == cordon.is_closed;
        let since = known.filter(|_| is_same).map_or(now, |it| it.since);
        self.known.insert(
            cordon.data_centre.clone(),
            Known {
                revision: cordon.revision,
                is_closed: cordon.is_closed,
                since,
            },
        );
        self.forget_oldest();
        match is_same {
            true => CordonEffect::Unchanged,
            false => CordonEffect::Changed,
        }
    }

    /// Returns whether a data centre is closed to new work.
    pub fn is_closed(&self, data_centre: &str) -> bool {
        self.known.get(data_centre).is_some_and(|it| it.is_closed)
    }

    /// Returns whether `cordon` lifts one that is known from an earlier epoch of the store.
    ///
    /// The store may only lack the cordon because its copy is older, and the operator's decision is
    /// written again.
    pub fn lifts_earlier_epoch(&self, cordon: &Cordon) -> bool {
        let known = self.known.get(&cordon.data_centre);
        known.is_some_and(|it| {
            it.is_closed && !cordon.is_closed && it.revision.epoch < cordon.revision.epoch
        })
    }

    /// Returns the cordons in force that are known from an epoch before `epoch`.
    pub fn closed_before(&self, epoch: Epoch) -> Vec<Cordon> {
        let mut closed = self.closed_cordons();
        closed.retain(|it| it.revision.epoch < epoch);
        closed
    }

    /// Returns the cordons in force.
    pub fn closed_cordons(&self) -> Vec<Cordon> {
        let closed = self.closed();
        let closed = closed.map(|(name, revision, _)| Cordon {
            data_centre: name.to_owned(),
            revision,
            is_closed: true,
        });
        closed.collect()
    }

    /// Returns when the cordon of a data centre was lifted, or `None` if it is closed or never had
    /// one.
    pub fn lifted_at(&self, data_centre: &str) -> Option<Time> {
        let known = self.known.get(data_centre)?;
        (!known.is_closed).then_some(known.since)
    }

    /// Returns the closed data centres with the revision and the time since when each is closed.
    pub fn closed(&self) -> impl Iterator<Item = (&str, Revision, Time)> {
        let closed = self.known.iter().filter(|(_, it)| it.is_closed);
        closed.map(|(name, it)| (name.as_str(), it.revision, it.since))
    }

    fn forget_oldest(&mut self) {
        if self.known.len() <= MAX_REMEMBERED {
            return;
        }
        let lifted = self.known.iter().filter(|(_, it)| !it.is_closed);
        let oldest = lifted.min_by_key(|(_, it)| it.revision);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.known.remove(&name);
        }
    }
}
