//! At-most-once execution across complete nodes: duplicate requests under one ticket or key.

use crate::world::{Name, World};
use oriolemux_core::event::{AttemptUpdate, Event};
use oriolemux_core::keys::KeysConfig;
use oriolemux_core::{Incarnation, Outcome, Ran, Reason, RequestId, RequestOutcome};
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Longer than the settling time of a home, after which it grants keys that it has no record of.
const SETTLED: Duration = Duration::from_secs(130);

/// Failure: an order runs twice, because the caller was told "not run" for a duplicate of an order
/// that ran. The response of the first order was lost; the duplicate reaches an instance that is
/// stopping, or whose catalogue no longer has the entry, and is refused before its claim is
/// requested. The caller takes "not run" as a statement about the order.
#[rstest]
#[case::stopping("order", true, Reason::Stopping)]
#[case::no_such_entry("gone", false, Reason::UnknownEntry)]
fn a_duplicate_request_refused_before_its_claim_is_unknown(
    #[case] entry: &str,
    #[case] stop: bool,
    #[case] reason: Reason,
) {
    let mut world = World::new(2, 1);
    let ticket = world.ticket(0);
    if stop {
        world.feed(world.key(1), Event::Stop);
        world.run_for(SECOND * 10);
    }

    for name in [Name::Key("order-7"), Name::Ticket(ticket)] {
        let duplicate = world.send(1, entry, name);
        world.run_for(SECOND);

        let verdict = world.verdict(duplicate).expect("refused");
        assert_eq!(verdict.reason(), reason);
        assert_eq!(verdict.outcome(), Outcome::Unknown);
    }
    let nameless = world.request(1, entry);
    world.run_for(SECOND);
    let verdict = world.verdict(nameless).expect("refused");
    assert_eq!(verdict.outcome(), Outcome::NotRun);
}

/// Failure: a first order that no endpoint received is reported as "unknown", so the caller cannot
/// order again. Its claim was granted, then every endpoint was gone, and the outcome of the request
/// did not record the grant.
#[test]
fn a_first_request_without_a_placement_did_not_run() {
    let mut world = World::new(2, 0);
    world.run_for(SETTLED);
    let ticket = world.ticket(0);

    for name in [Name::Key("order-7"), Name::Ticket(ticket)] {
        let id = world.send(1, "order", name);
        world.run_for(SECOND * 15);

        let verdict = world.verdict(id).expect("refused");
        assert_eq!(verdict.reason(), Reason::NoEndpoint);
        assert_eq!(verdict.outcome(), Outcome::NotRun);
    }
}

/// A fleet in which the homes of keys have settled.
fn settled(nodes: usize) -> World {
    let mut world = World::new(nodes, 2);
    world.run_for(SETTLED);
    world
}

fn refusal(world: &World, id: RequestId) -> (Reason, Outcome) {
    let verdict = world.verdict(id).expect("answered");
    (verdict.reason(), verdict.outcome())
}

/// The kind of name that a case uses.
#[derive(Clone, Copy)]
enum Kind {
    Key,
    Ticket,
}

/// A name that is granted by one node; a key requires a home that has settled.
struct Granted {
    key: String,
    ticket: RequestId,
    kind: Kind,
}

impl Granted {
    fn by(world: &mut World, n: usize, kind: Kind) -> Self {
        Granted {
            key: world.key_at(n, (n + 1) % 4),
            ticket: world.ticket(n),
            kind,
        }
    }

    fn name(&self) -> Name<'_> {
        match self.kind {
            Kind::Key => Name::Key(&self.key),
            Kind::Ticket => Name::Ticket(self.ticket),
        }
    }
}

