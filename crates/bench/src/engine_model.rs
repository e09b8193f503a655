//! One small model engine in virtual time, deterministic and without I/O.
//!
//! The model has what makes placement hard and nothing else: continuous
//! batching, KV memory in blocks, preemption with recompute when the memory
//! fills up mid-decode, priorities, a prefix cache in limited memory and a load
//! report that lags. The experiments run it in virtual time; the stand-in
//! engine runs it against a real clock.
//!
//! Memory of the prefix cache is apart from the memory of running generations;
//! a hit saves prefill time only.
//!
//! # How to drive it
//!
//! After [`EngineModel::submit`] or [`EngineModel::cancel`] and whenever the
//! time that the last call returned is reached, call [`EngineModel::step`].
//! A call before that time changes nothing.

mod cache;
mod reports;
mod schedule;

use cache::PrefixCache;
use core::time::Duration;
use oriolemux_core::event::LoadReport;
use oriolemux_core::time::Time;
use reports::ReportHistory;
use std::collections::BTreeMap;

/// How one engine behaves. Build it with [`EngineConfig::default`] and the `with_` methods.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineConfig {
    /// Tokens in one block of KV memory.
    pub block_tokens: u32,
    /// Blocks of KV memory for running generations.
    pub kv_blocks: u32,
    /// The most generations that run at once.
    pub max_running: u32,
    /// Time of a step that does nothing else.
    pub base_step: Duration,
    /// Time that each decoding generation adds to a step.
    pub per_running: Duration,
    /// Time that each prefilled prompt token adds to a step.
    pub per_prefill_token: Duration,
    /// The most prompt tokens prefilled in one step.
    pub prefill_chunk: u32,
    /// Prefix blocks that the cache holds.
    pub cache_blocks: u32,
    /// Prompt tokens that one prefix hash stands for.
    pub prefix_block_tokens: u32,
    /// Age of the figures in a load report.
    pub report_lag: Duration,
}

impl Default for EngineConfig {
    /// An engine of 64,000 KV tokens that takes 20 ms a step when 32 generations run.
    fn default() -> Self {
        EngineConfig {
            block_tokens: 16,
            kv_blocks: 4_000,
            max_running: 64,
            base_step: Duration::from_micros(12_000),
            per_running: Duration::from_micros(250),
            per_prefill_token: Duration::from_micros(40),
            prefill_chunk: 512,
            cache_blocks: 512,
            prefix_block_tokens: 64,
            report_lag: Duration::from_millis(500),
        }
    }
}

impl EngineConfig {
    /// Sets the blocks of KV memory.
    pub fn with_kv_blocks(mut self, blocks: u32) -> Self {
        self.kv_blocks = blocks;
        self
    }

    /// Sets the most generations that run at once.
    pub fn with_max_running(mut self, max: u32) -> Self {
        self.max_running = max;
        self
    }

    /// Sets the prefix blocks that the cache holds.
    pub fn with_cache_blocks(mut self, blocks: u32) -> Self {
        self.cache_blocks = blocks;
        self
    }

    /// Sets the age of the figures in a load report.
    pub fn with_report_lag(mut self, lag: Duration) -> Self {
        self.report_lag = lag;
        self
    }

    /// Sets the time of a step: `base`, and `per_running` for each decoding generation.
    pub fn with_step_time(mut self, base: Duration, per_running: Duration) -> Self {
        self.base_step = base;
        self.per_running = per_running;
        self
    }

    /// Sets the time that each prompt token takes.
    pub fn with_prefill_time(mut self, per_token: Duration) -> Self {
        self.per_prefill_token = per_token;
        self
    }

    /// Returns the blocks that `tokens` tokens of context take.
    pub fn blocks_for(&self, tokens: u32) -> u32 {
        tokens.div_ceil(self.block_tokens)
    }

    /// Returns the tokens that fit into KV memory.
    pub fn kv_tokens(&self) -> u32 {
        self.kv_blocks * self.block_tokens
    }
}

