//! Placement by predicted gaps: what the model makes of reported gaps, and what placement makes of
//! the model.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;
#[path = "fixtures/paced_engines.rs"]
mod paced;

use core::time::Duration;
use fleet::Fleet;
use instances::{address, engine};
use oriolemux_core::gateway::pace::{PaceModel, PaceSample, PaceSamples, RiskClass, UNKNOWN};
use oriolemux_core::gateway::request::service_hash;
use oriolemux_core::gateway::usage::UsageTable;
use oriolemux_core::{EndpointKey, Time};
use paced::{Chooser, GAP_TARGET, endpoints, key, place, play, request};
use rstest::rstest;

const NOW: Time = Time::from_secs(100);

const SLOW_MS: f64 = 40.0;

const FAST_MS: f64 = 18.0;

/// Longest gap in relation to the typical one, while a prompt is prefilled on a slow host.
const STALL: f64 = 5.0;

/// A quarter of 48 engines at 0.55 of the time for each step, and three quarters at 1.2.
fn unequal_engines() -> Vec<f64> {
    (0..48)
        .map(|it| if it % 4 == 0 { 0.55 } else { 1.2 })
        .collect()
}

/// Returns a sample of an engine with this typical gap.
fn sample(gaps: u16, typical_ms: f64, stall: f64) -> PaceSample {
    PaceSample {
        gaps,
        log_mean: (typical_ms.log2() * 256.0) as u16,
        longest_ms: (typical_ms * stall) as u16,
    }
}

/// Returns a model in which each engine is well observed.
fn model(typical_ms: &[f64]) -> PaceModel {
    let mut model = PaceModel::default();
    let samples: Vec<_> = (0..typical_ms.len())
        .map(|number| (key(number), sample(200, typical_ms[number], STALL)))
        .collect();
    model.merge(NOW, &samples);
    model.observe_target(NOW, GAP_TARGET);
    model
}

fn placed(model: &PaceModel, usage: &UsageTable, count: usize, is_long: bool) -> EndpointKey {
    let queued = request(1, NOW, is_long);
    place(NOW, &endpoints(count), usage, model, queued).expect("there is room")
}

/// Returns a usage table with `running` generations at each engine.
fn usage(running: &[usize]) -> UsageTable {
    let mut usage = UsageTable::default();
    for (number, &count) in running.iter().enumerate() {
        for _ in 0..count {
            usage.begin(key(number), 1_000, 0);
        }
    }
    usage
}

/// Guards against long streams that are late on engines where no prefill may share a slow host
/// with them, while engines exist on which they are never late.
#[test]
fn long_streams_are_rarely_late_where_a_placement_achieves_it() {
    let engines = unequal_engines();

    let blind = play(&engines, Chooser::Blind, 40);
    let model = play(&engines, Chooser::Model { reporting: 12 }, 40);
    let oracle = play(&engines, Chooser::Oracle, 40);

    println!(
        "late: blind {} of {}, model {} of {}, oracle {} of {}",
        blind.late, blind.streams, model.late, model.streams, oracle.late, oracle.streams
    );
    assert!(blind.late_share() > 0.15);
    assert!(model.late_share() <= 0.05);
    assert!(model.late_share() <= oracle.late_share() + 0.03);
    assert_eq!(model.waited_ms, blind.waited_ms, "costs delay nothing");
}

/// Guards against a model that is useless while part of the fleet is too old to report, or
/// partitioned from the home.
#[test]
fn half_of_the_instances_suffice() {
    let model = play(&unequal_engines(), Chooser::Model { reporting: 6 }, 40);

    println!("late: {} of {}", model.late, model.streams);
    assert!(model.late_share() <= 0.08);
}

/// Guards against a change of placements where it cannot help: engines of equal speed differ only
/// by the load and the slow periods that each had lately.
#[test]
fn with_equal_speeds_all_choices_are_as_without_a_model() {
    let engines = [1.0; 48];

    let blind = play(&engines, Chooser::Blind, 40);
    let model = play(&engines, Chooser::Model { reporting: 12 }, 40);

    assert!(blind.chosen == model.chosen);
}

#[rstest]
#[case::far_below(100, 0.0)]
#[case::at_the_start(126, 0.0)]
#[case::between(148, 0.5)]
#[case::at_the_end(171, 1.0)]
#[case::above(400, 1.0)]
fn risk_grows_from_a_share_of_the_target(#[case] stalled_ms: u32, #[case] expected: f64) {
    let model = model(&[f64::from(stalled_ms) / STALL; 4]);

    let risk = model.stall_risk(key(0), GAP_TARGET);

    assert!((risk - expected).abs() < 0.05, "{risk}");
    assert_eq!(model.stall_risk(key(0), Duration::ZERO), 0.0);
}

/// Guards against predictions from the first few gaps of a fleet that has just started.
#[test]
fn too_few_observed_engines_predict_nothing() {
    let model = model(&[SLOW_MS, SLOW_MS]);

    assert_eq!(model.stall_risk(key(0), GAP_TARGET), 0.0);
    assert_eq!(model.stall_risk(key(9), GAP_TARGET), 0.0);
}

