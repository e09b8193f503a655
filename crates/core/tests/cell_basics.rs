//! Basic behaviour of a cell: it grants requests that fit, refuses those that waited too long and
//! releases the room of those that ended.

use core::time::Duration;
use oriolemux_core::cell::*;
use oriolemux_core::checkpoint::{CHECKPOINT_STEP, is_checkpoint, next_checkpoint};
use oriolemux_core::event::{LoadReport, LoadedModel};
use oriolemux_core::*;
use rstest::rstest;

fn id(seq: u64) -> RequestId {
    RequestId {
        instance: InstanceKey::of("entry-1"),
        incarnation: Incarnation(7),
        seq,
    }
}

fn plans() -> ClassRules {
    ClassRules::new(
        ClassKey::of("plans"),
        2,
        Duration::from_secs(20),
        Duration::from_secs(60),
    )
}

fn request(seq: u64, arrived: Time) -> CellRequest {
    CellRequest {
        id: id(seq),
        entry: EntryKey::of("tailoring-plan"),
        workspace: WorkspaceKey::of("arima-secondary"),
        class: plans(),
        arrived,
        prompt_tokens: 500,
        max_tokens: 8_000,
        prefix: Vec::new(),
        exclude: Vec::new(),
        replay_tokens: 0,
        needs: Requirement::ANY,
    }
}

fn engine(n: u32) -> EndpointKey {
    EndpointKey::of(&format!("engine-{n}"))
}

fn load(kv_tokens_total: u64) -> LoadReport {
    LoadReport {
        kv_tokens_total,
        max_running: 64,
        ..LoadReport::default()
    }
}

fn cell_with(engines: u32, kv_tokens_total: u64) -> Cell {
    let mut cell = Cell::new(CellConfig::default(), 1);
    for n in 1..=engines {
        let info = EndpointInfo::near(engine(n), EndpointKind::Model);
        cell.set_endpoint(Time::ZERO, info);
        cell.on_load_report(Time::ZERO, engine(n), &load(kv_tokens_total));
    }
    cell
}

fn poll(cell: &mut Cell, now: Time) -> Vec<CellDecision> {
    let mut out = Vec::new();
    cell.poll(now, &mut out);
    out
}

fn refusal(out: &[CellDecision]) -> Reason {
    match out {
        [CellDecision::Refuse { reason, .. }] => *reason,
        other => panic!("one refusal was expected, not {other:?}"),
    }
}

fn grants(out: &[CellDecision]) -> Vec<EndpointKey> {
    out.iter()
        .map(|decision| match decision {
            CellDecision::Grant { endpoint, .. } => *endpoint,
            other => panic!("a grant was expected, not {other:?}"),
        })
        .collect()
}

#[test]
fn a_request_that_fits_is_granted_at_once() {
    let mut cell = cell_with(1, 100_000);

    cell.submit(Time::ZERO, request(1, Time::ZERO));
    let out = poll(&mut cell, Time::ZERO);

    assert_eq!(grants(&out), [engine(1)]);
    assert_eq!(out[0].id(), id(1));
}

#[test]
fn a_request_without_a_live_endpoint_is_refused_at_once() {
    let mut cell = Cell::new(CellConfig::default(), 1);

    cell.submit(Time::ZERO, request(1, Time::ZERO));

    let out = poll(&mut cell, Time::ZERO);
    assert_eq!(refusal(&out), Reason::NoEndpoint);
}

#[test]
fn a_request_that_waited_too_long_is_refused() {
    let mut cell = cell_with(1, 100_000);

    cell.submit(Time::from_secs(61), request(1, Time::ZERO));
    cell.set_endpoint(
        Time::from_secs(61),
        EndpointInfo {
            state: EndpointState::Leaving,
            ..EndpointInfo::near(engine(1), EndpointKind::Model)
        },
    );

    let out = poll(&mut cell, Time::from_secs(61));
    assert_eq!(refusal(&out), Reason::WaitExpired);
}

#[test]
fn a_prompt_that_no_engine_can_hold_is_refused_at_once() {
    let mut cell = cell_with(2, 400);

    cell.submit(Time::ZERO, request(1, Time::ZERO));

    let out = poll(&mut cell, Time::ZERO);
    assert_eq!(refusal(&out), Reason::PromptTooLong);
}

