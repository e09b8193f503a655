//! Revisions of a store that comes back from an older copy.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::{Fleet, StoreContent, StoreModel};
use oriolemux_core::Time;
use oriolemux_core::gateway::catch_up::FetchFailure;
use oriolemux_core::gateway::reader::{
    CallFailure, EpochObservation, StatedEpoch, Step, StoreReader, WATCHERS,
};
use oriolemux_core::gateway::{
    Body, CatalogueSource, ContentHash, Datagram, Epoch, Gateway, Record, Replica, Revision,
};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

/// The time from the store's acknowledgement until a change must be in force everywhere.
const IN_FORCE: Duration = Duration::from_millis(2_000);

/// How long the store is away: long enough for many instances to watch.
const OUTAGE: Duration = Duration::from_millis(2_500);

const fn at(epoch: u64, number: u64) -> Revision {
    Revision {
        epoch: Epoch(epoch),
        number,
    }
}

fn record(key: &str, revision: Revision, value: &str) -> Record {
    Record {
        key: key.to_owned(),
        revision,
        value: Some(value.as_bytes().to_vec()),
    }
}

fn apply(replica: &mut Replica, record: Record) {
    let hash = match &record.value {
        Some(value) => ContentHash::of(&record.key, &[value]),
        None => ContentHash::NOTHING,
    };
    replica.apply(record, hash);
}

/// Reads a store that holds `records` into `replica`.
fn read(replica: &mut Replica, revision: Revision, records: &[(&str, u64, &str)]) {
    let seen: BTreeMap<String, ()> = records.iter().map(|it| (it.0.to_owned(), ())).collect();
    for &(key, number, value) in records {
        apply(replica, record(key, at(revision.epoch.0, number), value));
    }
    for missing in replica.removals_after_read(&seen, revision) {
        apply(replica, missing);
    }
    replica.finish_full_read(revision);
}

/// Applies the records that `from` sends.
fn catch_up(replica: &mut Replica, from: &Replica) -> usize {
    let delta = from.delta_since(replica.revision());
    let size = delta.records.len();
    let existing = delta.existing_keys();
    for record in delta.records {
        apply(replica, record);
    }
    if delta.is_full {
        for missing in replica.removals_after_read(&existing, delta.revision) {
            apply(replica, missing);
        }
        replica.finish_full_read(delta.revision);
    } else {
        replica.advance_to(delta.revision);
    }
    size
}

fn values(replica: &Replica) -> BTreeMap<String, Vec<u8>> {
    let records = replica.delta_since(Revision::ZERO).records.into_iter();
    records.filter_map(|it| Some((it.key, it.value?))).collect()
}

/// Guards against a version that counts as known because an earlier epoch used its number.
#[test]
fn a_lower_number_of_a_later_epoch_is_newer() {
    let mut replica = Replica::default();
    read(&mut replica, at(1, 45), &[("config", 45, "87")]);

    read(&mut replica, at(2, 40), &[("config", 39, "89")]);

    assert_eq!(values(&replica)["config"], b"89");
    assert_eq!(replica.revision(), at(2, 40));
}

/// Guards against the older state of a peer, or of a late answer, that replaces the newer one.
#[test]
fn records_of_an_epoch_that_was_left_are_ignored() {
    let mut replica = Replica::default();
    read(&mut replica, at(2, 40), &[("config", 39, "89")]);

    apply(&mut replica, record("config", at(1, 99), "87"));
    apply(&mut replica, record("server", at(1, 98), "ready"));
    replica.advance_to(at(1, 99));

    assert_eq!(values(&replica).len(), 1);
    assert_eq!(values(&replica)["config"], b"89");
    assert_eq!(replica.revision(), at(2, 40));
}

