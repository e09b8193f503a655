//! Small pages for the balancer and for whoever collects metrics.

use crate::answer::{AnswerBody, whole};
use crate::cx::Cx;
use crate::ports::Wire;
use bytes::Bytes;
use core::convert::Infallible;
use core::time::Duration;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// How long one connection is kept. The balancer asks once a second.
const CONNECTION_LIMIT: Duration = Duration::from_secs(60);

/// The pause after an accept that failed, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers each request with what `answer` returns, for good.
pub async fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn() -> Response<AnswerBody> + Clone + Send + Sync + 'static,
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
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let answer = answer();
                async move { Ok::<_, Infallible>(answer) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(error)) = timeout(CONNECTION_LIMIT, connection).await {
                log::debug!("a connection for a page broke: {error}");
            }
        });
    }
}

/// Returns whether this instance takes callers.
pub fn readiness<W: Wire>(cx: &Arc<Cx<W>>) -> Response<AnswerBody> {
    let mut response = Response::new(whole(Bytes::new()));
    if !cx.state().is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Returns a page of text.
pub fn text(text: String) -> Response<AnswerBody> {
    Response::new(whole(text.into()))
}
