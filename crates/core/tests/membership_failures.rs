//! Membership with stale or broken lists, and during partitions.

#[path = "fixtures/fleet.rs"]
mod fleet;
#[path = "fixtures/network.rs"]
mod network;

use fleet::{actions, changed, fleet, member, peer};
use network::Network;
use oriolemux_core::ids::{EndpointKey, Incarnation, InstanceKey};
use oriolemux_core::membership::{
    EndpointState, InstanceList, LEAVING_HOLD, LIST_STALE, ListedState, Membership,
    MembershipAction, MembershipChange, MembershipMessage, QUARANTINE_CONFIRM, QUARANTINE_TIMEOUT,
    SUSPECT_AFTER,
};
use oriolemux_core::note::Note;
use oriolemux_core::time::Time;
use rstest::rstest;
use std::time::Duration;

const T: Time = Time::from_secs(10);

fn has_note(actions: &[MembershipAction], wanted: impl Fn(&Note) -> bool) -> bool {
    let mut notes = actions.iter().filter_map(|it| match it {
        MembershipAction::Note(note) => Some(note),
        _ => None,
    });
    notes.any(wanted)
}

fn changes(actions: &[MembershipAction]) -> Vec<MembershipChange> {
    let changes = actions.iter().filter_map(|it| match it {
        MembershipAction::Changed(change) => Some(*change),
        _ => None,
    });
    changes.collect()
}

fn without_most(list: &InstanceList) -> InstanceList {
    changed(list, |list| list.instances.truncate(2))
}

fn empty(list: &InstanceList) -> InstanceList {
    changed(list, |list| list.instances.clear())
}

fn without_endpoints(list: &InstanceList) -> InstanceList {
    changed(list, |list| list.endpoints.clear())
}

#[test]
fn a_lower_revision_changes_nothing() {
    // Guards against a departed instance that becomes a home again. Revision 2 does not contain it,
    // then a lagging replica returns revision 1. The list read last was taken for the newest.
    let list = fleet(1, 3, 1);
    let newer = changed(&list, |list| drop(list.instances.pop()));
    let mut member = member("i0-000", &newer);
    let out = actions(|out| member.list(T, list, out));
    assert_eq!(member.view().revision(), 2);
    assert_eq!(changes(&out), []);
}

#[rstest]
#[case(empty)]
#[case(without_most)]
#[case(without_endpoints)]
fn a_list_that_drops_most_of_the_fleet_is_quarantined(
    #[case] broken: fn(&InstanceList) -> InstanceList,
) {
    // Guards against moving every home to one instance, or closing all endpoints, within a second.
    // The writer of the list publishes an empty or half-written list. Any list was accepted.
    let list = fleet(1, 6, 4);
    let mut member = member("i0-000", &list);
    let out = actions(|out| member.list(T, broken(&list), out));
    assert!(has_note(&out, |it| matches!(
        it,
        Note::ListQuarantined { .. }
    )));
    assert_eq!(member.live_count(), 6);
    assert_eq!(member.view().endpoints().count(), 4);
    let full = changed(&broken(&list), |next| {
        next.instances = list.instances.clone();
        next.endpoints = list.endpoints.clone();
    });
    actions(|out| member.list(T + Duration::from_secs(1), full, out));
    assert_eq!((member.view().revision(), member.live_count()), (3, 6));
}

#[test]
fn a_writer_that_publishes_in_pieces_does_not_confirm_itself() {
    // Guards against accepting a half-written list from quarantine. Two half-written revisions
    // follow each other within a second. Any second revision counted as a confirmation.
    let list = fleet(1, 6, 4);
    let mut member = member("i0-000", &list);
    let first = without_most(&list);
    let second = changed(&first, |_| {});
    actions(|out| member.list(T, first, out));
    actions(|out| member.list(T + Duration::from_secs(1), second.clone(), out));
    assert_eq!(member.view().revision(), 1);
    let third = changed(&second, |_| {});
    actions(|out| member.list(T + QUARANTINE_CONFIRM, third, out));
    assert_eq!((member.view().revision(), member.live_count()), (4, 2));
}

#[test]
fn an_empty_list_is_never_accepted_for_its_age_alone() {
    let list = fleet(1, 6, 4);
    let mut member = member("i0-000", &list);
    actions(|out| member.list(T, empty(&list), out));
    actions(|out| member.tick(T + QUARANTINE_TIMEOUT + QUARANTINE_TIMEOUT, out));
    assert_eq!(member.live_count(), 6);
}

