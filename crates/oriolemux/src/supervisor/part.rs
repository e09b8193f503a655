//! One part of a supervisor.

use super::Intensity;
use core::pin::Pin;
use core::time::Duration;
use std::collections::VecDeque;
use tokio::task::{Id, JoinSet};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How a part failed.
pub type PartError = Box<dyn std::error::Error + Send + Sync>;

/// The future that runs a part.
pub type PartFuture = Pin<Box<dyn Future<Output = Result<(), PartError>> + Send>>;

/// Starts a part; called again for each restart.
pub(super) type StartPart = Box<dyn FnMut(CancellationToken) -> PartFuture + Send>;

/// A part and its history.
pub(super) struct Part {
    name: &'static str,
    start: StartPart,
    stop: CancellationToken,
    /// The task that runs the part, once it is started.
    task: Option<Id>,
    /// Restarts within the window, oldest first.
    restarts: VecDeque<Instant>,
}

impl Part {
    pub(super) fn new(name: &'static str, start: StartPart) -> Self {
        Part {
            name,
            start,
            stop: CancellationToken::new(),
            task: None,
            restarts: VecDeque::new(),
        }
    }

    pub(super) fn name(&self) -> &'static str {
        self.name
    }

    /// Returns whether the task `id` runs this part.
    pub(super) fn is(&self, id: Id) -> bool {
        self.task == Some(id)
    }

    /// Starts the part after a delay.
    pub(super) fn start(&mut self, running: &mut JoinSet<Result<(), PartError>>, delay: Duration) {
        let run = (self.start)(self.stop.clone());
        let task = running.spawn(async move {
            tokio::time::sleep(delay).await;
            run.await
        });
        self.task = Some(task.id());
    }

    /// Tells the part to finish and end.
    pub(super) fn stop(&self) {
        self.stop.cancel();
    }

    /// Counts a restart and returns whether it is allowed.
    pub(super) fn may_restart(&mut self, intensity: Intensity) -> bool {
        let now = Instant::now();
        let is_old = |at: &Instant| now.duration_since(*at) >= intensity.window;
        while self.restarts.front().is_some_and(is_old) {
            self.restarts.pop_front();
        }
        self.restarts.push_back(now);
        self.restarts.len() <= intensity.max_restarts as usize
    }
}
