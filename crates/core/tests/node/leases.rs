//! Grants that a home holds for requests are released, whatever messages were lost.

use crate::world::World;
use oriolemux_core::Incarnation;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Longer than the interval at which a home confirms its grants, or the time for which it keeps
/// those of an unreachable instance.
const LATER: Duration = Duration::from_secs(60);

/// Number of requests that any home counts as waiting or running.
fn held(world: &World, nodes: usize) -> u32 {
    let alive = (0..nodes).filter(|&n| !world.seat(n).dead);
    let cells = alive.flat_map(|n| world.seat(n).node.snapshot().cells);
    cells.map(|(_, cell)| cell.running + cell.queued).sum()
}

fn home(world: &World, nodes: usize) -> usize {
    (0..nodes)
        .find(|&n| held_at(world, n) > 0)
        .expect("a home holds something")
}

fn held_at(world: &World, n: usize) -> u32 {
    let cells = world.seat(n).node.snapshot().cells;
    cells.iter().map(|(_, it)| it.running + it.queued).sum()
}

/// Failure: the KV cache of a cell counts as full though nothing runs. The list changes, and with
/// it the home of the cell, while a request runs; the request ends; the list changes back. The end
/// of the request was reported to the second home only.
#[test]
fn a_returning_home_holds_no_grants_from_before() {
    let mut world = World::new(4, 1);
    let id = world.request(0, "plan");
    world.run_for(SECOND);
    let first = home(&world, 4);

    world.unlisted.insert(first);
    world.publish_list(2, 1);
    world.run_for(SECOND);
    world.complete(world.dispatches(id)[0].attempt);
    world.run_for(SECOND);
    world.unlisted.clear();
    world.publish_list(3, 1);
    world.run_for(SECOND);

    assert_eq!(held(&world, 4), 0);
}

/// Failure: as above. A request ends and the link to the home breaks while the report is in flight;
/// both processes keep running, and the report is not sent again.
#[test]
fn a_lost_end_report_still_releases_its_grant() {
    let mut world = World::new(4, 1);
    let ids: Vec<_> = (0..4).map(|n| world.request(n, "plan")).collect();
    world.run_for(SECOND);
    let home = home(&world, 4);
    let entry = (home + 1) % 4;

    world.complete(world.dispatches(ids[entry])[0].attempt);
    world.partition(entry, home);
    world.run_for(SECOND);
    world.heal();
    world.run_for(SECOND);

    assert_eq!(held(&world, 4), 3);
}

/// Failure: as above. An instance dies with a granted request, leaves the list and is restarted
/// under its old name; its home mistakes the link to the new incarnation for one to the old.
#[test]
fn an_incarnation_replaced_while_unlisted_holds_no_grants() {
    let mut world = World::new(4, 1);
    let ids: Vec<_> = (0..4).map(|n| world.request(n, "plan")).collect();
    world.run_for(SECOND);
    let entry = (home(&world, 4) + 1) % 4;
    assert_eq!(world.dispatches(ids[entry]).len(), 1);

    world.kill(entry);
    world.unlisted.insert(entry);
    world.publish_list(2, 1);
    world.run_for(SECOND / 100);
    world.heal();
    world.start_node(entry, Incarnation(77));
    world.unlisted.clear();
    world.publish_list(3, 1);
    world.run_for(SECOND * 3);
    for _ in 0..20 {
        // Keeps the links in use, so that they are not closed as idle.
        let id = world.request(entry, "plan");
        world.run_for(SECOND);
        world.complete(world.dispatches(id)[0].attempt);
    }
    world.run_for(LATER);

    assert_eq!(held(&world, 4), 3);
}