#[test]
fn a_leaving_endpoint_receives_no_new_requests() {
    let mut cell = cell_with(2, 100_000);
    let report = LoadReport {
        leaving: true,
        ..load(100_000)
    };

    cell.on_load_report(Time::ZERO, engine(1), &report);
    for seq in 1..=4 {
        cell.submit(Time::ZERO, request(seq, Time::ZERO));
    }

    let granted = grants(&poll(&mut cell, Time::ZERO));
    assert_eq!(granted, [engine(2); 4]);
}

#[test]
fn withdrawing_an_incarnation_frees_its_room() {
    let mut cell = cell_with(1, 100_000);
    cell.submit(Time::ZERO, request(1, Time::ZERO));
    poll(&mut cell, Time::ZERO);

    cell.withdraw_incarnation(Time::ZERO, InstanceKey::of("entry-1"), Incarnation(7));

    assert_eq!(cell.snapshot().running, 0);
    assert_eq!(cell.snapshot().endpoints[0].counted, 0);
}

#[test]
fn a_request_submitted_twice_occupies_room_once() {
    let mut cell = cell_with(1, 100_000);
    cell.submit(Time::ZERO, request(1, Time::ZERO));
    poll(&mut cell, Time::ZERO);

    cell.submit(Time::ZERO, request(1, Time::ZERO));
    poll(&mut cell, Time::ZERO);

    assert_eq!(cell.snapshot().running, 1);
    assert_eq!(cell.snapshot().endpoints[0].running, 1);
}

#[test]
fn an_excluded_endpoint_is_not_chosen_and_the_record_says_so() {
    let mut cell = cell_with(2, 100_000);
    let req = CellRequest {
        exclude: vec![engine(1)],
        ..request(1, Time::ZERO)
    };

    cell.submit(Time::ZERO, req);
    let out = poll(&mut cell, Time::ZERO);

    assert_eq!(grants(&out), [engine(2)]);
    let CellDecision::Grant { record, .. } = &out[0] else {
        unreachable!()
    };
    let lost = record.alternatives.iter().find(|a| a.endpoint == engine(1));
    assert!(lost.is_none_or(|a| a.reason == NotChosen::Excluded));
}

#[rstest]
#[case::model(None, None, Some(2))]
#[case::version(Some("v2"), None, Some(2))]
#[case::adapter(Some("v2"), Some("crests"), Some(2))]
#[case::other_version(Some("v1"), None, None)]
fn a_request_is_placed_where_its_model_is_loaded(
    #[case] version: Option<&str>,
    #[case] adapter: Option<&str>,
    #[case] expected: Option<u32>,
) {
    let mut cell = cell_with(2, 100_000);
    let model = LoadedModel {
        name: "tailor".to_owned(),
        version: "v2".to_owned(),
        adapters: vec!["crests".to_owned()],
    };
    let report = LoadReport {
        models: vec![model],
        ..load(100_000)
    };
    cell.on_load_report(Time::ZERO, engine(2), &report);

    let req = CellRequest {
        needs: Requirement::new("tailor", version, adapter),
        ..request(1, Time::ZERO)
    };
    cell.submit(Time::ZERO, req);

    let out = poll(&mut cell, Time::ZERO);
    match expected {
        Some(n) => assert_eq!(grants(&out), [engine(n)]),
        None => assert_eq!(refusal(&out), Reason::NoEndpoint),
    }
}

#[test]
fn load_from_other_sources_is_counted() {
    let mut cell = cell_with(2, 100_000);
    let busy = LoadReport {
        running: 20,
        kv_tokens_used: 90_000,
        ..load(100_000)
    };
    for second in 1..10 {
        cell.on_load_report(Time::from_secs(second), engine(1), &busy);
        cell.on_load_report(Time::from_secs(second), engine(2), &load(100_000));
    }

    let now = Time::from_secs(10);
    for seq in 1..=4 {
        cell.submit(now, request(seq, now));
    }

    assert_eq!(grants(&poll(&mut cell, now)), [engine(2); 4]);
    assert!(cell.snapshot().endpoints.iter().any(|e| e.foreign > 80_000));
}

#[test]
fn a_new_home_counts_running_requests_that_entries_report() {
    let mut cell = cell_with(1, 100_000);
    let running = Running {
        id: id(9),
        endpoint: engine(1),
        entry: EntryKey::of("tailoring-plan"),
        workspace: WorkspaceKey::of("arima-secondary"),
        class: plans(),
        prompt_tokens: 1_000,
        max_tokens: 8_000,
        tokens: 2_048,
    };

    cell.adopt(Time::ZERO, running);

    let snapshot = cell.snapshot();
    assert_eq!(snapshot.running, 1);
    assert!(snapshot.endpoints[0].counted >= 3_048);
}

