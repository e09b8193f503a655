//! The engine model itself: batching, bounds, preemption, cache, lag, conservation.

use core::time::Duration;
use oriolemux_bench::engine_model::{EngineConfig, EngineEvent, EngineModel, Job, SubmitError};
use oriolemux_core::time::Time;
use proptest::prelude::*;

fn job(id: u64, prompt_tokens: u32, output_tokens: u32, priority: u8) -> Job {
    Job {
        id,
        prompt_tokens,
        output_tokens,
        priority,
        ..Job::default()
    }
}

/// An engine of 10 blocks of 16 tokens.
fn small() -> EngineConfig {
    EngineConfig::default().with_kv_blocks(10)
}

/// Steps until idle, calling `check` after each step.
fn drain(engine: &mut EngineModel, check: impl Fn(&EngineModel)) -> (Vec<EngineEvent>, Time) {
    let mut out = Vec::new();
    let mut now = Time::ZERO;
    while let Some(next) = engine.step(now, &mut out) {
        check(engine);
        now = next;
    }
    (out, now)
}

fn tokens_of(events: &[EngineEvent], wanted: u64) -> Vec<(u32, Time)> {
    let token = |event: &EngineEvent| match *event {
        EngineEvent::Token { id, index, at } if id == wanted => Some((index, at)),
        _ => None,
    };
    events.iter().filter_map(token).collect()
}

fn preemptions_of(events: &[EngineEvent], wanted: u64) -> usize {
    let is =
        |event: &&EngineEvent| matches!(event, EngineEvent::Preempted { id, .. } if *id == wanted);
    events.iter().filter(is).count()
}

#[test]
fn a_batch_shares_the_steps() {
    let cfg = EngineConfig::default();
    let mut engine = EngineModel::new(cfg.clone());
    for id in 0..4 {
        engine.submit(Time::ZERO, job(id, 10, 100, 0)).unwrap();
    }

    let (events, end) = drain(&mut engine, |_| {});

    let steps = (cfg.base_step + cfg.per_running * 4) * 100;
    assert_eq!(end, Time::ZERO + steps + cfg.per_prefill_token * 40);
    for id in 0..4 {
        let indexes: Vec<u32> = tokens_of(&events, id).iter().map(|t| t.0).collect();
        assert_eq!(indexes, (0..100).collect::<Vec<_>>());
    }
}

#[test]
fn a_call_before_the_end_of_the_step_changes_nothing() {
    let mut engine = EngineModel::new(small());
    engine.submit(Time::ZERO, job(1, 10, 3, 0)).unwrap();
    let mut out = Vec::new();
    let end = engine.step(Time::ZERO, &mut out);

    let again = engine.step(Time::from_micros(1), &mut out);

    assert_eq!(end, again);
    assert!(out.is_empty());
}

#[test]
fn long_prompts_are_prefilled_in_chunks_while_others_decode() {
    let cfg = EngineConfig::default();
    let mut engine = EngineModel::new(cfg.clone());
    engine.submit(Time::ZERO, job(1, 1, 10, 0)).unwrap();
    engine
        .submit(Time::ZERO, job(2, cfg.prefill_chunk * 3, 1, 1))
        .unwrap();

    let (events, _) = drain(&mut engine, |_| {});

    let first = tokens_of(&events, 2)[0].1;
    let before = tokens_of(&events, 1).iter().filter(|t| t.1 < first).count();
    assert_eq!(before, 3, "1 + 3 * chunk prompt tokens take four steps");
}

#[test]
fn a_full_memory_preempts_the_least_urgent_and_youngest() {
    let mut engine = EngineModel::new(small());
    engine.submit(Time::ZERO, job(1, 40, 30, 1)).unwrap();
    engine.submit(Time::ZERO, job(2, 40, 30, 0)).unwrap();
    engine.submit(Time::ZERO, job(3, 40, 30, 1)).unwrap();

    let (events, _) = drain(&mut engine, |_| {});

    assert_eq!(preemptions_of(&events, 2), 0);
    assert_eq!(preemptions_of(&events, 1), 0);
    assert!(preemptions_of(&events, 3) > 0);
    assert_eq!(engine.preemptions() as usize, preemptions_of(&events, 3));
}

#[test]
fn a_preempted_job_computes_its_context_again_and_repeats_no_token() {
    let cfg = small();
    let mut engine = EngineModel::new(cfg.clone());
    engine.submit(Time::ZERO, job(1, 60, 60, 0)).unwrap();
    engine.submit(Time::ZERO, job(2, 60, 60, 1)).unwrap();

    let (events, end) = drain(&mut engine, |_| {});

    let tokens = tokens_of(&events, 2);
    let indexes: Vec<u32> = tokens.iter().map(|t| t.0).collect();
    assert_eq!(indexes, (0..60).collect::<Vec<_>>());
    let gap = tokens.windows(2).map(|w| w[1].1 - w[0].1).max().unwrap();
    assert!(
        gap > cfg.base_step * 20,
        "the gap spans the other job's rest: {gap:?}"
    );
    let decoding = (cfg.base_step + cfg.per_running) * 60;
    let prefill_once = cfg.per_prefill_token * 120;
    assert!(end > Time::ZERO + decoding + prefill_once);
}

