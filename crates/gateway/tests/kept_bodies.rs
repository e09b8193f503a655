//! Bodies of requests that are kept until their requests end.

use bytes::Bytes;
use core::convert::Infallible;
use http_body::Frame;
use http_body_util::{Full, StreamBody};
use oriolemux_core::gateway::body_memory::BodyBounds;
use oriolemux_gateway::bodies::{BodyError, KeptBodies};
use std::sync::Arc;
use tokio::sync::mpsc;

const KIB: usize = 1_024;
const LIMIT: usize = 64 * KIB;

/// Bounds in which two bodies of the limit fit.
const BOUNDS: BodyBounds = BodyBounds {
    small: 40 * KIB,
    large: 2 * LIMIT + 4 * KIB,
    single: LIMIT,
};

/// A body whose chunks are sent by a test.
fn sent_body() -> (
    mpsc::UnboundedSender<Bytes>,
    impl http_body::Body<Data = Bytes, Error = Infallible> + Unpin + Send + 'static,
) {
    let (tx, rx) = mpsc::unbounded_channel();
    let chunks = futures_util::stream::unfold(rx, |mut rx: mpsc::UnboundedReceiver<Bytes>| async {
        let chunk = rx.recv().await?;
        Some((Ok(Frame::data(chunk)), rx))
    });
    (tx, StreamBody::new(Box::pin(chunks)))
}

fn filler(length: usize) -> Bytes {
    vec![b'x'; length].into()
}

/// Guards against room that is released while copies of a body are kept, or never.
#[tokio::test]
async fn a_body_takes_room_until_its_last_copy_is_dropped() {
    let bodies = KeptBodies::new(BOUNDS);

    let body = bodies.read(Full::new(filler(LIMIT)), LIMIT).await;

    let body = body.expect("read");
    let copy = body.slice(..10);
    assert_eq!(body.len(), LIMIT);
    drop(body);
    assert!(bodies.used() >= LIMIT);
    drop(copy);
    assert_eq!(bodies.used(), 0);
}

/// Guards against a reader that keeps its room, or waits for its caller, after its body has yielded.
#[tokio::test]
async fn a_stalled_body_yields_to_others_at_once() {
    let bodies = KeptBodies::new(BOUNDS);
    let (stalled, body) = sent_body();
    stalled.send(filler(LIMIT - 1)).expect("open");
    let reader = Arc::clone(&bodies);
    let reading = tokio::spawn(async move { reader.read(body, LIMIT).await });
    while bodies.used() < LIMIT - 1 {
        tokio::task::yield_now().await;
    }

    let first = bodies.read(Full::new(filler(LIMIT)), LIMIT).await;
    let second = bodies.read(Full::new(filler(LIMIT)), LIMIT).await;

    assert!(first.is_ok() && second.is_ok());
    let ended = reading.await.expect("no panic");
    assert!(matches!(ended, Err(BodyError::Evicted)), "{ended:?}");
    let third = bodies.read(Full::new(filler(LIMIT)), LIMIT).await;
    assert!(matches!(third, Err(BodyError::NoRoom(_))), "{third:?}");
    drop((first, second));
    assert_eq!(bodies.used(), 0);
}

/// Guards against a body over the limit of which much is kept before it is refused.
#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let bodies = KeptBodies::new(BOUNDS);
    let (chunks, body) = sent_body();
    chunks.send(filler(LIMIT)).expect("open");
    chunks.send(filler(1)).expect("open");

    let announced = bodies.read(Full::new(filler(LIMIT + 1)), LIMIT).await;
    let sent = bodies.read(body, LIMIT).await;

    assert!(matches!(announced, Err(BodyError::TooLarge(LIMIT))));
    assert!(matches!(sent, Err(BodyError::TooLarge(LIMIT))));
    assert_eq!(bodies.used(), 0);
}

/// Guards against room that is taken for requests without a body.
#[tokio::test]
async fn an_empty_body_takes_no_room() {
    let bodies = KeptBodies::new(BOUNDS);
    let (chunks, body) = sent_body();
    drop(chunks);

    let whole = bodies.read(Full::new(Bytes::new()), LIMIT).await;
    let chunked = bodies.read(body, LIMIT).await;

    assert!(whole.expect("read").is_empty());
    assert!(chunked.expect("read").is_empty());
    assert_eq!(bodies.used(), 0);
}

/// Guards against copies on their way to a peer that nobody counts.
#[tokio::test]
async fn reserved_room_is_shared_with_bodies() {
    let bodies = KeptBodies::new(BOUNDS);
    let first = bodies.read(Full::new(filler(LIMIT)), LIMIT).await;

    let room = bodies.open();
    let kept = room.reserve(LIMIT).map(|()| room.keep(filler(LIMIT / 2)));
    let none = bodies.open().reserve(LIMIT);

    let kept = kept.expect("room");
    assert!(none.is_err());
    assert!(bodies.used() < 2 * LIMIT);
    drop((first, kept));
    assert_eq!(bodies.used(), 0);
}