/// Failure: an order runs twice. A caller times out and repeats its order; the load balancer routes
/// the duplicate to another instance, at the same moment or later, and neither instance knows of
/// the other.
#[rstest]
fn a_duplicate_request_at_another_instance_does_not_run(
    #[values(Kind::Key, Kind::Ticket)] kind: Kind,
    #[values(false, true)] at_once: bool,
) {
    let mut world = settled(4);
    let granted = Granted::by(&mut world, 2, kind);

    let first = world.send(0, "order", granted.name());
    if !at_once {
        world.run_for(SECOND);
    }
    let second = world.send(1, "order", granted.name());
    world.run_for(SECOND);

    assert_eq!(world.runs(&[first, second]), 1);
    let (ran, other) = match world.dispatches(first).is_empty() {
        true => (second, first),
        false => (first, second),
    };
    let running = (Reason::AlreadyRunning, Outcome::Unknown);
    assert_eq!(refusal(&world, other), running);
    world.complete(world.dispatches(ran)[0].attempt);
    world.run_for(SECOND);
    let third = world.send(3, "order", granted.name());
    world.run_for(SECOND * 2);
    let complete = (Reason::AlreadyRan, Outcome::Complete);
    assert_eq!(refusal(&world, third), complete);
    assert_eq!(world.runs(&[first, second, third]), 1);
}

/// Failure: a duplicate request is reported as "not run" or runs, although the first may have run.
/// An instance dispatches an order and its process dies; duplicates reach another instance for
/// minutes, and no process knows the outcome. `restarted`: a new incarnation under the same name
/// does not know it either.
#[rstest]
fn a_duplicate_request_after_its_holder_died_is_unknown(
    #[values(Kind::Key, Kind::Ticket)] kind: Kind,
    #[values(false, true)] restarted: bool,
) {
    let mut world = settled(4);
    let granted = Granted::by(&mut world, 2, kind);
    let first = world.send(0, "order", granted.name());
    world.run_for(SECOND);
    assert_eq!(world.runs(&[first]), 1);

    world.kill(0);
    if restarted {
        world.run_for(SECOND);
        world.heal();
        world.start_node(0, Incarnation(77));
    }

    let mut reasons = Vec::new();
    for _ in 0..10 {
        world.run_for(SECOND * 10);
        let duplicate = world.send(1, "order", granted.name());
        world.run_for(SECOND);
        let (reason, outcome) = refusal(&world, duplicate);
        assert_eq!((outcome, world.runs(&[duplicate])), (Outcome::Unknown, 0));
        reasons.push(reason);
    }
    let expected = match restarted {
        true => Reason::HolderGone,
        // A dead holder cannot be distinguished from a partitioned one.
        false => Reason::AlreadyRunning,
    };
    assert!(reasons.iter().all(|it| *it == expected), "{reasons:?}");
}

/// Failure: both sides of a partition run an order, or one side reports "not run" while the other
/// runs it. Instance 0 is partitioned from the process that grants the name; the same order is sent
/// to both sides, and a side that cannot request the claim decides by itself.
#[rstest]
#[case::key(Kind::Key, &[Reason::HomeSilent])]
#[case::ticket(Kind::Ticket, &[Reason::HomeSilent])]
fn an_instance_that_cannot_reach_the_home_runs_nothing(
    #[case] kind: Kind,
    #[case] reasons: &[Reason],
) {
    let mut world = settled(4);
    let granted = Granted::by(&mut world, 2, kind);
    world.isolate(0);

    let mut sent = Vec::new();
    for _ in 0..20 {
        world.run_for(SECOND * 10);
        let isolated = world.send(0, "order", granted.name());
        world.run_for(SECOND * 2);
        let (reason, outcome) = refusal(&world, isolated);
        assert!(reasons.contains(&reason), "{reason}");
        assert_eq!(outcome, Outcome::Unknown);
        sent.push(isolated);
    }
    let other_side = world.send(1, "order", granted.name());
    world.run_for(SECOND);
    sent.push(other_side);
    assert_eq!(world.runs(&sent), 1);
    world.heal();
    world.run_for(SECOND * 5);
    let healed = world.send(0, "order", granted.name());
    world.run_for(SECOND);

    assert_eq!(refusal(&world, healed).0, Reason::AlreadyRunning);
    assert_eq!(world.runs(&sent), 1);
}

