//! Runs one instance until it is stopped.

use crate::callers::port::{Clock, NodePort, RequestIds};
use crate::callers::server::CallerServer;
use crate::cli::ExitStatus;
use crate::endpoints::http::SetUpError;
use crate::endpoints::{HttpProtocol, HttpSettings, Polls};
use crate::events::{self, ShellNote};
use crate::node_task::{Identity, LiveEffects, NodeChannels, NodeTask};
use crate::operators::{self, OperatorPort, OperatorServer};
use crate::peers::{PeerEvent, Peers, PeersConfig, PeersHandle};
use crate::platform::{self, PlatformClient, PlatformLimits};
use crate::resources::Resources;
use crate::settings::{ClaimsSettings, Secret, Secrets, Settings};
use crate::status::Readiness;
use crate::supervisor::{Intensity, RepeatedTerminate, StopTokens, Supervisor, SupervisorError};
use oriolemux_core::findings::Findings;
use oriolemux_core::gateway::connection_bounds::ConnectionBounds;
use oriolemux_core::keys::KeysConfig;
use oriolemux_core::{Event, Incarnation, InstanceKey, Node, NodeConfig};
use rand::Rng;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinError;

/// The name of the node task in logs and errors.
const NODE_PART: &str = "node";

/// How many events of links are queued for the node task before the links have to wait.
const PEER_EVENTS: usize = 1_024;

/// Why an instance could not start, or ended without a planned stop.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ServeError {
    /// {0}
    Secrets(#[source] Findings),
    /// cannot listen for {listener} on {address}: {source}
    Listen {
        /// Which listener, for example `callers`.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// the part `{0}` failed more often than its supervisor allows
    PartFailed(&'static str),
    /// {0}
    Client(SetUpError),
    /// {0}
    Platform(platform::SetUpError),
    /// signals cannot be received: {0}
    Signals(std::io::Error),
    /// stopped at once by a second signal
    StoppedNow,
}

impl ServeError {
    /// Returns the exit status of the process for this error.
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            ServeError::Secrets(_) => ExitStatus::Findings,
            ServeError::Listen { .. }
            | ServeError::Client(_)
            | ServeError::Platform(_)
            | ServeError::Signals(_) => ExitStatus::CannotStart,
            ServeError::PartFailed(_) => ExitStatus::PartFailed,
            ServeError::StoppedNow => ExitStatus::StoppedNow,
        }
    }
}

/// The state that all parts of one process share.
struct Process {
    settings: Settings,
    incarnation: Incarnation,
    stop: StopTokens,
    port: NodePort,
    protocol: HttpProtocol,
    platform: PlatformClient,
}

/// The listeners, bound before anything starts, so that a port that is in use ends the process
/// immediately and not after it has accepted work.
struct Listeners {
    callers: std::net::TcpListener,
    operators: std::net::TcpListener,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, ServeError> {
        let callers = settings.callers.listen;
        let operators = settings.operators.listen;
        Ok(Listeners {
            callers: operators::bind(callers).map_err(listen_error("callers", callers))?,
            operators: operators::bind(operators).map_err(listen_error("operators", operators))?,
        })
    }

    fn announce(&self, peers: SocketAddr) {
        let bound = [
            ("callers", self.callers.local_addr()),
            ("operators", self.operators.local_addr()),
            ("peers", Ok(peers)),
        ];
        for (listener, address) in bound {
            if let Ok(address) = address {
                events::emit_shell(&ShellNote::Listening { listener, address });
            }
        }
    }
}

/// Runs one instance until it is stopped.
///
/// The node task is the root of the supervisor tree: its state cannot be recreated, so the process
/// ends with it. The listeners below it are restarted by a [`Supervisor`]. A planned stop begins at
/// the node, and the listeners stay open until its last request has ended.
///
/// # Errors
///
/// Returns why the instance could not start, or ended without a planned stop.
pub async fn run(settings: Settings) -> Result<(), ServeError> {
    let secrets = Secrets::read(&settings).map_err(ServeError::Secrets)?;
    let stop = StopTokens::new();
    stop.listen_to_signals(RepeatedTerminate::EndsNow)
        .map_err(ServeError::Signals)?;
    let listeners = Listeners::bind(&settings)?;
    let clock = Clock::start();
    let incarnation = Incarnation(rand::rng().random());
    let ids = RequestIds::new(InstanceKey::of(&settings.name), incarnation);
    let (port, inputs) = NodePort::new(ids, clock);
    let protocol =
        HttpProtocol::new(clock, http_settings(&settings)).map_err(ServeError::Client)?;
    let platform = platform_client(&settings).map_err(ServeError::Platform)?;
    let process = Process {
        settings,
        incarnation,
        stop,
        port,
        protocol,
        platform,
    };
    events::emit_shell(&ShellNote::Started {
        instance: &process.settings.name,
        incarnation,
    });
    let peers = process.start_peers(secrets.peers).await?;
    listeners.announce(peers.local_addr());
    let (readiness, ready) = watch::channel(Readiness::default());
    let (operators, queries) = OperatorPort::new(ready);
    let channels = NodeChannels {
        clock,
        inputs,
        queries,
        readiness,
        stop: process.stop.clone(),
    };
    let node = process.node_task(channels, peers.clone());
    let listeners = process.listener_supervisor(listeners, operators, secrets.operators);
    let ended = process.run_until_end(node, listeners).await;
    peers.shutdown().await;
    ended
}

