//! Starts all tasks of the gateway and stops them in order.

use crate::cx::{Clock, Cx, GatewayLimits, OpenKind, StopPlan};
use crate::log_event;
use crate::page::OperatorsPage;
use crate::ports::{EngineCalls, Store, Wire};
use crate::{catch_up, front, gossip, own_delay, page, proxy, store};
use core::time::Duration;
use oriolemux_core::gateway::budget::BudgetConfig;
use oriolemux_core::gateway::{Gateway, GatewayConfig};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// How long before the end of a planned stop the listener for callers is closed.
const LISTENER_CLOSE_MARGIN: Duration = Duration::from_millis(500);

/// How long before the end of a planned stop the last caller connections are ended, so that each can
/// log the request that it leaves without a response.
const ABORT_MARGIN: Duration = Duration::from_millis(50);

/// How long before the end of a planned stop calls are refused: longer than a call takes, so
/// that none is aborted.
const CALL_CUTOFF: Duration = Duration::from_millis(1_500);

/// How long before the end of the notice generations are refused. A generation that arrives within
/// the notice may be aborted at the end of the stop, so the last part of the notice is left out.
const GENERATION_CUTOFF: Duration = Duration::from_millis(500);

fn stop_plan(settings: &RunConfig) -> StopPlan {
    let now = std::time::Instant::now();
    let ends = now + settings.grace;
    let accepts_for = settings.notice.saturating_sub(GENERATION_CUTOFF);
    StopPlan {
        no_generations_from: now + accepts_for,
        no_calls_from: ends.checked_sub(CALL_CUTOFF).unwrap_or(now),
        deadline: ends,
    }
}

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
        tasks.spawn(page::serve(self.readiness, move |_| {
            page::readiness(&readiness_cx)
        }));
        if let (Some(listener), Some(page)) = (self.metrics, settings.metrics) {
            let operators = OperatorsPage {
                cx: Arc::clone(&cx),
                instance: settings.name.as_str().into(),
                metrics: page.render,
                stop: stop.clone(),
            };
            tasks.spawn(page::serve(listener, move |request| {
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
    let started = Instant::now();
    cx.begin_stop(stop_plan(settings));
    sleep(settings.notice).await;
    let listener_closes = settings.grace.saturating_sub(LISTENER_CLOSE_MARGIN);
    while cx.open_count(OpenKind::Generation) > 0 && started.elapsed() < listener_closes {
        sleep(STOP_POLL_INTERVAL).await;
    }
    acceptor.abort();
    cx.closing.cancel();
    callers.close();
    let remaining = settings
        .grace
        .saturating_sub(started.elapsed() + ABORT_MARGIN);
    if tokio::time::timeout(remaining, callers.wait())
        .await
        .is_err()
    {
        let requests = cx.open_count(OpenKind::Request) + cx.open_count(OpenKind::Generation);
        log_event!(StoppedWithRequests, requests = requests);
        cx.aborting.cancel();
        let _ = tokio::time::timeout(ABORT_MARGIN, callers.wait()).await;
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
