//! The endpoint's definite refusal, read from its answer.

use crate::reason::Reason;
use core::time::Duration;
use serde::Deserialize;

/// The statuses that can carry a definite refusal.
const REFUSAL_STATUSES: [u16; 2] = [429, 503];

/// What the body must say for the refusal to be definite.
const NOT_RUN: &str = "not_run";

/// The longest wait that is taken from an endpoint's answer.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3_600);

/// An endpoint's own statement that it ran nothing and will run nothing.
///
/// It is made only by [`Refusal::parse`]. A status alone is no refusal: a proxy
/// or an engine that crashed half-way answers 503 as well, and taking that as
/// "not run" would sell a shirt twice.
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
    /// Reads an answer's status, its `Retry-After` header and its body. Returns
    /// `None` if the answer says nothing about whether the request ran.
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

    /// Returns when the endpoint asked to come back, if it said so.
    pub const fn retry_after(&self) -> Option<Duration> {
        self.retry_after
    }
}

fn parse_seconds(text: &str) -> Option<Duration> {
    let secs = text.trim().parse().ok()?;
    Some(Duration::from_secs(secs).min(MAX_RETRY_AFTER))
}
