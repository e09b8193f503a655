//! A stand-in for a plain service: counts each execution, and can lose its
//! answer, answer for another attempt, refuse or stall when asked to.

mod routes;
mod state;

use crate::process::block_on;
use crate::standins::http::ANY_PORT;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

pub use state::{ServiceFault, ServiceRule};

/// Options of the stand-in service.
#[derive(Clone, Debug, clap::Args)]
pub struct ServiceArgs {
    /// The address to listen at.
    #[arg(long, default_value = ANY_PORT)]
    pub listen: SocketAddr,
    /// How long one call takes, in milliseconds.
    #[arg(long, default_value_t = 20)]
    pub call_ms: u64,
    /// The most calls that run at once; more wait.
    #[arg(long, default_value_t = 16)]
    pub max_running: u32,
    /// A file that every record is appended to, so that it survives a kill.
    #[arg(long)]
    pub journal: Option<PathBuf>,
}

/// Runs the stand-in until the process is killed.
pub fn run(args: ServiceArgs) -> ExitCode {
    block_on("service", routes::serve(args))
}

/// Returns the answer to a call with this body, so that a checker knows it.
pub fn answer(body: &str) -> String {
    format!("answer to {body}")
}
