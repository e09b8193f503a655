//! HTTP/2 connections to peers, one for each, closed when they are idle.

use super::message::{ExchangeError, SMALL_FRAME_BUDGET};
use crate::link::connect_socket;
use bytes::Bytes;
use core::time::Duration;
use h2::client::{Builder, SendRequest};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::time::sleep;

/// Bytes of one response that may be unread. A caller that reads slowly slows down the endpoint.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Bytes of all responses of a connection that may be unread.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// A connection without a new request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A connection that new requests may use.
struct Pooled {
    requests: SendRequest<Bytes>,
    used_at: Instant,
    /// Distinguishes connections to the same peer.
    number: u64,
}

/// Connections to peers.
#[derive(Clone, Default)]
pub struct ProxyLinks {
    pooled: Arc<Mutex<BTreeMap<SocketAddrV4, Pooled>>>,
}

/// Why there is no connection to a peer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum DialError {
    /// no connection: {0}
    Connect(#[from] io::Error),
    /// the exchange failed: {0}
    Exchange(#[from] ExchangeError),
}

impl ProxyLinks {
    /// Returns a connection to `peer` that accepts a request.
    ///
    /// # Errors
    ///
    /// Fails if none can be opened. The time is not bounded; the caller must bound it.
    pub async fn open(&self, peer: SocketAddrV4) -> Result<SendRequest<Bytes>, DialError> {
        let pooled = {
            let mut pooled = self.pooled();
            pooled.get_mut(&peer).map(|it| {
                it.used_at = Instant::now();
                it.requests.clone()
            })
        };
        if let Some(requests) = pooled {
            match requests.ready().await {
                Ok(requests) => return Ok(requests),
                Err(error) => {
                    log::debug!("connection to the proxy {peer} failed: {error}");
                    self.close(peer);
                }
            }
        }
        let requests = self.dial(peer).await?;
        Ok(requests.ready().await.map_err(ExchangeError::from)?)
    }

    /// Stops using the connection to `peer` for new requests.
    pub fn close(&self, peer: SocketAddrV4) {
        self.pooled().remove(&peer);
    }

    async fn dial(&self, peer: SocketAddrV4) -> Result<SendRequest<Bytes>, DialError> {
        let stream = connect_socket(peer, None).await?;
        let mut builder = Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .data_frame_budget(SMALL_FRAME_BUDGET)
            .enable_push(false);
        let handshake = builder.handshake::<_, Bytes>(stream).await;
        let (requests, connection) = handshake.map_err(ExchangeError::from)?;
        let number = {
            let mut pooled = self.pooled();
            let number = pooled.get(&peer).map_or(0, |it| it.number + 1);
            let entry = Pooled {
                requests: requests.clone(),
                used_at: Instant::now(),
                number,
            };
            pooled.insert(peer, entry);
            number
        };
        let links = self.clone();
        tokio::spawn(async move {
            let mut connection = core::pin::pin!(connection);
            loop {
                tokio::select! {
                    ended = connection.as_mut() => {
                        if let Err(error) = ended {
                            log::debug!("connection to the proxy {peer} failed: {error}");
                        }
                        return links.remove(peer, |it| it.number == number);
                    }
                    // Without a handle, the connection ends after its last request.
                    () = sleep(IDLE_TIMEOUT) => links.remove(peer, |it| {
                        it.number == number && it.used_at.elapsed() >= IDLE_TIMEOUT
                    }),
                }
            }
        });
        Ok(requests)
    }

    fn remove(&self, peer: SocketAddrV4, is_this: impl Fn(&Pooled) -> bool) {
        let mut pooled = self.pooled();
        if pooled.get(&peer).is_some_and(is_this) {
            pooled.remove(&peer);
        }
    }

    fn pooled(&self) -> MutexGuard<'_, BTreeMap<SocketAddrV4, Pooled>> {
        self.pooled.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