/// Guards against everything being sent to every instance after each loss: only what differs is.
#[test]
fn a_delta_into_a_new_epoch_holds_what_differs() {
    let mut watcher = Replica::default();
    read(
        &mut watcher,
        at(1, 45),
        &[("a", 10, "1"), ("b", 20, "1"), ("c", 30, "1")],
    );
    let mut follower = Replica::default();
    catch_up(&mut follower, &watcher);

    read(&mut watcher, at(2, 31), &[("a", 10, "1"), ("b", 31, "2")]);
    let size = catch_up(&mut follower, &watcher);

    assert_eq!(size, 2, "the change of b and the removal of c");
    assert_eq!(values(&follower), values(&watcher));
    assert_eq!(follower.digest(), watcher.digest());
    assert_eq!(follower.revision(), watcher.revision());
}

/// Guards against a record that stays at an instance that had seen more of the lost history than the
/// peer that it asks.
#[test]
fn an_instance_that_had_seen_more_of_the_lost_history_gets_everything() {
    let mut watcher = Replica::default();
    read(&mut watcher, at(1, 45), &[("a", 10, "1")]);
    let mut ahead = Replica::default();
    catch_up(&mut ahead, &watcher);
    apply(&mut ahead, record("a", at(1, 46), "lost"));
    apply(&mut ahead, record("b", at(1, 47), "lost"));
    ahead.advance_to(at(1, 47));

    read(&mut watcher, at(2, 11), &[("a", 10, "1")]);
    catch_up(&mut ahead, &watcher);

    assert_eq!(values(&ahead), values(&watcher));
    assert_eq!(ahead.digest(), watcher.digest());
}

/// Guards against a peer that is sent too little after two losses in a row.
#[test]
fn an_instance_that_missed_an_epoch_gets_everything() {
    let mut watcher = Replica::default();
    read(&mut watcher, at(1, 45), &[("a", 10, "1"), ("b", 20, "1")]);
    let mut follower = Replica::default();
    catch_up(&mut follower, &watcher);

    read(&mut watcher, at(2, 31), &[("a", 10, "1")]);
    read(&mut watcher, at(3, 12), &[("a", 11, "2")]);
    catch_up(&mut follower, &watcher);

    assert_eq!(values(&follower), values(&watcher));
}

proptest! {
    /// Whatever an instance had seen of the lost history, and whomever it asks, it ends with the
    /// records of the store.
    #[test]
    fn all_replicas_end_with_the_records_of_the_store(
        seen in prop::collection::vec(0_usize..12, 3),
        writes in prop::collection::vec((0_u8..5, any::<bool>()), 12),
        copy in 0_usize..12,
        again in prop::collection::vec((0_u8..5, any::<bool>()), 0..6),
        order in prop::collection::vec((0_usize..3, 0_usize..3), 0..12),
    ) {
        let write = |epoch: u64, number: usize, (key, is_removed): (u8, bool)| Record {
            key: format!("k{key}"),
            revision: at(epoch, number as u64 + 1),
            value: (!is_removed).then(|| format!("{epoch} {number}").into_bytes()),
        };
        let history: Vec<Record> = writes.iter().enumerate().map(|(n, it)| write(1, n, *it)).collect();
        let mut replicas = vec![Replica::default(); 3];
        for (replica, seen) in replicas.iter_mut().zip(&seen) {
            replica.finish_full_read(at(1, 0));
            history.iter().take(*seen).for_each(|it| apply(replica, it.clone()));
            replica.advance_to(at(1, *seen as u64));
        }
        let mut store: BTreeMap<String, Record> = BTreeMap::new();
        let rewritten = again.iter().enumerate().map(|(n, it)| write(2, copy + n, *it));
        let mut revision = at(2, copy as u64);
        for record in history.iter().take(copy).cloned().chain(rewritten) {
            revision.number = revision.number.max(record.revision.number);
            store.insert(record.key.clone(), record);
        }
        store.retain(|_, it| it.value.is_some());
        let content: Vec<(String, u64, String)> = store.into_values().map(|it| {
            let value = String::from_utf8(it.value.unwrap_or_default()).expect("text");
            (it.key, it.revision.number, value)
        }).collect();
        let content: Vec<(&str, u64, &str)> =
            content.iter().map(|it| (it.0.as_str(), it.1, it.2.as_str())).collect();

        read(&mut replicas[0], revision, &content);
        for (to, from) in order {
            let from = replicas[from].clone();
            if from.revision() > replicas[to].revision() {
                catch_up(&mut replicas[to], &from);
            }
        }
        let first = replicas[0].clone();
        for replica in &mut replicas[1..] {
            if replica.revision().epoch < first.revision().epoch {
                catch_up(replica, &first);
            }
        }

        for replica in &replicas {
            prop_assert_eq!(values(replica), values(&first));
            prop_assert_eq!(replica.digest(), first.digest());
        }
    }
}