impl Process {
    /// Starts the links and forwards their events to the node.
    async fn start_peers(&self, secret: Secret) -> Result<PeersHandle, ServeError> {
        let peers = &self.settings.peers;
        let cfg = PeersConfig::new(peers.listen, &self.settings.name, self.incarnation, secret)
            .max_frame(peers.max_frame_bytes)
            .max_queued_frames(peers.max_queued_frames as usize)
            .connect_timeout(peers.connect_timeout_ms.duration())
            .heartbeat(peers.heartbeat_ms.duration())
            .silence_timeout(peers.silence_timeout_ms.duration())
            .reconnect(
                peers.reconnect_min_ms.duration(),
                peers.reconnect_max_ms.duration(),
            );
        let (tx, rx) = mpsc::channel(PEER_EVENTS);
        let started = Peers::start(cfg, tx).await;
        let handle = started.map_err(listen_error("peers", peers.listen))?;
        tokio::spawn(forward_peer_events(rx, self.port.clone()));
        Ok(handle)
    }

    fn node_task(&self, channels: NodeChannels, peers: PeersHandle) -> NodeTask<LiveEffects> {
        let effects = LiveEffects::new(
            self.port.clone(),
            Polls::new(self.protocol.clone()),
            self.platform.clone(),
            peers,
        );
        let identity = Identity {
            instance: self.settings.name.clone(),
            data_centre: self.settings.data_centre.clone(),
            started: std::time::Instant::now(),
        };
        let node = Node::new(node_config(&self.settings, self.incarnation));
        NodeTask::new(node, effects, identity, channels)
    }

    /// Returns the supervisor of the listeners. The operators' listener stops last, so that
    /// operators can observe how the callers' listener stops.
    fn listener_supervisor(
        &self,
        listeners: Listeners,
        port: OperatorPort,
        key: Secret,
    ) -> Supervisor {
        let supervisor = &self.settings.supervisor;
        let intensity = Intensity {
            max_restarts: supervisor.max_restarts,
            window: supervisor.restart_window_ms.duration(),
        };
        let operators = Arc::new(OperatorServer::new(listeners.operators, port, key));
        let callers = Arc::new(Mutex::new(Some(listeners.callers)));
        let server = self.caller_server();
        Supervisor::new(intensity)
            .part("operators", move |stop| {
                let operators = Arc::clone(&operators);
                async move { Ok(operators.run(stop.cancelled_owned()).await?) }
            })
            .part("callers", move |stop| {
                let (server, callers) = (server.clone(), Arc::clone(&callers));
                async move {
                    let listener = TcpListener::from_std(clone_listener(&callers)?)?;
                    let closed = async move {
                        stop.cancelled().await;
                        // The socket would go on to establish connections that nobody accepts.
                        *callers.lock().unwrap_or_else(PoisonError::into_inner) = None;
                    };
                    Ok(server.serve(listener, closed).await?)
                }
            })
    }

    fn caller_server(&self) -> CallerServer<HttpProtocol> {
        let callers = &self.settings.callers;
        let memory = Resources::new(self.settings.limits.memory_mb, 0).memory;
        let connections = callers.max_connections as usize;
        let connections = ConnectionBounds::new(memory, usize::MAX, connections).callers;
        CallerServer::builder(self.port.clone(), self.protocol.clone())
            .max_body_bytes(callers.max_body_bytes)
            .memory(memory)
            .body_timeout(callers.read_timeout_ms.duration())
            .max_connections(connections)
            .write_timeout(callers.write_timeout_ms.duration())
            .idle_timeout(callers.idle_timeout_ms.duration())
            .stopping(self.stop.planned.clone())
            .build()
    }

