//! No input bytes and no messages from a peer cause a panic.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::catalogue::sync::{
    CatalogueMessage, CatalogueSync, Edit, Piece, Roles, ShardId, SyncConfig, apply, diff,
};
use oriolemux_core::catalogue::{Digest, parse_index, parse_shard};
use oriolemux_core::event::{PeerId, ValueName};
use oriolemux_core::findings::MAX_LISTED;
use oriolemux_core::ids::{Incarnation, InstanceKey};
use proptest::collection::vec;
use proptest::prelude::*;

const GOOD: &str = include_str!("../../../examples/savannah-threads/catalogue-index.toml");
const GOOD_SHARD: &str = include_str!("../../../examples/savannah-threads/catalogue-shard-0.toml");

/// A valid text with a few characters overwritten, truncated or inserted. Most results have one
/// error, which reaches deeper code than random bytes do.
fn mutated(text: &'static str) -> impl Strategy<Value = Vec<u8>> {
    let edit = (0..text.len(), 0..3_u8, any::<u8>());
    vec(edit, 1..8).prop_map(move |edits| {
        let mut bytes = text.as_bytes().to_vec();
        for (at, kind, byte) in edits {
            let at = at.min(bytes.len().saturating_sub(1));
            match kind {
                0 => bytes[at] = byte,
                1 => bytes.truncate(at.max(1)),
                _ => bytes.insert(at, byte),
            }
        }
        bytes
    })
}

/// Tokens of the format in any order.
fn shuffled_tokens() -> impl Strategy<Value = Vec<u8>> {
    let word = prop_oneof![
        Just("[[entry]]\n"),
        Just("[[class]]\n"),
        Just("[[workspace]]\n"),
        Just("[class]\n"),
        Just("limits = {"),
        Just("limits.concurrent = 1\n"),
        Just("}\n"),
        Just("name = \"x\"\n"),
        Just("name = [1, [2, {a = 3}]]\n"),
        Just("revision = -9223372036854775808\n"),
        Just("shards = [\"\", \"00\"]\n"),
        Just("preemption_risk = nan\n"),
        Just("wait_target_ms = 1979-05-27\n"),
        Just("\"\\u0000\" = true\n"),
        Just("'''\n"),
        Just("é\n"),
    ];
    vec(word, 0..40).prop_map(|words| words.concat().into_bytes())
}

proptest! {
    #[test]
    fn no_bytes_panic_the_readers(
        bytes in prop_oneof![
            mutated(GOOD),
            mutated(GOOD_SHARD),
            shuffled_tokens(),
            vec(any::<u8>(), 0..300),
        ],
        number in any::<u32>(),
        count in any::<u32>(),
    ) {
        let index = parse_index(&bytes);
        let shard = parse_shard(&bytes, number, count);

        for findings in index.err().into_iter().chain(shard.err()) {
            prop_assert!(!findings.is_empty());
            prop_assert!(findings.iter().count() <= MAX_LISTED);
            prop_assert!(findings.iter().all(|it| it.place.line > 0 && it.place.column > 0));
        }
    }

    #[test]
    fn verdict_is_the_same_every_time(bytes in mutated(GOOD)) {
        let first = parse_index(&bytes).map(|it| it.digest());
        let second = parse_index(&bytes).map(|it| it.digest());

        prop_assert_eq!(first, second);
    }

    #[test]
    fn changes_turn_the_old_text_into_the_new(
        old in "([a-d]{0,2}\n){0,90}[a-d]{0,2}",
        new in "([a-d]{0,2}\n){0,90}[a-d]{0,2}",
    ) {
        let edits = diff(&old, &new).unwrap();

        prop_assert_eq!(apply(&old, &edits), Some(new));
    }
}

fn digest() -> impl Strategy<Value = Digest> {
    (0..4_u8).prop_map(|byte| Digest([byte; 32]))
}

fn piece() -> impl Strategy<Value = Piece> {
    let offset = prop_oneof![Just(0), 0..100_u32, any::<u32>()];
    let total = prop_oneof![0..100_u32, any::<u32>()];
    (offset, total, vec(any::<u8>(), 0..50)).prop_map(|(offset, total, bytes)| Piece {
        offset,
        total,
        bytes,
    })
}

fn shard() -> impl Strategy<Value = ShardId> {
    let number = prop_oneof![0..4_u32, any::<u32>()];
    let count = prop_oneof![0..4_u32, any::<u32>()];
    (number, count, digest()).prop_map(|(number, count, digest)| ShardId {
        number,
        count,
        digest,
    })
}

