//! A cancelled flush to the caller loses no tokens.

use futures_util::FutureExt;
use oriolemux::callers::connections::{ConnectionState, OpenRequest};
use oriolemux::relay::caller::{Caller, Piece, Reply, ResponseFormat};
use oriolemux::relay::chunk::ChunkWriter;
use oriolemux_core::{Incarnation, InstanceKey, RequestId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

fn caller(open_request: &OpenRequest) -> (Caller, oneshot::Receiver<Reply>) {
    let request = RequestId {
        instance: InstanceKey(1),
        incarnation: Incarnation(2),
        seq: 1,
    };
    let (head, reply) = oneshot::channel();
    let chunks = ChunkWriter::new(request, "plans");
    let limit = Duration::from_secs(30);
    let caller = Caller::new(ResponseFormat::Events, chunks, head, open_request, limit);
    (caller, reply)
}

async fn next_text(pieces: &mut mpsc::Receiver<Piece>) -> String {
    let received = tokio::time::timeout(Duration::from_secs(30), pieces.recv()).await;
    let Ok(Some(Piece::Part(bytes))) = received else {
        panic!("a part of the stream");
    };
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Guards against losing tokens that count as delivered. The caller reads slowly, so a flush
/// waits; the node ends the request, which cancels the flush. If the flush had already taken the
/// buffer, the error would report 60 delivered tokens to a caller that received 40.
#[tokio::test]
async fn keeps_tokens_of_a_cancelled_flush() {
    let open_request = Arc::new(ConnectionState::default()).open_request();
    let (mut caller, reply) = caller(&open_request);
    caller.token(0, b"one");
    caller.flush().await.unwrap();
    let Ok(Reply::Stream(mut pieces)) = reply.await else {
        panic!("a stream");
    };

    caller.token(1, b"two");
    let given_up = caller.flush().now_or_never();
    assert!(given_up.is_none(), "the first piece still waits");
    let first = next_text(&mut pieces).await;
    caller.flush().await.unwrap();
    let second = next_text(&mut pieces).await;

    assert!(first.contains("\"text\":\"one\""), "{first}");
    assert!(second.contains("\"text\":\"two\""), "{second}");
}