    async fn run_until_end(
        &self,
        node: NodeTask<LiveEffects>,
        listeners: Supervisor,
    ) -> Result<(), ServeError> {
        let closing = StopTokens::new();
        let mut node = tokio::spawn(node.run());
        let mut listeners = core::pin::pin!(listeners.run(&closing));
        tokio::select! {
            ended = &mut node => self.check_node_end(ended)?,
            ended = &mut listeners => return Err(listener_failure(ended)),
            () = self.stop.now.cancelled() => return Err(ServeError::StoppedNow),
        }
        closing.planned.cancel();
        tokio::select! {
            ended = listeners => ended.map_err(|error| listener_failure(Err(error)))?,
            () = self.stop.now.cancelled() => return Err(ServeError::StoppedNow),
        }
        events::emit_shell(&ShellNote::StopFinished);
        Ok(())
    }

    /// The node task ends only at a planned stop; anything else is a fault.
    fn check_node_end(&self, ended: Result<(), JoinError>) -> Result<(), ServeError> {
        let error = match ended {
            Ok(()) if self.stop.planned.is_cancelled() => return Ok(()),
            Ok(()) => "its inputs were closed".to_owned(),
            Err(error) => error.to_string(),
        };
        events::emit_shell(&ShellNote::PartGivenUp {
            part: NODE_PART,
            error: &error,
        });
        Err(ServeError::PartFailed(NODE_PART))
    }
}

/// Returns another handle of a listening socket, for a part that is started again.
fn clone_listener(
    listener: &Mutex<Option<std::net::TcpListener>>,
) -> std::io::Result<std::net::TcpListener> {
    let listener = listener.lock().unwrap_or_else(PoisonError::into_inner);
    let listener = listener.as_ref();
    listener.map_or_else(
        || Err(std::io::ErrorKind::NotConnected.into()),
        std::net::TcpListener::try_clone,
    )
}

/// Converts the events of the links to events for the node.
async fn forward_peer_events(mut rx: mpsc::Receiver<PeerEvent>, port: NodePort) {
    while let Some(event) = rx.recv().await {
        let event = match event {
            PeerEvent::Up(peer) => Event::PeerUp(peer),
            PeerEvent::Down(peer) => Event::PeerDown(peer),
            PeerEvent::Idle(peer) => Event::PeerIdle(peer),
            PeerEvent::Envelope(from, envelope) => Event::Peer { from, envelope },
            PeerEvent::Rejected(why) => {
                let why = why.to_string();
                events::emit_shell(&ShellNote::PeerRefused { why: &why });
                continue;
            }
        };
        if port.event(event).await.is_err() {
            return;
        }
    }
}

fn listener_failure(ended: Result<(), SupervisorError>) -> ServeError {
    match ended {
        Err(SupervisorError::PartGivenUp { part, .. }) => ServeError::PartFailed(part),
        Err(SupervisorError::StoppedNow) => ServeError::StoppedNow,
        Ok(()) => ServeError::PartFailed("doors"),
    }
}

fn listen_error(
    listener: &'static str,
    address: SocketAddr,
) -> impl FnOnce(std::io::Error) -> ServeError {
    move |source| ServeError::Listen {
        listener,
        address,
        source,
    }
}

fn platform_client(settings: &Settings) -> Result<PlatformClient, platform::SetUpError> {
    let platform = &settings.platform;
    let limits = PlatformLimits {
        read_timeout: platform.read_timeout_ms.duration(),
        watch_timeout: platform.watch_timeout_ms.duration(),
    };
    PlatformClient::new(&platform.addresses, limits)
}

fn http_settings(settings: &Settings) -> HttpSettings {
    HttpSettings {
        connect_timeout: settings.endpoints.connect_timeout_ms.duration(),
        control_timeout: settings.endpoints.report_timeout_ms.duration(),
    }
}

fn keys_config(claims: &ClaimsSettings) -> KeysConfig {
    KeysConfig {
        memory: claims.memory_ms.duration(),
        settle: claims.settle_ms.duration(),
        valid: claims.valid_ms.duration(),
        list_fresh: claims.list_fresh_ms.duration(),
        ask_limit: claims.ask_limit_ms.duration(),
        ticket_life: claims.ticket_life_ms.duration(),
    }
}

fn node_config(settings: &Settings, incarnation: Incarnation) -> NodeConfig {
    let mut cfg = NodeConfig::new(
        &settings.name,
        incarnation,
        &settings.data_centre,
        incarnation.0,
    );
    cfg.stop_grace = settings.stop.notice_ms.duration();
    cfg.stall_limit = settings.endpoints.stall_timeout_ms.duration();
    cfg.max_requests = settings.callers.max_requests as usize;
    cfg.loads_per_minute = settings.limits.loads_per_minute;
    cfg.explain_records = settings.limits.explain_records as usize;
    cfg.keys = keys_config(&settings.claims);
    cfg
}
