//! Frames: for any input, decoding neither panics nor allocates beyond its limit.

use oriolemux::peers::{CodecError, FrameDecoder, encode_frame, encode_frames};
use oriolemux_core::ids::{EndpointKey, Incarnation, InstanceKey};
use oriolemux_core::membership::{
    EndpointKind, EndpointRecord, FencingSupport, InstanceList, InstanceRecord, ListedState,
    MembershipMessage,
};
use oriolemux_core::peer::{MAX_MESSAGES, PeerEnvelope, PeerMessage};
use proptest::collection::vec;
use proptest::prelude::*;

const MAX_FRAME: usize = 64 * 1024;

fn any_list() -> impl Strategy<Value = InstanceList> {
    let instances = vec(("[a-z]{0,9}", any::<u16>()), 0..5);
    let endpoints = vec(("[a-z]{0,9}", vec("[a-z]{0,5}", 0..3)), 0..5);
    (any::<u64>(), instances, endpoints).prop_map(|(revision, instances, endpoints)| {
        let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
        let instances = instances.into_iter().map(|(name, port)| InstanceRecord {
            name,
            address: address(port),
            peer_address: address(port),
            data_centre: "dc".to_owned(),
            state: ListedState::Live,
        });
        let endpoints = endpoints.into_iter().map(|(name, serves)| EndpointRecord {
            name,
            address: address(1),
            data_centre: "dc".to_owned(),
            kind: EndpointKind::Service,
            serves,
            fencing: FencingSupport::Ignored,
            state: ListedState::Leaving,
        });
        InstanceList {
            revision,
            instances: instances.collect(),
            endpoints: endpoints.collect(),
        }
    })
}

fn any_message() -> impl Strategy<Value = PeerMessage> {
    let membership = prop_oneof![
        (any::<u64>(), any::<u64>()).prop_map(|(endpoint, list_revision)| {
            MembershipMessage::EndpointLeaving {
                endpoint: EndpointKey(endpoint),
                list_revision,
            }
        }),
        (any::<u64>(), any::<u64>(), any::<bool>()).prop_map(|(instance, incarnation, leaving)| {
            MembershipMessage::InstanceStatus {
                instance: InstanceKey(instance),
                incarnation: Incarnation(incarnation),
                leaving,
            }
        }),
        any_list().prop_map(|it| MembershipMessage::FullList(Box::new(it))),
    ];
    prop_oneof![
        Just(PeerMessage::Heartbeat),
        membership.prop_map(PeerMessage::Membership)
    ]
}

fn any_envelope() -> impl Strategy<Value = PeerEnvelope> {
    (any::<u64>(), any::<u64>(), vec(any_message(), 0..6)).prop_map(
        |(catalogue_revision, list_revision, messages)| PeerEnvelope {
            catalogue_revision,
            list_revision,
            messages,
        },
    )
}

fn heartbeats(count: usize) -> PeerEnvelope {
    PeerEnvelope {
        catalogue_revision: 1,
        list_revision: 2,
        messages: vec![PeerMessage::Heartbeat; count],
    }
}

fn decode_all(decoder: &mut FrameDecoder) -> Result<Vec<PeerEnvelope>, CodecError> {
    let mut all = Vec::new();
    while let Some(envelope) = decoder.next_envelope()? {
        all.push(envelope);
    }
    Ok(all)
}

