//! Gathers what a case recorded.

use super::CaseError;
use super::scene::Scene;
use crate::checker::{CallerRecord, EndpointRecord, Evidence, RevisionSeen};
use crate::fleet::plan::SHORT_MEMORY;
use crate::load::micros;
use crate::standins::journal;

/// Gathers the evidence of a case from journals and notes.
pub fn evidence(
    scene: &mut Scene,
    callers: Vec<CallerRecord>,
    revisions: Vec<RevisionSeen>,
) -> Result<Evidence, CaseError> {
    let mut endpoints = Vec::new();
    for endpoint in &scene.fleet.endpoints {
        endpoints.push(EndpointRecord {
            name: endpoint.name.clone(),
            entries: journal::read(&endpoint.journal)?,
        });
    }
    let notes = std::mem::take(&mut scene.notes);
    Ok(Evidence {
        endpoints,
        callers,
        key_memory_us: micros(SHORT_MEMORY),
        leaving: notes.leaving,
        stops: notes.stops,
        outages: notes.outages,
        revisions,
        last_revision: Some(scene.fleet.catalogue.revision),
    })
}