#[test]
fn a_prompt_is_placed_where_its_prefix_is_cached() {
    let mut cell = cell_with(4, 100_000);
    cell.on_cache_events(Time::ZERO, engine(3), false, &[11, 12, 13], &[]);

    let req = CellRequest {
        prefix: vec![11, 12, 13],
        prompt_tokens: 2_000,
        ..request(1, Time::ZERO)
    };
    cell.submit(Time::ZERO, req);

    assert_eq!(grants(&poll(&mut cell, Time::ZERO)), [engine(3)]);
}

#[test]
fn a_failing_endpoint_is_ejected_and_readmitted_after_a_probe() {
    // Guards against a dead engine that attracts every request because it looks idle. Attempts
    // there fail one after the other and free their room. Routing by free room alone treats a
    // failure like any other end.
    let mut cell = cell_with(2, 100_000);
    let mut failed = 0;
    for second in 0..4 {
        let now = Time::from_secs(second);
        for (granted, endpoint) in run_eight(&mut cell, now) {
            let end = match endpoint == engine(1) {
                true => EndKind::Failed(Reason::ConnectFailed),
                false => COMPLETE,
            };
            failed += u32::from(endpoint == engine(1));
            cell.on_ended(now, granted, 10, end);
        }
    }

    assert!(
        failed <= 8,
        "{failed} requests were sent to the dead engine"
    );
    assert!(cell.snapshot().endpoints.iter().any(|e| e.ejected));

    let later = Time::from_secs(30);
    poll(&mut cell, later);
    let granted = run_eight(&mut cell, later);
    let probes = granted.iter().filter(|(_, at)| *at == engine(1)).count();
    for (id, _) in granted {
        cell.on_ended(later, id, 10, COMPLETE);
    }

    assert_eq!(probes, 1);
    assert!(cell.snapshot().endpoints.iter().all(|e| !e.ejected));
}

const COMPLETE: EndKind = EndKind::Complete {
    prompt_tokens: None,
};

/// Submits eight requests at once and returns the endpoint granted to each.
fn run_eight(cell: &mut Cell, now: Time) -> Vec<(RequestId, EndpointKey)> {
    for n in 0..8 {
        cell.submit(now, request(now.as_micros() + n, now));
    }
    let out = poll(cell, now);
    let ids = out.iter().map(CellDecision::id);
    ids.zip(grants(&out)).collect()
}

#[test]
fn the_distance_between_checkpoints_is_bounded() {
    // Guards against a dozen requests being granted at once to a full engine. A generation of
    // 15,000 tokens reported its age last at 8,192 tokens. Its estimated age reaches the caller's
    // limit, so it counts as about to end. This happens if the distance between checkpoints doubles
    // without a bound.
    let mut last = 0;
    for tokens in 1..40_000 {
        if is_checkpoint(tokens) {
            assert_eq!(next_checkpoint(last), tokens);
            assert!(tokens - last <= CHECKPOINT_STEP);
            last = tokens;
        }
        assert!(next_checkpoint(tokens) > tokens);
    }
    assert!(last > 39_000);
}

#[test]
fn an_engine_with_waiting_requests_receives_only_urgent_ones() {
    // Guards against a preempted generation that stalls for a minute. After an engine preempts it,
    // further grants fill the room that it needs to resume. This happens if the home uses only its
    // own forecast and ignores requests that wait inside the engine.
    let mut cell = cell_with(1, 100_000);
    let waiting = LoadReport {
        waiting: 1,
        running: 1,
        ..load(100_000)
    };
    for millis in [500, 1_000] {
        cell.on_load_report(Time::from_millis(millis), engine(1), &waiting);
    }
    let now = Time::from_millis(1_000);
    let urgent = CellRequest {
        class: ClassRules {
            urgency: 0,
            key: ClassKey::of("verdicts"),
            ..plans()
        },
        max_tokens: 32,
        ..request(2, now)
    };

    cell.submit(now, request(1, now));
    cell.submit(now, urgent);
    let out = poll(&mut cell, now);

    assert_eq!(
        out.iter().map(CellDecision::id).collect::<Vec<_>>(),
        [id(2)]
    );
}
