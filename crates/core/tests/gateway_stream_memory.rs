//! Whether more of a stream is read, and which streams wait for others.

use oriolemux_core::gateway::stream_memory::{OWN_BYTES, READ_BYTES, StreamId, StreamMemory};
use oriolemux_core::ids::EndpointKey;

const MEMORY: usize = 88_000_000;
const BOUND: usize = MEMORY / 16;
const KIB: usize = 1_024;

/// The longest event.
const EVENT: usize = 1_024 * KIB;

fn endpoint(number: usize) -> EndpointKey {
    EndpointKey::of(&format!("e-{number}"))
}

/// Reads an incomplete event until it has `bytes` bytes; returns how many were read.
fn read_event(memory: &mut StreamMemory, id: StreamId, bytes: usize) -> usize {
    let mut read = 0;
    while read < bytes && memory.admit_read(id, read) {
        read += READ_BYTES;
    }
    read
}

/// Passes an event on that was read.
fn pass_on(memory: &mut StreamMemory, id: StreamId, bytes: usize) {
    memory.on_passed_on(id, bytes);
}

/// Guards against streams that hold whatever their endpoints send.
#[test]
fn streams_that_hold_large_events_are_bounded_together() {
    let mut memory = StreamMemory::of_memory(MEMORY);
    let streams: Vec<_> = (0..100).map(|it| memory.open(endpoint(it))).collect();

    let read: usize = streams
        .iter()
        .map(|&id| read_event(&mut memory, id, EVENT))
        .sum();

    let own = streams.len() * (OWN_BYTES + READ_BYTES);
    assert!(read <= BOUND + EVENT + own, "{read} bytes");
    assert!(memory.used() <= BOUND + EVENT, "{} bytes", memory.used());
}

/// Guards against an endpoint in trouble whose streams take the room of others.
#[test]
fn streams_of_one_endpoint_leave_room_to_those_of_others() {
    let mut memory = StreamMemory::of_memory(MEMORY);
    for _ in 0..100 {
        let id = memory.open(endpoint(0));
        read_event(&mut memory, id, EVENT);
    }

    let id = memory.open(endpoint(1));

    assert!(read_event(&mut memory, id, EVENT) >= EVENT);
}

/// Guards against sound streams that wait because others have taken the room.
#[test]
fn ordinary_events_have_room_beside_large_ones() {
    let mut memory = StreamMemory::of_memory(MEMORY);
    for number in 0..100 {
        let id = memory.open(endpoint(number));
        read_event(&mut memory, id, EVENT);
    }
    let id = memory.open(endpoint(1));

    for _ in 0..1_000 {
        assert!(memory.admit_read(id, 0));
        pass_on(&mut memory, id, 300);
        memory.on_written(id, 300);
    }
}

/// Guards against an engine that is read ahead of a caller that reads nothing.
#[test]
fn a_stream_is_not_read_on_while_its_caller_has_a_large_event_to_read() {
    let mut memory = StreamMemory::of_memory(MEMORY);
    let id = memory.open(endpoint(0));
    assert!(read_event(&mut memory, id, 100 * KIB) >= 100 * KIB);
    pass_on(&mut memory, id, 100 * KIB);

    assert!(!memory.admit_read(id, 0));

    assert!(memory.on_written(id, 100 * KIB), "it is woken");
    assert!(memory.admit_read(id, 0));
}

/// Guards against streams that wait for each other for good, each with an incomplete event.
#[test]
fn streams_with_incomplete_events_complete_them_one_after_the_other() {
    let mut memory = StreamMemory::of_memory(MEMORY);
    let mut unfinished: Vec<(StreamId, usize)> =
        (0..100).map(|it| (memory.open(endpoint(it)), 0)).collect();
    // All read a little in turn, so that all hold incomplete events when the room is gone.
    let mut has_progress = true;
    while has_progress {
        has_progress = false;
        for (id, read) in &mut unfinished {
            if *read < EVENT / 4 && memory.admit_read(*id, *read) {
                *read += READ_BYTES;
                has_progress = true;
            }
        }
    }

    let mut finished = 0;
    while !unfinished.is_empty() {
        let mut still = Vec::new();
        for (id, mut read) in unfinished.drain(..) {
            while read < EVENT && memory.admit_read(id, read) {
                read += READ_BYTES;
            }
            match read >= EVENT {
                true => {
                    pass_on(&mut memory, id, read);
                    memory.on_written(id, read);
                    memory.close(id);
                    finished += 1;
                }
                false => still.push((id, read)),
            }
        }
        unfinished = still;
        assert!(memory.used() <= BOUND + EVENT, "{} bytes", memory.used());
    }

    assert_eq!(finished, 100);
    assert_eq!(memory.used(), 0);
}

/// Guards against a stream that is never read again after others have released their room.
#[test]
fn a_stream_that_waits_for_others_is_woken_when_they_end() {
    let mut memory = StreamMemory::of_memory(MEMORY);
    let holders: Vec<_> = (0..100).map(|it| memory.open(endpoint(it))).collect();
    for &id in &holders {
        read_event(&mut memory, id, EVENT);
    }
    let late = memory.open(endpoint(1_000));
    read_event(&mut memory, late, EVENT);
    assert!(!memory.admit_read(late, OWN_BYTES));

    for id in holders {
        memory.stop_reading(id);
        memory.close(id);
    }

    assert_eq!(memory.take_ready(), Some(late));
    assert_eq!(memory.take_ready(), None);
    assert!(memory.admit_read(late, OWN_BYTES));
}

/// Guards against a stream that stays paused: its caller has read everything when others hold the room.
#[test]
fn a_stream_whose_caller_has_read_everything_queues_for_room() {
    let mut memory = StreamMemory::of_memory(MEMORY);
    let first = memory.open(endpoint(0));
    read_event(&mut memory, first, EVENT / 4);
    pass_on(&mut memory, first, EVENT / 4);
    let exempt = memory.open(endpoint(1));
    let others: Vec<_> = (2..100).map(|it| memory.open(endpoint(it))).collect();
    for &id in &others {
        read_event(&mut memory, id, EVENT);
    }
    read_event(&mut memory, exempt, EVENT);
    assert!(!memory.admit_read(first, OWN_BYTES));

    assert!(memory.on_written(first, EVENT / 4), "it asks again");

    assert!(!memory.admit_read(first, EVENT / 4) || memory.used() <= BOUND + EVENT);
    for id in others {
        memory.close(id);
    }
    memory.close(exempt);
    let woken: Vec<_> = core::iter::from_fn(|| memory.take_ready()).collect();
    assert!(memory.admit_read(first, EVENT / 4), "woken: {woken:?}");
}

/// Guards against a count that drifts as streams move between endpoints.
#[test]
fn the_room_of_a_stream_moves_with_it() {
    let mut memory = StreamMemory::of_memory(MEMORY);
    let id = memory.open(endpoint(0));
    read_event(&mut memory, id, 100 * KIB);
    let before = memory.used();

    memory.set_endpoint(id, endpoint(1));

    assert_eq!(memory.used(), before);
    memory.stop_reading(id);
    memory.close(id);
    assert_eq!(memory.used(), 0);
}
