//! What makes two requests the same.

use core::fmt;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// All that decides whether two requests are the same: who asks, for what, and the body.
///
/// The caller's name of its attempt is none of it, nor are the headers: a request that is
/// sent once more has new ones.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Tells deployments apart.
    pub deployment: u64,
    /// The workspace; nothing where entries are open to all.
    pub workspace: Option<&'a str>,
    /// The host that the caller named.
    pub host: &'a str,
    /// The method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// A hash by which instances tell each other of a request without any text of it.
///
/// It is the first half of a SHA-256. What goes wrong with a hash for which equal values can
/// be made: a caller has the request of another one refused by sending its twin. The
/// workspace is hashed too, so that a caller could harm its own requests only.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Returns the fingerprint of a request.
    pub fn of(identity: &Identity<'_>) -> Self {
        let mut hash = Sha256::new();
        hash.update(identity.deployment.to_le_bytes());
        hash.update([u8::from(identity.workspace.is_some())]);
        for part in [
            identity.workspace.unwrap_or_default(),
            identity.host,
            identity.method,
            identity.path,
        ] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update(identity.body);
        let digest: [u8; 32] = hash.finalize().into();
        let (half, _) = digest.split_at(16);
        Fingerprint(
            half.iter()
                .fold(0, |sum, byte| sum << 8 | u128::from(*byte)),
        )
    }

    /// Returns a number that ranks instances for this request.
    pub const fn rank_key(self) -> u64 {
        (self.0 >> 64) as u64 ^ self.0 as u64
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
