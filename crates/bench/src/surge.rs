//! The mixes of the experiments through real processes.
//!
//! One hour turn of a mix meets six instances and a part of the user's engines
//! on the loopback network, and then, as a baseline, the same engines without
//! the product: each caller goes straight to the next engine in turn. All times
//! of the mix (arrivals, engine steps, targets) run `--time-scale` times faster
//! than they are stated; what the instances do in real time (polls of load
//! every half second, leases, heartbeats) does not. `docs/design/experiments.md`
//! says what can and cannot be read from the figures.

mod caller;
mod catalogue;
mod direct;
mod measure;

use crate::fleet::{Fleet, FleetError, Plan};
use crate::process::block_on;
use crate::workload::{self, Lengths, Mix, Request, User, hour_turn};
use caller::Callers;
use core::time::Duration;
use measure::{Run, Summary};
use oriolemux_core::event::LoadReport;
use serde::Serialize;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::task::JoinSet;

/// Instances of the product.
const INSTANCES: usize = 6;
/// How long before the hour turn the arrivals begin, in the time of the mix.
const LEAD: Duration = Duration::from_secs(10);

/// Options of the command.
#[derive(Clone, Debug, clap::Args)]
pub struct SurgeArgs {
    /// Seeds everything that is drawn.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Whose requests; both users one after the other unless set.
    #[arg(long, value_enum)]
    pub user: Option<User>,
    /// What the output lengths look like.
    #[arg(long, value_enum, default_value = "heavy")]
    pub lengths: Lengths,
    /// How many times faster than stated the mix runs.
    #[arg(long, default_value_t = 4.0)]
    pub time_scale: f64,
    /// Arrivals end so many seconds after the hour turn, in the time of the mix.
    #[arg(long, default_value_t = 120)]
    pub window_s: u64,
    /// One of so many requests is sent, to as small a part of the engines.
    #[arg(long, default_value_t = 3)]
    pub part: usize,
}

