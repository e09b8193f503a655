//! Tickets under failures: at-most-once execution without a clock, instance list or shared state.

#[path = "keys_support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod fleet;

use core::time::Duration;
use fleet::{Fleet, workspace};
use oriolemux_core::keys::{Claim, ClaimId, HolderState, KeysMessage};
use oriolemux_core::outcome::PriorOutcome;
use oriolemux_core::{Outcome, Reason, RequestId, WorkspaceKey};
use proptest::prelude::*;
use rstest::rstest;

const DONE: HolderState = HolderState::Ended(PriorOutcome::Complete);
const ALL: [usize; 3] = [0, 1, 2];

#[rstest]
#[case::at_the_issuer(0)]
#[case::at_another_process(1)]
fn a_ticket_runs_one_request(#[case] used_at: usize) {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.issue(0);
    let first = fleet.request(used_at, ticket);

    let running: Vec<_> = ALL.map(|n| fleet.answer(n, ticket).refusal()).into();
    fleet.end(used_at, first, DONE);
    let ended: Vec<_> = ALL.map(|n| fleet.answer(n, ticket).refusal()).into();

    assert!(fleet.answer_of(first).unwrap().is_granted());
    assert_eq!(running, [(Reason::AlreadyRunning, Outcome::Unknown); 3]);
    assert_eq!(ended, [(Reason::AlreadyRan, Outcome::Complete); 3]);
}

#[test]
fn a_ticket_is_free_again_if_its_request_provably_did_not_run() {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.issue(0);
    let first = fleet.request(1, ticket);
    fleet.end(1, first, HolderState::NotRun);

    assert!(fleet.answer(2, ticket).is_granted());
}

// Guards against work that runs twice after the issuer restarted. A process issues a ticket, runs
// its request, crashes and restarts under the same name and address. The caller sends its request
// again. The new incarnation has no record of the old one's tickets.
#[rstest]
#[case::at_the_new_incarnation(0)]
#[case::elsewhere(1)]
fn a_ticket_of_an_ended_incarnation_never_runs(#[case] used_at: usize) {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.issue(0);
    fleet.request(0, ticket);
    fleet.restart(0, 1, &ALL);

    let answer = fleet.answer(used_at, ticket);

    assert_eq!(answer.refusal(), (Reason::HolderGone, Outcome::Unknown));
}

// Guards against work that runs twice when the answer to a claim is lost. The issuer grants the
// ticket to one process, the answer is lost, and the caller sends its request again to another
// process. The issuer cannot know whether its answer arrived.
#[test]
fn a_granted_ticket_is_not_granted_again() {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.issue(0);
    fleet.partition(0, 1);
    let issuer = fleet.id(0);
    let lost = fleet.request(1, ticket);
    let claim = Claim {
        id: ticket,
        claimant: lost,
        workspace: workspace(),
        body_hash: 1,
        list_revision: 1,
    };
    // The claim arrives, but the answer is lost.
    let requester = fleet.id(1);
    fleet.inject(0, requester, KeysMessage::Request(claim));

    let duplicate = fleet.answer(2, ticket);
    let refused = fleet.answer_of(lost).unwrap();
    fleet.heal();
    let late = KeysMessage::Granted {
        id: ticket,
        claimant: lost,
    };
    fleet.inject(1, issuer, late);
    let after_return = fleet.answer(2, ticket);

    assert_eq!(
        duplicate.refusal(),
        (Reason::AlreadyRunning, Outcome::Unknown)
    );
    assert_eq!(refused.refusal(), (Reason::HomeSilent, Outcome::Unknown));
    assert!(after_return.is_granted());
}

// Guards against a duplicate that executes work a crashed process already executed. The ticket was
// granted to a process that crashed. The issuer does not know how far the holder got.
#[test]
fn the_outcome_of_a_ticket_whose_holder_crashed_is_unknown() {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.issue(0);
    fleet.request(1, ticket);
    fleet.restart(1, 1, &ALL);

    let answer = fleet.answer(2, ticket);

    assert_eq!(answer.refusal(), (Reason::HolderGone, Outcome::Unknown));
}

// Guards against work that runs twice after the issuer was paused. A process claims a ticket, times
// out and refuses the request. The issuer resumes and grants the ticket while the caller has moved
// to another process. The issuer does not know that time has passed.
#[test]
fn a_paused_issuer_grants_nothing_to_a_request_that_timed_out() {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.issue(0);
    fleet.partition(0, 1);
    let timed_out = fleet.request(1, ticket);
    fleet.pass(fleet.cfg.ask_limit);
    let refused = fleet.answer_of(timed_out).unwrap();
    fleet.jump(Duration::from_secs(30));
    fleet.heal();

    let elsewhere = fleet.answer(2, ticket);

    assert_eq!(refused.refusal(), (Reason::HomeSilent, Outcome::Unknown));
    assert!(elsewhere.is_granted());
}

