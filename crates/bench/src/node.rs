//! Runs the product's own command line inside the bench's binary.

use std::ffi::OsString;
use std::process::ExitCode;

/// The program's name as the product's command line shows it.
const PROGRAM: &str = "oriolemux";

/// Arguments of `oriolemux-bench node`.
#[derive(Debug, clap::Args)]
pub struct NodeArgs {
    /// Handed to the product's command line as they are.
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    args: Vec<OsString>,
}

/// Runs the product with the arguments given.
pub fn run(args: NodeArgs) -> ExitCode {
    let program = OsString::from(PROGRAM);
    oriolemux::cli::main_with(std::iter::once(program).chain(args.args))
}
