//! The I/O that the node task starts.

use crate::callers::port::NodePort;
use crate::endpoints::{HttpProtocol, Polls};
use crate::events;
use crate::peers::PeersHandle;
use crate::platform::{self, PlatformClient};
use oriolemux_core::event::{EndpointTarget, OrderKind, PeerTarget, ValueName};
use oriolemux_core::explain::Names;
use oriolemux_core::note::Note;
use oriolemux_core::peer::PeerEnvelope;
use oriolemux_core::{InstanceKey, Time};

/// The I/O that the node task starts. No method may block or wait; results come back as events.
pub trait Effects: Send + 'static {
    /// Reads a value of the platform once.
    fn read(&self, name: ValueName);
    /// Watches a value of the platform for a revision above the one given.
    fn watch(&self, name: ValueName, above: u64);
    /// Polls an endpoint for its load and cache events.
    fn poll_load(&self, endpoint: EndpointTarget);
    /// Sends an order to an endpoint.
    fn order(&self, endpoint: EndpointTarget, fencing: u64, kind: OrderKind, send_before: Time);
    /// Keeps links to exactly these peers.
    fn links(&self, peers: Vec<PeerTarget>);
    /// Sends a frame to a peer. The frame is dropped if there is no link.
    fn send(&self, to: InstanceKey, envelope: PeerEnvelope);
    /// Counts and logs an event, under the published names.
    fn note(&self, note: &Note, names: &impl Names);
}

/// The [`Effects`] of a running process.
pub struct LiveEffects {
    port: NodePort,
    polls: Polls<HttpProtocol>,
    platform: PlatformClient,
    peers: PeersHandle,
}

impl LiveEffects {
    /// Combines the clients of endpoints, platform and peers; results go to `port`.
    pub fn new(
        port: NodePort,
        polls: Polls<HttpProtocol>,
        platform: PlatformClient,
        peers: PeersHandle,
    ) -> Self {
        LiveEffects {
            port,
            polls,
            platform,
            peers,
        }
    }

    fn request_value(&self, name: ValueName, above: Option<u64>) {
        let (platform, port) = (self.platform.clone(), self.port.clone());
        tokio::spawn(async move {
            // An error means that the node task has ended, so there is no receiver.
            let _ = platform::call(&platform, name, above, &port).await;
        });
    }
}

impl Effects for LiveEffects {
    fn read(&self, name: ValueName) {
        self.request_value(name, None);
    }

    fn watch(&self, name: ValueName, above: u64) {
        self.request_value(name, Some(above));
    }

    fn poll_load(&self, endpoint: EndpointTarget) {
        let (polls, port) = (self.polls.clone(), self.port.clone());
        tokio::spawn(async move {
            // An error means that the node task has ended, so there is no receiver.
            let _ = polls.poll(&endpoint, &port).await;
        });
    }

    fn order(&self, endpoint: EndpointTarget, fencing: u64, kind: OrderKind, send_before: Time) {
        let (polls, port) = (self.polls.clone(), self.port.clone());
        tokio::spawn(async move {
            let _ = polls
                .order(&endpoint, fencing, &kind, send_before, &port)
                .await;
        });
    }

    fn links(&self, peers: Vec<PeerTarget>) {
        self.peers.set_links(peers);
    }

    fn send(&self, to: InstanceKey, envelope: PeerEnvelope) {
        // A frame that is not queued is lost like one on a broken link. The transport counts it,
        // and the node sends again what must arrive.
        let _ = self.peers.send(to, &envelope);
    }

    fn note(&self, note: &Note, names: &impl Names) {
        events::emit_named(note, names);
    }
}
