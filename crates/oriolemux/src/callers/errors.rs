//! Error responses to callers.

use crate::events;
use core::time::Duration;
use http::StatusCode;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use oriolemux_core::note::Note;
use oriolemux_core::reason::ReasonGroup;
use oriolemux_core::{Outcome, Reason, RequestId, Verdict};
use poem::Response;
use serde::Serialize;

/// The header of every response that holds the request id.
pub const REQUEST_HEADER: &str = "oriolemux-request";

/// An error that is sent to a caller, as a response or as the last event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    request: RequestId,
    reason: Reason,
    outcome: Outcome,
    retry_after: Option<Duration>,
    delivered: u32,
    /// What is wrong with the caller's input, if the input is at fault.
    detail: Option<String>,
}

#[derive(Serialize)]
struct ErrorJson<'a> {
    error: ErrorFields<'a>,
}

#[derive(Serialize)]
struct ErrorFields<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    reason: &'static str,
    outcome: &'static str,
    request: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delivered: Option<u32>,
}

impl ErrorResponse {
    /// Creates the error for a verdict of the node.
    pub fn from_verdict(request: RequestId, verdict: &Verdict) -> Self {
        ErrorResponse {
            request,
            reason: verdict.reason(),
            outcome: verdict.outcome(),
            retry_after: verdict.retry_after(),
            delivered: verdict.delivered(),
            detail: None,
        }
    }

    /// Refuses a request that was never submitted to the node, and counts the refusal, because the
    /// node cannot count it.
    pub fn not_submitted(request: RequestId, reason: Reason) -> Self {
        events::emit(&Note::Refused { request, reason });
        ErrorResponse {
            request,
            reason,
            outcome: Outcome::NotRun,
            retry_after: None,
            delivered: 0,
            detail: None,
        }
    }

    /// Changes the outcome from "not run" to "unknown", for a request that may be the duplicate of
    /// one that ran.
    #[must_use]
    pub fn with_unknown_outcome(mut self) -> Self {
        self.outcome = Outcome::Unknown;
        self
    }

    /// Adds what is wrong with the input.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Returns the error as a full response.
    pub fn into_response(self) -> Response {
        let status = StatusCode::from_u16(self.reason.http_status());
        let mut builder = Response::builder()
            .status(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
            .header(CONTENT_TYPE, "application/json")
            .header(REQUEST_HEADER, self.request.to_string());
        if let Some(retry_after) = self.retry_after {
            builder = builder.header(RETRY_AFTER, whole_seconds(retry_after));
        }
        builder.body(self.to_json())
    }

    /// Appends the error as the last event of a stream.
    pub fn write_event(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(b"event: error\ndata: ");
        out.extend_from_slice(&self.to_json());
        out.extend_from_slice(b"\n\n");
    }

    fn to_json(&self) -> Vec<u8> {
        let message = match &self.detail {
            Some(detail) => format!("{}: {detail}", message(self.reason)),
            None => message(self.reason),
        };
        let json = ErrorJson {
            error: ErrorFields {
                message: &message,
                kind: kind(self.reason),
                reason: self.reason.as_str(),
                outcome: self.outcome.as_str(),
                request: self.request.to_string(),
                retry_after_ms: self.retry_after.map(whole_millis),
                delivered: (self.outcome == Outcome::Partial).then_some(self.delivered),
            },
        };
        serde_json::to_vec(&json).expect("strings and numbers serialise")
    }
}

/// Rounds up, so that a caller that obeys never retries too early.
fn whole_seconds(d: Duration) -> u64 {
    d.as_secs() + u64::from(d.subsec_nanos() > 0)
}

fn whole_millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the error type from which OpenAI clients choose the exception that they raise.
fn kind(reason: Reason) -> &'static str {
    match (reason.group(), reason.http_status()) {
        (_, 401) => "authentication_error",
        (_, 403) => "permission_error",
        (_, 429) => "rate_limit_error",
        (ReasonGroup::Input, _) => "invalid_request_error",
        (ReasonGroup::Limit, _) => "overloaded_error",
        _ => "api_error",
    }
}

/// Returns a sentence that describes the reason, without its full stop.
fn message(reason: Reason) -> String {
    let doc = reason.doc().concat();
    doc.trim().trim_end_matches('.').to_owned()
}
