//! Each failure alone and in pairs with every promise checked from outside.

use std::process::ExitCode;

/// Options of the command.
#[derive(Debug, clap::Args)]
pub struct FaultsArgs {}

/// Runs the command.
pub fn run(_args: FaultsArgs) -> ExitCode {
    eprintln!("oriolemux-bench faults: not there yet");
    ExitCode::FAILURE
}