/// One generation as the engine is asked for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Job {
    /// Names the job in events; unique among the jobs that the engine holds.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's leading blocks of
    /// [`EngineConfig::prefix_block_tokens`] tokens each.
    pub prefix: Vec<u64>,
    /// True length of the output, at least 1; known to the model only.
    pub output_tokens: u32,
    /// 0 is the most urgent.
    pub priority: u8,
    /// Tokens of the output that were made at another engine.
    pub made: u32,
    /// Context tokens whose memory is here already, under the job's id ([`EngineModel::hold`]).
    pub present: u32,
}

/// Why a job was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SubmitError {
    /// the prompt of {prompt_tokens} tokens does not fit into KV memory of {kv_tokens} tokens
    TooLarge {
        /// Tokens of the prompt.
        prompt_tokens: u32,
        /// Tokens that fit.
        kv_tokens: u32,
    },
}

/// Something that happened in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// A token was generated.
    Token {
        /// The job.
        id: u64,
        /// Counts the job's tokens from 0.
        index: u32,
        /// When.
        at: Time,
    },
    /// The job ended; its last token came just before.
    Finished {
        /// The job.
        id: u64,
        /// Tokens generated.
        tokens: u32,
        /// Whether the output was cut because KV memory could not hold more.
        truncated: bool,
        /// When.
        at: Time,
    },
    /// The job lost its memory and waits to be computed again.
    Preempted {
        /// The job.
        id: u64,
        /// When.
        at: Time,
    },
    /// The prefix cache stored a block.
    CacheStored {
        /// The block's hash.
        hash: u64,
    },
    /// The prefix cache evicted a block.
    CacheEvicted {
        /// The block's hash.
        hash: u64,
    },
}

/// Orders jobs: most urgent first, then the order of submission.
type Rank = (u8, u64);

/// A job that the engine holds.
///
/// Invariant: `generated < output` while the job is held.
#[derive(Clone, Debug)]
struct Held {
    id: u64,
    rank: Rank,
    prompt: u32,
    prefix: Vec<u64>,
    output: u32,
    truncated: bool,
    generated: u32,
    /// Context tokens whose memory came from another engine.
    present: u32,
    /// Context tokens still to be prefilled; 0 while decoding.
    prefill_left: u32,
    /// KV blocks held; 0 while waiting.
    blocks: u32,
    /// Takes part in the step that is under way.
    in_step: bool,
}

impl Held {
    fn context(&self) -> u32 {
        self.prompt + self.generated
    }
}

/// The model of one engine.
///
/// Invariants: the blocks of the running jobs and of the copies that are held add up to
/// `used_blocks`, which never exceeds [`EngineConfig::kv_blocks`]; `running` is sorted by rank and
/// never longer than [`EngineConfig::max_running`].
#[derive(Clone, Debug)]
pub struct EngineModel {
    cfg: EngineConfig,
    running: Vec<Held>,
    waiting: BTreeMap<Rank, Held>,
    used_blocks: u32,
    /// Blocks held for copies of jobs that run elsewhere, by the job's id.
    held_copies: BTreeMap<u64, u32>,
    next_seq: u64,
    preemptions: u64,
    step_end: Option<Time>,
    cache: PrefixCache,
    reports: ReportHistory,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(cfg: EngineConfig) -> Self {
        EngineModel {
            cache: PrefixCache::new(cfg.cache_blocks as usize),
            reports: ReportHistory::new(cfg.report_lag),
            cfg,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            used_blocks: 0,
            held_copies: BTreeMap::new(),
            next_seq: 0,
            preemptions: 0,
            step_end: None,
        }
    }

    /// Returns how the engine behaves.
    pub fn config(&self) -> &EngineConfig {
        &self.cfg
    }

    /// Queues a job; it takes part from the next step on. An output that memory
    /// could not hold even alone is cut to what fits.
    ///
    /// # Errors
    ///
    /// Fails if the prompt does not fit into KV memory.
    pub fn submit(&mut self, now: Time, job: Job) -> Result<(), SubmitError> {
        let kv_tokens = self.cfg.kv_tokens();
        if job.prompt_tokens >= kv_tokens {
            return Err(SubmitError::TooLarge {
                prompt_tokens: job.prompt_tokens,
                kv_tokens,
            });
        }
        let wanted = job.output_tokens.max(1);
        let output = wanted.min(kv_tokens - job.prompt_tokens);
        let rank = (job.priority, self.next_seq);
        self.next_seq += 1;
        let held = Held {
            id: job.id,
            rank,
            prompt: job.prompt_tokens,
            prefix: job.prefix,
            output,
            truncated: output < wanted,
            generated: job.made,
            present: job.present,
            prefill_left: 0,
            blocks: 0,
            in_step: false,
        };
        self.waiting.insert(rank, held);
        self.record(now);
        Ok(())
    }

