//! Which endpoints accept new work.

use core::time::Duration;
use oriolemux_core::gateway::EndpointRecord;
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::{EndpointKey, Time};

fn record(name: &str, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        name: name.to_owned(),
        service: "desk".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "north".to_owned(),
        slots: 6,
        started_unix_ms: None,
        leaving,
        cold_for: Duration::ZERO,
    }
}

fn table() -> (EndpointTable, EndpointKey) {
    let mut table = EndpointTable::default();
    table.apply_record(Time::ZERO, record("e-1", false));
    (table, EndpointKey::of("e-1"))
}

fn is_usable(table: &EndpointTable, key: EndpointKey) -> bool {
    table.is_usable(key)
}

/// Guards against new work for a leaving endpoint: its record was written once more after a peer
/// had reported that it leaves, and the record took precedence over the endpoint's own state.
#[test]
fn leaving_is_final() {
    let (mut table, key) = table();

    assert!(table.mark_leaving(Time::from_secs(1), key));
    table.apply_record(Time::from_secs(2), record("e-1", false));

    assert!(!is_usable(&table, key));
    assert!(
        !table.mark_leaving(Time::from_secs(3), key),
        "it is known already"
    );
}

#[test]
fn an_endpoint_that_left_before_its_record_arrived_is_not_usable() {
    let mut table = EndpointTable::default();
    let key = EndpointKey::of("e-1");

    table.mark_leaving(Time::ZERO, key);
    table.apply_record(Time::from_secs(1), record("e-1", false));

    assert!(!is_usable(&table, key));
}

/// Guards against losing all endpoints in a store outage: their records lapse while the store is
/// down, and are written again within two seconds of its return.
#[test]
fn records_that_lapsed_in_an_outage_may_return() {
    let (mut table, key) = table();

    table.remove_record(Time::from_secs(1), "e-1", true);
    let during = table.tick(Time::from_secs(9), true);
    table.apply_record(Time::from_secs(10), record("e-1", false));
    let after = table.tick(Time::from_secs(60), false);

    assert!(during.is_empty() && after.is_empty());
    assert!(is_usable(&table, key));
}

#[test]
fn records_that_do_not_return_after_an_outage_are_gone() {
    let (mut table, key) = table();

    table.remove_record(Time::from_secs(1), "e-1", true);
    let gone = table.tick(Time::from_secs(1) + Duration::from_millis(50), false);

    assert_eq!(gone, [key]);
    assert!(!is_usable(&table, key));
}

#[test]
fn a_record_removed_while_the_store_is_settled_is_gone_at_once() {
    let (mut table, key) = table();

    assert_eq!(
        table.remove_record(Time::from_secs(1), "e-1", false),
        Some(key)
    );

    assert!(!is_usable(&table, key));
}

/// Guards against an endpoint that fails immediately and attracts all requests, because it is
/// always the least loaded one.
#[test]
fn consecutive_failures_eject_an_endpoint_for_a_while() {
    let (mut table, key) = table();
    let now = Time::from_secs(5);

    let ejected: Vec<bool> = (0..3).map(|_| table.on_failure(now, key)).collect();

    assert_eq!(ejected, [false, false, true]);
    let endpoint = table.get(key).expect("it is there");
    assert!(endpoint.is_ejected(now));
    assert!(!endpoint.is_ejected(now + Duration::from_secs(1)));
    table.on_success(key);
    assert!(!table.get(key).expect("it is there").is_ejected(now));
}

/// A generation takes many seconds to end, so its first event already shows that the engine works.
#[test]
fn a_first_event_ends_the_failing_state() {
    let (mut table, key) = table();
    let now = Time::from_secs(1);
    table.on_failure(now, key);
    assert_eq!(table.failing().collect::<Vec<_>>(), [key]);

    table.on_response(key);

    assert_eq!(table.failing().count(), 0);
}

#[test]
fn failures_of_leaving_endpoints_are_not_reported() {
    let (mut table, key) = table();
    table.on_failure(Time::from_secs(1), key);

    table.mark_leaving(Time::from_secs(2), key);

    assert_eq!(table.failing().count(), 0);
}

/// An endpoint that accepts no connections is ejected immediately. A failed request may be caused
/// by the request itself.
#[test]
fn an_unreachable_endpoint_is_ejected_at_once() {
    let (mut table, key) = table();
    let now = Time::from_secs(1);

    assert!(!table.on_failure(now, key));
    assert!(table.on_unreachable(now, key));

    assert!(table.get(key).is_some_and(|it| it.is_ejected(now)));
}

