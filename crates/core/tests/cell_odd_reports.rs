//! Odd figures in the load report of one endpoint: they must not end the process, and the other
//! endpoints of the cell are used.

use core::time::Duration;
use oriolemux_core::cell::*;
use oriolemux_core::event::LoadReport;
use oriolemux_core::*;
use rstest::rstest;

fn request(seq: u64) -> CellRequest {
    CellRequest {
        id: RequestId {
            instance: InstanceKey::of("entry-1"),
            incarnation: Incarnation(7),
            seq,
        },
        entry: EntryKey::of("tailoring-plan"),
        workspace: WorkspaceKey::of("arima-secondary"),
        class: ClassRules::new(
            ClassKey::of("plans"),
            2,
            Duration::from_secs(20),
            Duration::from_secs(60),
        ),
        arrived: Time::from_secs(1),
        prompt_tokens: 500,
        max_tokens: 8_000,
        prefix: Vec::new(),
        exclude: Vec::new(),
        replay_tokens: 0,
        needs: Requirement::ANY,
    }
}

fn sound() -> LoadReport {
    LoadReport {
        kv_tokens_total: 200_000,
        max_running: 64,
        ..LoadReport::default()
    }
}

/// The sums over the figures of one report overflowed, which ends a debug build and makes a full
/// endpoint look empty in a release build.
#[rstest]
#[case::running(LoadReport { running: u32::MAX, waiting: 1, ..sound() })]
#[case::waiting(LoadReport { running: 1, waiting: u32::MAX, ..sound() })]
#[case::used(LoadReport { kv_tokens_used: u64::MAX, ..sound() })]
#[case::total(LoadReport { kv_tokens_total: u64::MAX, max_running: u32::MAX, running: u32::MAX, ..sound() })]
#[case::lag(LoadReport { lag_ms: u32::MAX, preemptions: u64::MAX, running: u32::MAX, ..sound() })]
fn a_report_with_figures_past_any_use_harms_no_other_endpoint(
    #[case] odd: LoadReport,
    #[values(EndpointKind::Model, EndpointKind::Service)] kind: EndpointKind,
) {
    let mut cell = Cell::new(CellConfig::default(), 1);
    let engines = ["odd", "sound"].map(EndpointKey::of);
    for engine in engines {
        cell.set_endpoint(Time::ZERO, EndpointInfo::near(engine, kind));
        cell.on_load_report(Time::ZERO, engine, &sound());
    }
    let mut granted = 0;
    for second in 1..=60 {
        let now = Time::from_secs(second);
        cell.on_load_report(now, engines[0], &odd);
        cell.on_load_report(now, engines[1], &sound());
        cell.submit(now, request(second));
        let mut out = Vec::new();
        cell.poll(now, &mut out);
        granted += out
            .iter()
            .filter(|it| matches!(it, CellDecision::Grant { .. }))
            .count();
        let _ = cell.snapshot();
    }
    assert!(granted > 0);
}
