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
        /// The data centre that the instance stands in.
        data_centre: String = required();
    }

    /// The listener for callers. What they may send stands in the catalogue.
    callers: GatewayCallersSettings {
        /// Address and port on which callers are served.
        listen: SocketAddr = required();
        /// The most connections at once; further ones are closed.
        max_connections: u32 = default(2048).range(1, 1_000_000);
    }

    /// The listener for the balancer.
    readiness: ReadinessSettings {
        /// Address and port on which the balancer asks whether this instance takes callers.
        listen: SocketAddr = required();
    }

    /// What instances tell each other.
    peers: GatewayPeersSettings {
        /// Address and port, of UDP and TCP, on which peers are heard. The port is the same on all instances.
        listen: SocketAddrV4 = required();
        /// Addresses of some instances, to begin with; their ports do not matter. They may be stale.
        seeds: Vec<SocketAddr> = default(Vec::new()).range(0, 1_000);
        /// A text that the instances of one deployment have in common; it keeps two deployments apart
        /// and is no secret. docs/design/platform.md says what that leaves open.
        deployment: String = required();
    }

    /// The platform's store.
    store: StoreSettings {
        /// Its address and port.
        address: SocketAddrV4 = required();
    }

    /// The connections to endpoints.
    endpoints: GatewayEndpointsSettings {
        /// A connection must be made within this time; then the request goes elsewhere.
        connect_timeout_ms: Millis = default(Millis(250)).range(1, 60_000);
    }

    /// The bound of repeats of the whole fleet, of which each instance spends its part.
    repeats: RepeatsSettings {
        /// Repeats allowed for each request of a service.
        ratio: Number = default(Number(0.1));
        /// Repeats allowed on top in each window, over all instances.
        allowance: Number = default(Number(10.0));
        /// The sliding window.
        window_secs: Seconds = default(Seconds(Duration::from_secs(10)));
    }

    /// The planned stop.
    stop: GatewayStopSettings {
        /// How long callers are still taken after readiness was withdrawn.
        notice_ms: Millis = default(Millis(3_000)).range(0, DAY_MS);
        /// How long the stop may take in all. What runs longer is cut off by the platform.
        grace_secs: Seconds = default(Seconds(Duration::from_secs(30)));
    }

    /// The listener for whoever collects metrics, and for `oriolemux status` and `oriolemux drain`. It has no
    /// key: keep it on a network of your own. It takes the planned stop from its own machine only.
    metrics: GatewayMetricsSettings {
        /// Whether metrics are collected and served.
        enabled: bool = default(false);
        /// Address and port on which every path but `/status` and `/drain` gives them, in the Prometheus text format.
        listen: SocketAddr = default(SocketAddr::from(([127, 0, 0, 1], 9464)));
    }

    /// What is logged.
    logs: GatewayLogsSettings {
        /// Where lines go.
        output: LogOutput = default(LogOutput::Stdout);
        /// How lines look.
        format: LogFormat = default(LogFormat::Json);
        /// The least severe level that is logged. `debug` adds a line for each attempt.
        level: LogLevel = default(LogLevel::Info);
    }
}
