//! Sets gauges from the state of the instance.

use crate::metrics::Gauge;
use crate::status::{NodeStatus, Readiness};

/// Sets the gauges that are derived from the state of the node.
pub(super) fn update(status: &NodeStatus) {
    let queued: u32 = status.cells.iter().map(|cell| cell.queued).sum();
    let links = status.links.iter().filter(|link| link.up).count();
    let requests = &status.requests;
    let accepted = requests.judging + requests.waiting + requests.running;
    Gauge::Queued.set(f64::from(queued));
    Gauge::Running.set(f64::from(accepted));
    Gauge::Links.set(links as f64);
    Gauge::CatalogueRevision.set(status.catalogue.revision as f64);
    Gauge::ListRevision.set(status.list.revision as f64);
    Gauge::ListAge.set(status.list.age_ms.unwrap_or(0) as f64 / 1000.0);
    Gauge::ListEntriesUnreadable.set(status.list.unreadable as f64);
    Gauge::Ready.set(f64::from(u8::from(status.readiness == Readiness::Ready)));
}
