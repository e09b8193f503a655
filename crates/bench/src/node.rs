//! Runs the product's own command line inside the bench's binary.

use std::ffi::OsString;
use std::process::ExitCode;

/// Arguments of `oriolemux-bench node`.
#[derive(Debug, clap::Args)]
pub struct NodeArgs {
    /// Handed to the product's command line as they are.
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    args: Vec<OsString>,
}

/// Runs the product with the arguments given.
pub fn run(_args: NodeArgs) -> ExitCode {
    eprintln!("oriolemux-bench: the product's command line is not there yet");
    ExitCode::FAILURE
}
