//! Data centres that the operator closed to new work.
//!
//! A cordon is one small value for each data centre and not a change of the records of its
//! endpoints: an endpoint that registers a second later is covered as well, and lifting it writes
//! nothing anew. The store's revision orders the operator's words; the last one is remembered
//! also when it lifted the cordon, so that an older one that travels slowly changes nothing.
//!
//! `docs/design/shifted-work.md` weighs the design.

use crate::time::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Data centres that are remembered at most. Beyond it the lifted cordon with the lowest
/// revision is forgotten: operators may write any name.
const MAX_REMEMBERED: usize = 256;

/// The operator's last word about a data centre, as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordon {
    /// The name of the data centre.
    pub data_centre: String,
    /// The store's revision that wrote or removed it.
    pub revision: u64,
    /// Whether the data centre is closed to new work.
    pub is_closed: bool,
}

/// What is known of one data centre.
#[derive(Clone, Copy, Debug)]
struct Known {
    revision: u64,
    is_closed: bool,
    since: Time,
}

/// The operator's last words about all data centres.
#[derive(Clone, Debug, Default)]
pub struct Cordons {
    known: BTreeMap<String, Known>,
}

/// What a word of the operator is to an instance that hears it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CordonEffect {
    /// A later word is known already, or this one.
    Outdated,
    /// It is later than what was known, and says the same.
    Unchanged,
    /// The data centre is closed now, or open again.
    Changed,
}

impl Cordons {
    /// Takes in a word of the operator.
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

    /// Returns since when a data centre is open again, if a cordon of it was lifted.
    pub fn lifted_at(&self, data_centre: &str) -> Option<Time> {
        let known = self.known.get(data_centre)?;
        (!known.is_closed).then_some(known.since)
    }

    /// Returns the data centres that are closed, with the revision and since when.
    pub fn closed(&self) -> impl Iterator<Item = (&str, u64, Time)> {
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
