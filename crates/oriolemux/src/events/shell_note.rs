//! What the shell tells operators, besides the core's notes.

use super::{Field, LogEvent, display};
use core::time::Duration;
use oriolemux_core::ids::Incarnation;
use std::net::{IpAddr, SocketAddr};

/// Something that happened in the shell and that operators should be able to see.
#[derive(Clone, Copy, Debug)]
pub enum ShellNote<'a> {
    /// The process starts.
    Started {
        /// The instance's published name.
        instance: &'a str,
        /// This life of it.
        incarnation: Incarnation,
    },
    /// The settings were read and have no findings.
    SettingsRead {
        /// Their file.
        file: &'a str,
    },
    /// Settings that were read anew have findings.
    SettingsRejected {
        /// Their file.
        file: &'a str,
        /// All findings.
        findings: &'a str,
    },
    /// A listener accepts connections.
    Listening {
        /// For whom, for example `callers`.
        listener: &'static str,
        /// On which address.
        address: SocketAddr,
    },
    /// The process could not start.
    StartFailed {
        /// Why.
        error: &'a str,
    },
    /// A planned stop begins.
    StopRequested {
        /// Who asked for it: `signal` or `operator`.
        by: &'static str,
    },
    /// The planned stop is done.
    StopFinished,
    /// A second signal ended the process at once.
    StoppedNow,
    /// A part failed and is started again.
    PartRestarted {
        /// The part's name.
        part: &'static str,
        /// How it failed.
        error: &'a str,
    },
    /// A part failed more often than its supervisor allows.
    PartGivenUp {
        /// The part's name.
        part: &'static str,
        /// How it failed last.
        error: &'a str,
    },
    /// The process was paused.
    Paused {
        /// For how long, at least.
        pause: Duration,
    },
    /// A link to another instance is up.
    PeerUp {
        /// The peer's published name.
        peer: &'a str,
    },
    /// A link to another instance is gone.
    PeerDown {
        /// The peer's published name.
        peer: &'a str,
    },
    /// A connection between instances was not taken, because one side did not prove that it
    /// knows the secret or is the instance that was wanted.
    PeerRefused {
        /// Why.
        why: &'a str,
    },
    /// A request on the operators' port carried no key or a wrong one.
    OperatorRefused {
        /// Where it came from.
        from: IpAddr,
    },
}

impl ShellNote<'_> {
    /// Calls `f` with the event of the note and the fields of its log line.
    pub(super) fn with_fields(&self, f: impl FnOnce(LogEvent, &[Field<'_>])) {
        match self {
            ShellNote::Started {
                instance,
                incarnation,
            } => {
                let incarnation = format!("{:016x}", incarnation.0);
                let version = env!("CARGO_PKG_VERSION");
                let fields = [
                    display("instance", instance),
                    display("incarnation", &incarnation),
                    display("version", &version),
                ];
                f(LogEvent::Started, &fields);
            }
            ShellNote::SettingsRead { file } => {
                f(LogEvent::SettingsRead, &[display("file", file)]);
            }
            ShellNote::SettingsRejected { file, findings } => {
                let fields = [display("file", file), display("findings", findings)];
                f(LogEvent::SettingsRejected, &fields);
            }
            ShellNote::Listening { listener, address } => {
                let fields = [display("listener", listener), display("address", address)];
                f(LogEvent::Listening, &fields);
            }
            ShellNote::StartFailed { error } => {
                f(LogEvent::StartFailed, &[display("error", error)]);
            }
            ShellNote::StopRequested { by } => {
                f(LogEvent::StopRequested, &[display("by", by)]);
            }
            ShellNote::StopFinished => f(LogEvent::StopFinished, &[]),
            ShellNote::StoppedNow => f(LogEvent::StoppedNow, &[]),
            ShellNote::PartRestarted { part, error } => {
                let fields = [display("part", part), display("error", error)];
                f(LogEvent::PartRestarted, &fields);
            }
            ShellNote::PartGivenUp { part, error } => {
                let fields = [display("part", part), display("error", error)];
                f(LogEvent::PartGivenUp, &fields);
            }
            ShellNote::Paused { pause } => {
                let pause_ms = pause.as_millis();
                f(LogEvent::Paused, &[display("pause_ms", &pause_ms)]);
            }
            ShellNote::PeerUp { peer } => f(LogEvent::PeerUp, &[display("peer", peer)]),
            ShellNote::PeerDown { peer } => f(LogEvent::PeerDown, &[display("peer", peer)]),
            ShellNote::PeerRefused { why } => f(LogEvent::PeerRefused, &[display("why", why)]),
            ShellNote::OperatorRefused { from } => {
                f(LogEvent::OperatorRefused, &[display("from", from)]);
            }
        }
    }
}
