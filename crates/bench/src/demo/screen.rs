//! What the demo prints.

use crate::load::{CallerEnding, Received};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Of a long text only every so many tokens are shown.
const SHOWN_EVERY: u32 = 80;
/// Tokens of each text that are always shown.
const SHOWN_FIRST: u32 = 2;
/// How often it is looked whether first tokens have come.
const POLL: Duration = Duration::from_millis(10);
/// How long first tokens are waited for.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_secs(10);

/// Prints lines with the time since the start.
#[derive(Debug)]
pub struct Screen {
    begun: Instant,
    first_tokens: Mutex<usize>,
}

impl Screen {
    /// Starts the clock.
    pub fn new() -> Self {
        Screen {
            begun: Instant::now(),
            first_tokens: Mutex::new(0),
        }
    }

    /// Prints a heading.
    pub fn head(&self, text: &str) {
        if let Ok(mut count) = self.first_tokens.lock() {
            *count = 0;
        }
        println!("\n{:>7.3} s  == {text}", self.seconds());
    }

    /// Prints a line.
    pub fn line(&self, text: &str) {
        println!("{:>7.3} s  {text}", self.seconds());
    }

    /// Shows a token, or leaves it out if enough of its text was shown.
    pub fn token(&self, name: &str, index: u32, text: &str) {
        if index == 0
            && let Ok(mut count) = self.first_tokens.lock()
        {
            *count += 1;
        }
        if index < SHOWN_FIRST || index.is_multiple_of(SHOWN_EVERY) {
            self.line(&format!("{name:<10} token {index:>4}: {text:?}"));
        }
    }

    /// Waits until so many requests have had their first token since the last heading.
    pub async fn first_tokens(&self, wanted: usize) {
        let deadline = Instant::now() + FIRST_TOKEN_LIMIT;
        while self.first_tokens.lock().is_ok_and(|count| *count < wanted) {
            if Instant::now() > deadline {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Shows how a request ended.
    pub fn ended(&self, name: &str, received: &Received) {
        let how = match &received.ending {
            CallerEnding::Complete { .. } => format!(
                "whole answer, {} tokens, first after {} ms, all after {} ms",
                received.tokens,
                received.first_token_us.unwrap_or_default() / 1_000,
                received.lasted_us / 1_000
            ),
            CallerEnding::Error {
                reason,
                outcome,
                retry_after_ms: Some(millis),
                ..
            } => format!("refused: {reason}, outcome {outcome}, come back in {millis} ms"),
            CallerEnding::Error {
                reason, outcome, ..
            } => format!("error {reason}, outcome {outcome}"),
            CallerEnding::Broken { detail, .. } => format!("broken: {detail}"),
            CallerEnding::Malformed { detail } => format!("malformed: {detail}"),
        };
        self.line(&format!("{name:<10} {how}"));
    }

    fn seconds(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }
}