    /// Holds memory for a copy of `tokens` of a job that runs elsewhere, in place of what
    /// was held for it. Returns whether there was room; without, nothing changes.
    pub fn hold(&mut self, id: u64, tokens: u32) -> bool {
        let blocks = self.cfg.blocks_for(tokens);
        let before = self.held_copies.get(&id).copied().unwrap_or(0);
        if self.used_blocks - before + blocks > self.cfg.kv_blocks {
            return false;
        }
        self.used_blocks = self.used_blocks - before + blocks;
        self.held_copies.insert(id, blocks);
        true
    }

    /// Frees what is held for a copy of a job.
    pub fn let_go(&mut self, id: u64) {
        if let Some(blocks) = self.held_copies.remove(&id) {
            self.used_blocks -= blocks;
        }
    }

    /// Returns the context tokens that a running job has in memory; nothing if it waits
    /// or is not here.
    pub fn context_of(&self, id: u64) -> Option<u32> {
        let job = self.running.iter().find(|job| job.id == id)?;
        (job.prefill_left == 0).then(|| job.context())
    }

    /// Drops a job and frees its memory at once. Returns whether the engine held it.
    pub fn cancel(&mut self, now: Time, id: u64) -> bool {
        let found = if let Some(at) = self.running.iter().position(|job| job.id == id) {
            let job = self.running.remove(at);
            self.used_blocks -= job.blocks;
            true
        } else {
            let rank = self.waiting.values().find(|job| job.id == id);
            let rank = rank.map(|job| job.rank);
            rank.is_some_and(|rank| self.waiting.remove(&rank).is_some())
        };
        self.record(now);
        found
    }

    /// Ends the step that is due and starts the next one. Pushes what happened
    /// to `out` and returns when the step under way ends; `None` if idle.
    pub fn step(&mut self, now: Time, out: &mut Vec<EngineEvent>) -> Option<Time> {
        if let Some(end) = self.step_end {
            if now < end {
                return Some(end);
            }
            schedule::finish_step(self, end, out);
        }
        self.step_end = schedule::begin_step(self, now, out);
        self.record(now);
        self.step_end
    }

    /// Returns when the step under way ends, or `now` if waiting work could start one.
    pub fn next_step(&self, now: Time) -> Option<Time> {
        match self.step_end {
            Some(end) => Some(end),
            None if self.waiting.is_empty() => None,
            None => Some(now),
        }
    }

    /// Returns the load as it was [`EngineConfig::report_lag`] before `now`.
    /// Models, leaving and fencing are left for the caller to fill in.
    pub fn report(&mut self, now: Time) -> LoadReport {
        let past = self.reports.at(now);
        LoadReport {
            lag_ms: u32::try_from(self.cfg.report_lag.as_millis()).unwrap_or(u32::MAX),
            running: past.running,
            waiting: past.waiting,
            kv_tokens_total: u64::from(self.cfg.kv_tokens()),
            kv_tokens_used: u64::from(past.used_blocks) * u64::from(self.cfg.block_tokens),
            max_running: self.cfg.max_running,
            preemptions: past.preemptions,
            ..LoadReport::default()
        }
    }

    /// Returns how many jobs run now.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many jobs wait now, preempted ones included.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the blocks of KV memory in use now.
    pub fn used_blocks(&self) -> u32 {
        self.used_blocks
    }

    /// Returns the preemptions so far.
    pub fn preemptions(&self) -> u64 {
        self.preemptions
    }

    fn record(&mut self, now: Time) {
        let load = reports::Load {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            used_blocks: self.used_blocks,
            preemptions: self.preemptions,
        };
        self.reports.push(now, load);
    }
}
