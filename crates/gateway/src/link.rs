//! Connections to endpoints.
//!
//! Each request uses its own connection, which is closed afterwards. On a shared connection, the
//! next request could receive a second or late response to the previous one. A new connection costs
//! one round trip within a data centre.

mod framing;
pub mod head;

use bytes::Bytes;
use core::pin::Pin;
use core::task::{Context, Poll, ready};
use core::time::Duration;
use framing::FramedStream;
use head::{Framing, InvalidHead};
use http::header::CONTENT_LENGTH;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
pub use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::time::Instant;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A connection fails if sent bytes are not acknowledged for this long. Without this, a connection
/// to a machine that lost power would hang forever.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest head of a response in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Why a request has no response.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum LinkError {
    /// no connection within {0:?}
    ConnectTimeout(Duration),
    /// no connection: {0}
    Connect(std::io::Error),
    /// no connection, and no endpoint of the service is reached
    Partitioned,
    /// the endpoint accepts no new requests
    Withdrawn,
    /// the connection broke: {0}
    Broken(hyper::Error),
    /// the head of the response is invalid: {0}
    InvalidHead(InvalidHead),
}

/// The label of a connection that the endpoint refused.
pub const REFUSED: &str = "refused";

/// The label of a connection that did not open in time.
pub const TIMED_OUT: &str = "timeout";

/// The label of a connection that was given up because no endpoint of the service is reached.
pub const PARTITIONED: &str = "partitioned";

impl LinkError {
    /// Returns whether no part of the request can have reached the endpoint.
    pub fn never_sent(&self) -> bool {
        match self {
            LinkError::ConnectTimeout(_)
            | LinkError::Connect(_)
            | LinkError::Partitioned
            | LinkError::Withdrawn => true,
            LinkError::Broken(_) | LinkError::InvalidHead(_) => false,
        }
    }

    /// Returns the value that log lines and counters carry.
    pub fn label(&self) -> &'static str {
        match self {
            LinkError::ConnectTimeout(_) => TIMED_OUT,
            LinkError::Connect(error) if error.kind() == ErrorKind::ConnectionRefused => REFUSED,
            LinkError::Connect(_) => "failed",
            LinkError::Partitioned => PARTITIONED,
            LinkError::Withdrawn => "withdrawn",
            LinkError::Broken(_) => "broken",
            LinkError::InvalidHead(_) => "invalid_head",
        }
    }

    /// Returns whether the endpoint sent bytes that are no response.
    pub fn is_invalid_response(&self) -> bool {
        match self {
            LinkError::Broken(error) => error.is_parse(),
            LinkError::InvalidHead(_) => true,
            _ => false,
        }
    }
}

/// A connection that is used for one request. Dropping it closes the connection, which cancels the
/// request at the endpoint.
pub struct Link {
    /// When the request was sent; before that, when the connection was established.
    pub sent: Instant,
    sender: http1::SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection within `limit`; nothing was sent then.
    pub async fn connect(address: SocketAddrV4, limit: Duration) -> Result<Self, LinkError> {
        let opening = connect_socket(address, None);
        Link::connect_by(opening, address, limit, MAX_READ_BYTES).await
    }

    /// Connects to the endpoint at `address` with the connection that `opening` yields. Each read takes
    /// at most `read_bytes`.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection within `limit`; nothing was sent then.
    pub async fn connect_by(
        opening: impl Future<Output = std::io::Result<TcpStream>>,
        address: SocketAddrV4,
        limit: Duration,
        read_bytes: usize,
    ) -> Result<Self, LinkError> {
        let stream = timeout(limit, opening)
            .await
            .map_err(|_| LinkError::ConnectTimeout(limit))?
            .map_err(LinkError::Connect)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD)
            .handshake(TokioIo::new(FramedStream::new(
                stream,
                read_bytes.min(MAX_READ_BYTES),
            )))
            .await
            .map_err(LinkError::Broken)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Link {
            sent: Instant::now(),
            sender,
            task,
        })
    }

    /// Sends the request; the future waits for the head of the response.
    ///
    /// It fails if the connection breaks or the head is invalid; the request may have run then. It does
    /// not borrow the link, so that both can outlive the request.
    pub fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> impl Future<Output = Result<Response<Incoming>, LinkError>> + Send + use<> {
        self.sent = Instant::now();
        let response = self.sender.send_request(req);
        async move {
            let response = response.await.map_err(LinkError::Broken)?;
            framed(response).map_err(LinkError::InvalidHead)
        }
    }
}

