//! What the absence of an endpoint's record means, and who may conclude it.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::{ENDPOINT_PREFIX, Fleet, StoreContent, StoreModel};
use oriolemux_core::gateway::reader::CallFailure;
use oriolemux_core::gateway::{Gateway, Record, Revision};
use oriolemux_core::{EndpointKey, Time};
use rstest::rstest;

/// How long after the store acknowledged that an endpoint is gone a request may still reach it.
const BOUND: Duration = Duration::from_secs(2);

/// The part of that bound which opening a connection and sending a request may take.
const SENDING: Duration = Duration::from_millis(500);

const STORE: StoreModel = StoreModel {
    calls_per_second: 1_000,
    response_time: Duration::from_millis(5),
    heartbeat_interval: Duration::from_millis(100),
};

/// Returns what the store holds at a revision, at which the record of `e-1` was written or removed.
fn content(number: u64, is_present: bool) -> StoreContent {
    let revision = Revision {
        epoch: instances::rev(1).epoch,
        number,
    };
    let record = Record {
        key: format!("{ENDPOINT_PREFIX}e-1"),
        revision,
        value: is_present.then(|| b"ready".to_vec()),
    };
    StoreContent {
        revision,
        record: Some(record),
    }
}

/// Starts a fleet that has read the record of `e-1` from a store.
fn fleet_with_store(size: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(size, 3, seed);
    fleet.content = Some(content(1, true));
    fleet.model_store(STORE);
    let joined = fleet.until_all_count(size, Duration::from_secs(20));
    assert!(joined.is_some(), "{:?}", fleet.counts());
    fleet.run(Duration::from_secs(8));
    assert_eq!(users_of(&fleet, "e-1").len(), size);
    fleet
}

/// Returns the instances that would send new work to an endpoint.
fn users_of(fleet: &Fleet, name: &str) -> Vec<usize> {
    let key = EndpointKey::of(name);
    let uses = |it: &usize| {
        let core = fleet.nodes[*it].core.as_ref();
        core.is_some_and(|it| it.is_usable(key))
    };
    (0..fleet.nodes.len()).filter(uses).collect()
}

fn watchers(fleet: &Fleet) -> Vec<usize> {
    let watches = |it: &usize| {
        let core = fleet.nodes[*it].core.as_ref();
        core.is_some_and(|core| core.watches(fleet.now))
    };
    (0..fleet.nodes.len()).filter(watches).collect()
}

/// Guards against requests to an endpoint whose record was removed, because a watcher that the store
/// rejects takes its own failed calls for an outage of the store.
#[rstest]
#[case::during_its_trouble(Duration::from_millis(3_000), Duration::ZERO)]
#[case::after_its_trouble(Duration::from_millis(4_000), Duration::from_millis(1_500))]
fn a_rejected_watcher_keeps_no_removed_endpoint_in_use(
    #[case] rejected_for: Duration,
    #[case] answered_for: Duration,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut fleet = fleet_with_store(6, seed);
    fleet.rejected = watchers(&fleet).into_iter().collect();
    assert!(!fleet.rejected.is_empty());
    fleet.run(rejected_for);
    if !answered_for.is_zero() {
        fleet.rejected.clear();
        fleet.run(answered_for);
    }

    fleet.content = Some(content(2, false));
    fleet.run(BOUND - SENDING);

    assert_eq!(users_of(&fleet, "e-1"), Vec::<usize>::new());
}

/// Guards against an instance that takes the time for which it made no calls for an outage: its first
/// call as a watcher fails, and it goes on using endpoints whose records are removed.
#[test]
fn one_failed_call_of_a_new_watcher_is_no_outage() {
    let mut one = Gateway::new(Time::ZERO, instances::config(1, &[]));
    let engine = EndpointKey::of("e-1");
    one.reader.on_read(Time::ZERO);
    one.publish_endpoint(Time::ZERO, instances::engine("e-1"));
    let mut now = Time::ZERO;
    for number in 1..=150 {
        now += Duration::from_millis(400);
        one.reader.stand_by();
        let beacon = instances::beacon(2, number, 20);
        one.on_datagram(now, beacon).expect("accepted");
        one.tick(now);
    }

    let failed = now + Duration::from_millis(100);
    one.reader.on_failure(failed, CallFailure::Refused, 0.5);
    let answered = failed + Duration::from_millis(100);
    one.reader.on_answer(answered);
    one.endpoint_vanished(answered + Duration::from_millis(10), "e-1");

    let late = answered + (BOUND - SENDING);
    one.tick(late);
    assert!(!one.is_usable(engine));
}
