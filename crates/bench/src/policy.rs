//! Policies of placement side by side, in virtual time.
//!
//! Each run takes one mix of requests through hour turns, on the engines of
//! [`crate::engine_model`], under one policy. All policies of a mix meet the
//! same requests. Nothing here reads a clock or the network, so the same
//! arguments give the same output. `docs/design/experiments.md` defines each
//! measure and says how the rates were chosen.

mod api;
mod backfill;
mod baselines;
mod compare;
mod measure;
mod oracle;
mod ours;
pub mod reclaim;
mod sim;
mod table;

pub use compare::{Comparison, Ratios};
pub use measure::{ClassSummary, Summary};

use crate::workload::{Mix, Workload, generate};
use api::Fleet;
use baselines::{FirstCome, LeastOutstanding, Priorities, Room, RoundRobin};
use clap::Args;
use oriolemux_core::cell::CellConfig;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;

/// Requests at once at each engine that the sweep of fixed concurrency tries.
const FIXED_SWEEP: [u32; 6] = [8, 12, 16, 20, 24, 32];
/// Hour turns of a whole run.
const TURNS: u32 = 3;
/// Seconds of arrivals of the runs with reclaimed engines: some 180 reclaims.
const RECLAIM_SECONDS: u32 = 300;
/// Runs at once, unless the command line says otherwise.
const THREADS: usize = 6;

/// Arguments of `oriolemux-bench policy`.
#[derive(Clone, Debug, Args)]
pub struct PolicyArgs {
    /// Seed of the arrivals and lengths.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// One hour turn instead of three; lengths do not drift then.
    #[arg(long)]
    quick: bool,
    /// Only mixes whose name contains this.
    #[arg(long, default_value = "")]
    mix: String,
    /// Only the product, the oracle and baselines whose name contains this.
    #[arg(long, default_value = "")]
    baseline: String,
    /// Runs at once.
    #[arg(long, default_value_t = THREADS)]
    threads: usize,
    /// Also write every figure as JSON to this file.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Show each class of each run.
    #[arg(long)]
    classes: bool,
}

/// A policy of the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The next engine in turn, without admission.
    RoundRobin,
    /// The engine with the fewest requests, without admission.
    LeastOutstanding,
    /// Memory for all of `max_tokens`, first come, first served.
    Reservation,
    /// So many requests at once at each engine, first come, first served.
    Fixed(u32),
    /// As [`PolicyKind::LeastOutstanding`], with the class's priority at the engine.
    LeastOutstandingByClass,
    /// Slack-based backfilling on predicted quantiles.
    Backfill,
    /// The product.
    Ours,
    /// Knows every length.
    Oracle,
}

impl PolicyKind {
    /// Returns every policy of the comparison, in the order of the tables.
    pub fn all() -> Vec<PolicyKind> {
        let fixed = FIXED_SWEEP.map(PolicyKind::Fixed);
        let mut kinds = vec![
            PolicyKind::RoundRobin,
            PolicyKind::LeastOutstanding,
            PolicyKind::Reservation,
        ];
        kinds.extend(fixed);
        kinds.extend([
            PolicyKind::LeastOutstandingByClass,
            PolicyKind::Backfill,
            PolicyKind::Ours,
            PolicyKind::Oracle,
        ]);
        kinds
    }

    /// Returns whether the ratios measure the product against this policy.
    pub fn is_baseline(self) -> bool {
        use PolicyKind::*;
        matches!(self, RoundRobin | LeastOutstanding | Reservation | Fixed(_))
    }
}

impl core::fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            PolicyKind::RoundRobin => f.pad("round-robin"),
            PolicyKind::LeastOutstanding => f.pad("least-outstanding"),
            PolicyKind::Reservation => f.pad("max-tokens"),
            PolicyKind::Fixed(places) => f.pad(&format!("fixed-{places}")),
            PolicyKind::LeastOutstandingByClass => f.pad("least-out-priority"),
            PolicyKind::Backfill => f.pad("backfill"),
            PolicyKind::Ours => f.pad("ours"),
            PolicyKind::Oracle => f.pad("oracle"),
        }
    }
}

/// One run: a mix under a policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The mix's name.
    pub mix: String,
    /// The policy.
    pub policy: PolicyKind,
    /// What was measured.
    pub summary: Summary,
}

