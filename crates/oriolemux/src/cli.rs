//! The command line.
//!
//! Every command prints text or, with `--json`, JSON for programs, and ends with an [`ExitStatus`]
//! by which scripts can distinguish the results.

mod check;
mod client;
mod exit;
mod explain;
mod gateway;
mod operate;
mod report;
mod serve;

pub use exit::ExitStatus;

use clap::{Args, Parser, Subcommand};
use std::ffi::OsString;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

const AFTER_HELP: &str = "\
Exit codes:
  0  done
  1  findings in a checked file
  2  wrong command line
  3  the instance could not start
  4  a part of the instance failed for good
  5  the instance was told to stop at once, and cut off what was running
  6  the operators' listener could not be reached
  7  the operators' listener refused the key
  8  the instance does not know what was asked for";

/// Serves text generations of unknown length on crowded engines.
#[derive(Debug, Parser)]
#[command(name = "oriolemux", after_help = AFTER_HELP, disable_version_flag = true)]
struct Cli {
    /// Print JSON for programs instead of text for people.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run one instance until it is told to stop (SIGTERM; a second signal stops it at once).
    Serve(ServeArgs),
    /// Run one instance for HTTP entries on the users' platform until it is told to stop.
    Gateway(GatewayArgs),
    /// Check the text of settings and catalogue files and report every finding.
    Check(CheckArgs),
    /// Print the state of a running instance.
    Status(client::Target),
    /// Print why a request went as it did.
    Explain(ExplainArgs),
    /// Begin the planned stop of a running instance, as SIGTERM does.
    Drain(client::Target),
    /// Print the version.
    Version,
}

#[derive(Debug, Args)]
struct ServeArgs {
    /// The settings file of the instance.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Check the settings and the files with secrets as a start would, and exit.
    #[arg(long)]
    check: bool,
}

#[derive(Debug, Args)]
struct GatewayArgs {
    /// The settings file of the instance. The platform names it in the environment.
    #[arg(long, value_name = "FILE", env = "ORIOLEMUX_CONFIG")]
    settings: PathBuf,
    /// Check the settings and exit.
    #[arg(long)]
    check: bool,
}

#[derive(Debug, Args)]
struct CheckArgs {
    /// The files. What each holds is told from its tables.
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

#[derive(Debug, Args)]
struct ExplainArgs {
    /// The request's id, from the header `Oriolemux-Request` of its answer; with `--logs`,
    /// the caller's name of the attempt.
    request: String,
    /// Files with the log lines of gateways, `-` for standard input; they are read instead
    /// of asking an instance.
    #[arg(long, value_name = "FILE", num_args = 1.., conflicts_with_all = ["settings", "address"])]
    logs: Vec<PathBuf>,
    #[command(flatten)]
    target: client::Target,
}

/// The output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Output {
    Human,
    Json,
}

/// Runs the command line `args`, whose first item is the program's name.
pub fn main_with(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    run(args).into()
}

fn run(args: impl IntoIterator<Item = OsString>) -> ExitStatus {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(error) => {
            // There is nowhere to report that the terminal is closed.
            let _ = error.print();
            return match error.use_stderr() {
                true => ExitStatus::Usage,
                false => ExitStatus::Done,
            };
        }
    };
    let output = match cli.json {
        true => Output::Json,
        false => Output::Human,
    };
    match cli.command {
        Command::Serve(args) => serve::run(&args, output),
        Command::Gateway(args) => gateway::run(&args, output),
        Command::Check(args) => check::run(&args, output),
        Command::Status(target) => operate::status(&target, output),
        Command::Explain(args) if !args.logs.is_empty() => explain::run(&args, output),
        Command::Explain(args) => operate::explain(&args.target, &args.request, output),
        Command::Drain(target) => operate::drain(&target, output),
        Command::Version => version(output),
    }
}

fn version(output: Output) -> ExitStatus {
    let version = env!("CARGO_PKG_VERSION");
    match output {
        Output::Human => print_line(format_args!("oriolemux {version}")),
        Output::Json => print_json(&serde_json::json!({ "version": version })),
    }
    ExitStatus::Done
}

/// Prints a line on standard output. Its reader may stop early, as `head` does, which is not a
/// failure of the command.
fn print_line(line: impl std::fmt::Display) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Prints why a command failed. `eprintln!` would panic if standard error is closed, and the exit
/// code that a script expects would be lost.
fn print_error(error: &dyn std::error::Error) {
    let _ = writeln!(std::io::stderr(), "oriolemux: {error}");
}

fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => print_line(text),
        Err(error) => print_error(&error),
    }
}
