//! What callers get of a response whose body fails.

use bytes::Bytes;
use core::convert::Infallible;
use core::pin::Pin;
use core::task::{Context, Poll};
use http::{Request, Response, StatusCode};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, Empty};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use oriolemux_gateway::front::FlushedBody;
use std::collections::VecDeque;
use std::io;

/// A body whose frames are ready at once, and which fails after them.
struct Failing(VecDeque<Bytes>);

impl Body for Failing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let frame = self.0.pop_front().map(Frame::data);
        Poll::Ready(Some(frame.ok_or_else(|| io::Error::other("aborted"))))
    }
}

/// Sends a request to an HTTP server that answers with a body of these frames, which then fails.
/// Returns the response's status, the bytes received, and whether they were complete.
async fn receive(frames: &'static [&'static str]) -> hyper::Result<(StatusCode, String, bool)> {
    let (near, far) = tokio::io::duplex(1 << 16);
    let service = service_fn(move |_| async move {
        let frames = frames.iter().copied().map(Bytes::from).collect();
        Ok::<_, Infallible>(Response::new(FlushedBody::new(Failing(frames))))
    });
    tokio::spawn(async move {
        let server = hyper::server::conn::http1::Builder::new();
        server.serve_connection(TokioIo::new(far), service).await
    });
    let (mut tx, connection) = hyper::client::conn::http1::handshake(TokioIo::new(near)).await?;
    tokio::spawn(connection);
    let req = Request::get("/").body(Empty::<Bytes>::new());
    let response = tx.send_request(req.expect("a request")).await?;
    let (parts, mut body) = response.into_parts();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(&String::from_utf8_lossy(&data));
            }
            Err(_) => return Ok((parts.status, text, false)),
        }
    }
    Ok((parts.status, text, true))
}

/// Guards against a connection that closes without a response because its stream is aborted at once.
#[tokio::test]
async fn the_head_of_an_aborted_response_is_received() {
    let received = receive(&[]).await.expect("a response");

    assert_eq!(received, (StatusCode::OK, String::new(), false));
}

/// Guards against events that were delivered to the connection and are lost because the stream is
/// aborted right after them.
#[tokio::test]
async fn events_before_the_abort_are_received() {
    let received = receive(&["one ", "two"]).await.expect("a response");

    assert_eq!(received, (StatusCode::OK, "one two".to_owned(), false));
}
