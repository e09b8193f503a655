//! At most once, over whole nodes: repeats under one ticket or key.

use crate::world::{Name, World};
use oriolemux_core::event::{AttemptUpdate, Event};
use oriolemux_core::{Incarnation, Outcome, Ran, Reason, RequestId};
use rstest::rstest;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Longer than a home waits before it grants a key that it knows nothing of.
const SETTLED: Duration = Duration::from_secs(130);

/// Symptom: a caller repeats its order, hears "not run" and orders anew; both
/// ran. Sequence: the first order ran and its answer was lost; the repeat meets
/// an instance that is stopping, or whose catalogue no longer has the entry.
/// Cause: the repeat is refused before its claim is asked for, and "not run" is
/// said of it although its caller believes that of the order.
#[rstest]
#[case::stopping("order", true, Reason::Stopping)]
#[case::no_such_entry("gone", false, Reason::UnknownEntry)]
fn a_repeat_refused_before_its_claim_is_unknown(
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
        let repeat = world.send(1, entry, name);
        world.run_for(SECOND);

        let verdict = world.verdict(repeat).expect("refused");
        assert_eq!(verdict.reason(), reason);
        assert_eq!(verdict.outcome(), Outcome::Unknown);
    }
    let nameless = world.request(1, entry);
    world.run_for(SECOND);
    let verdict = world.verdict(nameless).expect("refused");
    assert_eq!(verdict.outcome(), Outcome::NotRun);
}

/// Symptom: a first order that no endpoint ever got is told "unknown", and the
/// caller cannot order again. Sequence: its claim is granted; then every
/// endpoint is gone. Cause: the request's outcome does not learn of the grant.
#[test]
fn a_first_request_that_found_no_place_did_not_run() {
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

/// A world in which the homes of keys have settled.
fn settled(nodes: usize) -> World {
    let mut world = World::new(nodes, 2);
    world.run_for(SETTLED);
    world
}

fn told(world: &World, id: RequestId) -> (Reason, Outcome) {
    let verdict = world.verdict(id).expect("answered");
    (verdict.reason(), verdict.outcome())
}

/// Which kind of name a case uses.
#[derive(Clone, Copy)]
enum Kind {
    Key,
    Ticket,
}

/// A name granted by node 2; a key needs a home that has settled.
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

/// Symptom: a shirt is sold twice. Sequence: a caller times out and repeats
/// its order, and the balancer hands the repeat to another entry, at the same
/// moment or later. Cause: two entries that know nothing of each other.
#[rstest]
fn a_repeat_elsewhere_runs_nothing(
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
    assert_eq!(told(&world, other), running);
    world.complete(world.dispatches(ran)[0].attempt);
    world.run_for(SECOND);
    let third = world.send(3, "order", granted.name());
    world.run_for(SECOND * 2);
    let complete = (Reason::AlreadyRan, Outcome::Complete);
    assert_eq!(told(&world, third), complete);
    assert_eq!(world.runs(&[first, second, third]), 1);
}

/// Symptom: a repeat is told "not run" or runs again, though the first may have
/// run. Sequence: an entry sends an order and its process dies; the repeat
/// reaches another entry, and again for minutes. Cause: nobody is left who
/// knows what became of it. `restarted`: a new life under the old name knows as
/// little.
#[rstest]
fn a_repeat_after_its_holder_died_is_unknown(
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
        let repeat = world.send(1, "order", granted.name());
        world.run_for(SECOND);
        let (reason, outcome) = told(&world, repeat);
        assert_eq!((outcome, world.runs(&[repeat])), (Outcome::Unknown, 0));
        reasons.push(reason);
    }
    let expected = match restarted {
        true => Reason::HolderGone,
        // Nobody can tell a dead holder from one that is cut off.
        false => Reason::AlreadyRunning,
    };
    assert!(reasons.iter().all(|it| *it == expected), "{reasons:?}");
}

/// Symptom: both sides of a partition run one order, or a caller is told "not
/// run" by one side while the other runs it. Sequence: entry 0 is cut off from
/// the process that grants the name; the same order is sent to both sides.
/// Cause: a side that cannot ask decides by itself.
#[rstest]
#[case::key(Kind::Key, &[Reason::HomeSilent])]
#[case::ticket(Kind::Ticket, &[Reason::HomeSilent])]
fn an_entry_that_cannot_ask_runs_nothing(#[case] kind: Kind, #[case] reasons: &[Reason]) {
    let mut world = settled(4);
    let granted = Granted::by(&mut world, 2, kind);
    world.isolate(0);

    let mut sent = Vec::new();
    for _ in 0..20 {
        world.run_for(SECOND * 10);
        let cut_off = world.send(0, "order", granted.name());
        world.run_for(SECOND * 2);
        let (reason, outcome) = told(&world, cut_off);
        assert!(reasons.contains(&reason), "{reason}");
        assert_eq!(outcome, Outcome::Unknown);
        sent.push(cut_off);
    }
    let other_side = world.send(1, "order", granted.name());
    world.run_for(SECOND);
    sent.push(other_side);
    assert_eq!(world.runs(&sent), 1);
    world.heal();
    world.run_for(SECOND * 5);
    let healed = world.send(0, "order", granted.name());
    world.run_for(SECOND);

    assert_eq!(told(&world, healed).0, Reason::AlreadyRunning);
    assert_eq!(world.runs(&sent), 1);
}

