//! A stand-in for the platform's configuration service.

use std::process::ExitCode;

/// Options of the stand-in.
#[derive(Debug, clap::Args)]
pub struct PlatformArgs {}

/// Runs the stand-in until the process is killed.
pub fn run(_args: PlatformArgs) -> ExitCode {
    eprintln!("oriolemux-bench platform: not there yet");
    ExitCode::FAILURE
}
