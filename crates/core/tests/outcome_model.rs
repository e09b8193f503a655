//! Exhaustive search over the histories of one request. The outcome that the entry reports is
//! compared with what the endpoints actually ran.
//!
//! Every history of up to three faults, or five for non-idempotent work, is executed step by step
//! with the real `Delivery`, `RequestOutcome` and `retry::decide`. The faults are a pause, a crash
//! of either side, a broken connection, a stall, late arrival of an abandoned send, a refusal, an
//! error, and duplicate, crossed, reordered and truncated responses.

#[path = "outcome_model/world.rs"]
mod world;

use oriolemux_core::event::DeliveryMode;
use rstest::rstest;
use std::collections::BTreeSet;
use world::{Choice, Config, Mutant, World};

/// The result of a search.
struct Found {
    states: usize,
    violation: Option<(&'static str, Vec<Choice>)>,
}

fn replay(config: Config, history: &[Choice]) -> World {
    let mut world = World::new(config);
    for &choice in history {
        world.apply(choice);
    }
    world
}

/// Visits every reachable state once and stops at the first that violates a guarantee.
fn search(config: Config) -> Found {
    let mut seen = BTreeSet::new();
    let mut open = vec![Vec::new()];
    while let Some(history) = open.pop() {
        let world = replay(config, &history);
        if !seen.insert(format!("{world:?}")) {
            continue;
        }
        if let Some(promise) = world.violation() {
            return Found {
                states: seen.len(),
                violation: Some((promise, history)),
            };
        }
        for choice in world.choices() {
            let mut next = history.clone();
            next.push(choice);
            open.push(next);
        }
    }
    Found {
        states: seen.len(),
        violation: None,
    }
}

#[rstest]
fn no_history_violates_a_guarantee(
    #[values(true, false)] idempotent: bool,
    #[values(DeliveryMode::Stream, DeliveryMode::Whole)] delivery: DeliveryMode,
    #[values(true, false)] same_text: bool,
) {
    let config = Config {
        idempotent,
        delivery,
        same_text,
        max_faults: if idempotent { 3 } else { 5 },
        mutant: Mutant::None,
    };

    let found = search(config);

    println!("{config:?}: {} states", found.states);
    assert_eq!(found.violation, None);
    assert!(found.states > 500, "the search saw only {}", found.states);
}

// Verifies the search itself: it must detect each rule that is deliberately broken.
#[rstest]
#[case::proof_from_resumption(Mutant::RefusedResumeCountsAsProof, false, "false not_run")]
#[case::repeats_unproven(Mutant::RepeatsUnprovenWork, false, "ran twice")]
#[case::splices(Mutant::SkipsReplayComparison, true, "tokens not from one generation")]
#[case::crossed(Mutant::TrustsAnyId, true, "tokens not from one generation")]
#[case::forgets(Mutant::ForgetsEarlierAttempts, true, "false not_run")]
fn the_search_detects_a_broken_rule(
    #[case] mutant: Mutant,
    #[case] idempotent: bool,
    #[case] promise: &str,
) {
    let config = Config {
        idempotent,
        delivery: DeliveryMode::Stream,
        same_text: false,
        max_faults: 4,
        mutant,
    };

    let (broken, history) = search(config).violation.expect("a broken promise");

    assert_eq!(broken, promise, "by {history:?}");
}
