//! Computes what each endpoint should hold.

use crate::catalogue::{Catalogue, Model};
use crate::ids::{CellKey, EndpointKey, InstanceKey};
use crate::membership::{
    Endpoint, EndpointKind, EndpointState, FencingSupport, ListedState, Membership,
};
use crate::rendezvous;
use crate::value::EndpointTarget;
use std::collections::BTreeSet;

/// A model that an endpoint should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelGoal {
    /// Its name.
    pub name: String,
    /// The version.
    pub version: String,
    /// The adapters.
    pub adapters: Vec<String>,
}

/// What an endpoint should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointGoal {
    /// The endpoint.
    pub endpoint: EndpointTarget,
    /// Its cell.
    pub cell: CellKey,
    /// Endpoints of that cell that take work.
    pub cell_size: u32,
    /// Whether the endpoint rejects orders of a stale controller.
    pub fencing: FencingSupport,
    /// The models, sorted by name and version.
    pub models: Vec<ModelGoal>,
    /// Names of the models whose placement the catalogue manages, sorted. Other models are left
    /// unchanged.
    pub managed: Vec<String>,
}

/// Returns the goals of the endpoints that this instance controls.
///
/// The result is a function of the list and the catalogue, except that endpoints with a leaving
/// notice have no goal and are left unchanged.
pub fn plan_goals(membership: &Membership, catalogue: &Catalogue) -> Vec<EndpointGoal> {
    let me = membership.me();
    let managed = managed_names(catalogue);
    let mut goals = Vec::new();
    for cell in membership.view().cells() {
        if membership.controller_of_cell(cell.plan.key) != Some(me) {
            continue;
        }
        let endpoints = cell.plan.endpoints.iter().copied();
        let endpoints: Vec<EndpointKey> =
            endpoints.filter(|&it| is_ordered(membership, it)).collect();
        let cell_size = u32::try_from(endpoints.len()).unwrap_or(u32::MAX);
        for key in endpoints {
            let Some(endpoint) = membership.view().endpoint(key) else {
                continue;
            };
            let Some(target) = membership.view().endpoint_target(key) else {
                continue;
            };
            goals.push(EndpointGoal {
                endpoint: target,
                cell: cell.plan.key,
                cell_size,
                fencing: endpoint.record.fencing,
                models: models_for(membership, catalogue, endpoint),
                managed: managed.clone(),
            });
        }
    }
    goals
}

/// Returns the number of controllers; at least one.
pub fn count_controllers(membership: &Membership) -> u32 {
    let cells = membership.view().cells();
    let controllers: BTreeSet<InstanceKey> = cells
        .filter_map(|it| membership.controller_of_cell(it.plan.key))
        .collect();
    u32::try_from(controllers.len()).unwrap_or(u32::MAX).max(1)
}

fn is_ordered(membership: &Membership, key: EndpointKey) -> bool {
    let endpoint = membership.view().endpoint(key);
    let is_model = endpoint.is_some_and(|it| it.record.kind == EndpointKind::Model);
    is_model && membership.endpoint_state(key) == EndpointState::Live
}

fn managed_names(catalogue: &Catalogue) -> Vec<String> {
    let models = catalogue.models().values();
    let managed = models.filter(|it| it.replicas.is_some());
    let mut names: Vec<String> = managed.map(|it| it.name.clone()).collect();
    names.sort();
    names.dedup();
    names
}

fn models_for(
    membership: &Membership,
    catalogue: &Catalogue,
    endpoint: &Endpoint,
) -> Vec<ModelGoal> {
    let models = catalogue.models().values();
    let held = models.filter(|it| holds(membership, endpoint, it));
    let mut goals: Vec<ModelGoal> = held
        .map(|it| ModelGoal {
            name: it.name.clone(),
            version: it.version.clone(),
            adapters: it.adapters.clone(),
        })
        .collect();
    goals.sort_by(|a, b| (&a.name, &a.version).cmp(&(&b.name, &b.version)));
    goals
}

/// Returns whether `endpoint` is among those that should hold `model`.
///
/// If a data centre has more candidates than replicas, a hash ranks them, so that all controllers
/// choose the same endpoints and a departing one is replaced without moving the others. Endpoints
/// with only a leaving notice still count, because controllers that have not received the notice
/// would otherwise choose differently.
fn holds(membership: &Membership, endpoint: &Endpoint, model: &Model) -> bool {
    if !serves(endpoint, model) {
        return false;
    }
    let replicas = model.replicas.unwrap_or(0);
    let score = |it: &Endpoint| (rendezvous::score(model.key.0, it.key.0), it.key);
    let own = score(endpoint);
    let others = membership.view().endpoints().filter(|it| {
        let is_live = it.record.state == ListedState::Live;
        is_live && it.data_centre == endpoint.data_centre && serves(it, model)
    });
    let before = others.filter(|it| score(it) > own).count();
    before < replicas as usize
}

fn serves(endpoint: &Endpoint, model: &Model) -> bool {
    endpoint.record.serves.contains(&model.name)
}