#[test]
fn an_engine_without_observations_counts_as_median() {
    let model = model(&[FAST_MS, SLOW_MS, SLOW_MS, SLOW_MS]);

    assert_eq!(model.stalled_ms(key(9)), model.stalled_ms(key(1)));
}

/// Guards against an engine that is avoided because its first generation met a slow period.
#[test]
fn one_slow_observation_does_not_classify_an_engine() {
    let mut model = model(&[FAST_MS; 6]);

    model.merge(NOW, &[(key(9), sample(5, FAST_MS * STALL, 1.0))]);
    model.tick(NOW + Duration::from_millis(100), |_| true);

    assert_eq!(model.stall_risk(key(9), GAP_TARGET), 0.0);
}

/// Guards against an instance that was suspended and reports its own pause as a gap of all engines
/// from which it relays.
#[test]
fn the_pause_of_one_instance_does_not_change_the_predictions() {
    let mut model = model(&[FAST_MS; 7]);
    let before = model.stalled_ms(key(6));
    let paused: Vec<_> = (0..3)
        .map(|number| (key(number), sample(2, 30_000.0, 1.0)))
        .collect();

    model.merge(NOW, &paused);
    model.tick(NOW + Duration::from_millis(100), |_| true);

    let after = model.stalled_ms(key(6));
    assert!((after / before - 1.0).abs() < 0.05, "{before} {after}");
}

/// Guards against an engine that stays avoided after its only observations are long past: it gets
/// the service's median again, and is forgotten later.
#[test]
fn estimates_of_an_engine_that_is_no_longer_reported_fade() {
    let mut model = model(&[FAST_MS, FAST_MS, FAST_MS, FAST_MS, SLOW_MS * 2.0]);
    assert!(model.stall_risk(key(4), GAP_TARGET) > 0.5);

    let mut now = NOW;
    for _ in 0..150 {
        now += Duration::from_millis(400);
        let others: Vec<_> = (0..4)
            .map(|number| (key(number), sample(20, FAST_MS, STALL)))
            .collect();
        model.merge(now, &others);
        model.tick(now, |_| true);
    }

    assert_eq!(model.stall_risk(key(4), GAP_TARGET), 0.0);
}

/// Guards against estimates without end once a service has no traffic.
#[test]
fn a_service_without_reports_is_forgotten() {
    let mut model = model(&[FAST_MS, SLOW_MS, SLOW_MS, SLOW_MS]);

    model.tick(NOW + Duration::from_secs(30), |_| true);
    assert_eq!(model.stall_risk(key(1), GAP_TARGET), 0.0);
    model.tick(NOW + Duration::from_secs(60), |_| true);
    assert!(model.is_empty());
}

/// Guards against a restarted engine that is judged by its former process, which may have run on
/// another host.
#[test]
fn estimates_end_with_the_incarnation() {
    let mut model = model(&[FAST_MS, SLOW_MS, SLOW_MS, SLOW_MS]);
    let restarted = EndpointKey::of("e-0@2");

    model.tick(NOW, |it| it != key(0));

    assert_eq!(model.stalled_ms(restarted), model.stalled_ms(key(1)));
    assert_eq!(model.stalled_ms(key(0)), model.stalled_ms(key(1)));
}

/// Guards against samples that a faulty instance reports, which must not produce infinite costs.
#[rstest]
#[case::nothing(PaceSample::default())]
#[case::zeros(PaceSample { gaps: 100, log_mean: 0, longest_ms: 0 })]
#[case::huge(PaceSample { gaps: u16::MAX, log_mean: u16::MAX, longest_ms: u16::MAX })]
fn absurd_samples_stay_bounded(#[case] absurd: PaceSample) {
    let mut model = model(&[FAST_MS, SLOW_MS, SLOW_MS, SLOW_MS, SLOW_MS]);

    model.merge(NOW, &[(key(0), absurd)]);
    model.tick(NOW + Duration::from_millis(100), |_| true);

    let risk = model.stall_risk(key(0), GAP_TARGET);
    assert!((0.0..=1.0).contains(&risk), "{risk}");
    assert_eq!(model.stall_risk(key(1), GAP_TARGET), 1.0, "others stay");
}

#[test]
fn a_long_stream_prefers_a_busier_engine_without_risk() {
    let model = model(&[FAST_MS, SLOW_MS, SLOW_MS, SLOW_MS]);
    let usage = usage(&[6, 0, 0, 0]);

    assert_eq!(placed(&model, &usage, 4, true), key(0));
    assert_ne!(placed(&UNKNOWN, &usage, 4, true), key(0));
}

/// Guards against long streams that find the fast engines full of short answers.
#[test]
fn a_short_answer_leaves_risk_free_engines_to_long_streams() {
    let model = model(&[FAST_MS, SLOW_MS, SLOW_MS, SLOW_MS]);
    let usage = usage(&[0, 3, 3, 3]);

    assert_ne!(placed(&model, &usage, 4, false), key(0));
    assert_eq!(placed(&UNKNOWN, &usage, 4, false), key(0));
}

