//! The endpoints that accept new work, by service and data centre.
//!
//! Decisions go over the endpoints of one service. Finding them among all endpoints, by name, would
//! cost each decision a comparison for each endpoint of every other service.

use crate::ids::EndpointKey;
use std::collections::{BTreeMap, BTreeSet};

/// The endpoints of one service that accept new work.
#[derive(Clone, Debug, Default)]
struct ServiceEndpoints {
    /// All of them, in the order in which equal ones are chosen.
    all: BTreeSet<EndpointKey>,
    /// The same ones by data centre, of which none is empty.
    by_data_centre: BTreeMap<String, BTreeSet<EndpointKey>>,
}

/// The endpoints that accept new work, without regard to cordons.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceIndex {
    services: BTreeMap<String, ServiceEndpoints>,
}

impl ServiceIndex {
    /// Adds an endpoint.
    pub(super) fn insert(&mut self, service: &str, data_centre: &str, key: EndpointKey) {
        if !self.services.contains_key(service) {
            let empty = ServiceEndpoints::default();
            self.services.insert(service.to_owned(), empty);
        }
        let Some(endpoints) = self.services.get_mut(service) else {
            return;
        };
        endpoints.all.insert(key);
        match endpoints.by_data_centre.get_mut(data_centre) {
            Some(keys) => {
                keys.insert(key);
            }
            None => {
                let keys = BTreeSet::from([key]);
                endpoints
                    .by_data_centre
                    .insert(data_centre.to_owned(), keys);
            }
        }
    }

    /// Removes an endpoint, if it is there.
    pub(super) fn remove(&mut self, service: &str, data_centre: &str, key: EndpointKey) {
        let Some(endpoints) = self.services.get_mut(service) else {
            return;
        };
        endpoints.all.remove(&key);
        if let Some(keys) = endpoints.by_data_centre.get_mut(data_centre) {
            keys.remove(&key);
            if keys.is_empty() {
                endpoints.by_data_centre.remove(data_centre);
            }
        }
        if endpoints.all.is_empty() {
            self.services.remove(service);
        }
    }

    /// Returns the endpoints of a service, in the order of their keys.
    pub(super) fn of(&self, service: &str) -> impl Iterator<Item = EndpointKey> {
        let endpoints = self.services.get(service);
        endpoints.into_iter().flat_map(|it| it.all.iter().copied())
    }

    /// Returns the endpoints of a service by data centre.
    pub(super) fn by_data_centre(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (&str, &BTreeSet<EndpointKey>)> {
        let endpoints = self.services.get(service);
        let data_centres = endpoints.into_iter().flat_map(|it| &it.by_data_centre);
        data_centres.map(|(name, keys)| (name.as_str(), keys))
    }
}
