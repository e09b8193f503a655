//! Secrets, which come from files only.

use super::Settings;
use core::fmt;
use oriolemux_core::findings::{Findings, Place, Problem};
use std::path::{Path, PathBuf};
use subtle::ConstantTimeEq;

/// A shorter secret could be found by brute force.
const MIN_SECRET_BYTES: usize = 16;
/// A larger file is unlikely to hold a secret and would occupy memory needlessly.
const MAX_SECRET_BYTES: usize = 4096;

/// The path of a file that holds a secret, and the place in the settings that names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SecretFile {
    key: String,
    path: PathBuf,
    place: Place,
}

impl SecretFile {
    pub(super) fn new(key: &str, path: PathBuf, place: Place) -> Self {
        SecretFile {
            key: key.to_owned(),
            path,
            place,
        }
    }

    /// Returns the path.
    pub fn path(&self) -> &Path {
        &self.path
    }

    fn read(&self, findings: &mut Findings) -> Option<Secret> {
        match self.try_read() {
            Ok(secret) => Some(secret),
            Err(why) => {
                let key = self.key.clone();
                findings.push(self.place, Problem::Invalid { key, why });
                None
            }
        }
    }

    fn try_read(&self) -> Result<Secret, String> {
        let path = self.path.display();
        let bytes = std::fs::read(&self.path)
            .map_err(|error| format!("names {path}, which cannot be read: {error}"))?;
        let secret = bytes.trim_ascii();
        if (MIN_SECRET_BYTES..=MAX_SECRET_BYTES).contains(&secret.len()) {
            return Ok(Secret(secret.to_vec()));
        }
        Err(format!(
            "names {path}, whose secret must have {MIN_SECRET_BYTES} to {MAX_SECRET_BYTES} bytes"
        ))
    }
}

/// A secret. It is never displayed, and compared in constant time.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// Makes a secret from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Secret(bytes.into())
    }

    /// Returns the bytes, for the computation of a message authentication code.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns whether `other` is the secret. The time taken does not depend on
    /// how many leading bytes are right, which would let an attacker find the
    /// secret byte by byte.
    pub fn matches(&self, other: &[u8]) -> bool {
        self.0.ct_eq(other).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The secrets that the settings name.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// The secret by which instances authenticate to each other.
    pub peers: Secret,
    /// The operators' key.
    pub operators: Secret,
}

impl Secrets {
    /// Reads the files that `settings` name. Whitespace around a secret is not part of it.
    ///
    /// # Errors
    ///
    /// Returns a finding for each file that cannot be read or whose secret is
    /// too short or too long, at the place where the settings name it.
    pub fn read(settings: &Settings) -> Result<Self, Findings> {
        let mut findings = Findings::new(settings.file.clone());
        let peers = settings.peers.secret_file.read(&mut findings);
        let operators = settings.operators.key_file.read(&mut findings);
        match (peers, operators) {
            (Some(peers), Some(operators)) => Ok(Secrets { peers, operators }),
            _ => Err(findings),
        }
    }
}
