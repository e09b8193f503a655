//! An engine that answers each generation with bytes that a test chooses.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nx-server-signature: sig.1\r\n\
    content-type: text/event-stream\r\n\r\n";

/// What an engine does after the first bytes of a response.
#[derive(Clone, Debug)]
pub enum Then {
    /// It ends the response.
    End,
    /// It sends nothing, and keeps the connection open.
    Stall,
    /// It repeats these bytes without end.
    Repeat(Vec<u8>),
}

/// The body of each response.
struct Content {
    first: Vec<u8>,
    then: Then,
}

/// An engine whose responses are all the same.
pub struct RawEngine {
    pub address: SocketAddrV4,
    sent: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
}

impl RawEngine {
    pub async fn start(first: Vec<u8>, then: Then) -> RawEngine {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            panic!("bound to IPv4")
        };
        let sent = Arc::new(AtomicUsize::new(0));
        let answered = Arc::new(AtomicUsize::new(0));
        let (counted, requests) = (Arc::clone(&sent), Arc::clone(&answered));
        let content = Arc::new(Content { first, then });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (content, counted) = (Arc::clone(&content), Arc::clone(&counted));
                let requests = Arc::clone(&requests);
                tokio::spawn(async move {
                    // The instance may have left.
                    let _ = answer(stream, &content, &counted, &requests).await;
                });
            }
        });
        RawEngine {
            address,
            sent,
            answered,
        }
    }

    /// Returns how many bytes of bodies it has sent.
    pub fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns how many requests it has answered.
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }
}

async fn answer(
    mut stream: TcpStream,
    content: &Content,
    sent: &AtomicUsize,
    answered: &AtomicUsize,
) -> std::io::Result<()> {
    let mut received = Vec::new();
    while !received.windows(4).any(|it| it == b"\r\n\r\n") {
        if stream.read_buf(&mut received).await? == 0 {
            // The instance only checks who listens here.
            return Ok(());
        }
    }
    answered.fetch_add(1, Ordering::Relaxed);
    stream.write_all(HEAD).await?;
    write(&mut stream, &content.first, sent).await?;
    match &content.then {
        Then::End => stream.shutdown().await,
        Then::Stall => stream.read_buf(&mut received).await.map(drop),
        Then::Repeat(more) => loop {
            write(&mut stream, more, sent).await?;
        },
    }
}

async fn write(stream: &mut TcpStream, bytes: &[u8], sent: &AtomicUsize) -> std::io::Result<()> {
    for piece in bytes.chunks(64 * 1024) {
        stream.write_all(piece).await?;
        sent.fetch_add(piece.len(), Ordering::Relaxed);
    }
    Ok(())
}
