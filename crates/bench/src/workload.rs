//! Seeded mixes of requests for both users, through hour turns.
//!
//! A mix is one user's entries, classes, workspaces and fleet with one kind of
//! output lengths. The same mix and seed give the same requests, so that every
//! policy of an experiment meets the same arrivals. `docs/design/experiments.md`
//! says how the rates were chosen.

mod arrivals;
mod lengths;
mod users;

pub use arrivals::generate;

use crate::engine_model::EngineConfig;
use core::time::Duration;
use oriolemux_core::time::Time;

/// The time before the first hour turn.
pub const LEAD_IN: Duration = Duration::from_secs(600);
/// The time between two hour turns.
pub const HOUR: Duration = Duration::from_secs(3_600);
/// The time constant with which a surge dies away after its hour turn.
pub const SURGE_DECAY: Duration = Duration::from_secs(45);
/// Prompt tokens that one prefix hash stands for.
pub const PREFIX_BLOCK_TOKENS: u32 = 64;

/// Whose requests a mix has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, clap::ValueEnum)]
pub enum User {
    /// Tailoring plans, crest and sizing lists, fabric checks, stock lookups.
    SavannahThreads,
    /// Rights reports, clearance notes, verse verdicts, clerk screens.
    QafsaLyricworks,
}

impl User {
    /// Returns the stable name used in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            User::SavannahThreads => "savannah",
            User::QafsaLyricworks => "qafsa",
        }
    }
}

/// What the output lengths of a mix look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, clap::ValueEnum)]
pub enum Lengths {
    /// Log-normal and narrow.
    Light,
    /// A wide log-normal with a Pareto tail.
    Heavy,
    /// Log-normal; long outputs double at the second hour turn.
    Drifting,
}

impl Lengths {
    /// Returns the stable name used in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Lengths::Light => "light",
            Lengths::Heavy => "heavy",
            Lengths::Drifting => "drifting",
        }
    }
}

/// One user's requests with one kind of lengths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Mix {
    /// Whose requests.
    pub user: User,
    /// How long their outputs are.
    pub lengths: Lengths,
}

impl Mix {
    /// Every mix, in the order of the tables.
    pub const ALL: [Mix; 6] = [
        Mix::new(User::SavannahThreads, Lengths::Light),
        Mix::new(User::SavannahThreads, Lengths::Heavy),
        Mix::new(User::SavannahThreads, Lengths::Drifting),
        Mix::new(User::QafsaLyricworks, Lengths::Light),
        Mix::new(User::QafsaLyricworks, Lengths::Heavy),
        Mix::new(User::QafsaLyricworks, Lengths::Drifting),
    ];

    /// Returns the mix of `user` with `lengths`.
    pub const fn new(user: User, lengths: Lengths) -> Self {
        Mix { user, lengths }
    }

    /// Returns the user's classes; [`EntrySpec::class`] indexes them.
    pub fn classes(self) -> &'static [ClassSpec] {
        &users::CLASSES
    }

    /// Returns the user's entries for models; [`Request::entry`] indexes them.
    pub fn entries(self) -> &'static [EntrySpec] {
        users::entries(self.user)
    }

    /// Returns the user's plain service.
    pub fn service(self) -> &'static ServiceSpec {
        users::service(self.user)
    }

    /// Returns the user's workspaces; [`Request::workspace`] indexes them.
    pub fn workspaces(self) -> &'static [WorkspaceSpec] {
        users::workspaces(self.user)
    }

    /// Returns the user's data centres; [`Request::data_centre`] indexes them.
    pub fn data_centres(self) -> &'static [DataCentreSpec] {
        users::data_centres(self.user)
    }

    /// Returns how every model worker of the experiments behaves.
    pub fn engine(self) -> EngineConfig {
        EngineConfig {
            kv_blocks: 3_000,
            prefill_chunk: 256,
            cache_blocks: 96,
            prefix_block_tokens: PREFIX_BLOCK_TOKENS,
            ..EngineConfig::default()
        }
    }
}

impl core::fmt::Display for Mix {
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        write!(f, "{}-{}", self.user.as_str(), self.lengths.as_str())
    }
}

/// What a class of the catalogue asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSpec {
    /// The class's name.
    pub name: &'static str,
    /// How urgent; 0 is the most urgent.
    pub urgency: u8,
    /// First token within this time of arrival.
    pub wait_target: Duration,
    /// Work that cannot start within this time is refused.
    pub longest_wait: Duration,
    /// The whole answer within this time of arrival.
    pub completion_target: Duration,
    /// The next token within this time of the one before.
    pub inter_token_target: Duration,
}

/// An entry of the catalogue that names a model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntrySpec {
    /// The entry's name.
    pub name: &'static str,
    /// Index into [`Mix::classes`].
    pub class: usize,
    /// Requests a second between surges.
    pub base_rate: f64,
    /// Requests that each hour turn brings on top, on average.
    pub surge: f64,
    /// Median prompt, in tokens; log-normal around it.
    pub prompt_median: f64,
    /// Blocks of [`PREFIX_BLOCK_TOKENS`] that the prompts of one workspace share.
    pub shared_blocks: u32,
    /// Median output, in tokens, with light-tailed lengths.
    pub output_median: f64,
    /// The most tokens that callers ask for.
    pub max_tokens: u32,
    /// Whether heavy tails and drift apply.
    pub long: bool,
}

/// A plain service with its calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The entry's name.
    pub name: &'static str,
    /// Workers that serve it.
    pub workers: u32,
    /// Calls a second between surges.
    pub base_rate: f64,
    /// Calls that each hour turn brings on top, on average.
    pub surge: f64,
    /// Median time of one call at a worker.
    pub median_time: Duration,
}

/// A workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceSpec {
    /// The workspace's name.
    pub name: &'static str,
    /// Its part of all requests; parts add up to 1.
    pub share: f64,
    /// Its long outputs against the entry's median; a ratio.
    pub output_scale: f64,
}

/// A data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DataCentreSpec {
    /// The data centre's name.
    pub name: &'static str,
    /// Model workers there.
    pub engines: usize,
    /// Its part of all arrivals; parts add up to 1.
    pub share: f64,
}

/// One generation that a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Index into the workload's requests.
    pub id: u64,
    /// When it arrives.
    pub at: Time,
    /// Index into [`Mix::data_centres`]: where it arrives.
    pub data_centre: usize,
    /// Index into [`Mix::workspaces`].
    pub workspace: usize,
    /// Index into [`Mix::entries`].
    pub entry: usize,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's shared leading blocks.
    pub prefix: Vec<u64>,
    /// The most tokens that the caller asks for.
    pub max_tokens: u32,
    /// The true length, which no policy but the oracle may read.
    pub output_tokens: u32,
}

/// One call of the plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// When it arrives.
    pub at: Time,
    /// Index into [`Mix::data_centres`].
    pub data_centre: usize,
    /// Index into [`Mix::workspaces`].
    pub workspace: usize,
    /// How long a worker takes for it.
    pub time: Duration,
}

/// What arrives in one experiment, by time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workload {
    /// Generations.
    pub requests: Vec<Request>,
    /// Calls of the plain service.
    pub calls: Vec<Call>,
    /// When arrivals end.
    pub end: Time,
}

/// Returns when hour turn `turn` (from 0) is.
pub fn hour_turn(turn: u32) -> Time {
    Time::ZERO + LEAD_IN + HOUR * turn
}
