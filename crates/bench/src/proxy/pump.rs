//! Moves the bytes of one connection.

use super::rules::{Flow, Rules};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;

/// The most bytes that are moved at once.
const CHUNK_BYTES: usize = 16 * 1024;

/// The two sides of a connection, and what happens to it.
pub struct Lines {
    pub client: TcpStream,
    pub server: TcpStream,
    pub rules: watch::Receiver<Rules>,
}

impl Lines {
    /// Moves bytes both ways until both sides have closed or one is cut.
    pub async fn pump(self) {
        // Without this the kernel holds small writes back, and a proxy would
        // delay tokens that it is told to pass.
        let nodelay = self
            .client
            .set_nodelay(true)
            .and(self.server.set_nodelay(true));
        if nodelay.is_err() {
            return;
        }
        let (client_rx, client_tx) = self.client.into_split();
        let (server_rx, server_tx) = self.server.into_split();
        let to_server = Direction {
            rx: client_rx,
            tx: server_tx,
            rules: self.rules.clone(),
            flow: |rules| rules.to_server,
        };
        let to_client = Direction {
            rx: server_rx,
            tx: client_tx,
            rules: self.rules,
            flow: |rules| rules.to_client,
        };
        // An error in either direction ends both, which closes both sockets.
        let _ = tokio::try_join!(to_server.run(), to_client.run());
    }
}

struct Direction {
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    rules: watch::Receiver<Rules>,
    flow: fn(&Rules) -> Flow,
}

impl Direction {
    async fn run(mut self) -> io::Result<()> {
        let mut buf = vec![0; CHUNK_BYTES];
        loop {
            let n = self.rx.read(&mut buf).await?;
            // The end of a stream waits in line like its bytes.
            let flow = self.released().await?;
            if n == 0 {
                return self.tx.shutdown().await;
            }
            match flow {
                Flow::CutMidFrame => {
                    self.tx.write_all(&buf[..n / 2]).await?;
                    self.tx.flush().await?;
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                Flow::Pass | Flow::Delay { .. } | Flow::Stall => {
                    self.tx.write_all(&buf[..n]).await?;
                }
            }
        }
    }

    /// Waits until the rule lets bytes go.
    async fn released(&mut self) -> io::Result<Flow> {
        loop {
            let flow = (self.flow)(&self.rules.borrow_and_update());
            match flow {
                Flow::Pass | Flow::CutMidFrame => return Ok(flow),
                Flow::Delay { millis } => {
                    tokio::time::sleep(Duration::from_millis(millis)).await;
                    return Ok(flow);
                }
                Flow::Stall => {
                    let changed = self.rules.changed().await;
                    changed.map_err(|_| io::ErrorKind::ConnectionReset)?;
                }
            }
        }
    }
}
