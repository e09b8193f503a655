//! Which engines a home looks at to place requests.
//!
//! Engines of one data centre that run nothing and differ in nothing else that decides are
//! interchangeable: of them the one with the lowest key is chosen. A decision therefore looks at
//! the engines that differ, and at no more of the others than it places requests. Its cost grows
//! with what runs at the same time and not with the number of engines, of which a large service has
//! thousands that idle.

use super::endpoints::{Endpoint, EndpointTable};
use crate::ids::EndpointKey;
use std::collections::BTreeSet;

/// Services with fewer endpoints are looked at as a whole: that costs less than finding out which
/// of them differ.
const MIN_ENDPOINTS: usize = 128;

/// Returns the endpoints of a service among which the best for each of `requests` requests is, in
/// the order of their keys. `differing` are those that run something or differ otherwise;
/// `is_spare` tells whether one of the others equals all others of its data centre for which it
/// returns true.
///
/// A data centre that has fewer spare endpoints than there are requests is returned as a whole.
pub(super) fn shortlist<'a>(
    endpoints: &'a EndpointTable,
    service: &str,
    requests: usize,
    differing: &BTreeSet<EndpointKey>,
    is_spare: impl Fn(&Endpoint) -> bool,
) -> Vec<&'a Endpoint> {
    if endpoints.usable_count(service) < MIN_ENDPOINTS {
        return endpoints.usable_of(service).collect();
    }
    let of_service = |key: &&EndpointKey| {
        let endpoint = endpoints.usable(**key);
        endpoint.is_some_and(|it| it.record.service == service)
    };
    let mut listed: BTreeSet<EndpointKey> = differing.iter().filter(of_service).copied().collect();
    let is_spare = |key: &&EndpointKey| {
        !differing.contains(key) && endpoints.get(**key).is_some_and(&is_spare)
    };
    for data_centre in endpoints.usable_by_data_centre(service) {
        let spare = data_centre.iter().filter(is_spare).take(requests);
        let spare: Vec<EndpointKey> = spare.copied().collect();
        match spare.len() < requests {
            true => listed.extend(data_centre),
            false => listed.extend(spare),
        }
    }
    let listed = listed.into_iter();
    listed.filter_map(|key| endpoints.get(key)).collect()
}
