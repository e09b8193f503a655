//! Homes and controllers, and which instances and endpoints are usable.
//!
//! The home of a key or a cell is the instance that decides for it, chosen by rendezvous hashing.
//! The controller of a cell sends orders to its endpoints.

use super::list::ListedState;
use super::view::{Cell, Endpoint, HOME_RANKS, Instance};
use super::{DataCentreId, Membership, PeerState};
use crate::ids::{CellKey, EndpointKey, InstanceKey};
use crate::rendezvous::{self, Candidate};
use std::collections::BTreeMap;

/// Whether an endpoint takes work, as far as membership knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It is not listed.
    Unknown,
    /// It takes new work.
    Live,
    /// It takes no new work; running requests continue.
    Leaving,
}

impl Membership {
    /// Determines which instances may be homes.
    ///
    /// While no listed instance is usable, for example before the first list contains this
    /// instance, there is no home, and no decision is based on a guess.
    pub(super) fn refresh_usable(&mut self) {
        let me = self.me;
        let stopping = self.stopping;
        for instance in self.view.instances.values_mut() {
            let listed = instance.record.state == ListedState::Live;
            let is_available = if instance.key == me {
                !stopping
            } else {
                self.peer_states
                    .get(&instance.key)
                    .is_none_or(PeerState::may_be_home)
            };
            instance.usable = listed && is_available;
        }
    }

    /// Recomputes the homes and the controller of every cell.
    pub(super) fn refresh_homes(&mut self) {
        let homes = self.assign_cells(|it| it.usable);
        let controllers = self.assign_cells(|it| it.record.state == ListedState::Live);
        for ((cell, homes), controllers) in self.view.cells.values_mut().zip(homes).zip(controllers)
        {
            cell.homes = homes;
            cell.controller = controllers.first().copied();
        }
    }

    /// Ranks the instances for which `may` holds for each cell, in the order of the cells.
    ///
    /// An instance that already has its even share of its data centre's cells is skipped, so the
    /// first in rank is not always the home. Plain rendezvous hashing would give one instance
    /// several cells and most none, and the loaded ones several times the polls and messages that a
    /// node may spend.
    fn assign_cells(&self, may: impl Fn(&Instance) -> bool) -> Vec<Vec<InstanceKey>> {
        let instances: Vec<&Instance> = self.view.instances.values().filter(|it| may(it)).collect();
        let mut taken: BTreeMap<InstanceKey, usize> = BTreeMap::new();
        let mut ranked = Vec::new();
        let mut assigned = Vec::with_capacity(self.view.cells.len());
        for cell in self.view.cells.values() {
            let near = |it: &Instance| it.data_centre == cell.data_centre;
            let candidates = instances.iter().map(|it| Candidate {
                instance: it.key,
                is_preferred: near(it),
            });
            rendezvous::rank(cell.plan.key.0, candidates, instances.len(), &mut ranked);
            let here = instances.iter().filter(|it| near(it)).count();
            let share = self.even_share(cell.data_centre, here, instances.len());
            let has_room = |it: &InstanceKey| taken.get(it).copied().unwrap_or(0) < share;
            let home = ranked.iter().position(has_room).unwrap_or(0);
            if home < ranked.len() {
                let home = ranked.remove(home);
                *taken.entry(home).or_default() += 1;
                ranked.insert(0, home);
            }
            ranked.truncate(HOME_RANKS);
            assigned.push(ranked.clone());
        }
        assigned
    }

    /// Returns the maximum number of cells for each of `here` instances of a data centre. If there
    /// are none, returns the maximum for each of `all` instances.
    fn even_share(&self, data_centre: DataCentreId, here: usize, all: usize) -> usize {
        let cells = self.view.cells.values();
        match here {
            0 => cells.count().div_ceil(all.max(1)),
            _ => cells
                .filter(|it| it.data_centre == data_centre)
                .count()
                .div_ceil(here),
        }
    }

