//! Builds the status and readiness of the node that operators see.

use crate::status::{
    CatalogueStatus, CellStatus, EndpointStatus, LinkStatus, ListStatus, NodeStatus, Readiness,
    RejectedCatalogue, RequestsStatus,
};
use oriolemux_core::catalogue::sync::{Rejection, RejectionCause};
use oriolemux_core::cell::{CellSnapshot, EndpointSnapshot};
use oriolemux_core::node::NodeSnapshot;
use oriolemux_core::{CellKey, EndpointKey, Node};
use std::time::{Duration, Instant};

/// Facts about the process that are not part of the node's state.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The name under which the instance is published.
    pub instance: String,
    /// The data centre in which it runs.
    pub data_centre: String,
    /// When the process started.
    pub started: Instant,
}

/// Returns whether the load balancer may send requests here.
pub(super) fn readiness(node: &Node) -> Readiness {
    if node.is_stopping() {
        Readiness::Stopping
    } else if node.is_ready() {
        Readiness::Ready
    } else {
        Readiness::Starting
    }
}

/// Returns the state of the instance.
pub(super) fn status(node: &Node, identity: &Identity) -> NodeStatus {
    let snapshot = node.snapshot();
    NodeStatus {
        instance: identity.instance.clone(),
        data_centre: identity.data_centre.clone(),
        incarnation: format!("{:016x}", node.me().incarnation.0),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        uptime_ms: millis(identity.started.elapsed()),
        readiness: readiness(node),
        catalogue: catalogue(&snapshot),
        list: ListStatus {
            revision: snapshot.list_revision,
            age_ms: snapshot.list_age.map(millis),
            live_instances: snapshot.live_instances,
            unreadable: snapshot.list_unreadable,
        },
        requests: RequestsStatus {
            judging: snapshot.requests.validating,
            waiting: snapshot.requests.waiting,
            running: snapshot.requests.running,
        },
        links: links(&snapshot),
        cells: snapshot
            .cells
            .iter()
            .map(|(key, it)| cell(node, *key, it))
            .collect(),
    }
}

fn catalogue(snapshot: &NodeSnapshot) -> CatalogueStatus {
    let in_force = snapshot.catalogue_revision;
    let rejection = snapshot.rejection.as_ref();
    CatalogueStatus {
        revision: in_force,
        rejected: rejection
            .filter(|it| is_shown(it, in_force))
            .map(|it| RejectedCatalogue {
                revision: it.revision,
                findings: findings(&it.cause),
            }),
    }
}

/// A rejection is shown until a later revision is in force. A catalogue that could not be read
/// has no revision (0), so its rejection is always shown.
fn is_shown(rejection: &Rejection, in_force: u64) -> bool {
    rejection.revision == 0 || rejection.revision >= in_force
}

fn findings(cause: &RejectionCause) -> Vec<String> {
    match cause {
        RejectionCause::Findings(findings) => {
            findings.to_string().lines().map(str::to_owned).collect()
        }
        RejectionCause::RevisionReused => {
            vec!["another catalogue of this revision is in force".to_owned()]
        }
    }
}

fn links(snapshot: &NodeSnapshot) -> Vec<LinkStatus> {
    let links = snapshot.links.iter();
    links
        .map(|(peer, up)| LinkStatus {
            peer: peer.clone(),
            up: *up,
        })
        .collect()
}

fn cell(node: &Node, key: CellKey, snapshot: &CellSnapshot) -> CellStatus {
    let plan = node.cell_plan(key);
    CellStatus {
        cell: key.to_string(),
        serves: plan.map_or_else(Vec::new, |plan| plan.serves.clone()),
        data_centre: plan.map_or_else(String::new, |plan| plan.data_centre.clone()),
        queued: snapshot.queued,
        running: snapshot.running,
        oldest_wait_ms: millis(snapshot.oldest_wait),
        endpoints: snapshot
            .endpoints
            .iter()
            .map(|it| endpoint(node, it))
            .collect(),
    }
}

fn endpoint(node: &Node, snapshot: &EndpointSnapshot) -> EndpointStatus {
    EndpointStatus {
        endpoint: endpoint_name(node, snapshot.key),
        leaving: snapshot.leaving,
        ejected: snapshot.ejected,
        running: snapshot.running,
        total: snapshot.total,
        counted: snapshot.counted,
        foreign: snapshot.foreign,
        free: snapshot.free,
    }
}

fn endpoint_name(node: &Node, key: EndpointKey) -> String {
    let name = node.endpoint_name(key);
    name.map_or_else(|| key.to_string(), str::to_owned)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
