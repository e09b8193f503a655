//! Engines that come and go, and the links between them.

use crate::engine_model::{EngineConfig, EngineModel};
use core::time::Duration;
use oriolemux_core::gateway::EndpointRecord;
use oriolemux_core::gateway::catalogue::EngineLimits;
use oriolemux_core::ids::EndpointKey;
use oriolemux_core::time::Time;
use rand::Rng;
use rand::rngs::StdRng;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Engines that run at once.
pub(super) const ENGINES: usize = 12;

/// The data centres that they stand in, by turns.
const DATA_CENTRES: [&str; 3] = ["north", "middle", "south"];

/// The time between two reclaims.
pub(super) const RECLAIM_EVERY: Duration = Duration::from_millis(3_300);

/// Engines that a reclaim takes.
pub(super) const RECLAIMED: usize = 2;

/// Shortest and longest notice before a reclaimed engine goes, in microseconds.
const NOTICE_US: (u64, u64) = (1_500_000, 2_100_000);

/// The share of reclaims of which nobody is told: engines crash, and the service that
/// tells of notices is away now and then.
const UNTOLD_SHARE: f64 = 0.1;

/// Bytes of one token's memory.
const TOKEN_BYTES: f64 = 262_144.0;

/// Bytes a second of an engine's link.
const LINK_BYTES: f64 = 38e9 / 8.0;

/// What every engine bears.
pub(super) const LIMITS: EngineLimits = EngineLimits {
    slots: 24,
    kv_cache_tokens: 34_240,
    standby_copies: true,
};

fn config() -> EngineConfig {
    EngineConfig {
        kv_blocks: 2_140,
        max_running: LIMITS.slots,
        base_step: Duration::from_millis(7),
        per_running: Duration::from_micros(120),
        per_prefill_token: Duration::from_micros(71),
        prefill_chunk: 112,
        ..EngineConfig::default()
    }
}

/// One engine's life.
pub(super) struct Engine {
    pub(super) key: EndpointKey,
    pub(super) record: EndpointRecord,
    pub(super) model: EngineModel,
    /// Whether its next step is in the agenda.
    pub(super) stepping: bool,
    /// When it will be gone, once that is decided; the oracle knows it from then on.
    pub(super) gone_at: Time,
    pub(super) is_gone: bool,
    link_free: Time,
}

/// All engines that ever were; a place in the vector is never used again.
pub(super) struct Engines {
    pub(super) all: Vec<Engine>,
    /// Bytes that were copied between engines.
    pub(super) moved_bytes: f64,
}

impl Engines {
    pub(super) fn new() -> Self {
        Engines {
            all: Vec::new(),
            moved_bytes: 0.0,
        }
    }

    /// Starts an engine; returns its index.
    pub(super) fn start(&mut self) -> usize {
        let index = self.all.len();
        let name = format!("e-{index}");
        let key = EndpointKey::of(&name);
        let record = EndpointRecord {
            name,
            service: "model".to_owned(),
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
            data_centre: DATA_CENTRES[index % DATA_CENTRES.len()].to_owned(),
            slots: LIMITS.slots,
            started_unix_ms: None,
            leaving: false,
            cold_for: Duration::ZERO,
        };
        self.all.push(Engine {
            key,
            record,
            model: EngineModel::new(config()),
            stepping: false,
            gone_at: Time::NEVER,
            is_gone: false,
            link_free: Time::ZERO,
        });
        index
    }

    pub(super) fn index_of(&self, key: EndpointKey) -> Option<usize> {
        let found = self.all.iter().position(|engine| engine.key == key);
        found.filter(|&index| !self.all[index].is_gone)
    }

    /// Takes a copy of `tokens` from one engine to another; returns when it is complete.
    /// Copies queue on both links, each by itself, and take twice as long between data
    /// centres.
    pub(super) fn transfer(&mut self, now: Time, from: usize, to: usize, tokens: u32) -> Time {
        let bytes = f64::from(tokens) * TOKEN_BYTES;
        let away = self.all[from].record.data_centre != self.all[to].record.data_centre;
        let seconds = bytes / LINK_BYTES * if away { 2.0 } else { 1.0 };
        let time = Duration::from_secs_f64(seconds);
        let mut done = now;
        for engine in [from, to] {
            let link_free = &mut self.all[engine].link_free;
            *link_free = (*link_free).max(now) + time;
            done = done.max(*link_free);
        }
        self.moved_bytes += bytes;
        done
    }
}

/// One engine that is taken away.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reclaim {
    pub(super) engine: usize,
    /// How long before it goes that is decided.
    pub(super) notice: Duration,
    /// Whether anybody is told before.
    pub(super) is_told: bool,
}

/// Draws the reclaims, the same under every way.
pub(super) struct Reclaims {
    rng: StdRng,
}

impl Reclaims {
    pub(super) fn new(rng: StdRng) -> Self {
        Reclaims { rng }
    }

    /// Draws which of the engines that are there go, and how.
    pub(super) fn draw(&mut self, there: &[usize]) -> Vec<Reclaim> {
        let mut left = there.to_vec();
        let mut taken = Vec::new();
        for _ in 0..RECLAIMED.min(left.len()) {
            let engine = left.swap_remove(self.rng.random_range(0..left.len()));
            let notice = self.rng.random_range(NOTICE_US.0..NOTICE_US.1);
            taken.push(Reclaim {
                engine,
                notice: Duration::from_micros(notice),
                is_told: self.rng.random::<f64>() >= UNTOLD_SHARE,
            });
        }
        taken
    }
}
