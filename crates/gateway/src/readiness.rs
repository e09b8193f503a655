//! Tells the balancer whether this instance takes callers.

use crate::answer::whole;
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

/// How long one connection of the balancer is kept. It asks once a second.
const CONNECTION_LIMIT: Duration = Duration::from_secs(60);

/// Answers the balancer, for good.
pub async fn serve<W: Wire>(cx: Arc<Cx<W>>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept the balancer: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let cx = Arc::clone(&cx);
        tokio::spawn(async move {
            let service = service_fn(|_: Request<Incoming>| {
                let ready = cx.state().is_ready();
                async move { Ok::<_, Infallible>(answer(ready)) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Ok(Err(error)) = timeout(CONNECTION_LIMIT, connection).await {
                log::debug!("the balancer's connection broke: {error}");
            }
        });
    }
}

fn answer(ready: bool) -> Response<crate::answer::AnswerBody> {
    let mut response = Response::new(whole(Bytes::new()));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
