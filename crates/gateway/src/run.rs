//! Starts all tasks of the gateway and stops them in order.

use crate::connections::Connections;
use crate::cx::{Clock, Cx, GatewayLimits, OpenKind};
use crate::log_event;
use crate::page::OperatorsPage;
use crate::ports::{EngineCalls, Store, Wire};
use crate::stop_plan::{ABORT_MARGIN, StopPlan};
use crate::{catch_up, front, gossip, own_delay, page, proxy, store};
use core::time::Duration;
use oriolemux_core::gateway::budget::BudgetConfig;
use oriolemux_core::gateway::{Gateway, GatewayConfig};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Applies reloaded settings. Never returns.
async fn apply_reloads<W: Wire>(
    cx: Arc<Cx<W>>,
    mut reloads: watch::Receiver<Option<ReloadedSettings>>,
) {
    while reloads.changed().await.is_ok() {
        let reloaded = reloads.borrow_and_update().clone();
        if let Some(ReloadedSettings { seeds, budget }) = reloaded {
            let now = cx.now();
            cx.state().reload(now, seeds, budget);
        }
    }
    // The sender is gone; the settings in force stay.
    core::future::pending().await
}

/// The interval at which a planned stop checks whether the last generation has ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The addresses and limits of an instance.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// The instance's name.
    pub name: String,
    /// The address for callers.
    pub front: SocketAddr,
    /// The address for the balancer's readiness checks.
    pub readiness: SocketAddr,
    /// The address for peers, over UDP and TCP.
    pub peers: SocketAddrV4,
    /// The metrics and operators' page, if there is one.
    pub metrics: Option<MetricsPage>,
    /// Limits of the sockets.
    pub limits: GatewayLimits,
    /// How long requests are still accepted after readiness was withdrawn.
    pub notice: Duration,
    /// The maximum duration of a planned stop.
    pub grace: Duration,
    /// The configuration of the decision state.
    pub config: GatewayConfig,
}

/// The metrics page, which is rendered for each request.
#[derive(Clone, Copy, Debug)]
pub struct MetricsPage {
    /// The address of the listener.
    pub listen: SocketAddr,
    /// Renders the metrics as text.
    pub render: fn() -> String,
}

/// Settings that may change at run time.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadedSettings {
    /// Addresses at which peers may be reached.
    pub seeds: Vec<SocketAddrV4>,
    /// The fleet's retry budget.
    pub budget: BudgetConfig,
}

/// Why the gateway ended without being stopped.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum RunError {
    /// cannot listen for {listener} on {address}: {source}
    Listen {
        /// The listener's name.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// a task that must run until shutdown has ended
    TaskEnded,
}

/// The listeners of an instance. They are bound before anything starts, so that an address that
/// is in use ends the process at once. Port 0 binds any free port.
pub struct BoundListeners {
    front: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    socket: UdpSocket,
    metrics: Option<TcpListener>,
    addresses: BoundAddresses,
}

/// The addresses that an instance listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    /// For callers.
    pub front: SocketAddr,
    /// For the balancer.
    pub readiness: SocketAddr,
    /// For peers, over UDP and TCP.
    pub peers: SocketAddrV4,
    /// For operators and metrics, if configured.
    pub metrics: Option<SocketAddr>,
}

