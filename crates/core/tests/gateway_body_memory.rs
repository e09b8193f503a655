//! Which request bodies are kept while all of them together are bounded.

use oriolemux_core::gateway::body_memory::{
    BODY_OVERHEAD_BYTES, BodyBounds, BodyId, BodyMemory, NoBodyRoom, SMALL_BODY_BYTES,
};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

const LARGE: usize = 100_000;

/// Bounds in which ten large bodies fit, and ten small ones.
const BOUNDS: BodyBounds = BodyBounds {
    small: 10 * (SMALL_BODY_BYTES + BODY_OVERHEAD_BYTES),
    large: 10 * (LARGE + BODY_OVERHEAD_BYTES),
    single: 50 * LARGE,
};

/// Opens a body and lets it grow; returns it and the bodies that yielded.
fn grown(memory: &mut BodyMemory, bytes: usize) -> (BodyId, Result<Vec<BodyId>, NoBodyRoom>) {
    let body = memory.open();
    let mut evicted = Vec::new();
    let room = memory.grow(body, bytes, &mut evicted);
    (body, room.map(|()| evicted))
}

/// Fills the room of bodies of this size with incomplete ones.
fn filled(memory: &mut BodyMemory, bytes: usize) -> Vec<BodyId> {
    (0..10).map(|_| grown(memory, bytes).0).collect()
}

#[test]
fn the_body_that_is_stalled_the_longest_yields() {
    let mut memory = BodyMemory::new(BOUNDS);
    let bodies = filled(&mut memory, LARGE);
    memory
        .grow(bodies[0], LARGE, &mut Vec::new())
        .expect("room");

    let (_, yielded) = grown(&mut memory, LARGE);

    assert_eq!(yielded, Ok(vec![bodies[1]]));
}

/// Guards against a crowd that takes the room of ordinary requests.
#[rstest]
#[case::incomplete(false)]
#[case::complete(true)]
fn a_small_body_has_room_beside_large_ones(#[case] is_complete: bool) {
    let mut memory = BodyMemory::new(BOUNDS);
    for body in filled(&mut memory, LARGE) {
        if is_complete {
            memory.complete(body, LARGE);
        }
    }

    let (_, yielded) = grown(&mut memory, 1_000);

    assert_eq!(yielded, Ok(Vec::new()));
}

/// Guards against requests that may run and lose their body.
#[test]
fn complete_bodies_do_not_yield() {
    let mut memory = BodyMemory::new(BOUNDS);
    for body in filled(&mut memory, LARGE) {
        memory.complete(body, LARGE);
    }

    let (_, yielded) = grown(&mut memory, LARGE);

    assert_eq!(yielded, Err(NoBodyRoom));
}

/// Guards against bodies that yield although there is no room without them either.
#[test]
fn nobody_yields_in_vain() {
    let mut memory = BodyMemory::new(BOUNDS);
    let bodies = filled(&mut memory, LARGE);
    for body in &bodies[1..] {
        memory.complete(*body, LARGE);
    }
    let used = memory.used();

    let (refused, yielded) = grown(&mut memory, 2 * LARGE);

    assert_eq!(yielded, Err(NoBodyRoom));
    assert_eq!(memory.used(), used);
    memory.close(refused);
}

/// Guards against a single request inside the limits of the catalogue that is never served, because
/// its body is larger than the room of all.
#[test]
fn a_body_without_others_may_be_larger_than_the_bound() {
    let mut memory = BodyMemory::new(BOUNDS);
    let stalled = filled(&mut memory, LARGE);

    let (single, yielded) = grown(&mut memory, 40 * LARGE);

    assert_eq!(yielded, Ok(stalled));
    memory.complete(single, 40 * LARGE);
    assert_eq!(grown(&mut memory, LARGE).1, Err(NoBodyRoom));
    assert_eq!(grown(&mut memory, 1_000).1, Ok(Vec::new()));
}

#[test]
fn no_body_is_larger_than_its_share_of_the_memory() {
    let mut memory = BodyMemory::new(BOUNDS);

    let (_, yielded) = grown(&mut memory, BOUNDS.single + 1);

    assert_eq!(yielded, Err(NoBodyRoom));
}

