//! Deltas between two revisions of the list.
//!
//! At the design fleet size, the full list is about 60 KB and changes a few hundred times a day.
//! Sending it in full to every instance would exhaust a watcher's budget for control traffic. Peers
//! therefore exchange deltas, and fall back to the full list when a digest shows that they differ.

use super::list::{EndpointRecord, InstanceList, InstanceRecord};
use serde::{Deserialize, Serialize};

/// The difference between two revisions of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta {
    /// The revision to which it applies.
    pub from: u64,
    /// The resulting revision.
    pub to: u64,
    /// Digest of the resulting list.
    pub digest: u64,
    /// New and changed instances.
    pub instances: Vec<InstanceRecord>,
    /// Names of removed instances.
    pub instances_gone: Vec<String>,
    /// New and changed endpoints.
    pub endpoints: Vec<EndpointRecord>,
    /// Names of removed endpoints.
    pub endpoints_gone: Vec<String>,
}

/// A record that is identified by its name.
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

/// Returns the delta from `old` to `new`; both must be normalised.
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

/// Returns the list that results from `delta`, or `None` if it does not apply to `old`.
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
