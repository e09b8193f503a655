//! Reads the body of a caller's request, with limits on size and time.

use core::time::Duration;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;
use oriolemux_core::Reason;
use poem::Body;
use std::io;
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// Why a body was rejected.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum BodyError {
    /// it has more than {limit} bytes
    TooLarge {
        /// The limit.
        limit: usize,
    },
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
/// Fails if the body exceeds a limit. No more bytes than the limit are held in memory.
pub async fn read(
    body: Body,
    headers: &HeaderMap,
    limits: BodyLimits,
) -> Result<Vec<u8>, BodyError> {
    let declared = headers.get(CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|bytes| bytes > limits.bytes) {
        return Err(BodyError::TooLarge {
            limit: limits.bytes,
        });
    }
    let reading = read_bounded(body, limits.bytes);
    timeout(limits.time, reading)
        .await
        .unwrap_or(Err(BodyError::TooSlow { limit: limits.time }))
}

async fn read_bounded(body: Body, limit: usize) -> Result<Vec<u8>, BodyError> {
    let one_more = u64::try_from(limit).unwrap_or(u64::MAX).saturating_add(1);
    let mut bytes = Vec::new();
    let mut reader = body.into_async_read().take(one_more);
    let read = reader.read_to_end(&mut bytes).await;
    read.map_err(BodyError::Broken)?;
    if bytes.len() > limit {
        return Err(BodyError::TooLarge { limit });
    }
    Ok(bytes)
}
