//! Options of the stand-in engine.

use crate::engine_model::EngineConfig;
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
    #[arg(long, default_value_t = 20.0)]
    pub step_ms: f64,
    /// Time that each running generation adds to a step, in microseconds, before scaling.
    #[arg(long, default_value_t = 250)]
    pub per_running_us: u64,
    /// Time that each token of a prompt takes, in microseconds, before scaling.
    #[arg(long, default_value_t = 40)]
    pub prefill_us: u64,
    /// Blocks of prompt prefixes that the cache holds.
    #[arg(long, default_value_t = 512)]
    pub cache_blocks: u32,
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
    /// Returns how the model of the engine behaves.
    pub fn model_config(&self) -> EngineConfig {
        let base = Duration::from_secs_f64(self.step_ms / 1_000.0);
        let per_running = Duration::from_micros(self.per_running_us);
        let lag = Duration::from_millis(self.lag_ms.into()).mul_f64(self.time_scale);
        let cfg = EngineConfig::default();
        let blocks = self.kv_tokens / u64::from(cfg.block_tokens);
        cfg.with_kv_blocks(u32::try_from(blocks).unwrap_or(u32::MAX).max(1))
            .with_max_running(self.max_running)
            .with_cache_blocks(self.cache_blocks)
            .with_report_lag(lag)
            .with_step_time(base, per_running)
            .with_prefill_time(Duration::from_micros(self.prefill_us))
    }

    /// Returns the tokens of KV memory, in whole blocks.
    pub fn kv_tokens(&self) -> u32 {
        self.model_config().kv_tokens()
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
