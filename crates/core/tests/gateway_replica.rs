//! The replica of the store never steps back, in whatever order records arrive.

use core::time::Duration;
use oriolemux_core::gateway::{
    Applied, ContentHash, EndpointRecord, Epoch, Record, Replica, Revision,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Returns a revision of a store that states no epoch.
fn rev(number: u64) -> Revision {
    Revision {
        epoch: Epoch::UNSTATED,
        number,
    }
}

fn record(key: &str, revision: u64, value: Option<&str>) -> Record {
    Record {
        key: key.to_owned(),
        revision: rev(revision),
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

/// Applies a record whose content is its value; returns whether the content changed.
fn apply(replica: &mut Replica, record: Record) -> bool {
    let hash = match &record.value {
        Some(value) => ContentHash::of(&record.key, &[value]),
        None => ContentHash::NOTHING,
    };
    replica.apply(record, hash) == Applied::Changed
}

/// The record of an endpoint at one of its heartbeats.
fn heartbeat(revision: u64, leaving: bool) -> (Record, ContentHash) {
    let endpoint = EndpointRecord {
        name: "e-1".to_owned(),
        service: "model".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: "north".to_owned(),
        slots: 24,
        started_unix_ms: None,
        leaving,
        cold_for: Duration::ZERO,
    };
    let written = format!("{revision} heartbeats, leaving: {leaving}");
    let record = record("e-1", revision, Some(&written));
    let hash = ContentHash::of(&record.key, &[endpoint.canonical_form().as_bytes()]);
    (record, hash)
}

/// Applies a peer's delta of heartbeats of one endpoint.
fn apply_delta(replica: &mut Replica, from: &Replica) {
    let delta = from.delta_since(replica.revision());
    for record in delta.records {
        let leaving = record
            .value
            .as_ref()
            .is_some_and(|it| it.ends_with(b"true"));
        let (_, hash) = heartbeat(record.revision.number, leaving);
        replica.apply(record, hash);
    }
    replica.advance_to(delta.revision);
}

fn known(replica: &Replica) -> BTreeMap<String, (u64, Option<Vec<u8>>)> {
    let delta = replica.delta_since(rev(0));
    let records = delta.records.into_iter();
    records
        .map(|it| (it.key, (it.revision.number, it.value)))
        .collect()
}

/// Guards against a removed key that works again: a page that was read before the change arrives
/// after the watch has returned it, and the last arrival won.
#[test]
fn a_late_page_restores_nothing() {
    let mut replica = Replica::default();
    assert!(apply(&mut replica, record("config", 20, Some("new"))));
    assert!(apply(&mut replica, record("server", 21, None)));

    assert!(!apply(&mut replica, record("config", 10, Some("old"))));
    assert!(!apply(&mut replica, record("server", 11, Some("there"))));

    assert_eq!(known(&replica)["config"], (20, Some(b"new".to_vec())));
    assert_eq!(known(&replica)["server"], (21, None));
}

/// Guards against a new endpoint that is considered gone: it registers while the pages are read,
/// behind the page that would have shown it, and the pages were taken for a snapshot.
#[test]
fn a_record_written_during_a_read_is_not_removed() {
    let mut replica = Replica::default();
    apply(&mut replica, record("a", 5, Some("old")));
    apply(&mut replica, record("b", 12, Some("came during the read")));

    let missing = replica.removals_after_read(&BTreeMap::new(), rev(10));

    assert_eq!(missing, [record("a", 10, None)]);
}

#[test]
fn a_delta_is_partial_only_if_all_changes_were_seen() {
    let mut replica = Replica::default();
    apply(&mut replica, record("a", 5, Some("1")));
    replica.finish_full_read(rev(10));
    apply(&mut replica, record("b", 12, Some("2")));
    replica.advance_to(rev(12));

    let seen_all = replica.delta_since(rev(10));
    let too_old = replica.delta_since(rev(7));

    assert!(!seen_all.is_full);
    assert_eq!(seen_all.records, [record("b", 12, Some("2"))]);
    assert!(too_old.is_full);
    assert_eq!(too_old.records.len(), 2);
}

/// Guards against an endpoint that a peer removes because this replica could not read the key of its
/// item: the delta must not count as all records, except for a peer that knows none.
#[test]
fn a_delta_is_not_full_if_a_key_could_not_be_read() {
    let mut replica = Replica::default();
    apply(&mut replica, record("a", 5, Some("1")));
    replica.finish_read_with_unreadable_key(rev(10));

    let behind = replica.delta_since(rev(7));
    let empty = replica.delta_since(Revision::ZERO);
    replica.finish_full_read(rev(20));
    let read_again = replica.delta_since(rev(7));

    assert!(!behind.is_full);
    assert_eq!(behind.records, [record("a", 5, Some("1"))]);
    assert!(empty.is_full);
    assert!(read_again.is_full);
}

/// Guards against every instance fetching records from a peer some fifty times a second: endpoints
/// write their records again with each heartbeat, each write is a new revision, and the watchers
/// announced it as a change.
#[test]
fn a_heartbeat_alone_is_not_in_a_delta() {
    let mut watcher = Replica::default();
    let mut follower = Replica::default();
    let (record, hash) = heartbeat(1, false);
    assert_eq!(watcher.apply(record, hash), Applied::Changed);
    watcher.finish_full_read(rev(1));
    apply_delta(&mut follower, &watcher);

    for revision in 2..100 {
        let (record, hash) = heartbeat(revision, false);
        assert_eq!(watcher.apply(record, hash), Applied::Heartbeat);
        watcher.advance_to(rev(revision));
    }

    assert!(watcher.revision() > follower.revision());
    assert_eq!(watcher.digest(), follower.digest());
    assert_eq!(watcher.delta_since(follower.revision()).records, []);
}

#[test]
fn a_delta_holds_the_latest_version_of_a_changed_record() {
    let mut watcher = Replica::default();
    let mut follower = Replica::default();
    let writes = (1..=9).map(|revision| heartbeat(revision, revision >= 5));
    for (record, hash) in writes {
        let revision = record.revision.number;
        watcher.apply(record, hash);
        watcher.finish_full_read(rev(1));
        watcher.advance_to(rev(revision));
        if revision == 3 {
            apply_delta(&mut follower, &watcher);
        }
    }
    let delta = watcher.delta_since(follower.revision());

    apply_delta(&mut follower, &watcher);

    assert_eq!(delta.records, [heartbeat(9, true).0]);
    assert_eq!(follower.digest(), watcher.digest());
}

#[test]
fn a_removed_record_is_not_in_the_digest() {
    let mut replica = Replica::default();
    apply(&mut replica, record("a", 1, Some("1")));
    let with_one = replica.digest();
    apply(&mut replica, record("b", 2, Some("2")));

    apply(&mut replica, record("b", 3, None));

    assert_eq!(replica.digest(), with_one);
}

proptest! {
    /// Records in any order and any number of times give the same replica, and no key ever falls
    /// back to a lower revision.
    #[test]
    fn records_in_any_order_give_the_same_replica(
        writes in prop::collection::vec((0_u8..4, any::<bool>()), 1..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..64),
    ) {
        let records: Vec<Record> = writes
            .iter()
            .zip(1_u64..)
            .map(|(&(key, removed), revision)| {
                let value = (!removed).then_some("v");
                record(&format!("k{key}"), revision, value)
            })
            .collect();
        let mut straight = Replica::default();
        for record in &records {
            apply(&mut straight, record.clone());
        }
        let mut mixed = Replica::default();
        for index in &order {
            let record = index.get(&records).clone();
            let before = known(&mixed).get(&record.key).map_or(0, |it| it.0);
            apply(&mut mixed, record.clone());
            prop_assert!(known(&mixed)[&record.key].0 >= before.max(record.revision.number));
        }
        for record in &records {
            apply(&mut mixed, record.clone());
        }
        prop_assert_eq!(known(&mixed), known(&straight));
        prop_assert_eq!(mixed.digest(), straight.digest());
    }
}
