//! The callers' connections that are open, and what their sockets tell.

mod disconnect;

pub use disconnect::DisconnectSignal;

use crate::metrics::Gauge;
use core::task::Poll;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// What a connection's socket tells about its caller.
///
/// What goes wrong without it, first: the HTTP server takes pieces of a stream
/// into a buffer of some hundred kilobytes before it stops asking for more.
/// Seen from a relay, a caller that reads nothing looks fast until then, and a
/// thousand of them cost memory that should belong to others. Here a caller
/// counts as slow as soon as the socket itself refuses a byte.
///
/// Second: the HTTP server (`poem` 3.1) notices that a caller closed, and then
/// goes on waiting for the answer that nobody will read, so that the
/// generation runs on. Here the end of the caller's bytes reaches the relay.
#[derive(Debug, Default)]
pub struct ConnectionState {
    blocked: AtomicBool,
    writable: Notify,
    requests: Mutex<Requests>,
}

/// The requests of one connection that are not answered; more than one only
/// over HTTP/2.
#[derive(Debug, Default)]
struct Requests {
    ended: bool,
    open: Vec<Arc<DisconnectSignal>>,
}

impl ConnectionState {
    /// Notes how a write to the socket went.
    pub fn on_write<T>(&self, written: &Poll<T>) {
        match written {
            Poll::Pending => self.blocked.store(true, Ordering::Release),
            Poll::Ready(_) => self.unblock(),
        }
    }

    /// Notes that the caller closed, or that the connection broke.
    pub fn on_end(&self) {
        let mut requests = self.requests();
        requests.ended = true;
        for disconnect in &requests.open {
            disconnect.signal();
        }
    }

    /// Returns whether no request waits for its answer.
    pub fn is_idle(&self) -> bool {
        self.requests().open.is_empty()
    }

    /// Notes a request, until what is returned is dropped.
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

    /// Returns whether the socket refuses bytes at the moment.
    pub fn is_blocked(&self) -> bool {
        self.blocked.load(Ordering::Acquire)
    }

    /// Waits until the socket takes bytes again.
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

/// A request whose caller listens; held by whoever writes the answer.
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

    /// Returns the signal that the caller left.
    pub fn disconnect(&self) -> &Arc<DisconnectSignal> {
        &self.disconnect
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        // The server gave the answer up, or has written it.
        self.disconnect.signal();
        let mut requests = self.connection.requests();
        requests
            .open
            .retain(|open| !Arc::ptr_eq(open, &self.disconnect));
    }
}

/// Finds the state of the connection that a request came on.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    states: Arc<Mutex<BTreeMap<SocketAddr, Arc<ConnectionState>>>>,
}

impl Connections {
    /// Notes a new connection. It is forgotten when what is returned is dropped.
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

    /// Returns the state of the connection from `remote`; one of a
    /// fast caller that never leaves if there is no such connection.
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

/// A connection that is open.
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
        // Whoever waits would wait for good.
        self.state.on_end();
        self.state.unblock();
        self.connections.remove(self.remote);
    }
}
