//! Decision records are bounded, typed and readable.

use core::time::Duration;
use oriolemux_core::cell::{Alternative, GrantRecord, NotChosen};
use oriolemux_core::event::AttemptMode;
use oriolemux_core::explain::{Explain, MAX_STEPS, Names, Step};
use oriolemux_core::keys::ClaimRefusal;
use oriolemux_core::outcome::PriorOutcome;
use oriolemux_core::{
    CellKey, EndpointKey, Incarnation, InstanceKey, Outcome, Reason, RequestId, Time,
};

struct Published;

impl Names for Published {
    fn endpoint(&self, key: EndpointKey) -> Option<&str> {
        let names = ["engine-1", "engine-2"];
        names.into_iter().find(|name| EndpointKey::of(name) == key)
    }

    fn instance(&self, key: InstanceKey) -> Option<&str> {
        (key == InstanceKey::of("arima-1")).then_some("arima-1")
    }
}

fn id(seq: u64) -> RequestId {
    RequestId {
        instance: InstanceKey::of("arima-1"),
        incarnation: Incarnation(7),
        seq,
    }
}

fn record() -> Box<GrantRecord> {
    Box::new(GrantRecord {
        predicted_tokens: 900,
        predicted_p90: 2_400,
        waited_ms: 12,
        free: 30_000,
        needed: 2_600,
        queued: 4,
        prefix_blocks: 3,
        alternatives: vec![Alternative {
            endpoint: EndpointKey::of("gone"),
            reason: NotChosen::NoRoom,
            free: 100,
        }],
    })
}

fn history() -> Vec<(u64, Step)> {
    let endpoint = EndpointKey::of("engine-1");
    let second = EndpointKey::of("engine-2");
    vec![
        (
            0,
            Step::Accepted {
                entry: "tailoring-plan".into(),
                catalogue_revision: 7,
                prompt_tokens: 200,
                max_tokens: 4_096,
            },
        ),
        (0, Step::ClaimGranted),
        (
            1,
            Step::GrantRequested {
                cell: CellKey(0xce11),
                home: InstanceKey::of("arima-1"),
            },
        ),
        (
            2,
            Step::CellRefused {
                cell: CellKey(0xce11),
                reason: Reason::WaitTooLong,
                predicted_wait: Duration::from_millis(4_200),
                record: Box::default(),
            },
        ),
        (
            12,
            Step::Granted {
                endpoint,
                record: record(),
            },
        ),
        (
            12,
            Step::Dispatched {
                attempt: 1,
                endpoint,
                mode: AttemptMode::Fresh,
            },
        ),
        (80, Step::FirstToken { attempt: 1 }),
        (
            900,
            Step::AttemptFailed {
                attempt: 1,
                reason: Reason::GenerationLost,
                proven_not_run: false,
                delivered: 25,
            },
        ),
        (
            900,
            Step::RetryIn {
                after: Duration::from_millis(40),
                replay: true,
            },
        ),
        (
            940,
            Step::Dispatched {
                attempt: 2,
                endpoint: second,
                mode: AttemptMode::Replay { delivered: 25 },
            },
        ),
        (
            1_500,
            Step::Ended {
                outcome: Outcome::Partial,
                reason: Some(Reason::ReplayDiverged),
                delivered: 25,
            },
        ),
    ]
}

fn pushed(explain: &mut Explain, id: RequestId, history: Vec<(u64, Step)>) {
    let arrived = Time::from_secs(1_000);
    for (ms, step) in history {
        explain.push(arrived + Duration::from_millis(ms), id, step);
    }
}

#[test]
fn a_record_reads_as_what_happened() {
    let mut explain = Explain::new(8);
    pushed(&mut explain, id(1), history());

    let lines = explain.record(id(1)).unwrap().lines(&Published);

    let text: String = lines
        .iter()
        .map(|it| format!("{:>5} ms  {:<14} {}\n", it.at_ms, it.step, it.detail))
        .collect();
    assert_eq!(text, include_str!("explain_records/partial.txt"));
}

#[test]
fn a_refused_claim_says_what_is_known_of_the_earlier_request() {
    let mut explain = Explain::new(8);
    let refusal = ClaimRefusal::Ran(PriorOutcome::Partial { delivered: 7 });
    explain.push(Time::ZERO, id(1), Step::ClaimRefused(refusal));

    let lines = explain.record(id(1)).unwrap().lines(&Published);

    assert_eq!(
        lines[0].detail,
        "partial, already_ran, caller holds 7 tokens"
    );
}

#[test]
fn the_oldest_requests_go_first() {
    let mut explain = Explain::new(3);

    for seq in 1..=5 {
        explain.push(Time::ZERO, id(seq), Step::ClaimGranted);
    }

    assert_eq!(explain.len(), 3);
    assert!(explain.record(id(2)).is_none());
    assert!(explain.record(id(3)).is_some());
}

#[test]
fn a_request_of_another_incarnation_is_not_confused_with_ours() {
    let mut explain = Explain::new(3);
    explain.push(Time::ZERO, id(1), Step::ClaimGranted);
    let other = RequestId {
        incarnation: Incarnation(8),
        ..id(1)
    };

    assert!(explain.record(other).is_none());
}

#[test]
fn a_request_retried_many_times_keeps_its_first_steps_and_its_last() {
    let mut explain = Explain::new(3);
    explain.push(Time::ZERO, id(1), Step::ClaimGranted);
    for attempt in 0..100 {
        explain.push(Time::ZERO, id(1), Step::FirstToken { attempt });
    }

    let record = explain.record(id(1)).unwrap();

    assert_eq!(record.steps().len(), MAX_STEPS);
    assert_eq!(record.steps()[0].step, Step::ClaimGranted);
    let last = &record.steps()[MAX_STEPS - 1].step;
    assert_eq!(*last, Step::FirstToken { attempt: 99 });
    assert_eq!(record.left_out() as usize, 101 - MAX_STEPS);
    let lines = record.lines(&Published);
    assert_eq!(lines[MAX_STEPS - 1].detail, "69 steps were not kept");
}
