//! How many connections an instance holds, and which of them yield.

use core::time::Duration;
use oriolemux_core::gateway::connection_bounds::{CONNECTION_BYTES, ConnectionBounds, yielding};
use rstest::rstest;

/// Guards against bounds that together exceed the memory or the descriptors of an instance. The
/// memory and the descriptors of instances of the users' deployments, and of a small process.
#[rstest]
#[case(88_000_000, 4_100)]
#[case(96_000_000, 3_075)]
#[case(110_000_000, 4_100)]
#[case(220_000_000, 10_250)]
#[case(512_000_000, 8_192)]
#[case(88_000_000, 256)]
#[case(24_000_000_000, 1_024)]
fn bounds_fit_into_what_the_process_may_use(#[case] memory: usize, #[case] descriptors: usize) {
    let bounds = ConnectionBounds::new(memory, descriptors, 2_048);

    let sockets = 2 * bounds.callers + bounds.readiness + bounds.operators + bounds.peers;
    assert!(sockets <= descriptors, "{bounds:?}");
    assert!(
        bounds.callers * CONNECTION_BYTES <= memory / 4,
        "{bounds:?}"
    );
    assert!(
        bounds.callers * bounds.receive_buffer <= memory / 4,
        "{bounds:?}"
    );
    assert!(
        bounds.callers >= 50 && bounds.callers <= 2_048,
        "{bounds:?}"
    );
}

/// Guards against the smallest instances of the users that refuse callers inside the limits.
#[rstest]
#[case(88_000_000, 4_100)]
#[case(96_000_000, 3_075)]
fn the_smallest_instances_hold_hundreds_of_callers(
    #[case] memory: usize,
    #[case] descriptors: usize,
) {
    let bounds = ConnectionBounds::new(memory, descriptors, 2_048);

    assert!(bounds.callers >= 800, "{bounds:?}");
    assert!(bounds.peers >= 585, "{bounds:?}");
}

#[rstest]
#[case::without_descriptors(88_000_000, 0)]
#[case::without_memory(0, 4_100)]
fn a_process_without_resources_takes_one_caller(#[case] memory: usize, #[case] descriptors: usize) {
    let bounds = ConnectionBounds::new(memory, descriptors, 2_048);

    assert_eq!(bounds.callers, 1);
}

#[test]
fn the_settings_bound_the_connections_of_callers() {
    let bounds = ConnectionBounds::new(512_000_000, 8_192, 64);

    assert_eq!(bounds.callers, 64);
}

/// Guards against callers that are closed although others keep the instance waiting for longer.
#[rstest]
#[case::one_of_few(&[3, 9, 1], 8, &[1])]
#[case::several_of_many(&[5, 1, 7, 2], 64, &[0, 2])]
#[case::one_that_has_hardly_waited(&[0, 0, 0], 96, &[0])]
#[case::others_that_have_hardly_waited(&[0, 5, 0], 96, &[1])]
#[case::all(&[5, 1], 96, &[0, 1])]
#[case::none(&[], 64, &[])]
fn those_that_wait_the_longest_yield(
    #[case] waiting: &[u64],
    #[case] limit: usize,
    #[case] expected: &[usize],
) {
    let waiting = waiting
        .iter()
        .map(|it| Duration::from_secs(*it))
        .enumerate();

    let mut chosen = yielding(waiting, limit);

    chosen.sort_unstable();
    assert_eq!(chosen, expected);
}
