//! `oriolemux serve`.

use super::report::to_start;
use super::{ExitStatus, Output, ServeArgs, print_error};
use crate::events::{self, ShellNote};
use crate::serve::{self, ServeError};
use crate::settings::{Secrets, Settings};
use crate::{logs, metrics};
use oriolemux_core::findings::Findings;

pub(super) fn run(args: &ServeArgs, output: Output) -> ExitStatus {
    let settings = match to_start(checked_settings(args), args.check, output) {
        Ok(settings) => settings,
        Err(ended) => return ended,
    };
    match start(settings) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            print_error(&error);
            error.exit_status()
        }
    }
}

/// Why the process did not start, or ended without a planned stop.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum StartError {
    /// cannot start the logs: {0}
    Logs(#[source] log::SetLoggerError),
    /// cannot start the metrics: {0}
    Metrics(#[source] metrics::InstallError),
    /// cannot start the runtime: {0}
    Runtime(#[source] std::io::Error),
    /// {0}
    Serve(#[source] ServeError),
}

impl StartError {
    const fn exit_status(&self) -> ExitStatus {
        match self {
            StartError::Serve(error) => error.exit_status(),
            StartError::Logs(_) | StartError::Metrics(_) | StartError::Runtime(_) => {
                ExitStatus::CannotStart
            }
        }
    }
}

/// Loads the settings, and for `--check` the files with secrets too. A normal start reads the
/// secrets itself, because it needs their contents.
fn checked_settings(args: &ServeArgs) -> Result<Settings, Findings> {
    let settings = Settings::load(&args.settings)?;
    if args.check {
        Secrets::read(&settings)?;
    }
    Ok(settings)
}

/// Installs the global logger, then runs the instance.
fn start(settings: Settings) -> Result<(), StartError> {
    logs::install(&settings.logs).map_err(StartError::Logs)?;
    let result = run_instance(settings);
    if let Err(error) = &result
        && error.exit_status() == ExitStatus::CannotStart
    {
        let error = error.to_string();
        events::emit_shell(&ShellNote::StartFailed { error: &error });
    }
    logs::flush();
    result
}

fn run_instance(settings: Settings) -> Result<(), StartError> {
    metrics::install().map_err(StartError::Metrics)?;
    let file = &settings.file;
    events::emit_shell(&ShellNote::SettingsRead { file });
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    let result = runtime.block_on(serve::run(settings));
    // A task that never yields must not keep a stopped process alive.
    runtime.shutdown_background();
    result.map_err(StartError::Serve)
}
