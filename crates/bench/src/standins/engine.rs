//! A stand-in for a model engine: continuous batching, limited KV memory,
//! preemption, resumption, cancellation, lagging load reports and orders, with
//! faults that can be asked for at run time.

pub mod admission;
pub mod cache;
pub mod fault;
pub mod generation;
pub mod options;
pub mod orders;
pub mod routes;
pub mod state;
pub mod stream;

pub use options::EngineArgs;

use crate::process::block_on;
use std::process::ExitCode;

/// Runs the stand-in until the process is killed.
pub fn run(args: EngineArgs) -> ExitCode {
    block_on("engine", routes::serve(args))
}
