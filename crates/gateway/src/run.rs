//! Starts all parts of the gateway and ends them in order.

use crate::cx::{Clock, Cx, GatewayLimits};
use crate::ports::{EngineCalls, Store, Wire};
use crate::{front, news, readiness, store};
use core::time::Duration;
use oriolemux_core::gateway::{Gateway, GatewayConfig};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// How often a planned stop looks whether the last request is answered.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// Where an instance listens, and its bounds.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// For callers.
    pub front: SocketAddr,
    /// For the balancer.
    pub readiness: SocketAddr,
    /// For peers, over UDP and TCP.
    pub peers: SocketAddrV4,
    /// Bounds of the sockets.
    pub limits: GatewayLimits,
    /// How long callers are still taken after readiness was withdrawn.
    pub notice: Duration,
    /// How long a planned stop may take in all.
    pub grace: Duration,
    /// What the decisions need.
    pub config: GatewayConfig,
}

/// Why the gateway ended before it was told to.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum RunError {
    /// cannot listen for {listener} on {address}: {source}
    Listen {
        /// Which listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// a part ended that runs for good
    PartEnded,
}

/// Runs an instance until `stop` is cancelled and the last request is answered.
///
/// # Errors
///
/// Fails if an address cannot be used or a part ends by itself.
pub async fn run<W: Wire, S: Store, E: EngineCalls>(
    settings: RunConfig,
    wire: W,
    store_client: S,
    engines: E,
    stop: CancellationToken,
) -> Result<(), RunError> {
    let clock = Clock::start();
    let peers = SocketAddr::from(settings.peers);
    let front_listener = Arc::new(listen("front", settings.front).await?);
    let ready_listener = listen("readiness", settings.readiness).await?;
    let peer_listener = listen("peers", peers).await?;
    let socket = UdpSocket::bind(peers).await;
    let socket = Arc::new(socket.map_err(|source| RunError::Listen {
        listener: "peers",
        address: peers,
        source,
    })?);
    let state = Gateway::new(clock.now(), settings.config.clone());
    let cx = Cx::new(wire, clock, settings.limits, state);
    let callers = TaskTracker::new();
    let mut parts = JoinSet::new();
    parts.spawn(store::keep_up(Arc::clone(&cx), store_client));
    parts.spawn(news::tell(Arc::clone(&cx), Arc::clone(&socket)));
    parts.spawn(news::hear(Arc::clone(&cx), socket));
    parts.spawn(news::answer(Arc::clone(&cx), peer_listener));
    parts.spawn(readiness::serve(Arc::clone(&cx), ready_listener));
    let front = front::serve(Arc::clone(&cx), engines, front_listener, callers.clone());
    let door = parts.spawn(front);
    tokio::select! {
        () = stop.cancelled() => {}
        _ = parts.join_next() => return Err(RunError::PartEnded),
    }
    end_in_order(&cx, &settings, &callers, &door).await;
    Ok(())
}

/// Stops without cutting anything off: readiness first, while callers that the
/// balancer still sends are served; then the idle connections; then the process,
/// once the last request is answered.
async fn end_in_order<W: Wire>(
    cx: &Arc<Cx<W>>,
    settings: &RunConfig,
    callers: &TaskTracker,
    door: &AbortHandle,
) {
    let begun = Instant::now();
    cx.state().stop();
    cx.stopping.cancel();
    cx.dirty.notify_one();
    sleep(settings.notice).await;
    door.abort();
    cx.closing.cancel();
    callers.close();
    while cx.open_requests() > 0 && begun.elapsed() < settings.grace {
        sleep(STOP_LOOK).await;
    }
    let left = settings.grace.saturating_sub(begun.elapsed());
    if tokio::time::timeout(left, callers.wait()).await.is_err() {
        log::warn!(event = 618, requests = cx.open_requests(); "stopped_with_requests");
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