/// Guards against an answer that is taken for one of another epoch than its own.
#[rstest]
#[case::the_known_epoch(4, StatedEpoch::Known(Epoch(4)), EpochObservation::Current)]
#[case::a_later_one(4, StatedEpoch::Known(Epoch(6)),
    EpochObservation::Advanced { from: Epoch(4), to: Epoch(6) })]
#[case::an_earlier_one(4, StatedEpoch::Known(Epoch(3)),
    EpochObservation::Outdated { stated: Epoch(3), known: Epoch(4) })]
#[case::none(4, StatedEpoch::Absent, EpochObservation::Unstated { known: Epoch(4) })]
#[case::an_invalid_one(4, StatedEpoch::Unreadable, EpochObservation::Unstated { known: Epoch(4) })]
#[case::none_to_an_earlier_call(3, StatedEpoch::Absent,
    EpochObservation::Outdated { stated: Epoch(3), known: Epoch(4) })]
fn an_answer_belongs_to_the_epoch_that_it_states(
    #[case] known: u64,
    #[case] stated: StatedEpoch,
    #[case] expected: EpochObservation,
) {
    let mut reader = StoreReader::new();
    reader.observe_epoch(Epoch(0), StatedEpoch::Known(Epoch(4)));

    assert_eq!(reader.observe_epoch(Epoch(known), stated), expected);
}

#[test]
fn a_store_that_never_states_an_epoch_is_not_reported() {
    let mut reader = StoreReader::new();

    let observed = reader.observe_epoch(Epoch::UNSTATED, StatedEpoch::Absent);

    assert_eq!(observed, EpochObservation::Current);
}

/// Guards against some thirty reads a second of each watcher, for as long as the store refuses their
/// watches.
#[test]
fn a_watch_that_is_refused_after_a_read_is_followed_by_a_growing_pause() {
    let mut reader = StoreReader::new();
    let now = Time::from_secs(5);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        reader.on_read(now);
        reader.on_failure(now, CallFailure::HistoryGone, 0.5);
        pauses.push(match reader.next(now, true, Epoch::UNSTATED) {
            Step::Pause(pause) => pause.as_millis(),
            _ => 0,
        });
    }

    assert_eq!(pauses, [0, 100, 200, 400, 500, 500]);
}

/// Guards against a fleet of which all instances that watched during an outage read everything at
/// once, and against a change that comes late because they wait for each other. The change is
/// written as soon as the store is back, which is the earliest moment.
#[rstest]
#[case::few(6, 0.0)]
#[case::some(64, 0.02)]
#[case::planned(390, 0.02)]
fn a_change_in_a_new_epoch_is_everywhere_in_time(#[case] size: usize, #[case] loss: f64) {
    let store = StoreModel {
        calls_per_second: 16_000,
        response_time: Duration::from_millis(5),
        heartbeat_interval: Duration::from_millis(40),
    };
    let mut fleet = Fleet::start(size, 3, 7);
    fleet.content = Some(StoreContent {
        revision: at(1, 45),
        record: Some(record("config", at(1, 45), "87")),
    });
    fleet.model_store(store);
    let joined = fleet.until_all_count(size, Duration::from_secs(20));
    assert!(joined.is_some(), "{:?}", fleet.counts());
    fleet.run(Duration::from_secs(2));
    fleet.loss = loss;
    let refusing = StoreModel {
        calls_per_second: 0,
        ..store
    };
    fleet.store = Some(refusing);
    fleet.run(OUTAGE);
    let before = fleet.reads;

    fleet.store = Some(store);
    let changed = at(2, 40);
    fleet.content = Some(StoreContent {
        revision: changed,
        record: Some(record("config", changed, "89")),
    });
    let back = fleet.now;
    let has_it = |it: &fleet::Node| {
        let core = it.core.as_ref();
        core.is_some_and(|it| it.replica.revision() >= changed && it.replica.has("config"))
    };
    while !fleet.nodes.iter().all(has_it) {
        fleet.run(Duration::from_millis(10));
        let took = fleet.now.since(back);
        assert!(took < IN_FORCE, "{took:?} with {size} instances");
    }
    fleet.run(IN_FORCE);

    let digests = fleet.nodes.iter().filter_map(|it| it.core.as_ref());
    let digests: Vec<u64> = digests.map(|it| it.replica.digest()).collect();
    assert!(digests.iter().all(|it| *it == digests[0]));
    let reads = fleet.reads - before;
    assert!(reads <= 2 * WATCHERS, "{reads} reads with {size} instances");
}

