//! What a caller got.

use super::micros;
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// What the record of a caller that went away says.
pub(super) const LEFT: &str = "the caller left";

/// What a caller got for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Received {
    /// The prompt or body that was sent; it holds the caller's marker.
    pub prompt: String,
    /// The request's name, as the instance gave it.
    pub request: Option<String>,
    /// The text, byte for byte.
    pub text: String,
    /// Tokens (or answers) that made up the text.
    pub tokens: u32,
    /// Whether the instance's token indexes ran 0, 1, 2 and so on.
    pub indexes_in_order: bool,
    /// Whether every chunk carried the name of this request.
    pub ids_match: bool,
    /// Time from the send to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Times between tokens, in microseconds.
    pub gaps_us: Vec<u64>,
    /// Time from the send to the end, in microseconds.
    pub lasted_us: u64,
    /// How it ended.
    pub ending: CallerEnding,
    last_token_us: u64,
}

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ending", rename_all = "snake_case")]
pub enum CallerEnding {
    /// The whole answer came.
    Complete {
        /// The finish reason.
        finish_reason: String,
        /// Tokens, as the instance counted them.
        tokens: Option<u32>,
    },
    /// A typed error came.
    Error {
        /// The HTTP status; 0 inside a stream.
        status: u16,
        /// The reason.
        reason: String,
        /// What the caller may believe: `not_run`, `unknown` or `partial`.
        outcome: String,
        /// Tokens that stand.
        delivered: u32,
        /// When to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The connection broke.
    Broken {
        /// Whether there was a connection at all.
        connected: bool,
        /// What broke.
        detail: String,
    },
    /// Something came that is not in the protocol.
    Malformed {
        /// What came.
        detail: String,
    },
}

impl Received {
    /// Begins a record for a request with this prompt.
    pub fn new(prompt: &str) -> Self {
        Received {
            prompt: prompt.to_owned(),
            request: None,
            text: String::new(),
            tokens: 0,
            indexes_in_order: true,
            ids_match: true,
            first_token_us: None,
            gaps_us: Vec::new(),
            lasted_us: 0,
            ending: CallerEnding::Broken {
                connected: false,
                detail: "not sent".to_owned(),
            },
            last_token_us: 0,
        }
    }

    /// Returns whether the whole answer came.
    pub fn is_complete(&self) -> bool {
        matches!(self.ending, CallerEnding::Complete { .. })
    }

    /// Returns whether the caller itself went away.
    pub fn left(&self) -> bool {
        matches!(&self.ending, CallerEnding::Broken { detail, .. } if detail == LEFT)
    }

    /// Returns the outcome of a typed error, if one came.
    pub fn outcome(&self) -> Option<&str> {
        match &self.ending {
            CallerEnding::Error { outcome, .. } => Some(outcome),
            _ => None,
        }
    }

    pub(super) fn token(&mut self, text: &str, index: Option<u32>, begun: Instant) {
        let at = micros(begun.elapsed());
        match self.first_token_us {
            None => self.first_token_us = Some(at),
            Some(_) => self.gaps_us.push(at - self.last_token_us),
        }
        self.last_token_us = at;
        self.indexes_in_order &= index.is_none_or(|index| index == self.tokens);
        self.tokens += 1;
        self.text.push_str(text);
    }

    pub(super) fn note_id(&mut self, id: &str) {
        let named = self.request.as_deref();
        self.ids_match &= named.is_none_or(|name| name == id);
    }
}

/// A ticket, as instances answer it.
#[derive(Debug, Deserialize)]
pub(super) struct Ticket {
    pub(super) ticket: String,
}

/// A chunk of a stream, or a whole answer.
#[derive(Debug, Deserialize)]
pub(super) struct Chunk {
    #[serde(default)]
    pub(super) id: String,
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    pub(super) token_index: Option<u32>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    #[serde(default)]
    completion_tokens: Option<u32>,
}

impl Chunk {
    pub(super) fn text(&self) -> &str {
        self.choices
            .first()
            .map_or("", |choice| choice.text.as_str())
    }

    pub(super) fn completed(&self) -> Option<CallerEnding> {
        let finish_reason = self.choices.first()?.finish_reason.clone()?;
        Some(CallerEnding::Complete {
            finish_reason,
            tokens: self
                .usage
                .as_ref()
                .and_then(|usage| usage.completion_tokens),
        })
    }
}

/// An error, as instances answer it.
#[derive(Debug, Deserialize)]
pub(super) struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Deserialize)]
struct ErrorDetail {
    #[serde(default)]
    reason: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    delivered: u32,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

impl ErrorBody {
    pub(super) fn ending(self, status: u16) -> CallerEnding {
        CallerEnding::Error {
            status,
            reason: self.error.reason,
            outcome: self.error.outcome,
            delivered: self.error.delivered,
            retry_after_ms: self.error.retry_after_ms,
        }
    }
}

/// Reads the body of a refusal.
pub(super) fn parse_error(status: u16, body: &[u8]) -> CallerEnding {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => body.ending(status),
        Err(_) => CallerEnding::Malformed {
            detail: format!("status {status}: {}", String::from_utf8_lossy(body)),
        },
    }
}
