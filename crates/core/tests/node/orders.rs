//! Orders that whole nodes give to fake engines.

use crate::world::{World, loom};
use oriolemux_core::event::OrderKind;
use oriolemux_core::orders::CONTROLLER_LEASE;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MINUTE: Duration = Duration::from_secs(60);

fn is_unload(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::Unload { .. })
}

/// Symptom: two givers order the same load twice, or each undoes the other's.
/// Sequence: a new version comes into force at all nodes within a second.
/// Cause: every node acts on what it sees.
#[test]
fn a_new_version_is_ordered_by_one_giver_and_each_engine_gets_it_once() {
    let mut world = World::new(3, 4);
    world.run_for(2 * MINUTE);
    assert!(world.orders.is_empty(), "nothing is to be changed");

    world.model_version = 2;
    world.publish_catalogue(2);
    world.run_for(10 * MINUTE);

    let givers: BTreeSet<_> = world.orders.iter().map(|it| it.giver).collect();
    assert_eq!(givers.len(), 1);
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

/// Symptom: a plan is cut off in the middle by a change of version. Sequence:
/// it runs on the version that the new catalogue no longer asks for. Cause:
/// the old version is unloaded under it.
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

/// Symptom: engines are ordered about by a node that has heard nothing for an
/// hour. Sequence: the platform goes down, then a change is waiting. Cause:
/// orders are given on a list that nobody has confirmed.
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
