//! Accepts connections of callers, with limits on their number and on the time for a request head.

mod stream;

pub use stream::BoundedStream;

use super::connections::Connections;
use crate::metrics::Counter;
use core::time::Duration;
use http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// How long to wait after a failed accept. The usual cause is that no file descriptor is left;
/// without the delay the retries would keep a core busy.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How many connections above the limit receive a refusal at the same time; more are closed
/// without a response.
const MAX_REFUSALS: usize = 64;

/// How long a refused connection is kept open for its caller to read the refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The response to a connection above the limit. It has no request id, because its request was
/// never read, and its outcome is not "not run", because the request may carry the idempotency key
/// of one that ran.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    content-type: application/json\r\nretry-after: 1\r\nconnection: close\r\n\
    content-length: 166\r\n\r\n\
    {\"error\":{\"message\":\"this instance holds as many connections as it may\",\
    \"type\":\"overloaded_error\",\"reason\":\"instance_full\",\
    \"outcome\":\"unknown\",\"retry_after_ms\":1000}}";

/// Limits of the listener.
#[derive(Clone, Copy, Debug)]
pub struct AcceptLimits {
    /// The most concurrent connections.
    pub connections: usize,
    /// The longest time from the first byte of a request head to its last.
    pub head: Duration,
    /// The longest time in which the socket accepts no byte.
    pub write: Duration,
    /// The longest time between two requests.
    pub idle: Duration,
}

/// The state of the listening socket.
#[derive(Debug)]
enum Listener {
    /// It waits for connections.
    Open(TcpListener),
    /// Connections that were established before the close are still accepted: the kernel would
    /// reset them, and with them requests that were already sent.
    Closing(std::net::TcpListener),
    /// It was closed.
    Closed,
}

/// Accepts connections up to a limit, and refuses the rest.
#[derive(Debug)]
pub struct BoundedAcceptor {
    listener: Listener,
    closing: CancellationToken,
    address: SocketAddr,
    limits: AcceptLimits,
    connections: Connections,
    permits: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
}

impl BoundedAcceptor {
    /// Accepts from `listener` until `closing` is cancelled, and registers open connections in
    /// `connections`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no address.
    pub fn new(
        listener: TcpListener,
        limits: AcceptLimits,
        connections: Connections,
        closing: CancellationToken,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        Ok(BoundedAcceptor {
            listener: Listener::Open(listener),
            closing,
            address,
            limits,
            connections,
            permits: Arc::new(Semaphore::new(limits.connections)),
            refusals: Arc::new(Semaphore::new(MAX_REFUSALS)),
        })
    }

    async fn accept_stream(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        if let Listener::Open(listener) = &self.listener {
            tokio::select! {
                biased;
                () = self.closing.cancelled() => self.begin_closing()?,
                accepted = listener.accept() => return delay_failure(accepted).await,
            }
        }
        if let Listener::Closing(listener) = &self.listener
            && let Ok((stream, remote)) = listener.accept()
        {
            stream.set_nonblocking(true)?;
            return Ok((TcpStream::from_std(stream)?, remote));
        }
        self.listener = Listener::Closed;
        core::future::pending().await
    }

    /// Takes the socket from the runtime, which notices new connections with a delay.
    fn begin_closing(&mut self) -> io::Result<()> {
        if let Listener::Open(listener) = core::mem::replace(&mut self.listener, Listener::Closed) {
            self.listener = Listener::Closing(listener.into_std()?);
        }
        Ok(())
    }

    fn refuse(&self, stream: TcpStream) {
        Counter::ConnectionsRefused.add(1);
        if let Ok(permit) = Arc::clone(&self.refusals).try_acquire_owned() {
            tokio::spawn(async move {
                let _ = timeout(REFUSAL_TIMEOUT, send_refusal(stream)).await;
                drop(permit);
            });
        }
    }
}

async fn delay_failure<T>(accepted: io::Result<T>) -> io::Result<T> {
    if accepted.is_err() {
        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
    }
    accepted
}

/// Sends the refusal and reads what the caller sends before the connection is closed: closing a
/// socket with unread bytes makes the kernel discard a response that was not read yet.
async fn send_refusal(mut stream: TcpStream) -> io::Result<()> {
    stream.write_all(REFUSAL).await?;
    stream.shutdown().await?;
    let mut unread = [0; 4096];
    while stream.read(&mut unread).await? > 0 {}
    Ok(())
}

impl Acceptor for BoundedAcceptor {
    type Io = BoundedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(BoundedStream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, remote) = self.accept_stream().await?;
            let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
                self.refuse(stream);
                continue;
            };
            // Without this a token would wait in the kernel for the acknowledgement of the
            // previous one.
            stream.set_nodelay(true)?;
            let open = self.connections.add(remote);
            let stream = BoundedStream::new(stream, open, permit, self.limits);
            let local = LocalAddr(self.address.into());
            return Ok((stream, local, RemoteAddr(remote.into()), Scheme::HTTP));
        }
    }
}
