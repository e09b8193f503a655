//! Helpers for the commands of this binary and for the processes they start.

pub mod child;

use std::future::Future;
use std::process::ExitCode;

/// Threads of a command's runtime. A fleet is a dozen processes on one machine,
/// so each stays small.
const WORKER_THREADS: usize = 2;

/// Runs `future` on a runtime of its own and turns an error into a message and a failure code.
pub fn block_on<F, E>(name: &str, future: F) -> ExitCode
where
    F: Future<Output = Result<ExitCode, E>>,
    E: std::fmt::Display,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => match runtime.block_on(future) {
            Ok(code) => code,
            Err(error) => failed(name, &error),
        },
        Err(error) => failed(name, &error),
    }
}

fn failed(name: &str, error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("oriolemux-bench {name}: {error}");
    ExitCode::FAILURE
}
