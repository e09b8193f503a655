//! Failures in the middle of requests.

use crate::world::World;
use oriolemux_core::event::{AttemptMode, AttemptUpdate, Event, ValueName};
use oriolemux_core::{Incarnation, Outcome, Ran, Reason};
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Symptom: a caller waits until its longest wait and is refused, although
/// endpoints are idle. Sequence: an entry asks the home of a cell; the home's
/// process dies with the request in its queue. Cause: the entry waits for an
/// answer that nobody will give, unless it asks the next home in rank.
#[test]
fn a_home_that_dies_does_not_keep_its_queue() {
    let mut world = World::new(3, 1);
    let first = world.request(0, "plan");
    world.run_for(SECOND);
    let home = (0..3)
        .find(|&n| !world.seat(n).node.snapshot().cells.is_empty())
        .expect("some node is home");
    let entry = (home + 1) % 3;
    world.complete(world.dispatches(first)[0].attempt);
    world.run_for(SECOND);

    let id = world.request(entry, "plan");
    world.kill(home);
    world.run_for(Duration::from_secs(3));

    assert_eq!(world.dispatches(id).len(), 1);
}

/// Symptom: a shirt is sold twice. Sequence: a non-idempotent request is sent,
/// the connection breaks before any answer. Cause: a retry on an unknown outcome.
#[test]
fn work_that_may_have_run_and_must_not_repeat_is_not_tried_again() {
    let mut world = World::new(2, 2);
    let id = world.request(0, "order");
    world.run_for(SECOND);

    world.fail(world.dispatches(id)[0].attempt, Reason::ConnectionLost);
    world.run_for(Duration::from_secs(10));

    assert_eq!(world.dispatches(id).len(), 1);
    let verdict = world.verdict(id).expect("answered");
    assert_eq!(verdict.outcome(), Outcome::Unknown);
}

/// Symptom: the caller of repeatable work sees an error though another
/// endpoint is free. Sequence: the endpoint dies before the first token.
/// Cause: no retry, or a retry at the endpoint that just failed.
#[test]
fn repeatable_work_is_tried_at_another_endpoint() {
    let mut world = World::new(2, 2);
    let id = world.request(0, "plan");
    world.run_for(SECOND);

    world.fail(world.dispatches(id)[0].attempt, Reason::ConnectionLost);
    world.run_for(SECOND);

    let dispatches = world.dispatches(id);
    assert_eq!(dispatches.len(), 2);
    assert_ne!(dispatches[0].endpoint.key, dispatches[1].endpoint.key);
    assert_eq!(dispatches[1].attempt.number, 2);
}

/// Symptom: work is sent to an endpoint long after it said that it leaves.
/// Sequence: one entry is refused with "leaving"; the published list still
/// calls the endpoint live. Cause: the news stays with whoever heard it.
#[test]
fn an_endpoint_that_refuses_as_leaving_gets_nothing_new_from_anyone() {
    let mut world = World::new(3, 2);
    let id = world.request(0, "plan");
    world.run_for(SECOND);
    let first = world.dispatches(id)[0].clone();
    world.leaving_endpoints.insert(first.endpoint.key);

    world.update(
        first.attempt,
        AttemptUpdate::Failed {
            reason: Reason::EndpointLeaving,
            ran: Ran::Maybe,
            delivered: 0,
            retry_after: None,
        },
    );
    world.run_for(SECOND);
    let later: Vec<_> = (0..30).map(|n| world.request(n % 3, "plan")).collect();
    world.run_for(SECOND);

    for id in later {
        for order in world.dispatches(id) {
            assert_ne!(order.endpoint.key, first.endpoint.key);
        }
    }
}

/// Symptom: a rolling restart cuts plans off. Sequence: a stop is asked for
/// while a stream runs. Cause: the process ends before its last stream.
#[test]
fn a_planned_stop_waits_for_the_last_stream() {
    let mut world = World::new(2, 1);
    let id = world.request(0, "plan");
    world.run_for(SECOND);
    let attempt = world.dispatches(id)[0].attempt;

    world.feed(world.key(0), Event::Stop);
    world.run_for(Duration::from_secs(3_600));
    assert!(!world.seat(0).stopped, "the stream still runs");
    world.complete(attempt);
    world.run_for(SECOND);

    assert!(world.seat(0).stopped);
}

/// Symptom: a cell's memory counts as full though nothing runs. Sequence: an
/// entry dies with granted requests and comes back under the same name.
/// Cause: the home keeps the leases of the life that is over.
#[test]
fn a_replaced_life_holds_no_room() {
    let mut world = World::new(2, 1);
    let ids: Vec<_> = (0..4).map(|_| world.request(0, "plan")).collect();
    world.run_for(SECOND);
    assert!(ids.iter().all(|&id| world.dispatches(id).len() == 1));

    world.kill(0);
    world.run_for(Duration::from_millis(100));
    world.heal();
    world.start_node(0, Incarnation(77));
    world.run_for(Duration::from_secs(30));

    let running: u32 = (0..2)
        .flat_map(|n| world.seat(n).node.snapshot().cells)
        .map(|(_, cell)| cell.running)
        .sum();
    assert_eq!(running, 0);
}