#[test]
fn a_ticket_of_another_workspace_is_refused() {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.issue(0);
    let claimant = fleet.request(1, fleet_key());
    let foreign = Claim {
        id: ticket,
        claimant,
        workspace: WorkspaceKey::of("another"),
        body_hash: 1,
        list_revision: 1,
    };
    let requester = fleet.id(1);

    fleet.inject(0, requester, KeysMessage::Request(foreign));

    assert!(fleet.answer(2, ticket).is_granted());
}

fn fleet_key() -> ClaimId {
    fleet::key("unrelated")
}

#[test]
fn a_process_cannot_report_for_requests_of_others() {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.issue(0);
    let held_by_1 = fleet.request(1, ticket);
    let claim = Claim {
        id: ticket,
        claimant: held_by_1,
        workspace: workspace(),
        body_hash: 1,
        list_revision: 1,
    };
    let state = HolderState::NotRun;

    let other = fleet.id(2);
    fleet.inject(0, other, KeysMessage::Report { claim, state });

    let answer = fleet.answer(2, ticket);
    assert_eq!(answer.refusal().0, Reason::AlreadyRunning);
}

#[test]
fn an_unused_ticket_expires_and_is_then_unknown() {
    let mut fleet = Fleet::settled(3);
    let ticket = fleet.issue(0);
    fleet.pass(fleet.cfg.ticket_life + Duration::from_secs(1));

    let answer = fleet.answer(1, ticket);

    assert_eq!(fleet.counts(0).0, 0);
    assert_eq!(answer.refusal(), (Reason::TicketExpired, Outcome::Unknown));
}

/// One step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request(usize),
    /// Ends the oldest running request; the flag says whether it ran.
    End(bool),
    Block(usize, usize),
    Heal,
    Restart(usize),
    Pass(u64),
    Jump(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3usize).prop_map(Step::Request),
        2 => any::<bool>().prop_map(Step::End),
        2 => (0..3usize, 0..3usize).prop_map(|(a, b)| Step::Block(a, b)),
        2 => Just(Step::Heal),
        1 => (0..3usize).prop_map(Step::Restart),
        2 => (1..2_000u64).prop_map(Step::Pass),
        1 => (1..120_000u64).prop_map(Step::Jump),
    ];
    prop::collection::vec(step, 1..30)
}

fn process_of(fleet: &Fleet, request: RequestId) -> Option<usize> {
    let is_accepting_process = |n: &usize| {
        let id = fleet.id(*n);
        (id.instance, id.incarnation) == (request.instance, request.incarnation)
    };
    ALL.into_iter().find(is_accepting_process)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    // Under any history of partitions, restarts, pauses and lost messages, a ticket is granted to a
    // second request only if the first provably did not run.
    #[test]
    fn no_history_runs_a_ticket_twice(history in steps()) {
        let mut fleet = Fleet::settled(3);
        let ticket = fleet.issue(0);
        let mut requested = Vec::new();
        let mut not_run = Vec::new();
        let mut ended = Vec::new();
        for step in history {
            match step {
                Step::Request(n) => requested.push(fleet.request(n, ticket)),
                Step::End(ran) => {
                    let runs = |r: &&RequestId| {
                        fleet.answer_of(**r).is_some_and(|a| a.is_granted()) && !ended.contains(*r)
                    };
                    if let Some(&request) = requested.iter().find(runs) {
                        ended.push(request);
                        if let Some(n) = process_of(&fleet, request) {
                            if !ran {
                                not_run.push(request);
                            }
                            let state = if ran { DONE } else { HolderState::NotRun };
                            fleet.end(n, request, state);
                        }
                    }
                }
                Step::Block(a, b) => fleet.block(a, b),
                Step::Heal => fleet.heal(),
                Step::Restart(n) => fleet.restart(n, 1, &ALL),
                Step::Pass(ms) => fleet.pass(Duration::from_millis(ms)),
                Step::Jump(ms) => fleet.jump(Duration::from_millis(ms)),
            }
            let may_have_run = requested.iter().filter(|r| {
                fleet.answer_of(**r).is_some_and(|a| a.is_granted()) && !not_run.contains(*r)
            });
            prop_assert!(may_have_run.count() <= 1);
        }
    }
}
