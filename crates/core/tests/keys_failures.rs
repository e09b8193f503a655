//! Idempotency keys under failures: a request runs at most once, or its outcome is reported as
//! unknown.

#[path = "keys_support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod fleet;

use core::time::Duration;
use fleet::{Answer, Fleet, key};
use oriolemux_core::keys::{HolderState, KeysMessage};
use oriolemux_core::outcome::PriorOutcome;
use oriolemux_core::{Outcome, Reason};

const DONE: HolderState = HolderState::Ended(PriorOutcome::Complete);
const ALL: [usize; 4] = [0, 1, 2, 3];

/// Returns two processes that are not the home of `text`.
fn entries(fleet: &Fleet, text: &str) -> [usize; 2] {
    let home = fleet.home_of(text);
    let mut others = ALL.into_iter().filter(|&n| n != home);
    [others.next().unwrap(), others.next().unwrap()]
}

// Guards against work that is executed twice. A caller times out and sends its request again, and
// the load balancer routes the duplicate to another entry instance while the first request is still
// running. The two entry instances do not know of each other's requests.
#[test]
fn a_duplicate_on_another_entry_never_runs() {
    let mut fleet = Fleet::settled(4);
    let [a, b] = entries(&fleet, "order-1");
    let first = fleet.request(a, key("order-1"));

    let while_running = fleet.answer(b, key("order-1"));
    fleet.end(a, first, DONE);
    let after = fleet.answer(b, key("order-1"));
    let at_the_same_entry = fleet.answer(a, key("order-1"));

    assert!(fleet.answer_of(first).unwrap().is_granted());
    assert_eq!(
        while_running.refusal(),
        (Reason::AlreadyRunning, Outcome::Unknown)
    );
    assert_eq!(after.refusal(), (Reason::AlreadyRan, Outcome::Complete));
    assert_eq!(
        at_the_same_entry.refusal(),
        (Reason::AlreadyRan, Outcome::Complete)
    );
}

// Guards against a second execution minutes later, while the first request is still running. The
// home grants a key, and while its answer is in flight the instance list moves the home. The entry
// applies the new list, then receives the late grant. It had no claim to report when the list
// changed; without a report now, the new home settles and grants the key again.
#[test]
fn a_grant_that_arrives_after_its_home_moved_is_reported_to_the_new_home() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    fleet.block(3, 0);
    let first = fleet.request(0, key(&text));
    let old_home = fleet.id(3);
    fleet.publish(2, &[0, 1, 2]);
    fleet.heal();
    let late = KeysMessage::Granted {
        id: key(&text),
        claimant: first,
    };
    fleet.inject(0, old_home, late);
    assert!(fleet.answer_of(first).unwrap().is_granted());

    fleet.pass(fleet.cfg.settle);
    let duplicate = fleet.answer(1, key(&text));

    let already_running = (Reason::AlreadyRunning, Outcome::Unknown);
    assert_eq!(duplicate.refusal(), already_running);
}

#[test]
fn a_key_is_free_again_if_its_request_provably_did_not_run() {
    let mut fleet = Fleet::settled(4);
    let [a, b] = entries(&fleet, "order-1");
    let first = fleet.request(a, key("order-1"));
    fleet.end(a, first, HolderState::NotRun);

    let second = fleet.answer(b, key("order-1"));

    assert!(second.is_granted());
}

#[test]
fn a_key_used_for_another_body_is_refused() {
    let mut fleet = Fleet::settled(4);
    let [a, b] = entries(&fleet, "order-1");
    fleet.request_with_body(a, key("order-1"), 1);

    let other = fleet.request_with_body(b, key("order-1"), 2);

    let refusal = fleet.answer_of(other).unwrap().refusal();
    assert_eq!(refusal, (Reason::KeyReused, Outcome::NotRun));
}

// Guards against a duplicate that executes work again. The entry claims the key, sends the request
// and crashes. No remaining process knows whether the request ran.
#[test]
fn the_outcome_of_a_crashed_entrys_claim_is_unknown() {
    let mut fleet = Fleet::settled(4);
    let [a, b] = entries(&fleet, "order-1");
    fleet.request(a, key("order-1"));
    fleet.restart(a, 1, &ALL);

    let duplicate = fleet.answer(b, key("order-1"));

    assert_eq!(duplicate.refusal(), (Reason::HolderGone, Outcome::Unknown));
}