/// Failure: an order under a ticket runs twice. The issuer of the ticket is restarted under the
/// same name and address before or after the ticket was used, and the new incarnation treats the
/// ticket as one that it has not granted yet.
#[rstest]
fn a_restarted_issuer_grants_no_ticket_of_its_former_incarnation(
    #[values(false, true)] used: bool,
) {
    let mut world = settled(3);
    let ticket = world.ticket(2);
    let mut sent = Vec::new();
    if used {
        sent.push(world.send(0, "order", Name::Ticket(ticket)));
        world.run_for(SECOND);
    }
    world.kill(2);
    world.run_for(SECOND);
    world.heal();
    world.start_node(2, Incarnation(77));

    for n in [0, 1, 2, 0, 1, 2] {
        world.run_for(SECOND * 3);
        let duplicate = world.send(n, "order", Name::Ticket(ticket));
        world.run_for(SECOND * 2);
        assert_eq!(
            refusal(&world, duplicate),
            (Reason::HolderGone, Outcome::Unknown)
        );
        sent.push(duplicate);
    }

    assert_eq!(world.runs(&sent), usize::from(used));
}

/// Failure: an order runs twice, minutes apart. An instance requests the claim of a key and is
/// paused with the grant in its socket; the key's home leaves the list, the next home settles and
/// grants the key to a duplicate; the instance resumes and uses the expired grant.
#[test]
fn an_instance_that_resumes_with_an_expired_grant_sends_nothing() {
    let mut world = settled(4);
    let key = world.key_at(2, 3);
    let warm_up = world.key_at(2, 1);
    for n in 0..4 {
        // Establishes the links and refreshes the list, so that the grant comes at once.
        world.send(n, "plan", Name::Key(&warm_up));
        world.run_for(SECOND);
    }
    let first = world.send(0, "order", Name::Key(&key));
    world.pause(0);
    world.run_for(SECOND * 4);
    world.drop_links(0);
    world.kill(2);
    world.unlisted.insert(2);
    world.publish_list(2, 2);
    world.run_for(SETTLED);
    let duplicate = world.send(1, "order", Name::Key(&key));
    world.run_for(SECOND);
    assert_eq!(world.runs(&[duplicate]), 1);

    world.resume(0);
    world.run_for(SECOND * 30);

    assert_eq!(world.runs(&[first]), 0);
    let paused = (Reason::PausedTooLong, Outcome::Unknown);
    assert_eq!(refusal(&world, first), paused);
    let third = world.send(3, "order", Name::Key(&key));
    world.run_for(SECOND);
    let running = (Reason::AlreadyRunning, Outcome::Unknown);
    assert_eq!(refusal(&world, third), running);
}

/// Failure: after a rolling restart an order runs twice, or its key is refused forever. The home of
/// a key stops as planned while an order under the key runs at another instance, and leaves the
/// list. Its successor has no record of the key, or never settles.
#[test]
fn a_planned_stop_of_a_keys_home_loses_no_claim() {
    let mut world = settled(4);
    let key = world.key_at(2, 3);
    let first = world.send(0, "order", Name::Key(&key));
    world.run_for(SECOND);

    world.feed(world.key(2), Event::Stop);
    world.run_for(SECOND * 10);
    assert!(world.seat(2).stopped, "nothing runs there");
    world.kill(2);
    let mut sent = vec![first];
    for round in 0..20 {
        if round == 3 {
            world.unlisted.insert(2);
            world.publish_list(2, 2);
        }
        world.run_for(SECOND * 10);
        let duplicate = world.send(1, "order", Name::Key(&key));
        world.run_for(SECOND);
        assert_eq!(refusal(&world, duplicate).1, Outcome::Unknown);
        sent.push(duplicate);
    }

    assert_eq!(world.runs(&sent), 1);
    let last = *sent.last().expect("sent above");
    assert_eq!(refusal(&world, last).0, Reason::AlreadyRunning);
    let fresh = world.send(1, "order", Name::Key(&format!("{key}-b")));
    world.run_for(SECOND);
    assert_eq!(world.runs(&[fresh]), 1);
}

