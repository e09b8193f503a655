//! The connections of a listener, whose number is bounded.

use crate::meters::ByReason;
use core::time::Duration;
use oriolemux_core::gateway::connection_bounds::{UnreadResponse, yielding, yielding_unread};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio_util::sync::CancellationToken;

/// A connection that may yield to others.
pub trait Connection: Send + Sync + 'static {
    /// Returns for how long the instance has waited for the caller; `None` while it serves it.
    fn waiting(&self, now: Instant) -> Option<Duration>;

    /// Ends the connection soon.
    fn evict(&self);

    /// Returns for how long the caller has not read a large response, and what that takes; `None` if
    /// there is none.
    fn unread_response(&self, _now: Instant) -> Option<(Duration, usize)> {
        None
    }
}

/// A connection that waits for its caller unless a request of it is being served.
#[derive(Debug)]
pub struct SimpleConnection {
    used_at: Mutex<Instant>,
    serving: AtomicUsize,
    evicted: CancellationToken,
}

impl SimpleConnection {
    /// Returns a connection that was accepted now.
    pub fn new() -> Arc<Self> {
        Arc::new(SimpleConnection {
            used_at: Mutex::new(Instant::now()),
            serving: AtomicUsize::new(0),
            evicted: CancellationToken::new(),
        })
    }

    /// Keeps the connection from yielding until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> ServedRequest {
        self.serving.fetch_add(1, Ordering::Relaxed);
        ServedRequest(Arc::clone(self))
    }

    /// Waits until the connection should yield to others.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Connection for SimpleConnection {
    fn waiting(&self, now: Instant) -> Option<Duration> {
        if self.serving.load(Ordering::Relaxed) > 0 || self.evicted.is_cancelled() {
            return None;
        }
        let used_at = *self.used_at.lock().unwrap_or_else(PoisonError::into_inner);
        Some(now.saturating_duration_since(used_at))
    }

    fn evict(&self) {
        self.evicted.cancel();
    }
}

/// A request of a [`SimpleConnection`] that is being served.
#[derive(Debug)]
pub struct ServedRequest(Arc<SimpleConnection>);

impl Drop for ServedRequest {
    fn drop(&mut self) {
        *self
            .0
            .used_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
        self.0.serving.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The connections of one listener.
#[derive(Debug)]
pub struct Connections<T> {
    listener: &'static str,
    limit: usize,
    open: Mutex<Vec<Arc<T>>>,
}

impl<T: Connection> Connections<T> {
    /// Returns an empty table for `limit` connections of `listener`.
    pub fn new(listener: &'static str, limit: usize) -> Arc<Self> {
        Arc::new(Connections {
            listener,
            limit,
            open: Mutex::new(Vec::new()),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Arc<T>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a connection until the guard is dropped. At the limit others are evicted; `None` if all of
    /// them are being served.
    pub fn open(self: &Arc<Self>, connection: Arc<T>) -> Option<OpenConnection<T>> {
        let mut open = self.lock();
        if open.len() >= self.limit {
            let now = Instant::now();
            let waiting = open.iter().enumerate();
            let waiting = waiting.filter_map(|(index, it)| Some((index, it.waiting(now)?)));
            let yielding = yielding(waiting, self.limit);
            if yielding.is_empty() {
                return None;
            }
            ByReason::ConnectionsEvicted.add_many(self.listener, yielding.len() as u64);
            for index in yielding {
                open[index].evict();
            }
        }
        open.push(Arc::clone(&connection));
        drop(open);
        Some(OpenConnection {
            connections: Arc::clone(self),
            connection,
        })
    }

    /// Evicts connections whose callers do not read their responses, so that these release `bytes`;
    /// returns whether there was one.
    pub fn evict_unread(&self, bytes: usize) -> bool {
        let open = self.lock();
        let now = Instant::now();
        let unread = open.iter().enumerate().filter_map(|(id, it)| {
            let (blocked, bytes) = it.unread_response(now)?;
            Some(UnreadResponse { id, blocked, bytes })
        });
        let yielding = yielding_unread(unread, bytes);
        ByReason::ConnectionsEvicted.add_many(self.listener, yielding.len() as u64);
        for &id in &yielding {
            open[id].evict();
        }
        !yielding.is_empty()
    }

    /// Returns whether evicted connections should be given time to end before others are accepted.
    pub fn is_full(&self) -> bool {
        self.lock().len() >= self.limit
    }
}

/// An open connection, removed from its table on drop.
pub struct OpenConnection<T> {
    connections: Arc<Connections<T>>,
    connection: Arc<T>,
}

impl<T> Drop for OpenConnection<T> {
    fn drop(&mut self) {
        let open = self.connections.open.lock();
        let mut open = open.unwrap_or_else(PoisonError::into_inner);
        if let Some(index) = open.iter().position(|it| Arc::ptr_eq(it, &self.connection)) {
            open.swap_remove(index);
        }
    }
}
