//! Orders that complete nodes send to simulated engines.

use crate::world::{World, loom};
use oriolemux_core::event::OrderKind;
use oriolemux_core::orders::CONTROLLER_LEASE;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MINUTE: Duration = Duration::from_secs(60);

fn is_unload(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::Unload { .. })
}

/// Failure: two controllers order the same load twice, or each reverts the orders of the other. A
/// new version comes into force at all nodes within a second, and every node acts on it.
#[test]
fn a_new_version_is_ordered_by_one_controller_and_each_engine_gets_it_once() {
    let mut world = World::new(3, 4);
    world.run_for(2 * MINUTE);
    assert!(world.orders.is_empty(), "nothing has to change");

    world.model_version = 2;
    world.publish_catalogue(2);
    world.run_for(10 * MINUTE);

    let controllers: BTreeSet<_> = world.orders.iter().map(|it| it.controller).collect();
    assert_eq!(controllers.len(), 1);
    let loads = world.orders.iter().filter(|it| !is_unload(&it.kind));
    assert_eq!(loads.count(), 4, "one load for each engine");
    assert_eq!(world.loaded.len(), 4);
    assert!(world.loaded.values().all(|it| *it == vec![loom("2")]));
    let mut last: BTreeMap<_, u64> = BTreeMap::new();
    for order in &world.orders {
        let before = last.insert(order.endpoint, order.fencing);
        assert!(before.is_none_or(|it| it < order.fencing));
    }
}

/// Failure: a change of version interrupts a generation. It runs on the version that the new
/// catalogue no longer contains, and that version is unloaded while it runs.
#[test]
fn a_version_is_not_unloaded_under_a_generation() {
    let mut world = World::new(2, 1);
    let id = world.request(0, "plan");
    world.run_for(Duration::from_secs(1));
    let attempt = world.dispatches(id)[0].attempt;

    world.model_version = 2;
    world.publish_catalogue(2);
    world.run_for(10 * MINUTE);
    assert!(world.orders.iter().all(|it| !is_unload(&it.kind)));

    world.complete(attempt);
    world.run_for(10 * MINUTE);
    assert!(world.orders.iter().any(|it| is_unload(&it.kind)));
}

/// Failure: a node that has been without news for an hour sends orders to engines. The platform
/// goes down while a change is pending, and orders are based on a list that is no longer confirmed.
#[test]
fn nothing_is_ordered_while_the_list_cannot_be_confirmed() {
    let mut world = World::new(2, 2);
    world.model_version = 2;
    world.publish_catalogue(2);
    world.run_for(Duration::from_millis(400));
    world.platform_down = true;
    let down = world.now;

    world.run_for(120 * MINUTE);

    let lease_end = down + CONTROLLER_LEASE;
    assert!(world.orders.iter().all(|it| it.at <= lease_end));
}
