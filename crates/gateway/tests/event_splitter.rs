//! How a stream is split into events.

use oriolemux_gateway::sse::{Event, EventSplitter, MAX_EVENT_BLOCKS, SplitError};
use rstest::rstest;

const MIB: usize = 1_024 * 1_024;

/// Splits bytes that arrive in pieces of this size.
fn split(bytes: &[u8], piece: usize) -> (Vec<Event>, EventSplitter) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for part in bytes.chunks(piece) {
        splitter.push(part);
        while let Some(event) = splitter.next_event().expect("events") {
            events.push(event);
        }
    }
    (events, splitter)
}

#[rstest]
#[case::usual(b"id: 7\ndata: a\n\n", &[(Some(7), 15)])]
#[case::carriage_returns(b"id: 7\r\ndata: a\r\n\r\n", &[(Some(7), 18)])]
#[case::a_blank_line_of_either_kind(b"data: a\r\n\ndata: b\n\n", &[(None, 10), (None, 9)])]
#[case::a_leading_line_break(b"\ndata: a\n\n", &[(None, 10)])]
#[case::only_line_breaks(b"\n\n\n\n\n", &[(None, 2), (None, 2)])]
#[case::a_number_without_a_space(b"data: a\nid:12\n\n", &[(Some(12), 15)])]
#[case::no_number(b"id: x\nid: 7\n\n", &[(None, 13)])]
#[case::a_number_inside_a_line(b"data: id: 7\n\n", &[(None, 13)])]
#[case::several(b"id: 1\n\nid: 2\n\nid: 3", &[(Some(1), 7), (Some(2), 7)])]
fn events_are_the_same_however_they_arrive(
    #[case] bytes: &[u8],
    #[case] expected: &[(Option<u64>, usize)],
    #[values(1, 2, 3, 7, 64)] piece: usize,
) {
    let (events, splitter) = split(bytes, piece);

    let lengths = events.iter().map(|it| (it.id, it.blocks.concat().len()));
    assert_eq!(lengths.collect::<Vec<_>>(), expected);
    let split: Vec<u8> = events.iter().flat_map(|it| it.blocks.concat()).collect();
    assert!(bytes.starts_with(&split));
    assert_eq!(splitter.has_partial_event(), split.len() < bytes.len());
}

/// Guards against a stream that is never split, or split inside an event, because the end of a long line
/// is not looked at.
#[rstest]
#[case::carriage_returns("\r\n", "\r\n\r\n", 1)]
#[case::line_feeds("\n", "\n\n", 1)]
#[case::a_carriage_return_inside("\n", "\n\r\nx\n\n", 1)]
fn long_lines_end_as_short_ones_do(
    #[case] line_end: &str,
    #[case] event_end: &str,
    #[case] expected: usize,
    #[values(250, 255, 256, 257, 5_000)] length: usize,
    #[values(1, 7, 4_096)] piece: usize,
) {
    let data = "x".repeat(length - 1) + "\r";
    let data = match line_end {
        "\n" => data + "y",
        _ => data.replace('\r', "y"),
    };
    let event = format!("id: 7{line_end}data: {data}{event_end}");

    let (events, splitter) = split(event.as_bytes(), piece);

    assert_eq!(events.len(), expected);
    assert_eq!(events[0].id, Some(7));
    assert_eq!(events[0].blocks.concat(), event.as_bytes());
    assert!(!splitter.has_partial_event());
}

/// Guards against events that take much more memory than their bytes.
#[rstest]
#[case::short_events(b"\n\n".repeat(2_000))]
#[case::an_incomplete_event(vec![b'x'; 900_000])]
#[case::a_small_event_behind_a_large_one([vec![b'x'; 500_000], b"\n\nid: 1".to_vec()].concat())]
fn buffered_bytes_take_little_more_memory_than_they_have(
    #[case] bytes: Vec<u8>,
    #[values(1, 4_096)] piece: usize,
) {
    let (events, splitter) = split(&bytes, piece);

    let kept: usize = events.iter().map(|it| it.blocks.concat().len()).sum();
    let buffered = bytes.len() - kept;
    let memory = splitter.memory();
    assert!(memory <= buffered + 16 * 1_024, "{memory} for {buffered}");
    assert!(events.iter().all(|it| it.blocks.len() <= MAX_EVENT_BLOCKS));
}

/// Guards against an endpoint that sends without end what is no event.
#[rstest]
fn an_event_has_an_upper_bound(#[values(1_000, 4_096)] piece: usize) {
    let mut splitter = EventSplitter::default();
    let mut sent = 0;

    let ended = loop {
        splitter.push(&vec![b'x'; piece]);
        sent += piece;
        match splitter.next_event() {
            Ok(event) => assert_eq!(event, None),
            Err(error) => break error,
        }
    };

    assert_eq!(ended, SplitError::EventTooLong);
    assert!(sent > MIB && sent <= MIB + piece);
}

/// Guards against the longest event that does not fit between an engine and its caller.
#[rstest]
fn the_longest_event_has_few_blocks(#[values(1, 100, 4_096)] piece: usize) {
    let event = [vec![b'x'; MIB - 2], b"\n\n".to_vec()].concat();

    let (events, _) = split(&event, piece);

    let [whole] = events.as_slice() else {
        panic!("one event")
    };
    assert_eq!(whole.blocks.concat(), event);
    assert!(
        whole.blocks.len() <= MAX_EVENT_BLOCKS,
        "{}",
        whole.blocks.len()
    );
}
