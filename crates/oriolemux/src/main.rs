//! The oriolemux binary; [`oriolemux::cli`] is its command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    oriolemux::cli::main_with(std::env::args_os())
}
