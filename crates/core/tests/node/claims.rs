//! At most once, over whole nodes: repeats under one ticket or key.

use crate::world::{Name, World};
use oriolemux_core::event::Event;
use oriolemux_core::{Outcome, Reason};
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
