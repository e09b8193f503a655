//! The experiment itself: reproducible, conserving, and fair in what it compares.

use oriolemux_bench::policy::reclaim::{self, Way};
use oriolemux_bench::policy::{Comparison, PolicyKind, Run, run_all, run_one};
use oriolemux_bench::workload::{Lengths, Mix, User, Workload, generate, hour_turn};
use rstest::rstest;

const MIX: Mix = Mix::new(User::QafsaLyricworks, Lengths::Heavy);

/// The first minute before and the first seconds after an hour turn, so that
/// engines fill up and a debug build is done in seconds.
fn short_surge() -> Workload {
    let mut workload = generate(MIX, 3, 1);
    let turn = hour_turn(0);
    let from = turn.as_secs_f64() - 60.0;
    let until = turn.as_secs_f64() + 12.0;
    let within = |at: f64| (from..until).contains(&at);
    workload.requests.retain(|req| within(req.at.as_secs_f64()));
    for (id, req) in workload.requests.iter_mut().enumerate() {
        req.id = id as u64;
    }
    workload
}

fn run(policy: PolicyKind) -> Run {
    Run {
        mix: MIX.to_string(),
        policy,
        summary: run_one(MIX, &short_surge(), policy),
    }
}

#[rstest]
#[case(PolicyKind::RoundRobin)]
#[case(PolicyKind::LeastOutstanding)]
#[case(PolicyKind::LeastOutstandingByClass)]
#[case(PolicyKind::Reservation)]
#[case(PolicyKind::Fixed(16))]
#[case(PolicyKind::Backfill)]
#[case(PolicyKind::Ours)]
#[case(PolicyKind::Oracle)]
fn every_request_is_completed_or_refused_once(#[case] policy: PolicyKind) {
    let summary = run(policy).summary;

    assert_eq!(summary.lost, 0);
    assert_eq!(summary.complete + summary.refused, summary.arrived);
    assert!(summary.within_target <= summary.complete);
}

#[test]
fn the_same_arguments_give_the_same_figures() {
    assert_eq!(run(PolicyKind::Ours), run(PolicyKind::Ours));
    assert_eq!(run(PolicyKind::Oracle), run(PolicyKind::Oracle));
}

#[test]
fn the_number_of_threads_changes_nothing() {
    let workloads = [(MIX, short_surge())];
    let kinds = [PolicyKind::Fixed(16), PolicyKind::Ours, PolicyKind::Oracle];

    let one = run_all(&workloads, &kinds, 1);
    let many = run_all(&workloads, &kinds, 3);

    assert_eq!(one.len(), 3);
    assert_eq!(one, many);
}

#[test]
fn the_surge_fills_engines_and_the_oracle_never_preempts() {
    let crowded = run(PolicyKind::RoundRobin).summary;
    let oracle = run(PolicyKind::Oracle).summary;

    assert!(crowded.preemptions > 0);
    assert!(crowded.stall_s > 0.0);
    assert_eq!(oracle.preemptions, 0);
    assert!(oracle.good_tokens >= crowded.good_tokens);
}

#[test]
fn reserving_max_tokens_never_preempts() {
    assert_eq!(run(PolicyKind::Reservation).summary.preemptions, 0);
}

/// A copy of `run` as `policy` with other figures.
fn changed(run: &Run, policy: PolicyKind, change: impl Fn(&mut Run)) -> Run {
    let mut run = run.clone();
    run.policy = policy;
    change(&mut run);
    run
}

#[test]
fn a_baseline_that_refuses_or_delays_does_not_set_the_mark_for_stall() {
    let ours = run(PolicyKind::Ours);
    let with = |policy, stall_s, refused, good_tokens| {
        changed(&ours, policy, |run| {
            run.summary.stall_s = stall_s;
            run.summary.refused = refused;
            run.summary.good_tokens = good_tokens;
        })
    };
    let runs = [
        with(PolicyKind::RoundRobin, 400.0, 0, 1_000_000),
        with(PolicyKind::Fixed(8), 0.0, 500, 1_000_000),
        with(PolicyKind::Reservation, 0.0, 0, 500_000),
        with(PolicyKind::Ours, 100.0, 0, 1_200_000),
        with(PolicyKind::Oracle, 50.0, 0, 1_200_000),
    ];

    let ratios = Comparison::of(&runs).worst;

    assert_eq!(ratios.stall_ratio, 0.25);
    assert_eq!(ratios.stall_vs_oracle, 2.0);
    assert_eq!(ratios.goodput_ratio, 1.2);
    assert_eq!(
        ratios.stall_vs_any, 100.0,
        "against the floor of one second"
    );
}

#[test]
fn figures_below_the_floor_count_as_the_floor() {
    let ours = run(PolicyKind::Ours);
    let with = |policy, stall_s| {
        changed(&ours, policy, |run| {
            run.summary.stall_s = stall_s;
            run.summary.preemptions = 0;
            run.summary.refused = 0;
            run.summary.good_tokens = 1_000_000;
        })
    };
    let runs = [
        with(PolicyKind::RoundRobin, 2.0),
        with(PolicyKind::Ours, 0.9),
        with(PolicyKind::Oracle, 0.0),
    ];

    let ratios = Comparison::of(&runs).worst;

    assert_eq!(ratios.stall_ratio, 0.5);
    assert_eq!(ratios.stall_vs_oracle, 1.0);
    assert_eq!(ratios.preemption_ratio, 1.0);
}

/// Every generation is complete, lost or refused, under every way, and the same
/// arguments give the same figures.
#[rstest]
#[case(Way::None)]
#[case(Way::NoticeOnly)]
#[case(Way::Ours)]
#[case(Way::Oracle)]
fn reclaimed_engines_account_for_every_generation(#[case] way: Way) {
    let once = reclaim::run_one(1, 20, way);
    let again = reclaim::run_one(1, 20, way);

    assert_eq!(once, again);
    assert!(once.long > 50, "{once:?}");
    assert_eq!(once.accounted, once.asked, "{once:?}");
}

/// The product loses fewer generations than ways that decide less, and callers of long
/// ones are better served.
#[test]
fn the_product_carries_generations_from_reclaimed_engines() {
    let [none, notice, ours, oracle] = Way::ALL.map(|way| reclaim::run_one(1, 60, way));

    assert!(
        ours.relocation_lost < none.relocation_lost / 4,
        "{ours:?} {none:?}"
    );
    assert!(
        ours.relocation_lost <= notice.relocation_lost,
        "{ours:?} {notice:?}"
    );
    assert!(
        ours.long_in_aim_share > none.long_in_aim_share,
        "{ours:?} {none:?}"
    );
    assert!(oracle.relocation_lost <= ours.relocation_lost, "{oracle:?}");
}
