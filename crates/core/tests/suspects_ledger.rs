//! The ledger of suspects merges messages in any order, is bounded and forgets; and the leases of
//! runs.

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

/// Returns a ledger in which a request crashed `engines` engines.
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

/// Guards against a cleared request that is refused again: it succeeds, and a crash record from
/// before arrives late.
#[test]
fn a_late_record_does_not_undo_a_success() {
    let mut ledger = ledger_with_crashes(request(1), 3);
    let late = ledger.record(NOW, request(1)).expect("it is known");
    assert!(ledger.clear(NOW, request(1)));

    assert!(!ledger.on_record(NOW, &late));

    assert_eq!(ledger.standing(NOW, request(1)), Standing::Free);
}

/// Guards against a suspect that is never forgotten: two instances forget it at slightly different
/// times, and the one that still knows it sends the record to the other, which counted it as new.
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

/// Whatever records arrive, the ledger stays within its bound and keeps the suspects with the most
/// crashes.
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

/// Guards against an instance that learns of a full record's last crash from others only, and tries
/// the request again at once.
#[test]
fn the_last_crash_of_a_full_record_reaches_other_instances() {
    let mut first = Ledger::default();
    for number in 0..8 {
        first.record_crash(NOW, request(1), engine(number));
    }
    let mut second = first.clone();
    let later = NOW + REFUSAL_DURATION;
    assert!(first.record_crash(later, request(1), engine(9)));

    let record = first.record(later, request(1)).expect("it is known");
    assert!(second.on_record(later, &record));

    assert_eq!(second.standing(later, request(1)), Standing::Refused);
    assert!(!first.on_record(later, &record));
}

proptest! {
    /// Instances that receive the same records, in any order and any number of times, have the same
    /// ledger.
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
            let request = request(number);
            prop_assert_eq!(first.crash_count(request), second.crash_count(request));
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

/// Returns a home whose grace period is over.
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

/// Guards against two attempts that run at once: a home starts while a suspect runs, and is asked
/// for a lease before it receives the holder's report.
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

/// Guards against two attempts that wait for ever: both ran when the request became a suspect, both
/// request a lease for their next attempt, and each still counted as running.
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

/// Guards against a sound request that is refused as one that crashes endpoints: it went through a peer
/// that was lost, so that it had ended here, and is sent from here after all.
#[rstest]
#[case::sound(Standing::Free, Admission::Go)]
#[case::suspect(Standing::Suspect, Admission::Wait)]
#[case::refused(Standing::Refused, Admission::Refused)]
fn a_run_that_ended_begins_again(#[case] standing: Standing, #[case] expected: Admission) {
    let mut runs = Runs::new(Duration::from_millis(25));
    runs.begin(suspect_run(1));
    runs.end(suspect_run(1));

    assert_eq!(runs.admit(NOW, suspect_run(1), standing), expected);
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
