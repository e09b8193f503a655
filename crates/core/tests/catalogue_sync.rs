//! The catalogue sync under failures: changes reach every instance, and no instance reverts.

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

// Guards against a restarted instance with an older revision than its peers. Revision 6 is in
// force, the platform falls back to a stale copy with revision 5, and one instance restarts and
// reads it. This fails if a new instance asks only the platform, or if the platform's response
// comes into force because it arrives first.
#[test]
fn restarted_instance_prefers_peers_revision_to_stale_platform() {
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

// Guards against two restarted instances with an older revision than their peers. As above, but
// both watchers of a data centre restart at once. This fails if each of them asks only the other
// one, which has no catalogue either.
#[test]
fn both_restarted_watchers_prefer_peers_revision_to_stale_platform() {
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

// Guards against a return to an earlier revision. The platform is restored from a copy with
// revision 5 under a new platform revision and returns it for every watch. This fails if the
// platform's own revision is trusted instead of the catalogue's.
#[test]
fn stale_platform_does_not_revert_a_running_fleet() {
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

// Guards against a fleet that receives no change after a restore of the platform. The platform has
// reached its revision 90 and is restored from a copy at revision 3, while the watches wait for a
// revision above 90. This fails if the platform's revision is assumed never to decrease.
#[test]
fn change_arrives_after_platform_revision_decreases() {
    let mut fleet = running_fleet();
    fleet.restore_index(90, &catalogue(5).index);
    fleet.run_for(secs(1_300));
    fleet.restore_index(3, &catalogue(5).index);
    fleet.run_for(secs(60));

    fleet.publish(&catalogue(6));

    assert!(reach(&mut fleet, 6, secs(1_300)));
}

// Guards against a fleet without a catalogue after a restart of all instances in the same second,
// as after a power outage. This fails if instances accept the catalogue only from peers that have
// it.
#[test]
fn fleet_recovers_from_restart_of_all_instances() {
    let mut fleet = running_fleet();

    fleet.start_all();

    assert!(!fleet.all_at(5));
    assert!(reach(&mut fleet, 5, secs(10)));
}

// Guards against an instance that cannot serve while the platform is down. The platform is down for
// an hour, and an instance restarts meanwhile. This fails if a new instance waits for the platform.
#[test]
fn new_instance_starts_while_platform_is_down() {
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

// Guards against different revisions on the two sides of a healed partition. Data centre 2 is
// partitioned from the platform and the other data centres, revision 6 is published, and the
// partition heals while the platform is down. This fails if the lost announcement of 6 is not sent
// again.
#[test]
fn partition_heals_without_the_platform() {
    let mut fleet = running_fleet();
    fleet.partition = Some(|node| node % 3 == 2);
    fleet.publish(&catalogue(6));
    fleet.run_for(secs(120));
    let cut_off = [2, 5, 8, 11];
    assert!(cut_off.iter().all(|node| fleet.revision(*node) == 5));
    assert_eq!(fleet.revision(0), 6);

    fleet.platform.up = false;
    fleet.heal();
    // Links come up between watchers only; the news crosses with the first
    // message between any two instances of the two sides.
    fleet.receive_revision_of(2, 0);

    assert!(reach(&mut fleet, 6, secs(5)));
}

// Guards against instances that use a revision that others rejected. An index with an error is
// published. This fails if the result of the verification differs between instances, or if a part
// comes into force before the verification ends.
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
        let mut rejected = notes.filter(|note| matches!(note, Note::CatalogueRejected { .. }));
        let first = format!("{:?}", rejected.next());
        assert!(first.contains("catalogue-index:"), "no place: {first}");
        assert_eq!(rejected.count(), 0);
        let status = fleet.sync(watcher).status(fleet.now);
        let cause = status.rejection.unwrap().cause;
        assert!(matches!(cause, RejectionCause::Findings(findings) if findings.len() == 1));
    }
    assert!(fleet.calls_since(start) < 600, "it is fetched in a loop");
    fleet.publish(&catalogue(7));
    assert!(reach(&mut fleet, 7, secs(3)));
}

// Guards against workspaces of one shard that cannot be served after a change. An index is
// published whose shard 3 is invalid, and no instance uses that shard. This fails if the index
// comes into force as soon as the index itself is verified.
#[test]
fn invalid_shard_rejects_the_full_revision() {
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

// Guards against a valid revision that is rejected or comes into force with an old shard. The
// publisher writes the index first and the shard 40 s later. This fails if a shard with another
// digest is taken for the new one, or for an invalid one.
#[test]
fn index_published_before_its_shard_waits_for_it() {
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
    let reported = fleet.notes(watcher).iter().filter(|it| **it == waiting);
    assert_eq!(reported.count(), 1);
    fleet.publish(&next);

    assert!(reach(&mut fleet, 6, secs(8)));
}

// Guards against an instance that does not receive the revision that the rest of the fleet uses.
// Revision 6 is in force in the other data centres. This one was partitioned and first receives 7
// from the platform, whose shard is not written yet. This fails if 7 replaces 6 as the candidate
// and waits for its shard.
#[test]
fn waiting_proposal_does_not_delay_an_adopted_revision() {
    let mut fleet = running_fleet();
    fleet.partition = Some(|node| node % 3 == 2);
    fleet.publish(&catalogue(6));
    fleet.run_for(secs(30));
    fleet.publish_index(&catalogue(7).index);
    fleet.heal();
    fleet.receive_revision_of(2, 0);

    assert!(reach(&mut fleet, 6, secs(30)));
    fleet.publish(&catalogue(7));
    assert!(reach(&mut fleet, 7, secs(8)));
}

// Guards against a change that does not reach a data centre. Both of its watchers crash, and the
// list still shows them as live. This fails if the other instances rely only on the watchers.
#[test]
fn change_arrives_despite_crashed_watchers_in_the_list() {
    let mut fleet = running_fleet();
    fleet.run_for(secs(300));
    fleet.list_lags = true;
    for watcher in fleet.watchers(0) {
        fleet.kill(watcher);
    }

    fleet.publish(&catalogue(6));

    assert!(reach(&mut fleet, 6, secs(200)));
}

// Guards against an instance that pulls the same index repeatedly. During an upgrade, newer
// instances have revision 6 in force, with a key that this older one does not know, and each of
// their messages names 6. This fails if a higher revision is pulled each time it is named, even
// after it was rejected.
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
        fleet.receive_revision(4, 0, 6);
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
fn shards_in_use_are_fetched_before_a_change_comes_into_force() {
    let mut fleet = running_fleet();
    is_found(&mut fleet, 4, 0);
    fleet.run_for(secs(1));

    fleet.publish(&catalogue(6));
    assert!(reach(&mut fleet, 6, secs(3)));

    assert!(is_found(&mut fleet, 4, 0));
}

// Guards against a storm of reads during an outage. The platform is down, no instance keeps the
// shard, and a caller retries its request a hundred times per second. This fails if each request
// starts a new fetch of the shard.
#[test]
fn unavailable_shard_is_not_fetched_again_for_a_while() {
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

/// Returns a fleet of two in which one instance has the index from its peer and can reach no shard.
fn fresh_without_shards() -> Fleet {
    let mut fleet = Fleet::new(2, 1);
    fleet.publish(&catalogue(5));
    fleet.start(1);
    assert!(reach(&mut fleet, 5, secs(30)));
    fleet.platform.up = false;
    fleet.start(0);
    fleet.send_roles();
    assert!(reach(&mut fleet, 5, secs(30)));
    fleet.kill(1);
    fleet
}
