//! Which endpoints accept new work.

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

fn takes_work(table: &EndpointTable, key: EndpointKey) -> bool {
    table.is_usable(key)
}

/// Guards against new work for a leaving endpoint: its record was written once more after a peer
/// had reported that it leaves, and the record took precedence over the endpoint's own state.
#[test]
fn leaving_is_final() {
    let (mut table, key) = table();

    assert!(table.mark_leaving(Time::from_secs(1), key));
    table.apply_record(Time::from_secs(2), record("e-1", false));

    assert!(!takes_work(&table, key));
    assert!(!table.mark_leaving(Time::from_secs(3), key), "no news");
}

#[test]
fn news_of_an_unknown_endpoint_holds_when_it_appears() {
    let mut table = EndpointTable::default();
    let key = EndpointKey::of("e-1");

    table.mark_leaving(Time::ZERO, key);
    table.apply_record(Time::from_secs(1), record("e-1", false));

    assert!(!takes_work(&table, key));
}

/// Guards against losing all endpoints in a store outage: their records lapse while the store is
/// down, and are written again within two seconds of its return.
#[test]
fn entries_that_lapsed_in_an_outage_may_come_back() {
    let (mut table, key) = table();

    table.remove_record(Time::from_secs(1), "e-1", true);
    let during = table.tick(Time::from_secs(9), true);
    table.apply_record(Time::from_secs(10), record("e-1", false));
    let after = table.tick(Time::from_secs(60), false);

    assert!(during.is_empty() && after.is_empty());
    assert!(takes_work(&table, key));
}

#[test]
fn entries_that_stay_away_after_an_outage_are_gone() {
    let (mut table, key) = table();

    table.remove_record(Time::from_secs(1), "e-1", true);
    let gone = table.tick(Time::from_secs(1) + LAPSE_GRACE, false);

    assert_eq!(gone, [key]);
    assert!(!takes_work(&table, key));
}

#[test]
fn an_entry_that_vanishes_in_quiet_times_is_gone_at_once() {
    let (mut table, key) = table();

    assert_eq!(
        table.remove_record(Time::from_secs(1), "e-1", false),
        Some(key)
    );

    assert!(!takes_work(&table, key));
}

/// Guards against an endpoint that fails immediately and attracts all requests, because it is
/// always the least loaded one.
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

/// A generation takes many seconds to end, so its first event already shows that the engine works.
#[test]
fn an_endpoint_that_begins_to_answer_no_longer_fails() {
    let (mut table, key) = table();
    let now = Time::from_secs(1);
    table.on_failure(now, key);
    assert_eq!(table.failing().collect::<Vec<_>>(), [key]);

    table.on_response(key);

    assert_eq!(table.failing().count(), 0);
}

#[test]
fn peers_are_not_told_of_failures_at_endpoints_that_leave() {
    let (mut table, key) = table();
    table.on_failure(Time::from_secs(1), key);

    table.mark_leaving(Time::from_secs(2), key);

    assert_eq!(table.failing().count(), 0);
}

/// An endpoint that accepts no connections is ejected immediately. A failed request may be caused
/// by the request itself.
#[test]
fn an_endpoint_that_cannot_be_reached_is_passed_over_at_once() {
    let (mut table, key) = table();
    let now = Time::from_secs(1);

    assert!(!table.on_failure(now, key));
    assert!(table.on_unreachable(now, key));

    assert!(table.get(key).is_some_and(|it| it.is_ejected(now)));
}

/// An incarnation of the endpoint `e-1`.
fn life(born: u64, leaving: bool) -> EndpointRecord {
    EndpointRecord {
        started_unix_ms: Some(born),
        ..record("e-1", leaving)
    }
}

/// Guards against a restarted engine that inherits the state of its predecessor, which failed and
/// was leaving: state that is keyed by name alone would exclude the new incarnation for good.
#[test]
fn a_new_life_begins_without_what_is_known_of_the_one_before() {
    let mut table = EndpointTable::default();
    let (first, second) = (life(1_000, false), life(2_000, false));
    let now = Time::from_secs(1);
    table.apply_record(now, first.clone());
    table.on_unreachable(now, first.key());
    table.mark_leaving(now, first.key());

    table.apply_record(now, second.clone());

    let reborn = table.get(second.key()).expect("it is known");
    assert!(takes_work(&table, second.key()));
    assert!(!reborn.is_ejected(now) && !reborn.is_failing());
    assert!(!takes_work(&table, first.key()));
}

/// Guards against generations that wait for a restarted engine, which has lost their state. If the
/// engine restarts behind a partition, its new record is the first sign of the restart.
#[test]
fn the_life_before_leaves_when_a_new_one_is_published() {
    let mut table = EndpointTable::default();
    let now = Time::from_secs(1);
    table.apply_record(now, life(1_000, false));

    let began = table.apply_record(now, life(2_000, false));

    assert_eq!(began, [life(1_000, false).key()]);
}

/// Guards against a previous incarnation that is used again, because its record was read before the
/// restart and arrives after the new one.
#[test]
fn an_older_record_brings_no_old_life_back() {
    let mut table = EndpointTable::default();
    let now = Time::from_secs(1);
    table.apply_record(now, life(2_000, false));

    let began = table.apply_record(now, life(1_000, true));

    assert!(began.is_empty());
    assert!(takes_work(&table, life(2_000, false).key()));
    assert!(table.get(life(1_000, false).key()).is_none());
}

/// The removal of a record applies to the newest incarnation under its name.
#[test]
fn the_newest_life_vanishes_with_the_entry() {
    let mut table = EndpointTable::default();
    let now = Time::from_secs(1);
    table.apply_record(now, life(1_000, false));
    table.apply_record(now, life(2_000, false));

    let gone = table.remove_record(now, "e-1", false);

    assert_eq!(gone, Some(life(2_000, false).key()));
}

/// Around a store outage, both an unreadable record and a removed one may be written again.
#[test]
fn an_entry_that_can_be_read_again_names_its_endpoint_again() {
    let (mut table, key) = table();
    let now = Time::from_secs(1);

    table.mark_unreadable("e-1");
    let meanwhile = takes_work(&table, key);
    table.tick(now, false);
    table.apply_record(now, record("e-1", false));

    assert!(!meanwhile);
    assert!(takes_work(&table, key));
}
