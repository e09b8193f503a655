//! Requests that end the endpoints that begin them.

use crate::world::{Name, World};
use oriolemux_core::event::AttemptUpdate;
use oriolemux_core::{EndpointKey, Reason, RequestId};
use std::collections::BTreeSet;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

const STEP: Duration = Duration::from_millis(50);

/// The body that ends its engine.
const FATAL: &str = "a prompt that no engine survives";

/// How many requests may have a fatal body at the same time.
const ENGINES: usize = 8;

/// Ends the engine of each attempt that runs, and reports it as the shell does.
fn end_engines(world: &mut World, requests: &[RequestId], ended: &mut BTreeSet<EndpointKey>) {
    for &id in requests {
        let Some(last) = world.dispatches(id).pop() else {
            continue;
        };
        if ended.insert(last.endpoint.key) {
            world.update(last.attempt, AttemptUpdate::EndpointExited);
            world.fail(last.attempt, Reason::ConnectionLost);
        }
    }
}

/// Symptom: an engine ends each second, with all that runs there. Sequence: a request ends its engine with its
/// first token; it may be repeated, and is; its caller sends it again to another instance. Cause: nothing
/// remembered what the request had done.
#[test]
fn a_request_that_ends_its_engine_ends_three_at_most() {
    let mut world = World::new(3, ENGINES);
    world.run_for(SECOND);
    let mut ended = BTreeSet::new();
    let mut requests = Vec::new();

    for number in 0..ENGINES {
        requests.push(world.send_body(number % 3, "plan", Name::None, FATAL));
        for _ in 0..20 {
            world.run_for(STEP);
            end_engines(&mut world, &requests, &mut ended);
        }
    }

    assert_eq!(ended.len(), 3);
    let last = requests.last().expect("some requests");
    let verdict = world.verdict(*last).expect("answered");
    assert_eq!(verdict.reason().as_str(), "ends_endpoints");
}