/// Guards against room that stays taken after its body has gone.
#[test]
fn closed_bodies_leave_their_room() {
    let mut memory = BodyMemory::new(BOUNDS);
    for body in filled(&mut memory, LARGE) {
        memory.complete(body, LARGE);
        memory.close(body);
    }

    assert!(memory.is_empty());
    assert_eq!(memory.used(), 0);
    assert_eq!(grown(&mut memory, LARGE).1, Ok(Vec::new()));
}

#[rstest]
#[case::smallest(88_000_000)]
#[case::large(512_000_000)]
fn bounds_are_shares_of_the_memory(#[case] memory: usize) {
    let bounds = BodyBounds::of_memory(memory);

    assert!(bounds.small + bounds.large <= memory / 4);
    assert!(bounds.small >= 300 * SMALL_BODY_BYTES);
    assert!(bounds.single <= memory / 2);
    assert!(bounds.large >= 8 * 1_024 * 1_024);
}

#[derive(Clone, Debug)]
enum Step {
    Open,
    Grow(usize, usize),
    Complete(usize),
    Close(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        (0..40_usize, 1..4 * LARGE).prop_map(|(body, bytes)| Step::Grow(body, bytes)),
        (0..40_usize, 1..SMALL_BODY_BYTES).prop_map(|(body, bytes)| Step::Grow(body, bytes)),
        (0..40_usize).prop_map(Step::Complete),
        (0..40_usize).prop_map(Step::Close),
    ]
}

/// What a test knows of a body.
#[derive(Clone, Copy)]
struct Known {
    bytes: usize,
    is_complete: bool,
    has_yielded: bool,
}

proptest! {
    /// Guards against counts that drift, bounds that are exceeded and complete bodies that yield.
    #[test]
    fn bounds_hold_in_any_order_of_events(steps in prop::collection::vec(step(), 1..300)) {
        let mut memory = BodyMemory::new(BOUNDS);
        let mut known: BTreeMap<BodyId, Known> = BTreeMap::new();
        for step in steps {
            let nth = |known: &BTreeMap<BodyId, Known>, index: usize| {
                known.keys().nth(index % known.len().max(1)).copied()
            };
            match step {
                Step::Open => {
                    let new = Known { bytes: 0, is_complete: false, has_yielded: false };
                    prop_assert!(known.insert(memory.open(), new).is_none());
                }
                Step::Grow(index, more) => {
                    let Some(body) = nth(&known, index) else { continue };
                    if known[&body].is_complete || known[&body].has_yielded {
                        continue;
                    }
                    let mut evicted = Vec::new();
                    let bytes = known[&body].bytes + more;
                    if memory.grow(body, bytes, &mut evicted).is_ok() {
                        known.get_mut(&body).expect("known").bytes = bytes;
                    } else {
                        prop_assert!(evicted.is_empty());
                    }
                    for evicted in evicted {
                        let yielded = known.get_mut(&evicted).expect("known");
                        prop_assert!(!yielded.is_complete && !yielded.has_yielded);
                        *yielded = Known { bytes: 0, has_yielded: true, ..*yielded };
                    }
                }
                Step::Complete(index) => {
                    let Some(body) = nth(&known, index) else { continue };
                    let it = known.get_mut(&body).expect("known");
                    if it.bytes > 0 && !it.is_complete {
                        memory.complete(body, it.bytes);
                        it.is_complete = true;
                    }
                }
                Step::Close(index) => {
                    let Some(body) = nth(&known, index) else { continue };
                    memory.close(body);
                    known.remove(&body);
                }
            }
            let kept = || known.values().filter(|it| it.bytes > 0);
            let large = || kept().filter(|it| it.bytes > SMALL_BODY_BYTES);
            let taken = |it: &Known| it.bytes + BODY_OVERHEAD_BYTES;
            prop_assert_eq!(memory.used(), kept().map(taken).sum::<usize>());
            let large_bytes: usize = large().map(taken).sum();
            prop_assert!(memory.used() - large_bytes <= BOUNDS.small);
            prop_assert!(large_bytes <= BOUNDS.large || large().count() == 1);
            prop_assert_eq!(memory.len(), known.len());
        }
    }
}
