//! An endpoint's definite refusal, parsed from its response.

use crate::reason::Reason;
use core::time::Duration;
use serde::Deserialize;

/// HTTP statuses that can carry a definite refusal.
const REFUSAL_STATUSES: [u16; 2] = [429, 503];

/// Outcome that the body must state for the refusal to be definite.
const NOT_RUN: &str = "not_run";

/// Upper bound of the delay that is accepted from an endpoint's `Retry-After` header.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// An endpoint's own statement that it did not and will not run the request.
///
/// Only [`Refusal::parse`] creates one. A status alone is not a refusal: a proxy, or an engine that
/// crashed while it ran the request, also responds with 503. Treating that as "not run" would
/// execute the work twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    reason: Reason,
    retry_after: Option<Duration>,
}

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    error: BodyError<'a>,
}

#[derive(Deserialize)]
struct BodyError<'a> {
    #[serde(borrow)]
    reason: std::borrow::Cow<'a, str>,
    #[serde(borrow)]
    outcome: std::borrow::Cow<'a, str>,
}

impl Refusal {
    /// Parses a response's status, `Retry-After` header and body. Returns `None` if the response
    /// does not state whether the request ran.
    pub fn parse(status: u16, retry_after: Option<&str>, body: &[u8]) -> Option<Self> {
        if !REFUSAL_STATUSES.contains(&status) {
            return None;
        }
        let body: Body<'_> = serde_json::from_slice(body).ok()?;
        if body.error.outcome != NOT_RUN {
            return None;
        }
        let reason = match body.error.reason.as_ref() {
            "leaving" => Reason::EndpointLeaving,
            "not_loaded" => Reason::EndpointNotLoaded,
            _ => Reason::EndpointRefused,
        };
        Some(Refusal {
            reason,
            retry_after: retry_after.and_then(parse_seconds),
        })
    }

    /// Returns why the endpoint refused.
    pub const fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the delay that the endpoint suggested before a retry, if any.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

fn parse_seconds(text: &str) -> Option<Duration> {
    let secs = text.trim().parse().ok()?;
    Some(Duration::from_secs(secs).min(MAX_RETRY_AFTER))
}
