//! Links to the other instances.
//!
//! One connection for each pair of instances that talk, over TCP, with HTTP/2
//! prior knowledge. Both sides prove the shared secret before the first
//! message. Links exist on demand: the node says whom to dial, and others dial
//! us. `docs/design/peer-protocol.md` describes frames, handshake and bounds.
//!
//! What a link promises: a frame arrives once or not at all, after
//! [`PeerEvent::Up`] and before [`PeerEvent::Down`] of its peer, and in order
//! within one connection. When both sides dial at once, frames on the second
//! connection may overtake those on the first. Frames that wait when a link
//! breaks are dropped; whoever sent them hears of the break and decides what
//! is worth repeating.

mod accept;
mod auth;
mod codec;
mod dial;
mod link;
mod queue;
mod table;

pub use auth::{VERSION_MAX, VERSION_MIN, common_version};
pub use codec::{CodecError, FrameDecoder, encode_frame, encode_frames};
pub use link::LinkFailure;
pub use queue::MAX_QUEUE_BYTES;

use crate::metrics::Counter;
use crate::settings::Secret;
use core::time::Duration;
use oriolemux_core::event::{PeerId, PeerTarget};
use oriolemux_core::ids::{Incarnation, InstanceKey};
use oriolemux_core::peer::PeerEnvelope;
use queue::Queued;
use std::net::SocketAddr;
use std::sync::Arc;
use table::Shared;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// The most bytes of one frame unless the settings say otherwise: a value of
/// the platform, which has up to a megabyte, and its envelope.
pub const MAX_FRAME: usize = 1024 * 1024 + 64 * 1024;

/// How an instance takes part in the links.
#[derive(Clone, Debug)]
pub struct PeersConfig {
    listen: SocketAddr,
    id: PeerId,
    secret: Secret,
    max_frame: usize,
    max_queued_frames: usize,
    max_unauthenticated: usize,
    connect_timeout: Duration,
    heartbeat: Duration,
    silence_timeout: Duration,
    idle_timeout: Duration,
    reconnect: (Duration, Duration),
}

impl PeersConfig {
    /// Returns a configuration with the usual limits.
    pub fn new(listen: SocketAddr, name: &str, incarnation: Incarnation, secret: Secret) -> Self {
        PeersConfig {
            listen,
            id: PeerId {
                instance: InstanceKey::of(name),
                incarnation,
            },
            secret,
            max_frame: MAX_FRAME,
            max_queued_frames: 1024,
            max_unauthenticated: 64,
            connect_timeout: Duration::from_secs(1),
            heartbeat: Duration::from_secs(2),
            silence_timeout: Duration::from_secs(4),
            idle_timeout: Duration::from_secs(20),
            reconnect: (Duration::from_millis(100), Duration::from_secs(3)),
        }
    }

    /// Sets the most bytes of one frame.
    pub fn max_frame(mut self, bytes: usize) -> Self {
        self.max_frame = bytes;
        self
    }

    /// Sets how many frames may wait for one link.
    pub fn max_queued_frames(mut self, frames: usize) -> Self {
        self.max_queued_frames = frames.max(1);
        self
    }

    /// Sets within which time a connection is made and authenticated.
    pub fn connect_timeout(mut self, time: Duration) -> Self {
        self.connect_timeout = time;
        self
    }

    /// Sets the time between two heartbeats while there is traffic.
    pub fn heartbeat(mut self, time: Duration) -> Self {
        self.heartbeat = time;
        self
    }

    /// Sets for how long a link with traffic may be silent before it is given up.
    pub fn silence_timeout(mut self, time: Duration) -> Self {
        self.silence_timeout = time;
        self
    }

    /// Sets after which time without traffic an unwanted link is closed.
    pub fn idle_timeout(mut self, time: Duration) -> Self {
        self.idle_timeout = time;
        self
    }

    /// Sets the first and the longest pause before a lost link is made again.
    pub fn reconnect(mut self, first: Duration, longest: Duration) -> Self {
        self.reconnect = (first, longest.max(first));
        self
    }

    /// Returns the name and life of this process.
    pub fn id(&self) -> PeerId {
        self.id
    }

