//! The published list of a fleet.

use super::{Endpoint, Fleet, Instance, View};
use oriolemux_core::membership::{
    EndpointKind, EndpointRecord, FencingSupport, InstanceList, InstanceRecord, ListedState,
};

/// The data centre that all of a fleet stands in.
pub const DATA_CENTRE: &str = "arima";
/// The model that all engines serve.
pub const MODEL: &str = "loom";
/// The service that all services serve.
pub const SERVICE: &str = "stock";

/// Returns the list as instances of `view` see it.
pub fn json(fleet: &Fleet, view: usize, revision: u64) -> Vec<u8> {
    let seen = &fleet.views[view];
    let instances = fleet.instances.iter().enumerate();
    let endpoints = fleet.endpoints.iter().enumerate();
    let list = InstanceList {
        revision,
        instances: instances
            .filter(|(_, instance)| !fleet.unlisted.contains(&instance.name))
            .map(|(index, instance)| instance_record(fleet, seen, index, instance))
            .collect(),
        endpoints: endpoints
            .filter(|(_, endpoint)| !fleet.unlisted.contains(&endpoint.name))
            .map(|(index, endpoint)| endpoint_record(fleet, seen, index, endpoint))
            .collect(),
    };
    serde_json::to_vec(&list).unwrap_or_default()
}

fn instance_record(
    fleet: &Fleet,
    seen: &View,
    index: usize,
    instance: &Instance,
) -> InstanceRecord {
    InstanceRecord {
        name: instance.name.clone(),
        address: instance.callers,
        peer_address: seen.to_instances[index].address(),
        data_centre: DATA_CENTRE.to_owned(),
        state: state(fleet, &instance.name),
    }
}

fn endpoint_record(
    fleet: &Fleet,
    seen: &View,
    index: usize,
    endpoint: &Endpoint,
) -> EndpointRecord {
    let is_engine = index < fleet.plan.engines;
    let (kind, serves) = match is_engine {
        true => (EndpointKind::Model, MODEL),
        false => (EndpointKind::Service, SERVICE),
    };
    EndpointRecord {
        name: endpoint.name.clone(),
        address: seen.to_endpoints[index].address(),
        data_centre: DATA_CENTRE.to_owned(),
        kind,
        serves: vec![serves.to_owned()],
        fencing: FencingSupport::Checked,
        state: state(fleet, &endpoint.name),
    }
}

fn state(fleet: &Fleet, name: &String) -> ListedState {
    match fleet.leaving.contains(name) {
        true => ListedState::Leaving,
        false => ListedState::Live,
    }
}
