//! Runs one instance until it is told to stop.

use crate::cli::ExitStatus;
use crate::settings::Settings;
use oriolemux_core::findings::Findings;
use std::net::SocketAddr;

/// Why an instance could not start, or ended before it was told to.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ServeError {
    /// {0}
    Secrets(#[source] Findings),
    /// cannot listen for {listener} on {address}: {source}
    Listen {
        /// Which listener, for example `callers`.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// the part `{0}` failed more often than its supervisor allows
    PartFailed(&'static str),
    /// stopped at once by a second signal
    StoppedNow,
}

impl ServeError {
    /// Returns the exit status that says so to a script.
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            ServeError::Secrets(_) => ExitStatus::Findings,
            ServeError::Listen { .. } => ExitStatus::CannotStart,
            ServeError::PartFailed(_) => ExitStatus::PartFailed,
            ServeError::StoppedNow => ExitStatus::StoppedNow,
        }
    }
}

/// Runs one instance until it is told to stop.
///
/// # Errors
///
/// Returns why the instance could not start, or ended before it was told to.
pub async fn run(settings: Settings) -> Result<(), ServeError> {
    let secrets = crate::settings::Secrets::read(&settings).map_err(ServeError::Secrets)?;
    drop(secrets);
    Ok(())
}
