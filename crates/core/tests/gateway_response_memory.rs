//! Whether there is room for responses that are read to their end, and whose callers yield.

use core::time::Duration;
use oriolemux_core::gateway::connection_bounds::{UnreadResponse, yielding_unread};
use oriolemux_core::gateway::response_memory::{
    NoResponseRoom, ResponseMemory, SMALL_RESPONSE_BYTES,
};
use rstest::rstest;

const MEMORY: usize = 88_000_000;
const BOUND: usize = MEMORY / 8;
const MIB: usize = 1_024 * 1_024;

#[test]
fn responses_share_a_bound() {
    let mut memory = ResponseMemory::of_memory(MEMORY);
    memory.resize(0, 8 * MIB).expect("room");

    let missing = memory.resize(0, 8 * MIB).expect_err("no room");

    assert_eq!(
        missing,
        NoResponseRoom {
            bytes: 16 * MIB - BOUND
        }
    );
    memory.release(8 * MIB);
    assert_eq!(memory.resize(0, 8 * MIB), Ok(()));
}

/// Guards against a single response of the largest size that is given up in calm.
#[test]
fn a_response_without_others_may_be_larger_than_the_bound() {
    let mut memory = ResponseMemory::of_memory(MEMORY);

    assert_eq!(memory.resize(0, 16 * MIB), Ok(()));
    assert_eq!(memory.resize(16 * MIB, 20 * MIB), Ok(()));
    assert!(memory.resize(20 * MIB, 40 * MIB).is_err());
    assert_eq!(memory.used(), 20 * MIB);
}

/// Guards against ordinary responses that are given up beside large ones.
#[test]
fn small_responses_always_have_room() {
    let mut memory = ResponseMemory::of_memory(MEMORY);
    memory.resize(0, 16 * MIB).expect("room");

    assert_eq!(memory.resize(0, SMALL_RESPONSE_BYTES), Ok(()));
    assert!(
        memory
            .resize(SMALL_RESPONSE_BYTES, SMALL_RESPONSE_BYTES + 1)
            .is_err()
    );
    memory.release(SMALL_RESPONSE_BYTES);
    memory.release(16 * MIB);
    assert_eq!(memory.used(), 0);
}

/// Guards against streams that are cut because their callers are slow for a moment.
#[test]
fn a_caller_that_is_blocked_for_a_moment_does_not_yield() {
    let unread = [4_999, 5_000].into_iter().map(|millis| UnreadResponse {
        id: millis,
        blocked: Duration::from_millis(millis),
        bytes: 100,
    });

    assert_eq!(yielding_unread(unread, 1_000), [5_000]);
}

/// Guards against callers that are cut off although others have not read for longer, or in vain.
#[rstest]
#[case::one(10, &[2])]
#[case::two(101, &[2, 0])]
#[case::all(1_000, &[2, 0, 1])]
#[case::none(0, &[])]
fn those_that_have_not_read_for_the_longest_time_yield(
    #[case] bytes: usize,
    #[case] expected: &[usize],
) {
    let unread = [15, 11, 17]
        .into_iter()
        .enumerate()
        .map(|(id, seconds)| UnreadResponse {
            id,
            blocked: Duration::from_secs(seconds),
            bytes: 100,
        });

    assert_eq!(yielding_unread(unread, bytes), expected);
}