/// Failure: a generation under a key ends when its engine dies, although other engines are free. It
/// has been streamed for longer than its claim is valid, and the validity limit, which prevents
/// non-idempotent work from running twice, is applied to idempotent work.
#[test]
fn a_long_generation_under_a_key_is_replayed_elsewhere() {
    let mut world = settled(4);
    let key = world.key_at(2, 3);
    let id = world.send(0, "plan", Name::Key(&key));
    world.run_for(SECOND * 90);
    let first = world.dispatches(id)[0].attempt;

    world.update(
        first,
        AttemptUpdate::Failed {
            reason: Reason::ConnectionLost,
            ran: Ran::Maybe,
            delivered: 500,
            retry_after: None,
        },
    );
    world.run_for(SECOND * 2);

    let dispatches = world.dispatches(id);
    assert_eq!(dispatches.len(), 2);
    assert!(dispatches[1].send_before > world.now);
}

/// Failure: an order runs twice. An instance dispatches an order under a key and dies together with
/// the key's home, for example in the same rack; the list drops the home, and a duplicate reaches
/// the next home, which has no record of the order and treats the key as new.
#[test]
fn a_key_without_home_and_holder_is_unknown_until_the_next_home_settles() {
    let mut world = settled(4);
    let key = world.key_at(2, 3);
    let first = world.send(0, "order", Name::Key(&key));
    world.run_for(SECOND);
    assert_eq!(world.runs(&[first]), 1);

    world.kill(0);
    world.kill(2);
    world.unlisted.extend([0, 2]);
    world.publish_list(2, 2);

    for _ in 0..9 {
        world.run_for(SECOND * 11);
        let duplicate = world.send(1, "order", Name::Key(&key));
        world.run_for(SECOND);
        let unsure = (Reason::KeyHomeUnsure, Outcome::Unknown);
        assert_eq!(refusal(&world, duplicate), unsure);
        assert_eq!(world.runs(&[duplicate]), 0);
    }
}

/// Failure: after a rolling restart a duplicate request is refused as "already running", although
/// the complete response was delivered. A stopping instance finished its last request and ended at
/// once, before the report of the claim's end arrived.
#[rstest]
fn a_planned_stop_waits_until_the_ends_of_its_claims_are_acknowledged(
    #[values(Kind::Key, Kind::Ticket)] kind: Kind,
) {
    let mut world = settled(4);
    let granted = Granted::by(&mut world, 2, kind);
    let id = world.send(0, "order", granted.name());
    world.run_for(SECOND);
    let attempt = world.dispatches(id)[0].attempt;
    world.feed(world.key(0), Event::Stop);
    world.run_for(SECOND * 10);

    world.complete(attempt);
    for _ in 0..10_000 {
        if world.seat(0).stopped {
            break;
        }
        world.run_for(SECOND / 1_000);
    }
    assert!(world.seat(0).stopped);
    world.kill(0);
    let duplicate = world.send(1, "order", granted.name());
    world.run_for(SECOND * 3);

    let complete = (Reason::AlreadyRan, Outcome::Complete);
    assert_eq!(refusal(&world, duplicate), complete);
}

/// Failure: an order can never be placed, because each request under its ticket is refused as
/// "holder gone". The ticket was issued by an instance that was about to end its planned stop.
#[test]
fn an_instance_that_is_stopping_issues_no_ticket() {
    let mut world = World::new(2, 1);

    world.feed(world.key(0), Event::Stop);

    assert_eq!(world.try_ticket(0), None);
    assert!(world.try_ticket(1).is_some());
}

/// Claims that settle, and expire, within seconds.
fn short_claims() -> KeysConfig {
    KeysConfig {
        memory: SECOND * 3,
        settle: SECOND * 3,
        valid: SECOND,
        list_fresh: SECOND,
        ..KeysConfig::default()
    }
}

