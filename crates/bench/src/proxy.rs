//! A fault-injecting TCP proxy.

use std::process::ExitCode;

/// Options of the command.
#[derive(Debug, clap::Args)]
pub struct ProxyArgs {}

/// Runs the command.
pub fn run(_args: ProxyArgs) -> ExitCode {
    eprintln!("oriolemux-bench proxy: not there yet");
    ExitCode::FAILURE
}
