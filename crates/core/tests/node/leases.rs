//! Places that a home holds for requests are given back, whatever was lost.

use crate::world::World;
use oriolemux_core::Incarnation;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Longer than a home waits before it asks or forgets.
const LATER: Duration = Duration::from_secs(60);

/// Requests that any home counts as waiting or running.
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

/// Symptom: a cell's memory counts as full though nothing runs. Sequence: the
/// list changes and the cell's home with it while a request runs; it ends; the
/// list changes back. Cause: its end was told to the second home alone.
#[test]
fn a_home_that_comes_back_holds_no_place_of_its_first_time() {
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

/// Symptom: as above. Sequence: a request ends, and the link to the home
/// breaks with that word on its way; both processes live on. Cause: nothing
/// says it again.
#[test]
fn an_end_that_is_lost_with_its_link_gives_the_place_back() {
    let mut world = World::new(4, 1);
    let ids: Vec<_> = (0..4).map(|n| world.request(n, "plan")).collect();
    world.run_for(SECOND);
    let home = home(&world, 4);
    let entry = (home + 1) % 4;

    world.complete(world.dispatches(ids[entry])[0].attempt);
    world.part(entry, home);
    world.run_for(SECOND);
    world.heal();
    world.run_for(SECOND);

    assert_eq!(held(&world, 4), 3);
}

/// Symptom: as above. Sequence: an entry dies with a granted request, leaves
/// the list and is started again under its old name. Cause: its home takes the
/// link to the new life for one to the old.
#[test]
fn a_life_that_was_replaced_while_unlisted_holds_no_place() {
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
        // Keeps the links in use.
        let id = world.request(entry, "plan");
        world.run_for(SECOND);
        world.complete(world.dispatches(id)[0].attempt);
    }
    world.run_for(LATER);

    assert_eq!(held(&world, 4), 3);
}