impl BoundListeners {
    /// Binds all listeners.
    ///
    /// # Errors
    ///
    /// Returns the address that cannot be bound.
    pub async fn bind(settings: &RunConfig) -> Result<Self, RunError> {
        let front = listen("front", settings.front).await?;
        let readiness = listen("readiness", settings.readiness).await?;
        let (peers, socket) = listen_to_peers(settings.peers).await?;
        let metrics = match settings.metrics {
            Some(page) => Some(listen("metrics", page.listen).await?),
            None => None,
        };
        let addresses = BoundAddresses {
            front: front.local_addr().unwrap_or(settings.front),
            readiness: readiness.local_addr().unwrap_or(settings.readiness),
            peers: local_v4(&peers).unwrap_or(settings.peers),
            metrics: metrics.as_ref().and_then(|it| it.local_addr().ok()),
        };
        Ok(BoundListeners {
            front,
            readiness,
            peers,
            socket,
            metrics,
            addresses,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    fn log_listeners(&self) {
        let listeners = [
            ("front", self.addresses.front),
            ("readiness", self.addresses.readiness),
            ("peers", SocketAddr::V4(self.addresses.peers)),
        ];
        let metrics = self.addresses.metrics.map(|address| ("metrics", address));
        for (listener, address) in listeners.into_iter().chain(metrics) {
            log_event!(Listening, listener = listener, address:% = address);
        }
    }

    /// Runs the instance until `stop` is cancelled and the last request has ended.
    ///
    /// # Errors
    ///
    /// Fails if a task ends by itself.
    pub async fn run<W: Wire, S: Store, E: EngineCalls>(
        self,
        settings: RunConfig,
        wire: W,
        store_client: S,
        engines: E,
        reloads: watch::Receiver<Option<ReloadedSettings>>,
        stop: CancellationToken,
    ) -> Result<(), RunError> {
        self.log_listeners();
        let clock = Clock::start();
        let mut config = settings.config.clone();
        config.address = self.addresses.peers;
        let state = Gateway::new(clock.now(), config);
        let cx = Cx::new(wire, clock, settings.limits, state);
        let callers = TaskTracker::new();
        let socket = Arc::new(self.socket);
        let mut tasks = JoinSet::new();
        tasks.spawn(store::follow_store(Arc::clone(&cx), store_client));
        tasks.spawn(gossip::send_loop(Arc::clone(&cx), Arc::clone(&socket)));
        tasks.spawn(gossip::receive_loop(Arc::clone(&cx), socket));
        let peers = catch_up::serve_peers(
            Arc::clone(&cx),
            engines.clone(),
            self.peers,
            callers.clone(),
        );
        tasks.spawn(peers);
        tasks.spawn(proxy::probe::probe_endpoints(Arc::clone(&cx)));
        tasks.spawn(own_delay::watch(Arc::clone(&cx)));
        tasks.spawn(catch_up::catch_up(Arc::clone(&cx)));
        let readiness_cx = Arc::clone(&cx);
        let bounds = settings.limits.connections;
        let connections = Connections::new("readiness", bounds.readiness);
        tasks.spawn(page::serve(self.readiness, connections, move |_| {
            page::readiness(&readiness_cx)
        }));
        if let (Some(listener), Some(page)) = (self.metrics, settings.metrics) {
            let operators = OperatorsPage {
                cx: Arc::clone(&cx),
                instance: settings.name.as_str().into(),
                metrics: page.render,
                stop: stop.clone(),
            };
            let connections = Connections::new("operators", bounds.operators);
            tasks.spawn(page::serve(listener, connections, move |request| {
                operators.handle(&request)
            }));
        }
        tasks.spawn(apply_reloads(Arc::clone(&cx), reloads));
        let front = front::serve(Arc::clone(&cx), engines, self.front, callers.clone());
        let acceptor = tasks.spawn(front);
        tokio::select! {
            () = stop.cancelled() => {}
            _ = tasks.join_next() => return Err(RunError::TaskEnded),
        }
        stop_gracefully(&cx, &settings, &callers, &acceptor).await;
        Ok(())
    }
}

/// Stops without aborting requests. Readiness is withdrawn first, while callers that still arrive
/// are served; the listener closes once the last generation has ended, then idle connections.
/// Requests that have no response shortly before the end get one that says what is known of them.
///
/// The listener stays open until the process is about to end. Where several instances stop one
/// after the other, the balancer sends callers to all of them, and a closed listener would leave
/// callers without a response.
async fn stop_gracefully<W: Wire>(
    cx: &Arc<Cx<W>>,
    settings: &RunConfig,
    callers: &TaskTracker,
    acceptor: &AbortHandle,
) {
    let plan = StopPlan::new(std::time::Instant::now(), settings.notice, settings.grace);
    let answers_at = Instant::from(plan.answers_at());
    cx.begin_stop(plan);
    sleep_until(plan.notice_ends().into()).await;
    while cx.open_count(OpenKind::Generation) > 0 && Instant::now() < answers_at {
        sleep(STOP_POLL_INTERVAL).await;
    }
    acceptor.abort();
    cx.closing.cancel();
    callers.close();
    if timeout_at(answers_at, callers.wait()).await.is_ok() {
        return;
    }
    cx.ending.cancel();
    // A process that is late needs time for the responses as well.
    let aborts_at = Instant::from(plan.aborts_at()).max(Instant::now() + ABORT_MARGIN);
    if timeout_at(aborts_at, callers.wait()).await.is_err() {
        let requests = cx.open_count(OpenKind::Request) + cx.open_count(OpenKind::Generation);
        log_event!(StoppedWithRequests, requests = requests);
        cx.aborting.cancel();
        let _ = timeout_at(aborts_at + ABORT_MARGIN, callers.wait()).await;
    }
}

async fn listen(listener: &'static str, address: SocketAddr) -> Result<TcpListener, RunError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RunError::Listen {
        listener,
        address,
        source,
    })
}

/// Attempts to find a port that is free for both UDP and TCP.
const MAX_PEER_PORT_ATTEMPTS: usize = 16;

/// Binds the same port for datagrams and for connections of peers.
async fn listen_to_peers(address: SocketAddrV4) -> Result<(TcpListener, UdpSocket), RunError> {
    let mut tries = 0;
    loop {
        let listener = listen("peers", SocketAddr::V4(address)).await?;
        let bound = local_v4(&listener).unwrap_or(address);
        match UdpSocket::bind(SocketAddr::V4(bound)).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if address.port() == 0 && tries < MAX_PEER_PORT_ATTEMPTS => tries += 1,
            Err(source) => {
                return Err(RunError::Listen {
                    listener: "peers",
                    address: SocketAddr::V4(bound),
                    source,
                });
            }
        }
    }
}

fn local_v4(listener: &TcpListener) -> Option<SocketAddrV4> {
    match listener.local_addr() {
        Ok(SocketAddr::V4(address)) => Some(address),
        _ => None,
    }
}
