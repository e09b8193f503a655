//! A catalogue revision in force never reverts, and the last one is in force
//! everywhere in the end.

use super::evidence::{Evidence, RevisionSeen};
use super::{Promise, Violations};
use std::collections::BTreeMap;

/// Checks the revisions seen at every instance, over all of its lives.
///
/// No revision at all is no revert: an instance that has just started and has
/// no catalogue refuses requests.
pub fn check(evidence: &Evidence, found: &mut Violations) {
    let mut by_instance: BTreeMap<&str, Vec<&RevisionSeen>> = BTreeMap::new();
    for seen in &evidence.revisions {
        by_instance.entry(&seen.instance).or_default().push(seen);
    }
    for (instance, mut sightings) in by_instance {
        sightings.sort_by_key(|seen| seen.at_us);
        check_never_falls(instance, &sightings, found);
        check_last(instance, &sightings, evidence.last_revision, found);
    }
}

fn check_never_falls(instance: &str, sightings: &[&RevisionSeen], found: &mut Violations) {
    let mut highest = 0;
    for revision in sightings.iter().filter_map(|seen| seen.revision) {
        if revision < highest {
            let detail = format!("{instance} went from revision {highest} to {revision}");
            found.push(Promise::Catalogue, detail);
        }
        highest = highest.max(revision);
    }
}

fn check_last(
    instance: &str,
    sightings: &[&RevisionSeen],
    last: Option<u64>,
    found: &mut Violations,
) {
    let (Some(last), Some(seen)) = (last, sightings.last()) else {
        return;
    };
    if seen.revision != Some(last) {
        let detail = format!("{instance} ended with {:?}, not {last}", seen.revision);
        found.push(Promise::Catalogue, detail);
    }
}
