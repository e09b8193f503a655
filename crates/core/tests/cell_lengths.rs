//! Predictions of the length model before, during and after it has observed outputs.

use oriolemux_core::ids::{ClassKey, EntryKey, WorkspaceKey};
use oriolemux_core::length::buckets::{COUNT, bucket_of, lower_edge};
use oriolemux_core::length::{LengthModel, LengthNode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn node(model: &mut LengthModel, workspace: &str) -> LengthNode {
    model.acquire(
        ClassKey::of("plans"),
        EntryKey::of("tailoring-plan"),
        WorkspaceKey::of(workspace),
    )
}

/// Draws a length from an exponential distribution with the given mean.
fn draw(rng: &mut SmallRng, mean: f64) -> u32 {
    let u: f64 = rng.random();
    (1.0 - mean * (1.0 - u).ln()) as u32
}

fn teach(model: &mut LengthModel, node: LengthNode, mean: f64, answers: u32, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..answers {
        model.ended(node, 1, draw(&mut rng, mean));
        model.curve(node);
    }
}

#[test]
fn buckets_cover_every_length_in_order() {
    for tokens in 1..200_000 {
        let bucket = bucket_of(tokens);
        assert!(lower_edge(bucket) <= tokens);
        assert!(bucket == COUNT - 1 || tokens < lower_edge(bucket + 1));
    }
}

#[test]
fn an_unknown_entry_has_a_heavy_tailed_prior() {
    let mut model = LengthModel::new();
    let node = node(&mut model, "a");

    let curve = model.curve(node);

    assert!(curve.survival(1_000) > 0.2);
    assert!(curve.conditional_survival(1_000, 1_000) > 0.5);
}

#[rstest]
#[case::short(20.0)]
#[case::medium(400.0)]
#[case::long(3_000.0)]
fn the_learned_mean_approximates_the_true_mean(#[case] mean: f64) {
    let mut model = LengthModel::new();
    let node = node(&mut model, "a");

    teach(&mut model, node, mean, 500, 1);

    let learned = model.curve(node).mean(100_000);
    assert!((learned / mean - 1.0).abs() < 0.25, "{learned} for {mean}");
}

#[test]
fn survival_falls_with_length_and_rises_with_age() {
    let mut model = LengthModel::new();
    let node = node(&mut model, "a");
    teach(&mut model, node, 800.0, 300, 2);

    let curve = model.curve(node);

    let mut before = 1.0;
    for tokens in (0..20_000).step_by(37) {
        let alive = curve.survival(tokens);
        assert!(alive <= before);
        before = alive;
    }
    assert!(curve.conditional_survival(4_000, 64) >= curve.conditional_survival(0, 4_064));
}

#[test]
fn truncated_outputs_count_as_lower_bounds() {
    let mut model = LengthModel::new();
    let node = node(&mut model, "a");

    for _ in 0..200 {
        model.survived(node, 1, bucket_of(2_000));
    }

    assert!(model.curve(node).survival(1_900) > 0.8);
}

#[test]
fn a_workspace_uses_its_entrys_lengths_until_it_has_its_own() {
    let mut model = LengthModel::new();
    let usual = node(&mut model, "usual");
    teach(&mut model, usual, 100.0, 400, 3);

    let new = node(&mut model, "new");
    let at_first = model.curve(new).mean(100_000);
    for _ in 0..100 {
        model.ended(new, 1, 2_000);
    }
    let later = model.curve(new).mean(100_000);

    assert!((50.0..200.0).contains(&at_first), "{at_first}");
    assert!(later > 1_200.0, "{later}");
}

#[test]
fn doubled_lengths_are_detected_within_a_hundred_outputs() {
    // Guards against hours of preemptions after a change of workload. The outputs of an entry
    // double in length from one minute to the next. Without drift detection, the long history
    // outweighs the new lengths until it has been replaced.
    let mut model = LengthModel::new();
    let node = node(&mut model, "a");
    teach(&mut model, node, 500.0, 2_000, 4);
    let before = model.drifts();

    teach(&mut model, node, 1_000.0, 100, 5);

    assert!(model.drifts() > before);
    let mean = model.curve(node).mean(100_000);
    assert!(mean > 750.0, "{mean}");
}

#[test]
fn steady_lengths_rarely_count_as_a_drift() {
    let mut model = LengthModel::new();
    let node = node(&mut model, "a");

    teach(&mut model, node, 500.0, 10_000, 6);

    assert!(model.drifts() <= 2, "{} drifts", model.drifts());
}

#[test]
fn workspaces_beyond_the_limit_share_their_entrys_lengths() {
    let mut model = LengthModel::new();

    let nodes: Vec<_> = (0..5_000)
        .map(|n| node(&mut model, &format!("workspace-{n}")))
        .collect();

    let distinct: std::collections::BTreeSet<_> = nodes.iter().collect();
    assert!(distinct.len() < 3_000);
}
