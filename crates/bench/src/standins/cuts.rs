//! Connections that a stand-in can cut in the middle of an answer.
//!
//! An error from a response body is not enough: the server closes such a body
//! in good order, with a last chunk, and a reader would take half an answer for
//! a whole one. So the cut is made below HTTP: every write of a marked
//! connection fails, and the server drops its socket.

use poem::listener::{Acceptor, TcpAcceptor};
use poem::web::{LocalAddr, RemoteAddr};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Time for what was written before a cut to leave the process.
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// The connections that are cut, by the address of the other side.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Arc<Mutex<BTreeSet<SocketAddr>>>);

impl Cuts {
    /// Cuts the connection from `remote` after what was written so far, and
    /// returns the error that ends its response body.
    pub async fn cut(&self, remote: SocketAddr) -> io::Error {
        tokio::time::sleep(FLUSH_TIME).await;
        self.lock().insert(remote);
        io::ErrorKind::ConnectionReset.into()
    }

    fn is_cut(&self, remote: SocketAddr) -> bool {
        self.lock().contains(&remote)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts connections that can be cut.
pub struct CuttableAcceptor {
    inner: TcpAcceptor,
    cuts: Cuts,
}

impl CuttableAcceptor {
    /// Wraps an acceptor; connections marked in `cuts` fail.
    pub fn new(inner: TcpAcceptor, cuts: Cuts) -> Self {
        CuttableAcceptor { inner, cuts }
    }
}

impl Acceptor for CuttableAcceptor {
    type Io = CuttableStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, poem::http::uri::Scheme)> {
        let (inner, local, remote, scheme) = self.inner.accept().await?;
        inner.set_nodelay(true)?;
        let address = inner.peer_addr()?;
        // A new connection may come from the port of one that was cut.
        self.cuts.lock().remove(&address);
        let stream = CuttableStream {
            inner,
            address,
            cuts: self.cuts.clone(),
        };
        Ok((stream, local, remote, scheme))
    }
}

/// A connection that can be cut.
pub struct CuttableStream {
    inner: TcpStream,
    address: SocketAddr,
    cuts: Cuts,
}

impl CuttableStream {
    fn check(&self) -> io::Result<()> {
        match self.cuts.is_cut(self.address) {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }
}

impl AsyncRead for CuttableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl AsyncWrite for CuttableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
