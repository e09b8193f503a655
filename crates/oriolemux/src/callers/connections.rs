//! The open connections of callers, and the state of their sockets.

mod disconnect;

pub use disconnect::DisconnectSignal;

use crate::metrics::Gauge;
use core::task::Poll;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Whether a caller's socket is blocked or has ended.
///
/// It makes up for two gaps of the HTTP server:
///
/// - The server buffers some hundred kilobytes of a stream before it stops polling for more. Until
///   then a caller that reads nothing looks fast to its relay, and a thousand such callers use
///   memory that others need. Here a caller counts as slow as soon as the socket accepts no byte.
/// - The server (`poem` 3.1) notices that a caller closed its connection, but continues to wait
///   for the response, so that the generation continues although nobody reads it. Here the end of
///   the caller's bytes is signalled to the relay.
#[derive(Debug, Default)]
pub struct ConnectionState {
    blocked: AtomicBool,
    writable: Notify,
    requests: Mutex<Requests>,
}

/// The open requests of one connection; more than one only over HTTP/2.
#[derive(Debug, Default)]
struct Requests {
    ended: bool,
    open: Vec<Arc<DisconnectSignal>>,
}

impl ConnectionState {
    /// Records the result of a write to the socket.
    pub fn on_write<T>(&self, written: &Poll<T>) {
        match written {
            Poll::Pending => self.blocked.store(true, Ordering::Release),
            Poll::Ready(_) => self.unblock(),
        }
    }

    /// Records that the caller closed the connection, or that it broke.
    pub fn on_end(&self) {
        let mut requests = self.requests();
        requests.ended = true;
        for disconnect in &requests.open {
            disconnect.signal();
        }
    }

    /// Returns whether no request waits for its response.
    pub fn is_idle(&self) -> bool {
        self.requests().open.is_empty()
    }

    /// Registers a request until the returned guard is dropped.
    pub fn open_request(self: &Arc<Self>) -> OpenRequest {
        let disconnect = Arc::new(DisconnectSignal::default());
        let mut requests = self.requests();
        if requests.ended {
            disconnect.signal();
        }
        requests.open.push(Arc::clone(&disconnect));
        drop(requests);
        OpenRequest {
            connection: Arc::clone(self),
            disconnect,
        }
    }

    fn unblock(&self) {
        if self.blocked.load(Ordering::Relaxed) {
            self.blocked.store(false, Ordering::Release);
            self.writable.notify_waiters();
        }
    }

    /// Returns whether the socket currently accepts no bytes.
    pub fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::Acquire)
    }

    /// Waits until the socket accepts bytes again.
    pub async fn wait_writable(&self) {
        loop {
            let writable = self.writable.notified();
            if !self.is_blocked() {
                return;
            }
            writable.await;
        }
    }

    fn requests(&self) -> MutexGuard<'_, Requests> {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request whose caller waits for the response; held until the response is written or dropped.
#[derive(Debug)]
pub struct OpenRequest {
    connection: Arc<ConnectionState>,
    disconnect: Arc<DisconnectSignal>,
}

impl OpenRequest {
    /// Returns the connection.
    pub fn connection(&self) -> &Arc<ConnectionState> {
        &self.connection
    }

    /// Returns the signal that the caller disconnected.
    pub fn disconnect(&self) -> &Arc<DisconnectSignal> {
        &self.disconnect
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        // The server has dropped the response, or has written it.
        self.disconnect.signal();
        let mut requests = self.connection.requests();
        requests
            .open
            .retain(|open| !Arc::ptr_eq(open, &self.disconnect));
    }
}

/// All open connections, by the address of the caller.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    states: Arc<Mutex<BTreeMap<SocketAddr, Arc<ConnectionState>>>>,
}

impl Connections {
    /// Registers a new connection until the returned guard is dropped.
    pub fn add(&self, remote: SocketAddr) -> OpenConnection {
        let state = Arc::new(ConnectionState::default());
        let mut states = self.states();
        states.insert(remote, Arc::clone(&state));
        set_gauge(states.len());
        drop(states);
        OpenConnection {
            connections: self.clone(),
            remote,
            state,
        }
    }

    /// Returns the state of the connection from `remote`. If there is none, returns the state of a
    /// connection that never blocks or ends.
    pub fn state(&self, remote: Option<&SocketAddr>) -> Arc<ConnectionState> {
        let states = self.states();
        let state = remote.and_then(|remote| states.get(remote));
        state.cloned().unwrap_or_default()
    }

    fn remove(&self, remote: SocketAddr) {
        let mut states = self.states();
        states.remove(&remote);
        set_gauge(states.len());
    }

    fn states(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<ConnectionState>>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn set_gauge(connections: usize) {
    Gauge::Connections.set(connections as f64);
}

/// Registration of an open connection, removed on drop.
#[derive(Debug)]
pub struct OpenConnection {
    connections: Connections,
    remote: SocketAddr,
    state: Arc<ConnectionState>,
}

impl OpenConnection {
    /// Returns the connection's state.
    pub fn state(&self) -> &ConnectionState {
        &self.state
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        // Tasks that wait for this connection would otherwise wait for ever.
        self.state.on_end();
        self.state.unblock();
        self.connections.remove(self.remote);
    }
}