/// Symptom: an order under a ticket runs twice. Sequence: the ticket's issuer
/// is restarted under the same name and address before or after the ticket was
/// used. Cause: the new life takes the ticket for one that it has not granted.
#[rstest]
fn a_restarted_issuer_grants_no_ticket_of_its_former_life(#[values(false, true)] used: bool) {
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
        let repeat = world.send(n, "order", Name::Ticket(ticket));
        world.run_for(SECOND * 2);
        assert_eq!(told(&world, repeat), (Reason::HolderGone, Outcome::Unknown));
        sent.push(repeat);
    }

    assert_eq!(world.runs(&sent), usize::from(used));
}

/// Symptom: a shirt is sold twice, minutes apart. Sequence: an entry asks for
/// the claim of a key and is paused with the grant in its socket; the key's
/// home leaves the list, the next one settles and grants the key to a repeat;
/// the entry wakes and takes the grant. Cause: a claim that is still believed
/// after its time.
#[test]
fn an_entry_that_wakes_with_an_old_grant_sends_nothing() {
    let mut world = settled(4);
    let key = world.key_at(2, 3);
    let warm_up = world.key_at(2, 1);
    for n in 0..4 {
        // Links are up and the list is fresh, so that the grant comes at once.
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
    let repeat = world.send(1, "order", Name::Key(&key));
    world.run_for(SECOND);
    assert_eq!(world.runs(&[repeat]), 1);

    world.resume(0);
    world.run_for(SECOND * 30);

    assert_eq!(world.runs(&[first]), 0);
    let paused = (Reason::PausedTooLong, Outcome::Unknown);
    assert_eq!(told(&world, first), paused);
    let third = world.send(3, "order", Name::Key(&key));
    world.run_for(SECOND);
    let running = (Reason::AlreadyRunning, Outcome::Unknown);
    assert_eq!(told(&world, third), running);
}

/// Symptom: a rolling restart makes an order run twice, or keys are refused
/// for good after it. Sequence: the home of a key is stopped as planned while
/// an order under the key runs elsewhere, and leaves the list. Cause: its
/// successor knows nothing of the key, or never feels sure of it.
#[test]
fn a_planned_stop_of_a_keys_home_forgets_no_claim() {
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
        let repeat = world.send(1, "order", Name::Key(&key));
        world.run_for(SECOND);
        assert_eq!(told(&world, repeat).1, Outcome::Unknown);
        sent.push(repeat);
    }

    assert_eq!(world.runs(&sent), 1);
    let last = *sent.last().expect("sent above");
    assert_eq!(told(&world, last).0, Reason::AlreadyRunning);
    let fresh = world.send(1, "order", Name::Key(&format!("{key}-b")));
    world.run_for(SECOND);
    assert_eq!(world.runs(&[fresh]), 1);
}

/// Symptom: a plan that its caller named by a key breaks off when its engine
/// dies, although others are free. Sequence: it has been streamed for minutes;
/// its claim was asked for before that. Cause: the claim's time, which keeps
/// work from running twice, is held against work that may.
#[test]
fn a_long_answer_under_a_key_is_replayed_elsewhere() {
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

/// Symptom: a shirt is sold twice. Sequence: an entry sends an order under a
/// key and dies together with the key's home (one rack); the list drops the
/// home; the repeat reaches the next home. Cause: nobody is left who knows of
/// the order, and the next home takes the key for a new one.
#[test]
fn a_key_whose_home_and_holder_are_gone_is_unknown_for_its_time() {
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
        let repeat = world.send(1, "order", Name::Key(&key));
        world.run_for(SECOND);
        let unsure = (Reason::KeyHomeUnsure, Outcome::Unknown);
        assert_eq!(told(&world, repeat), unsure);
        assert_eq!(world.runs(&[repeat]), 0);
    }
}

/// Symptom: after a rolling restart a caller's repeat hears "already running"
/// about an order whose whole answer was delivered. Sequence: an entry that is
/// stopping answers its last request and ends at once. Cause: the word of the
/// claim's end was still on its way.
#[rstest]
fn a_planned_stop_leaves_the_ends_of_its_claims_behind(
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
    let repeat = world.send(1, "order", granted.name());
    world.run_for(SECOND * 3);

    let complete = (Reason::AlreadyRan, Outcome::Complete);
    assert_eq!(told(&world, repeat), complete);
}

/// Symptom: a caller's order can never be placed: each send under its ticket
/// hears "holder gone". Sequence: the ticket was drawn at an instance that was
/// about to end its planned stop. Cause: it still issued tickets.
#[test]
fn an_instance_that_is_stopping_issues_no_ticket() {
    let mut world = World::new(2, 1);

    world.feed(world.key(0), Event::Stop);

    assert_eq!(world.try_ticket(0), None);
    assert!(world.try_ticket(1).is_some());
}
