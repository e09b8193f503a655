//! Which instances watch the store, when it is called, and what is known of its state.

#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use instances::{address, alive, beacon, datagram, gateway, heartbeat};
use oriolemux_core::gateway::endpoints::Removal;
use oriolemux_core::gateway::members::{MemberUpdate, Status};
use oriolemux_core::gateway::reader::{CallFailure, Step, WATCHER_TIMEOUT, WATCHERS};
use oriolemux_core::gateway::state::DropReason;
use oriolemux_core::gateway::{Body, Datagram, EndpointRecord, Gateway};
use oriolemux_core::{EndpointKey, Time};

/// Number of instances that send beacons.
const BEACON_SENDERS: u16 = 8;

/// Returns instances that have all received datagrams of each other, and beacons of some of them
/// with the time since the store last answered.
fn fleet(size: u16, now: Time, store_age_ms: u32) -> Vec<Gateway> {
    let mut fleet: Vec<Gateway> = (1..=size).map(gateway).collect();
    for (index, one) in fleet.iter_mut().enumerate() {
        for number in (1..=size).filter(|&number| usize::from(number) != index + 1) {
            let datagram = match number <= BEACON_SENDERS {
                true => beacon(number, 1, store_age_ms),
                false => heartbeat(number),
            };
            receive(one, now, datagram);
        }
    }
    fleet
}

fn receive(one: &mut Gateway, now: Time, datagram: Datagram) {
    one.on_datagram(now, datagram).expect("it is of the fleet");
}

fn watching(fleet: &[Gateway], now: Time) -> usize {
    fleet.iter().filter(|one| one.watches(now)).count()
}

#[test]
fn exactly_the_intended_number_watches() {
    let now = Time::from_secs(5);

    assert_eq!(watching(&fleet(6, now, 0), now), WATCHERS);
    assert_eq!(watching(&fleet(195, now, 0), now), WATCHERS);
}

#[test]
fn an_instance_without_peers_watches() {
    assert!(gateway(1).watches(Time::from_secs(5)));
}

/// Guards against a change that nobody notices: the store rejects both watchers, and the others
/// relied on them without checking that the store answers them.
#[test]
fn a_small_fleet_watches_if_no_watcher_is_answered() {
    let now = Time::from_secs(5);
    let age_ms = u32::try_from(WATCHER_TIMEOUT.as_millis()).expect("small") + 500;

    assert_eq!(watching(&fleet(6, now, age_ms), now), 6);
}

/// Guards against hundreds of calls a second, each of which is billed, to a store that does not
/// answer: every instance of a large fleet became a watcher.
#[test]
fn part_of_a_large_fleet_watches_if_no_watcher_is_answered() {
    let now = Time::from_secs(30);
    let age_ms = u32::try_from(WATCHER_TIMEOUT.as_millis()).expect("small");

    let just_silent = watching(&fleet(390, now, age_ms + 100), now);
    let long_silent = watching(&fleet(390, now, age_ms + 10_000), now);

    assert!((WATCHERS..=8).contains(&just_silent), "{just_silent}");
    assert!((32..=64).contains(&long_silent), "{long_silent}");
}

/// Guards against changes that are noticed two seconds late, again and again: the store rejects the
/// first two in rank and answers two others, and each of these left the watch to the other when it
/// received the other's beacon.
#[test]
fn an_answered_watcher_continues_while_the_first_in_rank_are_not() {
    let now = Time::from_secs(5);
    let stale = u32::try_from(WATCHER_TIMEOUT.as_millis()).expect("small") + 500;
    let mut fleet = fleet(6, now, stale);
    let later = now + Duration::from_millis(100);
    let intended = self::fleet(6, now, 0);
    let normal: Vec<usize> = (0..6).filter(|&it| intended[it].watches(now)).collect();
    let answered: Vec<usize> = (0..6).filter(|it| !normal.contains(it)).take(2).collect();
    for &index in &answered {
        fleet[index].reader.on_answer(later);
        for other in (0..6).filter(|&it| it != index) {
            let number = u16::try_from(index + 1).expect("few");
            receive(&mut fleet[other], later, beacon(number, 2, 0));
        }
    }

    for (index, one) in fleet.iter().enumerate() {
        let watches = one.watches(later);
        let is_intended = normal.contains(&index) || answered.contains(&index);
        assert_eq!(watches, is_intended, "instance {index}");
    }
}

#[test]
fn others_watch_if_the_watchers_are_gone() {
    let read_at = Time::from_secs(5);
    let now = read_at + WATCHER_TIMEOUT + Duration::from_millis(300);

    assert_eq!(watching(&fleet(6, read_at, 0), now), 6);
}