/// What can go wrong.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum SurgeError {
    /// {0}
    Fleet(#[from] FleetError),
    /// {0}
    Admin(#[from] crate::standins::admin::AdminError),
    /// {0}
    Http(#[from] reqwest::Error),
}

/// One user's comparison.
#[derive(Debug, Serialize)]
struct Comparison {
    mix: String,
    engines: usize,
    requests: usize,
    ours: Summary,
    round_robin: Summary,
}

/// The last line: each figure for the worst of the mixes.
#[derive(Debug, Serialize)]
struct LastLine {
    time_scale: f64,
    seed: u64,
    stall_ratio: f64,
    preemption_ratio: f64,
    short_urgent_p99_ratio: f64,
    goodput_ratio: f64,
    lost: u64,
    mixes: Vec<Comparison>,
}

/// Runs the command.
pub fn run(args: SurgeArgs) -> ExitCode {
    block_on("surge", async {
        let comparisons = run_all(&args).await?;
        Ok::<_, SurgeError>(report(&args, comparisons))
    })
}

async fn run_all(args: &SurgeArgs) -> Result<Vec<Comparison>, SurgeError> {
    let users = match args.user {
        Some(user) => vec![user],
        None => vec![User::SavannahThreads, User::QafsaLyricworks],
    };
    let mut comparisons = Vec::new();
    for user in users {
        comparisons.push(compare(args, Mix::new(user, args.lengths)).await?);
    }
    Ok(comparisons)
}

async fn compare(args: &SurgeArgs, mix: Mix) -> Result<Comparison, SurgeError> {
    let engines: usize = mix.data_centres().iter().map(|it| it.engines).sum();
    let engines = engines.div_ceil(args.part);
    let requests = requests_of(args, mix);
    println!(
        "{mix}: {} requests before {engines} engines, {} times faster than stated",
        requests.len(),
        args.time_scale
    );
    let ours = run_once(args, mix, engines, &requests, true).await?;
    let round_robin = run_once(args, mix, engines, &requests, false).await?;
    Ok(Comparison {
        mix: mix.to_string(),
        engines,
        requests: requests.len(),
        ours,
        round_robin,
    })
}

/// Returns the part of the first hour turn's requests that is sent.
fn requests_of(args: &SurgeArgs, mix: Mix) -> Vec<Request> {
    let turn = hour_turn(0);
    let end = turn + Duration::from_secs(args.window_s);
    let begin = turn.since(oriolemux_core::Time::ZERO) - LEAD;
    let begin = oriolemux_core::Time::ZERO + begin;
    let all = workload::generate(mix, args.seed, 1).requests.into_iter();
    let window = all.filter(|it| it.at >= begin && it.at < end);
    let mut kept: Vec<Request> = window.step_by(args.part.max(1)).collect();
    for request in &mut kept {
        request.at = oriolemux_core::Time::ZERO + request.at.since(begin);
    }
    kept
}

async fn run_once(
    args: &SurgeArgs,
    mix: Mix,
    engines: usize,
    requests: &[Request],
    through_instances: bool,
) -> Result<Summary, SurgeError> {
    let fleet = start(args, mix, engines, through_instances).await?;
    let callers = Arc::new(Callers::new(mix, &fleet, through_instances)?);
    let begun = tokio::time::Instant::now();
    let mut tasks = JoinSet::new();
    for request in requests.iter().cloned() {
        let at = begun
            + request
                .at
                .since(oriolemux_core::Time::ZERO)
                .div_f64(args.time_scale);
        let callers = Arc::clone(&callers);
        tasks.spawn(async move {
            tokio::time::sleep_until(at).await;
            let timing = callers.send(&request).await;
            (request, timing)
        });
    }
    let mut run = Run::new(mix, args.time_scale);
    while let Some(ended) = tasks.join_next().await {
        match ended {
            Ok((request, timing)) => run.add(&request, &timing),
            Err(_) => run.add_lost(),
        }
    }
    Ok(run.summary(preemptions(&fleet).await?))
}

async fn start(
    args: &SurgeArgs,
    mix: Mix,
    engines: usize,
    with_instances: bool,
) -> Result<Fleet, SurgeError> {
    let engine = mix.engine();
    let engine_args = format!(
        "--kv-tokens {} --max-running {} --step-ms {} --per-running-us {} --time-scale {}",
        engine.kv_tokens(),
        engine.max_running,
        engine.base_step.as_secs_f64() * 1e3,
        engine.per_running.as_micros(),
        args.time_scale
    );
    let plan = Plan::default()
        .with_instances(if with_instances { INSTANCES } else { 1 })
        .with_engines(engines)
        .with_engine_args(&engine_args);
    let program = std::env::current_exe().unwrap_or_default();
    let mut fleet = Fleet::start(plan, &program).await?;
    let published = catalogue::of(mix, args.time_scale);
    let platform = fleet.views[0].platform;
    let admin = &fleet.admin;
    admin
        .write_value(platform, "catalogue-shard-0", published.shard, 2)
        .await?;
    admin
        .write_value(platform, "catalogue-index", published.index, 2)
        .await?;
    fleet.catalogue_in_force(2).await?;
    Ok(fleet)
}

async fn preemptions(fleet: &Fleet) -> Result<u64, SurgeError> {
    let http = reqwest::Client::builder().no_proxy().build()?;
    let mut sum = 0;
    for endpoint in &fleet.endpoints {
        let url = format!("http://{}/v1/load", endpoint.address);
        let report: LoadReport = http.get(url).send().await?.json().await?;
        sum += report.preemptions;
    }
    Ok(sum)
}

fn report(args: &SurgeArgs, comparisons: Vec<Comparison>) -> ExitCode {
    for comparison in &comparisons {
        println!("\n{}", comparison.mix);
        measure::print("through 6 instances", &comparison.ours);
        measure::print("straight, round robin", &comparison.round_robin);
    }
    let worst = |ratio: fn(&Summary, &Summary) -> f64, pick: fn(f64, f64) -> f64| {
        let ratios = comparisons
            .iter()
            .map(|it| ratio(&it.ours, &it.round_robin));
        ratios.reduce(pick).unwrap_or(f64::NAN)
    };
    let line = LastLine {
        time_scale: args.time_scale,
        seed: args.seed,
        stall_ratio: worst(|a, b| measure::ratio(a.stall_s, b.stall_s), f64::max),
        preemption_ratio: worst(
            |a, b| measure::ratio(a.preemptions as f64, b.preemptions as f64),
            f64::max,
        ),
        short_urgent_p99_ratio: worst(
            |a, b| measure::ratio(a.urgent_first_p99_ms, b.urgent_first_p99_ms),
            f64::max,
        ),
        goodput_ratio: worst(
            |a, b| measure::ratio(a.good_tokens as f64, b.good_tokens as f64),
            f64::min,
        ),
        lost: comparisons.iter().map(|it| it.ours.lost).sum(),
        mixes: comparisons,
    };
    println!("{}", serde_json::to_string(&line).unwrap_or_default());
    match line.lost {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