// Guards against a second execution right after an instance was lost. The home grants a key and
// crashes, the instance list drops it, and a duplicate reaches the next home in rank. That home has
// no record of what the previous one granted.
#[test]
fn a_new_home_grants_nothing_until_it_has_settled() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    fleet.publish(2, &[0, 1, 2]);

    let early = fleet.answer(0, key(&text));
    fleet.pass(fleet.cfg.settle);
    let late = fleet.answer(0, key(&text));

    assert_eq!(early.refusal(), (Reason::KeyHomeUnsure, Outcome::Unknown));
    let Answer::Refused(verdict) = early else {
        panic!("granted");
    };
    assert!(verdict.retry_after() > Some(fleet.cfg.settle / 2));
    assert!(late.is_granted());
}

#[test]
fn keys_whose_home_did_not_move_are_granted_during_a_list_change() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(1);
    fleet.publish(2, &[0, 1, 2]);

    assert!(fleet.answer(0, key(&text)).is_granted());
}

// Guards against a long generation that runs a second time after its key's home was lost. An entry
// holds a claim, the home crashes, and the new home settles while the first request is still
// running. The state of the old home is lost; only the holders still know their claims.
#[test]
fn holders_report_their_claims_to_a_new_home() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    let running = fleet.request(0, key(&text));
    fleet.publish(2, &[0, 1, 2]);
    fleet.pass(fleet.cfg.settle * 2);

    let while_running = fleet.answer(1, key(&text));
    fleet.end(0, running, DONE);
    let after = fleet.answer(1, key(&text));

    assert_eq!(while_running.refusal().0, Reason::AlreadyRunning);
    assert_eq!(after.refusal(), (Reason::AlreadyRan, Outcome::Complete));
}

// Guards against a key that is granted twice after its home restarted. The home grants a key and
// restarts under the same name and address, and a duplicate reaches the new incarnation. It has the
// rank of the old incarnation but not its records.
#[test]
fn a_home_restarted_under_the_same_address_is_a_new_home() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    fleet.request(0, key(&text));
    let unknown = (0..)
        .map(|i| format!("other-{i}"))
        .find(|text| fleet.home_of(text) == 3)
        .unwrap();
    fleet.restart(3, 1, &ALL);
    fleet.deliver();

    let known = fleet.answer(1, key(&text));
    let other = fleet.answer(1, key(&unknown));

    assert_eq!(known.refusal().0, Reason::AlreadyRunning);
    assert_eq!(other.refusal(), (Reason::KeyHomeUnsure, Outcome::Unknown));
}

// Guards against both sides of a partition running the same key. The instance list that drops the
// old home reaches one side only. The other side cannot reach the platform and continues with the
// old list, so each side has a different home.
#[test]
fn two_sides_of_a_partition_never_grant_the_same_key() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    for (near, far) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        fleet.partition(near, far);
    }
    fleet.set_list(0, 2, &[0, 1]);
    fleet.set_list(1, 2, &[0, 1]);
    fleet.platform_up = false;

    let old_side = fleet.request(2, key(&text));
    let new_side = fleet.answer(0, key(&text));
    fleet.pass(fleet.cfg.list_fresh);
    let old_side_later = fleet.answer(2, key("order-late"));

    // The old home's list was confirmed a moment ago, so it may still grant.
    assert!(fleet.answer_of(old_side).unwrap().is_granted());
    assert_eq!(
        new_side.refusal(),
        (Reason::KeyHomeUnsure, Outcome::Unknown)
    );
    // Without further confirmations it stops, long before the new home has settled.
    let (reason, outcome) = old_side_later.refusal();
    assert!(matches!(reason, Reason::KeyHomeUnsure | Reason::HomeSilent));
    assert_eq!(outcome, Outcome::Unknown);
    assert!(fleet.cfg.list_fresh + fleet.cfg.valid < fleet.cfg.settle);
}