#[test]
fn a_loss_that_the_links_confirm_is_accepted() {
    // Guards against homes that stay with dead instances for minutes after the loss of a data
    // centre. Four of six instances die, their links break, and the list drops them. A quarantined
    // list waited for a later revision although the links confirmed the loss.
    let list = fleet(1, 6, 4);
    let mut member = member("i0-000", &list);
    actions(|out| member.peer_up(T, peer("i0-004", 1), out));
    actions(|out| member.list(T, without_most(&list), out));
    assert_eq!(
        member.next_wake().min(T + QUARANTINE_TIMEOUT),
        member.next_wake()
    );
    actions(|out| member.tick(T + QUARANTINE_TIMEOUT, out));
    assert_eq!(member.view().revision(), 1, "a link is still up");
    let down = T + QUARANTINE_TIMEOUT;
    actions(|out| member.peer_down(down, peer("i0-004", 1), out));
    actions(|out| member.tick(down + QUARANTINE_CONFIRM, out));
    assert_eq!((member.view().revision(), member.live_count()), (2, 2));
}

#[test]
fn a_list_may_mark_most_of_the_fleet_as_leaving() {
    let list = fleet(1, 6, 4);
    let mut member = member("i0-000", &list);
    let leaving = changed(&list, |list| {
        let all = list.instances.iter_mut().skip(1);
        all.for_each(|it| it.state = ListedState::Leaving);
    });
    actions(|out| member.list(T, leaving, out));
    assert_eq!(member.live_count(), 1);
}

#[test]
fn an_endpoint_that_is_leaving_is_known_everywhere_within_a_second() {
    // Guards against new work for an endpoint a minute after it refused a request as leaving. One
    // entry is refused while the list lags, and other instances keep routing to the endpoint. Only
    // the list was used, and only the instance that was refused knew more.
    let list = fleet(3, 5, 6);
    let mut net = Network::new(&list);
    let endpoint = EndpointKey::of("e2-003");
    net.call("i0-003", |it, now, out| {
        it.endpoint_refused_leaving(now, endpoint, out);
    });
    net.run(Duration::from_millis(1000));
    for (name, member) in &net.members {
        assert_eq!(
            member.endpoint_state(endpoint),
            EndpointState::Leaving,
            "{name}"
        );
    }
    let notice = |it: &&(String, MembershipMessage)| {
        matches!(it.1, MembershipMessage::EndpointLeaving { .. })
    };
    let sent = net.sent.iter().filter(notice).count();
    assert!(sent <= 15 * 4, "{sent} messages for 15 instances");
}

#[test]
fn updates_lost_in_a_partition_are_sent_when_it_heals() {
    // Guards against an instance that keeps using a leaving endpoint after a partition. It is cut
    // off while the update spreads, then the partition heals. The update was sent only once and
    // lost on a broken link.
    let list = fleet(1, 5, 4);
    let mut net = Network::new(&list);
    let endpoint = EndpointKey::of("e0-001");
    net.isolate("i0-002");
    net.call("i0-000", |it, now, out| {
        it.endpoint_refused_leaving(now, endpoint, out);
    });
    net.run(Duration::from_millis(400));
    assert_eq!(
        net.members["i0-002"].endpoint_state(endpoint),
        EndpointState::Live
    );
    net.join("i0-002");
    net.run(Duration::from_millis(400));
    assert_eq!(
        net.members["i0-002"].endpoint_state(endpoint),
        EndpointState::Leaving
    );
}

#[test]
fn an_endpoint_returns_by_the_list_or_by_its_own_later_report() {
    // Guards against an endpoint that is never used again under its old name. It leaves and
    // restarts under the same name, and the list never shows it. Only the list could end a leaving
    // notice.
    let list = fleet(1, 2, 2);
    let mut member = member("i0-000", &list);
    let endpoint = EndpointKey::of("e0-000");
    actions(|out| member.endpoint_refused_leaving(T, endpoint, out));
    let soon = T + Duration::from_secs(5);
    actions(|out| member.endpoint_reported(soon, endpoint, false, out));
    assert_eq!(
        member.endpoint_state(endpoint),
        EndpointState::Leaving,
        "a report that lags must not outweigh the refusal"
    );
    let later = T + LEAVING_HOLD;
    let out = actions(|out| member.endpoint_reported(later, endpoint, false, out));
    assert_eq!(
        changes(&out),
        [MembershipChange::EndpointReturned { endpoint }]
    );

    actions(|out| member.endpoint_refused_leaving(later, endpoint, out));
    let gone = changed(&list, |list| list.endpoints.truncate(0));
    let gone = changed(&gone, |it| it.endpoints = list.endpoints[1..].to_vec());
    let back = changed(&gone, |it| it.endpoints = list.endpoints.clone());
    actions(|out| member.list(later, gone, out));
    assert_eq!(member.endpoint_state(endpoint), EndpointState::Unknown);
    actions(|out| member.list(later, back, out));
    assert_eq!(member.endpoint_state(endpoint), EndpointState::Live);
    let late = MembershipMessage::EndpointLeaving {
        endpoint,
        list_revision: 2,
    };
    actions(|out| member.message(later, peer("i0-001", 1), late, out));
    assert_eq!(
        member.endpoint_state(endpoint),
        EndpointState::Live,
        "an outdated notice"
    );
}

