//! Fingerprints that identify identical requests.

use core::fmt;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The parts of a request that a fingerprint covers.
///
/// The headers and the caller's id of its attempt are not part of it, because they differ when the
/// caller retries the request.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Identifies the deployment.
    pub deployment: u64,
    /// The workspace; `None` where entries are open to all callers.
    pub workspace: Option<&'a str>,
    /// The host that the caller requested.
    pub host: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The name of a part of a prompt, as its caller states it. Prompts share a part if they state the
/// same name for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPartId(pub u128);

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The bits that are set in the fingerprints of all prompt parts, by which they differ from those of
/// requests. One in four billion requests has them as well; it is then refused only after separate
/// crashes, as a part is.
const PART_MARK: u128 = 0xffff_ffff << 96;

/// Keeps what is hashed for a part apart from what is hashed for a request.
const PART_DOMAIN: &[u8] = b"prompt part";

/// A hash that identifies a request between instances without containing any of its text.
///
/// It is the first half of a SHA-256 digest. With a hash that is not collision resistant, a caller
/// could get another caller's request refused by sending a different one with the same hash. The
/// hash covers the workspace, so that a collision could affect only requests of the same
/// workspace.
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
        Fingerprint(half_of(hash))
    }

    /// Returns the fingerprint of a part that prompts for one service share.
    pub fn of_prompt_part(deployment: u64, service: &str, part: PromptPartId) -> Self {
        let mut hash = Sha256::new();
        hash.update(PART_DOMAIN);
        hash.update(deployment.to_le_bytes());
        hash.update((service.len() as u64).to_le_bytes());
        hash.update(service);
        hash.update(part.0.to_le_bytes());
        Fingerprint(half_of(hash) | PART_MARK)
    }

    /// Returns whether this is the fingerprint of a part of a prompt.
    pub const fn is_prompt_part(self) -> bool {
        self.0 & PART_MARK == PART_MARK
    }

    /// Returns the key for rendezvous hashing of this request.
    pub const fn rank_key(self) -> u64 {
        (self.0 >> 64) as u64 ^ self.0 as u64
    }
}

/// Returns the first half of a digest.
fn half_of(hash: Sha256) -> u128 {
    let digest: [u8; 32] = hash.finalize().into();
    let (half, _) = digest.split_at(16);
    half.iter()
        .fold(0, |sum, byte| sum << 8 | u128::from(*byte))
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