/// An incarnation of the endpoint `e-1`.
fn incarnation(started_unix_ms: u64, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        started_unix_ms: Some(started_unix_ms),
        ..record("e-1", leaving)
    }
}

/// Guards against a restarted engine that inherits the state of its predecessor, which failed and
/// was leaving: state that is keyed by name alone would exclude the new incarnation for good.
#[test]
fn a_new_incarnation_does_not_inherit_state() {
    let mut table = EndpointTable::default();
    let (first, second) = (incarnation(1_000, false), incarnation(2_000, false));
    let now = Time::from_secs(1);
    table.apply_record(now, first.clone());
    table.on_unreachable(now, first.key());
    table.mark_leaving(now, first.key());

    table.apply_record(now, second.clone());

    let restarted = table.get(second.key()).expect("it is known");
    assert!(is_usable(&table, second.key()));
    assert!(!restarted.is_ejected(now) && !restarted.is_failing());
    assert!(!is_usable(&table, first.key()));
}

/// Guards against generations that wait for a restarted engine, which has lost their state. If the
/// engine restarts behind a partition, its new record is the first sign of the restart.
#[test]
fn the_previous_incarnation_leaves_when_a_new_one_is_published() {
    let mut table = EndpointTable::default();
    let now = Time::from_secs(1);
    table.apply_record(now, incarnation(1_000, false));

    let started_leaving = table.apply_record(now, incarnation(2_000, false));

    assert_eq!(started_leaving, [incarnation(1_000, false).key()]);
}

/// Guards against a previous incarnation that is used again, because its record was read before the
/// restart and arrives after the new one.
#[test]
fn an_older_record_does_not_restore_a_previous_incarnation() {
    let mut table = EndpointTable::default();
    let now = Time::from_secs(1);
    table.apply_record(now, incarnation(2_000, false));

    let started_leaving = table.apply_record(now, incarnation(1_000, true));

    assert!(started_leaving.is_empty());
    assert!(is_usable(&table, incarnation(2_000, false).key()));
    assert!(table.get(incarnation(1_000, false).key()).is_none());
}

/// The removal of a record applies to the newest incarnation under its name.
#[test]
fn removing_the_record_removes_the_newest_incarnation() {
    let mut table = EndpointTable::default();
    let now = Time::from_secs(1);
    table.apply_record(now, incarnation(1_000, false));
    table.apply_record(now, incarnation(2_000, false));

    let gone = table.remove_record(now, "e-1", false);

    assert_eq!(gone, Some(incarnation(2_000, false).key()));
}

/// Around a store outage, both an unreadable record and a removed one may be written again.
#[test]
fn a_record_that_is_readable_again_restores_its_endpoint() {
    let (mut table, key) = table();
    let now = Time::from_secs(1);

    table.mark_unreadable("e-1");
    let meanwhile = is_usable(&table, key);
    table.tick(now, false);
    table.apply_record(now, record("e-1", false));

    assert!(!meanwhile);
    assert!(is_usable(&table, key));
}

/// Guards against new work for an endpoint that announced to leave minutes ago, and whose record
/// still stands because the endpoint does not reach the store.
#[test]
fn leaving_is_remembered_for_as_long_as_the_record_stands() {
    let (mut table, key) = table();
    table.mark_leaving(Time::from_secs(1), key);

    for minute in 1..=10 {
        let now = Time::from_secs(60 * minute + 5);
        table.tick(now, false);
        table.apply_record(now, record("e-1", false));

        assert!(!is_usable(&table, key), "after {minute} minutes");
    }
}

/// Guards against a record that is written again after an outage and restores an endpoint that
/// announced to leave before it.
#[test]
fn leaving_is_remembered_for_a_while_after_the_record_is_gone() {
    let (mut table, key) = table();
    table.mark_leaving(Time::from_secs(1), key);
    table.tick(Time::from_secs(300), true);
    table.remove_record(Time::from_secs(300), "e-1", true);

    table.tick(Time::from_secs(303), false);
    table.apply_record(Time::from_secs(303), record("e-1", false));

    assert!(!is_usable(&table, key));
}

/// Guards against memory that grows with every endpoint that ever left.
#[test]
fn endpoints_that_left_are_forgotten_once_their_records_are_gone() {
    let (mut table, key) = table();
    table.mark_leaving(Time::from_secs(1), key);
    table.remove_record(Time::from_secs(300), "e-1", false);

    table.tick(Time::from_secs(361), false);

    assert!(table.get(key).is_none());
}
