//! The list in force as dense maps.
//!
//! The maps are rebuilt with each accepted list. Entity ids are valid until then and never leave
//! the process.

use super::cells::{CellPlan, plan_cells};
use super::list::{EndpointRecord, InstanceList, InstanceRecord, ListedState};
use crate::ids::{CellKey, EndpointKey, InstanceKey};
use crate::value::{EndpointTarget, PeerTarget};
use cranelift_entity::{PrimaryMap, entity_impl};
use indexmap::IndexMap;

/// An instance of the list in force.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId(u32);
entity_impl!(InstanceId, "inst");

/// An endpoint of the list in force.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(u32);
entity_impl!(EndpointId, "ep");

/// A data centre of the list in force.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DataCentreId(u32);
entity_impl!(DataCentreId, "dc");

/// A cell of the list in force.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(u32);
entity_impl!(CellId, "cell");

/// An instance of the list in force.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its key.
    pub key: InstanceKey,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its record in the list.
    pub record: InstanceRecord,
    /// Whether it may be a home: listed as live, not known to be leaving, not suspected.
    pub usable: bool,
}

/// An endpoint of the list in force.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its key.
    pub key: EndpointKey,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its cell.
    pub cell: CellKey,
    /// Its record in the list.
    pub record: EndpointRecord,
    /// The highest accepted revision in which the endpoint was absent or leaving. A leaving notice
    /// with this or a lower revision is about an earlier incarnation.
    pub not_live_at: u64,
}

/// A cell with its homes.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The cell as computed from the list.
    pub plan: CellPlan,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Usable instances in order of rank, the home first; at most [`HOME_RANKS`].
    pub homes: Vec<InstanceKey>,
    /// The instance that sends orders to its endpoints.
    pub controller: Option<InstanceKey>,
}

/// Number of ranked instances kept for each cell: the home, and those that entries turn to when the
/// home does not answer.
pub const HOME_RANKS: usize = 3;

/// The list in force with its indexes.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub(super) list: InstanceList,
    pub(super) instances: PrimaryMap<InstanceId, Instance>,
    pub(super) instance_ids: IndexMap<InstanceKey, InstanceId>,
    pub(super) endpoints: PrimaryMap<EndpointId, Endpoint>,
    endpoint_ids: IndexMap<EndpointKey, EndpointId>,
    data_centres: PrimaryMap<DataCentreId, String>,
    pub(super) cells: PrimaryMap<CellId, Cell>,
    cell_ids: IndexMap<CellKey, CellId>,
}

impl View {
    /// Builds the maps from a normalised list.
    pub(super) fn build(list: InstanceList, cell_endpoints: usize, before: &View) -> View {
        let mut view = View::default();
        for record in &list.instances {
            view.add_instance(record);
        }
        for plan in plan_cells(&list.endpoints, cell_endpoints) {
            view.add_cell(plan);
        }
        for record in &list.endpoints {
            view.add_endpoint(record, before);
        }
        view.list = list;
        view
    }

    fn data_centre(&mut self, name: &str) -> DataCentreId {
        match self.find_data_centre(name) {
            Some(id) => id,
            None => self.data_centres.push(name.to_owned()),
        }
    }

    fn add_instance(&mut self, record: &InstanceRecord) {
        let key = record.key();
        let data_centre = self.data_centre(&record.data_centre);
        let id = self.instances.push(Instance {
            key,
            data_centre,
            record: record.clone(),
            usable: record.state == ListedState::Live,
        });
        self.instance_ids.insert(key, id);
    }

    fn add_cell(&mut self, plan: CellPlan) {
        let key = plan.key;
        let data_centre = self.data_centre(&plan.data_centre);
        let id = self.cells.push(Cell {
            plan,
            data_centre,
            homes: Vec::new(),
            controller: None,
        });
        self.cell_ids.insert(key, id);
    }

    fn add_endpoint(&mut self, record: &EndpointRecord, before: &View) {
        let key = record.key();
        let data_centre = self.data_centre(&record.data_centre);
        let cell = self.cells.values().find(|it| {
            it.data_centre == data_centre && it.plan.endpoints.binary_search(&key).is_ok()
        });
        let Some(cell) = cell.map(|it| it.plan.key) else {
            debug_assert!(false, "the plan holds every endpoint");
            return;
        };
        let not_live_at = match before.endpoint(key) {
            Some(old) if old.record.state == ListedState::Live => old.not_live_at,
            _ => before.list.revision,
        };
        let id = self.endpoints.push(Endpoint {
            key,
            data_centre,
            cell,
            record: record.clone(),
            not_live_at,
        });
        self.endpoint_ids.insert(key, id);
    }

    /// Returns the revision of the list; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.list.revision
    }

    /// Returns the list itself.
    pub fn list(&self) -> &InstanceList {
        &self.list
    }

    /// Finds a data centre by name.
    pub fn find_data_centre(&self, name: &str) -> Option<DataCentreId> {
        let mut found = self.data_centres.iter().filter(|(_, it)| *it == name);
        found.next().map(|(id, _)| id)
    }

    /// Returns the names of all data centres.
    pub fn data_centre_names(&self) -> impl Iterator<Item = &str> {
        self.data_centres.values().map(String::as_str)
    }

    /// Finds an instance.
    pub fn instance(&self, key: InstanceKey) -> Option<&Instance> {
        self.instance_ids.get(&key).map(|&id| &self.instances[id])
    }

    /// Finds an endpoint.
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoint_ids.get(&key).map(|&id| &self.endpoints[id])
    }

    /// Finds a cell.
    pub fn cell(&self, key: CellKey) -> Option<&Cell> {
        self.cell_ids.get(&key).map(|&id| &self.cells[id])
    }

    /// Returns all instances, sorted by name.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// Returns all endpoints, sorted by name.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns all cells.
    pub fn cells(&self) -> impl Iterator<Item = &Cell> {
        self.cells.values()
    }

    /// Returns the address and name of an endpoint.
    pub fn endpoint_target(&self, key: EndpointKey) -> Option<EndpointTarget> {
        self.endpoint(key).map(|endpoint| EndpointTarget {
            key,
            name: endpoint.record.name.clone(),
            address: endpoint.record.address,
        })
    }

    /// Returns the address and name of an instance.
    pub fn peer_target(&self, key: InstanceKey) -> Option<PeerTarget> {
        self.instance(key).map(|instance| PeerTarget {
            key,
            name: instance.record.name.clone(),
            address: instance.record.peer_address,
        })
    }
}
