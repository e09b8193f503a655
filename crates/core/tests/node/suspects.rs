//! Requests that crash their endpoints.

use crate::world::{Name, World};
use oriolemux_core::event::AttemptUpdate;
use oriolemux_core::{EndpointKey, Reason, RequestId};
use std::collections::BTreeSet;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

const STEP: Duration = Duration::from_millis(50);

/// A request body that crashes its engine.
const FATAL: &str = "a prompt that no engine survives";

/// Number of engines, and of requests with the fatal body.
const ENGINES: usize = 8;

/// Crashes the engine of each running attempt, and reports it as the shell does.
fn crash_engines(world: &mut World, requests: &[RequestId], crashed: &mut BTreeSet<EndpointKey>) {
    for &id in requests {
        let Some(last) = world.dispatches(id).pop() else {
            continue;
        };
        if crashed.insert(last.endpoint.key) {
            world.update(last.attempt, AttemptUpdate::EndpointExited);
            world.fail(last.attempt, Reason::ConnectionLost);
        }
    }
}

/// Failure: an engine crashes every second, with everything that runs there. A request crashes its
/// engine with its first token; it is idempotent and is retried, and its caller sends it again to
/// other instances. No instance kept a record of the crashes.
#[test]
fn a_request_that_crashes_its_engine_crashes_at_most_three() {
    let mut world = World::new(3, ENGINES);
    world.run_for(SECOND);
    let mut crashed = BTreeSet::new();
    let mut requests = Vec::new();

    for number in 0..ENGINES {
        requests.push(world.send_body(number % 3, "plan", Name::None, FATAL));
        for _ in 0..20 {
            world.run_for(STEP);
            crash_engines(&mut world, &requests, &mut crashed);
        }
    }

    assert_eq!(crashed.len(), 3);
    let last = requests.last().expect("some requests");
    let verdict = world.verdict(*last).expect("answered");
    assert_eq!(verdict.reason().as_str(), "ends_endpoints");
}
