//! A forwarder on loopback that counts the bytes of both directions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Bytes read from a connection at once.
const CHUNK: usize = 16 * 1024;

/// Starts to forward connections to `to`; returns where, and the count.
pub(super) async fn forward(to: SocketAddr) -> std::io::Result<(SocketAddr, Arc<AtomicU64>)> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let count = Arc::new(AtomicU64::new(0));
    let total = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(to).await else {
                continue;
            };
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            tokio::spawn(pump(near_in, far_out, Arc::clone(&total)));
            tokio::spawn(pump(far_in, near_out, Arc::clone(&total)));
        }
    });
    Ok((address, count))
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, count: Arc<AtomicU64>) {
    let mut buf = vec![0; CHUNK];
    while let Ok(length) = from.read(&mut buf).await {
        if length == 0 || to.write_all(&buf[..length]).await.is_err() {
            break;
        }
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
}
