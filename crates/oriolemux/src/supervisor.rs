//! Keeps the parts of an instance running, and stops them in order.
//!
//! A [`Supervisor`] starts its parts in the given order. A part that fails is restarted alone. If
//! it fails more often than the [`Intensity`] allows, the supervisor ends with an error, and its
//! parent fails too, or the process ends. A planned stop ends the parts one by one in reverse
//! order and waits for each without a timeout. A supervisor can be a part of another one.

mod part;
mod pause;
mod stop;

pub use part::{PartError, PartFuture};
pub use pause::watch_for_pauses;
pub use stop::{RepeatedTerminate, StopTokens};

use crate::events::{self, ShellNote};
use core::time::Duration;
use part::Part;
use tokio::task::{Id, JoinError, JoinSet};
use tokio_util::sync::CancellationToken;

/// Delay before a failed part is restarted. A part that fails immediately would otherwise use up
/// its restarts before the cause (a port still in use, a peer that restarts too) can pass.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// How often a part may be restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intensity {
    /// Restarts allowed within the window.
    pub max_restarts: u32,
    /// The window.
    pub window: Duration,
}

/// Why a supervisor ended without a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum SupervisorError {
    /// the part `{part}` was given up: {error}
    PartGivenUp {
        /// The part.
        part: &'static str,
        /// Its last failure.
        error: String,
    },
    /// stopped at once by a second signal
    StoppedNow,
}

/// Runs parts and restarts those that fail.
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
    /// `start` is called for the first start and for each restart. The future that it returns must
    /// end with `Ok` once the token is cancelled and the part has finished its work; any other end
    /// is a failure.
    pub fn part<F, Fut>(mut self, name: &'static str, mut start: F) -> Self
    where
        F: FnMut(CancellationToken) -> Fut + Send + 'static,
        Fut: Future<Output = Result<(), PartError>> + Send + 'static,
    {
        let start = move |stop| -> PartFuture { Box::pin(start(stop)) };
        self.parts.push(Part::new(name, Box::new(start)));
        self
    }

    /// Starts the parts and runs them until a stop is requested.
    ///
    /// # Errors
    ///
    /// Returns which part was given up, or that the stop was immediate. The other parts are aborted
    /// then.
    pub async fn run(mut self, stop: &StopTokens) -> Result<(), SupervisorError> {
        for part in &mut self.parts {
            part.start(&mut self.running, Duration::ZERO);
        }
        // Parts before this index have not been told to stop.
        let mut kept = self.parts.len();
        loop {
            let stopping = kept < self.parts.len();
            tokio::select! {
                biased;
                () = stop.now.cancelled() => return Err(SupervisorError::StoppedNow),
                () = stop.planned.cancelled(), if !stopping => {
                    if !self.stop_last(&mut kept) {
                        return Ok(());
                    }
                }
                Some(ended) = self.running.join_next_with_id() => {
                    let (index, result) = self.identify(ended);
                    if index < kept {
                        self.restart(index, result)?;
                    } else {
                        result.map_err(|error| self.give_up(index, error))?;
                        if !self.stop_last(&mut kept) {
                            return Ok(());
                        }
                    }
                }
            }
        }
    }

    /// Tells the last part that has not been told yet to stop. Returns whether there was one.
    fn stop_last(&mut self, kept: &mut usize) -> bool {
        let Some(last) = kept.checked_sub(1) else {
            return false;
        };
        *kept = last;
        self.parts[last].stop();
        true
    }

    /// Returns the index of the part that ended, and its result; a panic becomes an error.
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
        self.parts[index].start(&mut self.running, RESTART_DELAY);
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

/// Converts a panic to an error. Otherwise a panic would be lost with its task, and the part would
/// silently do nothing.
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
