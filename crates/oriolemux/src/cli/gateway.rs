//! `oriolemux gateway`.

use super::report::to_start;
use super::{ExitStatus, GatewayArgs, Output, print_error};
use crate::events::{self, ShellNote};
use crate::logs::{self, LogTarget};
use crate::metrics;
use crate::resources::Resources;
use crate::settings::{GatewaySettings, InstanceSettings, RepeatsSettings};
use crate::supervisor::{RepeatedTerminate, StopTokens};
use core::time::Duration;
use oriolemux_core::Incarnation;
use oriolemux_core::gateway::GatewayConfig;
use oriolemux_core::gateway::budget::BudgetConfig;
use oriolemux_core::gateway::connection_bounds::ConnectionBounds;
use oriolemux_core::gateway::members::CapacityClass;
use oriolemux_core::ids::stable_hash;
use oriolemux_gateway::{
    BoundListeners, GatewayLimits, MetricsPage, ReloadedSettings, RunConfig, RunError,
};
use oriolemux_platform::{EngineClient, PlatformWire, StoreClient};
use rand::Rng;
use std::net::{SocketAddr, SocketAddrV4};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

pub(super) fn run(args: &GatewayArgs, output: Output) -> ExitStatus {
    let loaded = GatewaySettings::load(&args.settings);
    let settings = match to_start(loaded, args.check, output) {
        Ok(settings) => settings,
        Err(ended) => return ended,
    };
    match start(&settings) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            let text = error.to_string();
            events::emit_shell(&ShellNote::StartFailed { error: &text });
            logs::flush();
            print_error(&error);
            error.exit_status()
        }
    }
}

