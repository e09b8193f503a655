//! Compact encoding of the messages between entry instances and homes.

use oriolemux_core::cell::CellMessage;
use oriolemux_core::cell::message::Checkpoint;
use proptest::prelude::*;

fn encode(message: &CellMessage) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).expect("it encodes")
}

fn decode(bytes: &[u8]) -> Option<CellMessage> {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.ok().map(|(message, _)| message)
}

fn checkpoints() -> impl Strategy<Value = Vec<Checkpoint>> {
    let checkpoint =
        (any::<u64>(), any::<u32>()).prop_map(|(seq, tokens)| Checkpoint { seq, tokens });
    prop::collection::vec(checkpoint, 0..40)
}

proptest! {
    #[test]
    fn a_batch_of_checkpoints_round_trips(batch in checkpoints()) {
        let message = CellMessage::Progress(batch);

        prop_assert_eq!(decode(&encode(&message)), Some(message));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_decoder(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        decode(&bytes);
    }
}

#[test]
fn a_checkpoint_encodes_to_few_bytes() {
    let batch = (0..100)
        .map(|n| Checkpoint {
            seq: 3_000_000 + 7 * n,
            tokens: 1_024 * (1 + n as u32 % 8),
        })
        .collect();

    let bytes = encode(&CellMessage::Progress(batch));

    assert!(bytes.len() <= 300, "{} bytes for 100", bytes.len());
}

#[test]
fn a_batch_that_claims_a_huge_length_is_an_error() {
    let mut bytes = encode(&CellMessage::Progress(Vec::new()));
    bytes.pop();
    bytes.extend([253, 255, 255, 255, 255, 255, 255, 255, 127, 1, 2]);

    assert_eq!(decode(&bytes), None);
}