/// A fleet in which an order was granted its key, and waits at the node that granted it for the
/// home of a cell at a node that is paused.
fn order_of_a_paused_home() -> (World, usize, RequestId, String) {
    let places = (0..4).map(|granter| {
        let mut world = World::with_keys(4, 2, short_claims());
        world.run_for(SECOND * 5);
        let key = world.key_at(granter, (granter + 1) % 4);
        for other in (0..4).filter(|&it| it != granter) {
            world.pause(other);
        }
        let order = world.send(granter, "order", Name::Key(&key));
        world.run_for(SECOND / 2);
        (world, granter, order, key)
    });
    let mut waiting = places.filter(|(world, _, order, _)| world.runs(&[*order]) == 0);
    waiting.next().expect("a node that is not the cell's home")
}

/// Failure: a caller is told "not run" of an order whose copy ran. The claim of the order expires
/// while the order waits to be placed, so that a copy may be granted it.
#[test]
fn an_order_whose_claim_expires_while_it_waits_is_refused_then() {
    let (mut world, granter, first, key) = order_of_a_paused_home();
    let waited = world.verdict(first);
    world.run_for(SECOND);

    assert_eq!(waited, None);
    let expired = (Reason::PausedTooLong, Outcome::Unknown);
    assert_eq!(refusal(&world, first), expired);
    for other in (0..4).filter(|&it| it != granter) {
        world.resume(other);
    }
    world.run_for(SECOND * 4);
    let second = world.send(granter, "order", Name::Key(&key));
    world.run_for(SECOND);
    assert_eq!(world.runs(&[first]), 0);
    assert_eq!(world.runs(&[first, second]), 1);
}

/// Returns what is recorded of how a request ended.
fn recorded_end(world: &World, n: usize, id: RequestId) -> String {
    let steps = world.seat(n).node.explain(id).expect("a record");
    let last = steps.last().expect("a step");
    assert_eq!(last.step, "ended");
    last.detail.clone()
}

/// Failure: the record of an order says "not run" although its copy may have run. Its process was
/// paused, and learns that the caller left before it sees that the claim has expired.
#[test]
fn an_order_whose_caller_leaves_after_its_claim_expired_is_recorded_as_unknown() {
    let (mut world, granter, order, key) = order_of_a_paused_home();
    world.pause(granter);
    world.feed(world.key(granter), Event::CallerGone(order));
    world.run_for(SECOND);

    world.resume(granter);

    assert_eq!(recorded_end(&world, granter, order), "unknown, caller_gone");
    for other in (0..4).filter(|&it| it != granter) {
        world.resume(other);
    }
    world.run_for(SECOND);
    let repeat = world.send(granter, "order", Name::Key(&key));
    world.run_for(SECOND);
    assert_eq!(world.runs(&[order]), 0);
    assert_eq!(world.runs(&[repeat]), 1);
}

/// Failure: a caller is told "not run" of an order whose copy may have run. The attempt proves that it
/// did not run, but the claim has expired meanwhile.
#[rstest]
#[case::after(SECOND * 2, Outcome::Unknown)]
#[case::before(SECOND / 2, Outcome::NotRun)]
fn an_attempt_that_did_not_run_proves_nothing_after_the_claim_expired(
    #[case] age: Duration,
    #[case] outcome: Outcome,
) {
    let mut world = World::with_keys(4, 2, short_claims());
    world.run_for(SECOND * 5);
    let key = world.key_at(0, 1);
    let order = world.send(0, "order", Name::Key(&key));
    world.run_for(age);
    let attempt = world.dispatches(order)[0].attempt;

    let update = AttemptUpdate::Failed {
        reason: Reason::StoppedNow,
        ran: Ran::No(RequestOutcome::new().proof().expect("nothing was sent")),
        delivered: 0,
        retry_after: None,
    };
    world.update(attempt, update);

    assert_eq!(refusal(&world, order), (Reason::StoppedNow, outcome));
}
