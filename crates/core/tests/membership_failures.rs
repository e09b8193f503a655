//! What membership believes when the list lags, lies, or parts.

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
    // Symptom: an instance that was gone became a home again.
    // Sequence: revision 2 without it; a lagging replica answers with revision 1.
    // Cause: the list read last was taken for the newest.
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
fn a_list_that_lost_most_of_the_fleet_is_not_believed_at_once(
    #[case] broken: fn(&InstanceList) -> InstanceList,
) {
    // Symptom: every home moved to one instance, or no endpoint was left, within a second.
    // Sequence: the list's writer publishes an empty or half-written list.
    // Cause: a list was believed whatever it said.
    let list = fleet(1, 6, 4);
    let mut member = member("i0-000", &list);
    let out = actions(|out| member.list(T, broken(&list), out));
    assert!(has_note(&out, |it| matches!(
        it,
        Note::ListQuarantined { .. }
    )));
    assert_eq!(member.live_count(), 6);
    assert_eq!(member.view().endpoints().count(), 4);
    let whole = changed(&broken(&list), |next| {
        next.instances = list.instances.clone();
        next.endpoints = list.endpoints.clone();
    });
    actions(|out| member.list(T + Duration::from_secs(1), whole, out));
    assert_eq!((member.view().revision(), member.live_count()), (3, 6));
}

#[test]
fn a_writer_that_publishes_in_pieces_does_not_confirm_itself() {
    // Symptom: a half-written list came into force although it had been doubted.
    // Sequence: two half-written revisions follow each other within a second.
    // Cause: any second revision counted as a confirmation.
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
fn an_empty_list_is_never_believed_for_its_age_alone() {
    let list = fleet(1, 6, 4);
    let mut member = member("i0-000", &list);
    actions(|out| member.list(T, empty(&list), out));
    actions(|out| member.tick(T + QUARANTINE_TIMEOUT + QUARANTINE_TIMEOUT, out));
    assert_eq!(member.live_count(), 6);
}

#[test]
fn a_loss_that_the_links_confirm_is_believed() {
    // Symptom: after a data centre was lost, homes stayed with the dead for minutes.
    // Sequence: four of six instances die; their links break; the list drops them.
    // Cause: a doubted list waited for a later revision although the links showed the loss.
    let list = fleet(1, 6, 4);
    let mut member = member("i0-000", &list);
    actions(|out| member.peer_up(T, peer("i0-004", 1), out));
    actions(|out| member.list(T, without_most(&list), out));
    assert_eq!(
        member.next_wake().min(T + QUARANTINE_TIMEOUT),
        member.next_wake()
    );
    actions(|out| member.tick(T + QUARANTINE_TIMEOUT, out));
    assert_eq!(member.view().revision(), 1, "a link says that it lives");
    let down = T + QUARANTINE_TIMEOUT;
    actions(|out| member.peer_down(down, peer("i0-004", 1), out));
    actions(|out| member.tick(down + QUARANTINE_CONFIRM, out));
    assert_eq!((member.view().revision(), member.live_count()), (2, 2));
}

#[test]
fn a_list_that_says_leaving_is_believed_for_most_of_the_fleet() {
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
    // Symptom: an endpoint got new work a minute after it had refused some as leaving.
    // Sequence: one entry is refused; the list lags; other instances route on.
    // Cause: only the list was believed, and only its reader knew.
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
    let news = |it: &&(String, MembershipMessage)| {
        matches!(it.1, MembershipMessage::EndpointLeaving { .. })
    };
    let sent = net.sent.iter().filter(news).count();
    assert!(sent <= 15 * 4, "{sent} messages for 15 instances");
}

#[test]
fn news_lost_in_a_partition_is_told_when_it_heals() {
    // Symptom: one instance went on using a leaving endpoint after a partition.
    // Sequence: it is cut off; the news spreads; the partition heals.
    // Cause: news was sent once and lost on a link that was down.
    let list = fleet(1, 5, 4);
    let mut net = Network::new(&list);
    let endpoint = EndpointKey::of("e0-001");
    net.cut_off("i0-002");
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
fn an_endpoint_comes_back_by_the_list_or_by_its_own_fresh_report() {
    // Symptom: an endpoint under its old name was never used again.
    // Sequence: it leaves, restarts under the same name; the list never says so.
    // Cause: only the list could end the news of its leaving.
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
        "old news"
    );
}

#[test]
fn news_that_runs_ahead_of_the_list_is_kept_for_it() {
    // Symptom: an endpoint that had just been listed got work although it was leaving.
    // Sequence: news about it arrives before the revision that names it.
    // Cause: news of an unknown endpoint was dropped.
    let list = fleet(1, 2, 4);
    let older = changed(&list, |it| {
        it.revision = 1;
        it.endpoints.pop();
    });
    let newer = changed(&older, |it| it.endpoints = list.endpoints.clone());
    let mut member = member("i0-000", &older);
    let endpoint = EndpointKey::of("e0-003");
    let news = MembershipMessage::EndpointLeaving {
        endpoint,
        list_revision: 2,
    };
    actions(|out| member.message(T, peer("i0-001", 1), news, out));
    actions(|out| member.list(T, newer, out));
    assert_eq!(member.endpoint_state(endpoint), EndpointState::Leaving);
}

#[test]
fn a_replaced_life_is_never_taken_for_the_present_one() {
    // Symptom: grants of a process that had been replaced were honoured.
    // Sequence: an instance freezes and is restarted under its name; the frozen
    // process wakes and connects.
    // Cause: instances were told apart by name and address only.
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
        "the old life's link is not the present one's"
    );
}

