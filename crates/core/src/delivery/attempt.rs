//! State of the running attempt.

use super::token_log::Cursor;
use super::{MAX_RESUMES, MAX_RESUMES_WITHOUT_TOKEN, RESUME_DELAY};
use crate::checkpoint::next_checkpoint;
use crate::event::{AttemptMode, AttemptUpdate, DeliveryMode, Dispatch};
use crate::ids::AttemptId;
use crate::outcome::Sent;
use crate::reason::Reason;
use core::time::Duration;

/// One attempt, from its send to its end.
#[derive(Debug)]
pub(super) struct Attempt {
    pub id: AttemptId,
    /// The id as the endpoint must echo it, formatted once so that each token needs one comparison.
    pub id_text: String,
    pub delivery: DeliveryMode,
    /// The index that the next token must have.
    pub expected: u32,
    /// Tokens before this index are compared with those that the caller has received.
    pub verify_until: u32,
    pub cursor: Cursor,
    /// Maximum number of tokens of the generation; bounds the token log.
    pub max_tokens: u32,
    /// The state of the send until its first response. It is taken once anything has arrived or a
    /// resumption was requested; from then on there is no proof that the attempt did not run.
    pub pending_send: Option<Sent>,
    /// Duplicates since the last new token.
    pub duplicates: u32,
    /// Whether an earlier attempt of the request may have run.
    pub ran_before: bool,
    resumable: bool,
    resumes: u32,
    resumes_without_token: u32,
    next_checkpoint: u32,
}

impl Attempt {
    pub fn new(dispatch: &Dispatch, sent: Sent, ran_before: bool) -> Self {
        let verify_until = match dispatch.mode {
            AttemptMode::Fresh => 0,
            AttemptMode::Replay { delivered } => delivered,
        };
        Attempt {
            id: dispatch.attempt,
            id_text: dispatch.attempt.to_string(),
            delivery: dispatch.delivery,
            expected: 0,
            verify_until,
            cursor: Cursor::default(),
            max_tokens: dispatch.max_tokens,
            pending_send: Some(sent),
            duplicates: 0,
            ran_before,
            resumable: !dispatch.model.is_empty(),
            resumes: 0,
            resumes_without_token: 0,
            next_checkpoint: next_checkpoint(0),
        }
    }

    /// Counts a new token and returns the report about it, if one is due.
    #[inline]
    pub fn received_token(&mut self) -> Option<AttemptUpdate> {
        self.expected += 1;
        self.duplicates = 0;
        self.resumes_without_token = 0;
        if self.expected == 1 {
            return Some(AttemptUpdate::FirstToken);
        }
        if self.expected == self.next_checkpoint {
            self.next_checkpoint = next_checkpoint(self.expected);
            return Some(AttemptUpdate::Progress {
                tokens: self.expected,
            });
        }
        None
    }

    /// Consumes one of the remaining resumptions and returns the delay before it, or `None` if none
    /// is left.
    pub fn take_resume(&mut self) -> Option<Duration> {
        let spent =
            self.resumes >= MAX_RESUMES || self.resumes_without_token >= MAX_RESUMES_WITHOUT_TOKEN;
        if !self.resumable || spent {
            return None;
        }
        let delay = match self.resumes_without_token {
            0 => Duration::ZERO,
            _ => RESUME_DELAY,
        };
        self.pending_send = None;
        self.resumes += 1;
        self.resumes_without_token += 1;
        self.duplicates = 0;
        Some(delay)
    }

    /// Returns why input with the id `id` does not belong to this attempt.
    pub fn mismatch_reason(&self, id: &str) -> Reason {
        match id.parse::<AttemptId>() {
            Ok(other) if other.request == self.id.request && other.number < self.id.number => {
                Reason::LateAnswer
            }
            _ => Reason::WrongAttempt,
        }
    }
}
