//! A stand-in for a plain service.

use std::process::ExitCode;

/// Options of the stand-in.
#[derive(Debug, clap::Args)]
pub struct ServiceArgs {}

/// Runs the stand-in until the process is killed.
pub fn run(_args: ServiceArgs) -> ExitCode {
    eprintln!("oriolemux-bench service: not there yet");
    ExitCode::FAILURE
}
