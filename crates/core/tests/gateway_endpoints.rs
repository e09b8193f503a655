//! Which endpoints take work.

use core::time::Duration;
use oriolemux_core::gateway::EndpointRecord;
use oriolemux_core::gateway::endpoints::{EndpointTable, LAPSE_GRACE};
use oriolemux_core::{EndpointKey, Time};

fn record(name: &str, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        name: name.to_owned(),
        service: "desk".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "north".to_owned(),
        slots: 6,
        leaving,
        cold: Duration::ZERO,
    }
}

fn table() -> (EndpointTable, EndpointKey) {
    let mut table = EndpointTable::default();
    table.publish(Time::ZERO, record("e-1", false));
    (table, EndpointKey::of("e-1"))
}

fn takes_work(table: &EndpointTable, key: EndpointKey) -> bool {
    table.get(key).is_some_and(|endpoint| endpoint.takes_work())
}

/// Symptom: an endpoint that leaves is sent new work. Sequence: its entry is written
/// once more after a peer told that it leaves. Cause: the store's word went before
/// the endpoint's own.
#[test]
fn leaving_is_final() {
    let (mut table, key) = table();

    assert!(table.leave(Time::from_secs(1), key));
    table.publish(Time::from_secs(2), record("e-1", false));

    assert!(!takes_work(&table, key));
    assert!(!table.leave(Time::from_secs(3), key), "no news");
}

#[test]
fn news_of_an_unknown_endpoint_holds_when_it_appears() {
    let mut table = EndpointTable::default();
    let key = EndpointKey::of("e-1");

    table.leave(Time::ZERO, key);
    table.publish(Time::from_secs(1), record("e-1", false));

    assert!(!takes_work(&table, key));
}

/// Symptom: all endpoints are gone after an outage of the store. Sequence: entries
/// lapsed while it was away, and are written again within two seconds.
#[test]
fn entries_that_lapsed_in_an_outage_may_come_back() {
    let (mut table, key) = table();

    table.vanish(Time::from_secs(1), "e-1", true);
    let during = table.tick(Time::from_secs(9), true);
    table.publish(Time::from_secs(10), record("e-1", false));
    let after = table.tick(Time::from_secs(60), false);

    assert!(during.is_empty() && after.is_empty());
    assert!(takes_work(&table, key));
}

#[test]
fn entries_that_stay_away_after_an_outage_are_gone() {
    let (mut table, key) = table();

    table.vanish(Time::from_secs(1), "e-1", true);
    let gone = table.tick(Time::from_secs(1) + LAPSE_GRACE, false);

    assert_eq!(gone, [key]);
    assert!(!takes_work(&table, key));
}

#[test]
fn an_entry_that_vanishes_in_quiet_times_is_gone_at_once() {
    let (mut table, key) = table();

    assert!(table.vanish(Time::from_secs(1), "e-1", false));

    assert!(!takes_work(&table, key));
}

/// Symptom: an endpoint that fails at once draws all requests. Cause: it is always
/// the least loaded one.
#[test]
fn failures_in_a_row_make_an_endpoint_be_passed_over_for_a_while() {
    let (mut table, key) = table();
    let now = Time::from_secs(5);

    let passed_over: Vec<bool> = (0..3).map(|_| table.on_failure(now, key)).collect();

    assert_eq!(passed_over, [false, false, true]);
    let endpoint = table.get(key).expect("it is there");
    assert!(endpoint.is_ejected(now));
    assert!(!endpoint.is_ejected(now + Duration::from_secs(1)));
    table.on_success(key);
    assert!(!table.get(key).expect("it is there").is_ejected(now));
}

/// An engine answers for many seconds before a generation ends; its first event shows
/// that it is there.
#[test]
fn an_endpoint_that_begins_to_answer_no_longer_fails() {
    let (mut table, key) = table();
    let now = Time::from_secs(1);
    table.on_failure(now, key);
    assert_eq!(table.failing().collect::<Vec<_>>(), [key]);

    table.on_answer(key);

    assert_eq!(table.failing().count(), 0);
}

#[test]
fn peers_are_not_told_of_failures_at_endpoints_that_leave() {
    let (mut table, key) = table();
    table.on_failure(Time::from_secs(1), key);

    table.leave(Time::from_secs(2), key);

    assert_eq!(table.failing().count(), 0);
}

/// An endpoint that takes no connections is passed over at once; one request that fails
/// there may be the request's own fault.
#[test]
fn an_endpoint_that_cannot_be_reached_is_passed_over_at_once() {
    let (mut table, key) = table();
    let now = Time::from_secs(1);

    assert!(!table.on_failure(now, key));
    assert!(table.on_unreachable(now, key));

    assert!(table.get(key).is_some_and(|it| it.is_ejected(now)));
}
