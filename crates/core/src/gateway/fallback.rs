//! The room at engines that one instance may take while no home answers.
//!
//! Without a home, instances do not know what the others take. If each of them used all the room
//! that its last view shows, ninety of them would choose the same few engines within milliseconds,
//! and overfill them. Each instance therefore takes only its share. The engines of a service are
//! divided among the live instances by their order, so that all instances compute the same division
//! without messages, and an engine that belongs to several instances is divided among as many of
//! them as can each place a generation there.
//!
//! What an instance took counts against its share until a home sends a new view, which includes it,
//! or until `REFILL_TIME` has passed.

use super::catalogue::EngineLimits;
use super::usage::Usage;
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// Part of an engine's free room that all instances together may take without a home. The rest is
/// for what was granted after the last view, and for instances that disagree for a moment about who
/// is live, so that two of them have the same share.
const FALLBACK_PART: f64 = 0.5;

/// Smallest share into which an engine's room is divided, as a part of its KV cache: the room of a
/// usual generation. Smaller shares would be of no use to anybody.
const SMALLEST_SHARE: f64 = 0.15;

/// How long room that was taken without a home counts against the share if no view arrives. Most
/// generations have ended by then.
const REFILL_TIME: Duration = Duration::from_secs(5);

/// The part of one engine that belongs to an instance: it is one of `owners` instances, and precedes
/// all but `rank` of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnginePart {
    rank: usize,
    owners: usize,
}

impl EnginePart {
    /// Returns the part of engine `engine` of `engines` that belongs to instance `instance` of
    /// `instances`; `None` if it belongs to others. Both are numbered in the same order everywhere.
    pub fn of(instance: usize, instances: usize, engine: usize, engines: usize) -> Option<Self> {
        if instances <= engines {
            let is_owner = engine % instances.max(1) == instance;
            return is_owner.then_some(EnginePart { rank: 0, owners: 1 });
        }
        let owners = (instances - engine).div_ceil(engines);
        let rank = instance / engines;
        (instance % engines == engine).then_some(EnginePart { rank, owners })
    }

    /// Returns whether `tokens` more may be taken of an engine. `used` is the usage by all instances
    /// as far as it is known, of which `taken` was taken without a home since the last view.
    pub fn allows(self, limits: EngineLimits, used: Usage, taken: Usage, tokens: u32) -> bool {
        if used == Usage::default() && self.rank == 0 {
            // An empty engine takes a generation of any size.
            return true;
        }
        let cache = f64::from(limits.kv_cache_tokens);
        let held = |usage: Usage| f64::from(usage.tokens) + f64::from(usage.copy_tokens);
        let free = (cache - held(used) + held(taken)) * FALLBACK_PART;
        let sharing = (free / (cache * SMALLEST_SHARE)) as usize;
        let sharing = sharing.clamp(1, self.owners);
        let running = f64::from(used.running.saturating_sub(taken.running));
        let slots = (f64::from(limits.slots) - running) * FALLBACK_PART;
        let share = |all: f64| all / sharing as f64;
        self.rank < sharing
            && held(taken) + f64::from(tokens) <= share(free)
            && f64::from(taken.running) + 1.0 <= share(slots).max(1.0)
    }
}

/// Room that was taken without a home.
#[derive(Clone, Copy, Debug)]
struct Taken {
    at: Time,
    service: u64,
    engine: EndpointKey,
    used: Usage,
}

/// What this instance took without a home and no view includes yet.
#[derive(Clone, Debug, Default)]
pub struct FallbackShares {
    taken: Vec<Taken>,
}

impl FallbackShares {
    /// Records what was taken of an engine.
    pub fn record(&mut self, now: Time, service: u64, engine: EndpointKey, used: Usage) {
        self.taken.retain(|it| now.since(it.at) < REFILL_TIME);
        self.taken.push(Taken {
            at: now,
            service,
            engine,
            used,
        });
    }

    /// Refills the shares of the engines of a service, because a home sent a new view.
    pub fn refill(&mut self, service: u64) {
        self.taken.retain(|it| it.service != service);
    }

    /// Returns what was taken of each engine of a service and counts against the share.
    pub fn taken(&self, now: Time, service: u64) -> BTreeMap<EndpointKey, Usage> {
        let mut taken: BTreeMap<EndpointKey, Usage> = BTreeMap::new();
        let counted = self.taken.iter().filter(|it| it.service == service);
        for it in counted.filter(|it| now.since(it.at) < REFILL_TIME) {
            let sum = taken.entry(it.engine).or_default();
            *sum = sum.plus(it.used);
        }
        taken
    }
}
