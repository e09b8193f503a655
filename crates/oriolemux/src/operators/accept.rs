//! Accepts connections of operators, with a limit on their number.

use core::pin::Pin;
use core::task::{Context, Poll};
use core::time::Duration;
use http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// How long to wait after a failed accept. The usual cause is that no file descriptor is left;
/// without the delay the retries would keep a core busy.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections up to a limit; further ones wait in the kernel's queue.
#[derive(Debug)]
pub(super) struct OperatorAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    permits: Arc<Semaphore>,
}

impl OperatorAcceptor {
    /// Accepts from `listener`.
    pub(super) fn new(listener: std::net::TcpListener, max_connections: usize) -> io::Result<Self> {
        let address = listener.local_addr()?;
        Ok(OperatorAcceptor {
            listener: TcpListener::from_std(listener)?,
            address,
            permits: Arc::new(Semaphore::new(max_connections)),
        })
    }
}

impl Acceptor for OperatorAcceptor {
    type Io = OperatorStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(OperatorStream, LocalAddr, RemoteAddr, Scheme)> {
        let permits = Arc::clone(&self.permits);
        let permit = permits.acquire_owned().await.map_err(io::Error::other)?;
        let (stream, remote) = match self.listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                return Err(error);
            }
        };
        let stream = OperatorStream {
            stream,
            _permit: permit,
        };
        let local = LocalAddr(self.address.into());
        Ok((stream, local, RemoteAddr(remote.into()), Scheme::HTTP))
    }
}

/// A connection that releases its permit when it is dropped.
#[derive(Debug)]
pub(super) struct OperatorStream {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for OperatorStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for OperatorStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
