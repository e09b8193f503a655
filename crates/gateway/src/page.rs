//! The HTTP pages for the balancer, for operators and for metrics collectors.

use crate::connections::{Connections, SimpleConnection};
use crate::cx::Cx;
use crate::meters;
use crate::ports::Wire;
use crate::response::{ResponseBody, full_body};
use crate::status::GatewayStatus;
use bytes::Bytes;
use core::convert::Infallible;
use core::time::Duration;
use http::header::HeaderValue;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// The maximum lifetime of a connection. The balancer sends one request a second.
const CONNECTION_LIMIT: Duration = Duration::from_secs(60);

/// The largest head of a request in bytes, and what of it is buffered.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A request to a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// Whether the request came from this machine, over one of its own addresses.
    pub is_local: bool,
}

/// Serves each request with what `handler` returns, over the `connections` of the listener. Never
/// returns.
pub async fn serve<F>(
    listener: TcpListener,
    connections: Arc<Connections<SimpleConnection>>,
    handler: F,
) where
    F: Fn(PageRequest) -> Response<ResponseBody> + Clone + Send + Sync + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a page connection: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let from_here = is_local(&stream);
        let handler = handler.clone();
        let used = SimpleConnection::new();
        let Some(open) = connections.open(Arc::clone(&used)) else {
            continue;
        };
        tokio::spawn(async move {
            let _open = open;
            let service = service_fn(|req: Request<Incoming>| {
                let _served = used.begin_request();
                let response = handler(PageRequest {
                    method: req.method().clone(),
                    path: req.uri().path().to_owned(),
                    is_local: from_here,
                });
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.max_buf_size(MAX_HEAD_BYTES);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                ended = timeout(CONNECTION_LIMIT, connection) => if let Ok(Err(error)) = ended {
                    log::debug!("page connection failed: {error}");
                },
                () = used.evicted() => {}
            }
        });
        if connections.is_full() {
            // Evicted connections end before others are accepted.
            tokio::task::yield_now().await;
        }
    }
}

/// Returns whether both ends of a connection have the same address. No other machine can hold a
/// connection from an address of this one.
fn is_local(stream: &TcpStream) -> bool {
    match (stream.local_addr(), stream.peer_addr()) {
        (Ok(local), Ok(peer)) => local.ip() == peer.ip(),
        _ => false,
    }
}

/// Responds whether this instance accepts callers.
pub fn readiness<W: Wire>(cx: &Cx<W>) -> Response<ResponseBody> {
    match cx.state().is_ready() {
        true => plain(StatusCode::OK, ""),
        false => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}

/// The operators' page of an instance: its metrics, its status, and its planned stop.
///
/// The planned stop is accepted from this machine only: whoever may run programs here could also
/// signal the process, while anybody on the network can reach the page.
#[derive(Clone)]
pub struct OperatorsPage<W> {
    /// The context that all tasks share.
    pub cx: Arc<Cx<W>>,
    /// The instance's name.
    pub instance: Arc<str>,
    /// Renders the metrics as text.
    pub metrics: fn() -> String,
    /// Cancelled to begin the planned stop.
    pub stop: CancellationToken,
}

impl<W: Wire> OperatorsPage<W> {
    /// Handles one request.
    pub fn handle(&self, request: &PageRequest) -> Response<ResponseBody> {
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/status") => self.status(),
            (&Method::POST, "/drain") if request.is_local => {
                self.stop.cancel();
                json(br#"{"readiness":"stopping"}"#.to_vec())
            }
            (&Method::POST, "/drain") => plain(
                StatusCode::FORBIDDEN,
                "the planned stop is taken from the machine of the instance only\n",
            ),
            (&Method::GET, _) => {
                meters::publish_gauges(&self.cx);
                Response::new(full_body((self.metrics)().into()))
            }
            _ => plain(StatusCode::METHOD_NOT_ALLOWED, "GET, or POST /drain\n"),
        }
    }

    fn status(&self) -> Response<ResponseBody> {
        match serde_json::to_vec(&GatewayStatus::of(&self.cx, &self.instance)) {
            Ok(body) => json(body),
            Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
        }
    }
}

fn json(body: Vec<u8>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body.into()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn plain(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::copy_from_slice(text.as_bytes())));
    *response.status_mut() = status;
    response
}
