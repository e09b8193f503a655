//! The path of a request without failures.

use crate::world::World;
use oriolemux_core::Outcome;
use std::time::Duration;

#[test]
fn every_node_is_ready_and_runs_a_request_once() {
    let mut world = World::new(3, 2);

    for n in 0..3 {
        assert!(world.seat(n).node.is_ready(), "node {n} is ready");
        let id = world.request(n, "plan");
        world.run_for(Duration::from_secs(1));

        let dispatches = world.dispatches(id);
        assert_eq!(dispatches.len(), 1, "node {n} dispatches once");
        world.complete(dispatches[0].attempt);
        world.run_for(Duration::from_secs(1));
        assert_eq!(world.verdict(id), None);
        assert_eq!(world.seat(n).node.snapshot().requests, Default::default());
    }
}

#[test]
fn an_unknown_entry_is_refused_and_not_run() {
    let mut world = World::new(1, 1);

    let id = world.request(0, "no-such-entry");
    world.run_for(Duration::from_secs(1));

    let verdict = world.verdict(id).expect("refused");
    assert_eq!(verdict.outcome(), Outcome::NotRun);
    assert_eq!(verdict.reason(), oriolemux_core::Reason::UnknownEntry);
}

#[test]
fn a_workspace_runs_no_more_at_once_than_its_limit_over_all_nodes() {
    let mut world = World::new(3, 4);
    world.workspace_concurrent = 3;
    world.publish_catalogue(2);
    world.run_for(Duration::from_secs(10));

    let ids: Vec<_> = (0..12).map(|n| world.request(n % 3, "plan")).collect();
    world.run_for(Duration::from_secs(5));
    let running = |world: &World| {
        let dispatched = ids.iter().filter(|&&id| !world.dispatches(id).is_empty());
        dispatched.copied().collect::<Vec<_>>()
    };

    let first = running(&world);
    assert!((1..=3).contains(&first.len()), "{} run", first.len());
    for id in &first {
        world.complete(world.dispatches(*id)[0].attempt);
    }
    world.run_for(Duration::from_secs(3));
    assert!(
        running(&world).len() > first.len(),
        "freed capacity is granted again"
    );
}
