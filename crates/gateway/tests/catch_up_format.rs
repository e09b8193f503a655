//! The wire format of a delta of the store's records.

use oriolemux_core::gateway::replica::StoreDelta;
use oriolemux_core::gateway::{Epoch, Record, Revision};
use oriolemux_gateway::catch_up::format::{FormatError, MAX_DELTA_BYTES, decode, encode};
use proptest::prelude::*;

/// Returns a revision of a store that states no epoch.
fn rev(number: u64) -> Revision {
    Revision {
        epoch: Epoch::UNSTATED,
        number,
    }
}

fn delta(records: Vec<Record>) -> StoreDelta {
    StoreDelta {
        revision: rev(70),
        is_full: false,
        records,
        catalogue: None,
    }
}

fn catalogue(entries: usize) -> Record {
    let entry = |it| format!("{{\"name\":\"r-{it}\",\"host\":\"desk.example\",\"public\":false}}");
    let value: Vec<String> = (0..entries).map(entry).collect();
    Record {
        key: "catalogue".to_owned(),
        revision: rev(70),
        value: Some(value.join(",").into_bytes()),
    }
}

#[test]
fn a_large_catalogue_is_compressed() {
    let sent = delta(vec![catalogue(1_400)]);
    let size: usize = sent.records.iter().map(Record::size).sum();

    let bytes = encode(&sent).expect("encodes");

    assert!(bytes.len() * 4 < size, "{} of {size}", bytes.len());
    assert_eq!(decode(&bytes).expect("decodes"), sent);
}

/// Guards against an instance that is killed for its memory use: a peer, or another process at its
/// address, replies with a length of gigabytes, and memory is allocated for it.
#[test]
fn an_excessive_length_is_rejected_without_allocation() {
    let mut bytes = vec![1];
    bytes.extend(u32::MAX.to_le_bytes());
    bytes.extend([0; 16]);

    let read = decode(&bytes);

    assert!(matches!(read, Err(FormatError::TooLarge(it)) if it > MAX_DELTA_BYTES));
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_or_fail(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
    }

    #[test]
    fn a_delta_survives_encoding(
        values in proptest::collection::vec(
            proptest::option::of(proptest::collection::vec(any::<u8>(), 0..3_000)), 0..6),
    ) {
        let record = |(at, value): (usize, Option<Vec<u8>>)| Record {
            key: format!("key-{at}"),
            revision: rev(at as u64),
            value,
        };
        let sent = delta(values.into_iter().enumerate().map(record).collect());

        let bytes = encode(&sent).expect("encodes");

        prop_assert_eq!(decode(&bytes).expect("decodes"), sent);
    }
}
