//! Learning of a plain service's concurrency limit from its latency, and tracking of cached
//! prefixes across gaps in the cache events.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::routing::concurrency::ConcurrencyLimit;
use oriolemux_core::routing::prefix::{EndpointIx, PrefixMap};
use rstest::rstest;

const USUAL: Duration = Duration::from_millis(20);

/// Completes `calls` calls of a service that runs `capacity` calls at once, in `time` each, and
/// queues the rest. As many calls run as the limit allows.
fn run(limit: &mut ConcurrencyLimit, time: Duration, capacity: f64, calls: u32) {
    for _ in 0..calls {
        let running = limit.limit();
        let queueing = (f64::from(running) / capacity).max(1.0);
        limit.completed(time.mul_f64(queueing), running);
    }
}

#[rstest]
#[case::small(8.0)]
#[case::large(60.0)]
fn the_limit_converges_near_the_capacity_of_the_service(#[case] capacity: f64) {
    // Guards against sending a service hundreds of calls at once, of which it completes none in
    // time. The limit rises slightly, the latency follows, and the higher latency is learned as the
    // usual one. This happens if the usual latency may increase under load.
    let mut limit = ConcurrencyLimit::default();

    run(&mut limit, USUAL, capacity, 50_000);

    let settled = f64::from(limit.limit());
    assert!(settled >= 0.8 * capacity, "{settled} of {capacity}");
    assert!(settled <= 3.5 * capacity, "{settled} of {capacity}");
}

#[test]
fn the_limit_recovers_after_a_permanent_slowdown() {
    let mut limit = ConcurrencyLimit::default();
    run(&mut limit, USUAL, 40.0, 2_000);

    run(&mut limit, USUAL * 5, 40.0, 10_000);

    assert!(limit.limit() >= 30, "{}", limit.limit());
}

#[test]
fn failures_lower_the_limit_at_once_but_never_to_zero() {
    let mut limit = ConcurrencyLimit::default();
    run(&mut limit, USUAL, 40.0, 2_000);
    let before = limit.limit();

    for _ in 0..5 {
        limit.failed();
    }
    let after = limit.limit();
    for _ in 0..100 {
        limit.failed();
    }

    assert!(after * 2 < before, "{before} to {after}");
    assert_eq!(limit.limit(), 1);
}

#[test]
fn a_limit_that_is_not_used_does_not_grow() {
    let mut limit = ConcurrencyLimit::default();
    let before = limit.limit();

    for _ in 0..1_000 {
        limit.completed(Duration::from_millis(20), 1);
    }

    assert_eq!(limit.limit(), before);
}

#[test]
fn a_gap_in_the_events_lowers_belief_until_the_block_is_reported_again() {
    // Guards against sending prompts to an engine that no longer caches their prefix. The event of
    // the eviction is lost in a gap. Blocks reported before the gap must not be trusted as before.
    let engine = EndpointIx::from_u32(0);
    let mut map = PrefixMap::default();
    map.events(engine, false, &[1, 2], &[]);
    let sure = map.matched(Time::ZERO, engine, &[1, 2, 3]);

    map.events(engine, true, &[], &[]);
    let doubted = map.matched(Time::ZERO, engine, &[1, 2, 3]);
    map.events(engine, false, &[2], &[]);
    let seen_again = map.matched(Time::ZERO, engine, &[1, 2, 3]);

    assert_eq!((sure.blocks, sure.belief), (2, 1.0));
    assert!(doubted.belief < sure.belief);
    assert_eq!(seen_again.belief, 1.0);
}

#[test]
fn a_block_that_no_event_confirms_expires() {
    let engine = EndpointIx::from_u32(0);
    let mut map = PrefixMap::default();

    map.granted(Time::ZERO, engine, &[7]);

    assert_eq!(map.matched(Time::from_secs(1), engine, &[7]).blocks, 1);
    assert_eq!(map.matched(Time::from_secs(60), engine, &[7]).blocks, 0);
}

#[test]
fn evicted_blocks_and_removed_endpoints_have_no_holders() {
    let (a, b) = (EndpointIx::from_u32(0), EndpointIx::from_u32(1));
    let mut map = PrefixMap::default();
    map.events(a, false, &[1], &[]);
    map.events(b, false, &[1], &[]);

    map.events(a, false, &[], &[1]);
    let after_eviction = map.holders(&[1]).to_vec();
    map.forget(b);

    assert_eq!(after_eviction, [b]);
    assert!(map.holders(&[1]).is_empty());
}