#[test]
fn a_stopping_instance_leaves_the_watch_to_the_next() {
    let now = Time::from_secs(5);
    let mut fleet = fleet(6, now, 0);
    let index = (0..6)
        .find(|&it| fleet[it].watches(now))
        .expect("two watch");
    fleet[index].stop();
    let number = u16::try_from(index + 1).expect("few");
    let stopping = MemberUpdate {
        status: Status::Stopping,
        ..alive(number)
    };
    for other in (0..6).filter(|&it| it != index) {
        let mut datagram = heartbeat(number);
        datagram.from = stopping;
        receive(&mut fleet[other], now, datagram);
    }

    assert!(!fleet[index].watches(now));
    assert_eq!(watching(&fleet, now), WATCHERS);
}

/// Invalid datagrams, of another deployment or version or with this instance's address as sender,
/// change nothing.
#[test]
fn foreign_datagrams_are_dropped() {
    let mut one = gateway(1);
    let now = Time::from_secs(1);
    let foreign = Datagram {
        deployment: 2,
        ..heartbeat(3)
    };
    let newer = Datagram {
        version: u8::MAX,
        ..heartbeat(3)
    };

    assert_eq!(one.on_datagram(now, foreign), Err(DropReason::Deployment));
    assert_eq!(one.on_datagram(now, newer), Err(DropReason::Version));
    assert_eq!(one.on_datagram(now, heartbeat(1)), Err(DropReason::Own));
    assert_eq!(one.instances(), 1);
}

#[test]
fn pauses_grow_up_to_a_bound() {
    let mut one = gateway(1);
    let mut now = Time::from_secs(1);
    assert_eq!(one.next_step(now), Step::Read);
    let mut pauses = Vec::new();
    for _ in 0..4 {
        one.reader.on_failure(now, CallFailure::NoAnswer, 0.5);
        let Step::Pause(pause) = one.next_step(now) else {
            panic!("a pause follows a failure");
        };
        pauses.push(pause);
        now += pause;
    }

    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses[3] <= Duration::from_millis(500));
}

/// Guards against 55 calls a second to the store by two instances with 67 endpoints: each heartbeat
/// of an endpoint ended a watch, and the next one began at once.
#[test]
fn the_calls_to_the_store_do_not_grow_with_the_endpoints() {
    let calls_within_a_second = |heartbeats: u64| {
        let mut one = gateway(1);
        let mut now = Time::from_secs(1);
        let ends = now + Duration::from_secs(1);
        let gap = Duration::from_secs(1) / u32::try_from(heartbeats).expect("few");
        one.reader.on_read(now);
        let mut calls = 0;
        while now < ends {
            match one.next_step(now) {
                Step::Pause(pause) => now += pause,
                Step::Watch => {
                    calls += 1;
                    now += gap;
                    one.reader.on_changes(now);
                }
                other => panic!("{other:?}"),
            }
        }
        calls
    };

    assert!(calls_within_a_second(56) <= 5);
    assert!(calls_within_a_second(600) <= 5);
}

#[test]
fn records_may_be_missing_during_an_outage_and_for_a_while_after_it() {
    let mut one = gateway(1);
    let read_at = Time::from_secs(1);
    one.reader.on_read(read_at);
    let now = read_at + Duration::from_secs(4);

    one.reader.on_failure(now, CallFailure::NoAnswer, 0.5);
    assert!(one.reader.may_miss_records(now));
    one.reader.on_read(now);
    assert!(
        one.reader.may_miss_records(now),
        "records may still be missing"
    );
    assert!(!one.reader.may_miss_records(now + Duration::from_secs(3)));
}

/// Guards against generations that are lost with engines whose records were removed: a watch is
/// interrupted, an engine's record is removed in the second after it, and each failed call counted
/// as an outage in which records expire, so that the engine was kept.
#[test]
fn an_interrupted_watch_is_no_outage() {
    let mut one = gateway(1);
    let read_at = Time::from_secs(1);
    one.reader.on_read(read_at);
    let interrupted = read_at + Duration::from_secs(1);

    one.reader
        .on_failure(interrupted, CallFailure::NoAnswer, 0.5);
    let during = one.reader.may_miss_records(interrupted);
    one.reader
        .on_answer(interrupted + Duration::from_millis(100));

    assert!(!during);
    assert!(
        !one.reader
            .may_miss_records(interrupted + Duration::from_millis(200))
    );
}

