//! `oriolemux serve`.

use super::{ExitStatus, Output, ServeArgs, check};
use crate::events::{self, ShellNote};
use crate::serve::{self, ServeError};
use crate::settings::{Secrets, Settings};
use crate::{logs, metrics};
use std::fmt::Display;

pub(super) fn run(args: &ServeArgs, output: Output) -> ExitStatus {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(findings) => return check::report(&[findings], 1, output),
    };
    if args.check {
        return match Secrets::read(&settings) {
            Ok(_) => check::report(&[], 1, output),
            Err(findings) => check::report(&[findings], 1, output),
        };
    }
    start(settings).unwrap_or_else(|(error, status)| {
        eprintln!("oriolemux: {error}");
        status
    })
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
