//! Who asks a process to stop, and how.

use crate::events::{self, ShellNote};
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Tells all parts of a process that it is to stop.
#[derive(Clone, Debug, Default)]
pub struct StopTokens {
    /// Take nothing new, finish what runs, then end.
    pub planned: CancellationToken,
    /// End at once, whatever runs.
    pub now: CancellationToken,
}

impl StopTokens {
    /// Returns tokens that nobody has used.
    pub fn new() -> Self {
        StopTokens::default()
    }

    /// Asks for a planned stop on behalf of `by`. Asking again changes nothing.
    pub fn request(&self, by: &'static str) {
        if !self.planned.is_cancelled() {
            events::emit_shell(&ShellNote::StopRequested { by });
            self.planned.cancel();
        }
    }

    /// Listens to SIGTERM and SIGINT from now on: the first asks for a planned
    /// stop, any further one for an immediate end. A signal after a stop that an
    /// operator asked for ends the process at once too: whoever sends it has seen
    /// the stop and does not want to wait.
    ///
    /// # Errors
    ///
    /// Fails if the signals cannot be listened to.
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
