//! Each failure alone and in pairs, with every promise checked from outside.
//!
//! A case starts a whole fleet as real processes behind proxies, sends a surge
//! of requests of every kind, lets one failure or two strike in the middle,
//! heals them, waits for every end and hands everything that was recorded to
//! the [`checker`](crate::checker).

mod case;
mod collect;
mod heal;
mod inject;
pub mod kind;
mod report;
mod scene;
mod surge;

pub use case::{CaseError, CaseOutcome, run_case};
pub use kind::Fault;

use crate::process::block_on;
use crate::standins::text::Sampling;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Options of the fault runs.
#[derive(Clone, Debug, clap::Args)]
pub struct FaultsArgs {
    /// Seeds everything that is drawn: lengths, order, targets and pairs.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Also run pairs of failures: each failure on two targets, and with two others.
    #[arg(long)]
    pub pairs: bool,
    /// Run a few failures with few requests.
    #[arg(long)]
    pub quick: bool,
    /// Run only cases whose name holds this text.
    #[arg(long)]
    pub only: Option<String>,
    /// Requests in each case.
    #[arg(long)]
    pub requests: Option<usize>,
    /// Cases that run at the same time.
    #[arg(long, default_value_t = 2)]
    pub jobs: usize,
    /// Also print the reasons of typed errors, by kind of request.
    #[arg(long)]
    pub reasons: bool,
    /// Keep settings, logs and journals of all cases.
    #[arg(long)]
    pub keep: bool,
}

/// Requests in each case.
const REQUESTS: usize = 300;
/// Requests in each case of a quick run.
const QUICK_REQUESTS: usize = 60;
/// Other failures that each failure is paired with.
const PARTNERS: usize = 2;
/// Failures of a quick run.
const QUICK: [Fault; 6] = [
    Fault::EngineDies,
    Fault::LinkCutMidFrame,
    Fault::InstanceKilled,
    Fault::InstanceStopped,
    Fault::PlatformDown,
    Fault::HalvesParted,
];

/// One case: the failures that strike together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// The failures, one or two.
    pub faults: Vec<Fault>,
    /// Seeds what the case draws.
    pub seed: u64,
    /// How many requests are sent.
    pub requests: usize,
    /// How the engines sample.
    pub sampling: Sampling,
    /// Keep the files.
    pub keep: bool,
    /// The program that every process runs.
    pub program: PathBuf,
}

impl Case {
    /// Returns the name shown in the table.
    pub fn name(&self) -> String {
        let names: Vec<&str> = self.faults.iter().map(|fault| fault.name()).collect();
        names.join(" + ")
    }
}

/// Runs the cases and prints the table.
pub fn run(args: FaultsArgs) -> ExitCode {
    block_on("faults", run_all(args))
}

async fn run_all(args: FaultsArgs) -> io::Result<ExitCode> {
    let cases = cases(&args, &std::env::current_exe()?);
    let room = Arc::new(Semaphore::new(args.jobs.max(1)));
    let mut running = JoinSet::new();
    for (index, case) in cases.into_iter().enumerate() {
        let room = Arc::clone(&room);
        running.spawn(async move {
            let permit = room.acquire_owned().await;
            let outcome = run_case(&case).await;
            drop(permit);
            (index, case, outcome)
        });
    }
    let mut report = report::Report::new(args.reasons);
    report.print_head();
    while let Some(done) = running.join_next().await {
        let (index, case, outcome) = done.map_err(io::Error::other)?;
        report.add(index, &case, outcome);
    }
    Ok(report.finish())
}

/// Returns the cases that the options ask for.
fn cases(args: &FaultsArgs, program: &std::path::Path) -> Vec<Case> {
    let mut rng = SmallRng::seed_from_u64(args.seed);
    let faults: &[Fault] = match args.quick {
        true => &QUICK,
        false => Fault::ALL,
    };
    let mut sets: Vec<Vec<Fault>> = faults.iter().map(|fault| vec![*fault]).collect();
    if args.pairs {
        sets.extend(pairs(faults, &mut rng));
    }
    let requests = args.requests.unwrap_or(match args.quick {
        true => QUICK_REQUESTS,
        false => REQUESTS,
    });
    let all = sets.into_iter().map(|faults| Case {
        faults,
        seed: rng.random(),
        requests,
        sampling: match rng.random_bool(0.5) {
            true => Sampling::Greedy,
            false => Sampling::Random,
        },
        keep: args.keep,
        program: program.to_owned(),
    });
    let wanted = |case: &Case| match &args.only {
        Some(text) => case.name().contains(text),
        None => true,
    };
    all.filter(wanted).collect()
}

/// Pairs each failure with itself on another target, and with a few others.
fn pairs(faults: &[Fault], rng: &mut SmallRng) -> Vec<Vec<Fault>> {
    let mut pairs: Vec<Vec<Fault>> = Vec::new();
    for &first in faults {
        if first.goes_with(first) {
            pairs.push(vec![first, first]);
        }
        let mut others: Vec<Fault> = faults.iter().copied().filter(|it| *it != first).collect();
        others.shuffle(rng);
        let fits = |second: &Fault| {
            let known = pairs.iter().any(|pair| pair[..] == [*second, first]);
            !known && first.goes_with(*second)
        };
        let partners: Vec<Fault> = others.into_iter().filter(fits).take(PARTNERS).collect();
        pairs.extend(partners.into_iter().map(|second| vec![first, second]));
    }
    pairs
}
