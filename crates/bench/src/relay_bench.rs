//! What relaying a token costs: processor time in the relaying process, and
//! added latency for the caller.
//!
//! The engine here is a bare stand-in that writes customary token events as
//! fast, or as evenly, as it is told; it and the callers live in this process,
//! the instance in one of its own. Two phases, in one run:
//!
//! - *saturated*: a few streams write without pause. Tokens over the processor
//!   time of the instance's process give `tokens_per_core_second`.
//! - *paced*: engines step at the users' 32 ms between tokens, all streams of an
//!   engine at once, as continuous batching does. Half of the streams go
//!   straight to the stand-in and half through the instance, at the same time
//!   and read by the same client, so that whatever else the machine does falls
//!   on both. Each token carries the time at which it was written.
//!
//! The added latency is the difference between the two halves' quantiles. See
//! `docs/design/relay.md` for figures.

mod client;
mod cpu;
mod engine;
mod node;
mod relaying;
mod report;

pub use node::RelayNodeArgs;

use crate::fleet::FleetError;
use crate::process::child::ChildError;
use client::PacedResult;
use cpu::CpuClock;
use engine::{EngineServer, Pace};
use relaying::Relaying;
use report::Report;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Time between two steps of an engine in the paced phase.
const STEP: Duration = Duration::from_millis(32);

/// Arguments of `oriolemux-bench relay`.
#[derive(Clone, Debug, clap::Args)]
pub struct RelayArgs {
    /// Streams at a time in the saturated phase.
    #[arg(long, default_value_t = 16)]
    streams: usize,
    /// Tokens of each saturated stream; the catalogue allows 1,000.
    #[arg(long, default_value_t = 1_000)]
    tokens: u32,
    /// Saturated streams in a row.
    #[arg(long, default_value_t = 100)]
    requests: u32,
    /// Streams straight to the engines, and as many through the instance, in the
    /// paced phase. 37 is what an instance holds at the design's peak: 450,000
    /// tokens a second over 390 instances, one token every 32 ms.
    #[arg(long, default_value_t = 37)]
    paced_streams: usize,
    /// Engines that the paced streams are spread over.
    #[arg(long, default_value_t = 12)]
    engines: usize,
    /// Tokens of each paced stream.
    #[arg(long, default_value_t = 300)]
    paced_tokens: u32,
    /// Measure the relay alone: a process with callers' side, relay and
    /// endpoints' side as shipped, but a node that gives each request to the
    /// next engine. Otherwise a whole instance is measured.
    #[arg(long)]
    bare: bool,
    /// Threads of the bare process.
    #[arg(long, default_value_t = 1)]
    bare_threads: usize,
}

/// Why the measurement failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum RelayBenchError {
    /// {0}
    Child(#[from] ChildError),
    /// {0}
    Fleet(#[from] FleetError),
    /// input or output failed: {0}
    Io(#[from] std::io::Error),
    /// a stream ended after {got} of {expected} tokens
    Cut {
        /// Tokens that arrived.
        got: u32,
        /// Tokens that were written.
        expected: u32,
    },
}

/// Runs the measurement and prints a table and, as last line, one JSON object.
pub fn run(args: RelayArgs) -> ExitCode {
    crate::process::block_on("relay", measure(args))
}

/// Runs the instance's process.
pub fn run_node(args: RelayNodeArgs) -> ExitCode {
    node::run(args)
}

async fn measure(args: RelayArgs) -> Result<ExitCode, RelayBenchError> {
    let dir = tempfile::tempdir()?;
    let saturated = measure_saturated(&args, dir.path()).await?;
    let paced = measure_paced(&args, dir.path()).await?;
    let report = Report::new(&saturated, &paced);
    print!("{report}");
    Ok(ExitCode::SUCCESS)
}

/// What the saturated phase gave.
#[derive(Clone, Copy, Debug)]
struct Saturated {
    tokens: u64,
    cpu: Duration,
    wall: Duration,
}

/// What the paced phase gave.
#[derive(Debug)]
struct Paced {
    direct: PacedResult,
    relayed: PacedResult,
    tokens: u64,
    cpu: Duration,
}

async fn measure_saturated(args: &RelayArgs, dir: &Path) -> Result<Saturated, RelayBenchError> {
    let engine = EngineServer::start(Pace::Saturated, args.tokens).await?;
    let relay = Relaying::start(args, &[engine.address()], dir).await?;
    // The first requests open connections and fill caches.
    client::read_saturated(relay.address(), args.streams, 1, args.tokens).await?;
    let cpu = CpuClock::of(relay.pid())?;
    let start = std::time::Instant::now();
    client::read_saturated(relay.address(), args.streams, args.requests, args.tokens).await?;
    Ok(Saturated {
        tokens: args.streams as u64 * u64::from(args.requests) * u64::from(args.tokens),
        cpu: cpu.elapsed()?,
        wall: start.elapsed(),
    })
}

async fn measure_paced(args: &RelayArgs, dir: &Path) -> Result<Paced, RelayBenchError> {
    let mut engines = Vec::new();
    for number in 0..args.engines {
        let offset = STEP * u32::try_from(number).unwrap_or(0) / args.engines as u32;
        let pace = Pace::Steps {
            every: STEP,
            offset,
        };
        engines.push(EngineServer::start(pace, args.paced_tokens).await?);
    }
    let addresses: Vec<_> = engines.iter().map(EngineServer::address).collect();
    let relay = Relaying::start(args, &addresses, dir).await?;
    let cpu = CpuClock::of(relay.pid())?;
    let through = [relay.address()];
    let direct = client::read_paced(&addresses, args.paced_streams, args.paced_tokens);
    let relayed = client::read_paced(&through, args.paced_streams, args.paced_tokens);
    let (direct, relayed) = tokio::try_join!(direct, relayed)?;
    Ok(Paced {
        direct,
        relayed,
        tokens: args.paced_streams as u64 * u64::from(args.paced_tokens),
        cpu: cpu.elapsed()?,
    })
}
