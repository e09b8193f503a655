//! Small pages for the balancer, for operators and for whoever collects metrics.

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

/// How long one connection is kept. The balancer asks once a second.
const CONNECTION_LIMIT: Duration = Duration::from_secs(60);

/// The pause after an accept that failed, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What is asked of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageRequest {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// Whether the question came from this machine, over an address of its own.
    pub is_local: bool,
}

/// Answers each request with what `answer` returns, for good.
pub async fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(PageRequest) -> Response<ResponseBody> + Clone + Send + Sync + 'static,
{
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a connection for a page: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let from_here = is_local(&stream);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(|req: Request<Incoming>| {
                let response = handler(PageRequest {
                    method: req.method().clone(),
                    path: req.uri().path().to_owned(),
                    is_local: from_here,
                });
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(error)) = timeout(CONNECTION_LIMIT, connection).await {
                log::debug!("a connection for a page broke: {error}");
            }
        });
    }
}

/// Returns whether both ends of a connection have one address. Nobody else can hold a
/// connection from an address of this machine.
fn is_local(stream: &TcpStream) -> bool {
    match (stream.local_addr(), stream.peer_addr()) {
        (Ok(local), Ok(peer)) => local.ip() == peer.ip(),
        _ => false,
    }
}

/// Returns whether this instance takes callers.
pub fn readiness<W: Wire>(cx: &Cx<W>) -> Response<ResponseBody> {
    match cx.state().is_ready() {
        true => plain(StatusCode::OK, ""),
        false => plain(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}

/// What operators ask of an instance: its metrics, its state, and its planned stop.
///
/// The planned stop is taken from this machine only: whoever may run programs here could
/// signal the process as well, while anybody on the network may read the page.
#[derive(Clone)]
pub struct OperatorsPage<W> {
    /// What all tasks share.
    pub cx: Arc<Cx<W>>,
    /// The instance's name.
    pub instance: Arc<str>,
    /// Returns the metrics as text.
    pub metrics: fn() -> String,
    /// Cancelled to begin the planned stop.
    pub stop: CancellationToken,
}

impl<W: Wire> OperatorsPage<W> {
    /// Answers one question.
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
