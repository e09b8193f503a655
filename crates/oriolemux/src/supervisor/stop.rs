//! Requests to stop the process: planned or immediate.

use crate::events::{self, ShellNote};
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// The tokens that are cancelled when the process is to stop.
#[derive(Clone, Debug, Default)]
pub struct StopTokens {
    /// Accept no new work, finish what runs, then end.
    pub planned: CancellationToken,
    /// End immediately, without finishing what runs.
    pub now: CancellationToken,
}

impl StopTokens {
    /// Returns tokens that are not cancelled.
    pub fn new() -> Self {
        StopTokens::default()
    }

    /// Requests a planned stop on behalf of `by`. It is idempotent.
    pub fn request(&self, by: &'static str) {
        if !self.planned.is_cancelled() {
            events::emit_shell(&ShellNote::StopRequested { by });
            self.planned.cancel();
        }
    }

    /// Starts to handle SIGTERM and SIGINT: the first signal requests a planned stop, any further
    /// one an immediate end. A signal after a stop that an operator requested also ends the process
    /// immediately, because its sender does not want to wait for the stop to finish.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub fn listen_to_signals(&self) -> io::Result<()> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        tokio::spawn(follow_signals(terminate, interrupt, self.clone()));
        Ok(())
    }
}

async fn follow_signals(mut terminate: Signal, mut interrupt: Signal, stop: StopTokens) {
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        match stop.planned.is_cancelled() {
            false => stop.request("signal"),
            true => {
                events::emit_shell(&ShellNote::StoppedNow);
                stop.now.cancel();
            }
        }
    }
}