impl Link {
    /// Closes the connection and waits until it is closed.
    ///
    /// Dropping the link also closes it, but only when its task is next polled. A caller that sends
    /// the same work elsewhere must wait until the connection is closed.
    pub async fn close(mut self) {
        self.task.abort();
        // The result only says that the task was aborted.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns a response whose framing can be followed. Its length is stated once and in its usual form, since
/// callers get that field.
fn framed(mut response: Response<Incoming>) -> Result<Response<Incoming>, InvalidHead> {
    let framing = Framing::of_response(response.status(), response.headers())?;
    if let Framing::Length(length) = framing {
        let length = HeaderValue::from(length);
        response.headers_mut().insert(CONTENT_LENGTH, length);
    }
    Ok(response)
}

/// Opens a TCP connection that fails if the peer stops acknowledging data. `receive_buffer` bounds how
/// many bytes the system holds that are not read, which count as memory of the process.
pub async fn connect_socket(
    address: SocketAddrV4,
    receive_buffer: Option<usize>,
) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    if let Some(bytes) = receive_buffer {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        if let Err(error) = socket.set_recv_buffer_size(bytes) {
            log::debug!("cannot bound the receive buffer of a connection: {error}");
        }
    }
    let stream = socket.connect(address.into()).await?;
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}

/// The most bytes of one read. The HTTP library starts with a buffer of 8 KiB and doubles it with each
/// read that fills it; large buffers of many connections would take more memory than the bodies that
/// are kept.
pub(crate) const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Reads at most `limit` bytes.
pub(crate) fn poll_read_part(
    stream: Pin<&mut TcpStream>,
    cx: &mut Context<'_>,
    buf: &mut ReadBuf<'_>,
    limit: usize,
) -> Poll<std::io::Result<()>> {
    let most = buf.remaining().min(limit);
    let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
    ready!(stream.poll_read(cx, &mut part))?;
    let length = part.filled().len();
    buf.advance(length);
    Poll::Ready(Ok(()))
}

/// Returns a buffered body.
pub fn full_body(bytes: Bytes) -> Full<Bytes> {
    Full::new(bytes)
}

/// Why a body was not read to its end.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ReadError {
    /// the body broke off: {0}
    Broken(hyper::Error),
    /// no data for {0:?}
    Silent(Duration),
    /// only {0} bytes in {1:?}
    TooSlow(usize, Duration),
    /// the body is larger than {0} bytes
    TooLarge(usize),
}

/// How large a body may be, and how slowly it may arrive.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The most bytes.
    pub bytes: usize,
    /// Data must arrive within each period of this length.
    pub silence: Duration,
    /// How long the body may take whatever its size.
    pub time: Duration,
    /// The bytes in each further second.
    pub bytes_per_second: u32,
}

impl BodyLimits {
    /// Returns how long `bytes` bytes may take.
    fn time_for(&self, bytes: usize) -> Duration {
        self.time + Duration::from_secs_f64(bytes as f64 / f64::from(self.bytes_per_second))
    }
}

/// Reads a body within `limits`.
///
/// # Errors
///
/// Returns why the body was not read to its end.
pub async fn read_bounded(mut body: Incoming, limits: BodyLimits) -> Result<Bytes, ReadError> {
    let started = Instant::now();
    let mut bytes = Vec::new();
    loop {
        let remaining = limits
            .time_for(bytes.len())
            .saturating_sub(started.elapsed());
        let frame = timeout(limits.silence.min(remaining), body.frame()).await;
        let Ok(frame) = frame else {
            return Err(match remaining < limits.silence {
                true => ReadError::TooSlow(bytes.len(), started.elapsed()),
                false => ReadError::Silent(limits.silence),
            });
        };
        let Some(frame) = frame else {
            return Ok(bytes.into());
        };
        if let Ok(data) = frame.map_err(ReadError::Broken)?.into_data() {
            bytes.extend_from_slice(&data);
        }
        if bytes.len() > limits.bytes {
            return Err(ReadError::TooLarge(limits.bytes));
        }
    }
}
