//! A stand-in for a model engine.

use std::process::ExitCode;

/// Options of the stand-in.
#[derive(Debug, clap::Args)]
pub struct EngineArgs {}

/// Runs the stand-in until the process is killed.
pub fn run(_args: EngineArgs) -> ExitCode {
    eprintln!("oriolemux-bench engine: not there yet");
    ExitCode::FAILURE
}
