//! Operators are told once when an endpoint is ejected, and once when it is used again.

use crate::world::World;
use oriolemux_core::note::Note;
use oriolemux_core::{EndpointKey, Reason};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// More failures than an endpoint is allowed, with room for retries elsewhere.
const FAILURES: usize = 12;

/// Returns what the nodes told of ejections, in order.
fn told(world: &World) -> Vec<Note> {
    let notes = world.seats.values().flat_map(|seat| &seat.notes);
    let is_ejection =
        |note: &&Note| matches!(note, Note::EndpointEjected(_) | Note::EndpointReadmitted(_));
    notes.filter(is_ejection).cloned().collect()
}

/// Lets whatever runs at `endpoint` fail, and the rest complete.
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

/// Symptom: streams stall at one endpoint and operators see nothing but retries. Sequence: an
/// endpoint stalls again and again until it gets no more work, then serves a probe. Cause: the
/// cell that decided so told nobody.
#[test]
fn ejection_and_return_are_told_once_each() {
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
    assert_eq!(told(&world), [Note::EndpointEjected(bad)]);

    for _ in 0..FAILURES {
        let id = world.request(0, "plan");
        world.run_for(20 * SECOND);
        let last = world.dispatches(id).last().expect("dispatched").attempt;
        world.complete(last);
        world.run_for(SECOND);
    }

    let expected = [Note::EndpointEjected(bad), Note::EndpointReadmitted(bad)];
    assert_eq!(told(&world), expected);
}