fn message() -> impl Strategy<Value = CatalogueMessage> {
    let edit = prop_oneof![
        any::<u32>().prop_map(Edit::Keep),
        any::<u32>().prop_map(Edit::Skip),
        ".{0,9}".prop_map(Edit::Insert),
    ];
    prop_oneof![
        (any::<u64>(), digest())
            .prop_map(|(revision, digest)| CatalogueMessage::InForce { revision, digest }),
        proptest::option::of(digest()).prop_map(|have| CatalogueMessage::IndexWanted { have }),
        (digest(), any::<u32>())
            .prop_map(|(digest, offset)| CatalogueMessage::IndexMore { digest, offset }),
        (digest(), piece())
            .prop_map(|(digest, piece)| CatalogueMessage::IndexPiece { digest, piece }),
        (digest(), digest(), vec(edit, 0..4))
            .prop_map(|(from, to, edits)| CatalogueMessage::IndexDelta { from, to, edits }),
        Just(CatalogueMessage::IndexAbsent),
        (shard(), any::<u32>())
            .prop_map(|(id, offset)| CatalogueMessage::ShardWanted { id, offset }),
        (shard(), piece()).prop_map(|(id, piece)| CatalogueMessage::ShardPiece { id, piece }),
        shard().prop_map(|id| CatalogueMessage::ShardAbsent { id }),
    ]
}

#[derive(Clone, Debug)]
enum Input {
    Message(u8, CatalogueMessage),
    PeerRevision(u8, u64),
    Index(u64, Vec<u8>),
    Shard(u32, Vec<u8>),
    Failed(u32),
    Want(u32),
    Pass(u64),
}

fn input() -> impl Strategy<Value = Input> {
    let good = Just(GOOD.as_bytes().to_vec());
    let good_shard = Just(GOOD_SHARD.as_bytes().to_vec());
    prop_oneof![
        4 => (0..3_u8, message()).prop_map(|(from, message)| Input::Message(from, message)),
        1 => (0..3_u8, any::<u64>()).prop_map(|(from, it)| Input::PeerRevision(from, it)),
        1 => (any::<u64>(), prop_oneof![good, mutated(GOOD)])
            .prop_map(|(revision, bytes)| Input::Index(revision, bytes)),
        1 => (0..3_u32, prop_oneof![good_shard, mutated(GOOD_SHARD)])
            .prop_map(|(number, bytes)| Input::Shard(number, bytes)),
        1 => (0..3_u32).prop_map(Input::Failed),
        1 => any::<u32>().prop_map(Input::Want),
        2 => (0..10_000_u64).prop_map(Input::Pass),
    ]
}

fn key(number: u8) -> InstanceKey {
    InstanceKey::of(&format!("instance-{number}"))
}

fn started() -> CatalogueSync {
    let all: Vec<InstanceKey> = (0..3).map(key).collect();
    let roles = Roles {
        me: key(0),
        watchers: all[..2].to_vec(),
        near: all.clone(),
        far: Vec::new(),
        all,
    };
    let mut sync = CatalogueSync::new(SyncConfig::new(1));
    sync.start(Time::ZERO);
    sync.set_roles(Time::ZERO, roles, &mut Vec::new());
    sync
}

proptest! {
    #[test]
    fn no_input_panics_the_machine_or_lowers_its_revision(inputs in vec(input(), 0..60)) {
        let mut sync = started();
        let mut now = Time::ZERO;
        let mut out = Vec::new();
        let mut highest = 0;
        for input in inputs {
            match input {
                Input::Message(from, message) => {
                    let from = PeerId { instance: key(from), incarnation: Incarnation(1) };
                    sync.message(now, from, message, &mut out);
                }
                Input::PeerRevision(from, revision) => {
                    let from = PeerId { instance: key(from), incarnation: Incarnation(1) };
                    sync.peer_revision(now, from, revision);
                }
                Input::Index(revision, bytes) => {
                    let name = ValueName::CatalogueIndex;
                    sync.value(now, &name, revision, &bytes, &mut out);
                }
                Input::Shard(number, bytes) => {
                    let name = ValueName::CatalogueShard(number);
                    sync.value(now, &name, 1, &bytes, &mut out);
                }
                Input::Failed(number) => {
                    sync.failed(now, &ValueName::CatalogueShard(number), &mut out);
                }
                Input::Want(number) => sync.want_shard(now, number, &mut out),
                Input::Pass(millis) => {
                    now += Duration::from_millis(millis);
                    sync.tick(now, &mut out);
                    prop_assert!(sync.next_wake() > now, "it wants to wake at once for ever");
                }
            }
            prop_assert!(sync.revision() >= highest);
            highest = sync.revision();
        }
    }
}
