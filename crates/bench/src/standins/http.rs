//! What all stand-ins need to serve HTTP.

use super::cuts::{Cuts, CuttableAcceptor};
use bytes::Bytes;
use futures_util::Stream;
use poem::http::{StatusCode, header};
use poem::listener::TcpAcceptor;
use poem::{Body, IntoEndpoint, Request, Response, Server};
use serde::Serialize;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Where a stand-in listens when it is not told otherwise: any free port.
pub const ANY_PORT: &str = "127.0.0.1:0";

/// Serves `app` until the process is killed.
///
/// The first line on stdout is `listening ADDR`, which tells the parent
/// process the port that the system chose. Connections marked in `cuts` break.
pub async fn serve<E>(listen: SocketAddr, cuts: Cuts, app: E) -> io::Result<ExitCode>
where
    E: IntoEndpoint,
    E::Endpoint: 'static,
{
    let listener = tokio::net::TcpListener::bind(listen).await?;
    let mut stdout = io::stdout();
    writeln!(stdout, "listening {}", listener.local_addr()?)?;
    stdout.flush()?;
    let acceptor = CuttableAcceptor::new(TcpAcceptor::from_tokio(listener)?, cuts);
    Server::new_with_acceptor(acceptor).run(app).await?;
    Ok(ExitCode::SUCCESS)
}

/// Answers `value` as JSON with `status`.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::builder()
        .status(status)
        .content_type("application/json")
        .body(body)
}

/// Answers an event stream.
pub fn event_stream<S>(stream: S) -> Response
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    Response::builder()
        .content_type("text/event-stream")
        .header(header::CACHE_CONTROL, "no-cache")
        .body(Body::from_bytes_stream(stream))
}

/// The reasons of a definite refusal, as endpoints spell them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, serde::Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// No room now.
    Busy,
    /// The endpoint is leaving.
    Leaving,
    /// The model, version or adapter is not loaded.
    NotLoaded,
}

#[derive(Serialize)]
struct RefusalBody {
    error: RefusalError,
}

#[derive(Serialize)]
struct RefusalError {
    reason: Refusal,
    outcome: &'static str,
}

/// Answers a definite refusal: nothing ran and nothing will.
pub fn refuse(reason: Refusal) -> Response {
    let status = match reason {
        Refusal::Busy => StatusCode::TOO_MANY_REQUESTS,
        Refusal::Leaving | Refusal::NotLoaded => StatusCode::SERVICE_UNAVAILABLE,
    };
    let outcome = "not_run";
    json(
        status,
        &RefusalBody {
            error: RefusalError { reason, outcome },
        },
    )
}

/// Returns the address that a request came from.
pub fn remote(req: &Request) -> io::Result<SocketAddr> {
    let address = req.remote_addr().as_socket_addr().copied();
    address.ok_or_else(|| io::ErrorKind::AddrNotAvailable.into())
}
