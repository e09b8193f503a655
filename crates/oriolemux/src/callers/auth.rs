//! The bearer key of a request.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

/// Returns the SHA-256 of the bearer key, or `None` if there is none.
///
/// Only the digest is passed on: the catalogue holds digests, and a key that is not kept in memory
/// cannot appear in a log or a dump.
pub fn key_digest(headers: &HeaderMap) -> Option<[u8; 32]> {
    const SCHEME: &str = "bearer";
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case(SCHEME) || key.is_empty() {
        return None;
    }
    Some(Sha256::digest(key.as_bytes()).into())
}
