//! What is known of suspects: merged from messages in any order, bounded, and forgotten.

use core::time::Duration;
use oriolemux_core::fingerprint::{Fingerprint, Identity};
use oriolemux_core::suspects::{
    Admission, CrashRecord, Ledger, MAX_SUSPECTS, REFUSAL_DURATION, RUN_LEASE_TTL, RunLeaseReport,
    RunLeases, Runs, Standing, SuspectRun,
};
use oriolemux_core::{EndpointKey, Time};
use proptest::prelude::*;
use rstest::rstest;

const NOW: Time = Time::from_secs(10_000);

fn request(number: u32) -> Fingerprint {
    Fingerprint::of(&Identity {
        deployment: 1,
        workspace: None,
        host: "",
        method: "POST",
        path: "/",
        body: &number.to_le_bytes(),
    })
}

fn engine(number: u8) -> EndpointKey {
    EndpointKey::of(&format!("e-{number}"))
}

/// A ledger in which a request ended so many engines.
fn ledger_with_crashes(request: Fingerprint, engines: u8) -> Ledger {
    let mut ledger = Ledger::default();
    for number in 0..engines {
        assert!(ledger.record_crash(NOW, request, engine(number)));
    }
    ledger
}

#[rstest]
#[case(0, Standing::Free)]
#[case(1, Standing::Suspect)]
#[case(2, Standing::Suspect)]
#[case(3, Standing::Refused)]
#[case(5, Standing::Refused)]
fn standing_follows_the_number_of_crashes(#[case] engines: u8, #[case] expected: Standing) {
    let ledger = ledger_with_crashes(request(1), engines);

    assert_eq!(ledger.standing(NOW, request(1)), expected);
    assert_eq!(ledger.standing(NOW, request(2)), Standing::Free);
}

#[test]
fn a_crash_that_two_instances_saw_counts_once() {
    let mut ledger = ledger_with_crashes(request(1), 2);

    assert!(!ledger.record_crash(NOW, request(1), engine(1)));
    assert_eq!(ledger.standing(NOW, request(1)), Standing::Suspect);
}

#[test]
fn a_refusal_expires_and_returns_with_the_next_crash() {
    let mut ledger = ledger_with_crashes(request(1), 3);
    let later = NOW + REFUSAL_DURATION;
    assert_eq!(ledger.standing(later, request(1)), Standing::Suspect);

    ledger.record_crash(later, request(1), engine(9));

    assert_eq!(ledger.standing(later, request(1)), Standing::Refused);
}

/// Symptom: a request that was cleared is refused again. Sequence: it ran well; news of what it
/// was blamed for before arrives late. Cause: old news was counted anew.
#[test]
fn a_late_record_does_not_undo_a_success() {
    let mut ledger = ledger_with_crashes(request(1), 3);
    let late = ledger.record(NOW, request(1)).expect("it is known");
    assert!(ledger.clear(NOW, request(1)));

    assert!(!ledger.on_record(NOW, &late));

    assert_eq!(ledger.standing(NOW, request(1)), Standing::Free);
}

/// Symptom: a suspect is never forgotten. Sequence: two instances forget it at slightly different times, and the
/// one that still knows it tells the other. Cause: what was heard counted as new.
#[test]
fn a_received_record_keeps_its_age() {
    let mut sender = ledger_with_crashes(request(1), 3);
    let later = NOW + Duration::from_secs(3_599);
    let sent = sender.record(later, request(1)).expect("it is known");
    let mut receiver = Ledger::default();
    assert!(receiver.on_record(later, &sent));
    let after = later + Duration::from_secs(2);

    sender.tick(after);
    receiver.tick(after);

    assert!(sender.is_empty());
    assert!(receiver.is_empty());
}

/// Whatever is told, by whomever, no more is kept than the bound, and those stay that ended the
/// most.
#[test]
fn the_ledger_is_bounded() {
    let mut ledger = ledger_with_crashes(request(0), 3);

    for number in 1..(MAX_SUSPECTS as u32 * 2) {
        ledger.record_crash(NOW, request(number), engine(1));
    }

    assert_eq!(ledger.count(NOW), (MAX_SUSPECTS, 1));
    assert_eq!(ledger.standing(NOW, request(0)), Standing::Refused);
}

#[test]
fn crashes_per_suspect_are_bounded() {
    let mut ledger = Ledger::default();
    let record = CrashRecord {
        fingerprint: request(1),
        round: 0,
        crashed: (0..200).map(engine).collect(),
        age_ms: 0,
    };

    ledger.on_record(NOW, &record);

    assert_eq!(ledger.crash_count(request(1)), 8);
}

