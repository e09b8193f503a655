//! The table of settings of an instance for HTTP entries.

use super::rows::settings;
use super::spec::{default, required};
use super::value::{LogFormat, LogLevel, LogOutput, Millis, Number, Seconds};
use core::time::Duration;
use std::net::{SocketAddr, SocketAddrV4};

const DAY_MS: i64 = 24 * 60 * 60 * 1000;

settings! {
    /// The settings of an instance for HTTP entries.
    root GatewaySettings {
        /// The instance's name, for logs.
        name: String = required();
        /// The data centre of the instance.
        data_centre: String = required();
    }

    /// What the platform gives this instance.
    instance: InstanceSettings {
        /// The share of a core that this instance may use, such as 0.12; 0 means unknown. Engines
        /// are placed by the instances with the largest share; an instance of unknown share is one
        /// of the smallest.
        cpu_share: Number = default(Number(0.0));
        /// The memory that the process may use, in MB; 0 takes the memory that the system reports. What
        /// callers may hold of it is a share (docs/design/caller-bounds.md).
        memory_mb: u32 = default(0).range(0, 16_000_000);
        /// The file descriptors that the process may have open; 0 takes the limit that the system sets.
        max_descriptors: u32 = default(0).range(0, 10_000_000);
    }

    /// The listener for callers. The catalogue says what they may send.
    callers: GatewayCallersSettings {
        /// Address and port on which callers are served.
        listen: SocketAddr = required();
        /// The maximum number of open connections. It is less where memory or descriptors of the process
        /// hold fewer (docs/design/caller-bounds.md). A further connection is accepted in place of one whose caller has
        /// been waited for the longest, or closed if all are being served.
        max_connections: u32 = default(2048).range(1, 1_000_000);
        /// A caller that accepts no data for this long counts as disconnected.
        write_timeout_ms: Millis = default(Millis(60_000)).range(100, DAY_MS);
    }

    /// The listener for the balancer.
    readiness: ReadinessSettings {
        /// Address and port on which the balancer checks whether this instance accepts callers.
        listen: SocketAddr = required();
    }

    /// Messages between instances.
    peers: GatewayPeersSettings {
        /// Address and port, of UDP and TCP, on which messages from peers are received. The port is the same on all instances.
        listen: SocketAddrV4 = required();
        /// Addresses of some instances, used for the first contact; their ports do not matter. They may be stale.
        seeds: Vec<SocketAddr> = default(Vec::new()).range(0, 1_000);
        /// A string shared by the instances of one deployment; it keeps two deployments apart
        /// and is not a secret. docs/design/platform.md says what that leaves open.
        deployment: String = required();
    }

    /// The platform's store.
    store: StoreSettings {
        /// Its address and port.
        address: SocketAddrV4 = required();
    }

    /// The connections to endpoints.
    endpoints: GatewayEndpointsSettings {
        /// A connection must be established within this time; otherwise the request goes to another endpoint.
        connect_timeout_ms: Millis = default(Millis(250)).range(1, 60_000);
    }

    /// How requests for engines are placed.
    placement: PlacementSettings {
        /// Whether a request that would get room at an engine too late is rejected at once, with the time at which there is room.
        reject_by_forecast: bool = default(false);
    }

    /// The retry budget of the whole fleet, of which each instance spends its share.
    repeats: RepeatsSettings {
        /// Retries allowed for each request of a service.
        ratio: Number = default(Number(0.1));
        /// Additional retries allowed in each window, over all instances.
        allowance: Number = default(Number(10.0));
        /// The sliding window.
        window_secs: Seconds = default(Seconds(Duration::from_secs(10)));
    }

    /// The planned stop.
    stop: GatewayStopSettings {
        /// How long callers are still accepted after readiness was withdrawn.
        notice_ms: Millis = default(Millis(3_000)).range(0, DAY_MS);
        /// How long the stop may take in total. The platform ends what runs longer.
        grace_secs: Seconds = default(Seconds(Duration::from_secs(30)));
    }

    /// The listener for metrics collectors, and for `oriolemux status` and `oriolemux drain`. It requires no
    /// key: keep it on a private network. It accepts the planned stop from its own machine only.
    metrics: GatewayMetricsSettings {
        /// Whether metrics are collected and served.
        enabled: bool = default(false);
        /// Address and port on which every path but `/status` and `/drain` returns the metrics, in the Prometheus text format.
        listen: SocketAddr = default(SocketAddr::from(([127, 0, 0, 1], 9464)));
    }

    /// What is logged.
    logs: GatewayLogsSettings {
        /// Where log lines are written.
        output: LogOutput = default(LogOutput::Stdout);
        /// The format of log lines.
        format: LogFormat = default(LogFormat::Json);
        /// The least severe level that is logged. `debug` adds a line for each attempt.
        level: LogLevel = default(LogLevel::Info);
    }
}