/// Why the process did not start, or ended without a planned stop.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum StartError {
    /// cannot start the logs: {0}
    Logs(#[source] log::SetLoggerError),
    /// cannot start the runtime: {0}
    Runtime(#[source] std::io::Error),
    /// cannot start the metrics: {0}
    Metrics(#[source] metrics::InstallError),
    /// signals cannot be received: {0}
    Signals(#[source] std::io::Error),
    /// {0}
    Run(#[source] RunError),
    /// stopped at once by a second signal
    StoppedNow,
}

impl StartError {
    const fn exit_status(&self) -> ExitStatus {
        match self {
            StartError::Run(RunError::TaskEnded) => ExitStatus::PartFailed,
            StartError::StoppedNow => ExitStatus::StoppedNow,
            _ => ExitStatus::CannotStart,
        }
    }
}

/// Runs the instance on a single thread: an instance is given only a part of a core, and a second
/// thread would only cost memory and wake-ups.
fn start(settings: &GatewaySettings) -> Result<(), StartError> {
    let logs = &settings.logs;
    let target = LogTarget {
        output: logs.output,
        format: logs.format,
        level: logs.level,
    };
    logs::install(target).map_err(StartError::Logs)?;
    let file = &settings.file;
    events::emit_shell(&ShellNote::SettingsRead { file });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    let result = runtime.block_on(serve(settings));
    runtime.shutdown_background();
    logs::flush();
    result
}

async fn serve(settings: &GatewaySettings) -> Result<(), StartError> {
    let incarnation = Incarnation(rand::rng().random());
    let instance = &settings.name;
    events::emit_shell(&ShellNote::Started {
        instance,
        incarnation,
    });
    let stop = StopTokens::new();
    stop.listen_to_signals(RepeatedTerminate::IsIgnored)
        .map_err(StartError::Signals)?;
    let hangup = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
    let (reloaded, reloads) = watch::channel(None);
    tokio::spawn(reload_settings(hangup, settings.file.clone(), reloaded));
    if settings.metrics.enabled {
        metrics::install().map_err(StartError::Metrics)?;
    }
    let store = StoreClient::new(settings.store.address);
    let config = run_config(settings, incarnation);
    let bound = BoundListeners::bind(&config)
        .await
        .map_err(StartError::Run)?;
    let run = bound.run(
        config,
        PlatformWire,
        store,
        EngineClient,
        reloads,
        stop.planned.clone(),
    );
    tokio::select! {
        ended = run => ended.map_err(StartError::Run)?,
        () = stop.now.cancelled() => return Err(StartError::StoppedNow),
    }
    events::emit_shell(&ShellNote::StopFinished);
    Ok(())
}

/// How often the settings file is checked, because it may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings when the file changes or on SIGHUP, and logs the result.
///
/// Seeds and the retry budget take effect immediately. Addresses stay unchanged until a restart, so
/// that running work is not disturbed. A file with findings changes nothing; the findings are logged
/// now, because the next start would fail on them.
async fn reload_settings(
    mut hangup: tokio::signal::unix::Signal,
    file: String,
    reloaded: watch::Sender<Option<ReloadedSettings>>,
) {
    let mut known = std::fs::read(&file).ok();
    loop {
        let requested = tokio::select! {
            requested = hangup.recv() => match requested {
                Some(()) => true,
                None => return,
            },
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let text = std::fs::read(&file).ok();
        if !requested && text == known {
            continue;
        }
        known = text;
        match GatewaySettings::load(&file) {
            Ok(settings) => {
                events::emit_shell(&ShellNote::SettingsRead { file: &file });
                reloaded.send_replace(Some(ReloadedSettings {
                    seeds: seeds(&settings),
                    budget: budget(&settings.repeats),
                }));
            }
            Err(findings) => {
                let findings = &findings.to_string();
                events::emit_shell(&ShellNote::SettingsRejected {
                    file: &file,
                    findings,
                });
            }
        }
    }
}

fn run_config(settings: &GatewaySettings, incarnation: Incarnation) -> RunConfig {
    let instance = &settings.instance;
    let resources = Resources::new(instance.memory_mb, instance.max_descriptors);
    RunConfig {
        name: settings.name.clone(),
        front: settings.callers.listen,
        readiness: settings.readiness.listen,
        peers: settings.peers.listen,
        metrics: settings.metrics.enabled.then_some(MetricsPage {
            listen: settings.metrics.listen,
            render: metrics::render,
        }),
        limits: GatewayLimits {
            connect: settings.endpoints.connect_timeout_ms.duration(),
            connections: ConnectionBounds::new(
                resources.memory,
                resources.descriptors,
                settings.callers.max_connections as usize,
            ),
            memory: resources.memory,
            write: settings.callers.write_timeout_ms.duration(),
        },
        notice: settings.stop.notice_ms.duration(),
        grace: settings.stop.grace_secs.0,
        config: GatewayConfig {
            incarnation,
            data_centre: settings.data_centre.clone(),
            address: settings.peers.listen,
            deployment: stable_hash(&[settings.peers.deployment.as_bytes()]),
            seeds: seeds(settings),
            budget: budget(&settings.repeats),
            capacity: capacity(&settings.instance),
            reject_by_forecast: settings.placement.reject_by_forecast,
            sheds_connections: true,
        },
    }
}

/// Returns the peer addresses of the seeds. A seed may name any listener of an instance; the port
/// for peers is the same on all instances.
fn seeds(settings: &GatewaySettings) -> Vec<SocketAddrV4> {
    let port = settings.peers.listen.port();
    let seeds = settings.peers.seeds.iter();
    seeds
        .filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(SocketAddrV4::new(*seed.ip(), port)),
            SocketAddr::V6(_) => None,
        })
        .collect()
}

fn capacity(instance: &InstanceSettings) -> CapacityClass {
    const PERCENT: f64 = 100.0;
    // A share beyond the range of the integer becomes its largest value.
    CapacityClass::of_percent((instance.cpu_share.0 * PERCENT).round() as u32)
}

fn budget(repeats: &RepeatsSettings) -> BudgetConfig {
    BudgetConfig {
        ratio: repeats.ratio.0,
        allowance: repeats.allowance.0,
        window: repeats.window_secs.0,
    }
}