    fn secret(&self) -> &[u8] {
        self.secret.as_bytes()
    }
}

/// Why a connection was not taken as a link.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, displaydoc::Display, thiserror::Error,
)]
pub enum Rejection {
    /// the other side closed the connection before it was authenticated
    Closed,
    /// the other side did not authenticate in time
    TooSlow,
    /// the other side does not speak this protocol
    NotAPeer,
    /// the versions have nothing in common
    Version,
    /// the other side does not hold the secret
    WrongSecret,
    /// the other side is not the instance that was wanted
    WrongInstance,
    /// the other side uses this instance's name
    OwnName,
    /// the other side is a life that was already replaced
    ReplacedIncarnation,
    /// there is already a link to this instance
    Duplicate,
    /// too many connections are not authenticated yet
    TooMany,
    /// the operating system gave no random bytes
    NoRandomness,
}

/// What the links tell the node.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// A link is up.
    Up(PeerId),
    /// A link broke, or could not be made; then the incarnation is 0 if it is not known.
    Down(PeerId),
    /// A link was closed in order because nobody needs it.
    Idle(PeerId),
    /// A frame arrived.
    Envelope(PeerId, PeerEnvelope),
    /// A connection was not taken. Dropped when the node is busy, because a
    /// stranger can cause as many as it likes.
    Rejected(Rejection),
}

/// What became of a frame that was to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It waits for the link.
    Queued,
    /// It waits, and the oldest waiting frames were dropped for it.
    Displaced,
    /// There is no link, and none was asked for.
    NoLink,
    /// A message of it is longer than a frame may be; the others wait.
    TooLong,
}

/// All links of this process.
#[derive(Clone, Debug)]
pub struct PeersHandle {
    shared: Arc<Shared>,
    local_addr: SocketAddr,
}

/// Starts the links.
#[derive(Clone, Copy, Debug)]
pub struct Peers;

impl Peers {
    /// Listens for peers and returns the handle of all links.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be used.
    pub async fn start(
        cfg: PeersConfig,
        events: mpsc::Sender<PeerEvent>,
    ) -> std::io::Result<PeersHandle> {
        let listener = TcpListener::bind(cfg.listen).await?;
        let local_addr = listener.local_addr()?;
        let shared = Arc::new(Shared::new(cfg, events));
        let tasks = shared.tasks();
        tasks.spawn(accept::accept_peers(Arc::clone(&shared), listener));
        Ok(PeersHandle { shared, local_addr })
    }
}

impl PeersHandle {
    /// Returns the address on which peers connect.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Dials exactly these peers. Links to others stay until they are idle.
    pub fn set_links(&self, targets: Vec<PeerTarget>) {
        for key in self.shared.set_targets(targets) {
            let shared = Arc::clone(&self.shared);
            self.shared.tasks().spawn(dial::maintain_link(shared, key));
        }
    }

    /// Queues an envelope for a peer; never waits.
    ///
    /// It goes as several frames if it is too long for one.
    pub fn send(&self, to: InstanceKey, envelope: &PeerEnvelope) -> SendOutcome {
        let Some((queue, version)) = self.shared.queue(to) else {
            return SendOutcome::NoLink;
        };
        let Some(envelope) = envelope.spoken_in(version) else {
            return SendOutcome::Queued;
        };
        let envelope = &*envelope;
        let mut frames = Vec::with_capacity(1);
        let too_long = encode_frames(envelope, self.shared.cfg().max_frame, &mut frames);
        let mut dropped = too_long;
        for frame in frames {
            dropped += match queue.push(frame) {
                Queued::Kept => 0,
                Queued::Displaced(n) => n,
            };
        }
        Counter::PeerFramesDropped.add(dropped as u64);
        match (too_long, dropped) {
            (0, 0) => SendOutcome::Queued,
            (0, _) => SendOutcome::Displaced,
            _ => SendOutcome::TooLong,
        }
    }

    /// Returns how many links are up.
    pub fn links(&self) -> usize {
        self.shared.links()
    }

    /// Closes all links in order; what waits is sent first, for a bounded time.
    pub async fn shutdown(&self) {
        self.shared.shutdown().await;
    }
}
