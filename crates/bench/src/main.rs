//! The command line of the bench: one binary with all stand-ins, experiments
//! and a `node` command that runs the product itself, so that every experiment
//! can start real processes by executing its own file again.

use clap::{Parser, Subcommand};
use oriolemux_bench::{
    decide, demo, faults, node, policy, proxy, relay_bench, report, slopes, soak, standins, surge,
};
use std::process::ExitCode;

/// Stand-ins, load and experiments for oriolemux.
#[derive(Debug, Parser)]
#[command(name = "oriolemux-bench", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

/// What to run. Stand-ins print `listening ADDR` and run until they are killed.
#[derive(Debug, Subcommand)]
enum Command {
    /// Run a stand-in for a model engine.
    Engine(standins::engine::EngineArgs),
    /// Run a stand-in for a plain service.
    Service(standins::service::ServiceArgs),
    /// Run a stand-in for the platform's configuration service.
    Platform(standins::platform::PlatformArgs),
    /// Run the fault-injecting TCP proxy.
    Proxy(proxy::ProxyArgs),
    /// Run the product's own command line with the arguments that follow.
    Node(node::NodeArgs),
    /// Start a small fleet, send it short and long requests, and explain each route.
    Demo(demo::DemoArgs),
    /// Run each failure alone and in pairs, and check every promise from outside.
    Faults(faults::FaultsArgs),
    /// Compare policies of placement side by side in virtual time.
    Policy(policy::PolicyArgs),
    /// Let faults strike gateways on the platform's stand-in, and check every promise.
    Soak(soak::SoakArgs),
    /// Draw one page of plots from what the experiments wrote.
    Report(report::ReportArgs),
    /// Measure how control costs grow with each driver.
    Slopes(slopes::SlopesArgs),
    /// Send an hour turn through real processes, and past them.
    Surge(surge::SurgeArgs),
    /// Measure what a decision costs, by queued requests and endpoints.
    Decide(decide::DecideArgs),
    /// Measure what relaying a token costs, in processor time and latency.
    Relay(relay_bench::RelayArgs),
    /// The relaying process of `relay`.
    #[command(hide = true)]
    RelayNode(relay_bench::RelayNodeArgs),
}

fn main() -> ExitCode {
    oriolemux_bench::process::child::guard();
    match Cli::parse().command {
        Command::Engine(args) => standins::engine::run(args),
        Command::Service(args) => standins::service::run(args),
        Command::Platform(args) => standins::platform::run(args),
        Command::Proxy(args) => proxy::run(args),
        Command::Node(args) => node::run(args),
        Command::Demo(args) => demo::run(args),
        Command::Faults(args) => faults::run(args),
        Command::Policy(args) => policy::run(args),
        Command::Surge(args) => surge::run(args),
        Command::Decide(args) => decide::run(args),
        Command::Relay(args) => relay_bench::run(args),
        Command::RelayNode(args) => relay_bench::run_node(args),
        Command::Soak(args) => soak::run(args),
        Command::Slopes(args) => slopes::run(args),
        Command::Report(args) => report::run(args),
    }
}
