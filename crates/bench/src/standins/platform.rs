//! A stand-in for the platform's configuration service: values with
//! revisions, long-poll watches and a count of every call. It can be down,
//! silent, slow or stale when asked to, and only its admin routes write.

mod routes;
mod state;

use crate::process::block_on;
use crate::standins::http::ANY_PORT;
use std::net::SocketAddr;
use std::process::ExitCode;

pub use state::{Calls, Mode};

/// Options of the stand-in platform.
#[derive(Clone, Debug, clap::Args)]
pub struct PlatformArgs {
    /// The address to listen at.
    #[arg(long, default_value = ANY_PORT)]
    pub listen: SocketAddr,
    /// How long a read takes, in milliseconds.
    #[arg(long, default_value_t = 2)]
    pub read_ms: u64,
    /// How long a watch waits for something newer, in milliseconds.
    #[arg(long, default_value_t = 25_000)]
    pub watch_ms: u64,
}

/// Runs the stand-in until the process is killed.
pub fn run(args: PlatformArgs) -> ExitCode {
    block_on("platform", routes::serve(args))
}