#[test]
fn a_notice_ahead_of_the_list_is_kept() {
    // Guards against work for a leaving endpoint that was just listed. A notice arrives before the
    // revision that contains the endpoint. Notices of unknown endpoints were dropped.
    let list = fleet(1, 2, 4);
    let older = changed(&list, |it| {
        it.revision = 1;
        it.endpoints.pop();
    });
    let newer = changed(&older, |it| it.endpoints = list.endpoints.clone());
    let mut member = member("i0-000", &older);
    let endpoint = EndpointKey::of("e0-003");
    let notice = MembershipMessage::EndpointLeaving {
        endpoint,
        list_revision: 2,
    };
    actions(|out| member.message(T, peer("i0-001", 1), notice, out));
    actions(|out| member.list(T, newer, out));
    assert_eq!(member.endpoint_state(endpoint), EndpointState::Leaving);
}

#[test]
fn a_replaced_incarnation_is_never_taken_for_the_current_one() {
    // Guards against honouring grants of a replaced process. An instance freezes and is restarted
    // under its name, then the frozen process resumes and connects. Instances were identified by
    // name and address only.
    let list = fleet(1, 3, 1);
    let mut member = member("i0-000", &list);
    let instance = InstanceKey::of("i0-001");
    actions(|out| member.peer_up(T, peer("i0-001", 5), out));
    let out = actions(|out| member.peer_up(T, peer("i0-001", 9), out));
    let replaced = MembershipChange::InstanceReplaced {
        instance,
        was: Incarnation(5),
    };
    assert!(changes(&out).contains(&replaced));
    actions(|out| member.peer_up(T, peer("i0-001", 5), out));
    assert!(!member.is_current_incarnation(peer("i0-001", 5)));
    assert!(member.is_current_incarnation(peer("i0-001", 9)));
    actions(|out| member.peer_down(T, peer("i0-001", 5), out));
    assert!(
        member.is_linked(instance),
        "the old incarnation's link is not the current one's"
    );
}

#[test]
fn an_instance_that_left_and_restarted_is_a_home_again_everywhere() {
    // Guards against a healthy restarted instance that gets no work. It stops as planned and
    // restarts in place before the list changes. Its leaving notice was bound to its name instead
    // of its incarnation.
    let list = fleet(1, 5, 4);
    let mut net = Network::new(&list);
    let instance = InstanceKey::of("i0-004");
    net.call("i0-004", |it, now, out| it.stop(now, out));
    net.run(Duration::from_millis(50));
    assert!(
        net.members
            .values()
            .all(|it| it.live_instances().all(|it| it != instance))
    );
    net.isolate("i0-004");
    net.run(Duration::from_millis(500));
    let mut config =
        oriolemux_core::membership::MembershipConfig::new("i0-004", Incarnation(2), "dc0", 3);
    config.cell_endpoints = 8;
    let mut restarted = Membership::new(config);
    actions(|out| restarted.list(net.now, list.clone(), out));
    net.members.insert("i0-004".to_owned(), restarted);
    net.join("i0-004");
    net.run(Duration::from_millis(100));
    for (name, member) in &net.members {
        assert!(member.live_instances().any(|it| it == instance), "{name}");
    }
}

#[test]
fn a_broken_link_moves_homes_after_a_delay_and_back() {
    // Guards against requests that wait for a dead home until the list drops it minutes later. A
    // home is killed (SIGKILL) while the list lags. Only the list could move a home.
    let list = fleet(1, 4, 4);
    let mut member = member("i0-000", &list);
    let other = peer("i0-002", 1);
    actions(|out| member.peer_up(T, other, out));
    actions(|out| member.peer_down(T, other, out));
    assert_eq!(member.live_count(), 4, "a short interruption moves nothing");
    assert_eq!(
        member.next_wake().min(T + SUSPECT_AFTER),
        member.next_wake()
    );
    let out = actions(|out| member.tick(T + SUSPECT_AFTER, out));
    assert!(has_note(&out, |it| *it == Note::InstanceGone(other.instance)));
    assert_eq!(member.live_count(), 3);
    actions(|out| member.peer_up(T + Duration::from_secs(2), other, out));
    assert_eq!(member.live_count(), 4);
}

