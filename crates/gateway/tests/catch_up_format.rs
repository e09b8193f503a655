//! The bytes in which instances tell each other what was published.

use oriolemux_core::gateway::Record;
use oriolemux_core::gateway::replica::StoreDelta;
use oriolemux_gateway::catch_up::format::{FormatError, MAX_DELTA_BYTES, decode, encode};
use proptest::prelude::*;

fn news(records: Vec<Record>) -> StoreDelta {
    StoreDelta {
        revision: 70,
        is_full: false,
        records,
    }
}

fn catalogue(entries: usize) -> Record {
    let entry = |it| format!("{{\"name\":\"r-{it}\",\"host\":\"desk.example\",\"public\":false}}");
    let value: Vec<String> = (0..entries).map(entry).collect();
    Record {
        key: "catalogue".to_owned(),
        revision: 70,
        value: Some(value.join(",").into_bytes()),
    }
}

#[test]
fn a_large_catalogue_is_told_in_a_fraction_of_its_size() {
    let told = news(vec![catalogue(1_400)]);
    let size: usize = told.records.iter().map(Record::size).sum();

    let bytes = encode(&told).expect("it can be written");

    assert!(bytes.len() * 4 < size, "{} of {size}", bytes.len());
    assert_eq!(decode(&bytes).expect("it can be read"), told);
}

/// Symptom: an instance is ended for its use of memory. Sequence: a peer, or a stranger in
/// its place, answers with a length of gigabytes. Cause: memory was taken as told.
#[test]
fn a_length_beyond_all_bounds_takes_no_memory() {
    let mut bytes = vec![1];
    bytes.extend(u32::MAX.to_le_bytes());
    bytes.extend([0; 16]);

    let read = decode(&bytes);

    assert!(matches!(read, Err(FormatError::TooLarge(it)) if it > MAX_DELTA_BYTES));
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn what_was_written_is_read(
        values in proptest::collection::vec(
            proptest::option::of(proptest::collection::vec(any::<u8>(), 0..3_000)), 0..6),
    ) {
        let record = |(at, value): (usize, Option<Vec<u8>>)| Record {
            key: format!("key-{at}"),
            revision: at as u64,
            value,
        };
        let told = news(values.into_iter().enumerate().map(record).collect());

        let bytes = encode(&told).expect("it can be written");

        prop_assert_eq!(decode(&bytes).expect("it can be read"), told);
    }
}
