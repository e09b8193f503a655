//! Operators receive one event when an endpoint is ejected, and one when it is used again.

use crate::world::World;
use oriolemux_core::note::Note;
use oriolemux_core::{EndpointKey, Reason};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// More failures than lead to an ejection, with room for retries at the other endpoint.
const FAILURES: usize = 12;

/// Returns the ejection events of all nodes, in order.
fn reported_ejections(world: &World) -> Vec<Note> {
    let notes = world.seats.values().flat_map(|seat| &seat.notes);
    let is_ejection =
        |note: &&Note| matches!(note, Note::EndpointEjected(_) | Note::EndpointReadmitted(_));
    notes.filter(is_ejection).cloned().collect()
}

/// Fails the last attempt of a request if it ran at `endpoint`, and completes it otherwise.
fn end_attempts(world: &mut World, id: oriolemux_core::RequestId, endpoint: EndpointKey) -> bool {
    let Some(last) = world.dispatches(id).last().cloned() else {
        return false;
    };
    let failed = last.endpoint.key == endpoint;
    match failed {
        true => world.fail(last.attempt, Reason::Stalled),
        false => world.complete(last.attempt),
    }
    failed
}

/// Failure: streams stall at one endpoint and operators see only retries. The endpoint stalls
/// repeatedly until it is ejected, then serves a probe; the cell that ejects and readmits it
/// reports nothing.
#[test]
fn ejection_and_readmission_are_reported_once_each() {
    let mut world = World::new(1, 2);
    let first = world.request(0, "plan");
    world.run_for(SECOND);
    let bad = world.dispatches(first)[0].endpoint.key;
    world.fail(world.dispatches(first)[0].attempt, Reason::Stalled);

    for _ in 0..FAILURES {
        let id = world.request(0, "plan");
        world.run_for(SECOND);
        if end_attempts(&mut world, id, bad) {
            world.run_for(SECOND);
            end_attempts(&mut world, id, bad);
        }
        world.run_for(SECOND);
    }
    assert_eq!(reported_ejections(&world), [Note::EndpointEjected(bad)]);

    for _ in 0..FAILURES {
        let id = world.request(0, "plan");
        world.run_for(20 * SECOND);
        let last = world.dispatches(id).last().expect("dispatched").attempt;
        world.complete(last);
        world.run_for(SECOND);
    }

    let expected = [Note::EndpointEjected(bad), Note::EndpointReadmitted(bad)];
    assert_eq!(reported_ejections(&world), expected);
}
