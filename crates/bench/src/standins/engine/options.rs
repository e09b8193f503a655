//! Options of the stand-in engine.

use crate::standins::http::ANY_PORT;
use crate::standins::text::Sampling;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Options of the stand-in engine.
#[derive(Clone, Debug, clap::Args)]
pub struct EngineArgs {
    /// The address to listen at.
    #[arg(long, default_value = ANY_PORT)]
    pub listen: SocketAddr,
    /// A model that is loaded from the start, as NAME or NAME@VERSION.
    #[arg(long = "model", default_value = "tailor")]
    pub models: Vec<String>,
    /// An adapter that is loaded from the start for every model.
    #[arg(long = "adapter")]
    pub adapters: Vec<String>,
    /// Tokens of KV memory.
    #[arg(long, default_value_t = 16_384)]
    pub kv_tokens: u64,
    /// The most generations that run at once.
    #[arg(long, default_value_t = 64)]
    pub max_running: u32,
    /// Time of one decoding step, in milliseconds, before scaling.
    #[arg(long, default_value_t = 30.0)]
    pub step_ms: f64,
    /// Tokens of prompt that are computed in one step.
    #[arg(long, default_value_t = 2_048)]
    pub prefill_tokens: u32,
    /// Runs this many times faster than the times above say.
    #[arg(long, default_value_t = 1.0)]
    pub time_scale: f64,
    /// Whether a replay of the same prompt gives the same text.
    #[arg(long, value_enum, default_value_t)]
    pub sampling: Sampling,
    /// What is done with orders that carry an old fencing number.
    #[arg(long, value_enum, default_value_t)]
    pub fencing: Fencing,
    /// Age of the figures in a load report, in milliseconds.
    #[arg(long, default_value_t = 200)]
    pub lag_ms: u32,
    /// How long a generation goes on when nobody listens, in milliseconds.
    #[arg(long, default_value_t = 5_000)]
    pub grace_ms: u64,
    /// How long finished text is kept, in milliseconds.
    #[arg(long, default_value_t = 30_000)]
    pub keep_ms: u64,
    /// How long loading a model takes, in milliseconds.
    #[arg(long, default_value_t = 1_000)]
    pub load_ms: u64,
    /// A file that every record is appended to, so that it survives a kill.
    #[arg(long)]
    pub journal: Option<PathBuf>,
}

impl EngineArgs {
    /// Returns the time of one decoding step after scaling.
    pub fn step(&self) -> Duration {
        Duration::from_secs_f64(self.step_ms / 1_000.0 / self.time_scale)
    }
}

/// What an endpoint does with orders that carry an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Fencing {
    /// It refuses them.
    #[default]
    Checked,
    /// It reads the number and carries the order out all the same.
    Ignored,
    /// It does not look at the number at all, nor at who orders.
    Unchecked,
}
