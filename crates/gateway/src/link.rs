//! Connections to endpoints.
//!
//! Each request has a connection of its own, which is closed after it. What
//! goes wrong otherwise: an endpoint sends a second answer, or a late one, and
//! the next request on the connection takes it for its own. A connection costs
//! one round trip within a data centre and is never in doubt.

use bytes::Bytes;
use core::time::Duration;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
pub use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::net::SocketAddrV4;
use std::time::Instant;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Bytes sent and not acknowledged for this long end the connection. A peer that
/// lost its power answers nothing, and the connection would hang for good.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest head of an answer.
const MAX_HEAD: usize = 64 * 1024;

/// Why a request has no answer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum LinkError {
    /// no connection within {0:?}
    ConnectTimeout(Duration),
    /// no connection: {0}
    Connect(std::io::Error),
    /// the endpoint takes no new work any more
    Withdrawn,
    /// the connection broke: {0}
    Broken(hyper::Error),
}

impl LinkError {
    /// Returns whether nothing of the request can have reached the endpoint.
    pub fn never_sent(&self) -> bool {
        match self {
            LinkError::ConnectTimeout(_) | LinkError::Connect(_) | LinkError::Withdrawn => true,
            LinkError::Broken(_) => false,
        }
    }
}

/// A connection that is used for one request. Dropping it closes the connection,
/// which cancels the request at the endpoint.
pub struct Link {
    /// When the request was sent; before that, when the connection was asked for.
    pub sent: Instant,
    sender: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection within `limit`; then nothing was sent.
    pub async fn connect(address: SocketAddrV4, limit: Duration) -> Result<Self, LinkError> {
        let stream = timeout(limit, connect_socket(address))
            .await
            .map_err(|_| LinkError::ConnectTimeout(limit))?
            .map_err(LinkError::Connect)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(LinkError::Broken)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection to {address} broke: {error}");
            }
        });
        Ok(Link {
            sent: Instant::now(),
            sender,
            task,
        })
    }

    /// Sends the request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks; then the request may have run.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        self.sent = Instant::now();
        self.sender
            .send_request(req)
            .await
            .map_err(LinkError::Broken)
    }
}

impl Link {
    /// Closes the connection, and returns when it is closed.
    ///
    /// Dropping a link closes it too, but only when its task is next looked at. Whoever
    /// asks for the same work elsewhere must not be faster than that.
    pub async fn close(mut self) {
        self.task.abort();
        // An aborted task ends with an error that says so.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a TCP connection that notices a peer which has gone silent.
pub async fn connect_socket(address: SocketAddrV4) -> std::io::Result<TcpStream> {
    let stream = TcpSocket::new_v4()?.connect(address.into()).await?;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}

/// Returns a body that is known whole.
pub fn full_body(bytes: Bytes) -> Full<Bytes> {
    Full::new(bytes)
}

/// Why a body was not read to its end.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ReadError {
    /// it broke off: {0}
    Broken(hyper::Error),
    /// nothing came for {0:?}
    Silent(Duration),
    /// it is larger than {0} bytes
    TooLarge(usize),
}

/// Reads a body of at most `most` bytes. It may take as long as some of it comes within
/// each `silence`; how long in all is the caller's to bound.
///
/// # Errors
///
/// Says why it was not read to its end.
pub async fn read_bounded(
    mut body: Incoming,
    most: usize,
    silence: Duration,
) -> Result<Bytes, ReadError> {
    let mut bytes = Vec::new();
    loop {
        let frame = timeout(silence, body.frame()).await;
        let Some(frame) = frame.map_err(|_| ReadError::Silent(silence))? else {
            return Ok(bytes.into());
        };
        if let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > most {
            return Err(ReadError::TooLarge(most));
        }
    }
}