#[test]
fn an_instance_that_left_and_restarted_is_a_home_again_everywhere() {
    // Symptom: a restarted instance stayed without work although it was healthy.
    // Sequence: planned stop, restart in place before the list changed.
    // Cause: the news of its leaving was tied to its name, not to its life.
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
    net.cut_off("i0-004");
    net.run(Duration::from_millis(500));
    let mut life =
        oriolemux_core::membership::MembershipConfig::new("i0-004", Incarnation(2), "dc0", 3);
    life.cell_endpoints = 8;
    let mut restarted = Membership::new(life);
    actions(|out| restarted.list(net.now, list.clone(), out));
    net.members.insert("i0-004".to_owned(), restarted);
    net.join("i0-004");
    net.run(Duration::from_millis(100));
    for (name, member) in &net.members {
        assert!(member.live_instances().any(|it| it == instance), "{name}");
    }
}

#[test]
fn a_broken_link_moves_homes_after_a_moment_and_back() {
    // Symptom: requests waited for a dead home until the list dropped it, minutes later.
    // Sequence: SIGKILL of a home; the list lags.
    // Cause: only the list could move a home.
    let list = fleet(1, 4, 4);
    let mut member = member("i0-000", &list);
    let other = peer("i0-002", 1);
    actions(|out| member.peer_up(T, other, out));
    actions(|out| member.peer_down(T, other, out));
    assert_eq!(member.live_count(), 4, "a blip moves nothing");
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
fn a_list_that_is_stale_for_an_hour_serves_on_and_says_so() {
    let list = fleet(1, 3, 2);
    let mut member = member("i0-000", &list);
    let mut now = Time::from_secs(1);
    let end = now + Duration::from_secs(3601);
    let (mut stale, mut asked) = (0, 0);
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
        asked += reads;
        (0..reads).for_each(|_| drop(actions(|out| member.list_failed(now, out))));
        now = member.next_wake().max(now + Duration::from_millis(1));
    }
    assert_eq!(member.live_count(), 3);
    assert!(member.list_age(now) >= Some(Duration::from_secs(3599)));
    assert_eq!(stale as u64, 3600 / LIST_STALE.as_secs());
    assert!(asked < 800, "{asked} reads of a service that is down");
}

#[test]
fn a_stale_service_does_not_make_the_list_look_fresh() {
    // Symptom: an order was given on a list that was an hour old but "just read".
    // Sequence: the service answers from a replica that lags; a peer holds more.
    // Cause: any answer counted as a confirmation.
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
    // Symptom: two halves of the fleet ranked homes differently for minutes.
    // Sequence: the service's replicas differ; each data centre reads its own.
    // Cause: nobody compared revisions across data centres.
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
    // Symptom: one instance kept an old list although every peer told of a newer.
    // Sequence: the peer that is asked for the changes cannot send them.
    // Cause: only peers were asked, again and again.
    let list = fleet(1, 6, 2);
    let mut member = member("i0-000", &list);
    let reads = |out: &[MembershipAction]| out.contains(&MembershipAction::ReadList);
    let pulls = |out: &[MembershipAction]| {
        let pull = MembershipMessage::ListPull { have: 1 };
        out.iter()
            .any(|it| matches!(it, MembershipAction::Send { message, .. } if *message == pull))
    };
    let told = |member: &mut Membership, now| {
        actions(|out| member.peer_revision(now, peer("i0-001", 1), 5, out))
    };
    let out = told(&mut member, T);
    assert!(pulls(&out) && !reads(&out));
    let out = told(&mut member, T + Duration::from_secs(1));
    assert!(!pulls(&out) && !reads(&out));
    let out = told(&mut member, T + Duration::from_secs(3));
    assert!(pulls(&out) && reads(&out));
}

#[test]
fn the_next_in_rank_takes_over_the_watch() {
    // Symptom: a data centre heard of no list change after one instance died.
    // Sequence: the instance that held the watch is killed.
    // Cause: the role was fixed to an instance.
    let list = fleet(1, 5, 2);
    let mut net = Network::new(&list);
    let watchers = |net: &Network| -> Vec<String> {
        let names = net.names().into_iter();
        names.filter(|it| net.members[it].is_watcher()).collect()
    };
    let before = watchers(&net);
    assert_eq!(before.len(), 2);
    net.list_reads.clear();
    net.cut_off(&before[0]);
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
