//! What the absence of an endpoint's record means, and who may conclude it.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use bincode::config::standard;
use core::time::Duration;
use fleet::{ENDPOINT_PREFIX, Fleet, StoreContent, StoreModel};
use oriolemux_core::gateway::endpoints::Removal;
use oriolemux_core::gateway::reader::CallFailure;
use oriolemux_core::gateway::{Datagram, Gateway, Record, Revision};
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
    one.endpoint_vanished(answered + Duration::from_millis(10), "e-1", Removal::Stated);

    let late = answered + (BOUND - SENDING);
    one.tick(late);
    assert!(!one.is_usable(engine));
}

/// How long after its record is back a sound endpoint may stay unused.
const USED_AGAIN: Duration = Duration::from_secs(2);

/// How long the store is away: long enough for records to expire.
const OUTAGE: Duration = Duration::from_secs(8);

/// Guards against an endpoint that is lost for good because its record expired for silence, at
/// instances that saw it and at those that started meanwhile.
#[rstest]
fn an_endpoint_whose_record_expired_is_used_again(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet_with_store(6, seed);

    fleet.content = Some(content(2, false));
    fleet.run(BOUND - SENDING);
    let meanwhile = users_of(&fleet, "e-1");
    fleet.kill(5);
    fleet.start_one(5);
    fleet.run(Duration::from_secs(3));
    fleet.content = Some(content(3, true));
    fleet.run(USED_AGAIN);

    assert_eq!(meanwhile, Vec::<usize>::new());
    assert_eq!(users_of(&fleet, "e-1"), [0, 1, 2, 3, 4, 5]);
}

/// Guards against a fleet that loses its endpoints because instances which start during an outage of
/// the store take expired records for removed ones and tell all others.
#[rstest]
fn restarts_during_an_outage_lose_no_endpoint(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet_with_store(6, seed);

    fleet.store = Some(StoreModel {
        calls_per_second: 0,
        ..STORE
    });
    for index in 0..6 {
        fleet.run(OUTAGE / 6);
        fleet.kill(index);
        fleet.run(Duration::from_millis(200));
        fleet.start_one(index);
    }
    fleet.content = Some(content(2, false));
    fleet.store = Some(STORE);
    fleet.run(Duration::from_millis(1_500));
    let before = users_of(&fleet, "e-1");
    fleet.content = Some(content(3, true));
    fleet.run(USED_AGAIN);

    assert!(!before.is_empty(), "no instance uses an expired endpoint");
    assert_eq!(users_of(&fleet, "e-1"), [0, 1, 2, 3, 4, 5]);
}

/// Guards against an endpoint that announced to leave and is used again because its record went and
/// came back, at instances that knew and at those that started meanwhile.
#[rstest]
fn an_endpoint_that_announced_to_leave_stays_unused(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = fleet_with_store(6, seed);
    fleet.observe_leaving(1, EndpointKey::of("e-1"));
    fleet.run(Duration::from_secs(1));

    fleet.content = Some(content(2, false));
    fleet.run(Duration::from_secs(3));
    fleet.content = Some(content(3, true));
    fleet.run(Duration::from_secs(1));
    fleet.kill(5);
    fleet.start_one(5);
    fleet.run(Duration::from_secs(4));

    assert_eq!(users_of(&fleet, "e-1"), Vec::<usize>::new());
}

/// Guards against an instance that tells others that an endpoint leaves, although only its record
/// is gone.
#[test]
fn a_removed_record_is_not_gossiped_as_leaving() {
    let mut one = Gateway::new(Time::ZERO, instances::config(1, &[]));
    let now = Time::from_secs(10);
    one.reader.on_answer(now);
    one.publish_endpoint(now, instances::engine("e-1"));

    one.endpoint_vanished(now, "e-1", Removal::Stated);
    one.publish_endpoint(now + Duration::from_millis(5), instances::engine("e-1"));

    assert_eq!(one.endpoints.known_leaving(), 0);
    assert!(one.is_usable(EndpointKey::of("e-1")));
}

/// Guards against requests to an endpoint whose removal was acknowledged, because the store came
/// back from a copy that is older, and against a sound endpoint that is lost for the same reason.
#[test]
fn a_copy_restores_an_absent_endpoint_only_once_writers_had_time() {
    let mut one = Gateway::new(Time::ZERO, instances::config(1, &[]));
    let engine = EndpointKey::of("e-1");
    let now = Time::from_secs(10);
    one.reader.on_answer(now);
    one.publish_endpoint(now, instances::engine("e-1"));
    one.endpoint_vanished(now, "e-1", Removal::Stated);
    one.publish_endpoint(now, instances::engine("e-2"));
    one.endpoint_vanished(now, "e-2", Removal::Stated);

    let back = now + Duration::from_secs(1);
    one.reader.begin_epoch(back);
    one.publish_endpoint(back, instances::engine("e-1"));
    one.publish_endpoint(back, instances::engine("e-2"));
    let at_once = one.is_usable(engine);
    let removed_again = back + Duration::from_secs(1);
    one.endpoint_vanished(removed_again, "e-2", Removal::Stated);
    let settled = back + Duration::from_secs(3);
    let returned = one.tick(settled).returned;

    assert!(!at_once);
    assert_eq!(returned, [engine]);
    assert!(one.is_usable(engine));
    assert!(!one.is_usable(EndpointKey::of("e-2")));
}

/// A datagram of the former version, encoded by it: the instance 2 says that `e-1` leaves. It says so
/// for a word of the endpoint and for a removed record alike.
const FORMER_MARK: [u8; 33] = [
    11, 1, 10, 0, 0, 2, 251, 32, 28, 2, 0, 0, 0, 7, 9, 0, 0, 3, 0, 1, 253, 175, 136, 152, 125, 217,
    229, 97, 186, 0, 0, 0, 0,
];

/// Guards against requests to an endpoint that announced to leave to an instance of the former
/// version alone, whose mark does not tell that from a removed record.
#[test]
fn a_mark_of_the_former_version_is_final() {
    let mut one = Gateway::new(Time::ZERO, instances::config(1, &[]));
    let now = Time::from_secs(10);
    one.reader.on_answer(now);
    one.publish_endpoint(now, instances::engine("e-1"));

    let (datagram, _): (Datagram, usize) =
        bincode::serde::decode_from_slice(&FORMER_MARK, standard()).expect("a datagram");
    one.on_datagram(now, datagram.clone()).expect("accepted");
    one.endpoint_vanished(now, "e-1", Removal::Stated);
    one.publish_endpoint(now, instances::engine("e-1"));

    assert!(!one.is_usable(EndpointKey::of("e-1")));
    let bytes = bincode::serde::encode_to_vec(&datagram, standard()).expect("encodable");
    assert_eq!(bytes, FORMER_MARK, "the former version reads it as before");
}