#[test]
fn urgent_work_is_admitted_first() {
    let mut engine = EngineModel::new(small().with_max_running(1));
    engine.submit(Time::ZERO, job(1, 10, 5, 9)).unwrap();
    engine.submit(Time::ZERO, job(2, 10, 5, 0)).unwrap();

    let (events, _) = drain(&mut engine, |_| {});

    assert!(tokens_of(&events, 2)[4].1 < tokens_of(&events, 1)[0].1);
}

#[test]
fn a_shared_prefix_spares_prefill_until_it_is_evicted() {
    let cfg = EngineConfig::default().with_cache_blocks(2);
    let mut engine = EngineModel::new(cfg.clone());
    let with_prefix = |id, first| Job {
        prefix: vec![first, first + 1],
        ..job(id, 128, 1, 0)
    };
    let mut run = |job| {
        let mut out = Vec::new();
        engine.submit(Time::ZERO, job).unwrap();
        let end = engine.step(Time::ZERO, &mut out).unwrap();
        engine.step(end, &mut out);
        (end.since(Time::ZERO), out)
    };

    let (cold, stored) = run(with_prefix(1, 10));
    let (warm, _) = run(with_prefix(2, 10));
    let (_, evicted) = run(with_prefix(3, 20));
    let (cold_again, _) = run(with_prefix(4, 10));

    assert_eq!(cold - warm, cfg.per_prefill_token * 127);
    assert!(stored.contains(&EngineEvent::CacheStored { hash: 10 }));
    assert!(evicted.contains(&EngineEvent::CacheEvicted { hash: 10 }));
    assert_eq!(cold_again, cold);
}

#[test]
fn the_report_lags() {
    let lag = Duration::from_millis(500);
    let mut engine = EngineModel::new(small().with_report_lag(lag));
    let at = Time::from_secs(10);
    engine.submit(at, job(1, 10, 100, 0)).unwrap();
    engine.step(at, &mut Vec::new());

    let early = engine.report(at + lag / 2);
    let late = engine.report(at + lag);

    assert_eq!((early.running, early.kv_tokens_used), (0, 0));
    assert_eq!((late.running, late.kv_tokens_used), (1, 16));
    assert_eq!(late.lag_ms, 500);
}

#[test]
fn cancelling_frees_memory_at_once() {
    let mut engine = EngineModel::new(small());
    engine.submit(Time::ZERO, job(1, 100, 10, 0)).unwrap();
    engine.submit(Time::ZERO, job(2, 100, 10, 0)).unwrap();
    engine.step(Time::ZERO, &mut Vec::new());

    assert!(engine.cancel(Time::ZERO, 1));
    assert!(!engine.cancel(Time::ZERO, 1));

    assert_eq!(engine.used_blocks(), 0);
    let (events, _) = drain(&mut engine, |_| {});
    assert_eq!(tokens_of(&events, 1).len(), 0);
    assert_eq!(tokens_of(&events, 2).len(), 10);
}

#[test]
fn outputs_beyond_memory_are_cut_and_prompts_refused() {
    let mut engine = EngineModel::new(small());
    let refused = engine.submit(Time::ZERO, job(1, 160, 1, 0));
    engine.submit(Time::ZERO, job(2, 100, 1_000, 0)).unwrap();

    let (events, _) = drain(&mut engine, |_| {});

    assert_eq!(
        refused,
        Err(SubmitError::TooLarge {
            prompt_tokens: 160,
            kv_tokens: 160
        })
    );
    let end = events.last().unwrap();
    assert!(matches!(
        end,
        EngineEvent::Finished {
            tokens: 60,
            truncated: true,
            ..
        }
    ));
}

fn any_jobs() -> impl Strategy<Value = Vec<(u32, u32, u8, u32)>> {
    prop::collection::vec((1..150u32, 1..120u32, 0..3u8, 0..50u32), 1..30)
}

proptest! {
    /// Memory and concurrency stay within bounds; every token of every job
    /// comes once and in order; nothing is left behind.
    #[test]
    fn bounded_and_conserving(jobs in any_jobs()) {
        let cfg = small().with_max_running(4);
        let mut engine = EngineModel::new(cfg.clone());
        for (id, &(prompt, output, priority, prefix)) in jobs.iter().enumerate() {
            let job = Job {
                prefix: vec![u64::from(prefix)],
                ..job(id as u64, prompt, output, priority)
            };
            engine.submit(Time::ZERO, job).unwrap();
        }

        let (events, _) = drain(&mut engine, |engine| {
            assert!(engine.used_blocks() <= cfg.kv_blocks);
            assert!(engine.running() <= cfg.max_running as usize);
        });

        prop_assert_eq!((engine.running(), engine.waiting(), engine.used_blocks()), (0, 0, 0));
        for (id, &(prompt, output, ..)) in jobs.iter().enumerate() {
            let length = output.min(cfg.kv_tokens() - prompt);
            let indexes: Vec<u32> = tokens_of(&events, id as u64).iter().map(|t| t.0).collect();
            prop_assert_eq!(indexes, (0..length).collect::<Vec<_>>());
        }
    }
}