fn catalogue(version: u64) -> CatalogueSource {
    CatalogueSource {
        version,
        ..CatalogueSource::default()
    }
}

/// A probe of a peer whose catalogue has this version.
fn probe_with_catalogue(version: u64) -> Datagram {
    let mut probe = Body::probe(1, 0, None);
    if let Body::Probe { catalogue, .. } = &mut probe {
        *catalogue = version;
    }
    instances::datagram(2, 0, 0, probe)
}

/// An instance that started at `now` and has read a store whose catalogue has version 87.
fn started(now: Time) -> Gateway {
    let mut one = Gateway::new(now, instances::config(1, &[]));
    one.publish_catalogue(catalogue(87)).expect("no findings");
    one.cordons_read();
    one
}

/// Guards against a revoked key that works at an instance that started while the store held a copy.
#[test]
fn an_instance_that_started_does_not_serve_by_an_older_catalogue_than_a_peer() {
    let now = Time::from_secs(5);
    let mut one = started(now);

    one.on_datagram(now, probe_with_catalogue(92))
        .expect("accepted");

    assert!(one.servable().is_none());
    assert_eq!(one.choose_provider(now), Some(instances::address(2)));
    one.publish_catalogue(catalogue(92)).expect("no findings");
    assert!(one.servable().is_some());
}

/// Guards against an instance that never serves because a peer's catalogue does not arrive.
#[test]
fn an_instance_that_started_waits_for_a_peers_catalogue_for_a_second_at_most() {
    let now = Time::from_secs(5);
    let mut one = started(now);
    one.on_datagram(now, probe_with_catalogue(92))
        .expect("accepted");

    one.tick(now + Duration::from_millis(900));
    let before = one.servable().is_some();
    one.tick(now + Duration::from_millis(1_000));

    assert!(!before);
    assert!(one.servable().is_some());
}

/// Guards against refusals by an instance that has just become ready, whenever a peer learns of the
/// next version first.
#[test]
fn an_instance_that_has_become_ready_stays_so_when_a_peer_is_ahead() {
    let now = Time::from_secs(5);
    let mut one = started(now);
    one.tick(now + Duration::from_millis(10));

    one.on_datagram(now + Duration::from_millis(20), probe_with_catalogue(92))
        .expect("accepted");

    assert!(one.servable().is_some());
}

/// Guards against an instance that asks without a pause for a catalogue that does not help.
#[test]
fn a_peer_whose_catalogue_did_not_arrive_is_skipped_for_a_while() {
    let now = Time::from_secs(5);
    let mut one = started(now);
    one.on_datagram(now, probe_with_catalogue(92))
        .expect("accepted");

    one.on_fetch_failure(now, instances::address(2), FetchFailure::Failed);
    one.tick(now + Duration::from_millis(50));

    assert!(one.lacks_catalogue_of(instances::address(2)));
    assert_eq!(one.choose_provider(now + Duration::from_millis(400)), None);
    let later = now + Duration::from_secs(2);
    assert_eq!(one.choose_provider(later), Some(instances::address(2)));
}
