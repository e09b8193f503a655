//! The mixes: reproducible, surging, tailed and drifting as they are said to be.

use core::time::Duration;
use oriolemux_bench::workload::{Lengths, Mix, Request, User, generate, hour_turn};
use oriolemux_core::time::Time;
use rstest::rstest;

const SEED: u64 = 1;
/// Time of an ordinary step of a crowded engine.
const STEP: Duration = Duration::from_millis(19);

fn long_outputs(mix: Mix, pick: impl Fn(&Request) -> bool) -> Vec<u32> {
    let workload = generate(mix, SEED, 3);
    let long = |req: &&Request| mix.entries()[req.entry].long && pick(req);
    let mut outputs: Vec<u32> = workload
        .requests
        .iter()
        .filter(long)
        .map(|req| req.output_tokens)
        .collect();
    outputs.sort();
    outputs
}

fn quantile(sorted: &[u32], q: f64) -> f64 {
    f64::from(sorted[((sorted.len() - 1) as f64 * q) as usize])
}

/// KV tokens held in each second if every request ran at once.
fn memory_wanted(mix: Mix, turns: u32) -> Vec<f64> {
    let workload = generate(mix, SEED, turns);
    let secs = workload.end.as_secs_f64() as usize + 1_000;
    let mut wanted = vec![0.0; secs];
    for req in &workload.requests {
        let run = (STEP * req.output_tokens).as_secs_f64();
        let held = f64::from(req.prompt_tokens) + f64::from(req.output_tokens) / 2.0;
        let from = req.at.as_secs_f64();
        for sec in from as usize..=(from + run) as usize {
            let begin = from.max(sec as f64);
            let end = (from + run).min(sec as f64 + 1.0);
            if let Some(slot) = wanted.get_mut(sec) {
                *slot += held * (end - begin).max(0.0);
            }
        }
    }
    wanted
}

fn memory_of_fleet(mix: Mix) -> f64 {
    let engines: usize = mix.data_centres().iter().map(|dc| dc.engines).sum();
    engines as f64 * f64::from(mix.engine().kv_tokens())
}

#[test]
fn the_same_seed_gives_the_same_workload() {
    let mix = Mix::new(User::SavannahThreads, Lengths::Heavy);
    assert_eq!(generate(mix, 7, 1), generate(mix, 7, 1));
    assert_ne!(generate(mix, 7, 1), generate(mix, 8, 1));
}

#[rstest]
#[case(User::SavannahThreads, 12)]
#[case(User::QafsaLyricworks, 10)]
fn fleets_and_shares_are_as_the_users_said(#[case] user: User, #[case] engines: usize) {
    let mix = Mix::new(user, Lengths::Light);
    let total: usize = mix.data_centres().iter().map(|dc| dc.engines).sum();
    let places: f64 = mix.data_centres().iter().map(|dc| dc.share).sum();
    let workspaces: f64 = mix.workspaces().iter().map(|ws| ws.share).sum();

    assert_eq!((total, mix.service().workers), (engines, 3));
    assert!((places - 1.0).abs() < 1e-9);
    assert!((workspaces - 1.0).abs() < 1e-9);
}

#[test]
fn requests_come_by_time_with_dense_ids() {
    let workload = generate(Mix::ALL[0], SEED, 1);
    let ids: Vec<u64> = workload.requests.iter().map(|req| req.id).collect();
    assert_eq!(ids, (0..ids.len() as u64).collect::<Vec<_>>());
    assert!(workload.requests.is_sorted_by_key(|req| req.at));
    assert!(workload.calls.is_sorted_by_key(|call| call.at));
}

#[rstest]
fn a_surge_wants_more_memory_than_there_is_for_minutes(#[values(0, 1, 2, 3, 4, 5)] mix: usize) {
    let mix = Mix::ALL[mix];
    let wanted = memory_wanted(mix, 1);
    let total = memory_of_fleet(mix);
    let turn = hour_turn(0).as_secs_f64() as usize;

    // Work that waits wants its memory later: what exceeds the fleet is carried on.
    let mut backlog = 0.0_f64;
    let mut crowded = 0;
    for held in &wanted[turn..turn + 1_800] {
        backlog = (backlog + held - total).max(0.0);
        crowded += usize::from(backlog > 0.0);
    }

    assert!((90..900).contains(&crowded), "{mix}: {crowded} s");
}

#[rstest]
fn the_hour_as_a_whole_can_be_served(#[values(0, 1, 2, 3, 4, 5)] mix: usize) {
    let mix = Mix::ALL[mix];
    let wanted: f64 = memory_wanted(mix, 3).iter().sum();
    let total = memory_of_fleet(mix) * (hour_turn(3).as_secs_f64());

    assert!(
        (0.1..0.7).contains(&(wanted / total)),
        "{mix}: {}",
        wanted / total
    );
}

#[test]
fn heavy_tails_are_heavier_and_drift_doubles() {
    let of = |lengths| Mix::new(User::SavannahThreads, lengths);
    let light = long_outputs(of(Lengths::Light), |_| true);
    let heavy = long_outputs(of(Lengths::Heavy), |_| true);
    let before = |req: &Request| req.at < hour_turn(1);
    let early = long_outputs(of(Lengths::Drifting), before);
    let late = long_outputs(of(Lengths::Drifting), |req| !before(req));

    let tail = |sorted: &[u32]| quantile(sorted, 0.99) / quantile(sorted, 0.5);
    assert!(tail(&light) < 2.5, "{}", tail(&light));
    assert!(tail(&heavy) > 8.0, "{}", tail(&heavy));
    let drift = quantile(&late, 0.5) / quantile(&early, 0.5);
    assert!((1.9..2.1).contains(&drift), "{drift}");
}

#[test]
fn surges_follow_each_hour_turn() {
    let workload = generate(Mix::ALL[0], SEED, 2);
    let between = |from: Time, to: Time| {
        let within = |req: &&Request| req.at >= from && req.at < to;
        workload.requests.iter().filter(within).count()
    };
    let minute = Duration::from_secs(60);
    for turn in 0..2 {
        let at = hour_turn(turn);
        let quiet = between(at + minute * 50, at + minute * 51);
        let after = between(at, at + minute);
        assert!(after > quiet * 5, "turn {turn}: {quiet} then {after}");
    }
}
