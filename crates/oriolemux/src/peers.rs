//! Links to the other instances.
//!
//! A link is one connection between two instances, over TCP, with HTTP/2 prior knowledge. Both
//! sides prove that they hold the shared secret before the first message. Links exist on demand:
//! the node chooses which peers to dial, and accepts those that dial it.
//! `docs/design/peer-protocol.md` describes frames, handshake and limits.
//!
//! Guarantees: a frame arrives once or not at all, after [`PeerEvent::Up`] and before
//! [`PeerEvent::Down`] of its peer, and in order within one connection. When both sides dial at
//! the same time, frames on the second connection may overtake those on the first. Frames that are
//! queued when a link breaks are dropped; the node receives [`PeerEvent::Down`] and decides what to
//! send again.

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

/// The default for the most bytes of one frame: a value of the platform, which has up to a
/// megabyte, and its envelope.
pub const MAX_FRAME: usize = 1024 * 1024 + 64 * 1024;

/// Configuration of the links of an instance.
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
    /// Returns a configuration with the default limits.
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

    /// Sets how many frames may be queued for one link.
    pub fn max_queued_frames(mut self, frames: usize) -> Self {
        self.max_queued_frames = frames.max(1);
        self
    }

    /// Sets the timeout for connecting and authenticating.
    pub fn connect_timeout(mut self, time: Duration) -> Self {
        self.connect_timeout = time;
        self
    }

    /// Sets the time between two heartbeats while there is traffic.
    pub fn heartbeat(mut self, time: Duration) -> Self {
        self.heartbeat = time;
        self
    }

    /// Sets how long a link with traffic may be silent before it counts as failed.
    pub fn silence_timeout(mut self, time: Duration) -> Self {
        self.silence_timeout = time;
        self
    }

    /// Sets after which time without traffic an unneeded link is closed.
    pub fn idle_timeout(mut self, time: Duration) -> Self {
        self.idle_timeout = time;
        self
    }

    /// Sets the first and the longest backoff before a lost link is dialled again.
    pub fn reconnect(mut self, first: Duration, longest: Duration) -> Self {
        self.reconnect = (first, longest.max(first));
        self
    }

    /// Returns the instance key and the incarnation of this process.
    pub fn id(&self) -> PeerId {
        self.id
    }

    fn secret(&self) -> &[u8] {
        self.secret.as_bytes()
    }
}

/// Why a connection was rejected. The texts are values of the field `why` in the log.
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

/// An event of the links, for the node.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerEvent {
    /// A link is up.
    Up(PeerId),
    /// A link broke, or could not be established. The incarnation is 0 if it is not known.
    Down(PeerId),
    /// A link was closed in order because it is not needed.
    Idle(PeerId),
    /// A frame arrived.
    Envelope(PeerId, PeerEnvelope),
    /// A connection was rejected. The event is dropped when the node is busy, because an
    /// unauthenticated client can cause any number of them.
    Rejected(Rejection),
}

/// The result of sending an envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// It is queued.
    Queued,
    /// It is queued, and the oldest queued frames were dropped for it.
    Displaced,
    /// There is no link, and the peer is not to be dialled.
    NoLink,
    /// One of its messages is longer than a frame may be; the others are queued.
    TooLong,
}

/// All links of this process.
#[derive(Clone, Debug)]
pub struct PeersHandle {
    shared: Arc<Shared>,
    local_addr: SocketAddr,
}

/// The entry point that starts the links.
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

    /// Dials exactly these peers. Links to others are kept until they are idle.
    pub fn set_links(&self, targets: Vec<PeerTarget>) {
        for key in self.shared.set_targets(targets) {
            let shared = Arc::clone(&self.shared);
            self.shared.tasks().spawn(dial::maintain_link(shared, key));
        }
    }

    /// Queues an envelope for a peer, without waiting.
    ///
    /// It is sent as several frames if it is too long for one.
    pub fn send(&self, to: InstanceKey, envelope: &PeerEnvelope) -> SendOutcome {
        let Some((queue, version)) = self.shared.queue(to) else {
            return SendOutcome::NoLink;
        };
        let Some(envelope) = envelope.readable_by(version) else {
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

    /// Closes all links in order. Queued frames are sent first, within a time limit.
    pub async fn shutdown(&self) {
        self.shared.shutdown().await;
    }
}
