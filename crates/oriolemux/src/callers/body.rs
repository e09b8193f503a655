//! Reads the body of a caller's request, with limits on size and time.

use core::time::Duration;
use futures_util::StreamExt;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use oriolemux_core::Reason;
use oriolemux_gateway::bodies::{self, KeptBodies, KeptBody};
use poem::Body;
use std::io;
use std::sync::Arc;
use tokio::time::timeout;

/// Why a body was rejected.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BodyError {
    /// it has more than {limit} bytes
    TooLarge {
        /// The limit.
        limit: usize,
    },
    /// the bodies of other requests have taken the memory
    Full,
    /// it was not sent within {limit:?}
    TooSlow {
        /// The limit.
        limit: Duration,
    },
    /// it could not be read
    Broken(#[source] io::Error),
}

impl BodyError {
    /// Returns the reason for the error response.
    pub fn reason(&self) -> Reason {
        match self {
            BodyError::TooLarge { .. } => Reason::BodyTooLarge,
            BodyError::Full => Reason::InstanceFull,
            BodyError::TooSlow { .. } | BodyError::Broken(_) => Reason::BadRequest,
        }
    }
}

/// Limits on the size and duration of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The most bytes.
    pub bytes: usize,
    /// The longest time from the end of the head to the last byte of the body.
    pub time: Duration,
}

/// Reads a full body.
///
/// # Errors
///
/// Fails if the body exceeds a limit, or yields to those of others. No more bytes than the limit are held in memory.
pub async fn read(
    body: Body,
    headers: &HeaderMap,
    limits: BodyLimits,
    kept: &Arc<KeptBodies>,
) -> Result<(Vec<u8>, KeptBody), BodyError> {
    let declared = headers.get(CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|bytes| bytes > limits.bytes) {
        return Err(BodyError::TooLarge {
            limit: limits.bytes,
        });
    }
    let expected = declared.unwrap_or(limits.bytes);
    let reading = read_bounded(body, expected, limits.bytes, kept.open());
    timeout(limits.time, reading)
        .await
        .unwrap_or(Err(BodyError::TooSlow { limit: limits.time }))
}

async fn read_bounded(
    body: Body,
    expected: usize,
    limit: usize,
    kept: KeptBody,
) -> Result<(Vec<u8>, KeptBody), BodyError> {
    let mut chunks = body.into_bytes_stream();
    loop {
        let chunk = tokio::select! {
            biased;
            () = kept.evicted() => return Err(BodyError::Full),
            chunk = chunks.next() => chunk,
        };
        let Some(chunk) = chunk else {
            let (bytes, kept) = kept.complete();
            return Ok((bytes.into_vec(), kept));
        };
        let chunk = chunk.map_err(BodyError::Broken)?;
        kept.append(&chunk, expected, limit)?;
    }
}

impl From<bodies::BodyError<io::Error>> for BodyError {
    fn from(error: bodies::BodyError<io::Error>) -> Self {
        match error {
            bodies::BodyError::TooLarge(limit) => BodyError::TooLarge { limit },
            bodies::BodyError::NoRoom(_) | bodies::BodyError::Evicted => BodyError::Full,
            bodies::BodyError::Broken(error) => BodyError::Broken(error),
        }
    }
}
