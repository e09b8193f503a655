//! Integer identifiers.
//!
//! There are two kinds. *Keys* are stable 64-bit hashes of published names. Every instance computes
//! the same key from the same name, so messages between instances carry keys. *Entities* (`u32`
//! newtypes made with `entity_impl!`) index dense maps inside one process and never leave it; they
//! are declared next to the map that owns them.

use core::fmt;
use serde::{Deserialize, Serialize};
use std::hash::Hasher;
use std::net::SocketAddrV4;
use twox_hash::XxHash64;

/// Seed of all hashes of published names. A change of the seed assigns every key to another home
/// (the instance that decides for the key), so it belongs to the version of the peer protocol.
const KEY_SEED: u64 = 0x6f72_696f_6c65;

/// Returns the stable hash of an address for use in rendezvous hashing.
pub fn address_hash(address: SocketAddrV4) -> u64 {
    stable_hash(&[&address.ip().octets(), &address.port().to_le_bytes()])
}

/// Hashes `parts` to the stable 64-bit value that keys are made of.
///
/// A separator goes between the parts, so that `["ab", "c"]` and `["a", "bc"]` differ.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = XxHash64::with_seed(KEY_SEED);
    for part in parts {
        hasher.write(part);
        hasher.write(&[0xff]);
    }
    hasher.finish()
}

macro_rules! key {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the key of the thing published under `name`.
            pub fn of(name: &str) -> Self {
                Self(stable_hash(&[$prefix.as_bytes(), name.as_bytes()]))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "-{:016x}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    };
}

key!(
    /// An instance of oriolemux, by its published name.
    InstanceKey, "inst"
);
key!(
    /// An endpoint (a model engine or a plain service), by its published name.
    EndpointKey, "ep"
);
key!(
    /// A model, by its name in the catalogue.
    ModelKey, "model"
);
key!(
    /// An entry of the catalogue, by its name.
    EntryKey, "entry"
);
key!(
    /// A class of the catalogue, by its name.
    ClassKey, "class"
);
key!(
    /// A workspace, by its name in the catalogue.
    WorkspaceKey, "ws"
);
key!(
    /// A cell: a few endpoints of one model (or service) in one data centre.
    CellKey, "cell"
);

/// Identifies one process run of an instance.
///
/// A process draws its incarnation at random when it starts, so that a restarted instance with the
/// same name and address is never mistaken for its predecessor.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies a request. The process that accepts the request assigns the id.
///
/// Invariant: `seq` is never used twice within one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// The instance that accepted the request.
    pub instance: InstanceKey,
    /// The incarnation of that instance.
    pub incarnation: Incarnation,
    /// Sequence number of the request within the incarnation, from 1.
    pub seq: u64,
}

/// What was wrong with a request id given as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
/// a request id has the form `r-<instance>-<incarnation>-<sequence>` in hexadecimal
pub struct ParseRequestIdError;

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "r-{:016x}-{:016x}-{:x}",
            self.instance.0, self.incarnation.0, self.seq
        )
    }
}

impl core::str::FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text
            .strip_prefix("r-")
            .ok_or(ParseRequestIdError)?
            .split('-');
        let mut next = || {
            let part = parts.next().ok_or(ParseRequestIdError)?;
            u64::from_str_radix(part, 16).map_err(|_| ParseRequestIdError)
        };
        let id = RequestId {
            instance: InstanceKey(next()?),
            incarnation: Incarnation(next()?),
            seq: next()?,
        };
        match parts.next() {
            None => Ok(id),
            Some(_) => Err(ParseRequestIdError),
        }
    }
}

/// Identifies one attempt to run a request at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

impl core::str::FromStr for AttemptId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (request, number) = text.rsplit_once('.').ok_or(ParseRequestIdError)?;
        Ok(AttemptId {
            request: request.parse()?,
            number: number.parse().map_err(|_| ParseRequestIdError)?,
        })
    }
}