proptest! {
    /// Instances that hear the same, in any order and any number of times, know the same.
    #[test]
    fn order_and_repetition_make_no_difference(
        sent in proptest::collection::vec((0u32..4, 0u32..3, 0u8..8), 1..40),
        seed in any::<prop::sample::Index>(),
    ) {
        let records: Vec<CrashRecord> = sent
            .iter()
            .map(|&(number, round, endpoint)| CrashRecord {
                fingerprint: request(number),
                round,
                crashed: vec![engine(endpoint)],
                age_ms: 0,
            })
            .collect();
        let mut first = Ledger::default();
        let mut second = Ledger::default();
        let rotation = seed.index(records.len());

        for record in &records {
            first.on_record(NOW, record);
        }
        for record in records[rotation..].iter().chain(&records).rev() {
            second.on_record(NOW, record);
        }

        prop_assert_eq!(first.digest(), second.digest());
        for number in 0..4 {
            prop_assert_eq!(first.crash_count(request(number)), second.crash_count(request(number)));
        }
    }
}

fn suspect_run(run: u64) -> SuspectRun {
    SuspectRun {
        fingerprint: request(1),
        run,
    }
}

fn request_lease(run: u64) -> RunLeaseReport {
    RunLeaseReport {
        acquire: vec![suspect_run(run)],
        ..RunLeaseReport::default()
    }
}

/// A home that has listened long enough.
fn home() -> RunLeases<u16> {
    RunLeases::new(Time::ZERO)
}

#[test]
fn one_run_holds_the_lease_until_it_ends() {
    let mut home = home();
    assert_eq!(
        home.on_report(NOW, 1, &request_lease(7)).granted,
        [suspect_run(7)]
    );
    assert_eq!(
        home.on_report(NOW, 2, &request_lease(8)).waiting,
        [suspect_run(8)]
    );
    let releases = RunLeaseReport {
        release: vec![suspect_run(7)],
        ..RunLeaseReport::default()
    };
    home.on_report(NOW, 1, &releases);

    assert_eq!(
        home.on_report(NOW, 2, &request_lease(8)).granted,
        [suspect_run(8)]
    );
}

#[test]
fn a_silent_instance_loses_its_lease() {
    let mut home = home();
    home.on_report(NOW, 1, &request_lease(7));

    let later = NOW + RUN_LEASE_TTL;

    assert_eq!(
        home.on_report(later, 2, &request_lease(8)).granted,
        [suspect_run(8)]
    );
}

/// Symptom: two copies run at once. Sequence: a home starts anew while a suspect runs, and is asked
/// before it hears of that. Cause: it took what it had not heard for what is not there.
#[test]
fn a_new_home_grants_no_lease() {
    let mut home = RunLeases::new(NOW);
    assert_eq!(
        home.on_report(NOW, 2, &request_lease(8)).waiting,
        [suspect_run(8)]
    );
    let renewals = RunLeaseReport {
        renew: vec![suspect_run(7)],
        ..RunLeaseReport::default()
    };
    let later = NOW + RUN_LEASE_TTL;
    home.on_report(later, 1, &renewals);

    assert_eq!(
        home.on_report(later, 2, &request_lease(8)).waiting,
        [suspect_run(8)]
    );
}

/// Symptom: two copies wait for ever. Sequence: both ran when the request became a suspect, and
/// both ask for the turn before they are sent once more. Cause: each still counted as running.
#[test]
fn two_waiting_runs_do_not_block_each_other() {
    let mut home = home();
    for (by, run) in [(1, 7), (2, 8)] {
        let renewals = RunLeaseReport {
            renew: vec![suspect_run(run)],
            ..RunLeaseReport::default()
        };
        home.on_report(NOW, by, &renewals);
    }
    assert_eq!(
        home.on_report(NOW, 1, &request_lease(7)).waiting,
        [suspect_run(7)]
    );

    assert_eq!(
        home.on_report(NOW, 2, &request_lease(8)).granted,
        [suspect_run(8)]
    );
}

#[test]
fn a_suspect_is_not_sent_without_a_home() {
    let timeout = Duration::from_millis(25);
    let mut runs = Runs::new(timeout);
    runs.begin(suspect_run(7));
    let mut now = NOW;
    assert_eq!(
        runs.admit(now, suspect_run(7), Standing::Suspect),
        Admission::Wait
    );

    for _ in 0..3 {
        now += timeout;
        assert!(runs.due(now, request(1), Standing::Suspect).is_unanswered);
    }

    assert_eq!(
        runs.admit(now, suspect_run(7), Standing::Suspect),
        Admission::NoHome
    );
}
