//! Failures in the middle of requests.

use crate::world::World;
use oriolemux_core::event::{AttemptMode, AttemptUpdate, Event, ValueName};
use oriolemux_core::{Incarnation, Outcome, Ran, Reason};
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Failure: a request waits for its longest wait and is refused, although endpoints are idle. The
/// home of the cell dies with the request in its queue, and the entry instance waits for its answer
/// instead of requesting a grant from the next home in rank.
#[test]
fn queued_requests_move_to_the_next_home() {
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

/// Failure: an order runs twice. The connection of a non-idempotent request breaks before any
/// response, and the request is retried although its outcome is unknown.
#[test]
fn non_idempotent_work_that_may_have_run_is_not_retried() {
    let mut world = World::new(2, 2);
    let id = world.request(0, "order");
    world.run_for(SECOND);

    world.fail(world.dispatches(id)[0].attempt, Reason::ConnectionLost);
    world.run_for(Duration::from_secs(10));

    assert_eq!(world.dispatches(id).len(), 1);
    let verdict = world.verdict(id).expect("answered");
    assert_eq!(verdict.outcome(), Outcome::Unknown);
}

/// Failure: the caller of idempotent work receives an error although another endpoint is free. The
/// endpoint dies before the first token, and there is no retry, or only one at the endpoint that
/// just failed.
#[test]
fn idempotent_work_is_retried_at_another_endpoint() {
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

/// Failure: work is sent to an endpoint long after it announced that it is leaving. One instance is
/// refused with "leaving" while the published list still has the endpoint as live, and the instance
/// does not gossip it.
#[test]
fn an_endpoint_that_refuses_as_leaving_gets_nothing_new_from_any_instance() {
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

/// Failure: a rolling restart interrupts streams. A stop is requested while a stream runs, and the
/// process ends before its last stream.
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

/// Failure: the KV cache of a cell counts as full though nothing runs. An instance dies with
/// granted requests and comes back under the same name, and the home keeps the grants of the ended
/// incarnation.
#[test]
fn a_replaced_incarnation_holds_no_capacity() {
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

/// Failure: all requests on the smaller side of a partition fail. An instance loses every peer, the
/// home included, and waits for a home that cannot be reached instead of becoming the home itself,
/// at the cost of some over-commitment.
#[test]
fn an_isolated_instance_serves_its_callers_and_rejoins() {
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

/// Failure: callers are refused while the platform is down. The platform stops answering after the
/// start, and serving depends on a recent read.
#[test]
fn serving_continues_while_the_platform_is_down() {
    let mut world = World::new(2, 1);
    world.platform_down = true;

    world.run_for(Duration::from_secs(3_600));
    let id = world.request(1, "plan");
    world.run_for(SECOND);

    assert_eq!(world.dispatches(id).len(), 1);
}

/// Failure: a generation that was nearly complete ends as partial although another endpoint is
/// free. It ran for longer than the longest wait of its class, then its endpoint died; the wait for
/// the replay is counted from the arrival of the request, so every home refuses it.
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

/// Failure: where a model has one endpoint, one broken connection fails the request, though the
/// endpoint is available again at once. The endpoint fails before the first token, and the retry
/// excludes it permanently.
#[test]
fn the_only_endpoint_is_retried() {
    let mut world = World::new(1, 1);
    let id = world.request(0, "plan");
    world.run_for(SECOND);

    world.fail(world.dispatches(id)[0].attempt, Reason::ConnectionLost);
    world.run_for(Duration::from_secs(3));

    assert_eq!(world.dispatches(id).len(), 2, "{:?}", world.verdict(id));
}

/// Failure: an error in the catalogue interrupts the service, or is silently ignored. An index with
/// an error is published, and parts of it come into force, or nothing shows that it was rejected.
#[test]
fn an_invalid_catalogue_changes_nothing_and_is_shown() {
    let mut world = World::new(3, 1);

    let bad = b"revision = 2\nshards = []\n[[entry]]\nname = \"plan\"\n";
    world.publish(ValueName::CatalogueIndex, 2, bad.to_vec());
    world.run_for(Duration::from_secs(30));

    let shown = (0..3).filter(|&n| world.seat(n).node.snapshot().rejection.is_some());
    assert!(shown.count() > 0, "at least the watchers report it");
    for n in 0..3 {
        assert_eq!(world.seat(n).node.snapshot().catalogue_revision, 1);
        let id = world.request(n, "plan");
        world.run_for(SECOND);
        assert_eq!(world.dispatches(id).len(), 1);
    }
}

/// Failure: after the loss of one instance, requests at other instances wait for their longest wait
/// and are refused with `home_silent`. An instance runs some requests in a crowded cell and has
/// others queued there when the home of the cell dies. If it sends its queued requests to the next
/// home before the resync of the running ones, the home drops everything that the resync does not
/// name, the queued requests included.
#[rstest]
#[case::one(1)]
#[case::the_other(2)]
fn queued_requests_survive_their_home_next_to_running_ones(#[case] entry: usize) {
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
