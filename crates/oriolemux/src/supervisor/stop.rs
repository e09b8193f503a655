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

/// What SIGTERM does once a planned stop has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatedTerminate {
    /// It ends the process immediately: the planned stop has no other bound.
    EndsNow,
    /// It does nothing: the planned stop ends by itself, and some service managers repeat the signal.
    IsIgnored,
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

    /// Starts to handle SIGTERM and SIGINT: the first signal requests a planned stop, a further SIGINT
    /// an immediate end, and a further SIGTERM what `repeated` says. Signals after a stop that an
    /// operator requested count as further ones.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub fn listen_to_signals(&self, repeated: RepeatedTerminate) -> io::Result<()> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        tokio::spawn(follow_signals(terminate, interrupt, self.clone(), repeated));
        Ok(())
    }
}

async fn follow_signals(
    mut terminate: Signal,
    mut interrupt: Signal,
    stop: StopTokens,
    repeated: RepeatedTerminate,
) {
    loop {
        let when_repeated = tokio::select! {
            _ = terminate.recv() => repeated,
            _ = interrupt.recv() => RepeatedTerminate::EndsNow,
        };
        if !stop.planned.is_cancelled() {
            stop.request("signal");
            continue;
        }
        match when_repeated {
            RepeatedTerminate::EndsNow => {
                events::emit_shell(&ShellNote::StoppedNow);
                stop.now.cancel();
            }
            RepeatedTerminate::IsIgnored => events::emit_shell(&ShellNote::StopRepeated),
        }
    }
}
