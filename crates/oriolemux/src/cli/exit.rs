//! The exit codes of commands.

use std::process::ExitCode;

/// How a command ended. The numbers are stable; `oriolemux --help` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// A checked file has findings.
    Findings = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The instance could not start, for example because a port is in use.
    CannotStart = 3,
    /// A part of the instance failed more often than its supervisor allows.
    PartFailed = 4,
    /// A second signal stopped the instance before its streams were finished.
    StoppedNow = 5,
    /// The operators' listener could not be reached.
    Unreachable = 6,
    /// The operators' listener refused the key.
    KeyRefused = 7,
    /// The instance has no record of the requested item.
    NotFound = 8,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}