#[test]
fn lost_history_causes_a_full_read() {
    let mut one = gateway(1);
    let now = Time::from_secs(1);
    one.reader.on_read(now);
    assert_eq!(one.next_step(now), Step::Watch);

    one.reader.on_failure(now, CallFailure::HistoryGone, 0.5);

    assert_eq!(one.next_step(now), Step::Read);
}

/// Guards against a watch that is repeated for as long as the store has an event that cannot be read,
/// and against reads and watches that alternate without a growing pause.
#[test]
fn unreadable_answers_are_followed_by_reads_with_a_growing_pause() {
    let mut one = gateway(1);
    let mut now = Time::from_secs(1);
    one.reader.on_read(now);
    let mut pauses = Vec::new();

    for _ in 0..4 {
        assert_eq!(one.next_step(now), Step::Watch);
        one.reader.on_failure(now, CallFailure::Unreadable, 0.5);
        let Step::Pause(pause) = one.next_step(now) else {
            panic!("no pause");
        };
        pauses.push(pause.as_millis());
        now += pause;
        assert_eq!(one.next_step(now), Step::Read);
        assert!(one.reader.on_read(now));
    }

    assert_eq!(pauses, [100, 200, 400, 500]);
}

/// Guards against removals that are taken for expired records, because a store whose answers cannot
/// be read counts as one that was away.
#[test]
fn a_store_with_unreadable_answers_loses_no_records() {
    let mut one = gateway(1);
    let mut now = Time::from_secs(1);
    one.reader.on_read(now);

    for _ in 0..6 {
        now += Duration::from_millis(750);
        one.reader.on_failure(now, CallFailure::Unreadable, 0.5);
    }
    let while_unreadable = one.reader.may_miss_records(now);
    one.reader.on_read(now);

    assert!(!while_unreadable);
    assert!(!one.reader.may_miss_records(now));
}

/// Guards against the loss of all endpoints after an outage of the store: records expire during the
/// outage, and an instance that does not watch learns of the removals from a watcher. Without calls
/// of its own it took them for real removals.
#[test]
fn beacons_announce_an_outage() {
    let now = Time::from_secs(5);
    let mut one = gateway(1);
    let record = EndpointRecord {
        name: "e-1".to_owned(),
        service: "desk".to_owned(),
        address: address(99),
        data_centre: "north".to_owned(),
        slots: 6,
        started_unix_ms: None,
        leaving: false,
        cold_for: Duration::ZERO,
    };
    one.publish_endpoint(now, record.clone());
    let mut announced = beacon(3, 1, 0);
    if let Body::Gossip(gossip) = &mut announced.body {
        gossip.beacons[0].may_miss_records = true;
    }

    receive(&mut one, now, announced);
    assert_eq!(one.endpoint_vanished(now, "e-1", Removal::Stated), None);
    one.publish_endpoint(now, record);

    assert!(one.is_usable(EndpointKey::of("e-1")));
}

/// Guards against use of engines that are gone for minutes: while the watchers were not answered,
/// all instances watched for a moment, and all their calls failed. Those that went back to standby
/// considered the store unavailable from then on, and gossiped that.
#[test]
fn a_standby_instance_does_not_consider_the_store_unavailable() {
    let mut one = gateway(1);
    let read_at = Time::from_secs(1);
    one.reader.on_read(read_at);
    let failed = read_at + Duration::from_secs(3);
    one.reader.on_failure(failed, CallFailure::NoAnswer, 0.5);
    assert!(one.may_miss_records(failed));

    one.reader.stand_by();

    assert!(!one.may_miss_records(failed + Duration::from_secs(1)));
}

/// Guards against one overloaded peer: four instances know a change and all others are behind at
/// the same moment; each asked the last of those that are furthest ahead, which is the same one for
/// all.
#[test]
fn instances_that_are_behind_ask_different_peers() {
    let now = Time::from_secs(5);
    let informed = [1, 2, 3, 4];
    let mut behind: Vec<Gateway> = (5..=44).map(gateway).collect();
    for one in &mut behind {
        for peer in informed {
            let ahead = datagram(peer, 9, 1, Body::RequestMembers);
            receive(one, now, ahead);
        }
    }

    // Watchers wait some time for the change from the store itself.
    let later = now + Duration::from_millis(200);
    let instances = behind.iter_mut();
    let chosen: Vec<_> = instances
        .filter_map(|one| one.choose_provider(later))
        .collect();

    assert_eq!(chosen.len(), 40, "each asks a peer");
    for peer in informed {
        let share = chosen.iter().filter(|&&it| it == address(peer)).count();
        assert!((4..=16).contains(&share), "{share} of 40 ask {peer}");
    }
}
