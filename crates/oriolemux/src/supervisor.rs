//! Keeps the parts of an instance running, and stops them in order.
//!
//! A [`Supervisor`] starts its parts in the order given. A part that fails is
//! started again, alone; one that fails more often than the [`Intensity`] allows
//! ends the supervisor, and with it its parent or the process. A planned stop
//! ends the parts one by one in the reverse order and waits for each, however
//! long it takes. A supervisor may itself be a part of another one.

mod part;
mod pause;
mod stop;

pub use part::{PartError, PartFuture};
pub use pause::watch_for_pauses;
pub use stop::StopTokens;

use crate::events::{self, ShellNote};
use core::time::Duration;
use part::Part;
use tokio::task::{Id, JoinError, JoinSet};
use tokio_util::sync::CancellationToken;

/// Pause before a failed part is started again. A part that fails at once would
/// otherwise use up its restarts before the cause (a port still held, a peer that
/// restarts too) can pass.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// How often a part may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intensity {
    /// Restarts allowed within the window.
    pub max_restarts: u32,
    /// The window.
    pub window: Duration,
}

/// Why a supervisor ended before it was told to.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SupervisorError {
    /// the part `{part}` was given up: {error}
    PartGivenUp {
        /// The part.
        part: &'static str,
        /// How it failed last.
        error: String,
    },
    /// stopped at once by a second signal
    StoppedNow,
}

/// Keeps parts running.
pub struct Supervisor {
    intensity: Intensity,
    parts: Vec<Part>,
    running: JoinSet<Result<(), PartError>>,
}

impl Supervisor {
    /// Returns a supervisor without parts.
    pub fn new(intensity: Intensity) -> Self {
        Supervisor {
            intensity,
            parts: Vec::new(),
            running: JoinSet::new(),
        }
    }

    /// Adds a part.
    ///
    /// `start` is called for the first start and for each restart. The future
    /// that it returns ends with `Ok` once the token is cancelled and the part
    /// has finished what it had begun; any other end is a failure.
    pub fn part<F, Fut>(mut self, name: &'static str, mut start: F) -> Self
    where
        F: FnMut(CancellationToken) -> Fut + Send + 'static,
        Fut: Future<Output = Result<(), PartError>> + Send + 'static,
    {
        let start = move |stop| -> PartFuture { Box::pin(start(stop)) };
        self.parts.push(Part::new(name, Box::new(start)));
        self
    }

    /// Starts the parts and runs them until a stop is asked for.
    ///
    /// # Errors
    ///
    /// Returns which part was given up, or that the stop was immediate. The other
    /// parts are ended at once then.
    pub async fn run(mut self, stop: &StopTokens) -> Result<(), SupervisorError> {
        for part in &mut self.parts {
            part.start(&mut self.running, Duration::ZERO);
        }
        // Parts before this index were not yet told to stop.
        let mut kept = self.parts.len();
        loop {
            let stopping = kept < self.parts.len();
            tokio::select! {
                biased;
                () = stop.now.cancelled() => return Err(SupervisorError::StoppedNow),
                () = stop.planned.cancelled(), if !stopping => {
                    if !self.stop_before(&mut kept) {
                        return Ok(());
                    }
                }
                Some(ended) = self.running.join_next_with_id() => {
                    let (index, result) = self.identify(ended);
                    if index < kept {
                        self.restart(index, result)?;
                    } else {
                        result.map_err(|error| self.give_up(index, error))?;
                        if !self.stop_before(&mut kept) {
                            return Ok(());
                        }
                    }
                }
            }
        }
    }

    /// Tells the last part that is kept to stop. Returns whether there was one.
    fn stop_before(&mut self, kept: &mut usize) -> bool {
        let Some(last) = kept.checked_sub(1) else {
            return false;
        };
        *kept = last;
        self.parts[last].stop();
        true
    }

    /// Finds out which part ended, and turns a panic into an error.
    fn identify(&self, ended: Ended) -> (usize, Result<(), PartError>) {
        let (id, result) = match ended {
            Ok((id, result)) => (id, result),
            Err(error) => (error.id(), Err(panic_error(error))),
        };
        let index = self.parts.iter().position(|part| part.is(id));
        debug_assert!(index.is_some(), "a task that belongs to no part ended");
        (index.unwrap_or_default(), result)
    }

    fn restart(
        &mut self,
        index: usize,
        result: Result<(), PartError>,
    ) -> Result<(), SupervisorError> {
        let error = match result {
            Ok(()) => PartError::from("it ended without being told to"),
            Err(error) => error,
        };
        if !self.parts[index].may_restart(self.intensity) {
            return Err(self.give_up(index, error));
        }
        let part = self.parts[index].name();
        let error = error.to_string();
        events::emit_shell(&ShellNote::PartRestarted {
            part,
            error: &error,
        });
        self.parts[index].start(&mut self.running, RESTART_PAUSE);
        Ok(())
    }

    fn give_up(&self, index: usize, error: PartError) -> SupervisorError {
        let part = self.parts[index].name();
        let error = error.to_string();
        events::emit_shell(&ShellNote::PartGivenUp {
            part,
            error: &error,
        });
        SupervisorError::PartGivenUp { part, error }
    }
}

/// How a task of a [`JoinSet`] ended.
type Ended = Result<(Id, Result<(), PartError>), JoinError>;

/// Describes a panic. Without it a panic in one part would be lost with its task, seen as
/// a part that silently does nothing any more.
fn panic_error(error: JoinError) -> PartError {
    let message = match error.try_into_panic() {
        Ok(payload) => match payload.downcast::<&'static str>() {
            Ok(text) => (*text).to_owned(),
            Err(payload) => payload
                .downcast::<String>()
                .map_or_else(|_| "without a message".to_owned(), |text| *text),
        },
        Err(error) => return PartError::from(error.to_string()),
    };
    PartError::from(format!("panicked: {message}"))
}