#[test]
fn a_request_under_another_list_revision_is_refused() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    fleet.set_list(0, 2, &ALL);

    let ahead = fleet.answer(0, key(&text));
    fleet.publish(2, &ALL);
    let caught_up = fleet.answer(0, key(&text));

    assert_eq!(ahead.refusal().0, Reason::KeyHomeUnsure);
    assert!(caught_up.is_granted());
}

// Guards against keys that are granted during an outage in which homes moved. The platform is down
// for an hour while instances start and stop. A home that cannot read the instance list cannot know
// whether it is still the home.
#[test]
fn while_the_platform_is_down_no_unknown_key_is_granted() {
    let mut fleet = Fleet::settled(4);
    fleet.platform_up = false;
    fleet.pass(Duration::from_secs(3_600));

    let down = fleet.answer(0, key("order-1"));
    fleet.platform_up = true;
    fleet.pass(Duration::from_secs(1));
    let up = fleet.answer(0, key("order-1"));

    assert_eq!(down.refusal(), (Reason::KeyHomeUnsure, Outcome::Unknown));
    assert!(up.is_granted());
}

// Guards against a caller without a response, and against a key that is held forever by a request
// that was refused. The home grants the claim and its answer is lost in a one-way partition between
// home and entry.
#[test]
fn a_lost_grant_ends_as_unknown_and_is_returned() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    fleet.block(3, 0);

    let lost = fleet.answer(0, key(&text));
    let meanwhile = fleet.answer(1, key(&text));
    fleet.heal();
    fleet.pass(Duration::from_secs(10));
    let healed = fleet.answer(1, key(&text));

    assert_eq!(lost.refusal(), (Reason::HomeSilent, Outcome::Unknown));
    assert!(meanwhile.is_granted() || meanwhile.refusal().0 == Reason::AlreadyRunning);
    assert!(meanwhile.is_granted() || healed.is_granted());
}

// Guards against a duplicate that is refused as "already ran" although nothing ran. A caller leaves
// while its request waits for the claim. The request ends as "unknown", and the home grants its
// claim a moment later. The outcome reported to a caller may be weaker than what is known.
#[test]
fn a_request_that_ends_before_its_claim_is_granted_returns_it() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    fleet.block(3, 0);
    let abandoned = fleet.request(0, key(&text));
    fleet.end(0, abandoned, HolderState::Ended(PriorOutcome::Unknown));

    let duplicate = fleet.answer(1, key(&text));

    assert!(duplicate.is_granted());
}

#[test]
fn an_unresponsive_home_means_unknown() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    fleet.partition(0, 3);

    let answer = fleet.answer(0, key(&text));

    assert_eq!(answer.refusal(), (Reason::HomeSilent, Outcome::Unknown));
}

// Guards against work that runs twice after a process was paused for minutes. An entry is granted a
// key and paused before the send. The home crashes, the new home settles and grants the key to a
// duplicate. When the entry resumes, its claim must no longer permit the send.
#[test]
fn a_claim_expires_for_sending_before_a_new_home_can_grant() {
    let mut fleet = Fleet::settled(4);
    let text = fleet.key_at(3);
    let requested_at = fleet.now;
    let paused = fleet.request(0, key(&text));
    let Some(Answer::Granted { valid_until }) = fleet.answer_of(paused) else {
        panic!("refused");
    };
    fleet.partition(0, 1);
    fleet.partition(0, 2);
    fleet.publish(2, &[0, 1, 2]);

    fleet.pass(fleet.cfg.settle);

    assert_eq!(valid_until, requested_at + fleet.cfg.valid);
    assert!(valid_until < fleet.now);
}

#[test]
fn outcomes_are_kept_for_the_retention_time_only() {
    let mut fleet = Fleet::settled(4);
    let [a, b] = entries(&fleet, "order-1");
    let home = fleet.home_of("order-1");
    let first = fleet.request(a, key("order-1"));
    fleet.end(a, first, DONE);

    fleet.pass(fleet.cfg.memory - Duration::from_secs(2));
    let remembered = fleet.answer(b, key("order-1"));
    fleet.pass(fleet.cfg.memory);

    assert_eq!(
        remembered.refusal(),
        (Reason::AlreadyRan, Outcome::Complete)
    );
    assert_eq!(fleet.counts(home), (0, 0));
    assert_eq!(fleet.counts(a), (0, 0));
}
