//! The catalogue under failures: it spreads, and never reverts.

#[path = "support/catalogue_fleet.rs"]
mod catalogue_fleet;

use catalogue_fleet::{Fleet, Publication, index_of, key_digest, publication};
use core::time::Duration;
use oriolemux_core::catalogue::sync::{
    CatalogueMessage, Lookup, Piece, RejectionCause, SyncChange,
};
use oriolemux_core::catalogue::{Digest, shard_of};
use oriolemux_core::note::Note;

const SHARDS: u32 = 8;
const WORKSPACES: usize = 40;

fn catalogue(revision: u64) -> Publication {
    publication(revision, SHARDS, WORKSPACES, revision)
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Twelve instances in three data centres with revision 5 in force.
fn running_fleet() -> Fleet {
    let mut fleet = Fleet::new(12, 3);
    fleet.publish(&catalogue(5));
    fleet.start_all();
    let start = fleet.now;
    assert!(fleet.run_until(start + secs(10), |fleet| fleet.all_at(5)));
    fleet.run_for(secs(5));
    fleet
}

fn reach(fleet: &mut Fleet, revision: u64, limit: Duration) -> bool {
    let end = fleet.now + limit;
    fleet.run_until(end, |fleet| fleet.all_at(revision))
}

#[test]
fn change_spreads() {
    let mut fleet = running_fleet();

    fleet.publish(&catalogue(6));

    assert!(reach(&mut fleet, 6, secs(3)));
}

// Symptom: a restarted instance judges requests by an older revision than its peers.
// Sequence: revision 6 is in force; the platform's service falls back to an old
// copy with revision 5; one instance restarts and reads it.
// Cause: only the platform is asked, which may be stale, and not the peers; or
// the platform's answer comes into force because it is there first.
#[test]
fn restart_of_one_with_a_stale_service_takes_the_peers_revision() {
    let mut fleet = running_fleet();
    fleet.publish(&catalogue(6));
    assert!(reach(&mut fleet, 6, secs(3)));
    fleet.restore_index(1, &catalogue(5).index);

    for node in [0, 3, 11] {
        let before = fleet.changes(node).len();
        fleet.start(node);
        fleet.run_for(secs(20));

        let changes = &fleet.changes(node)[before..];
        assert_eq!(changes, [SyncChange::InForce { revision: 6 }]);
    }
    assert!(fleet.all_at(6));
}

// Symptom: two instances that restart together serve by an older revision.
// Sequence: as above, but both watchers of a data centre restart at once.
// Cause: each asks the other, which knows nothing either, and nobody else.
#[test]
fn restart_of_both_watchers_with_a_stale_service_takes_the_peers_revision() {
    let mut fleet = running_fleet();
    fleet.publish(&catalogue(6));
    assert!(reach(&mut fleet, 6, secs(3)));
    fleet.restore_index(1, &catalogue(5).index);
    let watchers = fleet.watchers(1);
    let before: Vec<usize> = watchers.iter().map(|it| fleet.changes(*it).len()).collect();

    watchers.iter().for_each(|it| fleet.start(*it));
    fleet.run_for(secs(20));

    for (watcher, before) in watchers.into_iter().zip(before) {
        let changes = &fleet.changes(watcher)[before..];
        assert_eq!(changes, [SyncChange::InForce { revision: 6 }]);
    }
}

// Symptom: the catalogue in force goes back to an earlier revision.
// Sequence: the service is restored from a copy with revision 5 under a new
// platform revision, and answers every watch with it.
// Cause: the platform's own revision is trusted instead of the catalogue's.
#[test]
fn stale_service_does_not_revert_a_running_fleet() {
    let mut fleet = running_fleet();
    fleet.publish(&catalogue(6));
    assert!(reach(&mut fleet, 6, secs(3)));

    fleet.publish(&catalogue(5));
    fleet.run_for(secs(300));

    assert!(fleet.all_at(6));
    let stale = |node| {
        let notes = fleet.notes(node).iter();
        notes
            .filter(|note| matches!(note, Note::CatalogueStale { revision: 5 }))
            .count()
    };
    assert!((0..12).map(stale).sum::<usize>() > 0);
}

// Symptom: after a restore of the service, no change ever arrives.
// Sequence: the service counted to 90 and is restored from a copy that counts
// from 3; the watches wait for a revision above 90.
// Cause: the service's revision is taken as one that never falls.
#[test]
fn change_arrives_after_the_service_counts_anew() {
    let mut fleet = running_fleet();
    fleet.restore_index(90, &catalogue(5).index);
    fleet.run_for(secs(1_300));
    fleet.restore_index(3, &catalogue(5).index);
    fleet.run_for(secs(60));

    fleet.publish(&catalogue(6));

    assert!(reach(&mut fleet, 6, secs(1_300)));
}

// Symptom: a fleet that restarts at once has no catalogue.
// Sequence: every instance dies in the same second, as in a power cut, and starts again.
// Cause: instances only take the catalogue from peers that have it.
#[test]
fn restart_of_all_comes_back() {
    let mut fleet = running_fleet();

    fleet.start_all();

    assert!(!fleet.all_at(5));
    assert!(reach(&mut fleet, 5, secs(10)));
}

// Symptom: serving stops while the platform is down.
// Sequence: the platform is down for an hour; an instance restarts meanwhile.
// Cause: a new instance waits for the platform.
#[test]
fn platform_down_for_an_hour_does_not_matter_to_a_new_instance() {
    let mut fleet = running_fleet();
    fleet.platform.up = false;
    fleet.run_for(secs(1_800));

    fleet.start(7);
    fleet.run_for(secs(10));

    assert_eq!(fleet.revision(7), 5);
    fleet.run_for(secs(1_790));
    fleet.platform.up = true;
    fleet.publish(&catalogue(6));
    assert!(reach(&mut fleet, 6, secs(15)));
}

// Symptom: the two sides of a healed partition keep different revisions.
// Sequence: data centre 2 is cut off from the platform and from the others;
// revision 6 is published; the partition heals while the platform is down.
// Cause: the announcement of 6 was lost and nobody repeats it.
#[test]
fn partition_heals_without_the_platform() {
    let mut fleet = running_fleet();
    fleet.cut = Some(|node| node % 3 == 2);
    fleet.publish(&catalogue(6));
    fleet.run_for(secs(120));
    let cut_off = [2, 5, 8, 11];
    assert!(cut_off.iter().all(|node| fleet.revision(*node) == 5));
    assert_eq!(fleet.revision(0), 6);

    fleet.platform.up = false;
    fleet.heal();
    // Links come up between watchers only; the news crosses with the first
    // message between any two instances of the two sides.
    fleet.hear_of(2, 0);

    assert!(reach(&mut fleet, 6, secs(5)));
}

// Symptom: some instances judge by a revision that others rejected.
// Sequence: an index with a mistake is published.
// Cause: the verdict depends on who looks, or a part comes into force early.
#[test]
fn rejected_index_changes_nothing_and_is_reported_once() {
    let mut fleet = running_fleet();
    let start = fleet.now;
    let mut bad = catalogue(6);
    let text = String::from_utf8(bad.index.clone()).unwrap();
    bad.index = text.replace("owner = \"o\"\n", "").into_bytes();

    fleet.publish(&bad);
    fleet.run_for(secs(600));

    assert!(fleet.all_at(5));
    for watcher in fleet.watchers(0) {
        let notes = fleet.notes(watcher).iter();
        let rejected = notes.filter(|note| matches!(note, Note::CatalogueRejected { .. }));
        assert_eq!(rejected.count(), 1);
        let status = fleet.sync(watcher).status(fleet.now);
        let cause = status.rejection.unwrap().cause;
        assert!(matches!(cause, RejectionCause::Findings(findings) if findings.len() == 1));
    }
    assert!(fleet.calls_since(start) < 600, "it is fetched in a loop");
    fleet.publish(&catalogue(7));
    assert!(reach(&mut fleet, 7, secs(3)));
}

// Symptom: workspaces of one shard cannot be served after a change.
// Sequence: an index is published whose shard 3 is not valid; nobody uses that shard.
// Cause: the index comes into force as soon as it is verified itself.
#[test]
fn invalid_shard_rejects_the_whole_revision() {
    let mut fleet = running_fleet();
    let mut bad = catalogue(6);
    bad.shards[3] = b"[[workspace]]\nname = \"x\"\n".to_vec();
    bad.index = index_of(6, &bad.shards).into_bytes();

    fleet.publish(&bad);
    fleet.run_for(secs(300));

    assert!(fleet.all_at(5));
    let watcher = fleet.watchers(0)[0];
    let status = fleet.sync(watcher).status(fleet.now);
    assert_eq!(status.rejection.unwrap().revision, 6);
    assert_eq!(status.candidate, None);
    fleet.publish(&catalogue(7));
    assert!(reach(&mut fleet, 7, secs(3)));
}

// Symptom: a good revision is rejected, or comes into force with an old shard.
// Sequence: the publisher writes the index first and the shard 40 s later.
// Cause: a shard whose digest differs is taken for the new one, or for a mistake.
#[test]
fn index_before_its_shard_waits_for_it() {
    let mut fleet = running_fleet();
    let next = catalogue(6);

    fleet.publish_index(&next.index);
    fleet.run_for(secs(40));
    assert!(fleet.all_at(5));
    let watcher = fleet.watchers(0)[0];
    let status = fleet.sync(watcher).status(fleet.now);
    assert_eq!((status.candidate, status.pending_shards), (Some(6), 1));
    let waiting = Note::CatalogueWaiting {
        revision: 6,
        shards: 1,
    };
    let told = fleet.notes(watcher).iter().filter(|it| **it == waiting);
    assert_eq!(told.count(), 1);
    fleet.publish(&next);

    assert!(reach(&mut fleet, 6, secs(8)));
}

// Symptom: a revision that the rest of the fleet uses does not arrive.
// Sequence: revision 6 is in force at the other data centres; this one was cut
// off and first learns of 7 from the platform, whose shard is not written yet.
// Cause: one candidate takes the other's place, and 7 waits for its shard.
#[test]
fn proposal_that_waits_does_not_hold_back_an_adopted_revision() {
    let mut fleet = running_fleet();
    fleet.cut = Some(|node| node % 3 == 2);
    fleet.publish(&catalogue(6));
    fleet.run_for(secs(30));
    fleet.publish_index(&catalogue(7).index);
    fleet.heal();
    fleet.hear_of(2, 0);

    assert!(reach(&mut fleet, 6, secs(30)));
    fleet.publish(&catalogue(7));
    assert!(reach(&mut fleet, 7, secs(8)));
}

// Symptom: a change does not reach a data centre.
// Sequence: both watchers of a data centre die; the list still calls them live.
// Cause: everybody else relies on the watchers alone.
#[test]
fn dead_watchers_that_the_list_still_names_are_covered() {
    let mut fleet = running_fleet();
    fleet.run_for(secs(300));
    fleet.list_lags = true;
    for watcher in fleet.watchers(0) {
        fleet.kill(watcher);
    }

    fleet.publish(&catalogue(6));

    assert!(reach(&mut fleet, 6, secs(200)));
}

// Symptom: an instance takes the index over from its peers again and again.
// Sequence: during an upgrade, newer instances have revision 6 in force, with a
// key in it that this older one does not know; every message of theirs names 6.
// Cause: a revision above the own one is asked for each time it is named, also
// after the answer was rejected.
#[test]
fn revision_that_only_others_accept_is_not_pulled_in_a_loop() {
    let mut fleet = running_fleet();
    let text = String::from_utf8(catalogue(6).index).unwrap();
    let newer = text.replace("urgency", "colour = 3\nurgency").into_bytes();
    let digest = Digest::of(&newer);
    fleet.list_lags = true;
    fleet.kill(0);
    let start = fleet.index_requests(4);

    for _ in 0..200 {
        fleet.hear_of_revision(4, 0, 6);
        fleet.run_for(Duration::from_millis(300));
        fleet.with(4, |sync, now, out| {
            let piece = Piece {
                offset: 0,
                total: newer.len() as u32,
                bytes: newer.clone(),
            };
            let message = CatalogueMessage::IndexPiece { digest, piece };
            sync.message(now, catalogue_fleet::peer_id(0), message, out);
        });
    }

    assert_eq!(fleet.revision(4), 5);
    let requests = fleet.index_requests(4) - start;
    assert!((1..=4).contains(&requests), "{requests} in a minute");
    fleet.publish(&catalogue(7));
    assert!(reach(&mut fleet, 7, secs(5)));
}

#[test]
fn same_revision_with_other_content_is_rejected() {
    let mut fleet = running_fleet();

    fleet.publish(&publication(5, SHARDS, WORKSPACES, 99));
    fleet.run_for(secs(60));

    let watcher = fleet.watchers(0)[0];
    let status = fleet.sync(watcher).status(fleet.now);
    assert_eq!(
        status.rejection.unwrap().cause,
        RejectionCause::RevisionReused
    );
}

fn is_found(fleet: &mut Fleet, node: usize, workspace: usize) -> bool {
    let mut found = false;
    fleet.with(node, |sync, now, out| {
        let missing = match sync.lookup(now, &key_digest(workspace)) {
            Lookup::Found(_) => {
                found = true;
                None
            }
            Lookup::Missing(number) => Some(number),
            _ => None,
        };
        if let Some(number) = missing {
            sync.want_shard(now, number, out);
        }
    });
    found
}

#[test]
fn shard_is_fetched_when_a_request_needs_it() {
    let mut fleet = running_fleet();
    assert!(!is_found(&mut fleet, 4, 3));

    fleet.run_for(secs(1));

    let number = shard_of(&key_digest(3), SHARDS);
    assert!(fleet.changes(4).contains(&SyncChange::ShardReady(number)));
    assert!(is_found(&mut fleet, 4, 3));
    fleet.with(4, |sync, now, _| {
        assert!(matches!(
            sync.lookup(now, &key_digest(7_777)),
            Lookup::Unknown | Lookup::Missing(_)
        ));
    });
}

#[test]
fn shards_in_use_are_there_when_a_change_comes_into_force() {
    let mut fleet = running_fleet();
    is_found(&mut fleet, 4, 0);
    fleet.run_for(secs(1));

    fleet.publish(&catalogue(6));
    assert!(reach(&mut fleet, 6, secs(3)));

    assert!(is_found(&mut fleet, 4, 0));
}

// Symptom: callers turn an outage into a storm of reads.
// Sequence: the platform is down and nobody keeps the shard; a caller repeats
// its request a hundred times a second.
// Cause: each request fetches the shard anew.
#[test]
fn shard_that_cannot_be_had_is_refused_for_a_while() {
    let mut fleet = fresh_without_shards();
    let start = fleet.now;

    for _ in 0..2_000 {
        is_found(&mut fleet, 0, 3);
        fleet.run_for(Duration::from_millis(10));
    }

    let number = shard_of(&key_digest(3), SHARDS);
    let failed = fleet.changes(0).iter();
    let failed = failed.filter(|it| **it == SyncChange::ShardFailed(number));
    assert!(failed.count() >= 3);
    assert!(fleet.calls_since(start) < 60);
}

/// One instance of two that has the index from its peer and can reach no shard.
fn fresh_without_shards() -> Fleet {
    let mut fleet = Fleet::new(2, 1);
    fleet.publish(&catalogue(5));
    fleet.start(1);
    assert!(reach(&mut fleet, 5, secs(30)));
    fleet.platform.up = false;
    fleet.start(0);
    fleet.tell_roles();
    assert!(reach(&mut fleet, 5, secs(30)));
    fleet.kill(1);
    fleet
}