/// Symptom: requests on the smaller side of a partition all fail. Sequence: an
/// entry loses every peer, the home among them. Cause: waiting for a home that
/// cannot be reached instead of deciding alone, over-committing a little.
#[test]
fn an_isolated_entry_decides_alone_and_rejoins() {
    let mut world = World::new(3, 2);

    world.isolate(0);
    world.run_for(SECOND);
    let alone = world.request(0, "plan");
    let others = world.request(1, "plan");
    world.run_for(Duration::from_secs(3));
    assert_eq!(world.dispatches(alone).len(), 1);
    assert_eq!(world.dispatches(others).len(), 1);

    world.heal();
    world.run_for(Duration::from_secs(5));
    let after = world.request(0, "plan");
    world.run_for(SECOND);
    assert_eq!(world.dispatches(after).len(), 1);
}

/// Symptom: callers are refused for as long as the platform is down.
/// Sequence: the platform stops answering after the start. Cause: serving
/// depends on a fresh read.
#[test]
fn serving_goes_on_while_the_platform_is_down() {
    let mut world = World::new(2, 1);
    world.platform_down = true;

    world.run_for(Duration::from_secs(3_600));
    let id = world.request(1, "plan");
    world.run_for(SECOND);

    assert_eq!(world.dispatches(id).len(), 1);
}

/// Symptom: a plan that was nearly done ends as partial although another
/// endpoint is free. Sequence: a generation runs for longer than its class's
/// longest wait, then its endpoint dies. Cause: the wait for the replay is
/// counted from the request's arrival, so that every home refuses it.
#[test]
fn a_long_generation_is_replayed_elsewhere() {
    let mut world = World::new(2, 2);
    let id = world.request(0, "plan");
    world.run_for(Duration::from_secs(60));
    let first = world.dispatches(id)[0].clone();

    world.update(
        first.attempt,
        AttemptUpdate::Failed {
            reason: Reason::GenerationLost,
            ran: Ran::Maybe,
            delivered: 900,
            retry_after: None,
        },
    );
    world.run_for(Duration::from_secs(5));

    let dispatches = world.dispatches(id);
    assert_eq!(dispatches.len(), 2, "{:?}", world.verdict(id));
    assert_eq!(dispatches[1].mode, AttemptMode::Replay { delivered: 900 });
    assert_ne!(dispatches[1].endpoint.key, first.endpoint.key);
}

/// Symptom: where a model has one endpoint, one broken connection fails the
/// request, though the endpoint is back at once. Sequence: the only endpoint
/// fails before the first token. Cause: a retry excludes it for good.
#[test]
fn the_only_endpoint_is_tried_again() {
    let mut world = World::new(1, 1);
    let id = world.request(0, "plan");
    world.run_for(SECOND);

    world.fail(world.dispatches(id)[0].attempt, Reason::ConnectionLost);
    world.run_for(Duration::from_secs(3));

    assert_eq!(world.dispatches(id).len(), 2, "{:?}", world.verdict(id));
}

/// Symptom: a mistake in the catalogue takes the service down, or is silently
/// left out. Sequence: an index with a mistake is published. Cause: parts of it
/// come into force, or nobody is told that it did not.
#[test]
fn a_bad_catalogue_changes_nothing_and_is_shown() {
    let mut world = World::new(3, 1);

    let bad = b"revision = 2\nshards = []\n[[entry]]\nname = \"plan\"\n";
    world.publish(ValueName::CatalogueIndex, 2, bad.to_vec());
    world.run_for(Duration::from_secs(30));

    let shown = (0..3).filter(|&n| world.seat(n).node.snapshot().rejection.is_some());
    assert!(shown.count() > 0, "at least the watchers show it");
    for n in 0..3 {
        assert_eq!(world.seat(n).node.snapshot().catalogue_revision, 1);
        let id = world.request(n, "plan");
        world.run_for(SECOND);
        assert_eq!(world.dispatches(id).len(), 1);
    }
}

/// Symptom: after the loss of one instance, callers elsewhere wait until their
/// longest wait and are refused with `home_silent`. Sequence: an entry runs
/// some requests in a crowded cell and queues others there; the cell's home
/// dies. Cause: the entry asks the next home again and then tells it what runs;
/// the home takes what is not named for ended, the asks included.
#[rstest]
#[case::one(1)]
#[case::the_other(2)]
fn queued_requests_outlive_their_home_beside_running_ones(#[case] entry: usize) {
    let mut world = World::new(3, 1);
    let first = world.request(0, "plan");
    world.run_for(SECOND);
    let home = (0..3)
        .find(|&n| !world.seat(n).node.snapshot().cells.is_empty())
        .expect("some node is home");
    let entry = (home + entry) % 3;
    let ids: Vec<_> = (0..90).map(|_| world.request(entry, "plan")).collect();
    world.run_for(SECOND);
    let runs = |world: &World| {
        let granted = ids.iter().filter(|&&id| !world.dispatches(id).is_empty());
        granted.copied().collect::<Vec<_>>()
    };
    let before = runs(&world);
    assert!(!before.is_empty() && before.len() < ids.len(), "crowded");

    world.kill(home);
    world.run_for(SECOND);
    for id in before.iter().filter(|&&id| id != first) {
        world.complete(world.dispatches(*id)[0].attempt);
    }
    world.run_for(SECOND * 2);

    assert!(
        runs(&world).len() > before.len(),
        "nothing queued was granted"
    );
}
