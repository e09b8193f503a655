//! Compact encoding of a batch of checkpoints, the most frequent peer message.
//!
//! A batch is one flat sequence of integers, two per checkpoint. The first is the difference
//! between its sequence number and the previous one; the difference wraps, so any order can be
//! encoded. The second is the number of tokens. Checkpoints are usually at multiples of
//! [`FIRST_CHECKPOINT`], so tokens are encoded as `2 * (tokens / 64)`, or as `2 * tokens + 1` if
//! they are not a multiple. With a variable-length integer encoding a checkpoint takes two to four
//! bytes instead of eight to ten.

use crate::cell::message::Checkpoint;
use crate::checkpoint::FIRST_CHECKPOINT;
use core::fmt;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserializer, Serializer};

/// Upper bound on the capacity reserved before any checkpoint is decoded. The encoded length is
/// untrusted: a message of a few bytes could otherwise cause an allocation of gigabytes.
const MAX_RESERVED: usize = 1_024;

pub(super) fn serialize<S: Serializer>(batch: &[Checkpoint], ser: S) -> Result<S::Ok, S::Error> {
    let mut seq = ser.serialize_seq(Some(2 * batch.len()))?;
    let mut before = 0;
    for checkpoint in batch {
        seq.serialize_element(&checkpoint.seq.wrapping_sub(before))?;
        seq.serialize_element(&pack(checkpoint.tokens))?;
        before = checkpoint.seq;
    }
    seq.end()
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(de: D) -> Result<Vec<Checkpoint>, D::Error> {
    de.deserialize_seq(Batch)
}

struct Batch;

impl<'de> Visitor<'de> for Batch {
    type Value = Vec<Checkpoint>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("pairs of a sequence number and a token count")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let claimed = seq.size_hint().unwrap_or(0) / 2;
        let mut batch = Vec::with_capacity(claimed.min(MAX_RESERVED));
        let mut before = 0_u64;
        while let Some(step) = seq.next_element::<u64>()? {
            let packed = seq.next_element::<u64>()?;
            let packed =
                packed.ok_or_else(|| A::Error::custom("checkpoint without a token count"))?;
            before = before.wrapping_add(step);
            let tokens =
                unpack(packed).ok_or_else(|| A::Error::custom("token count exceeds 32 bits"))?;
            batch.push(Checkpoint {
                seq: before,
                tokens,
            });
        }
        Ok(batch)
    }
}

fn pack(tokens: u32) -> u64 {
    match tokens.is_multiple_of(FIRST_CHECKPOINT) {
        true => 2 * u64::from(tokens / FIRST_CHECKPOINT),
        false => 2 * u64::from(tokens) + 1,
    }
}

fn unpack(packed: u64) -> Option<u32> {
    let value = u32::try_from(packed / 2).ok()?;
    match packed.is_multiple_of(2) {
        true => value.checked_mul(FIRST_CHECKPOINT),
        false => Some(value),
    }
}
