//! Writes log lines to standard error or output, as text or JSON.

mod format;
mod writer;

pub use format::{format_human, format_json};

use crate::settings::{LogFormat, LogLevel, LogOutput, LogsSettings};
use log::LevelFilter;
use std::time::SystemTime;

/// The most verbose level of libraries, unless the level is `Trace`.
const LIBRARIES: LevelFilter = LevelFilter::Warn;

/// The destination, format and level of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogTarget {
    /// The destination of lines.
    pub output: LogOutput,
    /// The format of lines.
    pub format: LogFormat,
    /// The least severe level that is logged.
    pub level: LogLevel,
}

impl From<&LogsSettings> for LogTarget {
    fn from(settings: &LogsSettings) -> Self {
        LogTarget {
            output: LogOutput::Stderr,
            format: settings.format,
            level: settings.level,
        }
    }
}

/// Installs the global logger.
///
/// # Errors
///
/// Fails if the process has a logger already.
pub fn install(target: impl Into<LogTarget>) -> Result<(), log::SetLoggerError> {
    let target = target.into();
    let own = target.level.filter();
    let libraries = match own {
        LevelFilter::Trace => LevelFilter::Trace,
        own => own.min(LIBRARIES),
    };
    let format = match target.format {
        LogFormat::Human => format_human,
        LogFormat::Json => format_json,
    };
    let lines = match target.output {
        LogOutput::Stdout => writer::spawn(std::io::stdout()),
        LogOutput::Stderr => writer::spawn(std::io::stderr()),
    };
    fern::Dispatch::new()
        .level(libraries)
        .level_for("oriolemux", own)
        .level_for("oriolemux_core", own)
        .level_for("oriolemux_gateway", own)
        .level_for("oriolemux_platform", own)
        .format(move |out, _, record| {
            out.finish(format_args!("{}", format(SystemTime::now(), record)));
        })
        .chain(fern::Output::writer(Box::new(lines), "\n"))
        .apply()
}

/// Waits until the lines logged so far are written, with a timeout, because standard error itself
/// may be blocked.
pub fn flush() {
    writer::flush();
}