#[test]
fn a_list_that_is_stale_for_an_hour_stays_in_force_and_is_reported() {
    let list = fleet(1, 3, 2);
    let mut member = member("i0-000", &list);
    let mut now = Time::from_secs(1);
    let end = now + Duration::from_secs(3601);
    let (mut stale, mut reads_sent) = (0, 0);
    while now < end {
        let out = actions(|out| member.tick(now, out));
        stale += out
            .iter()
            .filter(|it| matches!(it, MembershipAction::Note(Note::ListStale { .. })))
            .count();
        let reads = out.iter().filter(|it| {
            matches!(
                it,
                MembershipAction::ReadList | MembershipAction::WatchList { .. }
            )
        });
        let reads = reads.count();
        reads_sent += reads;
        (0..reads).for_each(|_| drop(actions(|out| member.list_failed(now, out))));
        now = member.next_wake().max(now + Duration::from_millis(1));
    }
    assert_eq!(member.live_count(), 3);
    assert!(member.list_age(now) >= Some(Duration::from_secs(3599)));
    assert_eq!(stale as u64, 3600 / LIST_STALE.as_secs());
    assert!(
        reads_sent < 800,
        "{reads_sent} reads of a service that is down"
    );
}

#[test]
fn a_stale_platform_replica_does_not_confirm_the_list() {
    // Guards against an order based on a list that is an hour old but was "just read". The platform
    // answers from a lagging replica while a peer holds a later revision. Any response counted as a
    // confirmation.
    let list = fleet(1, 3, 2);
    let mut member = member("i0-000", &list);
    let before = member.list_age(T);
    actions(|out| member.peer_revision(T, peer("i0-001", 1), 5, out));
    actions(|out| member.list(T, list.clone(), out));
    actions(|out| member.list_unchanged(T, out));
    assert_eq!(member.list_age(T), before);
}

#[test]
fn two_data_centres_with_different_lists_converge_to_the_higher() {
    // Guards against two halves of the fleet that rank homes differently for minutes. The
    // platform's replicas differ, and each data centre reads its own. Revisions were not compared
    // across data centres.
    let list = fleet(2, 4, 4);
    let newer = changed(&list, |list| drop(list.endpoints.pop()));
    let mut net = Network::new(&list);
    let watcher = net
        .names()
        .into_iter()
        .find(|it| it.starts_with("i1") && net.members[it].is_watcher());
    net.call(&watcher.unwrap(), |it, now, out| {
        it.list(now, newer.clone(), out)
    });
    net.run(Duration::from_millis(200));
    for (name, member) in &net.members {
        assert_eq!(member.view().list(), &newer, "{name}");
    }
}

#[test]
fn a_pull_that_is_not_answered_is_followed_by_a_read() {
    // Guards against an instance that keeps an old list although every peer announces a newer one.
    // The peer that is asked for the changes cannot send them. Only peers were asked, repeatedly.
    let list = fleet(1, 6, 2);
    let mut member = member("i0-000", &list);
    let reads = |out: &[MembershipAction]| out.contains(&MembershipAction::ReadList);
    let pulls = |out: &[MembershipAction]| {
        let pull = MembershipMessage::ListPull { have: 1 };
        out.iter()
            .any(|it| matches!(it, MembershipAction::Send { message, .. } if *message == pull))
    };
    let announce = |member: &mut Membership, now| {
        actions(|out| member.peer_revision(now, peer("i0-001", 1), 5, out))
    };
    let out = announce(&mut member, T);
    assert!(pulls(&out) && !reads(&out));
    let out = announce(&mut member, T + Duration::from_secs(1));
    assert!(!pulls(&out) && !reads(&out));
    let out = announce(&mut member, T + Duration::from_secs(3));
    assert!(pulls(&out) && reads(&out));
}

#[test]
fn the_next_in_rank_takes_over_the_watch() {
    // Guards against a data centre without list updates after one instance died. The instance that
    // held the watch is killed. The role was fixed to an instance.
    let list = fleet(1, 5, 2);
    let mut net = Network::new(&list);
    let watchers = |net: &Network| -> Vec<String> {
        let names = net.names().into_iter();
        names.filter(|it| net.members[it].is_watcher()).collect()
    };
    let before = watchers(&net);
    assert_eq!(before.len(), 2);
    net.list_reads.clear();
    net.isolate(&before[0]);
    net.run(Duration::from_millis(1500));
    let after = watchers(&net);
    let new: Vec<_> = after.iter().filter(|it| !before.contains(it)).collect();
    assert_eq!(new.len(), 1);
    assert!(net.list_reads.iter().any(|(name, _)| name == new[0]));
}

#[test]
fn a_fleet_that_starts_at_once_spreads_its_reads() {
    let mut due: Vec<u64> = (0..390)
        .map(|i| {
            let name = format!("i{i}");
            let cfg =
                oriolemux_core::membership::MembershipConfig::new(&name, Incarnation(i), "dc0", i);
            let mut member = Membership::new(cfg);
            actions(|out| member.start(Time::ZERO, out));
            member.next_wake().as_millis()
        })
        .collect();
    due.sort_unstable();
    let in_any_100_ms = due.windows(60).all(|it| it[59] - it[0] >= 100);
    assert!(in_any_100_ms && due[389] <= 1000);
}