/// Runs one mix under one policy.
pub fn run_one(mix: Mix, workload: &Workload, policy: PolicyKind) -> Summary {
    let fleet = Fleet::of(mix);
    let same = Priorities::Same;
    let measures = match policy {
        PolicyKind::RoundRobin => sim::run(&fleet, workload, RoundRobin::new(&fleet)),
        PolicyKind::LeastOutstanding => {
            sim::run(&fleet, workload, LeastOutstanding::new(&fleet, same))
        }
        PolicyKind::LeastOutstandingByClass => {
            let policy = LeastOutstanding::new(&fleet, Priorities::ByClass);
            sim::run(&fleet, workload, policy)
        }
        PolicyKind::Reservation => {
            sim::run(&fleet, workload, FirstCome::new(&fleet, Room::MaxTokens))
        }
        PolicyKind::Fixed(places) => {
            let policy = FirstCome::new(&fleet, Room::Places(places));
            sim::run(&fleet, workload, policy)
        }
        PolicyKind::Backfill => sim::run(&fleet, workload, backfill::Backfill::new(&fleet)),
        PolicyKind::Ours => {
            let cfg = CellConfig::default();
            sim::run(&fleet, workload, ours::Ours::new(&fleet, &cfg))
        }
        PolicyKind::Oracle => {
            let policy = oracle::Oracle::new(&fleet, workload);
            sim::run(&fleet, workload, policy)
        }
    };
    measures.summary()
}

/// Runs the experiment and prints its tables; the last line is one JSON object.
pub fn run(args: PolicyArgs) -> ExitCode {
    let mixes: Vec<Mix> = Mix::ALL
        .into_iter()
        .filter(|mix| mix.to_string().contains(&args.mix))
        .collect();
    let kinds: Vec<PolicyKind> = PolicyKind::all()
        .into_iter()
        .filter(|kind| !kind.is_baseline() || kind.to_string().contains(&args.baseline))
        .collect();
    let turns = if args.quick { 1 } else { TURNS };
    let workloads: Vec<(Mix, Workload)> = mixes
        .iter()
        .map(|&mix| (mix, generate(mix, args.seed, turns)))
        .collect();
    let runs = run_all(&workloads, &kinds, args.threads);
    let comparison = Comparison::of(&runs);
    table::print(&runs, &comparison, args.classes);
    let reclaim = reclaim::run_all(args.seed, RECLAIM_SECONDS);
    reclaim::print(&reclaim);
    if let Some(path) = &args.out {
        let figures = Figures {
            seed: args.seed,
            turns,
            comparison: comparison.clone(),
            runs,
            reclaim: reclaim.clone(),
        };
        let json = serde_json::to_string_pretty(&figures).expect("figures are plain data");
        if let Err(err) = std::fs::write(path, json) {
            eprintln!("cannot write {}: {err}", path.display());
            return ExitCode::FAILURE;
        }
    }
    let last = LastLine::of(comparison.worst, &reclaim);
    println!(
        "{}",
        serde_json::to_string(&last).expect("ratios are plain data")
    );
    ExitCode::SUCCESS
}

/// The last line that is printed: the worst ratios, and the product on engines that are
/// reclaimed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LastLine {
    /// The worst of each ratio over the mixes.
    #[serde(flatten)]
    pub worst: Ratios,
    /// Moves to another engine.
    pub relocated: u64,
    /// Generations that were lost with their engine.
    pub relocation_lost: u64,
    /// The pause of a move, of 99 in 100, in milliseconds.
    pub pause_ms_p99: u64,
}

impl LastLine {
    /// Returns the line of these runs.
    pub fn of(worst: Ratios, reclaim: &[reclaim::ReclaimRun]) -> Self {
        let ours = reclaim.iter().find(|run| run.way == reclaim::Way::Ours);
        let ours = ours.map(|run| run.summary.clone()).unwrap_or_default();
        LastLine {
            worst,
            relocated: ours.relocated,
            relocation_lost: ours.relocation_lost,
            pause_ms_p99: ours.pause_ms_p99,
        }
    }
}

/// What `--out` writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Seed of the arrivals and lengths.
    pub seed: u64,
    /// Hour turns.
    pub turns: u32,
    /// The product against the others.
    pub comparison: Comparison,
    /// Every run.
    pub runs: Vec<Run>,
    /// Generations on engines that are reclaimed, under each way.
    pub reclaim: Vec<reclaim::ReclaimRun>,
}

/// Runs every workload under every policy, in the order of workloads, then policies.
pub fn run_all(workloads: &[(Mix, Workload)], kinds: &[PolicyKind], threads: usize) -> Vec<Run> {
    let jobs: Vec<(&(Mix, Workload), PolicyKind)> = workloads
        .iter()
        .flat_map(|workload| kinds.iter().map(move |kind| (workload, *kind)))
        .collect();
    let next = Mutex::new(0);
    let done = Mutex::new(vec![None; jobs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                loop {
                    let at = take_next(&next);
                    let Some(&((mix, workload), policy)) = jobs.get(at) else {
                        break;
                    };
                    let summary = run_one(*mix, workload, policy);
                    let run = Run {
                        mix: mix.to_string(),
                        policy,
                        summary,
                    };
                    done.lock().expect("no run panics while it holds the lock")[at] = Some(run);
                }
            });
        }
    });
    let done = done.into_inner().expect("every thread has ended");
    done.into_iter().flatten().collect()
}

fn take_next(next: &Mutex<usize>) -> usize {
    let mut next = next.lock().expect("taking a number does not panic");
    *next += 1;
    *next - 1
}
