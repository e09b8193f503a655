//! Log lines on standard error, for people or as JSON.

mod format;
mod writer;

pub use format::{format_human, format_json};

use crate::settings::{LogFormat, LogsSettings};
use log::LevelFilter;
use std::time::SystemTime;

/// Libraries log at this level at most, unless all is asked for.
const LIBRARIES: LevelFilter = LevelFilter::Warn;

/// Starts to log as `settings` say.
///
/// # Errors
///
/// Fails if the process has a logger already.
pub fn install(settings: &LogsSettings) -> Result<(), log::SetLoggerError> {
    let own = settings.level.filter();
    let libraries = match own {
        LevelFilter::Trace => LevelFilter::Trace,
        own => own.min(LIBRARIES),
    };
    let format = match settings.format {
        LogFormat::Human => format_human,
        LogFormat::Json => format_json,
    };
    fern::Dispatch::new()
        .level(libraries)
        .level_for("oriolemux", own)
        .level_for("oriolemux_core", own)
        .format(move |out, _, record| {
            out.finish(format_args!("{}", format(SystemTime::now(), record)));
        })
        .chain(fern::Output::writer(
            Box::new(writer::spawn(std::io::stderr())),
            "\n",
        ))
        .apply()
}

/// Waits until the lines logged so far are written, but not for long: standard error may be
/// the very thing that is stuck.
pub fn flush() {
    writer::flush();
}
