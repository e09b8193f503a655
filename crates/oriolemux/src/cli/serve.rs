//! `oriolemux serve`.

use super::report::Report;
use super::{ExitStatus, Output, ServeArgs};
use crate::events::{self, ShellNote};
use crate::serve::{self, ServeError};
use crate::settings::{Secrets, Settings};
use crate::{logs, metrics};
use oriolemux_core::findings::Findings;
use std::fmt::Display;

pub(super) fn run(args: &ServeArgs, output: Output) -> ExitStatus {
    let settings = match checked_settings(args) {
        Ok(settings) => settings,
        Err(findings) => {
            let mut report = Report::of_files(1);
            report.add(findings);
            return report.print(output);
        }
    };
    if args.check {
        return Report::of_files(1).print(output);
    }
    start(settings).unwrap_or_else(|(error, status)| {
        eprintln!("oriolemux: {error}");
        status
    })
}

/// Reads the settings, and for `--check` the files with secrets too. A start reads those
/// itself, because it needs what they hold.
fn checked_settings(args: &ServeArgs) -> Result<Settings, Findings> {
    let settings = Settings::load(&args.settings)?;
    if args.check {
        Secrets::read(&settings)?;
    }
    Ok(settings)
}

/// Starts what the whole process shares, then runs the instance.
fn start(settings: Settings) -> Result<ExitStatus, (String, ExitStatus)> {
    let cannot_start = |error: &dyn Display| (error.to_string(), ExitStatus::CannotStart);
    logs::install(&settings.logs).map_err(|error| cannot_start(&error))?;
    metrics::install().map_err(|error| cannot_start(&error))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| cannot_start(&error))?;
    let result = runtime.block_on(serve::run(settings));
    // A task that never yields must not keep a stopped process alive.
    runtime.shutdown_background();
    if let Err(error @ ServeError::Listen { .. }) = &result {
        let error = error.to_string();
        events::emit_shell(&ShellNote::StartFailed { error: &error });
    }
    logs::flush();
    result
        .map(|()| ExitStatus::Done)
        .map_err(|error| (error.to_string(), error.exit_status()))
}
