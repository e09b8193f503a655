//! Events that the shell reports, in addition to the core's notes.

use super::{Field, LogEvent, display};
use core::time::Duration;
use oriolemux_core::ids::Incarnation;
use oriolemux_gateway::link::head::InvalidHead;
use std::net::{IpAddr, SocketAddr};

/// An event in the shell that is reported to operators.
#[derive(Clone, Copy, Debug)]
pub enum ShellNote<'a> {
    /// The process starts.
    Started {
        /// The instance's published name.
        instance: &'a str,
        /// The instance's incarnation.
        incarnation: Incarnation,
    },
    /// The settings were read and are valid.
    SettingsRead {
        /// The settings file.
        file: &'a str,
    },
    /// The settings were read again and have findings.
    SettingsRejected {
        /// The settings file.
        file: &'a str,
        /// All findings.
        findings: &'a str,
    },
    /// A listener accepts connections.
    Listening {
        /// Which clients it serves, for example `callers`.
        listener: &'static str,
        /// The address it is bound to.
        address: SocketAddr,
    },
    /// The process could not start.
    StartFailed {
        /// Why.
        error: &'a str,
    },
    /// A planned stop begins.
    StopRequested {
        /// Who requested it: `signal` or `operator`.
        by: &'static str,
    },
    /// The planned stop is complete.
    StopFinished,
    /// A second signal ended the process immediately.
    StoppedNow,
    /// SIGTERM arrived during a planned stop and changed nothing.
    StopRepeated,
    /// A part failed and is restarted.
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
        /// The shortest time for which it was paused.
        pause: Duration,
    },
    /// A link to another instance is up.
    PeerUp {
        /// The peer's published name.
        peer: &'a str,
    },
    /// A link to another instance broke.
    PeerDown {
        /// The peer's published name.
        peer: &'a str,
    },
    /// A connection between instances was refused, because one side did not prove that it knows
    /// the secret or that it is the expected instance.
    PeerRefused {
        /// Why.
        why: &'a str,
    },
    /// A response has an invalid head.
    ResponseInvalid {
        /// The address that it came from.
        from: &'a str,
        /// What is wrong with it.
        why: &'a InvalidHead,
    },
    /// A request on the operators' port carried no key or a wrong one.
    OperatorRefused {
        /// Where it came from.
        from: IpAddr,
    },
}

impl ShellNote<'_> {
    /// Calls `f` with the note's event and the fields of its log line.
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
            ShellNote::StopRepeated => f(LogEvent::StopRepeated, &[]),
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
            ShellNote::ResponseInvalid { from, why } => {
                let fields = [display("from", from), display("why", why)];
                f(LogEvent::ResponseInvalid, &fields);
            }
            ShellNote::OperatorRefused { from } => {
                f(LogEvent::OperatorRefused, &[display("from", from)]);
            }
        }
    }
}