proptest! {
    #[test]
    fn envelopes_round_trip_for_any_chunking(
        envelopes in vec(any_envelope(), 0..6),
        chunk_sizes in vec(1_usize..200, 1..40),
    ) {
        let frames = envelopes.iter().map(|it| encode_frame(it, MAX_FRAME).unwrap());
        let stream: Vec<u8> = frames.flatten().collect();
        let mut decoder = FrameDecoder::new(MAX_FRAME);
        let mut decoded = Vec::new();
        let (mut at, mut chunk_sizes) = (0, chunk_sizes.iter().cycle());
        while at < stream.len() {
            let end = (at + chunk_sizes.next().unwrap()).min(stream.len());
            decoder.push(&stream[at..end]);
            decoded.extend(decode_all(&mut decoder).unwrap());
            at = end;
        }
        prop_assert!(decoder.is_between_frames());
        prop_assert_eq!(decoded, envelopes);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..2000)) {
        let mut decoder = FrameDecoder::new(MAX_FRAME);
        decoder.push(&bytes);
        let _ = decode_all(&mut decoder);
    }

    #[test]
    fn corrupted_frame_never_panics(
        envelope in any_envelope(),
        damage in vec((any::<prop::sample::Index>(), any::<u8>()), 1..8),
    ) {
        let mut frame = encode_frame(&envelope, MAX_FRAME).unwrap().to_vec();
        for (at, byte) in damage {
            let at = at.index(frame.len());
            frame[at] = byte;
        }
        let mut decoder = FrameDecoder::new(MAX_FRAME);
        decoder.push(&frame);
        let _ = decode_all(&mut decoder);
    }

    #[test]
    fn truncated_frame_is_incomplete(envelope in any_envelope(), len in any::<prop::sample::Index>()) {
        let frame = encode_frame(&envelope, MAX_FRAME).unwrap();
        let mut decoder = FrameDecoder::new(MAX_FRAME);
        let part = &frame[..len.index(frame.len())];
        decoder.push(part);
        prop_assert_eq!(decoder.next_envelope(), Ok(None));
        prop_assert_eq!(decoder.is_between_frames(), part.is_empty());
    }
}

#[test]
fn length_above_the_limit_is_rejected_before_buffering() {
    let mut decoder = FrameDecoder::new(MAX_FRAME);
    decoder.push(&(MAX_FRAME as u32 + 1).to_be_bytes());
    let most = MAX_FRAME;
    let length = most + 1;
    assert_eq!(
        decoder.next_envelope(),
        Err(CodecError::TooLong { length, most })
    );
}

#[test]
fn envelope_above_the_limit_is_not_encoded() {
    let result = encode_frame(&heartbeats(100), 50);
    assert!(matches!(result, Err(CodecError::TooLong { most: 50, .. })));
}

#[test]
fn long_envelope_is_split_into_frames() {
    // Guards against a link that breaks each time a home sends its full state to a new one: a
    // batch may hold more messages to one peer than the receiver accepts in a frame, so the sender
    // must keep to the receiver's limit.
    for (count, max_frame) in [(2 * MAX_MESSAGES + 5, MAX_FRAME), (300, 100)] {
        let mut frames = Vec::new();
        assert_eq!(encode_frames(&heartbeats(count), max_frame, &mut frames), 0);
        let mut decoder = FrameDecoder::new(max_frame);
        frames.iter().for_each(|it| decoder.push(it));
        let all = decode_all(&mut decoder).unwrap();
        let messages: usize = all.iter().map(|it| it.messages.len()).sum();
        assert_eq!(messages, count);
        assert!(all.iter().all(|it| it.catalogue_revision == 1));
    }
}

#[test]
fn more_messages_than_allowed_are_rejected() {
    // Guards against a frame of one megabyte that uses a hundred megabytes of memory: a peer sends
    // a million messages of one byte each, which a limit on the bytes of a frame does not prevent.
    for (count, is_accepted) in [(MAX_MESSAGES, true), (MAX_MESSAGES + 1, false)] {
        let frame = encode_frame(&heartbeats(count), MAX_FRAME).unwrap();
        let mut decoder = FrameDecoder::new(MAX_FRAME);
        decoder.push(&frame);
        assert_eq!(decoder.next_envelope().is_ok(), is_accepted, "{count}");
    }
}

#[test]
fn bytes_after_the_envelope_are_rejected() {
    let mut frame = encode_frame(&heartbeats(1), MAX_FRAME).unwrap().to_vec();
    frame.push(0);
    frame[3] += 1;
    let mut decoder = FrameDecoder::new(MAX_FRAME);
    decoder.push(&frame);
    assert_eq!(decoder.next_envelope(), Err(CodecError::TrailingBytes));
}