    fn candidates(&self, near: Option<DataCentreId>) -> impl Iterator<Item = Candidate> + '_ {
        let usable = self.view.instances.values().filter(|it| it.usable);
        usable.map(move |it| Candidate {
            instance: it.key,
            is_preferred: near == Some(it.data_centre),
        })
    }

    /// Returns the instances that may be homes.
    pub fn live_instances(&self) -> impl Iterator<Item = InstanceKey> + '_ {
        self.candidates(None).map(|it| it.instance)
    }

    /// Returns the number of instances that may be homes; at least one.
    pub fn live_count(&self) -> u32 {
        let count = self.candidates(None).count();
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the number of instances that the list calls live; at least one.
    pub fn listed_count(&self) -> u32 {
        let instances = self.view.instances();
        let listed = instances.filter(|it| it.record.state == ListedState::Live);
        u32::try_from(listed.count()).unwrap_or(u32::MAX).max(1)
    }

    /// Returns the home of a cell.
    pub fn home_of_cell(&self, cell: CellKey) -> Option<InstanceKey> {
        self.homes_of_cell(cell).first().copied()
    }

    /// Returns the home of a cell, followed by the next instances in rank.
    pub fn homes_of_cell(&self, cell: CellKey) -> &[InstanceKey] {
        self.view.cell(cell).map_or(&[], |it| it.homes.as_slice())
    }

    /// Returns the controller of a cell, which sends orders to its endpoints.
    ///
    /// It ranks first among the instances that the list calls live, regardless of link state and
    /// gossip; see [`crate::orders`] for the reason.
    pub fn controller_of_cell(&self, cell: CellKey) -> Option<InstanceKey> {
        self.view.cell(cell)?.controller
    }

    /// Returns whether this instance is the home of a cell.
    pub fn is_home_of_cell(&self, cell: CellKey) -> bool {
        self.home_of_cell(cell) == Some(self.me)
    }

    /// Returns the cells for which this instance is the home.
    pub fn own_cells(&self) -> impl Iterator<Item = &Cell> {
        let me = self.me;
        let cells = self.view.cells();
        cells.filter(move |it| it.homes.first() == Some(&me))
    }

    /// Returns the home of a stable key, such as that of a limit or an idempotency key.
    pub fn home_of_key(&self, key: u64) -> Option<InstanceKey> {
        rendezvous::first(key, self.candidates(None))
    }

    /// Fills `buf` with the first `limit` usable instances for `key`, starting with the home.
    pub fn ranked_homes(&self, key: u64, limit: usize, buf: &mut Vec<InstanceKey>) {
        rendezvous::rank(key, self.candidates(None), limit, buf);
    }

    /// Returns the endpoints of a cell in any state.
    pub fn endpoints_of_cell(&self, cell: CellKey) -> &[EndpointKey] {
        let cell = self.view.cell(cell);
        cell.map_or(&[], |it| it.plan.endpoints.as_slice())
    }

    /// Returns the cells that serve `name`, starting with those of `from`.
    ///
    /// Distances between other data centres are not published. The order of the others is stable
    /// but differs between values of `from`, so that several data centres do not overflow to the
    /// same one.
    pub fn cells_serving(&self, name: &str, from: Option<DataCentreId>) -> Vec<&Cell> {
        let spread = |cell: &Cell| {
            let from = from.map_or(0, |it| u64::from(it.as_u32()) + 1);
            rendezvous::score(cell.plan.key.0, from)
        };
        let cells = self.view.cells();
        let mut found: Vec<&Cell> = cells.filter(|it| serves(it, name)).collect();
        found.sort_by_key(|it| (Some(it.data_centre) != from, spread(it)));
        found
    }

    /// Returns the data centre of this instance, if it is in the list.
    pub fn own_data_centre(&self) -> Option<DataCentreId> {
        self.view.find_data_centre(&self.cfg.data_centre)
    }

    /// Returns whether an endpoint is listed and takes new work.
    pub fn endpoint_state(&self, key: EndpointKey) -> EndpointState {
        match self.view.endpoint(key) {
            None => EndpointState::Unknown,
            Some(endpoint) if self.accepts_work(endpoint) => EndpointState::Live,
            Some(_) => EndpointState::Leaving,
        }
    }

    fn accepts_work(&self, endpoint: &Endpoint) -> bool {
        endpoint.record.state == ListedState::Live && !self.notices.contains_key(&endpoint.key)
    }
}

fn serves(cell: &Cell, name: &str) -> bool {
    cell.plan.serves.iter().any(|it| it == name)
}
