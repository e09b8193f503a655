//! The table of settings: names, types, defaults, ranges and meanings.

use super::rows::settings;
use super::secret::SecretFile;
use super::spec::{Description, default, required};
use super::value::{LogFormat, LogLevel, Millis};
use std::net::SocketAddr;

/// A section of the settings as the docs show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionDescription {
    /// The section's name; empty for the keys above all sections.
    pub name: &'static str,
    /// What the section configures.
    pub doc: String,
    /// Its settings.
    pub settings: Vec<Description>,
}

const DAY_MS: i64 = 24 * 60 * 60 * 1000;
const MIB: usize = 1024 * 1024;

settings! {
    /// The settings of one instance.
    root Settings {
        /// The instance's name, as the platform's list of instances publishes it.
        name: String = required();
        /// The data centre of the instance, as the list publishes it.
        data_centre: String = required();
    }

    /// The listener for callers.
    callers: CallersSettings {
        /// Address and port on which callers are served.
        listen: SocketAddr = required();
        /// The maximum number of open connections; further ones are refused with the reason
        /// `instance_full` and closed.
        max_connections: u32 = default(4096).range(1, 1_000_000);
        /// The maximum number of requests held at once, running or waiting;
        /// further ones are refused with the reason `instance_full`.
        max_requests: u32 = default(4096).range(1, 1_000_000);
        /// The largest request body in bytes.
        max_body_bytes: usize = default(MIB).range(1024, 64 * MIB as i64);
        /// A request must have arrived completely within this time.
        read_timeout_ms: Millis = default(Millis(10_000)).range(100, DAY_MS);
        /// A caller that accepts no data for this long counts as disconnected.
        write_timeout_ms: Millis = default(Millis(60_000)).range(100, DAY_MS);
        /// An idle connection is closed after this time.
        idle_timeout_ms: Millis = default(Millis(75_000)).range(100, DAY_MS);
    }

    /// The links between instances.
    peers: PeersSettings {
        /// Address and port on which other instances connect.
        listen: SocketAddr = required();
        /// A file with the secret by which instances authenticate to each other. It is the same on all instances.
        secret_file: SecretFile = required();
        /// The largest frame in bytes; a larger one closes the link. The catalogue is sent
        /// in pieces of 32 KiB, which smaller frames could not carry.
        max_frame_bytes: usize = default(256 * 1024).range(64 * 1024, 16 * MIB as i64);
        /// The maximum number of frames queued for one link; further ones are dropped and counted.
        max_queued_frames: u32 = default(1024).range(1, 1_000_000);
        /// A connection must be established and authenticated within this time.
        connect_timeout_ms: Millis = default(Millis(1_000)).range(10, 60_000);
        /// A heartbeat is sent on a link after so long without other traffic.
        heartbeat_ms: Millis = default(Millis(2_000)).range(10, 60_000);
        /// A link that was silent for this long is closed.
        silence_timeout_ms: Millis = default(Millis(4_000)).range(20, 600_000);
        /// The first delay before a lost link is reconnected; it doubles up to
        /// `reconnect_max_ms`, with jitter.
        reconnect_min_ms: Millis = default(Millis(100)).range(1, 60_000);
        /// The longest delay before a lost link is reconnected.
        reconnect_max_ms: Millis = default(Millis(3_000)).range(1, 600_000);
    }

    /// The listener for operators.
    operators: OperatorsSettings {
        /// Address and port on which operators are served.
        listen: SocketAddr = required();
        /// A file with the key that operators send as a bearer token.
        key_file: SecretFile = required();
    }

    /// The platform's configuration service.
    platform: PlatformSettings {
        /// Addresses and ports of the service; the next one is tried when one fails.
        addresses: Vec<SocketAddr> = required();
        /// A read must be answered within this time.
        read_timeout_ms: Millis = default(Millis(2_000)).range(10, 60_000);
        /// A watch must be answered within this time, which must be longer than
        /// the service holds a watch open.
        watch_timeout_ms: Millis = default(Millis(30_000)).range(10, 600_000);
    }

    /// The connections to endpoints.
    endpoints: EndpointsSettings {
        /// A connection must be established within this time.
        connect_timeout_ms: Millis = default(Millis(1_000)).range(10, 60_000);
        /// An endpoint that sends nothing for this long counts as stalled.
        stall_timeout_ms: Millis = default(Millis(5_000)).range(10, DAY_MS);
        /// Load reports and cache events must be answered within this time.
        report_timeout_ms: Millis = default(Millis(1_000)).range(10, 60_000);
    }

    /// What is logged, to standard error.
    logs: LogsSettings {
        /// The format of log lines.
        format: LogFormat = default(LogFormat::Human);
        /// The least severe level that is logged. `debug` adds a line for each refusal and retry.
        level: LogLevel = default(LogLevel::Info);
    }

    /// Bounds of the instance itself; the limits of workspaces are in the catalogue.
    limits: LimitsSettings {
        /// The memory that the process may use, in MB; 0 takes the memory that the system reports. The
        /// bodies of callers' requests may take a share of it (docs/design/caller-bounds.md).
        memory_mb: u32 = default(0).range(0, 16_000_000);
        /// The maximum number of loads of models, versions and adapters from the weight store
        /// per minute. All instances share it, so it is the same on all of them.
        loads_per_minute: u32 = default(30).range(1, 100_000);
        /// The number of decision records kept for `explain`.
        explain_records: u32 = default(4096).range(16, 1_000_000);
    }

    /// Claims of tickets and idempotency keys, which prevent work that must not run twice from
    /// doing so. The values must be the same on every instance; docs/design/at-most-once.md
    /// says what each protects.
    claims: ClaimsSettings {
        /// How long the outcome of a request under a key is kept after the request ends. A duplicate
        /// request that arrives later runs as a new request.
        memory_ms: Millis = default(Millis(120_000)).range(100, DAY_MS);
        /// How long the new home of a key grants no key that it has no record of; also after every
        /// start. At least `memory_ms`, and more than `valid_ms` and `list_fresh_ms` together.
        settle_ms: Millis = default(Millis(120_000)).range(100, DAY_MS);
        /// How long a claim may be used for a send, counted from when the claim was requested.
        valid_ms: Millis = default(Millis(60_000)).range(100, DAY_MS);
        /// A home grants keys only if the platform confirmed the list within this time.
        list_fresh_ms: Millis = default(Millis(30_000)).range(50, DAY_MS);
        /// How long a request waits for its claim.
        ask_limit_ms: Millis = default(Millis(900)).range(50, 60_000);
        /// How long an unused ticket stays valid.
        ticket_life_ms: Millis = default(Millis(600_000)).range(100, DAY_MS);
    }

    /// The planned stop. Running streams are always finished, however long they take.
    stop: StopSettings {
        /// How long new requests are still accepted after readiness was withdrawn, so that
        /// the balancer notices before the first one is refused.
        notice_ms: Millis = default(Millis(2_000)).range(0, 600_000);
    }

    /// The supervisor of the instance's parts.
    supervisor: SupervisorSettings {
        /// A part that fails more often than this within `restart_window_ms` ends the process.
        max_restarts: u32 = default(5).range(0, 1000);
        /// The window in which restarts are counted.
        restart_window_ms: Millis = default(Millis(30_000)).range(100, DAY_MS);
    }
}