/// Guards against a preference that turns into a refusal: the engines that are preferred are full.
#[test]
fn costs_exclude_no_engine() {
    let model = model(&[FAST_MS, SLOW_MS, SLOW_MS, SLOW_MS]);

    assert_ne!(placed(&model, &usage(&[24, 0, 0, 0]), 4, true), key(0));
    assert_eq!(placed(&model, &usage(&[0, 24, 24, 24]), 4, false), key(0));
}

/// Guards against a load that is spread worse, or not placed at all, when all engines are slow at
/// once: there is nothing to choose then.
#[test]
fn while_all_engines_are_slow_choices_are_as_without_a_model() {
    let model = model(&[SLOW_MS * 3.0; 4]);
    assert_eq!(model.stall_risk(key(0), GAP_TARGET), 1.0);

    for running in [[1, 0, 2, 3], [5, 4, 3, 4], [9, 9, 8, 9]] {
        let usage = usage(&running);
        for is_long in [true, false] {
            let chosen = placed(&model, &usage, 4, is_long);
            assert_eq!(chosen, placed(&UNKNOWN, &usage, 4, is_long));
        }
    }
}

/// Guards against a log that is filled by an engine at the edge of a class.
#[test]
fn a_change_of_risk_is_reported_once_with_its_inputs() {
    let mut model = model(&[FAST_MS, SLOW_MS, SLOW_MS, SLOW_MS]);

    let first = model.take_change(NOW).expect("engines became risky");
    let repeated = model.take_change(NOW + Duration::from_secs(4));

    assert_eq!(
        (first.before, first.after),
        (RiskClass::RiskFree, RiskClass::Risky)
    );
    assert_eq!((first.changed, first.risky, first.engines), (3, 3, 4));
    assert_eq!(first.target_ms, 180);
    assert!((190..=210).contains(&first.stalled_ms), "{first:?}");
    assert_eq!(repeated, None);
}

/// Guards against reports that grow with the number of events or engines.
#[test]
fn samples_are_taken_at_intervals_and_in_bounded_numbers() {
    let mut samples = PaceSamples::default();
    for number in 0..30 {
        samples.record(NOW, key(number), Duration::from_millis(20));
    }
    let service = service_hash("model");

    let first = samples.take(NOW, service, |_| true);
    let too_early = samples.take(NOW + Duration::from_millis(399), service, |_| true);
    let rest = samples.take(NOW + Duration::from_millis(400), service, |_| true);

    assert_eq!((first.len(), too_early.len(), rest.len()), (24, 0, 6));
}

/// Guards against a typical gap that is too short because several events arrived in one packet.
#[test]
fn events_that_arrive_together_are_no_gap() {
    let mut samples = PaceSamples::default();
    samples.record(NOW, key(0), Duration::from_millis(32));
    samples.record(NOW, key(0), Duration::from_micros(30));

    let taken = samples.take(NOW, 1, |_| true);

    let expected = PaceSample {
        gaps: 1,
        log_mean: 5 * 256,
        longest_ms: 32,
    };
    assert_eq!(taken, [(key(0), expected)]);
}

/// Guards against a home that knows nothing when it takes over: its predecessor and it receive the
/// same samples, so that the death of the home changes no prediction.
#[test]
fn the_next_in_rank_has_the_same_model() {
    let mut fleet = Fleet::start(5, 3, 3);
    assert!(fleet.until_all_count(5, Duration::from_secs(20)).is_some());
    let service = service_hash("model");
    for number in 0..4 {
        fleet.publish(&engine(&format!("e-{number}")));
    }
    let homes = fleet.nodes[0]
        .core
        .as_ref()
        .expect("it runs")
        .homes(service);

    for _ in 0..20 {
        fleet.run(Duration::from_millis(100));
        let now = fleet.now;
        let cores = fleet.nodes.iter_mut().filter_map(|it| it.core.as_mut());
        for core in cores {
            for number in 0..4_usize {
                if core.usage.own(key(number)).running == 0 {
                    core.usage.begin(key(number), 1_000, 0);
                }
                let typical = if number == 0 { FAST_MS } else { SLOW_MS };
                for gap in [typical, typical, typical, typical, typical * STALL] {
                    core.observe_gap(now, key(number), Duration::from_secs_f64(gap / 1_000.0));
                }
            }
        }
    }

    let model = |rank: usize| {
        let home = (0..5).find(|it| Some(address(*it as u16 + 1)) == homes[rank]);
        let core = fleet.nodes[home.expect("a home")].core.as_ref();
        core.expect("it runs").pace_of("model").expect("a model")
    };
    for number in 0..4 {
        let (first, second) = (
            model(0).stalled_ms(key(number)),
            model(1).stalled_ms(key(number)),
        );
        assert!(first > 0.0, "{number}");
        assert!((first / second - 1.0).abs() < 0.05, "{first} {second}");
    }
    assert_eq!(model(1).stall_risk(key(0), GAP_TARGET), 0.0);
    assert_eq!(model(1).stall_risk(key(1), GAP_TARGET), 1.0);
}
