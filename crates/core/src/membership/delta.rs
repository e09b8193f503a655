//! Changes between two revisions of the list.
//!
//! At the size to design for the whole list is about 60 KB and changes a few
//! hundred times a day; sending it whole to every instance would use up a
//! watcher's budget for control traffic. Peers therefore exchange changes, and
//! fall back to the whole list when a digest shows that they differ.

use super::list::{EndpointRecord, InstanceList, InstanceRecord};
use serde::{Deserialize, Serialize};

/// What turns one list into another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// The revision that it applies to.
    pub from: u64,
    /// The revision that it leads to.
    pub to: u64,
    /// Digest of the resulting list.
    pub digest: u64,
    /// Instances that are new or different.
    pub instances: Vec<InstanceRecord>,
    /// Names of instances that are gone.
    pub instances_gone: Vec<String>,
    /// Endpoints that are new or different.
    pub endpoints: Vec<EndpointRecord>,
    /// Names of endpoints that are gone.
    pub endpoints_gone: Vec<String>,
}

/// A record that is found by name.
trait Named: Clone + PartialEq {
    fn name(&self) -> &str;
}

impl Named for InstanceRecord {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for EndpointRecord {
    fn name(&self) -> &str {
        &self.name
    }
}

/// Returns the changes from `old` to `new`; both must be normalised.
pub fn list_delta(old: &InstanceList, new: &InstanceList) -> ListDelta {
    let (instances, instances_gone) = diff(&old.instances, &new.instances);
    let (endpoints, endpoints_gone) = diff(&old.endpoints, &new.endpoints);
    ListDelta {
        from: old.revision,
        to: new.revision,
        digest: new.digest(),
        instances,
        instances_gone,
        endpoints,
        endpoints_gone,
    }
}

/// Returns the list that `delta` leads to, or `None` if it does not fit `old`.
pub fn apply_delta(old: &InstanceList, delta: &ListDelta) -> Option<InstanceList> {
    if delta.from != old.revision {
        return None;
    }
    let mut list = InstanceList {
        revision: delta.to,
        instances: merge(&old.instances, &delta.instances, &delta.instances_gone),
        endpoints: merge(&old.endpoints, &delta.endpoints, &delta.endpoints_gone),
    };
    list.normalise();
    (list.digest() == delta.digest).then_some(list)
}

fn find<'a, R: Named>(records: &'a [R], name: &str) -> Option<&'a R> {
    let at = records.binary_search_by(|it| it.name().cmp(name)).ok()?;
    records.get(at)
}

fn diff<R: Named>(old: &[R], new: &[R]) -> (Vec<R>, Vec<String>) {
    let changed = new.iter().filter(|it| find(old, it.name()) != Some(it));
    let gone = old.iter().filter(|it| find(new, it.name()).is_none());
    (
        changed.cloned().collect(),
        gone.map(|it| it.name().to_owned()).collect(),
    )
}

fn merge<R: Named>(old: &[R], changed: &[R], gone: &[String]) -> Vec<R> {
    let replaced = |it: &&R| changed.iter().any(|new| new.name() == it.name());
    let dropped = |it: &&R| gone.iter().any(|name| name == it.name());
    let kept = old.iter().filter(|it| !replaced(it) && !dropped(it));
    kept.chain(changed).cloned().collect()
}
