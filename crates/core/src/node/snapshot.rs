//! The state of a node as shown to operators.

use super::Node;
use super::request::Stage;
use crate::catalogue::sync::Rejection;
use crate::cell::CellSnapshot;
use crate::explain::{Line, Names};
use crate::ids::{CellKey, EndpointKey, InstanceKey, RequestId};
use crate::membership::{CellPlan, View};
use core::time::Duration;

/// Number of requests of this instance's own callers, by stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests that wait for the catalogue.
    pub validating: u32,
    /// Requests that wait for a claim, an admission, a run lease or a grant, or before a retry.
    pub waiting: u32,
    /// Requests that run at an endpoint.
    pub running: u32,
}

/// The state of a node as shown to operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NodeSnapshot {
    /// Whether the instance is ready for new requests: a catalogue and a list are in force and no
    /// planned stop has begun.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// The catalogue revision in force; 0 for none.
    pub catalogue_revision: u64,
    /// The catalogue that was rejected last.
    pub rejection: Option<Rejection>,
    /// The list revision in force; 0 for none.
    pub list_revision: u64,
    /// Time since the list was last confirmed; `None` before the first confirmation.
    pub list_age: Option<Duration>,
    /// Number of entries of the platform's last list that could not be read.
    pub list_unreadable: usize,
    /// Instances that may be homes.
    pub live_instances: u32,
    /// Names of the other instances in the list, and whether the link to each is up.
    pub links: Vec<(String, bool)>,
    /// Requests of this instance's own callers.
    pub requests: RequestCounts,
    /// The cells whose home is this node.
    pub cells: Vec<(CellKey, CellSnapshot)>,
}

/// The names that the list in force publishes.
struct PublishedNames<'a>(&'a View);

impl Names for PublishedNames<'_> {
    fn endpoint(&self, key: EndpointKey) -> Option<&str> {
        Some(&self.0.endpoint(key)?.record.name)
    }

    fn instance(&self, key: InstanceKey) -> Option<&str> {
        Some(&self.0.instance(key)?.record.name)
    }

    fn cell(&self, key: CellKey) -> Option<String> {
        let plan = &self.0.cell(key)?.plan;
        let serves = plan.serves.join(" and ");
        Some(format!("{serves} in {}", plan.data_centre))
    }
}

impl Node {
    /// Returns whether the instance is ready for new requests.
    pub fn is_ready(&self) -> bool {
        let has_list = self.membership.view().revision() > 0;
        has_list && self.sync.catalogue().is_some() && !self.is_stopping()
    }

    /// Returns the state that is shown to operators.
    pub fn snapshot(&self) -> NodeSnapshot {
        NodeSnapshot {
            ready: self.is_ready(),
            stopping: self.is_stopping(),
            catalogue_revision: self.sync.revision(),
            rejection: self.sync.rejection().cloned(),
            list_revision: self.membership.view().revision(),
            list_age: self.membership.list_age(self.now),
            list_unreadable: self.membership.unreadable_entries(),
            live_instances: self.membership.live_count(),
            links: self.links(),
            requests: self.request_counts(),
            cells: self.cell_snapshots(),
        }
    }

    /// Returns the decisions about a request as text, if they are still kept.
    pub fn explain(&self, id: RequestId) -> Option<Vec<Line>> {
        let record = self.explain.record(id)?;
        Some(record.lines(&self.names()))
    }

    /// Returns the names that the list in force publishes.
    pub fn names(&self) -> impl Names {
        PublishedNames(self.membership.view())
    }

    /// Returns the published name of an endpoint.
    pub fn endpoint_name(&self, key: EndpointKey) -> Option<&str> {
        let endpoint = self.membership.view().endpoint(key)?;
        Some(&endpoint.record.name)
    }

    /// Returns the plan of a cell in the list in force.
    pub fn cell_plan(&self, key: CellKey) -> Option<&CellPlan> {
        let cell = self.membership.view().cell(key)?;
        Some(&cell.plan)
    }

    /// Returns whether the link to a peer is up.
    pub fn is_linked(&self, peer: InstanceKey) -> bool {
        self.membership.is_linked(peer)
    }

    fn links(&self) -> Vec<(String, bool)> {
        let others = self.membership.view().instances();
        let others = others.filter(|it| it.key != self.me.instance);
        others
            .map(|it| (it.record.name.clone(), self.membership.is_linked(it.key)))
            .collect()
    }

    fn request_counts(&self) -> RequestCounts {
        let mut counts = RequestCounts::default();
        for request in self.requests.values() {
            match request.stage {
                Stage::Validating => counts.validating += 1,
                Stage::Claiming
                | Stage::Admitting
                | Stage::AwaitingRunLease
                | Stage::Placing { .. }
                | Stage::BackingOff { .. } => counts.waiting += 1,
                Stage::Running { .. } => counts.running += 1,
            }
        }
        counts
    }

    fn cell_snapshots(&self) -> Vec<(CellKey, CellSnapshot)> {
        let cells = self.homes.cells.iter();
        cells.map(|(&key, it)| (key, it.cell.snapshot())).collect()
    }
}
