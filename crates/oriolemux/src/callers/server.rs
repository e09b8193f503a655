//! The server that callers connect to.

use super::accept::{AcceptLimits, BoundedAcceptor};
use super::body::BodyLimits;
use super::connections::Connections;
use super::port::NodePort;
use super::routes;
use crate::buffered::{BufferBudget, MAX_RESPONSE_BYTES};
use crate::endpoints::EndpointProtocol;
use core::future::Future;
use core::time::Duration;
use http::header::CONNECTION;
use http::{HeaderValue, Version};
use oriolemux_core::gateway::body_memory::BodyBounds;
use oriolemux_gateway::bodies::KeptBodies;
use poem::{Endpoint, IntoResponse, Request, Response, Server};
use std::io;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// The most concurrent requests on one HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 128;

/// How often the bytes of a body may be kept: as they were received, and in the parsed request.
const COPIES: usize = 2;

/// How long open connections are read after the listener was closed. Requests that are on their way
/// then are refused with a response, and not by a connection that is closed unread.
const CLOSE_DELAY: Duration = Duration::from_millis(250);

/// Settings of the server for callers, with safe defaults.
#[derive(Clone, Debug)]
pub struct CallerServerBuilder<E> {
    port: NodePort,
    protocol: E,
    body: BodyLimits,
    memory: usize,
    accept: AcceptLimits,
    stopping: CancellationToken,
    close_delay: Duration,
}

impl<E: EndpointProtocol> CallerServerBuilder<E> {
    /// Sets the most bytes of a body; 1 MiB unless set.
    #[must_use]
    pub fn max_body_bytes(mut self, bytes: usize) -> Self {
        self.body.bytes = bytes;
        self
    }

    /// Sets the memory of the process in bytes, of which bodies may take a share; 512 MB unless set.
    #[must_use]
    pub fn memory(mut self, bytes: usize) -> Self {
        self.memory = bytes;
        self
    }

    /// Sets the longest time for a body to arrive; 30 s unless set.
    #[must_use]
    pub fn body_timeout(mut self, timeout: Duration) -> Self {
        self.body.time = timeout;
        self
    }

    /// Sets the most concurrent connections; 4,096 unless set.
    #[must_use]
    pub fn max_connections(mut self, connections: usize) -> Self {
        self.accept.connections = connections;
        self
    }

    /// Sets the longest time from the first byte of a request head to its last; 30 s unless set.
    #[must_use]
    pub fn head_timeout(mut self, timeout: Duration) -> Self {
        self.accept.head = timeout;
        self
    }

    /// Sets how long a caller may read nothing of its response before it counts as gone; 60 s
    /// unless set.
    #[must_use]
    pub fn write_timeout(mut self, timeout: Duration) -> Self {
        self.accept.write = timeout;
        self
    }

    /// Sets how long a connection may be idle between requests; 75 s unless set.
    #[must_use]
    pub fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.accept.idle = timeout;
        self
    }

    /// Sets the token that is cancelled when the process begins to stop: from then on each response
    /// closes its connection, so that callers send their next requests elsewhere.
    #[must_use]
    pub fn stopping(mut self, stopping: CancellationToken) -> Self {
        self.stopping = stopping;
        self
    }

    /// Sets how long open connections are read after the listener was closed; 250 ms unless set.
    #[must_use]
    pub fn close_delay(mut self, delay: Duration) -> Self {
        self.close_delay = delay;
        self
    }

    /// Returns the server.
    pub fn build(self) -> CallerServer<E> {
        CallerServer { settings: self }
    }
}

/// Serves callers.
#[derive(Clone, Debug)]
pub struct CallerServer<E> {
    settings: CallerServerBuilder<E>,
}

impl<E: EndpointProtocol> CallerServer<E> {
    /// Returns the builder of a server that submits requests to `port` and reaches endpoints by
    /// `protocol`.
    pub fn builder(port: NodePort, protocol: E) -> CallerServerBuilder<E> {
        CallerServerBuilder {
            port,
            protocol,
            body: BodyLimits {
                bytes: 1 << 20,
                time: Duration::from_secs(30),
            },
            memory: 512_000_000,
            accept: AcceptLimits {
                connections: 4_096,
                head: Duration::from_secs(30),
                write: Duration::from_secs(60),
                idle: Duration::from_secs(75),
            },
            stopping: CancellationToken::new(),
            close_delay: CLOSE_DELAY,
        }
    }

    /// Serves until `stop` resolves, then accepts no more connections and finishes every request in
    /// flight, however long it takes.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used.
    pub async fn serve(
        self,
        listener: TcpListener,
        stop: impl Future<Output = ()>,
    ) -> io::Result<()> {
        let settings = self.settings;
        let connections = Connections::default();
        let stopping = settings.stopping.child_token();
        let closing = CancellationToken::new();
        let acceptor = BoundedAcceptor::new(
            listener,
            settings.accept,
            connections.clone(),
            closing.clone(),
        )?;
        let cx = routes::CallerCx {
            port: settings.port,
            protocol: settings.protocol,
            body: settings.body,
            connections,
            bodies: KeptBodies::new(BodyBounds::of_memory(settings.memory / COPIES)),
            buffers: BufferBudget::new(MAX_RESPONSE_BYTES),
            write_timeout: settings.accept.write,
        };
        let app = ClosingResponses {
            inner: routes::routes(cx),
            stopping: stopping.clone(),
        };
        let closed = async {
            stop.await;
            stopping.cancel();
            closing.cancel();
            tokio::time::sleep(settings.close_delay).await;
        };
        Server::new_with_acceptor(acceptor)
            .http2_max_concurrent_streams(MAX_HTTP2_STREAMS)
            .run_with_graceful_shutdown(app, closed, None)
            .await
    }
}

/// Closes each connection with its next response once a stop has begun.
struct ClosingResponses<A> {
    inner: A,
    stopping: CancellationToken,
}

impl<A: Endpoint> Endpoint for ClosingResponses<A> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        // HTTP/2 has no such header; its connections are told by a frame when the server closes.
        let may_close = req.version() < Version::HTTP_2;
        let response = self.inner.call(req).await;
        let mut response =
            response.map_or_else(poem::Error::into_response, A::Output::into_response);
        if may_close && self.stopping.is_cancelled() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(response)
    }
}
