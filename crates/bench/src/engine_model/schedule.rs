//! The passes of one engine step: grow, admit, prefill; then emit tokens.

use super::{EngineEvent, EngineModel, Held};
use oriolemux_core::time::Time;

/// Starts a step at `now`; returns when it ends, or `None` if nothing can run.
pub(super) fn begin_step(
    engine: &mut EngineModel,
    now: Time,
    out: &mut Vec<EngineEvent>,
) -> Option<Time> {
    grow(engine, now, out);
    admit(engine);
    if engine.running.is_empty() {
        return None;
    }
    let prefilled = prefill(engine);
    let decoding = engine.running.iter().filter(|job| job.in_step).count() as u32;
    let cfg = &engine.cfg;
    let time = cfg.base_step + cfg.per_running * decoding + cfg.per_prefill_token * prefilled;
    Some(now + time)
}

/// Ends the step at `at`: every job that took part gets one token.
pub(super) fn finish_step(engine: &mut EngineModel, at: Time, out: &mut Vec<EngineEvent>) {
    for job in engine.running.iter_mut().filter(|job| job.in_step) {
        job.in_step = false;
        if job.generated == 0 {
            store_prefix(&mut engine.cache, &job.prefix, out);
        }
        out.push(EngineEvent::Token {
            id: job.id,
            index: job.generated,
            at,
        });
        job.generated += 1;
        if job.generated == job.output {
            engine.used_blocks -= job.blocks;
            out.push(EngineEvent::Finished {
                id: job.id,
                tokens: job.generated,
                truncated: job.truncated,
                at,
            });
        }
    }
    engine.running.retain(|job| job.generated < job.output);
}

/// Gives each decoding job room for its next token, the most urgent first.
/// When memory is full, the least urgent and youngest job loses its own.
fn grow(engine: &mut EngineModel, now: Time, out: &mut Vec<EngineEvent>) {
    let mut at = 0;
    while at < engine.running.len() {
        let job = &engine.running[at];
        let needed = engine.cfg.blocks_for(job.context() + 1);
        if needed <= job.blocks {
            at += 1;
        } else if engine.used_blocks < engine.cfg.kv_blocks {
            engine.running[at].blocks += 1;
            engine.used_blocks += 1;
        } else {
            preempt_last(engine, now, out);
        }
    }
    debug_assert!(engine.used_blocks <= engine.cfg.kv_blocks);
}

/// Takes the memory of the last job by rank and lets it wait again.
fn preempt_last(engine: &mut EngineModel, now: Time, out: &mut Vec<EngineEvent>) {
    let Some(mut victim) = engine.running.pop() else {
        return;
    };
    engine.used_blocks -= victim.blocks;
    engine.preemptions += 1;
    victim.blocks = 0;
    victim.present = 0;
    victim.prefill_left = 0;
    out.push(EngineEvent::Preempted {
        id: victim.id,
        at: now,
    });
    engine.waiting.insert(victim.rank, victim);
}

/// Moves waiting jobs in, most urgent first, until one does not fit.
fn admit(engine: &mut EngineModel) {
    while engine.running.len() < engine.cfg.max_running as usize
        && let Some(entry) = engine.waiting.first_entry()
    {
        let needed = engine.cfg.blocks_for(entry.get().context() + 1);
        if engine.used_blocks + needed > engine.cfg.kv_blocks {
            break;
        }
        let mut job = entry.remove();
        job.blocks = needed;
        job.prefill_left = prefill_after_cache(engine, &job);
        engine.used_blocks += needed;
        let at = engine
            .running
            .partition_point(|other| other.rank < job.rank);
        engine.running.insert(at, job);
    }
}

/// Returns the context tokens that the prefix cache does not spare; at least 1.
fn prefill_after_cache(engine: &mut EngineModel, job: &Held) -> u32 {
    let hits = engine.cache.hit(&job.prefix) as u32;
    let spared = (hits * engine.cfg.prefix_block_tokens).min(job.prompt);
    let spared = spared.max(job.present).min(job.context());
    (job.context() - spared).max(1)
}

/// Spends the step's chunk on jobs that are not prefilled yet, most urgent
/// first, and marks the jobs that get a token. Returns the tokens prefilled.
fn prefill(engine: &mut EngineModel) -> u32 {
    let mut budget = engine.cfg.prefill_chunk;
    for job in &mut engine.running {
        let part = job.prefill_left.min(budget);
        job.prefill_left -= part;
        budget -= part;
        job.in_step = job.prefill_left == 0;
    }
    engine.cfg.prefill_chunk - budget
}

fn store_prefix(cache: &mut super::PrefixCache, prefix: &[u64], out: &mut Vec<EngineEvent>) {
    for &hash in prefix {
        let (stored, evicted) = cache.store(hash);
        if let Some(hash) = evicted {
            out.push(EngineEvent::CacheEvicted { hash });
        }
        if stored {
            out.push(EngineEvent::CacheStored { hash });
        }
    }
}
