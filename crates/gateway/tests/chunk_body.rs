//! What ends the body of a streamed response.

use bytes::Bytes;
use http_body_util::BodyExt;
use oriolemux_gateway::stream::{Chunk, ChunkBody};
use tokio::sync::mpsc;

/// Returns a body whose sender has sent these chunks and is gone.
async fn body_of(chunks: &[Chunk]) -> ChunkBody {
    let (tx, rx) = mpsc::channel(8);
    for chunk in chunks {
        tx.send(chunk.clone()).await.expect("room");
    }
    ChunkBody::new(rx)
}

fn event() -> Chunk {
    Chunk::Data(Bytes::from_static(b"id: 1\n\n"))
}

/// Guards against a stream that looks complete because its relay ended without saying so.
#[tokio::test]
async fn a_stream_whose_sender_disappears_fails() {
    let mut body = body_of(&[event()]).await;

    let first = body.frame().await.expect("a frame");
    let second = body.frame().await.expect("a frame");

    assert!(first.is_ok());
    assert!(second.is_err());
}

#[tokio::test]
async fn a_stream_with_its_end_is_complete() {
    let body = body_of(&[event(), Chunk::End]).await;

    let whole = body.collect().await.expect("a complete body").to_bytes();

    assert_eq!(whole, Bytes::from_static(b"id: 1\n\n"));
}
